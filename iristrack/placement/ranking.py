"""Rendezvous ranking of servers by a key's hash; shared by the sidecar balancer and the system's data plane."""

from __future__ import annotations

import math
from hashlib import blake2b

MASK = (1 << 64) - 1


def hash64(text: str) -> int:
    """Return 64 bits of the text's BLAKE2b hash."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix64(x: int) -> int:
    """Mix the bits of a 64-bit number with the finalizer of SplitMix64."""
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return x ^ (x >> 31)


def rank_value(seed: int, server_hash: int, weight: float) -> float:
    """Return a server's sort value in a key's ranking, lowest first; a higher weight makes it first for more keys."""
    return -math.log((mix64(seed ^ server_hash) + 1) / (MASK + 2)) / weight
