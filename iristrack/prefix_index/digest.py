"""Digests: what one watcher of a holder hands on to other sidecars, so that not each of them has to ask the holder.

The watcher enters the holder's answers in a `HolderLog`, which numbers the changes without gaps. Who knows the log up
to a `Position` gets a `Delta` of what changed since, or a `Snapshot` of everything where the log no longer reaches
back so far. Positions of another watcher's log, or of another epoch of the holder, never match. Pure data: the
encoding for the wire is elsewhere.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import TypeAlias

from iristrack.prefix_index.kv_events import START_CURSOR, Cursor, EventsAnswer, KeptPart, ListAnswer, advance


@dataclass(frozen=True, slots=True)
class Generation:
    """One numbering of changes: of one log (`origin` is unique to it) within one epoch of the holder."""

    origin: str
    epoch: int | None


@dataclass(frozen=True, slots=True)
class Position:
    """All changes up to and with `sequence` are known."""

    generation: Generation
    sequence: int


@dataclass(frozen=True, slots=True)
class Change:
    """The holder keeps `kept.tokens` of the part now; 0: nothing of it."""

    sequence: int
    kept: KeptPart


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes from behind `after` up to `position`."""

    holder: str
    after: Position
    position: Position
    cursor: Cursor  # with which a receiver could go on asking the holder itself
    uncertain: bool  # events were lost, and no list has been had since
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that is known of a holder, as of `position`."""

    holder: str
    position: Position
    cursor: Cursor
    uncertain: bool
    kept: tuple[KeptPart, ...]


Digest: TypeAlias = Delta | Snapshot

_Key: TypeAlias = tuple[str, str, str]  # salt, model, part id


class HolderLog:
    """The newest `most_changes` changes at one holder, and the `most_parts` parts that changed last."""

    __slots__ = (
        "_changes",
        "_kept",
        "_sequence",
        "cursor",
        "holder",
        "most_changes",
        "most_parts",
        "origin",
        "uncertain",
    )

    def __init__(self, holder: str, origin: str, most_changes: int, most_parts: int) -> None:
        """`origin` must be unique to this log among all that ever watch the holder."""
        self.holder = holder
        self.origin = origin
        self.most_changes = most_changes
        self.most_parts = most_parts
        self.cursor = START_CURSOR
        self.uncertain = False
        self._sequence = 0
        self._changes: deque[Change] = deque(maxlen=most_changes)
        self._kept: dict[_Key, KeptPart] = {}

    @property
    def position(self) -> Position:
        """Where the log ends."""
        return Position(Generation(self.origin, self.cursor.epoch), self._sequence)

    def record_events(self, answer: EventsAnswer) -> None:
        """Enter what the holder answered to `cursor.since`."""
        step = advance(self.cursor, answer)
        if step.restarted:
            self._restart()
            self.uncertain = False
        self.cursor = step.cursor
        self.uncertain |= answer.lost
        for event in step.events:
            self._record(KeptPart(event.salt, event.part_id, event.tokens_kept_now, event.model))

    def record_list(self, answer: ListAnswer) -> None:
        """Enter the holder's whole list: everybody gets a snapshot next."""
        self._restart()
        self.uncertain = False
        self.cursor = Cursor(answer.epoch, answer.next_token)
        for kept in answer.owned[: self.most_parts]:
            self._keep(kept)

    def since(self, position: Position | None) -> Digest:
        """What one who knows the log up to `position` lacks; everything where it is None or not of this log."""
        end = self.position
        if position is None or not self._reaches(position):
            return Snapshot(self.holder, end, self.cursor, self.uncertain, tuple(self._kept.values()))
        missing = end.sequence - position.sequence
        changes = tuple(islice(self._changes, len(self._changes) - missing, None))
        return Delta(self.holder, position, end, self.cursor, self.uncertain, changes)

    def _reaches(self, position: Position) -> bool:
        if position.generation != self.position.generation:
            return False
        return self._sequence - len(self._changes) <= position.sequence <= self._sequence

    def _restart(self) -> None:
        self._changes.clear()
        self._kept.clear()
        self._sequence += 1  # nobody who knew the log before this is at its end now

    def _record(self, kept: KeptPart) -> None:
        self._sequence += 1
        self._changes.append(Change(self._sequence, kept))
        self._keep(kept)

    def _keep(self, kept: KeptPart) -> None:
        key = (kept.salt, kept.model, kept.part_id)
        self._kept.pop(key, None)
        if not kept.tokens:
            return
        if len(self._kept) >= self.most_parts:
            del self._kept[next(iter(self._kept))]
        self._kept[key] = kept
