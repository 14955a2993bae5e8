"""Runs the register's state machines: sends their messages, sets their timers and hands over their results.

A change of a long value may exceed its timers while bytes still move between the members. Starting it again would only
queue a second copy of the value behind the first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from iristrack.register import (
    Effect,
    Finished,
    Proposer,
    ProposerResult,
    Recovered,
    Recovery,
    RetryPolicy,
    SendTo,
    SetTimer,
)
from iristrack.runtime.scheduler import Scheduler, Task, Timer
from iristrack.wire.messages import Accept, Accepted, MembersValue, Prepare, Promise

MIN_ATTEMPT_NS = RetryPolicy().attempt_timeout_ns
TRANSFER_NS_PER_BYTE = 250  # additional time for a long value: 1.8 s for 7 MiB
MAX_TRANSFER_NS_PER_BYTE = 1600  # limit while bytes still move between the members: a link of 5 Mbit/s
MIN_MOVED_BYTES = 16 * 1024  # progress between two checks that counts as moving


def transfer_ns(size: int) -> int:
    """Return the additional time (ns) that a change of a value of `size` bytes may take."""
    return size * TRANSFER_NS_PER_BYTE


@dataclass(slots=True, eq=False)
class RunningChange:
    """A running proposer and the task that waits for its result."""

    state_machine: Proposer
    task: Task
    began_at: int  # ns
    moved_bytes: int  # counter of bytes between the members at the last progress
    moved_at: int  # time of the last progress (ns)
    timer: Timer | None = None
    result: ProposerResult | None = None


@dataclass(slots=True, eq=False)
class RunningRecovery:
    """A running recovery and the callback for its result."""

    state_machine: Recovery
    on_recovered: Callable[[Recovered], None]
    timer: Timer | None = None


Running = RunningChange | RunningRecovery


class StateMachineRunner:
    """Runs all proposers and recoveries of one process."""

    def __init__(
        self,
        scheduler: Scheduler,
        send: Callable[[str, Prepare | Accept], None],
        value_size: Callable[[str], int],
        moved_bytes: Callable[[], int],
    ) -> None:
        """Create a runner without state machines.

        `send` sends a message to a member; messages may be lost. `value_size` returns the length (bytes) of the value
        of a register at this process's acceptor. `moved_bytes` counts the bytes written to and read from the other
        members.
        """
        self._scheduler = scheduler
        self._send = send
        self._value_size = value_size
        self._moved_bytes = moved_bytes
        self._running: list[Running] = []

    @property
    def under_way(self) -> int:
        """The number of state machines that have not ended."""
        return len(self._running)

    def run(self, proposer: Proposer) -> ProposerResult:
        """Run a change to its end; call this from a task of the loop."""
        now = self._scheduler.now()
        running = RunningChange(proposer, self._scheduler.current, now, self._moved_bytes(), now)
        self.start(running)
        try:
            while running.result is None:
                self._scheduler.wait(-1, 0, None)
        finally:
            self.drop(running)
        return running.result

    def start(self, running: Running) -> None:
        """Start a state machine."""
        self._running.append(running)
        self._carry_out(running, running.state_machine.start(self._scheduler.now()))

    def drop(self, running: Running) -> None:
        """Stop running a state machine; does nothing if it has ended."""
        if running.timer is not None:
            running.timer.cancel()
        if running in self._running:
            self._running.remove(running)

    def dispatch(self, answer: Promise | Accepted) -> None:
        """Pass an answer to every state machine that may have asked for it."""
        for running in list(self._running):
            if isinstance(running, RunningRecovery) and not isinstance(answer, Promise):
                continue
            self._carry_out(running, running.state_machine.handle(answer, self._scheduler.now()))

    def use(self, members: MembersValue) -> None:
        """Switch the running changes to a newer member set."""
        for running in list(self._running):
            if isinstance(running, RunningChange):
                self._carry_out(running, running.state_machine.use(members, self._scheduler.now()))

    def _carry_out(self, running: Running, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self._send(effect.member, effect.message)
            elif isinstance(effect, SetTimer):
                self._set_timer(running, effect.at_ns)
            elif isinstance(effect, Finished):
                self._finish(running, effect.result)

    def _set_timer(self, running: Running, at_ns: int) -> None:
        if running.timer is not None:
            running.timer.cancel()
        running.timer = self._scheduler.call_at(at_ns, self._on_timer, running)

    def _on_timer(self, running: Running) -> None:
        now = self._scheduler.now()
        if isinstance(running, RunningChange) and self._is_moving(running, now):
            self._set_timer(running, now + MIN_ATTEMPT_NS)
            return
        self._carry_out(running, running.state_machine.on_timer(now))

    def _is_moving(self, running: RunningChange, now: int) -> bool:
        """Tell whether a long value is still being transferred."""
        moved = self._moved_bytes()
        size = max(running.state_machine.proposal_size, self._value_size(running.state_machine.key))
        if moved - running.moved_bytes >= MIN_MOVED_BYTES:
            running.moved_bytes, running.moved_at = moved, now
        stall_ns = max(MIN_ATTEMPT_NS, transfer_ns(size))  # bytes sent may still be queued in the network
        is_late = now - running.began_at > size * MAX_TRANSFER_NS_PER_BYTE
        return not is_late and now - running.moved_at < stall_ns

    def _finish(self, running: Running, result: ProposerResult | Recovered) -> None:
        if isinstance(running, RunningRecovery):
            self.drop(running)
            running.on_recovered(result)
            return
        running.result = result
        running.task.wake()
