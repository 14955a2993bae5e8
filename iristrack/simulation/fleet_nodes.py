"""Hollow processes of a simulated fleet: the real deciders of membership and relays, and hosts of a few lines each."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from iristrack.membership import effects as watching
from iristrack.membership.messages import NEVER_CONFIRMED, Heartbeat, Suspicion, SuspicionAnswer
from iristrack.membership.ring import HashRing
from iristrack.membership.view import MembershipView
from iristrack.membership.watcher import Watcher
from iristrack.relay.freshness import (
    CoreContact,
    DialDirect,
    EndDirect,
    Freshness,
    PassOn,
    SentHeartbeats,
    covers,
)
from iristrack.relay.topics import TopicTable
from iristrack.relay.tree import DATA_PLANE, Upstreams, upstreams
from iristrack.simulation.fleet_network import Connection, FleetNetwork
from iristrack.simulation.register_events import MILLISECOND, EventQueue
from iristrack.wire.messages import Member, Subscribe, Update, View

TICK_NS = 100 * MILLISECOND
HEARTBEAT_NS = 500 * MILLISECOND
PASS_ON_AT_LEAST_NS = 600 * MILLISECOND
SILENT_NS = 1600 * MILLISECOND
SPREAD_NS = 50 * MILLISECOND  # changes of the view are gathered for so long
REDIAL_NS = 200 * MILLISECOND
MISMATCHES = 3  # heartbeats in a row with another digest, before the whole view is sent
CORE = "controlplane"

Make = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class Deciders:
    """The deciders that are simulated; planted faults take the place of the real ones."""

    watcher: Make = Watcher
    freshness: Make = Freshness
    choose_upstreams: Callable[[Member, Iterable[Member], tuple[str, ...]], Upstreams] = upstreams


@dataclass(slots=True)
class Surroundings:
    """What all processes of one run share."""

    queue: EventQueue
    network: FleetNetwork
    rng: random.Random
    core: tuple[str, ...]  # inner addresses
    deciders: Deciders
    learned: Callable[[Process, Update], None]
    rings: dict[int, HashRing] = field(default_factory=dict)  # by digest; computed once for all

    def ring(self, view: MembershipView) -> HashRing:
        """The ring of a view."""
        ring = self.rings.get(view.digest)
        if ring is None:
            if len(self.rings) > 256:
                self.rings.clear()
            ring = self.rings[view.digest] = HashRing(view.alive())
        return ring


class _PeerState:
    """What a process keeps for each connection."""

    def __init__(self, sequence: int) -> None:
        self.count = 0
        self.sent = SentHeartbeats()
        self.echo = 0
        self.echo_at = 0
        self.sequence = sequence  # of the view, up to which changes were told
        self.mismatches = 0
        self.subscribed = False  # the peer takes topics from here
        self.push = False
        self.follows: bool | None = None  # topics are taken from the peer, with pushes or without
        self.node = ""


class Process:
    """One incarnation after the other of a process on one machine."""

    role = ""

    def __init__(self, around: Surroundings, node: str, zone: str, region: str) -> None:
        """It is not started yet."""
        self.around = around
        self.node, self.zone, self.region = node, zone, region
        self.address = f"{node}:7640"
        self.up = False
        self.powered = True
        self.starts = 0
        self.frozen = False
        self._held: list[Callable[[], None]] = []
        around.network.hosts[self.address] = self

    # ---- life

    @property
    def now(self) -> int:
        """Virtual time in nanoseconds."""
        return self.around.queue.now

    def start(self) -> None:
        """Start with nothing but the addresses of the core."""
        self.starts += 1
        self.up = self.powered = True
        self.frozen = False
        process = f"{self.starts}"
        self.view = MembershipView(
            Member(self.node, self.role, process, self.zone, self.region, self.address, True, 0)
        )
        self.watcher = self.around.deciders.watcher(self.node, self.now)
        self.topics = TopicTable()
        self.peers: dict[Connection, _PeerState] = {}
        self.dialled: dict[str, Connection | None] = {}  # None while it is being dialled
        self._spreading = False
        self._on_start()
        self._on_view()
        self._repeat(TICK_NS, self._on_tick, self.starts)

    def stop(self, power: bool) -> None:
        """End at once, with the machine's power if `power`."""
        self.up = False
        self.powered = not power
        self.frozen = False
        self._held.clear()
        for connection in list(self.peers):
            connection.close() if not power else connection.was_reset()

    def freeze(self) -> None:
        """Let nothing happen in this process."""
        self.frozen = True

    def thaw(self) -> None:
        """Go on: what was held up happens now, timers or messages first."""
        self.frozen = False
        held, self._held = self._held, []
        if self.around.rng.random() < 0.5:
            self._on_tick()
        for event in held:
            event()

    def call(self, event: Callable[[], None]) -> None:
        """Let an event happen, later if frozen; never if the process has ended."""
        if not self.up:
            return
        if self.frozen:
            starts = self.starts
            self._held.append(lambda: event() if self.up and self.starts == starts else None)
        else:
            event()

    def _repeat(self, interval: int, event: Callable[[], None], starts: int) -> None:
        def fire() -> None:
            if self.starts == starts and self.up:
                event()
                self._repeat(interval, event, starts)

        self.around.queue.add(self.now + interval, lambda: self.call(fire))

    # ---- connections

    def on_accepted(self, connection: Connection) -> None:
        """Another process has dialled this one."""
        self._opened(connection)

    def on_closed(self, connection: Connection) -> None:
        """A connection has ended."""
        self.peers.pop(connection, None)
        if connection.dialled and self.dialled.get(connection.peer) is connection:
            self.dialled[connection.peer] = None
            self._dial_later(connection.peer)

    def _opened(self, connection: Connection) -> None:
        self.peers[connection] = _PeerState(self.view.sequence)
        self._beat(connection, (self.view.me,))

    def wanted(self) -> set[str]:
        """The addresses that this process dials."""
        members = self.around.ring(self.view).members
        return {members[node].address for node in self.watcher.watchers if node in members}

    def _follow(self) -> None:
        wanted = self.wanted() - {self.address}
        for address in [a for a in self.dialled if a not in wanted]:
            connection = self.dialled.pop(address)
            if connection is not None:
                connection.close()
        for address in sorted(wanted - set(self.dialled)):
            self.dialled[address] = None
            self._dial(address)

    def _dial(self, address: str) -> None:
        starts = self.starts
        self.around.network.dial(self, address, lambda c: self._dialed(address, c, starts))

    def _dial_later(self, address: str) -> None:
        starts = self.starts

        def again() -> None:
            if self.starts == starts and address in self.dialled and self.dialled[address] is None:
                self._dial(address)

        self.around.queue.add(self.now + REDIAL_NS, lambda: self.call(again))

    def _dialed(self, address: str, connection: Connection | None, starts: int) -> None:
        if starts != self.starts or address not in self.dialled or self.dialled[address] is not None:
            if connection is not None:
                connection.close()
        elif connection is None:
            self._dial_later(address)
        else:
            self.dialled[address] = connection
            self._opened(connection)
            self._on_dialled(connection)

    def _on_dialled(self, connection: Connection) -> None:
        """A connection that this process wanted stands."""

    # ---- heartbeats

    def confirmed_ns_ago(self) -> int | None:
        """How old this process's topics may be."""
        raise NotImplementedError

    def _known_for(self, peer: _PeerState) -> tuple:
        return self.topics.versions() if peer.subscribed or peer.follows is not None else ()

    def _beat(self, connection: Connection, changes: tuple[Member, ...] | None = None) -> None:
        peer = self.peers.get(connection)
        if peer is None:
            return
        if changes is None:
            changes = self.view.changes_since(peer.sequence, peer.node)
            peer.sequence = self.view.sequence
        peer.count += 1
        peer.sent.sent(peer.count, self.now)
        ago = self.confirmed_ns_ago() if peer.subscribed else None
        connection.send(
            Heartbeat(
                self.node,
                self.view.me.process,
                peer.count,
                self._known_for(peer),
                self.view.me.count,
                NEVER_CONFIRMED if ago is None else -(-ago // MILLISECOND),
                peer.echo,
                (self.now - peer.echo_at) // MILLISECOND,
                self.view.digest,
                changes,
            )
        )

    def _beat_subscribers(self) -> None:
        for connection, peer in list(self.peers.items()):
            if peer.subscribed:
                self._beat(connection)

    # ---- messages

    def on_message(self, connection: Connection, message: Any) -> None:
        """Handle one message."""
        self.watcher.on_contact(self.now)
        if isinstance(message, Heartbeat):
            self._on_heartbeat(connection, message)
        elif isinstance(message, Update):
            self._on_update(message)
        elif isinstance(message, Subscribe):
            self._on_subscribe(connection, message)
        elif isinstance(message, View):
            self._merge(message.members, connection.peer)
        elif isinstance(message, Suspicion):
            self._perform_watching(self.watcher.on_suspicion(message, self.now))
        elif isinstance(message, SuspicionAnswer):
            self._perform_watching(self.watcher.on_answer(message, self.now))

    def _on_heartbeat(self, connection: Connection, message: Heartbeat) -> None:
        peer = self.peers.get(connection)
        if peer is None:
            return
        peer.node = message.node
        peer.echo, peer.echo_at = message.count, self.now
        self._merge(message.changes, message.node)
        self._compare(connection, peer, message)
        self._perform_watching(
            self.watcher.on_heartbeat(message.node, message.incarnation, self.now), connection
        )
        if peer.subscribed:
            for update in self.topics.missed_by(message.known):
                connection.send(update)
        self._on_upstream(connection, peer, message)

    def _compare(self, connection: Connection, peer: _PeerState, message: Heartbeat) -> None:
        """Send the whole view to a peer whose own differs for long."""
        if message.view_digest == self.view.digest:
            peer.mismatches = 0
            return
        peer.mismatches += 1
        if peer.mismatches >= MISMATCHES or (self.role == CORE and peer.count == 1 and peer.echo == 1):
            peer.mismatches = -MISMATCHES
            connection.send(self.view.snapshot())

    def _on_upstream(self, connection: Connection, peer: _PeerState, message: Heartbeat) -> None:
        """A heartbeat came that may confirm this process's topics."""

    def _on_subscribe(self, connection: Connection, message: Subscribe) -> None:
        peer = self.peers.get(connection)
        if peer is None:
            return
        first = not peer.subscribed
        peer.subscribed, peer.push = True, message.push
        for update in self.topics.missed_by(message.known):
            connection.send(update)
        if first:
            self._beat(connection)

    def _on_update(self, update: Update) -> None:
        if not self.topics.learn(update):
            return
        self.around.learned(self, update)
        for connection, peer in list(self.peers.items()):
            if peer.subscribed and peer.push:
                connection.send(update)

    # ---- view

    def _merge(self, members: Iterable[Member], source: str) -> None:
        if self.view.merge(members, self.now, source):
            self._changed()

    def _changed(self) -> None:
        if not self._spreading:
            self._spreading = True
            starts = self.starts
            self.around.queue.add(
                self.now + SPREAD_NS,
                lambda: self.call(lambda: self._spread() if starts == self.starts else None),
            )

    def _spread(self) -> None:
        """Tell all peers what has changed, and look again at ring and tree."""
        self._spreading = False
        for connection, peer in list(self.peers.items()):
            if self.view.changes_since(peer.sequence, peer.node):
                self._beat(connection)
        self._on_view()

    def _on_view(self) -> None:
        effects = self.watcher.on_ring(self.around.ring(self.view), self.now)
        self._follow()
        self._perform_watching(effects)

    # ---- ticks and effects

    def _on_start(self) -> None:
        """Make what only this kind of process has."""

    def _on_tick(self) -> None:
        if self.view.refute(self.now):
            self._changed()
        if self.view.forget(self.now):
            self._changed()
        self._perform_watching(self.watcher.on_tick(self.now))

    def _perform_watching(self, effects: Iterable[Any], connection: Connection | None = None) -> None:
        for effect in effects:
            if isinstance(effect, watching.TellRecords):
                record = self.view.get(effect.to)
                if record is not None and connection is not None:
                    self._beat(connection, (record,))
            elif isinstance(effect, watching.SendHeartbeat):
                self._beat_watcher(effect.to)
            elif isinstance(effect, watching.SendTo):
                member = self.view.get(effect.to)
                if member is not None:
                    self._send_to(member, effect.message)
            elif isinstance(effect, watching.MemberLost) and self.view.declare_dead(
                effect.node, effect.incarnation, self.now
            ):
                self._changed()

    def _send_to(self, member: Member, message: Any) -> None:
        standing = next((c for c, peer in self.peers.items() if peer.node == member.node), None)
        if standing is not None:
            standing.send(message)
        else:
            self.around.network.send_once(self, member.address, message)

    def _beat_watcher(self, node: str) -> None:
        member = self.view.get(node)
        connection = None if member is None else self.dialled.get(member.address)
        if connection is not None and not self._is_beaten_anyway(member.address):
            self._beat(connection)

    def _is_beaten_anyway(self, address: str) -> bool:
        """Do heartbeats for topics go that way?"""
        return False


class Sidecar(Process):
    """A data plane: it follows the tree and passes on."""

    role = DATA_PLANE

    def _on_start(self) -> None:
        self.freshness = self.around.deciders.freshness(self.around.rng)
        self.upstreams = Upstreams(0, None)
        self.next_beat = self.now + self.around.rng.randrange(HEARTBEAT_NS)
        self.passed_on_at = self.now

    def confirmed_ns_ago(self) -> int | None:
        """By the freshest of its upstreams."""
        return self.freshness.confirmed_ns_ago(self.now)

    def sources(self) -> set[str]:
        """The addresses that topics come from."""
        found = {self.upstreams.push_from, *self.upstreams.repair_from, self.freshness.direct}
        return {address for address in found if address is not None}

    def wanted(self) -> set[str]:
        """Upstreams and watchers."""
        return super().wanted() | self.sources()

    def _on_view(self) -> None:
        self.upstreams = self.around.deciders.choose_upstreams(
            self.view.me, self.view.alive(), self.around.core
        )
        effects = self.freshness.follow(self.upstreams, self.now)
        super()._on_view()
        self._perform_relaying(effects)

    def _on_dialled(self, connection: Connection) -> None:
        self._subscribe_where_due()

    def _subscribe_where_due(self) -> None:
        """Also at those that were connected before, as watchers; pushes come from one, and the one dialled directly."""
        sources = self.sources()
        for address, connection in self.dialled.items():
            peer = None if connection is None else self.peers.get(connection)
            if peer is None or (address not in sources and peer.follows is None):
                continue
            push = address in sources and address in (self.freshness.push, self.freshness.direct)
            if peer.follows != push:
                peer.follows = push
                connection.send(Subscribe(self.topics.versions(), push))

    def _on_upstream(self, connection: Connection, peer: _PeerState, message: Heartbeat) -> None:
        if not connection.dialled or connection.peer not in self.sources():
            return
        confirmed_at = peer.sent.confirmed_at(
            message.echo, message.held_ms * MILLISECOND, message.confirmed_ms_ago * MILLISECOND
        )
        covered = covers(self.topics.versions(), message.known)
        self._perform_relaying(self.freshness.heard(connection.peer, confirmed_at, covered, self.now))

    def _on_tick(self) -> None:
        self._perform_relaying(self.freshness.on_tick(self.now))
        super()._on_tick()
        if self.now >= self.next_beat:
            self.next_beat = self.now + HEARTBEAT_NS
            for address in sorted(self.sources()):
                connection = self.dialled.get(address)
                if connection is not None:
                    self._keep(connection)
        if self.now - self.passed_on_at >= PASS_ON_AT_LEAST_NS:
            self._pass_on()

    def _keep(self, connection: Connection) -> None:
        if self.now - connection.heard_at > SILENT_NS:
            connection.close()
        else:
            self._beat(connection)

    def _is_beaten_anyway(self, address: str) -> bool:
        return address in self.sources()

    def _pass_on(self) -> None:
        self.passed_on_at = self.now
        self._beat_subscribers()

    def _perform_relaying(self, effects: Iterable[Any]) -> None:
        for effect in effects:
            if isinstance(effect, PassOn):
                self._pass_on()
            elif isinstance(effect, DialDirect | EndDirect):
                self._follow()
        self._subscribe_where_due()


class CoreMember(Process):
    """A root of the tree."""

    role = CORE

    def _on_start(self) -> None:
        self.contact = CoreContact(self.address)
        self.next_beat = self.now

    def confirmed_ns_ago(self) -> int | None:
        """By a majority of the core."""
        return self.contact.confirmed_ns_ago(self.around.core, self.now)

    def wanted(self) -> set[str]:
        """The other core members, and watchers."""
        return super().wanted() | set(self.around.core)

    def publish(self, update: Update) -> None:
        """Take a value first, and tell everyone."""
        self._on_update(update)

    def _on_dialled(self, connection: Connection) -> None:
        if connection.peer in self.around.core:
            self.peers[connection].follows = True
            connection.send(Subscribe(self.topics.versions(), True))

    def _on_upstream(self, connection: Connection, peer: _PeerState, message: Heartbeat) -> None:
        if not connection.dialled or connection.peer not in self.around.core:
            return
        confirmed_at = peer.sent.confirmed_at(message.echo, message.held_ms * MILLISECOND, 0)
        if confirmed_at is not None and covers(self.topics.versions(), message.known):
            self.contact.heard(connection.peer, confirmed_at)

    def _is_beaten_anyway(self, address: str) -> bool:
        return address in self.around.core

    def _on_tick(self) -> None:
        super()._on_tick()
        if self.now < self.next_beat:
            return
        self.next_beat = self.now + HEARTBEAT_NS
        for address in self.around.core:
            connection = self.dialled.get(address)
            if connection is None:
                continue
            if self.now - connection.heard_at > SILENT_NS:
                connection.close()
            else:
                self._beat(connection)
        self._beat_subscribers()
