"""Simulation of processes that share a duty through a register, each with its own clock, freezes and restarts."""

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
CLAIM_TIMEOUT_NS = 800 * MS


@dataclass(frozen=True)
class FaultRates:
    """Fault rates, as shares of events."""

    lost_answers: float = 0.0
    lost_updates: float = 0.0
    slow_claims: float = 0.0
    freezes: float = 0.0  # per tick
    restarts: float = 0.0


@dataclass(frozen=True)
class Action:
    at: int
    node: str
    process: str
    fence: int


@dataclass(eq=False)
class Process:
    node: str
    number: int
    clock_offset: int  # of its monotonic clock
    lease: Lease
    frozen_until: int = 0
    claiming: bool = False
    ended: bool = False
    delayed_calls: list[Callable[[], None]] = field(
        default_factory=list
    )  # calls delayed until the end of its freeze

    def clock(self, now: int) -> int:
        return now + self.clock_offset

    def may_act(self, now: int) -> bool:
        return not self.ended and self.lease.may_act(self.clock(now))


class Fleet:
    def __init__(self, count: int, seed: int, faults: FaultRates) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.now = 10**12
        self.value = b""
        self.actions: list[Action] = []
        self.fences: list[tuple[str, str, int]] = []  # holder and fencing token, in commit order
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

    def run(self, span_ns: int) -> None:
        end = self.now + span_ns
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
            self.on_event()

    @property
    def active_processes(self) -> list[Process]:
        return [process for process in self.processes if process.may_act(self.now)]

    # ---- processes

    def start(self, node: str) -> None:
        self._started += 1
        offset = self.rng.randrange(-(10**12) // 2, 10**15)
        lease = Lease(node, f"process-{self._started}", LEASE_NS)
        process = Process(node, self._started, offset, lease)
        self.processes.append(process)
        self._tick(process)

    def _deliver(self, process: Process, delay: int, call: Callable[[], None]) -> None:
        """Deliver a call to the process after `delay`, or at the end of its freeze."""

        def arrive() -> None:
            if process.ended:
                return
            if self.now < process.frozen_until:
                process.delayed_calls.append(call)
            else:
                call()

        self.after(delay, arrive)

    def freeze(self, process: Process, span_ns: int) -> None:
        process.frozen_until = self.now + span_ns

        def thaw() -> None:
            delayed, process.delayed_calls = process.delayed_calls, []
            self.rng.shuffle(delayed)
            for call in delayed:
                call()

        self.after(span_ns, thaw)

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
                self.actions.append(Action(self.now, process.node, lease.process, lease.holding.fence))
        if rng.random() < self.faults.restarts:
            self.end(process)
            return
        if rng.random() < self.faults.freezes:
            self.freeze(process, rng.randrange(0, 9_000 * MS))
        self._deliver(process, TICK_NS + rng.randrange(0, 20 * MS), lambda: self._tick(process))

    # ---- the register

    def _claim(self, process: Process) -> None:
        """Claim the duty; the change is applied at most once, before or after the claim times out."""
        rng = self.rng
        process.claiming = True
        started_at = process.clock(self.now)
        change = claim_duty(process.lease.node, process.lease.process, process.lease.seen)
        slow = rng.random() < self.faults.slow_claims
        travel_ns = rng.randrange(0, 6_000 * MS if slow else 60 * MS)
        lost = rng.random() < self.faults.lost_answers
        answered = False

        def answer(outcome: object, value: bytes) -> None:
            nonlocal answered
            if not answered:
                answered = True
                process.claiming = False
                self._take_answer(process, outcome, value, started_at)

        def time_out() -> None:
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
                self._deliver(process, rng.randrange(0, 60 * MS), lambda: answer(outcome, value))

        self.after(travel_ns, reach_register)
        self._deliver(process, CLAIM_TIMEOUT_NS, time_out)

    def _take_answer(self, process: Process, outcome: object, value: bytes, started_at: int) -> None:
        now = process.clock(self.now)
        decoded = decode_value(value, DutyValue)
        if isinstance(outcome, bytes):
            process.lease.claimed(decoded, started_at, now)
        else:
            process.lease.observe(decoded, now)

    def _commit(self, value: bytes) -> None:
        self.value = value
        decoded = decode_value(value, DutyValue)
        self.fences.append((decoded.owner, decoded.process, decoded.fence))
        for process in self.processes:
            self._publish(process, value)

    def _publish(self, process: Process, value: bytes) -> None:
        """Deliver the value by a push, or by the catch-up after a heartbeat if the push is lost."""
        lost = self.rng.random() < self.faults.lost_updates
        delay = self.rng.randrange(0, 5_000 * MS if lost else 80 * MS)

        def receive() -> None:
            process.lease.observe(decode_value(value, DutyValue), process.clock(self.now))

        self._deliver(process, delay, receive)
