"""What the decision module keeps of a request and its attempts, and its hashing: data, no decision.

This file owns these records' forms. It must never choose, count or time anything.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from iristrack import interface as mi
from iristrack.limits.cold_start import ColdBudget
from iristrack.limits.load_estimate import Crowd
from iristrack.placement.ranking import hash64

FIRST_BACKOFF_NS = mi.NS_PER_S // 2  # of an ejection
OUT, MAYBE_RAN, BROKE, DID_NOT_RUN = range(4)  # who broke may have run as well


class Suspicion:
    """What is held against a server, or against it for one class: may it get requests, or only trials?"""

    __slots__ = ("backoff", "ejected", "errors", "needed", "out_until")

    def __init__(self) -> None:
        """Nothing is."""
        self.ejected = False
        self.errors = 0.0  # recent ones
        self.needed = self.out_until = 0
        self.backoff = FIRST_BACKOFF_NS


class ClassRecord:
    """What was learned of a class: latencies in ns, shares, and its attempts out."""

    __slots__ = ("base", "dev", "faulty", "least", "low", "mean", "outstanding", "seen", "spec", "total")

    def __init__(self, spec: mi.RequestClass, target: float, faulty: float) -> None:
        """Nothing is learned: `target` is the share of the aim that an answer is taken to need."""
        self.spec = spec
        self.mean = spec.aim_ns * target  # mean latency of good answers, and its mean deviation
        self.dev = spec.aim_ns * target / 4
        self.base = float(spec.aim_ns)  # mean latency when uncrowded: the lowest window's, slowly forgotten
        self.low = spec.aim_ns  # the fastest answer: what no crowd changes, such as waits on others
        self.least = spec.aim_ns  # and that of this window
        self.faulty = faulty  # the share of attempts that end as errors at servers in use
        self.seen = self.total = 0
        self.outstanding: deque = deque()  # (request, attempt), oldest first


class Server:
    """A pool server as the module knows it: counts, what is held against it, what it bears."""

    __slots__ = (
        "area", "budget", "by_class", "cell", "crowd", "down", "failed_connects", "hash", "id", "inflight", "last_ok",
        "ready", "room", "silent", "started", "warm_at", "weight", "whole", "zone",
    )  # fmt: skip

    def __init__(self, entry: mi.ServerEntry, room: Any) -> None:
        """`room` is its own, or the one for all servers."""
        self.id = entry.server
        self.hash = hash64(entry.server)
        self.room = room
        self.ready = False
        self.inflight = 0  # our attempts out, and failed ones that still count
        self.started = -1  # forget() follows, as each entry tells of another start

    def count(self, by: int, in_room: bool = True) -> None:
        """So many more of our attempts are out there."""
        self.inflight += by
        self.room.inflight += by * in_room

    def forget(self, tokens: float, held: float, wait_ns: float) -> None:
        """Start afresh, as for a process that just started."""
        if self.room.servers == 1:
            self.room.limit, self.room.rest_until = self.room.start, 0
        self.down = False
        self.whole = Suspicion()
        self.by_class: dict[str, Suspicion] = {}
        self.silent = self.failed_connects = self.last_ok = 0
        self.budget = ColdBudget(tokens)
        self.crowd = Crowd(held * self.weight, wait_ns)

    @property
    def ejected(self) -> bool:
        """Is it, or its whole zone, out of use but for trials?"""
        return self.whole.ejected or self.area.suspicion.ejected

    def ejections(self, name: str) -> list[Suspicion]:
        """What keeps requests of this class from it, but for trials."""
        area = self.area.suspicion
        if not (self.whole.ejected or self.by_class or area.ejected):
            return []
        return [s for s in (self.whole, self.by_class.get(name), area) if s is not None and s.ejected]


class Attempt:
    """One attempt: at which server, since when, and how it stands."""

    __slots__ = ("in_room", "overdue", "sent", "server", "state")

    def __init__(self, server: Any, sent: int, in_room: bool) -> None:
        """It is out; `in_room`: does it take of what the sidecar may have in flight?"""
        self.in_room = in_room
        self.server = server
        self.sent = sent
        self.state = OUT
        self.overdue = False


class OpenRequest:
    """A request that this balancer still owes an answer, or that still has attempts out."""

    __slots__ = (
        "attempts", "born", "cls", "decide_by", "done", "event", "part", "streaming", "useful_until", "value",
    )  # fmt: skip

    def __init__(self, event: mi.Request, cls: Any, born: int, useful_until: int, value: float) -> None:
        """Nothing is sent yet."""
        self.event = event
        self.cls = cls
        self.born = born  # when the client first asked, if this is its retry
        self.useful_until = useful_until
        self.decide_by = event.give_up_ns  # held and never sent until then, it is given up
        self.value = value  # expected worth for the work, to compare with other requests
        self.part = 0  # of its key
        self.attempts: list[Attempt] = []
        self.done = self.streaming = False

    @property
    def out(self) -> bool:
        """Is an attempt out? One at most is: the next is sent when the last has ended."""
        return bool(self.attempts) and self.attempts[-1].state == OUT


def learned_of(server: Any, now: int) -> dict:
    """What `recall` needs of a server, as plain values; a limit is told in first guesses, times as what is left."""
    suspicions = {
        name: [s.ejected, s.errors, s.needed, max(0, s.out_until - now), s.backoff]
        for name, s in ({"": server.whole} | server.by_class).items()
        if s.ejected or s.errors
    }
    return {
        "started": server.started,
        "limit": server.room.limit / server.room.start if server.room.servers == 1 else 1.0,
        "down": server.down,
        "silent": server.silent,
        "failed_connects": server.failed_connects,
        "suspicions": suspicions,
    }


def recall(server: Any, now: int, known: dict, least_limit: float) -> None:
    """Put back what `learned_of` told of a server."""
    if server.room.servers == 1:
        server.room.limit = max(least_limit, server.room.start * known["limit"])
    server.down, server.silent = known["down"], known["silent"]
    server.failed_connects = known["failed_connects"]
    for name, (ejected, errors, needed, left, backoff) in known["suspicions"].items():
        held = server.by_class.setdefault(name, Suspicion()) if name else server.whole
        held.ejected, held.errors, held.needed = ejected, errors, needed
        held.out_until, held.backoff = now + left, backoff
