"""Tracks whether this process reaches a quorum of the member set, judging by recent answers.

A member without a quorum is on the minority side of a network partition, or was frozen. It answers orders and reads
with 503 at once instead of waiting for a quorum in each call, does not fetch the server list for others, and reports
its state in its heartbeats so that no sidecar uses it as its hub. This only saves time. The register itself ensures, in
each call, that no stale value is returned and no order is confirmed without a quorum.
"""

from __future__ import annotations

from iristrack.controlplane.register_host import RegisterHost
from iristrack.wire.dialing import DialerSet

NS_PER_MS = 1_000_000
RECENT_CONTACT_NS = 1200 * NS_PER_MS  # members answer each other's heartbeats every 500 ms


class QuorumContact:
    """The contact of one control plane with the other members."""

    def __init__(self, register: RegisterHost, dialers: DialerSet) -> None:
        """Keep no state: each query looks at the present connections."""
        self.register = register
        self.dialers = dialers

    def reached(self) -> set[str]:
        """Return the inner addresses that have answered recently, and this process's own."""
        return {self.register.name, *self.dialers.heard_within(RECENT_CONTACT_NS)}

    def has_quorum(self) -> bool:
        """Tell whether this process reaches a quorum; false while no member set is known."""
        members = self.register.members
        reached = self.reached()
        return bool(members) and sum(member in reached for member in members) >= len(members) // 2 + 1
