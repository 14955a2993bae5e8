"""A test harness: the data plane's request path between fake model servers and clients on loopback.

Everything runs in this process on one scheduler. Servers and clients are tasks that wait for bytes, without sleeps,
and a test ends when its last client does.
"""

from __future__ import annotations

import json
import random
import socket
import struct
import traceback
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from iristrack.configuration.document import parse_configuration
from iristrack.dataplane.clients import ClientListener
from iristrack.dataplane.discovery import apply_server_list
from iristrack.dataplane.exchange import handle_request
from iristrack.dataplane.state import ActiveConfiguration, PlaneState
from iristrack.http1 import messages as http
from iristrack.http1.connection import connect
from iristrack.net.links import Links
from iristrack.placement.servers import ListedServer, Server
from iristrack.runtime.scheduler import READ, WRITE, Scheduler, clock, open_listener, send_all
from iristrack.settings import read_settings

NS_PER_S = 1_000_000_000
TEST_TIMEOUT_NS = 20 * NS_PER_S  # only a failing test waits this long
LOOPBACK = ("127.0.0.1", 0)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MODEL = "daka510000"
SEAL_LINE = b"X-Iristrack-Server-Seal: s1\r\n"
CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n"
NOT_EXECUTED = b"X-Iristrack-Not-Executed: 1\r\n"


def yield_turn(scheduler: Scheduler) -> None:
    """Let the other tasks run for one turn of the event loop."""
    scheduler.call_at(clock(), scheduler.current.wake)
    scheduler.wait(-1, 0, None)


class ServerExchange:
    """One request that a fake server received, and the connection for its response."""

    def __init__(self, server: FakeModelServer, sock: socket.socket, message: http.Message) -> None:
        self.server = server
        self.sock = sock
        self.message = message

    @property
    def id(self) -> bytes:
        return self.message.head.fields[b"x-iristrack-attempt-id"]

    def send(self, data: bytes) -> None:
        scheduler = self.server.scheduler
        send_all(self.sock, data, lambda: scheduler.wait(self.sock.fileno(), WRITE, None))

    def send_bytewise(self, data: bytes) -> None:
        """Send the data byte by byte, one byte per turn of the event loop."""
        for at in range(len(data)):
            self.send(data[at : at + 1])
            yield_turn(self.server.scheduler)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        self.sock.close()

    def wait_until_closed(self) -> None:
        """Wait until the other side has closed the connection."""
        with suppress(OSError):
            while True:
                self.server.scheduler.wait(self.sock.fileno(), READ, None)
                if not self.sock.recv(65536):
                    break
        self.server.ended += 1


ServerScript = bytes | Callable[[ServerExchange], None]


def with_attempt_id(answer: bytes, attempt_id: bytes) -> bytes:
    """Add the request's id to the response's head, as servers echo it, unless there is one already."""
    head, _, _ = answer.partition(b"\r\n\r\n")
    if not answer.startswith(b"HTTP/") or b"x-iristrack-attempt-id" in head.lower():
        return answer
    first, _, rest = answer.partition(b"\r\n")
    return first + b"\r\nX-Iristrack-Attempt-Id: " + attempt_id + b"\r\n" + rest


class FakeModelServer:
    """Respond to successive requests with successive `answers`; the last one is repeated."""

    def __init__(self, scheduler: Scheduler, answers: tuple[ServerScript, ...]) -> None:
        self.scheduler = scheduler
        self.answers = list(answers)
        self.requests: list[http.Message] = []
        self.opened = 0
        self.ended = 0  # connections that `wait_until_closed` saw close
        self._listener = open_listener(LOOPBACK, 16)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        scheduler.watch(self._listener.fileno(), self._accept)

    def stop(self) -> None:
        """Refuse connections."""
        self.scheduler.unwatch(self._listener.fileno())
        self._listener.close()

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        self.opened += 1
        self.scheduler.spawn("fake model server", self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        reader = http.Reader(limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)
        try:
            while sock.fileno() >= 0:
                message = None if reader.empty else reader.feed(b"")
                while message is None:
                    self.scheduler.wait(sock.fileno(), READ, None)
                    data = sock.recv(65536)
                    if not data:
                        return
                    message = reader.feed(data)
                self.requests.append(message)
                answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
                exchange = ServerExchange(self, sock, message)
                if isinstance(answer, bytes):
                    exchange.send(with_attempt_id(answer, exchange.id))
                else:
                    answer(exchange)
        except OSError:
            pass  # the data plane has closed the connection
        finally:
            sock.close()

    @property
    def attempt_ids(self) -> list[bytes]:
        return [message.head.fields[b"x-iristrack-attempt-id"] for message in self.requests]

    def header(self, name: bytes, request: int = -1) -> bytes | None:
        return self.requests[request].head.fields.get(name)


@dataclass
class Received:
    """What a client received, and the state of its connection afterwards: "open", "closed" or "reset"."""

    raw: bytes = b""
    message: http.Message | None = None
    end: str = "open"

    @property
    def status(self) -> int | None:
        return self.message.head.status if self.message is not None else None

    @property
    def complete(self) -> bool:
        return self.message is not None

    @property
    def body(self) -> bytes:
        return self.message.body

    def header(self, name: bytes) -> bytes | None:
        return self.message.head.fields.get(name)


class Client:
    """One client connection; its methods run in a task."""

    def __init__(self, harness: Harness) -> None:
        self.scheduler = harness.scheduler
        self.sock = connect(harness.scheduler, harness.address, clock() + TEST_TIMEOUT_NS)
        self.reader = http.Reader(response=True, limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)

    def send(self, data: bytes) -> None:
        send_all(self.sock, data, lambda: self.scheduler.wait(self.sock.fileno(), WRITE, None))

    def receive(self, until: bytes | None = None) -> Received:
        """Receive a complete response, or the bytes up to `until` or to the connection's end, whichever is first."""
        received = Received()
        received.message = None if self.reader.empty else self.reader.feed(b"")
        while received.message is None and (until is None or until not in received.raw):
            self.scheduler.wait(self.sock.fileno(), READ, clock() + TEST_TIMEOUT_NS)
            try:
                data = self.sock.recv(65536)
            except ConnectionResetError:
                received.end = "reset"
                break
            if not data:
                received.end = "closed"
                break
            received.raw += data
            received.message = self.reader.feed(data)
        return received

    def disconnect(self) -> None:
        self.sock.close()


@dataclass
class Harness:
    """The data plane's state, its client listener, and the fake servers."""

    scheduler: Scheduler
    plane: PlaneState
    listener: ClientListener
    failures: list[str]
    servers: dict[str, FakeModelServer] = field(default_factory=dict)
    entries: list[ListedServer] = field(default_factory=list)

    @property
    def address(self) -> tuple[str, int]:
        return self.listener._listener.getsockname()

    def serve(self, *answers: ServerScript, service: str = "pool", revision: int = 1) -> FakeModelServer:
        """Start a server and add it to the list; of equally loaded servers the first added is chosen first."""
        return self.add(FakeModelServer(self.scheduler, answers), service, revision)

    def add(self, server: FakeModelServer, service: str = "pool", revision: int = 1) -> FakeModelServer:
        """Add a server to the list."""
        name = f"i-{len(self.entries)}"
        self.servers[name] = server
        self.entries.append(
            ListedServer(name, service, server.address, "zone", True, 8, ((MODEL, revision),))
        )
        apply_server_list(self.plane, self.entries)
        self.listed_server(name).others_inflight = len(self.entries) - 1
        return server

    def listed_server(self, name: str) -> Server:
        return self.plane.servers.servers[name]

    def configure(self, document: dict[str, Any]) -> None:
        self.plane.active = ActiveConfiguration(parse_configuration(json.dumps(document).encode()))

    def run(self, *calls: Callable[[], object]) -> list[Any]:
        """Run the calls as tasks until all have ended; return their results."""
        results: list[Any] = [None] * len(calls)
        unfinished = set(range(len(calls)))

        def run_call(number: int) -> None:
            try:
                results[number] = calls[number]()
            finally:
                unfinished.discard(number)
                if not unfinished:
                    self.scheduler.stop()

        for number in range(len(calls)):
            self.scheduler.spawn(f"call {number}", run_call, number)
        self._run_loop()
        assert not unfinished, f"{len(unfinished)} calls did not end"
        return results

    def run_until(self, condition: Callable[[], object]) -> None:
        """Run the event loop until `condition` returns true."""

        def poll() -> None:
            while not condition():
                yield_turn(self.scheduler)

        self.run(poll)

    def _run_loop(self) -> None:
        self.scheduler._stopped = False
        timeout = self.scheduler.call_at(clock() + TEST_TIMEOUT_NS, self.scheduler.stop)
        self.scheduler.run()
        timeout.cancel()
        assert not self.failures, "\n".join(self.failures)

    def ask(self, request: bytes) -> Received:
        """Send one request on a new connection and return the response."""

        def call() -> Received:
            client = Client(self)
            client.send(request)
            received = client.receive()
            client.disconnect()
            return received

        (received,) = self.run(call)
        return received


def route(prefix: str, kind: str, **more: object) -> dict[str, object]:
    return {
        "label": prefix, "hostname": "h.example", "path_prefix": f"/{prefix}/", "route_kind": kind,
        "timeout_ms": 20_000, "target_latency_ms": 600, "target": "pool", "max_tries": 3, "priority": 4,
    } | more  # fmt: skip


def document(**more: object) -> dict[str, Any]:
    return {
        "revision": 1,
        "route_table": [
            route("safe", "safe"),
            route("unsafe", "unsafe"),
            route("stream", "streaming"),
            route("resumable", "streaming", resumable=True),
            route("public", "safe", public=True),
            route("once", "safe", max_tries=1),
            route("short", "safe", timeout_ms=250),
        ],
        "services": [
            {"label": "pool", "engine": {"model_list": [{"label": MODEL}]}},
            {"label": "store", "kv_store_addr": "172.20.0.2:8165", "zone": "zone"},
        ],
    } | more


def make_harness() -> Harness:
    failures: list[str] = []
    scheduler = Scheduler(lambda text: failures.append(f"{text}\n{traceback.format_exc()}"))
    settings = read_settings(
        json.dumps(
            {"node_name": "n", "role": "edge", "ip": "127.0.0.1", "zone": "zone", "port_range": [1, 2]}
        ).encode()
    ).ok
    plane = PlaneState(settings, scheduler, Links(scheduler, 5 * NS_PER_S, 100, whole=0), random.Random(1))
    listener = ClientListener(
        scheduler, LOOPBACK, lambda client, message, at: handle_request(plane, client, message, at), 50
    )
    harness = Harness(scheduler, plane, listener, failures)
    harness.configure(document())
    budget = plane.retry_budget("pool")
    budget.tokens = budget.capacity  # as in a process that has been running for a while
    return harness


def client_request(prefix: str, attempt_id: str = "a1", lines: bytes = b"", body: bytes = b"") -> bytes:
    """Return a client's request on the route with this prefix."""
    fixed = (
        b"Host: h.example\r\nX-Iristrack-Attempt-Id: %b\r\nX-Iristrack-Time-Left-Ms: 9000\r\n"
        % attempt_id.encode()
    )
    return http.request(b"POST" if body else b"GET", f"/{prefix}/x".encode(), fixed + lines, body)


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream_head(seal: bytes = b"s1") -> bytes:
    lines = b"Content-Type: text/event-stream\r\nX-Iristrack-Server-Seal: %b\r\n" % seal
    return b"HTTP/1.1 200 OK\r\n" + lines + CHUNKED_LINE + b"\r\n"


def stream(first: int, last: int, seal: bytes = b"s1") -> bytes:
    """Return a complete event stream."""
    return stream_head(seal) + chunks(first, last) + http.LAST_CHUNK


def chunks(first: int, last: int) -> bytes:
    return b"".join(http.chunk(event(number)) for number in range(first, last + 1))


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))
