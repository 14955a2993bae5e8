"""When each revision of the models' weights was named, as far as one process knows. No I/O; times are ns.

A process hears that a revision was named some time after it was, and of several at once where it was away. So each
revision has a moment of its own, the earliest that anybody has told, and a later revision changes nothing about it.
"""

from __future__ import annotations

from dataclasses import dataclass

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

    def heard(self, model: str, revision: int, named_at: int) -> bool:
        """Learn that a revision was named by then; whether it is the newest of its model."""
        known = self._named.get(model, ())
        lower = [NamedRevision(n.revision, min(n.named_at, named_at)) for n in known if n.revision < revision]
        higher = [n for n in known if n.revision > revision]
        earlier = [n.named_at for n in known if n.revision == revision]
        own = NamedRevision(revision, min([named_at, *earlier, *(n.named_at for n in higher)]))
        self._named[model] = _bounded([*lower, own, *higher])
        return not higher and not earlier

    def newest(self, model: str) -> int:
        """The newest revision; 0 where none was named."""
        known = self._named.get(model)
        return known[-1].revision if known else 0

    def superseded_at(self, model: str, revision: int) -> int | None:
        """When the first revision above this one was named; None where there is none."""
        return next((n.named_at for n in self._named.get(model, ()) if n.revision > revision), None)


def _bounded(named: list[NamedRevision]) -> tuple[NamedRevision, ...]:
    while len(named) > MOST_REVISIONS:
        first, second, *rest = named
        named = [NamedRevision(second.revision, first.named_at), *rest]
    return tuple(named)
