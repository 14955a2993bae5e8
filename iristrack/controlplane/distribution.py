"""Handing topics on: to subscribers, and to the other core members.

A subscriber that has the configuration before an amendment is sent the amendment alone, one that lacks it the whole.

A connection loses nothing while it lasts, so that nothing is sent twice over one. A subscriber whose link is slower
than the changes come is sent the newest value of each topic when it has taken what was sent before, and none between.
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

# Topics whose changes are announced to subscribers that another member pushes to.
ANNOUNCED = frozenset({topics.CONFIGURATION, topics.VERSIONS, topics.MEMBERS, topics.ROLLOUTS})
MOST_AMENDMENTS = 64  # the newest ones that are kept for subscribers
MOST_AHEAD = 32 * 1024  # bytes queued for a subscriber, above which changes wait for the newest


@dataclass(slots=True)
class Subscriber:
    """What one connection is told."""

    push: bool  # changes are told as they come, else only what is asked for
    member: bool  # a core member, which the first to know tells by itself
    sent: dict[str, int] = field(default_factory=dict)  # the newest sequence of each topic on this connection
    waiting: set[str] = field(default_factory=set)  # topics with a change that has not been sent


class Distribution:
    """The topics of this process and those who follow them."""

    def __init__(
        self,
        broadcast_to_core: Callable[[Update], None],
        announcement: Callable[[Update], Heartbeat],
    ) -> None:
        """`broadcast_to_core` sends to the other core members; `announcement` tells the version of an update."""
        self.topics = TopicTable()
        self.announcement = announcement
        self.subscribers: dict[PeerConnection, Subscriber] = {}
        self.broadcast_to_core = broadcast_to_core
        self.on_learned: list[Callable[[Update], None]] = []
        self._frames: dict[str, tuple[int, bytes]] = {}  # by topic: the sequence, and the update's frame
        self._amendments: dict[int, bytes] = {}  # frames, by the sequence of the configuration that results

    def publish(self, update: Update) -> None:
        """Take a value that this process has made or learned first, and tell everyone."""
        if self._learn(update):
            self.broadcast_to_core(update)

    def hear(self, update: Update) -> None:
        """Take a value that another core member told of, and tell this process's subscribers."""
        self._learn(update)

    def _learn(self, update: Update) -> bool:
        if not self.topics.learn(update):
            return False
        if update.topic == topics.CONFIGURATION:
            self._keep_amendment(update)
        for connection, subscriber in list(self.subscribers.items()):
            if subscriber.push and (not subscriber.member or update.topic == topics.MEMBERS):
                self._offer(
                    connection, subscriber, update
                )  # a newcomer is no member yet that the first to know tells
        self._announce(update)
        for call in self.on_learned:
            call(update)
        return True

    def _keep_amendment(self, update: Update) -> None:
        value = decode_value(update.value, ConfigurationValue)
        if value is None or not value.amendment:
            return
        self._amendments[value.sequence] = encode(ConfigurationAmendment(value.sequence, value.amendment))
        while len(self._amendments) > MOST_AMENDMENTS:
            del self._amendments[min(self._amendments)]

    def _announce(self, update: Update) -> None:
        """Tell subscribers whose pushes come from another member that there is a newer version.

        They ask here if that member does not push it in time (`relay/catch_up.py`).
        """
        if update.topic not in ANNOUNCED:
            return
        frame = encode(self.announcement(update))
        for connection, subscriber in list(self.subscribers.items()):
            if not subscriber.push:
                connection.send_frame(frame)

    def subscribe(self, connection: PeerConnection, message: Subscribe, member: bool = False) -> None:
        """Tell a subscriber what it has missed and, where it wants pushes, everything from now on."""
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
        """A subscriber tells how new its copies are: one that wants pushes is sent what it has missed."""
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
        """Send an update, or have it wait where much is under way to this subscriber."""
        sent = subscriber.sent.get(update.topic, -1)
        if sent >= update.sequence:
            return
        if connection.queued > MOST_AHEAD:
            subscriber.waiting.add(update.topic)
            return
        subscriber.sent[update.topic] = update.sequence
        subscriber.waiting.discard(update.topic)
        for frame in self._amendments_from(update, sent) or [self._frame(update)]:
            connection.send_frame(frame)

    def _amendments_from(self, update: Update, sent: int) -> list[bytes]:
        """The amendments that make the update of what was sent; empty where the whole is needed, or is shorter."""
        if update.topic != topics.CONFIGURATION:
            return []
        sequences = range(sent + 1, update.sequence + 1)
        if len(sequences) > MOST_AMENDMENTS or any(s not in self._amendments for s in sequences):
            return []
        frames = [self._amendments[sequence] for sequence in sequences]
        return frames if sum(map(len, frames)) < len(self._frame(update)) else []

    def _frame(self, update: Update) -> bytes:
        known = self._frames.get(update.topic)
        if known is None or known[0] != update.sequence:
            known = self._frames[update.topic] = (update.sequence, encode(update))
        return known[1]

    def _on_drained(self, connection: PeerConnection) -> None:
        """All that was sent has been taken: what came meanwhile follows, the newest of each topic."""
        subscriber = self.subscribers.get(connection)
        if subscriber is None:
            return
        for topic in sorted(subscriber.waiting):
            self._offer(connection, subscriber, self.topics.get(topic))

    def forget(self, connection: PeerConnection) -> None:
        """The connection has ended."""
        self.subscribers.pop(connection, None)
