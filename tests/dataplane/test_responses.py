"""Responses that are no streams: forwarded unaltered, to the right request, and never complete if truncated."""

from __future__ import annotations

import pytest

from iristrack.dataplane.exchange import MAX_BUFFERED_BODY_BYTES
from iristrack.http1 import messages as http
from tests.dataplane.harness import CHUNKED_LINE, SEAL_LINE, Client, Harness, ServerExchange, client_request

LONG_BODY = bytes(range(256)) * (MAX_BUFFERED_BODY_BYTES // 256 + 400)


def id_line(exchange: ServerExchange) -> bytes:
    return b"X-Iristrack-Attempt-Id: %b\r\n" % exchange.id


def own_response(exchange: ServerExchange) -> bytes:
    return http.response(200, b"for " + exchange.id, SEAL_LINE + id_line(exchange))


def with_length(body: bytes, lines: bytes) -> bytes:
    return http.response(200, body, lines)


def in_chunks(body: bytes, lines: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\n" + lines + CHUNKED_LINE + b"\r\n"
    pieces = (http.chunk(body[at : at + 7]) for at in range(0, len(body), 7))
    return head + b"".join(pieces) + http.LAST_CHUNK


def without_length(body: bytes, lines: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n" + body


def test_status_body_and_headers_are_forwarded_unaltered(harness: Harness) -> None:
    lines = SEAL_LINE + b"X-Odd:  a  b \r\nContent-Type: x/y\r\nKeep-Alive: timeout=5\r\n"
    harness.serve(http.response(207, b"\x00body\xff", lines))
    answer = harness.ask(client_request("safe"))
    assert (answer.status, answer.body, answer.end) == (207, b"\x00body\xff", "open")
    assert answer.header(b"x-iristrack-server-seal") == b"s1"
    assert b"X-Odd:  a  b \r\n" in answer.raw
    assert answer.header(b"keep-alive") is None  # hop-by-hop: it concerns the connection to the server


@pytest.mark.parametrize("status", [304, 400, 404, 500, 504])
@pytest.mark.parametrize("prefix", ["safe", "unsafe", "stream", "resumable"])
def test_an_error_response_of_the_server_is_forwarded(harness: Harness, status: int, prefix: str) -> None:
    server, other = harness.serve(http.response(status, b"" if status == 304 else b"why")), harness.serve(b"")
    answer = harness.ask(client_request(prefix))
    assert (answer.status, answer.body) == (status, b"" if status == 304 else b"why")
    assert (len(server.requests), other.requests) == (1, [])


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("encode", [with_length, in_chunks])
@pytest.mark.parametrize("body", [b"", b"late for another"])
def test_a_late_response_to_an_earlier_request_is_dropped(harness: Harness, bytewise, encode, body) -> None:
    earlier = []

    def first(exchange: ServerExchange) -> None:
        earlier.append(encode(body, SEAL_LINE + id_line(exchange)))
        exchange.send(own_response(exchange))

    def second(exchange: ServerExchange) -> None:
        data = earlier[0] + own_response(exchange)
        exchange.send_bytewise(data) if bytewise else exchange.send(data)

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
def test_a_response_without_an_id_is_rejected_on_a_reused_connection(harness: Harness, prefix: str) -> None:
    unnamed = http.response(200, b"whose?", SEAL_LINE)

    def named(exchange: ServerExchange) -> None:
        exchange.send(own_response(exchange))

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
        assert second.body == b"for a2"  # retried on another server, or on a new connection
    else:
        assert second.status == 502  # the request may have run
    assert len(server.requests) + len(other.requests) == (3 if prefix == "safe" else 2)


@pytest.mark.parametrize("at_once", [True, False])
def test_bytes_after_a_response_are_discarded(harness: Harness, at_once: bool) -> None:
    def first(exchange: ServerExchange) -> None:
        answer = own_response(exchange)
        unasked = http.response(200, b"unasked", SEAL_LINE)
        exchange.send(answer + unasked if at_once else answer)
        if not at_once:
            exchange.send(unasked)

    server = harness.serve(first, lambda exchange: exchange.send(own_response(exchange)))

    def call() -> list[bytes]:
        client = Client(harness)
        bodies = []
        for attempt_id in ("a1", "a2"):
            client.send(client_request("unsafe", attempt_id))
            bodies.append(client.receive().body)
        return bodies

    assert harness.run(call) == [[b"for a1", b"for a2"]]
    assert server.opened == 2


def test_interim_responses_are_not_forwarded(harness: Harness) -> None:
    harness.serve(b"HTTP/1.1 102 Processing\r\n\r\n" + http.response(200, b"x", SEAL_LINE))
    answer = harness.ask(client_request("unsafe"))
    assert (answer.status, answer.body) == (200, b"x")
    assert b"102" not in answer.raw


@pytest.mark.parametrize("encode", [with_length, in_chunks, without_length])
def test_a_long_response_arrives_complete(harness: Harness, encode) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(encode(LONG_BODY, SEAL_LINE))
        if encode is without_length:
            exchange.close()

    harness.serve(answer)
    received = harness.ask(client_request("unsafe"))
    assert received.status == 200
    assert received.body == LONG_BODY


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("encode", [with_length, in_chunks])
@pytest.mark.parametrize("prefix", ["safe", "unsafe"])
def test_a_truncated_long_response_never_looks_complete(harness: Harness, prefix, encode, end) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(encode(LONG_BODY, SEAL_LINE)[: -len(LONG_BODY) // 8])
        getattr(exchange, end)()

    server, other = harness.serve(answer), harness.serve(http.response(200, b"other", SEAL_LINE))
    received = harness.ask(client_request(prefix))
    if received.complete:  # it broke off before anything was forwarded
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
        b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno",  # without the not-executed header
    ],
)
def test_an_incomplete_or_invalid_response_is_not_forwarded(harness: Harness, sent: bytes, end: str) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(sent)
        getattr(exchange, end)()

    broken, other = harness.serve(answer), harness.serve(http.response(200, b"sound", SEAL_LINE))
    unsafe = harness.ask(client_request("unsafe", "u1"))
    assert unsafe.status == 502
    assert other.requests == []
    harness.listed_server("i-0").succeeded(0)  # otherwise the failed server would be avoided for a while
    assert harness.ask(client_request("safe", "s1")).body == b"sound"
    assert broken.attempt_ids == [b"u1", b"s1"]


def test_a_timeout_at_a_working_server_gives_504(harness: Harness) -> None:
    server = harness.serve(ServerExchange.wait_until_closed)
    answer = harness.ask(client_request("short"))
    assert answer.status == 504
    harness.run_until(lambda: server.ended == 1)


def test_a_server_that_closes_idle_connections_fails_no_request(harness: Harness) -> None:
    def answer_and_close(exchange: ServerExchange) -> None:
        exchange.send(own_response(exchange))
        exchange.close()

    server = harness.serve(answer_and_close)
    for attempt_id in ("u1", "u2", "u3"):
        assert harness.ask(client_request("unsafe", attempt_id)).status == 200
    assert server.attempt_ids == [b"u1", b"u2", b"u3"]
