"""What the decision module keeps of a request and its attempts, and its hashing: data, no decision.

This file owns these records' forms. It must never choose, count or time anything.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from iristrack import interface as mi
from iristrack.limits.cold_start import ColdBudget
from iristrack.limits.load_estimate import LoadEstimate
from iristrack.placement.ranking import hash64

INITIAL_BACKOFF_NS = mi.NS_PER_S // 2  # of an ejection
IN_FLIGHT, MAYBE_RAN, BROKE, DID_NOT_RUN = range(4)  # who broke may have run as well


class EjectionState:
    """What is held against a server, or against it for one class: may it get requests, or only trials?"""

    __slots__ = ("backoff_ns", "ejected", "errors", "trial_at", "trials_needed")

    def __init__(self) -> None:
        """Nothing is."""
        self.ejected = False
        self.errors = 0.0  # recent ones
        self.trials_needed = self.trial_at = 0
        self.backoff_ns = INITIAL_BACKOFF_NS


class ClassRecord:
    """What was learned of a class: latencies in ns, shares, and its attempts out."""

    __slots__ = (
        "base",
        "dev",
        "faulty",
        "low",
        "mean",
        "outstanding",
        "spec",
        "window_count",
        "window_min",
        "window_sum",
    )

    def __init__(self, spec: mi.RequestClass, target: float, faulty: float) -> None:
        """Nothing is learned: `target` is the share of the aim that an answer is taken to need."""
        self.spec = spec
        self.mean = spec.aim_ns * target  # mean latency of good answers, and its mean deviation
        self.dev = spec.aim_ns * target / 4
        self.base = float(spec.aim_ns)  # mean latency when uncrowded: the lowest window's, slowly forgotten
        self.low = spec.aim_ns  # the fastest answer: what no crowd changes, such as waits on others
        self.window_min = spec.aim_ns  # and that of this window
        self.faulty = faulty  # the share of attempts that end as errors at servers in use
        self.window_count = self.window_sum = 0
        self.outstanding: deque = deque()  # (request, attempt), oldest first


class Server:
    """A pool server as the module knows it: counts, what is held against it, what it bears."""

    __slots__ = (
        "budget", "cell", "class_ejections", "ejection", "failed_connects", "hash", "id", "inflight", "last_ok", "limiter",
        "load_estimate", "overdue_streak", "ready", "started", "unreachable", "warm_at", "weight", "zone", "zone_state",
    )  # fmt: skip

    def __init__(self, entry: mi.ServerEntry, limiter: Any) -> None:
        """`room` is its own, or the one for all servers."""
        self.id = entry.server
        self.hash = hash64(entry.server)
        self.limiter = limiter
        self.ready = False
        self.inflight = 0  # our attempts out, and failed ones that still count
        self.started = -1  # forget() follows, as each entry tells of another start

    def add_inflight(self, count: int, counted: bool = True) -> None:
        """So many more of our attempts are out there."""
        self.inflight += count
        self.limiter.inflight += count * counted

    def reset(self, tokens: float, load_bound: float, wait_ns: float) -> None:
        """Start afresh, as for a process that just started."""
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
        """Is it, or its whole zone, out of use but for trials?"""
        return self.ejection.ejected or self.zone_state.ejection.ejected

    def ejections(self, name: str) -> list[EjectionState]:
        """What keeps requests of this class from it, but for trials."""
        zone_ejection = self.zone_state.ejection
        if not (self.ejection.ejected or self.class_ejections or zone_ejection.ejected):
            return []
        return [
            s
            for s in (self.ejection, self.class_ejections.get(name), zone_ejection)
            if s is not None and s.ejected
        ]


class Attempt:
    """One attempt: at which server, since when, and how it stands."""

    __slots__ = ("counted", "overdue", "sent_at", "server", "state")

    def __init__(self, server: Any, sent_at: int, counted: bool) -> None:
        """It is out; `in_room`: does it take of what the sidecar may have in flight?"""
        self.counted = counted
        self.server = server
        self.sent_at = sent_at
        self.state = IN_FLIGHT
        self.overdue = False


class OpenRequest:
    """A request that this balancer still owes an answer, or that still has attempts out."""

    __slots__ = (
        "attempts", "cls", "decide_by", "done", "event", "first_asked_at", "key_part", "streaming", "useful_until", "value",
    )  # fmt: skip

    def __init__(
        self, event: mi.Request, cls: Any, first_asked_at: int, useful_until: int, value: float
    ) -> None:
        """Nothing is sent yet."""
        self.event = event
        self.cls = cls
        self.first_asked_at = first_asked_at  # when the client first asked, if this is its retry
        self.useful_until = useful_until
        self.decide_by = event.give_up_ns  # held and never sent until then, it is given up
        self.value = value  # expected worth for the work, to compare with other requests
        self.key_part = 0  # of its key
        self.attempts: list[Attempt] = []
        self.done = self.streaming = False

    @property
    def in_flight(self) -> bool:
        """Is an attempt out? One at most is: the next is sent when the last has ended."""
        return bool(self.attempts) and self.attempts[-1].state == IN_FLIGHT


def export_server(server: Any, now: int) -> dict:
    """What `recall` needs of a server, as plain values; a limit is told in first guesses, times as what is left."""
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
    """Put back what `learned_of` told of a server."""
    if server.limiter.servers == 1:
        server.limiter.limit = max(min_limit, server.limiter.initial_limit * known["limit"])
    server.unreachable, server.overdue_streak = known["down"], known["silent"]
    server.failed_connects = known["failed_connects"]
    for name, (ejected, errors, trials_needed, left, backoff_ns) in known["suspicions"].items():
        ejection = server.class_ejections.setdefault(name, EjectionState()) if name else server.ejection
        ejection.ejected, ejection.errors, ejection.trials_needed = ejected, errors, trials_needed
        ejection.trial_at, ejection.backoff_ns = now + left, backoff_ns
