"""Who keeps which parts of prompts: what holders told, and what this sidecar knows from its own requests.

A holder is a model server or a store, named by its address. Parts are found only under the cache salt and the model
under which they were told of, so the wall between tenants and that between versions hold here as at the servers.

Reads take no time and touch nothing: entries are touched by what holders tell and by requests that are sent. Own
knowledge that no holder confirms lapses at the first call with a later `now` (nanoseconds); `expire` is such a call.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from iristrack.prefix_index.digest import Digest, Position, Snapshot
from iristrack.prefix_index.kv_events import (
    START_CURSOR,
    Cursor,
    EventsAnswer,
    KeptPart,
    ListAnswer,
    advance,
)
from iristrack.prefix_index.parts import Part
from iristrack.prefix_index.table import EntryTable, Space, SpaceKey
from iristrack.wire.messages import KeptParts

PROVISIONAL_NS = 5_000_000_000  # own knowledge lapses after so long unless the holder tells of the part


@dataclass(frozen=True, slots=True)
class Entry:
    """What is known of one part at one holder."""

    tokens: int
    known_at: int  # when the holder told so, or a request with it was sent; nanoseconds
    provisional: bool  # own knowledge that the holder has not confirmed
    uncertain: (
        bool  # known from before the holder lost events: its age since `known_at` says how far to trust it
    )


@dataclass(frozen=True, slots=True)
class _Provisional:
    """When an entry lapses, and what the holder had told of it before."""

    deadline: int
    told_tokens: int
    told_at: int


class _Holder:
    """One holder's parts, and how far its events are known."""

    __slots__ = ("cursor", "position", "spaces", "uncertain_since")

    def __init__(self) -> None:
        self.spaces: dict[SpaceKey, Space] = {}
        self.cursor: Cursor = START_CURSOR
        self.position: Position | None = None  # in a watcher's log
        self.uncertain_since: int | None = None  # when events were last found lost; nanoseconds

    def space(self, key: SpaceKey) -> Space:
        """The space of a salt and model; a new one enters `spaces` with its first slot."""
        found = self.spaces.get(key)
        return Space(self.spaces, key) if found is None else found


class PrefixIndex:
    """At most `most_entries` parts at all holders together; when full, the least recently touched give way."""

    __slots__ = ("_holders", "_provisional", "_table")

    def __init__(self, most_entries: int) -> None:
        """Raises `ValueError` where not even one entry is allowed."""
        self._table = EntryTable(most_entries)
        self._holders: dict[str, _Holder] = {}
        self._provisional: OrderedDict[int, _Provisional] = OrderedDict()  # by slot, the next to lapse first

    @property
    def entries(self) -> int:
        """Parts known, each counted once at each holder."""
        return self._table.entries

    @property
    def holders(self) -> int:
        """Holders of which anything was told or recorded since they were last forgotten."""
        return len(self._holders)

    @property
    def evicted(self) -> int:
        """Entries given up since the start because the index was full: knowledge lost, each costs at most a miss."""
        return self._table.evicted

    @property
    def provisional(self) -> int:
        """Entries that no holder has confirmed yet."""
        return len(self._provisional)

    def cursor(self, holder: str) -> Cursor:
        """With which to ask the holder for its next events."""
        known = self._holders.get(holder)
        return START_CURSOR if known is None else known.cursor

    def position(self, holder: str) -> Position | None:
        """Up to where a watcher's log of the holder is known; None (also after its own answers): ask for a snapshot."""
        known = self._holders.get(holder)
        return None if known is None else known.position

    def uncertain_since(self, holder: str) -> int | None:
        """When events of the holder were last found lost (nanoseconds); None where its events are known without gap."""
        known = self._holders.get(holder)
        return None if known is None else known.uncertain_since

    def apply_events(self, holder: str, answer: EventsAnswer, now: int) -> None:
        """Take in what the holder answered to `cursor(holder)`. A changed epoch forgets all that it kept before."""
        self.expire(now)
        known = self._holder(holder)
        step = advance(known.cursor, answer)
        if step.restarted:
            self._clear(known)
            known.uncertain_since = None
        known.cursor = step.cursor
        known.position = None
        if answer.lost:
            known.uncertain_since = now
        for event in step.events:
            self._tell(known, (event.salt, event.model), event.part_id, event.tokens_kept_now, now)

    def apply_list(self, holder: str, answer: ListAnswer, now: int) -> None:
        """Replace all that is known of the holder, provisional entries as well, by its list."""
        self.expire(now)
        known = self._holder(holder)
        known.cursor = Cursor(answer.epoch, answer.next_token)
        known.position = None
        known.uncertain_since = None
        self._replace(known, answer.owned, now)

    def apply_change(self, change: KeptParts, now: int) -> None:
        """Take in a change that a core member told of, over a connection that carries all of them in order."""
        self.expire(now)
        known = self._holder(change.holder)
        if change.reset:
            self._clear(known)
            known.uncertain_since = None
        for part in change.parts:
            self._tell(known, (change.salt, change.model), part.part, part.tokens, now)

    def apply_digest(self, digest: Digest, now: int) -> bool:
        """Take in a watcher's digest; False where it doesn't continue `position(holder)`: ask for a snapshot."""
        self.expire(now)
        known = self._holder(digest.holder)
        if isinstance(digest, Snapshot):
            self._replace(known, digest.kept, now)
        elif digest.after != known.position:
            known.position = None
            return False
        else:
            for change in digest.changes:
                self._tell_part(known, change.kept, now)
        known.position = digest.position
        known.cursor = digest.cursor
        if not digest.uncertain:
            known.uncertain_since = None
        elif known.uncertain_since is None:
            known.uncertain_since = now
        return True

    def record_sent(self, holder: str, salt: str, model: str, parts: Sequence[Part], now: int) -> None:
        """Note that a request with these parts has begun at the holder, which reads them and will keep them.

        Parts that the holder is not known to keep whole count as kept for `PROVISIONAL_NS`, or until it tells of them.
        """
        self.expire(now)
        space = self._holder(holder).space((salt, model))
        for part in reversed(parts):  # the first parts, without which the others are nothing, give way last
            if part.tokens:
                self._expect(space, part, now)

    def expire(self, now: int) -> None:
        """Let own knowledge lapse that no holder has confirmed in time."""
        while self._provisional:
            slot, provisional = next(iter(self._provisional.items()))
            if provisional.deadline > now:
                return
            del self._provisional[slot]
            if provisional.told_tokens:
                self._table.restore(slot, provisional.told_tokens, provisional.told_at)
            else:
                self._table.drop(slot)

    def forget(self, holder: str) -> None:
        """Drop all that is known of the holder, its cursor as well."""
        known = self._holders.pop(holder, None)
        if known is not None:
            self._clear(known)

    def entry(self, holder: str, salt: str, model: str, part_id: str) -> Entry | None:
        """What is known of one part at the holder."""
        known = self._holders.get(holder)
        space = None if known is None else known.spaces.get((salt, model))
        slot = None if space is None else space.slots.get(part_id)
        if slot is None:
            return None
        known_at = self._table.stamps[slot]
        uncertain = known.uncertain_since is not None and known_at < known.uncertain_since
        return Entry(self._table.tokens[slot], known_at, slot in self._provisional, uncertain)

    def kept_tokens(self, holder: str, salt: str, model: str, parts: Sequence[Part]) -> int:
        """Tokens of the prompt's beginning that the holder keeps.

        A part counts, whole or as far as it is kept, only where every part before it is kept whole.
        """
        known = self._holders.get(holder)
        if known is None:
            return 0
        space = known.spaces.get((salt, model))
        if space is None:
            return 0
        return self._prefix_tokens(space.slots, parts)

    def coverage(
        self, salt: str, model: str, parts: Sequence[Part], holders: Iterable[str]
    ) -> dict[str, int]:
        """The kept tokens of each of the holders, as `kept_tokens` counts them."""
        key = (salt, model)
        covered: dict[str, int] = {}
        for holder in holders:
            known = self._holders.get(holder)
            space = None if known is None else known.spaces.get(key)
            covered[holder] = 0 if space is None else self._prefix_tokens(space.slots, parts)
        return covered

    def best_source(
        self, salt: str, model: str, parts: Sequence[Part], candidates: Iterable[str], at_least: int
    ) -> str | None:
        """The candidate that keeps the most tokens, the first of equals; None where none keeps `at_least`, or any."""
        best = None
        most = max(at_least, 1) - 1
        for candidate, kept in self.coverage(salt, model, parts, candidates).items():
            if kept > most:
                best, most = candidate, kept
        return best

    def _prefix_tokens(self, slots: dict[str, int], parts: Sequence[Part]) -> int:
        tokens = self._table.tokens
        total = 0
        for part in parts:
            slot = slots.get(part.id)
            kept = 0 if slot is None else tokens[slot]
            if kept < part.tokens:
                return total + kept
            total += part.tokens
        return total

    def _holder(self, holder: str) -> _Holder:
        known = self._holders.get(holder)
        if known is None:
            known = self._holders[holder] = _Holder()
        return known

    def _replace(self, known: _Holder, owned: Iterable[KeptPart], now: int) -> None:
        self._clear(known)
        for kept in owned:
            self._tell_part(known, kept, now)

    def _tell_part(self, known: _Holder, kept: KeptPart, now: int) -> None:
        self._tell(known, (kept.salt, kept.model), kept.part_id, kept.tokens, now)

    def _tell(self, known: _Holder, key: SpaceKey, part_id: str, tokens: int, now: int) -> None:
        if not tokens:
            self._tell_gone(known, key, part_id)
            return
        slot = self._table.put(known.space(key), part_id, tokens, now)
        self._provisional.pop(slot, None)

    def _tell_gone(self, known: _Holder, key: SpaceKey, part_id: str) -> None:
        space = known.spaces.get(key)
        slot = None if space is None else space.slots.get(part_id)
        if slot is not None:
            self._drop(slot)

    def _expect(self, space: Space, part: Part, now: int) -> None:
        slot = space.slots.get(part.id)
        told_tokens, told_at = (0, 0) if slot is None else self._told(slot)
        if told_tokens >= part.tokens:
            self._table.touch(slot)
            return
        slot = self._table.put(space, part.id, part.tokens, now)
        self._provisional[slot] = _Provisional(now + PROVISIONAL_NS, told_tokens, told_at)
        self._provisional.move_to_end(slot)

    def _told(self, slot: int) -> tuple[int, int]:
        """Tokens, and when the holder told of them."""
        provisional = self._provisional.get(slot)
        if provisional is None:
            return self._table.tokens[slot], self._table.stamps[slot]
        return provisional.told_tokens, provisional.told_at

    def _clear(self, known: _Holder) -> None:
        for space in list(known.spaces.values()):
            for slot in list(space.slots.values()):
                self._drop(slot)

    def _drop(self, slot: int) -> None:
        self._provisional.pop(slot, None)
        self._table.drop(slot)
