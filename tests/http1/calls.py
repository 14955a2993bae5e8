"""An event loop of the test process with client and server sockets on loopback."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from iristrack.http1 import messages as http
from iristrack.http1.connection import connect
from iristrack.runtime.scheduler import READ, Scheduler, clock, open_listener

TIMEOUT_NS = 10**10  # reached only by a failing test
LOOPBACK = ("127.0.0.1", 0)


class Loop:
    def __init__(self) -> None:
        self.failures: list[str] = []
        self.scheduler = Scheduler(lambda text: self.failures.append(f"{text}\n{traceback.format_exc()}"))

    def run(self, *calls: Callable[[], object]) -> list[Any]:
        """Run the calls as tasks until all have ended; return their results."""
        results: list[Any] = [None] * len(calls)
        left = set(range(len(calls)))

        def run_call(number: int) -> None:
            try:
                results[number] = calls[number]()
            finally:
                left.discard(number)
                if not left:
                    self.scheduler.stop()

        for number in range(len(calls)):
            self.scheduler.spawn(f"call {number}", run_call, number)
        self.scheduler._stopped = False
        timeout = self.scheduler.call_at(clock() + TIMEOUT_NS, self.scheduler.stop)
        self.scheduler.run()
        timeout.cancel()
        assert not self.failures, "\n".join(self.failures)
        assert not left, f"calls {sorted(left)} did not end in time"
        return results

    def yield_turn(self) -> None:
        self.scheduler.call_at(clock(), self.scheduler.current.wake)
        self.scheduler.wait(-1, 0, None)

    def turn_while(self, holds: Callable[[], object]) -> None:
        """Within a task: let other tasks run while the condition holds."""
        while holds():
            self.yield_turn()


class Peer:
    """A client's connection; its methods run in a task."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self.loop = loop
        self.sock = connect(loop.scheduler, address, clock() + TIMEOUT_NS)
        self.reader = http.Reader(response=True, limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)

    def send(self, data: bytes) -> None:
        assert self.sock.send(data) == len(data)

    def receive(self) -> http.Message | None:
        """Return the next response; None if the connection ends instead."""
        message = None if self.reader.empty else self.reader.feed(b"")
        while message is None:
            self.loop.scheduler.wait(self.sock.fileno(), READ, clock() + TIMEOUT_NS)
            try:
                data = self.sock.recv(65536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            message = self.reader.feed(data)
        return message

    def close(self) -> None:
        self.sock.close()


class StandInServer:
    """Calls `serve` with each accepted socket, in a task."""

    def __init__(self, loop: Loop, serve: Callable[[Any], None]) -> None:
        self.loop = loop
        self.serve = serve
        self.opened = 0
        self.requests: list[http.Message] = []
        self._listener = open_listener(LOOPBACK, 8)
        self.address = self._listener.getsockname()
        loop.scheduler.watch(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        self.opened += 1
        self.loop.scheduler.spawn("stand-in server", self._serve, sock)

    def _serve(self, sock) -> None:
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def request(self, sock) -> http.Message:
        """Return the next request of a connection."""
        reader = http.Reader()
        message = None
        while message is None:
            self.loop.scheduler.wait(sock.fileno(), READ, clock() + TIMEOUT_NS)
            data = sock.recv(65536)
            if not data:
                raise ConnectionResetError
            message = reader.feed(data)
        self.requests.append(message)
        return message

    def stop(self) -> None:
        self.loop.scheduler.unwatch(self._listener.fileno())
        self._listener.close()
