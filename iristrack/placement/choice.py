"""Choice of a server for one request.

The key's hash ranks the usable servers. The first two are the candidates, and the one with fewer requests in flight is
chosen, at random among equals. Exceptions to this rule are described where they are made, and in `docs/design.md`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from iristrack.placement.ranking import hash64, rank_value
from iristrack.placement.servers import Server

CANDIDATE_COUNT = 2
PREFILL_CHUNK_TOKENS = 1024  # tokens of a prompt that a server processes in one prefill step
FETCH_COST_RATIO = 0.2  # cost of fetching a token relative to prefilling it; a distant one costs twice that
FETCH_SETUP_CHUNKS = 0.5  # fixed cost of starting a fetch, in prefill chunks

# These are counted in prefill chunks and requests, as by `cost`.
FIRST_RANK_BONUS = 2.0  # a prompt kept nowhere goes to its first-ranked server unless that costs more by this
SPILLOVER_LOAD = 24.0  # candidates above this load share their requests with the other servers
SPILLOVER_GAIN = 4.0  # a request spills over only to a server whose cost is lower by more than this
MAX_LOAD = 64.0  # a server above this load would start a request only after its client has timed out


@dataclass(frozen=True, slots=True)
class PrefillEstimate:
    """Work that one server would have to do for a prompt before its first token."""

    prompt_tokens: int  # tokens to prefill where nothing of the prompt is kept
    kept_tokens: int  # tokens of them that the server keeps
    kept_elsewhere: int  # the most tokens that another server or a store keeps
    prefilling_elsewhere: int = 0  # tokens that another server is prefilling for an earlier request

    @property
    def prefill_tokens(self) -> int:
        """Tokens that the server has to prefill after fetching what is kept elsewhere."""
        return max(0, self.prompt_tokens - max(self.kept_tokens, self.kept_elsewhere))

    @property
    def fetch_tokens(self) -> int:
        """Tokens that the server fetches from elsewhere."""
        return max(0, self.kept_elsewhere - self.kept_tokens)

    @property
    def duplicate_tokens(self) -> int:
        """Tokens that the server would prefill although another server is already prefilling them."""
        return max(0, self.prefilling_elsewhere - max(self.kept_tokens, self.kept_elsewhere))


def chunks_to_prefill(estimate: PrefillEstimate) -> int:
    """Return the number of prefill chunks that the server has to process."""
    return -(-estimate.prefill_tokens // PREFILL_CHUNK_TOKENS)


def rank_servers(
    servers: Collection[Server], key: str | None, rng: random.Random, count: int
) -> list[Server]:
    """Return the first `count` servers of the key's ranking, or a random sample of them without a key."""
    if key is None:
        return rng.sample(list(servers), min(count, len(servers)))
    seed = hash64(key)
    return heapq.nsmallest(count, servers, key=lambda server: rank_value(seed, server.hash, 1.0))


def cost(server: Server, estimate: PrefillEstimate) -> float:
    """Return the server's load plus the work that this prompt would add, in prefill chunks and requests.

    Exception to counting requests alone: the load includes the prefill chunks that are still pending, those reported by
    other sidecars too, and the prompt itself counts with what the server would have to prefill or fetch. Tokens that
    another server is already prefilling count twice: waiting there adds no work for other requests.
    """
    fetch_cost = (
        FETCH_SETUP_CHUNKS + estimate.fetch_tokens * FETCH_COST_RATIO / PREFILL_CHUNK_TOKENS
        if estimate.fetch_tokens
        else 0.0
    )
    return (
        server.load
        + (estimate.prefill_tokens + estimate.duplicate_tokens) / PREFILL_CHUNK_TOKENS
        + fetch_cost
    )


def choose_server(
    servers: Collection[Server],
    key: str | None,
    estimate_at: Callable[[Server], PrefillEstimate],
    rng: random.Random,
) -> Server | None:
    """Return the server to send to; None without servers, or if none could start the request in time."""
    candidates = rank_servers(servers, key, rng, CANDIDATE_COUNT)
    if not candidates:
        return None
    costs = [(cost(server, estimate_at(server)), server) for server in candidates]
    if key is not None and len(costs) > 1 and not any(_is_kept(estimate_at(server)) for server in candidates):
        # Exception: one server should prefill what is kept nowhere, and all sidecars pick the same one by the ranking.
        costs[0] = (costs[0][0] - FIRST_RANK_BONUS, candidates[0])
    lowest, best = _cheapest(costs, rng)
    if lowest <= SPILLOVER_LOAD or len(servers) <= CANDIDATE_COUNT:
        return best if lowest <= MAX_LOAD else None
    # Exception: if both candidates are overloaded, the rest of the ranking is considered.
    others = [(cost(s, estimate_at(s)), s) for s in servers if s not in candidates]
    lowest_other, other = _cheapest(others, rng)
    chosen = (lowest_other, other) if lowest_other + SPILLOVER_GAIN < lowest else (lowest, best)
    if chosen[0] > MAX_LOAD:
        chosen = min((lowest, best), (lowest_other, other), key=lambda pair: pair[0])
    return chosen[1] if chosen[0] <= MAX_LOAD else None


def _is_kept(estimate: PrefillEstimate) -> bool:
    return estimate.kept_tokens > 0 or estimate.kept_elsewhere > 0


def _cheapest(costs: list[tuple[float, Server]], rng: random.Random) -> tuple[float, Server]:
    lowest = min(value for value, _ in costs)
    return lowest, rng.choice([server for value, server in costs if value <= lowest])
