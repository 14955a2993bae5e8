"""The words that a host and the decision module share: settings, events, actions and their enums.

All times are integer nanoseconds on the host's own clock. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000


class Outcome(Enum):
    """How an attempt or a probe ended."""

    __hash__ = object.__hash__  # members are single: Enum's own hash is a call in Python

    OK = "ok"
    ERROR = "error"  # the server answered with an error; it may have run
    REJECTED = "rejected"  # turned away unseen by the server
    TIMEOUT = "timeout"  # no answer in time; it may still run
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke while it was out
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # never left the host


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""The outcomes that prove that an attempt did not run on any server."""


class Repeat(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"  # a group of servers discards its repeats for a while
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """What discovery says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a server list event carries."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"  # complete, as last seen, perhaps stale
    FAILED = "failed"  # a call to discovery failed; the old list still holds


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request: what it is worth and how it may be repeated."""

    name: str
    aim_ns: int
    deadline_ns: int
    worth: float = 1.0
    late_share: float = 0.0
    aim_stretch: float = 0.0
    repeat: Repeat = Repeat.UNSAFE
    group: Group = Group.ALL
    memory_ns: int = 0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer of the service: its share of it and the rate that share comes to."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the host lets the module do."""

    max_attempts: int = 3
    max_open: int = 1 << 30
    cancel: bool = True
    second_copies: bool = True
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    idle_ns: int = 0
    requests_per_connection: int = 1


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures behind the four rules."""

    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    cold_share: float = 1.0
    cold_ns: int = 0
    overload_factor: float = 3.0
    fall_ns: int = NS_PER_S
    must_ask_ns: int = 0


@dataclass(frozen=True, slots=True)
class Prices:
    """What is taken off the result for each unit."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = field(default_factory=Limits)
    contract: Contract = field(default_factory=Contract)
    prices: Prices = field(default_factory=Prices)
    balancers: int = 1
    zone: str = ""
    ask_for_list: bool = False
    sized_weights: bool = False  # a server's weight tells its size
    report_fields: tuple[str, ...] = ()
    over_share_worth: float = 1.0
    resolution_ns: int = NS_PER_MS
    marks_retries: bool = False

    def __post_init__(self) -> None:
        """Refuse settings that contradict themselves."""

        def need(holds: bool, name: str) -> None:
            if not holds:
                raise ValueError(f"setting {name} is out of range")

        need(len({c.name for c in self.classes}) == len(self.classes), "classes.name")
        for c in self.classes:
            need(c.aim_ns > 0, "classes.aim_ns")
            need(c.deadline_ns >= c.aim_ns, "classes.deadline_ns")
            need(c.worth >= 0, "classes.worth")
            need(0 <= c.late_share <= 1, "classes.late_share")
            need(c.memory_ns >= 0, "classes.memory_ns")
        need(0 < self.contract.cold_share <= 1, "contract.cold_share")
        need(self.contract.cold_ns >= 0, "contract.cold_ns")
        need(self.contract.overload_factor > 0, "contract.overload_factor")
        need(self.limits.max_attempts >= 1, "limits.max_attempts")
        need(self.balancers >= 1, "balancers")
        need(self.resolution_ns > 0, "resolution_ns")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of a server list."""

    server: str
    state: ServerState = ServerState.READY
    zone: str = ""
    cell: int = -1
    weight: float = 1.0
    started_ns: int = 0  # 0: long ago


@dataclass(frozen=True, slots=True)
class ServerList:
    """Event: what discovery says."""

    kind: ListKind
    servers: tuple[ServerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """Event: a client request; it is owed exactly one final answer before `give_up_ns`."""

    id: str
    request_class: str
    give_up_ns: int
    key: str | None = None
    tenant: str | None = None
    work_hint_ns: int = 0
    retry: bool = False
    write: bool = False
    long: bool = False  # its body is passed on while it comes; `AttemptWritten` follows


@dataclass(frozen=True, slots=True)
class AttemptWritten:
    """Event: the last byte of a long request is out now; its work and the client's patience begin here."""

    id: str
    attempt: int
    give_up_ns: int


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Event: an answer that is passed on while it comes has begun; the attempt is the client's from now on."""

    id: str
    attempt: int
    server: str
    latency_ns: int = 0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt ended; `final` tells that the request is over."""

    id: str
    attempt: int
    server: str
    outcome: Outcome
    final: bool = False
    latency_ns: int = 0
    report: dict[str, float] | None = None
    kept: bool = True  # can the host send the request again?


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Event: the client left; nothing is owed any more."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer set with `SetTimer` came due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """Event: a probe ended."""

    server: str
    outcome: Outcome
    latency_ns: int = 0
    report: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: another balancer sent some bytes."""

    sender: int
    data: bytes = b""


Event = (
    ServerList
    | Request
    | AttemptWritten
    | AttemptStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Action: start an attempt; attempts of a request count up from 0."""

    id: str
    server: str
    timeout_ns: int = 0  # 0: until the client gives up
    begin_by_ns: int = 0  # from this clock time on its first byte must not go out any more; 0: no such time


@dataclass(frozen=True, slots=True)
class Reject:
    """Action: final answer; tells the client that a retry does no harm."""

    id: str
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: final answer; promises nothing about the effect."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: ask for a `TimerFired` after a delay."""

    token: int
    delay_ns: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask a server for its state."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Action: close the idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class PeerSend:
    """Action: send bytes to one peer, or to all where `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: have list changes pushed from now on."""

    wanted: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Action: ask for the complete list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Action: one plain line for the on-call staff."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Probe | CloseIdle | PeerSend | Subscribe | FetchList | Log
