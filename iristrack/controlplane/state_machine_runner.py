"""Carries out what proposers and recoveries ask for: messages, timers, and their ends.

A change of a long value goes on beyond its timers while bytes move between the members: to begin it anew would send the
value once more, behind itself.
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
SLOWEST_NS_PER_BYTE = 250  # a value is given so much more time for its length: 7 MiB get 1.8 s,
SLOWEST_MOVING_NS_PER_BYTE = (
    1600  # and so much as long as bytes move between the members, which is one at 5 Mbit/s
)
LEAST_MOVED_BYTES = 16 * 1024  # between two looks, to count as moving


def transfer_ns(size: int) -> int:
    """How much longer a change of a value of so many bytes may take (ns)."""
    return size * SLOWEST_NS_PER_BYTE


@dataclass(slots=True, eq=False)
class RunningChange:
    """A proposer, and the task that waits for its result."""

    state_machine: Proposer
    task: Task
    began_at: int  # ns
    moved_bytes: int  # between the members, when these were last seen to move,
    moved_at: int  # and when that was (ns)
    timer: Timer | None = None
    result: ProposerResult | None = None


@dataclass(slots=True, eq=False)
class RunningRecovery:
    """A recovery, and what is done with its end."""

    state_machine: Recovery
    on_recovered: Callable[[Recovered], None]
    timer: Timer | None = None


Running = RunningChange | RunningRecovery


class StateMachineRunner:
    """All proposers and recoveries of one process."""

    def __init__(
        self,
        scheduler: Scheduler,
        send: Callable[[str, Prepare | Accept], None],
        value_size: Callable[[str], int],
        moved_bytes: Callable[[], int],
    ) -> None:
        """`send` takes a member and a message to it, which may be lost.

        `value_size` tells how many bytes this process's acceptor holds of a register, `moved_bytes` how many were
        written to the other members and read from them.
        """
        self._scheduler = scheduler
        self._send = send
        self._value_size = value_size
        self._moved_bytes = moved_bytes
        self._running: list[Running] = []

    @property
    def under_way(self) -> int:
        """How many have not ended."""
        return len(self._running)

    def run(self, proposer: Proposer) -> ProposerResult:
        """Carry a change to its end, from a task of the loop."""
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
        """Begin."""
        self._running.append(running)
        self._carry_out(running, running.state_machine.start(self._scheduler.now()))

    def drop(self, running: Running) -> None:
        """Go on with it no more; harmless where it has ended."""
        if running.timer is not None:
            running.timer.cancel()
        if running in self._running:
            self._running.remove(running)

    def dispatch(self, answer: Promise | Accepted) -> None:
        """Give an answer to all that may have asked for it."""
        for running in list(self._running):
            if isinstance(running, RunningRecovery) and not isinstance(answer, Promise):
                continue
            self._carry_out(running, running.state_machine.handle(answer, self._scheduler.now()))

    def use(self, members: MembersValue) -> None:
        """Have the changes under way go by a newer member set."""
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
        """Is a long value still on its way?"""
        moved = self._moved_bytes()
        size = max(running.state_machine.proposal_size, self._value_size(running.state_machine.key))
        if moved - running.moved_bytes >= LEAST_MOVED_BYTES:
            running.moved_bytes, running.moved_at = moved, now
        rests_ns = max(MIN_ATTEMPT_NS, transfer_ns(size))  # what has left here may lie on the way
        is_late = now - running.began_at > size * SLOWEST_MOVING_NS_PER_BYTE
        return not is_late and now - running.moved_at < rests_ns

    def _finish(self, running: Running, result: ProposerResult | Recovered) -> None:
        if isinstance(running, RunningRecovery):
            self.drop(running)
            running.on_recovered(result)
            return
        running.result = result
        running.task.wake()
