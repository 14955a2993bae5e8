"""Long messages pass in pieces, both ways, in every form of HTTP/1.1, within bounded memory."""

from __future__ import annotations

import hashlib
import socket
import threading
import time

import pytest
from stage import Client, Program, Stage, call, error, reset, until

from iristrack import interface as mi
from iristrack.balance import Balancer
from iristrack.http1 import messages as http
from iristrack.net import front

MB = 1 << 20


def block(size: int) -> bytes:
    return hashlib.sha256(b"tips").digest() * (size // 32)


def long_client(program: Program) -> Client:
    client = Client(program.port)
    client.reader = http.Reader(response=True, limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)
    return client


def digest(message: http.Message, sock: socket.socket) -> bytes:
    return http.response(200, hashlib.sha256(message.body).hexdigest().encode())


def chunks(body: bytes, size: int) -> bytes:
    parts = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in parts) + b"0;end\r\nX-Sum: 1\r\n\r\n"


@pytest.mark.parametrize("form", ["length", "chunks", "expect"])
def test_a_long_body_reaches_the_pool_server_as_it_was(stage: Stage, form: str) -> None:
    pool = stage.pool("s1", digest)
    program = stage.start()
    body = block(3 * MB)
    whole = call("r1", "pay", body=body)
    head, _, _ = whole.partition(b"\r\n\r\n")
    client = long_client(program)
    if form == "chunks":
        head = head.replace(b"Content-Length: %d" % len(body), b"Transfer-Encoding: chunked")
        client.sock.sendall(head + b"\r\n\r\n" + chunks(body, 100_000))
    elif form == "expect":
        client.sock.sendall(head + b"\r\nExpect: 100-continue\r\n\r\n")
        assert client.sock.recv(100).startswith(b"HTTP/1.1 100 ")
        client.sock.sendall(body)
    else:
        client.sock.sendall(whole)
    assert client.read().body == hashlib.sha256(body).hexdigest().encode()
    assert b"expect" not in pool.heads[0].fields
    assert client.exchange(call("r2")).head.status == 200  # the connection goes on


@pytest.mark.parametrize("form", ["length", "chunks", "close"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_long_answer_reaches_the_client_as_it_was(stage: Stage, form: str, version: bytes) -> None:
    body = block(3 * MB)

    def answer(message: http.Message, sock: socket.socket) -> bytes | None:
        if form == "length":
            return http.response(200, body)
        if form == "chunks":
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body, 70_000)
        sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        sock.shutdown(socket.SHUT_WR)
        return None

    pool = stage.pool("s1", answer)
    program = stage.start(admin_addr="127.0.0.1:0")
    client = long_client(program)
    got = client.exchange(call("r1").replace(b"HTTP/1.1", b"HTTP/" + version))
    assert (got.head.status, got.body == body) == (200, True)
    if version == b"1.1":
        assert client.exchange(call("r2")).body == body
        assert pool.opened == (2 if form == "close" else 1)


def test_what_has_come_goes_on_while_the_rest_is_still_to_come(stage: Stage) -> None:
    go = threading.Event()

    def answer(message: http.Message, sock: socket.socket) -> bytes:
        if b"first" in message.head.target:  # a length that is not told: begun although it is short so far
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
            go.wait(60)
            return b"1\r\nd\r\n0\r\n\r\n"
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc")
        go.wait(60)
        return b"d" * 99_997

    stage.pool("s1", answer)
    program = stage.start()
    for key in ("first", "second"):
        go.clear()
        client = long_client(program)
        client.sock.sendall(call(f"r-{key}", key=key, budget="2000m"))
        seen = b""
        while b"abc" not in seen:
            seen += client.sock.recv(4096)
        time.sleep(2.5)  # past the client's patience: an answer that has begun has no deadline
        client.reader.feed(seen)
        go.set()
        assert client.read().body.endswith(b"d")


@pytest.mark.parametrize("how", ["length", "chunks", "close"])
def test_an_answer_that_breaks_off_shows_it(stage: Stage, how: str) -> None:
    part = block(200_000)

    def answer(message: http.Message, sock: socket.socket) -> None:
        framing = b"Content-Length: 300000" if how == "length" else b"Transfer-Encoding: chunked"
        piece = part if how == "length" else b"%x\r\n%b\r\n" % (len(part), part)
        sock.sendall(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (framing, piece))
        sock.shutdown(socket.SHUT_RDWR)

    pool = stage.pool("s1", answer)
    program = stage.start()
    client = long_client(program)
    data = call("r1")
    with pytest.raises((http.Truncated, ConnectionResetError)):
        client.exchange(data.replace(b"HTTP/1.1", b"HTTP/1.0") if how == "close" else data)
    assert pool.ids() == ["r1"]  # what has begun is not asked again


def test_a_slow_reader_stops_the_reading_and_memory_stays_flat(stage: Stage) -> None:
    sent = [0]
    body = block(32 * MB)

    def answer(message: http.Message, sock: socket.socket) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        for at in range(0, len(body), MB):
            sock.sendall(body[at : at + MB])
            sent[0] += MB

    stage.pool("s1", answer)
    program = stage.start()
    before = rss_kb(program)
    clients = [Client(program.port) for _ in range(6)]
    for i, client in enumerate(clients):
        client.sock.sendall(call(f"r{i}"))
    last = -1
    while sent[0] != last:  # until nothing moves
        last = sent[0]
        time.sleep(0.5)
    assert 0 < sent[0] < 6 * 24 * MB  # the rest waits at the pool server
    got = 0
    while got < len(body):
        data = clients[0].sock.recv(MB)
        assert data
        got += len(data)
    assert rss_kb(program, peak=True) - before < 8 * 1024  # 6 x 32 MB are on their way


def rss_kb(program: Program, peak: bool = False) -> int:
    with open(f"/proc/{program.process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM" if peak else "VmRSS"))


def test_a_long_body_goes_elsewhere_only_while_all_of_it_is_here(stage: Stage) -> None:
    dead = stage.pool("s1")
    dead.close()
    stage.pool("s2", digest)
    program = stage.start()
    body = block(MB)
    for i in range(6):
        assert long_client(program).exchange(call(f"r{i}", "pay", key=f"k{i}", body=body)).head.status == 200
    stage.discovery.put("s1", dead.address, "terminated")
    stage.pools["s2"].handler = error
    before = len(stage.pools["s2"].heads)
    assert long_client(program).exchange(call("e1", body=body)).head.status in (502, 503)
    stage.pools["s2"].handler = reset
    assert long_client(program).exchange(call("e2", "pay", body=body)).head.status == 502
    assert len(stage.pools["s2"].heads) == before + 2


def test_who_leaves_while_a_long_message_passes_is_seen(stage: Stage) -> None:
    def trickle(message: http.Message, sock: socket.socket) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 100_000)

    pool = stage.pool("s1", trickle)
    program = stage.start()
    client = Client(program.port)
    client.sock.sendall(call("r1"))
    assert client.sock.recv(10)
    client.sock.close()
    until(lambda: not pool.open)  # the pool server need not go on
    half = Client(program.port)
    half.sock.sendall(call("r2", "pay", body=block(MB))[: MB // 2])
    until(lambda: pool.open)
    half.sock.close()
    until(lambda: not pool.open)
    assert pool.ids() == ["r1"]


def test_over_the_bound_is_413_and_a_chunk_that_lies_400(stage: Stage) -> None:
    stage.pool("s1")
    program = stage.start()
    head = call("r1", "pay").partition(b"Content-Length")[0]
    client = Client(program.port)
    client.sock.sendall(head + b"Content-Length: %d\r\n\r\n" % (http.MAX_BODY_BYTES + 1))
    assert client.read().head.status == 413
    client = Client(program.port)
    lie = b"Transfer-Encoding: chunked\r\n\r\n" + b"20000\r\n" + block(0x20000) + b"zz\r\n"
    client.sock.sendall(head.replace(b"r1", b"r2") + lie)
    assert client.read().head.status == 400
    assert program.ask("r3").head.status == 200


def test_slow_heads_and_bodies_are_waited_for_and_silence_is_not() -> None:
    ours, theirs = socket.socketpair()
    client, s = front._Client(ours, True), mi.NS_PER_S
    client.begun = 0
    client.head_at = client.heard = 2 * s
    for second in range(1, 60):  # 64 kB a second, after a head that took 2 s
        client.reader.received = 64_000 * second
        client.heard = (2 + second) * s
        assert client.body_by() >= client.heard + s
    assert client.body_by() <= client.heard + front.PAUSE_MOST_NS
    client.head_at = client.heard = 0  # a head at once and half a body, then nothing
    client.reader.received = 32_000
    assert client.body_by() < 3 * s
    ours.close()
    theirs.close()


def test_a_slow_request_is_served(stage: Stage) -> None:
    stage.pool("s1", digest)
    program = stage.start()
    data = call("r1", "pay", body=block(64_000))
    client = Client(program.port)
    client.sock.sendall(data[:40])
    time.sleep(1.5)
    for at in range(40, len(data), 8000):  # in all longer than a request without a body may take
        client.sock.sendall(data[at : at + 8000])
        time.sleep(0.15)
    assert client.read().head.status == 200


def test_the_module_judges_a_long_request_from_its_last_byte_and_sends_it_once() -> None:
    s = mi.NS_PER_S
    settings = mi.Settings(classes=(mi.RequestClass("c", s, 2 * s, repeat=mi.Repeat.SAFE),))
    balancer = Balancer(settings, 1)
    balancer.handle(0, mi.ServerList(mi.ListKind.FULL, (mi.ServerEntry("a"), mi.ServerEntry("b"))))
    sent = balancer.handle(0, mi.Request("r", "c", 2 * s, "k", long=True))[0]
    assert isinstance(sent, mi.Send)
    for t in range(1, 100):  # the body takes 10 s; that is no sign against the server
        assert not [
            a for a in balancer.handle(t * s // 10, mi.TimerFired(0)) if isinstance(a, mi.Reject | mi.Fail)
        ]
    assert balancer.overdue_share <= 0.02
    balancer.handle(10 * s, mi.AttemptWritten("r", 0, 12 * s))
    balancer.handle(10 * s + 1000, mi.AttemptStarted("r", 0, sent.server))
    assert balancer.servers[sent.server].inflight == 0  # what is passed on takes no room
    balancer.handle(20 * s, mi.AttemptEnded("r", 0, sent.server, mi.Outcome.OK, final=True))
    assert (balancer.servers[sent.server].inflight, balancer.requests) == (0, {})
    sent = balancer.handle(21 * s, mi.Request("q", "c", 23 * s, "k", long=True))[0]
    gone = mi.AttemptEnded("q", 0, sent.server, mi.Outcome.CONNECT_FAILED, kept=False)
    assert any(isinstance(a, mi.Reject) for a in balancer.handle(21 * s, gone))
