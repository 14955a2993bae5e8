"""The newest value of each topic that a process knows, and what another process has missed."""

from __future__ import annotations

from collections.abc import Iterable

from iristrack.wire.messages import Update, Version

CONFIGURATION = "configuration"
VERSIONS = "versions"
MEMBERS = "members"  # the topic; as a register it holds the first set, which the seeds agree on
MEMBER_SET = "member-set"  # the register of all later sets
WEIGHTS_DUTY = "duty/weights"
BUSY_SERVERS = "busy-servers"
SERVERS = "servers"
ROLLOUTS = "rollouts"
ROLLOUTS_DUTY = "duty/rollouts"
REGISTERS = (CONFIGURATION, VERSIONS, MEMBERS, MEMBER_SET, WEIGHTS_DUTY, ROLLOUTS, ROLLOUTS_DUTY)
MOST_TOPICS = 64


def topic_of(register: str) -> str:
    """The topic under which a register's value is handed on."""
    return MEMBERS if register == MEMBER_SET else register


class TopicTable:
    """Topics by name; a higher sequence takes the place of a lower one, never the other way round."""

    def __init__(self) -> None:
        """Nothing is known."""
        self._updates: dict[str, Update] = {}
        self._seen: dict[str, int] = {}

    def learn(self, update: Update) -> bool:
        """Take an update; whether it was newer than what was known."""
        known = self._updates.get(update.topic)
        if known is not None and known.sequence >= update.sequence:
            return False
        if known is None and len(self._updates) >= MOST_TOPICS:
            return False
        self._updates[update.topic] = update
        return True

    def next_sequence(self, topic: str) -> int:
        """A sequence above the newest known one."""
        known = self._updates.get(topic)
        return max(0 if known is None else known.sequence, self._seen.get(topic, 0)) + 1

    def observe(self, versions: Iterable[Version]) -> None:
        """Others know these: a process that began anew must not count below what they remember."""
        for version in versions:
            if version.topic in self._seen or len(self._seen) < MOST_TOPICS:
                self._seen[version.topic] = max(version.sequence, self._seen.get(version.topic, 0))

    def get(self, topic: str) -> Update | None:
        """The newest update of a topic."""
        return self._updates.get(topic)

    def versions(self) -> tuple[Version, ...]:
        """How new all topics are."""
        return tuple(Version(update.topic, update.sequence) for update in self._updates.values())

    def missed_by(self, known: Iterable[Version]) -> list[Update]:
        """The updates that one who knows these versions has missed."""
        sequences = {version.topic: version.sequence for version in known}
        return [u for u in self._updates.values() if sequences.get(u.topic, -1) < u.sequence]
