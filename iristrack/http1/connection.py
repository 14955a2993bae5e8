"""Client-side HTTP/1.1 connections: opening a connection and reading responses from it."""

from __future__ import annotations

import errno
import os
import socket

from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import READ, WRITE, Scheduler, clock, send_all

RECEIVE = 64 * 1024  # maximum bytes of one receive call
Address = tuple[str, int]


class Link:
    """A client-side connection and the reader of its responses."""

    __slots__ = ("fd", "idle_since", "keep_ns", "reader", "scheduler", "sock", "target")

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        target: object,
        limit: int = http.MAX_BODY_BYTES,
        whole: int = http.MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        """`target` is the caller's own record of the peer, or None for a connection outside a pool."""
        self.scheduler = scheduler
        self.sock = sock
        self.fd = sock.fileno()
        self.target = target
        self.reader = http.Reader(response=True, limit=limit, whole=whole)
        self.idle_since = 0
        self.keep_ns: int | None = None  # idle time after which the peer closes, as it announced

    def write(self, data: bytes, deadline: int) -> None:
        """Send all of `data`."""
        send_all(self.sock, data, lambda: self.scheduler.wait(self.fd, WRITE, deadline))

    def read(self, deadline: int, hold_ns: int = 0) -> http.Message | None:
        """Return the next message, or None if it is long or has no declared length and took longer than `hold_ns`."""
        reader, until = self.reader, deadline
        while True:
            try:
                self.scheduler.wait(self.fd, READ, until)
            except TimeoutError:
                if until < deadline:
                    return None
                raise
            try:
                data = self.sock.recv(RECEIVE)
            except BlockingIOError:
                continue
            message = reader.feed(data) if data else reader.end()
            if message is not None:
                return message
            if reader.long:
                return None
            if not data:
                raise ConnectionResetError("connection closed before a response")
            if hold_ns and until == deadline and reader.unmeasured and reader.head.status == 200:
                until = min(deadline, clock() + hold_ns)

    def quiet(self) -> bool:
        """Return whether an idle connection is usable: not closed by the peer and without unsolicited bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def connect(scheduler: Scheduler, address: Address, deadline: int) -> socket.socket:
    """Open a TCP connection; raises `OSError` if it is not established by the deadline."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            scheduler.wait(sock.fileno(), WRITE, deadline)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return sock
    except BaseException:
        sock.close()
        raise
