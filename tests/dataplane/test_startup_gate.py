"""Requests that come before the process can serve: they wait for it a moment, once."""

from __future__ import annotations

import pytest

from iristrack.configuration.key_lease import KeyLease
from iristrack.dataplane import startup_gate
from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import clock
from tests.dataplane.harness import SEAL_LINE, Client, Harness, Received, document, yield_turn

NS_PER_MS = 1_000_000


def client_request(prefix: str = "safe", wait_ms: int = 60_000) -> bytes:
    lines = b"Host: h.example\r\nX-Iristrack-Attempt-Id: a1\r\nX-Iristrack-Time-Left-Ms: %d\r\n" % wait_ms
    return http.request(b"POST", b"/%b/x" % prefix.encode(), lines, b"question")


def empty(harness: Harness) -> Harness:
    """A process that has just started: no configuration and no list of servers."""
    harness.plane.active = None
    harness.plane.servers.has_list = False
    return harness


def ask_and_then(harness: Harness, *learn) -> Received:
    """One request, and what the process learns once the request waits; each step in turns of its own."""

    def ask() -> Received:
        client = Client(harness)
        client.send(client_request())
        received = client.receive()
        client.leave()
        return received

    def learn_all() -> None:
        while not harness.plane.startup_gate._waiting:
            yield_turn(harness.scheduler)
        for step in learn:
            step()
            harness.plane.startup_gate.open_if_ready()
            yield_turn(harness.scheduler)

    received, _ = harness.run(ask, learn_all)
    return received


def test_a_request_waits_for_the_configuration_the_servers_and_the_lease(harness: Harness) -> None:
    empty(harness).plane.key_lease = KeyLease(60_000)
    lease = harness.plane.key_lease
    lease.set_applied_sequence(1)
    received = ask_and_then(
        harness,
        lambda: harness.configure(document()),
        lambda: harness.serve(http.response(200, b"answer", SEAL_LINE)),
        lambda: lease.handle_grant(lease.record_request(clock()), 1),
    )
    assert (received.status, received.body) == (200, b"answer")
    assert harness.plane.startup_gate.open


def test_it_waits_for_a_part_of_its_time_and_is_then_told_when_to_come_back(harness: Harness) -> None:
    received = empty(harness).ask(client_request(wait_ms=30))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0


def test_a_client_that_leaves_meanwhile_is_not_served(harness: Harness) -> None:
    def leave() -> None:
        client = Client(harness)
        client.send(client_request())
        while not harness.plane.startup_gate._waiting:
            yield_turn(harness.scheduler)
        client.leave()
        while harness.plane.startup_gate._waiting:
            yield_turn(harness.scheduler)

    empty(harness).run(leave)
    server = harness.serve(http.response(200, b"answer", SEAL_LINE))
    harness.configure(document())
    harness.turn_until(lambda: not harness.listener.connections)
    assert server.requests == []


def test_once_it_could_serve_nothing_waits_any_more(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness.serve(http.response(200, b"answer", SEAL_LINE))
    assert harness.ask(client_request()).status == 200
    monkeypatch.setattr(startup_gate, "MAX_WAIT_NS", 10**12)
    harness.plane.active = None
    assert harness.ask(client_request()).status == 503


def test_a_process_that_cannot_serve_for_long_refuses_at_once(harness: Harness) -> None:
    """As beside a core that is away: nothing is held back then until its time is nearly over."""
    empty(harness).plane.startup_gate._opens_by = clock()
    received = harness.ask(client_request(wait_ms=60_000))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0
    assert harness.plane.startup_gate.open
