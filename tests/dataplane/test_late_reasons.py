"""The reason that is told of a late answer."""

from __future__ import annotations

import json

import pytest

from iristrack.configuration.document import parse_configuration
from iristrack.dataplane.lateness import LateCounts, LateReason, RequestTiming
from tests.dataplane.harness import document, route

MS = 1_000_000
ROUTE = parse_configuration(
    json.dumps(
        document(route_table=[route("s", "streaming", target_latency_ms=500, gap_aim_ms=100)])
    ).encode()
).routes[0]


def lateness(began=0, sent=1, own=0, others=0, fetches=False, words=(100,)) -> RequestTiming:
    """Times in ms from the arrival."""
    told = RequestTiming(0, began * MS)
    told.record_sent(sent * MS, own, others, fetches)
    for word in words:
        told.record_output(word * MS)
    return told


@pytest.mark.parametrize(
    ("told", "reason"),
    [
        (lateness(words=(499, 590)), None),
        (lateness(words=()), None),
        (lateness(words=(499, 700, 710)), LateReason.PAUSE),
        (lateness(began=300, sent=301, own=9, words=(600,)), LateReason.START),
        (lateness(began=10, sent=300, own=9, words=(600,)), LateReason.RETRIES),
        (lateness(own=9, others=8, words=(600,)), LateReason.READ),
        (lateness(own=8, others=9, fetches=True, words=(600,)), LateReason.WAIT),
        (lateness(fetches=True, words=(600,)), LateReason.MOVE),
        (lateness(words=(600,)), LateReason.WAIT),
    ],
)
def test_the_reason_is_what_took_the_time(told: RequestTiming, reason: LateReason | None) -> None:
    assert told.reason(ROUTE) is reason


def test_late_answers_are_counted_by_reason() -> None:
    counts = LateCounts()
    for reason in (LateReason.WAIT, None, LateReason.WAIT, LateReason.READ):
        counts.count(reason)
    figures = counts.metrics()
    assert (figures["late_wait"], figures["late_read"], figures["late_start"]) == (2, 1, 0)
    assert len(figures) == len(LateReason)
