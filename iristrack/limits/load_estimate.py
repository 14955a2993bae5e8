"""How many requests a pool server holds, whoever sent them, and whether it has room for one more.

This file owns the estimate of what other sidecars have in hand at a server, by the load reports in its answers, and
the bound on the sum. It must never pick, send or refuse, and it reads no clock: times are the host's nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

NS_PER_S = 1_000_000_000
TRUSTED_NS = NS_PER_S  # a report's figure stands so long, refresh and delay included,
FADES_NS = NS_PER_S  # and is forgotten evenly over so much more
MEMORY_NS = NS_PER_S * 7 // 10  # reports tell of about so long
SMOOTH_NS = (
    NS_PER_S  # reports are noisy, and a heavy request shows in them all at once: they move it so slowly
)
PACE_NS = 10 * NS_PER_S  # the best pace that a server told of is forgotten over so long
MOST_TOLD = 1e4  # no server is taken to hold more, or to answer more a second, whatever it tells
FEWEST = 1.5  # the bound on what it holds is no lower: one request may always come to an idle server
CROWDING = 2.0  # and falls by so much for each request in the server's waiting room: its slots are all taken
CORES = 2.0  # so many requests at once, at the least, are taken to be worked on at full speed
BELIEVED = 4.0  # times the bound: no more is believed to be in others' hands
EASY = 1.3  # answers that take less than so many times an uncrowded one's time let the bound grow,
GROWTH = 0.05  # by so much of the difference an answer, slower ones let it shrink likewise,
WORST = 8.0  # and none counts as slower than this


def figures(report: Mapping[str, float] | None) -> tuple[float, float] | None:
    """Requests that a server holds, and how many a second it could answer; None where the report cannot tell.

    `report` has `qps` (requests a second), `latency_ms` (service time without waiting) and `queue` (requests
    waiting). What it holds follows by Little's law. What it could answer is what it answers, or more where it works
    on fewer than it could: a missing figure, one that is no finite number or below zero makes the report useless.
    """
    if not report:
        return None
    try:
        qps, latency_ms, queue = report["qps"], report["latency_ms"], report["queue"]
    except KeyError:
        return None
    held = qps * latency_ms / 1e3 + queue
    if not math.isfinite(held) or qps < 0 or latency_ms <= 0 or queue < 0:
        return None
    return min(held, MOST_TOLD), min(MOST_TOLD, max(qps, CORES * 1e3 / latency_ms))


class Crowd:
    """The crowd at one server since its last start, as one sidecar sees it."""

    __slots__ = ("at", "least", "most", "others", "pace", "queue", "spent", "spent_at", "wait")

    def __init__(self, least: float, wait_ns: float) -> None:
        """`least` requests in hand, of all sidecars together, are borne if they are answered within `wait_ns`."""
        self.least = self.most = least
        self.wait = wait_ns / NS_PER_S
        self.others = 0.0  # what others have in hand there, as last told
        self.queue = 0.0  # requests that wait there
        self.pace = 0.0  # requests a second that it could answer
        self.at: int | None = None  # when it was last told; None: never
        self.spent = 0.0  # request seconds of ours that ended there, fading
        self.spent_at = 0

    def told(self, now: int, report: Mapping[str, float] | None, took_ns: int) -> bool:
        """Take the report in an answer of `now` to a request of ours that took so long; false if it tells nothing.

        Our own part is reckoned as the server reckons the whole: by what ended there lately. What we have in hand
        now would not do, since the report tells of half a second ago.
        """
        self.spent *= math.exp((self.spent_at - now) / MEMORY_NS)
        self.spent += took_ns / NS_PER_S
        self.spent_at = now
        found = figures(report)
        if found is None:
            return False
        held, pace = found
        # A lie must be forgotten as soon as a truth: no more is believed than leaves no room anyway.
        step, others = 1.0, min(BELIEVED * self.most, max(0.0, held - self.spent * NS_PER_S / MEMORY_NS))
        if self.at is not None:  # many answers bring the same report: what moves the estimate is time
            step = 1 - math.exp((self.at - now) / SMOOTH_NS)
            self.pace *= math.exp((self.at - now) / PACE_NS)  # heavy work makes good figures bad for a moment
        self.others = self.others_at(now) * (1 - step) + others * step
        self.queue += (min(report["queue"], self.most) - self.queue) * step
        self.pace = max(self.pace, pace)
        self.at = now
        return True

    def others_at(self, now: int) -> float:
        """What others are taken to have in hand there at `now`."""
        if self.at is None:
            return 0.0
        old = now - self.at - TRUSTED_NS
        return self.others * min(1.0, max(0.0, 1.0 - old / FADES_NS))

    @property
    def bound(self) -> float:
        """What it may hold: what it answers in time and no more than `most`, less as its waiting room fills."""
        return max(FEWEST, min(self.most, self.pace * self.wait) - CROWDING * self.queue)

    def full(self, now: int, own: int) -> bool:
        """Has it no room for another of ours, beside `own`? One is always let in, and all where nothing is heard."""
        if self.at is None or own < 1 or now >= self.at + TRUSTED_NS + FADES_NS:
            return False
        return own + self.others_at(now) >= self.bound

    def answered(self, now: int, slowness: float, own: int) -> None:
        """An answer took `slowness` times an uncrowded one's time: a bound that was reached follows it."""
        if self.at is not None and own + self.others_at(now) >= self.most - 1:
            self.most = max(self.least, self.most + GROWTH * (EASY - min(slowness, WORST)))
