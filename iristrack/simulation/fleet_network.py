"""Connections between the processes of a simulated fleet: ordered, late, held up by cuts, ended by silence.

A connection behaves as TCP does for this project's hosts: what is sent arrives once and in order; a lost packet costs a
retransmission; a cut or a machine without power holds bytes up, and unacknowledged bytes end the connection after
`USER_TIMEOUT_NS`; a process that ended resets it.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any, Protocol

from iristrack import membership
from iristrack.membership.messages import Heartbeat, Suspicion, SuspicionAnswer
from iristrack.simulation.register_events import MILLISECOND, EventQueue
from iristrack.wire.codec import MessageKind, Registry
from iristrack.wire.codec import encode as wire_encode

CONNECT_NS = 1000 * MILLISECOND
USER_TIMEOUT_NS = 2500 * MILLISECOND
RETRANSMIT_NS = 200 * MILLISECOND
LINK_BYTES_PER_NS = 0.0125  # 100 Mbit/s of one machine

_KINDS = (MessageKind(8, Heartbeat, version=2), MessageKind(30, Suspicion), MessageKind(31, SuspicionAnswer))


@cache
def fleet_registry() -> Registry:
    """The message kinds that the wire does not know yet."""
    return Registry(_KINDS, Path(membership.__file__).parent / "schemas")


def encode(message: Any) -> bytes:
    """A message as a whole frame of the wire."""
    if isinstance(message, Heartbeat | Suspicion | SuspicionAnswer):
        return fleet_registry().encode(message)
    return wire_encode(message)


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """Delays one way (nanoseconds, drawn evenly) and the share of messages that lose a packet."""

    zone_ns: tuple[int, int] = (200_000, 1 * MILLISECOND)
    region_ns: tuple[int, int] = (1 * MILLISECOND, 4 * MILLISECOND)
    world_ns: tuple[int, int] = (15 * MILLISECOND, 40 * MILLISECOND)
    loss_share: float = 0.002
    weigh: bool = True  # count the encoded bytes


class Host(Protocol):
    """A process as the network sees it."""

    node: str
    zone: str
    region: str
    up: bool
    powered: bool  # a machine without power says nothing, one whose process ended resets

    def call(self, event: Callable[[], None]) -> None:
        """Let an event happen in this process, later if it is frozen, never if it has ended since."""

    def on_accepted(self, connection: Connection) -> None:
        """Another process has dialled this one."""

    def on_message(self, connection: Connection, message: Any) -> None:
        """A message has come."""

    def on_closed(self, connection: Connection) -> None:
        """A connection has ended."""


class Connection:
    """One end of a connection."""

    def __init__(self, network: FleetNetwork, host: Host, peer: str, dialled: bool) -> None:
        """`peer` is the address dialled, or the node of the one that dialled."""
        self.network = network
        self.host = host
        self.peer = peer
        self.dialled = dialled
        self.other: Connection | None = None
        self.closed = False
        self.heard_at = network.queue.now
        self.parked: list[tuple[int, Any]] = []  # when and what was sent into a cut
        self._arrival = 0

    def send(self, message: Any) -> None:
        """Send a message, to arrive after all before it."""
        if self.closed:
            return
        size = self.network.weigh(self.host, self.other.host, message)
        if self.parked or self.network.is_cut(self.host, self.other.host):
            self._park(message)
        else:
            self._transmit(message, self.network.draw_delay(self.host, self.other.host, size))

    def flush(self) -> None:
        """The cut has ended: what was held up is sent again."""
        parked, self.parked = self.parked, []
        pause = self.network.rng.randint(0, 2 * RETRANSMIT_NS)
        for _, message in parked:
            self._transmit(message, pause + self.network.draw_delay(self.host, self.other.host, 0))

    def close(self) -> None:
        """End it here; the other end learns of it unless a cut is in the way."""
        if self.closed:
            return
        self._end()
        host, other = self.host, self.other
        if not self.network.is_cut(host, other.host):
            delay = self.network.draw_delay(host, other.host, 0)
            self.network.queue.add(self.network.queue.now + delay, lambda: other.host.call(other.was_reset))

    def was_reset(self) -> None:
        """The other end is gone."""
        if not self.closed:
            self._end()

    def _end(self) -> None:
        self.closed = True
        self.parked.clear()
        self.network.connections.pop(self, None)
        if self.host.up:
            self.host.on_closed(self)

    def _park(self, message: Any) -> None:
        if not self.parked:
            self.network.queue.add(self.network.queue.now + USER_TIMEOUT_NS, self._check_user_timeout)
        self.parked.append((self.network.queue.now, message))

    def _check_user_timeout(self) -> None:
        if self.parked and not self.closed:
            overdue = self.parked[0][0] + USER_TIMEOUT_NS
            if overdue <= self.network.queue.now:
                self.host.call(self.was_reset)
            else:
                self.network.queue.add(overdue, self._check_user_timeout)

    def _transmit(self, message: Any, delay: int) -> None:
        self._arrival = max(self._arrival, self.network.queue.now + delay)
        other = self.other
        self.network.queue.add(self._arrival, lambda: self._arrive(other, message))

    def _arrive(self, other: Connection, message: Any) -> None:
        if not other.host.powered:
            if not self.closed:
                self._park(message)
        elif other.closed or not other.host.up:
            self.host.call(self.was_reset)
        else:
            other.host.call(lambda: other.receive(message))

    def receive(self, message: Any) -> None:
        """A message is read by the process."""
        if not self.closed:
            self.heard_at = self.network.queue.now
            self.host.on_message(self, message)


class FleetNetwork:
    """Delays, cuts and the bytes of all connections."""

    def __init__(self, queue: EventQueue, rng: random.Random, settings: NetworkSettings) -> None:
        """No host is attached yet."""
        self.queue = queue
        self.rng = rng
        self.settings = settings
        self.hosts: dict[str, Host] = {}  # by inner address
        self.connections: dict[Connection, None] = {}
        self.sent_bytes: Counter[str] = Counter()  # by node
        self.sent_messages: Counter[str] = Counter()
        self.far_bytes: Counter[str] = Counter()  # to other zones
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._line_free: defaultdict[str, int] = defaultdict(int)

    def weigh(self, sender: Host, receiver: Host, message: Any) -> int:
        """The bytes of a message that is sent now."""
        if not self.settings.weigh:
            return 0
        size = len(encode(message))
        self.sent_bytes[sender.node] += size
        self.sent_messages[sender.node] += 1
        if sender.zone != receiver.zone:
            self.far_bytes[sender.node] += size
        return size

    def is_cut(self, sender: Host, receiver: Host) -> bool:
        """Does nothing come through this way?"""
        unpowered = not sender.powered or not receiver.powered
        return unpowered or self._cuts[sender.node, receiver.node] > 0

    def cut(self, sender: str, receiver: str) -> None:
        """Let nothing through one way, silently."""
        self._cuts[sender, receiver] += 1

    def mend(self, sender: str, receiver: str) -> None:
        """Take back one cut."""
        self._cuts[sender, receiver] -= 1
        self.flush_mended()

    def flush_mended(self) -> None:
        """Send again what no cut holds up any more."""
        for connection in list(self.connections):
            if connection.parked and not self.is_cut(connection.host, connection.other.host):
                connection.flush()

    def draw_delay(self, sender: Host, receiver: Host, size: int) -> int:
        """The delay of one message, its time on the sender's line included."""
        if sender.zone == receiver.zone:
            low, high = self.settings.zone_ns
        elif sender.region == receiver.region:
            low, high = self.settings.region_ns
        else:
            low, high = self.settings.world_ns
        begin = max(self.queue.now, self._line_free[sender.node])
        self._line_free[sender.node] = begin + int(size / LINK_BYTES_PER_NS)
        delay = self._line_free[sender.node] - self.queue.now + self.rng.randint(low, high)
        if self.rng.random() < self.settings.loss_share:
            delay += RETRANSMIT_NS
        return delay

    def dial(self, host: Host, address: str, done: Callable[[Connection | None], None]) -> None:
        """Connect; `done` is told the connection, or None after a refusal or a vain wait."""
        target = self.hosts.get(address)
        now = self.queue.now
        if target is None or self.is_cut(host, target) or self.is_cut(target, host):
            self.queue.add(now + CONNECT_NS, lambda: host.call(lambda: done(None)))
            return
        way = self.draw_delay(host, target, 0)
        back = self.draw_delay(target, host, 0)
        self.queue.add(now + way, lambda: self._answer(host, target, address, back, done))

    def _answer(
        self, host: Host, target: Host, address: str, back: int, done: Callable[[Connection | None], None]
    ) -> None:
        if not target.up or not host.up:
            self.queue.add(self.queue.now + back, lambda: host.call(lambda: done(None)))
            return
        near = Connection(self, host, address, True)
        far = Connection(self, target, host.node, False)
        near.other, far.other = far, near
        self.connections[near] = self.connections[far] = None
        target.call(lambda: target.on_accepted(far))
        self.queue.add(self.queue.now + back, lambda: self._open(host, near, done))

    def _open(self, host: Host, near: Connection, done: Callable[[Connection | None], None]) -> None:
        if host.up:
            host.call(lambda: done(near))
        else:
            near.close()

    def send_once(self, sender: Host, address: str, message: Any) -> None:
        """Dial, send one message, and close; lost where that fails."""
        target = self.hosts.get(address)
        if target is None:
            return
        size = self.weigh(sender, target, message)
        if self.is_cut(sender, target) or self.is_cut(target, sender) or not target.up:
            return
        delay = sum(self.draw_delay(sender, target, size) for _ in range(3))
        single = Connection(self, target, sender.node, False)
        self.queue.add(
            self.queue.now + delay, lambda: target.call(lambda: target.on_message(single, message))
        )
