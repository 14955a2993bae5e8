"""The state store under disk failures: truncation, bit flips, failed calls, crashes, two processes, newer formats."""

from __future__ import annotations

import os
import struct
from pathlib import Path

import pytest
from crc32c import crc32c
from hypothesis import given
from hypothesis import strategies as st

from iristrack.store import state_format as fmt
from iristrack.store.state_store import StateFolderBusy, StateStore
from tests.state.disk import FAILURE_KINDS, FaultyFileSystem, SimulatedCrash

OPENING = 3  # calls that must succeed before a folder can be used
RECORDS = [("class", {"name": "view", "mean": 1.5}), ("server", ["a", 7, [1, 2, 3]]), ("share", "é" * 9)]


def opened(files: FaultyFileSystem, warnings: list[str] | None = None) -> tuple[StateStore, object]:
    store = StateStore("f", "1.0", (warnings if warnings is not None else []).append, files)
    return store, store.open()


def test_a_file_truncated_anywhere_is_a_valid_prefix_or_discarded() -> None:
    data = fmt.checkpoint("1.0", RECORDS)
    assert fmt.read(data).verdict is fmt.Verdict.COMPLETE and fmt.read(data).records == RECORDS
    seen = set()
    for cut in range(len(data)):
        read = fmt.read(data[:cut])
        assert read.verdict in (fmt.Verdict.PREFIX, fmt.Verdict.DISCARDED) and read.why
        assert read.records == RECORDS[: len(read.records)] and read.end <= cut
        seen.add(len(read.records))
    assert seen == {0, 1, 2, 3}


def test_every_single_bit_flip_is_detected() -> None:
    data = fmt.checkpoint("1.0", RECORDS)
    for bit in range(len(data) * 8):
        corrupt = bytearray(data)
        corrupt[bit // 8] ^= 1 << bit % 8
        read = fmt.read(bytes(corrupt))
        assert read.verdict is not fmt.Verdict.COMPLETE and read.verdict is not fmt.Verdict.NEWER
        assert read.records == RECORDS[: len(read.records)] and read.end <= bit // 8


@given(st.binary(max_size=400), st.integers(0, 60), st.booleans())
def test_the_reader_accepts_arbitrary_bytes(noise: bytes, cut: int, is_appended: bool) -> None:
    data = fmt.checkpoint("1.0", RECORDS)
    read = fmt.read(data[:cut] + noise if not is_appended else data + noise)
    assert read.records == RECORDS[: len(read.records)]
    if noise and is_appended:
        assert read.verdict is not fmt.Verdict.COMPLETE


CORPUS = sorted((Path(__file__).parent / "corpus").glob("*.bin"))


@pytest.mark.parametrize("file", CORPUS, ids=[file.stem for file in CORPUS])
def test_corpus_files_are_read_as_their_names_say(file: Path) -> None:
    read = fmt.read(file.read_bytes())
    assert read.verdict.value == file.stem.partition("-")[0]
    assert bool(read.why) is (read.verdict is not fmt.Verdict.COMPLETE) and read.end <= file.stat().st_size


@given(st.sampled_from(CORPUS), st.data())
def test_no_records_are_invented_from_randomly_modified_corpus_files(file: Path, data: st.DataObject) -> None:
    whole = fmt.read((file.parent / "whole-checkpoint.bin").read_bytes()).records
    corrupt = bytearray(file.read_bytes())
    for _ in range(data.draw(st.integers(1, 6))):
        if corrupt:
            corrupt[data.draw(st.integers(0, len(corrupt) - 1))] = data.draw(st.integers(0, 255))
    read = fmt.read(bytes(corrupt[: data.draw(st.integers(0, len(corrupt)))]))
    assert read.records == whole[: len(read.records)]


def test_size_limits_are_enforced() -> None:
    with pytest.raises(fmt.TooLarge, match="65536 at most"):
        fmt.record("x", b"." * 70_000)
    with pytest.raises(fmt.TooLarge, match="8388608 at most"):
        fmt.checkpoint("1", [("x", b"." * 60_000)] * 150)
    warnings: list[str] = []
    store, _ = opened(FaultyFileSystem(), warnings)
    assert store.checkpoint([]) and not store.append([("x", b"." * 70_000)]) and "left out" in warnings[0]
    full = [("x", b"." * 60_000)] * 100
    assert store.append(full) and not store.append(full), "the size of a journal is limited"


def run_process(files: FaultyFileSystem, warnings: list[str], tried: list[list]) -> None:
    """Write checkpoints and changes; `tried` collects every attempted state."""
    store = StateStore("f", "1.0", warnings.append, files)
    found = store.open()
    now = found.records + found.changes
    tried.append(now)
    for n in range(4):
        records = [("n", n), ("x", "a" * 50)]
        tried.append(records)
        if store.checkpoint(records):
            now = records
        for i in range(3):
            tried.append([*now, ("change", [n, i])])
            if store.append([("change", [n, i])]):
                now = tried[-1]
        store.sync()
    store.close()


def test_after_any_single_failed_call_an_earlier_state_is_read() -> None:
    clean = FaultyFileSystem()
    run_process(clean, [], [])
    assert clean.calls > 40
    for how in FAILURE_KINDS:
        for at in range(clean.calls):
            files, tried = FaultyFileSystem(at, how), []
            died = False
            try:
                run_process(files, [], tried)
            except SimulatedCrash:
                died = True
            assert died == ("crash" in how)
            prefixes = [state[:j] for state in [[], *tried] for j in range(len(state) + 1)]
            for seed in range(4):
                after = files.crash(seed) if died else files
                after.fail_at, after.locked = -1, False
                _, found = opened(after)
                assert found.records + found.changes in prefixes, (how, at, found)
                if not died and at >= OPENING:
                    assert found.generation >= 0, (how, at, "one failed call must not cost both generations")


def test_a_failed_call_is_reported_and_the_next_checkpoint_recovers() -> None:
    warnings: list[str] = []
    files = FaultyFileSystem()
    store, _ = opened(files, warnings)
    assert store.checkpoint(RECORDS) and store.append([("a", 1)])
    files.fail_at, files.how = files.calls, "ENOSPC"
    assert not store.append([("a", 2)]) and "ENOSPC" in warnings[0]
    assert not store.append([("a", 3)]), "nothing may be appended after a possibly partial record"
    assert store.checkpoint(RECORDS) and store.append([("a", 4)])
    store.close()
    _, found = opened(files)
    assert found.changes == [("a", 4)] and found.generation == 1


def test_two_processes_cannot_use_one_folder(tmp_path: Path) -> None:
    one, other = (StateStore(str(tmp_path / "s"), "1", print) for _ in range(2))
    one.open()
    with pytest.raises(StateFolderBusy, match="in use"):
        other.open()
    one.close()
    other.open()
    other.close()


def test_a_generation_in_a_newer_format_is_set_aside_and_never_overwritten(tmp_path: Path) -> None:
    folder = tmp_path / "s"
    store = StateStore(str(folder), "1", print)
    store.open()
    assert store.checkpoint(RECORDS)
    store.close()
    name = b"9.0"
    head = struct.pack("<8sHH", fmt.MAGIC, fmt.FORMAT + 1, len(name)) + name
    newer = head + struct.pack("<I", crc32c(head)) + b"what it means is not known here"
    (folder / "checkpoint.1").write_bytes(newer)
    store = StateStore(str(folder), "1", print)
    found = store.open()
    assert found.records == RECORDS and found.generation == 0 and "kept aside" in found.notes[0]
    for _ in range(5):
        assert store.checkpoint(RECORDS)
    store.close()
    assert (folder / "newer.checkpoint.1").read_bytes() == newer
    assert sorted(os.listdir(folder)) == ["checkpoint.5", "checkpoint.6", "lock", "newer.checkpoint.1"]


def test_leftover_files_are_removed_and_a_corrupt_generation_is_skipped(tmp_path: Path) -> None:
    store = StateStore(str(tmp_path), "1", print)
    store.open()
    store.checkpoint([("old", 1)])
    store.append([("change", 1)])
    store.checkpoint([("new", 2)])
    store.close()
    (tmp_path / "checkpoint.7.new").write_bytes(b"half")
    data = (tmp_path / "checkpoint.1").read_bytes()
    (tmp_path / "checkpoint.1").write_bytes(data[:-3])
    store = StateStore(str(tmp_path), "1", print)
    found = store.open()
    assert (
        found.records == [("old", 1)]
        and found.changes == [("change", 1)]
        and "checkpoint.1" in found.notes[0]
    )
    assert not (tmp_path / "checkpoint.7.new").exists()
    assert store.checkpoint([("next", 3)]), "the number of the corrupt generation is not reused"
    store.close()
    assert (tmp_path / "checkpoint.2").exists()


def test_an_unusable_folder_only_produces_one_log_line(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("no folder")
    warnings: list[str] = []
    store = StateStore(str(tmp_path / "file"), "1", warnings.append)
    assert store.open().generation == -1 and len(warnings) == 1
    assert not store.checkpoint(RECORDS) and not store.append(RECORDS) and not store.sync()
    store.close()
