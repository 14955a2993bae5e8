"""Several processes of the program at cold pool servers, and faults between them: servers hang, one sidecar is killed.

Verdicts are on counts of what arrived at the pool servers, never on seconds.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter

import pytest
from stage import SETTINGS, Client, Program, Stage, call, until

from iristrack.http1 import messages as http

MANY = {  # so many that each sees little of a server; a cold one bears the least for long
    "balancers": 60,
    "contract": SETTINGS["contract"]
    | {"cold_share": 0.5, "cold_ns": 600 * 10**9, "overload_factor": 2.5, "fall_ns": 10**9},
}


class Server:
    """A pool server that counts what comes from each sidecar; while it hangs it says nothing."""

    def __init__(self) -> None:
        self.came: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.hangs = False

    def __call__(self, message: http.Message, sock: socket.socket) -> bytes | None:
        with self.lock:
            self.came[message.head.fields[b"x-call-id"].decode()[0]] += 1
        return None if self.hangs else http.response(200, b"did")


@pytest.fixture
def cold(stage: Stage) -> list[Server]:
    """Four servers that start now, beside two that are warm."""
    servers = [Server() for _ in range(6)]
    for i, server in enumerate(servers):
        up = int(time.time() * 1000) if i < 4 else 0
        stage.pool(f"s{i}", server, up_since_ms=up)
    return servers[:4]


def served(program: Program) -> int:
    return sum(count for name, count in program.figures().items() if name.startswith("succeeded"))


def test_cold_servers_that_hang_hold_one_request_of_each_sidecar_and_no_room_of_the_warm_ones(
    stage: Stage, cold: list[Server]
) -> None:
    """With the common room (three at once) taken by them, nothing more would be served until they time out."""
    for server in cold:
        server.hangs = True
    programs = [stage.begin(name, MANY) for name in "abc"]
    waiting = []
    for name, program in zip("abc", programs, strict=True):
        for i in range(60):
            waiting.append(Client(program.port))
            waiting[-1].sock.sendall(call(f"{name}-{i}", key=f"k{i}"))
            time.sleep(0.02)  # so that cold servers' budgets have something to give
    for program in programs:
        until(lambda program=program: served(program) >= 60 - len(cold))
    assert sum(sum(server.came.values()) for server in cold) >= 4  # they were met, more than the room holds
    for server in cold:
        assert all(count <= 1 for count in server.came.values())
    programs[0].process.kill()
    for server in cold:
        server.hangs = False
    before = [served(program) for program in programs[1:]]
    for name, program in zip("de", programs[1:], strict=True):
        for i in range(60):
            assert program.ask(f"{name}-{i}", key=f"k{i}").head.status == 200
    assert all(served(p) >= n + 60 for p, n in zip(programs[1:], before, strict=True))
