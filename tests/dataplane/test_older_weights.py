"""Requests at servers on older weights: until when they are sent, when they are cancelled, what is logged."""

from __future__ import annotations

from dataclasses import replace

import pytest

from iristrack.dataplane.older_weights import LOG_INTERVAL_NS, NS_PER_MS, BegunRequest, OlderWeights
from iristrack.dataplane.state import BEGIN_RATIO, SEND_RATIO
from iristrack.engines.named_weights import NamedWeights
from iristrack.runtime.scheduler import clock
from tests.dataplane.harness import MODEL, Harness, ServerExchange, client_request, stream

PROMPT = b"X-Iristrack-Model: %b\r\n" % MODEL.encode()


class RecordingLog:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def info(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))


def test_log_lines_give_revision_and_age_at_most_once_a_second() -> None:
    named, log = NamedWeights(), RecordingLog()
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


def test_a_request_that_begins_on_older_weights_is_counted(harness: Harness) -> None:
    harness.serve(stream(1, 2), revision=1)
    assert harness.ask(client_request("stream", lines=PROMPT)).status == 200
    harness.plane.named_weights.learn(MODEL, 2, clock())
    assert harness.ask(client_request("stream", lines=PROMPT)).status == 200
    assert harness.plane.older_weights.begun_count == 1


def set_bound(harness: Harness, version_ms: float) -> None:
    """Set the time after which no request may begin on superseded weights."""
    bounds = replace(harness.plane.settings.rule_bounds, version_ms=version_ms)
    harness.plane.settings = replace(harness.plane.settings, rule_bounds=bounds)


def name_revision(harness: Harness, revision: int, ms_ago: float) -> None:
    harness.plane.named_weights.learn(MODEL, revision, clock() - int(ms_ago * NS_PER_MS))


def test_each_revision_has_an_allowance_of_its_own(harness: Harness) -> None:
    set_bound(harness, 60_000)
    now = clock()
    allowed_ms = 60_000 * SEND_RATIO
    name_revision(harness, 2, allowed_ms + 1)
    name_revision(harness, 3, 0)
    assert harness.plane.required_revision(MODEL, now) == 2
    assert harness.plane.required_revision(MODEL, now + int(allowed_ms + 1) * NS_PER_MS) == 3


@pytest.mark.parametrize(("prefix", "status"), [("resumable", 200), ("stream", 502)])
def test_a_request_queued_at_a_server_on_older_weights_is_cancelled(
    harness: Harness, prefix: str, status: int
) -> None:
    """A non-idempotent request is not retried: the server may have begun it when its connection was closed."""
    slow = harness.serve(ServerExchange.wait_until_closed, revision=1)
    current = harness.serve(stream(1, 2), revision=2)
    set_bound(harness, 2_000)
    name_revision(harness, 2, 1_400)
    started_at = clock()
    assert harness.ask(client_request(prefix, lines=PROMPT)).status == status
    assert clock() - started_at < (2_000 * BEGIN_RATIO - 1_400 + 1_000) * NS_PER_MS
    assert len(slow.requests) == 1
    assert len(current.requests) == (1 if status == 200 else 0)
    harness.run_until(lambda: slow.ended == 1)
    assert harness.listed_server("i-0").failures == 0  # a slow server does not count as failed


def test_a_request_queued_when_a_revision_is_named_is_cancelled(harness: Harness) -> None:
    set_bound(harness, 1_500)

    def wait_as_it_is_named(exchange: ServerExchange) -> None:
        name_revision(harness, 2, 0)
        exchange.wait_until_closed()

    slow = harness.serve(wait_as_it_is_named, revision=1)
    harness.serve(stream(1, 2), revision=2)
    assert harness.ask(client_request("resumable", lines=PROMPT)).status == 200
    assert len(slow.requests) == 1


def test_a_response_that_began_in_time_continues(harness: Harness) -> None:
    set_bound(harness, 1_500)

    def continue_after_the_bound(exchange: ServerExchange) -> None:
        full_stream = stream(1, 40)
        exchange.send(full_stream[:400])
        name_revision(harness, 2, 10_000)
        exchange.send_bytewise(full_stream[400:])

    slow = harness.serve(continue_after_the_bound, revision=1)
    assert harness.ask(client_request("stream", lines=PROMPT)).status == 200
    assert len(slow.requests) == 1


def test_the_weights_are_checked_after_the_connection_is_established(harness: Harness) -> None:
    """The allowance may end during the wait for a connection."""
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
