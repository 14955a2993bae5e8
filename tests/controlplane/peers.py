"""Fake peer connections that record what is sent over them."""

from __future__ import annotations

from iristrack.wire.codec import FrameReader, encode
from iristrack.wire.messages import Heartbeat, Message, Update, Version


def announcement(update: Update) -> Heartbeat:
    return Heartbeat("n", "p", 1, (Version(update.topic, update.sequence),))


class Peer:
    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.closed = False
        self.queued = 0
        self.on_drained = None

    def send(self, message: Message) -> None:
        self.send_frame(encode(message))

    def send_frame(self, frame: bytes) -> None:
        self.sent.extend(FrameReader().feed(frame))

    def take(self) -> list[Message]:
        sent, self.sent = self.sent, []
        return sent
