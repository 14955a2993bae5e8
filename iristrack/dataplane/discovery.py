"""Following the platform's list of servers."""

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
POLL_NS = NS_PER_S
SILENT_NS = 4 * NS_PER_S  # the core tells the list again every two seconds
CALL_NS = 800 * NS_PER_MS
FORGET_LINKS_NS = 5 * NS_PER_S


def split_address(text: str) -> tuple[str, int]:
    """`ip:port` as a pair; raises `ValueError`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def apply_list(plane: PlaneState, entries: list[ListedServer]) -> None:
    """Follow a whole list: the table of servers, and the connections to them."""
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
    plane.links.forget_gone(FORGET_LINKS_NS)


class ServerListFollower:
    """Takes the list that the core hands on, and asks the platform itself while the core says nothing."""

    def __init__(self, plane: PlaneState) -> None:
        """Starts with the first turn of the loop."""
        self.plane = plane
        self._heard_at = clock()
        provider = plane.settings.provider_api
        if provider is not None:
            self.caller = HttpClient(plane.scheduler, (provider.address.host, provider.address.port))
            plane.scheduler.spawn("list poller", self._run)

    def on_update(self, value: bytes) -> None:
        """The core handed a list on."""
        told = decode_value(value, ServersValue)
        if told is not None:
            self._heard_at = clock()
            apply_list(self.plane, from_message(told))

    def _run(self) -> None:
        while True:
            self.plane.scheduler.sleep(POLL_NS)
            if clock() - self._heard_at < SILENT_NS:
                continue
            with suppress(ListUnavailable, ValueError):  # the last list stands; the next call is soon
                apply_list(self.plane, fetch_list(self.caller, clock() + CALL_NS))
                self.plane.start_gate.look()
