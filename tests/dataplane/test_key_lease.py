"""Requests that need an API key while the key lease is valid, after it has expired, and across its expiry."""

from __future__ import annotations

import pytest

from iristrack.configuration.key_lease import KeyLease
from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import clock
from tests.dataplane.harness import SEAL_LINE, Harness, ServerExchange, document

KEYED = [{"label": "north", "api_keys": ["k-north"]}]
NS_PER_S = 1_000_000_000


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
def test_without_a_lease_every_key_gets_503_with_retry_after(keyed: Harness, key: str | None) -> None:
    server = keyed.serve(http.response(200, b"answer", SEAL_LINE))
    received = keyed.ask(client_request("safe", key))
    assert received.status == 503
    assert float(received.header(b"retry-after")) > 0
    assert server.requests == []


def test_public_routes_need_no_lease(keyed: Harness) -> None:
    keyed.serve(http.response(200, b"answer", SEAL_LINE))
    assert keyed.ask(client_request("public", None)).status == 200


def test_with_a_lease_keys_are_checked(keyed: Harness) -> None:
    keyed.serve(http.response(200, b"answer", SEAL_LINE))
    grant(keyed)
    assert keyed.ask(client_request("safe")).status == 200
    assert keyed.ask(client_request("safe", "unknown")).status == 401


def test_a_lease_that_expired_while_the_process_was_frozen_is_invalid(keyed: Harness) -> None:
    server = keyed.serve(http.response(200, b"answer", SEAL_LINE))
    grant(keyed, age_ns=60 * NS_PER_S)
    assert keyed.ask(client_request("safe")).status == 503
    assert server.requests == []


def test_the_lease_is_checked_again_before_a_retry(keyed: Harness) -> None:
    def drop_lease(exchange: ServerExchange) -> None:
        keyed.plane.key_lease = KeyLease(60_000)
        exchange.close()  # the request may have run; as it is safe, it would be retried

    first = keyed.serve(drop_lease)
    second = keyed.serve(http.response(200, b"answer", SEAL_LINE))
    grant(keyed)
    assert keyed.ask(client_request("safe")).status == 502
    assert len(first.requests) == 1
    assert second.requests == []


def test_the_lease_is_checked_after_the_connection_is_established(keyed: Harness) -> None:
    """The lease may expire during the wait for a connection."""
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
    assert keyed.listed_server("i-0").inflight == 0
