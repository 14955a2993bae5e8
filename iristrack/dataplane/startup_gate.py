"""Requests that reach a process before it can serve: they wait a moment for it instead of being refused.

After a loss of power clients come before the process has heard of its configuration and servers; a refusal would use
up their own retries. Once the process has been able to serve, or has run for a few seconds, nothing waits here:
what it then cannot serve is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from iristrack.dataplane.clients import ClientConnection, ClientDisconnected
from iristrack.runtime.scheduler import Scheduler, Task, clock

NS_PER_MS = 1_000_000
MAX_STARTUP_NS = 4000 * NS_PER_MS  # a core that has not answered by then may be away for long
MAX_WAIT_NS = 2000 * NS_PER_MS
WAIT_DIVISOR = 3  # a request waits for at most this part of the time that its client waits


class StartupGate:
    """Closed deadline the process can serve for the first time, or its start has lasted too long."""

    def __init__(self, scheduler: Scheduler, can_serve: Callable[[], bool]) -> None:
        """`can_serve` is asked whenever something was learned, deadline it says yes."""
        self.scheduler = scheduler
        self.can_serve = can_serve
        self.open = False
        self._opens_by = clock() + MAX_STARTUP_NS
        self._waiting: set[Task] = set()

    def open_if_ready(self) -> None:
        """Something was learned: let the requests go on if they can be served now."""
        if self.open or not (self.can_serve() or clock() >= self._opens_by):
            return
        self.open = True
        for task in list(self._waiting):
            task.wake()

    def wait(self, client: ClientConnection, client_timeout_ns: int) -> None:
        """Return once the gate is open, or after the time for it; raises `ClientDisconnected`."""
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
