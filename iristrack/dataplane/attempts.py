"""One attempt to have a request answered by one server: the connection, the response's head and its body."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import Enum

from iristrack.dataplane.clients import ClientConnection, ClientDisconnected
from iristrack.http1 import messages as http
from iristrack.http1.connection import RECEIVE, Address, Link, connect
from iristrack.net.links import Links
from iristrack.placement.servers import Server
from iristrack.runtime.scheduler import READ, WOKEN, WRITE, Scheduler, clock

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
CONNECT_TIMEOUT_NS = 400 * NS_PER_MS
TCP_USER_TIMEOUT_MS = 700  # a connection with bytes unacknowledged for this long is closed
TCP_KEEPALIVE_S = 1  # idle time before a probe, and between probes, that detect a dead machine
TCP_KEEPALIVE_PROBE_COUNT = 2
ATTEMPT_ID_HEADER = b"x-iristrack-attempt-id"
NOT_EXECUTED_HEADER = b"x-iristrack-not-executed"
SEAL_HEADER = b"x-iristrack-server-seal"
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=([0-9]{1,6})")


class AttemptFailed(Exception):
    """An attempt without a complete response; `may_have_run`: whether the server may have executed the request."""

    def __init__(self, reason: str, may_have_run: bool) -> None:
        """`reason` is for the log."""
        super().__init__(reason)
        self.may_have_run = may_have_run


class NotBegunInTime(AttemptFailed):
    """The server had not begun the request when its weights expired: the request was cancelled."""

    def __init__(self) -> None:
        """`may_have_run` is set: the server may begin the request just as it is cancelled."""
        super().__init__("not begun before the server's weights expired", may_have_run=True)


class SendForbidden(Exception):
    """The permission to send the request ended before it was sent."""


class DeadlinePassed(Exception):
    """The request's deadline passed while the server was working on it."""


class ResponseClass(Enum):
    """What a response's head says about the execution of the request."""

    SUCCESS = "success"
    NOT_EXECUTED = "not_executed"  # rejected: the request has not run and will not run
    FAILURE = "failure"  # the request ran, and this error is its response
    UNKNOWN = "unknown"  # the header that would confirm the status is missing: the request may have run


def classify_response(head: http.Head) -> ResponseClass:
    """Classify a response by its head alone."""
    if NOT_EXECUTED_HEADER in head.fields or head.status == 421:
        return ResponseClass.NOT_EXECUTED
    if 200 <= head.status < 300:
        return ResponseClass.SUCCESS if SEAL_HEADER in head.fields else ResponseClass.UNKNOWN
    if head.status in (408, 421, 429, 503):
        return ResponseClass.UNKNOWN
    return ResponseClass.FAILURE


class Attempt:
    """One attempt. Call `send`, `read_head` and `read_body` in this order, and always `close` at the end."""

    def __init__(
        self, scheduler: Scheduler, links: Links, server: Server, client: ClientConnection, deadline: int
    ) -> None:
        """`deadline` (ns) is that of the whole request."""
        self.scheduler = scheduler
        self.links = links
        self.server = server
        self.client = client
        self.deadline = deadline
        self.written = False  # the server may have received the request
        self.sent_at = 0  # ns, when it was written
        self.head: http.Head | None = None
        # Returns the time (ns) by which the server has to begin; called again at that time, as it may have moved.
        self.begin_by: Callable[[int], int] = lambda now: deadline
        self._link: Link | None = None
        self._bodiless_message: http.Message | None = None  # a message that was complete with its head

    def send(self, request: bytes, may_send: Callable[[], bool]) -> None:
        """Open or reuse a connection and write the request; raises `AttemptFailed`.

        `may_send` is called last, since the wait for a connection takes time; raises `SendForbidden` if it is false.
        """
        try:
            link = self.links.take(self.server.instance_id, min(self.deadline, clock() + CONNECT_TIMEOUT_NS))
        except OSError as error:
            raise AttemptFailed(f"connect: {error}", may_have_run=False) from None
        if link is None:
            raise AttemptFailed("no connection available", may_have_run=False)
        self._link = link
        if not may_send():
            raise SendForbidden
        self.written = True
        self.sent_at = clock()
        try:
            self._write(request)
        except OSError as error:
            raise AttemptFailed(f"write: {error}", may_have_run=True) from None

    def read_head(self, attempt_id: bytes) -> http.Head:
        """Return the head of this attempt's response; late responses to earlier requests are dropped.

        A response without an attempt id is accepted only on a connection that has carried no other request.
        """
        reader = self._link.reader
        while True:
            message = self._receive()
            head = message.head if message is not None else reader.head
            if head is None:
                continue
            if head.status == 101:
                raise AttemptFailed("the server switches protocols", may_have_run=True)
            response_id = head.fields.get(ATTEMPT_ID_HEADER)
            if response_id is None and self._is_reused:
                raise AttemptFailed(
                    "a response without an attempt id on a reused connection", may_have_run=True
                )
            if response_id is None or response_id == attempt_id:
                self.head = head
                self._bodiless_message = message
                return head
            if message is None:
                self._discard_response()

    @property
    def _is_reused(self) -> bool:
        """Whether the connection has carried an earlier request and has been idle since."""
        return self._link.idle_since != 0

    def read_body(self) -> Iterator[bytes]:
        """Yield the response's body as it arrives, without its framing; ends only when the body is complete."""
        if self._bodiless_message is not None:
            yield self._bodiless_message.body
            return
        reader = self._link.reader
        while True:
            data = reader.take()
            if data:
                yield data
            if reader.done:
                reader.finish()
                return
            self._receive()

    def finish(self) -> None:
        """Return the connection for reuse after a complete response, or close it if the server asks for that."""
        link = self._link
        self._link = None
        if link is None:
            return
        if self.head.keeps_alive and link.reader.empty:
            self.links.put_back(link, _keep_alive_ns(self.head))
        else:
            self.links.close(link)

    def close(self) -> None:
        """Close the connection, in whatever state the attempt is."""
        if self._link is not None:
            self.links.close(self._link)
            self._link = None

    def _discard_response(self) -> None:
        reader = self._link.reader
        reader.take()
        while not reader.done:
            self._receive()
            reader.take()
        reader.finish()

    def _receive(self) -> http.Message | None:
        """Wait for bytes and feed them; raises `AttemptFailed`, `DeadlinePassed` or `ClientDisconnected`."""
        link = self._link
        reader = link.reader
        try:
            if not reader.empty and reader.head is None:
                message = reader.feed(b"")
                if message is not None or reader.head is not None:
                    return message
            data = self._recv(link)
            if data:
                return reader.feed(data)
            message = reader.end()
            if message is None and not reader.done:
                raise AttemptFailed("closed before the end of the response", may_have_run=True)
            return message
        except TimeoutError:
            raise DeadlinePassed from None
        except (OSError, http.Malformed, http.Truncated) as error:
            raise AttemptFailed(f"read: {error}", may_have_run=True) from None

    def _recv(self, link: Link) -> bytes:
        """Wait for the next bytes, even if some are ready, so that other tasks run and the deadline is checked."""
        while True:
            if self.client.disconnected:
                raise ClientDisconnected
            if self._wait_readable(link) == WOKEN and self.client.disconnected:
                raise ClientDisconnected
            with suppress(BlockingIOError):
                return link.sock.recv(RECEIVE)

    def _wait_readable(self, link: Link) -> object:
        """Wait for bytes; raises `TimeoutError` at the deadline, `NotBegunInTime` where the head is overdue."""
        if self.head is not None:
            return self.scheduler.wait(link.fd, READ, self.deadline)
        # A sent request may be queued at a slow server and would then begin on expired weights.
        wait_deadline = min(self.deadline, self.begin_by(clock()))
        try:
            return self.scheduler.wait(link.fd, READ, wait_deadline)
        except TimeoutError:
            now = clock()
            if now >= self.deadline:
                raise
            if now >= self.begin_by(now) and link.quiet():
                raise NotBegunInTime from None
            return None

    def _write(self, request: bytes) -> None:
        link = self._link
        view = memoryview(request)
        while view:
            if self.client.disconnected:
                raise ClientDisconnected
            try:
                view = view[link.sock.send(view) :]
            except BlockingIOError:
                self.scheduler.wait(link.fd, WRITE, self.deadline)


def connect_to_server(scheduler: Scheduler, address: Address, deadline: int) -> socket.socket:
    """Connect to a server, with probes that detect a dead machine; raises `OSError`."""
    sock = connect(scheduler, address, deadline)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBE_COUNT)
    return sock


def _keep_alive_ns(head: http.Head) -> int | None:
    """Return how long the server keeps an idle connection open; None if it does not say."""
    match = _KEEP_ALIVE_TIMEOUT.search(head.fields.get(b"keep-alive", b""))
    return int(match[1]) * NS_PER_S if match else None
