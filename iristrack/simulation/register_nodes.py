"""The hosts of the registers' simulation: acceptors on disks that fail, and clients that write and read."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.register.acceptor import Acceptor, Cell, CellRecord, Outcome
from iristrack.register.effects import Effect, Finished, SendTo, SetTimer
from iristrack.register.identity import ProposerIdentity
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
from iristrack.wire.messages import Accept, Accepted, Prepare, Promise

READ_SHARE = 0.25
OPERATION_LIMIT_NS = 2 * SECOND
LONGEST_THINKING_NS = 80 * MILLISECOND
LANES = 2  # operations that one client process has under way at the same time
USUAL_SYNC_NS = 2 * MILLISECOND
SLOW_SYNC_NS = 150 * MILLISECOND
RECOVERY_PACE = RecoveryPace(first_wait_ns=200 * MILLISECOND, longest_wait_ns=2 * SECOND)


@dataclass(frozen=True, slots=True)
class Planted:
    """Faults planted in the code under test, to show that the referee finds them."""

    proposer: type[Proposer] = Proposer
    recovery: type[Recovery] = Recovery
    reply_before_sync: bool = False
    vote_without_recovery: bool = False


@dataclass(slots=True)
class Surroundings:
    """What all hosts of one simulation share."""

    queue: EventQueue
    network: Network
    rng: random.Random
    figures: Counter[str]
    members: tuple[str, ...]
    keys: tuple[str, ...]
    referee: Referee
    planted: Planted


@dataclass(slots=True)
class Disk:
    """What survives a crash; `incarnation` is empty until the disk holds a whole state."""

    incarnation: str = ""
    cells: dict[str, Cell] = field(default_factory=dict)

    def write(self, record: CellRecord) -> None:
        """Write one record durably."""
        self.cells[record.key] = Cell(record.promised, record.accepted, record.value)


@dataclass(slots=True)
class PendingWrite:
    """An outcome whose record is not synced yet."""

    outcome: Outcome
    receiver: str


class AcceptorHost:
    """One core member: it writes records in order and releases each reply after them."""

    def __init__(self, name: str, around: Surroundings) -> None:
        """Start up on an empty disk of a whole new group."""
        self.name = name
        self.disk = Disk(incarnation=f"{name}-first")
        self.up = False
        self.sync_ns = USUAL_SYNC_NS
        self.refusing_writes = False
        self._around = around
        self._acceptor: Acceptor | None = None
        self._recovery: Recovery | None = None
        self._pending: list[PendingWrite] = []
        self._life = 0  # counts starts, so that events of an earlier one do nothing
        self._disk_free_ns = 0
        around.network.attach(name, self.receive)
        self.start()

    def start(self) -> None:
        """Start the process, on whatever the disk holds."""
        self._life += 1
        self.up = True
        self.refusing_writes = False
        self._disk_free_ns = self._around.queue.now
        self._pending = []
        if not self.disk.incarnation and self._around.planted.vote_without_recovery:
            self.disk.incarnation = self._draw_name()
        if self.disk.incarnation:
            self._vote()
        else:
            self._recover()

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

    def wipe(self) -> None:
        """Lose the disk, and the process with it."""
        self.crash()
        self.disk = Disk()

    def receive(self, sender: str, message: Prepare | Accept | Promise) -> None:
        """Take a message from the network."""
        if isinstance(message, Promise):
            if self._recovery:
                self._perform(self._recovery.handle(message, self._around.queue.now))
        elif self._acceptor and isinstance(message, Prepare):
            self._submit(self._acceptor.handle_prepare(message), sender)
        elif self._acceptor and isinstance(message, Accept):
            self._submit(self._acceptor.handle_accept(message), sender)

    def _vote(self) -> None:
        self._acceptor = Acceptor(
            self.name, self.disk.incarnation, self.disk.cells, True, keys=self._around.keys
        )

    def _recover(self) -> None:
        self._around.figures["recoveries_begun"] += 1
        self._recovery = self._around.planted.recovery(
            self.name,
            ProposerIdentity(self._draw_name()),
            self._around.members,
            self._around.keys,
            self._around.rng,
            RECOVERY_PACE,
        )
        self._perform(self._recovery.start(self._around.queue.now))

    def _draw_name(self) -> str:
        return f"{self.name}-{self._around.rng.getrandbits(48):012x}"

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self._around.network.send(self.name, effect.member, effect.message)
            elif isinstance(effect, SetTimer):
                self._after(effect.at_ns, self._on_timer)
            elif isinstance(effect, Finished):
                self._recovery = None
                self._after(
                    self._around.queue.now + self.sync_ns, lambda r=effect.result: self._end_recovery(r)
                )

    def _on_timer(self) -> None:
        if self._recovery:
            self._perform(self._recovery.on_timer(self._around.queue.now))

    def _end_recovery(self, recovered: Recovered) -> None:
        self._around.figures["recoveries_finished"] += 1
        for record in recovered.records:
            self.disk.write(record)
        self.disk.incarnation = self._draw_name()
        self._vote()

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
        self._identity = ProposerIdentity(f"{self.name}-{self._around.rng.getrandbits(48):012x}")
        for lane in range(LANES):
            self._think(lane)

    def stop(self) -> None:
        """End the process for good."""
        self._life += 1
        self._lanes = {}

    def receive(self, sender: str, message: Promise | Accepted) -> None:
        """Hand an answer to all operations; each knows its own."""
        for lane, operation in list(self._lanes.items()):
            self._perform(lane, operation.proposer.handle(message, self._around.queue.now))

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
            self._around.members,
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
