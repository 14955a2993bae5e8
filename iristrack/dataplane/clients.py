"""Clients' connections: whole requests in, answers out, and one way to end a connection."""

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
BACKLOG = 1024
ACCEPTS = 64  # connections taken in one turn
RECEIVE = 64 * 1024
STALL_NS = 4 * NS_PER_S  # a client that takes nothing for so long is given up
PART_NS = 100 * NS_PER_MS  # a client has so long to end a connection that was shut here
BODY_PAUSE_NS = 3 * NS_PER_S  # a body may pause for so long
RETRY_ACCEPT_NS = 50 * NS_PER_MS
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ClientLeft(Exception):
    """The client has closed its connection, or takes nothing any more."""


class ClientConnection:
    """One client's connection, served by one task."""

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        """`sock` is non-blocking and was just accepted."""
        self.listener = listener
        self.scheduler = listener.scheduler
        self.sock = sock
        self.fd = sock.fileno()
        self.reader = http.Reader(limit=listener.most_body, whole=listener.most_body)
        self.left = False  # has the client gone?
        self.broken = False  # must the client see that its answer broke off?
        self.task: Task | None = None
        self._watching = False

    # ---- while an answer is awaited

    def watch(self) -> None:
        """Notice from now on when the client leaves, and wake the connection's task then."""
        if not self._watching and not self.left:
            self._watching = True
            self.scheduler.watch(self.fd, self._readable)

    def unwatch(self) -> None:
        """Stop noticing; to be done before the connection is read or waited on."""
        if self._watching:
            self._watching = False
            self.scheduler.unwatch(self.fd)

    def _readable(self, hung_up: bool = False) -> None:
        self.unwatch()
        try:
            if not hung_up and self.sock.recv(1, socket.MSG_PEEK):
                # An early next request stays in the kernel until this one is answered; only the end is of interest.
                self._watching = True
                self.scheduler.watch(self.fd, lambda: self._readable(hung_up=True), HANG_UP)
                return
        except BlockingIOError:
            self.watch()
            return
        except OSError:
            pass
        self.left = True
        if self.task is not None:
            self.task.wake()

    def write(self, data: bytes) -> None:
        """Write it all; raises `ClientLeft` where the client takes nothing any more."""
        if self.left:
            raise ClientLeft
        try:
            send_all(self.sock, data, self._wait_writable)
        except OSError:
            self.left = True
            raise ClientLeft from None

    def _wait_writable(self) -> None:
        watching = self._watching
        self.unwatch()
        self.scheduler.wait(self.fd, WRITE, clock() + STALL_NS)
        if watching:
            self.watch()

    def read(self, data: bytes) -> http.Message | None:
        """Feed bytes to the reader, answering `Expect: 100-continue`."""
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


Exchange = Callable[[ClientConnection, http.Message, int], bool]


class ClientListener:
    """Accepts clients and has `exchange` answer each request; it returns whether the connection goes on.

    Bounds: `most` connections; a request's head within `header_ns` of its first byte; `idle_ns` between requests.
    """

    def __init__(self, scheduler: Scheduler, address: tuple[str, int], exchange: Exchange, most: int) -> None:
        """Raises `OSError` where the address cannot be had."""
        self.scheduler = scheduler
        self.exchange = exchange
        self.most = most
        self.most_body = 4 << 20
        self.most_head = http.MAX_HEAD_BYTES
        self.header_ns = 3 * NS_PER_S
        self.idle_ns = 15 * NS_PER_S
        self.connections: set[ClientConnection] = set()
        self.closing = False  # connections end with the answer under way
        self.on_empty: Callable[[], None] | None = None
        self._listener: socket.socket | None = open_listener(address, BACKLOG)
        self._accepting = False
        self._resume()

    def stop_accepting(self) -> None:
        """Take what the kernel has accepted already, then no more."""
        if self._listener is not None:
            if self._accepting:
                self._accept()
                self.scheduler.unwatch(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def end_idle(self) -> None:
        """Have connections end: the idle ones now, the others with their answer."""
        self.closing = True
        for client in list(self.connections):
            if client.reader.empty and client.task is not None and not client._watching:
                client.task.wake()

    def _resume(self) -> None:
        if not self._accepting and self._listener is not None and len(self.connections) < self.most:
            self._accepting = True
            self.scheduler.watch(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        self._accepting = False
        self.scheduler.unwatch(self._listener.fileno())

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if len(self.connections) >= self.most:
                self._pause()
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # No descriptor is left: an accept that fails at once would spin the loop.
                self._pause()
                self.scheduler.call_at(clock() + RETRY_ACCEPT_NS, self._resume)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = ClientConnection(self, sock)
            self.connections.add(client)
            client.task = self.scheduler.spawn("client", self._serve, client)

    def _serve(self, client: ClientConnection) -> None:
        try:
            self._converse(client)
            self._part(client)
        except (OSError, http.Truncated, ClientLeft, Cancelled):
            pass
        finally:
            client.unwatch()
            if client.broken:
                with suppress(OSError):
                    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.sock.close()
            self.connections.discard(client)
            self._resume()
            if not self.connections and self.on_empty is not None:
                self.on_empty()

    def _converse(self, client: ClientConnection) -> None:
        """Answer request after request until the connection is to end."""
        try:
            while True:
                message = self._read(client)
                if message is None:
                    return
                client.watch()
                try:
                    keep = self.exchange(client, message, clock())
                finally:
                    client.unwatch()
                if not keep or client.broken:
                    return
        except http.Malformed as fault:
            client.write(http.response(fault.status, str(fault).encode() + b"\n", b"", close=True))

    def _read(self, client: ClientConnection) -> http.Message | None:
        """The next request; None where the connection is over."""
        reader = client.reader
        if reader.head is None:
            reader.bound(self.most_body, self.most_head)
        message = None if reader.empty else client.read(b"")
        began = None if reader.empty else clock()
        idle_until = clock() + self.idle_ns
        while message is None:
            if self.closing and reader.empty:
                return None
            deadline = idle_until if began is None else began + self.header_ns
            if reader.head is not None:
                deadline = clock() + BODY_PAUSE_NS
            try:
                self.scheduler.wait(client.fd, READ, deadline)
            except TimeoutError:
                if reader.empty:
                    return None
                raise http.Malformed(408, "the request did not become whole in time") from None
            try:
                data = client.sock.recv(RECEIVE)
            except BlockingIOError:
                continue
            if not data:
                client.left = True
                return None
            if began is None:
                began = clock()
                reader.bound(self.most_body, self.most_head)  # a configuration may have come meanwhile
            message = client.read(data)
        return message

    def _part(self, client: ClientConnection) -> None:
        """Shut the sending side, read and drop to the end or a bound, close: a close over unread bytes would reset."""
        if client.left or client.broken:
            return
        client.sock.shutdown(socket.SHUT_WR)
        deadline = clock() + PART_NS
        while True:
            self.scheduler.wait(client.fd, READ, deadline)
            with suppress(BlockingIOError):
                if not client.sock.recv(RECEIVE):
                    return
