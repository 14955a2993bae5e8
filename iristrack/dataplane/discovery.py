"""Following the platform's server list."""

from __future__ import annotations

from contextlib import suppress

from iristrack import interface as mi
from iristrack.dataplane.state import PlaneState
from iristrack.http1.fetching import HttpClient
from iristrack.placement.servers import ListedServer
from iristrack.platform_api.server_list import ListUnavailable, fetch_list, from_message
from iristrack.runtime.scheduler import clock
from iristrack.wire.messages import ServersValue
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
POLL_INTERVAL_NS = NS_PER_S
CORE_SILENCE_NS = 4 * NS_PER_S  # then the platform is polled; the core sends the list every 2 s
FETCH_TIMEOUT_NS = 800 * NS_PER_MS
FORGET_LINKS_AFTER_NS = 5 * NS_PER_S


def split_address(text: str) -> tuple[str, int]:
    """Split `ip:port` into a pair; raises `ValueError`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def apply_server_list(plane: PlaneState, entries: list[ListedServer]) -> None:
    """Apply a complete list to the server table and to the connections."""
    for server in plane.servers.apply_server_list(entries):
        plane.index.forget(server.address)
        plane.pending_prefills.forget(server.address)
    followed = [
        (
            mi.ServerEntry(
                e.instance_id, mi.ServerState.READY if e.ready else mi.ServerState.DRAINING, e.zone
            ),
            split_address(e.address),
        )
        for e in entries
    ]
    plane.links.follow(followed, whole=True)
    plane.links.forget_gone(FORGET_LINKS_AFTER_NS)


class ServerListFollower:
    """Apply the list that the core sends, and poll the platform directly while the core is silent."""

    def __init__(self, plane: PlaneState) -> None:
        """Start to poll, if the settings name the platform's API."""
        self.plane = plane
        self._last_core_list_at = clock()
        provider = plane.settings.provider_api
        if provider is not None:
            self.caller = HttpClient(plane.scheduler, (provider.address.host, provider.address.port))
            plane.scheduler.spawn("list poller", self._poll)

    def on_update(self, value: bytes) -> None:
        """Apply a list that the core sent."""
        decoded = decode_value(value, ServersValue)
        if decoded is not None:
            self._last_core_list_at = clock()
            apply_server_list(self.plane, from_message(decoded))

    def _poll(self) -> None:
        while True:
            self.plane.scheduler.sleep(POLL_INTERVAL_NS)
            if clock() - self._last_core_list_at < CORE_SILENCE_NS:
                continue
            with suppress(ListUnavailable, ValueError):  # keep the last list until the next poll
                apply_server_list(self.plane, fetch_list(self.caller, clock() + FETCH_TIMEOUT_NS))
                self.plane.startup_gate.open_if_ready()
