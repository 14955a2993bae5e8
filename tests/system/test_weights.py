"""New weights: servers brought to them by one fenced holder, requests and kept prompts never of another version."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest

from iristrack.standin.client import BrokenAnswer, Client, ask_once
from iristrack.standin.documents import route, tenant
from iristrack.standin.ledger import Arrival
from iristrack.standin.model_server import ModelServer
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from tests.system.scene import (
    AMPLE_RETRIES,
    CHAT,
    HOST,
    KEY,
    MODEL,
    SOUTH_KEY,
    TENANTS,
    generation,
    usual_configuration,
)
from tests.system.weights_scene import VERSION_MS, name_version, wait_past_the_bound, wait_revision

SERVERS = 4
ROLL_MS = 8_000  # `version_ms` where the whole roll is to be done in time
EAST_KEY = "key-east"
WEST_KEY = "key-west"
SHARED = (("5c1e07a2", 2_000),)
SOLO = "solo"  # a service of one server


@pytest.fixture
def system(new_system) -> Iterator[System]:
    bounds = AMPLE_RETRIES | {"version_ms": VERSION_MS, "lease_ms": 1_200}
    system = new_system(cores=3, edges=1, rule_bounds=bounds)
    system.add_model_servers(CHAT, MODEL, SERVERS)
    system.add_model_servers(SOLO, MODEL, 1)
    system.start()
    solo = route(HOST, "/solo/", SOLO, "streaming")
    document = usual_configuration(1, solo)
    document["services"].append(document["services"][0] | {"label": SOLO})
    document["tenants"] = [*TENANTS, tenant("east", EAST_KEY), tenant("west", WEST_KEY, isolated=True)]
    assert system.operator.replace(document, 0).status == 200
    system.wait_ready()
    return system


def chat(system: System) -> list[ModelServer]:
    return [server for server in system.model_servers if server.service == CHAT]


def run(system: System, path: str = "/stream/x", **more: object) -> Arrival:
    """One generation that is served; where it ran."""
    request = generation(path, **more)
    answer = ask_once(system.edges[0].front, request)
    assert answer.status == 200, answer
    (arrival,) = system.ledger.runs(request.attempt_id)
    return arrival


def test_every_server_is_ordered_once_by_one_fenced_holder_while_streams_go_on(system: System) -> None:
    stop = threading.Event()
    outcomes: list[object] = []

    def generate() -> None:
        with Client(system.edges[0].front) as client:
            while not stop.is_set():
                try:
                    stream = client.open(generation(events=20))
                    outcomes.append((stream.status, len(list(stream.events()))))
                except BrokenAnswer as broken:
                    outcomes.append(broken)

    thread = threading.Thread(target=generate)
    thread.start()
    try:
        name_version(system, 2)
        wait_revision(system.model_servers, 2)
    finally:
        stop.set()
        thread.join()
    orders = system.ledger.orders()
    taken = [order.instance_id for order in orders if order.status == 202]
    assert sorted(taken) == sorted(server.instance_id for server in system.model_servers)
    assert len({(order.body["owner"], order.body["fence_no"]) for order in orders}) == 1
    assert {order.body["revision"] for order in orders} == {2}
    assert outcomes
    assert set(outcomes) == {(200, 20)}


def test_no_request_begins_on_older_weights_after_the_bound(system: System) -> None:
    stuck, *others = chat(system)
    stuck.weights.stuck = True
    wait_until(lambda: run(system).instance_id == stuck.instance_id, "a request at the server in question")
    acknowledged = name_version(system, 2)
    wait_revision(others, 2)
    wait_past_the_bound(acknowledged)
    begun = len(system.ledger.arrivals())
    for _ in range(40):
        assert run(system).revision == 2
    late = [a for a in system.ledger.arrivals()[begun:] if a.instance_id == stuck.instance_id]
    assert not any(arrival.ran for arrival in late)
    stuck.weights.stuck = False
    wait_revision([stuck], 2)
    wait_until(lambda: run(system).instance_id == stuck.instance_id, "a request at the server that caught up")


def test_a_server_that_starts_later_is_brought_to_the_newest_weights(system: System) -> None:
    acknowledged = name_version(system, 2)
    wait_revision(system.model_servers, 2)
    wait_past_the_bound(acknowledged)
    late = system.new_model_server(CHAT, MODEL, revision=1)
    system.platform.add(late)

    def brought_while_requests_go_on() -> bool:
        run(system)
        return late.weights.revision == 2

    wait_until(brought_while_requests_go_on, "the new weights at the new server")
    wait_until(lambda: run(system).instance_id == late.instance_id, "a request at the new server")
    assert {arrival.revision for arrival in system.ledger.arrivals() if arrival.ran} == {2}


def test_expect_version_and_salt_go_with_the_weights_of_the_server(system: System) -> None:
    salts: dict[tuple[int, str], set[str]] = {}
    for revision in (1, 2):
        if revision == 2:
            name_version(system, 2)
            wait_revision(system.model_servers, 2)
        for key in (KEY, EAST_KEY, SOUTH_KEY, WEST_KEY):

            def ran(key: str = key, revision: int = revision) -> Arrival | None:
                arrival = run(system, key=key, parts=SHARED)
                return arrival if arrival.revision == revision else None

            arrival = wait_until(ran, f"a request on revision {revision}")
            assert arrival.header("Expect-Version") == str(revision)
            salts.setdefault((revision, key), set()).add(arrival.header("Cache-Salt"))
    assert all(len(seen) == 1 for seen in salts.values())
    for revision in (1, 2):
        assert salts[revision, KEY] == salts[revision, EAST_KEY]  # neither is isolated
    walls = [salts[revision, key].copy().pop() for revision in (1, 2) for key in (KEY, SOUTH_KEY, WEST_KEY)]
    assert len(set(walls)) == len(walls)


def test_kept_parts_are_shared_but_not_over_a_tenants_wall_or_a_version(system: System) -> None:
    shared_tokens = SHARED[0][1]
    kept = {"parts": SHARED, "path": "/solo/x"}
    assert run(system, **kept).kept_tokens == 0
    assert run(system, **kept).kept_tokens == shared_tokens
    assert run(system, key=EAST_KEY, **kept).kept_tokens == shared_tokens
    for isolated in (SOUTH_KEY, WEST_KEY):
        assert run(system, key=isolated, **kept).kept_tokens == 0
        assert run(system, key=isolated, **kept).kept_tokens == shared_tokens
    name_version(system, 2)
    wait_revision(system.model_servers, 2)
    request = wait_until(lambda: _ran(system, kept), "a request at the server with its new weights")
    assert (request.revision, request.kept_tokens) == (2, 0)


def _ran(system: System, kept: dict[str, object]) -> Arrival | None:
    request = generation(**kept)
    if ask_once(system.edges[0].front, request).status != 200:
        return None
    return system.ledger.runs(request.attempt_id)[0]


def test_an_older_or_repeated_version_orders_nothing(system: System) -> None:
    name_version(system, 3)
    wait_revision(system.model_servers, 3)
    orders = len(system.ledger.orders())
    for revision in (3, 2, 1):
        name_version(system, revision)
    name_version(system, 4)
    system.ledger.wait_for(lambda: len(system.ledger.orders()) > orders, "the next order")
    assert {order.body["revision"] for order in system.ledger.orders()[orders:]} == {4}


def test_another_member_takes_the_duty_over_with_a_higher_fence(system: System) -> None:
    name_version(system, 2)
    system.ledger.wait_for(system.ledger.orders, "the first order")
    owner = system.ledger.orders()[0].body["owner"]
    (holder,) = [core for core in system.cores if core.name == owner]
    holder.kill()
    wait_revision(system.model_servers, 2)
    orders = system.ledger.orders()
    # What the holder had sent when it was killed may reach a busy server after that: it is told by its owner.
    before = [order for order in orders if order.body["owner"] == owner]
    after = [order for order in orders if order.body["owner"] != owner]
    assert len({order.body["owner"] for order in after}) == 1
    assert orders == before + after  # they take no turns
    assert min(order.body["fence_no"] for order in after) > max(order.body["fence_no"] for order in before)
    assert 412 not in {order.status for order in after}


def test_a_server_that_takes_no_order_holds_the_others_not_up(new_system) -> None:
    system = new_system(cores=1, edges=0, rule_bounds={"version_ms": ROLL_MS})
    stuck, *others = system.add_model_servers(CHAT, MODEL, 4)
    stuck.weights.stuck = True
    system.start()
    assert system.operator.replace(usual_configuration(1), 0).status == 200
    name_version(system, 2)

    def all_others_have_it() -> bool:
        return all(server.weights.revision == 2 for server in others)

    wait_until(all_others_have_it, "the new weights at the other servers", ROLL_MS / 1000)


def test_a_named_version_outlives_the_death_of_the_whole_core(system: System) -> None:
    for server in system.model_servers:
        server.weights.stuck = True
    name_version(system, 2)
    for core in system.cores:
        core.kill()
    for server in system.model_servers:
        server.weights.stuck = False
    for core in system.cores:
        core.change_settings(bootstrap=False)
        core.start()
    wait_revision(system.model_servers, 2)


def test_a_holder_whose_fence_is_refused_orders_under_a_higher_one(system: System) -> None:
    refusing, *_ = chat(system)
    refusing.weights.highest_fence = 3  # of holders whom the register has forgotten
    name_version(system, 2)
    wait_revision(system.model_servers, 2)
    orders = [o for o in system.ledger.orders() if o.instance_id == refusing.instance_id]
    fences = [order.body["fence_no"] for order in orders]
    assert [order.status for order in orders[:2]] == [412, 412]
    assert fences == sorted(fences)
    assert fences[0] < 3 <= fences[-1]
    assert len(set(fences[:3])) == 3  # none is used again once it was refused
