"""A pytest plugin: tests listed in KNOWN-RED.txt may fail.

Each line that is not empty and begins with no `#` holds a test's id as pytest prints it, the cause and the issue, set
apart by ` | `. Three lines at most. A listed test that fails is printed and fails nothing; one that passes is told, so
that its line can go; one that was never collected in a whole run is told as well. Every other failure counts.

    python -m pytest -p known_red        with this folder on PYTHONPATH
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_LINES = 3
SEPARATOR = " | "


@dataclass(frozen=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """The lines of the file; raises `ValueError` with the number of a line that cannot be read."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != len(KnownRed.__annotations__) or not all(parts):
            raise ValueError(
                f"{FILE_NAME}:{number}: a line holds a test, its cause and its issue, with ' | ' between"
            )
        found.append(KnownRed(*parts))
    if len(found) > MOST_LINES:
        raise ValueError(f"{FILE_NAME}: {len(found)} tests are listed, {MOST_LINES} at most")
    return found


def pytest_configure(config: pytest.Config) -> None:
    """Read the file; one that cannot be read ends the run."""
    path = Path(config.rootpath) / FILE_NAME
    try:
        listed = read_known_red(path.read_text()) if path.exists() else []
    except ValueError as fault:
        raise pytest.UsageError(str(fault)) from None
    config.known_red = {row.test: row for row in listed}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let listed tests fail."""
    for item in items:
        row = config.known_red.get(item.nodeid)
        if row is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{row.cause} ({row.issue})", strict=False))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Note how listed tests ended; `pytest_terminal_summary` tells it."""
    if getattr(report, "wasxfail", None) is not None and report.when == "call":
        _outcomes[report.nodeid] = "passed" if report.passed else "failed"


_outcomes: dict[str, str] = {}


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    """Print a line for each listed test."""
    for test, row in config.known_red.items():
        outcome = _outcomes.get(test, "not run")
        hint = (
            ""
            if outcome == "failed"
            else ": take its line out"
            if outcome == "passed"
            else ": is it still there?"
        )
        terminalreporter.write_line(f"known red, {outcome}{hint}: {test} | {row.cause} | {row.issue}")
