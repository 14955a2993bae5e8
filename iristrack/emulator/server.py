"""A pool server as a state machine: what it takes, queues, works on, turns away and forgets.

This file owns its cores, slots, waiting room, crowding, cold start, key memory, connection table and load reports.
Time is an argument of each call and never goes back. It knows no network: whoever hosts it asks `next_due`, calls
`advance` by then, and carries the answers. Work is nanoseconds on a core of speed 1.
"""

from __future__ import annotations

import math
from collections import deque
from contextlib import suppress
from heapq import heapify, heappop, heappush

from iristrack.emulator.draws import Stream
from iristrack.emulator.plan import Plan, ServerPlan, ns

NEVER = 1 << 62
MOST_REPEATS = 1 << 17  # keyed requests that a group remembers
QUEUED, WORKING, DONE = range(3)
SERVED, FAULTY, TURNED_AWAY = range(3)  # how a job ends
TOLD_NS = 1_000_000_000  # what a report tells of rates and times is the mean of about so long


class Job:
    """A request in a pool server's hands."""

    __slots__ = (
        "begun",
        "call",
        "ends",
        "key",
        "keyed",
        "kind",
        "mark",
        "rate",
        "spent",
        "state",
        "useless_at",
        "verdict",
        "work",
    )

    def __init__(
        self, call: object, kind: int, work: float, key: str | None, mark: int, keyed: bool, useless_at: int
    ) -> None:
        """`call` is the host's own; `kind` the class's number; `mark` what repeats of a request share."""
        self.call = call
        self.kind = kind
        self.work = work
        self.key = key
        self.mark = mark
        self.keyed = keyed
        self.useless_at = useless_at
        self.state = QUEUED
        self.begun = self.ends = 0
        self.rate = 1.0
        self.spent = 0  # slot time that it takes
        self.verdict = SERVED


class RepeatMemory:
    """What a group of pool servers remembers of keyed requests, to drop their repeats; 131,072 at most."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        """Empty."""
        self._until: dict[int, int] = {}

    def knows(self, now: int, mark: int) -> bool:
        """Would a repeat be dropped now?"""
        return self._until.get(mark, 0) > now

    def note(self, now: int, mark: int, span: int) -> None:
        """It has run; repeats are dropped for `span`."""
        table = self._until
        while table:
            first = next(iter(table))
            if table[first] > now and len(table) < MOST_REPEATS:
                break
            del table[first]
        table.pop(mark, None)
        table[mark] = now + span


class PoolServer:
    """One machine. `up` and `silent` tell what the network sees of it; `epoch` counts its starts."""

    def __init__(self, plan: Plan, own: ServerPlan, groups: list[RepeatMemory | None], draws: Stream) -> None:
        """`groups`: what is shared with others of its group, by class; `draws` is the machine's own."""
        model, connections, memory = own.model, plan.scenario.pool.connections, plan.scenario.pool.key_memory
        rules = plan.scenario.rules
        self.plan = own
        self.id = own.id
        self.groups = groups
        self.draws = draws
        self.cores = model.cores
        self.slots = max(1, round(float(model.slots_per_core) * model.cores))
        self.places = round(float(model.queue_per_core) * model.cores)
        self.speed = own.speed
        self.crowd_from = float(model.crowd_from_per_core) * model.cores
        self.crowd_cost = float(model.crowd_cost)
        self.choke_from = float(model.choke_from_per_core) * model.cores
        self.choke_after, self.choke_slower = ns(float(model.choke_after_s)), float(model.choke_slower)
        self.choke_below = float(model.choke_below_per_core) * model.cores
        self.choke_rest, self.choke_most = ns(float(model.choke_rest_s)), ns(float(model.choke_most_s))
        self.cold_share, self.cold_ns = float(model.cold_share), ns(float(model.cold_s))
        self.pause_every = float(model.pause_every_s) * 1e9
        self.pause_ns, self.pause_grow = float(model.pause_ms) * 1e6, float(model.pause_grow)
        self.error_rate = float(model.error_rate)
        self.stops_overdue, self.drops_expired = model.overdue_work == "stops", model.drops_expired
        self.most_links = max(1, round(float(connections.most_per_core) * model.cores))
        self.full_cost = float(connections.full_cost)
        self.handshake = float(connections.handshake_work_ms) * 1e6
        self.gain, self.key_span = float(memory.gain), ns(float(memory.span_s))
        self.most_keys = round(float(memory.keys_per_core) * model.cores)
        self.memory_ns = [ns(c.memory_s) for c in plan.scenario.classes]
        self.overload_factor, self.fall_ns = rules.overload_factor, ns(rules.fall_s)
        self.probe_work = float(plan.scenario.pool.reports.probe_work_ms) * 1e6
        # what changes
        self.up, self.silent, self.draining, self.fell = True, False, False, False
        self.epoch = 0
        self.started = 0  # 0: long ago
        self.slow = 1.0
        self.fails: dict[int, float] = {}  # class's number: share that ends as an error; -1: all classes
        self.links = 0
        self.working = 0
        self.queue: deque[Job] = deque()
        self.heap: list[tuple[int, int, Job]] = []
        self.sequence = 0
        self.keys: dict[str, int] = {}
        self.paused_until = 0
        self.next_pause = self._draw_pause(0) if self.pause_every else NEVER
        self.pressure, self.pressure_at = 0.0, 0
        self.choked, self.choked_at = False, 0
        self.over_since = self.calm_since = NEVER
        self.ended = self.ended_wrong = self.ended_ns = (
            0.0  # of late, fading: jobs, failures among them, their time
        )
        self.ended_at = 0
        # what is counted
        self.chokes = 0
        self.busy_ns = 0.0  # slot time spent
        self.useful_ns = 0.0  # of it, on answers that were made
        self.served = self.turned_away = self.errors = self.dropped_repeats = self.most_held = 0
        self.opened = self.most_open = 0
        self.done: list[Job] = []

    # ---- what the host asks

    @property
    def held(self) -> int:
        """Requests in service and waiting."""
        return self.working + len(self.queue)

    def capacity(self, now: int) -> float:
        """Work done in a nanosecond when busy, uncrowded."""
        return self.cores * self.speed * self.warmth(now) / self.slow

    def warmth(self, now: int) -> float:
        """The share of its capacity that it has at its age."""
        if not self.started or now >= self.started + self.cold_ns:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * (now - self.started) / self.cold_ns

    @property
    def next_due(self) -> int:
        """When `advance` must be called at the latest; `NEVER` while nothing is in service."""
        if not self.heap:
            return NEVER
        return self.heap[0][0] if self.heap[0][0] < self.next_pause else self.next_pause

    def expected_wait(self, now: int) -> float:
        """About how long a request that came now would wait for its slot: what an oracle may ask."""
        waiting = sum(job.work for job in self.queue) + self.working * 0.5 * (
            self.queue[0].work if self.queue else 0
        )
        return waiting / max(self.capacity(now), 1e-9)

    def report(self, now: int, noise: float) -> dict[str, float]:
        """Its load as it would tell it: `noise` is the relative error's deviation."""
        blur = 1 + noise * self.draws.normal() if noise else 1.0
        return {
            "util": min(1.0, max(0.0, self.working / self.slots * blur)),
            "inflight": max(0.0, round(self.held * blur)),
            "queue": max(0.0, round(len(self.queue) * blur)),
            **self._rates(now, blur),
        }

    def _rates(self, now: int, blur: float) -> dict[str, float]:
        """Requests and errors a second, and the mean service time without waiting (ms), of the last second or so."""
        self._fade(now)
        return {
            "qps": max(0.0, self.ended * 1e9 / TOLD_NS * blur),
            "eps": max(0.0, self.ended_wrong * 1e9 / TOLD_NS * blur),
            "latency_ms": max(0.0, self.ended_ns / self.ended / 1e6 * blur) if self.ended > 1e-6 else 0.0,
        }

    def _fade(self, now: int) -> None:
        left = math.exp((self.ended_at - now) / TOLD_NS)
        self.ended, self.ended_wrong, self.ended_ns = (
            self.ended * left, self.ended_wrong * left, self.ended_ns * left,
        )  # fmt: skip
        self.ended_at = now

    # ---- choking

    def _watch_crowd(self, now: int) -> None:
        """Has it been overdriven for too long, or rested for long enough?"""
        held = self.working + len(self.queue)
        if self.choked:
            rested = self.calm_since + self.choke_rest <= now
            if rested or now >= self.choked_at + self.choke_most:
                self.choked, self.calm_since = False, NEVER
                self._stretch(now, 1 / self.choke_slower)
            elif held > self.choke_below:
                self.calm_since = NEVER
            elif self.calm_since == NEVER:
                self.calm_since = now
        elif held <= self.choke_from:
            self.over_since = NEVER
        elif self.over_since == NEVER:
            self.over_since = now
        elif self.over_since + self.choke_after <= now:
            self.choked, self.choked_at, self.over_since = True, now, NEVER
            self.chokes += 1
            self._stretch(now, self.choke_slower)

    # ---- connections

    def accept(self, now: int) -> bool:
        """A connection comes up, if the table has room; its handshake is work."""
        if self.links >= self.most_links:
            return False
        self.links += 1
        self.opened += 1
        self.most_open = max(self.most_open, self.links)
        if self.handshake:
            # It takes what the cores could do meanwhile from all that are in service.
            self._delay_all(now, self.handshake / (self.cores * self.speed) * self.slow)
        return True

    def probe(self, now: int) -> None:
        """A probe's work."""
        self._delay_all(now, self.probe_work / (self.cores * self.speed) * self.slow)

    def hang_up(self) -> None:
        """A connection is closed."""
        self.links = max(0, self.links - 1)

    # ---- requests

    def arrive(self, now: int, job: Job) -> bool:
        """Take a request, or turn it away unseen (false)."""
        if self.next_pause <= now:
            self._pause(now)
        if self.choke_slower > 1:
            self._watch_crowd(now)
        if self.started and now < self.started + self.cold_ns and self._falls(now, job.work):
            return False
        if self.draining or self.fell:
            self.turned_away += 1
            return False
        if self.working < self.slots:
            if self.queue:
                self._fill(now)
            if self.working < self.slots:
                self._begin(now, job)
                return True
        if len(self.queue) >= self.places:
            self.turned_away += 1
            return False
        self.queue.append(job)
        held = self.working + len(self.queue)
        if held > self.most_held:
            self.most_held = held
        return True

    def _falls(self, now: int, work: float) -> bool:
        """The budget of a cold machine: what came within the span, against so many times what it can do."""
        drain = self.overload_factor * self.cores * self.speed * self.warmth(now)
        self.pressure = max(0.0, self.pressure - (now - self.pressure_at) * drain) + work
        self.pressure_at = now
        if self.pressure > 1.1 * drain * self.fall_ns and not self.fell:
            self.fell = True
            return True
        return False

    def _begin(self, now: int, job: Job) -> None:
        work = job.work
        if job.keyed and (memory := self.groups[job.kind]) is not None and memory.knows(now, job.mark):
            work = 0.0  # it knows the answer
        elif self.gain and job.key is not None:
            met = self.keys.get(job.key)
            if met is not None and now - met < self.key_span:
                work *= 1 - self.gain
        rate = self.speed / self.slow
        if self.choked:
            rate /= self.choke_slower
        if self.started and now < self.started + self.cold_ns:
            rate *= self.warmth(now)
        working = self.working + 1
        if working > self.cores:
            rate *= self.cores / working
        held = working + len(self.queue)
        if held > self.crowd_from:
            rate /= 1 + self.crowd_cost * (held - self.crowd_from)
        if self.full_cost:
            rate *= 1 - self.full_cost * self.links / self.most_links
        self.working = working
        if held > self.most_held:
            self.most_held = held
        begun = now if now > self.paused_until else self.paused_until
        lasts = int(work / rate)
        job.state = WORKING
        job.begun = now
        job.rate = rate
        job.ends = begun + lasts
        job.spent = lasts
        self.busy_ns += lasts
        self.sequence += 1
        heappush(self.heap, (job.ends, self.sequence, job))

    def _fill(self, now: int) -> None:
        queue = self.queue
        while queue and self.working < self.slots:
            job = queue.popleft()
            if job.state == DONE:
                continue
            if self.drops_expired and job.useless_at <= now:
                job.state, job.verdict = DONE, TURNED_AWAY
                self.done.append(job)
                continue
            self._begin(now, job)

    def advance(self, now: int) -> list[Job]:
        """What has ended by now, each job with its `verdict`; each is told once."""
        if self.next_pause <= now:
            self._pause(now)
        heap = self.heap
        while heap and heap[0][0] <= now:
            ends, _, job = heappop(heap)
            if job.state != WORKING or job.ends != ends:
                continue
            self._finish(ends, job)
            if self.queue:
                self._fill(ends)
            if self.choke_slower > 1:
                self._watch_crowd(ends)
        done, self.done = self.done, []
        return done

    def _finish(self, now: int, job: Job) -> None:
        self.working -= 1
        job.state = DONE
        self._fade(now)
        self.ended += 1
        self.ended_ns += now - job.begun
        fails = self.error_rate
        if self.fails:
            fails = max(fails, self.fails.get(-1, 0.0), self.fails.get(job.kind, 0.0))
        if fails and self.draws.uniform() < fails:
            job.verdict = FAULTY
            self.errors += 1
            self.ended_wrong += 1
        else:
            self.served += 1
        if job.keyed and (memory := self.groups[job.kind]) is not None:
            if memory.knows(now, job.mark):
                self.dropped_repeats += 1
                job.keyed = False  # no second effect
            else:
                memory.note(now, job.mark, self.memory_ns[job.kind])
        if self.gain and job.key is not None:
            keys = self.keys
            keys.pop(job.key, None)
            keys[job.key] = now
            if len(keys) > self.most_keys:
                del keys[next(iter(keys))]
        self.done.append(job)

    def cancel(self, now: int, job: Job) -> None:
        """Nobody waits for it any more."""
        if not self.stops_overdue:
            return
        if job.state == QUEUED:
            job.state = DONE
            with suppress(ValueError):
                self.queue.remove(job)
        elif job.state == WORKING:
            job.state = DONE
            self.working -= 1
            self.busy_ns -= max(0, job.ends - now)
            self._fill(now)

    # ---- what happens to it

    def _draw_pause(self, now: int) -> int:
        return now + int(self.pause_every * self.draws.exponential())

    def _pause(self, now: int) -> None:
        """Stops of all work that are due: each moves the ends of what is in service."""
        while self.next_pause <= now:
            at = self.next_pause
            crowd = len(self.queue) / self.places if self.places else 0.0
            length = self.pause_ns * (1 + self.pause_grow * min(1.0, crowd))
            self.paused_until = max(self.paused_until, at + int(length))
            if self.heap and length:
                self._delay_all(at, length)
            self.next_pause = self._draw_pause(at + int(length))

    def _delay_all(self, now: int, by: float) -> None:
        if not self.heap:
            return
        shift = int(by)
        moved = []
        for ends, sequence, job in self.heap:
            if job.state == WORKING:
                job.ends = max(ends, now) + shift
                moved.append((job.ends, sequence, job))
        heapify(moved)
        self.heap = moved

    def set_slow(self, now: int, times: float) -> None:
        """From now on all work takes so many times as long, also what is left of that in service."""
        factor = times / self.slow
        self.slow = times
        self._stretch(now, factor)

    def _stretch(self, now: int, factor: float) -> None:
        """What is in service takes so many times as long from now on."""
        moved = []
        for ends, sequence, job in self.heap:
            if job.state == WORKING:
                left = max(0, ends - now)
                job.ends = now + int(left * factor)
                self.busy_ns += job.ends - ends
                moved.append((job.ends, sequence, job))
        heapify(moved)
        self.heap = moved

    def crash(self, now: int) -> None:
        """The process ends: what it held is gone, unanswered; what it did stays done."""
        for _, _, job in self.heap:
            if job.state == WORKING:
                self.busy_ns -= max(0, job.ends - now)
                job.state = DONE
        for job in self.queue:
            job.state = DONE
        self.heap, self.done = [], []
        self.queue.clear()
        self.working = self.links = 0
        self.up = False
        self.keys.clear()

    def start(self, now: int) -> None:
        """It comes back cold, a process like new."""
        self.crash(now)
        self.up, self.silent, self.draining, self.fell = True, False, False, False
        self.epoch += 1
        self.started = now
        self.paused_until = 0
        self.pressure, self.pressure_at = 0.0, now
        self.choked, self.over_since, self.calm_since = False, NEVER, NEVER
        self.ended = self.ended_wrong = self.ended_ns = 0.0
        self.next_pause = self._draw_pause(now) if self.pause_every else NEVER
