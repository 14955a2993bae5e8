"""Changes of the member set among hosts of the register in one process."""

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

PATIENCE_NS = 5_000_000_000
SHORT_NS = 400_000_000
FIRST = MembersValue(FOUNDED, MEMBERS)


def read(core: Core, name: str, key: str = topics.CONFIGURATION, patience_ns: int = PATIENCE_NS):
    return core.hosts[name].change(key, changes.unchanged, clock() + patience_ns)


def test_a_message_to_itself_from_before_a_change_of_the_set_does_no_harm() -> None:
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
    assert all(other.member_set == newer for other in core.hosts.values())  # who answers is told


def test_a_change_of_the_set_is_one_whoever_proposes_it() -> None:
    core = Core()
    proposals = [replaced(FIRST, MEMBERS[2], "x"), replaced(FIRST, MEMBERS[1], "y")]
    results = []

    def propose(name: str, proposed: MembersValue) -> None:
        change = change_members(FIRST, proposed)
        results.append(core.hosts[name].change(topics.MEMBER_SET, change, clock() + PATIENCE_NS))

    core.run(lambda: propose(MEMBERS[0], proposals[0]), lambda: propose(MEMBERS[0], proposals[1]))
    told = {decode_value(result.value, MembersValue) for result in results}
    assert len(told) == 1 and told < set(proposals)
    assert sum(isinstance(result, Committed) for result in results) == 1
    assert sum(isinstance(result, Rejected | Overtaken) for result in results) == 1


def test_a_replaced_member_votes_no_more_and_still_proposes() -> None:
    core = Core()
    out = core.hosts[MEMBERS[2]]
    without = settled(replaced(FIRST, MEMBERS[2], "x"))  # x is never there: the two others are a majority
    for host in core.hosts.values():
        host.follow(without, False, lambda: None)
    assert not out.voting
    assert not out.is_member
    core.cut = {"x"}
    results = []
    core.run(lambda: results.append(read(core, MEMBERS[2])))
    assert isinstance(results[0], Committed)


def test_members_of_an_older_set_are_no_majority_of_the_newer_one() -> None:
    core = Core()
    first, second, _ = core.hosts.values()
    second.follow(settled(replaced(FIRST, MEMBERS[0], "x")), False, lambda: None)
    core.cut = {MEMBERS[2], "x"}
    results = []
    core.run(lambda: results.append(read(core, MEMBERS[0], patience_ns=SHORT_NS)))
    assert results == [Unavailable(in_doubt=False)]
    assert not first.voting


# ---- who proposes, and who leaves

SPARE = "core:9"
DISK = "spare-disk"


def changing(core: Core, name: str, connected: list[str], waiting: dict[str, str]) -> MemberChanges:
    host = core.hosts[name]

    def publish(told: MembersValue) -> None:
        for other in core.hosts.values():
            other.follow(told, False, lambda: None)

    in_quorum = len(connected) >= len(MEMBERS) // 2 + 1
    return MemberChanges(
        core.scheduler, host, lambda: connected, lambda: waiting, lambda: in_quorum, publish, Log()
    )


def wait_for(core: Core, condition) -> None:
    while not condition():
        core.scheduler.call_at(clock(), core.scheduler.current.wake)
        core.scheduler.wait(-1, 0, None)


def test_the_next_member_proposes_what_the_first_does_not(monkeypatch) -> None:
    """The first one is connected and does nothing: frozen, slow, or cut off in a way that the others cannot see."""
    monkeypatch.setattr(member_changes, "TICK_NS", 1_000_000)
    monkeypatch.setattr(member_changes, "TAKEOVER_DELAY_NS", 5_000_000)
    monkeypatch.setattr(membership_policy, "SILENCE_THRESHOLD_NS", 1_000_000)
    monkeypatch.setattr(membership_policy, "REPLACEMENT_DELAY_NS", 1_000_000)
    core = Core()
    first, second, silent = MEMBERS
    changing(core, second, [first, second], {SPARE: DISK})
    core.run(lambda: wait_for(core, lambda: core.hosts[second].member_set.joining == SPARE))
    assert core.hosts[first].member_set == replaced(FIRST, silent, SPARE, DISK)


def test_a_member_that_leaves_hands_its_place_over_and_ends_when_the_newcomer_votes() -> None:
    core = Core()
    leaving, second, _ = MEMBERS
    ended = []
    changes_here = changing(core, leaving, list(MEMBERS), {SPARE: DISK})

    def leave() -> None:
        changes_here.hand_over(clock() + PATIENCE_NS, lambda: ended.append(core.hosts[leaving].member_set))
        wait_for(core, lambda: core.hosts[second].member_set.joining == SPARE)
        assert ended == []  # it is there while the newcomer recovers
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
    ids=["nobody waits", "no quorum to recover from"],
)
def test_a_member_that_cannot_hand_over_ends_at_once(connected, waiting) -> None:
    core = Core()
    ended = []
    changes_here = changing(core, MEMBERS[0], connected, waiting)

    def leave() -> None:
        changes_here.hand_over(clock() + PATIENCE_NS, lambda: ended.append(True))
        wait_for(core, lambda: ended)

    core.run(leave)
    assert core.hosts[MEMBERS[0]].member_set == FIRST
    assert core.hosts[MEMBERS[0]].voting


def test_a_handing_over_that_nobody_answers_ends_in_time() -> None:
    core = Core()
    ended = []
    changes_here = changing(core, MEMBERS[0], list(MEMBERS), {SPARE: DISK})
    core.cut = set(MEMBERS[1:])

    def leave() -> None:
        changes_here.hand_over(clock() + SHORT_NS, lambda: ended.append(True))
        wait_for(core, lambda: ended)

    core.run(leave)
    assert core.hosts[MEMBERS[0]].member_set == FIRST


# ---- a set that shrinks

FOUR_MEMBERS = (*MEMBERS, "core:8")


def shrinking_core(monkeypatch) -> tuple[Core, MembersValue]:
    """Four members that hold a value, of which the last is taken out."""
    monkeypatch.setattr(member_changes, "TICK_NS", 1_000_000)
    monkeypatch.setattr(member_changes, "TAKEOVER_DELAY_NS", 5_000_000)
    core = Core(FOUR_MEMBERS)
    first = FOUR_MEMBERS[0]
    four = MembersValue(FOUNDED, FOUR_MEMBERS)
    shrinking = removed(four, FOUR_MEMBERS[3])
    written = []

    def write() -> None:
        host, until = core.hosts[first], clock() + PATIENCE_NS
        written.append(host.change(topics.CONFIGURATION, lambda value: VALUE, until))
        written.append(host.change(topics.MEMBER_SET, change_members(four, shrinking), until))

    core.cut = {MEMBERS[2]}  # holds nothing of it: the quorum is the first two and the one that goes
    core.run(write)
    assert all(isinstance(result, Committed) for result in written)
    core.cut = {FOUR_MEMBERS[3]}
    for host in core.hosts.values():
        host.follow(shrinking, False, lambda: None)
    return core, shrinking


VALUE = b"chosen by two members and the one that goes"


@pytest.mark.parametrize("turn", [0, 1], ids=["the first", "the second, where the first does nothing"])
def test_the_registers_are_written_again_before_a_smaller_set_is_settled(monkeypatch, turn: int) -> None:
    core, shrinking = shrinking_core(monkeypatch)
    name = MEMBERS[turn]
    changing(core, name, list(MEMBERS), {})
    core.run(lambda: wait_for(core, lambda: core.hosts[name].member_set == settled(shrinking)))
    for name in MEMBERS[:2]:
        assert core.hosts[name].acceptor.state(topics.CONFIGURATION).value == VALUE
    assert core.failures == []


def test_a_smaller_set_is_not_settled_while_no_quorum_of_it_answers(monkeypatch) -> None:
    core, shrinking = shrinking_core(monkeypatch)
    core.cut = set(FOUR_MEMBERS[1:])
    assert core.hosts[MEMBERS[0]].member_set == shrinking
    results = []
    core.run(lambda: results.append(core.hosts[MEMBERS[0]].rewrite_registers(shrinking, SHORT_NS)))
    assert results == [False]
