from __future__ import annotations

from dataclasses import replace

import pytest

from iristrack.membership.watcher import Watcher
from iristrack.relay.freshness import Freshness
from iristrack.relay.tree import upstreams
from iristrack.simulation.fleet import FleetSimulation, Scenario, first_violation, main, run_seed
from iristrack.simulation.fleet_network import NetworkSettings
from iristrack.simulation.fleet_nodes import Deciders
from iristrack.simulation.fleet_referee import SETTLE_NS, FleetReferee
from iristrack.simulation.register_events import MILLISECOND, SECOND

SMALL = Scenario(
    sidecars=24,
    zones=2,
    regions=2,
    core=3,
    settle_ns=4 * SECOND,
    calm_publications=0,
    calm_crashes=0,
    faults_ns=10 * SECOND,
    fault_interval_ns=600 * MILLISECOND,
    longest_fault_ns=6 * SECOND,
    network=NetworkSettings(weigh=False),
)
HELD_UP = replace(SMALL, fault_weights=(("freeze", 1), ("deafen", 1)), longest_fault_ns=9 * SECOND)
RELAYS_CUT = replace(SMALL, fault_weights=(("cut_relay", 1),))


class SelfAssured(Watcher):
    def _doubt(self, now: int) -> None:
        pass

    def _is_late(self, now: int) -> bool:
        return False


class NeverStale(Freshness):
    def _is_stale(self, now: int) -> bool:
        return False


def without_repair(me, alive, core):
    return replace(upstreams(me, alive, core), repair_from=(), last_resorts=())


@pytest.mark.parametrize(
    ("scenario", "seeds"),
    [(SMALL, range(5)), (HELD_UP, range(2)), (RELAYS_CUT, range(2))],
    ids=["all", "held_up", "relays_cut"],
)
def test_no_seed_violates_the_rules(scenario: Scenario, seeds: range) -> None:
    assert first_violation(scenario, seeds) is None


@pytest.mark.parametrize(
    ("scenario", "deciders"),
    [
        (HELD_UP, Deciders(watcher=SelfAssured)),
        (RELAYS_CUT, Deciders(choose_upstreams=without_repair)),
        (RELAYS_CUT, Deciders(freshness=NeverStale)),
    ],
    ids=["no_self_doubt", "no_repair", "no_freshness"],
)
def test_a_planted_fault_is_found(scenario: Scenario, deciders: Deciders) -> None:
    assert first_violation(replace(scenario, deciders=deciders), range(4)) is not None


def test_a_seed_gives_the_same_run_each_time() -> None:
    scenario = replace(SMALL, faults_ns=3 * SECOND, longest_fault_ns=SECOND)
    assert run_seed(scenario, 5) == run_seed(scenario, 5)


def test_all_kinds_of_faults_happen() -> None:
    figures = run_seed(replace(SMALL, fault_interval_ns=200 * MILLISECOND), 1).figures
    for kind, _ in SMALL.fault_weights:
        assert figures[f"faults_{kind}"] > 0
    assert figures["updates"] > 0
    assert figures["alive"] > 0
    assert figures["dead"] > 0


def test_the_referee_knows_a_cycle_a_false_death_a_ghost_and_a_missed_update() -> None:
    fleet = FleetSimulation(replace(SMALL, sidecars=4), 0)
    fleet.queue.run_until(8 * SECOND)
    now = fleet.queue.now
    first, second, third, fourth = fleet.sidecars
    referee = FleetReferee(fleet.processes)
    for process in fleet.processes:
        referee.came_up(process.node, 0)
    referee.look(now)
    referee.judge_update("servers", -1, now, now)
    assert len(referee.violations) == len(fleet.processes)
    referee.violations.clear()
    referee.went_down(fourth, now)
    fourth.up = False
    first.view.declare_dead(second.node, 0, now)
    first.freshness.push, second.freshness.push = second.address, first.address
    for look_at in (now, now + SETTLE_NS):
        referee.look(look_at)
    text = "\n".join(referee.violations)
    assert "a cycle lasts: ['edge-0:7640', 'edge-1:7640']" in text
    assert "edge-0 takes edge-1 for dead" in text
    assert "edge-2 takes edge-3 for alive" in text
    assert third.up


def test_the_command_prints_its_figures(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--sidecars", "4", "--core", "1", "--seeds", "1"]) == 0
    figures = dict(part.split("=") for part in capsys.readouterr().out.split())
    assert figures["violations"] == "0"
    assert float(figures["settled_ms_worst"]) <= 3000
    assert float(figures["sidecar_bytes_mean_per_s"]) > 0
