"""Client connections: reading complete requests, writing responses, and closing."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import (
    HANG_UP,
    READ,
    WRITE,
    Cancelled,
    Scheduler,
    Task,
    clock,
    open_listener,
    send_all,
)

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # bounds one turn of the event loop
RECEIVE_BYTES = 64 * 1024
WRITE_STALL_TIMEOUT_NS = 4 * NS_PER_S  # a client that accepts no bytes for this long is dropped
LINGERING_CLOSE_NS = 100 * NS_PER_MS  # how long a client has to close after this side shut down sending
BODY_READ_TIMEOUT_NS = 3 * NS_PER_S  # the longest pause between two pieces of a body
ACCEPT_RETRY_NS = 50 * NS_PER_MS
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ClientDisconnected(Exception):
    """The client has closed its connection, or accepts no more bytes."""


class ClientConnection:
    """One client connection, served by one task."""

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        """`sock` is a newly accepted non-blocking socket."""
        self.listener = listener
        self.scheduler = listener.scheduler
        self.sock = sock
        self.fd = sock.fileno()
        self.reader = http.Reader(limit=listener.max_body_bytes, whole=listener.max_body_bytes)
        self.disconnected = False  # the client has gone
        self.reset_on_close = False  # the close must show the client that its response is incomplete
        self.task: Task | None = None
        self._watching = False

    # ---- while waiting for a server

    def watch(self) -> None:
        """Start to watch for the client's disconnect, which wakes the connection's task."""
        if not self._watching and not self.disconnected:
            self._watching = True
            self.scheduler.watch(self.fd, self._on_readable)

    def unwatch(self) -> None:
        """Stop watching; call this before the connection is read or waited on."""
        if self._watching:
            self._watching = False
            self.scheduler.unwatch(self.fd)

    def _on_readable(self, hung_up: bool = False) -> None:
        self.unwatch()
        try:
            if not hung_up and self.sock.recv(1, socket.MSG_PEEK):
                # A pipelined request stays in the kernel buffer; from here on only a hang-up is watched for.
                self._watching = True
                self.scheduler.watch(self.fd, lambda: self._on_readable(hung_up=True), HANG_UP)
                return
        except BlockingIOError:
            self.watch()
            return
        except OSError:
            pass
        self.disconnected = True
        if self.task is not None:
            self.task.wake()

    def write(self, data: bytes) -> None:
        """Write all of `data`; raises `ClientDisconnected` if the client accepts no more bytes."""
        if self.disconnected:
            raise ClientDisconnected
        try:
            send_all(self.sock, data, self._wait_writable)
        except OSError:
            self.disconnected = True
            raise ClientDisconnected from None

    def _wait_writable(self) -> None:
        watching = self._watching
        self.unwatch()
        self.scheduler.wait(self.fd, WRITE, clock() + WRITE_STALL_TIMEOUT_NS)
        if watching:
            self.watch()

    def feed(self, data: bytes) -> http.Message | None:
        """Feed bytes to the reader, and respond to `Expect: 100-continue`."""
        message = self.reader.feed(data)
        head = self.reader.head
        if (
            message is None
            and head is not None
            and head.fields.get(b"expect", b"").lower() == b"100-continue"
        ):
            del head.fields[b"expect"]
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return message


ExchangeHandler = Callable[[ClientConnection, http.Message, int], bool]


class ClientListener:
    """Accept clients and have `exchange` respond to each request; it returns whether the connection is kept.

    Limits: `max_connections`; `header_timeout_ns` from a request's first byte to the end of its head;
    `idle_timeout_ns` between requests.
    """

    def __init__(
        self, scheduler: Scheduler, address: tuple[str, int], exchange: ExchangeHandler, max_connections: int
    ) -> None:
        """Raises `OSError` if the address cannot be bound."""
        self.scheduler = scheduler
        self.exchange = exchange
        self.max_connections = max_connections
        self.max_body_bytes = 4 << 20
        self.max_head_bytes = http.MAX_HEAD_BYTES
        self.header_timeout_ns = 3 * NS_PER_S
        self.idle_timeout_ns = 15 * NS_PER_S
        self.connections: set[ClientConnection] = set()
        self.closing = False  # connections close after the response in progress
        self.on_empty: Callable[[], None] | None = None
        self._listener: socket.socket | None = open_listener(address, LISTEN_BACKLOG)
        self._accepting = False
        self._resume()

    def stop_accepting(self) -> None:
        """Take the connections that the kernel has accepted already, then close the listening socket."""
        if self._listener is not None:
            if self._accepting:
                self._accept()
                self.scheduler.unwatch(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Close the idle connections now, and the others after their response."""
        self.closing = True
        for client in list(self.connections):
            if client.reader.empty and client.task is not None and not client._watching:
                client.task.wake()

    def _resume(self) -> None:
        if (
            not self._accepting
            and self._listener is not None
            and len(self.connections) < self.max_connections
        ):
            self._accepting = True
            self.scheduler.watch(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        self._accepting = False
        self.scheduler.unwatch(self._listener.fileno())

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if len(self.connections) >= self.max_connections:
                self._pause()
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # Out of file descriptors: retrying at once would spin the loop.
                self._pause()
                self.scheduler.call_at(clock() + ACCEPT_RETRY_NS, self._resume)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = ClientConnection(self, sock)
            self.connections.add(client)
            client.task = self.scheduler.spawn("client", self._serve, client)

    def _serve(self, client: ClientConnection) -> None:
        try:
            self._serve_requests(client)
            self._close_gracefully(client)
        except (OSError, http.Truncated, ClientDisconnected, Cancelled):
            pass
        finally:
            client.unwatch()
            if client.reset_on_close:
                with suppress(OSError):
                    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.sock.close()
            self.connections.discard(client)
            self._resume()
            if not self.connections and self.on_empty is not None:
                self.on_empty()

    def _serve_requests(self, client: ClientConnection) -> None:
        """Serve one request after another until the connection is to be closed."""
        try:
            while True:
                message = self._read_request(client)
                if message is None:
                    return
                client.watch()
                try:
                    keep_alive = self.exchange(client, message, clock())
                finally:
                    client.unwatch()
                if not keep_alive or client.reset_on_close:
                    return
        except http.Malformed as error:
            client.write(http.response(error.status, str(error).encode() + b"\n", b"", close=True))

    def _read_request(self, client: ClientConnection) -> http.Message | None:
        """Read the next request; return None if the connection has ended."""
        reader = client.reader
        if reader.head is None:
            reader.bound(self.max_body_bytes, self.max_head_bytes)
        message = None if reader.empty else client.feed(b"")
        started_at = None if reader.empty else clock()
        idle_deadline = clock() + self.idle_timeout_ns
        while message is None:
            if self.closing and reader.empty:
                return None
            deadline = idle_deadline if started_at is None else started_at + self.header_timeout_ns
            if reader.head is not None:
                deadline = clock() + BODY_READ_TIMEOUT_NS
            try:
                self.scheduler.wait(client.fd, READ, deadline)
            except TimeoutError:
                if reader.empty:
                    return None
                raise http.Malformed(408, "the request did not become whole in time") from None
            try:
                data = client.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            if not data:
                client.disconnected = True
                return None
            if started_at is None:
                started_at = clock()
                reader.bound(
                    self.max_body_bytes, self.max_head_bytes
                )  # the limits may have changed while the connection was idle
            message = client.feed(data)
        return message

    def _close_gracefully(self, client: ClientConnection) -> None:
        """Shut down sending, then discard input until the client closes or the time is up.

        A close with unread bytes in the buffer would reset the connection, and the client could lose the response.
        """
        if client.disconnected or client.reset_on_close:
            return
        client.sock.shutdown(socket.SHUT_WR)
        deadline = clock() + LINGERING_CLOSE_NS
        while True:
            self.scheduler.wait(client.fd, READ, deadline)
            with suppress(BlockingIOError):
                if not client.sock.recv(RECEIVE_BYTES):
                    return
