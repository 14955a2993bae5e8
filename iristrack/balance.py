"""All decisions of the balancer. `iristrack/interface.py` defines its settings, events and actions.

Normal path (docs/design.md): rendezvous hashing of the key ranks the ready servers, the first two are the
candidates, and the one with fewer of this balancer's own requests in flight gets the request.
Everything else here is an exception to that path; a docstring or comment names the failure it guards against.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque

from iristrack import interface as mi
from iristrack.limits.cold_start import ColdRateFactor
from iristrack.limits.concurrency import MIN_LIMIT, ConcurrencyLimiter
from iristrack.placement.ranking import hash64, mix64, rank_value
from iristrack.records import (
    BROKE,
    DID_NOT_RUN,
    IN_FLIGHT,
    INITIAL_BACKOFF_NS,
    MAYBE_RAN,
    export_server,
    restore_server,
)
from iristrack.records import Attempt as _Attempt
from iristrack.records import ClassRecord as _Class
from iristrack.records import EjectionState as _Ejection
from iristrack.records import OpenRequest as _Open
from iristrack.records import Server as _Server
from iristrack.zones.outage import ZoneOutages

TICKS_PER_AIM = 16  # timer ticks within the shortest aim
TARGET_RATIO = 0.5  # target mean latency as a share of the aim; the rest is left for its spread
MAX_CROWDING = 2.0  # target slowdown of the part that load affects: as many requests wait as are worked on
INITIAL_SERVER_LIMIT = 12.0  # initial limit of requests at a server, of all balancers together
INITIAL_LOAD_BOUND = 6.0  # initial bound on requests at a server whose reports count those of all balancers
UNCROWDED = 1.3  # a class counts as uncrowded below this multiple of its uncrowded latency
BASE_WINDOW_ANSWERS = 64  # answers in one sample of a class's latency
FULL_SAMPLE = 32  # answers in one sample of the fleet's slowdown
MIN_SAMPLE = 8  # answers in a sample of the slowdown that has lasted a second
FIRST_WINDOW_ANSWERS = 16  # answers in the first sample, which sets the base early
BASE_GROWTH_PER_WINDOW = 1.02  # growth of the lowest latency per sample, so that an old minimum expires
LIMIT_GAIN = 0.5  # how fast a server's limit follows the latencies
COLD_RATIO = 0.75  # an answer of a cold server counts as good below this share of the aim
MAX_SPILL_RATIO = 0.5  # a server past a key's pair takes the key's requests below this share of its limit
EJECTION_ERRORS = 2.0  # recent errors that eject a server where errors are rare
ERROR_DECAY = 0.8  # factor on the count of recent errors per successful answer
MIN_ERROR_SHARE = 0.02  # lower bound of the estimated share of errors
MIN_ERROR_WEIGHT = 0.5  # lower bound of what one error counts where errors are frequent
MAX_FAILED_CONNECTS = 2  # failed connects in a row that eject a server that answered a moment ago
MAX_CHANCE = 0.001  # eject if a healthy server leaves that many attempts overdue with less probability
TRIALS_AFTER_ERRORS = 3  # successful trials that end an ejection for errors
MIN_OVERDUE_SHARE = 0.02  # lower bound of the estimated share of overdue attempts
MIN_LOST_SHARE = 0.01  # lower bound of the estimated share of attempts without any answer
LOSSY_SHARE = 0.03  # share of lost attempts from which on overdue attempts are retried in time
LOSS_RATIO = 1.5  # margin on the wait after which loss explains it better than an exponential latency
MAX_EJECTED = 0.5  # share of the ready servers that may be ejected on suspicion
MAX_BACKOFF_NS = 8 * mi.NS_PER_S
MIN_WARM_SHARE = 0.25  # share of the servers in use that must be warm to learn a warm server's rate
MAX_IDLE_GAP_NS = mi.NS_PER_S // 2  # idle connections that are used less often than this are closed
TENANT_DECAY_PER_S = 0.9  # factor on the tenants' request counts
RETRY_TOKENS_PER_REQUEST = 0.2
MAX_RETRY_TOKENS = 10.0
HOT_KEY_SHARE = 0.25  # a key is split if its pair gets more of a server's even share of requests
KEY_COUNT_WINDOW = 512  # requests after which the counts of keys are halved
MAX_CACHED_RANKINGS = 8192
MAX_REMEMBERED_FAILURES = 4096
MAX_CLASSES = 64
SPARE_QUEUE_ENTRIES = 64  # entries of a server's queue beyond twice the number of queued requests
PENALIZED = frozenset({mi.Outcome.ERROR, mi.Outcome.RESET, mi.Outcome.TIMEOUT})  # see _add_penalty
OVERLOADS = frozenset({mi.Outcome.REJECTED, mi.Outcome.TIMEOUT})  # signs of an overloaded cold server
BREAKS = frozenset({mi.Outcome.RESET, mi.Outcome.TIMEOUT})  # may be the fault of the connection alone
LEARNED = ("overdue_share", "lost_share", "retries", "usual", "slowdown", "warm_rate")  # kept in snapshots
LEARNED_OF_CLASS = ("mean", "dev", "base", "low", "faulty")
RESUBSCRIBE_DELAY_NS = (mi.NS_PER_S // 2, mi.NS_PER_S * 11 // 10)  # random in this range, after a failed call
TICK, RESUBSCRIBE = range(2)  # tokens of timers


class Balancer:
    """The balancer of one sidecar: turns clock readings and events into actions for the host."""

    def __init__(self, settings: mi.Settings, seed: int, learned: dict | None = None) -> None:
        """`seed` is the only source of randomness; `learned` is a snapshot processed by `recovery.aging`."""
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {c.name: _Class(c, TARGET_RATIO, MIN_ERROR_SHARE) for c in settings.classes}
        aims = [c.aim_ns for c in settings.classes] or [mi.NS_PER_S]
        self.longest_aim, self.shortest_aim = max(aims), min(aims)
        self.tick_ns = max(settings.resolution_ns, min(aims) // TICKS_PER_AIM)
        self.start_limit = INITIAL_SERVER_LIMIT / settings.balancers
        # With very many balancers, each has less than one request at a server and cannot learn that server's
        # limit in time. One limit for all servers together can be learned from all answers.
        self.shared = ConcurrencyLimiter(1.0) if self.start_limit < 1 else None
        # Idle connections from many balancers burden the servers; kept only if a new connection costs more.
        costly_handshake = 100 * settings.prices.handshake > settings.prices.connection * settings.balancers
        self.closes_idle = self.shared is not None and not costly_handshake
        self.servers: dict[str, _Server] = {}
        self.ready: list[_Server] = []
        self.rankings: dict[tuple[str, int], list[_Server]] = {}
        self.key_counts: dict[str, int] = {}  # recent requests per key
        self.key_count_sum = 0
        self.requests: dict[str, _Open] = {}
        self.queued: dict[str, _Open] = {}
        self.sequence = 0  # orders queued requests of equal worth
        self.penalties: deque[tuple[int, _Server]] = deque()  # (expiry, server)
        self.recent_failures: dict[tuple, int] = {}  # times of first tries, to match client retries
        self.retries = MAX_RETRY_TOKENS
        self.overdue_share = MIN_OVERDUE_SHARE
        self.lost_share = MIN_LOST_SHARE
        self.ticking = False
        self.actions: list[mi.Action] = []
        self.started_at: int | None = None
        self.arrivals = 0
        self.tenant_shares = {t.name: t.share for t in settings.tenants}
        self.tenant_counts = dict.fromkeys(self.tenant_shares, 1.0)  # recent requests per tenant
        self.warm_answers = self.second_ends = 0
        self.sample_size = self.sample_from = self.sample_busy_ns = 0
        self.sample_slowness = 0.0  # sum of latencies as multiples of their class's base
        self.zones = ZoneOutages()
        self.cold_factor = ColdRateFactor(self.shared is not None, settings.contract)
        self.usual = 0.0  # our requests in flight per server when uncrowded
        self.slowdown = 1.0  # latency relative to the base that load does not explain
        self.warm_rate: float | None = None  # answers per second to us from a warm server of weight 1
        self.handlers = {
            mi.Request: self._on_request,
            mi.AttemptEnded: self._on_ended,
            mi.AttemptWritten: self._on_written,
            mi.AttemptStarted: self._on_started,
            mi.ClientGone: self._on_client_gone,
            mi.ServerList: self._on_list,
            mi.TimerFired: self._on_timer,
        }

        self.known_servers = learned["servers"] if learned else {}  # until a full list arrives
        if learned:
            self.__dict__.update(learned["balancer"])
            self.tenant_counts |= learned["tenants"]
            self.key_counts, self.key_count_sum = dict(learned["popular"]), sum(learned["popular"].values())
            for name, values in learned["classes"].items():
                for field, value in values.items():
                    setattr(self.classes[name], field, value)

    def snapshot(self, now: int) -> dict:
        """Return what was learned as plain values, without requests, timers and attempts."""
        classes = {n: {f: getattr(c, f) for f in LEARNED_OF_CLASS} for n, c in self.classes.items()}
        return {
            "balancer": {name: getattr(self, name) for name in LEARNED},
            "tenants": dict(self.tenant_counts),
            "popular": dict(self.key_counts),
            "classes": classes,
            "servers": {s.id: export_server(s, now) for s in self.servers.values()},
        }

    def ejected_server_count(self) -> int:
        """Return how many ready servers are ejected for all classes, so that they get trials only."""
        return sum(1 for s in self.ready if all(s.ejections(name) for name in self.classes))

    def handle(self, now: int, event: mi.Event) -> list[mi.Action]:
        """Process one event at time `now` and return the actions, to be carried out in order."""
        self.actions = actions = []
        if self.started_at is None:
            self.started_at = self.sample_from = now
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
                # Random delay: sidecars whose calls failed together would otherwise call together again.
                self.actions.append(mi.SetTimer(RESUBSCRIBE, int(self.random.uniform(*RESUBSCRIBE_DELAY_NS))))
            return
        if event.kind is not mi.ListKind.DELTA:
            named = {entry.server for entry in event.servers}
            for server in self.servers.values():
                if server.id not in named:
                    server.ready = False
        for entry in event.servers:
            server = self.servers.get(entry.server)
            if server is None:
                server = _Server(entry, self.shared or ConcurrencyLimiter(self.start_limit))
                self.servers[entry.server] = server
            server.weight = max(entry.weight, 0.01) if self.settings.sized_weights else 1.0
            if entry.started_ns != server.started:
                server.reset(self.random.random(), INITIAL_LOAD_BOUND, TARGET_RATIO * self.shortest_aim)
                server.started = entry.started_ns
                known = self.known_servers.get(entry.server)
                if known is not None and known["started"] == entry.started_ns:
                    restore_server(server, now, known, MIN_LIMIT)
            server.ready = entry.state is mi.ServerState.READY
            server.zone, server.zone_state = entry.zone, self.zones.state_of(entry.zone)
            server.cell = entry.cell
            cold_ns = self.settings.contract.cold_ns
            server.warm_at = entry.started_ns + cold_ns if entry.started_ns and cold_ns else 0
        if event.kind is mi.ListKind.FULL:
            self.known_servers = {}
        for name in [s.id for s in self.servers.values() if not s.ready and not s.inflight]:
            del self.servers[name]
        self.ready = sorted((s for s in self.servers.values() if s.ready), key=lambda s: s.hash)
        self.rankings.clear()
        self._resize_limiter(now)

    def _resize_limiter(self, now: int) -> None:
        """Size the shared limit by the warm servers in use: cold and ejected ones do not count against it."""
        if self.shared is not None and self.ready:
            in_use = sum(self._is_limited(now, s) for s in self.ready)
            self.shared.resize(len(self.ready), in_use, self.start_limit)

    # ---- which server

    def _draw_key_part(self, key: str) -> int:
        """Draw a random part of the key: a key too hot for one pair is split into parts with a pair each.

        With many balancers that each send little, the in-flight counts stay at zero, so that all would send a
        hot key to the same server. Each balancer sees in its own requests how hot the key is.
        """
        if self.key_count_sum >= KEY_COUNT_WINDOW:
            self.key_counts = {k: n // 2 for k, n in self.key_counts.items() if n > 1}
            self.key_count_sum = sum(self.key_counts.values())
        count = self.key_counts[key] = self.key_counts.get(key, 0) + 1
        self.key_count_sum += 1
        parts = math.ceil((count - 1) / self.key_count_sum * len(self.ready) / HOT_KEY_SHARE)
        return self.random.randrange(parts) if parts > 1 else 0

    def _ranking(self, key: str | None, part: int) -> list[_Server]:
        """Return the ready servers in the key's order by rendezvous hashing, weighted if weights give sizes."""
        if key is None:  # random order: the first two are two random choices
            return self.random.sample(self.ready, len(self.ready))
        ranking = self.rankings.get((key, part))
        if ranking is None:
            if len(self.rankings) >= MAX_CACHED_RANKINGS:
                self.rankings.clear()
            seed = mix64(hash64(key) + part)
            ranking = sorted(self.ready, key=lambda s: rank_value(seed, s.hash, s.weight))
            self.rankings[key, part] = ranking
        return ranking

    def _pick_server(self, now: int, request: _Open) -> _Server | None:
        """Return the candidate with fewer of our requests in flight; if both are full, one further down."""
        best = least = None
        seen = 0
        for server in self._ranking(request.event.key, request.key_part):
            if request.attempts and not self._may_send(now, request, server):
                continue
            ejections = server.ejections(request.cls.spec.name)
            if ejections:
                if all(now >= e.trial_at for e in ejections) and seen < 2 and self._has_capacity(now, server):
                    return server  # as a trial
                continue
            seen += 1
            # Past the pair, take half-empty servers only, since scattered keys make all work more expensive, or
            # cold ones, which their budget protects.
            too_full = seen > 2 and server.limiter.inflight >= server.limiter.limit * MAX_SPILL_RATIO
            if too_full and self._is_limited(now, server):
                continue
            if self._has_capacity(now, server):
                # Ties go to the first server, which served the key last. With many balancers nearly all counts
                # are zero and one server would get all requests of a key, so ties are random there, by weight.
                tie_break = self.random.random() ** (1 / server.weight) if self.shared else 0.0
                load = server.inflight / server.weight, -tie_break
                if best is None or load < least:
                    best, least = server, load
            if seen >= 2 and best is not None:
                return best
        if best is None and request.attempts and request.attempts[-1].state == BROKE and not self.queued:
            # A keyed request whose group has no other server for it is sent to the same server once more if its
            # connection broke or timed out; not while requests are queued, as overload also makes answers late.
            server = request.attempts[-1].server
            if (
                request.cls.spec.repeat is mi.Repeat.KEYED
                and sum(a.server is server for a in request.attempts) == 1
                and server.ready
                and not server.ejections(request.cls.spec.name)
                and self._may_send(now, request, server, again=True)
                and self._has_capacity(now, server)
            ):
                return server
        return best

    def _has_capacity(self, now: int, server: _Server) -> bool:
        # Protects a server from all balancers together, if its load reports show their requests.
        if server.load_estimate.full(now, server.inflight) or (
            self._is_limited(now, server) and server.limiter.full(now)
        ):
            return False
        if now >= server.warm_at:
            return True
        # Protects a cold server from all balancers together: see limits/cold_start.py.
        if self.shared is not None and server.budget.at_inflight_limit(now, server.inflight):
            return False
        rate = self.warm_rate
        if rate is None:
            seconds = max(1.0, (now - self.started_at) / mi.NS_PER_S)
            rate = self.arrivals / seconds / max(1.0, sum(s.weight for s in self.ready))
        contract = self.settings.contract
        return server.budget.allows(now, rate * server.weight, server.started, contract, self.cold_factor)

    def _is_limited(self, now: int, server: _Server) -> bool:
        """Return whether requests count against the limit; a shared one is not for cold or ejected servers."""
        return self.shared is None or (now >= server.warm_at and not server.ejected)

    def _may_send(self, now: int, request: _Open, server: _Server, again: bool = False) -> bool:
        """Return whether rule 2 allows this server after the earlier attempts; the same one only with `again`."""
        spec = request.cls.spec
        for attempt in request.attempts:
            if attempt.server is server and not again:
                return False
            if attempt.state == DID_NOT_RUN:
                continue
            if spec.repeat is mi.Repeat.UNSAFE:
                return False
            if spec.repeat is mi.Repeat.KEYED:
                if now >= self._repeat_deadline(request, attempt):
                    return False
                if spec.group is mi.Group.ZONE and attempt.server.zone != server.zone:
                    return False
                if spec.group is mi.Group.CELL and (server.cell < 0 or attempt.server.cell != server.cell):
                    return False
        return True

    def _repeat_deadline(self, request: _Open, attempt: _Attempt) -> int:
        """Return when the attempt's group may forget its key: from then on no repeat may begin."""
        return attempt.sent_at + request.cls.spec.memory_ns - 2 * self.settings.resolution_ns

    def _may_reject(self, now: int, request: _Open) -> bool:
        spec = request.cls.spec
        if spec.repeat is mi.Repeat.SAFE:
            return True
        for attempt in request.attempts:
            if attempt.state != DID_NOT_RUN and not (
                spec.repeat is mi.Repeat.KEYED
                and spec.group is mi.Group.ALL
                and now < attempt.sent_at + spec.memory_ns
            ):
                return False
        return True

    # ---- request life cycle

    def _on_request(self, now: int, event: mi.Request) -> None:
        if event.id in self.requests:
            return
        self.arrivals += 1
        self.retries = min(MAX_RETRY_TOKENS, self.retries + RETRY_TOKENS_PER_REQUEST)
        cls = self.classes.get(event.request_class)
        if cls is None:  # unknown class: the strictest settings
            left = max(1, event.give_up_ns - now)
            cls = _Class(mi.RequestClass(event.request_class, left, left), TARGET_RATIO, MIN_ERROR_SHARE)
            if len(self.classes) < MAX_CLASSES:  # bounds memory: clients choose the names
                self.classes[event.request_class] = cls
        spec = cls.spec
        first_asked_at = now
        if event.retry:
            first_asked_at = self.recent_failures.pop((event.request_class, event.key, event.tenant), now)
        useful_until = event.give_up_ns
        if not spec.late_share:
            aim = min(spec.deadline_ns, spec.aim_ns + int(spec.aim_stretch * event.work_hint_ns))
            useful_until = min(event.give_up_ns, first_asked_at + aim)
        value = self._value(event, cls)
        request = self.requests[event.id] = _Open(event, cls, first_asked_at, useful_until, value)
        if event.key is not None and self.shared:
            request.key_part = self._draw_key_part(event.key)
        if self._is_too_late(now, request):
            self._answer_unserved(now, request)
            return
        if not self._try_send(now, request):
            self._enqueue(now, request)

    def _value(self, event: mi.Request, cls: _Class) -> float:
        """Return the worth per unit of work; requests beyond the tenant's share count at the lower worth."""
        value = cls.spec.worth / cls.base
        share = self.tenant_shares.get(event.tenant)
        if share is not None:
            self.tenant_counts[event.tenant] += 1
            within = share * sum(self.tenant_counts.values()) / self.tenant_counts[event.tenant]
            low = self.settings.over_share_worth
            value *= low + (1 - low) * min(1.0, within)
        return value

    def _is_too_late(self, now: int, request: _Open) -> bool:
        """Return whether most answers would come after the aim, so that the work would be wasted."""
        return now + max(self.tick_ns, request.cls.mean + request.cls.dev) > request.useful_until

    def _enqueue(self, now: int, request: _Open) -> None:
        """Queue a request whose servers are full, at no cost to them; the highest worth is sent first."""
        self.queued[request.event.id] = request
        if not request.attempts:
            request.decide_by = now + (request.event.give_up_ns - now) // 2
        self.sequence += 1
        entry = (-request.value, self.sequence, request)
        for limiter in dict.fromkeys(server.limiter for server in self._pair(request)):
            if len(limiter.waiting) > 2 * len(self.queued) + SPARE_QUEUE_ENTRIES:
                # Removes requests that left the queue unsent, which would pile up in a long overload.
                limiter.waiting = [e for e in limiter.waiting if e[2].event.id in self.queued]
                heapq.heapify(limiter.waiting)
            heapq.heappush(limiter.waiting, entry)

    def _pair(self, request: _Open) -> list[_Server]:
        ranking = self._ranking(request.event.key, request.key_part)
        return [s for s in ranking if not s.ejections(request.cls.spec.name)][:2]

    def _drain_queue(self, now: int, limiter: ConcurrencyLimiter) -> None:
        """Send queued requests while the limiter has capacity."""
        while limiter.waiting and not limiter.full(now):
            request = limiter.waiting[0][2]
            if request.event.id in self.queued and not self._try_send(now, request):
                return
            heapq.heappop(limiter.waiting)

    def _try_send(self, now: int, request: _Open) -> bool:
        server = self._pick_server(now, request)
        if server is None:
            return False
        self._send(now, request, server)
        return True

    def _send(self, now: int, request: _Open, server: _Server) -> None:
        self.queued.pop(request.event.id, None)
        for ejection in server.ejections(request.cls.spec.name):
            ejection.trial_at = now + ejection.backoff_ns  # one trial at a time
        if now < server.warm_at:
            server.budget.spend()
        begin_by = 0
        if request.cls.spec.repeat is mi.Repeat.KEYED:
            ran = [self._repeat_deadline(request, a) for a in request.attempts if a.state != DID_NOT_RUN]
            begin_by = min(ran, default=0)
        attempt = _Attempt(server, now, self._is_limited(now, server))
        server.add_inflight(1, attempt.counted)
        request.attempts.append(attempt)
        if not request.event.long:  # a long request is timed from its last byte: see _on_written
            request.cls.outstanding.append((request, attempt))
        self.actions.append(mi.Send(request.event.id, server.id, self._timeout(now, request), begin_by))

    def _timeout(self, now: int, request: _Open) -> int:
        """Return the timeout of an attempt that is sent now.

        If connections at all servers go silent or answers stop half-way, waiting until the client leaves loses
        each such request, so the attempt ends in time for a retry. While requests are queued, overload makes
        answers late, and retries would add to it.
        """
        cls, left = request.cls, max(1, request.useful_until - now)
        again = cls.spec.repeat is not mi.Repeat.UNSAFE and self.retries >= 1 and not self.queued
        if (
            self.lost_share < LOSSY_SHARE
            or not again
            or len(request.attempts) >= self.settings.limits.max_attempts
        ):
            return left
        timeout = int(LOSS_RATIO * cls.mean * math.log(2 / self.lost_share))
        return timeout if timeout + cls.mean + cls.dev < left else left

    def _answer_unserved(self, now: int, request: _Open) -> None:
        """Give the final answer to a request that no server has answered."""
        event = request.event
        limits = self.settings.limits
        if self._may_reject(now, request):
            self.actions.append(mi.Reject(event.id, limits.max_retry_after_ns if limits.retry_after else 0))
        else:
            self.actions.append(mi.Fail(event.id))
        self._remember_failure(request)
        self._finish(request)

    def _remember_failure(self, request: _Open) -> None:
        if self.settings.marks_retries and request.event.key is not None:  # else retries have no match
            if len(self.recent_failures) >= MAX_REMEMBERED_FAILURES:
                del self.recent_failures[next(iter(self.recent_failures))]
            event = request.event
            self.recent_failures[event.request_class, event.key, event.tenant] = request.first_asked_at

    def _finish(self, request: _Open) -> None:
        """Mark the request as done and cancel an attempt that is still in flight."""
        request.done = True
        self.queued.pop(request.event.id, None)
        if not request.in_flight:
            self.requests.pop(request.event.id, None)
        elif self.settings.limits.cancel and not request.streaming:
            self.actions.append(mi.Cancel(request.event.id, len(request.attempts) - 1))

    def _on_client_gone(self, now: int, event: mi.ClientGone) -> None:
        request = self.requests.get(event.id)
        if request is not None and not request.done:
            self._remember_failure(request)
            self._finish(request)

    def _lookup(self, event: mi.AttemptStarted | mi.AttemptEnded) -> tuple[_Open | None, _Attempt | None]:
        """Return the open request and the attempt, if that is still in flight."""
        request = self.requests.get(event.id)
        if request is not None and 0 <= event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            if attempt.state == IN_FLIGHT:
                return request, attempt
        return request, None

    def _on_written(self, now: int, event: mi.AttemptWritten) -> None:
        request, attempt = self._lookup(event)
        if attempt is not None:
            attempt.sent_at, request.useful_until = now, event.give_up_ns
            request.cls.outstanding.append((request, attempt))

    def _on_started(self, now: int, event: mi.AttemptStarted) -> None:
        request, attempt = self._lookup(event)
        if attempt is not None and not request.streaming:
            request.streaming = True
            self._record_success(now, request, attempt)
            if not request.cls.spec.stream:  # the server's work is done; only the relay goes on
                attempt.server.add_inflight(-1, attempt.counted)
                attempt.counted = False
                self._drain_queue(now, attempt.server.limiter)

    def _on_ended(self, now: int, event: mi.AttemptEnded) -> None:
        request, attempt = self._lookup(event)
        if attempt is None:
            return
        outcome, server, limiter = event.outcome, attempt.server, attempt.server.limiter
        if attempt.sent_at > server.started:  # else it was another process
            server.load_estimate.record_report(now, event.report, now - attempt.sent_at)
        if limiter.limit < 1:
            # Many balancers with just one request each can overload a server: pause between requests.
            limiter.rest_until = now + int((now - attempt.sent_at) * (1 / limiter.limit - 1))
        attempt.state = DID_NOT_RUN if outcome in mi.NEVER_RAN else BROKE if outcome in BREAKS else MAYBE_RAN
        if not request.streaming or request.cls.spec.stream:
            server.add_inflight(-1, attempt.counted)
        if outcome is mi.Outcome.OK:
            if not request.streaming:
                self._record_success(now, request, attempt)
            if not request.done:
                self._finish(request)
        else:
            self._record_failure(now, request, attempt, outcome)
            if event.final and not request.done:
                self._finish(request)
        if request.done:
            self.requests.pop(event.id, None)
        elif not event.kept or not self._retry(now, request, free=outcome in mi.NEVER_RAN):
            self._answer_unserved(now, request)
        if self.closes_idle and not server.inflight and self._mean_send_gap(now) > MAX_IDLE_GAP_NS:
            self.actions.append(mi.CloseIdle(server.id))
        self._drain_queue(now, limiter)

    def _retry(self, now: int, request: _Open, free: bool) -> bool:
        """Retry if class, budget and time allow; `free` retries, after an attempt that did not run, cost nothing."""
        if len(request.attempts) >= self.settings.limits.max_attempts or self._is_too_late(now, request):
            return False
        if not (free or self.retries >= 1) or not self._try_send(now, request):
            return False
        if not free:
            self.retries -= 1
        return True

    # ---- outcomes

    def _record_success(self, now: int, request: _Open, attempt: _Attempt) -> None:
        server = attempt.server
        cls = request.cls
        latency = now - attempt.sent_at
        error = latency - cls.mean
        cls.mean += error / 32
        cls.dev += (abs(error) - cls.dev) / 32
        if not attempt.overdue:
            self.overdue_share += (MIN_OVERDUE_SHARE - self.overdue_share) / 64
        cls.window_count += 1
        cls.window_sum += latency
        cls.window_min = min(cls.window_min, latency)
        if cls.window_count == FIRST_WINDOW_ANSWERS and cls.base >= cls.spec.aim_ns:
            cls.base, cls.low = max(1.0, cls.window_sum / FIRST_WINDOW_ANSWERS), cls.window_min
        if cls.window_count == BASE_WINDOW_ANSWERS:
            cls.base = max(1.0, min(cls.base * BASE_GROWTH_PER_WINDOW, cls.window_sum / BASE_WINDOW_ANSWERS))
            cls.low = min(cls.low * BASE_GROWTH_PER_WINDOW, cls.window_min)
            cls.window_count, cls.window_sum, cls.window_min = 0, 0, cls.spec.aim_ns
        if attempt.overdue and self.shared:  # single late answers show a stuck server
            self._add_penalty(now, server)
        server.last_ok = now
        self.zones.record_answer(now, server.zone_state)
        server.overdue_streak = server.failed_connects = 0
        ejections = server.ejections(cls.spec.name)
        if not ejections:
            cls.faulty += (MIN_ERROR_SHARE - cls.faulty) / 64
            self.lost_share += (MIN_LOST_SHARE - self.lost_share) / 128
        if cls.spec.name in server.class_ejections:
            server.class_ejections[cls.spec.name].errors *= ERROR_DECAY
        if now >= server.warm_at:
            self.warm_answers += 1
        elif attempt.sent_at > server.started:
            self._record_cold(now, server, self.shared is None or latency < COLD_RATIO * cls.spec.aim_ns)
        self._adjust_limit(now, server, cls, latency)
        for state in ejections:
            state.trials_needed -= 1
            state.trial_at = now
            if state.trials_needed <= 0:
                state.ejected = False
                state.backoff_ns = INITIAL_BACKOFF_NS
                server.unreachable = server.unreachable and state is not server.ejection
                of = "" if state in (server.ejection, server.zone_state.ejection) else f" for {cls.spec.name}"
                self.actions.append(mi.Log(f"server {server.id} returned{of}"))

    def _record_cold(self, now: int, server: _Server, good: bool) -> None:
        server.budget.record_answer(now, good)
        self.cold_factor.adjust(good)

    def _add_penalty(self, now: int, server: _Server) -> None:
        """Count an ended attempt as in flight for a while longer.

        Otherwise a server that fails fast would have the lowest count and attract its keys, and a server that
        goes on with abandoned work would be overloaded. With many balancers the penalty lasts at least
        until this one would send to the server again, and does not count against the shared limit.
        """
        span = self.longest_aim if self.shared is None else max(self.longest_aim, self._mean_send_gap(now))
        server.add_inflight(1, self.shared is None)
        self.penalties.append((now + span, server))

    def _mean_send_gap(self, now: int) -> int:
        """Return the mean time (ns) between our requests to the same server."""
        return len(self.ready) * (now - self.started_at) // self.arrivals

    def _record_failure(self, now: int, request: _Open, attempt: _Attempt, outcome: mi.Outcome) -> None:
        server = attempt.server
        if outcome in OVERLOADS and self.shared and now < server.warm_at and attempt.sent_at > server.started:
            self._record_cold(now, server, False)
        if outcome in PENALIZED:
            self._add_penalty(now, server)
        if outcome is mi.Outcome.ERROR or outcome is mi.Outcome.RESET:
            self._record_error(now, server, request.cls, "errors")
        elif outcome is mi.Outcome.TIMEOUT:
            ejections = server.ejections(request.cls.spec.name)
            if not ejections:
                self.lost_share += (1 - self.lost_share) / 128
            # An attempt that was sent late times out early, which does not make the server fast.
            self._adjust_limit(now, server, request.cls, max(now - attempt.sent_at, request.cls.spec.aim_ns))
            for state in ejections:
                # For an ejected zone only the trial counts, not attempts sent before the ejection.
                if (
                    state is server.zone_state.ejection
                    and attempt.sent_at < state.trial_at - state.backoff_ns
                ):
                    continue
                self._eject(now, server, state, state.trials_needed, "silence")
        elif outcome is mi.Outcome.REJECTED:
            # A rejection with one request in flight is not due to our load: a lower limit would only starve
            # the classes that the server accepts.
            limiter = server.limiter
            least = min(limiter.limit, max(MIN_LIMIT, min(1.0, limiter.initial_limit / 2)))
            limiter.limit = max(least, limiter.limit * (1 - 0.5 / limiter.servers))
            self._record_error(now, server, request.cls, "turning away")
        elif outcome is mi.Outcome.CONNECT_FAILED:
            # The list may be stale or missing, so an unreachable server is ejected at once and gets trials.
            # A single connection may fail at a server that still answers over others.
            server.failed_connects += 1
            if server.failed_connects >= MAX_FAILED_CONNECTS or now > server.last_ok + INITIAL_BACKOFF_NS:
                server.unreachable = True
                self._eject(now, server, server.ejection, 1, "no connection")

    def _record_error(self, now: int, server: _Server, cls: _Class, reason: str) -> None:
        """Count an error for one class only: a server may fail one class and serve another well.

        Where all servers return errors or break off answers alike, an error says less about a single server.
        """
        name = cls.spec.name
        ejection = server.class_ejections.setdefault(name, _Ejection())
        ejection.errors += max(MIN_ERROR_WEIGHT, math.log(cls.faulty) / math.log(MIN_ERROR_SHARE))
        if not server.ejections(name):
            cls.faulty += (1 - cls.faulty) / 64
        if ejection.errors >= EJECTION_ERRORS:
            self._eject(now, server, ejection, TRIALS_AFTER_ERRORS, f"{reason} of {name}")

    def _adjust_limit(self, now: int, server: _Server, cls: _Class, latency: int) -> None:
        """Adjust the limit by a latency, to keep answers within the aim and servers from slowing under load."""
        target = TARGET_RATIO * cls.spec.aim_ns
        if not self._is_limited(now, server):
            return
        if now >= server.warm_at:  # a cold server is slow without any load
            crowd_target = max(UNCROWDED * cls.base, MAX_CROWDING * cls.base - (MAX_CROWDING - 1) * cls.low)
            target = min(target, crowd_target * self.slowdown)
            if cls.base < cls.spec.aim_ns:
                server.load_estimate.record_answer(now, latency / cls.base, server.inflight)
                self.sample_size += 1
                self.sample_slowness += latency / cls.base
                self.sample_busy_ns += latency
        server.limiter.adjust(LIMIT_GAIN * (1 - min(latency / target, 3.0)) / 2)

    def _eject(self, now: int, server: _Server, ejection: _Ejection, trials: int, reason: str) -> None:
        if ejection.ejected:
            ejection.backoff_ns = min(MAX_BACKOFF_NS, ejection.backoff_ns * 2)
        else:
            name = next((n for n, s in server.class_ejections.items() if s is ejection), "")
            zone_wide = server.zone_state.ejection
            count = sum(
                1
                for s in self.ready
                if s.ejections(name) and not (s.unreachable or s.zone_state.ejection.ejected)
            )
            if not (server.unreachable or ejection is zone_wide) and count + 1 > MAX_EJECTED * len(
                self.ready
            ):
                return
            ejection.ejected = True
            if self.shared is not None and server.ejected:
                self._release_ejected()
            self.actions.append(mi.Log(f"server {server.id} ejected: {reason}"))
        ejection.trials_needed = max(trials, 1)
        ejection.trial_at = now + ejection.backoff_ns

    # ---- housekeeping

    def _on_timer(self, now: int, event: mi.TimerFired) -> None:
        if event.token == RESUBSCRIBE and self.settings.ask_for_list:
            self.actions.append(mi.Subscribe())
        if event.token != TICK or not self.ticking:
            return
        self.ticking = False
        while self.penalties and self.penalties[0][0] <= now:
            self.penalties.popleft()[1].add_inflight(-1, self.shared is None)
        if now >= self.second_ends:
            self._update_warm_rate(now)
        if self.sample_size >= (FULL_SAMPLE if now < self.sample_from + mi.NS_PER_S else MIN_SAMPLE):
            self._update_slowdown(now)
        for cls in self.classes.values():
            self._check_overdue(now, cls)
        for request in sorted(self.queued.values(), key=lambda r: -r.value):
            # A rejection after half of the client's time costs the client more than an earlier one.
            if self._is_too_late(now, request) or now + self.tick_ns > request.decide_by:
                self._answer_unserved(now, request)
            else:
                self._try_send(now, request)

    def _release_ejected(self) -> None:
        """Stop counting attempts at ejected servers against the shared limit: they show no overload."""
        for request in self.requests.values():
            attempt = request.attempts[-1] if request.in_flight else None
            if attempt is not None and attempt.counted and attempt.server.ejected:
                attempt.counted = False
                attempt.server.limiter.inflight -= 1

    def _update_warm_rate(self, now: int) -> None:
        """Learn the rate at which a warm server of weight 1 answers us, while enough servers are warm."""
        seconds = (now - self.second_ends) / mi.NS_PER_S + 1.0
        # Only servers in use: after a restart with a stale list most listed servers may be gone.
        warm = self._warm_weight(now)
        if warm and warm >= sum(s.weight for s in self.ready if not s.ejected) * MIN_WARM_SHARE:
            rate = self.warm_answers / seconds / warm
            self.warm_rate = rate if self.warm_rate is None else self.warm_rate + (rate - self.warm_rate) / 8
        self.warm_answers = 0
        self._resize_limiter(now)
        self.second_ends = now + mi.NS_PER_S
        for tenant in self.tenant_counts:
            self.tenant_counts[tenant] *= TENANT_DECAY_PER_S

    def _warm_weight(self, now: int) -> float:
        return sum(s.weight for s in self.ready if now >= s.warm_at and not s.ejected)

    def _update_slowdown(self, now: int) -> None:
        """Learn how much of the fleet's slowdown load does not explain, so that limits are not cut for it.

        If answers are slower than more requests in flight explain (Little's law), the work itself, or a backend
        that it waits for, has become slower.
        """
        warm = self._warm_weight(now)
        slow = self.sample_slowness / self.sample_size
        busy = self.sample_busy_ns / (max(1, now - self.sample_from) * max(warm, 0.01))
        slowdown = slow / max(1.0, busy / self.usual) if self.usual else 1.0
        slowdown = max(slowdown, min(slow, self.slowdown))
        if slowdown > self.slowdown * UNCROWDED:
            for server in self.ready:  # undo needless cuts, up to half the initial limit
                server.limiter.limit = max(server.limiter.limit, server.limiter.initial_limit / 2)
        self.slowdown += ((slowdown if slowdown > UNCROWDED else 1.0) - self.slowdown) / 2
        if slow < UNCROWDED and not self.queued:
            self.usual += (busy - self.usual) / (8 if self.usual else 1)
        self.sample_size = self.sample_busy_ns = 0
        self.sample_slowness = 0.0
        self.sample_from = now

    def _check_overdue(self, now: int, cls: _Class) -> None:
        """Find overdue attempts: they show a hung or frozen server long before their timeout."""
        overdue_after = min(cls.mean + 3 * cls.dev, cls.spec.aim_ns * 0.6)
        queue = cls.outstanding
        while queue and (queue[0][1].state != IN_FLIGHT or queue[0][1].sent_at + overdue_after <= now):
            request, attempt = queue.popleft()
            if attempt.state != IN_FLIGHT or request.streaming:
                continue
            attempt.overdue = True
            self.overdue_share += (1 - self.overdue_share) / 64
            server = attempt.server
            if server.last_ok <= attempt.sent_at:
                server.overdue_streak += 1
                if now >= server.warm_at and self.zones.record_overdue(
                    server.id, attempt.sent_at, server.zone_state
                ):
                    self._eject(now, server, server.zone_state.ejection, 1, f"silence of zone {server.zone}")
                # Compared with the fleet: where all servers are slow, slowness does not show a hang.
                if not server.ejected and self.overdue_share**server.overdue_streak < MAX_CHANCE:
                    self._eject(now, server, server.ejection, 1, "silence")
