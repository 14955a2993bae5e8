"""Test the loss account of a benchmark day: the sum of losses, late reasons from logs, and unusable input."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from iristrack.dataplane.lateness import LateReason
from iristrack.lab.account import AccountError, late_reasons, read_account, table

ROOT = Path(__file__).parent.parent.parent


def request_class(name: str, requests: int, late: int, refused: int, failed: int, worth: float) -> dict:
    return {
        "name": name, "n": requests, "not_owed": 0, "late": late, "refused": refused, "failed": failed, "worth": worth,
    }  # fmt: skip


def report() -> dict:
    return {
        "G": 0.6 * 0.9 + 0.25 * 0.6 + 0.15 * 0.8 - 0.05 - 0.02,
        "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.6], ["worst class", 0.15, 0.8]],
        "prices": [["memory", 31.0, 0.05], ["GB between zones", 0.3, 0.02], ["orders", 0.0, 0.0]],
        "classes": [request_class("long", 100, 20, 4, 2, 0.8), request_class("short", 300, 0, 0, 9, 0.97)],
        "windows": [
            {"name": "0", "n": 50, "late": 2, "refused": 0, "failed": 1, "worth": 0.95},
            {"name": "2", "n": 60, "late": 9, "refused": 4, "failed": 0, "worth": 0.7},
        ],
        "events": [{"at_s": 1.0, "to_s": 3.5, "kind": "node_kill ", "what": "core-1", "planned": False}],
    }


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / "report.json"
    path.write_text(json.dumps(report()))
    return path


def figures_line(at: float, node: str, requests: int, **late: int) -> str:
    counts = " ".join(f"late_{name}={count}" for name, count in late.items())
    return f"  {at:.4f} {node} level=info event=figures node={node} requests={requests} served=1 {counts} worst=3"


def test_losses_add_up_to_the_total_loss(path: Path) -> None:
    account = read_account(path)
    assert account.unexplained == pytest.approx(0, abs=1e-12)
    by_part = {loss.part: 0.0 for loss in account.losses}
    for loss in account.losses:
        by_part[loss.part] += loss.share
    assert by_part == pytest.approx(
        {"whole day": 0.06, "worst windows": 0.1, "worst class": 0.03, "prices": 0.07}
    )
    long_late = next(loss.share for loss in account.losses if loss.cause == "long, late")
    short_failed = next(loss.share for loss in account.losses if loss.cause == "short, failed")
    assert long_late == pytest.approx(0.06 * (20 * 14 / 20) / 29)
    assert short_failed == pytest.approx(0.06 * 9 / 29)


def test_late_answers_are_divided_by_the_reasons_in_the_log(path: Path, tmp_path: Path) -> None:
    log = tmp_path / "log.txt"
    log.write_text("\n".join([figures_line(1, "edge-1", 9, wait=3, read=1), "any other line"]))
    account = read_account(path, log)
    shares = {loss.cause: loss.share for loss in account.losses}
    assert shares["long, late: wait"] == pytest.approx(3 * shares["long, late: read"])
    assert "long, late" not in shares
    assert account.unexplained == pytest.approx(0, abs=1e-12)


def test_late_reasons_are_summed_over_processes_and_restarts() -> None:
    lines = [
        figures_line(10, "edge-1", 50, wait=3),
        figures_line(20, "edge-1", 90, wait=5, read=1),
        figures_line(20, "edge-2", 10, wait=2),
        figures_line(30, "edge-1", 20, wait=1),  # restarted: counters begin at 0
    ]
    counts = late_reasons(lines)
    assert (counts[LateReason.WAIT], counts[LateReason.READ]) == (8, 1)


def test_the_table_ends_with_the_total_loss(path: Path) -> None:
    rows = table(read_account(path))
    assert rows[2].startswith("| worst windows | the part as a whole | 0.1000 |")
    assert rows[-1] == "| all | | 0.2600 | 100.0% |"


@pytest.mark.parametrize("content", ["", "{", "[]", "{}", '{"G": 1, "parts": 3}', '{"parts": [["a"]]}'])
def test_an_invalid_report_raises_a_one_line_error(tmp_path: Path, content: str) -> None:
    path = tmp_path / "invalid.json"
    path.write_text(content)
    with pytest.raises(AccountError, match=r"invalid\.json: is n"):
        read_account(path)


def run_account_command(*arguments: object) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "iristrack", "lab", "account", *map(str, arguments)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_the_command_prints_the_table_and_draws_the_day(path: Path, tmp_path: Path) -> None:
    chart = tmp_path / "day.png"
    completed = run_account_command(path, "--plot", chart)
    assert (completed.returncode, completed.stderr) == (0, "")
    assert "| worst windows |" in completed.stdout
    assert chart.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    "arguments", [("missing.json",), ("REPORT", "--log", "missing.txt"), ("REPORT", "--plot", "a.odd")]
)
def test_the_command_names_an_unusable_argument(path: Path, arguments: tuple[str, ...]) -> None:
    completed = run_account_command(*(path if argument == "REPORT" else argument for argument in arguments))
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1
    assert arguments[-1] in completed.stderr
