"""Answers that are no streams: passed on unaltered, never another request's, never complete where they broke off."""

from __future__ import annotations

import pytest

from iristrack.dataplane.exchange import MAX_BUFFERED_BODY_BYTES
from iristrack.http1 import messages as http
from tests.dataplane.harness import CHUNKED_LINE, SEAL_LINE, Client, Harness, ServerExchange, client_request

LONG = bytes(range(256)) * (MAX_BUFFERED_BODY_BYTES // 256 + 400)


def id_line(exchange: ServerExchange) -> bytes:
    return b"X-Iristrack-Attempt-Id: %b\r\n" % exchange.id


def own_answer(exchange: ServerExchange) -> bytes:
    return http.response(200, b"for " + exchange.id, SEAL_LINE + id_line(exchange))


def with_length(body: bytes, lines: bytes) -> bytes:
    return http.response(200, body, lines)


def in_chunks(body: bytes, lines: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\n" + lines + CHUNKED_LINE + b"\r\n"
    pieces = (http.chunk(body[at : at + 7]) for at in range(0, len(body), 7))
    return head + b"".join(pieces) + http.LAST_CHUNK


def without_length(body: bytes, lines: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n" + body


def test_status_body_and_lines_of_the_server_come_unaltered(harness: Harness) -> None:
    lines = SEAL_LINE + b"X-Odd:  a  b \r\nContent-Type: x/y\r\nKeep-Alive: timeout=5\r\n"
    harness.serve(http.response(207, b"\x00body\xff", lines))
    answer = harness.ask(client_request("safe"))
    assert (answer.status, answer.body, answer.end) == (207, b"\x00body\xff", "open")
    assert answer.header(b"x-iristrack-server-seal") == b"s1"
    assert b"X-Odd:  a  b \r\n" in answer.raw
    assert answer.header(b"keep-alive") is None  # it concerns the connection to the server


@pytest.mark.parametrize("status", [304, 400, 404, 500, 504])
@pytest.mark.parametrize("prefix", ["safe", "unsafe", "stream", "resumable"])
def test_a_failure_that_the_server_answered_is_the_answer(harness: Harness, status: int, prefix: str) -> None:
    server, other = harness.serve(http.response(status, b"" if status == 304 else b"why")), harness.serve(b"")
    answer = harness.ask(client_request(prefix))
    assert (answer.status, answer.body) == (status, b"" if status == 304 else b"why")
    assert (len(server.requests), other.requests) == (1, [])


@pytest.mark.parametrize("dribbled", [False, True])
@pytest.mark.parametrize("written", [with_length, in_chunks])
@pytest.mark.parametrize("body", [b"", b"late for another"])
def test_a_late_answer_of_an_earlier_request_is_dropped(harness: Harness, dribbled, written, body) -> None:
    earlier = []

    def first(exchange: ServerExchange) -> None:
        earlier.append(written(body, SEAL_LINE + id_line(exchange)))
        exchange.send(own_answer(exchange))

    def second(exchange: ServerExchange) -> None:
        data = earlier[0] + own_answer(exchange)
        exchange.send_bytewise(data) if dribbled else exchange.send(data)

    server = harness.serve(first, second)

    def call() -> list[bytes]:
        client = Client(harness)
        bodies = []
        for attempt_id in ("a1", "a2"):
            client.send(client_request("unsafe", attempt_id))
            bodies.append(client.receive().body)
        return bodies

    assert harness.run(call) == [[b"for a1", b"for a2"]]
    assert server.opened == 1


@pytest.mark.parametrize("prefix", ["safe", "unsafe"])
def test_an_answer_that_names_no_request_is_no_answer_on_a_connection_that_had_another(
    harness: Harness, prefix: str
) -> None:
    unnamed = http.response(200, b"whose?", SEAL_LINE)

    def named(exchange: ServerExchange) -> None:
        exchange.send(own_answer(exchange))

    server = harness.serve(named, lambda exchange: exchange.send(unnamed), named)
    other = harness.serve(named)

    def call() -> list[http.Message]:
        client = Client(harness)
        received = []
        for attempt_id in ("a1", "a2"):
            client.send(client_request(prefix, attempt_id))
            received.append(client.receive())
        return received

    ((first, second),) = harness.run(call)
    assert first.body == b"for a1"
    if prefix == "safe":
        assert second.body == b"for a2"  # asked elsewhere, or on a new connection
    else:
        assert second.status == 502  # it may have run
    assert len(server.requests) + len(other.requests) == (3 if prefix == "safe" else 2)


@pytest.mark.parametrize("at_once", [True, False])
def test_bytes_behind_an_answer_belong_to_no_request(harness: Harness, at_once: bool) -> None:
    def first(exchange: ServerExchange) -> None:
        answer = own_answer(exchange)
        unasked = http.response(200, b"unasked", SEAL_LINE)
        exchange.send(answer + unasked if at_once else answer)
        if not at_once:
            exchange.send(unasked)

    server = harness.serve(first, lambda exchange: exchange.send(own_answer(exchange)))

    def call() -> list[bytes]:
        client = Client(harness)
        bodies = []
        for attempt_id in ("a1", "a2"):
            client.send(client_request("unsafe", attempt_id))
            bodies.append(client.receive().body)
        return bodies

    assert harness.run(call) == [[b"for a1", b"for a2"]]
    assert server.opened == 2


def test_interim_answers_are_not_passed_on(harness: Harness) -> None:
    harness.serve(b"HTTP/1.1 102 Processing\r\n\r\n" + http.response(200, b"x", SEAL_LINE))
    answer = harness.ask(client_request("unsafe"))
    assert (answer.status, answer.body) == (200, b"x")
    assert b"102" not in answer.raw


@pytest.mark.parametrize("written", [with_length, in_chunks, without_length])
def test_a_long_answer_arrives_whole(harness: Harness, written) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(written(LONG, SEAL_LINE))
        if written is without_length:
            exchange.close()

    harness.serve(answer)
    received = harness.ask(client_request("unsafe"))
    assert received.status == 200
    assert received.body == LONG


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("written", [with_length, in_chunks])
@pytest.mark.parametrize("prefix", ["safe", "unsafe"])
def test_a_long_answer_that_ends_early_never_looks_complete(harness: Harness, prefix, written, end) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(written(LONG, SEAL_LINE)[: -len(LONG) // 8])
        getattr(exchange, end)()

    server, other = harness.serve(answer), harness.serve(http.response(200, b"other", SEAL_LINE))
    received = harness.ask(client_request(prefix))
    if received.complete:  # it broke off before anything was passed on
        assert (prefix, received.body) == ("safe", b"other") or received.status == 502
    else:
        assert received.end == "reset"
        assert not received.raw.endswith(http.LAST_CHUNK)
        assert other.requests == []
    assert len(server.requests) == 1


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\n" + SEAL_LINE,
        b"HTTP/1.1 200 OK\r\n" + SEAL_LINE + b"Content-Length: 5\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\n" + SEAL_LINE + CHUNKED_LINE + b"\r\n4\r\nhalf\r\n",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",  # no seal
        b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno",  # a promise that the server did not make
    ],
)
def test_what_is_no_whole_answer_is_not_passed_on(harness: Harness, sent: bytes, end: str) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(sent)
        getattr(exchange, end)()

    broken, sound = harness.serve(answer), harness.serve(http.response(200, b"sound", SEAL_LINE))
    unsafe = harness.ask(client_request("unsafe", "u1"))
    assert unsafe.status == 502
    assert sound.requests == []
    harness.known("i-0").succeeded(0)  # else it is left alone for a while
    assert harness.ask(client_request("safe", "s1")).body == b"sound"
    assert broken.attempt_ids == [b"u1", b"s1"]


def test_the_time_over_at_a_server_that_works_promises_nothing(harness: Harness) -> None:
    server = harness.serve(ServerExchange.wait_until_closed)
    answer = harness.ask(client_request("short"))
    assert answer.status == 504
    harness.turn_until(lambda: server.ended == 1)


def test_a_server_that_closes_an_idle_connection_costs_no_request(harness: Harness) -> None:
    def answer_and_close(exchange: ServerExchange) -> None:
        exchange.send(own_answer(exchange))
        exchange.close()

    server = harness.serve(answer_and_close)
    for attempt_id in ("u1", "u2", "u3"):
        assert harness.ask(client_request("unsafe", attempt_id)).status == 200
    assert server.attempt_ids == [b"u1", b"u2", b"u3"]
