"""What one control plane knows of the system, for operators: `GET /system/status`.

The answer is one JSON object. Readers ignore fields that they do not know, and take the default of those that are
missing, so that commands and processes of two landings work together. It holds no API key.
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
    """A document that is no status."""


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of the set that votes; `node` and `incarnation` are empty while they are not known."""

    address: str  # inner address, ip:port
    node: str = ""
    incarnation: str = ""
    here: bool = False  # is it the process that tells this?
    connected: bool | None = None  # is there a connection to it? None: not known


@dataclass(frozen=True, slots=True)
class TopicStatus:
    """How new the newest known value of a topic is."""

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
    subscribed: bool  # does it follow the topics here?
    pushed: bool  # is it told of changes at once? Else at its next heartbeat
    silent_ms: int  # since it last said anything


@dataclass(frozen=True, slots=True)
class DutyStatus:
    """Who holds a duty; `owner` is empty while nobody ever held it."""

    duty: str
    owner: str = ""
    process: str = ""
    fence: int = 0
    renewals: int = 0
    act_ms: int = 0  # for so long the process that tells this may act on it; 0: it may not


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The newest configuration that is known to have been taken, without its text."""

    revision: int
    sequence: int
    digest: str


@dataclass(frozen=True, slots=True)
class ModelStatus:
    """A revision of a model's weights, as a server holds it or as it was named last."""

    model: str
    revision: int
    named_ms_ago: int | None = None  # at least; None where it is not known


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """One entry of the platform's list, with what the holder of the weights duty told of it."""

    instance: str
    service: str
    address: str
    zone: str
    ready: bool
    capacity: int
    models: tuple[ModelStatus, ...] = ()
    busy: bool = False  # it takes new weights, and turns requests away
    preparing: bool = False  # it takes new weights next


@dataclass(frozen=True, slots=True)
class SystemStatus:
    """All of it; `servers` is None where it was not asked for or is not known."""

    node: str
    zone: str = ""
    address: str = ""  # inner address, ip:port
    process: str = ""
    voting: bool = False
    founded: bool = False  # is the member set known that the seeds agreed on? No change is taken before
    in_quorum: bool = (
        True  # has it heard from a quorum of the members lately? Else it answers orders with 503
    )
    joining: str = (
        ""  # the member that was let in last and has not recovered yet: until then one more loss may be final
    )
    leaving: str = (
        ""  # who was taken out, while the registers are written again, or whose place was taken last
    )
    incarnation: str = ""
    members: tuple[MemberStatus, ...] = ()
    topics: tuple[TopicStatus, ...] = ()
    peers: tuple[PeerStatus, ...] = ()
    list_poller: str = ""  # inner address of the member that fetches the platform's list; empty: not known
    duties: tuple[DutyStatus, ...] = ()
    configuration: ConfigurationStatus | None = None
    versions: tuple[ModelStatus, ...] = ()
    servers: tuple[ServerStatus, ...] | None = None


class PeerBook:
    """What each open connection's other end said of itself."""

    def __init__(self) -> None:
        """Nobody has said anything yet."""
        self._hellos: dict[PeerConnection, Hello] = {}

    def met(self, connection: PeerConnection, hello: Hello) -> None:
        """The other end of a connection said who it is."""
        self._hellos = {c: told for c, told in self._hellos.items() if not c.closed}
        self._hellos[connection] = hello

    def open(self) -> Iterable[tuple[PeerConnection, Hello]]:
        """The connections that are open."""
        return [(c, told) for c, told in self._hellos.items() if not c.closed]


class Parts(Protocol):
    """The parts of a control plane that a status tells of."""

    settings: Settings
    process: str
    address: str
    register: RegisterHost
    quorum: QuorumContact
    distribution: Distribution
    dialers: DialerSet
    weights: WeightsDuty | None
    named_weights: NamedWeights
    peer_book: PeerBook


# ---- telling


def status_document(parts: Parts, with_servers: bool) -> Document:
    """The body of an answer to `GET /system/status`; `with_servers` for `?servers`."""
    return to_document(collect_status(parts, with_servers))


def collect_status(parts: Parts, with_servers: bool) -> SystemStatus:
    """What a running control plane knows now."""
    known = parts.distribution.topics
    connected = {address for address, dialer in parts.dialers.dialers.items() if dialer.connected}
    return SystemStatus(
        node=parts.settings.node_name,
        zone=parts.settings.zone,
        address=parts.address,
        process=parts.process,
        voting=parts.register.voting,
        founded=parts.register.founded,
        in_quorum=parts.quorum.holds(),
        joining=parts.register.member_set.joining,
        leaving=parts.register.member_set.leaving,
        incarnation=parts.register.incarnation,
        members=_members(parts, connected),
        topics=tuple(
            sorted((TopicStatus(v.topic, v.sequence) for v in known.versions()), key=lambda t: t.topic)
        ),
        peers=_peers(parts),
        list_poller=min({parts.address, *connected}) if parts.settings.provider_api is not None else "",
        duties=(_weights_duty(parts),),
        configuration=configuration_status(_value(known, topics.CONFIGURATION, ConfigurationValue)),
        versions=version_statuses(
            _value(known, topics.VERSIONS, VersionsValue), parts.named_weights.ages(clock())
        ),
        servers=_servers(known) if with_servers else None,
    )


def duty_status(duty: str, value: DutyValue | None, act_ms: int = 0) -> DutyStatus:
    """A duty by its register's value."""
    if value is None:
        return DutyStatus(duty)
    return DutyStatus(duty, value.owner, value.process, value.fence, value.renewals, act_ms)


def configuration_status(value: ConfigurationValue | None) -> ConfigurationStatus | None:
    """A configuration by its register's value."""
    if value is None or not value.body:
        return None
    digest = value.taken[-1].digest if value.taken else ""
    return ConfigurationStatus(value.revision, value.sequence, digest)


def version_statuses(value: VersionsValue | None, ages: Iterable[NamedAge] = ()) -> tuple[ModelStatus, ...]:
    """The named weights by their register's value, and how long ago they were named where that is known."""
    ms_ago = {(age.model, age.revision): age.age_ms for age in ages}
    versions = () if value is None else value.versions
    return tuple(ModelStatus(v.model, v.revision, ms_ago.get((v.model, v.revision))) for v in versions)


def _value(known: TopicTable, topic: str, expected: type) -> Any:
    update = known.get(topic)
    return None if update is None else decode_value(update.value, expected)


def _members(parts: Parts, connected: set[str]) -> tuple[MemberStatus, ...]:
    told = {hello.address: hello for _, hello in parts.peer_book.open()}
    own = parts.address

    def member(address: str) -> MemberStatus:
        if address == own:
            return MemberStatus(address, parts.settings.node_name, parts.register.incarnation, True, True)
        node = told[address].node if address in told else ""
        incarnation = parts.register.identity.incarnations.get(address, "")
        return MemberStatus(address, node, incarnation, False, address in connected)

    return tuple(member(address) for address in sorted(parts.register.members))


def _peers(parts: Parts) -> tuple[PeerStatus, ...]:
    """One entry for each process: two core members hold two connections, one dialled by each."""
    subscribers = parts.distribution.subscribers
    now = clock()
    found: dict[tuple[str, str], PeerStatus] = {}
    for connection, hello in parts.peer_book.open():
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


def _weights_duty(parts: Parts) -> DutyStatus:
    value = _value(parts.distribution.topics, topics.WEIGHTS_DUTY, DutyValue)
    holding = None if parts.weights is None else parts.weights.lease.holding
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


# ---- as JSON


def to_document(status: SystemStatus) -> Document:
    """A status as a JSON object."""
    return asdict(status)


def from_document(document: Any) -> SystemStatus:
    """A status that another process told, of this landing or another; raises `MalformedStatus`."""
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
    except (TypeError, AttributeError) as fault:
        raise MalformedStatus(f"no status: {fault}") from fault


def _build(model: type, row: Document, **parts: Any) -> Any:
    names = {field.name for field in fields(model)}
    return model(**{name: value for name, value in row.items() if name in names} | parts)


def _row(model: type, row: Document | None) -> Any:
    return None if row is None else _build(model, row)


def _rows(model: type, rows: Iterable[Document] | None) -> tuple[Any, ...]:
    return tuple(_build(model, row) for row in rows or ())


def _server_rows(rows: Iterable[Document] | None) -> tuple[ServerStatus, ...] | None:
    if rows is None:
        return None
    return tuple(_build(ServerStatus, row, models=_rows(ModelStatus, row.get("models"))) for row in rows)
