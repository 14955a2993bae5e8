"""Why an answer was late: what took most of the time of a request whose answer passed its route's aim.

The time is measured here, at the sidecar; the ways to and from the client come on top.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from iristrack.configuration.model import Route
from iristrack.placement.rollouts import AnswerTimes

NS_PER_MS = 1_000_000
EARLY_SHARE = 0.5  # of the aim; what had passed before the last sending counts as its reason from there on


class LateReason(Enum):
    """The one reason that is told of a late answer."""

    START = "start"  # it waited for this process to be able to serve
    RETRIES = "retries"  # earlier servers turned it away, broke off or were silent
    PAUSE = "pause"  # the first event came in time, and a later one did not
    READ = "read"  # its own prompt was most of what the server had to read before it
    MOVE = "move"  # as little was to be read, the server fetched the parts of its prompt
    WAIT = "wait"  # others were before it at the server


class RequestTiming:
    """The times of one request. All are in nanoseconds of the monotonic clock."""

    __slots__ = (
        "_arrived",
        "_began",
        "_fetches",
        "_first_word",
        "_last_word",
        "_longest_pause",
        "_others",
        "_own",
        "_parts",
        "_sent",
    )

    def __init__(self, arrived: int, began: int) -> None:
        """`arrived` is when its last byte was read, `began` when this process could begin with it."""
        self._arrived = arrived
        self._began = began
        self._sent: int | None = None
        self._own = 0
        self._others = 0
        self._fetches = False
        self._first_word: int | None = None
        self._last_word = 0
        self._longest_pause = 0
        self._parts = 0  # of the answer, that were passed on

    def sent(self, now: int, own_pieces: int, others_load: int, fetches: bool) -> None:
        """It is sent to a server that has so much to do for it and for others (pieces), and may fetch its parts."""
        self._sent = now
        self._own, self._others, self._fetches = own_pieces, others_load, fetches

    def passed_on(self, now: int) -> None:
        """A part of the answer goes to the client."""
        if self._first_word is None:
            self._first_word = now
        else:
            self._longest_pause = max(self._longest_pause, now - self._last_word)
        self._last_word = now
        self._parts += 1

    def times(self) -> AnswerTimes | None:
        """How long the answer took; None where there was none, or parts of it came from an earlier server."""
        if self._first_word is None or self._sent is None or self._first_word < self._sent:
            return None
        pause_ns = (self._last_word - self._first_word) // max(1, self._parts - 1)
        return AnswerTimes(self._first_word - self._sent, pause_ns)

    def reason(self, route: Route) -> LateReason | None:
        """Why the answer was late; None where it was in time, or there was none."""
        if self._first_word is None or self._sent is None:
            return None
        aim = int(route.target_latency_ms * NS_PER_MS)
        if self._first_word - self._arrived <= aim:
            gap_ms = route.gap_aim_ms
            is_late = gap_ms is not None and self._longest_pause > gap_ms * NS_PER_MS
            return LateReason.PAUSE if is_late else None
        if self._began - self._arrived > aim * EARLY_SHARE:
            return LateReason.START
        if self._sent - self._began > aim * EARLY_SHARE:
            return LateReason.RETRIES
        if self._own > self._others:
            return LateReason.READ
        return LateReason.MOVE if self._fetches and not self._others else LateReason.WAIT


class LateCounts:
    """How many answers were late, by reason."""

    def __init__(self) -> None:
        """None was."""
        self._counts: Counter[LateReason] = Counter()

    def count(self, reason: LateReason | None) -> None:
        """Count one answer that was late for this reason, or was not."""
        if reason is not None:
            self._counts[reason] += 1

    def figures(self) -> dict[str, int]:
        """The counts by name, for the log and the metrics."""
        return {f"late_{reason.value}": self._counts[reason] for reason in LateReason}
