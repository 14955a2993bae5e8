"""An acceptor's folder under all that a disk does: whatever a completed append was given is there afterwards."""

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
from tests.state.disk import WAYS, Died, Failing

OWNER = IdentityRecord("first", "a")
SEEDS = range(6)


def cell(key: str, number: int, size: int = 10) -> RegisterRecord:
    return RegisterRecord(key, Ballot(number, "a"), Ballot(number - 1, "b"), bytes([number % 256]) * size)


def held(opened: OpenedAcceptorStore) -> dict[object, object]:
    """Everything that was found, by slot."""
    found = dict(opened.registers)
    found |= {f"blob {name}": value for name, value in opened.blobs.items()}
    return found


def kept(folder: Path) -> OpenedAcceptorStore:
    opened = open_acceptor_store(str(folder), "a")
    opened.store.close()
    return opened


def began(folder: Path) -> OpenedAcceptorStore:
    opened = open_acceptor_store(str(folder), "a")
    opened.store.append([OWNER])
    return opened


def newest(folder: Path) -> Path:
    return max(folder.glob("cells.*"), key=lambda path: int(path.suffix[1:]))


def test_an_empty_folder_has_no_owner_and_takes_records_only_with_one(tmp_path: Path) -> None:
    opened = open_acceptor_store(str(tmp_path / "new"), "a")
    assert opened.identity is None and held(opened) == {} and opened.notes == []
    with pytest.raises(MissingIdentity):
        opened.store.append([cell("k", 1)])
    opened.store.append([OWNER, cell("k", 1)])
    opened.store.close()
    assert kept(tmp_path / "new").identity == OWNER


def test_the_last_record_of_each_slot_is_found_again(tmp_path: Path) -> None:
    store = began(tmp_path).store
    store.append([cell("k", 1), cell("j", 2), BlobRecord("members", b"one"), BlobRecord("k", b"no cell")])
    store.append([cell("k", 3), cell("k", 4), BlobRecord("members", b"two")])
    store.append([RegisterRecord("", NO_BALLOT, NO_BALLOT, b"")])
    store.close()
    opened = kept(tmp_path)
    assert opened.identity == OWNER and opened.notes == []
    assert opened.registers == {
        "k": cell("k", 4),
        "j": cell("j", 2),
        "": RegisterRecord("", NO_BALLOT, NO_BALLOT, b""),
    }
    assert opened.blobs == {"members": b"two", "k": b"no cell"}


def test_records_stand_in_the_order_in_which_they_were_last_given(tmp_path: Path) -> None:
    """A loss of power keeps a prefix: the identity must not come before what it vouches for."""
    store = began(tmp_path).store
    begun = newest(tmp_path).stat().st_size
    second = IdentityRecord("second", "a")
    store.append([IdentityRecord("", "a"), cell("k", 1), BlobRecord("members", b"one"), cell("k", 2), second])
    store.close()
    data = newest(tmp_path).read_bytes()
    for length in range(begun, len(data)):
        contents = acceptor_format.read_contents(data[:length])
        assert contents.identity != second or contents.registers == {"k": cell("k", 2)}
    assert acceptor_format.read_contents(data).identity == second


def test_bounds_are_kept_and_a_refused_record_spoils_nothing(tmp_path: Path) -> None:
    store = began(tmp_path).store
    largest = RegisterRecord("k", Ballot(2**62, "p" * 4096), Ballot(2**62, "q" * 4096), bytes(8 << 20))
    store.append([largest])
    for record in (
        RegisterRecord("k", NO_BALLOT, NO_BALLOT, bytes((8 << 20) + 1)),
        BlobRecord("b", bytes((8 << 20) + 1)),
        cell("k" * 4097, 1),
        BlobRecord("é" * 2049, b""),
        IdentityRecord("i" * 4097, "a"),
    ):
        with pytest.raises(TooLarge):
            store.append([cell("j", 1), record])
    store.append([cell("i", 1)])
    store.close()
    assert kept(tmp_path).registers == {"k": largest, "i": cell("i", 1)}


def test_live_records_over_their_bound_are_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor_store, "MAX_LIVE_BYTES", 3000)
    store = began(tmp_path).store
    store.append([cell("a", 1, 1000), cell("b", 1, 1000)])
    with pytest.raises(StoreFull):
        store.append([cell("c", 1, 1000)])
    store.append([cell("b", 2, 1000)])
    store.close()
    assert kept(tmp_path).registers == {"a": cell("a", 1, 1000), "b": cell("b", 2, 1000)}


def test_a_long_file_is_rewritten_and_stays_in_proportion(tmp_path: Path) -> None:
    store = began(tmp_path).store
    live, names = {}, set()
    for n in range(300):
        record = cell(f"k{n % 5}", n, 20_000)
        live[record.key] = record
        store.append([record])
        names |= {path.name for path in tmp_path.glob("cells.*")}
        assert store.file_bytes == newest(tmp_path).stat().st_size
        assert store.file_bytes <= max(
            acceptor_store.REWRITE_BYTES, acceptor_store.REWRITE_FACTOR * store.live_bytes
        )
    assert 3 <= len(names) <= 20, "rewritten now and then, not at each append"
    assert sorted(os.listdir(tmp_path)) == [newest(tmp_path).name, "lock"]
    store.close()
    assert kept(tmp_path).registers == live and kept(tmp_path).identity == OWNER


def test_a_file_of_much_live_content_is_not_rewritten_before_four_times_that(tmp_path: Path) -> None:
    store = began(tmp_path).store
    store.append([cell(f"k{n}", 1, 200_000) for n in range(5)])
    first = newest(tmp_path).name
    while newest(tmp_path).name == first:
        before = store.file_bytes
        store.append([cell("k0", 2, 200_000)])
    assert before + 201_000 > acceptor_store.REWRITE_FACTOR * store.live_bytes > before
    store.close()


# ---- crashes and failed calls


def life(files: Failing, done: list[dict], tried: list[dict]) -> None:
    """A process that appends, and reopens after a failure; `done` takes what is owed, `tried` what may be there."""
    now: dict[object, object] = {}
    opened = None
    for n in range(30):
        records = [cell(f"k{n % 3}", n, 400), BlobRecord("members", bytes([n]))]
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
def short_files(monkeypatch: pytest.MonkeyPatch) -> None:
    """Files that are rewritten every few appends."""
    monkeypatch.setattr(acceptor_store, "REWRITE_BYTES", 3000)
    monkeypatch.setattr(acceptor_store, "REWRITE_FACTOR", 2)


def owed(found: dict[object, object], done: list[dict], tried: list[dict]) -> bool:
    """Is each slot at least as new as the last completed append says, and never anything that was not appended?"""
    last = done[-1] if done else {}
    ever = [state.items() for state in tried]
    sound = all(any(item in items for items in ever) for item in found.items())
    for slot, value in last.items():
        versions = [state[slot] for state in tried if slot in state]
        if slot not in found or versions.index(found[slot]) < versions.index(value):
            return False
    return sound


@pytest.mark.usefixtures("short_files")
@pytest.mark.parametrize("how", WAYS)
def test_each_call_failed_once_in_each_way_loses_no_completed_append(how: str) -> None:
    clean: list[dict] = []
    healthy = Failing()
    life(healthy, clean, [])
    assert len(clean) == 30 and healthy.calls > 100
    for at in range(healthy.calls):
        files, done, tried = Failing(at, how), [], []
        died = False
        try:
            life(files, done, tried)
        except Died:
            died = True
        assert died == ("crash" in how)
        for seed in SEEDS:
            after = files.crash(seed)
            opened = open_acceptor_store("f", "a", after)
            assert owed(held(opened), done, tried), (how, at, seed)
            assert opened.identity == OWNER or not done, (how, at, seed)
            opened.store.append([OWNER, cell("next", 1)])
            again = open_acceptor_store("f", "a", after.crash(seed + 100))
            assert again.registers["next"] == cell("next", 1), (how, at, seed)
            assert owed(held(again) | {"next": None}, done, [*tried, {"next": None}]), (how, at, seed)


@pytest.mark.usefixtures("short_files")
def test_two_deaths_one_in_the_other_lose_no_completed_append() -> None:
    healthy = Failing()
    life(healthy, [], [])
    for at in range(3, healthy.calls, 3):
        files, done, tried = Failing(at, "crash after"), [], []
        with pytest.raises(Died):
            life(files, done, tried)
        for second in range(12):
            dying = files.crash(at)
            dying.fail_at, dying.how = second, "crash before"
            try:
                open_acceptor_store("f", "a", dying)
            except Died:
                dying = dying.crash(second)
            dying.fail_at, dying.locked = -1, False
            assert owed(held(open_acceptor_store("f", "a", dying)), done, tried), (at, second)


@pytest.mark.parametrize("how", ["EIO", "ENOSPC"])
@pytest.mark.parametrize("call", ["write", "sync_data"])
def test_behind_a_failed_call_the_next_append_begins_another_file(call: str, how: str) -> None:
    files = Failing()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER, cell("k", 1)])
    store.append([cell("k", 2)])
    files.fail_at, files.how = files.calls + (call == "sync_data"), how
    with pytest.raises(OSError, match=how):
        store.append([cell("k", 3)])
    size = len(files.nodes["f/cells.0"].data)
    store.append([cell("j", 1)])
    assert sorted(files.nodes) == ["f/cells.1"]
    opened = open_acceptor_store("f", "a", files.crash(1))
    assert opened.registers == {"k": cell("k", 2), "j": cell("j", 1)} and size > 0


def test_nothing_is_written_behind_a_failed_sync_while_the_rewrite_fails_too() -> None:
    files = Failing()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER, cell("k", 1)])
    files.fail_at = files.calls + 1
    with pytest.raises(OSError, match="EIO"):
        store.append([cell("k", 2)])
    spoilt = files.nodes["f/cells.0"].data
    for step in range(
        5
    ):  # create, write, sync, rename, sync of the folder; one more call closes the old file
        files.fail_at = files.calls + step
        with pytest.raises(OSError, match="EIO"):
            store.append([cell("k", 3 + step)])
        assert files.nodes["f/cells.0"].data == spoilt
    store.append([cell("k", 9)])
    assert [name for name in files.nodes if "cells" in name] == [f"f/cells.{store._generation}"]
    assert open_acceptor_store("f", "a", files.crash(2)).registers == {"k": cell("k", 9)}


def test_an_opening_that_fails_lets_go_of_the_folder() -> None:
    files = Failing()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER])
    store.close()
    files.fail_at = files.calls + 2
    with pytest.raises(OSError, match="EIO"):
        open_acceptor_store("f", "a", files)
    assert open_acceptor_store("f", "a", files).identity == OWNER


# ---- what a folder may hold


def test_every_cut_of_a_file_leaves_its_records_up_to_there() -> None:
    records = [OWNER, cell("k", 1), BlobRecord("b", b"x"), cell("k", 2), cell("j", 1)]
    data = acceptor_format.FRAMING.header("1") + b"".join(map(acceptor_format.encode_record, records))
    counts = set()
    for cut in range(len(data) + 1):
        contents = acceptor_format.read_contents(data[:cut])
        whole = data[: contents.read.end]
        again = acceptor_format.read_contents(whole)
        assert contents.records() == again.records() and contents.read.end <= cut
        assert bool(contents.read.why) is (contents.read.verdict is not Verdict.COMPLETE)
        counts.add(contents.read.end)
    assert len(counts) == len(records) + 2, "nothing, the header, and behind each record"


def test_no_single_bit_flip_is_believed() -> None:
    records = [OWNER, cell("k", 1, 3), BlobRecord("b", b"x")]
    data = acceptor_format.FRAMING.header("1") + b"".join(map(acceptor_format.encode_record, records))
    for bit in range(len(data) * 8):
        spoilt = bytearray(data)
        spoilt[bit // 8] ^= 1 << bit % 8
        contents = acceptor_format.read_contents(bytes(spoilt))
        assert contents.read.verdict in (Verdict.PREFIX, Verdict.DISCARDED)
        found = contents.records()
        assert found == records[: len(found)] and contents.read.end <= bit // 8


@given(st.binary(max_size=300), st.booleans())
def test_the_reader_takes_any_bytes(noise: bytes, framed: bool) -> None:
    header = acceptor_format.FRAMING.header("1")
    payloads = acceptor_format.FRAMING.record("noise", noise) if framed else noise
    assert acceptor_format.read_contents(noise).records() == []
    contents = acceptor_format.read_contents(header + payloads)
    assert contents.read.end in (len(header), len(header + payloads))


def test_a_torn_tail_is_cut_told_and_never_written_behind(tmp_path: Path) -> None:
    store = began(tmp_path).store
    store.append([cell("k", 1)])
    store.append([cell("k", 2)])
    store.close()
    path = newest(tmp_path)
    path.write_bytes(path.read_bytes()[:-3])
    opened = open_acceptor_store(str(tmp_path), "a")
    assert opened.registers == {"k": cell("k", 1)}
    assert len(opened.notes) == 1 and opened.notes[0].startswith(f"{path.name}: cut within a record")
    opened.store.append([cell("j", 1)])
    opened.store.close()
    after = kept(tmp_path)
    assert after.registers == {"k": cell("k", 1), "j": cell("j", 1)} and after.notes == []


def test_what_was_only_in_the_page_cache_is_on_the_disk_once_the_folder_is_open() -> None:
    files = Failing()
    store = open_acceptor_store("f", "a", files).store
    store.append([OWNER, cell("k", 1)])
    files.sync_data = lambda handle: None  # the process dies between its write and its sync
    store.append([cell("k", 2)])
    del files.sync_data
    files.locked = False
    opened = open_acceptor_store("f", "a", files)
    assert opened.registers == {"k": cell("k", 2)}
    for seed in SEEDS:
        assert open_acceptor_store("f", "a", files.crash(seed)).registers == opened.registers


def test_a_wiped_folder_has_no_owner(tmp_path: Path) -> None:
    began(tmp_path / "f").store.close()
    for path in (tmp_path / "f").iterdir():
        path.unlink()
    opened = open_acceptor_store(str(tmp_path / "f"), "a")
    assert opened.identity is None and opened.registers == {}
    opened.store.close()


def test_a_spoilt_newest_file_is_a_lost_disk_and_no_older_one_takes_its_place(tmp_path: Path) -> None:
    store = began(tmp_path).store
    store.append([cell("k", 1)])
    store.close()
    newest(tmp_path).with_suffix(".7").write_bytes(b"IRISCELL spoilt")
    opened = open_acceptor_store(str(tmp_path), "a")
    assert opened.identity is None and opened.registers == {} and "cells.7" in opened.notes[0]
    opened.store.append([IdentityRecord("second", "a")])
    opened.store.close()
    assert kept(tmp_path).identity == IdentityRecord("second", "a")


def test_a_newer_format_is_refused_and_nothing_is_touched(tmp_path: Path) -> None:
    began(tmp_path).store.close()
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


def test_another_nodes_folder_is_refused_and_nothing_is_touched(tmp_path: Path) -> None:
    began(tmp_path).store.close()
    data = newest(tmp_path).read_bytes()
    with pytest.raises(ForeignFolder, match="belongs to a, not to b"):
        open_acceptor_store(str(tmp_path), "b")
    assert newest(tmp_path).read_bytes() == data
    opened = open_acceptor_store(str(tmp_path), "a")
    with pytest.raises(ForeignFolder):
        opened.store.append([IdentityRecord("x", "b")])
    opened.store.close()


def test_two_processes_never_share_a_folder(tmp_path: Path) -> None:
    opened = began(tmp_path)
    with pytest.raises(FolderBusy, match="in use"):
        open_acceptor_store(str(tmp_path), "a")
    opened.store.close()
    opened.store.close()
    assert kept(tmp_path).identity == OWNER


def test_a_file_over_its_bound_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = began(tmp_path).store
    store.append([cell("k", 1, 500)])
    store.close()
    monkeypatch.setattr(acceptor_store, "MAX_FILE_BYTES", 400)
    with pytest.raises(UnreadableFile):
        open_acceptor_store(str(tmp_path), "a")


def test_what_was_left_behind_goes_with_the_next_rewrite(tmp_path: Path) -> None:
    began(tmp_path).store.close()
    (tmp_path / "cells.40.new").write_bytes(b"half")
    (tmp_path / "notes.txt").write_text("not ours")
    assert kept(tmp_path).identity == OWNER
    assert sorted(os.listdir(tmp_path)) == ["cells.41", "lock", "notes.txt"]
