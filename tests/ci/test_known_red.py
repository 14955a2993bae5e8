"""Tests listed in KNOWN-RED.txt may fail, and nothing else."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

CI_FOLDER = Path(__file__).resolve().parents[2] / ".ci"
FAILING = "def test_red():\n    assert False\n\n\ndef test_green():\n    assert True\n"
RED = "test_it.py::test_red"
GREEN = "test_it.py::test_green"


def run(folder: Path, known_red: str | None, tests: str = FAILING) -> tuple[int, str]:
    """The exit status of pytest with the plugin in a project of one test file, and what it printed."""
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if known_red is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"],
        cwd=folder,
        env=os.environ | {"PYTHONPATH": str(CI_FOLDER)},
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout + done.stderr


def line(test: str) -> str:
    return f"{test} | a cause | issue 45\n"


def test_a_listed_failure_fails_nothing_and_is_printed(tmp_path: Path) -> None:
    status, printed = run(tmp_path, "# why\n\n" + line(RED))
    assert status == 0
    assert f"known red, failed: {RED} | a cause | issue 45" in printed


@pytest.mark.parametrize("known_red", [None, "", line(GREEN)])
def test_any_other_failure_fails(tmp_path: Path, known_red: str | None) -> None:
    status, _ = run(tmp_path, known_red)
    assert status == 1


def test_a_listed_test_that_passes_or_is_gone_is_told(tmp_path: Path) -> None:
    tests = "def test_green():\n    assert True\n"
    status, printed = run(tmp_path, line(GREEN) + line(RED), tests)
    assert status == 0
    assert f"known red, passed: take its line out: {GREEN}" in printed
    assert f"known red, not run: is it still there?: {RED}" in printed


@pytest.mark.parametrize(
    ("known_red", "reason"),
    [
        (line(RED) * 4, "4 tests are listed, 3 at most"),
        (line(RED) + "test_it.py::test_red\n", "KNOWN-RED.txt:2"),
        ("a | b | \n", "KNOWN-RED.txt:1"),
    ],
    ids=["four", "no cause", "no issue"],
)
def test_a_list_that_cannot_be_followed_ends_the_run(tmp_path: Path, known_red: str, reason: str) -> None:
    status, printed = run(tmp_path, known_red)
    assert status == pytest.ExitCode.USAGE_ERROR
    assert reason in printed
