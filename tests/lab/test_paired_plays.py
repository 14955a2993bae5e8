"""Test paired benchmark runs: the figures read from a report, the comparison table, and unusable input."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.paired_plays import BASE, Play, Result, compare, read_result

ROOT = Path(__file__).parent.parent.parent


def result(worth: float) -> Result:
    names = ("G", "served", "windows", "class", "prices", "late", "rules")
    return Result(dict.fromkeys(names, 0.0) | {"G": worth})


def test_figures_of_a_report_include_parts_prices_late_share_and_broken_rules() -> None:
    report = {
        "G": 0.7, "served": 0.9, "breaks": {"CONFIG": 2}, "fault": None, "all": {"n": 110, "not_owed": 10, "late": 5},
        "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.8], ["worst class", 0.15, 0.6]],
    }  # fmt: skip
    figures = read_result(report).figures
    assert figures["prices"] == pytest.approx(0.54 + 0.2 + 0.09 - 0.7)
    assert (figures["windows"], figures["class"], figures["late"], figures["rules"]) == (0.8, 0.6, 0.05, 1.0)


def test_differences_are_paired_and_have_a_standard_error() -> None:
    plays = [Play("v", "day", seed) for seed in (1, 2, 3)]
    results = {
        Play(BASE, "day", 1): result(0.5),
        Play("v", "day", 1): result(0.6),
        Play(BASE, "day", 2): result(0.7),
        Play("v", "day", 2): result(0.9),
        Play(BASE, "day", 3): None,  # no report: the pair is not counted
        Play("v", "day", 3): result(0.1),
    }
    assert compare(results, "v", plays)[0] == "| v | G | 0.6000 | +0.1500 | 0.0500 | 2 |"


def test_one_pair_has_no_standard_error_and_no_pair_gives_no_rows() -> None:
    one = Play("v", "day", 1)
    assert (
        compare({Play(BASE, "day", 1): result(0.5), one: result(0.4)}, "v", [one])[0].split(" | ")[4] == "nan"
    )
    assert compare({one: result(0.4)}, "v", [one]) == []


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (["BENCH", "missing.toml"], "missing.toml"),
        (["BENCH", "README.md", "--patch", "missing.patch"], "missing.patch"),
        (["BENCH", "README.md", "--seeds", "x"], "cannot begin"),
    ],
)
def test_unusable_input_gives_a_one_line_error(
    tmp_path: Path, arguments: list[str], expected_text: str
) -> None:
    command = [
        sys.executable,
        "-m",
        "benchmarks.paired_plays",
        *arguments,
        "--days",
        "d",
        "--out",
        str(tmp_path),
    ]
    if "--seeds" not in arguments:
        command += ["--seeds", "1"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert completed.returncode == 2
    assert expected_text in completed.stderr
    assert completed.stderr.count("\n") == 1
