"""HttpClient: reuse of its connection, incomplete and malformed responses, and time-outs."""

from __future__ import annotations

import pytest

from iristrack.http1 import messages as http
from iristrack.http1.fetching import HttpClient
from iristrack.runtime.scheduler import clock
from tests.http1.calls import TIMEOUT_NS, Loop, StandInServer

SHORT_NS = 20_000_000


class ClientAndServer:
    """An HTTP client and its server in one event loop."""

    def __init__(self, *answers: bytes | None, end: bool = False) -> None:
        """The server sends these responses (None: nothing); with `end` it closes the connection after the last one."""
        self.loop = Loop()
        self.answers = list(answers)
        self.end = end
        self.server = StandInServer(self.loop, self._serve)
        self.client = HttpClient(self.loop.scheduler, self.server.address)

    def _serve(self, sock) -> None:
        while self.answers:
            self.server.request(sock)
            answer = self.answers.pop(0)
            if answer is not None:
                sock.send(answer)
        if not self.end:
            self.server.request(sock)

    def call(self, target: str = "/", ns: int = TIMEOUT_NS) -> http.Message:
        deadline = clock() + ns
        return self.client.call(b"GET", target.encode(), b"X-A: 1\r\n", b"", deadline)

    def run(self, *targets: str, ns: int = TIMEOUT_NS) -> list[bytes]:
        (bodies,) = self.loop.run(lambda: [self.call(target, ns).body for target in targets])
        return bodies

    def fails(self, error, ns: int = TIMEOUT_NS) -> None:
        def call() -> None:
            with pytest.raises(error):
                self.call(ns=ns)

        self.loop.run(call)


def test_one_connection_carries_several_requests() -> None:
    pair = ClientAndServer(http.response(200, b"1"), http.response(404, b"2"), http.response(200, b""))
    assert pair.run("/a", "/b", "/c") == [b"1", b"2", b""]
    assert pair.server.opened == 1
    heads = [message.head for message in pair.server.requests]
    assert [head.target for head in heads] == [b"/a", b"/b", b"/c"]
    assert all(head.fields[b"x-a"] == b"1" for head in heads)
    assert heads[0].fields[b"host"] == b"%b:%d" % (
        pair.server.address[0].encode(),
        pair.server.address[1],
    )


@pytest.mark.parametrize(
    "answer",
    [
        http.response(200, b"1", close=True),
        b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n1",
    ],
)
def test_a_response_that_closes_its_connection_is_followed_by_a_new_one(answer: bytes) -> None:
    pair = ClientAndServer(answer, http.response(200, b"2"))

    def serve(sock) -> None:
        pair.server.request(sock)
        sock.send(pair.answers.pop(0))
        pair.server.request(sock)

    pair.server.serve = serve
    assert pair.run("/a", "/b") == [b"1", b"2"]
    assert pair.server.opened == 2


def test_an_idle_connection_that_the_server_closed_is_not_reused() -> None:
    pair = ClientAndServer(http.response(200, b"1"), end=True)
    assert pair.run("/a") == [b"1"]
    pair.answers = [http.response(200, b"2")]

    def again() -> bytes:
        pair.loop.turn_while(lambda: pair.client._link.quiet())
        return pair.call("/b").body

    assert pair.loop.run(again) == [b"2"]
    assert pair.server.opened == 2


@pytest.mark.parametrize("at_once", [True, False])
def test_unsolicited_bytes_are_not_taken_for_the_next_response(at_once: bool) -> None:
    unsolicited = http.response(200, b"unasked")
    pair = ClientAndServer()
    taken: list[bytes] = []

    def serve(sock) -> None:
        pair.server.request(sock)
        sock.send(http.response(200, b"1") + (unsolicited if at_once else b""))
        pair.loop.turn_while(lambda: not taken)
        if not at_once:
            sock.send(unsolicited)
        pair.server.request(sock)
        sock.send(http.response(200, b"2"))

    pair.server.serve = serve

    def calls() -> list[bytes]:
        taken.append(pair.call("/a").body)
        pair.loop.turn_while(lambda: not at_once and pair.client._link.quiet())
        pair.server.serve = lambda sock: [pair.server.request(sock), sock.send(http.response(200, b"2"))]
        return [*taken, pair.call("/b").body]

    assert pair.loop.run(calls) == [[b"1", b"2"]]


def test_chunked_bodies_and_bodies_up_to_the_end_are_read_whole() -> None:
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"x" * 200_000
    pair = ClientAndServer(
        chunked + http.chunk(body) + http.LAST_CHUNK, b"HTTP/1.1 200 OK\r\n\r\nrest", end=True
    )
    assert pair.run("/a", "/b") == [body, b"rest"]


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (b"", OSError),
        (b"HTTP/1.1 200 O", http.Truncated),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", http.Truncated),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", http.Truncated),
        (b"no answer\r\n\r\n", http.Malformed),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", http.Malformed),
    ],
)
def test_an_incomplete_response_is_an_error_and_the_next_request_reconnects(answer: bytes, error) -> None:
    pair = ClientAndServer(answer, end=True)
    pair.fails(error)
    pair.answers = [http.response(200, b"2")]
    assert pair.run("/b") == [b"2"]
    assert pair.server.opened == 2


def test_an_incomplete_response_times_out() -> None:
    pair = ClientAndServer(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", None)
    pair.fails(TimeoutError, SHORT_NS)
    assert pair.client._link is None


def test_a_silent_server_times_out_and_its_connection_is_closed() -> None:
    ended = []
    pair = ClientAndServer()

    def serve(sock) -> None:
        pair.server.request(sock)
        pair.server.loop.scheduler.wait(sock.fileno(), 1, None)
        ended.append(sock.recv(1))

    pair.server.serve = serve
    pair.fails(TimeoutError, SHORT_NS)
    pair.loop.run(lambda: pair.loop.turn_while(lambda: not ended))
    assert ended == [b""]


def test_a_refused_connection_is_an_error() -> None:
    pair = ClientAndServer()
    pair.server.stop()
    pair.fails(OSError)


def test_close_closes_the_idle_connection() -> None:
    pair = ClientAndServer(http.response(200, b"1"))
    pair.run("/a")
    link = pair.client._link
    pair.client.close()
    pair.client.close()
    assert link.sock.fileno() == -1
    assert pair.client._link is None
