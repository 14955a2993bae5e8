"""The operators' door: HTTP/1.1 at an address of its own, one call to a connection.

This file owns that listener and its callers, bounded in number and time apart from the traffic's. It must never
decide anything, count anything of its own, or wait for a request: it reads what the core holds at that moment.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from loguru import logger

from iristrack import interface as mi
from iristrack.config import Address
from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import (
    READ,
    WRITE,
    Cancelled,
    Scheduler,
    Task,
    clock,
    open_listener,
    send_all,
)

MOST_CALLERS = 32  # at once; with the listener, under ADMIN_DESCRIPTORS
CALL_NS = 2 * mi.NS_PER_S  # a call must be whole, and its answer taken, so long after connecting
SILENT_NS = 50 * mi.NS_PER_MS  # once all places are taken, who has been here longer without a call goes
FULL_NS = 5 * mi.NS_PER_MS  # between looks while all places are taken
LINGER_NS = 50 * mi.NS_PER_MS  # an answer is left so long to arrive before the close
TELL_NS = 10 * mi.NS_PER_S  # between two log lines of failed accepts
ACCEPTS = 32
BACKLOG = 128
RECEIVE = 4096
_PLAIN = b"Content-Type: text/plain\r\n"


class AdminServer:
    """Answers `GET /healthcheck` and `GET /stats`."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        ready: Callable[[], bool],
        stats: Callable[[], dict[str, int]],
    ) -> None:
        """Nothing is opened before `start`. `ready` and `stats` are asked at each call and must not wait."""
        self.scheduler = scheduler
        self.address = address
        self.ready = ready
        self.stats = stats
        self.open = 0  # connections, those whose answer is on its way too
        self.callers: dict[Task, int] = {}  # without a whole call yet: since when, in ns, longest first
        self._listener: socket.socket | None = None
        self._accepting = False
        self._told_at = 0  # when a failed accept was last logged

    def start(self) -> None:
        """Listen; raises `OSError` where the address cannot be had."""
        self._listener = open_listener(self.address, BACKLOG)
        self._resume()

    def _resume(self) -> None:
        if not self._accepting:
            self._accepting = True
            self.scheduler.watch(self._listener.fileno(), self._accept)

    def _pause(self, until: int) -> None:
        self._accepting = False
        self.scheduler.unwatch(self._listener.fileno())
        self.scheduler.call_at(until, self._resume)

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self.open >= MOST_CALLERS:
                self._make_room()
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as fault:
                if clock() >= self._told_at + TELL_NS:  # it may go on for long
                    self._told_at = clock()
                    logger.warning("the door's accept failed: {}", fault)
                self._pause(clock() + SILENT_NS)
                return
            sock.setblocking(False)
            task = self.scheduler.spawn("operator", self._serve, sock)
            self.callers[task] = clock()
            self.open += 1

    def _make_room(self) -> None:
        """Guards whole calls against callers that connect and say nothing: they cannot keep all places."""
        before = clock() - SILENT_NS
        for task in [t for t, since in self.callers.items() if since <= before]:
            del self.callers[task]
            task.cancel()
        self._pause(clock() + FULL_NS)

    def _serve(self, sock: socket.socket) -> None:
        """One call. It is read before any wait, so that a whole one costs one turn of the loop."""
        deadline = clock() + CALL_NS
        try:
            answer = self._answer(sock, deadline)
            self.callers.pop(self.scheduler.current, None)
            send_all(sock, answer, lambda: self.scheduler.wait(sock.fileno(), WRITE, deadline))
            sock.shutdown(socket.SHUT_WR)  # closing over unread bytes would reset the connection first
            deadline = clock() + LINGER_NS
            for _ in range(16):
                self.scheduler.wait(sock.fileno(), READ, deadline)
                if not sock.recv(RECEIVE):
                    return
        except (OSError, Cancelled, http.Truncated):
            return  # the caller left, or said nothing for too long
        finally:
            sock.close()
            self.open -= 1
            self.callers.pop(self.scheduler.current, None)

    def _answer(self, sock: socket.socket, deadline: int) -> bytes:
        """The bytes for the one call; raises `OSError` where none comes."""
        reader = http.Reader(limit=0)
        try:
            while True:
                try:
                    data = sock.recv(RECEIVE)
                except BlockingIOError:
                    try:
                        self.scheduler.wait(sock.fileno(), READ, deadline)
                    except TimeoutError:
                        raise http.Malformed(408, "the call did not become whole in time") from None
                    continue
                message = reader.feed(data) if data else reader.end()
                if message is not None:
                    return self._reply(message.head)
                if not data:
                    raise ConnectionResetError("closed before a call")
        except http.Malformed as fault:
            return http.response(fault.status, str(fault).encode() + b"\n", _PLAIN, close=True)
        except (OSError, Cancelled, http.Truncated):
            raise
        except Exception:
            # Guards the process: what goes wrong in one call is a 500 for that caller.
            logger.exception("an operator's call failed")
            return http.response(500, b"internal error\n", _PLAIN, close=True)

    def _reply(self, head: http.Head) -> bytes:
        path = head.target.partition(b"?")[0]
        if path not in (b"/healthcheck", b"/stats"):
            raise http.Malformed(404, "there are /healthcheck and /stats")
        if head.method != b"GET":
            raise http.Malformed(405, "GET only")
        if path == b"/stats":
            body = "".join(f"node.{name}={count}\n" for name, count in self.stats().items())
            return http.response(200, body.encode(), _PLAIN, close=True)
        if self.ready():
            return http.response(200, b"ready\n", _PLAIN, close=True)
        return http.response(503, b"not ready\n", _PLAIN, close=True)
