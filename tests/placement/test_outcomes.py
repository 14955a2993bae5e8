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
def test_the_window_counts_exactly_the_requests_that_ended_within_it(steps) -> None:
    window, now, ended = OutcomeWindow(), 0, []
    for wait, is_good in steps:
        now += wait
        (window.answered if is_good else window.failed)(now)
        ended.append((now // BUCKET_NS, is_good))
    oldest = now // BUCKET_NS - BUCKET_COUNT + 1
    counted = [is_good for bucket, is_good in ended if bucket >= oldest]
    assert window.total(now) == Outcomes(counted.count(True), counted.count(False))


def test_outcomes_older_than_the_window_do_not_count() -> None:
    window = OutcomeWindow()
    window.failed(0)
    assert window.total((BUCKET_COUNT - 1) * BUCKET_NS) == Outcomes(0, 1)
    assert window.total(BUCKET_COUNT * BUCKET_NS) == Outcomes(0, 0)


def test_a_single_failure_or_a_small_share_is_no_reason_to_eject() -> None:
    assert not Outcomes(0, MIN_FAILED_COUNT - 1).suspect
    assert Outcomes(0, MIN_FAILED_COUNT).suspect
    answered = int(MIN_FAILED_COUNT / MIN_FAILED_SHARE) - MIN_FAILED_COUNT
    assert Outcomes(answered, MIN_FAILED_COUNT).suspect
    assert not Outcomes(answered + 1, MIN_FAILED_COUNT).suspect


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=30))
def test_the_worst_suspects_are_ejected_up_to_the_limit(counts) -> None:
    outcomes = {f"i-{number}": Outcomes(*pair) for number, pair in enumerate(counts)}
    ejected = ejected_servers(outcomes.items())
    assert len(ejected) <= len(outcomes) * MAX_EJECTED_SHARE
    assert all(outcomes[name].suspect for name in ejected)

    def failed_share(name: str) -> float:
        found = outcomes[name]
        return found.failed / (found.answered + found.failed)

    not_ejected = [name for name, found in outcomes.items() if found.suspect and name not in ejected]
    assert not not_ejected or len(ejected) == int(len(outcomes) * MAX_EJECTED_SHARE)
    assert all(failed_share(name) <= failed_share(worse) for name in not_ejected for worse in ejected)


def test_outcomes_of_two_sidecars_add_up() -> None:
    assert Outcomes(3, 1).plus(Outcomes(2, 4)) == Outcomes(5, 5)
