"""The loop that all programs share reports failures with the exception under way, and each program logs them."""

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
    """Raised by what the loop runs."""


def fail() -> None:
    raise Planted("planted")


def run_failures(scheduler: Scheduler) -> None:
    """A task, a timer and a descriptor's call that fail, then the end."""
    ours, theirs = socket.socketpair()

    def readable() -> None:
        scheduler.unwatch(ours.fileno())
        fail()

    def look() -> None:
        if ours.fileno() in scheduler._waiting:
            scheduler.call_at(clock(), look)
        else:
            scheduler.stop()

    scheduler.spawn("planted task", fail)
    scheduler.call_at(clock(), fail)
    scheduler.watch(ours.fileno(), readable)
    theirs.send(b"x")
    scheduler.call_at(clock() + 1, look)
    scheduler.run()


def test_failures_are_reported_with_the_exception_under_way() -> None:
    seen: list[tuple[str, type | None]] = []
    run_failures(Scheduler(lambda text: seen.append((text, sys.exc_info()[0]))))
    assert len(seen) == 3
    assert all(fault is Planted for _, fault in seen)
    assert any("planted task" in text for text, _ in seen)


def test_without_a_hook_failures_go_to_standard_error(capsys) -> None:
    run_failures(Scheduler())
    told = capsys.readouterr().err
    assert told.count("Planted: planted") == 3
    assert told.count("Traceback") == 3


def test_what_fails_leaves_the_others_alone() -> None:
    noted: list[str] = []
    scheduler = Scheduler(noted.append)
    scheduler.spawn("planted task", fail)
    scheduler.spawn("sound task", noted.append, "sound")
    scheduler.call_at(clock(), fail)
    scheduler.call_at(clock(), scheduler.stop)
    scheduler.run()
    assert noted == ["task planted task failed", "sound", "a call of the loop failed"]


class Log:
    """Keeps what is logged, and the exception under way where a failure is."""

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
def test_both_programs_log_what_fails_in_their_loop(tmp_path: Path, program: type) -> None:
    log = Log()
    made = program(settings(tmp_path, "any"), log, lambda: None)
    run_failures(made.scheduler)
    assert len(log.failures) == 3
    assert all(fault is Planted for _, fault in log.failures)


def test_the_daemon_logs_what_fails_in_its_loop(tmp_path: Path, monkeypatch) -> None:
    """The daemon is run up to its sidecar, which takes the loop; what fails there must reach the log with its trace."""
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
    told = "".join(lines)
    assert told.count("Planted: planted") == 3
    assert "planted task" in told
