"""Why an answer was late: what took most of the time of a request whose answer passed its route's target_ns.

The time is measured here, at the sidecar; the ways to and from the client come on top.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from iristrack.configuration.model import Route
from iristrack.placement.rollouts import AnswerTimes

NS_PER_MS = 1_000_000
BEFORE_SEND_RATIO = (
    0.5  # of the target_ns; what had passed before the last sending counts as its reason from there on
)


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
        "_arrived_at",
        "_fetches",
        "_first_output_at",
        "_last_output_at",
        "_max_gap",
        "_others_load",
        "_output_count",
        "_own_pieces",
        "_sent_at",
        "_started_at",
    )

    def __init__(self, arrived: int, began: int) -> None:
        """`arrived` is when its last byte was read, `began` when this process could begin with it."""
        self._arrived_at = arrived
        self._started_at = began
        self._sent_at: int | None = None
        self._own_pieces = 0
        self._others_load = 0
        self._fetches = False
        self._first_output_at: int | None = None
        self._last_output_at = 0
        self._max_gap = 0
        self._output_count = 0  # of the answer, that were passed on

    def record_sent(self, now: int, own_pieces: int, others_load: int, fetches: bool) -> None:
        """It is sent to a server that has so much to do for it and for others (pieces), and may fetch its parts."""
        self._sent_at = now
        self._own_pieces, self._others_load, self._fetches = own_pieces, others_load, fetches

    def record_output(self, now: int) -> None:
        """A part of the answer goes to the client."""
        if self._first_output_at is None:
            self._first_output_at = now
        else:
            self._max_gap = max(self._max_gap, now - self._last_output_at)
        self._last_output_at = now
        self._output_count += 1

    def times(self) -> AnswerTimes | None:
        """How long the answer took; None where there was none, or parts of it came from an earlier server."""
        if self._first_output_at is None or self._sent_at is None or self._first_output_at < self._sent_at:
            return None
        pause_ns = (self._last_output_at - self._first_output_at) // max(1, self._output_count - 1)
        return AnswerTimes(self._first_output_at - self._sent_at, pause_ns)

    def reason(self, route: Route) -> LateReason | None:
        """Why the answer was late; None where it was in time, or there was none."""
        if self._first_output_at is None or self._sent_at is None:
            return None
        target_ns = int(route.target_latency_ms * NS_PER_MS)
        if self._first_output_at - self._arrived_at <= target_ns:
            gap_ms = route.gap_aim_ms
            is_late = gap_ms is not None and self._max_gap > gap_ms * NS_PER_MS
            return LateReason.PAUSE if is_late else None
        if self._started_at - self._arrived_at > target_ns * BEFORE_SEND_RATIO:
            return LateReason.START
        if self._sent_at - self._started_at > target_ns * BEFORE_SEND_RATIO:
            return LateReason.RETRIES
        if self._own_pieces > self._others_load:
            return LateReason.READ
        return LateReason.MOVE if self._fetches and not self._others_load else LateReason.WAIT


class LateCounts:
    """How many answers were late, by reason."""

    def __init__(self) -> None:
        """None was."""
        self._counts: Counter[LateReason] = Counter()

    def count(self, reason: LateReason | None) -> None:
        """Count one answer that was late for this reason, or was not."""
        if reason is not None:
            self._counts[reason] += 1

    def metrics(self) -> dict[str, int]:
        """The counts by name, for the log and the metrics."""
        return {f"late_{reason.value}": self._counts[reason] for reason in LateReason}
