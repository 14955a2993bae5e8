"""Estimate of all requests in flight at a pool server, and whether there is capacity for one more.

This file owns the estimate of other sidecars' requests in flight at a server, taken from the load reports in its
answers, and the bound on the sum. It must never pick, send or refuse, and it reads no clock: times are the host's
nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

NS_PER_S = 1_000_000_000
REPORT_VALID_NS = NS_PER_S  # a report counts in full for this time, refresh interval and delay included
REPORT_FADE_NS = NS_PER_S  # then its weight falls linearly to zero over this time
REPORT_SPAN_NS = NS_PER_S * 7 // 10  # time that a report covers, about
SMOOTHING_NS = NS_PER_S  # time constant: reports are noisy, and one heavy request shows in full at once
SERVICE_RATE_MEMORY_NS = 10 * NS_PER_S  # time constant by which the highest reported service rate decays
MAX_REPORTED = 1e4  # bounds reported requests in flight and requests per second, for false reports
MIN_BOUND = 1.5  # lower limit of the bound: an idle server may always get one request
BOUND_CUT_PER_QUEUED = 2.0  # cut of the bound per request in the server's queue, as its slots are all busy
MIN_PARALLEL_REQUESTS = 2.0  # requests that any server is assumed to process at once at full speed
MAX_OTHERS_RATIO = 4.0  # the estimate of others' requests is at most this multiple of the bound
UNCROWDED_RATIO = 1.3  # the bound grows on answers below this multiple of the uncrowded latency, else shrinks
BOUND_GAIN = 0.05  # change of the bound per answer, as a factor on the difference to UNCROWDED_RATIO
MAX_SLOWNESS = 8.0  # upper limit of the slowness that one answer counts


def parse_report(report: Mapping[str, float] | None) -> tuple[float, float] | None:
    """Return a server's requests in flight and the requests per second it could answer; None for a useless report.

    `report` has `qps` (requests per second), `latency_ms` (service time without waiting) and `queue` (requests
    waiting). The requests in flight follow from Little's law. The possible rate is the reported one, or more if the
    server works on fewer requests than it could. A value that is missing, not finite or negative makes a report
    useless.
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
    """Load at one server since its last start, as one sidecar estimates it."""

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
        """Allow `min_bound` requests in flight of all sidecars, if they are answered within `wait_ns`."""
        self.min_bound = self.max_bound = min_bound
        self.max_wait_s = wait_ns / NS_PER_S
        self.others_inflight = 0.0  # other sidecars' requests in flight, at the last report
        self.queue = 0.0  # requests in the server's queue
        self.service_rate = 0.0  # requests per second that it could answer
        self.reported_at: int | None = None  # time of the last report; None: never
        self.own_busy_s = 0.0  # summed latency of our recent requests there, decaying
        self.own_busy_at = 0

    def record_report(self, now: int, report: Mapping[str, float] | None, latency_ns: int) -> bool:
        """Record the load report in an answer that took `latency_ns`; return False if the report is useless.

        Our own share is computed as the server computes the sum, from the requests that ended there recently. Our
        present requests in flight would not fit, since the report describes the load half a second ago.
        """
        self.own_busy_s *= math.exp((self.own_busy_at - now) / REPORT_SPAN_NS)
        self.own_busy_s += latency_ns / NS_PER_S
        self.own_busy_at = now
        parsed = parse_report(report)
        if parsed is None:
            return False
        inflight, service_rate = parsed
        # The cap lets a false report expire as fast as a true one: at the cap the server is full anyway.
        step, others = (
            1.0,
            min(
                MAX_OTHERS_RATIO * self.max_bound,
                max(0.0, inflight - self.own_busy_s * NS_PER_S / REPORT_SPAN_NS),
            ),
        )
        if self.reported_at is not None:  # weighted by time, as many answers carry the same report
            step = 1 - math.exp((self.reported_at - now) / SMOOTHING_NS)
            # Heavy requests lower a good service rate for a moment, so the highest one decays slowly.
            self.service_rate *= math.exp((self.reported_at - now) / SERVICE_RATE_MEMORY_NS)
        self.others_inflight = self.others_inflight_at(now) * (1 - step) + others * step
        self.queue += (min(report["queue"], self.max_bound) - self.queue) * step
        self.service_rate = max(self.service_rate, service_rate)
        self.reported_at = now
        return True

    def others_inflight_at(self, now: int) -> float:
        """Return the estimate of other sidecars' requests in flight at `now`."""
        if self.reported_at is None:
            return 0.0
        expired_ns = now - self.reported_at - REPORT_VALID_NS
        return self.others_inflight * min(1.0, max(0.0, 1.0 - expired_ns / REPORT_FADE_NS))

    @property
    def bound(self) -> float:
        """Requests that may be in flight: those answered in time, at most `max_bound`, less for its queue."""
        return max(
            MIN_BOUND,
            min(self.max_bound, self.service_rate * self.max_wait_s) - BOUND_CUT_PER_QUEUED * self.queue,
        )

    def full(self, now: int, own_inflight: int) -> bool:
        """Return whether our next request must wait; never without own requests or without recent reports."""
        if (
            self.reported_at is None
            or own_inflight < 1
            or now >= self.reported_at + REPORT_VALID_NS + REPORT_FADE_NS
        ):
            return False
        return own_inflight + self.others_inflight_at(now) >= self.bound

    def record_answer(self, now: int, slowness: float, own_inflight: int) -> None:
        """Adjust `max_bound`, if it is reached, to an answer of `slowness` times the uncrowded latency."""
        if self.reported_at is not None and own_inflight + self.others_inflight_at(now) >= self.max_bound - 1:
            self.max_bound = max(
                self.min_bound, self.max_bound + BOUND_GAIN * (UNCROWDED_RATIO - min(slowness, MAX_SLOWNESS))
            )
