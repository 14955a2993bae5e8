"""Several processes of the program, two zones of pool servers, and the way from one process to one zone cut.

Verdicts are on counts and on the processes' own lines, never on seconds.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter

from stage import Client, Program, Stage, call, until

from iristrack.http1 import messages as http

MANY = {"balancers": 24, "zone": "a"}


class Zone:
    """Servers of one zone: counts what comes from each sidecar, and says nothing to those that are cut off."""

    def __init__(self) -> None:
        self.came: Counter[str] = Counter()
        self.cut_off: set[str] = set()
        self.lock = threading.Lock()

    def __call__(self, message: http.Message, sock: socket.socket) -> bytes | None:
        sender = message.head.fields[b"x-call-id"].decode()[0]
        with self.lock:
            self.came[sender] += 1
        return None if sender in self.cut_off else http.response(200, b"did")


def served(program: Program) -> int:
    return sum(count for name, count in program.figures().items() if name.startswith("succeeded"))


def send(program: Program, name: str, number: int) -> list[Client]:
    """So many requests, each on a connection of its own, none waited for."""
    clients = []
    for i in range(number):
        clients.append(Client(program.port))
        clients[-1].sock.sendall(call(f"{name}-{i}", key=f"{name}{i}"))
        time.sleep(0.02)
    return clients


def test_a_zone_cut_off_from_one_sidecar_is_held_by_that_one_and_taken_back_after_the_heal(
    stage: Stage,
) -> None:
    near, far = Zone(), Zone()
    for i in range(12):
        stage.pool(f"s{i}", near if i % 2 else far, locality="a" if i % 2 else "b")
    names = "abc"
    programs = [stage.begin(name, MANY) for name in names]
    for name, program in zip(names, programs, strict=True):
        for client in send(program, name, 150):
            assert client.read().head.status == 200
    far.cut_off.add("a")
    before, met = served(programs[0]), far.came["a"]
    kept = send(programs[0], "a-cut", 80)
    until(
        lambda: served(programs[0]) >= before + 80 - 14
    )  # six servers one by one would keep three each, and the room
    assert far.came["a"] - met <= 14
    for name, program in zip(names[1:], programs[1:], strict=True):
        for client in send(program, name + "-2", 40):
            assert client.read().head.status == 200
    programs[2].process.kill()
    assert "silence of zone b" in programs[0].log.read_text()
    assert not any("silence of zone" in program.log.read_text() for program in programs[1:])
    far.cut_off.clear()
    kept += send(programs[0], "a-healed", 100)
    until(lambda: "returned" in programs[0].log.read_text().rpartition("silence of zone")[2])
    met = far.came["a"]
    for client in send(programs[0], "a-last", 60):
        assert client.read().head.status == 200
    assert far.came["a"] - met >= 10
