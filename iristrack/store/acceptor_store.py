"""What an acceptor must not forget, in one folder: its identity, its cells and a few named blobs.

This file owns the folder's names and the order of writing. What a completed `append` was given is there after any
crash; what a failed one was given may be there or not.

    cells.N   written as cells.N.new with all live records, synced, renamed, the folder synced; then appended to. Of
              several the greatest N counts: the others were on their way out
    lock      held while a process uses the folder

Nothing is ever written behind bytes that may be spoilt: after an opening or a failed call the next file is begun.
Bounds: a value of 8 MiB, 64 MiB of live records; a file is rewritten when it would pass 1 MiB and four times those.
"""

from __future__ import annotations

import errno
import re
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from iristrack import __version__
from iristrack.register.acceptor import RegisterRecord
from iristrack.store.acceptor_format import (
    FRAMING,
    BlobRecord,
    Contents,
    IdentityRecord,
    Record,
    Slot,
    encode_record,
    read_contents,
    slot_of,
)
from iristrack.store.files import FileSystem, LocalFileSystem
from iristrack.store.framing import TooLarge, Verdict

__all__ = [
    "AcceptorStore",
    "AcceptorStoreError",
    "BlobRecord",
    "FolderBusy",
    "ForeignFolder",
    "IdentityRecord",
    "MissingIdentity",
    "NewerFormat",
    "OpenedAcceptorStore",
    "Record",
    "RegisterRecord",
    "StoreFull",
    "TooLarge",
    "UnreadableFile",
    "open_acceptor_store",
]

MOST_LIVE_BYTES = 64 * 1024 * 1024
REWRITE_BYTES = 1024 * 1024  # a file up to this size is never rewritten for its length
REWRITE_FACTOR = 4  # times the live records
MOST_FILE_BYTES = (REWRITE_FACTOR + 1) * MOST_LIVE_BYTES  # what an opening reads at most
LOCK_NAME = "lock"
NEW_SUFFIX = ".new"
_FILE_NAME = re.compile(r"cells\.(\d{1,18})(\.new)?$")


class AcceptorStoreError(Exception):
    """A folder or a record that cannot be used; nothing was changed."""


class FolderBusy(AcceptorStoreError):
    """Another process has the folder."""


class NewerFormat(AcceptorStoreError):
    """The folder was written by a later version of the program."""


class ForeignFolder(AcceptorStoreError):
    """The folder belongs to another node."""


class UnreadableFile(AcceptorStoreError):
    """The folder's file is over the bound of what is read."""


class MissingIdentity(AcceptorStoreError):
    """The first append to an empty folder holds no `IdentityRecord`."""


class StoreFull(OSError):
    """The live records would be over `MOST_LIVE_BYTES`."""


@dataclass(slots=True)
class OpenedAcceptorStore:
    """What a folder held, and the store that goes on writing to it."""

    store: AcceptorStore
    identity: IdentityRecord | None = None  # None: nothing was there, or nothing of it can be used
    registers: dict[str, RegisterRecord] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)  # what was left out, and why


def open_acceptor_store(folder: str, node: str, files: FileSystem | None = None) -> OpenedAcceptorStore:
    """Lock the folder, read what it holds and have that on the disk.

    Raises `FolderBusy`, `NewerFormat`, `ForeignFolder`, `UnreadableFile`, and `OSError` for a call that failed; the
    folder is let go of then.
    """
    files = files or LocalFileSystem()
    files.make(folder)
    try:
        lock = files.lock(f"{folder}/{LOCK_NAME}")
    except BlockingIOError:
        raise FolderBusy(f"{folder} is in use by another process") from None
    store = AcceptorStore(folder, node, files, lock)
    try:
        return store.open()
    except BaseException:
        store.close()
        raise


class AcceptorStore:
    """One process's use of a folder, made by `open_acceptor_store`. Not for use by two threads at once."""

    def __init__(self, folder: str, node: str, files: FileSystem, lock: int) -> None:
        """`lock` is the handle of the folder's lock file."""
        self.folder = folder
        self.node = node
        self.file_bytes = 0  # of the present file
        self.live_bytes = 0
        self._files = files
        self._lock = lock
        self._live: dict[Slot, bytes] = {}  # the newest record of each slot, in its frame
        self._generation = -1  # the highest number that was ever used
        self._handle = -1  # of the present file; -1: the next append begins a new one
        self._outdated: list[str] = []  # names to remove behind the next rewrite

    # ---- reading

    def open(self) -> OpenedAcceptorStore:
        """Read the newest file, and write what it held into a new one; called once, by `open_acceptor_store`."""
        opened = OpenedAcceptorStore(self)
        newest = self._survey(self._files.names(self.folder))
        if newest is None:
            return opened
        contents = self._read(newest, opened.notes)
        if contents.identity is None:
            return opened
        if contents.identity.node != self.node:
            raise ForeignFolder(f"{self.folder} belongs to {contents.identity.node}, not to {self.node}")
        opened.identity = contents.identity
        opened.registers = contents.registers
        opened.blobs = contents.blobs
        # What was read may not be on the disk yet, and its tail may be spoilt: both end with a new file.
        self._rewrite({slot_of(record): encode_record(record) for record in contents.records()})
        return opened

    def _survey(self, names: list[str]) -> str | None:
        """Note the names in use; the newest file's."""
        newest, newest_generation = None, -1
        for name in names:
            match = _FILE_NAME.match(name)
            if match is None:
                continue
            self._outdated.append(name)
            generation = int(match[1])
            self._generation = max(self._generation, generation)
            if match[2] is None and generation > newest_generation:
                newest, newest_generation = name, generation
        return newest

    def _read(self, name: str, notes: list[str]) -> Contents:
        data = self._files.read(self._path(name), MOST_FILE_BYTES + 1)
        if len(data) > MOST_FILE_BYTES:
            raise UnreadableFile(f"{self._path(name)} holds over {MOST_FILE_BYTES} bytes")
        contents = read_contents(data)
        read = contents.read
        if read.verdict is Verdict.NEWER:
            raise NewerFormat(f"{self._path(name)}: {read.why}; written by {read.writer}")
        if read.why:
            notes.append(f"{name}: {read.why}; {len(data) - read.end} of {len(data)} bytes are left out")
        elif contents.identity is None:
            notes.append(f"{name}: it says nothing of its owner")
        return contents

    # ---- writing

    def append(self, records: Sequence[Record]) -> None:
        """Have records on the disk; of several for one slot the last counts.

        A loss of power meanwhile keeps the first few of these, in the order in which the slots were last given.
        Raises `OSError`, after which they may be on the disk or not, and `StoreFull`; `TooLarge`, `MissingIdentity` and
        `ForeignFolder`, before anything is written.
        """
        if not records:
            return
        self._check_identity(records)
        changes = _last_of_each_slot(records)
        live_bytes = self.live_bytes + self._growth(changes)
        if live_bytes > MOST_LIVE_BYTES:
            raise StoreFull(errno.ENOSPC, f"{live_bytes} bytes of live records, {MOST_LIVE_BYTES} at most")
        added = sum(len(data) for data in changes.values())
        longest = max(REWRITE_BYTES, REWRITE_FACTOR * live_bytes)
        if self._handle < 0 or self.file_bytes + added > longest:
            self._rewrite({**self._live, **changes})
        else:
            self._extend(changes)

    def close(self) -> None:
        """Let go of the folder; harmless when that was done."""
        self._close_file()
        if self._lock >= 0:
            lock, self._lock = self._lock, -1
            with suppress(OSError):
                self._files.close(lock)

    def _check_identity(self, records: Sequence[Record]) -> None:
        identities = [record for record in records if isinstance(record, IdentityRecord)]
        for identity in identities:
            if identity.node != self.node:
                raise ForeignFolder(f"{self.folder} belongs to {self.node}, not to {identity.node}")
        if not self._live and not identities:
            raise MissingIdentity(f"{self.folder} has no owner yet")

    def _growth(self, changes: dict[Slot, bytes]) -> int:
        """By how many bytes the live records grow."""
        return sum(len(data) - len(self._live.get(slot, b"")) for slot, data in changes.items())

    def _extend(self, changes: dict[Slot, bytes]) -> None:
        """Write records behind those of the present file."""
        data = b"".join(changes.values())
        try:
            self._write(self._handle, data)
            self._files.sync_data(self._handle)
        except OSError:
            # Nobody knows what stands there now: the file is not written to again.
            self._close_file()
            raise
        self.file_bytes += len(data)
        self.live_bytes += self._growth(changes)
        self._live.update(changes)

    def _rewrite(self, live: dict[Slot, bytes]) -> None:
        """Begin the next file with these records, and remove those before it."""
        self._close_file()
        self._generation += 1
        name = f"cells.{self._generation}"
        data = FRAMING.header(__version__) + b"".join(live.values())
        self._outdated.append(name + NEW_SUFFIX)
        self._handle = self._files.create(self._path(name + NEW_SUFFIX))
        try:
            self._write(self._handle, data)
            self._files.sync(self._handle)
            self._outdated.append(name)
            self._files.rename(self._path(name + NEW_SUFFIX), self._path(name))
            self._files.sync_folder(self.folder)
        except OSError:
            self._close_file()
            raise
        self._outdated.remove(name)
        self._outdated.remove(name + NEW_SUFFIX)
        self.file_bytes = len(data)
        self.live_bytes = sum(len(record) for record in live.values())
        self._live = live
        self._remove_outdated()
        self._outdated.append(name)

    def _write(self, handle: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            written = self._files.write(handle, rest)
            if written <= 0:
                raise OSError(errno.EIO, "nothing was written")
            rest = rest[written:]

    def _remove_outdated(self) -> None:
        """Remove what no reader needs; what cannot be removed is tried again behind the next rewrite."""
        kept = []
        for name in self._outdated:
            try:
                self._files.remove(self._path(name))
            except FileNotFoundError:
                continue
            except OSError:
                kept.append(name)
        self._outdated = kept

    def _close_file(self) -> None:
        if self._handle >= 0:
            handle, self._handle = self._handle, -1
            with suppress(OSError):
                self._files.close(handle)

    def _path(self, name: str) -> str:
        return f"{self.folder}/{name}"


def _last_of_each_slot(records: Sequence[Record]) -> dict[Slot, bytes]:
    """The framed records by their slots, in the order of the last record of each."""
    changes: dict[Slot, bytes] = {}
    for record in records:
        slot = slot_of(record)
        changes.pop(slot, None)
        changes[slot] = encode_record(record)
    return changes
