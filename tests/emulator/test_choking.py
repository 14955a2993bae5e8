"""Servers that choke, late reports in answers, a discovery that is asked: and what our module makes of them."""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.structs import replace as change

from iristrack.emulator.figures import measure
from iristrack.emulator.plan import draw
from iristrack.emulator.scenario import Scenario, read
from iristrack.emulator.world import World
from tests.emulator.test_server import MS, job, server
from tests.emulator.worlds import ours

SECOND = 1000 * MS
FILE = Path(__file__).parent.parent.parent / "scenarios" / "choking-pool.toml"


def choking(**model: float) -> object:
    about = {"choke_from_per_core": 2.0, "choke_after_s": 1.0, "choke_slower": 3.0, "choke_rest_s": 2.0}
    return server(choke_most_s=9.0, queue_per_core=20, **about | model)


def test_a_server_chokes_after_a_crowd_without_a_pause_and_recovers_by_rest() -> None:
    machine = choking()
    for i in range(18):  # all stay in hand
        machine.arrive(i * 100 * MS, job(work_ms=10_000))
    assert machine.choked and machine.chokes == 1
    assert machine.next_due > 20 * SECOND  # what is in service is slower too
    for one in [*machine.queue, *(held for _, _, held in machine.heap)]:
        machine.cancel(2 * SECOND, one)
    machine.arrive(3 * SECOND, job())  # it rests from here on
    assert machine.choked and machine.next_due == 3 * SECOND + 30 * MS
    machine.advance(4 * SECOND)
    machine.arrive(5 * SECOND + MS, job())
    assert not machine.choked and machine.next_due == 5 * SECOND + 11 * MS


def test_a_crowd_with_a_pause_does_not_choke_and_one_that_stays_does_so_for_a_stated_time() -> None:
    machine = choking()
    for at in range(0, 5 * SECOND, 500 * MS):
        for _ in range(5):
            machine.arrive(at, job(work_ms=100))
        machine.advance(at + 400 * MS)
    assert not machine.chokes
    crowded = choking()
    for at in range(0, 12 * SECOND, 100 * MS):
        crowded.advance(at)
        crowded.arrive(at, job(work_ms=900))
    assert crowded.chokes == 2  # after the longest time it is well again, and choked anew


def test_reports_tell_rates_of_the_last_second_and_answers_carry_late_ones() -> None:
    machine = server(queue_per_core=20)
    for at in range(0, 5 * SECOND, 50 * MS):
        machine.advance(at)
        machine.arrive(at, job(work_ms=60))
    told = machine.report(5 * SECOND, 0)
    assert told["qps"] == pytest.approx(20, rel=0.1) and told["latency_ms"] == pytest.approx(60, rel=0.1)
    assert told["qps"] * told["latency_ms"] / 1000 + told["queue"] == pytest.approx(
        1.2, rel=0.15
    )  # held on average
    world = World(draw(brief(), 1), ours)
    one = world.order[0]
    assert world.late_report(one) is None
    world.queue.now += 500 * MS
    world.late_report(one)
    world.queue.now += 79 * MS
    first = one.reported[0][0]
    world.late_report(one)
    assert one.reported[0][0] == first  # the newer one is still on its way
    world.queue.now += 2 * MS
    world.late_report(one)
    assert one.reported[0][0] == first + 500 * MS


def brief(**changes: object) -> Scenario:
    scenario = read(FILE.read_text(), str(FILE))
    traffic = change(scenario.traffic, load=1.3)
    return change(scenario, day=change(scenario.day, length_s=22.0), traffic=traffic, troubles=[], **changes)


def test_an_asked_discovery_handles_calls_in_turn_and_fails_those_that_wait_too_long() -> None:
    slow = brief()
    slow = change(slow, discovery=change(slow.discovery, calls_per_s=0.8, timeout_s=3.0))
    world = World(draw(slow, 1), ours)
    heard: list[int] = []
    for sidecar in world.sidecars:
        sidecar.tell = lambda event, n=sidecar.number: heard.append((n, event.kind.value))  # type: ignore[method-assign]
        world.list_call(sidecar)
    world.queue.run(world.queue.now + 10 * SECOND)
    assert sorted(kind for _, kind in heard) == ["failed", "failed", "full", "full"]


def test_reports_keep_servers_from_choking_where_latencies_alone_do_not() -> None:
    found = {}
    for how in ("none", "answers"):
        scenario = brief()
        reports = change(scenario.pool.reports, how=how)
        world = World(draw(change(scenario, pool=change(scenario.pool, reports=reports)), 2), ours)
        world.run()
        assert world.referee.kept
        found[how] = measure(world).row
    assert found["none"]["chokes"] >= 4 and found["answers"]["chokes"] <= 1
    assert found["answers"]["G"] > found["none"]["G"] + 0.04


@pytest.mark.parametrize("seed", [1, 2])
def test_all_servers_replaced_while_the_list_is_late_and_one_sidecar_has_most_traffic(seed: int) -> None:
    """The worst hour of a filing season: all cold at once, word of it nine seconds late, load near the brim."""
    scenario = read(FILE.read_text(), str(FILE))
    scenario = change(
        scenario,
        day=change(scenario.day, length_s=26.0),
        discovery=change(scenario.discovery, notice_s=9.0, add_s=9.0),
        traffic=change(scenario.traffic, load=0.9, sidecar_cv=2.0),
        troubles=[change(scenario.troubles[0], at_s=6.0, length_s=4.0, part=1.0)],
    )
    world = World(draw(scenario, seed), ours)
    world.run()
    assert world.referee.kept, (
        world.referee.counts
    )  # no effect twice, nothing to who is gone, no cold one pushed over
    assert measure(world).row["fell"] == 0
