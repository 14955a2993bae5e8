"""When each revision of the models' weights was named by an operator, as known to one process. No I/O; times are ns.

A process learns some time later that a revision was named, and of several at once if it was disconnected. So each
revision has its own time, the earliest that was reported, and a later revision does not change it. Core members report
how long ago each revision was named, as a duration, since the clocks of two machines may differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from iristrack.wire.messages import NamedAge

NS_PER_MS = 1_000_000
MAX_MODELS = 256
RECHECK_NS = (
    1000 * NS_PER_MS
)  # least time granted on the newest revision until the next check for a newer one
CLOCK_TOLERANCE_NS = 250 * NS_PER_MS  # difference between two processes that learned it over a slow link
MAX_REVISIONS = 8  # of one model; beyond it the two lowest are merged and keep the time of the first


@dataclass(frozen=True, slots=True)
class NamedRevision:
    """A revision, and the latest time at which it can have been named (ns of this process's clock)."""

    revision: int
    named_at: int


class NamedWeights:
    """The named revisions of each model."""

    def __init__(self) -> None:
        """Start without any named revision."""
        self._named: dict[str, tuple[NamedRevision, ...]] = {}  # ascending by revision and by time

    def learn(self, model: str, revision: int, named_at: int) -> bool:
        """Record that a revision had been named by `named_at`; return whether it is new and the newest of its model."""
        known = self._named.get(model, ())
        if not known and len(self._named) >= MAX_MODELS:
            return False
        lower = [NamedRevision(n.revision, min(n.named_at, named_at)) for n in known if n.revision < revision]
        higher = [n for n in known if n.revision > revision]
        earlier = [n.named_at for n in known if n.revision == revision]
        own = NamedRevision(revision, min([named_at, *earlier, *(n.named_at for n in higher)]))
        self._named[model] = _bounded([*lower, own, *higher])
        return not higher and not earlier

    def learn_ages(self, ages: Iterable[NamedAge], now: int) -> None:
        """Record the ages that a core member has just reported."""
        for age in ages:
            self.learn(age.model, age.revision, now - age.age_ms * NS_PER_MS)

    def knows_earlier(self, ages: Iterable[NamedAge], now: int) -> bool:
        """Return whether this process knows an earlier time, or a revision that is missing, compared with a report."""
        reported = {(age.model, age.revision): now - age.age_ms * NS_PER_MS for age in ages}
        return any(
            n.named_at + CLOCK_TOLERANCE_NS < reported.get((model, n.revision), now)
            for model, named in self._named.items()
            for n in named
        )

    def ages(self, now: int) -> tuple[NamedAge, ...]:
        """Return how long ago each revision was named."""
        return tuple(
            NamedAge(model, n.revision, -((n.named_at - now) // NS_PER_MS))
            for model, named in self._named.items()
            for n in named
        )

    def newest(self, model: str) -> int:
        """Return the newest revision, or 0 if none was named."""
        known = self._named.get(model)
        return known[-1].revision if known else 0

    def superseded_at(self, model: str, revision: int) -> int | None:
        """Return when the first revision above this one was named, or None."""
        return next((n.named_at for n in self._named.get(model, ()) if n.revision > revision), None)

    def required(self, model: str, now: int, allowance_ns: int) -> int:
        """Return the lowest revision on which work may still begin: the newest one named `allowance_ns` ago, or 0."""
        # Each revision has its own allowance: naming a later one does not extend that of earlier ones.
        expired = [n.revision for n in self._named.get(model, ()) if now - n.named_at >= allowance_ns]
        return max(expired, default=0)

    def begin_by(self, model: str, revision: int, now: int, allowance_ns: int) -> int:
        """Return until when work may begin on a revision, as known now; later than now for the newest one."""
        superseded_at = self.superseded_at(model, revision)
        if superseded_at is None:
            return now + max(allowance_ns, RECHECK_NS)
        return superseded_at + allowance_ns


def _bounded(named: list[NamedRevision]) -> tuple[NamedRevision, ...]:
    while len(named) > MAX_REVISIONS:
        first, second, *rest = named
        named = [NamedRevision(second.revision, first.named_at), *rest]
    return tuple(named)
