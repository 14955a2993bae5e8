"""A connection between two of this project's processes.

Outgoing frames wait in a bounded queue; incoming messages are passed to a handler.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from iristrack.runtime.scheduler import READ, WRITE, Cancelled, Scheduler, Task, clock, open_listener
from iristrack.wire.codec import FrameReader, WireError, encode
from iristrack.wire.messages import Message

NS_PER_MS = 1_000_000
RECEIVE_BYTES = 64 * 1024
MOST_QUEUED_BYTES = 32 << 20  # closes the connection if a peer that does not read has more bytes queued
USER_TIMEOUT_MS = 2500  # closes the connection after this time without acknowledgement of sent data
MAX_WRITE_BYTES = 64 * 1024  # of several frames joined into one write
BACKLOG = 512
RETRY_ACCEPT_NS = 50 * NS_PER_MS


class PeerConnection:
    """An open connection. `on_message` is called in the read task, `on_close` once when the connection closes."""

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        on_message: Callable[[PeerConnection, Message], None],
        on_close: Callable[[PeerConnection], None],
    ) -> None:
        """Take ownership of `sock`, which must be connected and non-blocking."""
        self.scheduler = scheduler
        self.sock = sock
        self.on_message = on_message
        self.on_close = on_close
        self.closed = False
        self.heard_at = clock()  # ns, when data was last received, or the connection was opened
        # Has data been received? The kernel accepts connections for a frozen process too.
        self.has_spoken = False
        self.on_drained: Callable[[PeerConnection], None] | None = None  # called when all has been written
        self.sent_bytes = 0  # queued for sending since the connection was opened
        self.written_bytes = 0  # accepted by the kernel
        self.received_bytes = 0
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._reader = FrameReader()
        set_peer_options(sock)
        self._read_task: Task = scheduler.spawn("peer reader", self._read)
        self._write_task: Task | None = None

    @property
    def skipped(self) -> int:
        """Number of received frames of an unknown kind or with an invalid body."""
        return self._reader.skipped

    @property
    def queued(self) -> int:
        """Number of bytes in the send queue."""
        return self._queued_bytes

    def send(self, message: Message) -> None:
        """Queue a message; closes the connection if more than `MOST_QUEUED_BYTES` are then queued."""
        self.send_frame(encode(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue an encoded message, with the same limit as `send`."""
        if self.closed:
            return
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        self.sent_bytes += len(frame)
        if self._queued_bytes > MOST_QUEUED_BYTES:
            self.close()
        elif self._write_task is None:
            self._write_task = self.scheduler.spawn("peer writer", self._write)

    def close(self) -> None:
        """Close the connection immediately; queued frames are discarded."""
        if self.closed:
            return
        self.closed = True
        self._queue.clear()
        self._read_task.cancel()
        if self._write_task is not None:
            self._write_task.cancel()
        self.on_close(self)

    def _read(self) -> None:
        try:
            while not self.closed:
                self.scheduler.wait(self.sock.fileno(), READ, None)
                try:
                    data = self.sock.recv(RECEIVE_BYTES)
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
        """Write the queued frames, joining small ones."""
        try:
            while self._queue and not self.closed:
                self._send_all(self._next_chunk())
                if not self._queue and self.on_drained is not None:
                    self.on_drained(self)
            self._write_task = None
        except (OSError, Cancelled):
            self._write_task = None
            self.close()

    def _next_chunk(self) -> bytes:
        """Remove and return the first frames that fit into `MAX_WRITE_BYTES`, or one frame if it is longer."""
        frames = [self._queue.popleft()]
        length = len(frames[0])
        while self._queue and length + len(self._queue[0]) <= MAX_WRITE_BYTES:
            frames.append(self._queue.popleft())
            length += len(frames[-1])
        self._queued_bytes -= length
        return frames[0] if len(frames) == 1 else b"".join(frames)

    def _send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                written = self.sock.send(view)
                self.written_bytes += written
                view = view[written:]
            except BlockingIOError:
                self._wait_writable()

    def _wait_writable(self) -> None:
        # The scheduler allows one waiter per descriptor, and the read task waits on this one: wait on a duplicate.
        copy = self.sock.dup()
        try:
            self.scheduler.wait(copy.fileno(), WRITE, None)
        finally:
            copy.close()


class PeerListener:
    """Accepts connections from other processes and passes each socket to `on_socket`."""

    def __init__(
        self, scheduler: Scheduler, address: tuple[str, int], on_socket: Callable[[socket.socket], None]
    ) -> None:
        """Raises `OSError` if the address cannot be bound."""
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
            # No descriptor is free. Pause, because an accept that fails at once would make the event loop spin.
            self.scheduler.unwatch(self.listener.fileno())
            self.scheduler.call_at(clock() + RETRY_ACCEPT_NS, self._watch)
            return
        sock.setblocking(False)
        self.on_socket(sock)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._stopped = True
        self.scheduler.unwatch(self.listener.fileno())
        self.listener.close()


def set_peer_options(sock: socket.socket) -> None:
    """Send small messages without delay, and time out when the peer's machine acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
