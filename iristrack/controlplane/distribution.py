"""Distributes topics to subscribers and to the other core members.

A subscriber that has the configuration before an amendment is sent only the amendment; any other is sent the whole
configuration.

Connections are reliable, so nothing is sent twice over the same one. A subscriber whose link is slower than the rate of
changes is sent the newest value of each topic once it has received everything sent before; values between are skipped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.relay import topics
from iristrack.relay.topics import TopicTable
from iristrack.wire.codec import encode
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import (
    ConfigurationAmendment,
    ConfigurationValue,
    Heartbeat,
    Subscribe,
    Update,
    Version,
)
from iristrack.wire.values import decode_value

# Topics whose changes are announced to subscribers that receive pushes from another member.
ANNOUNCED = frozenset({topics.CONFIGURATION, topics.VERSIONS, topics.MEMBERS, topics.ROLLOUTS})
MAX_AMENDMENTS = 64  # newest amendments kept for subscribers
MAX_QUEUED_BYTES = 32 * 1024  # queued bytes above which a subscriber's changes wait and are coalesced


@dataclass(slots=True)
class Subscriber:
    """State of one subscribed connection."""

    push: bool  # changes are sent as they occur; otherwise only on request
    member: bool  # a core member, to which the member that publishes a change sends it directly
    sent: dict[str, int] = field(default_factory=dict)  # newest sequence sent, by topic
    waiting: set[str] = field(default_factory=set)  # topics with a change that has not been sent


class Distribution:
    """The topics of this process and their subscribers."""

    def __init__(
        self,
        broadcast_to_core: Callable[[Update], None],
        announcement: Callable[[Update], Heartbeat],
    ) -> None:
        """`broadcast_to_core` sends to the other core members; `announcement` builds the announcement of an update."""
        self.topics = TopicTable()
        self.announcement = announcement
        self.subscribers: dict[PeerConnection, Subscriber] = {}
        self.broadcast_to_core = broadcast_to_core
        self.on_learned: list[Callable[[Update], None]] = []
        self._frames: dict[str, tuple[int, bytes]] = {}  # by topic: sequence and frame of the newest update
        self._amendments: dict[int, bytes] = {}  # frames by the sequence of the configuration that results

    def publish(self, update: Update) -> None:
        """Publish a value that this process committed or read, to the other members and all subscribers."""
        if self._learn(update):
            self.broadcast_to_core(update)

    def receive(self, update: Update) -> None:
        """Handle a value that another core member published: relay it to this process's subscribers."""
        self._learn(update)

    def _learn(self, update: Update) -> bool:
        if not self.topics.learn(update):
            return False
        if update.topic == topics.CONFIGURATION:
            self._keep_amendment(update)
        for connection, subscriber in list(self.subscribers.items()):
            if subscriber.push and (not subscriber.member or update.topic == topics.MEMBERS):
                # Member sets also go to core machines: the publisher does not know a newcomer as a member yet.
                self._offer(connection, subscriber, update)
        self._announce(update)
        for call in self.on_learned:
            call(update)
        return True

    def _keep_amendment(self, update: Update) -> None:
        value = decode_value(update.value, ConfigurationValue)
        if value is None or not value.amendment:
            return
        self._amendments[value.sequence] = encode(ConfigurationAmendment(value.sequence, value.amendment))
        while len(self._amendments) > MAX_AMENDMENTS:
            del self._amendments[min(self._amendments)]

    def _announce(self, update: Update) -> None:
        """Announce a newer version to subscribers that receive their pushes from another member.

        They ask here if that member does not push it in time (`relay/catch_up.py`).
        """
        if update.topic not in ANNOUNCED:
            return
        frame = encode(self.announcement(update))
        for connection, subscriber in list(self.subscribers.items()):
            if not subscriber.push:
                connection.send_frame(frame)

    def subscribe(self, connection: PeerConnection, message: Subscribe, member: bool = False) -> None:
        """Send a subscriber what it has missed and, if it wants pushes, every change from now on."""
        known = self.subscribers.get(connection)
        if known is None:
            known = self.subscribers[connection] = Subscriber(message.push, member)
            connection.on_drained = self._on_drained
        known.push = message.push
        for version in message.known:
            if version.topic == topics.CONFIGURATION:
                known.sent[version.topic] = max(version.sequence, known.sent.get(version.topic, -1))
        self.topics.observe(message.known)
        if message.catch_up:
            self._catch_up(connection, known, message.known)

    def on_heartbeat(self, connection: PeerConnection, message: Heartbeat) -> None:
        """Handle a subscriber's versions: send it what it has missed if it wants pushes."""
        self.topics.observe(message.known)
        subscriber = self.subscribers.get(connection)
        if subscriber is not None and subscriber.push:
            self._catch_up(connection, subscriber, message.known)

    def _catch_up(
        self, connection: PeerConnection, subscriber: Subscriber, known: tuple[Version, ...]
    ) -> None:
        for update in self.topics.missed_by(known):
            self._offer(connection, subscriber, update)

    def _offer(self, connection: PeerConnection, subscriber: Subscriber, update: Update) -> None:
        """Send an update, or mark it as waiting if many bytes are queued for this subscriber."""
        sent = subscriber.sent.get(update.topic, -1)
        if sent >= update.sequence:
            return
        if connection.queued > MAX_QUEUED_BYTES:
            subscriber.waiting.add(update.topic)
            return
        subscriber.sent[update.topic] = update.sequence
        subscriber.waiting.discard(update.topic)
        for frame in self._amendments_from(update, sent) or [self._frame(update)]:
            connection.send_frame(frame)

    def _amendments_from(self, update: Update, sent: int) -> list[bytes]:
        """Return the amendments that lead from what was sent to the update.

        Return an empty list if the whole value is needed, or is shorter.
        """
        if update.topic != topics.CONFIGURATION:
            return []
        sequences = range(sent + 1, update.sequence + 1)
        if len(sequences) > MAX_AMENDMENTS or any(s not in self._amendments for s in sequences):
            return []
        frames = [self._amendments[sequence] for sequence in sequences]
        return frames if sum(map(len, frames)) < len(self._frame(update)) else []

    def _frame(self, update: Update) -> bytes:
        known = self._frames.get(update.topic)
        if known is None or known[0] != update.sequence:
            known = self._frames[update.topic] = (update.sequence, encode(update))
        return known[1]

    def _on_drained(self, connection: PeerConnection) -> None:
        """Send the newest value of each waiting topic, now that the queue is empty."""
        subscriber = self.subscribers.get(connection)
        if subscriber is None:
            return
        for topic in sorted(subscriber.waiting):
            self._offer(connection, subscriber, self.topics.get(topic))

    def forget(self, connection: PeerConnection) -> None:
        """Drop the state of a connection that has ended."""
        self.subscribers.pop(connection, None)
