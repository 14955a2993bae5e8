"""A member behind cut links, and two operators under one number: whole programs over loopback."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from iristrack.standin.documents import Document, route, tenant
from iristrack.standin.links import Links
from iristrack.standin.operator import Call, call_once, replace_call
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from tests.system.scene import HOST, start_usual, usual_configuration
from tests.system.test_core_losses import (
    newest,
    read_status,
    restart,
    serves,
    version,
    wait_served,
    wait_voting,
)

ORDERS = 8
ROUNDS = 6
ASKED = "configuration call"  # the log's event of an order or a read that went to the register
READ = Call("GET", "/config/read")


@pytest.fixture
def linked(new_system) -> Iterator[tuple[System, Links]]:
    system = new_system(cores=3, edges=2)
    links = Links(system)
    start_usual(system)
    for core in system.cores:
        wait_voting(core, 1)
    yield system, links
    for machine in system.machines:
        machine.kill()
    links.stop()


@pytest.mark.parametrize("cut", [0, 2])
def test_a_member_cut_off_for_many_orders_confirms_none_and_holds_no_edge_machine_up(
    linked: tuple[System, Links], cut: int
) -> None:
    """The edge machines reach both sides; one of them has the member that is cut off in its own zone."""
    system, links = linked
    member = system.cores[cut]
    others = [core for core in system.cores if core is not member]
    links.cut_off(member, others)
    wait_until(lambda: not read_status(member)["in_quorum"], "the end of its contact with a quorum")
    asked = member.log().count(ASKED)
    for revision in range(2, 2 + ORDERS):
        first = others[revision % len(others)].control
        assert system.operator.replace(version(revision), revision - 1, first=first).status == 200
        wait_served(system, revision)
        for call in (READ, replace_call(version(90 + revision), revision)):
            assert call_once(member.control, call).status == 503
    assert member.log().count(ASKED) == asked  # it answered at once, and asked nobody
    # An edge machine that starts beside it takes nothing older up than what was acknowledged.
    edge = system.edges[0]
    edge.kill()
    restart([edge])
    system.wait_ready([edge])
    wait_served(system, 1 + ORDERS)
    links.cut_off(member, others, is_cut=False)
    wait_until(lambda: read_status(member)["in_quorum"], "contact with a quorum")
    assert newest(system, member) == version(1 + ORDERS)
    assert system.operator.replace(version(99), 1 + ORDERS, first=member.control).status == 200
    wait_served(system, 99)


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


# ---- narrow links

KEYS = 60_000  # of 64 digits drawn at random: 4 MB, which compression halves
KEY_BYTES = 32
CORE_MEGABITS = 20
EDGE_MEGABITS = 5
TRANSFER_PATIENCE_S = 60


def test_a_configuration_of_megabytes_is_taken_and_in_force_over_narrow_links(linked) -> None:
    """An attempt had a third of the call's time, 0.6 s for this one, and it takes 0.9 s between two core machines."""
    system, links = linked
    links.narrow({"core": CORE_MEGABITS, "edge": EDGE_MEGABITS})
    draw = random.Random(1)
    keys = [draw.randbytes(KEY_BYTES).hex() for _ in range(KEYS)]
    large = version(2)
    large["tenants"] = [*large["tenants"], tenant("large", *keys)]
    assert system.operator.replace(large, 1, patience_s=TRANSFER_PATIENCE_S).status == 200
    for core in system.cores:
        assert newest(system, core)["revision"] == 2
    for edge in system.edges:
        wait_until(lambda edge=edge: serves(edge, "/v2/x"), f"revision 2 at {edge.name}", TRANSFER_PATIENCE_S)
    assert system.operator.replace(version(3), 2, patience_s=TRANSFER_PATIENCE_S).status == 200
    wait_served(system, 3)
