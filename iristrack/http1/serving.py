"""Small HTTP/1.1 server that buffers whole requests and responses; serves readiness and the operators' API."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

from iristrack.http1 import messages as http
from iristrack.http1.connection import RECEIVE, Address
from iristrack.runtime.scheduler import READ, WRITE, Cancelled, Scheduler, clock, open_listener, send_all

NS_PER_S = 1_000_000_000
IDLE_NS = 20 * NS_PER_S
REQUEST_NS = 10 * NS_PER_S  # time-out of a request from its first byte to its last
WRITE_NS = 5 * NS_PER_S  # time-out of a wait for a writable connection
RETRY_ACCEPT_NS = NS_PER_S // 20
BACKLOG = 512
MAX_ACCEPTS_PER_TURN = 32
MAX_CONNECTIONS = 512
JSON = b"Content-Type: application/json\r\n"


@dataclass(frozen=True, slots=True)
class Response:
    """The response of a handler; `lines` are header lines with line ends."""

    status: int
    body: bytes = b""
    lines: bytes = JSON


Handler = Callable[[http.Message], Response]


class HttpServer:
    """Listens at one address and calls `handler` for each request; each connection has its own task."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        handler: Handler,
        most_body: int,
        most_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """`most_body` is the limit of a request's body in bytes; raises `OSError` if the address cannot be bound."""
        self.scheduler = scheduler
        self.handler = handler
        self.most_body = most_body
        self.most_connections = most_connections
        self.connections = 0
        self.stopping = False
        self._listener: socket.socket | None = open_listener(address, BACKLOG)
        self._watch()

    def stop(self) -> None:
        """Accept no more connections; open ones are closed after their next response."""
        self.stopping = True
        if self._listener is not None:
            self.scheduler.unwatch(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def _watch(self) -> None:
        if self._listener is not None:
            self.scheduler.watch(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._listener is None:
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # No descriptor is left: retrying at once would keep the event loop busy.
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
            pass  # the client closed the connection or is too slow
        finally:
            sock.close()
            self.connections -= 1

    def _answer_next(self, sock: socket.socket, reader: http.Reader) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            message = self._read(sock, reader)
        except http.Malformed as error:
            self._write(sock, http.response(error.status, str(error).encode(), b"", close=True))
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
            # An exception in one request is answered with status 500, and the connection serves the next request.
            self.scheduler.report_failure("HTTP request failed")
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
