"""A folder of state: checkpoints, one journal per checkpoint, and how they are read back after a crash.

This module defines the file names, the order of writes and the choice of a generation. It never raises because of a
disk failure: a failed call is reported, at a limited rate, through `warn`, and the caller continues without state.

    checkpoint.N   written as checkpoint.N.new, synced, renamed, the folder synced: complete or absent
    journal.N      changes since checkpoint.N, appended; its longest valid prefix counts
    newer.*        files of a later version, set aside and never overwritten
    lock           locked while a process uses the folder

Two generations are kept. A reader takes the newest complete checkpoint with the valid prefix of its journal, or the
previous generation, or nothing. Limits: a checkpoint and a journal of 8 MiB each, records of 64 KiB, two generations.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from iristrack.store import state_format as fmt
from iristrack.store.files import FileSystem, LocalFileSystem

RETAINED_GENERATIONS = 2  # generations
FILE_NAME_PATTERN = re.compile(r"(checkpoint|journal)\.(\d{1,18})$")
MAX_READ_BYTES = fmt.MAX_FILE_BYTES + 1


class StateFolderBusy(Exception):
    """Another process uses the folder."""


@dataclass(slots=True)
class StoredState:
    """The contents of a folder."""

    records: list[fmt.Record] = field(default_factory=list)
    changes: list[fmt.Record] = field(default_factory=list)  # from the checkpoint's journal, in order
    generation: int = -1  # -1: nothing usable
    notes: list[str] = field(default_factory=list)  # what was ignored, and why


class StateStore:
    """One process's access to a folder. Not thread-safe."""

    def __init__(
        self, folder: str, writer: str, warn: Callable[[str], None], files: FileSystem | None = None
    ) -> None:
        """`writer` is the program's version; no file is accessed before `open`."""
        self.folder = folder
        self.writer = writer
        self.warn = warn
        self.files: FileSystem = files or LocalFileSystem()
        self.generation = -1
        self._lock = -1
        self._journal = -1
        self._journal_bytes = 0
        self._journal_failed = False  # after a failed write: nothing is appended before the next checkpoint
        self._newest_generation = -1

    def _path(self, name: str) -> str:
        return f"{self.folder}/{name}"

    # ---- reading

    def open(self) -> StoredState:
        """Lock the folder and read it. Raises `StateFolderBusy`; other failures return an empty state."""
        stored = StoredState()
        try:
            self.files.create_folder(self.folder)
            self._lock = self.files.lock(self._path("lock"))
        except BlockingIOError:
            raise StateFolderBusy(f"{self.folder} is in use by another process") from None
        except OSError as error:
            self.warn(f"state: {self.folder} cannot be used: {error}")
            return stored
        try:
            names = self.files.list_names(self.folder)
        except OSError as error:
            self.warn(f"state: {self.folder} cannot be read: {error}")
            return stored
        generations: dict[int, set[str]] = {}
        for name in names:
            if match := FILE_NAME_PATTERN.match(name):
                generations.setdefault(int(match[2]), set()).add(match[1])
            elif name.endswith(".new"):
                self._remove(name)  # left by a process that was killed
        self._newest_generation = max(generations, default=-1)
        for generation in sorted(generations, reverse=True):
            if stored.generation < 0 and "checkpoint" in generations[generation]:
                self._load(generation, generations[generation], stored)
        self.generation = self._newest_generation
        return stored

    def _load(self, generation: int, kinds: set[str], stored: StoredState) -> None:
        name = f"checkpoint.{generation}"
        read = self._read(name, stored)
        if read is None or read.verdict is not fmt.Verdict.COMPLETE:
            if read is not None and read.verdict is not fmt.Verdict.NEWER:
                stored.notes.append(f"{name}: {read.why}")
            return
        stored.generation, stored.records = generation, read.records
        if "journal" in kinds:
            name = f"journal.{generation}"
            read = self._read(name, stored)
            if read is not None and read.verdict in (fmt.Verdict.COMPLETE, fmt.Verdict.PREFIX):
                stored.changes = read.records

    def _read(self, name: str, stored: StoredState) -> fmt.ReadResult | None:
        try:
            data = self.files.read(self._path(name), MAX_READ_BYTES)
        except OSError as error:
            stored.notes.append(f"{name}: {error}")
            return None
        if len(data) > fmt.MAX_FILE_BYTES:
            stored.notes.append(f"{name}: over {fmt.MAX_FILE_BYTES} bytes")
            return None
        read = fmt.read(data)
        if read.verdict is fmt.Verdict.NEWER:
            stored.notes.append(f"{name}: {read.why}; kept aside")
            try:
                self.files.rename(self._path(name), self._path(f"newer.{name}"))
            except OSError as error:
                self.warn(f"state: {name} of a newer version cannot be kept aside: {error}")
        return read

    # ---- writing

    def checkpoint(self, records: list[fmt.Record]) -> bool:
        """Write a new checkpoint; true once it is synced. Keeps the previous generation, removes older ones."""
        if self._lock < 0:
            return False
        generation = self.generation + 1
        name = f"checkpoint.{generation}"
        handle = -1
        try:
            data = fmt.checkpoint(self.writer, records)
            handle = self.files.create(self._path(name + ".new"))
            self._write(handle, data)
            self.files.sync(handle)
            handle, closing = -1, handle
            self.files.close(closing)
            self.files.rename(self._path(name + ".new"), self._path(name))
            self.files.sync_folder(self.folder)
        except (OSError, fmt.TooLarge) as error:
            self.warn(f"state: no checkpoint was written: {error}")
            if handle >= 0:
                with suppress(OSError):
                    self.files.close(handle)
            self._remove(name + ".new")
            return False
        self.generation = generation
        self._close_journal()
        self._journal_failed, self._journal_bytes = False, 0
        for old in range(
            max(0, generation - RETAINED_GENERATIONS - 2), generation - RETAINED_GENERATIONS + 1
        ):
            self._remove(f"checkpoint.{old}")
            self._remove(f"journal.{old}")
        return True

    def append(self, changes: list[fmt.Record]) -> bool:
        """Append changes to the journal of the last checkpoint; false if not written. Durable after `sync`."""
        if self._lock < 0 or self.generation < 0 or self._journal_failed:
            return False
        try:
            data = b"".join(fmt.record(kind, body) for kind, body in changes)
            if self._journal < 0:
                self._journal = self.files.create(self._path(f"journal.{self.generation}"))
                data = fmt.header(self.writer) + data
            if self._journal_bytes + len(data) > fmt.MAX_FILE_BYTES:
                return False  # the journal is full: the caller writes a checkpoint
            self._write(self._journal, data)
        except fmt.TooLarge as error:
            self.warn(f"state: a change was left out: {error}")
            return False
        except OSError as error:
            # The journal may end with a partial record, so nothing may be appended to it.
            self.warn(f"state: a change was not written: {error}")
            self._journal_failed = True
            self._close_journal()
            return False
        self._journal_bytes += len(data)
        return True

    def sync(self) -> bool:
        """Sync the journal to the disk."""
        if self._journal < 0:
            return False
        try:
            self.files.sync(self._journal)
        except OSError as error:
            # After a failed fsync the contents on the disk are unknown, so the file is never written to again.
            self.warn(f"state: the journal could not be synced: {error}")
            self._journal_failed = True
            self._close_journal()
            return False
        return True

    def close(self) -> None:
        """Release the folder."""
        self._close_journal()
        if self._lock >= 0:
            with suppress(OSError):
                self.files.close(self._lock)
            self._lock = -1

    def _write(self, handle: int, data: bytes) -> None:
        position = 0
        while position < len(data):
            written = self.files.write(handle, data[position:])
            if written <= 0:
                raise OSError(5, "nothing was written")
            position += written

    def _close_journal(self) -> None:
        if self._journal >= 0:
            with suppress(OSError):
                self.files.close(self._journal)
            self._journal = -1

    def _remove(self, name: str) -> None:
        with suppress(OSError):
            self.files.remove(self._path(name))
