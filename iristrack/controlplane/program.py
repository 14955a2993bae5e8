"""The control plane process: disk, peers, the operators' API and signals."""

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
from iristrack.controlplane.status import PeerDirectory, status_document
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
LEARN_INTERVAL_NS = 250 * NS_PER_MS
QUORUM_CHECK_INTERVAL_NS = 20 * NS_PER_MS  # until a quorum is reached for the first time
LEARN_STAGGER_NS = 60 * NS_PER_MS  # delay between the first reads of one member and the next
LEARN_TIMEOUT_NS = 800 * NS_PER_MS
STOP_DELAY_NS = 300 * NS_PER_MS  # after the handover, for calls in flight
HANDOVER_MARGIN_NS = 1500 * NS_PER_MS  # the handover ends this long before the grace period
DISK_STOP_TIMEOUT_S = 1.0
PROCESS_BITS = 48  # random bits in the process name, which is drawn at each start
CORE_ROLE = "controlplane"
# The same roll-out order counts as a repeat for this multiple of `ack_ms`; configurations have a history instead.
REPEAT_WINDOW_RATIO = 1.5
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
class PrefixHolders:
    """The holders of prompt prefixes in one configuration: services whose servers cache them, and store addresses."""

    sequence: int  # sequence of the configuration
    engines: frozenset[str]
    stores: frozenset[str]


class ControlPlane:
    """Owns and connects all parts of one control plane process."""

    def __init__(
        self,
        settings: Settings,
        log,
        reload_settings: Callable[[], Settings | None],
        environment: Environment | None = None,
    ) -> None:
        """Open the disk; raises `store.acceptor_store.AcceptorStoreError` or `OSError` if it cannot be used."""
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
        self.sync = self.environment.make_sync(opened, self._on_disk_failure)
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
        self.prefix_cache = PrefixCacheWatch(self.scheduler, self.address, self._holders, self._connected)
        self.key_leases = KeyLeases(self.register, self._send)
        self.named_weights = NamedWeights()
        self.heartbeats = 0
        self.peer_directory = PeerDirectory()
        self._core_connections: set[PeerConnection] = set()  # accepted connections from core members
        self._prefix_holders = PrefixHolders(-1, frozenset(), frozenset())
        self._learned: dict[str, tuple] = {}  # by key: the accepted ballot last seen committed
        self.weights: WeightsDuty | None = None
        self._stopping = False

    # ---- start and stop

    def start(self) -> None:
        """Listen and dial; raises `OSError` if an address is not available."""
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
            self.quorum.has_quorum,
            self.log,
            int(REPEAT_WINDOW_RATIO * settings.rule_bounds.ack_ms),
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
        self.distribution.on_learned.append(self._record_named_weights)
        if self.register.founded:
            self._on_member_set_changed()
        elif self.register.voting or self._is_founder:
            seeds = self.register.members or tuple(sorted(self._seeds()))
            Founding(self.scheduler, self.register, seeds, self._reporting_core, self._on_member_set_changed)
        self._dial_members()
        self.member_changes = MemberChanges(
            self.scheduler,
            self.register,
            self._connected,
            self._reporting_core,
            self.quorum.has_quorum,
            self._publish_members,
            self.log,
            settings.bootstrap,
            2 * settings.fault_tolerance.machine_losses + 1,
        )
        ListPoller(
            self.scheduler, settings.provider_api, self.distribution, self._is_first, self.quorum.has_quorum
        )
        self.scheduler.spawn("learner", self._learn_loop)

    def run(self, signals: socket.socket) -> None:
        """Serve until SIGTERM or SIGINT."""
        self.scheduler.watch(signals.fileno(), lambda: self._on_signals(signals.recv(64)))
        gc.collect()
        gc.freeze()
        self.scheduler.run()
        self.sync.stop(DISK_STOP_TIMEOUT_S)

    def _on_signals(self, numbers: bytes) -> None:
        if signal.SIGHUP in numbers:
            reloaded = self.reload_settings()
            if reloaded is not None:
                self.settings = reloaded
                self._dial_members()
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            self.stop()

    def stop(self) -> None:
        """Accept no more calls, hand over the place in the member set, and end the process."""
        if not self._stopping:
            self._stopping = True
            self.log.info("stopping")
            self._stop_serving()
            grace_ns = int(self.settings.rule_bounds.grace_s * NS_PER_S)
            self.member_changes.hand_over(self.scheduler.now() + grace_ns - HANDOVER_MARGIN_NS, self._end)

    def _end(self) -> None:
        """End the process, after the place was handed over or no machine could take it."""
        self.scheduler.call_at(self.scheduler.now() + STOP_DELAY_NS, self.scheduler.stop)

    def _on_disk_failure(self, failure: Exception) -> None:
        self.log.error("disk failed", reason=str(failure))

    # ---- members

    def _seeds(self) -> set[str]:
        port = self.settings.port_range.first
        return {f"{seed.host}:{port}" for seed in self.settings.seed_nodes}

    def _dial_members(self) -> None:
        members = self.register.member_set
        wanted = {*members.members, members.leaving} - {""} or self._seeds()
        self.dialers.follow(wanted - {self.address})

    def _is_first(self) -> bool:
        """Tell whether this process is in a quorum and is the first of its connected members."""
        return self.quorum.has_quorum() and min(self._connected(), default="") == self.address

    def _connected(self) -> list[str]:
        """Return the connected members, including this process if it is a member."""
        others = [address for address, dialer in self.dialers.dialers.items() if dialer.connected]
        if self.register.members and not self.register.is_member:
            return others
        return [self.address, *others]

    def _holders(self) -> set[str]:
        """Return the addresses of all holders of prompt prefixes: servers with an engine, and stores."""
        update = self.distribution.topics.get(topics.CONFIGURATION)
        if update is None:
            return set()
        if update.sequence != self._prefix_holders.sequence:
            self._prefix_holders = _read_prefix_holders(update, self._prefix_holders)
        engines, stores = self._prefix_holders.engines, self._prefix_holders.stores
        servers = self.weights.servers if self.weights is not None else []
        return stores | {server.address for server in servers if server.service in engines}

    @property
    def _is_founder(self) -> bool:
        return self.settings.bootstrap and self.address in self._seeds()

    def _reporting_core(self) -> dict[str, str]:
        """Return the disk names of all core machines that were heard from recently, by address."""
        oldest = self.scheduler.now() - RECENT_CONTACT_NS
        return {
            hello.address: hello.disk
            for connection, hello in self.peer_directory.connected()
            if hello.role == CORE_ROLE and connection.heard_at >= oldest
        }

    def _publish_members(self, members: MembersValue) -> None:
        self.distribution.publish(Update(topics.MEMBERS, members.sequence, encode_value(members)))

    def _on_member_set_changed(self) -> None:
        self._publish_members(self.register.member_set)
        self._dial_members()

    def _on_learned(self, update: Update) -> None:
        decoded = decode_value(update.value, MembersValue) if update.topic == topics.MEMBERS else None
        if decoded is None:
            return
        first_start = self.settings.bootstrap and not self._is_founder
        self.register.follow(decoded, first_start, self._on_member_set_changed)
        self._dial_members()

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
        return self._make_heartbeat(self.distribution.topics.versions())

    def _announcement(self, update: Update) -> Heartbeat:
        """Return a heartbeat with only the version of the topic that has changed."""
        return self._make_heartbeat((Version(update.topic, update.sequence),))

    def _make_heartbeat(self, known: tuple[Version, ...]) -> Heartbeat:
        return Heartbeat(
            self.settings.node_name,
            self.process,
            self.heartbeats,
            known,
            self.quorum.has_quorum(),
            self.named_weights.ages(self.scheduler.now()),
        )

    def _send(self, member: str, message: Message) -> None:
        self.dialers.send(member, message)

    def _on_dialed(self, connection: PeerConnection) -> None:
        connection.send(Subscribe(self.distribution.topics.versions()))
        connection.send(KeptSubscribe(own_only=True))
        self.load_hub.on_member_dialed()

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        if isinstance(message, Prepare | Accept | Promise | Accepted):
            self.register.handle(message, connection.send)
        elif isinstance(message, Update):
            self.distribution.receive(message)
        elif isinstance(message, Subscribe):
            self.distribution.subscribe(connection, message, member=connection in self._core_connections)
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(connection, message)
        elif isinstance(message, ServerLoads):
            self._on_loads(connection, message)
        elif isinstance(message, RolloutEvidence):
            self.rollouts.on_evidence(message)
        elif isinstance(message, KeyLeaseRequest):
            self.key_leases.request(connection, message)
        elif isinstance(message, NewestQuery):
            answer = self.key_leases.answer(message)
            if answer is not None:
                connection.send(answer)
        elif isinstance(message, NewestAnswer):
            self.key_leases.handle_answer(message)
        elif isinstance(message, KeptBatch):
            self.prefix_cache.on_member_batch(message)
        elif isinstance(message, KeptSubscribe):
            self.prefix_cache.subscribe(connection, message)
        elif isinstance(message, Hello):
            self.peer_directory.record_hello(connection, message)
            if message.role == CORE_ROLE:
                self._on_core_hello(connection, message)

    def _on_core_hello(self, connection: PeerConnection, message: Hello) -> None:
        self._core_connections = {c for c in self._core_connections if not c.closed} | {connection}
        if message.incarnation:
            self.register.identity.incarnations[message.address] = message.incarnation

    def _on_loads(self, connection: PeerConnection, message: ServerLoads) -> None:
        if connection in self._core_connections:
            self.load_hub.on_member_loads(message)
        else:
            self.load_hub.on_sidecar_loads(connection, message)

    def _on_heartbeat(self, connection: PeerConnection, message: Heartbeat) -> None:
        self.named_weights.learn_ages(message.named, self.scheduler.now())
        if connection in self.distribution.subscribers:
            self.distribution.on_heartbeat(connection, message)
            connection.send(self._heartbeat())

    # ---- named weights

    def _record_named_weights(self, update: Update) -> None:
        decoded = decode_value(update.value, VersionsValue) if update.topic == topics.VERSIONS else None
        for version in decoded.versions if decoded is not None else ():
            self.named_weights.learn(version.model, version.revision, self.scheduler.now())

    def _named(self) -> dict[str, int]:
        update = self.distribution.topics.get(topics.VERSIONS)
        decoded = decode_value(update.value, VersionsValue) if update is not None else None
        return {} if decoded is None else {v.model: v.revision for v in decoded.versions}

    # ---- reading of values committed elsewhere

    def _learn_loop(self) -> None:
        """Read each register whose accepted value here is not known to be committed.

        At the start the first of the connected members reads at once, so that sidecars soon get the current values.
        Each of the others starts a little later than the one before, and reads only what was not published by then.
        """
        while not self.quorum.has_quorum():
            self.scheduler.sleep(QUORUM_CHECK_INTERVAL_NS)
        earlier = sum(address < self.address for address in self._connected())
        self.scheduler.sleep(earlier * LEARN_STAGGER_NS)
        while True:
            for key in topics.REGISTERS:
                if key != topics.MEMBERS and self._needs_learning(key):
                    self._learn(key)
            self.scheduler.sleep(LEARN_INTERVAL_NS)

    def _needs_learning(self, key: str) -> bool:
        if not self.register.voting:
            return False
        state = self.register.acceptor.state(key)
        if not state.value:
            return key not in self._learned
        update = self.distribution.topics.get(topics.topic_of(key))
        value = decode_value(state.value, VALUE_TYPES[key])
        return value is not None and (update is None or update.sequence < value.sequence)

    def _learn(self, key: str) -> None:
        deadline = self.scheduler.now() + LEARN_TIMEOUT_NS + transfer_ns(self.register.value_size(key))
        result = self.register.change(key, changes.unchanged, deadline)
        if not isinstance(result, Committed):
            return
        self._learned[key] = (result.ballot,)
        value = decode_value(result.value, VALUE_TYPES[key])
        if value is not None:
            is_configuration = key == topics.CONFIGURATION
            relayed = changes.relayed_configuration(value) if is_configuration else result.value
            self.distribution.publish(Update(topics.topic_of(key), value.sequence, relayed))


def _read_prefix_holders(update: Update, known: PrefixHolders) -> PrefixHolders:
    """Read the holders from a configuration; reuse the known ones if only other parts of it changed."""
    decoded = decode_value(update.value, ConfigurationValue)
    if decoded is None or not decoded.body:
        return PrefixHolders(update.sequence, frozenset(), frozenset())
    follows = decoded.amendment and decoded.sequence == known.sequence + 1
    if follows and not parse_amendment(decoded.amendment).touches(SERVICES):
        return replace(known, sequence=update.sequence)
    services = parse_services(decoded.body)
    engines = frozenset(service.label for service in services if service.engine is not None)
    stores = frozenset(service.store.address for service in services if service.store is not None)
    return PrefixHolders(update.sequence, engines, stores)
