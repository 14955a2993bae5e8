"""The store under all that a disk does: cuts, flips, failed calls, deaths within a call, two processes, newer files."""

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
from tests.state.disk import WAYS, Died, Failing

OPENING = 3  # calls that must succeed for a folder to be used at all
RECORDS = [("class", {"name": "view", "mean": 1.5}), ("server", ["a", 7, [1, 2, 3]]), ("share", "é" * 9)]


def opened(files: Failing, said: list[str] | None = None) -> tuple[StateStore, object]:
    store = StateStore("f", "1.0", (said if said is not None else []).append, files)
    return store, store.open()


def test_every_cut_of_a_file_is_a_valid_prefix_or_nothing() -> None:
    data = fmt.checkpoint("1.0", RECORDS)
    assert fmt.read(data).verdict is fmt.Verdict.COMPLETE and fmt.read(data).records == RECORDS
    seen = set()
    for cut in range(len(data)):
        read = fmt.read(data[:cut])
        assert read.verdict in (fmt.Verdict.PREFIX, fmt.Verdict.DISCARDED) and read.why
        assert read.records == RECORDS[: len(read.records)] and read.end <= cut
        seen.add(len(read.records))
    assert seen == {0, 1, 2, 3}


def test_no_single_bit_flip_is_believed() -> None:
    data = fmt.checkpoint("1.0", RECORDS)
    for bit in range(len(data) * 8):
        spoilt = bytearray(data)
        spoilt[bit // 8] ^= 1 << bit % 8
        read = fmt.read(bytes(spoilt))
        assert read.verdict is not fmt.Verdict.COMPLETE and read.verdict is not fmt.Verdict.NEWER
        assert read.records == RECORDS[: len(read.records)] and read.end <= bit // 8


@given(st.binary(max_size=400), st.integers(0, 60), st.booleans())
def test_the_reader_takes_any_bytes(noise: bytes, cut: int, behind: bool) -> None:
    data = fmt.checkpoint("1.0", RECORDS)
    read = fmt.read(data[:cut] + noise if not behind else data + noise)
    assert read.records == RECORDS[: len(read.records)]
    if noise and behind:
        assert read.verdict is not fmt.Verdict.COMPLETE


CORPUS = sorted((Path(__file__).parent / "corpus").glob("*.bin"))


@pytest.mark.parametrize("file", CORPUS, ids=[file.stem for file in CORPUS])
def test_files_of_the_corpus_are_judged_as_their_names_say(file: Path) -> None:
    read = fmt.read(file.read_bytes())
    assert read.verdict.value == file.stem.partition("-")[0]
    assert bool(read.why) is (read.verdict is not fmt.Verdict.COMPLETE) and read.end <= file.stat().st_size


@given(st.sampled_from(CORPUS), st.data())
def test_the_corpus_changed_at_random_is_never_believed_beyond_its_records(
    file: Path, data: st.DataObject
) -> None:
    whole = fmt.read((file.parent / "whole-checkpoint.bin").read_bytes()).records
    spoilt = bytearray(file.read_bytes())
    for _ in range(data.draw(st.integers(1, 6))):
        if spoilt:
            spoilt[data.draw(st.integers(0, len(spoilt) - 1))] = data.draw(st.integers(0, 255))
    read = fmt.read(bytes(spoilt[: data.draw(st.integers(0, len(spoilt)))]))
    assert read.records == whole[: len(read.records)]


def test_bounds_are_kept() -> None:
    with pytest.raises(fmt.TooLarge, match="65536 at most"):
        fmt.record("x", b"." * 70_000)
    with pytest.raises(fmt.TooLarge, match="8388608 at most"):
        fmt.checkpoint("1", [("x", b"." * 60_000)] * 150)
    said: list[str] = []
    store, _ = opened(Failing(), said)
    assert store.checkpoint([]) and not store.append([("x", b"." * 70_000)]) and "left out" in said[0]
    full = [("x", b"." * 60_000)] * 100
    assert store.append(full) and not store.append(full), "a journal has a bound"


def life(files: Failing, said: list[str], tried: list[list]) -> None:
    """A process that writes checkpoints and changes; every state that it tried to have goes to `tried`."""
    store = StateStore("f", "1.0", said.append, files)
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


def test_each_call_failed_once_in_each_way_leaves_a_state_that_was() -> None:
    clean = Failing()
    life(clean, [], [])
    assert clean.calls > 40
    for how in WAYS:
        for at in range(clean.calls):
            files, tried = Failing(at, how), []
            died = False
            try:
                life(files, [], tried)
            except Died:
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


def test_a_failed_call_is_told_and_the_next_checkpoint_mends_it() -> None:
    said: list[str] = []
    files = Failing()
    store, _ = opened(files, said)
    assert store.checkpoint(RECORDS) and store.append([("a", 1)])
    files.fail_at, files.how = files.calls, "ENOSPC"
    assert not store.append([("a", 2)]) and "ENOSPC" in said[0]
    assert not store.append([("a", 3)]), "nothing may stand behind what may be half a record"
    assert store.checkpoint(RECORDS) and store.append([("a", 4)])
    store.close()
    _, found = opened(files)
    assert found.changes == [("a", 4)] and found.generation == 1


def test_two_processes_never_share_a_folder(tmp_path: Path) -> None:
    one, other = (StateStore(str(tmp_path / "s"), "1", print) for _ in range(2))
    one.open()
    with pytest.raises(StateFolderBusy, match="in use"):
        other.open()
    one.close()
    other.open()
    other.close()


def test_a_newer_files_generation_is_kept_aside_and_never_overwritten(tmp_path: Path) -> None:
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


def test_what_is_left_behind_is_cleared_and_a_spoilt_generation_falls_back(tmp_path: Path) -> None:
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
    assert store.checkpoint([("next", 3)]), "and its number is not used again"
    store.close()
    assert (tmp_path / "checkpoint.2").exists()


def test_a_folder_that_cannot_be_used_costs_one_line_and_no_more(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("no folder")
    said: list[str] = []
    store = StateStore(str(tmp_path / "file"), "1", said.append)
    assert store.open().generation == -1 and len(said) == 1
    assert not store.checkpoint(RECORDS) and not store.append(RECORDS) and not store.sync()
    store.close()
