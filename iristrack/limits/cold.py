"""How much one sidecar may send to a pool server that just started, so that all of them together do not push it over.

This file owns the budget of one server at one sidecar. It must never pick, send or refuse, and it reads no clock:
times are the host's nanoseconds, rates are requests a second.

The bound needs nobody to hear anything of the others. Each sidecar sends at the floor (its own part of what the
contract grants at this age) plus `EARNED` times the rate of good answers that the server gave it since its start. The
answers to all sidecars together are no more than the server can do now, as a cold server only gets faster. So all
together send at most the floor, plus `EARNED` times what the server can do, plus a burst of one token each.
"""

from __future__ import annotations

import math

from iristrack.interface import Contract

NS_PER_S = 1_000_000_000
FACTOR = 4.0  # at a contract with this factor the floor is what it promises, at a lower one less
EARNED = 1.25  # sends that an answer earns; less than the contract's factor less one
MEMORY_NS = NS_PER_S  # answers count for about so long


def granted_share(age_ns: int, cold_share: float, cold_ns: int) -> float:
    """The least share of its capacity that the contract promises of a server this old."""
    return cold_share + (1 - cold_share) * min(1.0, max(0, age_ns) / cold_ns)


class ColdBudget:
    """One cold server's tokens at one sidecar: one is a send."""

    __slots__ = ("answers", "answers_at", "at", "tokens")

    def __init__(self, tokens: float) -> None:
        """A part of a `token`, at random: a whole one would let a thousand sidecars at a cold server at once."""
        self.tokens = tokens
        self.at = 0  # when they were last counted; 0: never
        self.answers = 0.0  # good answers of this start, fading
        self.answers_at = 0

    def _recent(self, now: int) -> float:
        if self.answers:
            self.answers *= math.exp((self.answers_at - now) / MEMORY_NS)
        self.answers_at = now
        return self.answers

    def answered(self, now: int) -> None:
        """A request that was sent to it since this start was served."""
        self.answers = self._recent(now) + 1

    def allows(self, now: int, warm_rate: float, started: int, contract: Contract) -> bool:
        """May a request go there now? `warm_rate`: how many a second it would answer us when warm."""
        share = granted_share(now - started, contract.cold_share, contract.cold_ns)
        floor = warm_rate * share * contract.overload_factor / FACTOR
        rate = floor + EARNED * self._recent(now) * NS_PER_S / MEMORY_NS
        elapsed = (now - self.at) / NS_PER_S if self.at else 0.0
        self.tokens = min(max(1.0, rate / 2), self.tokens + elapsed * rate)
        self.at = now
        return self.tokens >= 1.0

    def spend(self) -> None:
        """A request goes there."""
        self.tokens -= 1.0
