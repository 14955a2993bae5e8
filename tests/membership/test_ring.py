from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.membership.ring import HashRing, watchers

from .members import member

REGION = {"a": "r", "b": "r", "c": "s", "d": "t"}


def fleet(zones: str) -> list:
    return [member(f"n{index}", zone, REGION[zone]) for index, zone in enumerate(zones)]


fleets = st.text("abcd", min_size=1, max_size=40).map(fleet)


@given(fleets, st.integers(1, 6))
def test_as_many_watchers_as_there_are_others_and_one_outside_the_zone(members: list, count: int) -> None:
    ring = HashRing(members, count)
    zones = {m.zone for m in members}
    for one in members:
        found = ring.watchers(one.node)
        assert len({m.node for m in found} - {one.node}) == len(found)
        if len(found) < count:
            assert len(found) == len(members) - 1
        outside = [m for m in found if m.zone != one.zone]
        assert outside or len(zones) == 1
        near = sum(m.zone == one.zone for m in members) - 1
        assert len(found) - len(outside) >= min(near, count - max(1, count // 2))


@given(fleets, st.integers(1, 6))
def test_each_knows_whom_it_watches(members: list, count: int) -> None:
    ring = HashRing(members, count)
    for one in members:
        expected = {m.node for m in members if one in ring.watchers(m.node)}
        watched = [m.node for m in ring.watched_by(one.node)]
        assert len(watched) == len(set(watched))
        assert set(watched) == expected


@given(fleets, st.integers(1, 6), st.data())
def test_a_loss_changes_the_watchers_of_those_only_whom_it_watched(members: list, count: int, data) -> None:
    gone = data.draw(st.sampled_from(members))
    left = [m for m in members if m is not gone]
    before, after = HashRing(members, count), HashRing(left, count)
    for one in left:
        if gone not in before.watchers(one.node):
            assert set(after.watchers(one.node)) == set(before.watchers(one.node))
        else:
            kept = set(before.watchers(one.node)) - {gone}
            assert len(kept & set(after.watchers(one.node))) >= len(kept) - 1


def test_the_outer_watchers_stand_in_regions_of_their_own() -> None:
    ring = HashRing(fleet("abcd" * 10))
    for one in ring.members.values():
        outside = [m for m in ring.watchers(one.node) if m.zone != one.zone]
        assert len({m.region for m in outside} - {one.region}) == 2


def test_no_member_watches_far_more_than_the_others() -> None:
    ring = HashRing([member(f"n{index}", f"z{index % 7}", f"r{index % 3}") for index in range(400)])
    assert max(len(ring.watched_by(node)) for node in ring.members) <= 6 * ring.count


def test_one_alone_or_unknown_has_no_watchers() -> None:
    assert watchers("n0", 3, fleet("a")) == ()
    assert watchers("stranger", 3, fleet("ab")) == ()
    assert HashRing(()).watched_by("n0") == ()
