from __future__ import annotations

import random

import pytest

from iristrack.register import (
    Acceptor,
    Committed,
    Finished,
    MemberSetError,
    Proposer,
    ProposerIdentity,
    Recovery,
    Refuse,
    RegisterState,
    SendTo,
    Unchanged,
    added,
    change_members,
    is_shrinking,
    removed,
    replaced,
    settled,
)
from iristrack.register.member_set import MAX_MEMBERS, SET_DIFFERS
from iristrack.simulation.register import Scenario, run_seed, with_member_changes
from iristrack.wire.messages import FOUNDED, NO_BALLOT, Accept, Ballot, MembersValue, Prepare, Promise
from iristrack.wire.values import decode_value, encode_value

KEY = "config"
FIRST = MembersValue(FOUNDED, ("a", "b", "c"))


def test_a_member_is_replaced_and_joins_until_the_set_is_settled() -> None:
    joining = replaced(FIRST, "b", "d")
    assert joining == MembersValue(2, ("a", "c", "d"), "d", "b")
    assert settled(joining) == MembersValue(3, ("a", "c", "d"))


def test_only_the_joining_member_may_be_replaced() -> None:
    joining = replaced(FIRST, "b", "d")
    assert replaced(joining, "d", "e") == MembersValue(3, ("a", "c", "e"), "e", "d")
    for change in (lambda: replaced(joining, "a", "e"), lambda: added(joining, "e")):
        with pytest.raises(MemberSetError):
            change()


def test_after_a_removal_nothing_changes_until_the_registers_are_rewritten() -> None:
    four = settled(added(FIRST, "d"))
    shrinking = removed(four, "b")
    assert shrinking == MembersValue(4, ("a", "c", "d"), leaving="b")
    assert is_shrinking(shrinking)
    assert not is_shrinking(replaced(four, "b", "e"))
    assert settled(shrinking) == MembersValue(5, ("a", "c", "d"))
    for change in (
        lambda: removed(shrinking, "a"),
        lambda: added(shrinking, "e"),
        lambda: replaced(shrinking, "a", "e"),
        lambda: removed(added(FIRST, "d"), "b"),
        lambda: removed(four, "z"),
        lambda: removed(FIRST, "a"),
    ):
        with pytest.raises(MemberSetError):
            change()


@pytest.mark.parametrize(("old", "new"), [("z", "d"), ("a", "b"), ("a", "a")])
def test_only_members_are_replaced_and_only_by_non_members(old: str, new: str) -> None:
    with pytest.raises(MemberSetError):
        replaced(FIRST, old, new)


def test_a_set_has_a_maximum_size() -> None:
    members = FIRST
    for index in range(MAX_MEMBERS - 3):
        members = settled(added(members, f"more{index}"))
    assert len(members.members) == MAX_MEMBERS
    with pytest.raises(MemberSetError):
        added(members, "one-more")
    with pytest.raises(MemberSetError):
        added(FIRST, "a")


def test_a_set_is_changed_only_at_the_expected_sequence() -> None:
    second = replaced(FIRST, "a", "d")
    change = change_members(FIRST, second)
    assert decode_value(change(b""), MembersValue) == second
    assert change(encode_value(second)) == Unchanged()
    other = replaced(FIRST, "b", "e")
    assert change(encode_value(other)) == Refuse(SET_DIFFERS)
    assert change_members(second, settled(second))(b"") == Refuse(SET_DIFFERS)


def test_an_acceptor_votes_only_in_its_own_member_set() -> None:
    acceptor = Acceptor("a", "disk", {}, True, keys=("config",), member_sequence=2)
    for sequence in (1, 3):
        for outcome in (
            acceptor.handle_prepare(Prepare(1, "config", Ballot(1, "p"), sequence)),
            acceptor.handle_accept(Accept(2, "config", Ballot(1, "p"), "", b"v", sequence)),
        ):
            assert outcome.record is None
            assert not outcome.reply.granted
            assert outcome.reply.promised == NO_BALLOT
            assert outcome.reply.members == 2
    assert acceptor.handle_prepare(Prepare(3, "config", Ballot(1, "p"), 2)).reply.granted


def test_a_proposer_restarts_with_a_newer_set_but_not_with_an_older_one() -> None:
    proposer = Proposer(
        ProposerIdentity("p"), "config", FIRST, lambda _: Unchanged(), random.Random(1), 10**12
    )
    proposer.start(0)
    second = replaced(FIRST, "a", "d")
    sent = [effect for effect in proposer.use(second, 1) if isinstance(effect, SendTo)]
    assert {send.member for send in sent} == {"b", "c", "d"}
    assert {send.message.members for send in sent} == {2}
    assert proposer.use(FIRST, 2) == []


def test_a_promise_under_another_set_does_not_count() -> None:
    """A version without member sets promises any ballot and reports no sequence."""
    members = settled(FIRST)
    identity = ProposerIdentity("p")
    identity.incarnations = dict.fromkeys(members.members, "disk")
    proposer = Proposer(identity, "config", members, lambda _: Unchanged(), random.Random(1), 10**12)
    prepare = next(effect.message for effect in proposer.start(0) if isinstance(effect, SendTo))
    for acceptor in members.members:
        granted = Promise(
            prepare.call, "config", acceptor, "disk", True, prepare.ballot, NO_BALLOT, b"", FOUNDED
        )
        assert proposer.handle(granted, 1) == []
    assert proposer.result is None


def test_a_joining_member_of_two_recovers_from_the_other_one() -> None:
    members = added(MembersValue(FOUNDED, ("a",)), "b")
    other = Acceptor("a", "disk", {}, True, keys=("config",), member_sequence=members.sequence)
    recovery = Recovery("b", ProposerIdentity("b-new"), members, ("config",), random.Random(1))
    waiting = recovery.start(0)
    finished = []
    while waiting:
        effect = waiting.pop(0)
        if isinstance(effect, SendTo):
            waiting.extend(recovery.handle(other.handle_prepare(effect.message).reply, 1))
        elif isinstance(effect, Finished):
            finished.append(effect)
    assert len(finished) == 1


class Round:
    """Members of one set, including the replaced one, that reply immediately."""

    def __init__(self, members: MembersValue) -> None:
        self.members = members
        states = {KEY: RegisterState(Ballot(1, "p"), Ballot(1, "p"), b"old")}
        names = (*members.members, members.leaving)
        self.acceptors = {
            name: Acceptor(name, f"{name}-disk", states, True, keys=(KEY,), member_sequence=members.sequence)
            for name in names
        }
        self.acceptors[members.leaving].serve_successor(members.sequence, members.joining_disk)
        del self.acceptors[members.joining]

    def carry(self, decider: Recovery | Proposer, reachable: set[str]):
        """Deliver messages to the reachable members; return the result, or None if others are needed."""
        waiting = list(decider.start(0))
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, Finished):
                return effect.result
            if isinstance(effect, SendTo) and effect.member in reachable & self.acceptors.keys():
                core = self.acceptors[effect.member]
                is_prepare = isinstance(effect.message, Prepare)
                handle = core.handle_prepare if is_prepare else core.handle_accept
                waiting.extend(decider.handle(handle(effect.message).reply, 1))
        return None

    def recover(self, process: str, reachable: set[str], disk: str | None = None) -> bool:
        """Recover the joining member from the reachable members and let it vote; false if they are too few.

        Each process has its own disk, unless `disk` names it.
        """
        name = self.members.joining
        identity = ProposerIdentity(f"{name}/{process}")
        recovery = Recovery(name, identity, self.members, (KEY,), random.Random(1), disk=disk or process)
        recovered = self.carry(recovery, reachable)
        if recovered is None:
            return False
        states = {r.key: RegisterState(r.promised, r.accepted, r.value) for r in recovered.records}
        sequence = self.members.sequence
        self.acceptors[name] = Acceptor(name, process, states, True, keys=(KEY,), member_sequence=sequence)
        return True

    def change(self, new_value: bytes, reachable: set[str]) -> object:
        identity = ProposerIdentity(f"p-{new_value.decode()}")
        identity.observe(KEY, Ballot(20, "p"))  # above all promised ballots
        identity.incarnations.update({name: core.incarnation for name, core in self.acceptors.items()})
        return self.carry(
            Proposer(identity, KEY, self.members, lambda value: new_value, random.Random(1), 10**12),
            reachable,
        )


def test_a_joining_member_that_lost_the_disk_it_voted_on_does_not_read_from_the_one_it_replaced() -> None:
    group = Round(replaced(FIRST, "a", "d", "first"))
    assert group.recover("first", {"a", "c"})
    assert isinstance(group.change(b"new", {"b", "d"}), Committed)
    del group.acceptors["d"]
    assert not group.recover("second", {"a", "c"})
    assert group.recover("third", {"a", "b", "c"})
    assert group.acceptors["d"].state(KEY).value == b"new"


def test_a_joining_member_that_voted_without_the_one_it_replaced_does_not_read_from_it_later() -> None:
    """The first process recovers while disconnected from the leaving member, which therefore has not served it."""
    group = Round(replaced(FIRST, "a", "d", "first"))
    assert group.recover("first", {"b", "c"})
    assert isinstance(group.change(b"new", {"b", "d"}), Committed)
    del group.acceptors["d"]
    assert not group.recover("second", {"a", "c"})


def test_a_joining_member_restarted_before_it_voted_reads_again_from_the_one_it_replaces() -> None:
    group = Round(replaced(FIRST, "a", "d", "its-disk"))
    assert not group.recover("first", {"a"}, "its-disk")
    assert group.recover("second", {"a", "c"}, "its-disk")
    assert group.acceptors["d"].state(KEY).value == b"old"


def test_a_joining_member_whose_disk_is_not_named_reads_only_from_the_others() -> None:
    group = Round(replaced(FIRST, "a", "d"))
    assert not group.recover("first", {"a", "c"})
    assert group.recover("first", {"a", "b", "c"})


def test_sets_change_and_settle_in_the_simulation() -> None:
    figures = run_seed(with_member_changes(Scenario(), 3), 0).figures
    assert figures["sets_changed"] > 0
    assert figures["sets_settled"] > 0
