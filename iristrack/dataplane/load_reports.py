"""Telling the other sidecars what this one has under way, and taking in what they told."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from iristrack.dataplane.state import PlaneState
from iristrack.placement.outcomes import NONE, Outcomes
from iristrack.runtime.scheduler import clock
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import ServerLoad, ServerLoads

NS_PER_MS = 1_000_000
TELL_NS = 50 * NS_PER_MS  # between two reports, where anything has changed
REPEAT_NS = 400 * NS_PER_MS  # and where nothing has: a report lapses after a second
EXPIRY_NS = 1000 * NS_PER_MS


class HubFinder(Protocol):
    """Knows the core member that sums loads."""

    def hub(self) -> PeerConnection | None:
        """The connection to it, None while there is none."""


class LoadReporter:
    """Sends this sidecar's loads and follows the sum of the others'."""

    def __init__(self, plane: PlaneState, finder: HubFinder) -> None:
        """Starts with the first turn of the loop."""
        self.plane = plane
        self.finder = finder
        self._count = 0
        self._told: tuple[ServerLoad, ...] = ()
        self._told_at = 0
        self._heard_at = 0
        plane.scheduler.call_at(clock() + TELL_NS, self._tick)

    def on_others(self, message: ServerLoads) -> None:
        """The sum of what the other sidecars have under way."""
        self._heard_at = clock()
        self._take({load.instance: load for load in message.loads})
        self.plane.follow_sidecars(message.sidecars)

    def _take(self, told: dict[str, ServerLoad]) -> None:
        for server in self.plane.servers.servers.values():
            load = told.get(server.instance_id)
            server.others_inflight = 0 if load is None else load.requests
            server.others_unread_pieces = 0 if load is None else load.pieces
            server.others_outcomes = NONE if load is None else Outcomes(load.answered, load.failed)
        self.plane.servers.judge(clock())

    def _tick(self) -> None:
        now = clock()
        if self._heard_at and now - self._heard_at > EXPIRY_NS:
            self._heard_at = 0
            self._take({})
        loads = tuple(self._own_loads(now))
        self.plane.servers.judge(now)
        if loads != self._told or now - self._told_at > REPEAT_NS:
            self._tell(loads, now)
        self.plane.scheduler.call_at(now + TELL_NS, self._tick)

    def _own_loads(self, now: int) -> Iterator[ServerLoad]:
        for server in self.plane.servers.servers.values():
            outcomes = server.outcomes.total(now)
            if server.inflight or outcomes != NONE:
                yield ServerLoad(
                    server.instance_id,
                    server.inflight,
                    max(0, server.unread_pieces),
                    outcomes.answered,
                    outcomes.failed,
                )

    def _tell(self, loads: tuple[ServerLoad, ...], now: int) -> None:
        hub = self.finder.hub()
        if hub is None:
            return
        self._count += 1
        self._told, self._told_at = loads, now
        hub.send(ServerLoads(self.plane.settings.node_name, self._count, loads))
