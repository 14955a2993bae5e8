"""The counts of a fleet's logs: two sidecars, a cut line, and folders that hold nothing of use."""

from __future__ import annotations

from pathlib import Path

import pytest

from iristrack.__main__ import main
from iristrack.lab.fleet import load

A = """[2.10] 00:00:01.900 INFO n0 listens on 127.0.0.1:1
[2.20] 00:00:02.000 DEBUG call a1 attempt 0 to s-1 within 900 ms
[2.90] 00:00:02.700 DEBUG call a1 attempt 0 at s-1: REJECTED after 700 ms
[2.91] 00:00:02.710 DEBUG call a1 attempt 1 to s-2 within 200 ms
[3.10] 00:00:02.900 DEBUG call a1 attempt 1 at s-2: RESET after 190 ms
[3.10] 00:00:02.900 DEBUG call a1 view answered REFUSED after 2 attempts, 10 ms before its end
[3.20] 00:00:03.000 DEBUG call a2 view answered REFUSED after 0 attempts, 800 ms before its end
[3.30] 00:00:03.100 INFO server s-2 ejected: errors of view
[3.40] 00:00:03.200 DEBUG call a3 attempt 0 to s"""
B = """3.500 23:59:59.000 DEBUG call b1 attempt 0 to s-1 within 900 ms
[3.60] 23:59:59.100 DEBUG call b1 attempt 0 at s-1: OK after 99 ms, final
[3.60] 23:59:59.100 DEBUG call b1 pay answered SERVED after 1 attempts, 800 ms before its end
"""


def test_a_fleets_lines_are_counted_by_second_and_cause(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    (tmp_path / "n0.log").write_text(A)
    (tmp_path / "n1.log").write_text(B)
    fleet = load(tmp_path)
    first, second = fleet.rows
    assert (first.sent, first.again, first.servers) == (2, 1, {"s-1", "s-2"})
    assert second.answers == {"REFUSED": 2, "SERVED": 1} and second.sidecars == {0, 1}
    assert second.refused == {"after RESET": 1, "never sent": 1} and fleet.quartiles() == (800, 800, 800)
    assert second.ejected == {"errors": 1} and fleet.passed_over == 2
    assert main(["lab", "fleet", str(tmp_path)]) == 0
    assert "never sent" in capsys.readouterr().out


def test_folders_without_logs_or_without_lines_by_call_get_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    assert main(["lab", "fleet", str(tmp_path / "none")]) == 2
    (tmp_path / "n0.log").write_text("00:00:01.900 INFO n0 listens on 127.0.0.1:1\n")
    assert main(["lab", "fleet", str(tmp_path)]) == 2
    said = capsys.readouterr().err
    assert len(said.splitlines()) == 2 and "--log-level DEBUG" in said
