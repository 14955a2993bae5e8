"""Reports of a changing table of loads: when one is due, and what it contains."""

from __future__ import annotations

from iristrack.placement.loads import FULL_REPORT_INTERVAL_NS, KEEPALIVE_INTERVAL_NS, changes_between
from iristrack.wire.messages import ServerLoad, ServerLoads


class ReportStream:
    """Turns a table of loads into a series of reports: a full one at intervals, changes in between."""

    def __init__(self, node: str) -> None:
        """Start without any report sent."""
        self.node = node
        self._count = 0
        self._sent: dict[str, ServerLoad] = {}
        self._sent_at = 0
        self._full_sent_at: int | None = None

    def force_full_report(self) -> None:
        """Make the next report a full one, since a new receiver has no state yet."""
        self._full_sent_at = None

    def next(self, loads: dict[str, ServerLoad], sidecars: int, now: int) -> ServerLoads | None:
        """Return the report that is due, or None."""
        is_full = self._full_sent_at is None or now - self._full_sent_at >= FULL_REPORT_INTERVAL_NS
        changes = list(loads.values()) if is_full else changes_between(self._sent, loads)
        if not (is_full or changes) and now - self._sent_at < KEEPALIVE_INTERVAL_NS:
            return None
        if is_full:
            self._full_sent_at = now
        self._count += 1
        self._sent, self._sent_at = dict(loads), now
        return ServerLoads(self.node, self._count, tuple(changes), sidecars, partial=not is_full)
