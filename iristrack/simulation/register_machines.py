"""The machines of the registers' simulation: real register hosts on disks that fail, clients that write and read."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.controlplane.member_changes import MemberChanges
from iristrack.controlplane.register_host import MEMBERS_BLOB, RegisterHost
from iristrack.register.member_set import change_members, is_shrinking
from iristrack.register.proposer import (
    Committed,
    Overtaken,
    ProposerResult,
    Refuse,
    Rejected,
    RetryPolicy,
    Unavailable,
    Unchanged,
)
from iristrack.relay import topics
from iristrack.simulation.register_network import MILLISECOND, LossyNetwork
from iristrack.simulation.register_referee import ROOT, Referee
from iristrack.simulation.virtual_machines import SilentLog, VirtualDisk, VirtualSync
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.store.acceptor_store import IdentityRecord
from iristrack.wire.messages import MembersValue, Message, Update
from iristrack.wire.values import decode_value, encode_value

READ_SHARE = 0.25
OPERATION_LIMIT_NS = 2000 * MILLISECOND
LONGEST_THINKING_NS = 80 * MILLISECOND
LANES = 2  # operations that one client process has under way at the same time
USUAL_SYNC_NS = 2 * MILLISECOND
SLOW_SYNC_NS = 150 * MILLISECOND
ASKING_NS = 200 * MILLISECOND  # between two questions for the member set of a machine that does not vote


@dataclass(slots=True)
class Surroundings:
    """What all machines of one simulation share."""

    world: World
    network: LossyNetwork
    rng: random.Random
    figures: Counter[str]
    founded: MembersValue  # the member set that all begin with
    keys: tuple[str, ...]  # that clients change
    referee: Referee
    machines: dict[str, RegisterMachine] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)  # what the processes logged
    events: Counter[str] = field(default_factory=Counter)  # how often, by the name of the event

    def newest_set(self) -> MembersValue:
        """The newest member set that any machine knows."""
        known = [machine.member_set for machine in self.machines.values()]
        return max(known, key=lambda members: members.sequence, default=self.founded)

    def ask_somebody(self, asking: str) -> MembersValue:
        """The member set as some other machine knows it, which may be an old one."""
        others = [
            machine.member_set
            for name, machine in sorted(self.machines.items())
            if name != asking and machine.member_set.members
        ]
        return self.rng.choice(others) if others else self.founded


class RegisterMachine:
    """A core machine: its disk, and the process with its register host while one runs."""

    def __init__(self, name: str, around: Surroundings) -> None:
        """Start up: a member of the first set on its disk, any other on an empty one."""
        self.name = name
        self.around = around
        self.disk = VirtualDisk(sync_ns=USUAL_SYNC_NS)
        self.scheduler: VirtualScheduler | None = None
        self.sync: VirtualSync | None = None
        self.host: RegisterHost | None = None
        if name in around.founded.members:
            first = IdentityRecord(f"{name}-first", name)
            self.disk.keep([first])
            self.disk.blobs[MEMBERS_BLOB] = encode_value(around.founded)
        around.network.attach(name, self.receive)
        around.machines[name] = self
        self.start()

    @property
    def up(self) -> bool:
        """Does a process run?"""
        return self.scheduler is not None and self.scheduler.alive

    @property
    def recovered(self) -> bool:
        """Does it hold a whole state to vote from, as its process knows, or its disk while none runs?"""
        if self.up:
            return self.host.acceptor is not None
        return self.disk.identity is not None and self.disk.identity.incarnation != ""

    @property
    def member_set(self) -> MembersValue:
        """The member set that the process, or the disk, goes by."""
        if self.up:
            return self.host.member_set
        return decode_value(self.disk.blobs.get(MEMBERS_BLOB, b""), MembersValue) or MembersValue(0)

    def start(self) -> None:
        """Start the process, on whatever the disk holds."""
        around = self.around
        self.scheduler = VirtualScheduler(around.world)
        self.sync = VirtualSync(self.scheduler, self.disk)
        log = SilentLog(around.world, self.name, around.lines, around.events)
        self.host = RegisterHost(
            self.scheduler,
            self.name,
            self.disk.opened(self.name),
            self.sync,
            self._send,
            (*around.keys, topics.MEMBER_SET),
            log,
            random.Random(around.rng.getrandbits(64)),
            lambda: around.network.moved_bytes(self.name),
        )
        MemberChanges(
            self.scheduler,
            self.host,
            lambda: list(self.host.members),  # nobody counts as silent: the simulation draws the changes
            dict,
            lambda: True,
            self.publish,
            log,
        )
        self.scheduler.spawn("ask for the member set", self._ask_for_members)

    def crash(self) -> None:
        """End the process; of the writes that are not synced a random number has reached the disk all the same."""
        if self.up:
            self.disk.keep_some(self.sync.unsynced(), self.around.rng)
            self.scheduler.alive = False

    def wipe(self) -> None:
        """Lose the disk, and the process with it."""
        self.crash()
        self.disk.wipe()

    def receive(self, sender: str, message: Message) -> None:
        """Take a message from the network."""
        if self.up:
            self.scheduler.carry_out(self._handle, (sender, message))

    def publish(self, told: MembersValue) -> None:
        """Follow a set that was agreed on, and tell the other core machines; clients find out by themselves."""
        self.around.figures["sets_settled"] += not told.joining and not told.leaving
        self.around.figures["members_removed"] += is_shrinking(told)
        self._follow(told)
        update = Update(topics.MEMBERS, told.sequence, encode_value(told))
        for name, machine in sorted(self.around.machines.items()):
            if machine is not self and not isinstance(machine, Client):
                self._send(name, update)

    def _handle(self, sender: str, message: Message) -> None:
        if isinstance(message, Update):
            self._follow(decode_value(message.value, MembersValue))
        else:
            self.host.handle(message, lambda answer: self._send(sender, answer))

    def _send(self, receiver: str, message: Message) -> None:
        self.around.network.send(self.name, receiver, message)

    def _follow(self, told: MembersValue) -> None:
        self.host.follow(told, False, lambda: None)

    def _ask_for_members(self) -> None:
        """Hear of a set at the start, as the program does of its own, and of newer ones while it does not vote."""
        if not self.host.voting:
            self._follow(self.host.member_set if self.host.members else self.around.ask_somebody(self.name))
        while True:
            self.scheduler.sleep(ASKING_NS)
            told = self.around.ask_somebody(self.name)
            if not self.host.voting and told.sequence > self.host.member_set.sequence:
                self._follow(told)


class MemberChanger:
    """Has member sets proposed by machines that run, one change at a time."""

    def __init__(self, around: Surroundings) -> None:
        """Begin with nothing under way."""
        self._around = around
        self._proposing: VirtualScheduler | None = None  # the process that proposes
        self._sequence = 0  # of the set that was proposed last and was not refused
        self._running = True

    def begin(self, machine: RegisterMachine, known: MembersValue, proposed: MembersValue) -> bool:
        """Have a set proposed in the place of the known one; false where another change is under way."""
        is_busy = self._proposing is not None and self._proposing.alive
        if is_busy or not self._running or not machine.up:
            return False
        self._proposing = machine.scheduler
        self._sequence = proposed.sequence
        machine.scheduler.spawn("change of the member set", self._change, machine, known, proposed)
        return True

    def may_change(self) -> bool:
        """May a set be agreed on that no machine knows yet?"""
        return self._sequence > self._around.newest_set().sequence

    def stop(self) -> None:
        """Change nothing more; what is under way ends."""
        self._running = False

    def _change(self, machine: RegisterMachine, known: MembersValue, proposed: MembersValue) -> None:
        change = change_members(known, proposed)
        deadline = self._around.world.now + OPERATION_LIMIT_NS
        result = machine.host.change(topics.MEMBER_SET, change, deadline, RetryPolicy())
        self._proposing = None
        if isinstance(result, Rejected) or result == Unavailable(in_doubt=False):
            self._sequence = 0
        if isinstance(result, Committed):
            self._around.figures["sets_changed"] += 1
            machine.publish(decode_value(result.value, MembersValue))
        else:
            self._around.figures["set_changes_failed"] += 1


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


class Client(RegisterMachine):
    """A machine that is never a member; its process has several operations under way at the same time."""

    def __init__(self, name: str, around: Surroundings, lanes: int = LANES) -> None:
        """Start all lanes."""
        self._lanes = lanes
        self._starts = 0
        self._written = 0
        self._known: dict[str, bytes] = {}
        super().__init__(name, around)

    def start(self) -> None:
        """Forget all that is under way and go on as a new process, by a member set that may be an old one."""
        self.crash()
        self._starts += 1
        self._known = dict.fromkeys(self.around.keys, ROOT)
        self.disk.blobs[MEMBERS_BLOB] = encode_value(self.around.ask_somebody(self.name))
        super().start()
        for _ in range(self._lanes):
            self.scheduler.spawn("operations", self._run_lane)

    def read(self, key: str, limit_ns: int, on_result: Callable[[ProposerResult], None]) -> None:
        """Read a register once, for so long at most."""

        def run() -> None:
            on_result(self.host.change(key, read_only, self.around.world.now + limit_ns, RetryPolicy()))

        self.scheduler.spawn("read", run)

    def _run_lane(self) -> None:
        while True:
            self.scheduler.sleep(self.around.rng.randint(0, LONGEST_THINKING_NS))
            self._operate()

    def _operate(self) -> None:
        rng = self.around.rng
        key = rng.choice(self.around.keys)
        floor = self.around.referee.histories[key].newest_told
        content = None if rng.random() < READ_SHARE else self._new_content()
        change = read_only if content is None else self._compare_and_set(key, content)
        self.around.figures["operations"] += 1
        result = self.host.change(key, change, self.around.world.now + OPERATION_LIMIT_NS, RetryPolicy())
        self.around.figures[type(result).__name__.lower()] += 1
        self._report(key, floor, content, result)

    def _new_content(self) -> bytes:
        self._written += 1
        return f"{self.name}:{self._starts}:{self._written}".encode()

    def _compare_and_set(self, key: str, content: bytes) -> CompareAndSet:
        history = self.around.referee.histories[key]
        expected = self._known[key]
        return CompareAndSet(expected, content, lambda: history.proposed(content, expected))

    def _report(self, key: str, floor: int, content: bytes | None, result: ProposerResult) -> None:
        history = self.around.referee.histories[key]
        match result:
            case Committed(value=value):
                if content is not None:
                    history.acknowledged(content)
                history.told(value, floor)
                self._known[key] = value
            case Rejected(value=value):
                history.refused(content)
                history.told(value, floor)
                self._known[key] = value
            case Overtaken(value=value):
                history.told(value, floor)
                self._known[key] = value
            case Unavailable(in_doubt=False) if content is not None:
                history.refused(content)
