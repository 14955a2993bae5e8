"""What is sent to a second server, and what is promised not to have run."""

from __future__ import annotations

import pytest

from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import clock
from tests.dataplane.stand import NOT_EXECUTED, SEALED, Conversation, Stand, asking, document, stream

SOUND = http.response(200, b"sound", SEALED)
FULL = http.response(503, b"full", NOT_EXECUTED)
KINDS = ["safe", "unsafe", "stream", "resumable"]


def reset_unanswered(conversation: Conversation) -> None:
    conversation.reset()


def sound(prefix: str) -> bytes:
    return stream(1, 2) if prefix in ("stream", "resumable") else SOUND


def refuse_connections(stand: Stand, name: str) -> None:
    stand.servers.pop(name).stop()


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(
    ("prefix", "repeated"), [("safe", True), ("resumable", True), ("unsafe", False), ("stream", False)]
)
def test_what_may_have_run_is_sent_again_only_where_it_may_run_twice(stand, prefix, repeated, end) -> None:
    broken = stand.serve(lambda conversation: getattr(conversation, end)())
    other = stand.serve(sound(prefix))
    answer = stand.ask(asking(prefix, body=b"work"))
    assert len(broken.requests) == 1
    assert len(other.requests) == repeated
    assert answer.status == (200 if repeated else 502)
    if repeated:
        assert other.requests[0].body == b"work"
        assert other.attempt_ids == broken.attempt_ids


@pytest.mark.parametrize("status", [429, 503, 421, 400])
@pytest.mark.parametrize("prefix", KINDS)
def test_what_a_server_turned_away_goes_to_another(stand: Stand, prefix: str, status: int) -> None:
    full = stand.serve(http.response(status, b"no", NOT_EXECUTED))
    other = stand.serve(sound(prefix))
    assert stand.ask(asking(prefix)).status == 200
    assert (len(full.requests), len(other.requests)) == (1, 1)


@pytest.mark.parametrize("prefix", KINDS)
def test_a_server_that_cannot_be_reached_costs_no_try(stand: Stand, prefix: str) -> None:
    stand.serve(b"")
    refuse_connections(stand, "i-0")
    stand.serve(sound(prefix))
    stand.plane.budget("pool").tokens = 0.0  # nothing was sent, so nothing is repeated
    assert stand.ask(asking(prefix)).status == 200


@pytest.mark.parametrize("prefix", KINDS)
def test_nobody_to_ask_is_a_promise_that_it_has_not_run(stand: Stand, prefix: str) -> None:
    answer = stand.ask(asking(prefix))
    assert answer.status == 503
    assert 0 < float(answer.header(b"retry-after")) < 1


@pytest.mark.parametrize("prefix", KINDS)
def test_where_all_turned_it_away_that_is_a_promise_too(stand: Stand, prefix: str) -> None:
    servers = [stand.serve(FULL), stand.serve(FULL)]
    answer = stand.ask(asking(prefix))
    assert answer.status == 503
    assert answer.header(b"retry-after") is not None
    assert [len(server.requests) for server in servers] == [1, 1]


@pytest.mark.parametrize("prefix", ["safe", "resumable"])
@pytest.mark.parametrize("order", [0, 1])
def test_what_may_have_run_anywhere_is_never_promised_not_to(stand: Stand, prefix: str, order: int) -> None:
    answers = [FULL, reset_unanswered]
    stand.serve(answers[order])
    stand.serve(answers[1 - order])
    assert stand.ask(asking(prefix)).status == 502


def test_a_promise_whose_body_breaks_off_was_made(stand: Stand) -> None:
    def cut_refusal(conversation: Conversation) -> None:
        conversation.send(FULL[:-2])
        conversation.reset()

    stand.serve(cut_refusal)
    other = stand.serve(SOUND)
    assert stand.ask(asking("unsafe")).body == b"sound"
    assert len(other.requests) == 1


def test_the_route_bounds_the_servers_of_one_try(stand: Stand) -> None:
    servers = [stand.serve(reset_unanswered) for _ in range(5)]
    assert stand.ask(asking("once", "o1")).status == 502
    assert sum(len(server.requests) for server in servers) == 1
    for name in stand.servers:
        stand.known(name).succeeded(clock())
    assert stand.ask(asking("safe", "s1")).status == 502
    assert sum(len(server.requests) for server in servers) == 4  # three more


def test_no_server_is_asked_twice_for_one_try(stand: Stand) -> None:
    servers = [stand.serve(FULL), stand.serve(reset_unanswered)]
    stand.ask(asking("safe"))
    assert [len(server.requests) for server in servers] == [1, 1]


def test_repeats_end_with_the_budget_and_each_costs_one(stand: Stand) -> None:
    budget = stand.plane.budget("pool")
    stand.serve(FULL)
    other = stand.serve(SOUND)
    budget.tokens = 0.0
    assert stand.ask(asking("safe", "s1")).status == 503
    assert other.requests == []
    stand.known("i-0").succeeded(clock())
    budget.tokens = 1.5
    assert stand.ask(asking("safe", "s2")).status == 200
    assert budget.tokens == pytest.approx(0.5 + budget.ratio)


def test_a_server_that_failed_is_left_alone_for_a_while(stand: Stand) -> None:
    broken = stand.serve(reset_unanswered)
    stand.serve(SOUND)
    for number in range(4):
        assert stand.ask(asking("safe", f"s{number}")).status == 200
    assert len(broken.requests) == 1
    assert stand.known("i-0").failures == 1


@pytest.mark.parametrize("answer", [SOUND, FULL, reset_unanswered, http.response(500, b"")])
def test_nothing_stays_in_flight(stand: Stand, answer) -> None:
    stand.serve(answer)
    stand.ask(asking("safe", lines=b"X-Iristrack-Token-Count: 5000,9\r\n"))
    server = stand.known("i-0")
    assert (server.inflight, server.pending_chunks) == (0, 0)


def test_only_servers_of_the_routes_service_are_asked(stand: Stand) -> None:
    stand.configure(document(services=[{"label": "pool"}, {"label": "elsewhere"}]))
    other = stand.serve(SOUND, service="elsewhere")
    assert stand.ask(asking("safe")).status == 503
    assert other.requests == []


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (asking("nowhere"), 404),
        (asking("safe").replace(b"h.example", b"other.example"), 404),
        (asking("safe").replace(b"Attempt-Id: a1", b"Attempt-Id:"), 400),
        (asking("safe", lines=b"X-Iristrack-Attempt-Id: a2\r\n"), 400),
        (asking("safe").replace(b"Left-Ms: 9000", b"Left-Ms: soon"), 400),
    ],
)
def test_a_request_that_no_server_can_take_is_answered_at_once(stand, request_bytes, status) -> None:
    server = stand.serve(SOUND)
    assert stand.ask(request_bytes).status == status
    assert server.requests == []


def test_without_a_configuration_nothing_is_refused_for_good(stand: Stand) -> None:
    stand.plane.active = None
    answer = stand.ask(asking("safe"))
    assert answer.status == 503
    assert answer.header(b"retry-after") is not None


def test_no_time_left_is_no_time_to_send_anything(stand: Stand) -> None:
    server = stand.serve(SOUND)
    assert stand.ask(asking("safe").replace(b"Left-Ms: 9000", b"Left-Ms: 10")).status == 503
    assert server.requests == []
