"""Catch-up of a sidecar: when it asks another core member for an update that its hub has not pushed.

Core members announce each change, and every heartbeat of theirs contains the versions of their topics. If the hub has
not pushed a version within `PUSH_WAIT_NS` after it was first announced, the sidecar asks a member that announced it.
Without an answer it asks another such member after `NEXT_SOURCE_NS`, and the same one again only after
`SAME_SOURCE_NS`, which avoids filling a slow link with copies of one value. Each topic has its own times, so asking for
one topic does not delay another.

Times are in nanoseconds. A source is any hashable object by which the host identifies a connection.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from iristrack.wire.messages import Version

NS_PER_MS = 1_000_000
PUSH_WAIT_NS = 300 * NS_PER_MS
NEXT_SOURCE_NS = 500 * NS_PER_MS
SAME_SOURCE_NS = 1500 * NS_PER_MS
MAX_TOPICS = 64
MAX_SOURCES = 16  # per topic

Source = Hashable


@dataclass(slots=True)
class Missing:
    """A topic of which other processes have a newer version."""

    sequence: int  # highest announced
    since: int  # when the first newer version was announced
    asked: dict[Source, int | None] = field(default_factory=dict)  # source: when it was last asked

    def next_due(self) -> int:
        """Return when to ask a source next, if the update is still missing then."""
        times = [at for at in self.asked.values() if at is not None]
        if not times:
            return self.since + PUSH_WAIT_NS
        if len(times) < len(self.asked):
            return max(times) + NEXT_SOURCE_NS
        return max(max(times) + NEXT_SOURCE_NS, min(times) + SAME_SOURCE_NS)

    def choose_source(self) -> Source:
        """Return a source that was not asked yet, else the one that was asked longest ago."""
        return min(self.asked, key=lambda source: -1 if self.asked[source] is None else self.asked[source])


class CatchUp:
    """The topics of which other processes have newer versions."""

    def __init__(self) -> None:
        """Start without any missing topic."""
        self._missing: dict[str, Missing] = {}

    def record_versions(
        self, source: Source, here: Iterable[Version], announced: Iterable[Version], now: int
    ) -> None:
        """Record the versions that a member announced, of all its topics or some."""
        known = self._drop_known(here)
        for version in announced:
            if version.sequence <= known.get(version.topic, -1):
                continue
            missing = self._missing.get(version.topic)
            if missing is None:
                if len(self._missing) >= MAX_TOPICS:
                    continue
                missing = self._missing[version.topic] = Missing(version.sequence, now)
            missing.sequence = max(missing.sequence, version.sequence)
            if len(missing.asked) < MAX_SOURCES:
                missing.asked.setdefault(source, None)

    def source_lost(self, source: Source) -> None:
        """Remove a member whose connection has ended."""
        for missing in self._missing.values():
            missing.asked.pop(source, None)
        self._missing = {topic: missing for topic, missing in self._missing.items() if missing.asked}

    def take_due(self, here: Iterable[Version], now: int) -> set[Source]:
        """Return the members to ask now; an answer contains all topics that are newer there."""
        self._drop_known(here)
        due = set()
        for missing in self._missing.values():
            if missing.next_due() <= now:
                source = missing.choose_source()
                missing.asked[source] = now
                due.add(source)
        return due

    def next_due(self) -> int | None:
        """Return when to call `take_due` next, or None if nothing is missing."""
        return min((missing.next_due() for missing in self._missing.values()), default=None)

    def _drop_known(self, here: Iterable[Version]) -> dict[str, int]:
        """Drop topics that have arrived, with the sources asked; the wait for a newer version starts again."""
        known = {version.topic: version.sequence for version in here}
        self._missing = {
            topic: missing
            for topic, missing in self._missing.items()
            if known.get(topic, -1) < missing.sequence
        }
        return known
