"""Terminals: what they ask, drawn ahead in an open loop, how long they wait, when they try again or hang up.

This file owns arrivals and the worth of answers as their askers see it. It knows sidecars by number only.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import TYPE_CHECKING

import numpy as np

from iristrack.emulator import ledger as lg
from iristrack.emulator.draws import Source, Stream
from iristrack.emulator.events import CLIENT, NETWORK, Deadlines
from iristrack.emulator.plan import EPOCH_NS, Plan, ns
from iristrack.emulator.server import Job

if TYPE_CHECKING:
    from iristrack.emulator.sidecar import Attempt
    from iristrack.emulator.world import World

CHUNK = 16_384
UNSERVED = 0  # how an ask ended
SERVED = 1
REFUSED = 2  # its last try was refused
LEFT = 3  # its terminal hung up early


class Arrivals:
    """Who asks what and when: arrays over first tries, in order of time."""

    def __init__(self, plan: Plan, source: Source) -> None:
        """Draw all of the day."""
        s = plan.scenario
        traffic, length = s.traffic, s.day.length_s
        grid = np.linspace(0.0, length, max(2, int(length * 20)) + 1)
        knots = np.array(plan.shape)
        rate = np.maximum(0.0, np.interp(grid, knots[:, 0], knots[:, 1])) * plan.rate
        generator = source.generator("bursts")
        cv = float(traffic.burst_cv)
        if traffic.arrivals == "bursts" and cv:
            stretch = max(1, round(float(traffic.burst_ms) / 1e3 * 20))
            factors = generator.gamma(1 / cv**2, cv**2, size=len(grid) // stretch + 1)
            rate *= np.repeat(factors, stretch)[: len(grid)]
        steps = np.diff(grid)
        total = np.concatenate([[0.0], np.cumsum((rate[1:] + rate[:-1]) / 2 * steps)])
        generator = source.generator("arrivals")
        if traffic.arrivals == "even":
            at = np.arange(0.5, total[-1])
        else:
            at = np.sort(generator.random(generator.poisson(total[-1])) * total[-1])
        n = self.count = len(at)
        self.times = EPOCH_NS + (np.interp(at, total, grid) * 1e9).astype(np.int64)
        self.classes = self._pick(source, "classes", n, [c.share for c in s.classes])
        self.tenants = self._pick(source, "tenants", n, list(plan.shares)) if plan.shares else None
        self.sidecars = self._pick(source, "who", n, [x.weight for x in plan.sidecars])
        keys = max(1, round(float(traffic.keys)))
        popularity = 1.0 / np.arange(1, keys + 1) ** float(traffic.zipf)
        popularity *= (1 - traffic.hot_share) / popularity.sum()
        popularity[0] += traffic.hot_share
        self.keys = None if traffic.no_key else self._pick(source, "keys", n, popularity)
        self.work = np.empty(n)
        for i, c in enumerate(s.classes):
            here = self.classes == i
            mean, size = float(c.work_ms) * 1e6, int(here.sum())
            generator = source.generator(f"work {i}")
            if c.work_form == "exp":
                self.work[here] = generator.exponential(mean, size)
            elif c.work_form == "lognormal":
                deviation = np.sqrt(np.log1p(float(c.work_cv) ** 2))
                self.work[here] = generator.lognormal(np.log(mean) - deviation**2 / 2, deviation, size)
            else:
                self.work[here] = mean

    @staticmethod
    def _pick(source: Source, name: str, n: int, weights: object) -> np.ndarray:
        edges = np.cumsum(np.asarray(weights, dtype=float))
        drawn = source.generator(name).random(n) * edges[-1]
        return np.minimum(np.searchsorted(edges, drawn, side="right"), len(edges) - 1)

    def __iter__(self) -> Iterator[tuple]:
        """(time, class, tenant, sidecar, key, work) of each first try, in order."""
        for a in range(0, self.count, CHUNK):
            b = a + CHUNK
            empty = [None] * len(self.times[a:b])
            yield from zip(
                self.times[a:b].tolist(),
                self.classes[a:b].tolist(),
                self.tenants[a:b].tolist() if self.tenants is not None else empty,
                self.sidecars[a:b].tolist(),
                self.keys[a:b].tolist() if self.keys is not None else empty,
                self.work[a:b].tolist(),
                strict=True,
            )


class Columns:
    """One row for each first try, in order of their ends: what figures are made of."""

    def __init__(self) -> None:
        """Empty; 27 bytes a row."""
        self.asked = array("q")  # ns
        self.took = array("q")  # ns from the first ask to the answer, -1 if none came
        self.cls = array("B")
        self.tenant = array("h")
        self.sidecar = array("i")
        self.end = array("B")
        self.tries = array("B")
        self.attempts = array("B")
        self.within = array("B")  # asked within the tenant's share
        self.counted = array("B")  # answered within it: a tenant that asks too much is still owed its share

    def __len__(self) -> int:
        """Rows."""
        return len(self.asked)


class Ask:
    """One thing that a terminal wants, over all its tries."""

    __slots__ = (
        "attempts", "class_name", "cls", "current", "done", "ends", "first_ns", "key", "keyed", "number",
        "refused_last", "sidecar", "tenant", "tenant_name", "terminals", "tries", "within", "work",
    )  # fmt: skip

    def __init__(
        self, terminals: Terminals, number: int, at: int, cls: int, tenant: int | None, sidecar: int, key: int | None,
        work: float, within: bool,
    ) -> None:  # fmt: skip
        self.terminals = terminals
        self.number = number
        self.first_ns = at
        self.cls = cls
        self.class_name = terminals.class_names[cls]
        self.tenant = tenant
        self.tenant_name = terminals.tenant_names[tenant] if tenant is not None else None
        self.sidecar = sidecar
        self.key = f"k{key}" if key is not None else None
        self.work = work
        self.within = within
        self.keyed = terminals.keyed[cls]
        self.ends = at + terminals.deadlines[cls]
        self.tries = self.attempts = 0
        self.current: str | None = None
        self.done = self.refused_last = False

    def job(self, attempt: Attempt) -> Job:
        """What an attempt brings to a pool server."""
        self.attempts += 1
        terminals = self.terminals
        noise = terminals.noise[self.cls]
        work = self.work
        if noise:
            work *= 2.718281828459045 ** (noise * terminals.draws.normal() - noise * noise / 2)
        return Job(attempt, self.cls, work, self.key, self.number, self.keyed, attempt.taken.give_up)

    def lost(self, request: str) -> None:
        """The sidecar that held it died."""
        if request == self.current:
            self.terminals.failed(self, "lost", 0)

    def unreachable(self, request: str) -> None:
        """No sidecar was there to take it."""
        if request == self.current:
            self.terminals.failed(self, "unreachable", 0)


def _waits(item: tuple[Ask, str]) -> bool:
    """Does its terminal still wait for this try?"""
    return item[1] == item[0].current and not item[0].done


class Terminals:
    """All clients."""

    def __init__(self, world: World, source: Source) -> None:
        """Arrivals are drawn here, once."""
        plan, s = world.plan, world.plan.scenario
        self.world = world
        self.arrivals = Arrivals(plan, source)
        self.draws = Stream(source.generator("terminals"))
        self.columns = Columns()
        self.class_names = [c.name for c in s.classes]
        self.tenant_names = [t.name for t in s.tenants]
        self.repeat = [c.repeat for c in s.classes]
        self.all_groups = [c.group == "all" for c in s.classes]
        self.keyed = [c.repeat == "guarded" for c in s.classes]
        self.memory = [ns(c.memory_s) for c in s.classes]
        self.deadlines = [ns(c.deadline_ms / 1e3) for c in s.classes]
        self.noise = [float(np.sqrt(np.log1p(float(c.attempt_noise) ** 2))) for c in s.classes]
        clients = s.clients
        self.patience = [int(d * float(clients.try_share)) for d in self.deadlines]
        self.retries = clients.retries
        self.backoff = int(float(clients.backoff_ms) * 1e6)
        self.honour = clients.honour
        self.impatient = float(clients.impatient)
        self.elsewhere, self.steered = clients.elsewhere, ns(clients.steered_s)
        self.slack = ns(s.rules.answer_slack_ms / 1e3)
        self.client_delay = int(float(s.network.client_ms) * 1e6)
        self.quotas = plan.quotas
        # A tenant's share counts twice, in buckets of a second's worth: what it asks, and what it is answered.
        self.asked_for = [[quota, EPOCH_NS] for quota in plan.quotas]
        self.answered = [[quota, EPOCH_NS] for quota in plan.quotas]
        self.asked = self.tries = 0
        self.open: dict[int, Ask] = {}
        self._next = iter(self.arrivals)
        self._patience = [Deadlines(world.queue, CLIENT, _waits, self._give_up) for _ in s.classes]

    def start(self) -> None:
        """Have the first arrive."""
        self._schedule()

    def _schedule(self) -> None:
        row = next(self._next, None)
        if row is not None:
            self.world.queue.at(row[0], CLIENT, self._arrive, row)

    def _arrive(self, row: tuple) -> None:
        at, cls, tenant, sidecar, key, work = row
        within = tenant is None or self._within(self.asked_for, at, tenant)
        ask = Ask(self, self.asked, at, cls, tenant, sidecar, key, work, within)
        self.open[self.asked] = ask
        self.asked += 1
        self._try(ask)
        self.world.ledger.turn()
        self._schedule()

    def _within(self, buckets: list[list], now: int, tenant: int) -> bool:
        """Does the tenant's bucket hold one more, and take it."""
        quota, bucket = self.quotas[tenant], buckets[tenant]
        level = min(quota, bucket[0] + (now - bucket[1]) / 1e9 * quota)
        bucket[0], bucket[1] = (level - 1 if level >= 1 else level), now
        return level >= 1

    def _try(self, ask: Ask) -> None:
        world = self.world
        now = world.queue.now
        if ask.done:
            return
        ask.tries += 1
        self.tries += 1
        if not world.sidecars[ask.sidecar].up:
            self._steer(now, ask)
        request = ask.current = f"c{ask.number}.{ask.tries}"
        give_up = min(now + self.patience[ask.cls], ask.ends)
        tenant = ask.tenant_name or ""
        world.ledger.add((lg.ASK, now, request, ask.number, ask.class_name, tenant, ask.sidecar, give_up))
        sidecar = world.sidecars[ask.sidecar]
        retry = ask.tries > 1
        if self.client_delay:
            world.queue.at(now + self.client_delay, NETWORK, sidecar.take, ask, request, give_up, retry)
        else:
            sidecar.take(ask, request, give_up, retry)
        if self.impatient and self.draws.uniform() < self.impatient:
            leaves = now + int(self.draws.uniform() * (give_up - now))
            world.queue.at(leaves, CLIENT, self._leave, ask, request)
        self._patience[ask.cls].add(give_up + self.slack, (ask, request))

    def _steer(self, now: int, ask: Ask) -> None:
        """Its sidecar is away: another one, if this deployment's terminals know any, or word of it is out."""
        lost = self.world.sidecars[ask.sidecar]
        known = self.steered and now >= lost.lost_at + self.steered
        if not (known or (self.elsewhere and ask.tries > 1)):
            return
        up = [x.number for x in self.world.sidecars if x.up] if known else None
        others = up or [x.number for x in self.world.sidecars if x is not lost]
        if others:
            ask.sidecar = others[int(self.draws.uniform() * len(others))]

    def got(self, ask: Ask, request: str, word: str, wait_ns: int) -> None:
        """An answer has come."""
        world = self.world
        if request != ask.current or ask.done:
            return
        world.ledger.add((lg.GOT, world.queue.now, request, word))
        if word == "served":
            self._end(ask, SERVED)
        else:
            self.failed(ask, word, wait_ns)

    def _leave(self, ask: Ask, request: str) -> None:
        """An impatient terminal hangs up, for good."""
        if request == ask.current and not ask.done:
            self._hang_up(ask, request)
            self._end(ask, LEFT)

    def _give_up(self, waits: tuple[Ask, str]) -> None:
        ask, request = waits
        self._hang_up(ask, request)
        self.failed(ask, "late", 0)

    def _hang_up(self, ask: Ask, request: str) -> None:
        world = self.world
        world.ledger.add((lg.GONE, world.queue.now, request))
        world.queue.at(
            world.queue.now + self.client_delay, NETWORK, world.sidecars[ask.sidecar].hang_up, request
        )

    def failed(self, ask: Ask, word: str, wait_ns: int) -> None:
        """This try is over without an answer; another one, if its class and its time allow."""
        if ask.done:
            return
        now = self.world.queue.now
        ask.current = None
        ask.refused_last = word == "short"
        again = word in ("short", "unreachable") or self.repeat[ask.cls] == "free"
        if not again and self.keyed[ask.cls] and self.all_groups[ask.cls]:
            again = now < ask.first_ns + self.memory[ask.cls]
        wait = self.backoff
        if wait_ns and self.honour and self.draws.uniform() < self.honour:
            wait = max(wait, wait_ns)
        if again and ask.tries <= self.retries and now + wait < ask.ends:
            self.world.queue.at(now + wait, CLIENT, self._try, ask)
        else:
            self._end(ask, REFUSED if ask.refused_last else UNSERVED)

    def _end(self, ask: Ask, end: int) -> None:
        now = self.world.queue.now
        ask.done = True
        del self.open[ask.number]
        columns = self.columns
        columns.asked.append(ask.first_ns)
        columns.took.append(now - ask.first_ns if end == SERVED else -1)
        columns.cls.append(ask.cls)
        columns.tenant.append(-1 if ask.tenant is None else ask.tenant)
        columns.sidecar.append(ask.sidecar)
        columns.end.append(end)
        columns.tries.append(min(255, ask.tries))
        columns.attempts.append(min(255, ask.attempts))
        columns.within.append(ask.within)
        within = ask.within
        if end == SERVED and ask.tenant is not None:
            within = self._within(self.answered, now, ask.tenant)
        columns.counted.append(within)

    def close(self) -> None:
        """The day is over: what is still open ended unserved."""
        for ask in list(self.open.values()):
            self._end(ask, UNSERVED)
