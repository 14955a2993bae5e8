"""Digests by which one watcher of a holder informs other sidecars, so that not every sidecar has to ask the holder.

The watcher records the holder's answers in a `HolderLog`, which numbers the changes without gaps. A reader that knows
the log up to a `Position` gets a `Delta` of the changes since then, or a `Snapshot` of everything if the log no longer
contains them all. Positions of another watcher's log, or of another epoch of the holder, never match. This module has
plain data only; the wire encoding is elsewhere.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import TypeAlias

from iristrack.prefix_index.kv_events import START_CURSOR, Cursor, EventsAnswer, KeptPart, ListAnswer, advance


@dataclass(frozen=True, slots=True)
class Generation:
    """Scope of the sequence numbers: one log (`origin` is unique to it) within one epoch of the holder."""

    origin: str
    epoch: int | None


@dataclass(frozen=True, slots=True)
class Position:
    """All changes up to and including `sequence` are known."""

    generation: Generation
    sequence: int


@dataclass(frozen=True, slots=True)
class Change:
    """The holder now keeps `kept.tokens` tokens of the part; 0 if it dropped the part."""

    sequence: int
    kept: KeptPart


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes after `after`, up to and including `position`."""

    holder: str
    after: Position
    position: Position
    cursor: Cursor  # from which a receiver could continue to ask the holder itself
    uncertain: bool  # events were lost, and no full list was received since
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything known of a holder, as of `position`."""

    holder: str
    position: Position
    cursor: Cursor
    uncertain: bool
    kept: tuple[KeptPart, ...]


Digest: TypeAlias = Delta | Snapshot

_Key: TypeAlias = tuple[str, str, str]  # salt, model, part id


class HolderLog:
    """The newest `max_changes` changes at one holder, and the `max_parts` most recently changed parts."""

    __slots__ = (
        "_changes",
        "_kept",
        "_sequence",
        "cursor",
        "holder",
        "max_changes",
        "max_parts",
        "origin",
        "uncertain",
    )

    def __init__(self, holder: str, origin: str, max_changes: int, max_parts: int) -> None:
        """Start an empty log; `origin` must be unique among all logs that ever watch the holder."""
        self.holder = holder
        self.origin = origin
        self.max_changes = max_changes
        self.max_parts = max_parts
        self.cursor = START_CURSOR
        self.uncertain = False
        self._sequence = 0
        self._changes: deque[Change] = deque(maxlen=max_changes)
        self._kept: dict[_Key, KeptPart] = {}

    @property
    def position(self) -> Position:
        """Return the position of the end of the log."""
        return Position(Generation(self.origin, self.cursor.epoch), self._sequence)

    def record_events(self, answer: EventsAnswer) -> None:
        """Record the holder's answer to a call with `cursor.since`."""
        advanced = advance(self.cursor, answer)
        if advanced.restarted:
            self._restart()
            self.uncertain = False
        self.cursor = advanced.cursor
        self.uncertain |= answer.lost
        for event in advanced.events:
            self._record(KeptPart(event.salt, event.part_id, event.tokens_kept_now, event.model))

    def record_list(self, answer: ListAnswer) -> None:
        """Record the holder's full list, after which every reader gets a snapshot."""
        self._restart()
        self.uncertain = False
        self.cursor = Cursor(answer.epoch, answer.next_token)
        for kept in answer.owned[: self.max_parts]:
            self._keep(kept)

    def since(self, position: Position | None) -> Digest:
        """Return the changes since `position`, or everything if it is None or not a position of this log."""
        end = self.position
        if position is None or not self._contains(position):
            return Snapshot(self.holder, end, self.cursor, self.uncertain, tuple(self._kept.values()))
        missing = end.sequence - position.sequence
        changes = tuple(islice(self._changes, len(self._changes) - missing, None))
        return Delta(self.holder, position, end, self.cursor, self.uncertain, changes)

    def _contains(self, position: Position) -> bool:
        if position.generation != self.position.generation:
            return False
        return self._sequence - len(self._changes) <= position.sequence <= self._sequence

    def _restart(self) -> None:
        self._changes.clear()
        self._kept.clear()
        self._sequence += 1  # no earlier position equals the end of the log now

    def _record(self, kept: KeptPart) -> None:
        self._sequence += 1
        self._changes.append(Change(self._sequence, kept))
        self._keep(kept)

    def _keep(self, kept: KeptPart) -> None:
        key = (kept.salt, kept.model, kept.part_id)
        self._kept.pop(key, None)
        if not kept.tokens:
            return
        if len(self._kept) >= self.max_parts:
            del self._kept[next(iter(self._kept))]
        self._kept[key] = kept
