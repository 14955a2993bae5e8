"""`iristrack state` on valid, damaged, newer and foreign folders."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from iristrack.recovery.pack import changes, pack, unpack
from iristrack.store.state_store import StateStore
from tests.state.test_aging import trained_host

ROOT = Path(__file__).parent.parent.parent


def state(*words: object) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "iristrack", "state", *map(str, words)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True)


def filled(folder: Path) -> dict:
    host = trained_host()
    first = host.balancer.snapshot(host.now)
    store = StateStore(str(folder), "0.2", print)
    store.open()
    old = pack(first, 7 * 10**18, "n1", "0.2")
    assert store.checkpoint(old)
    host.serve(30)
    snapshot = host.balancer.snapshot(host.now)
    snapshot["servers"].pop("s5")
    assert store.append(changes(old, pack(snapshot, 8 * 10**18, "n1", "0.2"))) and store.sync()
    store.close()
    return snapshot


def test_a_checkpoint_with_changes_equals_a_new_checkpoint() -> None:
    host = trained_host()
    old = pack(host.balancer.snapshot(host.now), 1, "n", "v")
    host.serve(50)
    snapshot = host.balancer.snapshot(host.now)
    snapshot["servers"].pop("s0")
    new = pack(snapshot, 2, "n", "v")
    behind = changes(old, new)
    assert unpack(old + behind) == unpack(new) and changes(new, new) == []
    assert unpack([]) is None and unpack([*new, ("later kind", 1)]) == unpack(new)


def test_a_folder_is_inspected_verified_exported_imported_and_compacted(tmp_path: Path) -> None:
    snapshot = filled(tmp_path / "a")
    shown = state("inspect", tmp_path / "a")
    assert shown.returncode == 0 and "of n1, written by 0.2" in shown.stdout and "s5" not in shown.stdout
    assert state("verify", tmp_path / "a").returncode == 0
    exported = state("export", tmp_path / "a")
    assert (
        exported.returncode == 0 and json.loads(exported.stdout)["snapshot"]["servers"] == snapshot["servers"]
    )
    (tmp_path / "x.json").write_text(exported.stdout)
    assert state("import", tmp_path / "b", tmp_path / "x.json").returncode == 0
    assert state("export", tmp_path / "b").stdout == exported.stdout
    assert state("compact", tmp_path / "a").returncode == 0
    assert state("export", tmp_path / "a").stdout == exported.stdout
    assert (tmp_path / "a" / "checkpoint.1").exists() and not (tmp_path / "a" / "journal.1").exists()


def test_damage_is_reported_with_its_offset_and_the_saved_records(tmp_path: Path) -> None:
    filled(tmp_path)
    journal = tmp_path / "journal.0"
    data = journal.read_bytes()
    journal.write_bytes(data[:-5])
    checked = state("verify", tmp_path)
    assert checked.returncode == 1 and "cut within a record at byte" in checked.stdout
    exported = state("export", tmp_path)
    assert exported.returncode == 1 and "records are saved" in exported.stderr and json.loads(exported.stdout)
    (tmp_path / "checkpoint.0").write_bytes(b"")
    assert state("inspect", tmp_path).returncode == 2


def test_unusable_input_gives_one_line(tmp_path: Path) -> None:
    (tmp_path / "x.json").write_text('{"meta": 3}')
    for words, code in (
        (("inspect", tmp_path / "none"), 2),
        (("verify", tmp_path), 2),
        (("import", tmp_path / "c", tmp_path / "x.json"), 2),
    ):
        done = state(*words)
        assert done.returncode == code and done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
    filled(tmp_path / "a")
    holder = StateStore(str(tmp_path / "a"), "1", print)
    holder.open()
    assert state("compact", tmp_path / "a").returncode == 3
    holder.close()
