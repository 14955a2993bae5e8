"""Clients that disconnect while their request is in flight."""

from __future__ import annotations

import socket

import pytest

from iristrack.http1 import messages as http
from tests.dataplane.harness import (
    RESET_ON_CLOSE,
    SEAL_LINE,
    Client,
    Harness,
    ServerExchange,
    chunks,
    client_request,
    event,
    stream_head,
    with_attempt_id,
    yield_turn,
)


def disconnect_when(harness: Harness, request: bytes, condition, until: bytes | None = None) -> None:
    def call() -> None:
        client = Client(harness)
        client.send(request)
        if until is not None:
            client.receive(until)
        wait_until(harness, condition)
        client.disconnect()

    harness.run(call)


def wait_until(harness: Harness, condition) -> None:
    while not condition():
        yield_turn(harness.scheduler)


@pytest.mark.parametrize("prefix", ["safe", "unsafe", "stream", "resumable"])
def test_a_client_disconnect_ends_the_request_at_the_server(harness: Harness, prefix: str) -> None:
    server, other = harness.serve(ServerExchange.wait_until_closed), harness.serve(b"")
    disconnect_when(harness, client_request(prefix), lambda: server.requests)
    harness.run_until(lambda: server.ended == 1)
    harness.run_until(lambda: not harness.listener.connections)
    assert other.requests == []
    assert harness.plane.counters.client_left == 1
    assert (harness.listed_server("i-0").inflight, harness.listed_server("i-0").failures) == (0, 0)
    assert harness.plane.links.open == 0


def test_a_client_disconnect_ends_a_stream_at_the_server(harness: Harness) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head() + chunks(1, 1))
        exchange.wait_until_closed()

    server = harness.serve(answer)
    disconnect_when(harness, client_request("resumable"), lambda: True, until=event(1))
    harness.run_until(lambda: server.ended == 1)
    assert harness.plane.counters.client_left == 1


def test_a_reset_by_the_client_counts_as_a_disconnect(harness: Harness) -> None:
    server = harness.serve(ServerExchange.wait_until_closed)

    def call() -> None:
        client = Client(harness)
        client.send(client_request("unsafe"))
        wait_until(harness, lambda: server.requests)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.disconnect()

    harness.run(call)
    harness.run_until(lambda: server.ended == 1)


def test_a_pipelined_request_is_not_taken_for_a_disconnect(harness: Harness) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(with_attempt_id(http.response(200, exchange.id, SEAL_LINE), exchange.id))

    harness.serve(answer)

    def call() -> list[bytes]:
        client = Client(harness)
        client.send(
            client_request("unsafe", "a1")
            + client_request("unsafe", "a2")
            + client_request("stream", "a3")[:20]
        )
        bodies = [client.receive().body, client.receive().body]
        client.disconnect()
        return bodies

    assert harness.run(call) == [[b"a1", b"a2"]]


def test_a_disconnect_after_a_pipelined_request_is_detected(harness: Harness) -> None:
    server = harness.serve(ServerExchange.wait_until_closed)

    def call() -> None:
        client = Client(harness)
        client.send(client_request("short", "a1"))
        wait_until(harness, lambda: server.requests)
        client.send(client_request("safe", "a2")[:20])
        turns = harness.scheduler.turns
        wait_until(harness, lambda: harness.scheduler.turns > turns + 20)
        client.disconnect()

    harness.run(call)
    harness.run_until(lambda: server.ended == 1)
    assert (harness.plane.counters.client_left, harness.plane.counters.failed) == (1, 0)
