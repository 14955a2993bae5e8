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


def proposal_after(members: MembersValue, connected, reporting, *times: int) -> MembersValue | None:
    """Return the proposal at the last of the times, after the same observation at each of them."""
    policy = MembershipPolicy()
    proposed = None
    for now in times:
        proposed = policy.next_member_set(members, connected, reporting, now)
    return proposed


def test_a_machine_replaces_a_member_that_has_been_silent_long_enough() -> None:
    assert proposal_after(THREE, "ab", SPARE, 0, SILENCE_THRESHOLD_NS - 1) is None
    assert proposal_after(THREE, "ab", SPARE, 0, SILENCE_THRESHOLD_NS) == MembersValue(
        2, ("a", "b", "x"), "x", "c"
    )


def test_a_machine_that_has_just_appeared_replaces_no_member_yet() -> None:
    policy = MembershipPolicy()
    policy.next_member_set(THREE, "ab", set(), 0)
    assert policy.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS) is None
    assert policy.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS + REPLACEMENT_DELAY_NS - 1) is None
    assert (
        policy.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS + REPLACEMENT_DELAY_NS).joining == "x"
    )


def test_the_silence_of_a_member_restarts_after_it_reconnects() -> None:
    policy = MembershipPolicy()
    policy.next_member_set(THREE, "ab", SPARE, 0)
    policy.next_member_set(THREE, "abc", SPARE, SILENCE_THRESHOLD_NS // 2)
    policy.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS)
    assert (
        policy.next_member_set(THREE, "ab", SPARE, SILENCE_THRESHOLD_NS + SILENCE_THRESHOLD_NS // 2) is None
    )


def test_the_member_silent_longest_is_replaced_first() -> None:
    five = MembersValue(FOUNDED, ("a", "b", "c", "d", "e"))
    policy = MembershipPolicy()
    policy.next_member_set(five, "abcd", SPARE, 0)
    policy.next_member_set(five, "abc", SPARE, 1)
    assert policy.next_member_set(five, "abc", SPARE, SILENCE_THRESHOLD_NS + 1).members == (
        "a",
        "b",
        "c",
        "d",
        "x",
    )


def test_without_a_majority_nothing_is_proposed_and_no_silence_is_counted() -> None:
    policy = MembershipPolicy()
    for now in range(0, 10 * SILENCE_THRESHOLD_NS, SILENCE_THRESHOLD_NS):
        assert policy.next_member_set(THREE, "a", SPARE, now) is None
    last = (
        9 * SILENCE_THRESHOLD_NS
    )  # c counts as silent from here: until then this member itself may have been disconnected
    assert policy.next_member_set(THREE, "ab", SPARE, last + SILENCE_THRESHOLD_NS - 1) is None
    assert policy.next_member_set(THREE, "ab", SPARE, last + SILENCE_THRESHOLD_NS) is not None


def test_nothing_changes_while_a_member_joins_unless_it_is_silent_itself() -> None:
    joining = MembersValue(2, ("a", "b", "x"), "x")
    assert proposal_after(joining, "ax", {"y"}, 0, 10 * SILENCE_THRESHOLD_NS) is None
    assert proposal_after(joining, "ab", {"y"}, 0, SILENCE_THRESHOLD_NS) == MembersValue(
        3, ("a", "b", "y"), "y", "x"
    )
    assert proposal_after(joining, "abx", {"y", "z"}, 0, 10 * ADDITION_DELAY_NS) is None


def test_a_machine_is_added_only_if_the_set_becomes_odd() -> None:
    assert proposal_after(THREE, "abc", SPARE, 0, 10 * ADDITION_DELAY_NS) is None
    assert proposal_after(FOUR, "abcd", SPARE, 0, ADDITION_DELAY_NS - 1) is None
    assert proposal_after(FOUR, "abcd", SPARE, 0, ADDITION_DELAY_NS) == MembersValue(
        2, ("a", "b", "c", "d", "x"), "x"
    )
    assert proposal_after(THREE, "abc", {"x", "y"}, 0, ADDITION_DELAY_NS) == MembersValue(
        2, ("a", "b", "c", "x"), "x"
    )


def test_the_set_does_not_grow_over_its_bound() -> None:
    most = MembersValue(FOUNDED, tuple(f"m{index}" for index in range(MAX_MEMBERS)))
    assert proposal_after(most, most.members, {"x", "y"}, 0, 10 * ADDITION_DELAY_NS) is None
    silent = proposal_after(most, most.members[1:], {"x"}, 0, SILENCE_THRESHOLD_NS)
    assert silent is not None and len(silent.members) == MAX_MEMBERS


def test_waiting_machines_enlarge_the_set_quickly_only_during_the_founding() -> None:
    """After two planned replacements at once, a set enlarged by both would tolerate one loss less."""
    five = MembersValue(FOUNDED, ("a", "b", "c", "d", "e"))
    later, founding = MembershipPolicy(), MembershipPolicy()
    for now in (0, LATE_FOUNDER_DELAY_NS, ADDITION_DELAY_NS - 1):
        assert later.next_member_set(five, "abcde", {"x", "y"}, now) is None
    assert later.next_member_set(five, "abcde", {"x", "y"}, ADDITION_DELAY_NS).joining == "x"
    founding.next_member_set(five, "abcde", {"x", "y"}, 0, LATE_FOUNDER_DELAY_NS)
    grown = founding.next_member_set(five, "abcde", {"x", "y"}, LATE_FOUNDER_DELAY_NS, LATE_FOUNDER_DELAY_NS)
    assert len(grown.members) == 6


def test_a_member_silent_for_minutes_is_removed_from_a_set_larger_than_needed() -> None:
    shrunk = MembersValue(2, ("a", "b", "c"), leaving="d")
    assert proposal_after(FOUR, "abc", set(), 0, REMOVAL_DELAY_NS - 1) is None
    assert proposal_after(FOUR, "abc", set(), 0, REMOVAL_DELAY_NS) == shrunk
    assert (
        proposal_after(FOUR, "abc", SPARE, 0, SILENCE_THRESHOLD_NS).joining == "x"
    )  # a waiting machine takes precedence


def test_a_set_keeps_as_many_members_as_it_needs() -> None:
    assert proposal_after(THREE, "ab", set(), 0, 10 * REMOVAL_DELAY_NS) is None
    needed = MembershipPolicy(min_members=4)
    needed.next_member_set(FOUR, "abc", set(), 0)
    assert needed.next_member_set(FOUR, "abc", set(), REMOVAL_DELAY_NS) is None


def test_nothing_else_changes_while_a_set_shrinks() -> None:
    shrinking = MembersValue(2, ("a", "b", "c", "d"), leaving="e")
    assert proposal_after(shrinking, "abc", {"x", "y"}, 0, 10 * REMOVAL_DELAY_NS) is None
