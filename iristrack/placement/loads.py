"""Load that sidecars have in flight at servers, summed over the senders that report it.

A report is full or partial. A partial report lists what changed since the previous report, including servers that
became idle, and can be applied only directly after that report. The total is updated with each report, so the work
depends on the number of changes and not on the number of senders and servers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from iristrack.wire.messages import ServerLoad, ServerLoads

NS_PER_MS = 1_000_000
EXPIRY_NS = 1000 * NS_PER_MS  # the load of a sender is dropped after this long without a report
KEEPALIVE_INTERVAL_NS = 400 * NS_PER_MS  # between two reports if nothing has changed
FULL_REPORT_INTERVAL_NS = 2000 * NS_PER_MS
MAX_SENDERS = 512
BASE_INTERVAL_NS = 20 * NS_PER_MS  # between two reports in a small fleet
SIDECARS_PER_INTERVAL = 12  # the base interval is added once more for each group of this many sidecars
MAX_INTERVAL_NS = 500 * NS_PER_MS


def report_interval(sidecars: int) -> int:
    """Return the ns between two reports; it grows with the fleet, which keeps each sidecar's work constant."""
    return min(MAX_INTERVAL_NS, BASE_INTERVAL_NS * (1 + sidecars // SIDECARS_PER_INTERVAL))


def add_loads(first: ServerLoad, second: ServerLoad) -> ServerLoad:
    """Return the sum of two senders' loads at one server."""
    return ServerLoad(
        first.instance,
        first.requests + second.requests,
        first.pieces + second.pieces,
        first.answered + second.answered,
        first.failed + second.failed,
    )


def subtract_loads(total: ServerLoad, part: ServerLoad) -> ServerLoad:
    """Return the total without one sender's load; no count goes below zero."""
    return ServerLoad(
        total.instance,
        max(0, total.requests - part.requests),
        max(0, total.pieces - part.pieces),
        max(0, total.answered - part.answered),
        max(0, total.failed - part.failed),
    )


def is_idle(load: ServerLoad) -> bool:
    """Return whether all counts are zero."""
    return not (load.requests or load.pieces or load.answered or load.failed)


def by_instance(loads: Iterable[ServerLoad]) -> dict[str, ServerLoad]:
    """Return the loads by instance; several loads of one instance are added up."""
    table: dict[str, ServerLoad] = {}
    for load in loads:
        known = table.get(load.instance)
        table[load.instance] = load if known is None else add_loads(known, load)
    return table


def changes_between(before: dict[str, ServerLoad], after: dict[str, ServerLoad]) -> list[ServerLoad]:
    """Return the content of a partial report that turns `before` into `after`."""
    changed = [load for instance, load in after.items() if before.get(instance) != load]
    now_idle = [ServerLoad(instance, 0, 0) for instance in before if instance not in after]
    return changed + now_idle


def apply_changes(table: dict[str, ServerLoad], changes: Iterable[ServerLoad]) -> None:
    """Apply a partial report to the table."""
    for load in changes:
        if is_idle(load):
            table.pop(load.instance, None)
        else:
            table[load.instance] = load


@dataclass(slots=True)
class _Sender:
    heard_at: int
    count: int
    sidecars: int
    loads: dict[str, ServerLoad] = field(default_factory=dict)


class LoadAggregator:
    """The latest loads of each sender, and their total."""

    def __init__(self) -> None:
        """Start without any sender."""
        self.total: dict[str, ServerLoad] = {}  # by instance, without idle servers
        self._senders: dict[str, _Sender] = {}

    def apply_report(self, loads: ServerLoads, now: int) -> bool:
        """Apply a sender's report; return False if it is not newer, or partial and does not follow the last one."""
        known = self._senders.get(loads.node)
        current = known is not None and now - known.heard_at < EXPIRY_NS
        if current and known.count >= loads.count:
            return False
        if loads.partial and not (current and loads.count == known.count + 1):
            return False
        if known is None:
            if len(self._senders) >= MAX_SENDERS:
                return False
            known = self._senders[loads.node] = _Sender(now, loads.count, loads.sidecars)
        known.heard_at, known.count, known.sidecars = now, loads.count, loads.sidecars
        changes = list(loads.loads)
        if not loads.partial:
            changes = changes_between(known.loads, by_instance(changes))
        self._apply(known, changes)
        return True

    def _apply(self, sender: _Sender, changes: list[ServerLoad]) -> None:
        for load in changes:
            before = sender.loads.get(load.instance)
            total = self.total.get(load.instance)
            if before is not None and total is not None:
                total = subtract_loads(total, before)
            total = load if total is None else add_loads(total, load)
            apply_changes(self.total, [total])
        apply_changes(sender.loads, changes)

    def expire(self, now: int) -> None:
        """Drop senders that have not reported for `EXPIRY_NS`."""
        for node in [node for node, sender in self._senders.items() if now - sender.heard_at >= EXPIRY_NS]:
            sender = self._senders.pop(node)
            self._apply(sender, [ServerLoad(instance, 0, 0) for instance in sender.loads])

    def senders(self) -> list[str]:
        """Return the nodes whose reports have not expired."""
        return list(self._senders)

    def sidecars(self) -> int:
        """Return the number of sidecars of all senders together."""
        return sum(sender.sidecars for sender in self._senders.values())
