"""Every decision of the balancer. Read `iristrack/interface.py` first: it names settings, events, actions.

The ordinary path (docs/design.md): a key's hash ranks the ready servers, the first two are its candidates,
and the one with fewer of this balancer's own requests in flight gets the request.
All else here is an exception to that path, and each says what it guards against.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque

from iristrack import interface as mi
from iristrack.limits.cold_start import ColdPace
from iristrack.limits.concurrency import LEAST_LIMIT, Room
from iristrack.placement.ranking import hash64, mix64, rank_value
from iristrack.records import (
    BROKE,
    DID_NOT_RUN,
    FIRST_BACKOFF_NS,
    MAYBE_RAN,
    OUT,
    learned_of,
    recall,
)
from iristrack.records import Attempt as _Attempt
from iristrack.records import ClassRecord as _Class
from iristrack.records import OpenRequest as _Open
from iristrack.records import Server as _Server
from iristrack.records import Suspicion as _Suspicion
from iristrack.zones.outage import Zones

TICKS_PER_AIM = 16  # housekeeping runs so many times within the shortest aim
TARGET = 0.5  # most of its aim that an answer should take on average: leaves as much again for its spread
CROWDED = 2.0  # and most of what a crowd can slow: there as many requests wait as are worked on
START_HELD = 12.0  # first guess of how many requests a server can hold, from all balancers
HELD_BY_ALL = 6.0  # and so many are let in where its reports tell of all of them
UNCROWDED = 1.3  # below so many times its uncrowded latency a class is taken to be uncrowded
BASE_WINDOW = 64  # answers whose mean counts as one look at a class's latency
ONE_LOOK = 32  # answers that make a look at the fleet's pace
SHORT_LOOK = 8  # once they took over a second
FIRST_WINDOW = 16  # the first look is a shorter one
BASE_CREEP = 1.02  # an old low is forgotten by so much a window
LIMIT_GAIN = 0.5  # how fast a server's limit follows the answers
FINE = 0.75  # most of its aim that a cold server's answer may take and count as a good one
WIDEN = 0.5  # how full a server past a key's pair may be to take it
ERRORS_OUT = 2.0  # recent errors that eject a server, where errors are rare
ERROR_FADE = 0.8  # what is left of that count after each good answer
FEWEST_FAULTY = 0.02  # the share of errors is taken to be no lower,
LEAST_ERROR = 0.5  # and an error to count no less, where that share is high
FAILED_CONNECTS = 2  # so many in a row eject a server that has answered a moment ago
SILENT_CHANCE = 0.001  # a row of unanswered overdue attempts this unlikely on a sound server ejects it
TRIALS_BACK = 3  # good trials that bring a server back after errors
FEWEST_OVERDUE = 0.02  # the share of overdue attempts is taken to be no lower
FEWEST_LOST = 0.01  # the share of attempts without any answer is taken to be no lower,
LOSSY = 0.03  # and from this one on an attempt far overdue is given up in time for another,
LOST_PATIENCE = 1.5  # after so many times the wait that loss explains better than an exponential latency does
MOST_OUT = 0.5  # share of the ready servers that may be ejected on suspicion
LAST_BACKOFF_NS = 8 * mi.NS_PER_S
FEWEST_WARM = 0.25  # share of the servers in use that must be warm to learn what one bears
IDLE_KEPT_NS = mi.NS_PER_S // 2  # a connection that is used less often than this is closed when idle
RECENT = 0.9  # what a second leaves of the counts of tenants' requests
RETRY_SHARE = 0.2  # extra attempts earned by each request
RETRY_BURST = 10.0
HOT_SHARE = 0.25  # a key may bring a pair so much of a server's even share of the requests before it is split
COUNTED_REQUESTS = 512  # how popular a key is shows in about so many requests
CACHED_RANKINGS = 8192
REMEMBERED_FAILURES = 4096
MOST_CLASSES = 64
SPARE_ENTRIES = 64  # places a server's waiting list may hold beyond twice those that wait
COUNTS_ON = frozenset({mi.Outcome.ERROR, mi.Outcome.RESET, mi.Outcome.TIMEOUT})  # as in flight for a while
OVERDRIVEN = frozenset(
    {mi.Outcome.REJECTED, mi.Outcome.TIMEOUT}
)  # what tells that a cold server got too much
BREAKS = frozenset({mi.Outcome.RESET, mi.Outcome.TIMEOUT})  # what may be the connection's fault alone
LEARNED = (
    "overdue_share",
    "lost_share",
    "retries",
    "usual",
    "slowdown",
    "warm_rate",
)  # what a snapshot keeps
LEARNED_OF_CLASS = ("mean", "dev", "base", "low", "faulty")
RESUBSCRIBE_DELAY_NS = (
    mi.NS_PER_S // 2,
    mi.NS_PER_S * 11 // 10,
)  # after a failed call to discovery, by chance
TICK, ASK_AGAIN = range(2)  # tokens of timers


class Balancer:
    """One sidecar's balancer: feed it the clock and an event, carry out the actions it returns."""

    def __init__(self, settings: mi.Settings, seed: int, learned: dict | None = None) -> None:
        """`seed` is the only source of randomness; `learned` a snapshot that `recovery.aging` has weighed."""
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {c.name: _Class(c, TARGET, FEWEST_FAULTY) for c in settings.classes}
        aims = [c.aim_ns for c in settings.classes] or [mi.NS_PER_S]
        self.longest_aim, self.shortest_aim = max(aims), min(aims)
        self.tick_ns = max(settings.resolution_ns, min(aims) // TICKS_PER_AIM)
        self.start_limit = START_HELD / settings.balancers
        # Guards against very many balancers: where each has less than one request at a server, none learns
        # that server's limit in time, but it does learn from all its answers how much the fleet takes.
        self.shared = Room(1.0) if self.start_limit < 1 else None
        # Guards servers against a connection from each of many, unless a new one costs more than to keep it.
        dear = 100 * settings.prices.handshake > settings.prices.connection * settings.balancers
        self.closes_idle = self.shared is not None and not dear
        self.servers: dict[str, _Server] = {}
        self.ready: list[_Server] = []
        self.rankings: dict[tuple[str, int], list[_Server]] = {}
        self.popular: dict[str, int] = {}  # recent requests of each key
        self.counted = 0
        self.requests: dict[str, _Open] = {}
        self.held: dict[str, _Open] = {}
        self.sequence = 0
        self.penalties: deque[tuple[int, _Server]] = deque()
        self.failures: dict[tuple, int] = {}  # client retries are matched with their first try
        self.retries = RETRY_BURST
        self.overdue_share = FEWEST_OVERDUE
        self.lost_share = FEWEST_LOST
        self.ticking = False
        self.actions: list[mi.Action] = []
        self.started_at: int | None = None
        self.arrivals = 0
        self.shares = {t.name: t.share for t in settings.tenants}
        self.asked = dict.fromkeys(self.shares, 1.0)  # recent requests of each tenant
        self.warm_answers = self.second_ends = 0
        self.judged = self.judged_from = self.busy_ns = 0
        self.slowness = 0.0  # sum of the judged latencies, each against its class's base
        self.zones = Zones()
        self.pace = ColdPace(self.shared is not None, settings.contract)  # what cold servers bear
        self.usual = 0.0  # our requests in flight a server when uncrowded
        self.slowdown = 1.0  # how much slower than the base answers are when no more than that are
        self.warm_rate: float | None = None  # answers a second that a warm server gives us
        self.handlers = {
            mi.Request: self._on_request,
            mi.AttemptEnded: self._on_ended,
            mi.AttemptWritten: self._on_written,
            mi.AttemptStarted: self._on_started,
            mi.ClientGone: self._on_gone,
            mi.ServerList: self._on_list,
            mi.TimerFired: self._on_timer,
        }

        self.known = learned["servers"] if learned else {}  # until discovery has told its whole list
        if learned:
            self.__dict__.update(learned["balancer"])
            self.asked |= learned["tenants"]
            self.popular, self.counted = dict(learned["popular"]), sum(learned["popular"].values())
            for name, values in learned["classes"].items():
                for field, value in values.items():
                    setattr(self.classes[name], field, value)

    def snapshot(self, now: int) -> dict:
        """What was learned, as plain values: no request, timer or attempt is among them."""
        classes = {n: {f: getattr(c, f) for f in LEARNED_OF_CLASS} for n, c in self.classes.items()}
        return {
            "balancer": {name: getattr(self, name) for name in LEARNED},
            "tenants": dict(self.asked),
            "popular": dict(self.popular),
            "classes": classes,
            "servers": {s.id: learned_of(s, now) for s in self.servers.values()},
        }

    def ejected_server_count(self) -> int:
        """How many of the listed servers get no class's requests now, but for trials."""
        return sum(1 for s in self.ready if all(s.ejections(name) for name in self.classes))

    def handle(self, now: int, event: mi.Event) -> list[mi.Action]:
        """Take one event at clock `now`; the actions are to be carried out in order."""
        self.actions = actions = []
        if self.started_at is None:
            self.started_at = self.judged_from = now
            self.second_ends = now + mi.NS_PER_S
            if self.settings.ask_for_list:
                actions.append(mi.Subscribe())
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        if (self.requests or self.penalties) and not self.ticking:
            self.ticking = True
            actions.append(mi.SetTimer(TICK, self.tick_ns))
        return actions

    # ---- the server list

    def _on_list(self, now: int, event: mi.ServerList) -> None:
        if event.kind is mi.ListKind.FAILED:
            if self.settings.ask_for_list:
                # Out of step: calls of a fleet that failed together would fail together again.
                self.actions.append(mi.SetTimer(ASK_AGAIN, int(self.random.uniform(*RESUBSCRIBE_DELAY_NS))))
            return
        if event.kind is not mi.ListKind.DELTA:
            named = {entry.server for entry in event.servers}
            for server in self.servers.values():
                if server.id not in named:
                    server.ready = False
        for entry in event.servers:
            server = self.servers.get(entry.server)
            if server is None:
                server = _Server(entry, self.shared or Room(self.start_limit))
                self.servers[entry.server] = server
            server.weight = max(entry.weight, 0.01) if self.settings.sized_weights else 1.0
            if entry.started_ns != server.started:
                server.forget(self.random.random(), HELD_BY_ALL, TARGET * self.shortest_aim)
                server.started = entry.started_ns
                known = self.known.get(entry.server)
                if known is not None and known["started"] == entry.started_ns:
                    recall(server, now, known, LEAST_LIMIT)
            server.ready = entry.state is mi.ServerState.READY
            server.zone, server.area = entry.zone, self.zones.zone(entry.zone)
            server.cell = entry.cell
            cold_ns = self.settings.contract.cold_ns
            server.warm_at = entry.started_ns + cold_ns if entry.started_ns and cold_ns else 0
        if event.kind is mi.ListKind.FULL:
            self.known = {}
        for name in [s.id for s in self.servers.values() if not s.ready and not s.inflight]:
            del self.servers[name]
        self.ready = sorted((s for s in self.servers.values() if s.ready), key=lambda s: s.hash)
        self.rankings.clear()
        self._size_room(now)

    def _size_room(self, now: int) -> None:
        """The common room is for the warm servers in use: neither cold nor ejected ones take what it grants."""
        if self.shared is not None and self.ready:
            in_use = sum(self._takes_room(now, s) for s in self.ready)
            self.shared.stand_for(len(self.ready), in_use, self.start_limit)

    # ---- which server

    def _split(self, key: str) -> int:
        """Draw a part of the key. A key that is too much for a pair is several: each part has its own pair.

        Guards against a hot key where many balancers each send little: own counts stay at zero, so that all
        would send it to one server. How popular a key is, each sees in its own requests.
        """
        if self.counted >= COUNTED_REQUESTS:
            self.popular = {k: n // 2 for k, n in self.popular.items() if n > 1}
            self.counted = sum(self.popular.values())
        count = self.popular[key] = self.popular.get(key, 0) + 1
        self.counted += 1
        parts = math.ceil((count - 1) / self.counted * len(self.ready) / HOT_SHARE)
        return self.random.randrange(parts) if parts > 1 else 0

    def _ranking(self, key: str | None, part: int) -> list[_Server]:
        """The ready servers in the key's own order: rendezvous hashing, weighted where weights tell sizes."""
        if key is None:  # no key: any order will do, so that the first two are two at random
            return self.random.sample(self.ready, len(self.ready))
        ranking = self.rankings.get((key, part))
        if ranking is None:
            if len(self.rankings) >= CACHED_RANKINGS:
                self.rankings.clear()
            seed = mix64(hash64(key) + part)
            ranking = sorted(self.ready, key=lambda s: rank_value(seed, s.hash, s.weight))
            self.rankings[key, part] = ranking
        return ranking

    def _pick(self, now: int, request: _Open) -> _Server | None:
        """The candidate with fewer of our requests in flight; further down the ranking if both are full."""
        best = least = None
        seen = 0
        for server in self._ranking(request.event.key, request.part):
            if request.attempts and not self._may_send(now, request, server):
                continue
            ejections = server.ejections(request.cls.spec.name)
            if ejections:
                if all(now >= e.out_until for e in ejections) and seen < 2 and self._has_room(now, server):
                    return server  # a trial
                continue
            seen += 1
            # Past the pair only to a half-empty one, as scattered keys make all work dearer, or to a cold one's budget.
            crowded = seen > 2 and server.room.inflight >= server.room.limit * WIDEN
            if crowded and self._takes_room(now, server):
                continue
            if self._has_room(now, server):
                # Ties go to the first, which met the key last. With many balancers counts are nearly always
                # zero, and one server would get all of a key's requests: there chance settles them, by size.
                chance = self.random.random() ** (1 / server.weight) if self.shared else 0.0
                load = server.inflight / server.weight, -chance
                if best is None or load < least:
                    best, least = server, load
            if seen >= 2 and best is not None:
                return best
        if best is None and request.attempts and request.attempts[-1].state == BROKE and not self.held:
            # Guards a keyed request whose group has no other server to take it: where its connection broke or
            # fell silent, the same one is asked once more; not in a crowd, which makes answers late as well.
            server = request.attempts[-1].server
            if (
                request.cls.spec.repeat is mi.Repeat.KEYED
                and sum(a.server is server for a in request.attempts) == 1
                and server.ready
                and not server.ejections(request.cls.spec.name)
                and self._may_send(now, request, server, again=True)
                and self._has_room(now, server)
            ):
                return server
        return best

    def _has_room(self, now: int, server: _Server) -> bool:
        # Guards a server against the crowd that all balancers together make, where its reports tell of it.
        if server.crowd.full(now, server.inflight) or (
            self._takes_room(now, server) and server.room.full(now)
        ):
            return False
        if now >= server.warm_at:
            return True
        # Guards a cold server against all balancers together: see limits/cold_start.py.
        if self.shared is not None and server.budget.in_hand(now, server.inflight):
            return False
        rate = self.warm_rate
        if rate is None:
            seconds = max(1.0, (now - self.started_at) / mi.NS_PER_S)
            rate = self.arrivals / seconds / max(1.0, sum(s.weight for s in self.ready))
        contract = self.settings.contract
        return server.budget.allows(now, rate * server.weight, server.started, contract, self.pace)

    def _takes_room(self, now: int, server: _Server) -> bool:
        """The common room is for warm servers in use: a cold one's budget guards it, a silent one tells of no crowd."""
        return self.shared is None or (now >= server.warm_at and not server.ejected)

    def _may_send(self, now: int, request: _Open, server: _Server, again: bool = False) -> bool:
        """Rule 2, and no server twice but `again`: may this server get it after its earlier attempts?"""
        spec = request.cls.spec
        for attempt in request.attempts:
            if attempt.server is server and not again:
                return False
            if attempt.state == DID_NOT_RUN:
                continue
            if spec.repeat is mi.Repeat.UNSAFE:
                return False
            if spec.repeat is mi.Repeat.KEYED:
                if now >= self._repeat_by(request, attempt):
                    return False
                if spec.group is mi.Group.ZONE and attempt.server.zone != server.zone:
                    return False
                if spec.group is mi.Group.CELL and (server.cell < 0 or attempt.server.cell != server.cell):
                    return False
        return True

    def _repeat_by(self, request: _Open, attempt: _Attempt) -> int:
        """When the group of an attempt that may have run forgets it, and a keyed request must not begin again."""
        return attempt.sent + request.cls.spec.memory_ns - 2 * self.settings.resolution_ns

    def _may_reject(self, now: int, request: _Open) -> bool:
        spec = request.cls.spec
        if spec.repeat is mi.Repeat.SAFE:
            return True
        for attempt in request.attempts:
            if attempt.state != DID_NOT_RUN and not (
                spec.repeat is mi.Repeat.KEYED
                and spec.group is mi.Group.ALL
                and now < attempt.sent + spec.memory_ns
            ):
                return False
        return True

    # ---- a request's life

    def _on_request(self, now: int, event: mi.Request) -> None:
        if event.id in self.requests:
            return
        self.arrivals += 1
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        cls = self.classes.get(event.request_class)
        if cls is None:  # unknown: as strict as can be
            left = max(1, event.give_up_ns - now)
            cls = _Class(mi.RequestClass(event.request_class, left, left), TARGET, FEWEST_FAULTY)
            if len(self.classes) < MOST_CLASSES:  # names that come from outside must not fill the memory
                self.classes[event.request_class] = cls
        spec = cls.spec
        born = now
        if event.retry:
            born = self.failures.pop((event.request_class, event.key, event.tenant), now)
        useful_until = event.give_up_ns
        if not spec.late_share:
            aim = min(spec.deadline_ns, spec.aim_ns + int(spec.aim_stretch * event.work_hint_ns))
            useful_until = min(event.give_up_ns, born + aim)
        value = self._value(event, cls)
        request = self.requests[event.id] = _Open(event, cls, born, useful_until, value)
        if event.key is not None and self.shared:
            request.part = self._split(event.key)
        if self._hopeless(now, request):
            self._answer(now, request)
            return
        if not self._send_to_pick(now, request):
            self._hold(now, request)

    def _value(self, event: mi.Request, cls: _Class) -> float:
        """Worth for each unit of work; of a tenant beyond its share, part counts at the low worth."""
        value = cls.spec.worth / cls.base
        share = self.shares.get(event.tenant)
        if share is not None:
            self.asked[event.tenant] += 1
            within = share * sum(self.asked.values()) / self.asked[event.tenant]
            low = self.settings.over_share_worth
            value *= low + (1 - low) * min(1.0, within)
        return value

    def _hopeless(self, now: int, request: _Open) -> bool:
        """Too late for most answers to come within the aim: work past it would be waste."""
        return now + max(self.tick_ns, request.cls.mean + request.cls.dev) > request.useful_until

    def _hold(self, now: int, request: _Open) -> None:
        """Its servers are full: wait here, where that costs no server anything; the best worth goes first."""
        self.held[request.event.id] = request
        if not request.attempts:
            request.decide_by = now + (request.event.give_up_ns - now) // 2
        self.sequence += 1
        entry = (-request.value, self.sequence, request)
        for room in dict.fromkeys(server.room for server in self._pair(request)):
            if len(room.waiting) > 2 * len(self.held) + SPARE_ENTRIES:
                # Guards against a long overload, in which those that waited in vain would pile up here.
                room.waiting = [e for e in room.waiting if e[2].event.id in self.held]
                heapq.heapify(room.waiting)
            heapq.heappush(room.waiting, entry)

    def _pair(self, request: _Open) -> list[_Server]:
        ranking = self._ranking(request.event.key, request.part)
        return [s for s in ranking if not s.ejections(request.cls.spec.name)][:2]

    def _serve_waiting(self, now: int, room: Room) -> None:
        """Room may have come up: let in those that wait for it."""
        while room.waiting and not room.full(now):
            request = room.waiting[0][2]
            if request.event.id in self.held and not self._send_to_pick(now, request):
                return
            heapq.heappop(room.waiting)

    def _send_to_pick(self, now: int, request: _Open) -> bool:
        server = self._pick(now, request)
        if server is None:
            return False
        self._send(now, request, server)
        return True

    def _send(self, now: int, request: _Open, server: _Server) -> None:
        self.held.pop(request.event.id, None)
        for ejection in server.ejections(request.cls.spec.name):
            ejection.out_until = now + ejection.backoff  # one trial at a time
        if now < server.warm_at:
            server.budget.spend()
        begin_by = 0
        if request.cls.spec.repeat is mi.Repeat.KEYED:
            ran = [self._repeat_by(request, a) for a in request.attempts if a.state != DID_NOT_RUN]
            begin_by = min(ran, default=0)
        attempt = _Attempt(server, now, self._takes_room(now, server))
        server.count(1, attempt.in_room)
        request.attempts.append(attempt)
        if not request.event.long:  # that one is judged from its last byte on
            request.cls.outstanding.append((request, attempt))
        self.actions.append(mi.Send(request.event.id, server.id, self._patience(now, request), begin_by))

    def _patience(self, now: int, request: _Open) -> int:
        """How long to wait for the attempt that goes out now.

        Guards against connections that fall silent, and answers that stop half-way, at all servers alike: to
        wait for those until the client leaves would lose each such request. While others are held for want of
        room it is a crowd that answers late, and more work would not help.
        """
        cls, left = request.cls, max(1, request.useful_until - now)
        again = cls.spec.repeat is not mi.Repeat.UNSAFE and self.retries >= 1 and not self.held
        if self.lost_share < LOSSY or not again or len(request.attempts) >= self.settings.limits.max_attempts:
            return left
        patience = int(LOST_PATIENCE * cls.mean * math.log(2 / self.lost_share))
        return patience if patience + cls.mean + cls.dev < left else left

    def _answer(self, now: int, request: _Open) -> None:
        """The one final answer, other than a served one."""
        event = request.event
        limits = self.settings.limits
        if self._may_reject(now, request):
            self.actions.append(mi.Reject(event.id, limits.max_retry_after_ns if limits.retry_after else 0))
        else:
            self.actions.append(mi.Fail(event.id))
        self._remember_failure(request)
        self._finish(request)

    def _remember_failure(self, request: _Open) -> None:
        if (
            self.settings.marks_retries and request.event.key is not None
        ):  # else nothing tells whose try it was
            if len(self.failures) >= REMEMBERED_FAILURES:
                del self.failures[next(iter(self.failures))]
            event = request.event
            self.failures[event.request_class, event.key, event.tenant] = request.born

    def _finish(self, request: _Open) -> None:
        """No answer is owed any more: call off what is still out."""
        request.done = True
        self.held.pop(request.event.id, None)
        if not request.out:
            self.requests.pop(request.event.id, None)
        elif self.settings.limits.cancel and not request.streaming:
            self.actions.append(mi.Cancel(request.event.id, len(request.attempts) - 1))

    def _on_gone(self, now: int, event: mi.ClientGone) -> None:
        request = self.requests.get(event.id)
        if request is not None and not request.done:
            self._remember_failure(request)
            self._finish(request)

    def _find(self, event: mi.AttemptStarted | mi.AttemptEnded) -> tuple[_Open | None, _Attempt | None]:
        """The request and the attempt, if that is still out."""
        request = self.requests.get(event.id)
        if request is not None and 0 <= event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            if attempt.state == OUT:
                return request, attempt
        return request, None

    def _on_written(self, now: int, event: mi.AttemptWritten) -> None:
        request, attempt = self._find(event)
        if attempt is not None:
            attempt.sent, request.useful_until = now, event.give_up_ns
            request.cls.outstanding.append((request, attempt))

    def _on_started(self, now: int, event: mi.AttemptStarted) -> None:
        request, attempt = self._find(event)
        if attempt is not None and not request.streaming:
            request.streaming = True
            self._good(now, request, attempt)
            if not request.cls.spec.stream:  # the work is done; passing on what came of it takes no room
                attempt.server.count(-1, attempt.in_room)
                attempt.in_room = False
                self._serve_waiting(now, attempt.server.room)

    def _on_ended(self, now: int, event: mi.AttemptEnded) -> None:
        request, attempt = self._find(event)
        if attempt is None:
            return
        outcome, server, room = event.outcome, attempt.server, attempt.server.room
        if attempt.sent > server.started:  # else it tells of the process before
            server.crowd.told(now, event.report, now - attempt.sent)
        if room.limit < 1:
            # Guards against many balancers that each keep just one request at a server and jam it together.
            room.rest_until = now + int((now - attempt.sent) * (1 / room.limit - 1))
        attempt.state = DID_NOT_RUN if outcome in mi.NEVER_RAN else BROKE if outcome in BREAKS else MAYBE_RAN
        if not request.streaming or request.cls.spec.stream:
            server.count(-1, attempt.in_room)
        if outcome is mi.Outcome.OK:
            if not request.streaming:
                self._good(now, request, attempt)
            if not request.done:
                self._finish(request)
        else:
            self._bad(now, request, attempt, outcome)
            if event.final and not request.done:
                self._finish(request)
        if request.done:
            self.requests.pop(event.id, None)
        elif not event.kept or not self._send_more(now, request, free=outcome in mi.NEVER_RAN):
            self._answer(now, request)
        if self.closes_idle and not server.inflight and self._gap(now) > IDLE_KEPT_NS:
            self.actions.append(mi.CloseIdle(server.id))
        self._serve_waiting(now, room)

    def _send_more(self, now: int, request: _Open, free: bool) -> bool:
        """A retry, if the class allows one in time; costs budget unless nothing ran before."""
        if len(request.attempts) >= self.settings.limits.max_attempts or self._hopeless(now, request):
            return False
        if not (free or self.retries >= 1) or not self._send_to_pick(now, request):
            return False
        if not free:
            self.retries -= 1
        return True

    # ---- what answers tell of a server

    def _good(self, now: int, request: _Open, attempt: _Attempt) -> None:
        server = attempt.server
        cls = request.cls
        latency = now - attempt.sent
        error = latency - cls.mean
        cls.mean += error / 32
        cls.dev += (abs(error) - cls.dev) / 32
        if not attempt.overdue:
            self.overdue_share += (FEWEST_OVERDUE - self.overdue_share) / 64
        cls.seen += 1
        cls.total += latency
        cls.least = min(cls.least, latency)
        if cls.seen == FIRST_WINDOW and cls.base >= cls.spec.aim_ns:
            cls.base, cls.low = max(1.0, cls.total / FIRST_WINDOW), cls.least
        if cls.seen == BASE_WINDOW:
            cls.base = max(1.0, min(cls.base * BASE_CREEP, cls.total / BASE_WINDOW))
            cls.low = min(cls.low * BASE_CREEP, cls.least)
            cls.seen, cls.total, cls.least = 0, 0, cls.spec.aim_ns
        if attempt.overdue and self.shared:  # a jammed or half-hung server shows in single late answers
            self._count_on(now, server)
        server.last_ok = now
        self.zones.heard(now, server.area)
        server.silent = server.failed_connects = 0
        ejections = server.ejections(cls.spec.name)
        if not ejections:
            cls.faulty += (FEWEST_FAULTY - cls.faulty) / 64
            self.lost_share += (FEWEST_LOST - self.lost_share) / 128
        if cls.spec.name in server.by_class:
            server.by_class[cls.spec.name].errors *= ERROR_FADE
        if now >= server.warm_at:
            self.warm_answers += 1
        elif attempt.sent > server.started:
            self._cold_answer(now, server, self.shared is None or latency < FINE * cls.spec.aim_ns)
        self._adapt(now, server, cls, latency)
        for ejection in ejections:
            ejection.needed -= 1
            ejection.out_until = now
            if ejection.needed <= 0:
                ejection.ejected = False
                ejection.backoff = FIRST_BACKOFF_NS
                server.down = server.down and ejection is not server.whole
                of = "" if ejection in (server.whole, server.area.suspicion) else f" for {cls.spec.name}"
                self.actions.append(mi.Log(f"server {server.id} returned{of}"))

    def _cold_answer(self, now: int, server: _Server, fine: bool) -> None:
        server.budget.answered(now, fine)
        self.pace.follow(fine)

    def _count_on(self, now: int, server: _Server) -> None:
        """Count an attempt that ended as in flight for a while.

        Guards against fast failures, where a failing server would have the lowest count and draw its keys,
        and against overload where a server goes on with work that nobody waits for any more. With many
        balancers each remembers until it would have met the server again, and takes none of the common room.
        """
        span = self.longest_aim if self.shared is None else max(self.longest_aim, self._gap(now))
        server.count(1, self.shared is None)
        self.penalties.append((now + span, server))

    def _gap(self, now: int) -> int:
        """How long it takes, on average, until we send to the same server again."""
        return len(self.ready) * (now - self.started_at) // self.arrivals

    def _bad(self, now: int, request: _Open, attempt: _Attempt, outcome: mi.Outcome) -> None:
        server = attempt.server
        if outcome in OVERDRIVEN and self.shared and now < server.warm_at and attempt.sent > server.started:
            self._cold_answer(now, server, False)
        if outcome in COUNTS_ON:
            self._count_on(now, server)
        if outcome is mi.Outcome.ERROR or outcome is mi.Outcome.RESET:
            self._hold_against(now, server, request.cls, "errors")
        elif outcome is mi.Outcome.TIMEOUT:
            ejections = server.ejections(request.cls.spec.name)
            if not ejections:
                self.lost_share += (1 - self.lost_share) / 128
            # An attempt that was sent late times out early: that is no sign of a fast server.
            self._adapt(now, server, request.cls, max(now - attempt.sent, request.cls.spec.aim_ns))
            for ejection in ejections:
                # Of a zone only its trial counts, not what was out there when it was held.
                if ejection is server.area.suspicion and attempt.sent < ejection.out_until - ejection.backoff:
                    continue
                self._eject(now, server, ejection, ejection.needed, "silence")
        elif outcome is mi.Outcome.REJECTED:
            # Who is turned away with one request in flight is not turned away for a crowd of ours: cutting
            # on would only starve the classes that the server takes.
            room = server.room
            least = min(room.limit, max(LEAST_LIMIT, min(1.0, room.start / 2)))
            room.limit = max(least, room.limit * (1 - 0.5 / room.servers))
            self._hold_against(now, server, request.cls, "turning away")
        elif outcome is mi.Outcome.CONNECT_FAILED:
            # The list may be late or away: what cannot be reached is out at once, and tried now and then.
            # But a single connection may break at a server that goes on answering over others.
            server.failed_connects += 1
            if server.failed_connects >= FAILED_CONNECTS or now > server.last_ok + FIRST_BACKOFF_NS:
                server.down = True
                self._eject(now, server, server.whole, 1, "no connection")

    def _hold_against(self, now: int, server: _Server, cls: _Class, reason: str) -> None:
        """Guards a server that fails one class and serves another well: what it fails counts for that alone.

        And where answers are spoilt or break off at all servers alike, they say little of a single one.
        """
        name = cls.spec.name
        suspicion = server.by_class.setdefault(name, _Suspicion())
        suspicion.errors += max(LEAST_ERROR, math.log(cls.faulty) / math.log(FEWEST_FAULTY))
        if not server.ejections(name):
            cls.faulty += (1 - cls.faulty) / 64
        if suspicion.errors >= ERRORS_OUT:
            self._eject(now, server, suspicion, TRIALS_BACK, f"{reason} of {name}")

    def _adapt(self, now: int, server: _Server, cls: _Class, latency: int) -> None:
        """Guards against overload, and servers turning slow in a crowd: keep answers well within the aim."""
        target = TARGET * cls.spec.aim_ns
        if not self._takes_room(now, server):
            return
        if now >= server.warm_at:  # a cold server is slow by itself: that is no sign of a crowd
            crowded = max(UNCROWDED * cls.base, CROWDED * cls.base - (CROWDED - 1) * cls.low)
            target = min(target, crowded * self.slowdown)
            if cls.base < cls.spec.aim_ns:
                server.crowd.answered(now, latency / cls.base, server.inflight)
                self.judged += 1
                self.slowness += latency / cls.base
                self.busy_ns += latency
        server.room.follow(LIMIT_GAIN * (1 - min(latency / target, 3.0)) / 2)

    def _eject(self, now: int, server: _Server, held: _Suspicion, needed: int, reason: str) -> None:
        if held.ejected:
            held.backoff = min(LAST_BACKOFF_NS, held.backoff * 2)
        else:
            name = next((n for n, s in server.by_class.items() if s is held), "")
            area = server.area.suspicion
            out = sum(1 for s in self.ready if s.ejections(name) and not (s.down or s.area.suspicion.ejected))
            if not (server.down or held is area) and out + 1 > MOST_OUT * len(self.ready):
                return
            held.ejected = True
            if self.shared is not None and server.ejected:
                self._free_room()
            self.actions.append(mi.Log(f"server {server.id} ejected: {reason}"))
        held.needed = max(needed, 1)
        held.out_until = now + held.backoff

    # ---- housekeeping

    def _on_timer(self, now: int, event: mi.TimerFired) -> None:
        if event.token == ASK_AGAIN and self.settings.ask_for_list:
            self.actions.append(mi.Subscribe())
        if event.token != TICK or not self.ticking:
            return
        self.ticking = False
        while self.penalties and self.penalties[0][0] <= now:
            self.penalties.popleft()[1].count(-1, self.shared is None)
        if now >= self.second_ends:
            self._measure(now)
        if self.judged >= (ONE_LOOK if now < self.judged_from + mi.NS_PER_S else SHORT_LOOK):
            self._judge_pace(now)
        for cls in self.classes.values():
            self._check_overdue(now, cls)
        for request in sorted(self.held.values(), key=lambda r: -r.value):
            # Guards clients that wait in vain: past half of their time a refusal costs them more.
            if self._hopeless(now, request) or now + self.tick_ns > request.decide_by:
                self._answer(now, request)
            else:
                self._send_to_pick(now, request)

    def _free_room(self) -> None:
        """What is out at servers that fell silent takes no room from the others: it tells of no crowd."""
        for request in self.requests.values():
            attempt = request.attempts[-1] if request.out else None
            if attempt is not None and attempt.in_room and attempt.server.ejected:
                attempt.in_room = False
                attempt.server.room.inflight -= 1

    def _measure(self, now: int) -> None:
        """What a warm server of weight 1 bears of our traffic, learnt while enough are warm."""
        seconds = (now - self.second_ends) / mi.NS_PER_S + 1.0
        # Only those in use: after a restart with a stale list most of those named may be dead.
        warm = self._warm_weight(now)
        if warm and warm >= sum(s.weight for s in self.ready if not s.ejected) * FEWEST_WARM:
            rate = self.warm_answers / seconds / warm
            self.warm_rate = rate if self.warm_rate is None else self.warm_rate + (rate - self.warm_rate) / 8
        self.warm_answers = 0
        self._size_room(now)
        self.second_ends = now + mi.NS_PER_S
        for tenant in self.asked:
            self.asked[tenant] *= RECENT

    def _warm_weight(self, now: int) -> float:
        return sum(s.weight for s in self.ready if now >= s.warm_at and not s.ejected)

    def _judge_pace(self, now: int) -> None:
        """Guards against cutting for nothing, where all servers' work, or what they wait for, got slower.

        Where answers are slower than what more requests in flight explain (Little's law), it is no crowd.
        """
        warm = self._warm_weight(now)
        slow = self.slowness / self.judged
        busy = self.busy_ns / (max(1, now - self.judged_from) * max(warm, 0.01))
        pace = slow / max(1.0, busy / self.usual) if self.usual else 1.0
        pace = max(pace, min(slow, self.slowdown))
        if pace > self.slowdown * UNCROWDED:
            for server in self.ready:  # what was cut in vain is given back, up to half a first guess
                server.room.limit = max(server.room.limit, server.room.start / 2)
        self.slowdown += ((pace if pace > UNCROWDED else 1.0) - self.slowdown) / 2
        if slow < UNCROWDED and not self.held:
            self.usual += (busy - self.usual) / (8 if self.usual else 1)
        self.judged = self.busy_ns = 0
        self.slowness = 0.0
        self.judged_from = now

    def _check_overdue(self, now: int, cls: _Class) -> None:
        """Overdue attempts are evidence against a server long before they time out (hangs and freezes)."""
        patience = min(cls.mean + 3 * cls.dev, cls.spec.aim_ns * 0.6)
        queue = cls.outstanding
        while queue and (queue[0][1].state != OUT or queue[0][1].sent + patience <= now):
            request, attempt = queue.popleft()
            if attempt.state != OUT or request.streaming:
                continue
            attempt.overdue = True
            self.overdue_share += (1 - self.overdue_share) / 64
            server = attempt.server
            if server.last_ok <= attempt.sent:
                server.silent += 1
                if now >= server.warm_at and self.zones.silent(server.id, attempt.sent, server.area):
                    self._eject(now, server, server.area.suspicion, 1, f"silence of zone {server.zone}")
                # Judged against the fleet: where all are slow, slowness is no sign of a hang.
                if not server.ejected and self.overdue_share**server.silent < SILENT_CHANCE:
                    self._eject(now, server, server.whole, 1, "silence")
