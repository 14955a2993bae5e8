"""Requests at servers on older weights: how long they are sent, when they are taken back, what is told of them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from iristrack.dataplane.older_weights import LOG_INTERVAL_NS, NS_PER_MS, BegunRequest, OlderWeights
from iristrack.dataplane.state import BEGIN_RATIO, SEND_RATIO
from iristrack.engines.named_weights import NamedWeights
from iristrack.runtime.scheduler import clock
from tests.dataplane.harness import MODEL, Harness, ServerExchange, client_request, stream

PROMPT = b"X-Iristrack-Model: %b\r\n" % MODEL.encode()


class Lines:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def info(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))


def test_a_line_tells_revision_and_age_at_most_once_a_second() -> None:
    named, log = NamedWeights(), Lines()
    older = OlderWeights(named, log)
    older.record_begun(BegunRequest("i-1", "m", 1, 0, NS_PER_MS))
    named.learn("m", 2, 0)
    older.record_begun(BegunRequest("i-1", "m", 2, 0, NS_PER_MS))
    assert (log.lines, older.begun_count) == ([], 0)
    older.record_begun(BegunRequest("i-1", "m", 1, 30 * NS_PER_MS, 40 * NS_PER_MS))
    named.learn("m", 3, 50 * NS_PER_MS)
    older.record_begun(BegunRequest("i-1", "m", 1, 60 * NS_PER_MS, 90 * NS_PER_MS))
    fields = {"server": "i-1", "model": "m", "revision": 1, "newest": 2, "sent_ms": 30, "begun_ms": 40}
    assert log.lines == [("older weights", fields)]
    older.record_begun(BegunRequest("i-1", "m", 2, 0, 40 * NS_PER_MS + LOG_INTERVAL_NS))
    assert log.lines[1][1]["begun_ms"] == 40 - 50 + LOG_INTERVAL_NS // NS_PER_MS
    assert older.metrics()["older_weights_begun"] == 3
    assert older.metrics()["older_weights_most_sent_ms"] == 60


def test_a_request_at_a_server_on_older_weights_is_counted_as_it_begins(harness: Harness) -> None:
    harness.serve(stream(1, 2), revision=1)
    assert harness.ask(client_request("stream", lines=PROMPT)).status == 200
    harness.plane.named_weights.learn(MODEL, 2, clock())
    assert harness.ask(client_request("stream", lines=PROMPT)).status == 200
    assert harness.plane.older_weights.begun_count == 1


def bound(harness: Harness, version_ms: float) -> None:
    """Let nothing begin on older weights so long after newer ones were named."""
    bounds = replace(harness.plane.settings.rule_bounds, version_ms=version_ms)
    harness.plane.settings = replace(harness.plane.settings, rule_bounds=bounds)


def name_revision(harness: Harness, revision: int, ms_ago: float) -> None:
    harness.plane.named_weights.learn(MODEL, revision, clock() - int(ms_ago * NS_PER_MS))


def test_each_revision_has_an_allowance_of_its_own(harness: Harness) -> None:
    bound(harness, 60_000)
    now = clock()
    allowed_ms = 60_000 * SEND_RATIO
    name_revision(harness, 2, allowed_ms + 1)
    name_revision(harness, 3, 0)
    assert harness.plane.required_revision(MODEL, now) == 2
    assert harness.plane.required_revision(MODEL, now + int(allowed_ms + 1) * NS_PER_MS) == 3


@pytest.mark.parametrize(("prefix", "status"), [("resumable", 200), ("stream", 502)])
def test_a_request_that_waits_at_a_server_on_older_weights_is_taken_back(
    harness: Harness, prefix: str, status: int
) -> None:
    """One that may run once is not sent again: the server may have begun it as its connection was closed."""
    slow = harness.serve(ServerExchange.wait_until_closed, revision=1)
    current = harness.serve(stream(1, 2), revision=2)
    bound(harness, 2_000)
    name_revision(harness, 2, 1_400)
    began = clock()
    assert harness.ask(client_request(prefix, lines=PROMPT)).status == status
    assert clock() - began < (2_000 * BEGIN_RATIO - 1_400 + 1_000) * NS_PER_MS
    assert len(slow.requests) == 1
    assert len(current.requests) == (1 if status == 200 else 0)
    harness.turn_until(lambda: slow.ended == 1)
    assert harness.known("i-0").failures == 0  # it is slow, not gone


def test_a_request_that_waits_as_a_revision_is_named_is_taken_back_as_well(harness: Harness) -> None:
    bound(harness, 1_500)

    def wait_as_it_is_named(exchange: ServerExchange) -> None:
        name_revision(harness, 2, 0)
        exchange.wait_until_closed()

    slow = harness.serve(wait_as_it_is_named, revision=1)
    harness.serve(stream(1, 2), revision=2)
    assert harness.ask(client_request("resumable", lines=PROMPT)).status == 200
    assert len(slow.requests) == 1


def test_an_answer_that_has_begun_in_time_goes_on(harness: Harness) -> None:
    bound(harness, 1_500)

    def go_on_after_the_bound(exchange: ServerExchange) -> None:
        whole = stream(1, 40)
        exchange.send(whole[:400])
        name_revision(harness, 2, 10_000)
        exchange.send_bytewise(whole[400:])

    slow = harness.serve(go_on_after_the_bound, revision=1)
    assert harness.ask(client_request("stream", lines=PROMPT)).status == 200
    assert len(slow.requests) == 1


def test_the_weights_are_looked_at_once_the_connection_stands(harness: Harness) -> None:
    """The wait for a connection takes time, at the end of which the allowance may be over."""
    older = harness.serve(stream(1, 2), revision=1)
    current = harness.serve(stream(1, 2), revision=2)
    take = harness.plane.links.take

    def take_late(*arguments: object):
        link = take(*arguments)
        name_revision(harness, 2, 10_000)
        return link

    harness.plane.links.take = take_late
    assert harness.ask(client_request("stream", lines=PROMPT)).status == 200
    assert (len(older.requests), len(current.requests)) == (0, 1)
