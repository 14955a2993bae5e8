"""The lease under which a sidecar honours keys if key removals must reach every machine in time (`revoke_global`).

A key may be honoured until `revoke_ms` after a configuration that removes it was acknowledged, even by a machine that
has received nothing since. Therefore a sidecar uses the keys that it knows only for a limited time after it last asked
how new the configuration is. If the answer, read at a majority of the core after the request was sent, is not newer
than the configuration applied here, no later configuration had been acknowledged when the request was sent.

All times are nanoseconds of the monotonic clock, which continues while the process is frozen.
"""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_MS = 1_000_000
CLOCK_DRIFT_RATIO = 0.02  # of the duration, for clocks that run at different rates
RENEW_AFTER_RATIO = 0.3  # of the duration, after which the lease is renewed
RETRY_INTERVAL_NS = 250 * NS_PER_MS  # between requests while none has been answered
MAX_PENDING_REQUESTS = 16  # the oldest unanswered one is forgotten beyond this


@dataclass(frozen=True, slots=True)
class _Grant:
    sent_at: int
    sequence: int


class KeyLease:
    """The lease of one sidecar."""

    def __init__(self, duration_ms: float | None) -> None:
        """`duration_ms` bounds how long a key is honoured after its removal was acknowledged; None: no lease needed."""
        self._duration_ns = 0
        self.set_duration(duration_ms)
        self._applied_sequence = -1  # of the configuration applied here
        self._valid_from: int | None = None  # when the request was sent that granted the current lease
        self._pending_grant: _Grant | None = None  # applied once its configuration is
        self._sent_at: dict[int, int] = {}  # send times of the unanswered requests, by number
        self._last_number = 0
        self._last_sent_at: int | None = None

    def set_duration(self, duration_ms: float | None) -> None:
        """Set the lease duration; applies to the current lease as well."""
        self.needed = duration_ms is not None
        if duration_ms is not None:
            self._duration_ns = int(duration_ms * (1 - CLOCK_DRIFT_RATIO)) * NS_PER_MS

    def is_valid(self, now: int) -> bool:
        """Return whether requests may be sent to servers on the basis of the keys applied here."""
        return not self.needed or self.remaining_ns(now) > 0

    def remaining_ns(self, now: int) -> int:
        """Return how much longer the lease is valid; 0 if it is not."""
        if self._valid_from is None:
            return 0
        return max(0, self._valid_from + self._duration_ns - now)

    @property
    def has_pending_request(self) -> bool:
        """Whether a request is unanswered."""
        return bool(self._sent_at)

    def should_request(self, now: int) -> bool:
        """Return whether the lease should be requested or renewed now."""
        if not self.needed:
            return False
        if self._last_sent_at is not None and now - self._last_sent_at < RETRY_INTERVAL_NS:
            return False
        return self._valid_from is None or now - self._valid_from >= self._duration_ns * RENEW_AFTER_RATIO

    def record_request(self, now: int) -> int:
        """Record that a request is sent now; return its number."""
        self._last_number += 1
        self._last_sent_at = now
        self._sent_at[self._last_number] = now
        while len(self._sent_at) > MAX_PENDING_REQUESTS:
            del self._sent_at[next(iter(self._sent_at))]
        return self._last_number

    def handle_grant(self, number: int, sequence: int) -> None:
        """Handle the answer that no configuration newer than `sequence` was acknowledged when the request was sent."""
        sent_at = self._sent_at.get(number)
        if sent_at is None:
            return
        self._sent_at = {n: at for n, at in self._sent_at.items() if n > number}
        if self._pending_grant is None or sent_at > self._pending_grant.sent_at:
            self._pending_grant = _Grant(sent_at, sequence)
        self._apply_grant()

    def set_applied_sequence(self, sequence: int) -> None:
        """Record that the configuration of this sequence is applied here."""
        self._applied_sequence = sequence
        self._apply_grant()

    def _apply_grant(self) -> None:
        if self._pending_grant is None or self._pending_grant.sequence > self._applied_sequence:
            return
        sent_at = self._pending_grant.sent_at
        self._pending_grant = None
        if self._valid_from is None or sent_at > self._valid_from:
            self._valid_from = sent_at
