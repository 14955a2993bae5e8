"""The data plane's side of updates: subscribed to every core member, the newest value of each topic counts.

The hub pushes changes. The other members announce them, and what the hub does not push in time is asked for at one of
these (`relay/catch_up.py`): a change is in force here soon after any member that this sidecar reaches has learned of
it, whatever the hub does.
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
SIDECARS_PER_HEARTBEAT_STEP = 24  # so many more sidecars add the first interval once more
MAX_HEARTBEAT_INTERVAL_NS = 1000 * NS_PER_MS  # a change that the hub did not push is heard of within it
SEND_AGES_NS = (
    2 * MAX_HEARTBEAT_INTERVAL_NS
)  # so long heartbeats bear the ages of named weights, once a member lacks them
LEASE_CHECK_INTERVAL_NS = 100 * NS_PER_MS  # how often it is looked whether the lease of keys is to be renewed
EVIDENCE_INTERVAL_NS = 250 * NS_PER_MS  # between two reports of how requests under roll-outs end
BUSY_TIMEOUT_NS = (
    3000 * NS_PER_MS
)  # a server that takes new weights is left alone for so long unless decoded otherwise


class ControlLink:
    """Connections to the core, and what their updates change here."""

    def __init__(
        self,
        plane: PlaneState,
        servers: ServerListFollower,
        log,
        open_connection: OpenConnection | None = None,
    ) -> None:
        """Dials the seeds at once; `open_one` opens connections, over TCP where it is None."""
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
        self._busy: set[str] = set()
        self._logged_rollouts: dict[str, tuple[str, int]] = {}  # phase and share, for the log
        self._evidence_timer: Timer | None = None
        self._evidence_number = 0
        self._evidence_reported = 0  # answers that were counted when evidence was decoded last
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
        """Dial the members that are known, and the seeds of the settings."""
        settings = self.plane.settings
        self.plane.key_lease.set_duration(settings.rule_bounds.key_lease_ms)
        seeds = {f"{seed.host}:{settings.port_range.first}" for seed in settings.seed_nodes}
        self.dialers.follow(seeds | set(self._members()))

    def _members(self) -> tuple[str, ...]:
        """The inner addresses of the newest known member set; empty while none is known."""
        update = self.topics.get(topics.MEMBERS)
        decoded = decode_value(update.value, MembersValue) if update is not None else None
        return () if decoded is None else decoded.members

    @property
    def configuration_confirmed(self) -> bool:
        """Is no configuration newer than the one in force, as a majority of the core has decoded?"""
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
        """The hub is asked often; the others, which only show what was missed, more rarely in a large fleet."""
        if connection is self._hub:
            return HEARTBEAT_NS
        return min(
            MAX_HEARTBEAT_INTERVAL_NS,
            HEARTBEAT_NS * (1 + self.plane.sidecar_count // SIDECARS_PER_HEARTBEAT_STEP),
        )

    def _subscribe(self, connection: PeerConnection) -> None:
        """Have the hub push what is missed and what changes; the others announce it, and send what is asked for."""
        push = connection is self.core_view.choose_hub()
        connection.send(Subscribe(self.topics.versions(), push, catch_up=push))

    def _choose_hub(self) -> None:
        hub = self.core_view.choose_hub()
        if hub is not self._hub:
            before, self._hub = self._hub, hub
            for connection in (before, hub):
                if connection is not None and not connection.closed:
                    self._subscribe(connection)
            if before is not None and not before.closed:
                before.send(KeptSubscribe(own_only=False, ends=True))
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
        """A member tells how new its topics are: what the hub does not push in time is asked for."""
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
        """Ask the members whose turn it is for what is missing here."""
        self._request_timer = None
        known = self.topics.versions()
        for connection in self.catch_up.take_due(known, self.plane.scheduler.now()):
            if connection.closed:
                self.catch_up.source_lost(connection)
            elif connection is not self._hub:  # the hub sends what it has by itself
                connection.send(Subscribe(known, push=False))
        self._set_request_timer()

    def _set_request_timer(self) -> None:
        due = self.catch_up.next_due()
        if self._request_timer is None and due is not None:
            self._request_timer = self.plane.scheduler.call_at(due, self._request_missing)

    def hub(self) -> PeerConnection | None:
        """The core member that pushes changes here and sums loads, None while there is none."""
        return self.core_view.choose_hub()

    def _on_configuration(self, value: bytes) -> None:
        decoded = decode_value(value, ConfigurationValue)
        if decoded is None or not decoded.body:
            return
        self._activate(ActiveConfiguration(parse_configuration(decoded.body)), decoded.sequence)

    def _on_amendment(self, message: ConfigurationAmendment) -> None:
        """Amend the configuration in force; where it is not the one before, the whole comes from another member."""
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

    # ---- the lease under which keys are honoured

    def _check_key_lease(self) -> None:
        now = self.plane.scheduler.now()
        if self.plane.key_lease.should_request(now):
            self._request_key_lease()
        self.plane.scheduler.call_at(now + LEASE_CHECK_INTERVAL_NS, self._check_key_lease)

    def _request_key_lease(self) -> None:
        """Ask the hub, and where it has not answered the last time, every member."""
        lease = self.plane.key_lease
        if not lease.needed:
            return
        hub = self.core_view.choose_hub()
        asked = [hub] if hub is not None and not lease.has_pending_request else list(self.core_view.members)
        request = KeyLeaseRequest(lease.record_request(self.plane.scheduler.now()))
        for connection in asked:
            if not connection.closed:
                connection.send(request)

    # ---- roll-outs

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
        """Does the sender know no newer states of the roll-outs than are followed here?"""
        known = self.topics.get(topics.ROLLOUTS)
        sequence = -1 if known is None else known.sequence
        return all(v.sequence <= sequence for v in message.known if v.topic == topics.ROLLOUTS)

    def _schedule_evidence(self) -> None:
        """Tell every core member how requests under roll-outs have ended, a few times a second while any runs."""
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
        """Count from the naming, which a process that was away or began anew heard of late."""
        now = self.plane.scheduler.now()
        models = {age.model for age in ages}
        before = {model: self.plane.required_revision(model, now) for model in models}
        self.plane.named_weights.learn_ages(ages, now)
        for model in sorted(models):
            required = self.plane.required_revision(model, now)
            if required > before[model]:
                self.log.info("weights required", model=model, revision=required)

    def _check_sender_ages(self, message: Heartbeat) -> None:
        """Tell with the next heartbeats how long ago weights were named, where a core member has forgotten it.

        All of the core may have begun anew. The ages go with heartbeats that are sent anyway: an answer of its own to
        each heartbeat would be answered in turn, and so on, with a member that never learns.
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
        """Leave servers alone that take new weights; those that were named before are back."""
        decoded = decode_value(value, BusyServers)
        if decoded is None:
            return
        for taken in decoded.taken:
            server = self.plane.servers.servers.get(taken.instance)
            if server is not None:
                server.record_revision(taken.model, taken.revision)
        now = self.plane.scheduler.now()
        busy = set(decoded.instances)
        for instance in busy | self._busy:
            server = self.plane.servers.servers.get(instance)
            if server is not None:
                server.mark_busy(instance in busy, now + BUSY_TIMEOUT_NS)
        self._busy = busy
        for server in self.plane.servers.servers.values():
            server.preparing = server.instance_id in decoded.preparing
