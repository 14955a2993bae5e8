"""The durable state of an acceptor in one folder: its identity, its registers and a few named blobs.

This module defines the file names and the order of writes. Records of a completed `append` survive any crash; records
of a failed one may or may not.

    cells.N   written as cells.N.new with all live records, synced, renamed, the folder synced; then appended to. If
              there are several, the greatest N counts: the others were about to be removed
    lock      locked while a process uses the folder

Nothing is ever appended to bytes that may be corrupt: after opening, and after a failed call, a new file is begun.
Limits: 8 MiB for a value, 64 MiB for all live records; a file is rewritten when it would exceed both 1 MiB and four
times the size of its live records.
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

MAX_LIVE_BYTES = 64 * 1024 * 1024
REWRITE_BYTES = 1024 * 1024  # a file up to this size is never rewritten because of its size
REWRITE_FACTOR = 4  # a larger file is rewritten beyond this multiple of its live records
MAX_FILE_BYTES = (REWRITE_FACTOR + 1) * MAX_LIVE_BYTES  # the largest file that is read
LOCK_NAME = "lock"
NEW_SUFFIX = ".new"
_FILE_NAME = re.compile(r"cells\.(\d{1,18})(\.new)?$")


class AcceptorStoreError(Exception):
    """A folder or a record that cannot be used; nothing was modified."""


class FolderBusy(AcceptorStoreError):
    """Another process uses the folder."""


class NewerFormat(AcceptorStoreError):
    """The folder was written by a later version of the program."""


class ForeignFolder(AcceptorStoreError):
    """The folder belongs to another node."""


class UnreadableFile(AcceptorStoreError):
    """The folder's file is larger than `MAX_FILE_BYTES`."""


class MissingIdentity(AcceptorStoreError):
    """The first append to an empty folder contains no `IdentityRecord`."""


class StoreFull(OSError):
    """The live records would exceed `MAX_LIVE_BYTES`."""


@dataclass(slots=True)
class OpenedAcceptorStore:
    """The contents of a folder, and the store that continues writing to it."""

    store: AcceptorStore
    identity: IdentityRecord | None = None  # None: the folder was empty or contained nothing usable
    registers: dict[str, RegisterRecord] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)  # what was ignored, and why


def open_acceptor_store(folder: str, node: str, files: FileSystem | None = None) -> OpenedAcceptorStore:
    """Lock the folder, read its contents and sync them.

    Raises `FolderBusy`, `NewerFormat`, `ForeignFolder`, `UnreadableFile`, and `OSError` for a failed call; the folder
    is then released.
    """
    files = files or LocalFileSystem()
    files.create_folder(folder)
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
    """One process's access to a folder, created by `open_acceptor_store`. Not thread-safe."""

    def __init__(self, folder: str, node: str, files: FileSystem, lock: int) -> None:
        """`lock` is the handle of the folder's lock file."""
        self.folder = folder
        self.node = node
        self.file_bytes = 0  # of the current file
        self.live_bytes = 0
        self._files = files
        self._lock = lock
        self._live: dict[Slot, bytes] = {}  # the newest framed record of each slot
        self._generation = -1  # the highest number used so far
        self._handle = -1  # of the current file; -1: the next append begins a new one
        self._outdated: list[str] = []  # names to remove after the next rewrite

    # ---- reading

    def open(self) -> OpenedAcceptorStore:
        """Read the newest file and rewrite its contents to a new one; called once, by `open_acceptor_store`."""
        opened = OpenedAcceptorStore(self)
        newest = self._scan_names(self._files.list_names(self.folder))
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
        # What was read may not be synced yet, and the tail of the file may be corrupt: a new file resolves both.
        self._rewrite({slot_of(record): encode_record(record) for record in contents.records()})
        return opened

    def _scan_names(self, names: list[str]) -> str | None:
        """Record the file names in use; return the name of the newest complete file, if any."""
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
        data = self._files.read(self._path(name), MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise UnreadableFile(f"{self._path(name)} is larger than {MAX_FILE_BYTES} bytes")
        contents = read_contents(data)
        read = contents.read
        if read.verdict is Verdict.NEWER:
            raise NewerFormat(f"{self._path(name)}: {read.why}; written by {read.writer}")
        if read.why:
            notes.append(f"{name}: {read.why}; {len(data) - read.end} of {len(data)} bytes are ignored")
        elif contents.identity is None:
            notes.append(f"{name}: it has no identity record")
        return contents

    # ---- writing

    def append(self, records: Sequence[Record]) -> None:
        """Write and sync records; of several for one slot the last one counts.

        If power is lost meanwhile, a prefix of them is kept, in the order of the last record of each slot. Raises
        `OSError`, after which they may or may not be on the disk. Raises `StoreFull`, `TooLarge`, `MissingIdentity` and
        `ForeignFolder` before anything is written.
        """
        if not records:
            return
        self._check_identity(records)
        changes = _last_of_each_slot(records)
        live_bytes = self.live_bytes + self._growth(changes)
        if live_bytes > MAX_LIVE_BYTES:
            raise StoreFull(
                errno.ENOSPC, f"{live_bytes} bytes of live records; the limit is {MAX_LIVE_BYTES}"
            )
        added = sum(len(data) for data in changes.values())
        max_file_bytes = max(REWRITE_BYTES, REWRITE_FACTOR * live_bytes)
        if self._handle < 0 or self.file_bytes + added > max_file_bytes:
            self._rewrite({**self._live, **changes})
        else:
            self._append_to_file(changes)

    def close(self) -> None:
        """Release the folder; does nothing if it was released already."""
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
            raise MissingIdentity(f"{self.folder} has no identity record yet")

    def _growth(self, changes: dict[Slot, bytes]) -> int:
        """Return the growth of the live records in bytes."""
        return sum(len(data) - len(self._live.get(slot, b"")) for slot, data in changes.items())

    def _append_to_file(self, changes: dict[Slot, bytes]) -> None:
        """Append records to the current file."""
        data = b"".join(changes.values())
        try:
            self._write(self._handle, data)
            self._files.sync_data(self._handle)
        except OSError:
            # The contents of the file are unknown now, so it is never written to again.
            self._close_file()
            raise
        self.file_bytes += len(data)
        self.live_bytes += self._growth(changes)
        self._live.update(changes)

    def _rewrite(self, live: dict[Slot, bytes]) -> None:
        """Begin the next file with these records, and remove the earlier files."""
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
        """Remove outdated files; failed removals are retried after the next rewrite."""
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
    """Return the framed records by slot, in the order of the last record of each."""
    changes: dict[Slot, bytes] = {}
    for record in records:
        slot = slot_of(record)
        changes.pop(slot, None)
        changes[slot] = encode_record(record)
    return changes
