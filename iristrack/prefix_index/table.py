"""A bounded table of kept parts of all holders, which evicts the least recently touched entry when it is full.

Each entry has a slot, which is an index into arrays. Two of the arrays link the slots to a ring in the order of use. An
entry takes its id's text, a dictionary item and 36 bytes in the arrays; a separate object would take twice as much.
"""

from __future__ import annotations

from array import array
from typing import TypeAlias

SpaceKey: TypeAlias = tuple[str, str]  # cache salt and model, the scope within which an id identifies a part

_SENTINEL = 0  # slot without an entry, at the start and end of the ring


class Space:
    """The slots of one holder's parts under one salt and model, by part id.

    It is in its holder's `siblings` only while it has slots.
    """

    __slots__ = ("key", "siblings", "slots")

    def __init__(self, siblings: dict[SpaceKey, Space], key: SpaceKey) -> None:
        """Create a space without slots, not yet in `siblings`."""
        self.siblings = siblings
        self.key = key
        self.slots: dict[str, int] = {}


class EntryTable:
    """At most `most_entries` entries; callers may read `tokens` and `stamps` (ns) by slot, but not write them."""

    __slots__ = (
        "_free",
        "_ids",
        "_next",
        "_previous",
        "_spaces",
        "entries",
        "evicted",
        "most_entries",
        "stamps",
        "tokens",
    )

    def __init__(self, most_entries: int) -> None:
        """Start an empty table. Raises `ValueError` if `most_entries` is below 1."""
        if most_entries < 1:
            raise ValueError(f"most_entries must be at least 1, got {most_entries}")
        self.most_entries = most_entries
        self.entries = 0
        self.evicted = 0
        self.tokens = array("I", [0])
        self.stamps = array("q", [0])
        self._next = array("I", [_SENTINEL])  # next newer entry; for a free slot the next free one
        self._previous = array("I", [_SENTINEL])
        self._spaces: list[Space | None] = [None]
        self._ids: list[str] = [""]
        self._free = _SENTINEL  # first free slot, or _SENTINEL

    def put(self, space: Space, part_id: str, tokens: int, now: int) -> int:
        """Add or update a part as the most recently touched entry; return its slot."""
        slot = space.slots.get(part_id)
        if slot is None:
            slot = self._insert(space, part_id)
        else:
            self._unlink(slot)
        self._link(slot)
        self.tokens[slot] = tokens
        self.stamps[slot] = now
        return slot

    def touch(self, slot: int) -> None:
        """Mark the entry as the most recently touched one."""
        self._unlink(slot)
        self._link(slot)

    def restore(self, slot: int, tokens: int, stamp: int) -> None:
        """Set the entry's values without touching it."""
        self.tokens[slot] = tokens
        self.stamps[slot] = stamp

    def drop(self, slot: int) -> None:
        """Remove the entry; its slot will be reused."""
        self._unlink(slot)
        space = self._spaces[slot]
        del space.slots[self._ids[slot]]
        if not space.slots:
            del space.siblings[space.key]
        self._spaces[slot] = None
        self._ids[slot] = ""
        self._next[slot] = self._free
        self._free = slot
        self.entries -= 1

    def _insert(self, space: Space, part_id: str) -> int:
        if self.entries >= self.most_entries:
            self.drop(self._next[_SENTINEL])
            self.evicted += 1
        slot = self._take_slot()
        if not space.slots:
            space.siblings[space.key] = space
        space.slots[part_id] = slot
        self._spaces[slot] = space
        self._ids[slot] = part_id
        self.entries += 1
        return slot

    def _take_slot(self) -> int:
        slot = self._free
        if slot != _SENTINEL:
            self._free = self._next[slot]
            return slot
        slot = len(self.tokens)
        self.tokens.append(0)
        self.stamps.append(0)
        self._next.append(_SENTINEL)
        self._previous.append(_SENTINEL)
        self._spaces.append(None)
        self._ids.append("")
        return slot

    def _link(self, slot: int) -> None:
        newest = self._previous[_SENTINEL]
        self._next[newest] = slot
        self._previous[slot] = newest
        self._next[slot] = _SENTINEL
        self._previous[_SENTINEL] = slot

    def _unlink(self, slot: int) -> None:
        following = self._next[slot]
        preceding = self._previous[slot]
        self._next[preceding] = following
        self._previous[following] = preceding
