"""Why a response was late: what took most of the time when its route's latency target was missed.

Times are measured at the sidecar; network time to and from the client is not included.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from iristrack.configuration.model import Route
from iristrack.placement.rollouts import AnswerTimes

NS_PER_MS = 1_000_000
# Of the latency target: if more has passed before the last attempt was sent, that phase is the reason.
BEFORE_SEND_RATIO = 0.5


class LateReason(Enum):
    """The main reason for a late response; each late response has one."""

    START = "start"  # it waited for this process to start up
    RETRIES = "retries"  # earlier servers rejected it, broke off or did not respond
    PAUSE = "pause"  # the first event was in time, a later one was not
    READ = "read"  # its own prompt was most of what the server had to prefill
    MOVE = "move"  # the server had nothing to prefill but fetched the prompt's parts
    WAIT = "wait"  # it was queued behind other requests at the server


class RequestTiming:
    """The times of one request, in nanoseconds of the monotonic clock."""

    __slots__ = (
        "_arrived_at",
        "_fetches",
        "_first_output_at",
        "_last_output_at",
        "_max_gap",
        "_others_load",
        "_output_count",
        "_own_chunks",
        "_sent_at",
        "_started_at",
    )

    def __init__(self, arrived_at: int, started_at: int) -> None:
        """`arrived_at`: when its last byte was read; `started_at`: when this process could start to handle it."""
        self._arrived_at = arrived_at
        self._started_at = started_at
        self._sent_at: int | None = None
        self._own_chunks = 0
        self._others_load = 0
        self._fetches = False
        self._first_output_at: int | None = None
        self._last_output_at = 0
        self._max_gap = 0
        self._output_count = 0  # response pieces forwarded

    def record_sent(self, now: int, own_chunks: int, others_load: int, fetches: bool) -> None:
        """Record that the request is sent; both loads are in prefill chunks; `fetches`: prompt parts are fetched."""
        self._sent_at = now
        self._own_chunks, self._others_load, self._fetches = own_chunks, others_load, fetches

    def record_output(self, now: int) -> None:
        """Record that a piece of the response goes to the client."""
        if self._first_output_at is None:
            self._first_output_at = now
        else:
            self._max_gap = max(self._max_gap, now - self._last_output_at)
        self._last_output_at = now
        self._output_count += 1

    def times(self) -> AnswerTimes | None:
        """Return the response times; None without a response, or if parts of it came from an earlier server."""
        if self._first_output_at is None or self._sent_at is None or self._first_output_at < self._sent_at:
            return None
        mean_gap_ns = (self._last_output_at - self._first_output_at) // max(1, self._output_count - 1)
        return AnswerTimes(self._first_output_at - self._sent_at, mean_gap_ns)

    def reason(self, route: Route) -> LateReason | None:
        """Return why the response was late; None if it was in time or there was none."""
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
        if self._own_chunks > self._others_load:
            return LateReason.READ
        return LateReason.MOVE if self._fetches and not self._others_load else LateReason.WAIT


class LateCounts:
    """Counts of late responses by reason."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self._counts: Counter[LateReason] = Counter()

    def count(self, reason: LateReason | None) -> None:
        """Count one response; `reason` is None if it was not late."""
        if reason is not None:
            self._counts[reason] += 1

    def metrics(self) -> dict[str, int]:
        """Return the counts by name, for the log and the metrics."""
        return {f"late_{reason.value}": self._counts[reason] for reason in LateReason}
