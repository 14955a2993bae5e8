"""Catalog of everything that holders keep, by holder, salt and model, as relayed by a core member."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from iristrack.prefix_index.kv_events import KeptEvent, KeptPart
from iristrack.wire.messages import KeptParts, PartTokens

MAX_ENTRIES = 500_000

Space = tuple[str, str]  # salt, model


class KeptCatalog:
    """What each holder keeps; parts beyond the limit are refused and stay unknown until reported again."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        """Start without any holder."""
        self.max_entries = max_entries
        self.entries = 0
        self.refused = 0  # changes dropped because of the limit
        self._holders: dict[str, dict[Space, dict[str, int]]] = {}

    def apply(self, change: KeptParts) -> None:
        """Apply a change."""
        if change.reset:
            self.forget(change.holder)
        spaces = self._holders.setdefault(change.holder, {})
        if not change.parts:
            return
        space = spaces.setdefault((change.salt, change.model), {})
        for part in change.parts:
            self._set(space, part)
        if not space:
            del spaces[change.salt, change.model]

    def _set(self, space: dict[str, int], part: PartTokens) -> None:
        known = part.part in space
        if not part.tokens:
            if known:
                del space[part.part]
                self.entries -= 1
        elif known:
            space[part.part] = part.tokens
        elif self.entries < self.max_entries:
            space[part.part] = part.tokens
            self.entries += 1
        else:
            self.refused += 1

    def forget(self, holder: str) -> None:
        """Remove everything known of a holder."""
        spaces = self._holders.pop(holder, {})
        self.entries -= sum(len(space) for space in spaces.values())

    def holders(self) -> list[str]:
        """Return the known holders."""
        return list(self._holders)

    def snapshot(self, holders: Iterable[str]) -> Iterator[KeptParts]:
        """Yield changes that transfer everything these holders keep to a receiver without any state."""
        for holder in holders:
            yield KeptParts(holder, True, "", "")
            for (salt, model), space in self._holders.get(holder, {}).items():
                parts = tuple(PartTokens(part, tokens) for part, tokens in space.items())
                yield KeptParts(holder, False, salt, model, parts)


def changes_of_events(holder: str, events: Iterable[KeptEvent]) -> list[KeptParts]:
    """Convert events to changes in the same order; consecutive ones with equal salt and model become one change."""
    rows = ((e.salt, e.model, PartTokens(e.part_id, e.tokens_kept_now)) for e in events)
    return _grouped(holder, rows)


def changes_of_list(holder: str, owned: Iterable[KeptPart]) -> list[KeptParts]:
    """Convert a holder's list to changes, the first of which resets the holder."""
    rows = ((k.salt, k.model, PartTokens(k.part_id, k.tokens)) for k in owned)
    return [KeptParts(holder, True, "", ""), *_grouped(holder, rows)]


def coalesce_changes(changes: Iterable[KeptParts]) -> list[KeptParts]:
    """Merge changes into one per holder, salt and model, with the latest value of each part."""
    holders: dict[str, _Pending] = {}
    for change in changes:
        pending = holders.setdefault(change.holder, _Pending())
        if change.reset:
            pending.reset = True
            pending.spaces.clear()
        if change.parts:
            space = pending.spaces.setdefault((change.salt, change.model), {})
            space.update((part.part, part) for part in change.parts)
    return [row for holder, pending in holders.items() for row in pending.rows(holder)]


@dataclass(slots=True)
class _Pending:
    """Changes of one holder that are still to be sent."""

    reset: bool = False
    spaces: dict[Space, dict[str, PartTokens]] = field(default_factory=dict)

    def rows(self, holder: str) -> Iterator[KeptParts]:
        """Yield the changes, with a reset first if there was one."""
        if self.reset:
            yield KeptParts(holder, True, "", "")
        for (salt, model), parts in self.spaces.items():
            yield KeptParts(holder, False, salt, model, tuple(parts.values()))


def _grouped(holder: str, rows: Iterable[tuple[str, str, PartTokens]]) -> list[KeptParts]:
    changes: list[tuple[str, str, list[PartTokens]]] = []
    for salt, model, part in rows:
        if not changes or changes[-1][:2] != (salt, model):
            changes.append((salt, model, []))
        changes[-1][2].append(part)
    return [KeptParts(holder, False, salt, model, tuple(parts)) for salt, model, parts in changes]
