"""Random joins, replacements, removals and disk losses with random quorums: no committed value is lost.

Uses the real acceptors, proposers and recoveries. Messages are delivered immediately to randomly drawn members, usually
exactly a quorum, and an accept round may be held back and delivered at any later time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import pytest

from iristrack.register import (
    RECOVERY_KEY,
    Acceptor,
    Committed,
    Finished,
    MemberSetError,
    Proposer,
    ProposerIdentity,
    Recovery,
    RegisterState,
    SendTo,
    Unchanged,
    added,
    is_shrinking,
    quorum_of,
    removed,
    replaced,
    settled,
)
from iristrack.register import recovery as recovery_module
from iristrack.wire.messages import FOUNDED, NO_BALLOT, Accept, Ballot, MembersValue, Prepare

KEY = "config"
NAMES = [f"m{number}" for number in range(7)]
DEADLINE = 10**12
BALLOT_STEP = 10  # ballots available to one proposer or recovery
STEPS = 60
SEEDS = 4000
SURPLUS = [0, 0, 0, 1, 2, -1]  # reached members relative to the required number


@dataclass
class Machine:
    """A core machine; its acceptor is None while it has no state to vote with."""

    name: str
    acceptor: Acceptor | None = None
    lost_disks: int = 0

    @property
    def disk(self) -> str:
        """The name of its current disk."""
        return f"{self.name}-disk{self.lost_disks}"


@dataclass
class HeldBack:
    """A proposer whose accept round has not been delivered yet."""

    proposer: Proposer
    accepts: list[SendTo]
    value: bytes


class MemberSets:
    """One register of a group whose member set changes."""

    def __init__(self, seed: int, founders: int, rewrites_registers: bool = True) -> None:
        """All founders vote, and nothing is written; `rewrites_registers` is false for a planted fault."""
        self.draw = random.Random(seed)
        self.rewrites_registers = rewrites_registers
        self.machines = {name: Machine(name) for name in NAMES}
        founders = tuple(NAMES[:founders])
        self.members = MembersValue(FOUNDED, founders)
        for name in founders:
            self._vote(name, {})
        self.round = 0
        self.values = 0
        self.committed = b""
        self.committed_at = NO_BALLOT
        self.in_doubt: set[bytes] = set()
        self.held_back: list[HeldBack] = []

    # ---- message delivery

    def _vote(self, name: str, states: dict[str, RegisterState]) -> None:
        machine = self.machines[name]
        sequence = self.members.sequence
        machine.acceptor = Acceptor(name, machine.disk, states, True, keys=(KEY,), member_sequence=sequence)

    def _identity(self, name: str) -> ProposerIdentity:
        """Return the identity of a new process: its ballots are above all used ones, and it knows all acceptors."""
        self.round += BALLOT_STEP
        identity = ProposerIdentity(f"{name}/{self.round}", self.round)
        for key in (KEY, RECOVERY_KEY):
            identity.observe(key, Ballot(self.round, ""))
        known = {name: m.acceptor.incarnation for name, m in self.machines.items() if m.acceptor}
        identity.incarnations.update(known)
        return identity

    def _deliver(
        self, decider: Recovery | Proposer, sent: list, reached: set[str], hold_accepts: bool = False
    ):
        """Deliver messages to the reached members; return the result, or the held-back accepts."""
        waiting = list(sent)
        accepts = []
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, Finished):
                return effect.result
            if not isinstance(effect, SendTo):
                continue
            if hold_accepts and isinstance(effect.message, Accept):
                accepts.append(effect)
                continue
            acceptor = self.machines[effect.member].acceptor
            if acceptor is None or effect.member not in reached:
                continue
            is_prepare = isinstance(effect.message, Prepare)
            handle = acceptor.handle_prepare if is_prepare else acceptor.handle_accept
            waiting.extend(decider.handle(handle(effect.message).reply, 1))
        return accepts

    def _draw_about(self, names: set[str], count: int) -> set[str]:
        """Draw `count` of the names, plus or minus a random surplus."""
        count = max(0, count + self.draw.choice(SURPLUS))
        return set(self.draw.sample(sorted(names), min(count, len(names))))

    def _quorum(self) -> set[str]:
        return self._draw_about(self._voting, quorum_of(self.members))

    def _draw_informed(self) -> set[str]:
        """Draw the machines informed of a set immediately: all of them, or a random subset."""
        if self.draw.random() < 0.5:
            return set(NAMES)
        return {name for name in NAMES if self.draw.random() < 0.5}

    def _proposer(self, change) -> Proposer:
        return Proposer(self._identity("p"), KEY, self.members, change, random.Random(1), DEADLINE)

    def _new_value(self) -> bytes:
        self.values += 1
        return f"v{self.values}".encode()

    def _commit(self, result: object) -> None:
        """Check a value reported as committed: it is the last committed one, or one that was still in doubt."""
        if not isinstance(result, Committed):
            return
        is_known = result.value == self.committed
        assert is_known or result.value in self.in_doubt, f"{self.committed!r} is lost: {result.value!r}"
        assert is_known or result.ballot > self.committed_at, "an older ballot ends after a newer one"
        self.in_doubt.discard(result.value)
        self.committed = result.value
        self.committed_at = max(result.ballot, self.committed_at)

    # ---- losses

    @property
    def _voting(self) -> set[str]:
        """The members that vote in the current set."""
        return {
            name
            for name in self.members.members
            if (acceptor := self.machines[name].acceptor) is not None
            and acceptor.member_sequence == self.members.sequence
        }

    @property
    def _without_state(self) -> set[str]:
        """The members without state to vote with, except one that is being added."""
        added_member = self.members.joining if not self.members.leaving else ""
        return {
            name
            for name in self.members.members
            if self.machines[name].acceptor is None and name != added_member
        }

    @property
    def _tolerated_losses(self) -> int:
        is_being_added = self.members.joining != "" and not self.members.leaving
        return (len(self.members.members) - is_being_added - 1) // 2

    # ---- steps

    def play(self, steps: list[str]) -> None:
        """Take `STEPS` random steps of these kinds."""
        for _ in range(STEPS):
            getattr(self, self.draw.choice(steps))()

    def write(self) -> None:
        value = self._new_value()
        proposer = self._proposer(lambda current: value)
        self.in_doubt.add(value)
        self._commit(self._deliver(proposer, proposer.start(0), self._quorum()))

    def read(self) -> object:
        proposer = self._proposer(lambda current: Unchanged())
        result = self._deliver(proposer, proposer.start(0), self._quorum())
        self._commit(result)
        return result

    def prepare_a_write(self) -> None:
        """Start a write whose accepts stay in flight until `end_a_write`."""
        value = self._new_value()
        proposer = self._proposer(lambda current: value)
        accepts = self._deliver(proposer, proposer.start(0), self._quorum(), hold_accepts=True)
        if isinstance(accepts, list) and accepts:
            self.held_back.append(HeldBack(proposer, accepts, value))

    def end_a_write(self) -> None:
        if not self.held_back:
            return
        held = self.held_back.pop(self.draw.randrange(len(self.held_back)))
        self.in_doubt.add(held.value)
        reached = {name for name in NAMES if self.draw.random() < 0.6}
        self._commit(self._deliver(held.proposer, held.accepts, reached))

    def _agree(self, proposed: MembersValue, informed: set[str]) -> None:
        """Agree on a set; informed machines adopt it, the others do not vote for those that have adopted it."""
        self.members = proposed
        self._inform(informed | {proposed.joining})

    def _inform(self, informed: set[str]) -> None:
        for name in sorted(informed - {""}):
            machine = self.machines[name]
            is_older = (
                machine.acceptor is not None and machine.acceptor.member_sequence < self.members.sequence
            )
            if not is_older:
                continue
            if name == self.members.joining or name not in {*self.members.members, self.members.leaving}:
                machine.acceptor = None  # it recovers, or is not a member any more
            elif name == self.members.leaving:
                machine.acceptor.serve_successor(self.members.sequence, self.members.joining_disk)
            else:
                machine.acceptor.member_sequence = self.members.sequence

    def _propose(self, change: Callable[[], MembersValue], losses: set[str], max_losses: int) -> None:
        """Agree on a set if a quorum votes, the losses are tolerated, and the change is allowed."""
        if len(self._voting) < quorum_of(self.members) or len(losses) > max_losses:
            return
        with suppress(MemberSetError):
            self._agree(change(), self._draw_informed())

    def tell_of_the_set(self) -> None:
        self._inform(self._draw_informed())

    def remove(self) -> None:
        old = self.draw.choice(self.members.members)  # counts as lost
        self._propose(lambda: removed(self.members, old), self._without_state | {old}, self._tolerated_losses)

    def add(self) -> None:
        new = self.draw.choice(NAMES)
        self._propose(lambda: added(self.members, new), self._without_state, self._tolerated_losses)

    def replace(self) -> None:
        old, new = self.members.joining or self.draw.choice(self.members.members), self.draw.choice(NAMES)
        losses = self._without_state - {self.members.joining}
        self._propose(
            lambda: replaced(self.members, old, new, self.machines[new].disk),
            losses,
            self._tolerated_losses - 1,
        )

    def lose_a_disk(self) -> None:
        machine = self.machines[self.draw.choice(NAMES)]
        is_member = machine.name in self.members.members
        if not is_member or len(self._without_state | {machine.name}) <= self._tolerated_losses:
            machine.acceptor = None
            machine.lost_disks += 1

    def recover(self) -> None:
        waiting = [name for name in self.members.members if self.machines[name].acceptor is None]
        if not waiting:
            return
        machine = self.machines[self.draw.choice(waiting)]
        identity = self._identity(machine.name)
        recovery = Recovery(machine.name, identity, self.members, (KEY,), random.Random(1), disk=machine.disk)
        reached = self._draw_about(self._voting | ({self.members.leaving} - {""}), recovery.quorum)
        recovered = self._deliver(recovery, recovery.start(0), reached)
        if not isinstance(recovered, list):
            states = {r.key: RegisterState(r.promised, r.accepted, r.value) for r in recovered.records}
            self._vote(machine.name, states)

    def settle(self) -> None:
        is_ready = self.members.joining in self._voting or is_shrinking(self.members)
        if not is_ready or len(self._voting) < quorum_of(self.members):
            return
        if is_shrinking(self.members) and self.rewrites_registers and not isinstance(self.read(), Committed):
            return
        self._agree(settled(self.members), self._draw_informed())


CHANGES = ["remove", "add", "replace", "settle", "tell_of_the_set"]
LOSSES = ["lose_a_disk", "recover"]
WRITES = ["write", "read", "prepare_a_write", "end_a_write"]
# Fewer kinds of steps, so that a planted fault is found quickly.
REMOVALS = ["write", "read", "remove", "settle", "tell_of_the_set"]
REMOVALS_AND_LOSSES = ["write", "read", "remove", "tell_of_the_set", *LOSSES]


@pytest.mark.parametrize("steps", [CHANGES + LOSSES + WRITES, REMOVALS, [*REMOVALS_AND_LOSSES, "settle"]])
@pytest.mark.parametrize("founders", [3, 4, 5])
def test_no_committed_value_is_lost_in_random_membership_changes_and_disk_losses(
    steps, founders: int
) -> None:
    committed = 0
    for seed in range(SEEDS):
        group = MemberSets(seed, founders)
        group.play(steps)
        committed += group.committed != b""
    assert committed > SEEDS // 2


def test_a_removal_without_rewriting_the_registers_is_detected() -> None:
    with pytest.raises(AssertionError, match="is lost"):
        for seed in range(SEEDS):
            MemberSets(seed, 5, rewrites_registers=False).play(REMOVALS)


def test_a_recovery_from_too_few_members_during_a_removal_is_detected(monkeypatch) -> None:
    monkeypatch.setattr(recovery_module, "is_shrinking", lambda members: False)
    with pytest.raises(AssertionError, match="is lost"):
        for seed in range(SEEDS):
            MemberSets(seed, 5).play(REMOVALS_AND_LOSSES)


def test_a_leaving_member_that_serves_any_disk_is_detected(monkeypatch) -> None:
    monkeypatch.setattr(Acceptor, "_may_read", lambda self, disk: True)
    with pytest.raises(AssertionError, match="is lost"):
        for seed in range(SEEDS):
            MemberSets(seed, 3).play(["write", "read", "replace", "tell_of_the_set", *LOSSES])
