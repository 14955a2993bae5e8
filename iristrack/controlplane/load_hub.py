"""Summing what sidecars have under way: each core member sums its own and tells members and sidecars.

All sidecars are told the same sum, in one frame that is encoded once; each takes its own share off by itself.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.placement.loads import LoadAggregator, add_loads, report_interval
from iristrack.placement.report_stream import ReportStream
from iristrack.runtime.scheduler import Scheduler
from iristrack.wire.codec import encode
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import ServerLoad, ServerLoads

MOST_AHEAD = 32 * 1024  # bytes queued for a sidecar, above which it is told nothing


class LoadHub:
    """The loads of the sidecars that report to this member, and the sums that other members told."""

    def __init__(self, scheduler: Scheduler, node: str, tell_members: Callable[[ServerLoads], None]) -> None:
        """Starts with the first turn of the loop."""
        self.scheduler = scheduler
        self.tell_members = tell_members
        self.own = LoadAggregator()
        self.members = LoadAggregator()
        self._reporters: dict[PeerConnection, str] = {}
        self._to_members = ReportStream(node)
        self._to_sidecars = ReportStream(node)
        scheduler.call_at(self.scheduler.now() + report_interval(0), self._tick)

    def from_sidecar(self, connection: PeerConnection, loads: ServerLoads) -> None:
        """A sidecar told its loads."""
        if connection not in self._reporters:
            self._to_sidecars.force_full_report()
        self._reporters[connection] = loads.node
        self.own.apply_report(loads, self.scheduler.now())

    def from_member(self, loads: ServerLoads) -> None:
        """Another member told the sum of its sidecars' loads."""
        self.members.apply_report(loads, self.scheduler.now())

    def member_joined(self) -> None:
        """A member was dialled that may know nothing of this one's loads."""
        self._to_members.force_full_report()

    @property
    def sidecars(self) -> int:
        """How many sidecars report, here and at other members."""
        return self.own.sidecars() + self.members.sidecars()

    def total(self) -> dict[str, ServerLoad]:
        """What all sidecars have under way, by instance."""
        return _sum(self.own.total, self.members.total)

    def _tick(self) -> None:
        now = self.scheduler.now()
        self.own.expire(now)
        self.members.expire(now)
        self._drop_reporters()
        report = self._to_members.next(self.own.total, self.own.sidecars(), now)
        if report is not None:
            self.tell_members(report)
        self._tell_sidecars(now)
        self.scheduler.call_at(now + report_interval(self.sidecars), self._tick)

    def _drop_reporters(self) -> None:
        """Forget sidecars that have left, or that report to another member by now."""
        heard = set(self.own.senders())
        self._reporters = {c: node for c, node in self._reporters.items() if not c.closed and node in heard}

    def _tell_sidecars(self, now: int) -> None:
        if not self._reporters:
            return
        report = self._to_sidecars.next(self.total(), self.sidecars, now)
        if report is not None:
            frame = encode(report)
            for connection in self._reporters:
                if (
                    connection.queued <= MOST_AHEAD
                ):  # a slow link is told the next whole sum that it has room for
                    connection.send_frame(frame)


def _sum(first: dict[str, ServerLoad], second: dict[str, ServerLoad]) -> dict[str, ServerLoad]:
    total = dict(first)
    for instance, load in second.items():
        known = total.get(instance)
        total[instance] = load if known is None else add_loads(known, load)
    return total
