"""When each revision of the models' weights was named, as far as one process knows. No I/O; times are ns.

A process hears that a revision was named some time after it was, and of several at once where it was away. So each
revision has a moment of its own, the earliest that anybody has told, and a later revision changes nothing about it.
Core members tell how long ago each was named, in durations: the time of day of two machines may differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from iristrack.wire.messages import NamedAge

NS_PER_MS = 1_000_000
MAX_MODELS = 256
LOOK_AGAIN_NS = 1000 * NS_PER_MS  # the least time in which no newer revision can end the allowance
EARLIER_NS = 250 * NS_PER_MS  # by so much two processes may differ that were told over a slow link
MOST_REVISIONS = 8  # of one model; of more, the two lowest are taken as one, named when the first of them was


@dataclass(frozen=True, slots=True)
class NamedRevision:
    """A revision, and the latest moment at which it can have been named (ns of this process's clock)."""

    revision: int
    named_at: int


class NamedWeights:
    """The revisions that were named, by model."""

    def __init__(self) -> None:
        """Nothing was named."""
        self._named: dict[str, tuple[NamedRevision, ...]] = {}  # revisions and moments both rise

    def learn(self, model: str, revision: int, named_at: int) -> bool:
        """Learn that a revision was named by then; whether it is the newest of its model."""
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
        """Learn what a core member has told just now."""
        for age in ages:
            self.learn(age.model, age.revision, now - age.age_ms * NS_PER_MS)

    def knows_earlier(self, ages: Iterable[NamedAge], now: int) -> bool:
        """Does this process know of a revision that was named earlier than was told just now, or was not told?"""
        told = {(age.model, age.revision): now - age.age_ms * NS_PER_MS for age in ages}
        return any(
            n.named_at + EARLIER_NS < told.get((model, n.revision), now)
            for model, named in self._named.items()
            for n in named
        )

    def ages(self, now: int) -> tuple[NamedAge, ...]:
        """How long ago each revision was named."""
        return tuple(
            NamedAge(model, n.revision, -((n.named_at - now) // NS_PER_MS))
            for model, named in self._named.items()
            for n in named
        )

    def newest(self, model: str) -> int:
        """The newest revision; 0 where none was named."""
        known = self._named.get(model)
        return known[-1].revision if known else 0

    def superseded_at(self, model: str, revision: int) -> int | None:
        """When the first revision above this one was named; None where there is none."""
        return next((n.named_at for n in self._named.get(model, ()) if n.revision > revision), None)

    def required(self, model: str, now: int, allowance_ns: int) -> int:
        """The newest revision that was named at least `allowance_ns` ago, below which nothing may begin; 0: none."""
        # Each revision has an allowance of its own: naming a later one gives those before it no new time.
        over = [n.revision for n in self._named.get(model, ()) if now - n.named_at >= allowance_ns]
        return max(over, default=0)

    def begin_by(self, model: str, revision: int, now: int, allowance_ns: int) -> int:
        """Until when work may begin on a revision, as far as is known now; always later than now for the newest."""
        superseded_at = self.superseded_at(model, revision)
        if superseded_at is None:
            return now + max(allowance_ns, LOOK_AGAIN_NS)
        return superseded_at + allowance_ns


def _bounded(named: list[NamedRevision]) -> tuple[NamedRevision, ...]:
    while len(named) > MOST_REVISIONS:
        first, second, *rest = named
        named = [NamedRevision(second.revision, first.named_at), *rest]
    return tuple(named)
