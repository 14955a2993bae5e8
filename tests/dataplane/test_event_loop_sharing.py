"""One server's response must not block the event loop.

Guards against a past incident, named FAULT: bytes without an event terminator were read and searched again and again,
and no other task ran meanwhile.
"""

from __future__ import annotations

import socket
from types import SimpleNamespace

import pytest

from iristrack.dataplane.attempts import Attempt, AttemptFailed, DeadlinePassed
from iristrack.dataplane.events import EventSplitter
from iristrack.http1.connection import Link
from iristrack.runtime.scheduler import Scheduler, clock
from tests.dataplane.harness import TEST_TIMEOUT_NS, yield_turn

HEAD = b"HTTP/1.1 200 OK\r\nX-Iristrack-Server-Seal: s1\r\n\r\n"
PIECE = b"data: no end\n"
MAX_READS = 20_000
DEADLINE_NS = 50_000_000
MAX_LATENESS_NS = 500_000_000  # how long after its deadline a response must have ended


class EndlessSocket:
    """A connection that always has bytes to read."""

    def __init__(self) -> None:
        self.local, self.remote = socket.socketpair()
        self.remote.send(b"x")  # never read: the descriptor stays readable
        self.reads = 0

    def fileno(self) -> int:
        return self.local.fileno()

    def send(self, data: bytes) -> int:
        return len(data)

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        self.reads += 1
        if self.reads > MAX_READS:
            raise ConnectionResetError
        return HEAD if self.reads == 1 else PIECE

    def close(self) -> None:
        self.local.close()
        self.remote.close()


def attempt_at(scheduler: Scheduler, sock: EndlessSocket, deadline: int) -> Attempt:
    link = Link(scheduler, sock, None)
    links = SimpleNamespace(take=lambda instance, until: link, close=lambda closed: closed.sock.close())
    return Attempt(
        scheduler, links, SimpleNamespace(instance_id="i-0"), SimpleNamespace(disconnected=False), deadline
    )


def read_all(attempt: Attempt) -> None:
    attempt.send(b"a request", lambda: True)
    attempt.read_head(b"a1")
    for _ in attempt.read_body():
        pass


@pytest.fixture
def sock():
    endless = EndlessSocket()
    yield endless
    endless.close()


def test_other_tasks_run_between_two_reads_of_an_endless_response(sock: EndlessSocket) -> None:
    scheduler = Scheduler()
    attempt = attempt_at(scheduler, sock, clock() + TEST_TIMEOUT_NS)
    reads: list[int] = []

    def other() -> None:
        for _ in range(20):
            yield_turn(scheduler)
            reads.append(sock.reads)
        scheduler.stop()

    scheduler.spawn("answer", read_all, attempt)
    scheduler.spawn("other", other)
    scheduler.run()
    assert len(reads) == 20
    assert reads[-1] <= 2 * len(reads)


def test_an_endless_response_ends_at_its_deadline(sock: EndlessSocket) -> None:
    scheduler = Scheduler()
    deadline = clock() + DEADLINE_NS
    attempt = attempt_at(scheduler, sock, deadline)
    outcomes: list[tuple[type, int]] = []

    def call() -> None:
        try:
            read_all(attempt)
        except (DeadlinePassed, AttemptFailed) as end:
            outcomes.append((type(end), clock() - deadline))
        scheduler.stop()

    scheduler.spawn("answer", call)
    scheduler.run()
    ((end, late_ns),) = outcomes
    assert end is DeadlinePassed
    assert 0 <= late_ns < MAX_LATENESS_NS


def test_bytes_without_an_event_terminator_are_searched_once() -> None:
    splitter = EventSplitter()
    pieces = [PIECE * 50] * 400
    for piece in pieces:
        assert splitter.feed(piece) == []
        assert splitter.searched_bytes == len(splitter.remainder)
    (event,) = splitter.feed(b"\n")
    assert len(event.data) == sum(map(len, pieces)) + 1


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_a_terminator_that_arrives_byte_by_byte_is_found(end: bytes) -> None:
    splitter = EventSplitter()
    found = [event for at in range(len(end)) for event in splitter.feed(end[at : at + 1])]
    assert [event.data for event in found] == [end]
