"""A data plane's core in this process, between stand-in model servers and clients on loopback, all on one scheduler.

Nothing sleeps: servers and clients are tasks that wait for bytes, and a test ends with its last client.
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
from iristrack.dataplane.discovery import apply_list
from iristrack.dataplane.exchange import answer_request
from iristrack.dataplane.state import ActiveConfiguration, PlaneState
from iristrack.http1 import messages as http
from iristrack.http1.connection import connect
from iristrack.net.links import Links
from iristrack.placement.servers import ListedServer, Server
from iristrack.runtime.scheduler import READ, WRITE, Scheduler, clock, open_listener, send_all
from iristrack.settings import read_settings

NS_PER_S = 1_000_000_000
PATIENCE_NS = 20 * NS_PER_S  # only a failing test waits so long
LOOPBACK = ("127.0.0.1", 0)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MODEL = "daka510000"
SEALED = b"X-Iristrack-Server-Seal: s1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
NOT_EXECUTED = b"X-Iristrack-Not-Executed: 1\r\n"


def yield_turn(scheduler: Scheduler) -> None:
    """Let the other tasks take a turn."""
    scheduler.call_at(clock(), scheduler.current.wake)
    scheduler.wait(-1, 0, None)


class Conversation:
    """One request at a stand-in server, and the connection on which it is answered."""

    def __init__(self, server: StandInServer, sock: socket.socket, message: http.Message) -> None:
        self.server = server
        self.sock = sock
        self.message = message

    @property
    def id(self) -> bytes:
        return self.message.head.fields[b"x-iristrack-attempt-id"]

    def send(self, data: bytes) -> None:
        scheduler = self.server.scheduler
        send_all(self.sock, data, lambda: scheduler.wait(self.sock.fileno(), WRITE, None))

    def dribble(self, data: bytes) -> None:
        """Byte by byte, each in a turn of its own."""
        for at in range(len(data)):
            self.send(data[at : at + 1])
            yield_turn(self.server.scheduler)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        self.sock.close()

    def wait_for_end(self) -> None:
        """Until the other side has ended the connection."""
        with suppress(OSError):
            while True:
                self.server.scheduler.wait(self.sock.fileno(), READ, None)
                if not self.sock.recv(65536):
                    break
        self.server.ended += 1


Answer = bytes | Callable[[Conversation], None]


def named(answer: bytes, attempt_id: bytes) -> bytes:
    """The answer with the request's id in its head, as servers echo it, unless there is one already."""
    head, _, _ = answer.partition(b"\r\n\r\n")
    if not answer.startswith(b"HTTP/") or b"x-iristrack-attempt-id" in head.lower():
        return answer
    first, _, rest = answer.partition(b"\r\n")
    return first + b"\r\nX-Iristrack-Attempt-Id: " + attempt_id + b"\r\n" + rest


class StandInServer:
    """Answers its requests one after the other with `answers`, the last one again and again."""

    def __init__(self, scheduler: Scheduler, answers: tuple[Answer, ...]) -> None:
        self.scheduler = scheduler
        self.answers = list(answers)
        self.requests: list[http.Message] = []
        self.opened = 0
        self.ended = 0  # connections of which `wait_for_end` saw the end
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
        self.scheduler.spawn("stand-in server", self._serve, sock)

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
                conversation = Conversation(self, sock, message)
                if isinstance(answer, bytes):
                    conversation.send(named(answer, conversation.id))
                else:
                    answer(conversation)
        except OSError:
            pass  # the data plane has ended the connection
        finally:
            sock.close()

    @property
    def attempt_ids(self) -> list[bytes]:
        return [message.head.fields[b"x-iristrack-attempt-id"] for message in self.requests]

    def header(self, name: bytes, request: int = -1) -> bytes | None:
        return self.requests[request].head.fields.get(name)


@dataclass
class Received:
    """What a client got, and how its connection stood then: "open", "closed" or "reset"."""

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
    """One connection of a client; its methods run in a task."""

    def __init__(self, stand: Stand) -> None:
        self.scheduler = stand.scheduler
        self.sock = connect(stand.scheduler, stand.address, clock() + PATIENCE_NS)
        self.reader = http.Reader(response=True, limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)

    def send(self, data: bytes) -> None:
        send_all(self.sock, data, lambda: self.scheduler.wait(self.sock.fileno(), WRITE, None))

    def receive(self, until: bytes | None = None) -> Received:
        """A whole answer, or what came before the connection's end; with `until` at the latest up to that."""
        received = Received()
        received.message = None if self.reader.empty else self.reader.feed(b"")
        while received.message is None and (until is None or until not in received.raw):
            self.scheduler.wait(self.sock.fileno(), READ, clock() + PATIENCE_NS)
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

    def leave(self) -> None:
        self.sock.close()


@dataclass
class Stand:
    """The plane, its listener for clients, and the stand-in servers."""

    scheduler: Scheduler
    plane: PlaneState
    listener: ClientListener
    failures: list[str]
    servers: dict[str, StandInServer] = field(default_factory=dict)
    entries: list[ListedServer] = field(default_factory=list)

    @property
    def address(self) -> tuple[str, int]:
        return self.listener._listener.getsockname()

    def serve(self, *answers: Answer, service: str = "pool", revision: int = 1) -> StandInServer:
        """A further server on the list; of those that are equally busy the earlier one is asked first."""
        return self.add(StandInServer(self.scheduler, answers), service, revision)

    def add(self, server: StandInServer, service: str = "pool", revision: int = 1) -> StandInServer:
        """Name a server on the list."""
        name = f"i-{len(self.entries)}"
        self.servers[name] = server
        self.entries.append(
            ListedServer(name, service, server.address, "zone", True, 8, ((MODEL, revision),))
        )
        apply_list(self.plane, self.entries)
        self.known(name).others_inflight = len(self.entries) - 1
        return server

    def known(self, name: str) -> Server:
        return self.plane.servers.servers[name]

    def configure(self, document: dict[str, Any]) -> None:
        self.plane.active = ActiveConfiguration(parse_configuration(json.dumps(document).encode()))

    def run(self, *calls: Callable[[], object]) -> list[Any]:
        """Run the calls as tasks until all have ended; what they returned."""
        results: list[Any] = [None] * len(calls)
        left = set(range(len(calls)))

        def run_call(number: int) -> None:
            try:
                results[number] = calls[number]()
            finally:
                left.discard(number)
                if not left:
                    self.scheduler.stop()

        for number in range(len(calls)):
            self.scheduler.spawn(f"call {number}", run_call, number)
        self._turn()
        assert not left, "it did not come about"
        return results

    def turn_until(self, holds: Callable[[], object]) -> None:
        """Turn the loop until it holds."""

        def look() -> None:
            while not holds():
                yield_turn(self.scheduler)

        self.run(look)

    def _turn(self) -> None:
        self.scheduler._stopped = False
        guard = self.scheduler.call_at(clock() + PATIENCE_NS, self.scheduler.stop)
        self.scheduler.run()
        guard.cancel()
        assert not self.failures, "\n".join(self.failures)

    def ask(self, request: bytes) -> Received:
        """One request on a connection of its own."""

        def call() -> Received:
            client = Client(self)
            client.send(request)
            received = client.receive()
            client.leave()
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


def make_stand() -> Stand:
    failures: list[str] = []
    scheduler = Scheduler(lambda text: failures.append(f"{text}\n{traceback.format_exc()}"))
    settings = read_settings(
        json.dumps(
            {"node_name": "n", "role": "edge", "ip": "127.0.0.1", "zone": "zone", "port_range": [1, 2]}
        ).encode()
    ).ok
    plane = PlaneState(settings, scheduler, Links(scheduler, 5 * NS_PER_S, 100, whole=0), random.Random(1))
    listener = ClientListener(
        scheduler, LOOPBACK, lambda client, message, at: answer_request(plane, client, message, at), 50
    )
    stand = Stand(scheduler, plane, listener, failures)
    stand.configure(document())
    budget = plane.budget("pool")
    budget.tokens = budget.capacity  # as of a process that has been running for a while
    return stand


def asking(prefix: str, attempt_id: str = "a1", lines: bytes = b"", body: bytes = b"") -> bytes:
    """A client's request on the route of that prefix."""
    fixed = (
        b"Host: h.example\r\nX-Iristrack-Attempt-Id: %b\r\nX-Iristrack-Time-Left-Ms: 9000\r\n"
        % attempt_id.encode()
    )
    return http.request(b"POST" if body else b"GET", f"/{prefix}/x".encode(), fixed + lines, body)


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream_head(seal: bytes = b"s1") -> bytes:
    lines = b"Content-Type: text/event-stream\r\nX-Iristrack-Server-Seal: %b\r\n" % seal
    return b"HTTP/1.1 200 OK\r\n" + lines + CHUNKED + b"\r\n"


def stream(first: int, last: int, seal: bytes = b"s1") -> bytes:
    """A whole stream."""
    return stream_head(seal) + chunks(first, last) + http.LAST_CHUNK


def chunks(first: int, last: int) -> bytes:
    return b"".join(http.chunk(event(number)) for number in range(first, last + 1))


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))
