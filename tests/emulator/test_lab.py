"""Experiments: what is refused and how, what is kept when a run is stopped, and that runs come out the same."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from iristrack.emulator.scenario import ScenarioError, read
from iristrack.lab import experiment as ex
from iristrack.lab import runner
from iristrack.lab.statistics import interval, paired
from tests.emulator.worlds import SMALL

ROOT = Path(__file__).parent.parent.parent
EXPERIMENT = """scenario = "s.toml"
name = "e"
balancers = ["iristrack", "two_choices"]
replications = 2
figures = ["G", "p99_ms"]
[[factors]]
path = "traffic.load"
values = [0.4, 0.7]
"""


@pytest.fixture
def files(tmp_path: Path) -> Path:
    (tmp_path / "s.toml").write_text(SMALL.replace("length_s = 12", "length_s = 4"))
    (tmp_path / "e.toml").write_text(EXPERIMENT)
    return tmp_path


def lab(*words: object) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "iristrack", "lab", *map(str, words)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True)


BAD = [
    ("[day]\nlength_s = 0\n", 2, "day.length_s"),
    ("[day]\nlenght_s = 5\n", 2, "unknown field `lenght_s`"),
    ("[day]\n\nlength_s = [5]\n", 3, "day.length_s"),
    ("[pool]\ncount = [9, 3]\n", 2, "runs backwards"),
    ("[pool]\ncount = 99999\n", 2, "more than"),
    ('[[classes]]\nname = "a"\n[[classes]]\nname = "a"\n', 4, "twice"),
    ('[[classes]]\nname = "a"\naim_ms = 9\ndeadline_ms = 5\n', 4, "shorter than the aim"),
    ('[[troubles]]\nkind = "quake"\nat_s = 1\n', 2, "quake"),
    (
        '[[troubles]]\nkind = "crash"\nat_s = 1\n[[troubles]]\nkind = "crash"\nat_s = 2\nsite = "x"\n',
        7,
        "no site",
    ),
    ("[day\n", 1, "no TOML"),
    ("[traffic]\nload = -1\n", 2, "below 0"),
    ("[sidecars]\ncount = 0\n", 2, "at least one sidecar"),
]


@pytest.mark.parametrize(("text", "line", "words"), BAD, ids=[case[2] for case in BAD])
def test_a_bad_scenario_is_one_line_with_its_place(text: str, line: int, words: str) -> None:
    with pytest.raises(ScenarioError) as fault:
        read(text, "f.toml")
    said = str(fault.value)
    assert said.startswith(f"f.toml:{line}: ") and words in said and "\n" not in said


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ('"two_choices"]', '"best"]', "e.toml:3: balancers: no balancer is named 'best'"),
        (
            "traffic.load",
            "traffic.lod",
            "e.toml:7: factors[0].path: traffic.lod = 0.4: the scenario has no traffic.lod",
        ),
        ('"s.toml"', '"none.toml"', "none.toml:1: cannot be read"),
        ("replications = 2", "replications = 9999", "runs, 20000 at most"),
        ("values = [0.4, 0.7]", "", "it has no values"),
    ],
)
def test_a_bad_experiment_is_one_line_and_exit_2(files: Path, old: str, new: str, words: str) -> None:
    (files / "e.toml").write_text(EXPERIMENT.replace(old, new))
    done = lab("run", files / "e.toml", "--out", files / "out")
    assert done.returncode == 2 and words in done.stderr and done.stderr.count("\n") == 1
    assert not (files / "out").exists()


def test_a_run_with_many_jobs_is_that_with_one_and_replays_to_the_byte(files: Path) -> None:
    for jobs in (1, 4):
        done = lab("run", files / "e.toml", "--out", files / f"j{jobs}", "--jobs", jobs, "--no-report")
        assert done.returncode == 0, done.stderr
    one, four = (files / "j1" / "runs.csv").read_bytes(), (files / "j4" / "runs.csv").read_bytes()
    assert one == four and one.count(b"\n") == 9
    assert (files / "j1" / "details.jsonl").read_bytes() == (files / "j4" / "details.jsonl").read_bytes()
    _, rows, _ = runner.read_folder(files / "j1")
    assert len({row["seed"] for row in rows}) == 2 and len({row["ledger"] for row in rows}) == 8
    done = lab("replay", files / "j1", "--run", rows[3]["run"], "--explain", "c7")
    assert done.returncode == 0 and "the same to the byte" in done.stdout
    assert " ask " in done.stdout and " final " in done.stdout
    assert lab("replay", files / "j1", "--run", "none").returncode == 2


def test_what_a_stopped_run_left_is_kept_and_gone_on_with(files: Path) -> None:
    out = files / "out"
    assert lab("run", files / "e.toml", "--out", out, "--no-report").returncode == 0
    whole = (out / "runs.csv").read_bytes()
    lines = whole.splitlines(keepends=True)
    details = (out / "details.jsonl").read_text().splitlines(keepends=True)
    # As if it had been killed within its fourth row, one detail behind.
    (out / "runs.csv").write_bytes(b"".join(lines[:4]) + lines[4][:40])
    (out / "details.jsonl").write_text("".join(details[:3]) + details[3][:30])
    again = lab("run", files / "e.toml", "--out", out, "--no-report")
    assert again.returncode == 2 and "--resume" in again.stderr
    assert lab("run", files / "e.toml", "--out", out, "--no-report", "--resume").returncode == 0
    assert (out / "runs.csv").read_bytes() == whole
    assert (out / "details.jsonl").read_text() == "".join(details)
    (files / "e.toml").write_text(EXPERIMENT.replace("0.7", "0.8"))
    other = lab("run", files / "e.toml", "--out", out, "--resume")
    assert other.returncode == 2 and "another experiment" in other.stderr


def test_ctrl_c_keeps_what_is_done(files: Path) -> None:
    (files / "e.toml").write_text(EXPERIMENT.replace("replications = 2", "replications = 60"))
    out = files / "out"
    command = [
        sys.executable,
        "-m",
        "iristrack",
        "lab",
        "run",
        str(files / "e.toml"),
        "--out",
        str(out),
        "--jobs",
        "2",
    ]
    # A shell starts its background jobs with this signal ignored, and these tests may be one.
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    table = out / "runs.csv"
    while not (table.exists() and table.read_bytes().count(b"\n") > 2):
        assert process.poll() is None
        time.sleep(0.02)
    process.send_signal(signal.SIGINT)
    _, said = process.communicate()
    assert process.returncode == 130 and "--resume goes on" in said and "Traceback" not in said
    _, rows, details = runner.read_folder(out)
    assert 2 <= len(rows) < 240 and all(row["rules_kept"] == "1" for row in rows)
    assert {row["run"] for row in rows} <= set(details)


def test_the_report_stands_alone(files: Path) -> None:
    done = lab("run", files / "e.toml", "--out", files / "out", "--jobs", 2)
    assert done.returncode == 0, done.stderr
    text = (files / "out" / "report.html").read_text()
    assert text.count("<svg") == 5 and "src=" not in text and 'href="http' not in text
    assert {p.suffix for p in (files / "out" / "charts").iterdir()} == {".svg", ".png"}
    compared = lab("compare", files / "out", files / "out")
    assert compared.returncode == 0 and "two_choices" in compared.stdout and "*" not in compared.stdout


def test_every_scenario_of_the_library_is_read_and_says_what_it_is_for() -> None:
    done = lab("list")
    files = sorted((ROOT / "scenarios").glob("*.toml"))
    assert done.returncode == 0 and len(files) >= 14
    assert all(f.name in done.stdout for f in files)
    for file in [*files, *(ROOT / "scenarios" / "experiments").glob("*.toml")]:
        loaded = ex.load(file)
        assert loaded.scenario.about
    assert json.loads(json.dumps(loaded.hash)) == loaded.hash


def test_intervals_cover_and_pairs_cancel() -> None:
    import numpy as np

    generator = np.random.default_rng(5)
    hits = 0
    for i in range(200):
        found = interval(generator.normal(3, 1, 30).tolist(), i)
        hits += found.low <= 3 <= found.high
    assert 180 <= hits <= 199
    base = generator.normal(0, 50, 20)
    close = paired((base + 1).tolist(), base.tolist())
    assert abs(close.mean - 1) < 1e-9 and close.half_width < 1e-9
    with pytest.raises(ValueError, match="pairs"):
        paired([1.0], [1.0, 2.0])
