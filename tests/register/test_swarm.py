from __future__ import annotations

from dataclasses import replace

import pytest

from iristrack.controlplane import register_host
from iristrack.controlplane.register_host import RegisterHost
from iristrack.simulation.register import Scenario, first_violation, main, run_seed, with_member_changes
from iristrack.simulation.register_machines import RegisterMachine
from iristrack.simulation.register_network import MILLISECOND, NetworkFaults
from iristrack.simulation.register_referee import Referee
from tests.simulation import planted_faults

STALLS_AND_WIPES = Scenario(
    keys=("config",),
    spare_core_links=True,
    network=NetworkFaults(
        loss_share=0.0, duplicate_share=0.0, late_share=0.0, usual_delay_ns=1 * MILLISECOND
    ),
    fault_interval_ns=100 * MILLISECOND,
    longest_fault_ns=300 * MILLISECOND,
    longest_outage_ns=2 * MILLISECOND,
    fault_weights=(("stall_and_wipe", 1),),
    stalled_share=0.8,  # 0.8 finds the planted fault in 3 of 200 seeds, 0.5 in 1 of 100
)


@pytest.mark.parametrize(
    ("scenario", "seeds"),
    [
        (Scenario(), range(200)),
        (Scenario(acceptors=5), range(60)),
        (STALLS_AND_WIPES, range(40)),
        (with_member_changes(Scenario(), 3), range(150)),
        (with_member_changes(Scenario(acceptors=5), 3), range(40)),
    ],
    ids=["three", "five", "stalls_and_wipes", "member_changes", "member_changes_of_five"],
)
def test_no_seed_violates_the_register_history(scenario: Scenario, seeds: range) -> None:
    assert first_violation(scenario, seeds) is None


def test_all_faults_occur_and_changes_are_committed_between_them() -> None:
    figures = run_seed(Scenario(), 0).figures
    for seed in range(1, 10):
        figures += run_seed(Scenario(), seed).figures
    for name, _ in Scenario().fault_weights:
        assert figures[f"faults_{name}"] > 0
    for name in ("recoveries_finished", "messages_lost", "messages_duplicated", "messages_late"):
        assert figures[name] > 0
    for name in ("committed", "rejected", "overtaken", "unavailable"):
        assert figures[name] > 0
    assert figures["committed"] > figures["unavailable"]


def test_a_seed_reproduces_the_same_run() -> None:
    assert run_seed(Scenario(), 5) == run_seed(Scenario(), 5)


MEMBER_CHANGES = with_member_changes(Scenario(), 3)
NO_WIPES = replace(
    MEMBER_CHANGES,
    fault_weights=tuple(fault for fault in MEMBER_CHANGES.fault_weights if fault[0] != "wipe"),
)


ONLY_MEMBER_CHANGES = replace(MEMBER_CHANGES, fault_weights=(("member_change", 8), ("client_crash", 4)))
NO_PUBLICATION = [(RegisterMachine, "publish", planted_faults.publish_to_nobody)]
ANY_MEMBER_SET = [
    *NO_PUBLICATION,
    (register_host, "Acceptor", planted_faults.AnySetAcceptor),
    (RegisterHost, "handle", planted_faults.handle_any_set),
]
UNRECOVERED = [(RegisterHost, "_recover", planted_faults.vote_without_recovery)]
REPLY_BEFORE_RECORD = [(RegisterHost, "_vote", planted_faults.reply_before_record)]
PLANTED = {
    "any_member_set": (ONLY_MEMBER_CHANGES, ANY_MEMBER_SET),
    "joins_unrecovered": (NO_WIPES, UNRECOVERED),
    "short_quorum": (Scenario(), [(register_host, "Proposer", planted_faults.ShortQuorumProposer)]),
    "reply_before_sync": (Scenario(), REPLY_BEFORE_RECORD),
    "amnesiac": (Scenario(), UNRECOVERED),
    "short_recovery": (Scenario(), [(register_host, "Recovery", planted_faults.ShortQuorumRecovery)]),
    "unchecked_incarnation": (
        STALLS_AND_WIPES,
        [(register_host, "Proposer", planted_faults.TrustingProposer)],
    ),
}


@pytest.mark.parametrize("fault", sorted(PLANTED))
def test_a_planted_fault_is_detected(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario, replaced = PLANTED[fault]
    for owner, attribute, planted in replaced:
        monkeypatch.setattr(owner, attribute, planted)
    assert first_violation(scenario, range(100)) is not None


def test_messages_alone_enforce_one_member_set(monkeypatch: pytest.MonkeyPatch) -> None:
    for owner, attribute, planted in NO_PUBLICATION:
        monkeypatch.setattr(owner, attribute, planted)
    assert first_violation(ONLY_MEMBER_CHANGES, range(30)) is None


def test_the_referee_detects_forks_losses_regressions_and_refused_values() -> None:
    referee = Referee(("fork", "loss", "back", "refused", "good"))
    for history in referee.histories.values():
        history.proposed(b"a", b"")
        history.proposed(b"b", b"")
        history.proposed(b"c", b"a")
    fork, loss, back, refused, good = referee.histories.values()
    good.acknowledged(b"a")
    good.told(b"a", 0)
    good.refused(b"b")
    good.last_read(b"c")
    assert referee.violations == []
    fork.told(b"a", 0)
    fork.told(b"b", 0)
    loss.acknowledged(b"b")
    loss.last_read(b"c")
    back.told(b"a", 2)
    refused.told(b"c", 0)
    refused.refused(b"a")
    assert [violation.split(":")[0] for violation in referee.violations] == [
        "fork",
        "loss",
        "back",
        "refused",
    ]


def test_the_command_prints_its_figures(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--seeds", "2"]) == 0
    figures = dict(part.split("=") for part in capsys.readouterr().out.split())
    assert figures["seeds"] == "2"
    assert figures["violations"] == "0"
    assert float(figures["virtual_hours"]) > 0
