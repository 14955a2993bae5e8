"""A folder of state: checkpoints, the journal behind each, and what is read back of them after anything.

This file owns the folder's names, their order of writing and the choice among generations. It must never raise for what
a disk does: a failed call is told once in a while through `complain`, and the caller goes on without state.

    checkpoint.N   written as checkpoint.N.new, synced, renamed, the folder synced: whole, or not there
    journal.N      changes since checkpoint.N, appended; what counts is its longest valid prefix
    newer.*        files of a later version, kept aside and never overwritten
    lock           held while a process uses the folder

Two generations are kept. A reader takes the newest whole checkpoint with its journal's valid prefix, or the one before,
or nothing. Bounds: a checkpoint and a journal of 8 MiB each, records of 64 KiB, two generations.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from iristrack.store import state_format as fmt
from iristrack.store.files import FileSystem, LocalFileSystem

KEPT = 2  # generations
FILE_NAME_PATTERN = re.compile(r"(checkpoint|journal)\.(\d{1,18})$")
MAX_READ_BYTES = fmt.MAX_FILE_BYTES + 1


class StateFolderBusy(Exception):
    """Another process has the folder."""


@dataclass(slots=True)
class StoredState:
    """What a folder held."""

    records: list[fmt.Record] = field(default_factory=list)
    changes: list[fmt.Record] = field(default_factory=list)  # of the journal behind them, in order
    generation: int = -1  # -1: nothing of use
    notes: list[str] = field(default_factory=list)  # what was left out, and why


class StateStore:
    """One process's use of a folder. Not for use by two threads at once."""

    def __init__(
        self, folder: str, writer: str, complain: Callable[[str], None], files: FileSystem | None = None
    ) -> None:
        """`writer` is the program's version; nothing is touched before `open`."""
        self.folder = folder
        self.writer = writer
        self.complain = complain
        self.files: FileSystem = files or LocalFileSystem()
        self.generation = -1
        self._lock = -1
        self._journal = -1
        self._journal_bytes = 0
        self._spoilt = False  # the journal's last write failed: only a checkpoint helps
        self._past_newest = -1

    def _path(self, name: str) -> str:
        return f"{self.folder}/{name}"

    # ---- reading

    def open(self) -> StoredState:
        """Lock the folder and read what it holds. Raises `StateFolderBusy`; other failures return an empty state."""
        found = StoredState()
        try:
            self.files.make(self.folder)
            self._lock = self.files.lock(self._path("lock"))
        except BlockingIOError:
            raise StateFolderBusy(f"{self.folder} is in use by another process") from None
        except OSError as fault:
            self.complain(f"state: {self.folder} cannot be used: {fault}")
            return found
        try:
            names = self.files.names(self.folder)
        except OSError as fault:
            self.complain(f"state: {self.folder} cannot be read: {fault}")
            return found
        generations: dict[int, set[str]] = {}
        for name in names:
            if match := FILE_NAME_PATTERN.match(name):
                generations.setdefault(int(match[2]), set()).add(match[1])
            elif name.endswith(".new"):
                self._remove(name)  # left behind by a process that was killed
        self._past_newest = max(generations, default=-1)
        for generation in sorted(generations, reverse=True):
            if found.generation < 0 and "checkpoint" in generations[generation]:
                self._take(generation, generations[generation], found)
        self.generation = self._past_newest
        return found

    def _take(self, generation: int, kinds: set[str], found: StoredState) -> None:
        name = f"checkpoint.{generation}"
        read = self._read(name, found)
        if read is None or read.verdict is not fmt.Verdict.COMPLETE:
            if read is not None and read.verdict is not fmt.Verdict.NEWER:
                found.notes.append(f"{name}: {read.why}")
            return
        found.generation, found.records = generation, read.records
        if "journal" in kinds:
            name = f"journal.{generation}"
            read = self._read(name, found)
            if read is not None and read.verdict in (fmt.Verdict.COMPLETE, fmt.Verdict.PREFIX):
                found.changes = read.records

    def _read(self, name: str, found: StoredState) -> fmt.Read | None:
        try:
            data = self.files.read(self._path(name), MAX_READ_BYTES)
        except OSError as fault:
            found.notes.append(f"{name}: {fault}")
            return None
        if len(data) > fmt.MAX_FILE_BYTES:
            found.notes.append(f"{name}: over {fmt.MAX_FILE_BYTES} bytes")
            return None
        read = fmt.read(data)
        if read.verdict is fmt.Verdict.NEWER:
            found.notes.append(f"{name}: {read.why}; kept aside")
            try:
                self.files.rename(self._path(name), self._path(f"newer.{name}"))
            except OSError as fault:
                self.complain(f"state: {name} of a newer version cannot be kept aside: {fault}")
        return read

    # ---- writing

    def checkpoint(self, records: list[fmt.Record]) -> bool:
        """Write everything anew; true once it is on the disk. The generation before is kept, older ones go."""
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
        except (OSError, fmt.TooLarge) as fault:
            self.complain(f"state: no checkpoint was written: {fault}")
            if handle >= 0:
                with suppress(OSError):
                    self.files.close(handle)
            self._remove(name + ".new")
            return False
        self.generation = generation
        self._close_journal()
        self._spoilt, self._journal_bytes = False, 0
        for old in range(max(0, generation - KEPT - 2), generation - KEPT + 1):
            self._remove(f"checkpoint.{old}")
            self._remove(f"journal.{old}")
        return True

    def append(self, changes: list[fmt.Record]) -> bool:
        """Add changes behind the last checkpoint; false if they were not written. Durable after `sync`."""
        if self._lock < 0 or self.generation < 0 or self._spoilt:
            return False
        try:
            data = b"".join(fmt.record(kind, body) for kind, body in changes)
            if self._journal < 0:
                self._journal = self.files.create(self._path(f"journal.{self.generation}"))
                data = fmt.header(self.writer) + data
            if self._journal_bytes + len(data) > fmt.MAX_FILE_BYTES:
                return False  # time for a checkpoint
            self._write(self._journal, data)
        except fmt.TooLarge as fault:
            self.complain(f"state: a change was left out: {fault}")
            return False
        except OSError as fault:
            # What stands there may end half-way: nothing may be written behind it.
            self.complain(f"state: a change was not written: {fault}")
            self._spoilt = True
            self._close_journal()
            return False
        self._journal_bytes += len(data)
        return True

    def sync(self) -> bool:
        """Have the journal on the disk."""
        if self._journal < 0:
            return False
        try:
            self.files.sync(self._journal)
        except OSError as fault:
            # After a failed fsync nobody knows what is on the disk: the file is not written to again.
            self.complain(f"state: the journal is not safe: {fault}")
            self._spoilt = True
            self._close_journal()
            return False
        return True

    def close(self) -> None:
        """Let go of the folder."""
        self._close_journal()
        if self._lock >= 0:
            with suppress(OSError):
                self.files.close(self._lock)
            self._lock = -1

    def _write(self, handle: int, data: bytes) -> None:
        at = 0
        while at < len(data):
            wrote = self.files.write(handle, data[at:])
            if wrote <= 0:
                raise OSError(5, "nothing was written")
            at += wrote

    def _close_journal(self) -> None:
        if self._journal >= 0:
            with suppress(OSError):
                self.files.close(self._journal)
            self._journal = -1

    def _remove(self, name: str) -> None:
        with suppress(OSError):
            self.files.remove(self._path(name))
