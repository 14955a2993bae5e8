"""Operators under one number who lose their answers: whole programs over loopback."""

from __future__ import annotations

import json
import socket
from concurrent.futures import ThreadPoolExecutor

from iristrack.standin.documents import Document, route
from iristrack.standin.operator import Call, replace_call
from iristrack.standin.system import System
from tests.system.scene import HOST, start_usual, usual_configuration
from tests.system.test_core_losses import newest

ROUNDS = 6


def send_and_leave(address: str, call: Call) -> None:
    """Send a call and lose its answer: the connection ends as soon as the call is written."""
    host, _, port = address.rpartition(":")
    lines = "".join(f"{name}: {value}\r\n" for name, value in call.headers)
    head = f"{call.method} {call.path} HTTP/1.1\r\nHost: x\r\n{lines}Content-Length: {len(call.body)}\r\n\r\n"
    with socket.create_connection((host, int(port)), timeout=1) as sock:
        sock.sendall(head.encode() + call.body)


def order_until_clear(system: System, document: Document, base: int, first: int) -> int:
    """An operator whose first two answers are lost, and who asks another machine each time."""
    call = replace_call(json.dumps(document).encode(), base)
    addresses = [core.control for core in system.cores]
    for lost in range(2):
        send_and_leave(addresses[(first + lost) % len(addresses)], call)
    return system.operator.call(call, addresses[(first + 2) % len(addresses)]).status


def test_of_operators_under_one_number_who_lose_answers_one_is_confirmed(new_system) -> None:
    system = new_system(cores=3, edges=1)
    start_usual(system)
    base = 1
    for number in range(ROUNDS):
        revision = base + 1
        wanted = [
            usual_configuration(revision, route(HOST, f"/{name}{number}/", "chat"))
            for name in ("a", "b", "c")
        ]
        with ThreadPoolExecutor(len(wanted)) as operators:
            ordered = [
                operators.submit(order_until_clear, system, document, base, first)
                for first, document in enumerate(wanted)
            ]
            statuses = [order.result() for order in ordered]
        assert sorted(statuses) == [200, 412, 412]
        taken = wanted[statuses.index(200)]
        assert newest(system) == taken
        # Sent again to any machine, each is answered as before.
        for document, status in zip(wanted, statuses, strict=True):
            for core in system.cores:
                again = system.operator.replace(document, base, first=core.control)
                assert again.status == status
        base = revision
