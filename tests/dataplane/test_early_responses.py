"""Servers that respond before they have read a long body: the rest of that body is still sent."""

from __future__ import annotations

import socket
from contextlib import suppress

import pytest

from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import READ, WRITE, send_all
from tests.dataplane.harness import (
    SEAL_LINE,
    Client,
    FakeModelServer,
    Harness,
    client_request,
    with_attempt_id,
    yield_turn,
)

RESPONSE = http.response(200, b"sound", SEAL_LINE)
BODY = bytes(range(256)) * 40_000  # 10 MB: far more than the kernel buffers for a connection
HEAD_END = b"\r\n\r\n"
UNREAD_TURNS = 20


class EarlyServer(FakeModelServer):
    """Respond to each request after its head, then read the body later, or close the connection."""

    def __init__(self, scheduler, reads_body: bool) -> None:
        super().__init__(scheduler, (RESPONSE,))
        self.reads_body = reads_body
        self.bodies: list[bytes] = []
        self.bytes_read_before_response: list[int] = []  # for each body

    def _serve(self, sock: socket.socket) -> None:
        received = b""
        with suppress(OSError):
            while True:
                while HEAD_END not in received:
                    received += self._receive(sock)
                head, _, received = received.partition(HEAD_END)
                self.bytes_read_before_response.append(len(received))
                self._respond(sock, head)
                if not self.reads_body:
                    sock.close()
                    return
                for _ in range(UNREAD_TURNS):
                    yield_turn(self.scheduler)
                pieces, received_bytes = [received], len(received)
                while received_bytes < len(BODY):
                    pieces.append(self._receive(sock))
                    received_bytes += len(pieces[-1])
                body_and_rest = b"".join(pieces)
                self.bodies.append(body_and_rest[: len(BODY)])
                received = body_and_rest[len(BODY) :]

    def _respond(self, sock: socket.socket, head: bytes) -> None:
        (attempt_id,) = [
            line.partition(b":")[2].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-iristrack-attempt-id:")
        ]
        send_all(
            sock,
            with_attempt_id(RESPONSE, attempt_id),
            lambda: self.scheduler.wait(sock.fileno(), WRITE, None),
        )

    def _receive(self, sock: socket.socket) -> bytes:
        self.scheduler.wait(sock.fileno(), READ, None)
        data = sock.recv(1 << 20)
        if not data:
            raise ConnectionResetError
        return data


def add_early_server(harness: Harness, reads_body: bool) -> FakeModelServer:
    harness.listener.max_body_bytes = len(BODY)
    return harness.add(EarlyServer(harness.scheduler, reads_body))


@pytest.mark.parametrize("prefix", ["safe", "unsafe"])
def test_after_an_early_response_the_rest_of_the_body_is_sent(harness: Harness, prefix: str) -> None:
    server = add_early_server(harness, reads_body=True)

    def call() -> list[int | None]:
        client = Client(harness)
        statuses = []
        for number in range(3):
            client.send(client_request(prefix, f"a{number}", body=BODY))
            statuses.append(client.receive().status)
        client.disconnect()
        return statuses

    assert harness.run(call) == [[200, 200, 200]]
    harness.run_until(lambda: len(server.bodies) == 3)
    assert server.bodies == [BODY, BODY, BODY]
    assert max(server.bytes_read_before_response) < len(BODY)


def test_an_early_response_followed_by_a_close_causes_no_retry(harness: Harness) -> None:
    server = add_early_server(harness, reads_body=False)
    other = harness.serve(RESPONSE)
    answer = harness.ask(client_request("unsafe", body=BODY))
    assert answer.status in (200, 502)
    assert (len(server.bytes_read_before_response), len(other.requests)) == (1, 0)
