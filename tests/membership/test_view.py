from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from iristrack.membership.view import (
    FORGET_NS,
    MOST_COUNT,
    MOST_MEMBERS,
    REFUTE_PAUSE_NS,
    MembershipView,
    stands_over,
)

from .members import member

records = st.builds(
    member,
    node=st.sampled_from("bcde"),
    zone=st.sampled_from("xy"),
    alive=st.booleans(),
    count=st.integers(0, 3),
)


def told(*members) -> MembershipView:
    view = MembershipView(member("a"))
    for one in members:
        view.merge((replace(one, alive=True, count=0),), 0)
    return view


@given(st.lists(records, max_size=12), st.randoms(use_true_random=False))
def test_views_that_were_told_the_same_agree_in_any_order(all_records: list, shuffle) -> None:
    first, second = (told(*map(member, "bcde")) for _ in range(2))
    first.merge(all_records, 5)
    shuffle.shuffle(all_records)
    for record in all_records:
        second.merge((record, record), 5)
    key = lambda m: m.node  # noqa: E731
    assert sorted(first.snapshot().members, key=key) == sorted(second.snapshot().members, key=key)
    assert first.digest == second.digest


@given(records, records)
def test_of_two_records_one_stands_unless_they_are_the_same(first, second) -> None:
    second = replace(second, node=first.node, address=first.address)
    assert stands_over(first, second) + stands_over(second, first) == (first != second)


def test_death_stands_at_equal_counts_and_the_member_refutes_it_by_a_higher_one() -> None:
    view, other = told(member("b")), MembershipView(member("b"))
    dead = view.declare_dead("b", 0, 10)
    assert dead == [member("b", alive=False)]
    assert not view.merge((member("b"),), 11)
    assert [m.node for m in view.alive()] == ["a"]
    back = other.merge(dead, 12)
    assert back == [member("b", count=1)]
    assert view.merge(back, 13) == back
    assert view.declare_dead("b", 0, 14) == []
    assert {m.node for m in view.alive()} == {"a", "b"}


def test_a_new_process_outbids_the_one_before_it() -> None:
    view = MembershipView(replace(member("a"), process="p2"))
    assert view.merge((replace(member("a", count=7), process="p1"),), 0) == [view.me]
    assert (view.me.count, view.me.process) == (8, "p2")


def test_two_processes_of_one_name_do_not_storm() -> None:
    view = MembershipView(member("a"))
    assert view.merge((member("a", count=5),), 0)
    assert view.merge((member("a", count=9),), 1) == []
    assert view.refute(REFUTE_PAUSE_NS - 1) == []
    assert view.refute(REFUTE_PAUSE_NS) == [member("a", count=10)]
    assert view.refute(3 * REFUTE_PAUSE_NS) == []


def test_one_that_leaves_says_so_and_refutes_nothing() -> None:
    view = MembershipView(member("a"))
    gone = view.leave(0)
    assert gone == [member("a", alive=False, count=1)]
    assert told(member("b")).merge([replace(gone[0], node="b")], 0)
    assert view.merge((member("a", alive=False, count=3),), REFUTE_PAUSE_NS) == []


def test_the_dead_are_forgotten_and_strangers_death_is_not_learned() -> None:
    view = told(member("b"))
    assert view.merge((member("c", alive=False),), 0) == []
    view.declare_dead("b", 0, 100)
    assert view.forget(100 + FORGET_NS - 1) == 0
    assert view.forget(100 + FORGET_NS) == 1
    assert view.get("b") is None


def test_the_view_is_bounded_and_the_dead_make_room() -> None:
    view = MembershipView(member("a"))
    view.merge((member(f"n{index}") for index in range(MOST_MEMBERS + 5)), 0)
    assert len(view.snapshot().members) == MOST_MEMBERS
    assert view.merge((member("late"),), 1) == []
    view.declare_dead("n3", 0, 2)
    assert view.merge((member("late"),), 3)
    assert view.get("n3") is None
    assert len(view.snapshot().members) == MOST_MEMBERS


def test_a_spoilt_record_is_left_alone() -> None:
    view = told(member("b"))
    spoilt = (member("b", count=MOST_COUNT), member("b", count=-1), member(""))
    assert view.merge(spoilt, 0) == []
    assert view.merge((member("a", count=MOST_COUNT),), 0) == []


@given(st.lists(st.lists(records, max_size=3), max_size=8))
def test_deltas_bring_another_view_up_to_date(batches: list) -> None:
    source, copy, sequence = MembershipView(member("a")), MembershipView(member("z")), 0
    for batch in [[], *batches]:
        source.merge(batch, 0, "x")
        copy.merge(source.changes_since(sequence), 0, "a")
        sequence = source.sequence
    assert {m for m in copy.alive() if m.node != "z"} == set(source.alive())


def test_a_delta_leaves_out_what_its_receiver_told() -> None:
    view = MembershipView(member("a"))
    before = view.sequence
    view.merge((member("b"),), 0, "b")
    view.merge((member("c"),), 0, "c")
    assert view.changes_since(before, not_from="b") == (member("c"),)
    assert view.changes_since(view.sequence) == ()


def test_the_digest_tells_views_apart() -> None:
    first, second = told(member("b")), told(member("b"))
    assert first.digest == second.digest
    second.declare_dead("b", 0, 0)
    assert first.digest != second.digest
    first.declare_dead("b", 0, 9)
    assert first.digest == second.digest
    assert 0 <= first.digest < 1 << 63
