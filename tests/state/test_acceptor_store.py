"""An acceptor's folder under disk failures: records of a completed append are always read back."""

from __future__ import annotations

import os
import struct
from pathlib import Path

import pytest
from crc32c import crc32c
from hypothesis import given
from hypothesis import strategies as st

from iristrack.store import acceptor_format, acceptor_store
from iristrack.store.acceptor_store import (
    BlobRecord,
    FolderBusy,
    ForeignFolder,
    IdentityRecord,
    MissingIdentity,
    NewerFormat,
    OpenedAcceptorStore,
    RegisterRecord,
    StoreFull,
    TooLarge,
    UnreadableFile,
    open_acceptor_store,
)
from iristrack.store.framing import Verdict
from iristrack.wire.messages import NO_BALLOT, Ballot
from tests.state.disk import FAILURE_KINDS, FaultyFileSystem, SimulatedCrash

OWNER = IdentityRecord("first", "a")
SEEDS = range(6)


def register_record(key: str, number: int, size: int = 10) -> RegisterRecord:
    return RegisterRecord(key, Ballot(number, "a"), Ballot(number - 1, "b"), bytes([number % 256]) * size)


def contents_by_slot(opened: OpenedAcceptorStore) -> dict[object, object]:
    """Return everything that was read, by slot."""
    found = dict(opened.registers)
    found |= {f"blob {name}": value for name, value in opened.blobs.items()}
    return found


def reopened(folder: Path) -> OpenedAcceptorStore:
    opened = open_acceptor_store(str(folder), "a")
    opened.store.close()
    return opened


def opened_with_identity(folder: Path) -> OpenedAcceptorStore:
    opened = open_acceptor_store(str(folder), "a")
    opened.store.append([OWNER])
    return opened


def newest(folder: Path) -> Path:
    return max(folder.glob("cells.*"), key=lambda path: int(path.suffix[1:]))


def test_an_empty_folder_accepts_records_only_with_an_identity(tmp_path: Path) -> None:
    opened = open_acceptor_store(str(tmp_path / "new"), "a")
    assert opened.identity is None and contents_by_slot(opened) == {} and opened.notes == []
    with pytest.raises(MissingIdentity):
        opened.store.append([register_record("k", 1)])
    opened.store.append([OWNER, register_record("k", 1)])
    opened.store.close()
    assert reopened(tmp_path / "new").identity == OWNER


def test_the_last_record_of_each_slot_is_read_back(tmp_path: Path) -> None:
    store = opened_with_identity(tmp_path).store
    store.append(
        [
            register_record("k", 1),
            register_record("j", 2),
            BlobRecord("members", b"one"),
            BlobRecord("k", b"no cell"),
        ]
    )
    store.append([register_record("k", 3), register_record("k", 4), BlobRecord("members", b"two")])
    store.append([RegisterRecord("", NO_BALLOT, NO_BALLOT, b"")])
    store.close()
    opened = reopened(tmp_path)
    assert opened.identity == OWNER and opened.notes == []
    assert opened.registers == {
        "k": register_record("k", 4),
        "j": register_record("j", 2),
        "": RegisterRecord("", NO_BALLOT, NO_BALLOT, b""),
    }
    assert opened.blobs == {"members": b"two", "k": b"no cell"}


def test_records_are_written_in_the_order_of_the_last_record_of_each_slot(tmp_path: Path) -> None:
    """A loss of power keeps a prefix, so the identity must follow the records whose presence it implies."""
    store = opened_with_identity(tmp_path).store
    begun = newest(tmp_path).stat().st_size
    second = IdentityRecord("second", "a")
    store.append(
        [
            IdentityRecord("", "a"),
            register_record("k", 1),
            BlobRecord("members", b"one"),
            register_record("k", 2),
            second,
        ]
    )
    store.close()
    data = newest(tmp_path).read_bytes()
    for length in range(begun, len(data)):
        contents = acceptor_format.read_contents(data[:length])
        assert contents.identity != second or contents.registers == {"k": register_record("k", 2)}
    assert acceptor_format.read_contents(data).identity == second


def test_size_limits_are_enforced_and_a_refused_record_has_no_effect(tmp_path: Path) -> None:
    store = opened_with_identity(tmp_path).store
    largest = RegisterRecord("k", Ballot(2**62, "p" * 4096), Ballot(2**62, "q" * 4096), bytes(8 << 20))
    store.append([largest])
    for record in (
        RegisterRecord("k", NO_BALLOT, NO_BALLOT, bytes((8 << 20) + 1)),
        BlobRecord("b", bytes((8 << 20) + 1)),
        register_record("k" * 4097, 1),
        BlobRecord("é" * 2049, b""),
        IdentityRecord("i" * 4097, "a"),
    ):
        with pytest.raises(TooLarge):
            store.append([register_record("j", 1), record])
    store.append([register_record("i", 1)])
    store.close()
    assert reopened(tmp_path).registers == {"k": largest, "i": register_record("i", 1)}


def test_live_records_over_their_limit_are_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor_store, "MAX_LIVE_BYTES", 3000)
    store = opened_with_identity(tmp_path).store
    store.append([register_record("a", 1, 1000), register_record("b", 1, 1000)])
    with pytest.raises(StoreFull):
        store.append([register_record("c", 1, 1000)])
    store.append([register_record("b", 2, 1000)])
    store.close()
    assert reopened(tmp_path).registers == {
        "a": register_record("a", 1, 1000),
        "b": register_record("b", 2, 1000),
    }


def test_a_long_file_is_rewritten_in_proportion_to_its_live_records(tmp_path: Path) -> None:
    store = opened_with_identity(tmp_path).store
    live, names = {}, set()
    for n in range(300):
        record = register_record(f"k{n % 5}", n, 20_000)
        live[record.key] = record
        store.append([record])
        names |= {path.name for path in tmp_path.glob("cells.*")}
        assert store.file_bytes == newest(tmp_path).stat().st_size
        assert store.file_bytes <= max(
            acceptor_store.REWRITE_BYTES, acceptor_store.REWRITE_FACTOR * store.live_bytes
        )
    assert 3 <= len(names) <= 20, "rewritten occasionally, not at each append"
    assert sorted(os.listdir(tmp_path)) == [newest(tmp_path).name, "lock"]
    store.close()
    assert reopened(tmp_path).registers == live and reopened(tmp_path).identity == OWNER


def test_a_file_with_many_live_bytes_is_rewritten_at_four_times_their_size(tmp_path: Path) -> None:
    store = opened_with_identity(tmp_path).store
    store.append([register_record(f"k{n}", 1, 200_000) for n in range(5)])
    first = newest(tmp_path).name
    while newest(tmp_path).name == first:
        before = store.file_bytes
        store.append([register_record("k0", 2, 200_000)])
    assert before + 201_000 > acceptor_store.REWRITE_FACTOR * store.live_bytes > before
    store.close()


# ---- crashes and failed calls


def run_process(files: FaultyFileSystem, done: list[dict], tried: list[dict]) -> None:
    """Append, and reopen after failures; `done` collects the states that must survive, `tried` all attempted ones."""
    now: dict[object, object] = {}
    opened = None
    for n in range(30):
        records = [register_record(f"k{n % 3}", n, 400), BlobRecord("members", bytes([n]))]
        after = now | {records[0].key: records[0], "blob members": records[1].value}
        tried.append(after)
        try:
            if opened is None:
                opened = open_acceptor_store("f", "a", files)
            if opened.identity is None and n < 2:
                opened.store.append([OWNER])
            opened.store.append(records)
        except MissingIdentity:
            opened.store.append([OWNER, *records])
        except OSError:
            if n % 2 and opened is not None:
                opened.store.close()
                opened = None
            continue
        now = after
        done.append(now)
    if opened is not None:
        opened.store.close()


@pytest.fixture
def frequent_rewrites(monkeypatch: pytest.MonkeyPatch) -> None:
    """Files that are rewritten every few appends."""
    monkeypatch.setattr(acceptor_store, "REWRITE_BYTES", 3000)
    monkeypatch.setattr(acceptor_store, "REWRITE_FACTOR", 2)


def is_consistent(found: dict[object, object], done: list[dict], tried: list[dict]) -> bool:
    """Return whether each slot is at least as new as the last completed append and was appended at some time."""
    last = done[-1] if done else {}
    ever = [state.items() for state in tried]
    all_appended = all(any(item in items for items in ever) for item in found.items())
    for slot, value in last.items():
        versions = [state[slot] for state in tried if slot in state]
        if slot not in found or versions.index(found[slot]) < versions.index(value):
            return False
    return all_appended


@pytest.mark.usefixtures("frequent_rewrites")
@pytest.mark.parametrize("how", FAILURE_KINDS)
def test_no_single_failed_call_loses_a_completed_append(how: str) -> None:
    clean: list[dict] = []
    healthy = FaultyFileSystem()
    run_process(healthy, clean, [])
    assert len(clean) == 30 and healthy.calls > 100
    for at in range(healthy.calls):
        files, done, tried = FaultyFileSystem(at, how), [], []
        died = False
        try:
            run_process(files, done, tried)
        except SimulatedCrash:
            died = True
        assert died == ("crash" in how)
        for seed in SEEDS:
            after = files.crash(seed)
            opened = open_acceptor_store("f", "a", after)
            assert is_consistent(contents_by_slot(opened), done, tried), (how, at, seed)
            assert opened.identity == OWNER or not done, (how, at, seed)
            opened.store.append([OWNER, register_record("next", 1)])
            again = open_acceptor_store("f", "a", after.crash(seed + 100))
            assert again.registers["next"] == register_record("next", 1), (how, at, seed)
            assert is_consistent(contents_by_slot(again) | {"next": None}, done, [*tried, {"next": None}]), (
                how,
                at,
                seed,
            )


@pytest.mark.usefixtures("frequent_rewrites")
def test_a_crash_during_recovery_from_a_crash_loses_no_completed_append() -> None:
    healthy = FaultyFileSystem()
    run_process(healthy, [], [])
    for at in range(3, healthy.calls, 3):
        files, done, tried = FaultyFileSystem(at, "crash after"), [], []
        with pytest.raises(SimulatedCrash):
            run_process(files, done, tried)
        for second in range(12):
            dying = files.crash(at)
            dying.fail_at, dying.how = second, "crash before"
            try:
                open_acceptor_store("f", "a", dying)
            except SimulatedCrash:
                dying = dying.crash(second)
            dying.fail_at, dying.locked = -1, False
            assert is_consistent(contents_by_slot(open_acceptor_store("f", "a", dying)), done, tried), (
                at,
                second,
            )


@pytest.mark.parametrize("how", ["EIO", "ENOSPC"])
@pytest.mark.parametrize("call", ["write", "sync_data"])
def test_the_append_after_a_failed_call_begins_another_file(call: str, how: str) -> None:
    files = FaultyFileSystem()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER, register_record("k", 1)])
    store.append([register_record("k", 2)])
    files.fail_at, files.how = files.calls + (call == "sync_data"), how
    with pytest.raises(OSError, match=how):
        store.append([register_record("k", 3)])
    size = len(files.nodes["f/cells.0"].data)
    store.append([register_record("j", 1)])
    assert sorted(files.nodes) == ["f/cells.1"]
    opened = open_acceptor_store("f", "a", files.crash(1))
    assert opened.registers == {"k": register_record("k", 2), "j": register_record("j", 1)} and size > 0


def test_nothing_is_appended_after_a_failed_sync_while_rewrites_fail_too() -> None:
    files = FaultyFileSystem()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER, register_record("k", 1)])
    files.fail_at = files.calls + 1
    with pytest.raises(OSError, match="EIO"):
        store.append([register_record("k", 2)])
    corrupt = files.nodes["f/cells.0"].data
    # Calls: create, write, sync, rename, sync of the folder; one more call closes the old file.
    for step in range(5):
        files.fail_at = files.calls + step
        with pytest.raises(OSError, match="EIO"):
            store.append([register_record("k", 3 + step)])
        assert files.nodes["f/cells.0"].data == corrupt
    store.append([register_record("k", 9)])
    assert [name for name in files.nodes if "cells" in name] == [f"f/cells.{store._generation}"]
    assert open_acceptor_store("f", "a", files.crash(2)).registers == {"k": register_record("k", 9)}


def test_a_failed_opening_releases_the_folder() -> None:
    files = FaultyFileSystem()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER])
    store.close()
    files.fail_at = files.calls + 2
    with pytest.raises(OSError, match="EIO"):
        open_acceptor_store("f", "a", files)
    assert open_acceptor_store("f", "a", files).identity == OWNER


# ---- contents of a folder


def test_a_file_truncated_anywhere_keeps_the_records_before_the_cut() -> None:
    records = [
        OWNER,
        register_record("k", 1),
        BlobRecord("b", b"x"),
        register_record("k", 2),
        register_record("j", 1),
    ]
    data = acceptor_format.FRAMING.header("1") + b"".join(map(acceptor_format.encode_record, records))
    counts = set()
    for cut in range(len(data) + 1):
        contents = acceptor_format.read_contents(data[:cut])
        whole = data[: contents.read.end]
        again = acceptor_format.read_contents(whole)
        assert contents.records() == again.records() and contents.read.end <= cut
        assert bool(contents.read.why) is (contents.read.verdict is not Verdict.COMPLETE)
        counts.add(contents.read.end)
    assert len(counts) == len(records) + 2, "the ends: none, the header, and each record"


def test_every_single_bit_flip_is_detected() -> None:
    records = [OWNER, register_record("k", 1, 3), BlobRecord("b", b"x")]
    data = acceptor_format.FRAMING.header("1") + b"".join(map(acceptor_format.encode_record, records))
    for bit in range(len(data) * 8):
        corrupt = bytearray(data)
        corrupt[bit // 8] ^= 1 << bit % 8
        contents = acceptor_format.read_contents(bytes(corrupt))
        assert contents.read.verdict in (Verdict.PREFIX, Verdict.DISCARDED)
        found = contents.records()
        assert found == records[: len(found)] and contents.read.end <= bit // 8


@given(st.binary(max_size=300), st.booleans())
def test_the_reader_accepts_arbitrary_bytes(noise: bytes, framed: bool) -> None:
    header = acceptor_format.FRAMING.header("1")
    payloads = acceptor_format.FRAMING.record("noise", noise) if framed else noise
    assert acceptor_format.read_contents(noise).records() == []
    contents = acceptor_format.read_contents(header + payloads)
    assert contents.read.end in (len(header), len(header + payloads))


def test_a_torn_tail_is_ignored_reported_and_never_appended_to(tmp_path: Path) -> None:
    store = opened_with_identity(tmp_path).store
    store.append([register_record("k", 1)])
    store.append([register_record("k", 2)])
    store.close()
    path = newest(tmp_path)
    path.write_bytes(path.read_bytes()[:-3])
    opened = open_acceptor_store(str(tmp_path), "a")
    assert opened.registers == {"k": register_record("k", 1)}
    assert len(opened.notes) == 1 and opened.notes[0].startswith(f"{path.name}: cut within a record")
    opened.store.append([register_record("j", 1)])
    opened.store.close()
    after = reopened(tmp_path)
    assert (
        after.registers == {"k": register_record("k", 1), "j": register_record("j", 1)} and after.notes == []
    )


def test_opening_a_folder_syncs_what_was_only_in_the_page_cache() -> None:
    files = FaultyFileSystem()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER, register_record("k", 1)])
    files.sync_data = lambda handle: None  # the process ends between write and sync
    store.append([register_record("k", 2)])
    del files.sync_data
    files.locked = False
    opened = open_acceptor_store("f", "a", files)
    assert opened.registers == {"k": register_record("k", 2)}
    for seed in SEEDS:
        assert open_acceptor_store("f", "a", files.crash(seed)).registers == opened.registers


def test_a_wiped_folder_has_no_identity(tmp_path: Path) -> None:
    opened_with_identity(tmp_path / "f").store.close()
    for path in (tmp_path / "f").iterdir():
        path.unlink()
    opened = open_acceptor_store(str(tmp_path / "f"), "a")
    assert opened.identity is None and opened.registers == {}
    opened.store.close()


def test_a_corrupt_newest_file_counts_as_a_lost_disk_without_fallback_to_an_older_one(tmp_path: Path) -> None:
    store = opened_with_identity(tmp_path).store
    store.append([register_record("k", 1)])
    store.close()
    newest(tmp_path).with_suffix(".7").write_bytes(b"IRISCELL spoilt")
    opened = open_acceptor_store(str(tmp_path), "a")
    assert opened.identity is None and opened.registers == {} and "cells.7" in opened.notes[0]
    opened.store.append([IdentityRecord("second", "a")])
    opened.store.close()
    assert reopened(tmp_path).identity == IdentityRecord("second", "a")


def test_a_newer_format_is_refused_and_nothing_is_modified(tmp_path: Path) -> None:
    opened_with_identity(tmp_path).store.close()
    head = struct.pack("<8sHH", acceptor_format.MAGIC, acceptor_format.FORMAT + 1, 3) + b"9.0"
    newer = head + struct.pack("<I", crc32c(head)) + b"what it means is not known here"
    path = newest(tmp_path).with_suffix(".5")
    path.write_bytes(newer)
    (tmp_path / "cells.6.new").write_bytes(b"half")
    names = sorted(os.listdir(tmp_path))
    for _ in range(2):
        with pytest.raises(NewerFormat, match=r"format 2.*written by 9\.0"):
            open_acceptor_store(str(tmp_path), "a")
    assert sorted(os.listdir(tmp_path)) == names and path.read_bytes() == newer


def test_another_nodes_folder_is_refused_and_nothing_is_modified(tmp_path: Path) -> None:
    opened_with_identity(tmp_path).store.close()
    data = newest(tmp_path).read_bytes()
    with pytest.raises(ForeignFolder, match="belongs to a, not to b"):
        open_acceptor_store(str(tmp_path), "b")
    assert newest(tmp_path).read_bytes() == data
    opened = open_acceptor_store(str(tmp_path), "a")
    with pytest.raises(ForeignFolder):
        opened.store.append([IdentityRecord("x", "b")])
    opened.store.close()


def test_two_processes_cannot_use_one_folder(tmp_path: Path) -> None:
    opened = opened_with_identity(tmp_path)
    with pytest.raises(FolderBusy, match="in use"):
        open_acceptor_store(str(tmp_path), "a")
    opened.store.close()
    opened.store.close()
    assert reopened(tmp_path).identity == OWNER


def test_a_file_over_its_size_limit_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = opened_with_identity(tmp_path).store
    store.append([register_record("k", 1, 500)])
    store.close()
    monkeypatch.setattr(acceptor_store, "MAX_FILE_BYTES", 400)
    with pytest.raises(UnreadableFile):
        open_acceptor_store(str(tmp_path), "a")


def test_leftover_files_are_removed_by_the_next_rewrite(tmp_path: Path) -> None:
    opened_with_identity(tmp_path).store.close()
    (tmp_path / "cells.40.new").write_bytes(b"half")
    (tmp_path / "notes.txt").write_text("not ours")
    assert reopened(tmp_path).identity == OWNER
    assert sorted(os.listdir(tmp_path)) == ["cells.41", "lock", "notes.txt"]
