"""Reporting this sidecar's in-flight load to the hub, and applying the loads of the other sidecars."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from iristrack.dataplane.state import PlaneState
from iristrack.placement.loads import (
    EXPIRY_NS,
    apply_changes,
    by_instance,
    report_interval,
    subtract_loads,
)
from iristrack.placement.outcomes import NO_OUTCOMES, Outcomes
from iristrack.placement.report_stream import ReportStream
from iristrack.placement.servers import Server
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import ServerLoad, ServerLoads

OUTLIER_CHECK_INTERVAL_NS = 100_000_000  # between two outlier checks (servers that fail too many requests)


class HubFinder(Protocol):
    """Finds the core member that sums loads."""

    def hub(self) -> PeerConnection | None:
        """Return the connection to it; None while there is none."""


class LoadReporter:
    """Report this sidecar's loads to the hub, and apply the total of all sidecars that the hub sends."""

    def __init__(self, plane: PlaneState, finder: HubFinder) -> None:
        """Schedule the first report."""
        self.plane = plane
        self.finder = finder
        self._stream = ReportStream(plane.settings.node_name)
        self._reported: dict[str, ServerLoad] = {}  # this sidecar's loads as last reported to the hub
        self._total: dict[str, ServerLoad] = {}  # as the hub sent it, including this sidecar's loads
        self._reported_hub: PeerConnection | None = None
        self._last_total_at = 0
        self._outliers_checked_at = 0
        self._last_total_number = 0  # sequence number of the newest total that was applied
        plane.scheduler.call_at(self.plane.scheduler.now() + self._interval, self._tick)

    @property
    def _interval(self) -> int:
        return report_interval(self.plane.sidecar_count if self._last_total_at else 0)

    def on_total(self, message: ServerLoads) -> None:
        """Apply the hub's total of all sidecars, or a change to it."""
        self._last_total_at = self.plane.scheduler.now()
        if not message.partial:
            self._total = by_instance(message.loads)
            changed = None
        elif message.count == self._last_total_number + 1:
            apply_changes(self._total, message.loads)
            changed = [load.instance for load in message.loads]
        else:
            return  # a change was missed: wait for the next complete total
        self._last_total_number = message.count
        self.plane.set_sidecar_count(message.sidecars)
        self._update_servers(changed)

    def _update_servers(self, changed: Iterable[str] | None = None) -> None:
        """Set the load from other sidecars on the changed servers, or on all if `changed` is None."""
        servers = self.plane.servers.servers
        for instance in servers if changed is None else changed:
            server = servers.get(instance)
            if server is not None:
                self._update_server(server)

    def _update_server(self, server: Server) -> None:
        load = self._total.get(server.instance_id)
        own_load = self._reported.get(server.instance_id)
        if load is not None and own_load is not None:
            load = subtract_loads(load, own_load)
        server.others_inflight = 0 if load is None else load.requests
        server.others_pending_chunks = 0 if load is None else load.pieces
        server.others_outcomes = NO_OUTCOMES if load is None else Outcomes(load.answered, load.failed)

    def _tick(self) -> None:
        now = self.plane.scheduler.now()
        if self._last_total_at and now - self._last_total_at > EXPIRY_NS:
            self._clear_total()
        local_loads = {load.instance: load for load in self._local_loads(now)}
        if now - self._outliers_checked_at >= OUTLIER_CHECK_INTERVAL_NS:
            self._outliers_checked_at = now
            self.plane.servers.update_ejections(now)
        self._report(local_loads, now)
        self.plane.scheduler.call_at(now + self._interval, self._tick)

    def _clear_total(self) -> None:
        self._last_total_at = 0
        self._total = {}
        self._update_servers()

    def _local_loads(self, now: int) -> Iterator[ServerLoad]:
        for server in self.plane.servers.servers.values():
            outcomes = server.outcomes.total(now)
            if server.inflight or outcomes != NO_OUTCOMES:
                yield ServerLoad(
                    server.instance_id,
                    server.inflight,
                    max(0, server.pending_chunks),
                    outcomes.answered,
                    outcomes.failed,
                )

    def _report(self, local_loads: dict[str, ServerLoad], now: int) -> None:
        hub = self.finder.hub()
        if hub is None:
            return
        if hub is not self._reported_hub:
            self._reported_hub = hub
            self._stream.force_full_report()
        report = self._stream.next(local_loads, 1, now)
        if report is not None:
            self._reported = local_loads
            hub.send(report)
