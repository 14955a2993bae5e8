"""A connection between two of this project's processes: frames out of a bounded queue, frames in to a handler."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from iristrack.runtime.scheduler import READ, WRITE, Cancelled, Scheduler, Task, clock, open_listener
from iristrack.wire.codec import FrameReader, WireError, encode
from iristrack.wire.messages import Message

NS_PER_MS = 1_000_000
RECEIVE = 64 * 1024
MOST_QUEUED_BYTES = 32 << 20  # to a peer that does not read; over it the connection ends
USER_TIMEOUT_MS = 2500  # unacknowledged data for so long ends a connection
MOST_WRITE = 64 * 1024  # bytes of frames that are joined
BACKLOG = 512
RETRY_ACCEPT_NS = 50 * NS_PER_MS


class PeerConnection:
    """One open connection. `on_message` runs in the reading task, `on_close` once, after the end."""

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        on_message: Callable[[PeerConnection, Message], None],
        on_close: Callable[[PeerConnection], None],
    ) -> None:
        """Takes over `sock`, which is non-blocking and connected."""
        self.scheduler = scheduler
        self.sock = sock
        self.on_message = on_message
        self.on_close = on_close
        self.closed = False
        self.heard_at = clock()  # ns, when the peer last said anything, or the connection was opened
        self.has_spoken = False  # a frozen process's machine takes connections too
        self.on_drained: Callable[[PeerConnection], None] | None = None  # called when all has been written
        self.sent_bytes = 0  # given to be sent,
        self.written_bytes = 0  # and taken by the system
        self.received_bytes = 0
        self._queue: deque[bytes] = deque()
        self._queued = 0
        self._reader = FrameReader()
        set_peer_options(sock)
        self._reading: Task = scheduler.spawn("peer reader", self._read)
        self._writing: Task | None = None

    @property
    def skipped(self) -> int:
        """Frames that could not be read."""
        return self._reader.skipped

    @property
    def queued(self) -> int:
        """Bytes that wait to be written."""
        return self._queued

    def send(self, message: Message) -> None:
        """Queue a message; a peer that does not read for too long loses the connection."""
        self.send_frame(encode(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue an encoded message."""
        if self.closed:
            return
        self._queue.append(frame)
        self._queued += len(frame)
        self.sent_bytes += len(frame)
        if self._queued > MOST_QUEUED_BYTES:
            self.close()
        elif self._writing is None:
            self._writing = self.scheduler.spawn("peer writer", self._write)

    def close(self) -> None:
        """End the connection now."""
        if self.closed:
            return
        self.closed = True
        self._queue.clear()
        self._reading.cancel()
        if self._writing is not None:
            self._writing.cancel()
        self.on_close(self)

    def _read(self) -> None:
        try:
            while not self.closed:
                self.scheduler.wait(self.sock.fileno(), READ, None)
                try:
                    data = self.sock.recv(RECEIVE)
                except BlockingIOError:
                    continue
                if not data:
                    break
                self.heard_at = clock()
                self.has_spoken = True
                self.received_bytes += len(data)
                for message in self._reader.feed(data):
                    self.on_message(self, message)
        except (OSError, WireError, Cancelled):
            pass
        finally:
            self.close()
            self.sock.close()

    def _write(self) -> None:
        """Write the queue, several small frames at a time."""
        try:
            while self._queue and not self.closed:
                self._send(self._next_bytes())
                if not self._queue and self.on_drained is not None:
                    self.on_drained(self)
            self._writing = None
        except (OSError, Cancelled):
            self._writing = None
            self.close()

    def _next_bytes(self) -> bytes:
        """The first frames of the queue, as many as fit into one write, or one that is longer."""
        frames = [self._queue.popleft()]
        length = len(frames[0])
        while self._queue and length + len(self._queue[0]) <= MOST_WRITE:
            frames.append(self._queue.popleft())
            length += len(frames[-1])
        self._queued -= length
        return frames[0] if len(frames) == 1 else b"".join(frames)

    def _send(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                written = self.sock.send(view)
                self.written_bytes += written
                view = view[written:]
            except BlockingIOError:
                self._wait_writable()

    def _wait_writable(self) -> None:
        # The reading task waits on the descriptor, and the scheduler knows one waiter for each: a copy is waited on.
        copy = self.sock.dup()
        try:
            self.scheduler.wait(copy.fileno(), WRITE, None)
        finally:
            copy.close()


class PeerListener:
    """Accepts inner connections and hands each socket on."""

    def __init__(
        self, scheduler: Scheduler, address: tuple[str, int], on_socket: Callable[[socket.socket], None]
    ) -> None:
        """Raises `OSError` where the address cannot be had."""
        self.scheduler = scheduler
        self.on_socket = on_socket
        self.listener = open_listener(address, BACKLOG)
        self._stopped = False
        self._watch()

    def _watch(self) -> None:
        if not self._stopped:
            self.scheduler.watch(self.listener.fileno(), self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError:
            # No descriptor is left: an accept that fails at once would spin the loop.
            self.scheduler.unwatch(self.listener.fileno())
            self.scheduler.call_at(clock() + RETRY_ACCEPT_NS, self._watch)
            return
        sock.setblocking(False)
        self.on_socket(sock)

    def stop(self) -> None:
        """Accept no more."""
        self._stopped = True
        self.scheduler.unwatch(self.listener.fileno())
        self.listener.close()


def set_peer_options(sock: socket.socket) -> None:
    """No delay for small messages, and an end where the peer's machine is silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
