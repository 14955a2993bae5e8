"""The file system calls of the stores, one method per call, so that tests can make each of them fail.

This module only makes the calls; it does not handle their failures.
"""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class FileSystem(Protocol):
    """The file system operations that the stores use. Every call may raise OSError."""

    def create_folder(self, path: str) -> None: ...  # noqa: D102
    def list_names(self, path: str) -> list[str]: ...  # noqa: D102
    def read(self, path: str, max_bytes: int) -> bytes: ...  # noqa: D102
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
    """The operations of the operating system."""

    def create_folder(self, path: str) -> None:
        """Create a folder if it does not exist."""
        os.makedirs(path, exist_ok=True)

    def list_names(self, path: str) -> list[str]:
        """Return the names in a folder, sorted."""
        return sorted(os.listdir(path))

    def read(self, path: str, max_bytes: int) -> bytes:
        """Return the first `max_bytes` bytes of a file."""
        handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            parts, remaining = [], max_bytes
            while remaining > 0 and (part := os.read(handle, min(remaining, 1 << 20))):
                parts.append(part)
                remaining -= len(part)
            return b"".join(parts)
        finally:
            os.close(handle)

    def create(self, path: str) -> int:
        """Open a new file for writing; an existing file of that name is truncated."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        """Write some of the data; return the number of bytes written."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Sync the file's data and metadata to the disk."""
        os.fsync(handle)

    def sync_data(self, handle: int) -> None:
        """Sync the file's data and length to the disk, but not its timestamps."""
        os.fdatasync(handle)

    def close(self, handle: int) -> None:
        """Close the file."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing the target."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.unlink(path)

    def sync_folder(self, path: str) -> None:
        """Sync the names in a folder to the disk."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, path: str) -> int:
        """Lock a folder's lock file; raises BlockingIOError while another process holds the lock."""
        handle = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle
