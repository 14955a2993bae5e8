"""Lease on a duty: whether this process holds it, another one does, or it is vacant. Uses the monotonic clock only.

A holder renews the lease by raising `renewals` in the register, and may act for `RENEWAL_VALID_NS` from the start of
its last renewal. Another process considers the duty vacant after it has seen an unchanged value for that time plus the
lease. So the last action of one holder and the first of the next are more than the lease apart, and holders cannot
alternate within one lease.
"""

from __future__ import annotations

from dataclasses import dataclass

from iristrack.wire.messages import DutyValue

NS_PER_MS = 1_000_000
RENEWAL_VALID_NS = 800 * NS_PER_MS  # a holder may act for this long after it started a renewal
CLAIM_MARGIN_NS = 200 * NS_PER_MS  # for clocks that run at different rates
RENEWAL_INTERVAL_NS = 250 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class Holding:
    """A duty that this process holds."""

    fence: int
    act_until: int  # ns


class Lease:
    """The lease on one duty as known to one process."""

    def __init__(self, node: str, process: str, lease_ns: int) -> None:
        """Start without any knowledge of the duty."""
        self.node = node
        self.process = process
        self.lease_ns = lease_ns
        self.holding: Holding | None = None
        self.refused_fence = 0  # highest fencing token that a server refused
        self._seen: DutyValue | None = None
        self._seen_at: int | None = None

    @property
    def seen(self) -> DutyValue | None:
        """Return the newest value of the duty that was seen."""
        return self._seen

    def observe(self, value: DutyValue | None, now: int) -> None:
        """Record the register's value as read or reported; a changed value proves that its holder is alive."""
        if self._seen_at is None or value != self._seen:
            if value is not None and self._seen is not None and value.sequence < self._seen.sequence:
                return
            self._seen = value
            self._seen_at = now
        if value is not None and (value.owner, value.process) != (self.node, self.process):
            self.holding = None

    def refused(self, fence: int) -> None:
        """Give up the duty, whatever the lease says: a server knows a fencing token above `fence` and refused it."""
        self.refused_fence = max(self.refused_fence, fence)
        if self.holding is not None and self.holding.fence <= fence:
            self.holding = None

    def may_act(self, now: int) -> bool:
        """Return whether this process may give orders now."""
        return self.holding is not None and now < self.holding.act_until

    def should_claim(self, now: int) -> bool:
        """Return whether it is time to claim the duty or to renew the lease."""
        if self.holding is not None:
            return now >= self.holding.act_until - RENEWAL_VALID_NS + RENEWAL_INTERVAL_NS
        if self._seen_at is None:
            return False
        if self._seen is None or (self._seen.owner, self._seen.process) == (self.node, self.process):
            return True
        return now >= self._seen_at + RENEWAL_VALID_NS + self.lease_ns + CLAIM_MARGIN_NS

    def claimed(self, value: DutyValue, started_at: int, now: int) -> None:
        """Record that a claim or renewal started at `started_at` has been committed."""
        self._seen = value
        self._seen_at = now
        self.holding = Holding(value.fence, started_at + RENEWAL_VALID_NS)
