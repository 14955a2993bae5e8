"""The control side's programs in virtual time: no violation, and each planted fault is found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from iristrack.controlplane import changes, operator_api, register_host
from iristrack.controlplane.register_host import RegisterHost
from iristrack.dataplane.core_view import CoreView
from iristrack.engines.named_weights import NamedWeights
from iristrack.register import RecoveryRetryPolicy, Refuse, Unchanged
from iristrack.relay.catch_up import CatchUp
from iristrack.simulation.control import SCENARIOS, Scenario, first_violation, main, run_seed
from iristrack.simulation.control_referee import Order, Referee
from tests.simulation import planted_faults

SEEDS = range(2)
PLANTED_SEEDS = range(20)
SHORT_NS = 25_000_000_000


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_no_seed_of_a_scenario_violates_anything(name: str) -> None:
    assert first_violation(SCENARIOS[name], SEEDS) is None


def test_seventy_sidecars_go_by_each_configuration_in_time_whoever_is_cut_off() -> None:
    scenario = replace(SCENARIOS["cut_off"], edges=70, duration_ns=SHORT_NS)
    assert first_violation(scenario, range(1)) is None


def test_the_faults_happen_and_orders_are_taken_between_them() -> None:
    scenario = SCENARIOS["mixed"]
    figures = run_seed(scenario, 0).figures + run_seed(scenario, 1).figures + run_seed(scenario, 2).figures
    for fault in ("cut", "kill", "freeze", "replace", "replace_planned", "wipe"):
        assert figures[f"faults_{fault}"] > 0, fault
    assert figures["orders_acknowledged"] > 100
    assert figures["orders_refused"] > 10


def test_a_seed_gives_the_same_run_each_time() -> None:
    scenario = replace(SCENARIOS["mixed"], duration_ns=SHORT_NS)
    first, second = run_seed(scenario, 7), run_seed(scenario, 7)
    assert (first.figures, first.lines) == (second.figures, second.lines)


def test_orders_that_the_history_holds_no_more_are_not_judged_by_it() -> None:
    referee = Referee()
    old, new = order(1, 0, 5), order(2, 5, 9)
    referee.orders = {1: old, 2: new}
    referee.acknowledged(old, 10)
    referee.acknowledged(new, 20)
    referee.judge_end([(8, "x")], 30, begins_at=8)
    assert [text for text in referee.violations if "order 1" in text] == []
    assert "order 2 was acknowledged and is lost" in referee.violations[0]


# Drawn before: in each a member that had lost its disk waited up to 16 s between tries while the next disk was lost.
SLOW_RECOVERY_SEEDS = [
    ("late_machines", 7700040),
    ("mixed", 7700015),
    ("mixed", 7700031),
    ("restarts", 7700004),
]


@pytest.mark.parametrize(("name", "seed"), SLOW_RECOVERY_SEEDS)
def test_a_member_has_copied_before_the_next_disk_is_lost(name: str, seed: int) -> None:
    assert run_seed(SCENARIOS[name], seed).violations == []


def test_a_member_that_waits_long_between_tries_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    slow = RecoveryRetryPolicy(announce_retry_ns=8_000_000_000)
    monkeypatch.setattr(RecoveryRetryPolicy, "for_catch_up", classmethod(lambda cls, catch_up_ns: slow))
    violations = run_seed(SCENARIOS["restarts"], 4).violations
    assert any("no majority votes" in violation for violation in violations)


# ---- planted faults, at least one for each point


def hear_nothing(self, source, here, told, now):
    """What the hub does not push is not noticed."""


def keep_first_hub(self):
    self.hub = self.hub or next(iter(self.members), None)
    return self.hub


def confirm_alone(self, sequence, members):
    return True


def forget_digests(proposed, body, base):
    real = REPLACE(proposed, body, base)

    def change(value):
        outcome = real(value)
        return Refuse(changes.BASE_DIFFERS) if isinstance(outcome, Unchanged) else outcome

    return change


def take_any_base(proposed, body, base):
    def change(value):
        outcome = REPLACE(proposed, body, base)(value)
        if outcome == Refuse(changes.BASE_DIFFERS):
            current = changes.decode_value(value, changes.ConfigurationValue)
            return REPLACE(proposed, body, current.revision)(value)
        return outcome

    return change


REPLACE = changes.replace_configuration


def stay_silent(self, stopped):
    """A disk that refused a record once is never tried again."""


def one_moment_for_a_model(self, model, now, allowance_ns):
    named = self._named.get(model, ())
    return named[-1].revision if named and now - named[-1].named_at >= allowance_ns else 0


def hear_no_ages(self, ages, now):
    """The allowance counts from hearing."""


RESTARTED_BESIDE_THE_MINORITY = replace(
    SCENARIOS["cut_off_three"], faults=(("cut", 1),), cut_hows=("edges",), duration_ns=SHORT_NS
)
LOSSES_ONE_AFTER_THE_OTHER = Scenario(
    (("wipe_acknowledger", 3), ("kill", 3)), fault_pause_ns=500_000_000, operator_pause_ns=100_000_000
)
POWER_LOST_AMONG_SLOW_SYNCS = Scenario(
    (("herd_kill", 1),), fault_pause_ns=1_500_000_000, operator_pause_ns=50_000_000, sync_ns=60_000_000
)
PLANNED_REPLACEMENTS = Scenario((("replace_planned", 1),), fault_pause_ns=1_500_000_000)
PLANTED = {
    "1 nobody asks for what the hub does not push": (
        SCENARIOS["cut_off"],
        [(CatchUp, "record_versions", hear_nothing), (CoreView, "choose_hub", keep_first_hub)],
    ),
    "1 a restarted sidecar believes the first that speaks": (
        RESTARTED_BESIDE_THE_MINORITY,
        [(CoreView, "is_confirmed", confirm_alone)],
    ),
    "2 a digest is forgotten": (
        SCENARIOS["races"],
        [(operator_api.changes, "replace_configuration", forget_digests)],
    ),
    "2 the base is not looked at": (
        SCENARIOS["races"],
        [(operator_api.changes, "replace_configuration", take_any_base)],
    ),
    "3 a member votes before it recovered": (
        LOSSES_ONE_AFTER_THE_OTHER,
        [(RegisterHost, "_recover", planted_faults.vote_without_recovery)],
    ),
    "3 a newcomer does not read from the member that leaves": (
        PLANNED_REPLACEMENTS,
        [(register_host, "Recovery", planted_faults.LeaverlessRecovery)],
    ),
    "3 one that joins beside all and a lost one wait for each other": (
        SCENARIOS["late_machines"],
        [(register_host, "Recovery", planted_faults.WholeQuorumRecovery)],
    ),
    "4 a reply goes out before its record": (
        POWER_LOST_AMONG_SLOW_SYNCS,
        [(RegisterHost, "_vote", planted_faults.reply_before_record)],
    ),
    "weights: a later revision sets the clock of an earlier one back": (
        SCENARIOS["weights"],
        [(NamedWeights, "required", one_moment_for_a_model)],
    ),
    "weights: the allowance counts from hearing": (
        SCENARIOS["weights"],
        [(NamedWeights, "learn_ages", hear_no_ages)],
    ),
    "4 a disk that refused once is never tried again": (
        SCENARIOS["bad_disks"],
        [(RegisterHost, "_schedule_disk_retry", stay_silent)],
    ),
}


@pytest.mark.parametrize("fault", sorted(PLANTED))
def test_a_planted_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario, replaced = PLANTED[fault]
    for owner, attribute, planted in replaced:
        monkeypatch.setattr(owner, attribute, planted)
    assert first_violation(scenario, PLANTED_SEEDS) is not None


@pytest.mark.parametrize(
    "scenario",
    [
        RESTARTED_BESIDE_THE_MINORITY,
        LOSSES_ONE_AFTER_THE_OTHER,
        POWER_LOST_AMONG_SLOW_SYNCS,
        PLANNED_REPLACEMENTS,
    ],
    ids=[
        "restarted_beside_the_minority",
        "losses_one_after_the_other",
        "power_lost_among_slow_syncs",
        "planned_replacements",
    ],
)
def test_where_faults_are_planted_the_program_itself_violates_nothing(scenario: Scenario) -> None:
    assert first_violation(scenario, SEEDS) is None


# ---- the referee


def order(number: int, base: int, revision: int) -> Order:
    return Order(number, base, revision, b"", f"d{number}", 0)


def test_the_referee_knows_each_kind_of_violation() -> None:
    referee = Referee()
    one, other, third = order(1, 0, 5), order(2, 0, 5), order(3, 5, 7)
    referee.orders = {o.number: o for o in (one, other, third)}
    referee.acknowledged(one, 10)
    referee.acknowledged(other, 20)
    referee.refused(one, 30)
    referee.was_read(4, 5, 40)
    referee.took("edge/1", 5, 50)
    referee.took("edge/1", 4, 60)
    referee.confirmed("edge/1", 4, 10**12)
    referee.judge_time(10**12, 0, {"edge/1": 0})
    referee.judge_end([(5, "d2"), (3, "x")], 10**12)
    referee.named_weights(2, 10)
    referee.judge_weights(10**12, 0, {"edge/1": 1, "edge/2": 2})
    told = " ".join(referee.violations)
    for part in (
        "both taken on 0",
        "refused after it was acknowledged",
        "read 4",
        "went back",
        "confirmed 4",
        "does not go by 5",
        "no clear answer",
        "order 1 was acknowledged and is lost",
        "does not rise",
        "edge/1 begins work on 1, 2 was named",
    ):
        assert part in told, part


def test_the_command_prints_its_figures(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--scenario", "races", "--seeds", "1"]) == 0
    printed = capsys.readouterr().out
    assert "scenario=races seeds=1" in printed
    assert "violations=0" in printed
