"""Index of the prompt parts kept by each holder, from the holders' reports and this sidecar's own requests.

A holder is a model server or a store, identified by its address. Parts match only under the cache salt and model for
which they were reported, so tenants and versions are isolated here as at the servers.

Lookups take no `now` and do not touch entries; reports by holders and sent requests do. A provisional entry is derived
from a sent request. Unless the holder confirms it, it expires at the first call with a later `now` (nanoseconds);
`expire` is such a call.
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

PROVISIONAL_NS = 5_000_000_000  # lifetime of a provisional entry unless the holder reports the part


@dataclass(frozen=True, slots=True)
class Entry:
    """Knowledge of one part at one holder."""

    tokens: int
    known_at: int  # when the holder reported it or a request with it was sent; nanoseconds
    provisional: bool  # derived from a sent request, not confirmed by the holder
    uncertain: (
        bool  # from before events of the holder were lost; the age since `known_at` shows how reliable it is
    )


@dataclass(frozen=True, slots=True)
class _Provisional:
    """When a provisional entry expires, and what the holder had reported before."""

    deadline: int
    reported_tokens: int
    reported_at: int


class _Holder:
    """One holder's parts, and the position up to which its events are known."""

    __slots__ = ("cursor", "position", "spaces", "uncertain_since")

    def __init__(self) -> None:
        self.spaces: dict[SpaceKey, Space] = {}
        self.cursor: Cursor = START_CURSOR
        self.position: Position | None = None  # in a watcher's log
        self.uncertain_since: int | None = None  # when a loss of events was last detected; nanoseconds

    def space(self, key: SpaceKey) -> Space:
        """Return the space of a salt and model; a new one is added to `spaces` with its first slot."""
        found = self.spaces.get(key)
        return Space(self.spaces, key) if found is None else found


class PrefixIndex:
    """At most `most_entries` parts at all holders together; the least recently touched ones are evicted."""

    __slots__ = ("_holders", "_provisional", "_table")

    def __init__(self, most_entries: int) -> None:
        """Start an empty index. Raises `ValueError` if `most_entries` is below 1."""
        self._table = EntryTable(most_entries)
        self._holders: dict[str, _Holder] = {}
        self._provisional: OrderedDict[int, _Provisional] = OrderedDict()  # by slot, in order of expiry

    @property
    def entries(self) -> int:
        """Return the number of known parts, each counted once per holder."""
        return self._table.entries

    @property
    def holders(self) -> int:
        """Return the number of holders with any report or request since they were last forgotten."""
        return len(self._holders)

    @property
    def evicted(self) -> int:
        """Return the number of entries evicted from a full index since the start; each costs at most a cache miss."""
        return self._table.evicted

    @property
    def provisional(self) -> int:
        """Return the number of entries that no holder has confirmed yet."""
        return len(self._provisional)

    def cursor(self, holder: str) -> Cursor:
        """Return the cursor for the next request of the holder's events."""
        known = self._holders.get(holder)
        return START_CURSOR if known is None else known.cursor

    def position(self, holder: str) -> Position | None:
        """Return the known position in a watcher's log; None, also after a holder's own answer: ask for a snapshot."""
        known = self._holders.get(holder)
        return None if known is None else known.position

    def uncertain_since(self, holder: str) -> int | None:
        """Return when a loss of the holder's events was last detected (ns); None if they are known without gaps."""
        known = self._holders.get(holder)
        return None if known is None else known.uncertain_since

    def apply_events(self, holder: str, answer: EventsAnswer, now: int) -> None:
        """Apply the holder's answer to a call with `cursor(holder)`. A new epoch drops everything known before."""
        self.expire(now)
        known = self._holder(holder)
        advanced = advance(known.cursor, answer)
        if advanced.restarted:
            self._clear(known)
            known.uncertain_since = None
        known.cursor = advanced.cursor
        known.position = None
        if answer.lost:
            known.uncertain_since = now
        for event in advanced.events:
            self._report(known, (event.salt, event.model), event.part_id, event.tokens_kept_now, now)

    def apply_list(self, holder: str, answer: ListAnswer, now: int) -> None:
        """Replace everything known of the holder, including provisional entries, by its list."""
        self.expire(now)
        known = self._holder(holder)
        known.cursor = Cursor(answer.epoch, answer.next_token)
        known.position = None
        known.uncertain_since = None
        self._replace(known, answer.owned, now)

    def apply_change(self, change: KeptParts, now: int) -> None:
        """Apply a change relayed by a core member over a connection that delivers all changes in order."""
        self.expire(now)
        known = self._holder(change.holder)
        if change.reset:
            self._clear(known)
            known.uncertain_since = None
        for part in change.parts:
            self._report(known, (change.salt, change.model), part.part, part.tokens, now)

    def apply_digest(self, digest: Digest, now: int) -> bool:
        """Apply a watcher's digest; return False if it does not follow `position(holder)`: ask for a snapshot."""
        self.expire(now)
        known = self._holder(digest.holder)
        if isinstance(digest, Snapshot):
            self._replace(known, digest.kept, now)
        elif digest.after != known.position:
            known.position = None
            return False
        else:
            for change in digest.changes:
                self._report_part(known, change.kept, now)
        known.position = digest.position
        known.cursor = digest.cursor
        if not digest.uncertain:
            known.uncertain_since = None
        elif known.uncertain_since is None:
            known.uncertain_since = now
        return True

    def record_sent(self, holder: str, salt: str, model: str, parts: Sequence[Part], now: int) -> None:
        """Record a request with these parts sent to the holder, which will prefill and keep them.

        Parts not known to be fully kept there count as kept for `PROVISIONAL_NS`, or until the holder reports them.
        """
        self.expire(now)
        space = self._holder(holder).space((salt, model))
        for part in reversed(
            parts
        ):  # the first parts are evicted last, since later ones are useless without them
            if part.tokens:
                self._add_provisional(space, part, now)

    def expire(self, now: int) -> None:
        """Remove provisional entries that no holder has confirmed in time, or restore what it had reported before."""
        while self._provisional:
            slot, provisional = next(iter(self._provisional.items()))
            if provisional.deadline > now:
                return
            del self._provisional[slot]
            if provisional.reported_tokens:
                self._table.restore(slot, provisional.reported_tokens, provisional.reported_at)
            else:
                self._table.drop(slot)

    def forget(self, holder: str) -> None:
        """Remove everything known of the holder, including its cursor."""
        known = self._holders.pop(holder, None)
        if known is not None:
            self._clear(known)

    def entry(self, holder: str, salt: str, model: str, part_id: str) -> Entry | None:
        """Return the entry of one part at the holder, or None."""
        known = self._holders.get(holder)
        space = None if known is None else known.spaces.get((salt, model))
        slot = None if space is None else space.slots.get(part_id)
        if slot is None:
            return None
        known_at = self._table.stamps[slot]
        uncertain = known.uncertain_since is not None and known_at < known.uncertain_since
        return Entry(self._table.tokens[slot], known_at, slot in self._provisional, uncertain)

    def kept_tokens(self, holder: str, salt: str, model: str, parts: Sequence[Part]) -> int:
        """Return the number of tokens of the prompt's prefix that the holder keeps.

        A fully or partly kept part counts only if all parts before it are fully kept.
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
        """Return the kept tokens of each holder, counted as by `kept_tokens`."""
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
        """Return the first candidate that keeps the most tokens; None if none keeps `at_least` or any."""
        best = None
        best_tokens = max(at_least, 1) - 1
        for candidate, kept in self.coverage(salt, model, parts, candidates).items():
            if kept > best_tokens:
                best, best_tokens = candidate, kept
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
            self._report_part(known, kept, now)

    def _report_part(self, known: _Holder, kept: KeptPart, now: int) -> None:
        self._report(known, (kept.salt, kept.model), kept.part_id, kept.tokens, now)

    def _report(self, known: _Holder, key: SpaceKey, part_id: str, tokens: int, now: int) -> None:
        if not tokens:
            self._report_dropped(known, key, part_id)
            return
        slot = self._table.put(known.space(key), part_id, tokens, now)
        self._provisional.pop(slot, None)

    def _report_dropped(self, known: _Holder, key: SpaceKey, part_id: str) -> None:
        space = known.spaces.get(key)
        slot = None if space is None else space.slots.get(part_id)
        if slot is not None:
            self._drop(slot)

    def _add_provisional(self, space: Space, part: Part, now: int) -> None:
        slot = space.slots.get(part.id)
        reported_tokens, reported_at = (0, 0) if slot is None else self._last_report(slot)
        if reported_tokens >= part.tokens:
            self._table.touch(slot)
            return
        slot = self._table.put(space, part.id, part.tokens, now)
        self._provisional[slot] = _Provisional(now + PROVISIONAL_NS, reported_tokens, reported_at)
        self._provisional.move_to_end(slot)

    def _last_report(self, slot: int) -> tuple[int, int]:
        """Return the tokens that the holder reported, and when."""
        provisional = self._provisional.get(slot)
        if provisional is None:
            return self._table.tokens[slot], self._table.stamps[slot]
        return provisional.reported_tokens, provisional.reported_at

    def _clear(self, known: _Holder) -> None:
        for space in list(known.spaces.values()):
            for slot in list(space.slots.values()):
                self._drop(slot)

    def _drop(self, slot: int) -> None:
        self._provisional.pop(slot, None)
        self._table.drop(slot)
