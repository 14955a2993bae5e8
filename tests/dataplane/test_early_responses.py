"""Servers that answer before they have read a long body: the rest of that body follows, and nothing else."""

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
    named,
    yield_turn,
)

SOUND = http.response(200, b"sound", SEAL_LINE)
BODY = bytes(range(256)) * 40_000  # 10 MB: far more than the kernel holds for a connection
HEAD_END = b"\r\n\r\n"
UNREAD_TURNS = 20


class EarlyServer(FakeModelServer):
    """Answers each request after its head, reads the body a while later, and keeps the connection."""

    def __init__(self, scheduler, reads_on: bool) -> None:
        super().__init__(scheduler, (SOUND,))
        self.reads_on = reads_on
        self.bodies: list[bytes] = []
        self.read_before: list[int] = []  # bytes of each body that had been read when it was answered

    def _serve(self, sock: socket.socket) -> None:
        received = b""
        with suppress(OSError):
            while True:
                while HEAD_END not in received:
                    received += self._receive(sock)
                head, _, received = received.partition(HEAD_END)
                self.read_before.append(len(received))
                self._answer(sock, head)
                if not self.reads_on:
                    sock.close()
                    return
                for _ in range(UNREAD_TURNS):
                    yield_turn(self.scheduler)
                pieces, held = [received], len(received)
                while held < len(BODY):
                    pieces.append(self._receive(sock))
                    held += len(pieces[-1])
                whole = b"".join(pieces)
                self.bodies.append(whole[: len(BODY)])
                received = whole[len(BODY) :]

    def _answer(self, sock: socket.socket, head: bytes) -> None:
        (attempt_id,) = [
            line.partition(b":")[2].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-iristrack-attempt-id:")
        ]
        send_all(sock, named(SOUND, attempt_id), lambda: self.scheduler.wait(sock.fileno(), WRITE, None))

    def _receive(self, sock: socket.socket) -> bytes:
        self.scheduler.wait(sock.fileno(), READ, None)
        data = sock.recv(1 << 20)
        if not data:
            raise ConnectionResetError
        return data


def add(harness: Harness, reads_on: bool) -> FakeModelServer:
    harness.listener.max_body_bytes = len(BODY)
    return harness.add(EarlyServer(harness.scheduler, reads_on))


@pytest.mark.parametrize("prefix", ["safe", "unsafe"])
def test_the_rest_of_a_body_follows_an_early_answer_and_then_the_next_request(
    harness: Harness, prefix: str
) -> None:
    server = add(harness, reads_on=True)

    def call() -> list[int | None]:
        client = Client(harness)
        statuses = []
        for number in range(3):
            client.send(client_request(prefix, f"a{number}", body=BODY))
            statuses.append(client.receive().status)
        client.leave()
        return statuses

    assert harness.run(call) == [[200, 200, 200]]
    harness.turn_until(lambda: len(server.bodies) == 3)
    assert server.bodies == [BODY, BODY, BODY]
    assert max(server.read_before) < len(BODY)


def test_an_early_answer_on_a_connection_that_ends_is_no_reason_to_run_it_twice(harness: Harness) -> None:
    server = add(harness, reads_on=False)
    other = harness.serve(SOUND)
    answer = harness.ask(client_request("unsafe", body=BODY))
    assert answer.status in (200, 502)
    assert (len(server.read_before), len(other.requests)) == (1, 0)
