"""The sidecar's connections to the core, over which it receives updates of topics and sends reports.

The sidecar subscribes to every core member and applies the newest value of each topic. The hub pushes changes. The
other members announce theirs in heartbeats, and what the hub does not push in time is requested from one of them
(`relay/catch_up.py`). A change thus takes effect here soon after any reachable member has it, even if the hub fails.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable

from iristrack.configuration.amendment import parse_amendment
from iristrack.configuration.document import parse_configuration
from iristrack.dataplane.core_view import CoreView
from iristrack.dataplane.discovery import ServerListFollower
from iristrack.dataplane.load_reports import LoadReporter
from iristrack.dataplane.state import ActiveConfiguration, PlaneState
from iristrack.relay import topics
from iristrack.relay.catch_up import CatchUp
from iristrack.relay.topics import TopicTable
from iristrack.runtime.scheduler import Timer
from iristrack.wire.connection import PeerConnection
from iristrack.wire.dialing import HEARTBEAT_NS, DialerSet, OpenConnection
from iristrack.wire.messages import (
    BusyServers,
    ConfigurationAmendment,
    ConfigurationValue,
    Heartbeat,
    Hello,
    KeptBatch,
    KeptSubscribe,
    KeyLeaseGrant,
    KeyLeaseRequest,
    MembersValue,
    Message,
    NamedAge,
    RolloutEvidence,
    RolloutsValue,
    ServerLoads,
    Subscribe,
    Update,
    VersionsValue,
)
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
SIDECARS_PER_HEARTBEAT_STEP = 24  # each such number of sidecars lengthens the interval by HEARTBEAT_NS
MAX_HEARTBEAT_INTERVAL_NS = 1000 * NS_PER_MS  # bounds how late an update that the hub did not push is noticed
# How long heartbeats carry the ages of named weights after a member was found to lack them.
SEND_AGES_NS = 2 * MAX_HEARTBEAT_INTERVAL_NS
LEASE_CHECK_INTERVAL_NS = 100 * NS_PER_MS  # between two checks whether the key lease is due for renewal
EVIDENCE_INTERVAL_NS = 250 * NS_PER_MS  # between two reports of the outcomes of requests under rollouts
# How long a server that loads new weights gets no requests, unless the core reports that it is done.
BUSY_TIMEOUT_NS = 3000 * NS_PER_MS


class ControlLink:
    """Keep connections to the core members and apply their updates to the data plane's state."""

    def __init__(
        self,
        plane: PlaneState,
        servers: ServerListFollower,
        log,
        open_connection: OpenConnection | None = None,
    ) -> None:
        """Start to dial the seeds; `open_connection` opens connections, over TCP if it is None."""
        self.plane = plane
        self.log = log
        self.topics = TopicTable()
        self.catch_up = CatchUp()
        self.process = secrets.token_hex(6)
        self.heartbeat_count = 0
        self._send_ages_until = 0  # ns
        self.core_view = CoreView(plane.settings.zone, topics.CONFIGURATION)
        self._hub: PeerConnection | None = None
        self._request_timer: Timer | None = None
        self.on_configuration: Callable[[], None] = lambda: None
        self.load_reporter = LoadReporter(plane, self)
        self._sequence = -1  # of the configuration in force
        self._busy_instances: set[str] = set()
        # By service: the phase and share that were logged last.
        self._logged_rollouts: dict[str, tuple[str, int]] = {}
        self._evidence_timer: Timer | None = None
        self._evidence_number = 0
        self._evidence_reported = 0  # count of responses at the time of the last report
        self._handlers: dict[str, Callable[[bytes], None]] = {
            topics.CONFIGURATION: self._on_configuration,
            topics.VERSIONS: self._on_versions,
            topics.MEMBERS: self._on_members,
            topics.BUSY_SERVERS: self._on_busy_servers,
            topics.SERVERS: servers.on_update,
            topics.ROLLOUTS: self._on_rollouts,
        }
        self.dialers = DialerSet(
            plane.scheduler,
            self._hello,
            self._heartbeat,
            self._subscribe,
            self._on_message,
            self._heartbeat_interval,
            open_connection,
        )
        self.dial_members()
        plane.scheduler.call_at(plane.scheduler.now() + LEASE_CHECK_INTERVAL_NS, self._check_key_lease)

    def dial_members(self) -> None:
        """Dial the known core members and the seeds from the settings."""
        settings = self.plane.settings
        self.plane.key_lease.set_duration(settings.rule_bounds.key_lease_ms)
        seeds = {f"{seed.host}:{settings.port_range.first}" for seed in settings.seed_nodes}
        self.dialers.follow(seeds | set(self._members()))

    def _members(self) -> tuple[str, ...]:
        """Return the internal addresses of the newest known member set; empty while none is known."""
        update = self.topics.get(topics.MEMBERS)
        decoded = decode_value(update.value, MembersValue) if update is not None else None
        return () if decoded is None else decoded.members

    @property
    def configuration_confirmed(self) -> bool:
        """Whether a majority of the core has confirmed that no configuration is newer than the active one."""
        update = self.topics.get(topics.CONFIGURATION)
        members = self._members() or tuple(self.dialers.dialers)
        return update is not None and self.core_view.is_confirmed(update.sequence, members)

    def _hello(self) -> Hello:
        settings = self.plane.settings
        return Hello(
            settings.node_name, "dataplane", self.process, settings.zone, settings.region, settings.ip, ""
        )

    def _heartbeat(self) -> Heartbeat:
        self.heartbeat_count += 1
        now = self.plane.scheduler.now()
        ages = self.plane.named_weights.ages(now) if now < self._send_ages_until else ()
        node = self.plane.settings.node_name
        return Heartbeat(node, self.process, self.heartbeat_count, self.topics.versions(), named=ages)

    def _heartbeat_interval(self, connection: PeerConnection) -> int:
        """Return the heartbeat interval of a connection.

        The hub gets heartbeats often. The other members, whose heartbeats only reveal missed updates, get them less
        often in a large fleet.
        """
        if connection is self._hub:
            return HEARTBEAT_NS
        return min(
            MAX_HEARTBEAT_INTERVAL_NS,
            HEARTBEAT_NS * (1 + self.plane.sidecar_count // SIDECARS_PER_HEARTBEAT_STEP),
        )

    def _subscribe(self, connection: PeerConnection) -> None:
        """Subscribe: the hub pushes missing values and changes, the others announce and send them on request."""
        push = connection is self.core_view.choose_hub()
        connection.send(Subscribe(self.topics.versions(), push, catch_up=push))

    def _choose_hub(self) -> None:
        hub = self.core_view.choose_hub()
        if hub is not self._hub:
            previous, self._hub = self._hub, hub
            for connection in (previous, hub):
                if connection is not None and not connection.closed:
                    self._subscribe(connection)
            if previous is not None and not previous.closed:
                previous.send(KeptSubscribe(own_only=False, ends=True))
            if hub is not None:
                hub.send(KeptSubscribe(own_only=False))
                self._request_key_lease()

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        if isinstance(message, Update) and self.topics.learn(message):
            handler = self._handlers.get(message.topic)
            if handler is not None:
                handler(message.value)
                self.plane.startup_gate.open_if_ready()
        elif isinstance(message, ConfigurationAmendment):
            self._on_amendment(message)
        elif isinstance(message, KeyLeaseGrant):
            self.plane.key_lease.handle_grant(message.number, message.sequence)
            self.plane.startup_gate.open_if_ready()
        elif isinstance(message, ServerLoads):
            if connection is self._hub:
                self.load_reporter.on_total(message)
        elif isinstance(message, KeptBatch):
            if connection is self._hub:
                self._on_kept_prompts(message)
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(connection, message)
        elif isinstance(message, Hello):
            self.core_view.add_member(connection, message)
            self._choose_hub()

    def _on_heartbeat(self, connection: PeerConnection, message: Heartbeat) -> None:
        """Compare a member's topic versions with those here; values that the hub does not push are requested."""
        self.core_view.update_member(connection, message)
        if message.in_quorum and self._has_rollouts_of(message):
            self.plane.rollouts.renew_lease(self.plane.scheduler.now())
        self._on_named_ages(message.named)
        self._check_sender_ages(message)
        self._choose_hub()
        if connection is not self._hub:
            self.catch_up.record_versions(
                connection, self.topics.versions(), message.known, self.plane.scheduler.now()
            )
            self._set_request_timer()

    def _request_missing(self) -> None:
        """Request missing values from the members that are due for it."""
        self._request_timer = None
        known = self.topics.versions()
        for connection in self.catch_up.take_due(known, self.plane.scheduler.now()):
            if connection.closed:
                self.catch_up.source_lost(connection)
            elif connection is not self._hub:  # the hub pushes without a request
                connection.send(Subscribe(known, push=False))
        self._set_request_timer()

    def _set_request_timer(self) -> None:
        due = self.catch_up.next_due()
        if self._request_timer is None and due is not None:
            self._request_timer = self.plane.scheduler.call_at(due, self._request_missing)

    def hub(self) -> PeerConnection | None:
        """Return the core member that pushes changes and sums loads; None while there is none."""
        return self.core_view.choose_hub()

    def _on_configuration(self, value: bytes) -> None:
        decoded = decode_value(value, ConfigurationValue)
        if decoded is None or not decoded.body:
            return
        self._activate(ActiveConfiguration(parse_configuration(decoded.body)), decoded.sequence)

    def _on_amendment(self, message: ConfigurationAmendment) -> None:
        """Apply an amendment to the active configuration.

        If the active configuration is not the amendment's predecessor, the amendment is ignored and the complete
        configuration comes from another member.
        """
        if self.plane.active is None or message.sequence != self._sequence + 1:
            return
        active = self.plane.active.amended(parse_amendment(message.body))
        self.topics.learn(Update(topics.CONFIGURATION, message.sequence, b""))
        self._activate(active, message.sequence)

    def _activate(self, active: ActiveConfiguration, sequence: int) -> None:
        self.plane.active = active
        self._sequence = sequence
        self.plane.key_lease.set_applied_sequence(sequence)
        self.on_configuration()
        self.log.info("configuration in force", revision=active.configuration.revision, sequence=sequence)

    # ---- the key lease, under which API keys are accepted

    def _check_key_lease(self) -> None:
        now = self.plane.scheduler.now()
        if self.plane.key_lease.should_request(now):
            self._request_key_lease()
        self.plane.scheduler.call_at(now + LEASE_CHECK_INTERVAL_NS, self._check_key_lease)

    def _request_key_lease(self) -> None:
        """Request the key lease from the hub, or from every member if a request is still unanswered."""
        lease = self.plane.key_lease
        if not lease.needed:
            return
        hub = self.core_view.choose_hub()
        recipients = (
            [hub] if hub is not None and not lease.has_pending_request else list(self.core_view.members)
        )
        request = KeyLeaseRequest(lease.record_request(self.plane.scheduler.now()))
        for connection in recipients:
            if not connection.closed:
                connection.send(request)

    # ---- rollouts

    def _on_rollouts(self, value: bytes) -> None:
        decoded = decode_value(value, RolloutsValue)
        if decoded is None:
            return
        self.plane.rollouts.apply_states(decoded.rollouts)
        for state in decoded.rollouts:
            if (state.phase, state.share) != self._logged_rollouts.get(state.service):
                self._logged_rollouts[state.service] = (state.phase, state.share)
                self.log.info(
                    "rollout",
                    service=state.service,
                    version=state.version,
                    phase=state.phase,
                    share=state.share,
                )
        self._schedule_evidence()

    def _has_rollouts_of(self, message: Heartbeat) -> bool:
        """Return whether the sender knows no newer rollout state than this process."""
        known = self.topics.get(topics.ROLLOUTS)
        sequence = -1 if known is None else known.sequence
        return all(v.sequence <= sequence for v in message.known if v.topic == topics.ROLLOUTS)

    def _schedule_evidence(self) -> None:
        """Schedule the next report of request outcomes to all core members while a rollout is running."""
        rollouts = self.plane.rollouts
        if not rollouts.running:
            return
        now = self.plane.scheduler.now()
        if self._evidence_timer is None:
            self._evidence_timer = self.plane.scheduler.call_at(
                now + EVIDENCE_INTERVAL_NS, self._send_evidence
            )

    def _send_evidence(self) -> None:
        self._evidence_timer = None
        rollouts = self.plane.rollouts
        if rollouts.counted != self._evidence_reported:
            self._evidence_reported = rollouts.counted
            self._evidence_number += 1
            evidence = RolloutEvidence(self.process, self._evidence_number, rollouts.counts())
            for connection in list(self.core_view.members):
                if not connection.closed:
                    connection.send(evidence)
        self._schedule_evidence()

    def _on_versions(self, value: bytes) -> None:
        decoded = decode_value(value, VersionsValue)
        if decoded is None:
            return
        now = self.plane.scheduler.now()
        for version in decoded.versions:
            if self.plane.named_weights.learn(version.model, version.revision, now):
                self.log.info("weights named", model=version.model, revision=version.revision)

    def _on_named_ages(self, ages: tuple[NamedAge, ...]) -> None:
        """Learn how long ago revisions were named, which a process that was disconnected or restarted heard late."""
        now = self.plane.scheduler.now()
        models = {age.model for age in ages}
        required_before = {model: self.plane.required_revision(model, now) for model in models}
        self.plane.named_weights.learn_ages(ages, now)
        for model in sorted(models):
            required = self.plane.required_revision(model, now)
            if required > required_before[model]:
                self.log.info("weights required", model=model, revision=required)

    def _check_sender_ages(self, message: Heartbeat) -> None:
        """Send the ages of named weights with the next heartbeats if a core member lacks them.

        All core members may have restarted. The ages go with heartbeats that are due anyway: a separate reply to each
        heartbeat would be replied to in turn, without end, by a member that never learns the ages.
        """
        now = self.plane.scheduler.now()
        if self.plane.named_weights.knows_earlier(message.named, now):
            self._send_ages_until = now + SEND_AGES_NS

    def _on_kept_prompts(self, batch: KeptBatch) -> None:
        now = self.plane.scheduler.now()
        for change in batch.entries:
            self.plane.index.apply_change(change, now)

    def _on_members(self, value: bytes) -> None:
        self.dial_members()

    def _on_busy_servers(self, value: bytes) -> None:
        """Mark the servers that load new weights as busy, and those reported before as available again."""
        decoded = decode_value(value, BusyServers)
        if decoded is None:
            return
        for taken in decoded.taken:
            server = self.plane.servers.servers.get(taken.instance)
            if server is not None:
                server.record_revision(taken.model, taken.revision)
        now = self.plane.scheduler.now()
        busy_instances = set(decoded.instances)
        for instance in busy_instances | self._busy_instances:
            server = self.plane.servers.servers.get(instance)
            if server is not None:
                server.mark_busy(instance in busy_instances, now + BUSY_TIMEOUT_NS)
        self._busy_instances = busy_instances
        for server in self.plane.servers.servers.values():
            server.preparing = server.instance_id in decoded.preparing
