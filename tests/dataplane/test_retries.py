"""Which requests are retried on another server, and which the client is told were not executed."""

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

RESPONSE = http.response(200, b"sound", SEAL_LINE)
REJECTION = http.response(503, b"full", NOT_EXECUTED)
PREFIXES = ["safe", "unsafe", "stream", "resumable"]


def reset_without_response(exchange: ServerExchange) -> None:
    exchange.reset()


def response_for(prefix: str) -> bytes:
    return stream(1, 2) if prefix in ("stream", "resumable") else RESPONSE


def refuse_connections(harness: Harness, name: str) -> None:
    harness.servers.pop(name).stop()


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(
    ("prefix", "is_retried"), [("safe", True), ("resumable", True), ("unsafe", False), ("stream", False)]
)
def test_only_idempotent_requests_are_retried_after_a_broken_connection(
    harness, prefix, is_retried, end
) -> None:
    broken = harness.serve(lambda exchange: getattr(exchange, end)())
    other = harness.serve(response_for(prefix))
    answer = harness.ask(client_request(prefix, body=b"work"))
    assert len(broken.requests) == 1
    assert len(other.requests) == is_retried
    assert answer.status == (200 if is_retried else 502)
    if is_retried:
        assert other.requests[0].body == b"work"
        assert other.attempt_ids == broken.attempt_ids


@pytest.mark.parametrize("status", [429, 503, 421, 400])
@pytest.mark.parametrize("prefix", PREFIXES)
def test_a_rejected_request_is_retried_on_another_server(harness: Harness, prefix: str, status: int) -> None:
    rejecting = harness.serve(http.response(status, b"no", NOT_EXECUTED))
    other = harness.serve(response_for(prefix))
    assert harness.ask(client_request(prefix)).status == 200
    assert (len(rejecting.requests), len(other.requests)) == (1, 1)


@pytest.mark.parametrize("prefix", PREFIXES)
def test_an_unreachable_server_costs_no_attempt(harness: Harness, prefix: str) -> None:
    harness.serve(b"")
    refuse_connections(harness, "i-0")
    harness.serve(response_for(prefix))
    harness.plane.retry_budget("pool").tokens = 0.0  # nothing was sent, so the next attempt is no retry
    assert harness.ask(client_request(prefix)).status == 200


@pytest.mark.parametrize("prefix", PREFIXES)
def test_without_servers_the_client_gets_503_with_retry_after(harness: Harness, prefix: str) -> None:
    answer = harness.ask(client_request(prefix))
    assert answer.status == 503
    assert 0 < float(answer.header(b"retry-after")) < 1


@pytest.mark.parametrize("prefix", PREFIXES)
def test_rejection_by_all_servers_gives_503_with_retry_after(harness: Harness, prefix: str) -> None:
    servers = [harness.serve(REJECTION), harness.serve(REJECTION)]
    answer = harness.ask(client_request(prefix))
    assert answer.status == 503
    assert answer.header(b"retry-after") is not None
    assert [len(server.requests) for server in servers] == [1, 1]


@pytest.mark.parametrize("prefix", ["safe", "resumable"])
@pytest.mark.parametrize("order", [0, 1])
def test_a_request_that_may_have_run_never_gets_503(harness: Harness, prefix: str, order: int) -> None:
    answers = [REJECTION, reset_without_response]
    harness.serve(answers[order])
    harness.serve(answers[1 - order])
    assert harness.ask(client_request(prefix)).status == 502


def test_a_rejection_with_a_truncated_body_still_counts(harness: Harness) -> None:
    def truncated_rejection(exchange: ServerExchange) -> None:
        exchange.send(REJECTION[:-2])
        exchange.reset()

    harness.serve(truncated_rejection)
    other = harness.serve(RESPONSE)
    assert harness.ask(client_request("unsafe")).body == b"sound"
    assert len(other.requests) == 1


def test_the_route_limits_the_attempts_of_a_request(harness: Harness) -> None:
    servers = [harness.serve(reset_without_response) for _ in range(5)]
    assert harness.ask(client_request("once", "o1")).status == 502
    assert sum(len(server.requests) for server in servers) == 1
    for name in harness.servers:
        harness.listed_server(name).succeeded(clock())
    assert harness.ask(client_request("safe", "s1")).status == 502
    assert sum(len(server.requests) for server in servers) == 4  # three more


def test_no_server_gets_the_same_request_twice(harness: Harness) -> None:
    servers = [harness.serve(REJECTION), harness.serve(reset_without_response)]
    harness.ask(client_request("safe"))
    assert [len(server.requests) for server in servers] == [1, 1]


def test_retries_end_with_the_budget_and_each_costs_one_token(harness: Harness) -> None:
    budget = harness.plane.retry_budget("pool")
    harness.serve(REJECTION)
    other = harness.serve(RESPONSE)
    budget.tokens = 0.0
    assert harness.ask(client_request("safe", "s1")).status == 503
    assert other.requests == []
    harness.listed_server("i-0").succeeded(clock())
    budget.tokens = 1.5
    assert harness.ask(client_request("safe", "s2")).status == 200
    assert budget.tokens == pytest.approx(0.5 + budget.ratio)


def test_a_failed_server_is_avoided_for_a_while(harness: Harness) -> None:
    broken = harness.serve(reset_without_response)
    harness.serve(RESPONSE)
    for number in range(4):
        assert harness.ask(client_request("safe", f"s{number}")).status == 200
    assert len(broken.requests) == 1
    assert harness.listed_server("i-0").failures == 1


@pytest.mark.parametrize("answer", [RESPONSE, REJECTION, reset_without_response, http.response(500, b"")])
def test_nothing_remains_in_flight(harness: Harness, answer) -> None:
    harness.serve(answer)
    harness.ask(client_request("safe", lines=b"X-Iristrack-Token-Count: 5000,9\r\n"))
    server = harness.listed_server("i-0")
    assert (server.inflight, server.pending_chunks) == (0, 0)


def test_only_servers_of_the_routes_service_get_requests(harness: Harness) -> None:
    harness.configure(document(services=[{"label": "pool"}, {"label": "elsewhere"}]))
    other = harness.serve(RESPONSE, service="elsewhere")
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
def test_an_invalid_request_is_rejected_without_a_server(harness, request_bytes, status) -> None:
    server = harness.serve(RESPONSE)
    assert harness.ask(request_bytes).status == status
    assert server.requests == []


def test_without_a_configuration_the_client_gets_retry_after(harness: Harness) -> None:
    harness.plane.active = None
    answer = harness.ask(client_request("safe"))
    assert answer.status == 503
    assert answer.header(b"retry-after") is not None


def test_a_request_without_time_left_is_not_sent(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    assert harness.ask(client_request("safe").replace(b"Left-Ms: 9000", b"Left-Ms: 10")).status == 503
    assert server.requests == []
