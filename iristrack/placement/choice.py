"""The choice of a server for one request.

The ordinary path: the key's hash ranks the usable servers, the first two are candidates, and the one with fewer
requests in flight wins, ties at random. The exceptions are stated where they are made, and in `docs/design.md`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from iristrack.placement.ranking import hash64, rank_value
from iristrack.placement.servers import Server

CANDIDATE_COUNT = 2
PREFILL_CHUNK_TOKENS = 1024  # of a prompt, that a server reads at a time
FETCH_SHARE = 0.2  # moving a token takes about so much of the time that reading it takes, a far one twice
FETCH_PIECES = 0.5  # and beginning a move, in pieces read
FIRST_RANK_BONUS = (
    2.0  # pieces; a prefix that nobody keeps goes to the first of its ranking unless that is so much busier
)
SPILLOVER_LOAD = 24.0  # pieces; candidates that are busier than this share their requests with the rest,
SPILLOVER_GAIN = 4.0  # where that is so much less busy
MAX_LOAD = 64.0  # pieces; a server that is busier would begin a request after its client has given it up


@dataclass(frozen=True, slots=True)
class PrefillEstimate:
    """What a server would have to do with a prompt before its first token."""

    prompt_tokens: int  # to be read where nothing is kept
    kept_tokens: int  # of them kept by the server
    kept_elsewhere: int  # the most that another server or a store keeps
    prefilling_elsewhere: int = 0  # tokens that another server is reading just now, for an earlier request

    @property
    def prefill_tokens(self) -> int:
        """Tokens that have to be read there, after what is kept elsewhere has been moved."""
        return max(0, self.prompt_tokens - max(self.kept_tokens, self.kept_elsewhere))

    @property
    def fetch_tokens(self) -> int:
        """Tokens that are moved there."""
        return max(0, self.kept_elsewhere - self.kept_tokens)

    @property
    def duplicate_tokens(self) -> int:
        """Tokens that would be read there although another server is reading them."""
        return max(0, self.prefilling_elsewhere - max(self.kept_tokens, self.kept_elsewhere))


def chunks_to_prefill(prompt: PrefillEstimate) -> int:
    """Pieces of the prompt that the server has to read."""
    return -(-prompt.prefill_tokens // PREFILL_CHUNK_TOKENS)


def rank_servers(
    servers: Collection[Server], key: str | None, rng: random.Random, count: int
) -> list[Server]:
    """The first servers of the key's ranking, or as many at random where there is no key."""
    if key is None:
        return rng.sample(list(servers), min(count, len(servers)))
    seed = hash64(key)
    return heapq.nsmallest(count, servers, key=lambda server: rank_value(seed, server.hash, 1.0))


def cost(server: Server, prompt: PrefillEstimate) -> float:
    """How busy the server is, and what this prompt would add: in pieces of prompts and requests.

    Exception: requests are counted with the pieces of their prompts that are still to be read, the other sidecars'
    as well where they have told of them, and the prompt at hand with what the server would have to read or fetch. What
    another server is reading already counts twice: to wait there costs nobody else anything.
    """
    moving = (
        FETCH_PIECES + prompt.fetch_tokens * FETCH_SHARE / PREFILL_CHUNK_TOKENS
        if prompt.fetch_tokens
        else 0.0
    )
    return server.load + (prompt.prefill_tokens + prompt.duplicate_tokens) / PREFILL_CHUNK_TOKENS + moving


def choose_server(
    servers: Collection[Server],
    key: str | None,
    prompt_at: Callable[[Server], PrefillEstimate],
    rng: random.Random,
) -> Server | None:
    """The server to send to; None where there is none to choose from, or all are too busy to begin it in time."""
    ranking = rank_servers(servers, key, rng, CANDIDATE_COUNT)
    if not ranking:
        return None
    costs = [(cost(server, prompt_at(server)), server) for server in ranking]
    if key is not None and len(costs) > 1 and not any(_keeps(prompt_at(server)) for server in ranking):
        # Exception: what nobody keeps yet is read by one server, and sidecars agree on which without a word.
        costs[0] = (costs[0][0] - FIRST_RANK_BONUS, ranking[0])
    least, best = _least(costs, rng)
    if least <= SPILLOVER_LOAD or len(servers) <= CANDIDATE_COUNT:
        return best if least <= MAX_LOAD else None
    # Exception: where both candidates are crowded, the rest of the ranking helps.
    others = [(cost(s, prompt_at(s)), s) for s in servers if s not in ranking]
    least_other, other = _least(others, rng)
    chosen = (least_other, other) if least_other + SPILLOVER_GAIN < least else (least, best)
    if chosen[0] > MAX_LOAD:
        chosen = min((least, best), (least_other, other), key=lambda pair: pair[0])
    return chosen[1] if chosen[0] <= MAX_LOAD else None


def _keeps(prompt: PrefillEstimate) -> bool:
    return prompt.kept_tokens > 0 or prompt.kept_elsewhere > 0


def _least(costs: list[tuple[float, Server]], rng: random.Random) -> tuple[float, Server]:
    least = min(value for value, _ in costs)
    return least, rng.choice([server for value, server in costs if value <= least])
