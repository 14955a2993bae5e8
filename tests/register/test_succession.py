from __future__ import annotations

from iristrack.register.member_set import MAX_MEMBERS
from iristrack.register.membership_policy import (
    ADDITION_DELAY_NS,
    LATE_FOUNDER_DELAY_NS,
    REMOVAL_DELAY_NS,
    REPLACEMENT_DELAY_NS,
    SILENCE_THRESHOLD_NS,
    MembershipPolicy,
)
from iristrack.wire.messages import FOUNDED, MembersValue

THREE = MembersValue(FOUNDED, ("a", "b", "c"))
FOUR = MembersValue(FOUNDED, ("a", "b", "c", "d"))
SPARE = {"x"}


def seen(members: MembersValue, connected, reporting, *times: int) -> MembersValue | None:
    """What is proposed at the last of the times, after the same was seen at all of them."""
    succession = MembershipPolicy()
    proposed = None
    for now in times:
        proposed = succession.next_member_set(members, connected, reporting, now)
    return proposed


def test_a_machine_takes_the_place_of_a_member_that_is_silent_for_long() -> None:
    assert seen(THREE, "ab", SPARE, 0, SILENCE_THRESHOLD_NS - 1) is None
    assert seen(THREE, "ab", SPARE, 0, SILENCE_THRESHOLD_NS) == MembersValue(2, ("a", "b", "x"), "x", "c")


def test_a_machine_that_has_just_appeared_waits() -> None:
    succession = MembershipPolicy()
    succession.next_member_set(THREE, "ab", set(), 0)
    assert succession.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS) is None
    assert (
        succession.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS + REPLACEMENT_DELAY_NS - 1)
        is None
    )
    assert (
        succession.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS + REPLACEMENT_DELAY_NS).joining
        == "x"
    )


def test_a_member_that_speaks_again_counts_its_silence_anew() -> None:
    succession = MembershipPolicy()
    succession.next_member_set(THREE, "ab", SPARE, 0)
    succession.next_member_set(THREE, "abc", SPARE, SILENCE_THRESHOLD_NS // 2)
    succession.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS)
    assert (
        succession.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS + SILENCE_THRESHOLD_NS // 2)
        is None
    )


def test_the_longest_silent_member_goes_first() -> None:
    five = MembersValue(FOUNDED, ("a", "b", "c", "d", "e"))
    succession = MembershipPolicy()
    succession.next_member_set(five, "abcd", SPARE, 0)
    succession.next_member_set(five, "abc", SPARE, 1)
    assert succession.next_member_set(five, "abc", SPARE, SILENCE_THRESHOLD_NS + 1).members == (
        "a",
        "b",
        "c",
        "d",
        "x",
    )


def test_who_sees_no_majority_proposes_nothing_and_blames_nobody() -> None:
    succession = MembershipPolicy()
    for now in range(0, 10 * SILENCE_THRESHOLD_NS, SILENCE_THRESHOLD_NS):
        assert succession.next_member_set(THREE, "a", SPARE, now) is None
    last = (
        9 * SILENCE_THRESHOLD_NS
    )  # c counts as silent since then: before, it may have been this member that was cut off
    assert succession.next_member_set(THREE, "ab", SPARE, last + SILENCE_THRESHOLD_NS - 1) is None
    assert succession.next_member_set(THREE, "ab", SPARE, last + SILENCE_THRESHOLD_NS) is not None


def test_nothing_changes_while_a_member_joins_unless_it_is_silent_itself() -> None:
    joining = MembersValue(2, ("a", "b", "x"), "x")
    assert seen(joining, "ax", {"y"}, 0, 10 * SILENCE_THRESHOLD_NS) is None
    assert seen(joining, "ab", {"y"}, 0, SILENCE_THRESHOLD_NS) == MembersValue(3, ("a", "b", "y"), "y", "x")
    assert seen(joining, "abx", {"y", "z"}, 0, 10 * ADDITION_DELAY_NS) is None


def test_a_machine_is_let_in_beside_all_only_to_an_odd_number() -> None:
    assert seen(THREE, "abc", SPARE, 0, 10 * ADDITION_DELAY_NS) is None
    assert seen(FOUR, "abcd", SPARE, 0, ADDITION_DELAY_NS - 1) is None
    assert seen(FOUR, "abcd", SPARE, 0, ADDITION_DELAY_NS) == MembersValue(2, ("a", "b", "c", "d", "x"), "x")
    assert seen(THREE, "abc", {"x", "y"}, 0, ADDITION_DELAY_NS) == MembersValue(2, ("a", "b", "c", "x"), "x")


def test_the_set_does_not_grow_over_its_bound() -> None:
    most = MembersValue(FOUNDED, tuple(f"m{index}" for index in range(MAX_MEMBERS)))
    assert seen(most, most.members, {"x", "y"}, 0, 10 * ADDITION_DELAY_NS) is None
    silent = seen(most, most.members[1:], {"x"}, 0, SILENCE_THRESHOLD_NS)
    assert silent is not None and len(silent.members) == MAX_MEMBERS


def test_machines_that_wait_for_places_do_not_make_the_set_grow_soon_but_in_the_founding() -> None:
    """Two planned replacements at once: a set that grew by both would bear one loss less when two have left."""
    five = MembersValue(FOUNDED, ("a", "b", "c", "d", "e"))
    later, founding = MembershipPolicy(), MembershipPolicy()
    for now in (0, LATE_FOUNDER_DELAY_NS, ADDITION_DELAY_NS - 1):
        assert later.next_member_set(five, "abcde", {"x", "y"}, now) is None
    assert later.next_member_set(five, "abcde", {"x", "y"}, ADDITION_DELAY_NS).joining == "x"
    founding.next_member_set(five, "abcde", {"x", "y"}, 0, LATE_FOUNDER_DELAY_NS)
    grown = founding.next_member_set(five, "abcde", {"x", "y"}, LATE_FOUNDER_DELAY_NS, LATE_FOUNDER_DELAY_NS)
    assert len(grown.members) == 6


def test_a_member_that_is_silent_for_minutes_is_taken_out_of_a_set_that_can_spare_it() -> None:
    shrunk = MembersValue(2, ("a", "b", "c"), leaving="d")
    assert seen(FOUR, "abc", set(), 0, REMOVAL_DELAY_NS - 1) is None
    assert seen(FOUR, "abc", set(), 0, REMOVAL_DELAY_NS) == shrunk
    assert seen(FOUR, "abc", SPARE, 0, SILENCE_THRESHOLD_NS).joining == "x"  # a machine that waits goes first


def test_a_set_keeps_as_many_members_as_it_needs() -> None:
    assert seen(THREE, "ab", set(), 0, 10 * REMOVAL_DELAY_NS) is None
    needed = MembershipPolicy(min_members=4)
    needed.next_member_set(FOUR, "abc", set(), 0)
    assert needed.next_member_set(FOUR, "abc", set(), REMOVAL_DELAY_NS) is None


def test_nothing_else_changes_while_a_set_shrinks() -> None:
    shrinking = MembersValue(2, ("a", "b", "c", "d"), leaving="e")
    assert seen(shrinking, "abc", {"x", "y"}, 0, 10 * REMOVAL_DELAY_NS) is None
