"""The state that the connected core members have announced, as this sidecar sees it.

It answers two questions:

- Which member is the hub, which pushes changes and sums loads? A member that reaches a quorum is preferred to one that
  does not, then one in this zone.
- Is the configuration confirmed? It is once a majority of the members, each while it reached a quorum, has announced
  its version since this process started, and no member has announced a version newer than the active one.

Members that are cut off from a quorum cannot confirm anything, however many they are: they may have accepted a value
that was acknowledged without knowing that it was.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import Heartbeat, Hello


@dataclass(slots=True)
class CoreMember:
    """One connected core member."""

    zone: str
    address: str  # internal address, as in the member set
    in_quorum: bool = False  # as in its last heartbeat


class CoreView:
    """The connected core members, by connection."""

    def __init__(self, zone: str, topic: str) -> None:
        """`zone` is this sidecar's; `topic` is the one to be confirmed."""
        self.zone = zone
        self.topic = topic
        self.hub: PeerConnection | None = None
        self.members: dict[PeerConnection, CoreMember] = {}
        self._newest_sequence = -1  # the highest sequence of the topic that any member announced
        self._confirming_addresses: set[str] = set()  # addresses of members that announced one with a quorum

    def add_member(self, connection: PeerConnection, hello: Hello) -> None:
        """Add a member, which identified itself with a hello."""
        self.members[connection] = CoreMember(hello.zone, hello.address)

    def update_member(self, connection: PeerConnection, heartbeat: Heartbeat) -> None:
        """Apply a member's heartbeat: the versions of some or all topics, and whether it reaches a quorum."""
        member = self.members.get(connection)
        if member is None:
            return
        member.in_quorum = heartbeat.in_quorum
        for version in heartbeat.known:
            if version.topic == self.topic:
                self._newest_sequence = max(version.sequence, self._newest_sequence)
                if heartbeat.in_quorum:
                    self._confirming_addresses.add(member.address)

    def choose_hub(self) -> PeerConnection | None:
        """Choose and return the hub: the present one, unless another ranks higher."""
        self.members = {c: member for c, member in self.members.items() if not c.closed}
        best = max(self.members, key=self._rank, default=None)
        present = self.hub if self.hub in self.members else None
        if present is None or self._rank(best) > self._rank(present):
            self.hub = best
        return self.hub

    def is_confirmed(self, sequence: int, members: Collection[str]) -> bool:
        """Return whether a majority of `members` has announced versions, and none of them is above `sequence`."""
        confirmed_count = sum(address in self._confirming_addresses for address in members)
        return confirmed_count >= len(members) // 2 + 1 and self._newest_sequence <= sequence

    def _rank(self, connection: PeerConnection) -> tuple[bool, bool]:
        member = self.members[connection]
        return member.in_quorum, member.zone == self.zone
