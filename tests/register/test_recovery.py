from __future__ import annotations

import itertools
import random

import pytest

from iristrack.register import (
    RECOVERY_KEY,
    Acceptor,
    Committed,
    Effect,
    Finished,
    Proposer,
    ProposerIdentity,
    Recovered,
    Recovery,
    RecoveryRetryPolicy,
    RegisterRecord,
    RegisterState,
    Rejected,
    SendTo,
    SetTimer,
    Unchanged,
)
from iristrack.register.member_set import added, quorum_of
from iristrack.register.recovery import recovery_quorum
from iristrack.wire.messages import FOUNDED, NO_BALLOT, Accept, Ballot, MembersValue, Prepare

from .test_proposer import CompareAndSet, read

KEYS = ("config", "versions")
MEMBERS = ("core0", "core1", "core2")
MEMBER_SET = MembersValue(FOUNDED, MEMBERS)
LOST = "core0"
OLD, NEW = Ballot(3, "p"), Ballot(5, "q")
DEADLINE = 10**12
RETRY_POLICY = RecoveryRetryPolicy(initial_read_timeout_ns=100, max_read_timeout_ns=400, announce_retry_ns=50)


class Group:
    """Acceptors, the first of which has lost its disk; the test delivers each message."""

    def __init__(
        self, members: tuple[str, ...] = MEMBERS, states: dict[str, dict[str, RegisterState]] | None = None
    ):
        self.members = members
        states_by_name = states or {}
        self.acceptors = {
            name: Acceptor(name, f"{name}-disk", states_by_name.get(name, {}), True, keys=KEYS)
            for name in members
        }

    def recovery(self, retry_policy: RecoveryRetryPolicy = RETRY_POLICY) -> Recovery:
        return Recovery(
            LOST,
            ProposerIdentity("core0-new"),
            MembersValue(FOUNDED, self.members),
            KEYS,
            random.Random(1),
            retry_policy,
        )

    def answer(self, send: SendTo):
        core = self.acceptors[send.member]
        if isinstance(send.message, Prepare):
            return core.handle_prepare(send.message).reply
        return core.handle_accept(send.message).reply

    def pump(self, decider: Recovery | Proposer, effects: list[Effect], silent=()) -> list[Effect]:
        waiting, rest = list(effects), []
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, SendTo) and effect.member not in silent:
                waiting.extend(decider.handle(self.answer(effect), 1))
            else:
                rest.append(effect)
        return rest

    def lose_disk(self) -> None:
        self.acceptors[LOST] = Acceptor(LOST, "core0-second-disk", {}, False, keys=KEYS)

    def recover(self) -> None:
        recovery = self.recovery()
        records = records_of(self.pump(recovery, recovery.start(0)))
        states = {
            record.key: RegisterState(record.promised, record.accepted, record.value) for record in records
        }
        self.acceptors[LOST] = Acceptor(LOST, "core0-second-disk", states, True, keys=KEYS)


def records_of(effects: list[Effect]) -> tuple[RegisterRecord, ...]:
    (finished,) = [effect for effect in effects if isinstance(effect, Finished)]
    assert isinstance(finished.result, Recovered)
    return finished.result.records


def by_key(records: tuple[RegisterRecord, ...]) -> dict[str, RegisterRecord]:
    return {record.key: record for record in records}


def sends_of(effects: list[Effect]) -> list[SendTo]:
    return [effect for effect in effects if isinstance(effect, SendTo)]


def timer_of(effects: list[Effect]) -> int:
    return [effect.at_ns for effect in effects if isinstance(effect, SetTimer)][-1]


def test_the_newest_value_is_adopted_under_a_ballot_above_all_promised() -> None:
    group = Group(
        states={
            "core1": {"config": RegisterState(Ballot(9, "z"), OLD, b"old")},
            "core2": {"config": RegisterState(NEW, NEW, b"new")},
        }
    )
    recovery = group.recovery()
    record = by_key(records_of(group.pump(recovery, recovery.start(0))))["config"]
    assert record.value == b"new"
    assert record.promised == record.accepted > Ballot(9, "z")
    for other in ("core1", "core2"):
        assert group.acceptors[other].state("config").promised == record.promised


def test_a_key_never_written_gets_a_promise_only() -> None:
    group = Group()
    recovery = group.recovery()
    records = by_key(records_of(group.pump(recovery, recovery.start(0))))
    assert set(records) == {RECOVERY_KEY, *KEYS}
    for key in KEYS:
        assert records[key].accepted == NO_BALLOT < records[key].promised


def test_three_members_need_both_others() -> None:
    group = Group()
    recovery = group.recovery()
    rest = group.pump(recovery, recovery.start(0), silent=("core2",))
    assert not [effect for effect in rest if isinstance(effect, Finished)]
    rest = group.pump(recovery, recovery.on_timer(timer_of(rest)))
    assert records_of(rest)


def test_recovering_members_including_itself_are_not_counted() -> None:
    group = Group(members=("core0", "core1", "core2", "core3", "core4"))
    for name in ("core0", "core1", "core2"):
        group.acceptors[name].write_failed()
    recovery = group.recovery()
    sent = recovery.start(0)
    assert LOST not in [effect.member for effect in sent if isinstance(effect, SendTo)]
    rest = group.pump(recovery, sent)
    assert all(isinstance(effect, SetTimer) for effect in rest)
    group.acceptors["core2"].voting = True
    assert records_of(group.pump(recovery, recovery.on_timer(timer_of(rest))))


def test_all_keys_are_read_after_the_announcement_was_granted() -> None:
    group = Group()
    recovery = group.recovery()
    announced = [effect for effect in recovery.start(0) if isinstance(effect, SendTo)]
    assert {effect.message.key for effect in announced} == {RECOVERY_KEY}
    assert recovery.handle(group.answer(announced[0]), 1) == []
    reads = sends_of(recovery.handle(group.answer(announced[1]), 1))
    assert {(read.member, read.message.key) for read in reads} == {
        (member, key) for member in ("core1", "core2") for key in KEYS
    }


def test_a_read_answered_by_another_incarnation_is_not_counted() -> None:
    group = Group()
    recovery = group.recovery()
    announced = recovery.start(0)
    first, second = [effect for effect in announced if isinstance(effect, SendTo)]
    recovery.handle(group.answer(first), 1)
    reads = recovery.handle(group.answer(second), 1)
    group.acceptors["core2"].handle_prepare(Prepare(1, RECOVERY_KEY, Ballot(70, "core4-new")))
    assert sends_of(group.pump(recovery, reads)) == []
    assert records_of(group.pump(recovery, recovery.on_timer(timer_of(reads))))


def wait_times(recovery: Recovery, attempts: int, group: Group | None) -> list[int]:
    """Return the wait of each attempt; members of `group` grant the announcement but answer no read."""
    at, waits, effects = 0, [], recovery.start(0)
    for _ in range(attempts):
        for announcement in sends_of(effects) if group is not None else ():
            effects += recovery.handle(group.answer(announcement), at)
        waits.append(timer_of(effects) - at)
        at = timer_of(effects)
        assert recovery.on_timer(at - 1) == []
        effects = recovery.on_timer(at)
    return waits


def test_the_read_timeout_grows_up_to_its_maximum() -> None:
    group = Group()
    waits = wait_times(group.recovery(), 5, group)
    assert all(base <= wait <= 2 * base for base, wait in zip((100, 200, 400, 400, 400), waits, strict=True))


def test_attempts_with_too_few_members_are_repeated_at_a_constant_interval() -> None:
    """Doubling the interval up to 16 s delayed recovery until the next disk was lost and no quorum could be read."""
    waits = wait_times(Group().recovery(), 12, None)
    assert all(50 <= wait <= 100 for wait in waits)


@pytest.mark.parametrize(("catch_up_s", "most_s"), [(1, 0.7), (4, 1.4), (6, 2.0), (60, 2.0)])
def test_an_attempt_is_made_well_within_the_catch_up_time(catch_up_s: int, most_s: float) -> None:
    retry_policy = RecoveryRetryPolicy.for_catch_up(catch_up_s * 10**9)
    assert 2 * retry_policy.announce_retry_ns <= most_s * 10**9


def test_one_member_alone_is_too_few_to_recover() -> None:
    with pytest.raises(ValueError):
        Recovery(LOST, ProposerIdentity("n"), MembersValue(FOUNDED, ("core0",)), KEYS, random.Random(1))


def test_one_of_two_members_recovers_the_chosen_value_from_the_other_only() -> None:
    chosen = RegisterState(OLD, OLD, b"chosen")
    pair = ("core0", "core1")
    group = Group(pair, {name: {"config": chosen} for name in pair})
    group.lose_disk()
    recovery = group.recovery()
    begun = recovery.start(0)
    unanswered = group.pump(recovery, begun, silent=("core1",))
    assert not any(isinstance(effect, Finished) for effect in unanswered)
    records = records_of(group.pump(recovery, recovery.on_timer(timer_of(begun))))
    assert {record.key: record.value for record in records}["config"] == b"chosen"


def test_an_accept_from_before_the_loss_is_refused_after_it() -> None:
    group = Group()
    ballot = Ballot(1, "p")
    for core in group.acceptors.values():
        core.handle_prepare(Prepare(1, "config", ballot))
    group.lose_disk()
    group.recover()
    for core in group.acceptors.values():
        for incarnation in ("", "core0-disk", core.incarnation):
            assert not core.handle_accept(Accept(1, "config", ballot, incarnation, b"v")).reply.granted


def test_a_value_acknowledged_by_the_lost_disk_is_still_read() -> None:
    group = Group()
    for name in ("core0", "core1"):
        group.acceptors[name].handle_accept(Accept(1, "config", OLD, "", b"acknowledged"))
    group.lose_disk()
    group.recover()
    reader = Proposer(
        ProposerIdentity("r"), "config", MEMBER_SET, lambda _: Unchanged(), random.Random(1), DEADLINE
    )
    effects = group.pump(reader, reader.start(0), silent=("core1",))
    while reader.result is None:
        effects = group.pump(reader, reader.on_timer(timer_of(effects)), silent=("core1",))
    assert isinstance(reader.result, Committed)
    assert reader.result.value == b"acknowledged"


class UncheckedIncarnationProposer(Proposer):
    """A proposer without the check of incarnations."""

    def _is_known(self, promise) -> bool:
        return True


def play_lost_promise(kind: type[Proposer]) -> tuple[Proposer, bytes]:
    """Combine a promise from before the loss with one from after the recovery; return the slow writer and a last read.

    Between the two, a fast writer with a lower ballot commits at the recovered acceptor and another one.
    """
    group = Group()
    known = {core.name: core.incarnation for core in group.acceptors.values()}
    identity = ProposerIdentity("slow")
    identity.incarnations = dict(known)
    identity.observe("config", Ballot(20, ""))
    slow = kind(identity, "config", MEMBER_SET, CompareAndSet(b"", b"slow"), random.Random(1), DEADLINE)
    to_lost, under_way, _ = slow.start(0)[:3]
    slow.handle(group.answer(to_lost), 1)

    group.lose_disk()
    group.recover()
    quick_identity = ProposerIdentity("quick")
    quick_identity.observe("config", Ballot(10, ""))
    quick_identity.incarnations = {core.name: core.incarnation for core in group.acceptors.values()}
    quick = Proposer(
        quick_identity, "config", MEMBER_SET, CompareAndSet(b"", b"quick"), random.Random(2), DEADLINE
    )
    group.pump(quick, quick.start(1), silent=("core1",))
    assert isinstance(quick.result, Committed)

    group.pump(slow, slow.handle(group.answer(under_way), 2), silent=("core2",))
    reader = Proposer(ProposerIdentity("reader"), "config", MEMBER_SET, read, random.Random(3), DEADLINE)
    effects = group.pump(reader, reader.start(3), silent=("core0",))
    while reader.result is None:
        effects = group.pump(reader, reader.on_timer(timer_of(effects)), silent=("core0",))
    effects = group.pump(slow, slow.on_timer(10**9))
    while slow.result is None:
        effects = group.pump(slow, slow.on_timer(timer_of(effects)))
    return slow, reader.result.value


def test_a_lost_promise_cannot_undo_a_later_commit() -> None:
    slow, last_read = play_lost_promise(Proposer)
    assert last_read == b"quick"
    assert slow.result == Rejected("other value", b"quick")


def test_without_the_check_of_incarnations_a_lost_promise_undoes_a_commit() -> None:
    _, last_read = play_lost_promise(UncheckedIncarnationProposer)
    assert last_read == b"slow"


# ---- the number of other members needed


@pytest.mark.parametrize(
    ("size", "plain", "when_added", "when_replacing"),
    [(2, 1, 1, 1), (3, 2, 2, 2), (4, 2, 2, 3), (5, 3, 3, 3), (6, 3, 3, 4)],
)
def test_at_least_half_of_the_members_are_needed(
    size: int, plain: int, when_added: int, when_replacing: int
) -> None:
    names = tuple(f"core{number}" for number in range(size))
    joining = names[-1]
    assert recovery_quorum(MembersValue(3, names), joining) == plain
    assert recovery_quorum(MembersValue(3, names, joining), joining) == when_added
    assert recovery_quorum(MembersValue(3, names, joining, "gone"), joining) == when_replacing
    assert recovery_quorum(MembersValue(3, names, joining, "gone"), names[0]) == plain
    assert recovery_quorum(MembersValue(3, names, leaving="gone"), names[0]) == size // 2 + 1


@pytest.mark.parametrize("old_size", [2, 3, 4, 5, 6, 7])
def test_an_added_member_and_the_tolerated_number_of_lost_ones_recover(old_size: int) -> None:
    names = tuple(f"core{number}" for number in range(old_size))
    members = added(MembersValue(FOUNDED, names), "new")
    lost = names[: (old_size - 1) // 2]
    voting = set(names) - set(lost)
    waiting = {"new", *lost}
    while waiting:
        able = {name for name in waiting if len(voting) >= recovery_quorum(members, name)}
        assert able, f"deadlock: {sorted(waiting)} wait for each other"
        voting |= able
        waiting -= able


@pytest.mark.parametrize("size", [2, 3, 4, 5, 6, 7])
def test_each_quorum_without_the_lost_member_intersects_each_recovery_quorum(size: int) -> None:
    names = tuple(f"core{number}" for number in range(size))
    members = MembersValue(FOUNDED, names)
    others = names[1:]
    for quorum in itertools.combinations(others, quorum_of(members) - 1):
        for granting in itertools.combinations(others, recovery_quorum(members, names[0])):
            assert set(quorum) & set(granting)
