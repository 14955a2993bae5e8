"""Virtual time for simulations of single parts: a queue of events."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


class EventQueue:
    """Events in the order of their virtual time (nanoseconds); those of one time in the order of their adding."""

    def __init__(self) -> None:
        """Start at time 0."""
        self.now = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._added = 0

    def add(self, at_ns: int, event: Callable[[], None]) -> None:
        """Have the event happen at this time, or now if that is past."""
        self._added += 1
        heapq.heappush(self._events, (max(at_ns, self.now), self._added, event))

    def run_until(self, end_ns: int) -> None:
        """Let all events up to this time happen."""
        while self._events and self._events[0][0] <= end_ns:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = max(self.now, end_ns)
