"""Telling a table of loads that changes: which report is due, and what it has to say."""

from __future__ import annotations

from iristrack.placement.loads import REPEAT_NS, WHOLE_NS, changes_between
from iristrack.wire.messages import ServerLoad, ServerLoads


class ReportStream:
    """Turns a table of loads into a series of reports: whole ones now and then, else what has changed."""

    def __init__(self, node: str) -> None:
        """Nothing has been told."""
        self.node = node
        self._count = 0
        self._told: dict[str, ServerLoad] = {}
        self._told_at = 0
        self._whole_at: int | None = None

    def force_full_report(self) -> None:
        """A receiver that knows nothing has come: the next report is whole."""
        self._whole_at = None

    def next(self, loads: dict[str, ServerLoad], sidecars: int, now: int) -> ServerLoads | None:
        """The report that is due; None where there is nothing to tell."""
        whole = self._whole_at is None or now - self._whole_at >= WHOLE_NS
        changes = list(loads.values()) if whole else changes_between(self._told, loads)
        if not (whole or changes) and now - self._told_at < REPEAT_NS:
            return None
        if whole:
            self._whole_at = now
        self._count += 1
        self._told, self._told_at = dict(loads), now
        return ServerLoads(self.node, self._count, tuple(changes), sidecars, partial=not whole)
