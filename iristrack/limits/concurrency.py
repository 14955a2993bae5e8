"""How many requests a sidecar may have in flight at a pool server, or at all of them together.

This file owns the limit, its size by the servers that it stands for, and the line of those that wait for room. It must
never pick, send or refuse, and it reads no clock: times are the host's nanoseconds. The line is bounded by whoever
pushes into it (`Balancer._hold`).
"""

from __future__ import annotations

from typing import Any

MIN_SHARED_LIMIT = 3.0  # room that a sidecar has at all servers together to start with, at the least
MIN_LIMIT = 0.1  # below 1 a limit is a share of the time: the server rests between our requests
MAX_GROWTH_FACTOR = 4.0  # a limit under the first guess grows at most so much faster than one at it


class ConcurrencyLimiter:
    """What we may have in flight at a server, or at all of them together where one's part is too small."""

    __slots__ = ("inflight", "initial_limit", "limit", "rest_until", "servers", "waiting")

    def __init__(self, limit: float) -> None:
        """`limit` is the first guess, in requests."""
        self.initial_limit = self.limit = limit
        self.servers = 1
        self.inflight = self.rest_until = 0
        self.waiting: list[tuple[float, int, Any]] = []  # heap of held requests: the best worth first

    def full(self, now: int) -> bool:
        """Is there no room for another request now?"""
        return self.inflight >= self.limit or now < self.rest_until

    def resize(self, servers: int, in_use: int, limit_per_server: float) -> None:
        """It is for so many servers from now on; those `in_use` count, by a first guess of `each`."""
        initial_limit = max(MIN_SHARED_LIMIT, limit_per_server * in_use)
        self.limit = max(1.0, self.limit * initial_limit / self.initial_limit)
        self.initial_limit, self.servers = initial_limit, servers

    def adjust(self, step: float) -> None:
        """An answer asks for so much more room, or less."""
        if step > 0:
            if self.inflight * 2 < self.limit - 1:
                return
            # Growth slows with the limit's size, cuts do not: else the busiest balancer ends up with
            # a crowded server to itself, and others refuse their dearest while it sends its cheapest.
            step *= min(MAX_GROWTH_FACTOR, self.initial_limit / self.limit)
        if self.servers == 1:
            self.limit = max(MIN_LIMIT, self.limit + step)
        else:  # small steps, as one slow answer says little of all servers; one request may always be out
            self.limit = max(1.0, self.limit + step * min(1.0, self.limit / MIN_SHARED_LIMIT))
