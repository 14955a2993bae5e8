"""Limit on a sidecar's requests in flight at one pool server, or at all servers together.

This file owns the limit, its size by the servers that it covers, and the queue of requests that wait for capacity. It
must never pick, send or refuse, and it reads no clock: times are the host's nanoseconds. `Balancer._enqueue`, which
pushes into the queue, also bounds it.
"""

from __future__ import annotations

from typing import Any

MIN_SHARED_LIMIT = 3.0  # lower bound of the initial limit for all servers together
MIN_LIMIT = 0.1  # below 1, a limit is a share of time: we pause between requests
MAX_GROWTH_FACTOR = 4.0  # bounds how much faster a limit below its initial value grows


class ConcurrencyLimiter:
    """Limit on requests in flight at one server, or at all of them if the share of one is too small."""

    __slots__ = ("inflight", "initial_limit", "limit", "rest_until", "servers", "waiting")

    def __init__(self, limit: float) -> None:
        """`limit` is the initial limit, in requests."""
        self.initial_limit = self.limit = limit
        self.servers = 1
        self.inflight = self.rest_until = 0
        self.waiting: list[tuple[float, int, Any]] = []  # heap of queued requests, highest worth first

    def full(self, now: int) -> bool:
        """Return whether no further request may be sent now."""
        return self.inflight >= self.limit or now < self.rest_until

    def resize(self, servers: int, in_use: int, limit_per_server: float) -> None:
        """Cover `servers` servers from now on; the limit scales with those `in_use`."""
        initial_limit = max(MIN_SHARED_LIMIT, limit_per_server * in_use)
        self.limit = max(1.0, self.limit * initial_limit / self.initial_limit)
        self.initial_limit, self.servers = initial_limit, servers

    def adjust(self, step: float) -> None:
        """Change the limit by `step`, which one answer suggests."""
        if step > 0:
            if self.inflight * 2 < self.limit - 1:
                return
            # Growth slows with the size of the limit, cuts do not. Otherwise the busiest balancer would take over
            # an overloaded server, and others would reject high-worth requests while it sends low-worth ones.
            step *= min(MAX_GROWTH_FACTOR, self.initial_limit / self.limit)
        if self.servers == 1:
            self.limit = max(MIN_LIMIT, self.limit + step)
        else:  # small steps, as one answer says little about all servers; one request is always allowed
            self.limit = max(1.0, self.limit + step * min(1.0, self.limit / MIN_SHARED_LIMIT))
