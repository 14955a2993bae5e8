"""The real program with a state folder: stopped, killed, and with unusable folders."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent))
from stage import ROOT, Discovery, Listener, Program, serve, until

from iristrack.recovery.pack import unpack
from iristrack.store import state_format as fmt


@pytest.fixture
def discovery() -> Discovery:
    found = Discovery()
    for i in range(3):
        found.put(f"s{i}", Listener(serve).address)
    return found


def started(tmp_path: Path, discovery: Discovery, name: str, folder: object) -> Program:
    place = tmp_path / name
    place.mkdir()
    return Program(place, discovery, state={"folder": str(folder)})


def ended(program: Program, how: int) -> int:
    program.process.send_signal(how)
    return program.process.wait(60)


def kept(folder: Path) -> tuple[dict, dict] | None:
    whole = [
        p for p in folder.glob("checkpoint.*") if p.suffix[1:].isdigit()
    ]  # not one that is being written
    newest = max(whole, key=lambda p: int(p.suffix[1:]), default=None)
    return None if newest is None else unpack(fmt.read(newest.read_bytes()).records)


def test_a_planned_stop_stores_all_state_and_a_kill_loses_at_most_the_last_second(
    tmp_path: Path, discovery: Discovery
) -> None:
    folder = tmp_path / "state"
    one = started(tmp_path, discovery, "one", folder)
    for i in range(40):
        assert one.ask(f"a{i}", key=f"k{i}").head.status == 200
    assert ended(one, signal.SIGTERM) == 0
    snapshot, meta = kept(folder)
    assert set(snapshot["servers"]) == {"s0", "s1", "s2"} and meta["name"] == "n0"
    assert snapshot["classes"]["view"]["mean"] < 10**9, "the mean reflects received answers"
    two = started(tmp_path, discovery, "two", folder)
    until(lambda: "3 servers are known" in two.log.read_text())
    until(lambda: kept(folder)[1]["at"] > meta["at"])
    assert two.ask("b").head.status == 200
    assert ended(two, signal.SIGKILL) == -signal.SIGKILL
    three = started(tmp_path, discovery, "three", folder)
    until(lambda: "3 servers are known" in three.log.read_text())
    assert three.ask("c").head.status == 200 and ended(three, signal.SIGTERM) == 0


def test_an_unusable_folder_only_produces_one_log_line(tmp_path: Path, discovery: Discovery) -> None:
    (tmp_path / "file").write_text("")
    folder = tmp_path / "spoilt"
    folder.mkdir()
    (folder / "checkpoint.0").write_bytes(b"not a state file at all")
    holder = started(tmp_path, discovery, "holder", tmp_path / "used")
    for name, place, words in (
        ("a", tmp_path / "file", "cannot be used"),
        ("b", folder, "no state file"),
        ("c", tmp_path / "used", "in use by another process"),
    ):
        program = started(tmp_path, discovery, name, place)
        assert program.ask(f"x{name}").head.status == 200
        assert ended(program, signal.SIGTERM) == 0
        lines = [line for line in program.log.read_text().splitlines() if "WARNING state:" in line]
        assert any(words in line for line in lines) and len(lines) <= 2, lines
    assert ended(holder, signal.SIGTERM) == 0


def test_an_invalid_state_section_gives_one_line_and_exit_status_2(
    tmp_path: Path, discovery: Discovery
) -> None:
    program = started(tmp_path, discovery, "one", tmp_path / "s")
    assert ended(program, signal.SIGTERM) == 0
    config = json.loads(program.path.read_text())
    for bad in ("folder", {"folder": 3}, {"folder": "x", "often": True}):
        program.path.write_text(json.dumps(config | {"state": bad}))
        done = subprocess.run(
            [sys.executable, "-m", "iristrack", "serve"], cwd=ROOT, env={"NODE_CONFIG": str(program.path)},
            capture_output=True, text=True,
        )  # fmt: skip
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and "state is an object" in done.stderr
