"""Shared prompt parts in prefill at one server are not prefilled at another at the same time."""

from __future__ import annotations

from iristrack.http1 import messages as http
from tests.dataplane.harness import (
    MODEL,
    SEAL_LINE,
    Client,
    Harness,
    ServerExchange,
    client_request,
    yield_turn,
)

RESPONSE = http.response(200, b"done", SEAL_LINE)
LINES = b"X-Iristrack-Model: %b\r\nX-Iristrack-Token-Count: %d,9\r\nX-Iristrack-Prompt-Prefix: %b\r\n"
REQUEST_COUNT = 3


def prompt(own: str, shared: str = "aa:4000,bb:2000") -> bytes:
    return LINES % (MODEL.encode(), 6300, f"{shared},{own}:300".encode())


def ask_together(harness: Harness, lines: list[bytes]) -> None:
    """Send requests one after the other; each gets its response after all have arrived at a server."""

    def arrived() -> int:
        return sum(len(server.requests) for server in harness.servers.values())

    def respond_after_all_arrived(exchange: ServerExchange) -> None:
        while arrived() < len(lines):
            yield_turn(harness.scheduler)
        exchange.send(RESPONSE)

    for server in (harness.serve(respond_after_all_arrived), harness.serve(respond_after_all_arrived)):
        assert server.requests == []

    def call(number: int) -> None:
        while arrived() < number:
            yield_turn(harness.scheduler)
        client = Client(harness)
        client.send(client_request("safe", f"a{number}", lines[number]))
        assert client.receive().status == 200
        client.disconnect()

    harness.run(*[lambda number=number: call(number) for number in range(len(lines))])


def arrivals(harness: Harness) -> list[int]:
    return sorted(len(server.requests) for server in harness.servers.values())


def test_requests_with_the_same_shared_parts_go_to_the_same_server(harness: Harness) -> None:
    ask_together(harness, [prompt(f"c{number}") for number in range(REQUEST_COUNT)])
    assert arrivals(harness) == [0, REQUEST_COUNT]
    assert len(harness.plane.pending_prefills) == 0


def test_requests_with_other_parts_go_to_other_servers(harness: Harness) -> None:
    ask_together(harness, [prompt(f"c{number}", f"d{number}:4000,e{number}:2000") for number in range(2)])
    assert arrivals(harness) == [1, 1]


def test_a_failed_attempt_ends_its_pending_prefill(harness: Harness) -> None:
    harness.serve(lambda exchange: exchange.reset())
    harness.ask(client_request("once", "a1", prompt("c1")))
    assert len(harness.plane.pending_prefills) == 0
