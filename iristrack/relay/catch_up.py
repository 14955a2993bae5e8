"""When a sidecar asks another core member for what its hub did not push.

Core members announce each change, and every heartbeat of theirs tells how new their topics are. A version that the hub
has not pushed within `WAIT_NS` after it was first heard of is asked for at a member that told of it; after `NEXT_NS`
without it another such member is asked, and the same one after `AGAIN_NS`, so that a slow link is not filled with
copies of one value. Each topic has its own times: a topic that was asked for does not hold up another one.

Times are in nanoseconds. A source is whatever the host names a connection by; it must be hashable.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from iristrack.wire.messages import Version

NS_PER_MS = 1_000_000
WAIT_NS = 300 * NS_PER_MS
NEXT_NS = 500 * NS_PER_MS
AGAIN_NS = 1500 * NS_PER_MS
MOST_TOPICS = 64
MOST_SOURCES = 16  # of one topic

Source = Hashable


@dataclass(slots=True)
class Missing:
    """A topic that is newer elsewhere than here."""

    sequence: int  # the highest that was told
    since: int  # when the first newer version was heard of
    asked: dict[Source, int | None] = field(default_factory=dict)  # by source: when it was asked last

    def next_due(self) -> int:
        """When a source is to be asked, if it is still missing then."""
        times = [at for at in self.asked.values() if at is not None]
        if not times:
            return self.since + WAIT_NS
        if len(times) < len(self.asked):
            return max(times) + NEXT_NS
        return max(max(times) + NEXT_NS, min(times) + AGAIN_NS)

    def choose_source(self) -> Source:
        """One that was not asked, else the one that was asked longest ago."""
        return min(self.asked, key=lambda source: -1 if self.asked[source] is None else self.asked[source])


class CatchUp:
    """What is known to be newer elsewhere than here."""

    def __init__(self) -> None:
        """Nothing is."""
        self._missing: dict[str, Missing] = {}

    def record_versions(
        self, source: Source, here: Iterable[Version], told: Iterable[Version], now: int
    ) -> None:
        """A member told how new its topics are, of all or of some."""
        known = self._drop_known(here)
        for version in told:
            if version.sequence <= known.get(version.topic, -1):
                continue
            missing = self._missing.get(version.topic)
            if missing is None:
                if len(self._missing) >= MOST_TOPICS:
                    continue
                missing = self._missing[version.topic] = Missing(version.sequence, now)
            missing.sequence = max(missing.sequence, version.sequence)
            if len(missing.asked) < MOST_SOURCES:
                missing.asked.setdefault(source, None)

    def source_lost(self, source: Source) -> None:
        """The connection to a member has ended: it is asked no more."""
        for missing in self._missing.values():
            missing.asked.pop(source, None)
        self._missing = {topic: missing for topic, missing in self._missing.items() if missing.asked}

    def take_due(self, here: Iterable[Version], now: int) -> set[Source]:
        """The members to be asked now; an answer brings all topics that are newer there."""
        self._drop_known(here)
        due = set()
        for missing in self._missing.values():
            if missing.next_due() <= now:
                source = missing.choose_source()
                missing.asked[source] = now
                due.add(source)
        return due

    def next_due(self) -> int | None:
        """When `take_due` is to be called next, None while nothing is missing."""
        return min((missing.next_due() for missing in self._missing.values()), default=None)

    def _drop_known(self, here: Iterable[Version]) -> dict[str, int]:
        """Forget what has come, and whom it was asked of: the wait for a newer version begins anew."""
        known = {version.topic: version.sequence for version in here}
        self._missing = {
            topic: missing
            for topic, missing in self._missing.items()
            if known.get(topic, -1) < missing.sequence
        }
        return known
