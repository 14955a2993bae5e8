"""The lease under which a sidecar honours keys where removed ones bind every machine (`revoke_global`).

A key may be honoured until `revoke_ms` after a configuration that removes it was acknowledged, also by a machine that
has heard nothing since. So a sidecar goes by the keys that it knows only for so long after it last asked how new the
configuration is: where the answer, read at a majority of the core after the question was sent, names nothing newer than
what is in force here, no later configuration had been acknowledged when the question was sent.

All times are nanoseconds of the monotonic clock, which runs on while the process is frozen.
"""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_MS = 1_000_000
CLOCK_MARGIN = 0.02  # of the duration, for clocks that do not run alike
RENEW_SHARE = 0.3  # of the duration, after which the lease is renewed
ASK_AGAIN_NS = 250 * NS_PER_MS  # without an answer
MOST_REQUESTS = 16  # that wait for an answer


@dataclass(frozen=True, slots=True)
class _Grant:
    asked_at: int
    sequence: int


class KeyLease:
    """The lease of one sidecar."""

    def __init__(self, duration_ms: float | None) -> None:
        """`duration_ms` after a removal was acknowledged its key is honoured by nobody; None: no lease is needed."""
        self._duration_ns = 0
        self.set_duration(duration_ms)
        self._sequence = -1  # of the configuration in force
        self._good_since: int | None = None  # when the request was sent that the lease rests on
        self._waiting: _Grant | None = None  # for the configuration that it names
        self._asked: dict[int, int] = {}  # requests without an answer: when they were sent
        self._count = 0
        self._asked_last: int | None = None

    def set_duration(self, duration_ms: float | None) -> None:
        """Go by another duration from now on."""
        self.needed = duration_ms is not None
        if duration_ms is not None:
            self._duration_ns = int(duration_ms * (1 - CLOCK_MARGIN)) * NS_PER_MS

    def is_valid(self, now: int) -> bool:
        """May requests be sent to servers on the word of the keys in force?"""
        return not self.needed or self.remaining_ns(now) > 0

    def remaining_ns(self, now: int) -> int:
        """For how much longer the lease holds; 0 where it does not."""
        if self._good_since is None:
            return 0
        return max(0, self._good_since + self._duration_ns - now)

    @property
    def has_pending_request(self) -> bool:
        """Is there a request without an answer?"""
        return bool(self._asked)

    def should_request(self, now: int) -> bool:
        """Is it time to ask for the lease, or for the next one?"""
        if not self.needed:
            return False
        if self._asked_last is not None and now - self._asked_last < ASK_AGAIN_NS:
            return False
        return self._good_since is None or now - self._good_since >= self._duration_ns * RENEW_SHARE

    def record_request(self, now: int) -> int:
        """The number of a request that is sent now."""
        self._count += 1
        self._asked_last = now
        self._asked[self._count] = now
        while len(self._asked) > MOST_REQUESTS:
            del self._asked[next(iter(self._asked))]
        return self._count

    def handle_grant(self, number: int, sequence: int) -> None:
        """As request `number` was sent, no configuration newer than `sequence` had been acknowledged."""
        asked_at = self._asked.get(number)
        if asked_at is None:
            return
        self._asked = {n: at for n, at in self._asked.items() if n > number}
        if self._waiting is None or asked_at > self._waiting.asked_at:
            self._waiting = _Grant(asked_at, sequence)
        self._take_grant()

    def set_applied_sequence(self, sequence: int) -> None:
        """This configuration is in force here."""
        self._sequence = sequence
        self._take_grant()

    def _take_grant(self) -> None:
        if self._waiting is None or self._waiting.sequence > self._sequence:
            return
        asked_at = self._waiting.asked_at
        self._waiting = None
        if self._good_since is None or asked_at > self._good_since:
            self._good_since = asked_at
