"""Whether a duty is held by this process, held by another, or vacant, by the monotonic clock alone.

A holder renews by raising `renewals` in the register, and acts for `RENEWAL_VALID_NS` after it began its last renewal.
Another process takes the duty for vacant once it has seen the same value for that long and the lease besides: the last
act of one holder and the first of the next lie further apart than the lease, so holders never take turns within it.
"""

from __future__ import annotations

from dataclasses import dataclass

from iristrack.wire.messages import DutyValue

NS_PER_MS = 1_000_000
RENEWAL_VALID_NS = 800 * NS_PER_MS  # a renewal is good for so long
CLAIM_MARGIN_NS = 200 * NS_PER_MS  # for clocks that do not run alike
RENEW_NS = 250 * NS_PER_MS  # between two renewals


@dataclass(frozen=True, slots=True)
class Holding:
    """A duty as this process holds it."""

    fence: int
    act_until: int  # ns


class Lease:
    """One duty, as one process sees it."""

    def __init__(self, node: str, process: str, lease_ns: int) -> None:
        """Nothing is known of the duty."""
        self.node = node
        self.process = process
        self.lease_ns = lease_ns
        self.holding: Holding | None = None
        self.refused_fence = 0  # the highest fence that a server refused
        self._seen: DutyValue | None = None
        self._seen_at: int | None = None

    @property
    def seen(self) -> DutyValue | None:
        """The newest value of the duty that was seen."""
        return self._seen

    def observe(self, value: DutyValue | None, now: int) -> None:
        """The register's value was read, or told of; a value that changed proves that its holder lives."""
        if self._seen_at is None or value != self._seen:
            if value is not None and self._seen is not None and value.sequence < self._seen.sequence:
                return
            self._seen = value
            self._seen_at = now
        if value is not None and (value.owner, value.process) != (self.node, self.process):
            self.holding = None

    def refused(self, fence: int) -> None:
        """A server knows a higher fence: nothing more is ordered under this one, whatever the lease says."""
        self.refused_fence = max(self.refused_fence, fence)
        if self.holding is not None and self.holding.fence <= fence:
            self.holding = None

    def may_act(self, now: int) -> bool:
        """May this process give an order now?"""
        return self.holding is not None and now < self.holding.act_until

    def should_claim(self, now: int) -> bool:
        """Is it time to claim the duty, or to renew it?"""
        if self.holding is not None:
            return now >= self.holding.act_until - RENEWAL_VALID_NS + RENEW_NS
        if self._seen_at is None:
            return False
        if self._seen is None or (self._seen.owner, self._seen.process) == (self.node, self.process):
            return True
        return now >= self._seen_at + RENEWAL_VALID_NS + self.lease_ns + CLAIM_MARGIN_NS

    def claimed(self, value: DutyValue, began: int, now: int) -> None:
        """A claim or renewal that began at `began` has been committed."""
        self._seen = value
        self._seen_at = now
        self.holding = Holding(value.fence, began + RENEWAL_VALID_NS)
