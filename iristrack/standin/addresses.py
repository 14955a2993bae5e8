"""Loopback addresses for whole machines: all of 127/8 answers, so each machine has an ip of its own."""

from __future__ import annotations

import os
import socket
from contextlib import suppress

GUARD_HOST = 254
GUARD_PORT = 7639
FIRST_BLOCK = 2
LAST_BLOCK = 250


class AddressBlock:
    """A 127.A.B.0/24 that no other running test holds; a listening socket at its last address guards it."""

    def __init__(self) -> None:
        """Find a free block; raises `OSError` where there is none."""
        self._guard, self._prefix = _claim()
        self._last = 0

    def next_ip(self) -> str:
        """An address that was not given out before."""
        self._last += 1
        return f"{self._prefix}.{self._last}"

    def release(self) -> None:
        """Others may have the block."""
        self._guard.close()


def _claim() -> tuple[socket.socket, str]:
    third = os.getpid() % 256
    for second in range(FIRST_BLOCK, LAST_BLOCK):
        prefix = f"127.{second}.{third}"
        with suppress(OSError):
            return socket.create_server((f"{prefix}.{GUARD_HOST}", GUARD_PORT)), prefix
    raise OSError("no block of loopback addresses is free")
