"""When each revision was named, as one process knows it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.engines.named_weights import MOST_REVISIONS, NamedWeights

REPORTS = st.lists(st.tuples(st.integers(1, 6), st.integers(0, 100)), max_size=12)


def test_a_revision_is_superseded_by_the_first_one_above_it() -> None:
    named = NamedWeights()
    assert named.superseded_at("m", 1) is None
    assert named.heard("m", 2, 20)
    assert named.heard("m", 4, 40)
    assert not named.heard("m", 3, 30)
    moments = [named.superseded_at("m", revision) for revision in (0, 1, 2, 3, 4, 5)]
    assert moments == [20, 20, 30, 40, None, None]
    assert (named.newest("m"), named.newest("other")) == (4, 0)


def test_the_earliest_moment_counts_and_a_repeat_is_not_newer() -> None:
    named = NamedWeights()
    assert named.heard("m", 2, 20)
    assert not named.heard("m", 2, 25)
    assert named.superseded_at("m", 1) == 20
    assert not named.heard("m", 2, 15)
    assert named.superseded_at("m", 1) == 15


def test_a_revision_was_named_no_later_than_the_next_one() -> None:
    named = NamedWeights()
    named.heard("m", 2, 20)
    named.heard("m", 3, 10)
    assert named.superseded_at("m", 1) == 10


@given(REPORTS)
def test_moments_do_not_depend_on_the_order_of_reports(reports: list[tuple[int, int]]) -> None:
    forward, backward = NamedWeights(), NamedWeights()
    for revision, at in reports:
        forward.heard("m", revision, at)
    for revision, at in reversed(reports):
        backward.heard("m", revision, at)
    for revision in range(7):
        expected = min((at for told, at in reports if told > revision), default=None)
        assert forward.superseded_at("m", revision) == backward.superseded_at("m", revision) == expected


def test_the_table_is_bounded_and_never_tells_a_later_moment() -> None:
    named = NamedWeights()
    for revision in range(1, 3 * MOST_REVISIONS):
        named.heard("m", revision, revision * 10)
    assert len(named._named["m"]) == MOST_REVISIONS
    for revision in range(3 * MOST_REVISIONS - 1):
        assert named.superseded_at("m", revision) <= (revision + 1) * 10
