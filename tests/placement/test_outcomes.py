from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.placement.outcomes import (
    BUCKET_COUNT,
    BUCKET_NS,
    MAX_EJECTED_SHARE,
    MIN_FAILED_COUNT,
    MIN_FAILED_SHARE,
    Outcomes,
    OutcomeWindow,
    ejected_servers,
)

ENDS = st.lists(st.tuples(st.integers(0, 3 * BUCKET_NS), st.booleans()), max_size=60)


@given(ENDS)
def test_the_window_counts_what_ended_in_its_seconds_and_nothing_else(steps) -> None:
    window, now, ended = OutcomeWindow(), 0, []
    for wait, well in steps:
        now += wait
        (window.answered if well else window.failed)(now)
        ended.append((now // BUCKET_NS, well))
    oldest = now // BUCKET_NS - BUCKET_COUNT + 1
    counted = [well for bucket, well in ended if bucket >= oldest]
    assert window.total(now) == Outcomes(counted.count(True), counted.count(False))


def test_what_is_older_than_the_window_counts_no_more() -> None:
    window = OutcomeWindow()
    window.failed(0)
    assert window.total((BUCKET_COUNT - 1) * BUCKET_NS) == Outcomes(0, 1)
    assert window.total(BUCKET_COUNT * BUCKET_NS) == Outcomes(0, 0)


def test_one_failure_proves_nothing_and_a_small_share_neither() -> None:
    assert not Outcomes(0, MIN_FAILED_COUNT - 1).suspect
    assert Outcomes(0, MIN_FAILED_COUNT).suspect
    enough = int(MIN_FAILED_COUNT / MIN_FAILED_SHARE) - MIN_FAILED_COUNT
    assert Outcomes(enough, MIN_FAILED_COUNT).suspect
    assert not Outcomes(enough + 1, MIN_FAILED_COUNT).suspect


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=30))
def test_the_worst_suspects_are_left_out_within_the_bound(counts) -> None:
    outcomes = {f"i-{number}": Outcomes(*pair) for number, pair in enumerate(counts)}
    out = ejected_servers(outcomes.items())
    assert len(out) <= len(outcomes) * MAX_EJECTED_SHARE
    assert all(outcomes[name].suspect for name in out)

    def share(name: str) -> float:
        found = outcomes[name]
        return found.failed / (found.answered + found.failed)

    spared = [name for name, found in outcomes.items() if found.suspect and name not in out]
    assert not spared or len(out) == int(len(outcomes) * MAX_EJECTED_SHARE)
    assert all(share(name) <= share(worse) for name in spared for worse in out)


def test_outcomes_of_two_sidecars_add_up() -> None:
    assert Outcomes(3, 1).plus(Outcomes(2, 4)) == Outcomes(5, 5)
