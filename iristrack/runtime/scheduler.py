"""Greenlets over `select.poll`: tasks, waits with deadlines, timers and cancellation.

This file owns the one loop of the process and its one clock. It knows file descriptors and time, and nothing
of what they carry: no HTTP, no requests, no decisions. It must never let a task's failure end the loop.
"""

from __future__ import annotations

import heapq
import select
import socket
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet

HANG_UP = getattr(select, "POLLRDHUP", select.POLLHUP)
READ = select.POLLIN | HANG_UP
WRITE = select.POLLOUT
WOKEN = 0  # what `wait` returns when another task called `wake`
MIN_STALE_TIMERS = 256  # cancelled timers that the heap may always hold

# Unix time as of the start, carried on by the monotonic clock: comparable with other machines' stamps, and
# a step of the wall clock moves neither deadlines nor the ages of pool servers.
_OFFSET = time.time_ns() - time.monotonic_ns()


def clock() -> int:
    """The one clock that tasks, timers and the decision module see, in nanoseconds."""
    return time.monotonic_ns() + _OFFSET


def send_all(sock: socket.socket, data: bytes, wait: Callable[[], object]) -> None:
    """Send it all; `wait` is called whenever nothing more is taken, and raises where that is to end."""
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            wait()


def open_listener(address: tuple[str, int], backlog: int, shared: bool = False) -> socket.socket:
    """A socket that listens, `shared` with others of this user; raises `OSError` where the address cannot be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def print_failure(text: str) -> None:
    """Write what failed, and the exception under way, to standard error."""
    print(f"{text}\n{traceback.format_exc()}", file=sys.stderr)


class Cancelled(Exception):
    """Thrown into a task that was called off."""


class Timer:
    """A call that is due at a time; `cancel` takes it back."""

    __slots__ = ("args", "call", "scheduler")

    def __init__(self, scheduler: Scheduler, call: Callable[..., None], args: tuple) -> None:
        """Made by `Scheduler.call_at`."""
        self.scheduler = scheduler
        self.call: Callable[..., None] | None = call
        self.args = args

    def cancel(self) -> None:
        """Take it back; harmless when it has run."""
        if self.call is not None:
            self.call = None
            self.args = ()
            self.scheduler.forget_timer()


class Task:
    """One greenlet and what it waits for."""

    __slots__ = ("cancelled", "deadline", "done", "fd", "greenlet", "name", "parked", "scheduler")

    def __init__(self, scheduler: Scheduler, name: str, call: Callable[..., None], args: tuple) -> None:
        """Made by `Scheduler.spawn`."""
        self.scheduler = scheduler
        self.name = name
        self.parked = self.done = self.cancelled = False
        self.fd = -1
        self.deadline = 0  # the number of its deadline's entry among the timers, 0 while there is none
        self.greenlet = greenlet(lambda: self._run(call, args), scheduler.hub)

    def _run(self, call: Callable[..., None], args: tuple) -> None:
        try:
            call(*args)
        except Cancelled:
            pass
        except Exception:
            # Guards the process: whatever goes wrong in one task ends that task only.
            self.scheduler.report_failure(f"task {self.name} failed")
        finally:
            self.done = True

    def wake(self) -> None:
        """End the task's wait early; nothing happens to a task that does not wait."""
        if self.parked:
            self.scheduler.resume(self, WOKEN)

    def cancel(self) -> None:
        """Throw `Cancelled` into it at its present wait, or at its next one."""
        if not self.done and not self.cancelled:
            self.cancelled = True
            if self.parked:
                self.scheduler.resume(self, Cancelled())


class Scheduler:
    """The loop. Everything runs in one thread; a task runs until it waits."""

    def __init__(self, report_failure: Callable[[str], None] = print_failure) -> None:
        """An idle loop; `report_failure` is called while an exception that ended a task or a call is handled."""
        self.report_failure = report_failure
        self.hub = getcurrent()
        self.current: Task | None = None
        self._poll = select.poll()
        self._waiting: dict[int, Task | Callable[[], None]] = {}
        # A timer's entry, or a waiting task's deadline, which holds while the task's `deadline` is its number.
        self._timers: list[tuple[int, int, Timer | Task]] = []
        self._sequence = 0
        self._stale = 0
        self._ready: deque[tuple[Task, Any]] = deque()
        self._stopped = False
        self.turns = 0
        self.worst_turn_ns = 0  # the longest that one turn kept the others from running
        self.worst_late_ns = 0  # and the latest that a timer ran

    # ---- for everyone

    @staticmethod
    def now() -> int:
        """What `clock` tells; a simulation's scheduler has a time of its own."""
        return clock()

    def spawn(self, name: str, call: Callable[..., None], *args: object) -> Task:
        """Start a task; it runs in the next turn of the loop."""
        task = Task(self, name, call, args)
        self._ready.append((task, None))
        return task

    def call_at(self, when: int, call: Callable[..., None], *args: object) -> Timer:
        """Have `call` made by the loop itself at a clock time; it must not wait."""
        timer = Timer(self, call, args)
        self._sequence += 1
        heapq.heappush(self._timers, (when, self._sequence, timer))
        return timer

    def forget_timer(self) -> None:
        """Count a cancelled timer or deadline; the heap is swept when most of it is stale."""
        self._stale += 1
        if self._stale > MIN_STALE_TIMERS and self._stale * 2 > len(self._timers):
            # Guards memory: waits mostly end before their deadlines, which would stay here until they pass.
            self._timers = [entry for entry in self._timers if _live(entry)]
            heapq.heapify(self._timers)
            self._stale = 0

    def watch(self, fd: int, call: Callable[[], None], events: int = READ) -> None:
        """Have `call` made by the loop whenever `fd` is readable or broken, until `unwatch`."""
        self._waiting[fd] = call
        self._poll.register(fd, events)

    def unwatch(self, fd: int) -> None:
        """End a `watch`; to be done before the descriptor is closed."""
        if self._waiting.pop(fd, None) is not None:
            self._poll.unregister(fd)

    # ---- for tasks

    def wait(self, fd: int, events: int, deadline: int | None) -> int:
        """Wait for a descriptor, a `wake` or the deadline; the poll events, or `WOKEN`.

        A negative `fd` waits for the others alone. Raises `TimeoutError` at the deadline.
        """
        task = self.current
        if task is None:
            raise RuntimeError("only a task may wait")
        if task.cancelled:
            raise Cancelled
        if deadline is not None:
            if deadline <= clock():
                raise TimeoutError
            # An entry of its own, not a Timer: most waits end before their deadline, and each wait has one.
            self._sequence += 1
            task.deadline = self._sequence
            heapq.heappush(self._timers, (deadline, self._sequence, task))
        if fd >= 0:
            if fd in self._waiting:
                raise RuntimeError(f"descriptor {fd} is waited for already")
            task.fd = fd
            self._waiting[fd] = task
            self._poll.register(fd, events)
        task.parked = True
        result = self.hub.switch()
        if isinstance(result, BaseException):
            raise result
        return result

    def sleep(self, ns: int) -> None:
        """Let others run for so long, or until a `wake`."""
        try:
            self.wait(-1, 0, clock() + ns)
        except TimeoutError:
            return

    def checkpoint(self) -> None:
        """Raise `Cancelled` if the running task was called off before it first waited."""
        if self.current is not None and self.current.cancelled:
            raise Cancelled

    # ---- the loop

    def resume(self, task: Task, result: object) -> None:
        """Take a task out of its wait and queue it."""
        task.parked = False
        if task.fd >= 0:
            del self._waiting[task.fd]
            self._poll.unregister(task.fd)
            task.fd = -1
        if task.deadline:
            task.deadline = 0
            self.forget_timer()
        self._ready.append((task, result))

    def stop(self) -> None:
        """Have `run` return after this turn."""
        self._stopped = True

    def run(self) -> None:
        """Turn until `stop`."""
        while not self._stopped:
            self._run_ready()
            if self._stopped:
                break
            self._run_timers(self._run_polled(self._timeout_ms()))

    def _timeout_ms(self) -> float:
        timers = self._timers
        while timers:
            _, number, item = timers[0]
            if (item.deadline == number) if type(item) is Task else (item.call is not None):
                break
            heapq.heappop(timers)
            self._stale = max(0, self._stale - 1)
        if self._ready:
            return 0
        if not timers:
            return 1000.0
        return max(0.0, (timers[0][0] - clock()) / 1e6)

    def _run_ready(self) -> None:
        ready = self._ready
        for _ in range(len(ready)):
            task, result = ready.popleft()
            if task.done:
                continue
            self.current = task
            task.greenlet.switch(result) if task.greenlet else task.greenlet.switch()
            self.current = None

    def _run_polled(self, timeout_ms: float) -> int:
        """Carry out what the descriptors tell; the clock at the end."""
        events = self._poll.poll(timeout_ms)
        began = clock()
        self.turns += 1
        for fd, mask in events:
            waiter = self._waiting.get(fd)
            if waiter is None:
                continue
            if isinstance(waiter, Task):
                self.resume(waiter, mask)
            else:
                self._call(waiter, ())
        self._run_ready()
        ended = clock()
        self.worst_turn_ns = max(self.worst_turn_ns, ended - began)
        return ended

    def _run_timers(self, now: int) -> None:
        timers = self._timers
        while timers and timers[0][0] <= now:
            when, number, timer = heapq.heappop(timers)
            if type(timer) is Task:
                if timer.deadline != number:
                    self._stale = max(0, self._stale - 1)
                    continue
                self.worst_late_ns = max(self.worst_late_ns, now - when)
                timer.deadline = 0
                if timer.parked:
                    self.resume(timer, TimeoutError())
                continue
            if timer.call is None:
                self._stale = max(0, self._stale - 1)
                continue
            self.worst_late_ns = max(self.worst_late_ns, now - when)
            call, args = timer.call, timer.args
            timer.call = None
            self._call(call, args)
            timers = self._timers  # a sweep puts another list in its place

    def _call(self, call: Callable[..., None], args: tuple) -> None:
        try:
            call(*args)
        except Exception:
            # Guards the process, as for tasks.
            self.report_failure("a call of the loop failed")


def _live(entry: tuple[int, int, Timer | Task]) -> bool:
    """Is a timer's entry still to run, or a deadline still that of a waiting task?"""
    item = entry[2]
    return item.deadline == entry[1] if type(item) is Task else item.call is not None
