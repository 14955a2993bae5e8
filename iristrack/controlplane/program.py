"""The control plane as a process: disk, peers, the operator's API, signals."""

from __future__ import annotations

import gc
import signal
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace

from iristrack.configuration.amendment import SERVICES, parse_amendment
from iristrack.configuration.building import parse_services
from iristrack.controlplane import changes
from iristrack.controlplane.distribution import Distribution
from iristrack.controlplane.environment import Environment, SystemEnvironment
from iristrack.controlplane.founding import Founding
from iristrack.controlplane.key_leases import KeyLeases
from iristrack.controlplane.list_poller import ListPoller
from iristrack.controlplane.load_hub import LoadHub
from iristrack.controlplane.member_changes import MemberChanges
from iristrack.controlplane.operator_api import MAX_BODY_BYTES, OperatorApi
from iristrack.controlplane.prefix_cache_watch import PrefixCacheWatch
from iristrack.controlplane.quorum_contact import RECENT_CONTACT_NS, QuorumContact
from iristrack.controlplane.register_host import RegisterHost
from iristrack.controlplane.rollouts import RolloutsDuty
from iristrack.controlplane.state_machine_runner import transfer_ns
from iristrack.controlplane.status import PeerBook, status_document
from iristrack.controlplane.weights import WeightsDuty
from iristrack.engines.named_weights import NamedWeights
from iristrack.register import Committed, RecoveryRetryPolicy
from iristrack.relay import topics
from iristrack.settings import Settings
from iristrack.wire.connection import PeerConnection
from iristrack.wire.dialing import DialerSet
from iristrack.wire.messages import (
    Accept,
    Accepted,
    ConfigurationValue,
    DutyValue,
    Heartbeat,
    Hello,
    KeptBatch,
    KeptSubscribe,
    KeyLeaseRequest,
    MembersValue,
    Message,
    NewestAnswer,
    NewestQuery,
    Prepare,
    Promise,
    RolloutEvidence,
    RolloutsValue,
    ServerLoads,
    Subscribe,
    Update,
    Version,
    VersionsValue,
)
from iristrack.wire.values import decode_value, encode_value

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
LEARN_TICK_NS = 250 * NS_PER_MS
FIRST_LEARN_TICK_NS = 20 * NS_PER_MS  # until a quorum is reached for the first time
LEARN_TURN_NS = 60 * NS_PER_MS  # by which the members begin to read one after the other
LEARN_NS = 800 * NS_PER_MS
STOP_NS = 300 * NS_PER_MS  # between the end of the handing over and the end, for what is under way
HAND_OVER_MARGIN_NS = 1500 * NS_PER_MS  # before the grace ends
DISK_STOP_S = 1.0
PROCESS_BITS = 48  # of the name that each start of the process draws
CORE_ROLE = "controlplane"
REPEAT_SHARE = 1.5  # of `ack_ms`, for which an order that is not a configuration may be a repeat
VALUE_TYPES = {
    topics.CONFIGURATION: ConfigurationValue,
    topics.VERSIONS: VersionsValue,
    topics.WEIGHTS_DUTY: DutyValue,
    topics.ROLLOUTS: RolloutsValue,
    topics.ROLLOUTS_DUTY: DutyValue,
    topics.MEMBERS: MembersValue,
    topics.MEMBER_SET: MembersValue,
}


@dataclass(frozen=True, slots=True)
class HoldingServices:
    """Who keeps parts of prompts, by one configuration: services whose servers do, and addresses of stores."""

    sequence: int  # of the configuration
    engines: frozenset[str]
    stores: frozenset[str]


class ControlPlane:
    """All parts of one control plane process."""

    def __init__(
        self,
        settings: Settings,
        log,
        reload_settings: Callable[[], Settings | None],
        environment: Environment | None = None,
    ) -> None:
        """Opens the disk; raises `store.acceptor_store.AcceptorStoreError` or `OSError` where it cannot be used."""
        self.environment = environment or SystemEnvironment(lambda text: log.exception(text))
        self.settings = settings
        self.log = log
        self.reload_settings = reload_settings
        self.scheduler = self.environment.scheduler
        self.process = f"{self.environment.rng.getrandbits(PROCESS_BITS):012x}"
        self.address = f"{settings.ip}:{settings.port_range.first}"
        opened = self.environment.open_acceptor_store(settings.data_dir, settings.node_name)
        for note in opened.notes:
            log.warning("disk", note=note)
        self.sync = self.environment.make_sync(opened, self._disk_failed)
        self.dialers = DialerSet(
            self.scheduler,
            self._hello,
            self._heartbeat,
            self._on_dialed,
            self._on_message,
            open_one=self.environment.open_connection,
        )
        self.register = RegisterHost(
            self.scheduler,
            self.address,
            opened,
            self.sync,
            self._send,
            topics.REGISTERS,
            log,
            self.environment.rng,
            self.dialers.moved_bytes,
            RecoveryRetryPolicy.for_catch_up(int(settings.rule_bounds.catch_up_s * NS_PER_S)),
        )
        self.quorum = QuorumContact(self.register, self.dialers)
        self.distribution = Distribution(self.dialers.broadcast, self._announcement)
        self.load_hub = LoadHub(self.scheduler, settings.node_name, self.dialers.broadcast)
        self.kept = PrefixCacheWatch(self.scheduler, self.address, self._holders, self._connected)
        self.key_leases = KeyLeases(self.register, self._send)
        self.named_weights = NamedWeights()
        self.heartbeats = 0
        self.peer_book = PeerBook()
        self._core: set[PeerConnection] = set()  # accepted connections whose other ends are core members
        self._holders_of = HoldingServices(-1, frozenset(), frozenset())
        self._learned: dict[str, tuple] = {}  # key: the accepted ballot that was last seen committed
        self.weights: WeightsDuty | None = None
        self._stopping = False

    # ---- life

    def start(self) -> None:
        """Listen and dial; raises `OSError` where an address cannot be had."""
        settings = self.settings
        inner = (settings.ip, settings.port_range.first)
        self.environment.listen_for_peers(
            inner,
            lambda connection: connection.send(self._hello()),
            self._on_message,
            self.distribution.forget,
        )
        self.api = OperatorApi(
            self.register,
            self.distribution.publish,
            lambda servers: status_document(self, servers),
            self.quorum.holds,
            self.log,
            int(REPEAT_SHARE * settings.rule_bounds.ack_ms),
            lambda: self.rollouts.age_ms(),
        )
        bind = settings.bind.control_plane
        self._stop_serving = self.environment.serve_operators(
            (bind.host, bind.port), self.api.answer, MAX_BODY_BYTES
        )
        self.sync.start()
        self.weights = WeightsDuty(
            self.scheduler,
            settings,
            self.process,
            self.register,
            self._named,
            self.distribution.publish,
            self.log,
        )
        self.rollouts = RolloutsDuty(
            self.scheduler,
            settings,
            self.process,
            self.register,
            self.load_hub.total,
            self.distribution.publish,
            self.log,
        )
        self.distribution.on_learned.append(self.weights.on_update)
        self.distribution.on_learned.append(self.rollouts.on_update)
        self.distribution.on_learned.append(self._on_learned)
        self.distribution.on_learned.append(self._note_named_weights)
        if self.register.founded:
            self._tell_members()
        elif self.register.voting or self._is_founder:
            seeds = self.register.members or tuple(sorted(self._seeds()))
            Founding(self.scheduler, self.register, seeds, self._reporting_core, self._tell_members)
        self._follow_members()
        self.member_changes = MemberChanges(
            self.scheduler,
            self.register,
            self._connected,
            self._reporting_core,
            self.quorum.holds,
            self._publish_members,
            self.log,
            settings.bootstrap,
            2 * settings.fault_tolerance.machine_losses + 1,
        )
        ListPoller(
            self.scheduler, settings.provider_api, self.distribution, self._is_first, self.quorum.holds
        )
        self.scheduler.spawn("learner", self._learn_loop)

    def run(self, signals: socket.socket) -> None:
        """Serve until SIGTERM or SIGINT."""
        self.scheduler.watch(signals.fileno(), lambda: self._on_signals(signals.recv(64)))
        gc.collect()
        gc.freeze()
        self.scheduler.run()
        self.sync.stop(DISK_STOP_S)

    def _on_signals(self, numbers: bytes) -> None:
        if signal.SIGHUP in numbers:
            fresh = self.reload_settings()
            if fresh is not None:
                self.settings = fresh
                self._follow_members()
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            self.stop()

    def stop(self) -> None:
        """Take no more calls, hand the place in the member set over, and end."""
        if not self._stopping:
            self._stopping = True
            self.log.info("stopping")
            self._stop_serving()
            grace_ns = int(self.settings.rule_bounds.grace_s * NS_PER_S)
            self.member_changes.hand_over(self.scheduler.now() + grace_ns - HAND_OVER_MARGIN_NS, self._end)

    def _end(self) -> None:
        """The place in the member set is handed over, or there is nobody to take it."""
        self.scheduler.call_at(self.scheduler.now() + STOP_NS, self.scheduler.stop)

    def _disk_failed(self, failure: Exception) -> None:
        self.log.error("disk failed", reason=str(failure))

    # ---- members

    def _seeds(self) -> set[str]:
        port = self.settings.port_range.first
        return {f"{seed.host}:{port}" for seed in self.settings.seed_nodes}

    def _follow_members(self) -> None:
        members = self.register.member_set
        wanted = {*members.members, members.leaving} - {""} or self._seeds()
        self.dialers.follow(wanted - {self.address})

    def _is_first(self) -> bool:
        """Is this the first of the members that it is connected with, and in a quorum with them?"""
        return self.quorum.holds() and min(self._connected(), default="") == self.address

    def _connected(self) -> list[str]:
        """The members that this process is connected with, itself among them where it is one."""
        others = [address for address, dialer in self.dialers.dialers.items() if dialer.connected]
        if self.register.members and not self.register.is_member:
            return others
        return [self.address, *others]

    def _holders(self) -> set[str]:
        """Addresses of all that keep parts of prompts: servers with an engine, and stores."""
        update = self.distribution.topics.get(topics.CONFIGURATION)
        if update is None:
            return set()
        if update.sequence != self._holders_of.sequence:
            self._holders_of = _holding_services(update, self._holders_of)
        engines, stores = self._holders_of.engines, self._holders_of.stores
        servers = self.weights.servers if self.weights is not None else []
        return stores | {server.address for server in servers if server.service in engines}

    @property
    def _is_founder(self) -> bool:
        return self.settings.bootstrap and self.address in self._seeds()

    def _reporting_core(self) -> dict[str, str]:
        """The names of the disks of all core machines that have said something lately, by their addresses."""
        least = self.scheduler.now() - RECENT_CONTACT_NS
        return {
            hello.address: hello.disk
            for connection, hello in self.peer_book.open()
            if hello.role == CORE_ROLE and connection.heard_at >= least
        }

    def _publish_members(self, members: MembersValue) -> None:
        self.distribution.publish(Update(topics.MEMBERS, members.sequence, encode_value(members)))

    def _tell_members(self) -> None:
        self._publish_members(self.register.member_set)
        self._follow_members()

    def _on_learned(self, update: Update) -> None:
        told = decode_value(update.value, MembersValue) if update.topic == topics.MEMBERS else None
        if told is None:
            return
        first_start = self.settings.bootstrap and not self._is_founder
        self.register.follow(told, first_start, self._tell_members)
        self._follow_members()

    # ---- peers

    def _hello(self) -> Hello:
        settings = self.settings
        return Hello(
            settings.node_name,
            CORE_ROLE,
            self.process,
            settings.zone,
            settings.region,
            self.address,
            self.register.incarnation,
            self.register.disk,
        )

    def _heartbeat(self) -> Heartbeat:
        self.heartbeats += 1
        return self._tell(self.distribution.topics.versions())

    def _announcement(self, update: Update) -> Heartbeat:
        """The version of one topic that has just changed."""
        return self._tell((Version(update.topic, update.sequence),))

    def _tell(self, known: tuple[Version, ...]) -> Heartbeat:
        return Heartbeat(
            self.settings.node_name,
            self.process,
            self.heartbeats,
            known,
            self.quorum.holds(),
            self.named_weights.ages(self.scheduler.now()),
        )

    def _send(self, member: str, message: Message) -> None:
        self.dialers.send(member, message)

    def _on_dialed(self, connection: PeerConnection) -> None:
        connection.send(Subscribe(self.distribution.topics.versions()))
        connection.send(KeptSubscribe(own_only=True))
        self.load_hub.member_joined()

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        if isinstance(message, Prepare | Accept | Promise | Accepted):
            self.register.handle(message, connection.send)
        elif isinstance(message, Update):
            self.distribution.hear(message)
        elif isinstance(message, Subscribe):
            self.distribution.subscribe(connection, message, member=connection in self._core)
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(connection, message)
        elif isinstance(message, ServerLoads):
            self._on_loads(connection, message)
        elif isinstance(message, RolloutEvidence):
            self.rollouts.take_evidence(message)
        elif isinstance(message, KeyLeaseRequest):
            self.key_leases.request(connection, message)
        elif isinstance(message, NewestQuery):
            answer = self.key_leases.answer(message)
            if answer is not None:
                connection.send(answer)
        elif isinstance(message, NewestAnswer):
            self.key_leases.heard(message)
        elif isinstance(message, KeptBatch):
            self.kept.from_member(message)
        elif isinstance(message, KeptSubscribe):
            self.kept.subscribe(connection, message)
        elif isinstance(message, Hello):
            self.peer_book.met(connection, message)
            if message.role == CORE_ROLE:
                self._on_core_hello(connection, message)

    def _on_core_hello(self, connection: PeerConnection, message: Hello) -> None:
        self._core = {c for c in self._core if not c.closed} | {connection}
        if message.incarnation:
            self.register.identity.incarnations[message.address] = message.incarnation

    def _on_loads(self, connection: PeerConnection, message: ServerLoads) -> None:
        if connection in self._core:
            self.load_hub.from_member(message)
        else:
            self.load_hub.from_sidecar(connection, message)

    def _on_heartbeat(self, connection: PeerConnection, message: Heartbeat) -> None:
        self.named_weights.learn_ages(message.named, self.scheduler.now())
        if connection in self.distribution.subscribers:
            self.distribution.on_heartbeat(connection, message)
            connection.send(self._heartbeat())

    # ---- weights that were named

    def _note_named_weights(self, update: Update) -> None:
        told = decode_value(update.value, VersionsValue) if update.topic == topics.VERSIONS else None
        for version in told.versions if told is not None else ():
            self.named_weights.learn(version.model, version.revision, self.scheduler.now())

    def _named(self) -> dict[str, int]:
        update = self.distribution.topics.get(topics.VERSIONS)
        told = decode_value(update.value, VersionsValue) if update is not None else None
        return {} if told is None else {v.model: v.revision for v in told.versions}

    # ---- what was committed without this process being told

    def _learn_loop(self) -> None:
        """Read each register whose accepted value here is not the one that was last told as committed.

        At the start the first of the connected members reads at once, so that sidecars soon hear of what stands; the
        others begin a little later each, and read only what they were not told of by then.
        """
        while not self.quorum.holds():
            self.scheduler.sleep(FIRST_LEARN_TICK_NS)
        earlier = sum(address < self.address for address in self._connected())
        self.scheduler.sleep(earlier * LEARN_TURN_NS)
        while True:
            for key in topics.REGISTERS:
                if key != topics.MEMBERS and self._is_unlearned(key):
                    self._learn(key)
            self.scheduler.sleep(LEARN_TICK_NS)

    def _is_unlearned(self, key: str) -> bool:
        if not self.register.voting:
            return False
        cell = self.register.acceptor.state(key)
        if not cell.value:
            return key not in self._learned
        update = self.distribution.topics.get(topics.topic_of(key))
        value = decode_value(cell.value, VALUE_TYPES[key])
        return value is not None and (update is None or update.sequence < value.sequence)

    def _learn(self, key: str) -> None:
        deadline = self.scheduler.now() + LEARN_NS + transfer_ns(self.register.value_size(key))
        result = self.register.change(key, changes.unchanged, deadline)
        if not isinstance(result, Committed):
            return
        self._learned[key] = (result.ballot,)
        value = decode_value(result.value, VALUE_TYPES[key])
        if value is not None:
            is_configuration = key == topics.CONFIGURATION
            told = changes.relayed_configuration(value) if is_configuration else result.value
            self.distribution.publish(Update(topics.topic_of(key), value.sequence, told))


def _holding_services(update: Update, known: HoldingServices) -> HoldingServices:
    """Read what a configuration says of them, unless it differs from the known one in other things alone."""
    told = decode_value(update.value, ConfigurationValue)
    if told is None or not told.body:
        return HoldingServices(update.sequence, frozenset(), frozenset())
    follows = told.amendment and told.sequence == known.sequence + 1
    if follows and not parse_amendment(told.amendment).touches(SERVICES):
        return replace(known, sequence=update.sequence)
    services = parse_services(told.body)
    engines = frozenset(service.label for service in services if service.engine is not None)
    stores = frozenset(service.store.address for service in services if service.store is not None)
    return HoldingServices(update.sequence, engines, stores)
