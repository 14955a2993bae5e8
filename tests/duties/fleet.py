"""Processes that share a duty through a register, in virtual time: each with a clock, freezes and starts of its own."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.controlplane.changes import claim_duty
from iristrack.duties.lease import Lease
from iristrack.wire.messages import DutyValue
from iristrack.wire.values import decode_value

MS = 1_000_000
LEASE_NS = 3_000 * MS
TICK_NS = 100 * MS
CLAIM_NS = 800 * MS


@dataclass(frozen=True)
class Trouble:
    """How much goes wrong, as shares of events."""

    lost_answers: float = 0.0
    lost_updates: float = 0.0
    slow_claims: float = 0.0
    freezes: float = 0.0  # per tick
    restarts: float = 0.0


@dataclass(frozen=True)
class Act:
    at: int
    node: str
    process: str
    fence: int


@dataclass(eq=False)
class Process:
    node: str
    number: int
    clock_offset: int  # its monotonic clock began at another time
    lease: Lease
    frozen_until: int = 0
    claiming: bool = False
    ended: bool = False
    held_back: list[Callable[[], None]] = field(default_factory=list)  # what happens to it while it is frozen

    def clock(self, now: int) -> int:
        return now + self.clock_offset

    def may_act(self, now: int) -> bool:
        return not self.ended and self.lease.may_act(self.clock(now))


class Fleet:
    def __init__(self, count: int, seed: int, trouble: Trouble) -> None:
        self.rng = random.Random(seed)
        self.trouble = trouble
        self.now = 10**12
        self.value = b""
        self.acts: list[Act] = []
        self.fences: list[tuple[str, str, int]] = []  # holder and fence, in the order of commits
        self.processes: list[Process] = []
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._started = 0
        self.on_event: Callable[[], None] = lambda: None
        for number in range(count):
            self.after(self.rng.randrange(0, 5_000 * MS), lambda number=number: self.start(f"core-{number}"))

    def after(self, delay: int, call: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, call))

    def run(self, span: int) -> None:
        end = self.now + span
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
            self.on_event()

    @property
    def acting(self) -> list[Process]:
        return [process for process in self.processes if process.may_act(self.now)]

    # ---- processes

    def start(self, node: str) -> None:
        self._started += 1
        offset = self.rng.randrange(-(10**12) // 2, 10**15)
        lease = Lease(node, f"process-{self._started}", LEASE_NS)
        process = Process(node, self._started, offset, lease)
        self.processes.append(process)
        self._tick(process)

    def _to(self, process: Process, delay: int, call: Callable[[], None]) -> None:
        """Have it happen to the process, at the end of its freeze if it is frozen then."""

        def arrive() -> None:
            if process.ended:
                return
            if self.now < process.frozen_until:
                process.held_back.append(call)
            else:
                call()

        self.after(delay, arrive)

    def freeze(self, process: Process, span: int) -> None:
        process.frozen_until = self.now + span

        def thaw() -> None:
            held, process.held_back = process.held_back, []
            self.rng.shuffle(held)
            for call in held:
                call()

        self.after(span, thaw)

    def end(self, process: Process) -> None:
        process.ended = True
        self.processes.remove(process)
        self.after(self.rng.randrange(0, 4_000 * MS), lambda: self.start(process.node))

    def _tick(self, process: Process) -> None:
        rng, lease = self.rng, process.lease
        now = process.clock(self.now)
        if not process.claiming:
            if lease.seen is None:
                lease.observe(None, now)
            if lease.should_claim(now):
                self._claim(process)
            elif lease.may_act(now):
                self.acts.append(Act(self.now, process.node, lease.process, lease.holding.fence))
        if rng.random() < self.trouble.restarts:
            self.end(process)
            return
        if rng.random() < self.trouble.freezes:
            self.freeze(process, rng.randrange(0, 9_000 * MS))
        self._to(process, TICK_NS + rng.randrange(0, 20 * MS), lambda: self._tick(process))

    # ---- the register

    def _claim(self, process: Process) -> None:
        """As the duty does it: the change is applied once or not at all between the call and its answer or later."""
        rng = self.rng
        process.claiming = True
        began = process.clock(self.now)
        change = claim_duty(process.lease.node, process.lease.process, process.lease.seen)
        slow = rng.random() < self.trouble.slow_claims
        travel = rng.randrange(0, 6_000 * MS if slow else 60 * MS)
        lost = rng.random() < self.trouble.lost_answers
        answered = False

        def answer(outcome: object, value: bytes) -> None:
            nonlocal answered
            if not answered:
                answered = True
                process.claiming = False
                self._take_answer(process, outcome, value, began)

        def give_up() -> None:
            nonlocal answered
            if not answered:
                answered = True
                process.claiming = False

        def reach_register() -> None:
            outcome = change(self.value)
            if isinstance(outcome, bytes):
                self._commit(outcome)
            if not lost:
                value = self.value
                self._to(process, rng.randrange(0, 60 * MS), lambda: answer(outcome, value))

        self.after(travel, reach_register)
        self._to(process, CLAIM_NS, give_up)

    def _take_answer(self, process: Process, outcome: object, value: bytes, began: int) -> None:
        now = process.clock(self.now)
        told = decode_value(value, DutyValue)
        if isinstance(outcome, bytes):
            process.lease.claimed(told, began, now)
        else:
            process.lease.observe(told, now)

    def _commit(self, value: bytes) -> None:
        self.value = value
        told = decode_value(value, DutyValue)
        self.fences.append((told.owner, told.process, told.fence))
        for process in self.processes:
            self._tell(process, value)

    def _tell(self, process: Process, value: bytes) -> None:
        """By a push, or where that is lost by the repair that a heartbeat brings."""
        lost = self.rng.random() < self.trouble.lost_updates
        delay = self.rng.randrange(0, 5_000 * MS if lost else 80 * MS)

        def hear() -> None:
            process.lease.observe(decode_value(value, DutyValue), process.clock(self.now))

        self._to(process, delay, hear)
