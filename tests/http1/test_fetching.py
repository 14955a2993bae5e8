from __future__ import annotations

import pytest

from iristrack.http1 import messages as http
from iristrack.http1.fetching import HttpClient
from iristrack.runtime.scheduler import clock
from tests.http1.calls import PATIENCE_NS, Loop, StandInServer

SHORT_NS = 20_000_000


class Called:
    """A caller and the server that it calls, in one loop."""

    def __init__(self, *answers: bytes | None, end: bool = False) -> None:
        """Each connection gives these answers, None: silence; `end`: it is closed behind the last one."""
        self.loop = Loop()
        self.answers = list(answers)
        self.end = end
        self.server = StandInServer(self.loop, self._serve)
        self.caller = HttpClient(self.loop.scheduler, self.server.address)

    def _serve(self, sock) -> None:
        while self.answers:
            self.server.request(sock)
            answer = self.answers.pop(0)
            if answer is not None:
                sock.send(answer)
        if not self.end:
            self.server.request(sock)

    def call(self, target: str = "/", ns: int = PATIENCE_NS) -> http.Message:
        deadline = clock() + ns
        return self.caller.call(b"GET", target.encode(), b"X-A: 1\r\n", b"", deadline)

    def run(self, *targets: str, ns: int = PATIENCE_NS) -> list[bytes]:
        (bodies,) = self.loop.run(lambda: [self.call(target, ns).body for target in targets])
        return bodies

    def fails(self, fault, ns: int = PATIENCE_NS) -> None:
        def call() -> None:
            with pytest.raises(fault):
                self.call(ns=ns)

        self.loop.run(call)


def test_one_connection_carries_call_after_call() -> None:
    called = Called(http.response(200, b"1"), http.response(404, b"2"), http.response(200, b""))
    assert called.run("/a", "/b", "/c") == [b"1", b"2", b""]
    assert called.server.opened == 1
    heads = [message.head for message in called.server.requests]
    assert [head.target for head in heads] == [b"/a", b"/b", b"/c"]
    assert all(head.fields[b"x-a"] == b"1" for head in heads)
    assert heads[0].fields[b"host"] == b"%b:%d" % (
        called.server.address[0].encode(),
        called.server.address[1],
    )


@pytest.mark.parametrize(
    "answer",
    [
        http.response(200, b"1", close=True),
        b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n1",
    ],
)
def test_an_answer_that_ends_its_connection_is_followed_by_a_new_one(answer: bytes) -> None:
    called = Called(answer, http.response(200, b"2"))

    def serve(sock) -> None:
        called.server.request(sock)
        sock.send(called.answers.pop(0))
        called.server.request(sock)

    called.server.serve = serve
    assert called.run("/a", "/b") == [b"1", b"2"]
    assert called.server.opened == 2


def test_a_kept_connection_that_the_server_has_closed_is_not_used() -> None:
    called = Called(http.response(200, b"1"), end=True)
    assert called.run("/a") == [b"1"]
    called.answers = [http.response(200, b"2")]

    def again() -> bytes:
        called.loop.turn_while(lambda: called.caller._link.quiet())
        return called.call("/b").body

    assert called.loop.run(again) == [b"2"]
    assert called.server.opened == 2


@pytest.mark.parametrize("at_once", [True, False])
def test_what_comes_behind_an_answer_is_not_taken_for_the_next_one(at_once: bool) -> None:
    unasked = http.response(200, b"unasked")
    called = Called()
    taken: list[bytes] = []

    def serve(sock) -> None:
        called.server.request(sock)
        sock.send(http.response(200, b"1") + (unasked if at_once else b""))
        called.loop.turn_while(lambda: not taken)
        if not at_once:
            sock.send(unasked)
        called.server.request(sock)
        sock.send(http.response(200, b"2"))

    called.server.serve = serve

    def calls() -> list[bytes]:
        taken.append(called.call("/a").body)
        called.loop.turn_while(lambda: not at_once and called.caller._link.quiet())
        called.server.serve = lambda sock: [called.server.request(sock), sock.send(http.response(200, b"2"))]
        return [*taken, called.call("/b").body]

    assert called.loop.run(calls) == [[b"1", b"2"]]


def test_bodies_in_chunks_or_up_to_the_end_come_whole() -> None:
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"x" * 200_000
    called = Called(chunked + http.chunk(body) + http.LAST_CHUNK, b"HTTP/1.1 200 OK\r\n\r\nrest", end=True)
    assert called.run("/a", "/b") == [body, b"rest"]


@pytest.mark.parametrize(
    ("answer", "fault"),
    [
        (b"", OSError),
        (b"HTTP/1.1 200 O", http.Truncated),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", http.Truncated),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", http.Truncated),
        (b"no answer\r\n\r\n", http.Malformed),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", http.Malformed),
    ],
)
def test_no_whole_answer_is_a_failure_and_the_next_call_begins_anew(answer: bytes, fault) -> None:
    called = Called(answer, end=True)
    called.fails(fault)
    called.answers = [http.response(200, b"2")]
    assert called.run("/b") == [b"2"]
    assert called.server.opened == 2


def test_half_an_answer_ends_with_the_deadline() -> None:
    called = Called(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", None)
    called.fails(TimeoutError, SHORT_NS)
    assert called.caller._link is None


def test_a_silent_server_ends_with_the_deadline_and_its_connection_with_it() -> None:
    ended = []
    called = Called()

    def serve(sock) -> None:
        called.server.request(sock)
        called.server.loop.scheduler.wait(sock.fileno(), 1, None)
        ended.append(sock.recv(1))

    called.server.serve = serve
    called.fails(TimeoutError, SHORT_NS)
    called.loop.run(lambda: called.loop.turn_while(lambda: not ended))
    assert ended == [b""]


def test_nobody_there_is_a_failure() -> None:
    called = Called()
    called.server.stop()
    called.fails(OSError)


def test_closing_ends_the_kept_connection() -> None:
    called = Called(http.response(200, b"1"))
    called.run("/a")
    link = called.caller._link
    called.caller.close()
    called.caller.close()
    assert link.sock.fileno() == -1
    assert called.caller._link is None
