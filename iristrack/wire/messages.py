"""The messages that the data plane and the control plane exchange over their inner connections.

Each message is a frozen dataclass with a schema of the same name in `schemas/`. Durations are in milliseconds and are
never dates: the time of day of two machines may differ.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A proposer's round number; of two equal rounds the greater proposer name is the later ballot."""

    round: int = 0
    proposer: str = ""


NO_BALLOT = Ballot()
UNFOUNDED = 0  # sequence of the member set that the seeds begin with,
FOUNDED = 1  # and of the one that they agree on; each change raises it


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on each connection, in both directions: who speaks."""

    node: str
    role: str  # "dataplane" or "controlplane"
    process: str  # drawn at each start of the process
    zone: str
    region: str
    address: str  # ip:port at which the sender accepts inner connections
    incarnation: str = ""  # of the acceptor; drawn anew when its disk is lost
    disk: str = ""  # of a core machine: drawn when its disk is first written


@dataclass(frozen=True, slots=True)
class Prepare:
    """First round: promise to take no ballot under this one, and tell what was accepted."""

    call: int  # echoed by the answer
    key: str
    ballot: Ballot
    members: int = FOUNDED  # sequence of the member set that the sender goes by
    disk: str = ""  # of a recovery: the disk that it fills
    known: Ballot = (
        NO_BALLOT  # a promise with this accepted ballot need not bear the value, which the sender holds
    )


@dataclass(frozen=True, slots=True)
class Promise:
    """Answer to `Prepare`."""

    call: int
    key: str
    acceptor: str
    incarnation: str
    granted: bool
    promised: Ballot  # the highest ballot promised; where `granted` is false, the one that forbade it
    accepted: Ballot  # NO_BALLOT where nothing was accepted
    value: bytes  # b"" too where not granted, and where `accepted` is the ballot that the sender knows
    members: int = FOUNDED  # sequence of the acceptor's member set; another than the sender's: not granted


@dataclass(frozen=True, slots=True)
class Accept:
    """Second round: accept the value under the ballot, if nothing higher was promised by this incarnation."""

    call: int
    key: str
    ballot: Ballot
    incarnation: str  # of the acceptor that promised; "" where the promise was not from this acceptor
    value: bytes
    members: int = FOUNDED


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answer to `Accept`."""

    call: int
    key: str
    acceptor: str
    incarnation: str
    granted: bool
    promised: Ballot
    members: int = FOUNDED


@dataclass(frozen=True, slots=True)
class Version:
    """How new the receiver's copy of one topic is."""

    topic: str
    sequence: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for topics; `known` spares what is there already. Each message takes the place of the one before."""

    known: tuple[Version, ...] = ()
    push: bool = True  # also whenever they change; otherwise changes are announced
    catch_up: bool = True  # what is missed by `known` is sent now


@dataclass(frozen=True, slots=True)
class Update:
    """The newest value of a topic; a receiver keeps the highest sequence that it has seen."""

    topic: str
    sequence: int
    value: bytes


@dataclass(frozen=True, slots=True)
class NamedAge:
    """How long before the message was sent a revision of a model's weights was named, at least (ms)."""

    model: str
    revision: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender is alive; `known` lets the receiver send what the sender has missed."""

    node: str
    process: str
    count: int
    known: tuple[Version, ...] = ()  # of all topics, or of those that have just changed
    in_quorum: bool = True  # does a core member reach a quorum of the member set? True from all others
    named: tuple[
        NamedAge, ...
    ] = ()  # revisions of weights; from sidecars where a core member has forgotten them


@dataclass(frozen=True, slots=True)
class TakenRevision:
    """A configuration that was taken, by its number and the digest of its bytes."""

    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigurationValue:
    """The register's value of the configuration; `taken` names the newest ones, this one last."""

    sequence: int
    revision: int
    body: bytes
    taken: tuple[TakenRevision, ...] = ()
    amendment: bytes = b""  # what made it of the value before it; empty where the whole was replaced


@dataclass(frozen=True, slots=True)
class ConfigurationAmendment:
    """The configuration `sequence` is the one before it (`sequence` - 1) amended by `body`."""

    sequence: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NewestQuery:
    """How new is the configuration that the receiver's acceptor has accepted, acknowledged or not?"""

    call: int  # echoed by the answer
    members: int  # sequence of the member set that the sender goes by


@dataclass(frozen=True, slots=True)
class NewestAnswer:
    """Answer to `NewestQuery` by a voting acceptor of that member set; others do not answer."""

    call: int
    acceptor: str
    members: int
    sequence: int  # of the accepted configuration; 0: none


@dataclass(frozen=True, slots=True)
class KeyLeaseRequest:
    """A sidecar asks for a lease on the right to honour keys; `number` is echoed."""

    number: int


@dataclass(frozen=True, slots=True)
class KeyLeaseGrant:
    """When the request was sent, no configuration newer than `sequence` had been acknowledged."""

    number: int
    sequence: int


@dataclass(frozen=True, slots=True)
class ModelRevision:
    """A revision of a model's weights."""

    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class VersionsValue:
    """The register's value of the named weights, the newest of each model."""

    sequence: int
    versions: tuple[ModelRevision, ...] = ()


@dataclass(frozen=True, slots=True)
class DutyValue:
    """The register's value of a duty: who holds it, and the fencing token that its orders carry."""

    sequence: int
    owner: str  # node name
    process: str
    fence: int  # raised with each new holder, never reused
    renewals: int  # raised by the holder while it goes on


@dataclass(frozen=True, slots=True)
class MembersValue:
    """A set of acceptors: the inner addresses (ip:port) of all that vote, but for one that has still to recover."""

    sequence: int
    members: tuple[str, ...] = ()
    joining: str = ""  # the member that was let in last and has not read yet what the others hold
    leaving: str = ""  # whose place it takes: no member any more, it may be read from while it is there
    joining_disk: str = ""  # the joining member's disk, for which alone the leaving one may be read from


@dataclass(frozen=True, slots=True)
class InstanceRevision:
    """The revision of a model's weights that a server holds."""

    instance: str
    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class BusyServers:
    """Servers that take new weights: `instances` turn requests away until they are done, `preparing` are next."""

    instances: tuple[str, ...] = ()
    preparing: tuple[str, ...] = ()  # long answers are better begun elsewhere
    taken: tuple[InstanceRevision, ...] = ()  # what servers were just seen to hold


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What one or more sidecars have under way at a server."""

    instance: str
    requests: int
    pieces: int  # of prompts, that the server still has to read
    answered: int = 0  # requests that it answered in the last seconds
    failed: int = 0  # and requests that ended otherwise there


@dataclass(frozen=True, slots=True)
class ServerLoads:
    """What the sender's side has under way: all of it, or what has changed since its message before this one."""

    node: str
    count: int
    loads: tuple[ServerLoad, ...] = ()
    sidecars: int = 1  # whose loads these are
    partial: bool = (
        False  # only servers with changes are named, and zeros are for those with nothing any more
    )


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of the platform's list."""

    instance: str
    service: str
    address: str  # ip:port
    zone: str
    ready: bool
    capacity: int
    models: tuple[ModelRevision, ...] = ()


@dataclass(frozen=True, slots=True)
class ServersValue:
    """The platform's list, as one core member has fetched it for all."""

    servers: tuple[ServerEntry, ...] = ()
    software: tuple[str, ...] = ()  # the version of each server's software, in the same order


@dataclass(frozen=True, slots=True)
class RolloutState:
    """A roll-out of a new version of a service (`engines/rollouts.py`)."""

    service: str
    version: str  # of the software of its servers
    over_ms: int  # from the order to the deadline
    phase: str
    share: int  # of the service's requests that the version gets, in thousandths
    number: int  # of the order: each has a higher one
    elapsed_ms: int = 0  # since the order, at least, when this was written


@dataclass(frozen=True, slots=True)
class RolloutsValue:
    """The register's value of the roll-outs, the newest of each service; written under the duty's fence."""

    sequence: int
    rollouts: tuple[RolloutState, ...] = ()
    fence: int = 0  # of the holder that wrote last


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """How requests of one route ended at one server of a service under roll-out, since the sender began to count."""

    service: str
    number: int  # of the roll-out
    is_new: bool  # was the server of the version that is brought in?
    route: str
    instance: str  # "" for all servers of the version that is there
    good: int
    failed: int
    slow: int


@dataclass(frozen=True, slots=True)
class RolloutEvidence:
    """All that one process of the data plane has counted; each message takes the place of the one before it."""

    process: str
    count: int
    answers: tuple[AnswerCounts, ...] = ()


@dataclass(frozen=True, slots=True)
class PartTokens:
    """How many tokens of a prompt part are kept from now on; 0: none."""

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class KeptParts:
    """What changed at one holder under one salt and model; `reset`: all that was known of the holder is void."""

    holder: str  # ip:port of a server or a store
    reset: bool
    salt: str
    model: str
    parts: tuple[PartTokens, ...] = ()


@dataclass(frozen=True, slots=True)
class KeptBatch:
    """Changes in the order in which they happened; a connection carries all of them, none twice."""

    entries: tuple[KeptParts, ...] = ()


@dataclass(frozen=True, slots=True)
class KeptSubscribe:
    """Ask for all that holders keep, and for every change from now on; where it `ends`, for nothing any more."""

    own_only: bool  # only of the holders that the receiver watches itself
    ends: bool = False


Message = (
    Hello
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Subscribe
    | Update
    | Heartbeat
    | ConfigurationValue
    | VersionsValue
    | DutyValue
    | MembersValue
    | BusyServers
    | ServerLoads
    | ServersValue
    | KeptBatch
    | KeptSubscribe
    | ConfigurationAmendment
    | NewestQuery
    | NewestAnswer
    | KeyLeaseRequest
    | KeyLeaseGrant
    | RolloutsValue
    | RolloutEvidence
)
