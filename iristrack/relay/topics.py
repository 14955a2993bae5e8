"""The newest value of each topic known to a process, and the updates that another process is missing."""

from __future__ import annotations

from collections.abc import Iterable

from iristrack.wire.messages import Update, Version

CONFIGURATION = "configuration"
VERSIONS = "versions"
MEMBERS = "members"  # the topic, and the register of the first member set, which the seed nodes agree on
MEMBER_SET = "member-set"  # the register of all later member sets, published under `MEMBERS`
WEIGHTS_DUTY = "duty/weights"
BUSY_SERVERS = "busy-servers"
SERVERS = "servers"
ROLLOUTS = "rollouts"
ROLLOUTS_DUTY = "duty/rollouts"
REGISTERS = (CONFIGURATION, VERSIONS, MEMBERS, MEMBER_SET, WEIGHTS_DUTY, ROLLOUTS, ROLLOUTS_DUTY)
MAX_TOPICS = 64


def topic_of(register: str) -> str:
    """Return the topic under which a register's value is distributed."""
    return MEMBERS if register == MEMBER_SET else register


class TopicTable:
    """The newest update of each topic; only a higher sequence replaces an update."""

    def __init__(self) -> None:
        """Start without any topic."""
        self._updates: dict[str, Update] = {}
        self._seen: dict[str, int] = {}

    def learn(self, update: Update) -> bool:
        """Store an update if it is newer than the known one; return whether it was stored."""
        known = self._updates.get(update.topic)
        if known is not None and known.sequence >= update.sequence:
            return False
        if known is None and len(self._updates) >= MAX_TOPICS:
            return False
        self._updates[update.topic] = update
        return True

    def next_sequence(self, topic: str) -> int:
        """Return a sequence above the newest known one."""
        known = self._updates.get(topic)
        return max(0 if known is None else known.sequence, self._seen.get(topic, 0)) + 1

    def observe(self, versions: Iterable[Version]) -> None:
        """Record versions known to others, since a restarted process must continue above them."""
        for version in versions:
            if version.topic in self._seen or len(self._seen) < MAX_TOPICS:
                self._seen[version.topic] = max(version.sequence, self._seen.get(version.topic, 0))

    def get(self, topic: str) -> Update | None:
        """Return the newest update of a topic, or None."""
        return self._updates.get(topic)

    def versions(self) -> tuple[Version, ...]:
        """Return the version of every topic."""
        return tuple(Version(update.topic, update.sequence) for update in self._updates.values())

    def missed_by(self, known: Iterable[Version]) -> list[Update]:
        """Return the updates that are newer than these versions."""
        sequences = {version.topic: version.sequence for version in known}
        return [u for u in self._updates.values() if sequences.get(u.topic, -1) < u.sequence]
