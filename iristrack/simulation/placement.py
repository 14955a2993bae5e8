"""Ways to place prompts, weighed on a model of the engines in virtual time.

    python -m iristrack.simulation.placement --seeds 3 --policies product,two_choices

plays the same requests under each way and prints one key=value line for each: how many were late, the waits for the
first token of long and short prompts, and tokens of shared parts that were read although some server had read them.
The product's way is the code that serves (`placement/choice.py`); what sidecars know of one another and of kept parts
is as old as the options say.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace

from iristrack.placement import choice
from iristrack.placement.choice import PrefillEstimate
from iristrack.placement.ranking import hash64
from iristrack.placement.servers import ListedServer, Server
from iristrack.prefix_index.parts import Part, shared_parts
from iristrack.simulation.engine import Engine, EngineSize, Job, Prefix
from iristrack.simulation.register_events import MILLISECOND, SECOND, EventQueue

LONG, SHORT = "long", "short"
SYSTEM_PROMPT_TOKENS = 2_600
DRAINING_NS = 10 * SECOND


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request, by a site's sheet; lengths are means in tokens."""

    name: str
    per_s: float
    session_tokens: int
    own_tokens: int
    output_tokens: int
    aim_ns: int
    sessions: int


KINDS = (
    RequestKind(LONG, 150.0, 3_700, 2_890, 9, 600 * MILLISECOND, 1_300),
    RequestKind(SHORT, 130.0, 0, 628, 49, 800 * MILLISECOND, 40),
)


@dataclass(frozen=True, slots=True)
class Setting:
    """One fleet and its traffic; shares and lengths are of `rpk-iristrack-grown`, scaled."""

    servers: int = 70
    sidecars: int = 80
    kinds: tuple[RequestKind, ...] = KINDS
    duration_ns: int = 20 * SECOND
    loads_age_ns: int = (
        45 * MILLISECOND
    )  # of what sidecars know of one another's requests; negative: nothing is known
    index_age_ns: int = 250 * MILLISECOND  # of what they know of kept parts
    engine: EngineSize = field(default_factory=EngineSize)


@dataclass(frozen=True, slots=True)
class Request:
    """One client's request."""

    kind: RequestKind
    parts: tuple[Part, ...]
    sidecar: int
    arrives_ns: int


@dataclass(slots=True)
class Outcome:
    """What became of the requests of one run."""

    waits: dict[str, list[int]] = field(default_factory=lambda: {LONG: [], SHORT: []})
    late: int = 0
    unfinished: int = 0
    read_again: int = 0
    moved: int = 0


KeyOf = Callable[[tuple[Part, ...]], str | None]
Choose = Callable[
    [Collection[Server], str | None, Callable[[Server], PrefillEstimate], random.Random], Server | None
]


@dataclass(frozen=True, slots=True)
class Policy:
    """A way to place a prompt."""

    choose: Choose = choice.choose_server
    key_of: KeyOf = lambda parts: parts[-2].id if len(parts) > 1 else None
    fetches: bool = True


def choose_own_only(servers, key, prompt_at, rng) -> Server:
    """Two candidates by the key's hash; the one with fewer of this sidecar's own requests."""
    return _fewest_own(choice.rank_servers(servers, key, rng, 2), rng)


def choose_of_three(servers, key, prompt_at, rng) -> Server:
    """Three candidates by the key's hash, by cost."""
    return _cheapest(choice.rank_servers(servers, key, rng, 3), prompt_at, rng)


def choose_of_two(servers, key, prompt_at, rng) -> Server:
    """Two candidates by the key's hash, by cost: the product without spilling and without its lead for first reads."""
    return _cheapest(choice.rank_servers(servers, key, rng, 2), prompt_at, rng)


def choose_cheapest(servers, key, prompt_at, rng) -> Server:
    """The cheapest of all servers."""
    return _cheapest(list(servers), prompt_at, rng)


BOUND_FACTOR = 1.5  # times the mean load, that a server may hold to be given more


def choose_longest_prefix(servers, key, prompt_at, rng) -> Server:
    """The first of the key's ranking under the load bound, those that keep most of the prompt before all others."""
    bound = BOUND_FACTOR * (1 + sum(server.load for server in servers) / len(servers))
    ranking = choice.rank_servers(servers, key, rng, len(servers))
    ranking.sort(key=lambda server: -prompt_at(server).kept_tokens)
    return next((server for server in ranking if server.load <= bound), ranking[0])


def _fewest_own(candidates: list[Server], rng: random.Random) -> Server:
    fewest = min(server.inflight for server in candidates)
    return rng.choice([server for server in candidates if server.inflight == fewest])


def _cheapest(candidates: list[Server], prompt_at, rng: random.Random) -> Server:
    costs = [(choice.cost(server, prompt_at(server)), server) for server in candidates]
    least = min(cost for cost, _ in costs)
    return rng.choice([server for cost, server in costs if cost <= least])


def first_shared(parts: tuple[Part, ...]) -> str | None:
    """The key of what most prompts have in common."""
    return parts[0].id if len(parts) > 1 else None


def all_shared(parts: tuple[Part, ...]) -> str | None:
    """The key of the whole shared beginning."""
    return "/".join(part.id for part in shared_parts(parts)) or None


POLICIES = {
    "product": Policy(),
    "two_choices": Policy(choose_own_only, fetches=False),
    "two_choices_fetch": Policy(choose_own_only),
    "two_by_cost": Policy(choose_of_two),
    "three_by_cost": Policy(choose_of_three),
    "all_by_cost": Policy(choose_cheapest),
    "longest_prefix": Policy(choose_longest_prefix),
    "key_first_part": Policy(key_of=first_shared),
    "key_all_parts": Policy(key_of=all_shared),
}


class Sidecar:
    """What one sidecar knows: its own requests, and those of others as they were some time ago."""

    def __init__(self, servers: int) -> None:
        """Nothing is under way."""
        self.servers = [Server(_listed(number), hash64(f"i-{number}"), {}) for number in range(servers)]
        self.seen_requests = [0] * servers  # of its own, as the others know them
        self.seen_pieces = [0] * servers


def _listed(number: int) -> ListedServer:
    return ListedServer(f"i-{number}", "pool", f"i-{number}", "zone", True, 12)


class Fleet:
    """One run: the same requests, placed in one way."""

    def __init__(self, setting: Setting, policy: Policy, seed: int) -> None:
        """Draws the requests; nothing is kept anywhere."""
        self.setting = setting
        self.policy = policy
        self.outcome = Outcome()
        self.queue = EventQueue()
        self._rng = random.Random(seed)
        self.requests = draw_requests(setting, random.Random(seed))
        self._engines = [
            Engine(self.queue, setting.engine, self._keeper(number)) for number in range(setting.servers)
        ]
        self._sidecars = [Sidecar(setting.servers) for _ in range(setting.sidecars)]
        self._index: dict[Prefix, set[int]] = {}  # as all sidecars know it
        self._seen_requests = [0] * setting.servers  # of all sidecars, as they are told
        self._seen_pieces = [0] * setting.servers
        self._ever_read: set[Prefix] = set()

    def run(self) -> Outcome:
        """Play all requests, and some time for the last ones."""
        for request in self.requests:
            self.queue.add(request.arrives_ns, lambda request=request: self._place(request))
        self.queue.run_until(self.setting.duration_ns + DRAINING_NS)
        answered = sum(len(waits) for waits in self.outcome.waits.values())
        self.outcome.unfinished = len(self.requests) - answered
        self.outcome.late += self.outcome.unfinished
        self.outcome.moved = sum(engine.figures.moved for engine in self._engines)
        return self.outcome

    def _keeper(self, number: int) -> Callable[[Prefix, bool], None]:
        def kept(prefix: Prefix, is_kept: bool) -> None:
            self.queue.add(
                self.queue.now + self.setting.index_age_ns, lambda: self._learn(number, prefix, is_kept)
            )

        return kept

    def _learn(self, number: int, prefix: Prefix, is_kept: bool) -> None:
        holders = self._index.setdefault(prefix, set())
        if is_kept:
            holders.add(number)
        else:
            holders.discard(number)

    def _place(self, request: Request) -> None:
        sidecar = self._sidecars[request.sidecar]
        self._tell_others(sidecar)
        known = self._known_tokens(request.parts)
        tokens = sum(part.tokens for part in request.parts)

        def prompt_at(server: Server) -> PrefillEstimate:
            number = int(server.instance_id[2:])
            elsewhere = max((t for holder, t in known.items() if holder != number), default=0)
            return PrefillEstimate(tokens, known.get(number, 0), elsewhere if self.policy.fetches else 0)

        server = self.policy.choose(sidecar.servers, self.policy.key_of(request.parts), prompt_at, self._rng)
        if server is not None:  # else it is refused, and counts as unfinished
            self._send(request, sidecar, server, prompt_at(server))

    def _tell_others(self, sidecar: Sidecar) -> None:
        if self.setting.loads_age_ns < 0:
            return
        for number, server in enumerate(sidecar.servers):
            server.others_inflight = self._seen_requests[number] - sidecar.seen_requests[number]
            server.others_pending_chunks = self._seen_pieces[number] - sidecar.seen_pieces[number]

    def _known_tokens(self, parts: tuple[Part, ...]) -> dict[int, int]:
        """How much of the prompt each server is known to keep."""
        known: dict[int, int] = {}
        shared = shared_parts(parts)
        tokens = 0
        for length, part in enumerate(shared, 1):
            tokens += part.tokens
            for holder in self._index.get(tuple(p.id for p in shared[:length]), ()):
                known[holder] = tokens
        return known

    def _send(self, request: Request, sidecar: Sidecar, server: Server, prompt: PrefillEstimate) -> None:
        number = int(server.instance_id[2:])
        pieces = choice.chunks_to_prefill(prompt)
        server.began(pieces)
        self._tell_later(sidecar, number, 1, pieces)

        def first_token() -> None:
            server.prefill_finished(pieces)
            self._tell_later(sidecar, number, 0, -pieces)
            wait = self.queue.now - request.arrives_ns
            self.outcome.waits[request.kind.name].append(wait)
            self.outcome.late += wait > request.kind.aim_ns

        def end() -> None:
            server.ended()
            self._tell_later(sidecar, number, -1, 0)

        self._count_read_again(request, number, prompt)
        job = Job(
            request.parts,
            request.kind.output_tokens,
            first_token,
            end,
            prompt.kept_tokens + prompt.fetch_tokens,
        )
        delay = int(prompt.fetch_tokens / self.setting.engine.moved_tokens_per_ms * MILLISECOND)
        self.queue.add(self.queue.now + delay, lambda: self._engines[number].submit(job))

    def _tell_later(self, sidecar: Sidecar, number: int, requests: int, pieces: int) -> None:
        def told() -> None:
            self._seen_requests[number] += requests
            self._seen_pieces[number] += pieces
            sidecar.seen_requests[number] += requests
            sidecar.seen_pieces[number] += pieces

        if self.setting.loads_age_ns >= 0:
            self.queue.add(self.queue.now + self.setting.loads_age_ns, told)

    def _count_read_again(self, request: Request, number: int, prompt: PrefillEstimate) -> None:
        """Shared tokens that are read there although some server has begun to read them before."""
        have = max(
            prompt.kept_tokens, prompt.kept_elsewhere, self._engines[number].kept_tokens(request.parts)
        )
        shared = shared_parts(request.parts)
        tokens = 0
        for length, part in enumerate(shared, 1):
            tokens += part.tokens
            prefix = tuple(p.id for p in shared[:length])
            if tokens > have and prefix in self._ever_read:
                self.outcome.read_again += part.tokens
            self._ever_read.add(prefix)


def draw_requests(setting: Setting, rng: random.Random) -> list[Request]:
    """All requests of a run, by their arrival."""
    requests = []
    for kind in setting.kinds:
        lengths = [
            max(200, int(rng.expovariate(1 / max(1, kind.session_tokens)))) for _ in range(kind.sessions)
        ]
        at = 0.0
        while (at := at + rng.expovariate(kind.per_s)) * SECOND < setting.duration_ns:
            session = rng.randrange(kind.sessions)
            parts = [Part(f"{kind.name}{session}", lengths[session])]
            if kind.session_tokens:
                parts.insert(0, Part("system", SYSTEM_PROMPT_TOKENS))
            own = max(16, int(rng.expovariate(1 / kind.own_tokens)))
            parts.append(Part(f"own{len(requests)}", own))
            requests.append(Request(kind, tuple(parts), rng.randrange(setting.sidecars), int(at * SECOND)))
    return sorted(requests, key=lambda request: request.arrives_ns)


def line_of(name: str, outcome: Outcome, requests: int) -> str:
    """One line of key=value pairs."""
    fields = [f"policy={name}", f"requests={requests}", f"late={outcome.late / requests:.3f}"]
    for kind, waits in outcome.waits.items():
        if waits:
            ordered = sorted(waits)
            quantiles = [ordered[int(len(ordered) * q)] // MILLISECOND for q in (0.5, 0.9, 0.99)]
            fields.append(f"{kind}_ms=" + "/".join(map(str, quantiles)))
    fields.append(f"read_again={outcome.read_again // 1000}k")
    fields.append(f"moved={outcome.moved // 1000}k")
    return " ".join(fields)


def weigh(name: str, setting: Setting, seeds: range) -> tuple[Outcome, int]:
    """One way over several seeds, added up; and the number of requests."""
    total, requests = Outcome(), 0
    for seed in seeds:
        fleet = Fleet(setting, POLICIES[name], seed)
        outcome = fleet.run()
        requests += len(fleet.requests)
        for kind, waits in outcome.waits.items():
            total.waits[kind].extend(waits)
        total.late += outcome.late
        total.unfinished += outcome.unfinished
        total.read_again += outcome.read_again
        total.moved += outcome.moved
    return total, requests


def main(arguments: list[str] | None = None) -> int:
    """Play the ways that were asked for and print their lines."""
    parser = argparse.ArgumentParser(prog="python -m iristrack.simulation.placement", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--policies", default=",".join(POLICIES), help="names, separated by commas")
    parser.add_argument(
        "--loads-age-ms", type=int, default=45, help="-1: sidecars know nothing of one another"
    )
    parser.add_argument("--load", type=float, default=1.0, help="times the traffic of the sheet")
    options = parser.parse_args(arguments)
    names = options.policies.split(",")
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        parser.error(f"no policy is named {unknown[0]!r}: say some of {', '.join(POLICIES)}")
    kinds = tuple(replace(kind, per_s=kind.per_s * options.load) for kind in KINDS)
    setting = Setting(kinds=kinds, loads_age_ns=options.loads_age_ms * MILLISECOND)
    for name in names:
        outcome, requests = weigh(name, setting, range(options.seeds))
        print(line_of(name, outcome, requests), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
