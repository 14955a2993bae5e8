"""Virtual time: one queue of calls that are due, in an order that nothing but their times and kinds decides.

This file owns the emulator's only clock. It must never read the machine's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import IntEnum
from heapq import heappop, heappush


class Rank(IntEnum):
    """What goes first at the same instant; within a rank, what was asked for first."""

    TROUBLE = 0  # the world changes: a machine dies, a link is cut
    DISCOVERY = 1  # word of it arrives
    SERVER = 2  # a pool server finishes work
    NETWORK = 3  # a message arrives: an answer that crosses its client's hang-up still counts
    TIMER = 4  # a sidecar's own timers and deadlines
    CLIENT = 5  # a terminal asks, waits no longer or hangs up


TROUBLE, DISCOVERY, SERVER, NETWORK, TIMER, CLIENT = (int(rank) for rank in Rank)


class Queue:
    """Calls that are due, soonest first. Times are integer nanoseconds."""

    __slots__ = ("_heap", "_sequence", "now", "ran")

    def __init__(self, now: int = 0) -> None:
        """`now` is where the clock starts."""
        self.now = now
        self.ran = 0
        self._heap: list[tuple[int, int, int, Callable[..., None], tuple]] = []
        self._sequence = 0

    def at(self, when: int, rank: int, call: Callable[..., None], *args: object) -> None:
        """Have `call` made at `when`, or now if that has passed."""
        self._sequence += 1
        heappush(self._heap, (when if when > self.now else self.now, rank, self._sequence, call, args))

    def run(self, until: int) -> None:
        """Make all calls that are due by `until`, and leave the clock there."""
        heap = self._heap
        ran = 0
        while heap and heap[0][0] <= until:
            entry = heappop(heap)
            self.now = entry[0]
            entry[3](*entry[4])
            ran += 1
        self.ran += ran
        self.now = until

    def __len__(self) -> int:
        """How many calls are due."""
        return len(self._heap)


class Deadlines:
    """Deadlines that mostly come in order and mostly never strike: cheaper than one call in the queue for each.

    Those in order wait in a line of which only the first that still matters is in the queue; one out of order goes
    straight there. All strike at their exact times.
    """

    __slots__ = ("_armed", "_call", "_line", "_queue", "_rank", "_still")

    def __init__(
        self, queue: Queue, rank: int, still: Callable[[object], bool], call: Callable[[object], None]
    ) -> None:
        """`call(item)` is made at an item's time if `still(item)` holds by then."""
        self._queue = queue
        self._rank = rank
        self._still = still
        self._call = call
        self._line: deque[tuple[int, object]] = deque()
        self._armed = False

    def add(self, when: int, item: object) -> None:
        """Set a deadline."""
        line = self._line
        if line and when < line[-1][0]:
            self._queue.at(when, self._rank, self._one, item)
            return
        line.append((when, item))
        if not self._armed:
            self._armed = True
            self._queue.at(when, self._rank, self._strike)

    def _one(self, item: object) -> None:
        if self._still(item):
            self._call(item)

    def _strike(self) -> None:
        line, still, now = self._line, self._still, self._queue.now
        while line:
            when, item = line[0]
            if when <= now:
                line.popleft()
                if still(item):
                    self._call(item)
            elif still(item):
                self._queue.at(when, self._rank, self._strike)
                return
            else:
                line.popleft()
        self._armed = False
