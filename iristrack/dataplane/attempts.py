"""One sending of a request to one server: the connection, the answer's head and its read_body."""

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
TCP_USER_TIMEOUT_MS = 700  # unacknowledged bytes for so long end a connection to a server
TCP_KEEPALIVE_S = 1  # and silence of its machine is noticed by probes
TCP_KEEPALIVE_PROBE_COUNT = 2
ATTEMPT_ID_HEADER = b"x-iristrack-attempt-id"
NOT_EXECUTED_HEADER = b"x-iristrack-not-executed"
SEAL_HEADER = b"x-iristrack-server-seal"
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=([0-9]{1,6})")


class AttemptFailed(Exception):
    """An attempt without a whole answer; `may_have_run` tells whether the server may have run it."""

    def __init__(self, reason: str, may_have_run: bool) -> None:
        """`reason` is for the log."""
        super().__init__(reason)
        self.may_have_run = may_have_run


class NotBegunInTime(AttemptFailed):
    """The server has not begun the request, and its weights count no longer: the request was taken back."""

    def __init__(self) -> None:
        """The server may have begun it in this moment."""
        super().__init__("not begun before its weights ceased to count", may_have_run=True)


class SendForbidden(Exception):
    """The right to send the request has ended before it was sent."""


class DeadlinePassed(Exception):
    """The time for the request is over while the server was working."""


class ResponseClass(Enum):
    """What an answer's head says."""

    SUCCESS = "success"
    NOT_EXECUTED = "not_executed"  # turned away: it has not run, and never will
    FAILURE = "failure"  # it may_have_run, and this is the answer
    UNKNOWN = "unknown"  # a status that promises what the server did not say: it may have run


def classify_response(head: http.Head) -> ResponseClass:
    """Judge an answer by its head alone."""
    if NOT_EXECUTED_HEADER in head.fields or head.status == 421:
        return ResponseClass.NOT_EXECUTED
    if 200 <= head.status < 300:
        return ResponseClass.SUCCESS if SEAL_HEADER in head.fields else ResponseClass.UNKNOWN
    if head.status in (408, 421, 429, 503):
        return ResponseClass.UNKNOWN
    return ResponseClass.FAILURE


class Attempt:
    """One attempt. Its methods are called in order: `send`, `read_head`, `read_body`, and `close` at any end."""

    def __init__(
        self, scheduler: Scheduler, links: Links, server: Server, client: ClientConnection, deadline: int
    ) -> None:
        """`deadline` (ns) is that of the whole request."""
        self.scheduler = scheduler
        self.links = links
        self.server = server
        self.client = client
        self.deadline = deadline
        self.written = False  # may the server have the request?
        self.sent_at = 0  # ns, when it was written
        self.head: http.Head | None = None
        self.begin_by: Callable[[int], int] = lambda now: (
            deadline
        )  # ns; asked again when that moment has come
        self._link: Link | None = None
        self._bodiless_message: http.Message | None = None  # an answer without a body

    def send(self, request: bytes, may_send: Callable[[], bool]) -> None:
        """Open or reuse a connection and write the request; raises `AttemptFailed`.

        `may_send` is asked last, as the wait for a connection takes time; raises `SendForbidden` where it says no.
        """
        try:
            link = self.links.take(self.server.instance_id, min(self.deadline, clock() + CONNECT_TIMEOUT_NS))
        except OSError as error:
            raise AttemptFailed(f"connect: {error}", may_have_run=False) from None
        if link is None:
            raise AttemptFailed("no connection can be had", may_have_run=False)
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
        """The head of this attempt's answer; answers of earlier requests that come late are dropped.

        One that names no request is this attempt's only where the connection has carried no other.
        """
        reader = self._link.reader
        while True:
            message = self._receive()
            head = message.head if message is not None else reader.head
            if head is None:
                continue
            if head.status == 101:
                raise AttemptFailed("another protocol", may_have_run=True)
            response_id = head.fields.get(ATTEMPT_ID_HEADER)
            if response_id is None and self._is_reused:
                raise AttemptFailed(
                    "an answer without an id, which may be an earlier request's", may_have_run=True
                )
            if response_id is None or response_id == attempt_id:
                self.head = head
                self._bodiless_message = message
                return head
            if message is None:
                self._drop_answer()

    @property
    def _is_reused(self) -> bool:
        """Has the connection carried an earlier request, and rested since?"""
        return self._link.idle_since != 0

    def read_body(self) -> Iterator[bytes]:
        """The answer's body as it comes, without its framing; ends only with the whole body."""
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
        """The answer is whole: the connection may be used again, unless the server says otherwise."""
        link = self._link
        self._link = None
        if link is None:
            return
        if self.head.keeps_alive and link.reader.empty:
            self.links.put_back(link, _keep_alive_ns(self.head))
        else:
            self.links.close(link)

    def close(self) -> None:
        """End the connection, wherever the attempt stands."""
        if self._link is not None:
            self.links.close(self._link)
            self._link = None

    def _drop_answer(self) -> None:
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
                raise AttemptFailed("closed before the answer's end", may_have_run=True)
            return message
        except TimeoutError:
            raise DeadlinePassed from None
        except (OSError, http.Malformed, http.Truncated) as error:
            raise AttemptFailed(f"read: {error}", may_have_run=True) from None

    def _recv(self, link: Link) -> bytes:
        """Wait for the next bytes, also where some are there already: other tasks and the deadline have their turn."""
        while True:
            if self.client.disconnected:
                raise ClientDisconnected
            if self._wait_readable(link) == WOKEN and self.client.disconnected:
                raise ClientDisconnected
            with suppress(BlockingIOError):
                return link.sock.recv(RECEIVE)

    def _wait_readable(self, link: Link) -> object:
        """Wait for the answer; raises `TimeoutError` at the deadline, `NotBegunInTime` where its head is overdue."""
        if self.head is not None:
            return self.scheduler.wait(link.fd, READ, self.deadline)
        # Sent is not begun: a request that waits at a slow server would begin on weights that count no longer.
        until = min(self.deadline, self.begin_by(clock()))
        try:
            return self.scheduler.wait(link.fd, READ, until)
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
    """A new connection to a server, which ends where its machine falls silent; raises `OSError`."""
    sock = connect(scheduler, address, deadline)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBE_COUNT)
    return sock


def _keep_alive_ns(head: http.Head) -> int | None:
    """How long the server keeps the connection idle, where it says so."""
    found = _KEEP_ALIVE_TIMEOUT.search(head.fields.get(b"keep-alive", b""))
    return int(found[1]) * NS_PER_S if found else None
