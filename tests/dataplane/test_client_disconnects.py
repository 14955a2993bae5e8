"""Clients that leave while their request is under way."""

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
    named,
    stream_head,
    yield_turn,
)


def leave_when(harness: Harness, request: bytes, holds, until: bytes | None = None) -> None:
    def call() -> None:
        client = Client(harness)
        client.send(request)
        if until is not None:
            client.receive(until)
        turn_until_holds(harness, holds)
        client.leave()

    harness.run(call)


def turn_until_holds(harness: Harness, holds) -> None:
    while not holds():
        yield_turn(harness.scheduler)


@pytest.mark.parametrize("prefix", ["safe", "unsafe", "stream", "resumable"])
def test_a_server_that_works_for_nobody_is_let_go(harness: Harness, prefix: str) -> None:
    server, other = harness.serve(ServerExchange.wait_until_closed), harness.serve(b"")
    leave_when(harness, client_request(prefix), lambda: server.requests)
    harness.turn_until(lambda: server.ended == 1)
    harness.turn_until(lambda: not harness.listener.connections)
    assert other.requests == []
    assert harness.plane.counters.client_left == 1
    assert (harness.known("i-0").inflight, harness.known("i-0").failures) == (0, 0)
    assert harness.plane.links.open == 0


def test_a_server_in_the_middle_of_a_stream_is_let_go(harness: Harness) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head() + chunks(1, 1))
        exchange.wait_until_closed()

    server = harness.serve(answer)
    leave_when(harness, client_request("resumable"), lambda: True, until=event(1))
    harness.turn_until(lambda: server.ended == 1)
    assert harness.plane.counters.client_left == 1


def test_a_client_that_resets_its_connection_has_left_too(harness: Harness) -> None:
    server = harness.serve(ServerExchange.wait_until_closed)

    def call() -> None:
        client = Client(harness)
        client.send(client_request("unsafe"))
        turn_until_holds(harness, lambda: server.requests)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.leave()

    harness.run(call)
    harness.turn_until(lambda: server.ended == 1)


def test_the_next_request_sent_early_is_no_leaving(harness: Harness) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(named(http.response(200, exchange.id, SEAL_LINE), exchange.id))

    harness.serve(answer)

    def call() -> list[bytes]:
        client = Client(harness)
        client.send(
            client_request("unsafe", "a1")
            + client_request("unsafe", "a2")
            + client_request("stream", "a3")[:20]
        )
        bodies = [client.receive().body, client.receive().body]
        client.leave()
        return bodies

    assert harness.run(call) == [[b"a1", b"a2"]]


def test_a_client_that_leaves_behind_an_early_request_is_noticed(harness: Harness) -> None:
    server = harness.serve(ServerExchange.wait_until_closed)

    def call() -> None:
        client = Client(harness)
        client.send(client_request("short", "a1"))
        turn_until_holds(harness, lambda: server.requests)
        client.send(client_request("safe", "a2")[:20])
        turns = harness.scheduler.turns
        turn_until_holds(harness, lambda: harness.scheduler.turns > turns + 20)
        client.leave()

    harness.run(call)
    harness.turn_until(lambda: server.ended == 1)
    assert (harness.plane.counters.client_left, harness.plane.counters.failed) == (1, 0)
