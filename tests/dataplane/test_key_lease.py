"""Requests that need a key while the lease of keys holds, after it, and across its end."""

from __future__ import annotations

import pytest

from iristrack.configuration.key_lease import KeyLease
from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import clock
from tests.dataplane.harness import SEAL_LINE, Harness, ServerExchange, document

KEYED = [{"label": "north", "api_keys": ["k-north"]}]
S = 1_000_000_000


def client_request(prefix: str, key: str | None = "k-north") -> bytes:
    lines = b"Host: h.example\r\nX-Iristrack-Attempt-Id: a1\r\n"
    if key is not None:
        lines += b"Authorization: Bearer %b\r\n" % key.encode()
    return http.request(b"POST", b"/%b/x" % prefix.encode(), lines, b"question")


@pytest.fixture
def keyed(harness: Harness) -> Harness:
    harness.configure(document(tenants=KEYED))
    harness.plane.key_lease = KeyLease(60_000)
    harness.plane.key_lease.set_applied_sequence(1)
    return harness


def grant(harness: Harness, age_ns: int = 0) -> None:
    lease = harness.plane.key_lease
    lease.handle_grant(lease.record_request(clock() - age_ns), 1)


@pytest.mark.parametrize("key", ["k-north", "unknown", None])
def test_without_a_lease_no_key_is_judged_and_the_client_is_told_when_to_come_back(
    keyed: Harness, key: str | None
) -> None:
    server = keyed.serve(http.response(200, b"answer", SEAL_LINE))
    received = keyed.ask(client_request("safe", key))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0
    assert server.requests == []


def test_public_routes_go_on_without_a_lease(keyed: Harness) -> None:
    keyed.serve(http.response(200, b"answer", SEAL_LINE))
    assert keyed.ask(client_request("public", None)).status == 200


def test_with_a_lease_keys_are_judged(keyed: Harness) -> None:
    keyed.serve(http.response(200, b"answer", SEAL_LINE))
    grant(keyed)
    assert keyed.ask(client_request("safe")).status == 200
    assert keyed.ask(client_request("safe", "unknown")).status == 401


def test_a_lease_that_ended_while_the_process_stood_still_is_no_lease(keyed: Harness) -> None:
    server = keyed.serve(http.response(200, b"answer", SEAL_LINE))
    grant(keyed, age_ns=60 * S)
    assert keyed.ask(client_request("safe")).status == 503
    assert server.requests == []


def test_it_is_looked_at_again_before_the_request_goes_to_a_further_server(keyed: Harness) -> None:
    def lapse(exchange: ServerExchange) -> None:
        keyed.plane.key_lease = KeyLease(60_000)
        exchange.close()  # it may have run; the request is safe, and would be sent again

    first = keyed.serve(lapse)
    second = keyed.serve(http.response(200, b"answer", SEAL_LINE))
    grant(keyed)
    assert keyed.ask(client_request("safe")).status == 502
    assert len(first.requests) == 1
    assert second.requests == []


def test_it_is_looked_at_once_the_connection_stands(keyed: Harness) -> None:
    """The wait for a connection takes time, at the end of which the lease may be over."""
    server = keyed.serve(http.response(200, b"answer", SEAL_LINE))
    grant(keyed)
    take = keyed.plane.links.take

    def take_late(*arguments: object):
        link = take(*arguments)
        keyed.plane.key_lease = KeyLease(60_000)
        return link

    keyed.plane.links.take = take_late
    assert keyed.ask(client_request("safe")).status == 503
    assert server.requests == []
    assert keyed.known("i-0").inflight == 0
