"""What the core members at the other ends of this sidecar's connections have told of themselves.

It answers two questions. Which member is the hub, which pushes changes and sums loads: one that reaches a quorum goes
before one that does not, one of this zone before the others. And is the configuration confirmed: has a majority of the
members, each while it reached a quorum, told how new theirs is since this process started, and has nobody told of a
newer one than is in force here? Members that are cut off cannot confirm anything, whatever they hold and however many
they are: what was acknowledged before may be accepted by them without their knowing that it is.
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
    address: str  # inner address, by which the member set names it
    in_quorum: bool = False  # as it told last


class CoreView:
    """The connected core members, by connection."""

    def __init__(self, zone: str, topic: str) -> None:
        """`zone` is this sidecar's, `topic` the one that is to be confirmed."""
        self.zone = zone
        self.topic = topic
        self.hub: PeerConnection | None = None
        self.members: dict[PeerConnection, CoreMember] = {}
        self._newest_sequence = -1  # the highest sequence of the topic that any member told
        self._confirming_addresses: set[str] = (
            set()
        )  # addresses of those that told one while they reached a quorum

    def add_member(self, connection: PeerConnection, hello: Hello) -> None:
        """A member said who it is."""
        self.members[connection] = CoreMember(hello.zone, hello.address)

    def update_member(self, connection: PeerConnection, heartbeat: Heartbeat) -> None:
        """A member told how new its topics are, all or some, and whether it reaches a quorum."""
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
        """The hub from now on: the present one, unless another is better."""
        self.members = {c: member for c, member in self.members.items() if not c.closed}
        best = max(self.members, key=self._rank, default=None)
        present = self.hub if self.hub in self.members else None
        if present is None or self._rank(best) > self._rank(present):
            self.hub = best
        return self.hub

    def is_confirmed(self, sequence: int, members: Collection[str]) -> bool:
        """Has a majority of `members` told versions, and nobody one above `sequence`?"""
        told = sum(address in self._confirming_addresses for address in members)
        return told >= len(members) // 2 + 1 and self._newest_sequence <= sequence

    def _rank(self, connection: PeerConnection) -> tuple[bool, bool]:
        member = self.members[connection]
        return member.in_quorum, member.zone == self.zone
