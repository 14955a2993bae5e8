"""How much one sidecar may send to a pool server that just started, so that all of them together do not push it over.

This file owns the budget of one server at one sidecar, and the pace that a sidecar among many learns for all its cold
servers. It must never pick, send or refuse, and it reads no clock: times are the host's nanoseconds, rates are
requests a second.

The bound needs nobody to hear anything of the others. Each sidecar sends at the floor (its own part of what the
contract grants at this age) times its pace, plus `EARNED` times the rate of good answers that the server gave it
since its start; a time in which it looks at no cold server at all earns no more than one window. The answers to all
sidecars together are no more than the server can do now, as a cold server only gets faster. So all together send at
most the floor times the pace, plus `EARNED` times what the server can do, plus a burst of one token each; and the
pace stays where that is within the contract.
"""

from __future__ import annotations

import math

from iristrack.interface import Contract

NS_PER_S = 1_000_000_000
REFERENCE_OVERLOAD_FACTOR = (
    4.0  # at a contract with this factor the floor is what it promises, at a lower one less
)
SENDS_PER_ANSWER = 1.25  # sends that an answer earns; less than the contract's factor less one
ANSWER_MEMORY_NS = NS_PER_S  # answers count for about so long
MIN_RATE_FACTOR = (
    0.5  # a sidecar among many takes so much of the floor, at all cold servers, where none answers well
)
RATE_FACTOR_STEP = 1 / 3  # and takes so much more with each good answer of any of them,
RATE_FACTOR_CUT = 0.5  # or is left with so much after a late one or none
INFLIGHT_PER_RECENT_ANSWER = (
    0.5  # requests of ours at a cold server, beside one, for each that it answered lately
)


def granted_share(age_ns: int, cold_share: float, cold_ns: int) -> float:
    """The least share of its capacity that the contract promises of a server this old."""
    return cold_share + (1 - cold_share) * min(1.0, max(0, age_ns) / cold_ns)


class ColdRateFactor:
    """How much of the floor a sidecar may send to cold servers, learnt from the answers of all of them.

    Of many sidecars each meets one cold server so seldom that its answers come too late to earn it anything. But
    those of all its cold servers tell how much such servers bear at this time.
    """

    __slots__ = ("max_value", "min_value", "observed_at", "observed_ns", "value")

    def __init__(self, many: bool, contract: Contract) -> None:
        """`many`: is this one of many sidecars? One of few goes by each server's own answers, at the floor."""
        overload_factor = contract.overload_factor
        self.value = 1.0
        self.observed_ns = self.observed_at = 0
        self.min_value = MIN_RATE_FACTOR if many else 1.0
        self.max_value = (
            max(1.0, REFERENCE_OVERLOAD_FACTOR * (1 - SENDS_PER_ANSWER / overload_factor)) if many else 1.0
        )

    def observe(self, now: int, window_ns: int) -> int:
        """For how long (ns) this sidecar has looked at cold servers, any of them; a quiet time is one window at most.

        Guards against a quiet time of the whole fleet: else each would hold a whole token after it, at each cold
        server, and all would spend it in one moment.
        """
        self.observed_ns += min(max(0, now - self.observed_at), window_ns)
        self.observed_at = now
        return self.observed_ns

    def adjust(self, good: bool) -> None:
        """A cold server answered well in time, or did not."""
        self.value = (
            min(self.max_value, self.value + RATE_FACTOR_STEP)
            if good
            else max(self.min_value, self.value * RATE_FACTOR_CUT)
        )


class ColdBudget:
    """One cold server's tokens at one sidecar: one is a send."""

    __slots__ = ("answers", "answers_at", "last_good", "refilled_at", "tokens")

    def __init__(self, tokens: float) -> None:
        """A part of a `token`, at random: a whole one would let a thousand sidecars at a cold server at once."""
        self.tokens = tokens
        self.last_good = True  # was its own last word a good one?
        self.refilled_at = -1  # when they were last counted, by the pace's attention; -1: never
        self.answers = 0.0  # good answers of this start, fading
        self.answers_at = 0

    def _fade_answers(self, now: int) -> float:
        if self.answers:
            self.answers *= math.exp((self.answers_at - now) / ANSWER_MEMORY_NS)
        self.answers_at = now
        return self.answers

    def record_answer(self, now: int, good: bool = True) -> None:
        """A request that was sent to it since this start was served; not `fine`: late, or not at all.

        After that it gets no more than the least, until it answers well: most that fall over are much slower than
        their size tells.
        """
        self.last_good = good
        self.answers = self._fade_answers(now) + 1 if good else 0.0

    def at_inflight_limit(self, now: int, own_inflight: int) -> bool:
        """Does it hold as many requests of ours, `own`, as its answers of late allow?"""
        return own_inflight >= 1 + INFLIGHT_PER_RECENT_ANSWER * self._fade_answers(now)

    def allows(
        self, now: int, warm_rate: float, started_at: int, contract: Contract, factor: ColdRateFactor
    ) -> bool:
        """May a request go there now? `warm_rate`: how many a second it would answer us when warm."""
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
        """A request goes there."""
        self.tokens -= 1.0
