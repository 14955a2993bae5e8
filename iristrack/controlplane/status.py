"""The status of the system as one control plane knows it, for operators: `GET /system/status`.

The answer is one JSON object. Readers ignore unknown fields and use the default for missing ones, so that commands and
processes of two releases work together. It contains no API key.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from typing import Any, Protocol

from iristrack.controlplane.distribution import Distribution
from iristrack.controlplane.quorum_contact import QuorumContact
from iristrack.controlplane.register_host import RegisterHost
from iristrack.controlplane.weights import WeightsDuty
from iristrack.engines.named_weights import NamedWeights
from iristrack.relay import topics
from iristrack.relay.topics import TopicTable
from iristrack.runtime.scheduler import clock
from iristrack.settings import Settings
from iristrack.wire.connection import PeerConnection
from iristrack.wire.dialing import DialerSet
from iristrack.wire.messages import (
    BusyServers,
    ConfigurationValue,
    DutyValue,
    Hello,
    NamedAge,
    ServersValue,
    VersionsValue,
)
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000

Document = dict[str, Any]


class MalformedStatus(ValueError):
    """A document that is not a status."""


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of the voting set; `node` and `incarnation` are empty while they are unknown."""

    address: str  # inner address, ip:port
    node: str = ""
    incarnation: str = ""
    here: bool = False  # the process that reports this status
    connected: bool | None = None  # whether there is a connection to it; None: unknown


@dataclass(frozen=True, slots=True)
class TopicStatus:
    """The version of the newest known value of a topic."""

    topic: str
    sequence: int


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """A process with an open connection."""

    node: str
    role: str
    process: str
    zone: str
    address: str
    subscribed: bool  # whether it subscribes to the topics of the reporting process
    pushed: bool  # whether it is sent changes at once; otherwise at its next heartbeat
    silent_ms: int  # time since its last message


@dataclass(frozen=True, slots=True)
class DutyStatus:
    """The holder of a duty; `owner` is empty if there was never one."""

    duty: str
    owner: str = ""
    process: str = ""
    fence: int = 0
    renewals: int = 0
    act_ms: int = 0  # how long the reporting process may still act on the duty; 0: it may not


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The newest configuration known to have been committed, without its text."""

    revision: int
    sequence: int
    digest: str


@dataclass(frozen=True, slots=True)
class ModelStatus:
    """A revision of a model's weights, as loaded by a server or as named last."""

    model: str
    revision: int
    named_ms_ago: int | None = None  # lower bound; None: unknown


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """One entry of the platform's list, with the state published by the holder of the weights duty."""

    instance: str
    service: str
    address: str
    zone: str
    ready: bool
    capacity: int
    models: tuple[ModelStatus, ...] = ()
    busy: bool = False  # loading new weights, and rejecting requests
    preparing: bool = False  # next to load new weights


@dataclass(frozen=True, slots=True)
class SystemStatus:
    """The whole status; `servers` is None if it was not requested or is unknown."""

    node: str
    zone: str = ""
    address: str = ""  # inner address, ip:port
    process: str = ""
    voting: bool = False
    founded: bool = False  # whether an agreed member set is known; before that no change is accepted
    in_quorum: bool = True  # whether a quorum of members was heard from recently; otherwise orders get 503
    # The member admitted last, while it has not recovered: until then one more loss may be final.
    joining: str = ""
    # The member removed, while the registers are rewritten, or the one that was replaced last.
    leaving: str = ""
    incarnation: str = ""
    members: tuple[MemberStatus, ...] = ()
    topics: tuple[TopicStatus, ...] = ()
    peers: tuple[PeerStatus, ...] = ()
    list_poller: str = ""  # inner address of the member that fetches the platform's list; empty: unknown
    duties: tuple[DutyStatus, ...] = ()
    configuration: ConfigurationStatus | None = None
    versions: tuple[ModelStatus, ...] = ()
    servers: tuple[ServerStatus, ...] | None = None


class PeerDirectory:
    """The hello message of the peer on each open connection."""

    def __init__(self) -> None:
        """Start without peers."""
        self._hellos: dict[PeerConnection, Hello] = {}

    def record_hello(self, connection: PeerConnection, hello: Hello) -> None:
        """Record the hello of a connection's peer, and drop closed connections."""
        self._hellos = {c: known for c, known in self._hellos.items() if not c.closed}
        self._hellos[connection] = hello

    def connected(self) -> Iterable[tuple[PeerConnection, Hello]]:
        """Return the open connections with their hellos."""
        return [(c, hello) for c, hello in self._hellos.items() if not c.closed]


class StatusSource(Protocol):
    """The parts of a control plane that a status is collected from."""

    settings: Settings
    process: str
    address: str
    register: RegisterHost
    quorum: QuorumContact
    distribution: Distribution
    dialers: DialerSet
    weights: WeightsDuty | None
    named_weights: NamedWeights
    peer_directory: PeerDirectory


# ---- collecting


def status_document(source: StatusSource, with_servers: bool) -> Document:
    """Return the body of an answer to `GET /system/status`; `with_servers` for `?servers`."""
    return to_document(collect_status(source, with_servers))


def collect_status(source: StatusSource, with_servers: bool) -> SystemStatus:
    """Collect the status of a running control plane."""
    known = source.distribution.topics
    connected = {address for address, dialer in source.dialers.dialers.items() if dialer.connected}
    return SystemStatus(
        node=source.settings.node_name,
        zone=source.settings.zone,
        address=source.address,
        process=source.process,
        voting=source.register.voting,
        founded=source.register.founded,
        in_quorum=source.quorum.has_quorum(),
        joining=source.register.member_set.joining,
        leaving=source.register.member_set.leaving,
        incarnation=source.register.incarnation,
        members=_members(source, connected),
        topics=tuple(
            sorted((TopicStatus(v.topic, v.sequence) for v in known.versions()), key=lambda t: t.topic)
        ),
        peers=_peers(source),
        list_poller=min({source.address, *connected}) if source.settings.provider_api is not None else "",
        duties=(_weights_duty(source),),
        configuration=configuration_status(_value(known, topics.CONFIGURATION, ConfigurationValue)),
        versions=version_statuses(
            _value(known, topics.VERSIONS, VersionsValue), source.named_weights.ages(clock())
        ),
        servers=_servers(known) if with_servers else None,
    )


def duty_status(duty: str, value: DutyValue | None, act_ms: int = 0) -> DutyStatus:
    """Return the status of a duty from the value of its register."""
    if value is None:
        return DutyStatus(duty)
    return DutyStatus(duty, value.owner, value.process, value.fence, value.renewals, act_ms)


def configuration_status(value: ConfigurationValue | None) -> ConfigurationStatus | None:
    """Return the status of a configuration from the value of its register."""
    if value is None or not value.body:
        return None
    digest = value.taken[-1].digest if value.taken else ""
    return ConfigurationStatus(value.revision, value.sequence, digest)


def version_statuses(value: VersionsValue | None, ages: Iterable[NamedAge] = ()) -> tuple[ModelStatus, ...]:
    """Return the named weights from the value of their register, with their ages where these are known."""
    ms_ago = {(age.model, age.revision): age.age_ms for age in ages}
    versions = () if value is None else value.versions
    return tuple(ModelStatus(v.model, v.revision, ms_ago.get((v.model, v.revision))) for v in versions)


def _value(known: TopicTable, topic: str, expected: type) -> Any:
    update = known.get(topic)
    return None if update is None else decode_value(update.value, expected)


def _members(source: StatusSource, connected: set[str]) -> tuple[MemberStatus, ...]:
    hellos = {hello.address: hello for _, hello in source.peer_directory.connected()}
    own = source.address

    def member(address: str) -> MemberStatus:
        if address == own:
            return MemberStatus(address, source.settings.node_name, source.register.incarnation, True, True)
        node = hellos[address].node if address in hellos else ""
        incarnation = source.register.identity.incarnations.get(address, "")
        return MemberStatus(address, node, incarnation, False, address in connected)

    return tuple(member(address) for address in sorted(source.register.members))


def _peers(source: StatusSource) -> tuple[PeerStatus, ...]:
    """Return one entry per process: two core members share two connections, one dialled by each."""
    subscribers = source.distribution.subscribers
    now = clock()
    found: dict[tuple[str, str], PeerStatus] = {}
    for connection, hello in source.peer_directory.connected():
        before = found.get((hello.node, hello.process))
        subscriber = subscribers.get(connection)
        pushed = subscriber is not None and subscriber.push
        silent_ms = (now - connection.heard_at) // NS_PER_MS
        found[hello.node, hello.process] = PeerStatus(
            node=hello.node,
            role=hello.role,
            process=hello.process,
            zone=hello.zone,
            address=hello.address,
            subscribed=subscriber is not None or (before is not None and before.subscribed),
            pushed=pushed or (before is not None and before.pushed),
            silent_ms=silent_ms if before is None else min(silent_ms, before.silent_ms),
        )
    return tuple(sorted(found.values(), key=lambda peer: (peer.role, peer.node, peer.process)))


def _weights_duty(source: StatusSource) -> DutyStatus:
    value = _value(source.distribution.topics, topics.WEIGHTS_DUTY, DutyValue)
    holding = None if source.weights is None else source.weights.lease.holding
    act_ms = 0 if holding is None else max(0, holding.act_until - clock()) // NS_PER_MS
    return duty_status(topics.WEIGHTS_DUTY, value, act_ms)


def _servers(known: TopicTable) -> tuple[ServerStatus, ...] | None:
    listed = _value(known, topics.SERVERS, ServersValue)
    if listed is None:
        return None
    busy = _value(known, topics.BUSY_SERVERS, BusyServers) or BusyServers()
    taken = {(t.instance, t.model): t.revision for t in busy.taken}
    return tuple(
        ServerStatus(
            instance=e.instance,
            service=e.service,
            address=e.address,
            zone=e.zone,
            ready=e.ready,
            capacity=e.capacity,
            models=tuple(
                ModelStatus(m.model, max(m.revision, taken.get((e.instance, m.model), 0))) for m in e.models
            ),
            busy=e.instance in busy.instances,
            preparing=e.instance in busy.preparing,
        )
        for e in listed.servers
    )


# ---- JSON


def to_document(status: SystemStatus) -> Document:
    """Convert a status to a JSON object."""
    return asdict(status)


def from_document(document: Any) -> SystemStatus:
    """Read a status sent by another process, of this release or another; raises `MalformedStatus`."""
    try:
        return _build(
            SystemStatus,
            document,
            members=_rows(MemberStatus, document.get("members")),
            topics=_rows(TopicStatus, document.get("topics")),
            peers=_rows(PeerStatus, document.get("peers")),
            duties=_rows(DutyStatus, document.get("duties")),
            configuration=_row(ConfigurationStatus, document.get("configuration")),
            versions=_rows(ModelStatus, document.get("versions")),
            servers=_server_rows(document.get("servers")),
        )
    except (TypeError, AttributeError) as error:
        raise MalformedStatus(f"no status: {error}") from error


def _build(model: type, row: Document, **nested: Any) -> Any:
    names = {field.name for field in fields(model)}
    return model(**{name: value for name, value in row.items() if name in names} | nested)


def _row(model: type, row: Document | None) -> Any:
    return None if row is None else _build(model, row)


def _rows(model: type, rows: Iterable[Document] | None) -> tuple[Any, ...]:
    return tuple(_build(model, row) for row in rows or ())


def _server_rows(rows: Iterable[Document] | None) -> tuple[ServerStatus, ...] | None:
    if rows is None:
        return None
    return tuple(_build(ServerStatus, row, models=_rows(ModelStatus, row.get("models"))) for row in rows)
