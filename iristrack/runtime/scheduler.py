"""Greenlets over `select.poll`: tasks, waits with deadlines, timers and cancellation.

This module holds the only event loop of the process and its only clock. It deals with file descriptors and time, not
with what they carry: no HTTP, no requests, no decisions. A task's failure must never end the loop.
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
WOKEN = 0  # returned by `wait` when another task called `wake`
MIN_STALE_TIMERS = 256  # the timer heap is not swept while it holds no more cancelled entries than this

# Difference between Unix time and the monotonic clock at the start of the process. The sum is comparable with time
# stamps of other machines, and a step of the wall clock changes neither deadlines nor the ages of pool servers.
_UNIX_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def clock() -> int:
    """Return the time in nanoseconds; tasks, timers and the decision module use only this clock."""
    return time.monotonic_ns() + _UNIX_OFFSET_NS


def send_all(sock: socket.socket, data: bytes, wait: Callable[[], object]) -> None:
    """Send all of `data`; `wait` is called whenever the socket is not writable, and raises to abort."""
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            wait()


def open_listener(address: tuple[str, int], backlog: int, shared: bool = False) -> socket.socket:
    """Return a listening socket; `shared` lets other sockets of this user listen at the same address (SO_REUSEPORT).

    Raises `OSError` if the address cannot be bound.
    """
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
    """Write the text and the traceback of the exception being handled to standard error."""
    print(f"{text}\n{traceback.format_exc()}", file=sys.stderr)


class Cancelled(Exception):
    """Thrown into a task that was cancelled."""


class Timer:
    """A callback scheduled for a time, which `cancel` revokes."""

    __slots__ = ("args", "call", "scheduler")

    def __init__(self, scheduler: Scheduler, call: Callable[..., None], args: tuple) -> None:
        """Created by `Scheduler.call_at`."""
        self.scheduler = scheduler
        self.call: Callable[..., None] | None = call
        self.args = args

    def cancel(self) -> None:
        """Revoke the callback; no effect if it has run."""
        if self.call is not None:
            self.call = None
            self.args = ()
            self.scheduler.forget_timer()


class Task:
    """A greenlet and the descriptor and deadline that it waits for."""

    __slots__ = ("cancelled", "deadline", "done", "fd", "greenlet", "name", "parked", "scheduler")

    def __init__(self, scheduler: Scheduler, name: str, call: Callable[..., None], args: tuple) -> None:
        """Created by `Scheduler.spawn`."""
        self.scheduler = scheduler
        self.name = name
        self.parked = self.done = self.cancelled = False
        self.fd = -1
        self.deadline = 0  # sequence number of its deadline's entry in the timer heap, 0 if there is none
        self.greenlet = greenlet(lambda: self._run(call, args), scheduler.hub)

    def _run(self, call: Callable[..., None], args: tuple) -> None:
        try:
            call(*args)
        except Cancelled:
            pass
        except Exception:
            # An exception in one task must end only that task, not the process.
            self.scheduler.report_failure(f"task {self.name} failed")
        finally:
            self.done = True

    def wake(self) -> None:
        """End the task's wait early; no effect on a task that does not wait."""
        if self.parked:
            self.scheduler.resume(self, WOKEN)

    def cancel(self) -> None:
        """Throw `Cancelled` into the task at its current wait, or at its next one."""
        if not self.done and not self.cancelled:
            self.cancelled = True
            if self.parked:
                self.scheduler.resume(self, Cancelled())


class Scheduler:
    """The event loop. Everything runs in one thread; a task runs until it waits."""

    def __init__(self, report_failure: Callable[[str], None] = print_failure) -> None:
        """Create an idle loop; `report_failure` is called while an exception of a task or callback is being handled."""
        self.report_failure = report_failure
        self.hub = getcurrent()
        self.current: Task | None = None
        self._poll = select.poll()
        self._waiting: dict[int, Task | Callable[[], None]] = {}
        # Entries (time, sequence number, timer or task). A task's entry is its deadline, which is valid while the
        # task's `deadline` is the entry's sequence number.
        self._timers: list[tuple[int, int, Timer | Task]] = []
        self._sequence = 0
        self._stale = 0
        self._ready: deque[tuple[Task, Any]] = deque()
        self._stopped = False
        self.turns = 0
        self.worst_turn_ns = 0  # longest duration of one loop turn
        self.worst_late_ns = 0  # longest delay of a timer past its due time

    # ---- for callbacks and tasks

    @staticmethod
    def now() -> int:
        """Return `clock()`; a simulation's scheduler overrides this with its virtual time."""
        return clock()

    def spawn(self, name: str, call: Callable[..., None], *args: object) -> Task:
        """Create a task that starts in the next turn of the loop."""
        task = Task(self, name, call, args)
        self._ready.append((task, None))
        return task

    def call_at(self, when: int, call: Callable[..., None], *args: object) -> Timer:
        """Schedule a callback for a clock time; it runs in the loop itself and must not wait."""
        timer = Timer(self, call, args)
        self._sequence += 1
        heapq.heappush(self._timers, (when, self._sequence, timer))
        return timer

    def forget_timer(self) -> None:
        """Count a cancelled timer or deadline, and sweep the heap when most of it is stale."""
        self._stale += 1
        if self._stale > MIN_STALE_TIMERS and self._stale * 2 > len(self._timers):
            # Bounds memory: most waits end before their deadline, and its entry would stay here until it is due.
            self._timers = [entry for entry in self._timers if _live(entry)]
            heapq.heapify(self._timers)
            self._stale = 0

    def watch(self, fd: int, call: Callable[[], None], events: int = READ) -> None:
        """Run a callback whenever `fd` is readable or broken, until `unwatch`."""
        self._waiting[fd] = call
        self._poll.register(fd, events)

    def unwatch(self, fd: int) -> None:
        """End a `watch`; must be called before the descriptor is closed."""
        if self._waiting.pop(fd, None) is not None:
            self._poll.unregister(fd)

    # ---- for tasks

    def wait(self, fd: int, events: int, deadline: int | None) -> int:
        """Wait for a descriptor, a `wake` or the deadline; return the poll events, or `WOKEN`.

        A negative `fd` waits only for a `wake` or the deadline. Raises `TimeoutError` at the deadline.
        """
        task = self.current
        if task is None:
            raise RuntimeError("wait() called outside a task")
        if task.cancelled:
            raise Cancelled
        if deadline is not None:
            if deadline <= clock():
                raise TimeoutError
            # The heap entry is the task itself, without a Timer: every wait has a deadline, and most end before it.
            self._sequence += 1
            task.deadline = self._sequence
            heapq.heappush(self._timers, (deadline, self._sequence, task))
        if fd >= 0:
            if fd in self._waiting:
                raise RuntimeError(f"descriptor {fd} already has a waiter")
            task.fd = fd
            self._waiting[fd] = task
            self._poll.register(fd, events)
        task.parked = True
        result = self.hub.switch()
        if isinstance(result, BaseException):
            raise result
        return result

    def sleep(self, ns: int) -> None:
        """Suspend the running task for `ns` nanoseconds, or until a `wake`."""
        try:
            self.wait(-1, 0, clock() + ns)
        except TimeoutError:
            return

    def checkpoint(self) -> None:
        """Raise `Cancelled` if the running task was cancelled before its first wait."""
        if self.current is not None and self.current.cancelled:
            raise Cancelled

    # ---- the event loop

    def resume(self, task: Task, result: object) -> None:
        """End a task's wait and queue the task to run."""
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
        """Make `run` return after this turn."""
        self._stopped = True

    def run(self) -> None:
        """Run the loop until `stop`."""
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
        """Poll the descriptors and run the tasks and callbacks that are ready; return the time afterwards."""
        events = self._poll.poll(timeout_ms)
        started = clock()
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
        self.worst_turn_ns = max(self.worst_turn_ns, ended - started)
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
            timers = self._timers  # a sweep replaces the list

    def _call(self, call: Callable[..., None], args: tuple) -> None:
        try:
            call(*args)
        except Exception:
            # An exception in one callback must not end the process.
            self.report_failure("event loop callback failed")


def _live(entry: tuple[int, int, Timer | Task]) -> bool:
    """Return whether an entry is a timer that is not cancelled, or the current deadline of a waiting task."""
    item = entry[2]
    return item.deadline == entry[1] if type(item) is Task else item.call is not None
