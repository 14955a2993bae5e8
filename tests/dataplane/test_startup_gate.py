"""Requests that arrive before the process can serve wait a limited time."""

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


def without_state(harness: Harness) -> Harness:
    """Reset the state to that of a process that has just started: no configuration and no server list."""
    harness.plane.active = None
    harness.plane.servers.has_list = False
    return harness


def ask_and_learn(harness: Harness, *learn) -> Received:
    """Send one request and, once it waits, apply each step of `learn` in a turn of its own."""

    def ask() -> Received:
        client = Client(harness)
        client.send(client_request())
        received = client.receive()
        client.disconnect()
        return received

    def apply_steps() -> None:
        while not harness.plane.startup_gate._waiting:
            yield_turn(harness.scheduler)
        for step in learn:
            step()
            harness.plane.startup_gate.open_if_ready()
            yield_turn(harness.scheduler)

    received, _ = harness.run(ask, apply_steps)
    return received


def test_a_request_waits_for_the_configuration_the_servers_and_the_lease(harness: Harness) -> None:
    without_state(harness).plane.key_lease = KeyLease(60_000)
    lease = harness.plane.key_lease
    lease.set_applied_sequence(1)
    received = ask_and_learn(
        harness,
        lambda: harness.configure(document()),
        lambda: harness.serve(http.response(200, b"answer", SEAL_LINE)),
        lambda: lease.handle_grant(lease.record_request(clock()), 1),
    )
    assert (received.status, received.body) == (200, b"answer")
    assert harness.plane.startup_gate.open


def test_after_the_wait_limit_a_request_gets_503_with_retry_after(harness: Harness) -> None:
    received = without_state(harness).ask(client_request(wait_ms=30))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0


def test_a_client_that_disconnects_while_waiting_is_not_served(harness: Harness) -> None:
    def disconnect() -> None:
        client = Client(harness)
        client.send(client_request())
        while not harness.plane.startup_gate._waiting:
            yield_turn(harness.scheduler)
        client.disconnect()
        while harness.plane.startup_gate._waiting:
            yield_turn(harness.scheduler)

    without_state(harness).run(disconnect)
    server = harness.serve(http.response(200, b"answer", SEAL_LINE))
    harness.configure(document())
    harness.run_until(lambda: not harness.listener.connections)
    assert server.requests == []


def test_after_the_process_could_serve_once_nothing_waits(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness.serve(http.response(200, b"answer", SEAL_LINE))
    assert harness.ask(client_request()).status == 200
    monkeypatch.setattr(startup_gate, "MAX_WAIT_NS", 10**12)
    harness.plane.active = None
    assert harness.ask(client_request()).status == 503


def test_after_the_startup_limit_requests_are_rejected_at_once(harness: Harness) -> None:
    """While the core is unreachable, requests must not be held until their time is nearly over."""
    without_state(harness).plane.startup_gate._opens_by = clock()
    received = harness.ask(client_request(wait_ms=60_000))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0
    assert harness.plane.startup_gate.open
