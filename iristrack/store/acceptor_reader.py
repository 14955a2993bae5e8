"""Read-only access to an acceptor's folder while a process may be using it: it locks, creates and modifies nothing.

The result may be ahead of the disk (records that are not synced yet) and slightly out of date. It is for display; a
process that votes opens the folder with `acceptor_store.open_acceptor_store`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from iristrack.register.acceptor import RegisterRecord
from iristrack.store.acceptor_format import Contents, IdentityRecord, read_contents
from iristrack.store.acceptor_store import MAX_FILE_BYTES, AcceptorStoreError, NewerFormat, UnreadableFile
from iristrack.store.files import FileSystem, LocalFileSystem
from iristrack.store.framing import Verdict

MAX_ATTEMPTS = 5  # a file may be replaced by the next one between being listed and being read
_FILE_NAME = re.compile(r"cells\.(\d{1,18})$")


class NoAcceptorFile(AcceptorStoreError):
    """The folder contains no acceptor file."""


@dataclass(slots=True)
class AcceptorStoreView:
    """The contents of a folder at one point in time."""

    file: str
    identity: IdentityRecord | None = None
    registers: dict[str, RegisterRecord] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)  # what was ignored, and why


def read_acceptor_store(folder: str, files: FileSystem | None = None) -> AcceptorStoreView:
    """Read the newest file of a folder.

    Raises `NoAcceptorFile`, `NewerFormat`, `UnreadableFile`, and `OSError` for a failed call.
    """
    files = files or LocalFileSystem()
    for _ in range(MAX_ATTEMPTS):
        name = _newest(files.list_names(folder))
        if name is None:
            raise NoAcceptorFile(f"{folder} holds no cells.N file")
        try:
            data = files.read(f"{folder}/{name}", MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            continue  # a rewrite has just replaced it with the next file
        return _seen(folder, name, data)
    raise UnreadableFile(f"{folder}: its files are replaced faster than they can be read")


def _newest(names: list[str]) -> str | None:
    matches = [match for match in map(_FILE_NAME.match, names) if match is not None]
    newest = max(matches, key=lambda match: int(match[1]), default=None)
    return None if newest is None else newest[0]


def _seen(folder: str, name: str, data: bytes) -> AcceptorStoreView:
    if len(data) > MAX_FILE_BYTES:
        raise UnreadableFile(f"{folder}/{name} is larger than {MAX_FILE_BYTES} bytes")
    contents = read_contents(data)
    if contents.read.verdict is Verdict.NEWER:
        raise NewerFormat(f"{folder}/{name}: {contents.read.why}; written by {contents.read.writer}")
    seen = AcceptorStoreView(name, contents.identity, contents.registers, contents.blobs)
    seen.notes += _notes(name, contents, len(data))
    return seen


def _notes(name: str, contents: Contents, size: int) -> list[str]:
    if contents.read.why:
        end = contents.read.end
        return [f"{name}: {contents.read.why}; {size - end} of {size} bytes are ignored"]
    if contents.identity is None:
        return [f"{name}: it has no identity record"]
    return []
