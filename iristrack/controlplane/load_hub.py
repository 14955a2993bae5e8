"""Summing what sidecars have under way: each core member sums its own and tells members and sidecars."""

from __future__ import annotations

from collections.abc import Callable

from iristrack.placement.loads import LoadBoard, sum_loads
from iristrack.runtime.scheduler import Scheduler, clock
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import ServerLoads

NS_PER_MS = 1_000_000
TELL_NS = 50 * NS_PER_MS


class LoadHub:
    """The loads of the sidecars that report to this member, and the sums that other members told."""

    def __init__(self, scheduler: Scheduler, node: str, tell_members: Callable[[ServerLoads], None]) -> None:
        """Starts with the first turn of the loop."""
        self.scheduler = scheduler
        self.node = node
        self.tell_members = tell_members
        self.own = LoadBoard()
        self.members = LoadBoard()
        self._reporters: dict[PeerConnection, str] = {}
        self._count = 0
        self._own_changed = False
        self._changed = False
        scheduler.call_at(clock() + TELL_NS, self._tick)

    def from_sidecar(self, connection: PeerConnection, loads: ServerLoads) -> None:
        """A sidecar told its loads."""
        self._reporters[connection] = loads.node
        if self.own.take(loads, clock()):
            self._own_changed = True

    def from_member(self, loads: ServerLoads) -> None:
        """Another member told the sum of its sidecars' loads."""
        if self.members.take(loads, clock()):
            self._changed = True

    def _tick(self) -> None:
        now = clock()
        self.own.expire(now)
        self.members.expire(now)
        self._reporters = {c: node for c, node in self._reporters.items() if not c.closed}
        if self._own_changed:
            self._count += 1
            total = tuple(self.own.total().values())
            self.tell_members(ServerLoads(self.node, self._count, total, self.own.sidecars()))
        if self._own_changed or self._changed:
            self._tell_sidecars()
        self._own_changed = self._changed = False
        self.scheduler.call_at(now + TELL_NS, self._tick)

    def _tell_sidecars(self) -> None:
        elsewhere = ServerLoads("", 0, tuple(self.members.total().values()))
        sidecars = self.own.sidecars() + self.members.sidecars()
        for connection, node in self._reporters.items():
            here = ServerLoads("", 0, tuple(self.own.total(without=node).values()))
            total = tuple(sum_loads((here, elsewhere)).values())
            connection.send(ServerLoads(self.node, self._count, total, sidecars))
