"""The hosts of the registers' simulation: acceptors on disks that fail, and clients that write and read."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from iristrack.register.acceptor import Acceptor, Cell, CellRecord, Outcome
from iristrack.register.effects import Effect, Finished, SendTo, SetTimer
from iristrack.register.identity import ProposerIdentity
from iristrack.register.member_set import change_members, settled
from iristrack.register.proposer import (
    Committed,
    Overtaken,
    Proposer,
    ProposerResult,
    Refuse,
    Rejected,
    Unavailable,
    Unchanged,
)
from iristrack.register.recovery import Recovered, Recovery, RecoveryPace
from iristrack.simulation.register_events import MILLISECOND, SECOND, EventQueue, Network
from iristrack.simulation.register_referee import ROOT, Referee
from iristrack.wire.messages import Accept, Accepted, MembersValue, Prepare, Promise
from iristrack.wire.values import decode_value

READ_SHARE = 0.25
OPERATION_LIMIT_NS = 2 * SECOND
LONGEST_THINKING_NS = 80 * MILLISECOND
LANES = 2  # operations that one client process has under way at the same time
USUAL_SYNC_NS = 2 * MILLISECOND
SLOW_SYNC_NS = 150 * MILLISECOND
ASKING_NS = 200 * MILLISECOND  # between two questions of a member without a disk for the member set
SETTLING_NS = 300 * MILLISECOND
RECOVERY_PACE = RecoveryPace(first_wait_ns=200 * MILLISECOND, longest_wait_ns=2 * SECOND)


MEMBERS_KEY = "member set"


@dataclass(frozen=True, slots=True)
class Planted:
    """Faults planted in the code under test, to show that the referee finds them."""

    proposer: type[Proposer] = Proposer
    recovery: type[Recovery] = Recovery
    reply_before_sync: bool = False
    vote_without_recovery: bool = False
    any_member_set: bool = False  # acceptors take messages of each member set, and tell of no newer one


@dataclass(slots=True)
class Surroundings:
    """What all hosts of one simulation share."""

    queue: EventQueue
    network: Network
    rng: random.Random
    figures: Counter[str]
    founded: MembersValue  # the member set that all begin with
    keys: tuple[str, ...]  # that clients change
    referee: Referee
    planted: Planted
    changing_members: bool = False
    known_sets: dict[str, MembersValue] = field(default_factory=dict)  # by node, as it is now

    @property
    def registers(self) -> tuple[str, ...]:
        """All keys that acceptors hold."""
        return (*self.keys, MEMBERS_KEY) if self.changing_members else self.keys

    def newest_set(self) -> MembersValue:
        """The newest member set that any node knows."""
        return max(self.known_sets.values(), key=lambda known: known.sequence, default=self.founded)

    def ask_somebody(self, asking: str) -> MembersValue:
        """The member set as some node knows it, which may be an old one."""
        if not self.changing_members:
            return self.founded
        others = [known for node, known in sorted(self.known_sets.items()) if node != asking]
        return self.rng.choice(others) if others else self.founded


@dataclass(slots=True)
class Disk:
    """What survives a crash; `incarnation` is empty until the disk holds a whole state."""

    incarnation: str = ""
    cells: dict[str, Cell] = field(default_factory=dict)
    members: MembersValue | None = None

    def write(self, record: CellRecord) -> None:
        """Write one record durably."""
        self.cells[record.key] = Cell(record.promised, record.accepted, record.value)


@dataclass(slots=True)
class PendingWrite:
    """An outcome whose record is not synced yet."""

    outcome: Outcome
    receiver: str


class AnySetAcceptor(Acceptor):
    """Takes messages of each member set, and answers as one of that set: a planted fault."""

    def _votes_on(self, key: str, member_sequence: int) -> bool:
        return super()._votes_on(key, self.member_sequence)

    def handle_prepare(self, prepare: Prepare) -> Outcome:
        """Promise whatever set the sender goes by."""
        outcome = super().handle_prepare(prepare)
        return Outcome(outcome.record, replace(outcome.reply, members=prepare.members))

    def handle_accept(self, accept: Accept) -> Outcome:
        """Accept whatever set the sender goes by."""
        outcome = super().handle_accept(accept)
        return Outcome(outcome.record, replace(outcome.reply, members=accept.members))


class AcceptorHost:
    """One core member: it writes records in order and releases each reply after them."""

    def __init__(self, name: str, around: Surroundings) -> None:
        """Start up on an empty disk: of a member of the first set, or of a spare machine."""
        self.name = name
        first = name in around.founded.members
        self.disk = Disk(incarnation=f"{name}-first" if first else "", members=around.founded)
        self.up = False
        self.sync_ns = USUAL_SYNC_NS
        self.refusing_writes = False
        self._around = around
        self._acceptor: Acceptor | None = None
        self._recovery: Recovery | None = None
        self._pending: list[PendingWrite] = []
        self._life = 0  # counts starts, so that events of an earlier one do nothing
        self._disk_free_ns = 0
        self._settling: Proposer | None = None
        around.network.attach(name, self.receive)
        self.start()

    def start(self) -> None:
        """Start the process, on whatever the disk holds."""
        self._life += 1
        self.up = True
        self.refusing_writes = False
        self._disk_free_ns = self._around.queue.now
        self._pending = []
        self._settling = None
        if not self.disk.incarnation and self._around.planted.vote_without_recovery:
            self.disk.incarnation = self._draw_name()
            self.disk.members = self._around.ask_somebody(self.name)
        if self.disk.incarnation:
            self._vote()
            self._settle()
        else:
            self._ask()

    def crash(self) -> None:
        """End the process; of the writes that are not synced a random number has reached the disk all the same."""
        survivors = self._around.rng.randint(0, len(self._pending))
        for pending in self._pending[:survivors]:
            if pending.outcome.record and not self.refusing_writes:
                self.disk.write(pending.outcome.record)
        self._life += 1
        self.up = False
        self._pending = []
        self._acceptor = None
        self._recovery = None
        self._settling = None

    def wipe(self) -> None:
        """Lose the disk, and the process with it."""
        self.crash()
        self.disk = Disk()
        self._around.known_sets.pop(self.name, None)

    def receive(self, sender: str, message: Prepare | Accept | Promise | Accepted | MembersValue) -> None:
        """Take a message from the network."""
        if isinstance(message, MembersValue):
            self._learn(message)
        elif isinstance(message, Promise | Accepted):
            self._tell_set(sender, message.members)
            self._answered(message)
        elif self._acceptor:
            self._tell_set(sender, message.members)
            if isinstance(message, Prepare):
                self._submit(self._acceptor.handle_prepare(message), sender)
            else:
                self._submit(self._acceptor.handle_accept(message), sender)

    def _answered(self, message: Promise | Accepted) -> None:
        now = self._around.queue.now
        if self._recovery and isinstance(message, Promise):
            self._perform(self._recovery.handle(message, now))
        if self._settling:
            self._perform(self._settling.handle(message, now))

    def _tell_set(self, sender: str, member_sequence: int) -> None:
        """Answer one of an older member set with the newer one."""
        if self._around.planted.any_member_set:
            return
        if self.disk.members and member_sequence < self.disk.members.sequence:
            self._around.network.send(self.name, sender, self.disk.members)

    def _learn(self, told: MembersValue) -> None:
        """Follow a newer set; like all that is told here, the record is synced before any later reply."""
        known = self.disk.members
        if not self.up or self.refusing_writes or (known and told.sequence <= known.sequence):
            return
        self.disk.members = told
        self._around.known_sets[self.name] = told
        if self.name not in told.members or told.joining == self.name:
            self.disk.incarnation = ""
            self._acceptor = None
            self._recovery = self._settling = None
            self._pending = []
            self._life += 1
            self._ask()
        elif self._acceptor:
            self._acceptor.member_sequence = told.sequence
        elif not self.disk.incarnation:
            self._recover()

    def _ask(self) -> None:
        """Without a vote: follow the set as others know it, and recover where this is a member."""
        told = self._around.ask_somebody(self.name)
        if self.disk.members is None or told.sequence > self.disk.members.sequence:
            self.disk.members = told
            self._recovery = None
        self._around.known_sets[self.name] = self.disk.members
        if self._recovery is None and self.name in self.disk.members.members:
            self._join()
        self._after(self._around.queue.now + ASKING_NS, self._ask_again)

    def _join(self) -> None:
        if self._around.planted.vote_without_recovery:
            self.disk.incarnation = self._draw_name()
            self._vote()
            self._settle()
        else:
            self._recover()

    def _ask_again(self) -> None:
        if not self.disk.incarnation:
            self._ask()

    def _vote(self) -> None:
        kind = AnySetAcceptor if self._around.planted.any_member_set else Acceptor
        self._around.known_sets[self.name] = self.disk.members
        self._acceptor = kind(
            self.name,
            self.disk.incarnation,
            self.disk.cells,
            True,
            keys=self._around.registers,
            member_sequence=self.disk.members.sequence,
        )

    def _recover(self) -> None:
        self._around.figures["recoveries_begun"] += 1
        self._recovery = self._around.planted.recovery(
            self.name,
            ProposerIdentity(self._draw_name()),
            self.disk.members,
            self._around.registers,
            self._around.rng,
            RECOVERY_PACE,
        )
        self._perform(self._recovery.start(self._around.queue.now))

    def _settle(self) -> None:
        """Have the set name no joining member any more, once this one votes."""
        members = self.disk.members
        if self._acceptor is None or self._settling or members.joining != self.name:
            return
        change = change_members(members, settled(members))
        identity = ProposerIdentity(self._draw_name())
        deadline = self._around.queue.now + OPERATION_LIMIT_NS
        self._settling = Proposer(identity, MEMBERS_KEY, members, change, self._around.rng, deadline)
        self._perform(self._settling.start(self._around.queue.now))

    def _end_settling(self, result: ProposerResult) -> None:
        self._settling = None
        if isinstance(result, Committed):
            self._around.figures["sets_settled"] += 1
            self._learn(decode_value(result.value, MembersValue))
        else:
            self._after(self._around.queue.now + SETTLING_NS, self._settle)

    def _draw_name(self) -> str:
        return f"{self.name}-{self._around.rng.getrandbits(48):012x}"

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self._around.network.send(self.name, effect.member, effect.message)
            elif isinstance(effect, SetTimer):
                self._after(effect.at_ns, self._on_timer)
            elif not isinstance(effect.result, Recovered):
                self._end_settling(effect.result)
            elif isinstance(effect, Finished):
                self._recovery = None
                self._after(
                    self._around.queue.now + self.sync_ns, lambda r=effect.result: self._end_recovery(r)
                )

    def _on_timer(self) -> None:
        if self._recovery:
            self._perform(self._recovery.on_timer(self._around.queue.now))
        if self._settling:
            self._perform(self._settling.on_timer(self._around.queue.now))

    def _end_recovery(self, recovered: Recovered) -> None:
        if self.disk.incarnation:
            return
        self._around.figures["recoveries_finished"] += 1
        for record in recovered.records:
            self.disk.write(record)
        self.disk.incarnation = self._draw_name()
        self._vote()
        self._settle()

    def _submit(self, outcome: Outcome, receiver: str) -> None:
        if self.refusing_writes and outcome.record:
            self._around.figures["writes_refused"] += 1
            self._acceptor.write_failed()
            self._pending = []
            self._life += 1
            return
        if self._around.planted.reply_before_sync:
            self._around.network.send(self.name, receiver, outcome.reply)
        self._pending.append(PendingWrite(outcome, receiver))
        if outcome.record:
            spread = self._around.rng.randint(self.sync_ns // 2, self.sync_ns)
            self._disk_free_ns = max(self._disk_free_ns, self._around.queue.now) + spread
        self._after(self._disk_free_ns, self._complete_write)

    def _complete_write(self) -> None:
        pending = self._pending.pop(0)
        if pending.outcome.record:
            self.disk.write(pending.outcome.record)
        if not self._around.planted.reply_before_sync:
            self._around.network.send(self.name, pending.receiver, pending.outcome.reply)

    def _after(self, at_ns: int, action: Callable[[], None]) -> None:
        life = self._life

        def act_if_alive() -> None:
            if self._life == life:
                action()

        self._around.queue.add(at_ns, act_if_alive)


class CompareAndSet:
    """One operation of a client, as the change function of a proposer."""

    def __init__(self, expected: bytes, content: bytes, on_propose: Callable[[], None]) -> None:
        """Write `content` where the value is `expected`."""
        self.expected = expected
        self.content = content
        self._on_propose = on_propose

    def __call__(self, current: bytes) -> bytes | Unchanged | Refuse:
        """Decide on the current value."""
        if current == self.content:
            return Unchanged()
        if current != self.expected:
            return Refuse("another value is there")
        self._on_propose()
        return self.content


def read_only(current: bytes) -> Unchanged:
    """Leave each value as it is."""
    return Unchanged()


@dataclass(slots=True)
class Operation:
    """One operation under way."""

    proposer: Proposer
    key: str
    floor: int  # newest version told when it began
    content: bytes | None  # None for a read


class Client:
    """One proposing process with several operations under way at the same time."""

    def __init__(self, name: str, around: Surroundings) -> None:
        """Start all lanes."""
        self.name = name
        self._around = around
        self._life = 0
        self._written = 0
        self._known: dict[str, bytes] = {}
        self._lanes: dict[int, Operation] = {}
        around.network.attach(name, self.receive)
        self.restart()

    def restart(self) -> None:
        """Forget all that is under way and go on as a new process."""
        self._life += 1
        self._lanes = {}
        self._known = dict.fromkeys(self._around.keys, ROOT)
        self._members = self._around.ask_somebody(self.name)
        self._identity = ProposerIdentity(f"{self.name}-{self._around.rng.getrandbits(48):012x}")
        for lane in range(LANES):
            self._think(lane)

    def stop(self) -> None:
        """End the process for good."""
        self._life += 1
        self._lanes = {}

    def receive(self, sender: str, message: Promise | Accepted | MembersValue) -> None:
        """Hand an answer to all operations; each knows its own."""
        if isinstance(message, MembersValue):
            self._follow(message)
            return
        if message.members < self._members.sequence and not self._around.planted.any_member_set:
            self._around.network.send(self.name, sender, self._members)
        for lane, operation in list(self._lanes.items()):
            self._perform(lane, operation.proposer.handle(message, self._around.queue.now))

    def _follow(self, members: MembersValue) -> None:
        if members.sequence <= self._members.sequence:
            return
        self._members = members
        for lane, operation in list(self._lanes.items()):
            self._perform(lane, operation.proposer.use(members, self._around.queue.now))

    def _think(self, lane: int) -> None:
        pause = self._around.rng.randint(0, LONGEST_THINKING_NS)
        self._after(self._around.queue.now + pause, lambda: self._begin(lane))

    def _begin(self, lane: int) -> None:
        rng = self._around.rng
        key = rng.choice(self._around.keys)
        history = self._around.referee.histories[key]
        content = None if rng.random() < READ_SHARE else self._new_content()
        change = read_only if content is None else self._compare_and_set(key, content)
        proposer = self._around.planted.proposer(
            self._identity,
            key,
            self._members,
            change,
            rng,
            self._around.queue.now + OPERATION_LIMIT_NS,
        )
        self._around.figures["operations"] += 1
        self._lanes[lane] = Operation(proposer, key, history.newest_told, content)
        self._perform(lane, proposer.start(self._around.queue.now))

    def _new_content(self) -> bytes:
        self._written += 1
        return f"{self.name}:{self._life}:{self._written}".encode()

    def _compare_and_set(self, key: str, content: bytes) -> CompareAndSet:
        history = self._around.referee.histories[key]
        expected = self._known[key]
        return CompareAndSet(expected, content, lambda: history.proposed(content, expected))

    def _perform(self, lane: int, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self._around.network.send(self.name, effect.member, effect.message)
            elif isinstance(effect, SetTimer):
                operation = self._lanes[lane]
                self._after(effect.at_ns, lambda o=operation: self._on_timer(lane, o))
            elif isinstance(effect, Finished):
                self._finish(lane, effect.result)

    def _on_timer(self, lane: int, operation: Operation) -> None:
        if self._lanes.get(lane) is operation:
            self._perform(lane, operation.proposer.on_timer(self._around.queue.now))

    def _finish(self, lane: int, result: ProposerResult) -> None:
        operation = self._lanes.pop(lane)
        self._around.figures[type(result).__name__.lower()] += 1
        self._report(operation, result)
        self._think(lane)

    def _report(self, operation: Operation, result: ProposerResult) -> None:
        history = self._around.referee.histories[operation.key]
        match result:
            case Committed(value=value):
                if operation.content is not None:
                    history.acknowledged(operation.content)
                history.told(value, operation.floor)
                self._known[operation.key] = value
            case Rejected(value=value):
                history.refused(operation.content)
                history.told(value, operation.floor)
                self._known[operation.key] = value
            case Overtaken(value=value):
                history.told(value, operation.floor)
                self._known[operation.key] = value
            case Unavailable(in_doubt=False) if operation.content is not None:
                history.refused(operation.content)

    def _after(self, at_ns: int, action: Callable[[], None]) -> None:
        life = self._life

        def act_if_alive() -> None:
            if self._life == life:
                action()

        self._around.queue.add(at_ns, act_if_alive)


class MemberChanger:
    """A process that changes the member set, one change at a time."""

    def __init__(self, name: str, around: Surroundings) -> None:
        """Begin with nothing under way."""
        self.name = name
        self._around = around
        self._proposer: Proposer | None = None
        self._sequence = 0  # of the set that was proposed last and was not refused
        self._running = True
        around.network.attach(name, self._receive)

    def begin(self, known: MembersValue, proposed: MembersValue) -> bool:
        """Propose a set in the place of the known one; false where another change is under way."""
        if self._proposer is not None or not self._running:
            return False
        deadline = self._around.queue.now + OPERATION_LIMIT_NS
        identity = ProposerIdentity(f"{self.name}-{self._around.rng.getrandbits(48):012x}")
        change = change_members(known, proposed)
        self._proposer = Proposer(identity, MEMBERS_KEY, known, change, self._around.rng, deadline)
        self._sequence = proposed.sequence
        self._perform(self._proposer.start(self._around.queue.now))
        return True

    def may_change(self) -> bool:
        """May a set be agreed on that no node knows yet?"""
        return self._sequence > self._around.newest_set().sequence

    def stop(self) -> None:
        """Change nothing more; what is under way ends."""
        self._running = False

    def _receive(self, sender: str, message: Promise | Accepted | MembersValue) -> None:
        proposer = self._proposer
        if proposer is None:
            return
        now = self._around.queue.now
        if isinstance(message, MembersValue):
            self._perform(proposer.use(message, now))
        else:
            self._perform(proposer.handle(message, now))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self._around.network.send(self.name, effect.member, effect.message)
            elif isinstance(effect, SetTimer):
                self._around.queue.add(effect.at_ns, lambda p=self._proposer: self._on_timer(p))
            elif isinstance(effect, Finished):
                self._finish(effect.result)

    def _on_timer(self, proposer: Proposer | None) -> None:
        if proposer is not None and proposer is self._proposer:
            self._perform(proposer.on_timer(self._around.queue.now))

    def _finish(self, result: ProposerResult) -> None:
        self._proposer = None
        if isinstance(result, Rejected) or result == Unavailable(in_doubt=False):
            self._sequence = 0
        if not isinstance(result, Committed):
            self._around.figures["set_changes_failed"] += 1
            return
        self._around.figures["sets_changed"] += 1
        told = decode_value(result.value, MembersValue)
        for node in sorted(self._around.known_sets):
            self._around.network.send(self.name, node, told)
