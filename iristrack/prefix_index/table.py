"""A bounded table of kept parts, of all holders together, that drops the least recently touched when it is full.

Each entry has a slot, an index into arrays; a ring of slots through two of them keeps the order of touches. An entry
costs its id's text, a dictionary's item and 36 bytes in the arrays, where an object of its own would cost twice that.
"""

from __future__ import annotations

from array import array
from typing import TypeAlias

SpaceKey: TypeAlias = tuple[str, str]  # cache salt and model: ids mean the same part only within one of them

_RING = 0  # the slot that is no entry: the ring's beginning and end


class Space:
    """The slots of one holder's parts under one salt and model, by part id.

    A space is in its holder's `siblings` exactly while it has slots.
    """

    __slots__ = ("key", "siblings", "slots")

    def __init__(self, siblings: dict[SpaceKey, Space], key: SpaceKey) -> None:
        """A space without slots, not yet in `siblings`."""
        self.siblings = siblings
        self.key = key
        self.slots: dict[str, int] = {}


class EntryTable:
    """At most `most_entries` entries; `tokens` and `stamps` (nanoseconds) are to be read by slot, never written."""

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
        """Raises `ValueError` where not even one entry is allowed."""
        if most_entries < 1:
            raise ValueError(f"most_entries is {most_entries}, at least 1 is needed")
        self.most_entries = most_entries
        self.entries = 0
        self.evicted = 0
        self.tokens = array("I", [0])
        self.stamps = array("q", [0])
        self._next = array("I", [_RING])  # towards the newest; of a free slot: the next free one
        self._previous = array("I", [_RING])
        self._spaces: list[Space | None] = [None]
        self._ids: list[str] = [""]
        self._free = _RING  # the first free slot; _RING where there is none

    def put(self, space: Space, part_id: str, tokens: int, now: int) -> int:
        """Enter or renew a part as the most recently touched one; its slot."""
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
        """Make the entry the most recently touched one."""
        self._unlink(slot)
        self._link(slot)

    def restore(self, slot: int, tokens: int, stamp: int) -> None:
        """Set what the entry says without touching it."""
        self.tokens[slot] = tokens
        self.stamps[slot] = stamp

    def drop(self, slot: int) -> None:
        """Remove the entry; its slot will be another's."""
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
            self.drop(self._next[_RING])
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
        if slot != _RING:
            self._free = self._next[slot]
            return slot
        slot = len(self.tokens)
        self.tokens.append(0)
        self.stamps.append(0)
        self._next.append(_RING)
        self._previous.append(_RING)
        self._spaces.append(None)
        self._ids.append("")
        return slot

    def _link(self, slot: int) -> None:
        newest = self._previous[_RING]
        self._next[newest] = slot
        self._previous[slot] = newest
        self._next[slot] = _RING
        self._previous[_RING] = slot

    def _unlink(self, slot: int) -> None:
        following = self._next[slot]
        preceding = self._previous[slot]
        self._next[preceding] = following
        self._previous[following] = preceding
