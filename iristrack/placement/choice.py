"""The choice of a server for one request.

The ordinary path: the key's hash ranks the usable servers, the first two are candidates, and the one with fewer of
this sidecar's own requests in flight wins, ties at random. The exceptions are stated where they are made.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from iristrack.placement.ranking import hash64, rank_value
from iristrack.placement.servers import Server

CANDIDATES = 2
PREFIX_LEAD = (
    3  # a candidate that keeps the prompt's prefix may hold so many more of our requests and still win
)


@dataclass(frozen=True, slots=True)
class Placement:
    """What the choice needs of a request."""

    key: str | None  # of the prompt's prefix; None: any two servers
    tokens: int  # of memory that the request may come to hold


def candidates(
    servers: Collection[Server], key: str | None, rng: random.Random, count: int = CANDIDATES
) -> list[Server]:
    """The first servers of the key's ranking, or as many at random where there is no key."""
    if key is None:
        return rng.sample(list(servers), min(count, len(servers)))
    seed = hash64(key)
    return heapq.nsmallest(count, servers, key=lambda server: rank_value(seed, server.hash, 1.0))


def choose(
    servers: Collection[Server],
    placement: Placement,
    kept_tokens: Callable[[Server], int],
    rng: random.Random,
) -> Server | None:
    """The server to send to, None where there is none to choose from.

    Exception: of two candidates, one that keeps more of the prompt wins while it holds no more than `PREFIX_LEAD`
    requests beyond the other: reading a shared part again costs more than a short wait.
    """
    pair = candidates(servers, placement.key, rng)
    if not pair:
        return None
    if len(pair) == 1:
        return pair[0]
    first, second = pair
    kept_first = kept_tokens(first)
    kept_second = kept_tokens(second)
    lead_first = PREFIX_LEAD if kept_first > kept_second else 0
    lead_second = PREFIX_LEAD if kept_second > kept_first else 0
    load_first = first.inflight - lead_first
    load_second = second.inflight - lead_second
    if load_first == load_second:
        return rng.choice(pair)
    return first if load_first < load_second else second
