"""All that holders keep, as a core member hands it on: by holder, salt and model."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from iristrack.prefix_index.kv_events import KeptEvent, KeptPart
from iristrack.wire.messages import KeptParts, PartTokens

MOST_ENTRIES = 500_000

Space = tuple[str, str]  # salt, model


class KeptCatalog:
    """What each holder keeps; a holder that would pass the bound is told of no more until it is reset."""

    def __init__(self, most_entries: int = MOST_ENTRIES) -> None:
        """Nothing is known."""
        self.most_entries = most_entries
        self.entries = 0
        self.refused = 0  # changes left out for the bound
        self._holders: dict[str, dict[Space, dict[str, int]]] = {}

    def apply(self, change: KeptParts) -> None:
        """Take a change."""
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
        elif self.entries < self.most_entries:
            space[part.part] = part.tokens
            self.entries += 1
        else:
            self.refused += 1

    def forget(self, holder: str) -> None:
        """Drop all that is known of a holder."""
        spaces = self._holders.pop(holder, {})
        self.entries -= sum(len(space) for space in spaces.values())

    def holders(self) -> list[str]:
        """Holders of which anything is known."""
        return list(self._holders)

    def snapshot(self, holders: Iterable[str]) -> Iterator[KeptParts]:
        """Changes that tell one who knows nothing all that these holders keep."""
        for holder in holders:
            yield KeptParts(holder, True, "", "")
            for (salt, model), space in self._holders.get(holder, {}).items():
                parts = tuple(PartTokens(part, tokens) for part, tokens in space.items())
                yield KeptParts(holder, False, salt, model, parts)


def changes_of_events(holder: str, events: Iterable[KeptEvent]) -> list[KeptParts]:
    """Events as changes, in their order; those of one salt and model in a row are one change."""
    rows = ((e.salt, e.model, PartTokens(e.part_id, e.tokens_kept_now)) for e in events)
    return _grouped(holder, rows)


def changes_of_list(holder: str, owned: Iterable[KeptPart]) -> list[KeptParts]:
    """A holder's list as changes, the first of which voids what was known."""
    rows = ((k.salt, k.model, PartTokens(k.part_id, k.tokens)) for k in owned)
    return [KeptParts(holder, True, "", ""), *_grouped(holder, rows)]


def coalesce_changes(changes: Iterable[KeptParts]) -> list[KeptParts]:
    """The same changes in fewer rows: one for each holder, salt and model, with the newest word on each part."""
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
    """Changes of one holder that are not told yet."""

    reset: bool = False
    spaces: dict[Space, dict[str, PartTokens]] = field(default_factory=dict)

    def rows(self, holder: str) -> Iterator[KeptParts]:
        """The changes, the one that voids what was known before them."""
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
