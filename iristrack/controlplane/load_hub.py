"""Sums the requests in flight at sidecars: each core member sums its own sidecars and reports to members and sidecars.

All sidecars are sent the same sum, in a frame that is encoded once. Each sidecar subtracts its own share.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.placement.loads import LoadAggregator, add_loads, report_interval
from iristrack.placement.report_stream import ReportStream
from iristrack.runtime.scheduler import Scheduler
from iristrack.wire.codec import encode
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import ServerLoad, ServerLoads

MAX_QUEUED_BYTES = 32 * 1024  # queued bytes above which a sidecar is sent nothing


class LoadHub:
    """The loads of the sidecars that report to this member, and the sums reported by other members."""

    def __init__(self, scheduler: Scheduler, node: str, broadcast: Callable[[ServerLoads], None]) -> None:
        """Schedule the first report; `broadcast` sends a report to the other members."""
        self.scheduler = scheduler
        self.broadcast = broadcast
        self.own = LoadAggregator()
        self.members = LoadAggregator()
        self._reporters: dict[PeerConnection, str] = {}
        self._to_members = ReportStream(node)
        self._to_sidecars = ReportStream(node)
        scheduler.call_at(self.scheduler.now() + report_interval(0), self._tick)

    def on_sidecar_loads(self, connection: PeerConnection, loads: ServerLoads) -> None:
        """Record the loads of a sidecar."""
        if connection not in self._reporters:
            self._to_sidecars.force_full_report()
        self._reporters[connection] = loads.node
        self.own.apply_report(loads, self.scheduler.now())

    def on_member_loads(self, loads: ServerLoads) -> None:
        """Record another member's sum of its sidecars' loads."""
        self.members.apply_report(loads, self.scheduler.now())

    def on_member_dialed(self) -> None:
        """Send the whole sum next: the dialled member may not know any of this one's loads."""
        self._to_members.force_full_report()

    @property
    def sidecars(self) -> int:
        """The number of sidecars that report here or at other members."""
        return self.own.sidecars() + self.members.sidecars()

    def total(self) -> dict[str, ServerLoad]:
        """Return the requests in flight of all sidecars, by instance."""
        return _sum(self.own.total, self.members.total)

    def _tick(self) -> None:
        now = self.scheduler.now()
        self.own.expire(now)
        self.members.expire(now)
        self._drop_reporters()
        report = self._to_members.next(self.own.total, self.own.sidecars(), now)
        if report is not None:
            self.broadcast(report)
        self._send_to_sidecars(now)
        self.scheduler.call_at(now + report_interval(self.sidecars), self._tick)

    def _drop_reporters(self) -> None:
        """Remove sidecars that have disconnected or now report to another member."""
        heard = set(self.own.senders())
        self._reporters = {c: node for c, node in self._reporters.items() if not c.closed and node in heard}

    def _send_to_sidecars(self, now: int) -> None:
        if not self._reporters:
            return
        report = self._to_sidecars.next(self.total(), self.sidecars, now)
        if report is not None:
            frame = encode(report)
            for connection in self._reporters:
                # A slow link skips reports; the next whole sum that it has room for brings it up to date.
                if connection.queued <= MAX_QUEUED_BYTES:
                    connection.send_frame(frame)


def _sum(first: dict[str, ServerLoad], second: dict[str, ServerLoad]) -> dict[str, ServerLoad]:
    total = dict(first)
    for instance, load in second.items():
        known = total.get(instance)
        total[instance] = load if known is None else add_loads(known, load)
    return total
