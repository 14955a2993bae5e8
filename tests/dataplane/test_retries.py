"""What is sent to a second server, and what is promised not to have run."""

from __future__ import annotations

import pytest

from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import clock
from tests.dataplane.harness import (
    NOT_EXECUTED,
    SEAL_LINE,
    Harness,
    ServerExchange,
    client_request,
    document,
    stream,
)

SOUND = http.response(200, b"sound", SEAL_LINE)
FULL = http.response(503, b"full", NOT_EXECUTED)
KINDS = ["safe", "unsafe", "stream", "resumable"]


def reset_unanswered(exchange: ServerExchange) -> None:
    exchange.reset()


def sound(prefix: str) -> bytes:
    return stream(1, 2) if prefix in ("stream", "resumable") else SOUND


def refuse_connections(harness: Harness, name: str) -> None:
    harness.servers.pop(name).stop()


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(
    ("prefix", "repeated"), [("safe", True), ("resumable", True), ("unsafe", False), ("stream", False)]
)
def test_what_may_have_run_is_sent_again_only_where_it_may_run_twice(harness, prefix, repeated, end) -> None:
    broken = harness.serve(lambda exchange: getattr(exchange, end)())
    other = harness.serve(sound(prefix))
    answer = harness.ask(client_request(prefix, body=b"work"))
    assert len(broken.requests) == 1
    assert len(other.requests) == repeated
    assert answer.status == (200 if repeated else 502)
    if repeated:
        assert other.requests[0].body == b"work"
        assert other.attempt_ids == broken.attempt_ids


@pytest.mark.parametrize("status", [429, 503, 421, 400])
@pytest.mark.parametrize("prefix", KINDS)
def test_what_a_server_turned_away_goes_to_another(harness: Harness, prefix: str, status: int) -> None:
    full = harness.serve(http.response(status, b"no", NOT_EXECUTED))
    other = harness.serve(sound(prefix))
    assert harness.ask(client_request(prefix)).status == 200
    assert (len(full.requests), len(other.requests)) == (1, 1)


@pytest.mark.parametrize("prefix", KINDS)
def test_a_server_that_cannot_be_reached_costs_no_try(harness: Harness, prefix: str) -> None:
    harness.serve(b"")
    refuse_connections(harness, "i-0")
    harness.serve(sound(prefix))
    harness.plane.retry_budget("pool").tokens = 0.0  # nothing was sent, so nothing is repeated
    assert harness.ask(client_request(prefix)).status == 200


@pytest.mark.parametrize("prefix", KINDS)
def test_nobody_to_ask_is_a_promise_that_it_has_not_run(harness: Harness, prefix: str) -> None:
    answer = harness.ask(client_request(prefix))
    assert answer.status == 503
    assert 0 < float(answer.header(b"retry-after")) < 1


@pytest.mark.parametrize("prefix", KINDS)
def test_where_all_turned_it_away_that_is_a_promise_too(harness: Harness, prefix: str) -> None:
    servers = [harness.serve(FULL), harness.serve(FULL)]
    answer = harness.ask(client_request(prefix))
    assert answer.status == 503
    assert answer.header(b"retry-after") is not None
    assert [len(server.requests) for server in servers] == [1, 1]


@pytest.mark.parametrize("prefix", ["safe", "resumable"])
@pytest.mark.parametrize("order", [0, 1])
def test_what_may_have_run_anywhere_is_never_promised_not_to(
    harness: Harness, prefix: str, order: int
) -> None:
    answers = [FULL, reset_unanswered]
    harness.serve(answers[order])
    harness.serve(answers[1 - order])
    assert harness.ask(client_request(prefix)).status == 502


def test_a_promise_whose_body_breaks_off_was_made(harness: Harness) -> None:
    def cut_refusal(exchange: ServerExchange) -> None:
        exchange.send(FULL[:-2])
        exchange.reset()

    harness.serve(cut_refusal)
    other = harness.serve(SOUND)
    assert harness.ask(client_request("unsafe")).body == b"sound"
    assert len(other.requests) == 1


def test_the_route_bounds_the_servers_of_one_try(harness: Harness) -> None:
    servers = [harness.serve(reset_unanswered) for _ in range(5)]
    assert harness.ask(client_request("once", "o1")).status == 502
    assert sum(len(server.requests) for server in servers) == 1
    for name in harness.servers:
        harness.known(name).succeeded(clock())
    assert harness.ask(client_request("safe", "s1")).status == 502
    assert sum(len(server.requests) for server in servers) == 4  # three more


def test_no_server_is_asked_twice_for_one_try(harness: Harness) -> None:
    servers = [harness.serve(FULL), harness.serve(reset_unanswered)]
    harness.ask(client_request("safe"))
    assert [len(server.requests) for server in servers] == [1, 1]


def test_repeats_end_with_the_budget_and_each_costs_one(harness: Harness) -> None:
    budget = harness.plane.retry_budget("pool")
    harness.serve(FULL)
    other = harness.serve(SOUND)
    budget.tokens = 0.0
    assert harness.ask(client_request("safe", "s1")).status == 503
    assert other.requests == []
    harness.known("i-0").succeeded(clock())
    budget.tokens = 1.5
    assert harness.ask(client_request("safe", "s2")).status == 200
    assert budget.tokens == pytest.approx(0.5 + budget.ratio)


def test_a_server_that_failed_is_left_alone_for_a_while(harness: Harness) -> None:
    broken = harness.serve(reset_unanswered)
    harness.serve(SOUND)
    for number in range(4):
        assert harness.ask(client_request("safe", f"s{number}")).status == 200
    assert len(broken.requests) == 1
    assert harness.known("i-0").failures == 1


@pytest.mark.parametrize("answer", [SOUND, FULL, reset_unanswered, http.response(500, b"")])
def test_nothing_stays_in_flight(harness: Harness, answer) -> None:
    harness.serve(answer)
    harness.ask(client_request("safe", lines=b"X-Iristrack-Token-Count: 5000,9\r\n"))
    server = harness.known("i-0")
    assert (server.inflight, server.pending_chunks) == (0, 0)


def test_only_servers_of_the_routes_service_are_asked(harness: Harness) -> None:
    harness.configure(document(services=[{"label": "pool"}, {"label": "elsewhere"}]))
    other = harness.serve(SOUND, service="elsewhere")
    assert harness.ask(client_request("safe")).status == 503
    assert other.requests == []


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (client_request("nowhere"), 404),
        (client_request("safe").replace(b"h.example", b"other.example"), 404),
        (client_request("safe").replace(b"Attempt-Id: a1", b"Attempt-Id:"), 400),
        (client_request("safe", lines=b"X-Iristrack-Attempt-Id: a2\r\n"), 400),
        (client_request("safe").replace(b"Left-Ms: 9000", b"Left-Ms: soon"), 400),
    ],
)
def test_a_request_that_no_server_can_take_is_answered_at_once(harness, request_bytes, status) -> None:
    server = harness.serve(SOUND)
    assert harness.ask(request_bytes).status == status
    assert server.requests == []


def test_without_a_configuration_nothing_is_refused_for_good(harness: Harness) -> None:
    harness.plane.active = None
    answer = harness.ask(client_request("safe"))
    assert answer.status == 503
    assert answer.header(b"retry-after") is not None


def test_no_time_left_is_no_time_to_send_anything(harness: Harness) -> None:
    server = harness.serve(SOUND)
    assert harness.ask(client_request("safe").replace(b"Left-Ms: 9000", b"Left-Ms: 10")).status == 503
    assert server.requests == []
