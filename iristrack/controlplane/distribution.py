"""Handing topics on: to subscribers, and to the other core members."""

from __future__ import annotations

from collections.abc import Callable

from iristrack.relay.topics import TopicTable
from iristrack.wire.codec import encode
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import Heartbeat, Subscribe, Update, Version


class Distribution:
    """The topics of this process and those who follow them."""

    def __init__(self, broadcast_to_core: Callable[[Update], None]) -> None:
        """`broadcast_to_core` sends to the other core members."""
        self.topics = TopicTable()
        self.subscribers: dict[PeerConnection, bool] = {}  # whether changes are pushed
        self.broadcast_to_core = broadcast_to_core
        self.on_learned: list[Callable[[Update], None]] = []

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
        frame = encode(update)
        for subscriber, push in list(self.subscribers.items()):
            if push:
                subscriber.send_frame(frame)
        for call in self.on_learned:
            call(update)
        return True

    def subscribe(self, connection: PeerConnection, message: Subscribe) -> None:
        """Tell a new subscriber what it has missed, and everything from now on."""
        self.subscribers[connection] = message.push
        self.topics.saw(message.known)
        self._catch_up(connection, message.known)

    def on_heartbeat(self, connection: PeerConnection, message: Heartbeat) -> None:
        """A subscriber tells how new its copies are: what it has missed is sent again."""
        self.topics.saw(message.known)
        if connection in self.subscribers:
            self._catch_up(connection, message.known)

    def _catch_up(self, connection: PeerConnection, known: tuple[Version, ...]) -> None:
        for update in self.topics.missed_by(known):
            connection.send(update)

    def forget(self, connection: PeerConnection) -> None:
        """The connection has ended."""
        self.subscribers.pop(connection, None)
