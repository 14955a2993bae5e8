"""Discovery as a state machine: what it knows of pool servers, and when it tells whom.

This file owns the list's truth, its revisions, its outages and its lies. Time is an argument; who hosts it carries the
messages. Word of a change reaches each sidecar at its own time, so that two of them may disagree for a while.
"""

from __future__ import annotations

from collections import deque

from iristrack import interface as mi
from iristrack.emulator.draws import Stream

MOST_HISTORY = 1024  # changes that an old revision may be restored from


class Discovery:
    """The service table's source."""

    def __init__(self, entries: tuple[mi.ServerEntry, ...], spread_ns: int, draws: Stream) -> None:
        """`entries` as the day begins; `spread_ns` is how much later some sidecars hear than others."""
        self.entries = {entry.server: entry for entry in entries}
        self.spread = spread_ns
        self.draws = draws
        self.version = 1
        self.down = False
        self.stale: dict[str, mi.ServerEntry] | None = None  # an older table, told in place of the true one
        self.history: deque[tuple[int, str, mi.ServerEntry | None]] = deque(maxlen=MOST_HISTORY)
        self.behind: set[int] = set()  # sidecars that missed something

    def change(self, now: int, entry: mi.ServerEntry) -> int:
        """It has learnt of a change; the new revision."""
        self.history.append((now, entry.server, self.entries.get(entry.server)))
        self.version += 1
        if entry.state is mi.ServerState.GONE:
            self.entries.pop(entry.server, None)
        else:
            self.entries[entry.server] = entry
        return self.version

    def when_told(self, now: int) -> int:
        """When a given sidecar hears what was learnt now."""
        return now + int(self.spread * self.draws.uniform())

    def message(self, sidecar: int, entry: mi.ServerEntry, version: int) -> mi.ServerList | None:
        """What a sidecar is told now that word of `entry` gets to it; None while discovery is away."""
        if self.down:
            self.behind.add(sidecar)
            return None
        if self.stale is not None:
            return None  # what it serves is old, and so has no news
        if sidecar in self.behind:
            self.behind.discard(sidecar)
            return self.whole()
        return mi.ServerList(mi.ListKind.DELTA, (entry,), version)

    def whole(self) -> mi.ServerList:
        """The whole list as it would tell it now."""
        table = self.entries if self.stale is None else self.stale
        version = self.version if self.stale is None else 1
        return mi.ServerList(mi.ListKind.FULL, tuple(table.values()), version)

    def restore(self, then: int) -> None:
        """It restarts with the table that it had at `then`: an older revision."""
        table = dict(self.entries)
        for when, server, old in reversed(self.history):
            if when <= then:
                break
            if old is None:
                table.pop(server, None)
            else:
                table[server] = old
        self.stale = table

    def recover(self) -> None:
        """It knows the truth again."""
        self.stale = None
        self.down = False
