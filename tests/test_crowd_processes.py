"""Several processes of the program at one pool server that tells its load, and faults between them.

The pool server's report follows what it really holds. Verdicts are on the order of what arrives there, not on seconds.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter

import pytest
from stage import Client, Program, Stage, call, until

from iristrack.http1 import messages as http

SERVICE_S = (
    0.1  # a small request's time at the server, as its reports tell: long against what a busy machine adds,
)
# since a sidecar's own limit follows how evenly answers come, and would hold requests back for that alone


class Node:
    """A pool server that keeps requests for `hold` keys until they are let go, and tells of twice what it holds."""

    def __init__(self) -> None:
        self.held: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.let_go = threading.Event()
        self.lies: bytes | None = None

    def report(self) -> bytes:
        with self.lock:
            held = sum(self.held.values())
        return b"X-Load-Report: TEXT eps=0, latency_ms=%d, qps=%d, queue=0\r\n" % (
            SERVICE_S * 1000,
            held * 20,
        )

    def __call__(self, message: http.Message, sock: socket.socket) -> bytes:
        sender = message.head.fields[b"x-call-id"].decode()[0]
        if b"hold" not in message.head.target:
            time.sleep(SERVICE_S)
            return http.response(200, b"did", self.lies or self.report())
        with self.lock:
            self.held[sender] += 1
        self.let_go.wait(60)
        with self.lock:
            self.held[sender] -= 1
        return http.response(200, b"did", self.report())


TOLD = {"report": {"how": "answers", "fields": ["err_rps", "avg_ms", "rps", "waiting"]}, "balancers": 2}


def hold(program: Program, name: str, number: int) -> list[Client]:
    """So many requests at once that the pool server keeps; back when the sidecar has taken them all."""
    clients = [Client(program.port) for _ in range(number)]
    for i, client in enumerate(clients):
        client.sock.sendall(call(f"{name}-hold-{i}", key="hold"))
    until(lambda: program.figures()["outstanding"] >= number)
    return clients


def listen(program: Program, name: str) -> None:
    """Small requests for so long that the reports in their answers are believed."""
    for i in range(60):
        assert program.ask(f"{name}-small-{i}", key=f"small{i}").head.status == 200
        time.sleep(0.05)


@pytest.fixture
def node(stage: Stage) -> Node:
    node = Node()
    stage.pool("s1", node)
    return node


def test_a_sidecar_keeps_off_what_another_fills_and_takes_its_place_when_it_is_killed(
    stage: Stage, node: Node
) -> None:
    busy, light = stage.begin("a", TOLD), stage.begin("b", TOLD)
    kept = hold(busy, "a", 6)
    until(lambda: node.held["a"] == 6)
    listen(light, "b")
    mine = hold(light, "b", 3)
    assert node.held["b"] == 1  # one is always let in; the two others wait where they cost the server nothing
    busy.process.kill()
    until(lambda: node.held["b"] == 3)  # it hears nothing more, and forgets the crowd
    node.let_go.set()
    assert [client.read().head.status for client in mine] == [200] * 3
    del kept


def test_a_server_that_lies_of_a_great_crowd_is_still_used_and_believed_again_when_it_tells_the_truth(
    stage: Stage, node: Node
) -> None:
    node.lies = b"X-Load-Report: TEXT eps=0, latency_ms=1e9, qps=1e9, queue=1e9\r\n"
    light = stage.begin("b", TOLD)
    listen(light, "b")  # each is answered: one at a time is always let in
    mine = hold(light, "b", 3)
    assert node.held["b"] == 1
    node.let_go.set()
    assert [client.read().head.status for client in mine] == [200] * 3
    node.lies = None
    node.let_go.clear()
    listen(light, "c")
    more = hold(light, "c", 3)
    until(lambda: node.held["c"] == 3)
    node.let_go.set()
    assert [client.read().head.status for client in more] == [200] * 3


@pytest.mark.parametrize(
    "report", [b"TEXT", b"TEXT qps=nan, latency_ms=inf, queue=-1", b"\xff=\xff,,;=", b"TEXT qps=5"]
)
def test_reports_that_tell_nothing_hold_nobody_back(stage: Stage, node: Node, report: bytes) -> None:
    node.lies = b"X-Load-Report: " + report + b"\r\n"
    busy, light = stage.begin("a", TOLD), stage.begin("b", TOLD)
    kept = hold(busy, "a", 6)
    for i in range(5):
        assert light.ask(f"b-small-{i}", key=f"small{i}").head.status == 200
    kept += hold(light, "b", 3)
    until(lambda: node.held["b"] == 3 and node.held["a"] == 6)
    node.let_go.set()
    assert [client.read().head.status for client in kept] == [200] * 9
