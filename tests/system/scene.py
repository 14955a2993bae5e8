"""The usual configuration of these tests, and short ways to ask for what it routes."""

from __future__ import annotations

from iristrack.standin.client import (
    Client,
    Request,
    StreamAnswer,
    WholeAnswer,
    ask_once,
    new_attempt_id,
    prompt_headers,
)
from iristrack.standin.documents import Document, configuration, route, service, tenant
from iristrack.standin.machine import Machine
from iristrack.standin.model_server import ModelServer
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until

HOST = "alpha.example"
OTHER_HOST = "beta.example"
MODEL = "model-one"
CHAT = "chat"
SEARCH = "search"
KEY = "key-north"
SOUTH_KEY = "key-south"
TENANTS = [
    tenant("north", KEY, "key-north-2", priority=3),
    tenant("south", SOUTH_KEY, priority=4, isolated=True),
]
LIMITS: Document = {
    "max_header_bytes": 8_192,
    "max_body_bytes": 65_536,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 2_500,
}
BRIEF_MS = 700
LONG_MS = 120_000  # longer than any test waits
LONG_WAIT = (("X-Iristrack-Time-Left-Ms", str(LONG_MS)),)
AMPLE_RETRIES: Document = {"retry_slack": 5_000}  # tests of anything but the budget never meet it


def usual_routes() -> list[Document]:
    """One route of each kind."""
    return [
        route(HOST, "/plain/", CHAT),
        route(HOST, "/plain/deep/", SEARCH),
        route(OTHER_HOST, "/plain/", SEARCH),
        route(HOST, "/safe/", CHAT, "safe"),
        route(HOST, "/open/", CHAT, public=True),
        route(HOST, "/brief/", CHAT, timeout_ms=BRIEF_MS),
        route(HOST, "/stream/", CHAT, "streaming", timeout_ms=LONG_MS),
        route(HOST, "/resume/", CHAT, "streaming", timeout_ms=LONG_MS, resumable=True),
    ]


def usual_configuration(revision: int, *more_routes: Document) -> Document:
    """The usual routes and some more."""
    services = [service(CHAT, MODEL), service(SEARCH, MODEL)]
    return configuration(revision, [*usual_routes(), *more_routes], services, TENANTS, LIMITS)


def start_usual(system: System) -> None:
    """Two servers for chat, one for search, all machines, the usual configuration as revision 1; until ready."""
    system.add_model_servers(CHAT, MODEL, 2)
    system.add_model_servers(SEARCH, MODEL, 1)
    system.start()
    assert system.operator.replace(usual_configuration(1), 0).status == 200
    system.wait_ready()


def bearer(key: str | None = KEY) -> tuple[tuple[str, str], ...]:
    return () if key is None else (("Authorization", f"Bearer {key}"),)


def plain(path: str = "/plain/x", host: str = HOST, key: str | None = KEY, **more: object) -> Request:
    """A request with a whole answer; `more` are fields of `Request`."""
    headers = bearer(key) + tuple(more.pop("headers", ()))
    return Request(host, path, str(more.pop("attempt_id", new_attempt_id())), headers=headers, **more)


def generation(
    path: str = "/stream/x",
    events: int = 6,
    key: str = KEY,
    parts: tuple[tuple[str, int], ...] = (),
    **more: object,
) -> Request:
    """A request for a stream of so many events; the last part of its prompt is its own."""
    attempt_id = str(more.pop("attempt_id", new_attempt_id()))
    prompt = [*parts, (attempt_id[:8], 50)]
    headers = bearer(key) + prompt_headers(MODEL, prompt, events) + tuple(more.pop("headers", ()))
    return Request(HOST, path, attempt_id, headers=headers, **more)


class Scene:
    """A running system with one edge machine that most tests ask."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.edge: Machine = system.edges[0]
        self.ledger = system.ledger
        self.script = system.script

    def ask(self, request: Request) -> WholeAnswer:
        return ask_once(self.edge.front, request)

    def open(self, client: Client, request: Request) -> StreamAnswer:
        return client.open(request)

    def client(self) -> Client:
        return Client(self.edge.front)

    def servers(self, label: str) -> list[ModelServer]:
        return [server for server in self.system.model_servers if server.service == label]

    def settle(self) -> None:
        """Wait until each server is asked again: one that has just failed is left alone for a while."""
        begun = len(self.ledger.arrivals())
        for label, path in ((CHAT, "/safe/settle"), (SEARCH, "/plain/deep/settle")):
            wanted = {server.instance_id for server in self.servers(label)}

            def all_served(path: str = path, wanted: set[str] = wanted) -> bool:
                self.ask(plain(path))
                return wanted <= {a.instance_id for a in self.ledger.arrivals()[begun:] if a.ran}

            wait_until(all_served, f"an answer of every server of {label}")
