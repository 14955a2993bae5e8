from __future__ import annotations

import random

import pytest

from iristrack.register import (
    RECOVERY_KEY,
    Acceptor,
    Committed,
    Effect,
    Finished,
    Overtaken,
    Proposer,
    ProposerIdentity,
    Refuse,
    RegisterState,
    Rejected,
    RetryPolicy,
    SendTo,
    SetTimer,
    Unavailable,
    Unchanged,
)
from iristrack.wire.messages import (
    FOUNDED,
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    MembersValue,
    Prepare,
    Promise,
)

KEY = "config"
MEMBERS = ("core0", "core1", "core2")
MEMBER_SET = MembersValue(FOUNDED, MEMBERS)
DEADLINE = 10_000_000_000
RETRY_POLICY = RetryPolicy(
    attempt_timeout_ns=1_000, initial_backoff_ns=10, max_backoff_ns=100, max_attempts=4
)


class CompareAndSet:
    def __init__(self, expected: bytes, content: bytes) -> None:
        self.expected = expected
        self.content = content

    def __call__(self, current: bytes) -> bytes | Unchanged | Refuse:
        if current == self.content:
            return Unchanged()
        return self.content if current == self.expected else Refuse("other value")


def read(current: bytes) -> Unchanged:
    return Unchanged()


class Group:
    """Three acceptors; the test decides which messages are delivered, and in which order."""

    def __init__(self) -> None:
        self.acceptors = {name: Acceptor(name, f"{name}-disk", {}, True, keys=(KEY,)) for name in MEMBERS}

    def proposer(self, name: str, change, deadline: int = DEADLINE, learned: bool = True) -> Proposer:
        identity = ProposerIdentity(name)
        if learned:
            identity.incarnations = {core.name: core.incarnation for core in self.acceptors.values()}
        return Proposer(identity, KEY, MEMBER_SET, change, random.Random(1), deadline, RETRY_POLICY)

    def answer(self, send: SendTo) -> Promise | Accepted:
        core = self.acceptors[send.member]
        if isinstance(send.message, Prepare):
            return core.handle_prepare(send.message).reply
        return core.handle_accept(send.message).reply

    def pump(self, proposer: Proposer, effects: list[Effect], members=MEMBERS, drop=()) -> list[Effect]:
        """Deliver all messages except types in `drop`, until none is left; return the undelivered effects."""
        waiting = list(effects)
        rest = []
        while waiting:
            effect = waiting.pop(0)
            if not isinstance(effect, SendTo) or effect.member not in members or type(effect.message) in drop:
                rest.append(effect)
                continue
            waiting.extend(proposer.handle(self.answer(effect), 1))
        return rest

    def change(self, name: str, change, members=MEMBERS):
        proposer = self.proposer(name, change)
        effects = self.pump(proposer, proposer.start(0), members)
        while proposer.result is None:
            effects = self.pump(proposer, proposer.on_timer(timers(effects)[-1]), members)
        return proposer.result


def timers(effects: list[Effect]) -> list[int]:
    return [effect.at_ns for effect in effects if isinstance(effect, SetTimer)]


def sends(effects: list[Effect], kind: type) -> list[SendTo]:
    return [effect for effect in effects if isinstance(effect, SendTo) and isinstance(effect.message, kind)]


def retry(group: Group, proposer: Proposer, effects: list[Effect], **pump) -> list[Effect]:
    """Let the attempt time out and its backoff elapse."""
    backed_off = proposer.on_timer(timers(effects)[-1])
    return group.pump(proposer, proposer.on_timer(timers(backed_off)[-1]), **pump)


def test_a_change_takes_two_rounds_and_is_committed() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    prepares = sends(proposer.start(0), Prepare)
    assert [send.member for send in prepares] == list(MEMBERS)
    assert proposer.handle(group.answer(prepares[0]), 1) == []
    accepts = sends(proposer.handle(group.answer(prepares[1]), 1), Accept)
    assert [send.message.incarnation for send in accepts] == ["core0-disk", "core1-disk", ""]
    assert proposer.handle(group.answer(accepts[0]), 2) == []
    assert proposer.handle(group.answer(accepts[2]), 2) == [Finished(Committed(b"one", Ballot(1, "p")))]


def test_the_second_of_two_changes_of_one_value_is_rejected() -> None:
    group = Group()
    assert isinstance(group.change("p", CompareAndSet(b"", b"one")), Committed)
    assert group.change("q", CompareAndSet(b"", b"two")) == Rejected("other value", b"one")
    assert group.change("q", read).value == b"one"


def test_a_read_of_a_settled_value_needs_no_second_round() -> None:
    group = Group()
    committed = group.change("p", CompareAndSet(b"", b"one"))
    proposer = group.proposer("q", read)
    assert group.pump(proposer, proposer.start(0), drop=(Accept,))
    assert proposer.result == committed


@pytest.mark.parametrize("change", [read, CompareAndSet(b"x", b"y")])
def test_a_partially_accepted_value_is_committed_before_it_is_reported(change) -> None:
    group = Group()
    writer = group.proposer("p", CompareAndSet(b"", b"one"))
    accepts = sends(group.pump(writer, writer.start(0), drop=(Accept,)), Accept)
    group.answer(accepts[0])  # accepted by one acceptor; the reply is lost
    observer = group.proposer("q", change)
    undelivered = group.pump(observer, observer.start(0), drop=(Accept,))
    assert observer.result is None
    group.pump(observer, undelivered)
    assert observer.result.value == b"one"
    assert group.change("r", read, members=MEMBERS[1:]).value == b"one"


def test_a_change_that_finds_its_own_content_is_committed() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    effects = group.pump(proposer, proposer.start(0), drop=(Accept,))
    for send in sends(effects, Accept):
        group.answer(send)  # accepted; the replies are lost
    retry(group, proposer, effects)
    assert isinstance(proposer.result, Committed)
    assert proposer.result.value == b"one"


def test_own_bytes_are_recognised_even_if_the_change_refuses_them() -> None:
    group = Group()
    proposer = group.proposer("p", lambda current: b"one" if current == b"" else Refuse("not empty"))
    effects = group.pump(proposer, proposer.start(0), drop=(Accept,))
    group.answer(sends(effects, Accept)[0])
    retry(group, proposer, effects)
    assert isinstance(proposer.result, Committed)


def test_a_refusal_is_not_definite_if_a_lost_attempt_may_have_been_overwritten() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    effects = group.pump(proposer, proposer.start(0), drop=(Accept,))
    for send in sends(effects, Accept):
        group.answer(send)
    assert isinstance(group.change("q", CompareAndSet(b"one", b"two")), Committed)
    retry(group, proposer, effects)
    assert proposer.result == Overtaken("other value", b"two")


def test_a_refusal_is_definite_once_the_lost_attempt_cannot_be_chosen() -> None:
    group = Group()
    group.change("o", CompareAndSet(b"", b"zero"))
    change = CompareAndSet(b"zero", b"one")
    proposer = group.proposer("p", change)
    effects = group.pump(proposer, proposer.start(0), drop=(Accept,))
    delayed = sends(effects, Accept)[0]  # still in flight; no acceptor has accepted it
    change.expected = b"something else"
    undelivered = retry(group, proposer, effects, drop=(Accept,))
    assert (
        proposer.result is None
    )  # the committed value alone is not enough: the delayed accept could still count
    group.pump(proposer, undelivered)
    assert proposer.result == Rejected("other value", b"zero")
    assert not group.answer(delayed).granted
    assert group.change("q", read).value == b"zero"


def test_a_refusal_leads_to_a_backoff_and_a_higher_ballot() -> None:
    group = Group()
    for core in group.acceptors.values():
        core.handle_prepare(Prepare(1, KEY, Ballot(50, "z")))
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    effects = group.pump(proposer, proposer.start(0))
    backoff_end = timers(effects)[-1]
    assert 1 < backoff_end <= 1 + RETRY_POLICY.initial_backoff_ns
    group.pump(proposer, proposer.on_timer(backoff_end))
    assert proposer.result == Committed(b"one", Ballot(51, "p"))


def test_non_voters_are_not_counted() -> None:
    group = Group()
    group.acceptors["core0"].write_failed()
    group.acceptors["core1"].write_failed()
    proposer = group.proposer("p", read)
    effects = group.pump(proposer, proposer.start(0))
    assert timers(effects) == [RETRY_POLICY.attempt_timeout_ns]
    assert proposer.result is None


def test_unknown_incarnations_are_learned_in_a_first_attempt() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"), learned=False)
    effects = group.pump(proposer, proposer.start(0))
    assert proposer.result == Committed(b"one", Ballot(2, "p"))
    assert len(timers(effects)) == 3  # two first rounds without a backoff between them, and one second round


def test_a_promise_of_a_changed_incarnation_is_not_counted() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    prepares = sends(proposer.start(0), Prepare)
    proposer.handle(group.answer(prepares[0]), 1)
    group.acceptors["core1"].handle_prepare(Prepare(1, RECOVERY_KEY, Ballot(1, "core2-new")))
    assert proposer.handle(group.answer(prepares[1]), 1) == []
    assert sends(proposer.handle(group.answer(prepares[2]), 1), Accept)


def test_an_acceptance_of_a_changed_incarnation_is_not_counted() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    accepts = sends(group.pump(proposer, proposer.start(0), members=MEMBERS[:2], drop=(Accept,)), Accept)
    call, ballot = accepts[0].message.call, accepts[0].message.ballot
    assert proposer.handle(Accepted(call, KEY, "core0", "other", True, ballot), 1) == []
    assert proposer.handle(Accepted(call, KEY, "core1", "core1-disk", True, ballot), 1) == []
    assert proposer.result is None
    proposer.handle(Accepted(call, KEY, "core2", "core2-disk", True, ballot), 1)
    assert isinstance(proposer.result, Committed)


def test_late_repeated_and_foreign_replies_are_ignored() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    prepares = sends(proposer.start(0), Prepare)
    promise = group.answer(prepares[0])
    assert proposer.handle(promise, 1) == []
    assert proposer.handle(promise, 1) == []  # the same acceptor does not count twice
    call = prepares[0].message.call
    stranger = Promise(call, KEY, "core9", "x", True, Ballot(1, "p"), NO_BALLOT, b"")
    assert proposer.handle(stranger, 1) == []
    backed_off = proposer.on_timer(RETRY_POLICY.attempt_timeout_ns)
    proposer.on_timer(timers(backed_off)[0])
    assert proposer.handle(group.answer(prepares[1]), 1) == []  # a reply to the previous attempt


def test_without_a_majority_the_change_ends_at_the_last_attempt() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"))
    effects = group.pump(proposer, proposer.start(0), members=MEMBERS[:1])
    prepares = len(sends(effects, Prepare))
    while proposer.result is None:
        effects = group.pump(proposer, proposer.on_timer(timers(effects)[-1]), members=MEMBERS[:1])
        prepares += len(sends(effects, Prepare))
    assert proposer.result == Unavailable(in_doubt=False)
    assert prepares == 2 * RETRY_POLICY.max_attempts


def test_the_deadline_ends_the_change_and_reports_whether_it_is_in_doubt() -> None:
    group = Group()
    proposer = group.proposer("p", CompareAndSet(b"", b"one"), deadline=500)
    effects = group.pump(proposer, proposer.start(0), drop=(Accept,))
    assert timers(effects)[-1] == 500
    assert proposer.on_timer(499) == []
    assert proposer.on_timer(500) == [Finished(Unavailable(in_doubt=True))]
    assert proposer.on_timer(501) == []


def test_two_changes_of_one_process_never_share_a_ballot_or_a_call() -> None:
    identity = ProposerIdentity("p")
    made = [Proposer(identity, KEY, MEMBER_SET, read, random.Random(1), DEADLINE) for _ in range(2)]
    messages = [sends(proposer.start(0), Prepare)[0].message for proposer in made]
    assert messages[0].ballot != messages[1].ballot
    assert messages[0].call != messages[1].call


@pytest.mark.parametrize(("key", "members"), [(RECOVERY_KEY, MEMBERS), (KEY, ()), (KEY, ("a", "a"))])
def test_invalid_arguments_are_refused(key: str, members: tuple[str, ...]) -> None:
    with pytest.raises(ValueError):
        Proposer(ProposerIdentity("p"), key, MembersValue(FOUNDED, members), read, random.Random(1), DEADLINE)


def test_the_local_value_is_used_unless_a_promise_has_a_newer_one() -> None:
    local = RegisterState(Ballot(1, "q"), Ballot(1, "q"), b"held")
    for accepted, told, read in ((Ballot(1, "q"), b"", b"held"), (Ballot(2, "q"), b"newer", b"newer")):
        seen = []
        identity = ProposerIdentity("p")
        identity.incarnations = dict.fromkeys(MEMBERS, "disk")
        proposer = Proposer(
            identity,
            "k",
            MEMBER_SET,
            lambda value, seen=seen: seen.append(value) or Unchanged(),
            random.Random(1),
            DEADLINE,
            read_local=lambda: local,
        )
        prepare = next(effect.message for effect in proposer.start(0) if isinstance(effect, SendTo))
        assert prepare.known == local.accepted
        for member in MEMBERS[: proposer.quorum]:
            proposer.handle(
                Promise(prepare.call, "k", member, "disk", True, prepare.ballot, accepted, told), 1
            )
        assert seen == [read]
        assert proposer.result == Committed(read, accepted)
