"""Clients that leave while their request is under way."""

from __future__ import annotations

import socket

import pytest

from iristrack.http1 import messages as http
from tests.dataplane.stand import (
    RESET_ON_CLOSE,
    SEALED,
    Client,
    Conversation,
    Stand,
    asking,
    chunks,
    event,
    named,
    stream_head,
    yield_turn,
)


def leave_when(stand: Stand, request: bytes, holds, until: bytes | None = None) -> None:
    def call() -> None:
        client = Client(stand)
        client.send(request)
        if until is not None:
            client.receive(until)
        stand_until(stand, holds)
        client.leave()

    stand.run(call)


def stand_until(stand: Stand, holds) -> None:
    while not holds():
        yield_turn(stand.scheduler)


@pytest.mark.parametrize("prefix", ["safe", "unsafe", "stream", "resumable"])
def test_a_server_that_works_for_nobody_is_let_go(stand: Stand, prefix: str) -> None:
    server, other = stand.serve(Conversation.wait_for_end), stand.serve(b"")
    leave_when(stand, asking(prefix), lambda: server.requests)
    stand.turn_until(lambda: server.ended == 1)
    stand.turn_until(lambda: not stand.listener.connections)
    assert other.requests == []
    assert stand.plane.counters.client_left == 1
    assert (stand.known("i-0").inflight, stand.known("i-0").failures) == (0, 0)
    assert stand.plane.links.open == 0


def test_a_server_in_the_middle_of_a_stream_is_let_go(stand: Stand) -> None:
    def answer(conversation: Conversation) -> None:
        conversation.send(stream_head() + chunks(1, 1))
        conversation.wait_for_end()

    server = stand.serve(answer)
    leave_when(stand, asking("resumable"), lambda: True, until=event(1))
    stand.turn_until(lambda: server.ended == 1)
    assert stand.plane.counters.client_left == 1


def test_a_client_that_resets_its_connection_has_left_too(stand: Stand) -> None:
    server = stand.serve(Conversation.wait_for_end)

    def call() -> None:
        client = Client(stand)
        client.send(asking("unsafe"))
        stand_until(stand, lambda: server.requests)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.leave()

    stand.run(call)
    stand.turn_until(lambda: server.ended == 1)


def test_the_next_request_sent_early_is_no_leaving(stand: Stand) -> None:
    def answer(conversation: Conversation) -> None:
        conversation.send(named(http.response(200, conversation.id, SEALED), conversation.id))

    stand.serve(answer)

    def call() -> list[bytes]:
        client = Client(stand)
        client.send(asking("unsafe", "a1") + asking("unsafe", "a2") + asking("stream", "a3")[:20])
        bodies = [client.receive().body, client.receive().body]
        client.leave()
        return bodies

    assert stand.run(call) == [[b"a1", b"a2"]]


def test_a_client_that_leaves_behind_an_early_request_is_noticed(stand: Stand) -> None:
    server = stand.serve(Conversation.wait_for_end)

    def call() -> None:
        client = Client(stand)
        client.send(asking("short", "a1"))
        stand_until(stand, lambda: server.requests)
        client.send(asking("safe", "a2")[:20])
        turns = stand.scheduler.turns
        stand_until(stand, lambda: stand.scheduler.turns > turns + 20)
        client.leave()

    stand.run(call)
    stand.turn_until(lambda: server.ended == 1)
    assert (stand.plane.counters.client_left, stand.plane.counters.failed) == (1, 0)
