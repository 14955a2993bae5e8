"""Requests that come before the process can serve: they wait for it a moment, once."""

from __future__ import annotations

import pytest

from iristrack.configuration.key_lease import KeyLease
from iristrack.dataplane import start_gate
from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import clock
from tests.dataplane.stand import SEALED, Client, Received, Stand, document, yield_turn

NS_PER_MS = 1_000_000


def asking(prefix: str = "safe", wait_ms: int = 60_000) -> bytes:
    lines = b"Host: h.example\r\nX-Iristrack-Attempt-Id: a1\r\nX-Iristrack-Time-Left-Ms: %d\r\n" % wait_ms
    return http.request(b"POST", b"/%b/x" % prefix.encode(), lines, b"question")


def empty(stand: Stand) -> Stand:
    """A process that has just started: no configuration and no list of servers."""
    stand.plane.active = None
    stand.plane.servers.has_list = False
    return stand


def ask_and_then(stand: Stand, *learn) -> Received:
    """One request, and what the process learns once the request waits; each step in turns of its own."""

    def ask() -> Received:
        client = Client(stand)
        client.send(asking())
        received = client.receive()
        client.leave()
        return received

    def learn_all() -> None:
        while not stand.plane.start_gate._waiting:
            yield_turn(stand.scheduler)
        for step in learn:
            step()
            stand.plane.start_gate.look()
            yield_turn(stand.scheduler)

    received, _ = stand.run(ask, learn_all)
    return received


def test_a_request_waits_for_the_configuration_the_servers_and_the_lease(stand: Stand) -> None:
    empty(stand).plane.key_lease = KeyLease(60_000)
    lease = stand.plane.key_lease
    lease.set_applied_sequence(1)
    received = ask_and_then(
        stand,
        lambda: stand.configure(document()),
        lambda: stand.serve(http.response(200, b"answer", SEALED)),
        lambda: lease.handle_grant(lease.record_request(clock()), 1),
    )
    assert (received.status, received.body) == (200, b"answer")
    assert stand.plane.start_gate.open


def test_it_waits_for_a_part_of_its_time_and_is_then_told_when_to_come_back(stand: Stand) -> None:
    received = empty(stand).ask(asking(wait_ms=30))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0


def test_a_client_that_leaves_meanwhile_is_not_served(stand: Stand) -> None:
    def leave() -> None:
        client = Client(stand)
        client.send(asking())
        while not stand.plane.start_gate._waiting:
            yield_turn(stand.scheduler)
        client.leave()
        while stand.plane.start_gate._waiting:
            yield_turn(stand.scheduler)

    empty(stand).run(leave)
    server = stand.serve(http.response(200, b"answer", SEALED))
    stand.configure(document())
    stand.turn_until(lambda: not stand.listener.connections)
    assert server.requests == []


def test_once_it_could_serve_nothing_waits_any_more(stand: Stand, monkeypatch: pytest.MonkeyPatch) -> None:
    stand.serve(http.response(200, b"answer", SEALED))
    assert stand.ask(asking()).status == 200
    monkeypatch.setattr(start_gate, "MOST_WAIT_NS", 10**12)
    stand.plane.active = None
    assert stand.ask(asking()).status == 503


def test_a_process_that_cannot_serve_for_long_refuses_at_once(stand: Stand) -> None:
    """As beside a core that is away: nothing is held back then until its time is nearly over."""
    empty(stand).plane.start_gate._opens_at = clock()
    received = stand.ask(asking(wait_ms=60_000))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0
    assert stand.plane.start_gate.open
