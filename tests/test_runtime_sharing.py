"""The event loop reports failures while their exception is being handled, and each program logs them."""

from __future__ import annotations

import json
import socket
import sys
from pathlib import Path

import pytest
from loguru import logger

import iristrack.__main__ as daemon
from iristrack.controlplane.program import ControlPlane
from iristrack.dataplane.program import DataPlane
from iristrack.runtime.scheduler import Scheduler, clock
from iristrack.settings import read_settings


class Planted(Exception):
    """Raised by the tasks and callbacks of the tests."""


def fail() -> None:
    raise Planted("planted")


def run_failures(scheduler: Scheduler) -> None:
    """Run a failing task, a failing timer and a failing descriptor callback, then stop the loop."""
    ours, theirs = socket.socketpair()

    def readable() -> None:
        scheduler.unwatch(ours.fileno())
        fail()

    def stop_when_unwatched() -> None:
        if ours.fileno() in scheduler._waiting:
            scheduler.call_at(clock(), stop_when_unwatched)
        else:
            scheduler.stop()

    scheduler.spawn("planted task", fail)
    scheduler.call_at(clock(), fail)
    scheduler.watch(ours.fileno(), readable)
    theirs.send(b"x")
    scheduler.call_at(clock() + 1, stop_when_unwatched)
    scheduler.run()


def test_failures_are_reported_while_their_exception_is_handled() -> None:
    seen: list[tuple[str, type | None]] = []
    run_failures(Scheduler(lambda text: seen.append((text, sys.exc_info()[0]))))
    assert len(seen) == 3
    assert all(exception is Planted for _, exception in seen)
    assert any("planted task" in text for text, _ in seen)


def test_without_a_hook_failures_go_to_standard_error(capsys) -> None:
    run_failures(Scheduler())
    output = capsys.readouterr().err
    assert output.count("Planted: planted") == 3
    assert output.count("Traceback") == 3


def test_a_failure_does_not_affect_other_tasks() -> None:
    noted: list[str] = []
    scheduler = Scheduler(noted.append)
    scheduler.spawn("planted task", fail)
    scheduler.spawn("sound task", noted.append, "sound")
    scheduler.call_at(clock(), fail)
    scheduler.call_at(clock(), scheduler.stop)
    scheduler.run()
    assert noted == ["task planted task failed", "sound", "event loop callback failed"]


class Log:
    """Records logged failures and the exception being handled."""

    def __init__(self) -> None:
        self.failures: list[tuple[str, type | None]] = []

    def exception(self, text: str) -> None:
        self.failures.append((text, sys.exc_info()[0]))

    def info(self, *args: object, **fields: object) -> None:
        pass

    warning = error = info


def settings(folder: Path, role: str):
    return read_settings(
        json.dumps(
            {
                "node_name": "n", "role": role, "ip": "127.0.0.1", "zone": "z", "port_range": [1, 2],
                "data_dir": str(folder),
            }
        ).encode()
    ).ok  # fmt: skip


@pytest.mark.parametrize("program", [DataPlane, ControlPlane])
def test_both_programs_log_failures_in_their_loop(tmp_path: Path, program: type) -> None:
    log = Log()
    created = program(settings(tmp_path, "any"), log, lambda: None)
    run_failures(created.scheduler)
    assert len(log.failures) == 3
    assert all(exception is Planted for _, exception in log.failures)


def test_the_daemon_logs_failures_in_its_loop(tmp_path: Path, monkeypatch) -> None:
    """The daemon runs until it creates its sidecar; failures in the loop from there on are logged with a traceback."""
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")

    class Reached(Exception):
        pass

    def take_loop(scheduler: Scheduler, *args: object) -> None:
        run_failures(scheduler)
        raise Reached

    monkeypatch.setattr(daemon, "Sidecar", take_loop)

    class Config:
        sockets = 16
        state = None

    ours, _ = socket.socketpair()
    try:
        with pytest.raises(Reached):
            daemon._serve(Config(), ours)
    finally:
        logger.remove(sink)
    output = "".join(lines)
    assert output.count("Planted: planted") == 3
    assert "planted task" in output
