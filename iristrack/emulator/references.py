"""Reference balancers behind the module's interface, to be measured beside it.

This file owns textbook policies and an oracle. They keep the rules on repeats and drains, retry from the same budget
(but for `random`), and hold nothing back; which server they choose is all that tells them apart. It must never be used
by the daemon.

- `random`: any ready server.
- `round_robin`: each in turn.
- `two_choices`: of two at random the one with fewer own requests in flight (Mitzenmacher 2001).
- `bounded_hash`: the key's place on a ring, past servers over 1.25 times the mean load (Mirrokni, Thorup, Zadimoghaddam
  2018).
- `ewma`: of two at random the one with the lower peak-EWMA latency times its own load (as in Finagle).
- `oracle`: the one that would answer first, with the true state of all servers in sight; no real balancer can.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from hashlib import blake2b
from typing import TYPE_CHECKING

from iristrack import interface as mi

if TYPE_CHECKING:
    from iristrack.emulator.world import World

RETRY_SHARE = 0.2  # extra attempts earned by each request
RETRY_BURST = 10.0
AVOID_NS = mi.NS_PER_S  # a server that could not be reached is left alone for so long
DECAY_NS = 5 * mi.NS_PER_S  # of the latency average
BOUND = 1.25  # times the mean load, for bounded loads
POINTS = 64  # of each server on the ring, times its weight


class _Server:
    __slots__ = ("avoid_until", "entry", "ewma", "inflight", "seen_at")

    def __init__(self, entry: mi.ServerEntry) -> None:
        self.entry = entry
        self.inflight = 0
        self.avoid_until = 0
        self.ewma = 0.0
        self.seen_at = 0


class _Open:
    __slots__ = ("attempts", "event", "out", "spec")

    def __init__(self, event: mi.Request, spec: mi.RequestClass) -> None:
        self.event = event
        self.spec = spec
        self.attempts: list[list] = []  # server, sent, may have run
        self.out = False


def hashed(text: str) -> int:
    """64 bits of BLAKE2b."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Reference:
    """What all have in common. A subclass says which server: `choose`."""

    avoids = True  # servers that could not be reached a moment ago
    retries_at_all = True

    def __init__(self, settings: mi.Settings, seed: int) -> None:
        """`seed` is the only source of randomness."""
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.servers: dict[str, _Server] = {}
        self.ready: list[_Server] = []
        self.requests: dict[str, _Open] = {}
        self.retries = RETRY_BURST

    def choose(self, now: int, request: _Open, servers: list[_Server]) -> _Server:
        """Pick one of `servers`, of which there is one at least."""
        raise NotImplementedError

    def changed(self) -> None:
        """The list has changed."""

    def answered(self, now: int, server: _Server, latency_ns: int, good: bool) -> None:
        """An attempt ended."""

    def handle(self, now: int, event: mi.Event) -> list[mi.Action]:
        """Take one event, return the actions."""
        if isinstance(event, mi.Request):
            return self._request(now, event)
        if isinstance(event, mi.AttemptEnded):
            return self._ended(now, event)
        if isinstance(event, mi.ServerList):
            return self._list(event)
        if isinstance(event, mi.ClientGone):
            request = self.requests.pop(event.id, None)
            if request is not None and request.out:
                request.attempts[-1][0].inflight -= 1
                return [mi.Cancel(event.id, len(request.attempts) - 1)]
        return []

    def _list(self, event: mi.ServerList) -> list[mi.Action]:
        if event.kind is mi.ListKind.FAILED:
            return []
        if event.kind is not mi.ListKind.DELTA:
            named = {entry.server for entry in event.servers}
            for name in [n for n in self.servers if n not in named]:
                del self.servers[name]
        for entry in event.servers:
            if entry.state is mi.ServerState.GONE:
                self.servers.pop(entry.server, None)
                continue
            server = self.servers.get(entry.server)
            if server is None or server.entry.started_ns != entry.started_ns:
                self.servers[entry.server] = _Server(entry)
            else:
                server.entry = entry
        self.ready = [s for s in self.servers.values() if s.entry.state is mi.ServerState.READY]
        self.changed()
        return [mi.Subscribe()] if self.settings.ask_for_list and event.kind is mi.ListKind.CACHED else []

    def _request(self, now: int, event: mi.Request) -> list[mi.Action]:
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        request = self.requests[event.id] = _Open(event, self.classes[event.request_class])
        return self._send(now, request) or self._give_up(request)

    def _allowed(self, now: int, request: _Open) -> list[_Server]:
        spec, found = request.spec, []
        for server in self.ready:
            entry = server.entry
            if self.avoids and now < server.avoid_until:
                continue
            if not self._warm_enough(now, entry):
                continue
            for other, sent, maybe in request.attempts:
                if other is server:
                    break
                if not maybe or spec.repeat is mi.Repeat.SAFE:
                    continue
                same = spec.group is mi.Group.ALL or (
                    other.entry.zone == entry.zone
                    if spec.group is mi.Group.ZONE
                    else other.entry.cell == entry.cell
                )
                if spec.repeat is mi.Repeat.UNSAFE or not same or now >= sent + spec.memory_ns:
                    break
            else:
                found.append(server)
        return found

    def _warm_enough(self, now: int, entry: mi.ServerEntry) -> bool:
        """A slow start: a cold server is open to the share of requests that it can take at its age."""
        contract = self.settings.contract
        age = now - entry.started_ns
        if not entry.started_ns or age >= contract.cold_ns:
            return True
        share = contract.cold_share + (1 - contract.cold_share) * max(0, age) / contract.cold_ns
        return self.random.random() < share

    def _send(self, now: int, request: _Open) -> list[mi.Action]:
        servers = self._allowed(now, request)
        if not servers:
            return []
        server = self.choose(now, request, servers)
        server.inflight += 1
        request.attempts.append([server, now, True])
        request.out = True
        return [mi.Send(request.event.id, server.entry.server)]

    def _ended(self, now: int, event: mi.AttemptEnded) -> list[mi.Action]:
        request = self.requests.get(event.id)
        if request is None or not request.out or event.attempt != len(request.attempts) - 1:
            return []
        attempt = request.attempts[-1]
        server = attempt[0]
        request.out = False
        server.inflight -= 1
        attempt[2] = event.outcome not in mi.NEVER_RAN
        self.answered(now, server, now - attempt[1], event.outcome is mi.Outcome.OK)
        if event.outcome is mi.Outcome.CONNECT_FAILED:
            server.avoid_until = now + AVOID_NS
        if event.outcome is mi.Outcome.OK or event.final:
            del self.requests[event.id]
            return []
        in_time = now + request.spec.aim_ns // 4 < request.event.give_up_ns
        more = len(request.attempts) < self.settings.limits.max_attempts
        if self.retries_at_all and in_time and more and self.retries >= 1:
            actions = self._send(now, request)
            if actions:
                self.retries -= 1
                return actions
        return self._give_up(request)

    def _give_up(self, request: _Open) -> list[mi.Action]:
        del self.requests[request.event.id]
        if request.spec.repeat is mi.Repeat.SAFE or not any(maybe for _, _, maybe in request.attempts):
            return [mi.Reject(request.event.id)]
        return [mi.Fail(request.event.id)]


class Random(Reference):
    """Any ready server, once."""

    avoids = retries_at_all = False

    def choose(self, now: int, request: _Open, servers: list[_Server]) -> _Server:
        """One at random."""
        return servers[int(self.random.random() * len(servers))]


class RoundRobin(Reference):
    """Each in turn."""

    turn = 0

    def choose(self, now: int, request: _Open, servers: list[_Server]) -> _Server:
        """The next."""
        self.turn += 1
        return servers[self.turn % len(servers)]


class TwoChoices(Reference):
    """Two at random, the less loaded."""

    def choose(self, now: int, request: _Open, servers: list[_Server]) -> _Server:
        """Fewer own requests in flight for its weight."""
        if len(servers) == 1:
            return servers[0]
        a, b = self.random.sample(servers, 2)
        return a if a.inflight / a.entry.weight <= b.inflight / b.entry.weight else b


class Ewma(Reference):
    """Two at random, the lower latency times load."""

    def choose(self, now: int, request: _Open, servers: list[_Server]) -> _Server:
        """Peak EWMA."""
        if len(servers) == 1:
            return servers[0]
        a, b = self.random.sample(servers, 2)
        return a if a.ewma * (a.inflight + 1) <= b.ewma * (b.inflight + 1) else b

    def answered(self, now: int, server: _Server, latency_ns: int, good: bool) -> None:
        """Up at once, down slowly."""
        latency = latency_ns if good else max(latency_ns, self.settings.classes[0].deadline_ns)
        if latency >= server.ewma:
            server.ewma = float(latency)
        else:
            weight = math.exp(-(now - server.seen_at) / DECAY_NS)
            server.ewma = server.ewma * weight + latency * (1 - weight)
        server.seen_at = now


class BoundedHash(Reference):
    """Consistent hashing with bounded loads."""

    def changed(self) -> None:
        """Draw the ring anew."""
        points = []
        for server in self.ready:
            for i in range(max(1, round(POINTS * server.entry.weight))):
                points.append((hashed(f"{server.entry.server}#{i}"), server.entry.server))
        points.sort()
        self.at = [at for at, _ in points]
        self.names = [name for _, name in points]

    def choose(self, now: int, request: _Open, servers: list[_Server]) -> _Server:
        """The first from the key's place that is not over the bound."""
        key = request.event.key
        at = hashed(key) if key is not None else self.random.getrandbits(64)
        allowed = {s.entry.server: s for s in servers}
        weight = sum(s.entry.weight for s in servers)
        bound = BOUND * (sum(s.inflight for s in servers) + 1) / weight
        start, first, seen = bisect(self.at, at), None, set()
        for i in range(len(self.names)):
            name = self.names[(start + i) % len(self.names)]
            if name in seen:
                continue
            seen.add(name)
            server = allowed.get(name)
            if server is None:
                continue
            first = first or server
            if server.inflight + 1 <= math.ceil(bound * server.entry.weight):
                return server
            if len(seen) == len(allowed):
                break
        return first or servers[0]


class Oracle(Reference):
    """Sees the true state of all servers."""

    def __init__(self, settings: mi.Settings, seed: int, world: World, number: int) -> None:
        """`world` is what it sees, from sidecar `number`."""
        super().__init__(settings, seed)
        self.world = world
        self.number = number

    def choose(self, now: int, request: _Open, servers: list[_Server]) -> _Server:
        """The one that would answer first."""
        world = self.world
        sidecar = world.sidecars[self.number]
        work = world.mean_work[request.event.request_class]
        best, least = servers[0], math.inf
        for server in servers:
            machine = world.machines[server.entry.server]
            state = machine.state
            if not state.up or state.silent or state.fell or machine.id in sidecar.cut or state.draining:
                continue
            on_the_way = server.inflight * work / (4 * state.cores)
            wait = state.expected_wait(now) if state.working >= state.slots else 0.0
            cost = wait + (work + on_the_way) / max(state.speed * state.warmth(now) / state.slow, 1e-9)
            key = request.event.key
            if state.gain and key is not None and now - state.keys.get(key, -state.key_span) < state.key_span:
                cost -= work * state.gain / state.speed
            cost += 2 * (world.cross_ns if state.plan.site != sidecar.site else world.same_ns)
            cost *= 1 + machine.grey * 10
            if cost < least:
                best, least = server, cost
        return best


NAMES: dict[str, type[Reference]] = {
    "random": Random,
    "round_robin": RoundRobin,
    "two_choices": TwoChoices,
    "bounded_hash": BoundedHash,
    "ewma": Ewma,
    "oracle": Oracle,
}
