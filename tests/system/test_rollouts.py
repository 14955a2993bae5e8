"""Roll-outs of whole systems: a good version is finished, a bad one is reverted, whoever holds the duty ends.

The incident SHORT: `POST /rollouts/begin` got 404, and the order was never acknowledged.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO

import pytest

from iristrack.__main__ import main
from iristrack.standin.model_server import ModelServer
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from tests.system.scene import AMPLE_RETRIES, CHAT, MODEL, Scene, plain, start_usual

VERSION = "v2"
OVER_S = 5.0
LONG_S = 12.0
CLIENTS = 4


class Traffic:
    """Clients that ask one edge machine each, one request after the other, until they are stopped."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.statuses: list[int] = []
        self._over = threading.Event()
        self._threads = [threading.Thread(target=self._ask, args=(n,)) for n in range(CLIENTS)]
        for thread in self._threads:
            thread.start()

    def _ask(self, number: int) -> None:
        edges = self.system.edges
        scene = Scene(self.system)
        scene.edge = edges[number % len(edges)]
        with scene.client() as client:
            while not self._over.is_set():
                self.statuses.append(client.ask(plain("/safe/x")).status)

    def stop(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()


@pytest.fixture
def system(new_system) -> System:
    system = new_system(cores=3, edges=2, rule_bounds=AMPLE_RETRIES)
    start_usual(system)
    return system


@pytest.fixture
def traffic(system: System) -> Iterator[Traffic]:
    traffic = Traffic(system)
    yield traffic
    traffic.stop()


def bring_in(system: System, fails_each: int | None = None) -> list[ModelServer]:
    """Servers of the new version, next to those that are there."""
    new = [system.new_model_server(CHAT, MODEL) for _ in range(2)]
    for server in new:
        server.software, server.fails_each = VERSION, fails_each
    system.platform.add(*new)
    return new


def phase(system: System) -> str:
    told = system.operator.read_rollout(CHAT)
    assert told.status == 200
    assert told.json["target_version"] == VERSION
    return told.json["phase"]


def ran_at(system: System, servers: list[ModelServer]) -> int:
    names = {server.instance_id for server in servers}
    return sum(arrival.instance_id in names for arrival in system.ledger.arrivals() if arrival.ran)


def old_servers(system: System, new: list[ModelServer]) -> list[ModelServer]:
    return [s for s in system.model_servers if s.service == CHAT and s not in new]


def test_a_good_version_gets_everything_and_is_finished(system: System, traffic: Traffic) -> None:
    new = bring_in(system)
    assert system.operator.begin_rollout(CHAT, VERSION, OVER_S).status == 200
    assert phase(system) == "running"
    wait_until(lambda: phase(system) == "finished", "the end of the roll-out")
    old = old_servers(system, new)
    for server in old:  # they stop at once, and do not drain
        server.stop()
    before, seen = ran_at(system, old), len(traffic.statuses)
    wait_until(lambda: len(traffic.statuses) > seen + 50, "more answers")
    assert ran_at(system, old) == before
    assert set(traffic.statuses) == {200}


def test_a_bad_version_is_reverted_after_few_requests(system: System, traffic: Traffic) -> None:
    new = bring_in(system, fails_each=2)
    assert system.operator.begin_rollout(CHAT, VERSION, LONG_S).status == 200
    wait_until(lambda: phase(system) == "reverted", "the end of the roll-out")
    got = ran_at(system, new)
    seen = len(traffic.statuses)
    wait_until(lambda: len(traffic.statuses) > seen + 50, "more answers")
    assert ran_at(system, new) <= got + CLIENTS
    assert got <= 0.1 * len(traffic.statuses) + 50


@pytest.mark.parametrize("fails_each", [None, 2], ids=["good", "bad"])
def test_another_member_goes_on_where_the_holder_was_killed(
    system: System, traffic: Traffic, fails_each: int | None
) -> None:
    assert system.operator.begin_rollout(CHAT, VERSION, LONG_S).status == 200
    wait_until(lambda: holder(system) is not None, "a holder of the duty")
    killed = holder(system)
    killed.kill()
    new = bring_in(system, fails_each)
    wait_until(lambda: holder(system) not in (None, killed), "another holder")
    killed.start()
    wanted = "finished" if fails_each is None else "reverted"
    wait_until(lambda: phase(system) == wanted, "the end of the roll-out", 40)
    assert ran_at(system, new) > 0


def holder(system: System):
    """The core machine that took the duty last, by the logs."""
    taken = [
        (int(line.split("fence=")[1].split()[0]), core)
        for core in system.cores
        for line in core.log().splitlines()
        if 'event="duty taken"' in line and "duty=duty/rollouts" in line
    ]
    return max(taken, key=lambda pair: pair[0])[1] if taken else None


def test_an_order_that_is_sent_again_is_the_same_and_its_state_survives_all(
    system: System, traffic: Traffic
) -> None:
    bring_in(system, fails_each=2)
    for _ in range(3):
        assert system.operator.begin_rollout(CHAT, VERSION, LONG_S).status == 200
    assert system.operator.begin_rollout(CHAT, "v3", LONG_S).status == 409
    wait_until(lambda: phase(system) == "reverted", "the end of the roll-out")
    for core in system.cores:
        core.kill()
    for core in system.cores:
        core.start()
    assert phase(system) == "reverted"
    for source in (("--control", system.cores[0].control), ("--data-dir", str(system.cores[0].disk))):
        assert shown(CHAT, *source) == (
            0,
            {"service": CHAT, "version": VERSION, "phase": "reverted", "share": 0},
        )
        assert shown("nothing", *source) == (3, None)


def shown(service: str, *source: str) -> tuple[int, dict | None]:
    """What `iristrack system rollout` says."""
    printed = StringIO()
    with redirect_stdout(printed), redirect_stderr(StringIO()):
        status = main(["system", "rollout", service, "--json", *source])
    return status, json.loads(printed.getvalue()) if printed.getvalue() else None


@pytest.mark.parametrize(
    ("service", "version", "over_s", "status"),
    [
        ("nothing", VERSION, 5, 422),
        ("", VERSION, 5, 400),
        (CHAT, 2, 5, 400),
        (CHAT, "", 5, 400),
        (CHAT, VERSION, 0, 400),
        (CHAT, VERSION, -1, 400),
        (CHAT, VERSION, "5", 400),
        (CHAT, VERSION, None, 400),
    ],
)
def test_an_order_that_makes_no_sense_is_refused(system: System, service, version, over_s, status) -> None:
    assert system.operator.begin_rollout(service, version, over_s).status == status
    assert system.operator.read_rollout(CHAT).status == 404
