"""A file system in memory with fault injection: a given call fails in a given way, or the machine crashes in it.

Data that was written but not synced may be lost, completely or in part, when the machine crashes: `crash` decides by a
seed.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field

FAILURE_KINDS = ("ENOSPC", "EIO", "short", "crash before", "crash after")


class SimulatedCrash(BaseException):
    """A simulated machine crash within a call."""


@dataclass
class Node:
    """A file: `data` is what a reader sees, `safe` what survives a crash."""

    data: bytes = b""
    safe: bytes = b""


@dataclass
class FaultyFileSystem:
    """Implements the store's `FileSystem`; call number `fail_at` fails in the way `how`."""

    fail_at: int = -1
    how: str = "EIO"
    calls: int = 0
    nodes: dict[str, Node] = field(default_factory=dict)
    safe_names: dict[str, Node] = field(default_factory=dict)
    handles: dict[int, Node | None] = field(default_factory=dict)
    last: int = 10
    locked: bool = False

    def _call(self) -> bool:
        """Count a call and fail it if it is due; return whether it should transfer only part of the data."""
        self.calls += 1
        if self.calls != self.fail_at + 1:
            return False
        if self.how in ("ENOSPC", "EIO"):
            raise OSError(getattr(errno, self.how), self.how)
        if self.how == "crash before":
            raise SimulatedCrash
        return self.how == "short"

    def _after(self) -> None:
        if self.calls == self.fail_at + 1 and self.how == "crash after":
            raise SimulatedCrash

    def create_folder(self, path: str) -> None:
        self._call()
        self._after()

    def list_names(self, path: str) -> list[str]:
        self._call()
        self._after()
        return sorted(name.rpartition("/")[2] for name in self.nodes)

    def read(self, path: str, max_bytes: int) -> bytes:
        short = self._call()
        self._after()
        data = self.nodes[path].data[:max_bytes]
        return data[: len(data) // 2] if short else data

    def create(self, path: str) -> int:
        self._call()
        node = self.nodes[path] = Node()
        self.last += 1
        self.handles[self.last] = node
        self._after()
        return self.last

    def write(self, handle: int, data: bytes) -> int:
        short = self._call()
        node = self.handles[handle]
        if self.calls == self.fail_at + 1 and self.how == "crash after":
            data = data[: len(data) * 2 // 3]
        if short:
            data = data[: len(data) // 2]
        node.data += data
        self._after()
        return len(data)

    def sync(self, handle: int) -> None:
        self._call()
        node = self.handles[handle]
        node.safe = node.data
        self._after()

    def sync_data(self, handle: int) -> None:
        self.sync(handle)

    def close(self, handle: int) -> None:
        self._call()
        if self.handles.pop(handle, None) is None:
            self.locked = False
        self._after()

    def rename(self, old: str, new: str) -> None:
        self._call()
        self.nodes[new] = self.nodes.pop(old)
        self._after()

    def remove(self, path: str) -> None:
        self._call()
        gone = self.nodes.pop(path, None)
        self._after()
        if gone is None:
            raise FileNotFoundError(errno.ENOENT, path)

    def sync_folder(self, path: str) -> None:
        self._call()
        self.safe_names = dict(self.nodes)
        self._after()

    def lock(self, path: str) -> int:
        self._call()
        if self.locked:
            raise BlockingIOError(errno.EWOULDBLOCK, path)
        self.locked = True
        self.last += 1
        self.handles[self.last] = None
        self._after()
        return self.last

    def crash(self, seed: int) -> FaultyFileSystem:
        """Return the disk after a crash: unsynced names may or may not survive, unsynced bytes fully or in part."""
        draw = random.Random(seed)
        survivors = FaultyFileSystem()
        names = dict(self.safe_names)
        for name, node in self.nodes.items():
            if self.safe_names.get(name) is not node and draw.random() < 0.5:
                names[name] = node
        for name in list(names):
            if name not in self.nodes and draw.random() < 0.5:
                del names[name]
        for name, node in names.items():
            data = node.safe
            if node.data[: len(data)] == data:
                extra = node.data[len(data) :]
                data += extra[: draw.randint(0, len(extra))]
                if extra and draw.random() < 0.3:  # a torn page: zeros in place of some of the unsynced bytes
                    start = draw.randint(len(node.safe), len(data))
                    data = data[:start] + bytes(len(data) - start)
            survivors.nodes[name] = Node(data, data)
        survivors.safe_names = dict(survivors.nodes)
        return survivors
