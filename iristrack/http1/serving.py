"""A small HTTP/1.1 server for calls whose requests and answers are kept whole: readiness and the operator's API."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

from iristrack.http1 import messages as http
from iristrack.http1.connection import RECEIVE, Address
from iristrack.runtime.scheduler import READ, WRITE, Cancelled, Scheduler, clock, open_listener, send_all

NS_PER_S = 1_000_000_000
IDLE_NS = 20 * NS_PER_S
REQUEST_NS = 10 * NS_PER_S  # a request must be whole so long after its first byte
WRITE_NS = 5 * NS_PER_S
RETRY_ACCEPT_NS = NS_PER_S // 20
BACKLOG = 512
ACCEPTS = 32  # connections taken in one turn
MOST_CONNECTIONS = 512
JSON = b"Content-Type: application/json\r\n"


@dataclass(frozen=True, slots=True)
class Response:
    """What a handler answers; `lines` are whole header lines."""

    status: int
    body: bytes = b""
    lines: bytes = JSON


Handler = Callable[[http.Message], Response]


class HttpServer:
    """Listens at one address and has `handler` answer each request in a task of its own connection."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        handler: Handler,
        most_body: int,
        most_connections: int = MOST_CONNECTIONS,
    ) -> None:
        """`most_body` bounds a request's body in bytes; raises `OSError` where the address cannot be had."""
        self.scheduler = scheduler
        self.handler = handler
        self.most_body = most_body
        self.most_connections = most_connections
        self.connections = 0
        self.stopping = False
        self._listener: socket.socket | None = open_listener(address, BACKLOG)
        self._watch()

    def stop(self) -> None:
        """Take no further connection; those open end with their next answer."""
        self.stopping = True
        if self._listener is not None:
            self.scheduler.unwatch(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def _watch(self) -> None:
        if self._listener is not None:
            self.scheduler.watch(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self._listener is None:
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # No descriptor is left: an accept that fails at once would spin the loop.
                self.scheduler.unwatch(self._listener.fileno())
                self.scheduler.call_at(clock() + RETRY_ACCEPT_NS, self._watch)
                return
            if self.connections >= self.most_connections:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections += 1
            self.scheduler.spawn("http server", self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        reader = http.Reader(limit=self.most_body, whole=self.most_body)
        try:
            while self._answer_next(sock, reader):
                pass
        except (OSError, http.Truncated, Cancelled):
            pass  # the caller left, or is too slow
        finally:
            sock.close()
            self.connections -= 1

    def _answer_next(self, sock: socket.socket, reader: http.Reader) -> bool:
        """Answer one request; false where the connection ends with it."""
        try:
            message = self._read(sock, reader)
        except http.Malformed as fault:
            self._write(sock, http.response(fault.status, str(fault).encode(), b"", close=True))
            return False
        if message is None:
            return False
        response = self._handle(message)
        keep = message.head.keeps_alive and not self.stopping
        self._write(sock, http.response(response.status, response.body, response.lines, close=not keep))
        return keep

    def _handle(self, message: http.Message) -> Response:
        try:
            return self.handler(message)
        except (Cancelled, OSError):
            raise
        except Exception:
            # Guards the caller: whatever goes wrong in one call is an answer to it, and the next one is served.
            self.scheduler.report_failure("a call failed")
            return Response(500, b'{"message":"internal error"}')

    def _read(self, sock: socket.socket, reader: http.Reader) -> http.Message | None:
        message = None if reader.empty else reader.feed(b"")
        deadline = clock() + (IDLE_NS if reader.empty else REQUEST_NS)
        while message is None:
            self.scheduler.wait(sock.fileno(), READ, deadline)
            try:
                data = sock.recv(RECEIVE)
            except BlockingIOError:
                continue
            if not data:
                return None
            if reader.empty:
                deadline = clock() + REQUEST_NS
            message = reader.feed(data)
            head = reader.head
            if (
                message is None
                and head is not None
                and head.fields.get(b"expect", b"").lower() == b"100-continue"
            ):
                del head.fields[b"expect"]
                self._write(sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        return message

    def _write(self, sock: socket.socket, data: bytes) -> None:
        send_all(sock, data, lambda: self.scheduler.wait(sock.fileno(), WRITE, clock() + WRITE_NS))
