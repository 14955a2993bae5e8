"""Interface between a host and the balancer: settings, events, actions and their enums.

All times are integer nanoseconds on the host's own clock. Nothing here makes a decision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000


class Outcome(Enum):
    """How an attempt or a probe ended."""

    __hash__ = object.__hash__  # members are singletons, and Enum's own hash is a slow Python call

    OK = "ok"
    ERROR = "error"  # the server answered with an error; the request may have run
    REJECTED = "rejected"  # the server rejected it without processing it
    TIMEOUT = "timeout"  # no answer in time; the request may still run
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke while the attempt was in flight
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # nothing was sent


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes that prove that an attempt did not run on any server."""


class Repeat(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"  # a group of servers discards repeats for a while, by the idempotency key
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """State of a server in discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Content of a server list event."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"  # complete, but from a cache and perhaps stale
    FAILED = "failed"  # a call to discovery failed; the previous list stays valid


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency aim, its worth and how it may be repeated."""

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
    """A customer of the service: its share of the capacity and that share as a rate."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of what the host allows the balancer to do."""

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
    """Parameters of the four rules."""

    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    cold_share: float = 1.0
    cold_ns: int = 0
    overload_factor: float = 3.0
    fall_ns: int = NS_PER_S
    must_ask_ns: int = 0


@dataclass(frozen=True, slots=True)
class Prices:
    """Deduction from the result per unit."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer, fixed at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = field(default_factory=Limits)
    contract: Contract = field(default_factory=Contract)
    prices: Prices = field(default_factory=Prices)
    balancers: int = 1
    zone: str = ""
    ask_for_list: bool = False
    sized_weights: bool = False  # a server's weight gives its size
    report_fields: tuple[str, ...] = ()
    over_share_worth: float = 1.0
    resolution_ns: int = NS_PER_MS
    marks_retries: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError for settings out of range."""

        def require(valid: bool, name: str) -> None:
            if not valid:
                raise ValueError(f"setting {name} is out of range")

        require(len({c.name for c in self.classes}) == len(self.classes), "classes.name")
        for c in self.classes:
            require(c.aim_ns > 0, "classes.aim_ns")
            require(c.deadline_ns >= c.aim_ns, "classes.deadline_ns")
            require(c.worth >= 0, "classes.worth")
            require(0 <= c.late_share <= 1, "classes.late_share")
            require(c.memory_ns >= 0, "classes.memory_ns")
        require(0 < self.contract.cold_share <= 1, "contract.cold_share")
        require(self.contract.cold_ns >= 0, "contract.cold_ns")
        require(self.contract.overload_factor > 0, "contract.overload_factor")
        require(self.limits.max_attempts >= 1, "limits.max_attempts")
        require(self.balancers >= 1, "balancers")
        require(self.resolution_ns > 0, "resolution_ns")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of a server list."""

    server: str
    state: ServerState = ServerState.READY
    zone: str = ""
    cell: int = -1
    weight: float = 1.0
    started_ns: int = 0  # 0: unknown, long ago


@dataclass(frozen=True, slots=True)
class ServerList:
    """Event: a server list, or a part of one, from discovery."""

    kind: ListKind
    servers: tuple[ServerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """Event: a client request, which must get exactly one final answer before `give_up_ns`."""

    id: str
    request_class: str
    give_up_ns: int
    key: str | None = None
    tenant: str | None = None
    work_hint_ns: int = 0
    retry: bool = False
    write: bool = False
    long: bool = False  # the body is relayed as it arrives; `AttemptWritten` follows


@dataclass(frozen=True, slots=True)
class AttemptWritten:
    """Event: the last byte of a long request was sent; its work and the client's timeout start here."""

    id: str
    attempt: int
    give_up_ns: int


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Event: an answer that is relayed as it arrives has begun, so that no other attempt can follow."""

    id: str
    attempt: int
    server: str
    latency_ns: int = 0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt ended; `final`: the request has its final answer."""

    id: str
    attempt: int
    server: str
    outcome: Outcome
    final: bool = False
    latency_ns: int = 0
    report: dict[str, float] | None = None
    kept: bool = True  # whether the host can send the request again


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Event: the client left and no answer is needed any more."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer set with `SetTimer` expired."""

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
    """Event: another balancer sent a message."""

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
    """Action: start an attempt; the attempts of a request are numbered from 0."""

    id: str
    server: str
    timeout_ns: int = 0  # 0: until the client gives up
    begin_by_ns: int = 0  # its first byte must be sent before this time; 0: no bound


@dataclass(frozen=True, slots=True)
class Reject:
    """Action: final answer that tells the client that a retry is safe."""

    id: str
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: final answer that leaves open whether the request took effect."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: request a `TimerFired` event after a delay."""

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
    """Action: send a message to one peer, or to all if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: subscribe to changes of the server list."""

    wanted: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Action: fetch the complete server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Action: log one line for the operators."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Probe | CloseIdle | PeerSend | Subscribe | FetchList | Log
