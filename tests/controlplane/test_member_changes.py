"""Tests of member set changes among register hosts in one process."""

from __future__ import annotations

import pytest

from iristrack.controlplane import changes, member_changes
from iristrack.controlplane.member_changes import MemberChanges
from iristrack.register import (
    Committed,
    Overtaken,
    Rejected,
    Unavailable,
    change_members,
    membership_policy,
    removed,
    replaced,
    settled,
)
from iristrack.relay import topics
from iristrack.runtime.scheduler import clock
from iristrack.wire.messages import FOUNDED, MembersValue
from iristrack.wire.values import decode_value
from tests.controlplane.calls import Log
from tests.controlplane.test_operator_api import MEMBERS, Core

TIMEOUT_NS = 5_000_000_000
SHORT_TIMEOUT_NS = 400_000_000
FIRST = MembersValue(FOUNDED, MEMBERS)


def read(core: Core, name: str, key: str = topics.CONFIGURATION, timeout_ns: int = TIMEOUT_NS):
    return core.hosts[name].change(key, changes.unchanged, clock() + timeout_ns)


def test_a_message_to_itself_from_before_a_member_set_change_is_harmless() -> None:
    core = Core()
    host = core.hosts[MEMBERS[0]]
    newer = settled(FIRST)
    results = []
    core.run(
        lambda: results.append(read(core, MEMBERS[0])),
        lambda: host.follow(newer, False, lambda: None),
    )
    assert core.failures == []
    assert isinstance(results[0], Committed)
    assert all(
        other.member_set == newer for other in core.hosts.values()
    )  # members that answer are sent the newer set


def test_one_of_two_concurrent_member_set_changes_is_committed() -> None:
    core = Core()
    proposals = [replaced(FIRST, MEMBERS[2], "x"), replaced(FIRST, MEMBERS[1], "y")]
    results = []

    def propose(name: str, proposed: MembersValue) -> None:
        change = change_members(FIRST, proposed)
        results.append(core.hosts[name].change(topics.MEMBER_SET, change, clock() + TIMEOUT_NS))

    core.run(lambda: propose(MEMBERS[0], proposals[0]), lambda: propose(MEMBERS[0], proposals[1]))
    committed = {decode_value(result.value, MembersValue) for result in results}
    assert len(committed) == 1 and committed < set(proposals)
    assert sum(isinstance(result, Committed) for result in results) == 1
    assert sum(isinstance(result, Rejected | Overtaken) for result in results) == 1


def test_a_replaced_member_stops_voting_and_can_still_propose() -> None:
    core = Core()
    replaced_host = core.hosts[MEMBERS[2]]
    next_set = settled(replaced(FIRST, MEMBERS[2], "x"))  # x never answers; the two others are a majority
    for host in core.hosts.values():
        host.follow(next_set, False, lambda: None)
    assert not replaced_host.voting
    assert not replaced_host.is_member
    core.isolated = {"x"}
    results = []
    core.run(lambda: results.append(read(core, MEMBERS[2])))
    assert isinstance(results[0], Committed)


def test_members_of_an_older_set_are_no_majority_of_the_newer_one() -> None:
    core = Core()
    first, second, _ = core.hosts.values()
    second.follow(settled(replaced(FIRST, MEMBERS[0], "x")), False, lambda: None)
    core.isolated = {MEMBERS[2], "x"}
    results = []
    core.run(lambda: results.append(read(core, MEMBERS[0], timeout_ns=SHORT_TIMEOUT_NS)))
    assert results == [Unavailable(in_doubt=False)]
    assert not first.voting


# ---- proposals and handover

SPARE = "core:9"
DISK = "spare-disk"


def make_member_changes(
    core: Core, name: str, connected: list[str], waiting: dict[str, str]
) -> MemberChanges:
    host = core.hosts[name]

    def publish(new_set: MembersValue) -> None:
        for other in core.hosts.values():
            other.follow(new_set, False, lambda: None)

    in_quorum = len(connected) >= len(MEMBERS) // 2 + 1
    return MemberChanges(
        core.scheduler, host, lambda: connected, lambda: waiting, lambda: in_quorum, publish, Log()
    )


def wait_for(core: Core, condition) -> None:
    while not condition():
        core.scheduler.call_at(clock(), core.scheduler.current.wake)
        core.scheduler.wait(-1, 0, None)


def test_the_next_member_proposes_if_the_first_does_not(monkeypatch) -> None:
    """The first one is connected and does nothing: frozen, slow, or partitioned in a way that the others cannot see."""
    monkeypatch.setattr(member_changes, "TICK_NS", 1_000_000)
    monkeypatch.setattr(member_changes, "TAKEOVER_DELAY_NS", 5_000_000)
    monkeypatch.setattr(membership_policy, "SILENCE_THRESHOLD_NS", 1_000_000)
    monkeypatch.setattr(membership_policy, "REPLACEMENT_DELAY_NS", 1_000_000)
    core = Core()
    first, second, silent = MEMBERS
    make_member_changes(core, second, [first, second], {SPARE: DISK})
    core.run(lambda: wait_for(core, lambda: core.hosts[second].member_set.joining == SPARE))
    assert core.hosts[first].member_set == replaced(FIRST, silent, SPARE, DISK)


def test_a_leaving_member_hands_its_place_over_and_ends_when_the_newcomer_votes() -> None:
    core = Core()
    leaving, second, _ = MEMBERS
    ended = []
    leaving_changes = make_member_changes(core, leaving, list(MEMBERS), {SPARE: DISK})

    def leave() -> None:
        leaving_changes.hand_over(clock() + TIMEOUT_NS, lambda: ended.append(core.hosts[leaving].member_set))
        wait_for(core, lambda: core.hosts[second].member_set.joining == SPARE)
        assert ended == []  # it keeps running while the newcomer recovers
        voting = settled(core.hosts[second].member_set)
        for host in core.hosts.values():
            host.follow(voting, False, lambda: None)
        wait_for(core, lambda: ended)

    core.run(leave)
    assert core.failures == []
    assert ended == [settled(replaced(FIRST, leaving, SPARE))]
    assert not core.hosts[leaving].voting


@pytest.mark.parametrize(
    ("connected", "waiting"),
    [(list(MEMBERS), {}), (list(MEMBERS[:1]), {SPARE: DISK})],
    ids=["no machine waits", "no quorum to recover from"],
)
def test_a_member_that_cannot_hand_over_ends_at_once(connected, waiting) -> None:
    core = Core()
    ended = []
    leaving_changes = make_member_changes(core, MEMBERS[0], connected, waiting)

    def leave() -> None:
        leaving_changes.hand_over(clock() + TIMEOUT_NS, lambda: ended.append(True))
        wait_for(core, lambda: ended)

    core.run(leave)
    assert core.hosts[MEMBERS[0]].member_set == FIRST
    assert core.hosts[MEMBERS[0]].voting


def test_a_handover_without_answers_ends_at_its_deadline() -> None:
    core = Core()
    ended = []
    leaving_changes = make_member_changes(core, MEMBERS[0], list(MEMBERS), {SPARE: DISK})
    core.isolated = set(MEMBERS[1:])

    def leave() -> None:
        leaving_changes.hand_over(clock() + SHORT_TIMEOUT_NS, lambda: ended.append(True))
        wait_for(core, lambda: ended)

    core.run(leave)
    assert core.hosts[MEMBERS[0]].member_set == FIRST


# ---- a set that shrinks

FOUR_MEMBERS = (*MEMBERS, "core:8")


def shrinking_core(monkeypatch) -> tuple[Core, MembersValue]:
    """Return a core of four members that hold a value, of which the last is removed, and the shrinking set."""
    monkeypatch.setattr(member_changes, "TICK_NS", 1_000_000)
    monkeypatch.setattr(member_changes, "TAKEOVER_DELAY_NS", 5_000_000)
    core = Core(FOUR_MEMBERS)
    first = FOUR_MEMBERS[0]
    four = MembersValue(FOUNDED, FOUR_MEMBERS)
    shrinking = removed(four, FOUR_MEMBERS[3])
    written = []

    def write() -> None:
        host, until = core.hosts[first], clock() + TIMEOUT_NS
        written.append(host.change(topics.CONFIGURATION, lambda value: VALUE, until))
        written.append(host.change(topics.MEMBER_SET, change_members(four, shrinking), until))

    core.isolated = {MEMBERS[2]}  # lacks the value: the quorum is the first two and the removed one
    core.run(write)
    assert all(isinstance(result, Committed) for result in written)
    core.isolated = {FOUR_MEMBERS[3]}
    for host in core.hosts.values():
        host.follow(shrinking, False, lambda: None)
    return core, shrinking


VALUE = b"chosen by two members and the one that goes"


@pytest.mark.parametrize("turn", [0, 1], ids=["the first", "the second, where the first does nothing"])
def test_the_registers_are_rewritten_before_a_smaller_set_is_settled(monkeypatch, turn: int) -> None:
    core, shrinking = shrinking_core(monkeypatch)
    name = MEMBERS[turn]
    make_member_changes(core, name, list(MEMBERS), {})
    core.run(lambda: wait_for(core, lambda: core.hosts[name].member_set == settled(shrinking)))
    for name in MEMBERS[:2]:
        assert core.hosts[name].acceptor.state(topics.CONFIGURATION).value == VALUE
    assert core.failures == []


def test_a_smaller_set_is_not_settled_while_no_quorum_of_it_answers(monkeypatch) -> None:
    core, shrinking = shrinking_core(monkeypatch)
    core.isolated = set(FOUR_MEMBERS[1:])
    assert core.hosts[MEMBERS[0]].member_set == shrinking
    results = []
    core.run(lambda: results.append(core.hosts[MEMBERS[0]].rewrite_registers(shrinking, SHORT_TIMEOUT_NS)))
    assert results == [False]
