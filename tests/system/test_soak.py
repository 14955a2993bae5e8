"""Soaks: a short seeded run of whole programs, and the judgement itself on what it must find.

By hand: `python3 -m iristrack.standin.soak --seeds 50 --jobs 3` (docs/operators-system.md).
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest

from iristrack.standin.ledger import Arrival, Ledger
from iristrack.standin.soak.__main__ import EXIT_UNUSABLE, main
from iristrack.standin.soak.findings import CONTACT_S, judge
from iristrack.standin.soak.run import Sizes, soak
from iristrack.standin.soak.traffic import Kind, Try
from iristrack.standin.soak.troubles import Disturbance, History

SIZES = Sizes(edges=3, clients=12, seconds=10.0, gap_s=0.2)
BOUND_S = 5.0
BOUNDS = {"version_ms": 1000 * BOUND_S, "retry_window_s": 10, "retry_ratio": 0.2, "retry_slack": 2}
EDGE = "edge-0"


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_found_under_overlapping_signals_restarts_and_changes(seed: int, tmp_path: Path) -> None:
    result = soak(seed, SIZES, tmp_path / "soak")
    assert not result.found, f"{result.summary}\n" + "\n".join(result.found)


# ---- the command


@pytest.mark.parametrize(
    ("words", "named"),
    [
        (("--jobs", "0"), "--jobs"),
        (("--cores", "-3"), "--cores"),
        (("--seconds", "0"), "--seconds"),
        (("--gap", "0"), "--gap"),
    ],
)
def test_an_argument_that_cannot_be_used_is_named(
    words: tuple[str, ...], named: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture
) -> None:
    monkeypatch.setattr("sys.argv", ["soak", *words])
    assert main() == EXIT_UNUSABLE
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"soak: {named} takes ")


# ---- the judgement


def asked(kind: Kind = Kind.PLAIN, **more: object) -> Try:
    served = Try("a1", kind, EDGE, True, 10.0, 11.0, 200, whole=True, spoilt=False)
    return replace(served, **more)


def found(one: Try, *arrivals: Arrival, history: History | None = None) -> list[str]:
    ledger = Ledger()
    for arrival in arrivals:
        ledger.add(arrival)
    system = SimpleNamespace(ledger=ledger, rule_bounds=BOUNDS, tracebacks=lambda: [])
    others = [replace(asked(), attempt_id=f"other-{number}") for number in range(9)]
    return judge(system, history or History(), [one, *others])


def arrived(ran: bool = True, revision: int = 1, at: float = 10.1) -> Arrival:
    headers = {"x-iristrack-attempt-id": ["a1"]}
    return Arrival("i-1", "chat", 1, "POST", "/plain/x", headers, b"{}", revision, ran=ran, at=at)


def test_what_was_served_once_is_sound() -> None:
    assert found(asked(), arrived(ran=False), arrived()) == []


@pytest.mark.parametrize(
    ("one", "runs", "text"),
    [
        (asked(), 2, "ran 2 times"),
        (asked(Kind.STREAM), 2, "ran 2 times"),
        (asked(status=503), 1, "refused and run"),
        (asked(status=404), 0, "denied"),
        (asked(spoilt=True), 1, "not the server's"),
        (asked(status=None, whole=False), 1, "cut without"),
        (asked(Kind.SAFE, whole=False), 1, "cut without"),
    ],
)
def test_what_must_not_be_is_found(one: Try, runs: int, text: str) -> None:
    (finding,) = found(one, *(arrived() for _ in range(runs)))
    assert text in finding


def test_what_may_run_twice_and_what_never_arrived_is_sound() -> None:
    assert found(asked(Kind.SAFE), arrived(), arrived()) == []
    assert found(asked(Kind.RESUMABLE, status=503), arrived()) == []
    assert found(asked(status=None, whole=False)) == []


@pytest.mark.parametrize(
    ("name", "begun", "sound"), [(EDGE, 10.5, True), ("i-1", 9.0, True), ("edge-1", 10.5, False)]
)
def test_a_cut_is_excused_by_unplanned_trouble_at_its_own_machines(
    name: str, begun: float, sound: bool
) -> None:
    history = History(disturbances=[Disturbance(name, "kill", begun, begun + 1.2)])
    assert bool(found(asked(whole=False), arrived(), history=history)) is not sound


def test_older_weights_are_found_after_their_time_at_machines_in_touch() -> None:
    history = History(named={2: 4.0, 3: 9.0})
    one = asked(Kind.STREAM)
    assert found(one, arrived(at=4.0 + BOUND_S), history=history) == []
    (finding,) = found(one, arrived(at=10.0), history=history)
    assert "began on weights 1, 6.000 s after" in finding
    assert found(one, arrived(at=10.0, revision=2), history=history) == []
    frozen = Disturbance(EDGE, "freeze", 1.0, one.sent_at - CONTACT_S)
    assert found(one, arrived(at=10.0), history=replace(history, disturbances=[frozen])) == []


def test_the_time_of_older_weights_counts_anew_where_all_of_the_core_was_killed() -> None:
    history = History(named={2: 4.0}, core_back_at=5.5)
    one = asked(Kind.STREAM)
    assert found(one, arrived(at=10.4), history=history) == []
    (finding,) = found(one, arrived(at=10.6), history=history)
    assert "5.100 s after" in finding


@pytest.mark.parametrize(
    ("repeats_at", "is_sound"),
    [
        ([10.1] * 2, True),
        ([10.1] * 3, False),
        ([10.1, 15.0, 20.0], False),
        ([10.1, 15.0, 20.2], True),
    ],
)
def test_repeats_over_the_budget_of_a_window_are_found(repeats_at: list[float], is_sound: bool) -> None:
    """One first sending earns a fifth of a repeat, and two are free."""
    one = asked(Kind.SAFE)
    sent = [arrived(ran=False, at=10.0), *(arrived(ran=False, at=at) for at in repeats_at)]
    findings = found(one, *sent)
    assert (findings == []) is is_sound
    assert is_sound or "repeats in 10 s" in findings[0]


def test_a_system_that_serves_hardly_anything_is_found() -> None:
    tries = [asked(status=503, attempt_id=f"a{number}") for number in range(30)]
    system = SimpleNamespace(ledger=Ledger(), rule_bounds=BOUNDS, tracebacks=lambda: [])
    assert judge(system, History(), tries) == ["0 of 30 requests were served"]
