"""The small-scope explorer: scopes without a violation, planted faults found, and the same states each time."""

from __future__ import annotations

from dataclasses import replace

import pytest

from iristrack.simulation.explorer import SCOPES, Exploration, Explorer, main

MOST_STATES = 4_000
MOST_STATES_TO_A_FAULT = 20_000


def explore(name: str, most_states: int = MOST_STATES, planted: str = "") -> Exploration:
    return Explorer(replace(SCOPES[name], most_states=most_states, planted=planted)).run()


@pytest.mark.parametrize("name", sorted(SCOPES))
def test_no_state_of_a_scope_violates_anything(name: str) -> None:
    found = explore(name)
    assert found.violation is None, found.violation
    assert found.depth > 5


def test_one_change_without_faults_is_explored_whole_and_always_ends_committed() -> None:
    found = explore("one_change")
    assert found.complete
    assert found.outcomes == {(), ("Committed",)}
    assert found.states == explore("one_change").states


@pytest.mark.parametrize(
    ("name", "planted"),
    [("messages", "quorum"), ("wipe", "no_recovery"), ("leave", "no_recovery")],
)
def test_a_planted_fault_is_found_with_the_events_that_lead_to_it(name: str, planted: str) -> None:
    found = explore(name, MOST_STATES_TO_A_FAULT, planted)
    assert found.violation is not None
    assert found.violation.events


def test_the_command_prints_its_counts(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--scope", "one_change"]) == 0
    assert "scope=one_change" in capsys.readouterr().out
    assert main(["--scope", "wipe", "--planted", "no_recovery"]) == 1
    assert "violation:" in capsys.readouterr().err
