from __future__ import annotations

from iristrack.register.member_set import MOST_MEMBERS
from iristrack.register.succession import (
    ADDED_NS,
    LATE_FOUNDER_NS,
    REMOVED_NS,
    REPORTED_NS,
    SILENT_NS,
    Succession,
)
from iristrack.wire.messages import FOUNDED, MembersValue

THREE = MembersValue(FOUNDED, ("a", "b", "c"))
FOUR = MembersValue(FOUNDED, ("a", "b", "c", "d"))
SPARE = {"x"}


def seen(members: MembersValue, connected, reporting, *times: int) -> MembersValue | None:
    """What is proposed at the last of the times, after the same was seen at all of them."""
    succession = Succession()
    proposed = None
    for now in times:
        proposed = succession.next_set(members, connected, reporting, now)
    return proposed


def test_a_machine_takes_the_place_of_a_member_that_is_silent_for_long() -> None:
    assert seen(THREE, "ab", SPARE, 0, SILENT_NS - 1) is None
    assert seen(THREE, "ab", SPARE, 0, SILENT_NS) == MembersValue(2, ("a", "b", "x"), "x", "c")


def test_a_machine_that_has_just_appeared_waits() -> None:
    succession = Succession()
    succession.next_set(THREE, "ab", set(), 0)
    assert succession.next_set(THREE, "ab", SPARE, SILENT_NS) is None
    assert succession.next_set(THREE, "ab", SPARE, SILENT_NS + REPORTED_NS - 1) is None
    assert succession.next_set(THREE, "ab", SPARE, SILENT_NS + REPORTED_NS).joining == "x"


def test_a_member_that_speaks_again_counts_its_silence_anew() -> None:
    succession = Succession()
    succession.next_set(THREE, "ab", SPARE, 0)
    succession.next_set(THREE, "abc", SPARE, SILENT_NS // 2)
    succession.next_set(THREE, "ab", SPARE, SILENT_NS)
    assert succession.next_set(THREE, "ab", SPARE, SILENT_NS + SILENT_NS // 2) is None


def test_the_longest_silent_member_goes_first() -> None:
    five = MembersValue(FOUNDED, ("a", "b", "c", "d", "e"))
    succession = Succession()
    succession.next_set(five, "abcd", SPARE, 0)
    succession.next_set(five, "abc", SPARE, 1)
    assert succession.next_set(five, "abc", SPARE, SILENT_NS + 1).members == ("a", "b", "c", "d", "x")


def test_who_sees_no_majority_proposes_nothing_and_blames_nobody() -> None:
    succession = Succession()
    for now in range(0, 10 * SILENT_NS, SILENT_NS):
        assert succession.next_set(THREE, "a", SPARE, now) is None
    last = (
        9 * SILENT_NS
    )  # c counts as silent since then: before, it may have been this member that was cut off
    assert succession.next_set(THREE, "ab", SPARE, last + SILENT_NS - 1) is None
    assert succession.next_set(THREE, "ab", SPARE, last + SILENT_NS) is not None


def test_nothing_changes_while_a_member_joins_unless_it_is_silent_itself() -> None:
    joining = MembersValue(2, ("a", "b", "x"), "x")
    assert seen(joining, "ax", {"y"}, 0, 10 * SILENT_NS) is None
    assert seen(joining, "ab", {"y"}, 0, SILENT_NS) == MembersValue(3, ("a", "b", "y"), "y", "x")
    assert seen(joining, "abx", {"y", "z"}, 0, 10 * ADDED_NS) is None


def test_a_machine_is_let_in_beside_all_only_to_an_odd_number() -> None:
    assert seen(THREE, "abc", SPARE, 0, 10 * ADDED_NS) is None
    assert seen(FOUR, "abcd", SPARE, 0, ADDED_NS - 1) is None
    assert seen(FOUR, "abcd", SPARE, 0, ADDED_NS) == MembersValue(2, ("a", "b", "c", "d", "x"), "x")
    assert seen(THREE, "abc", {"x", "y"}, 0, ADDED_NS) == MembersValue(2, ("a", "b", "c", "x"), "x")


def test_the_set_does_not_grow_over_its_bound() -> None:
    most = MembersValue(FOUNDED, tuple(f"m{index}" for index in range(MOST_MEMBERS)))
    assert seen(most, most.members, {"x", "y"}, 0, 10 * ADDED_NS) is None
    silent = seen(most, most.members[1:], {"x"}, 0, SILENT_NS)
    assert silent is not None and len(silent.members) == MOST_MEMBERS


def test_machines_that_wait_for_places_do_not_make_the_set_grow_soon_but_in_the_founding() -> None:
    """Two planned replacements at once: a set that grew by both would bear one loss less when two have left."""
    five = MembersValue(FOUNDED, ("a", "b", "c", "d", "e"))
    later, founding = Succession(), Succession()
    for now in (0, LATE_FOUNDER_NS, ADDED_NS - 1):
        assert later.next_set(five, "abcde", {"x", "y"}, now) is None
    assert later.next_set(five, "abcde", {"x", "y"}, ADDED_NS).joining == "x"
    founding.next_set(five, "abcde", {"x", "y"}, 0, LATE_FOUNDER_NS)
    grown = founding.next_set(five, "abcde", {"x", "y"}, LATE_FOUNDER_NS, LATE_FOUNDER_NS)
    assert len(grown.members) == 6


def test_a_member_that_is_silent_for_minutes_is_taken_out_of_a_set_that_can_spare_it() -> None:
    shrunk = MembersValue(2, ("a", "b", "c"), leaving="d")
    assert seen(FOUR, "abc", set(), 0, REMOVED_NS - 1) is None
    assert seen(FOUR, "abc", set(), 0, REMOVED_NS) == shrunk
    assert seen(FOUR, "abc", SPARE, 0, SILENT_NS).joining == "x"  # a machine that waits goes first


def test_a_set_keeps_as_many_members_as_it_needs() -> None:
    assert seen(THREE, "ab", set(), 0, 10 * REMOVED_NS) is None
    needed = Succession(fewest=4)
    needed.next_set(FOUR, "abc", set(), 0)
    assert needed.next_set(FOUR, "abc", set(), REMOVED_NS) is None


def test_nothing_else_changes_while_a_set_shrinks() -> None:
    shrinking = MembersValue(2, ("a", "b", "c", "d"), leaving="e")
    assert seen(shrinking, "abc", {"x", "y"}, 0, 10 * REMOVED_NS) is None
