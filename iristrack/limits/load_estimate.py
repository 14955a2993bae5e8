"""How many requests a pool server holds, whoever sent them, and whether it has room for one more.

This file owns the estimate of what other sidecars have in hand at a server, by the load reports in its answers, and
the bound on the sum. It must never pick, send or refuse, and it reads no clock: times are the host's nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

NS_PER_S = 1_000_000_000
REPORT_VALID_NS = NS_PER_S  # a report's figure stands so long, refresh and delay included,
REPORT_FADE_NS = NS_PER_S  # and is forgotten evenly over so much more
REPORT_SPAN_NS = NS_PER_S * 7 // 10  # reports tell of about so long
SMOOTHING_NS = (
    NS_PER_S  # reports are noisy, and a heavy request shows in them all at once: they move it so slowly
)
SERVICE_RATE_MEMORY_NS = 10 * NS_PER_S  # the best pace that a server told of is forgotten over so long
MAX_REPORTED = 1e4  # no server is taken to hold more, or to answer more a second, whatever it tells
MIN_BOUND = 1.5  # the bound on what it holds is no lower: one request may always come to an idle server
BOUND_CUT_PER_QUEUED = (
    2.0  # and falls by so much for each request in the server's waiting room: its slots are all taken
)
MIN_PARALLEL_REQUESTS = 2.0  # so many requests at once, at the least, are taken to be worked on at full speed
MAX_OTHERS_RATIO = 4.0  # times the bound: no more is believed to be in others' hands
UNCROWDED_RATIO = 1.3  # answers that take less than so many times an uncrowded one's time let the bound grow,
BOUND_GAIN = 0.05  # by so much of the difference an answer, slower ones let it shrink likewise,
MAX_SLOWNESS = 8.0  # and none counts as slower than this


def parse_report(report: Mapping[str, float] | None) -> tuple[float, float] | None:
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
    inflight = qps * latency_ms / 1e3 + queue
    if not math.isfinite(inflight) or qps < 0 or latency_ms <= 0 or queue < 0:
        return None
    return min(inflight, MAX_REPORTED), min(MAX_REPORTED, max(qps, MIN_PARALLEL_REQUESTS * 1e3 / latency_ms))


class LoadEstimate:
    """The crowd at one server since its last start, as one sidecar sees it."""

    __slots__ = (
        "max_bound",
        "max_wait_s",
        "min_bound",
        "others_inflight",
        "own_busy_at",
        "own_busy_s",
        "queue",
        "reported_at",
        "service_rate",
    )

    def __init__(self, min_bound: float, wait_ns: float) -> None:
        """`least` requests in hand, of all sidecars together, are borne if they are answered within `wait_ns`."""
        self.min_bound = self.max_bound = min_bound
        self.max_wait_s = wait_ns / NS_PER_S
        self.others_inflight = 0.0  # what others have in hand there, as last told
        self.queue = 0.0  # requests that wait there
        self.service_rate = 0.0  # requests a second that it could answer
        self.reported_at: int | None = None  # when it was last told; None: never
        self.own_busy_s = 0.0  # request seconds of ours that ended there, fading
        self.own_busy_at = 0

    def record_report(self, now: int, report: Mapping[str, float] | None, latency_ns: int) -> bool:
        """Take the report in an answer of `now` to a request of ours that took so long; false if it tells nothing.

        Our own part is reckoned as the server reckons the whole: by what ended there lately. What we have in hand
        now would not do, since the report tells of half a second ago.
        """
        self.own_busy_s *= math.exp((self.own_busy_at - now) / REPORT_SPAN_NS)
        self.own_busy_s += latency_ns / NS_PER_S
        self.own_busy_at = now
        parsed = parse_report(report)
        if parsed is None:
            return False
        inflight, service_rate = parsed
        # A lie must be forgotten as soon as a truth: no more is believed than leaves no room anyway.
        step, others = (
            1.0,
            min(
                MAX_OTHERS_RATIO * self.max_bound,
                max(0.0, inflight - self.own_busy_s * NS_PER_S / REPORT_SPAN_NS),
            ),
        )
        if (
            self.reported_at is not None
        ):  # many answers bring the same report: what moves the estimate is time
            step = 1 - math.exp((self.reported_at - now) / SMOOTHING_NS)
            self.service_rate *= math.exp(
                (self.reported_at - now) / SERVICE_RATE_MEMORY_NS
            )  # heavy work makes good figures bad for a moment
        self.others_inflight = self.others_inflight_at(now) * (1 - step) + others * step
        self.queue += (min(report["queue"], self.max_bound) - self.queue) * step
        self.service_rate = max(self.service_rate, service_rate)
        self.reported_at = now
        return True

    def others_inflight_at(self, now: int) -> float:
        """What others are taken to have in hand there at `now`."""
        if self.reported_at is None:
            return 0.0
        expired_ns = now - self.reported_at - REPORT_VALID_NS
        return self.others_inflight * min(1.0, max(0.0, 1.0 - expired_ns / REPORT_FADE_NS))

    @property
    def bound(self) -> float:
        """What it may hold: what it answers in time and no more than `most`, less as its waiting room fills."""
        return max(
            MIN_BOUND,
            min(self.max_bound, self.service_rate * self.max_wait_s) - BOUND_CUT_PER_QUEUED * self.queue,
        )

    def full(self, now: int, own_inflight: int) -> bool:
        """Has it no room for another of ours, beside `own`? One is always let in, and all where nothing is heard."""
        if (
            self.reported_at is None
            or own_inflight < 1
            or now >= self.reported_at + REPORT_VALID_NS + REPORT_FADE_NS
        ):
            return False
        return own_inflight + self.others_inflight_at(now) >= self.bound

    def record_answer(self, now: int, slowness: float, own_inflight: int) -> None:
        """An answer took `slowness` times an uncrowded one's time: a bound that was reached follows it."""
        if self.reported_at is not None and own_inflight + self.others_inflight_at(now) >= self.max_bound - 1:
            self.max_bound = max(
                self.min_bound, self.max_bound + BOUND_GAIN * (UNCROWDED_RATIO - min(slowness, MAX_SLOWNESS))
            )
