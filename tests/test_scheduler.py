"""The scheduler: waits, deadlines, wakes, cancellation, timers, and tasks that fail."""

from __future__ import annotations

import socket

import pytest

from iristrack.runtime.scheduler import MIN_STALE_TIMERS, READ, WOKEN, Cancelled, Scheduler, clock

HOUR = 3600 * 10**9


def run(*calls) -> list:
    """Run tasks until all have ended; what they noted."""
    scheduler, noted = Scheduler(), []
    tasks = [scheduler.spawn("test", call, scheduler, noted) for call in calls]

    def look() -> None:
        if all(task.done for task in tasks):
            scheduler.stop()
        scheduler.call_at(clock() + 1_000_000, look)

    look()
    scheduler.run()
    return noted


def test_a_wait_ends_with_data_with_its_deadline_or_with_a_wake() -> None:
    ours, theirs = socket.socketpair()

    def waits(scheduler: Scheduler, noted: list) -> None:
        task = scheduler.current
        with pytest.raises(TimeoutError):
            scheduler.wait(ours.fileno(), READ, clock() + 1_000_000)
        noted.append("late")
        scheduler.call_at(clock(), task.wake)
        noted.append(scheduler.wait(ours.fileno(), READ, clock() + HOUR))
        theirs.send(b"x")
        noted.append(bool(scheduler.wait(ours.fileno(), READ, clock() + HOUR)))

    assert run(waits) == ["late", WOKEN, True]


def test_a_cancelled_task_ends_at_its_wait_even_if_it_had_not_begun() -> None:
    def sleeps(scheduler: Scheduler, noted: list) -> None:
        try:
            scheduler.checkpoint()
            scheduler.sleep(HOUR)
        except Cancelled:
            noted.append("cancelled")
            raise

    def cancels(scheduler: Scheduler, noted: list) -> None:
        waiting = scheduler.spawn("a", sleeps, scheduler, noted)
        scheduler.sleep(1_000_000)
        fresh = scheduler.spawn("b", sleeps, scheduler, noted)
        waiting.cancel()
        fresh.cancel()
        while not (waiting.done and fresh.done):
            scheduler.sleep(1_000_000)

    assert run(cancels) == ["cancelled", "cancelled"]


def test_a_task_or_call_that_fails_ends_alone() -> None:
    def fails(scheduler: Scheduler, noted: list) -> None:
        scheduler.call_at(clock(), lambda: 1 / 0)
        raise RuntimeError("on purpose")

    def goes_on(scheduler: Scheduler, noted: list) -> None:
        scheduler.sleep(3_000_000)
        noted.append("on")

    assert run(fails, goes_on) == ["on"]


def test_timers_run_in_order_and_cancelled_ones_do_not_pile_up() -> None:
    def sets(scheduler: Scheduler, noted: list) -> None:
        now = clock()
        for ms in (3, 1, 2):
            scheduler.call_at(now + ms * 1_000_000, noted.append, ms)
        for _ in range(10 * MIN_STALE_TIMERS):
            scheduler.call_at(now + HOUR, noted.append, "never").cancel()
        assert len(scheduler._timers) < 3 * MIN_STALE_TIMERS
        while len(noted) < 3:
            scheduler.sleep(1_000_000)

    assert run(sets) == [1, 2, 3]
