"""Tests of the plugin that lets only the tests listed in KNOWN-RED.txt fail."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

CI_FOLDER = Path(__file__).resolve().parents[2] / ".ci"
TEST_FILE = "def test_red():\n    assert False\n\n\ndef test_green():\n    assert True\n"
RED = "test_it.py::test_red"
GREEN = "test_it.py::test_green"


def run_pytest(folder: Path, known_red: str | None, tests: str = TEST_FILE) -> tuple[int, str]:
    """Run pytest with the plugin in a project of one test file; return its exit status and output."""
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if known_red is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red)
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"],
        cwd=folder,
        env=os.environ | {"PYTHONPATH": str(CI_FOLDER)},
        capture_output=True,
        text=True,
    )
    return result.returncode, result.stdout + result.stderr


def known_red_line(test: str) -> str:
    return f"{test} | a cause | issue 45\n"


def test_listed_failure_does_not_fail_the_run_and_is_printed(tmp_path: Path) -> None:
    status, printed = run_pytest(tmp_path, "# why\n\n" + known_red_line(RED))
    assert status == 0
    assert f"known red, failed: {RED} | a cause | issue 45" in printed


@pytest.mark.parametrize("known_red", [None, "", known_red_line(GREEN)])
def test_unlisted_failure_fails_the_run(tmp_path: Path, known_red: str | None) -> None:
    status, _ = run_pytest(tmp_path, known_red)
    assert status == 1


def test_listed_test_that_passes_or_does_not_run_is_reported(tmp_path: Path) -> None:
    tests = "def test_green():\n    assert True\n"
    status, printed = run_pytest(tmp_path, known_red_line(GREEN) + known_red_line(RED), tests)
    assert status == 0
    assert f"known red, passed: remove its line: {GREEN}" in printed
    assert f"known red, not run: check that the test still exists: {RED}" in printed


@pytest.mark.parametrize(
    ("known_red", "reason"),
    [
        (known_red_line(RED) * 4, "4 tests are listed; the maximum is 3"),
        (known_red_line(RED) + "test_it.py::test_red\n", "KNOWN-RED.txt:2"),
        ("a | b | \n", "KNOWN-RED.txt:1"),
    ],
    ids=["four", "no cause", "no issue"],
)
def test_invalid_list_aborts_the_run(tmp_path: Path, known_red: str, reason: str) -> None:
    status, printed = run_pytest(tmp_path, known_red)
    assert status == pytest.ExitCode.USAGE_ERROR
    assert reason in printed
