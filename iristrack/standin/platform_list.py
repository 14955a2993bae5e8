"""A stand-in for the platform's list of servers: pages, phases, no lag."""

from __future__ import annotations

import json
import threading
from urllib.parse import parse_qs, urlsplit

from iristrack.standin.http_host import HostHandler, HttpHost
from iristrack.standin.model_server import ModelServer

PAGE_SIZE = 2  # small, so that every list has several pages


class PlatformList:
    """The list of all servers that were added, as they are at each call."""

    def __init__(self, port: int = 0) -> None:
        """Serves at once, at a free port or at `port`; the list is empty."""
        self._lock = threading.Lock()
        self._servers: list[ModelServer] = []
        self.whole_lists_served = 0
        handler = type("BoundListHandler", (ListHandler,), {"owner": self})
        self.host = HttpHost(handler, port)

    @property
    def address(self) -> str:
        """ip:port."""
        return self.host.address

    def add(self, *servers: ModelServer) -> None:
        """Name servers from now on."""
        with self._lock:
            self._servers += servers

    def remove(self, server: ModelServer) -> None:
        """Name it no more."""
        with self._lock:
            self._servers.remove(server)

    def page(self, zone: str | None, token: str | None) -> dict[str, object]:
        """One page of the list."""
        begin = int(token.removeprefix("p-")) if token else 0
        with self._lock:
            rows = [server.entry() for server in self._servers if zone in (None, server.zone)]
            end = begin + PAGE_SIZE
            last = end >= len(rows)
            self.whole_lists_served += last
        return {"servers": rows[begin:end], "next_token": None if last else f"p-{end}"}

    def stop(self) -> None:
        """Serve no more."""
        self.host.stop()


class ListHandler(HostHandler):
    """One connection to the list."""

    owner: PlatformList

    def do_GET(self) -> None:
        """`GET /instances`."""
        url = urlsplit(self.path)
        if url.path != "/instances":
            self.answer(404)
            return
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        page = self.owner.page(query.get("zone"), query.get("page_token"))
        self.answer(200, json.dumps(page).encode(), {"Content-Type": "application/json"})
