"""The scheduler: waits, deadlines, wakes, cancellation, timers, and tasks that fail."""

from __future__ import annotations

import socket

import pytest

from iristrack.runtime.scheduler import MIN_STALE_TIMERS, READ, WOKEN, Cancelled, Scheduler, clock

HOUR_NS = 3600 * 10**9


def run(*calls) -> list:
    """Run tasks until all have ended; return what they noted."""
    scheduler, noted = Scheduler(), []
    tasks = [scheduler.spawn("test", call, scheduler, noted) for call in calls]

    def stop_when_done() -> None:
        if all(task.done for task in tasks):
            scheduler.stop()
        scheduler.call_at(clock() + 1_000_000, stop_when_done)

    stop_when_done()
    scheduler.run()
    return noted


def test_a_wait_ends_on_data_deadline_or_wake() -> None:
    ours, theirs = socket.socketpair()

    def waits(scheduler: Scheduler, noted: list) -> None:
        task = scheduler.current
        with pytest.raises(TimeoutError):
            scheduler.wait(ours.fileno(), READ, clock() + 1_000_000)
        noted.append("late")
        scheduler.call_at(clock(), task.wake)
        noted.append(scheduler.wait(ours.fileno(), READ, clock() + HOUR_NS))
        theirs.send(b"x")
        noted.append(bool(scheduler.wait(ours.fileno(), READ, clock() + HOUR_NS)))

    assert run(waits) == ["late", WOKEN, True]


def test_a_cancelled_task_ends_at_its_wait_even_if_not_yet_started() -> None:
    def sleeps(scheduler: Scheduler, noted: list) -> None:
        try:
            scheduler.checkpoint()
            scheduler.sleep(HOUR_NS)
        except Cancelled:
            noted.append("cancelled")
            raise

    def cancels(scheduler: Scheduler, noted: list) -> None:
        waiting = scheduler.spawn("a", sleeps, scheduler, noted)
        scheduler.sleep(1_000_000)
        not_started = scheduler.spawn("b", sleeps, scheduler, noted)
        waiting.cancel()
        not_started.cancel()
        while not (waiting.done and not_started.done):
            scheduler.sleep(1_000_000)

    assert run(cancels) == ["cancelled", "cancelled"]


def test_a_failing_task_or_callback_does_not_end_other_tasks() -> None:
    def fails(scheduler: Scheduler, noted: list) -> None:
        scheduler.call_at(clock(), lambda: 1 / 0)
        raise RuntimeError("on purpose")

    def goes_on(scheduler: Scheduler, noted: list) -> None:
        scheduler.sleep(3_000_000)
        noted.append("on")

    assert run(fails, goes_on) == ["on"]


def test_timers_run_in_order_and_cancelled_timers_are_swept() -> None:
    def sets(scheduler: Scheduler, noted: list) -> None:
        now = clock()
        for ms in (3, 1, 2):
            scheduler.call_at(now + ms * 1_000_000, noted.append, ms)
        for _ in range(10 * MIN_STALE_TIMERS):
            scheduler.call_at(now + HOUR_NS, noted.append, "never").cancel()
        assert len(scheduler._timers) < 3 * MIN_STALE_TIMERS
        while len(noted) < 3:
            scheduler.sleep(1_000_000)

    assert run(sets) == [1, 2, 3]
