"""The reason reported for a late response."""

from __future__ import annotations

import json

import pytest

from iristrack.configuration.document import parse_configuration
from iristrack.dataplane.lateness import LateCounts, LateReason, RequestTiming
from tests.dataplane.harness import document, route

NS_PER_MS = 1_000_000
ROUTE = parse_configuration(
    json.dumps(
        document(route_table=[route("s", "streaming", target_latency_ms=500, gap_aim_ms=100)])
    ).encode()
).routes[0]


def request_timing(
    started=0, sent=1, own_chunks=0, others_load=0, fetches=False, output_times=(100,)
) -> RequestTiming:
    """Times in ms from the arrival."""
    timing = RequestTiming(0, started * NS_PER_MS)
    timing.record_sent(sent * NS_PER_MS, own_chunks, others_load, fetches)
    for at in output_times:
        timing.record_output(at * NS_PER_MS)
    return timing


@pytest.mark.parametrize(
    ("timing", "reason"),
    [
        (request_timing(output_times=(499, 590)), None),
        (request_timing(output_times=()), None),
        (request_timing(output_times=(499, 700, 710)), LateReason.PAUSE),
        (request_timing(started=300, sent=301, own_chunks=9, output_times=(600,)), LateReason.START),
        (request_timing(started=10, sent=300, own_chunks=9, output_times=(600,)), LateReason.RETRIES),
        (request_timing(own_chunks=9, others_load=8, output_times=(600,)), LateReason.READ),
        (request_timing(own_chunks=8, others_load=9, fetches=True, output_times=(600,)), LateReason.WAIT),
        (request_timing(fetches=True, output_times=(600,)), LateReason.MOVE),
        (request_timing(output_times=(600,)), LateReason.WAIT),
    ],
)
def test_the_reason_is_the_phase_that_took_the_time(timing: RequestTiming, reason: LateReason | None) -> None:
    assert timing.reason(ROUTE) is reason


def test_late_answers_are_counted_by_reason() -> None:
    counts = LateCounts()
    for reason in (LateReason.WAIT, None, LateReason.WAIT, LateReason.READ):
        counts.count(reason)
    figures = counts.metrics()
    assert (figures["late_wait"], figures["late_read"], figures["late_start"]) == (2, 1, 0)
    assert len(figures) == len(LateReason)
