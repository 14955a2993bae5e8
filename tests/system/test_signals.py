"""Signals at the two ends of a process's life: while it still imports its modules, and until it is gone."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from iristrack.standin.machine import ROOT, Machine
from iristrack.standin.system import System, ready_status
from iristrack.standin.waiting import PATIENCE_S, wait_until
from tests.system.scene import AMPLE_RETRIES, start_usual

SHORT_GRACE_S = 1
EDGES = 4
CORES = 3
PLAIN_ENDS = 120  # of processes that only catch signals
NUMBERS = [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
CATCHING = """
import select
from iristrack.runtime.signals import caught_signals
with caught_signals() as signals:
    print("ready", flush=True)
    select.select([signals], [], [])
"""
# Takes the place of a module that both programs import, and waits for the test before it gives way to the real one.
GATED_MODULE = """
import importlib, os, sys
open(os.environ["IMPORT_GATE"]).read()
sys.path.remove(os.path.dirname(__file__))
del sys.modules[__name__]
importlib.import_module(__name__)
"""


def signal_until_gone(process: subprocess.Popen, number: signal.Signals) -> int:
    """Send the signal until the process is gone; how often that was."""
    sent = 0
    while process.poll() is None:
        process.send_signal(number)
        sent += 1
    return sent


@pytest.mark.parametrize("number", NUMBERS)
def test_signals_that_come_until_a_program_is_gone_leave_its_status_0(new_system, number) -> None:
    system = new_system(cores=CORES, edges=EDGES, rule_bounds=AMPLE_RETRIES | {"grace_s": SHORT_GRACE_S})
    start_usual(system)
    for machine in system.machines:
        machine.send_signal(signal.SIGTERM)
    sent = [signal_until_gone(machine.process, number) for machine in system.machines]
    assert [machine.process.returncode for machine in system.machines] == [0] * (CORES + EDGES)
    assert sum(sent) > len(sent)


def test_signals_until_the_interpreter_has_ended_leave_the_status_0() -> None:
    """The last milliseconds alone, more than a hundred times."""
    for number in NUMBERS:
        for _ in range(PLAIN_ENDS // len(NUMBERS)):
            process = subprocess.Popen([sys.executable, "-c", CATCHING], cwd=ROOT, stdout=subprocess.PIPE)
            with process:
                assert process.stdout.readline() == b"ready\n"
                signal_until_gone(process, number)
            assert process.returncode == 0


class Gated:
    """Holds a program up in the middle of its imports."""

    def __init__(self, machine: Machine, folder: Path) -> None:
        """Start the program with the gate closed."""
        folder.mkdir()
        (folder / "greenlet.py").write_text(GATED_MODULE)
        self.gate = folder / "gate"
        os.mkfifo(self.gate)
        path = os.pathsep.join(filter(None, [str(folder), os.environ.get("PYTHONPATH", "")]))
        machine.environment = {"PYTHONPATH": path, "IMPORT_GATE": str(self.gate)}
        machine.start()

    def open(self) -> None:
        """Let the import go on, once the program waits for it."""
        with self.gate.open("w"):
            pass


@pytest.fixture
def gated(
    new_system: Callable[..., System], tmp_path: Path
) -> Callable[[str], tuple[System, Machine, Gated]]:
    def start(machine_class: str) -> tuple[System, Machine, Gated]:
        system = new_system(cores=1, edges=1, rule_bounds=AMPLE_RETRIES | {"grace_s": SHORT_GRACE_S})
        start_usual(system)
        machine = system.edges[0] if machine_class == "edge" else system.cores[0]
        machine.kill()
        gate = Gated(machine, tmp_path / "gated")
        wait_until(lambda: machine.handles_signals, "the handlers of a program that imports its modules")
        return system, machine, gate

    return start


@pytest.mark.parametrize("machine_class", ["edge", "core"])
def test_a_sighup_while_modules_are_imported_ends_nothing(gated, machine_class: str) -> None:
    system, machine, gate = gated(machine_class)
    machine.send_signal(signal.SIGHUP)
    gate.open()
    if machine_class == "edge":
        wait_until(lambda: ready_status(machine) == 200, "readiness")
    else:
        assert system.operator.read().status == 200
    assert machine.running


@pytest.mark.parametrize("machine_class", ["edge", "core"])
def test_a_sigterm_while_modules_are_imported_ends_the_program_with_0(gated, machine_class: str) -> None:
    _, machine, gate = gated(machine_class)
    machine.send_signal(signal.SIGTERM)
    gate.open()
    assert machine.wait_exit(SHORT_GRACE_S + PATIENCE_S) == 0
