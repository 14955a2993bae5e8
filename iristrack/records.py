"""Records of servers, classes, requests and attempts that the balancer works on.

This file defines the data only. It must never choose, count or time anything.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from iristrack import interface as mi
from iristrack.limits.cold_start import ColdBudget
from iristrack.limits.load_estimate import LoadEstimate
from iristrack.placement.ranking import hash64

INITIAL_BACKOFF_NS = mi.NS_PER_S // 2  # first backoff of an ejection
IN_FLIGHT, MAYBE_RAN, BROKE, DID_NOT_RUN = range(4)  # states of an attempt; BROKE may have run as well


class EjectionState:
    """Ejection of a server, a zone or one class at a server; an ejected one gets trials only."""

    __slots__ = ("backoff_ns", "ejected", "errors", "trial_at", "trials_needed")

    def __init__(self) -> None:
        """Start without errors, not ejected."""
        self.ejected = False
        self.errors = 0.0  # recent errors, decaying
        self.trials_needed = self.trial_at = 0
        self.backoff_ns = INITIAL_BACKOFF_NS


class ClassRecord:
    """Learned latencies (ns) and shares of a request class, and its attempts in flight."""

    __slots__ = (
        "base", "dev", "faulty", "low", "mean", "outstanding", "spec", "window_count", "window_min", "window_sum",
    )  # fmt: skip

    def __init__(self, spec: mi.RequestClass, target: float, faulty: float) -> None:
        """`target` is the initial latency as a share of the aim, `faulty` the initial share of errors."""
        self.spec = spec
        self.mean = spec.aim_ns * target  # mean latency of good answers
        self.dev = spec.aim_ns * target / 4  # mean deviation of that latency
        self.base = float(spec.aim_ns)  # uncrowded mean latency: the lowest window mean, expiring slowly
        self.low = spec.aim_ns  # fastest answer: the part unaffected by load, such as calls to backends
        self.window_min = spec.aim_ns  # fastest answer of the current window
        self.faulty = faulty  # share of attempts that end as errors at servers in use
        self.window_count = self.window_sum = 0
        self.outstanding: deque = deque()  # (request, attempt), oldest first


class Server:
    """A pool server: requests in flight, ejections, limits and budgets."""

    __slots__ = (
        "budget", "cell", "class_ejections", "ejection", "failed_connects", "hash", "id", "inflight", "last_ok",
        "limiter", "load_estimate", "overdue_streak", "ready", "started", "unreachable", "warm_at", "weight", "zone",
        "zone_state",
    )  # fmt: skip

    def __init__(self, entry: mi.ServerEntry, limiter: Any) -> None:
        """`limiter` belongs to this server or is shared by all servers."""
        self.id = entry.server
        self.hash = hash64(entry.server)
        self.limiter = limiter
        self.ready = False
        self.inflight = 0  # our attempts in flight, and failed ones that still count
        self.started = -1  # no entry's value, so that the first list entry resets the server

    def add_inflight(self, count: int, counted: bool = True) -> None:
        """Add to the attempts in flight, and to the limiter's if `counted`."""
        self.inflight += count
        self.limiter.inflight += count * counted

    def reset(self, tokens: float, load_bound: float, wait_ns: float) -> None:
        """Reset to the state of a server process that has just started."""
        if self.limiter.servers == 1:
            self.limiter.limit, self.limiter.rest_until = self.limiter.initial_limit, 0
        self.unreachable = False
        self.ejection = EjectionState()
        self.class_ejections: dict[str, EjectionState] = {}
        self.overdue_streak = self.failed_connects = self.last_ok = 0
        self.budget = ColdBudget(tokens)
        self.load_estimate = LoadEstimate(load_bound * self.weight, wait_ns)

    @property
    def ejected(self) -> bool:
        """Whether the server or its zone is ejected, so that it gets trials only."""
        return self.ejection.ejected or self.zone_state.ejection.ejected

    def ejections(self, name: str) -> list[EjectionState]:
        """Return the active ejections that apply to a class at this server."""
        zone_ejection = self.zone_state.ejection
        if not (self.ejection.ejected or self.class_ejections or zone_ejection.ejected):
            return []
        return [
            s
            for s in (self.ejection, self.class_ejections.get(name), zone_ejection)
            if s is not None and s.ejected
        ]


class Attempt:
    """One attempt of a request: server, time of sending and state."""

    __slots__ = ("counted", "overdue", "sent_at", "server", "state")

    def __init__(self, server: Any, sent_at: int, counted: bool) -> None:
        """Start in flight; `counted` tells whether it counts against the limiter."""
        self.counted = counted
        self.server = server
        self.sent_at = sent_at
        self.state = IN_FLIGHT
        self.overdue = False


class OpenRequest:
    """A request without a final answer yet, or with an attempt in flight."""

    __slots__ = (
        "attempts", "cls", "decide_by", "done", "event", "first_asked_at", "key_part", "streaming", "useful_until",
        "value",
    )  # fmt: skip

    def __init__(
        self, event: mi.Request, cls: Any, first_asked_at: int, useful_until: int, value: float
    ) -> None:
        """Start without attempts."""
        self.event = event
        self.cls = cls
        self.first_asked_at = first_asked_at  # time of the client's first try, if this is its retry
        self.useful_until = useful_until
        self.decide_by = event.give_up_ns  # a queued request that was never sent is rejected then
        self.value = value  # expected worth per unit of work, to rank queued requests
        self.key_part = 0  # part of a hot key that was split
        self.attempts: list[Attempt] = []
        self.done = self.streaming = False

    @property
    def in_flight(self) -> bool:
        """Whether an attempt is in flight. At most one is: the next is sent when the last has ended."""
        return bool(self.attempts) and self.attempts[-1].state == IN_FLIGHT


def export_server(server: Any, now: int) -> dict:
    """Return a server's state for a snapshot: the limit relative to its initial value, times as time left."""
    suspicions = {
        name: [s.ejected, s.errors, s.trials_needed, max(0, s.trial_at - now), s.backoff_ns]
        for name, s in ({"": server.ejection} | server.class_ejections).items()
        if s.ejected or s.errors
    }
    return {
        "started": server.started,
        "limit": server.limiter.limit / server.limiter.initial_limit if server.limiter.servers == 1 else 1.0,
        "down": server.unreachable,
        "silent": server.overdue_streak,
        "failed_connects": server.failed_connects,
        "suspicions": suspicions,
    }


def restore_server(server: Any, now: int, known: dict, min_limit: float) -> None:
    """Restore a server's state from what `export_server` returned."""
    if server.limiter.servers == 1:
        server.limiter.limit = max(min_limit, server.limiter.initial_limit * known["limit"])
    server.unreachable, server.overdue_streak = known["down"], known["silent"]
    server.failed_connects = known["failed_connects"]
    for name, (ejected, errors, trials_needed, left, backoff_ns) in known["suspicions"].items():
        ejection = server.class_ejections.setdefault(name, EjectionState()) if name else server.ejection
        ejection.ejected, ejection.errors, ejection.trials_needed = ejected, errors, trials_needed
        ejection.trial_at, ejection.backoff_ns = now + left, backoff_ns
