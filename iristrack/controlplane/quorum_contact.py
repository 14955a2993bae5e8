"""Whether this process reaches a quorum of the member set, by the answers that it has heard lately.

A member that does not is on the wrong side of a cut, or was frozen. It answers orders and reads with 503 at once
instead of waiting for a quorum in each call, fetches no list for everyone, and says so in its heartbeats, so that no
sidecar takes it for its hub. This spares time only: that no old value is told and no order is confirmed without a
quorum is the register's work, in each call.
"""

from __future__ import annotations

from iristrack.controlplane.register_host import RegisterHost
from iristrack.wire.dialing import DialerSet

NS_PER_MS = 1_000_000
RECENT_CONTACT_NS = 1200 * NS_PER_MS  # members answer each other every 500 ms


class QuorumContact:
    """The contact of one control plane with the others."""

    def __init__(self, register: RegisterHost, dialers: DialerSet) -> None:
        """Nothing is remembered: each question looks at the connections as they are."""
        self.register = register
        self.dialers = dialers

    def reached(self) -> set[str]:
        """The inner addresses that have answered lately, and this process's own."""
        return {self.register.name, *self.dialers.heard_within(RECENT_CONTACT_NS)}

    def holds(self) -> bool:
        """Does this process reach a quorum? Not while no member set is known."""
        members = self.register.members
        reached = self.reached()
        return bool(members) and sum(member in reached for member in members) >= len(members) // 2 + 1
