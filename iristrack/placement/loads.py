"""What sidecars have under way at servers, summed over those that told of it.

A report is whole or partial. A partial one names what changed since the last report, a server with nothing under
way among it; it is of use only right behind that report. The sum is kept as reports come, so that its cost follows
what changes and not how many senders and servers there are.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from iristrack.wire.messages import ServerLoad, ServerLoads

NS_PER_MS = 1_000_000
EXPIRY_NS = 1000 * NS_PER_MS  # a sender that says nothing for so long counts for nothing
REPEAT_NS = 400 * NS_PER_MS  # between two reports where nothing has changed
WHOLE_NS = 2000 * NS_PER_MS  # between two whole reports
MOST_SENDERS = 512
FIRST_INTERVAL_NS = 20 * NS_PER_MS  # between two reports of a small fleet
SIDECARS_PER_INTERVAL = 12  # so many more sidecars add the first interval once more
LONGEST_INTERVAL_NS = 500 * NS_PER_MS


def report_interval(sidecars: int) -> int:
    """Nanoseconds between two reports: rarer as the fleet grows, so that a sidecar's work for them does not grow."""
    return min(LONGEST_INTERVAL_NS, FIRST_INTERVAL_NS * (1 + sidecars // SIDECARS_PER_INTERVAL))


def add_loads(first: ServerLoad, second: ServerLoad) -> ServerLoad:
    """What two senders have at one server."""
    return ServerLoad(
        first.instance,
        first.requests + second.requests,
        first.pieces + second.pieces,
        first.answered + second.answered,
        first.failed + second.failed,
    )


def subtract_loads(total: ServerLoad, part: ServerLoad) -> ServerLoad:
    """What is left of a sum without one of its senders; nothing falls below zero."""
    return ServerLoad(
        total.instance,
        max(0, total.requests - part.requests),
        max(0, total.pieces - part.pieces),
        max(0, total.answered - part.answered),
        max(0, total.failed - part.failed),
    )


def is_idle(load: ServerLoad) -> bool:
    """Does it say that there is nothing?"""
    return not (load.requests or load.pieces or load.answered or load.failed)


def by_instance(loads: Iterable[ServerLoad]) -> dict[str, ServerLoad]:
    """Loads by their servers; those that stand several times are added up."""
    table: dict[str, ServerLoad] = {}
    for load in loads:
        known = table.get(load.instance)
        table[load.instance] = load if known is None else add_loads(known, load)
    return table


def changes_between(before: dict[str, ServerLoad], after: dict[str, ServerLoad]) -> list[ServerLoad]:
    """What a partial report says that makes `after` out of `before`."""
    changed = [load for instance, load in after.items() if before.get(instance) != load]
    ended = [ServerLoad(instance, 0, 0) for instance in before if instance not in after]
    return changed + ended


def apply_changes(table: dict[str, ServerLoad], changes: Iterable[ServerLoad]) -> None:
    """Follow a partial report."""
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
    """The newest loads of each sender, and their sum."""

    def __init__(self) -> None:
        """Nobody has told anything."""
        self.total: dict[str, ServerLoad] = {}  # by instance; servers with nothing are not named
        self._senders: dict[str, _Sender] = {}

    def apply_report(self, loads: ServerLoads, now: int) -> bool:
        """Take a sender's report; false where it is no newer, or names changes to what is not known here."""
        known = self._senders.get(loads.node)
        current = known is not None and now - known.heard_at < EXPIRY_NS
        if current and known.count >= loads.count:
            return False
        if loads.partial and not (current and loads.count == known.count + 1):
            return False
        if known is None:
            if len(self._senders) >= MOST_SENDERS:
                return False
            known = self._senders[loads.node] = _Sender(now, loads.count, loads.sidecars)
        known.heard_at, known.count, known.sidecars = now, loads.count, loads.sidecars
        told = list(loads.loads)
        if not loads.partial:
            told = changes_between(known.loads, by_instance(told))
        self._apply(known, told)
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
        """Forget senders that have fallen silent."""
        for node in [node for node, sender in self._senders.items() if now - sender.heard_at >= EXPIRY_NS]:
            sender = self._senders.pop(node)
            self._apply(sender, [ServerLoad(instance, 0, 0) for instance in sender.loads])

    def senders(self) -> list[str]:
        """Who has told anything lately."""
        return list(self._senders)

    def sidecars(self) -> int:
        """Of all senders together."""
        return sum(sender.sidecars for sender in self._senders.values())
