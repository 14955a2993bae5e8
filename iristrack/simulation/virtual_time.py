"""Virtual time for whole programs: schedulers that share one queue of events, and never wait.

Each simulated process has a `VirtualScheduler` of its own, so that it can be killed or frozen by itself: events of a
process that has ended are dropped, those of a frozen one come when it thaws, in their order. Times are in nanoseconds
from the start of the run.
"""

from __future__ import annotations

import heapq
import traceback
from collections.abc import Callable
from typing import Any

from iristrack.runtime.scheduler import Cancelled, Scheduler, Task, Timer


class World:
    """The queue of events of all processes."""

    def __init__(self) -> None:
        """Time begins at 0."""
        self.now = 0
        self.failures: list[str] = []  # what ended a task of a program unexpectedly
        self._events: list[tuple[int, int, VirtualScheduler | None, Callable[..., None], tuple]] = []
        self._sequence = 0

    def at(self, when: int, owner: VirtualScheduler | None, call: Callable[..., None], *args: object) -> None:
        """Have `call` made at a time, for a process or, with None, for the simulation itself."""
        self._sequence += 1
        heapq.heappush(self._events, (max(when, self.now), self._sequence, owner, call, args))

    def run_until(self, end: int) -> None:
        """Carry out all events up to a time."""
        while self._events and self._events[0][0] <= end:
            when, _, owner, call, args = heapq.heappop(self._events)
            self.now = when
            if owner is None:
                call(*args)
            elif owner.alive:
                if owner.frozen_until > when:
                    self.at(owner.frozen_until, owner, call, *args)
                else:
                    owner.carry_out(call, args)
        self.now = max(self.now, end)


class VirtualScheduler(Scheduler):
    """One process's tasks and timers in virtual time; it knows no descriptors."""

    def __init__(self, world: World) -> None:
        """The process lives until `alive` is set to false."""
        super().__init__(lambda text: world.failures.append(f"{text}\n{traceback.format_exc()}"))
        self.world = world
        self.alive = True
        self.frozen_until = 0
        self._waits = 0

    def now(self) -> int:
        """The virtual time."""
        return self.world.now

    def spawn(self, name: str, call: Callable[..., None], *args: object) -> Task:
        """Start a task with the next event."""
        task = Task(self, name, call, args)
        self.world.at(self.world.now, self, self._switch, task, None)
        return task

    def call_at(self, when: int, call: Callable[..., None], *args: object) -> Timer:
        """Have `call` made at a time."""
        timer = Timer(self, call, args)
        self.world.at(when, self, self._fire, timer)
        return timer

    def forget_timer(self) -> None:
        """Cancelled timers stay in the queue until they are due."""

    def wait(self, fd: int, events: int, deadline: int | None) -> int:
        """Wait for a `wake` or the deadline; raises `TimeoutError` at that."""
        task = self.current
        if task is None or fd >= 0:
            raise RuntimeError("only a task may wait, and for no descriptor")
        if task.cancelled:
            raise Cancelled
        if deadline is not None:
            if deadline <= self.world.now:
                raise TimeoutError
            self._waits += 1
            task.deadline = self._waits
            self.world.at(deadline, self, self._expire, task, self._waits)
        task.parked = True
        result = self.hub.switch()
        if isinstance(result, BaseException):
            raise result
        return result

    def sleep(self, ns: int) -> None:
        """Let time pass, or until a `wake`."""
        try:
            self.wait(-1, 0, self.world.now + ns)
        except TimeoutError:
            return

    def resume(self, task: Task, result: object) -> None:
        """Take a task out of its wait; it goes on with the next event."""
        task.parked = False
        task.deadline = 0
        self.world.at(self.world.now, self, self._switch, task, result)

    def stop(self) -> None:
        """End the process."""
        self.alive = False

    def carry_out(self, call: Callable[..., None], args: tuple) -> None:
        """Make a call of the loop; what it raises is a failure of the program."""
        self._call(call, args)

    def _switch(self, task: Task, result: Any) -> None:
        if task.done:
            return
        before, self.current = self.current, task
        task.greenlet.switch(result) if task.greenlet else task.greenlet.switch()
        self.current = before

    def _fire(self, timer: Timer) -> None:
        if timer.call is not None:
            call, args = timer.call, timer.args
            timer.call = None
            call(*args)

    def _expire(self, task: Task, wait: int) -> None:
        if task.parked and task.deadline == wait:
            self.resume(task, TimeoutError())
