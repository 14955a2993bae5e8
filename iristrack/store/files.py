"""The calls on the file system that the store makes, each one on its own, so that tests can fail every one of them.

This file owns nothing but these calls. It must never decide what to do when one fails.
"""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class FileSystem(Protocol):
    """What the store needs of a file system. Every call may raise OSError."""

    def make(self, path: str) -> None: ...  # noqa: D102
    def names(self, path: str) -> list[str]: ...  # noqa: D102
    def read(self, path: str, most: int) -> bytes: ...  # noqa: D102
    def create(self, path: str) -> int: ...  # noqa: D102
    def write(self, handle: int, data: bytes) -> int: ...  # noqa: D102
    def sync(self, handle: int) -> None: ...  # noqa: D102
    def sync_data(self, handle: int) -> None: ...  # noqa: D102
    def close(self, handle: int) -> None: ...  # noqa: D102
    def rename(self, old: str, new: str) -> None: ...  # noqa: D102
    def remove(self, path: str) -> None: ...  # noqa: D102
    def sync_folder(self, path: str) -> None: ...  # noqa: D102
    def lock(self, path: str) -> int: ...  # noqa: D102


class LocalFileSystem:
    """The real ones."""

    def make(self, path: str) -> None:
        """Make a folder, if it is not there."""
        os.makedirs(path, exist_ok=True)

    def names(self, path: str) -> list[str]:
        """The names in a folder, sorted."""
        return sorted(os.listdir(path))

    def read(self, path: str, most: int) -> bytes:
        """The first `most` bytes of a file."""
        handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            parts, left = [], most
            while left > 0 and (part := os.read(handle, min(left, 1 << 20))):
                parts.append(part)
                left -= len(part)
            return b"".join(parts)
        finally:
            os.close(handle)

    def create(self, path: str) -> int:
        """Open a new file for writing; what had its name is cut to nothing."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        """Write some of the data; how many bytes."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Have it on the disk."""
        os.fsync(handle)

    def sync_data(self, handle: int) -> None:
        """Have its bytes and its length on the disk, if not its times."""
        os.fdatasync(handle)

    def close(self, handle: int) -> None:
        """Close it."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Give it its name, in one step."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.unlink(path)

    def sync_folder(self, path: str) -> None:
        """Have the folder's names on the disk."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, path: str) -> int:
        """Lock a folder's lock file, or raise BlockingIOError while another process has it."""
        handle = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle
