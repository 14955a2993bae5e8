"""How requests ended at servers in the last seconds, and which servers are left out for it.

A server may fail a part of its requests while its health check is good, and one sidecar sends too little to see it: the
outcomes of all sidecars are summed (`loads.py`). A bounded share of the servers is ever left out, and an outcome that
is older than the window counts no more, so that each comes back by being tried again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

NS_PER_MS = 1_000_000
BUCKET_NS = 1000 * NS_PER_MS
BUCKETS = 5  # the window, in buckets
FEWEST_FAILED = 2  # requests; one alone proves nothing
LEAST_SHARE = 0.25  # of failed ones that leaves a server out
MOST_LEFT_OUT = 0.3  # of the servers


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Requests that ended in the window."""

    answered: int = 0
    failed: int = 0

    def plus(self, other: Outcomes) -> Outcomes:
        """The sum of both."""
        return Outcomes(self.answered + other.answered, self.failed + other.failed)

    @property
    def suspect(self) -> bool:
        """Do they speak against the server?"""
        return self.failed >= FEWEST_FAILED and self.failed >= LEAST_SHARE * (self.answered + self.failed)


NO_OUTCOMES = Outcomes()


class OutcomeWindow:
    """Counts of the last `BUCKETS` seconds."""

    __slots__ = ("_answered", "_failed", "_newest")

    def __init__(self) -> None:
        """Nothing has ended."""
        self._newest = 0
        self._answered = [0] * BUCKETS
        self._failed = [0] * BUCKETS

    def answered(self, now: int) -> None:
        """A request was answered."""
        self._answered[self._advance(now)] += 1

    def failed(self, now: int) -> None:
        """A request ended without an answer."""
        self._failed[self._advance(now)] += 1

    def total(self, now: int) -> Outcomes:
        """What has ended in the window."""
        if now // BUCKET_NS - self._newest >= BUCKETS:
            return NO_OUTCOMES
        self._advance(now)
        return Outcomes(sum(self._answered), sum(self._failed))

    def _advance(self, now: int) -> int:
        newest = now // BUCKET_NS
        for number in range(max(self._newest + 1, newest - BUCKETS + 1), newest + 1):
            self._answered[number % BUCKETS] = 0
            self._failed[number % BUCKETS] = 0
        self._newest = max(self._newest, newest)
        return self._newest % BUCKETS


def ejected_servers(outcomes: Iterable[tuple[str, Outcomes]]) -> frozenset[str]:
    """The servers to leave out, by name: the worst of those that are suspect, within the bound."""
    everyone = list(outcomes)
    suspects = [(o.failed / (o.answered + o.failed), name) for name, o in everyone if o.suspect]
    most = int(len(everyone) * MOST_LEFT_OUT)
    return frozenset(name for _, name in sorted(suspects, reverse=True)[:most])
