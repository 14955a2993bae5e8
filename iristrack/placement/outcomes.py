"""Outlier detection: how requests ended at servers in the last seconds, and which servers are ejected.

A server may fail part of its requests while its health check passes, and a single sidecar sends too few requests to
detect that, so the outcomes of all sidecars are summed (`loads.py`). At most a bounded share of the servers is ejected
at a time. Outcomes older than the window no longer count, so every ejected server returns and is tried again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

NS_PER_MS = 1_000_000
BUCKET_NS = 1000 * NS_PER_MS
BUCKET_COUNT = 5  # length of the window in buckets
MIN_FAILED_COUNT = 2  # requests; a single failure is no evidence
MIN_FAILED_SHARE = 0.25  # of a server's requests, from which it is ejected
MAX_EJECTED_SHARE = 0.3  # of the servers


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Counts of requests that ended in the window."""

    answered: int = 0
    failed: int = 0

    def plus(self, other: Outcomes) -> Outcomes:
        """Return the sum of both."""
        return Outcomes(self.answered + other.answered, self.failed + other.failed)

    @property
    def suspect(self) -> bool:
        """Return whether the failures are enough to eject the server."""
        return self.failed >= MIN_FAILED_COUNT and self.failed >= MIN_FAILED_SHARE * (
            self.answered + self.failed
        )


NO_OUTCOMES = Outcomes()


class OutcomeWindow:
    """Counts of outcomes over the last `BUCKET_COUNT` buckets."""

    __slots__ = ("_answered", "_failed", "_newest")

    def __init__(self) -> None:
        """Start with an empty window."""
        self._newest = 0
        self._answered = [0] * BUCKET_COUNT
        self._failed = [0] * BUCKET_COUNT

    def answered(self, now: int) -> None:
        """Record a request that was answered."""
        self._answered[self._advance(now)] += 1

    def failed(self, now: int) -> None:
        """Record a request that ended without an answer."""
        self._failed[self._advance(now)] += 1

    def total(self, now: int) -> Outcomes:
        """Return the counts over the window."""
        if now // BUCKET_NS - self._newest >= BUCKET_COUNT:
            return NO_OUTCOMES
        self._advance(now)
        return Outcomes(sum(self._answered), sum(self._failed))

    def _advance(self, now: int) -> int:
        newest = now // BUCKET_NS
        for number in range(max(self._newest + 1, newest - BUCKET_COUNT + 1), newest + 1):
            self._answered[number % BUCKET_COUNT] = 0
            self._failed[number % BUCKET_COUNT] = 0
        self._newest = max(self._newest, newest)
        return self._newest % BUCKET_COUNT


def ejected_servers(outcomes: Iterable[tuple[str, Outcomes]]) -> frozenset[str]:
    """Return the names of the servers to eject: the suspects with the highest failure ratio, up to the limit."""
    all_outcomes = list(outcomes)
    suspects = [(o.failed / (o.answered + o.failed), name) for name, o in all_outcomes if o.suspect]
    max_ejected = int(len(all_outcomes) * MAX_EJECTED_SHARE)
    return frozenset(name for _, name in sorted(suspects, reverse=True)[:max_ejected])
