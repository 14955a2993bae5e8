"""Client connections: keep-alive, limits, timeouts and closing."""

from __future__ import annotations

import pytest

from iristrack.dataplane import clients
from iristrack.http1 import messages as http
from tests.dataplane.harness import (
    SEAL_LINE,
    Client,
    Harness,
    Received,
    ServerExchange,
    client_request,
    event,
    stream,
    with_attempt_id,
    yield_turn,
)

NS_PER_MS = 1_000_000


def echo(exchange: ServerExchange) -> None:
    exchange.send(with_attempt_id(http.response(200, exchange.id, SEAL_LINE), exchange.id))


def send_all_and_receive(harness: Harness, *sent: bytes) -> list[Received]:
    """Send each request on one connection and return the responses."""

    def call() -> list[Received]:
        client = Client(harness)
        received = []
        for data in sent:
            client.send(data)
            received.append(client.receive())
        return received

    return harness.run(call)[0]


def test_a_connection_is_kept_from_request_to_request(harness: Harness) -> None:
    server = harness.serve(echo)
    bodies = [
        r.body for r in send_all_and_receive(harness, *(client_request("unsafe", f"a{n}") for n in range(5)))
    ]
    assert bodies == [b"a0", b"a1", b"a2", b"a3", b"a4"]
    assert server.opened == 1


@pytest.mark.parametrize("prefix", ["safe", "stream"])
def test_connection_close_from_the_client_is_honoured(harness: Harness, prefix: str) -> None:
    harness.serve(stream(1, 2) if prefix == "stream" else echo)

    def call() -> tuple[Received, Received]:
        client = Client(harness)
        client.send(client_request(prefix, lines=b"Connection: close\r\n"))
        return client.receive(), client.receive()

    ((answer, rest),) = harness.run(call)
    assert answer.header(b"connection") == b"close"
    assert (answer.status, rest.end, rest.raw) == (200, "closed", b"")


def http_1_0_request(prefix: str) -> bytes:
    """Return a request of an HTTP/1.0 client, which does not support chunked encoding."""
    return client_request(prefix, lines=b"Connection: keep-alive\r\n").replace(
        b" HTTP/1.1\r\n", b" HTTP/1.0\r\n"
    )


def ask_and_read_to_the_end(harness: Harness, request: bytes) -> Received:
    def call() -> Received:
        client = Client(harness)
        client.send(request)
        return client.receive()

    return harness.run(call)[0]


@pytest.mark.parametrize("prefix", ["safe", "stream"])
def test_an_http_1_0_client_gets_an_unchunked_body_ended_by_close(harness: Harness, prefix: str) -> None:
    harness.serve(stream(1, 2) if prefix == "stream" else echo)
    answer = ask_and_read_to_the_end(harness, http_1_0_request(prefix))
    assert answer.raw.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"chunked" not in answer.raw and b"Connection: close\r\n" in answer.raw
    assert answer.raw.endswith(b"\r\n\r\n" + (event(1) + event(2) if prefix == "stream" else b"a1"))


def test_an_unchunked_stream_that_breaks_off_is_reset(harness: Harness) -> None:
    harness.serve(lambda exchange: (exchange.send(stream(1, 3)[:-30]), exchange.reset()))
    answer = ask_and_read_to_the_end(harness, http_1_0_request("stream"))
    assert (answer.end, answer.complete) == ("reset", False)


def test_a_rejected_request_keeps_the_connection_open(harness: Harness) -> None:
    harness.serve(echo)
    answers = send_all_and_receive(harness, client_request("nowhere"), client_request("safe", "a2"))
    assert [answer.status for answer in answers] == [404, 200]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /safe/x HTTP/2.0\r\n\r\n", 505),
        (b"GET /safe/x HTTP/1.1\r\nno field\r\n\r\n", 400),
        (b"GET /safe/x HTTP/1.1\r\nX: " + b"x" * 20_000, 431),
        (client_request("safe").removesuffix(b"\r\n") + b"Content-Length: 9999999\r\n\r\n", 413),
        (
            client_request("safe").removesuffix(b"\r\n")
            + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (
            client_request("safe").removesuffix(b"\r\n") + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
            400,
        ),
        (client_request("safe").removesuffix(b"\r\n") + b"Transfer-Encoding: gzip\r\n\r\n", 400),
        (client_request("safe").removesuffix(b"\r\n") + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ],
)
def test_a_malformed_request_gets_an_error_and_a_close(harness, data, status) -> None:
    server = harness.serve(echo)

    def call() -> tuple[Received, Received]:
        client = Client(harness)
        client.send(data + client_request("safe", "smuggled"))
        return client.receive(), client.receive()

    ((answer, rest),) = harness.run(call)
    assert (answer.status, answer.header(b"connection")) == (status, b"close")
    assert (rest.raw, rest.message) == (b"", None)
    assert server.requests == []


def test_expect_100_continue_is_answered_before_the_body(harness: Harness) -> None:
    server = harness.serve(echo)

    def call() -> Received:
        client = Client(harness)
        client.send(
            client_request("unsafe", lines=b"Expect: 100-continue\r\n").removesuffix(b"\r\n")
            + b"Content-Length: 4\r\n\r\n"
        )
        waiting = client.receive(until=b"100 Continue\r\n\r\n")
        assert not waiting.complete
        client.send(b"body")
        return client.receive()

    assert harness.run(call)[0].status == 200
    assert server.requests[0].body == b"body"
    assert server.header(b"expect") is None


@pytest.mark.parametrize("data", [b"GET /sa", client_request("safe")[:-2]])
def test_an_incomplete_head_times_out_with_408(harness: Harness, data: bytes) -> None:
    harness.listener.header_timeout_ns = 20 * NS_PER_MS
    (answer,) = send_all_and_receive(harness, data)
    assert (answer.status, answer.header(b"connection")) == (408, b"close")


def test_an_incomplete_body_times_out_with_408(harness: Harness, monkeypatch) -> None:
    monkeypatch.setattr(clients, "BODY_READ_TIMEOUT_NS", 20 * NS_PER_MS)
    (answer,) = send_all_and_receive(harness, client_request("unsafe", body=b"body")[:-2])
    assert answer.status == 408


def test_an_idle_connection_is_closed_without_a_response(harness: Harness) -> None:
    harness.serve(echo)
    harness.listener.idle_timeout_ns = 20 * NS_PER_MS
    answer, rest = send_all_and_receive(harness, client_request("safe"), b"")
    assert answer.status == 200
    assert (rest.raw, rest.end) == (b"", "closed")


def test_connections_over_the_limit_wait_to_be_accepted(harness: Harness) -> None:
    harness.serve(echo)
    harness.listener.max_connections = 2
    released = []

    def hold_connection() -> None:
        client = Client(harness)
        client.send(client_request("safe", "held"))
        client.receive()
        while not released:
            yield_turn(harness.scheduler)
        client.disconnect()

    def wait_for_slot() -> Received:
        while len(harness.listener.connections) < 2:
            yield_turn(harness.scheduler)
        client = Client(harness)
        client.send(client_request("safe", "waited"))
        first_turn = harness.scheduler.turns
        while harness.scheduler.turns < first_turn + 50:
            yield_turn(harness.scheduler)
            assert len(harness.listener.connections) == 2
        released.append("released")
        return client.receive()

    _, _, answer = harness.run(hold_connection, hold_connection, wait_for_slot)
    assert answer.body == b"waited"


def test_shutdown_closes_idle_connections_and_completes_responses(harness: Harness) -> None:
    resumed = []

    def answer(exchange: ServerExchange) -> None:
        exchange.send(with_attempt_id(stream(1, 1)[: -len(http.LAST_CHUNK)], exchange.id))
        while not resumed:
            yield_turn(exchange.server.scheduler)
        exchange.send(http.chunk(event(2)) + http.LAST_CHUNK)

    harness.serve(echo, answer)
    ended = []
    harness.listener.on_empty = lambda: ended.append(True)

    def call() -> tuple[Received, Received, Received]:
        idle, busy = Client(harness), Client(harness)
        idle.send(client_request("safe", "a1"))
        idle.receive()
        busy.send(client_request("stream", "a2"))
        first_part = busy.receive(until=event(1))
        harness.listener.stop_accepting()
        harness.listener.close_idle()
        idle_end = idle.receive()
        assert not ended
        resumed.append(True)
        rest = busy.receive()
        return idle_end, first_part, rest

    ((idle_end, first_part, rest),) = harness.run(call)
    assert (idle_end.raw, idle_end.end) == (b"", "closed")
    assert not first_part.complete
    assert (rest.complete, rest.end) == (True, "open")
    harness.run_until(lambda: ended)
    assert not harness.listener.connections


def test_a_draining_data_plane_sends_connection_close(harness: Harness) -> None:
    harness.serve(echo)
    harness.plane.draining = True
    (answer,) = send_all_and_receive(harness, client_request("safe"))
    assert (answer.status, answer.header(b"connection")) == (200, b"close")
