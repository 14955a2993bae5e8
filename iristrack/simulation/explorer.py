"""A small-scope explorer of the registers: every order of events of a few machines, each state visited once.

    python -m iristrack.simulation.explorer --scope replacement

takes the real deciders (`Acceptor`, `Proposer`, `Recovery`) of three members and a spare, changes of one register on
one value, and lets messages arrive in every order, be lost or come twice, one member crash before its last write, one
lose its disk, one be replaced while it is there or gone. Each reachable state within the scope is visited once, by a
digest of all machines, messages and what was told. In every state it demands:

- of two changes on one value one at most is told as committed;
- a change that was told as refused is never committed, and one that was committed is never refused;
- whatever was told as committed is found by a read at each quorum of members that may vote.

No time passes here: a proposer whose answers are lost stays, as it would until its deadline. The number of states is
bounded; a scope that was cut short by that says so.
"""

from __future__ import annotations

import argparse
import copy
import itertools
import random
import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from iristrack.register import (
    Acceptor,
    Committed,
    Finished,
    Overtaken,
    Proposer,
    ProposerIdentity,
    Recovery,
    Refuse,
    RegisterState,
    Rejected,
    RetryPolicy,
    SendTo,
    Unchanged,
    replaced,
    settled,
)
from iristrack.register.member_set import added, quorum_of
from iristrack.register.recovery import recovery_quorum
from iristrack.wire.messages import FOUNDED, NO_BALLOT, Accepted, MembersValue, Prepare, Promise

KEY = "configuration"
KEYS = (KEY,)
NEVER_NS = 1 << 60
FIRST = b"first"  # the value that both changes build on
MEMBERS = ("a", "b", "c")
SPARE = "d"
ONE_ATTEMPT = RetryPolicy(attempt_timeout_ns=NEVER_NS, max_attempts=2)


class NoDraws(random.Random):
    """Draws the least of everything: no time passes, so that waits do not matter."""

    def randint(self, a: int, b: int) -> int:
        """The least."""
        return a


NO_DRAWS = NoDraws(0)


@dataclass(frozen=True, slots=True)
class Scope:
    """What may happen in a run, and how often."""

    losses: int = 0  # messages that are lost
    doubles: int = 0  # messages that come twice
    crashes: int = 0  # processes that end before their last write is on the disk
    wipes: int = 0  # disks that are lost
    leave: bool = False  # `a` is replaced by the spare while it is there
    replacement: bool = False  # `a` is gone for good and replaced by the spare
    addition: bool = False  # the spare is let in beside all
    proposers: int = 2
    most_states: int = 60_000
    planted: str = ""  # a fault of PLANTED


SCOPES = {
    "one_change": Scope(proposers=1, most_states=200_000),
    "messages": Scope(losses=1, doubles=1, most_states=200_000),
    "crash": Scope(crashes=1, most_states=200_000),
    "wipe": Scope(wipes=1, proposers=1, most_states=200_000),
    "replacement": Scope(replacement=True, proposers=1, most_states=200_000),
    "leave": Scope(leave=True, proposers=1, most_states=200_000),
    "leave_and_wipe": Scope(leave=True, wipes=1, proposers=1, most_states=200_000),
    "addition": Scope(addition=True, proposers=1, most_states=200_000),
    "addition_and_wipe": Scope(addition=True, wipes=1, proposers=1, most_states=200_000),
}
PLANTED = ("quorum", "no_recovery")


@dataclass(slots=True)
class Machine:
    """One core machine: its disk, its acceptor and, while it recovers, its recovery."""

    name: str
    incarnation: str  # on the disk; empty: it has no vote
    cells: dict[str, RegisterState]  # on the disk
    members: MembersValue
    acceptor: Acceptor | None = None
    recovery: Recovery | None = None
    unsynced: list = field(default_factory=list)  # (record, receiver, reply) in the order of their writing
    gone: bool = False
    starts: int = 0
    lost_disks: int = 0

    @property
    def disk(self) -> str:
        """The name of its present disk."""
        return f"{self.name}-disk{self.lost_disks}"


@dataclass(slots=True)
class State:
    """All machines, messages under way, and what was told."""

    machines: dict[str, Machine]
    proposers: dict[str, Proposer]
    messages: list[tuple[str, str, object]]  # (sender, receiver, message), sorted by text
    results: dict[str, object]
    losses: int
    doubles: int
    crashes: int
    wipes: int
    changed: MembersValue | None = None  # the set that was decided on in the place of the first


def content(number: int) -> bytes:
    """What a proposer wants."""
    return b"change-%d" % number


@dataclass(frozen=True, slots=True)
class CompareAndSet:
    """Put a content in the place of `FIRST`."""

    wanted: bytes

    def __call__(self, value: bytes):
        """Decide on the present value."""
        if value == self.wanted:
            return Unchanged()
        return self.wanted if value == FIRST else Refuse("another value is there")


@dataclass(frozen=True, slots=True)
class Violation:
    """What must not be, and the events that led to it."""

    text: str
    events: tuple[str, ...]


@dataclass(slots=True)
class Exploration:
    """What an exploration gave."""

    states: int = 0
    depth: int = 0
    complete: bool = True
    outcomes: set[tuple[str, ...]] = field(default_factory=set)
    violation: Violation | None = None


class Explorer:
    """Visits the states of one scope."""

    def __init__(self, scope: Scope) -> None:
        """Nothing has been visited."""
        self.scope = scope

    def run(self) -> Exploration:
        """Visit every state, up to the bound, or up to the first violation."""
        found = Exploration()
        start = self._first_state()
        seen = {fingerprint(start)}
        queue: deque[tuple[State, int, tuple[str, ...]]] = deque([(start, 0, ())])
        while queue:
            # By turns the nearest state and the newest one: what is cut short has seen ends as well as beginnings.
            state, depth, events = queue.popleft() if found.states % 2 else queue.pop()
            found.states += 1
            found.depth = max(found.depth, depth)
            text = self._judge(state)
            if text is not None:
                found.violation = Violation(text, events)
                return found
            found.outcomes.add(tuple(type(r).__name__ for _, r in sorted(state.results.items())))
            if found.states >= self.scope.most_states:
                found.complete = False
                return found
            for name, successor in self._successors(state):
                mark = fingerprint(successor)
                if mark not in seen:
                    seen.add(mark)
                    queue.append((successor, depth + 1, (*events, name)))
        return found

    # ---- the beginning

    def _first_state(self) -> State:
        scope = self.scope
        members = MembersValue(FOUNDED, MEMBERS)
        ballot = replace(NO_BALLOT, round=1, proposer="before")
        cell = RegisterState(ballot, ballot, FIRST)
        machines = {}
        for name in (*MEMBERS, SPARE):
            incarnation = f"{name}-0" if name in MEMBERS else ""
            cells = {KEY: cell} if name in MEMBERS else {}
            machines[name] = Machine(name, incarnation, cells, members)
            self._start(machines[name])
        state = State(machines, {}, [], {}, scope.losses, scope.doubles, scope.crashes, scope.wipes)
        for number in range(scope.proposers):
            self._add_proposer(state, number, members)
        return state

    def _add_proposer(self, state: State, number: int, members: MembersValue) -> None:
        name = f"p{number}"
        identity = ProposerIdentity(name)
        for machine in state.machines.values():
            if machine.acceptor is not None:
                identity.incarnations[machine.name] = machine.acceptor.incarnation
        change = CompareAndSet(content(number))
        proposer = Proposer(identity, KEY, members, change, NO_DRAWS, NEVER_NS, ONE_ATTEMPT)
        if self.scope.planted == "quorum":
            proposer.quorum -= 1
        state.proposers[name] = proposer
        self._perform(state, name, proposer.start(0))

    def _start(self, machine: Machine) -> None:
        """Start the process on what its disk holds."""
        machine.unsynced = []
        machine.recovery = None
        machine.acceptor = None
        if machine.incarnation:
            machine.acceptor = Acceptor(
                machine.name,
                machine.incarnation,
                machine.cells,
                True,
                keys=KEYS,
                member_sequence=machine.members.sequence,
            )

    # ---- what may happen next

    def _successors(self, state: State) -> Iterator[tuple[str, State]]:
        for at, (sender, receiver, message) in enumerate(state.messages):
            text = f"{type(message).__name__} {sender}>{receiver}"
            yield f"deliver {text}", self._deliver(state, at, keep=False)
            if state.losses:
                yield f"lose {text}", self._lose(state, at)
            if state.doubles:
                yield f"double {text}", self._deliver(state, at, keep=True)
        for name, machine in state.machines.items():
            if machine.unsynced:
                yield f"sync {name}", self._sync(state, name)
            if state.crashes and machine.acceptor is not None and machine.unsynced:
                yield f"crash {name}", self._crash(state, name)
            if state.wipes and machine.acceptor is not None and machine.name in machine.members.members:
                yield f"wipe {name}", self._wipe(state, name)
        if state.changed is None and (self.scope.leave or self.scope.replacement or self.scope.addition):
            yield "change the set", self._change_set(state)
        if state.changed is not None:
            yield from self._tell_set(state)

    def _deliver(self, state: State, at: int, keep: bool) -> State:
        state = clone(state)
        sender, receiver, message = state.messages[at]
        if keep:
            state.doubles -= 1
        else:
            del state.messages[at]
        if receiver in state.proposers:
            self._perform(state, receiver, state.proposers[receiver].handle(message, 0))
            return state
        machine = state.machines[receiver]
        if isinstance(message, Promise | Accepted):
            if machine.recovery is not None and isinstance(message, Promise):
                self._perform(state, receiver, machine.recovery.handle(message, 0))
        elif machine.acceptor is not None and not machine.gone:
            acceptor = machine.acceptor
            is_prepare = isinstance(message, Prepare)
            outcome = acceptor.handle_prepare(message) if is_prepare else acceptor.handle_accept(message)
            machine.unsynced.append((outcome.record, sender, outcome.reply))
            if len(machine.unsynced) == 1 and (outcome.record is None or not self._may_be_lost(state)):
                self._release(state, machine)
        return state

    @staticmethod
    def _may_be_lost(state: State) -> bool:
        """May a write still be lost before its sync? Else its delay is one of the reply, which messages have anyway."""
        return bool(state.crashes or state.wipes)

    @staticmethod
    def _is_ignored(state: State, receiver: str, message: object) -> bool:
        """Does an answer come to one who waits for it no more? Its arrival at any time is all one."""
        proposer = state.proposers.get(receiver)
        if proposer is not None:
            return proposer.result is not None
        machine = state.machines[receiver]
        if isinstance(message, Promise | Accepted):
            return machine.recovery is None
        return machine.gone

    def _lose(self, state: State, at: int) -> State:
        state = clone(state)
        state.losses -= 1
        del state.messages[at]
        return state

    def _release(self, state: State, machine: Machine) -> None:
        """Have the oldest record on the disk and its reply sent, and those replies behind it that have no record."""
        while machine.unsynced:
            record, receiver, reply = machine.unsynced.pop(0)
            if record is not None:
                machine.cells = machine.cells | {
                    record.key: RegisterState(record.promised, record.accepted, record.value)
                }
            self._send(state, machine.name, receiver, reply)
            if machine.unsynced and machine.unsynced[0][0] is not None:
                return

    def _sync(self, state: State, name: str) -> State:
        state = clone(state)
        self._release(state, state.machines[name])
        return state

    def _crash(self, state: State, name: str) -> State:
        """The process ends before its writes are on the disk, and starts again."""
        state = clone(state)
        state.crashes -= 1
        self._start(state.machines[name])
        return state

    def _wipe(self, state: State, name: str) -> State:
        """The disk is lost; the machine starts again and recovers under the newest set that the others know."""
        state = clone(state)
        state.wipes -= 1
        machine = state.machines[name]
        machine.starts += 1
        machine.lost_disks += 1
        machine.cells = {}
        others = [m.members for m in state.machines.values() if m is not machine]
        machine.members = max(others, key=lambda members: members.sequence)
        machine.incarnation = ""
        self._start(machine)
        if name in machine.members.members:
            self._begin_recovery(state, machine)
        return state

    def _begin_recovery(self, state: State, machine: Machine) -> None:
        machine.acceptor = None
        machine.unsynced = []
        machine.starts += 1
        if self.scope.planted == "no_recovery":
            machine.incarnation = f"{machine.name}-{machine.starts}"
            self._start(machine)
            return
        identity = ProposerIdentity(f"{machine.name}-r{machine.starts}")
        machine.recovery = Recovery(
            machine.name, identity, machine.members, KEYS, NO_DRAWS, disk=machine.disk
        )
        self._perform(state, machine.name, machine.recovery.start(0))

    def _change_set(self, state: State) -> State:
        """The set is decided on at a quorum of the first one: those have it on their disks."""
        state = clone(state)
        first = MembersValue(FOUNDED, MEMBERS)
        if self.scope.addition:
            state.changed = added(first, SPARE)
        else:
            state.changed = replaced(first, MEMBERS[0], SPARE, state.machines[SPARE].disk)
        if self.scope.replacement:
            state.machines[MEMBERS[0]].gone = True
        return state

    def _tell_set(self, state: State) -> Iterator[tuple[str, State]]:
        for name, machine in state.machines.items():
            if machine.members.sequence < state.changed.sequence and not machine.gone:
                yield f"tell {name}", self._told(state, name)
        spare = state.machines[SPARE]
        if spare.acceptor is not None and state.changed.joining == SPARE:
            yield "settle", self._settle(state)

    def _told(self, state: State, name: str) -> State:
        state = clone(state)
        machine = state.machines[name]
        machine.members = state.changed
        if name == state.changed.joining:
            self._begin_recovery(state, machine)
        elif machine.acceptor is not None:
            # A member, or the one that is replaced, which answers its successor alone and has no vote after a start.
            if name in state.changed.members:
                machine.acceptor.member_sequence = state.changed.sequence
            else:
                machine.acceptor.serve_successor(state.changed.sequence, state.changed.joining_disk)
                machine.incarnation = ""
        elif machine.recovery is not None and name in state.changed.members:
            self._begin_recovery(state, machine)
        return state

    def _settle(self, state: State) -> State:
        state = clone(state)
        state.changed = settled(state.changed)
        return state

    # ---- carrying out

    def _perform(self, state: State, name: str, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self._send(state, name, effect.member, effect.message)
            elif isinstance(effect, Finished) and name in state.proposers:
                state.results[name] = effect.result
                state.messages = [m for m in state.messages if m[1] != name]  # nobody waits for them
            elif isinstance(effect, Finished):
                machine = state.machines[name]
                machine.recovery = None
                machine.incarnation = f"{name}-{machine.starts}"
                machine.cells = {
                    r.key: RegisterState(r.promised, r.accepted, r.value) for r in effect.result.records
                }
                self._start(machine)

    def _send(self, state: State, sender: str, receiver: str, message: object) -> None:
        if not self._is_ignored(state, receiver, message):
            state.messages.append((sender, receiver, message))
            state.messages.sort(key=repr)

    # ---- judging

    def _judge(self, state: State) -> str | None:
        committed = {name: result for name, result in state.results.items() if isinstance(result, Committed)}
        if len(committed) > 1:
            return f"{sorted(committed)} are both told as committed"
        for name, result in state.results.items():
            if isinstance(result, Rejected | Overtaken) and result.value == state.proposers[name].change(
                FIRST
            ):
                return f"{name} was refused in favour of its own content"
        for result in committed.values():
            missing = self._missing(state, result.value)
            if missing is not None:
                return f"{result.value!r} was told as committed and {missing} can vote without it"
        waiting = self._waiting_for_ever(state)
        if waiting:
            return f"{', '.join(waiting)} wait for each other for ever, and the others are no quorum"
        return None

    def _waiting_for_ever(self, state: State) -> list[str]:
        """The members that can never recover, where the others are no quorum; empty where there is one in the end."""
        members = state.changed or MembersValue(FOUNDED, MEMBERS)
        present = [name for name in members.members if not state.machines[name].gone]
        voting = {name for name in present if state.machines[name].acceptor is not None}
        leaver = state.machines.get(members.leaving)
        leaver_answers = leaver is not None and leaver.acceptor is not None and not leaver.gone
        waiting = set(present) - voting
        while able := {
            name
            for name in waiting
            if len(voting) + (leaver_answers and name == members.joining) >= recovery_quorum(members, name)
        }:
            voting |= able
            waiting -= able
        return [] if len(voting) >= quorum_of(members) else sorted(waiting)

    def _missing(self, state: State, value: bytes) -> str | None:
        """A quorum of voting members of the newest set of which nobody holds the value, if there is one."""
        newest = max((m.members for m in state.machines.values()), key=lambda members: members.sequence)
        sets = {members.sequence: members for m in state.machines.values() for members in (m.members,)}
        for members in (*sets.values(), newest):
            voting = [
                name
                for name in members.members
                if (machine := state.machines[name]).acceptor is not None
                and not machine.gone
                and machine.acceptor.member_sequence == members.sequence
            ]
            for quorum in itertools.combinations(sorted(voting), len(members.members) // 2 + 1):
                read = max(
                    (state.machines[name].cells.get(KEY, RegisterState()) for name in quorum), key=_accepted
                )
                if read.value != value:
                    return "+".join(quorum)
        return None


def _accepted(cell: RegisterState):
    return cell.accepted


def clone(state: State) -> State:
    """A state of its own; messages, records and cells are immutable and shared."""
    return State(
        {name: _clone_machine(machine) for name, machine in state.machines.items()},
        {name: _clone_proposer(proposer) for name, proposer in state.proposers.items()},
        list(state.messages),
        dict(state.results),
        state.losses,
        state.doubles,
        state.crashes,
        state.wipes,
        state.changed,
    )


def _clone_machine(machine: Machine) -> Machine:
    copied = copy.copy(machine)
    copied.unsynced = list(machine.unsynced)
    if machine.acceptor is not None:
        copied.acceptor = copy.copy(machine.acceptor)
        copied.acceptor._states = dict(machine.acceptor._states)
    if machine.recovery is not None:
        recovery = copied.recovery = copy.copy(machine.recovery)
        recovery._identity = _clone_identity(recovery._identity)
        recovery._incarnations = dict(recovery._incarnations)
        recovery._records = dict(recovery._records)
        recovery._reads = {
            call: replace(read, promises=dict(read.promises)) for call, read in recovery._reads.items()
        }
    return copied


def _clone_proposer(proposer: Proposer) -> Proposer:
    copied = copy.copy(proposer)
    copied._identity = _clone_identity(proposer._identity)
    copied._known = dict(proposer._known)
    copied._promises = dict(proposer._promises)
    copied._acceptances = set(proposer._acceptances)
    copied._lost = set(proposer._lost)
    copied._in_doubt = dict(proposer._in_doubt)
    return copied


def _clone_identity(identity: ProposerIdentity) -> ProposerIdentity:
    copied = copy.copy(identity)
    copied.incarnations = dict(identity.incarnations)
    copied._rounds = dict(identity._rounds)
    return copied


def fingerprint(state: State) -> int:
    """A digest of everything that decides what may happen next."""
    machines = tuple(
        (
            m.name,
            m.incarnation,
            tuple(sorted(m.cells.items())),
            m.members,
            m.gone,
            m.starts,
            m.lost_disks,
            repr(m.unsynced),
            m.acceptor is not None
            and (
                m.acceptor.member_sequence,
                m.acceptor.incarnation,
                m.acceptor._successor_disk,
                repr(sorted(m.acceptor._states.items())),
            ),
            m.recovery is not None and _recovery_mark(m.recovery),
        )
        for m in state.machines.values()
    )
    proposers = tuple(_proposer_mark(proposer) for proposer in state.proposers.values())
    rest = (state.losses, state.doubles, state.crashes, state.wipes, state.changed)
    return hash((repr(machines), proposers, repr(state.messages), repr(sorted(state.results.items())), rest))


def _proposer_mark(proposer: Proposer) -> str:
    return repr(
        (
            proposer._phase,
            proposer._attempts,
            proposer._call,
            proposer._ballot,
            sorted(proposer._known.items()),
            sorted(proposer._promises.items()),
            sorted(proposer._acceptances),
            sorted(proposer._lost),
            sorted(proposer._in_doubt.items()),
            sorted(proposer._identity.incarnations.items()),
        )
    )


def _recovery_mark(recovery: Recovery) -> str:
    return repr(
        (
            recovery._announcement,
            sorted(recovery._incarnations.items()),
            sorted((call, repr(read)) for call, read in recovery._reads.items()),
            sorted(recovery._records.items()),
        )
    )


def main(arguments: list[str] | None = None) -> int:
    """Explore scopes and print their counts."""
    parser = argparse.ArgumentParser(prog="python -m iristrack.simulation.explorer", description=__doc__)
    parser.add_argument("--scope", choices=sorted(SCOPES), help="one alone; all without it")
    parser.add_argument("--most-states", type=int, help="instead of the scope's bound")
    parser.add_argument("--planted", choices=PLANTED, default="", help="with a fault that is to be found")
    options = parser.parse_args(arguments)
    failed = False
    for name in [options.scope] if options.scope else sorted(SCOPES):
        scope = replace(SCOPES[name], planted=options.planted)
        if options.most_states is not None:
            scope = replace(scope, most_states=options.most_states)
        found = Explorer(scope).run()
        outcomes = ",".join(sorted({"+".join(o) for o in found.outcomes if o})) or "none"
        print(
            f"scope={name} states={found.states} depth={found.depth} complete={found.complete} outcomes={outcomes}"
            f" violations={int(found.violation is not None)}"
        )
        if found.violation is not None:
            failed = True
            print(f"violation: {found.violation.text}", *found.violation.events, sep="\n  ", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
