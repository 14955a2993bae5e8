"""Client-side HTTP/1.1 connections: opening one, and reading whole answers from it."""

from __future__ import annotations

import errno
import os
import socket

from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import READ, WRITE, Scheduler, clock, send_all

RECEIVE = 64 * 1024
Address = tuple[str, int]


class Link:
    """One client-side connection, and the reader of its answers."""

    __slots__ = ("fd", "idle_since", "keep_ns", "reader", "scheduler", "sock", "target")

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        target: object,
        limit: int = http.MAX_BODY_BYTES,
        whole: int = http.MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        """`target` is whatever the caller keeps of the peer, None for a connection of no pool."""
        self.scheduler = scheduler
        self.sock = sock
        self.fd = sock.fileno()
        self.target = target
        self.reader = http.Reader(response=True, limit=limit, whole=whole)
        self.idle_since = 0
        self.keep_ns: int | None = None  # how long the peer said that it keeps the connection idle

    def write(self, data: bytes, deadline: int) -> None:
        """Write it all."""
        send_all(self.sock, data, lambda: self.scheduler.wait(self.fd, WRITE, deadline))

    def read(self, deadline: int, hold_ns: int = 0) -> http.Message | None:
        """The next message; None where it is a long one, or after `hold_ns` one that does not tell its length."""
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
                raise ConnectionResetError("closed before an answer")
            if hold_ns and until == deadline and reader.unmeasured and reader.head.status == 200:
                until = min(deadline, clock() + hold_ns)

    def quiet(self) -> bool:
        """Is there neither an end nor unasked bytes on it?"""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def connect(scheduler: Scheduler, address: Address, deadline: int) -> socket.socket:
    """A connection that is up; raises `OSError` where it does not come up in time."""
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
