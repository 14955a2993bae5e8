"""Holding back requests that arrive before the process can serve.

After a power loss clients connect before the process has its configuration and server list; rejecting them would use
up their retries. Once the process has been able to serve, or has run for MAX_STARTUP_NS, no request waits here:
what cannot be served then is rejected at once.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from iristrack.dataplane.clients import ClientConnection, ClientDisconnected
from iristrack.runtime.scheduler import Scheduler, Task, clock

NS_PER_MS = 1_000_000
MAX_STARTUP_NS = 4000 * NS_PER_MS  # a core that has not responded by then may be down for long
MAX_WAIT_NS = 2000 * NS_PER_MS
WAIT_DIVISOR = 3  # a request waits at most its client's timeout divided by this


class StartupGate:
    """Closed until the process can serve for the first time, or the startup time limit has passed."""

    def __init__(self, scheduler: Scheduler, can_serve: Callable[[], bool]) -> None:
        """`can_serve` is called after each update until it returns true."""
        self.scheduler = scheduler
        self.can_serve = can_serve
        self.open = False
        self._opens_by = clock() + MAX_STARTUP_NS
        self._waiting: set[Task] = set()

    def open_if_ready(self) -> None:
        """Open the gate and wake the waiting requests if they can be served now; call this after each update."""
        if self.open or not (self.can_serve() or clock() >= self._opens_by):
            return
        self.open = True
        for task in list(self._waiting):
            task.wake()

    def wait(self, client: ClientConnection, client_timeout_ns: int) -> None:
        """Wait until the gate is open or the wait limit has passed; raises `ClientDisconnected`."""
        self.open_if_ready()
        deadline = min(self._opens_by, clock() + min(MAX_WAIT_NS, client_timeout_ns // WAIT_DIVISOR))
        task = self.scheduler.current
        self._waiting.add(task)
        try:
            with suppress(TimeoutError):
                while not self.open and not client.disconnected:
                    self.scheduler.wait(-1, 0, deadline)
        finally:
            self._waiting.discard(task)
        if client.disconnected:
            raise ClientDisconnected
