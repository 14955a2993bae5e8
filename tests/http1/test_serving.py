"""HttpServer: pipelining, malformed requests, limits, time-outs, failing handlers and stopping."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.http1 import messages as http
from iristrack.http1 import serving
from iristrack.http1.serving import HttpServer, Response
from tests.http1.calls import LOOPBACK, Loop, Peer

MAX_BODY_BYTES = 1000
SHORT_NS = 20_000_000


def echo(message: http.Message) -> Response:
    return Response(200, message.head.target + b" " + message.body, b"X-Echo: 1\r\n")


class Served:
    """An HTTP server in an event loop."""

    def __init__(self, handler=echo, most_connections: int = 8) -> None:
        self.loop = Loop()
        self.server = HttpServer(self.loop.scheduler, LOOPBACK, handler, MAX_BODY_BYTES, most_connections)
        self.address = self.server._listener.getsockname()

    def peer(self) -> Peer:
        return Peer(self.loop, self.address)

    def talk(self, *sent: bytes) -> list[http.Message | None]:
        """Send each of these on one connection; return the response to each."""

        def call() -> list[http.Message | None]:
            peer, answers = self.peer(), []
            for data in sent:
                peer.send(data)
                answers.append(peer.receive())
            peer.close()
            return answers

        return self.loop.run(call)[0]


@pytest.fixture
def served():
    served = Served()
    yield served
    served.server.stop()


def call(target: str, body: bytes = b"", lines: bytes = b"Host: h\r\n") -> bytes:
    return http.request(b"POST", target.encode(), lines, body)


def test_a_connection_serves_several_requests(served: Served) -> None:
    answers = served.talk(call("/1", b"a"), call("/2"), call("/3", b"c"))
    assert [answer.body for answer in answers] == [b"/1 a", b"/2 ", b"/3 c"]
    assert all(answer.head.keeps_alive for answer in answers)
    assert answers[0].head.fields[b"x-echo"] == b"1"


@given(st.integers(1, 6), st.lists(st.integers(0, 10**6), max_size=6))
def test_pipelined_requests_are_answered_in_order_however_they_are_split(count, places) -> None:
    served = Served()
    data = b"".join(call(f"/{number}", b"x" * number) for number in range(count))
    at = sorted({0, len(data), *(place % len(data) for place in places)})

    def converse() -> list[bytes]:
        peer = served.peer()
        for start, end in itertools.pairwise(at):
            peer.send(data[start:end])
            served.loop.yield_turn()
        return [peer.receive().body for _ in range(count)]

    assert served.loop.run(converse) == [[b"/%d " % n + b"x" * n for n in range(count)]]
    served.server.stop()


def test_connection_close_is_honoured(served: Served) -> None:
    first, second = served.talk(call("/1", lines=b"Connection: close\r\n"), b"")
    assert first.head.status == 200
    assert not first.head.keeps_alive
    assert second is None


def test_http_1_0_closes_after_the_response(served: Served) -> None:
    answer, end = served.talk(b"GET /1 HTTP/1.0\r\n\r\n", b"")
    assert (answer.body, end) == (b"/1 ", None)
    assert not answer.head.keeps_alive


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /1 HTTP/3.0\r\n\r\n", 505),
        (b"GET /1 HTTP/1.1\r\nno field\r\n\r\n", 400),
        (b"GET /1 HTTP/1.1\r\nA : b\r\n\r\n", 400),
        (b"GET /1 HTTP/1.1\r\nX: " + b"x" * 20_000, 431),
        (call("/1", b"x" * (MAX_BODY_BYTES + 1)), 413),
        (b"POST /1 HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"POST /1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 0x3E9, 413),
        (b"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nsize\r\n", 400),
    ],
)
def test_a_malformed_request_gets_an_error_response_and_the_connection_closes(
    served: Served, data: bytes, status: int
) -> None:
    handled = []
    served.server.handler = lambda message: handled.append(message) or Response(200)
    answer, end = served.talk(data, b"")
    assert (answer.head.status, answer.head.keeps_alive, end) == (status, False, None)
    assert handled == []


def test_a_body_of_the_maximum_length_is_accepted(served: Served) -> None:
    (answer,) = served.talk(call("/1", b"x" * MAX_BODY_BYTES))
    assert (answer.head.status, len(answer.body)) == (200, MAX_BODY_BYTES + 3)


def test_a_malformed_request_does_not_affect_the_request_before_it(served: Served) -> None:
    def converse() -> list[int]:
        peer = served.peer()
        peer.send(call("/1") + b"nonsense\r\n\r\n" + call("/3"))
        return [peer.receive().head.status, peer.receive().head.status, peer.receive()]

    assert served.loop.run(converse) == [[200, 400, None]]


def test_expect_100_continue_gets_an_interim_response(served: Served) -> None:
    def converse() -> list[bytes]:
        peer = served.peer()
        peer.reader = http.Reader(response=True)
        peer.send(b"POST /1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        served.loop.scheduler.wait(peer.sock.fileno(), 1, None)
        interim = peer.sock.recv(65536)
        peer.send(b"ok")
        return [interim, peer.receive().body]

    assert served.loop.run(converse) == [[b"HTTP/1.1 100 Continue\r\n\r\n", b"/1 ok"]]


def test_connections_are_limited_and_freed_places_are_reused() -> None:
    served = Served(most_connections=2)

    def converse() -> list[object]:
        peers = [served.peer() for _ in range(2)]
        for peer in peers:
            peer.send(call("/held"))
        held = [peer.receive().body for peer in peers]
        refused = served.peer()
        seen = [refused.receive()]
        peers[0].close()
        served.loop.turn_while(lambda: served.server.connections == 2)
        late = served.peer()
        late.send(call("/late"))
        seen.append(late.receive().body)
        peers[1].send(call("/again"))
        seen.append(peers[1].receive().body)
        return held + seen

    assert served.loop.run(converse) == [[b"/held ", b"/held ", None, b"/late ", b"/again "]]
    served.server.stop()


@pytest.mark.parametrize("data", [b"P", b"POST /1 HTTP/1.1\r\nHost", call("/1", b"body")[:-1]])
def test_an_incomplete_request_times_out(served: Served, monkeypatch, data: bytes) -> None:
    monkeypatch.setattr(serving, "REQUEST_NS", SHORT_NS)
    handled = []
    served.server.handler = lambda message: handled.append(message) or Response(200)
    (answer,) = served.talk(data)
    assert answer is None or answer.head.status == 408
    assert handled == []


def test_an_incomplete_pipelined_request_times_out(served: Served, monkeypatch) -> None:
    monkeypatch.setattr(serving, "REQUEST_NS", SHORT_NS)

    def converse() -> list[object]:
        peer = served.peer()
        peer.send(call("/1") + call("/2", b"body")[:-1])
        return [peer.receive().body, peer.receive()]

    assert served.loop.run(converse) == [[b"/1 ", None]]


def test_an_idle_connection_times_out(served: Served, monkeypatch) -> None:
    monkeypatch.setattr(serving, "IDLE_NS", SHORT_NS)
    answer, end = served.talk(call("/1"), b"")
    assert (answer.body, end) == (b"/1 ", None)


def test_a_client_that_does_not_read_its_response_is_disconnected(monkeypatch) -> None:
    monkeypatch.setattr(serving, "WRITE_NS", SHORT_NS)
    served = Served(lambda message: Response(200, b"x" * (16 << 20)))

    def converse() -> None:
        peer = served.peer()
        peer.send(call("/1"))
        served.loop.turn_while(lambda: served.server.connections == 0)
        served.loop.turn_while(lambda: served.server.connections)

    served.loop.run(converse)
    served.server.stop()


def test_a_failing_handler_is_reported_and_affects_only_its_request(served: Served) -> None:
    def fail_once(message: http.Message) -> Response:
        if message.head.target == b"/fail":
            raise RuntimeError("planted")
        return echo(message)

    served.server.handler = fail_once

    def converse() -> list[object]:
        other, failed = served.peer(), served.peer()
        failed.send(call("/fail"))
        statuses = [failed.receive().head.status]
        failed.send(call("/1"))
        bodies = [failed.receive().body]
        other.send(call("/2"))
        bodies.append(other.receive().body)
        failures, served.loop.failures[:] = list(served.loop.failures), []
        return [statuses, bodies, len(failures), "RuntimeError: planted" in failures[0]]

    assert served.loop.run(converse) == [[[500], [b"/1 ", b"/2 "], 1, True]]


def test_stop_serves_open_connections_once_more_and_accepts_no_new_ones(served: Served) -> None:
    def converse() -> list[object]:
        peer = served.peer()
        peer.send(call("/1"))
        before = peer.receive()
        served.server.stop()
        peer.send(call("/2"))
        after = peer.receive()
        return [before.head.keeps_alive, after.body, after.head.keeps_alive, peer.receive()]

    assert served.loop.run(converse) == [[True, b"/2 ", False, None]]

    def dial() -> str:
        try:
            served.peer()
        except OSError:
            return "refused"
        return "taken"

    assert served.loop.run(dial) == ["refused"]
