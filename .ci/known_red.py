"""A pytest plugin that lets the tests listed in KNOWN-RED.txt fail.

Empty lines and lines that begin with `#` are ignored. Each other line has three fields, separated by ` | `: the test's
id as pytest prints it, the cause and the issue. At most three tests may be listed.

The summary of a run prints the outcome of each listed test. A listed test that fails does not fail the run. One that
passed or did not run is printed with a hint that its line may be out of date. All other failures fail the run.

Run it with this folder on PYTHONPATH:

    python -m pytest -p known_red
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_LISTED_TESTS = 3
SEPARATOR = " | "


@dataclass(frozen=True)
class KnownRed:
    """One entry of the file."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Return the entries; raise `ValueError` for a malformed line, with its number, or for too many entries."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [part.strip() for part in line.split(SEPARATOR)]
        if len(fields) != len(KnownRed.__annotations__) or not all(fields):
            raise ValueError(
                f"{FILE_NAME}:{number}: expected a test, its cause and its issue, separated by ' | '"
            )
        entries.append(KnownRed(*fields))
    if len(entries) > MAX_LISTED_TESTS:
        raise ValueError(f"{FILE_NAME}: {len(entries)} tests are listed; the maximum is {MAX_LISTED_TESTS}")
    return entries


def pytest_configure(config: pytest.Config) -> None:
    """Read the file; abort the run with a usage error if it is invalid."""
    path = Path(config.rootpath) / FILE_NAME
    try:
        entries = read_known_red(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.known_red = {entry.test: entry for entry in entries}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures that may also pass."""
    for item in items:
        entry = config.known_red.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=False))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Record the outcome of a listed test for `pytest_terminal_summary`."""
    if getattr(report, "wasxfail", None) is not None and report.when == "call":
        _outcomes[report.nodeid] = "passed" if report.passed else "failed"


_outcomes: dict[str, str] = {}


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    """Print one line per listed test with its outcome."""
    for test, entry in config.known_red.items():
        outcome = _outcomes.get(test, "not run")
        hint = (
            ""
            if outcome == "failed"
            else ": remove its line"
            if outcome == "passed"
            else ": check that the test still exists"
        )
        terminalreporter.write_line(f"known red, {outcome}{hint}: {test} | {entry.cause} | {entry.issue}")
