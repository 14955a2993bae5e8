"""The messages that the processes of the data plane and the control plane exchange.

Each message is a frozen dataclass with a schema of the same name in `schemas/`. Times are sent as durations in
milliseconds and never as dates, because the clocks of two machines may differ.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A proposer's ballot; ballots are ordered by round, and those of the same round by proposer name."""

    round: int = 0
    proposer: str = ""


NO_BALLOT = Ballot()
UNFOUNDED = 0  # sequence of the member set that the seeds start with
FOUNDED = 1  # sequence of the first member set that the seeds agree on; each change increases it


@dataclass(frozen=True, slots=True)
class Hello:
    """Identifies the sender; the first message on each connection, in both directions."""

    node: str
    role: str  # "dataplane" or "controlplane"
    process: str  # random, drawn at each start of the process
    zone: str
    region: str
    address: str  # ip:port at which the sender accepts connections from other processes
    incarnation: str = ""  # of the acceptor; a new one is drawn when its disk is lost
    disk: str = ""  # of a core machine; drawn when its disk is first written


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1: ask for a promise to accept no lower ballot, and for the value accepted so far."""

    call: int  # echoed in the answer
    key: str
    ballot: Ballot
    members: int = FOUNDED  # sequence of the member set that the sender uses
    disk: str = ""  # in a recovery: the disk that is being restored
    # The sender has the value of this ballot: a promise with it as the accepted ballot may omit the value.
    known: Ballot = NO_BALLOT


@dataclass(frozen=True, slots=True)
class Promise:
    """The answer to `Prepare`."""

    call: int
    key: str
    acceptor: str
    incarnation: str
    granted: bool
    promised: Ballot  # the highest ballot promised; if not granted, the ballot that prevented it
    accepted: Ballot  # NO_BALLOT if nothing was accepted
    value: bytes  # also b"" if not granted, or if `accepted` is the ballot in `Prepare.known`
    members: int = FOUNDED  # sequence of the acceptor's member set; not granted if the sender's differs


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2: accept the value with this ballot, unless this incarnation promised a higher one."""

    call: int
    key: str
    ballot: Ballot
    incarnation: str  # of the acceptor when it promised; "" if this acceptor made no promise
    value: bytes
    members: int = FOUNDED


@dataclass(frozen=True, slots=True)
class Accepted:
    """The answer to `Accept`."""

    call: int
    key: str
    acceptor: str
    incarnation: str
    granted: bool
    promised: Ballot
    members: int = FOUNDED


@dataclass(frozen=True, slots=True)
class Version:
    """The sequence of the copy of a topic that a process has."""

    topic: str
    sequence: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to topics; values in `known` are not sent again. Each message replaces the previous one."""

    known: tuple[Version, ...] = ()
    push: bool = True  # send values also whenever they change; otherwise changes are only announced
    catch_up: bool = True  # send the values that are newer than `known` now


@dataclass(frozen=True, slots=True)
class Update:
    """The newest value of a topic; a receiver keeps the value with the highest sequence."""

    topic: str
    sequence: int
    value: bytes


@dataclass(frozen=True, slots=True)
class NamedAge:
    """The minimum time in ms between the naming of a revision of a model's weights and the sending of the message."""

    model: str
    revision: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive; `known` lets the receiver send the values that the sender has missed."""

    node: str
    process: str
    count: int
    known: tuple[Version, ...] = ()  # of all topics, or of those that have just changed
    in_quorum: bool = True  # can a core member reach a quorum of the member set? True from other senders
    named: tuple[NamedAge, ...] = ()  # revisions of weights; sent by sidecars if a core member lost them


@dataclass(frozen=True, slots=True)
class TakenRevision:
    """The number of an accepted configuration and the digest of its bytes."""

    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigurationValue:
    """The register value of the configuration; `taken` lists the newest configurations, this one last."""

    sequence: int
    revision: int
    body: bytes
    taken: tuple[TakenRevision, ...] = ()
    amendment: bytes = b""  # the change from the previous value; empty if it was replaced as a whole


@dataclass(frozen=True, slots=True)
class ConfigurationAmendment:
    """Configuration `sequence` is the previous one (`sequence` - 1), amended by `body`."""

    sequence: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NewestQuery:
    """Ask for the sequence of the newest configuration that the receiver's acceptor accepted, acknowledged or not."""

    call: int  # echoed in the answer
    members: int  # sequence of the member set that the sender uses


@dataclass(frozen=True, slots=True)
class NewestAnswer:
    """The answer to `NewestQuery` by a voting acceptor of that member set; others do not answer."""

    call: int
    acceptor: str
    members: int
    sequence: int  # of the accepted configuration; 0 if there is none


@dataclass(frozen=True, slots=True)
class KeyLeaseRequest:
    """A sidecar's request for a lease on the right to accept keys; `number` is echoed in the answer."""

    number: int


@dataclass(frozen=True, slots=True)
class KeyLeaseGrant:
    """States that no configuration newer than `sequence` had been acknowledged when the request was sent."""

    number: int
    sequence: int


@dataclass(frozen=True, slots=True)
class ModelRevision:
    """A revision of a model's weights."""

    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class VersionsValue:
    """The register value of the named weights, the newest revision of each model."""

    sequence: int
    versions: tuple[ModelRevision, ...] = ()


@dataclass(frozen=True, slots=True)
class DutyValue:
    """The register value of a duty: its holder and the fencing token that its orders carry."""

    sequence: int
    owner: str  # node name
    process: str
    fence: int  # fencing token; increased with each new holder, never reused
    renewals: int  # increased by the holder at each renewal


@dataclass(frozen=True, slots=True)
class MembersValue:
    """A set of acceptors by address (ip:port); all of them vote, except one that still has to recover."""

    sequence: int
    members: tuple[str, ...] = ()
    joining: str = ""  # the member added last, while it has not yet read the others' contents
    leaving: str = ""  # the former member that it replaces, which may be read from while it is up
    joining_disk: str = ""  # the joining member's disk; the leaving one may be read from for it only


@dataclass(frozen=True, slots=True)
class InstanceRevision:
    """The revision of a model's weights that a server holds."""

    instance: str
    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class BusyServers:
    """Servers that load new weights: `instances` reject requests until they have finished, `preparing` are next."""

    instances: tuple[str, ...] = ()
    preparing: tuple[str, ...] = ()  # long answers should be started on other servers
    taken: tuple[InstanceRevision, ...] = ()  # revisions that servers were just observed to have


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The requests that one or more sidecars have in flight at a server."""

    instance: str
    requests: int
    pieces: int  # pieces of prompts that the server still has to read
    answered: int = 0  # requests that it answered in the last seconds
    failed: int = 0  # requests that ended otherwise at this server in the last seconds


@dataclass(frozen=True, slots=True)
class ServerLoads:
    """The in-flight load of the sender's sidecars: all of it, or the changes since its previous message."""

    node: str
    count: int
    loads: tuple[ServerLoad, ...] = ()
    sidecars: int = 1  # number of sidecars that these loads belong to
    partial: bool = False  # only servers with changes are listed; those without load have zeros


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server in the platform's list."""

    instance: str
    service: str
    address: str  # ip:port
    zone: str
    ready: bool
    capacity: int
    models: tuple[ModelRevision, ...] = ()


@dataclass(frozen=True, slots=True)
class ServersValue:
    """The platform's list of servers, fetched by one core member for all members."""

    servers: tuple[ServerEntry, ...] = ()
    software: tuple[str, ...] = ()  # the software version of each server, in the order of `servers`


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The state of a roll-out of a new version of a service (`engines/rollouts.py`)."""

    service: str
    version: str  # of the software of the service's servers
    over_ms: int  # time from the order to the deadline
    phase: str
    share: int  # of the service's requests that are sent to this version, in thousandths
    number: int  # of the order; each new order has a higher one
    elapsed_ms: int = 0  # minimum time since the order when this value was written


@dataclass(frozen=True, slots=True)
class RolloutsValue:
    """The register value of the roll-outs, the newest of each service; writes carry the duty's fencing token."""

    sequence: int
    rollouts: tuple[RolloutState, ...] = ()
    fence: int = 0  # fencing token of the holder that wrote last


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Results of a route's requests at a server of a service in roll-out, since the sender began to count."""

    service: str
    number: int  # of the roll-out
    is_new: bool  # does the server run the new version?
    route: str
    instance: str  # "" for all servers of the old version together
    good: int
    failed: int
    slow: int


@dataclass(frozen=True, slots=True)
class RolloutEvidence:
    """All counts of one process of the data plane; each message replaces the previous one."""

    process: str
    count: int
    answers: tuple[AnswerCounts, ...] = ()


@dataclass(frozen=True, slots=True)
class PartTokens:
    """The number of tokens of a prompt part that are cached from now on; 0 if none are."""

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class KeptParts:
    """Changes at one holder for one salt and model; `reset` invalidates all earlier information on the holder."""

    holder: str  # ip:port of a server or a store
    reset: bool
    salt: str
    model: str
    parts: tuple[PartTokens, ...] = ()


@dataclass(frozen=True, slots=True)
class KeptBatch:
    """Changes in the order in which they occurred; a connection carries each change exactly once."""

    entries: tuple[KeptParts, ...] = ()


@dataclass(frozen=True, slots=True)
class KeptSubscribe:
    """Subscribe to the cached contents of holders and all later changes; `ends` cancels the subscription."""

    own_only: bool  # only those of holders that the receiver watches itself
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
