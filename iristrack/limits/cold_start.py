"""Rate limit for sends to a pool server that has just started, safe for all sidecars together.

This file owns the token budget of one cold server at one sidecar, and the rate factor that a sidecar among many learns
from all its cold servers. It must never pick, send or refuse, and it reads no clock: times are the host's nanoseconds,
rates are requests per second.

The bound needs no communication between sidecars. Each sidecar sends to a cold server at

    floor * rate factor + SENDS_PER_ANSWER * rate of good answers that the server gave it since its start

where the floor is its share of what the contract grants at this age. A time in which it considers no cold server earns
it one window at most. The answers to all sidecars together are no more than the server can do now, as a cold server
only gets faster. So all sidecars together send at most floor * rate factor, plus SENDS_PER_ANSWER times what the server
can do, plus a burst of one token each. The maximum of the rate factor keeps this within the contract.
"""

from __future__ import annotations

import math

from iristrack.interface import Contract

NS_PER_S = 1_000_000_000
REFERENCE_OVERLOAD_FACTOR = 4.0  # the floor is the contract's promise at this factor, and less at lower ones
SENDS_PER_ANSWER = 1.25  # sends that a good answer earns; must be below the contract's factor minus one
ANSWER_MEMORY_NS = NS_PER_S  # time constant of the recent good answers
MIN_RATE_FACTOR = 0.5  # share of the floor that one of many sidecars sends if no cold server answers well
RATE_FACTOR_STEP = 1 / 3  # increase per good answer of any cold server
RATE_FACTOR_CUT = 0.5  # factor per late or missing answer of any cold server
INFLIGHT_PER_RECENT_ANSWER = 0.5  # requests in flight at a cold server, beside one, per recent good answer


def granted_share(age_ns: int, cold_share: float, cold_ns: int) -> float:
    """Return the minimum share of its capacity that the contract promises of a server of this age."""
    return cold_share + (1 - cold_share) * min(1.0, max(0, age_ns) / cold_ns)


class ColdRateFactor:
    """Factor on the floor for sends to cold servers, learned from the answers of all of them.

    One of many sidecars sends to a single cold server so seldom that its answers come too late to earn anything. The
    answers of all its cold servers together show how much such servers can take at the time.
    """

    __slots__ = ("max_value", "min_value", "observed_at", "observed_ns", "value")

    def __init__(self, many: bool, contract: Contract) -> None:
        """`many`: one of many sidecars; one of few keeps the floor and uses each server's own answers."""
        overload_factor = contract.overload_factor
        self.value = 1.0
        self.observed_ns = self.observed_at = 0
        self.min_value = MIN_RATE_FACTOR if many else 1.0
        self.max_value = (
            max(1.0, REFERENCE_OVERLOAD_FACTOR * (1 - SENDS_PER_ANSWER / overload_factor)) if many else 1.0
        )

    def observe(self, now: int, window_ns: int) -> int:
        """Return for how long (ns) this sidecar has considered cold servers; an idle time counts one window at most.

        Otherwise each sidecar would hold a whole token at each cold server after an idle time of the whole fleet, and
        all would spend them at the same moment.
        """
        self.observed_ns += min(max(0, now - self.observed_at), window_ns)
        self.observed_at = now
        return self.observed_ns

    def adjust(self, good: bool) -> None:
        """Adjust to a cold server's answer: well in time, or late or missing."""
        self.value = (
            min(self.max_value, self.value + RATE_FACTOR_STEP)
            if good
            else max(self.min_value, self.value * RATE_FACTOR_CUT)
        )


class ColdBudget:
    """Tokens for sends from one sidecar to one cold server."""

    __slots__ = ("answers", "answers_at", "last_good", "refilled_at", "tokens")

    def __init__(self, tokens: float) -> None:
        """`tokens` is a random part of one: whole ones would let a thousand sidecars send at the same moment."""
        self.tokens = tokens
        self.last_good = True  # whether the server's last answer was in time
        self.refilled_at = -1  # value of `ColdRateFactor.observe` at the last refill; -1: never
        self.answers = 0.0  # recent good answers since the server's start, decaying
        self.answers_at = 0

    def _fade_answers(self, now: int) -> float:
        if self.answers:
            self.answers *= math.exp((self.answers_at - now) / ANSWER_MEMORY_NS)
        self.answers_at = now
        return self.answers

    def record_answer(self, now: int, good: bool = True) -> None:
        """Record the outcome of a request sent since the server's start; not `good`: late or not served.

        After that the server gets the minimum rate until it answers well: most servers that collapse are much slower
        than their size suggests.
        """
        self.last_good = good
        self.answers = self._fade_answers(now) + 1 if good else 0.0

    def at_inflight_limit(self, now: int, own_inflight: int) -> bool:
        """Return whether our requests in flight reach what the recent good answers allow."""
        return own_inflight >= 1 + INFLIGHT_PER_RECENT_ANSWER * self._fade_answers(now)

    def allows(
        self, now: int, warm_rate: float, started_at: int, contract: Contract, factor: ColdRateFactor
    ) -> bool:
        """Refill and return whether a request may be sent; `warm_rate`: requests per second to us when warm."""
        share = granted_share(now - started_at, contract.cold_share, contract.cold_ns)
        floor = (
            warm_rate
            * share
            * contract.overload_factor
            / REFERENCE_OVERLOAD_FACTOR
            * (factor.value if self.last_good else factor.min_value)
        )
        rate = floor + SENDS_PER_ANSWER * self._fade_answers(now) * NS_PER_S / ANSWER_MEMORY_NS
        observed_ns = factor.observe(now, contract.fall_ns)
        elapsed = (observed_ns - self.refilled_at) / NS_PER_S if self.refilled_at >= 0 else 0.0
        self.tokens = min(max(1.0, rate / 2), self.tokens + elapsed * rate)
        self.refilled_at = observed_ns
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Take the token of one send."""
        self.tokens -= 1.0
