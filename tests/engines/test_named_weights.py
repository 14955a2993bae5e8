"""Times at which revisions were named, as known to one process."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.engines.named_weights import (
    CLOCK_TOLERANCE_NS,
    MAX_MODELS,
    MAX_REVISIONS,
    NS_PER_MS,
    RECHECK_NS,
    NamedWeights,
)
from iristrack.wire.messages import NamedAge

REPORTS = st.lists(st.tuples(st.integers(1, 6), st.integers(0, 100)), max_size=12)


def test_a_revision_is_superseded_by_the_first_one_above_it() -> None:
    named = NamedWeights()
    assert named.superseded_at("m", 1) is None
    assert named.learn("m", 2, 20)
    assert named.learn("m", 4, 40)
    assert not named.learn("m", 3, 30)
    times = [named.superseded_at("m", revision) for revision in (0, 1, 2, 3, 4, 5)]
    assert times == [20, 20, 30, 40, None, None]
    assert (named.newest("m"), named.newest("other")) == (4, 0)


def test_the_earliest_time_counts_and_a_repeated_report_is_not_newer() -> None:
    named = NamedWeights()
    assert named.learn("m", 2, 20)
    assert not named.learn("m", 2, 25)
    assert named.superseded_at("m", 1) == 20
    assert not named.learn("m", 2, 15)
    assert named.superseded_at("m", 1) == 15


def test_a_revision_was_named_no_later_than_the_next_one() -> None:
    named = NamedWeights()
    named.learn("m", 2, 20)
    named.learn("m", 3, 10)
    assert named.superseded_at("m", 1) == 10


@given(REPORTS)
def test_times_do_not_depend_on_the_order_of_reports(reports: list[tuple[int, int]]) -> None:
    forward, backward = NamedWeights(), NamedWeights()
    for revision, at in reports:
        forward.learn("m", revision, at)
    for revision, at in reversed(reports):
        backward.learn("m", revision, at)
    for revision in range(7):
        expected = min((at for reported, at in reports if reported > revision), default=None)
        assert forward.superseded_at("m", revision) == backward.superseded_at("m", revision) == expected


def test_the_number_of_revisions_is_limited_and_merging_never_gives_a_later_time() -> None:
    named = NamedWeights()
    for revision in range(1, 3 * MAX_REVISIONS):
        named.learn("m", revision, revision * 10)
    assert len(named._named["m"]) == MAX_REVISIONS
    for revision in range(3 * MAX_REVISIONS - 1):
        assert named.superseded_at("m", revision) <= (revision + 1) * 10


@given(REPORTS, st.integers(0, 200), st.integers(0, 60))
def test_no_report_lowers_the_required_revision(
    reports: list[tuple[int, int]], now: int, allowance: int
) -> None:
    named = NamedWeights()
    required = 0
    for revision, at in reports:
        named.learn("m", revision, at)
        assert named.required("m", now, allowance) >= required
        required = named.required("m", now, allowance)
    assert required == max((revision for revision, at in reports if now - at >= allowance), default=0)


def test_ages_transfer_the_times_to_another_process() -> None:
    here, there = NamedWeights(), NamedWeights()
    here.learn("m", 2, 1_000 * NS_PER_MS)
    here.learn("m", 3, 4_000 * NS_PER_MS + 1)
    ages = here.ages(5_000 * NS_PER_MS)
    assert ages == (NamedAge("m", 2, 4_000), NamedAge("m", 3, 1_000))  # ages are rounded up
    there.learn_ages(ages, 90_000 * NS_PER_MS)  # its clock has a different origin
    assert there.superseded_at("m", 1) == 86_000 * NS_PER_MS
    assert there.superseded_at("m", 2) == 89_000 * NS_PER_MS


def test_work_may_begin_until_the_allowance_of_the_first_newer_revision_ends() -> None:
    named = NamedWeights()
    assert named.begin_by("m", 1, 70, 0) == 70 + RECHECK_NS
    assert named.begin_by("m", 1, 70, 2 * RECHECK_NS) == 70 + 2 * RECHECK_NS
    named.learn("m", 2, 20)
    named.learn("m", 3, 60)
    assert (named.begin_by("m", 1, 70, 100), named.begin_by("m", 2, 70, 100)) == (120, 160)


def test_the_number_of_models_is_limited() -> None:
    named = NamedWeights()
    for number in range(MAX_MODELS + 5):
        named.learn(f"m{number}", 2, 0)
    assert named.learn("m0", 3, 1)
    assert len(named.ages(0)) == MAX_MODELS + 1


SECOND_NS = 1000 * NS_PER_MS


def test_a_process_detects_that_it_knows_an_earlier_time_than_reported() -> None:
    named = NamedWeights()
    assert not named.knows_earlier([], SECOND_NS)
    named.learn("m", 2, SECOND_NS)
    now = 5 * SECOND_NS
    assert named.knows_earlier([], now)  # the other process has lost the revision
    assert named.knows_earlier([NamedAge("m", 2, 1000)], now)
    assert not named.knows_earlier([NamedAge("m", 2, 3900)], now)
    assert not named.knows_earlier([NamedAge("m", 2, 9000)], now)
    assert not named.knows_earlier(
        [], SECOND_NS + CLOCK_TOLERANCE_NS
    )  # just named: the other process may not have learned it yet
