"""The truth ledger: what terminals asked and got, what servers ran, what sidecars were told and did, and when.

This file owns the records' forms, their bytes and their digest. It judges nothing. Records are written in the order in
which things happened and handed on in batches, so that a day of a million requests needs no more memory than a short
one; only a kept ledger grows, by about 60 bytes a record.

Each record is a tuple of a kind, a time (ns) and what the kind names below.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

import msgspec

BATCH = 32_768

ASK = 0  # now, request, first, class, tenant, sidecar, give_up: a terminal sent it; `first` numbers its first try
TAKEN = 1  # now, request, sidecar
SEND = 2  # now, sidecar, request, attempt, server
END = 3  # now, sidecar, request, attempt, server, outcome (a word), written whole (0 or 1)
RAN = 4  # now, server, first, request, attempt, effect (0 or 1): a pool server finished it
FINAL = 5  # now, sidecar, request, word: served, short or failed: the module's last word
GOT = 6  # now, request, word: it reached the terminal
GONE = 7  # now, request: the terminal hung up or gave up
TOLD = 8  # now, sidecar, server, state (a word), started
SERVER = 9  # now, server, what: up, cold, down, silent, drains, fell
SIDECAR = 10  # now, sidecar, what: up, killed, stopping
TROUBLE = 11  # now, number, what: begins, ends
NAMES = (
    "ask", "taken", "send", "end", "ran", "final", "got", "gone", "told", "server", "sidecar", "trouble",
)  # fmt: skip
REQUEST_AT = {
    ASK: 2,
    TAKEN: 2,
    SEND: 3,
    END: 3,
    RAN: 4,
    FINAL: 3,
    GOT: 2,
    GONE: 2,
}  # where a request's id stands

Record = tuple


class Ledger:
    """Takes records, digests them and hands them on."""

    def __init__(self, readers: tuple[Callable[[list[Record]], None], ...] = (), keep: bool = False) -> None:
        """`readers` get each batch once, in order; `keep` has the bytes kept too."""
        self.readers = readers
        self.count = 0
        self.kept: list[bytes] | None = [] if keep else None
        self._digest = blake2b(digest_size=16)
        self._encoder = msgspec.msgpack.Encoder()
        self.batch: list[Record] = []
        self.add = self.batch.append  # the hot path: one C call a record

    def turn(self) -> None:
        """Hand on a full batch; to be called now and then."""
        if len(self.batch) >= BATCH:
            self.flush()

    def flush(self) -> None:
        """Hand on what there is."""
        batch = self.batch
        if not batch:
            return
        data = self._encoder.encode(batch)
        self._digest.update(data)
        self.count += len(batch)
        if self.kept is not None:
            self.kept.append(data)
        for reader in self.readers:
            reader(batch)
        batch.clear()

    @property
    def digest(self) -> str:
        """Of all records handed on so far (BLAKE2b over their MessagePack bytes), in hexadecimal."""
        return self._digest.hexdigest()


def read(data: list[bytes]) -> list[Record]:
    """The records of kept bytes."""
    return [tuple(record) for batch in data for record in msgspec.msgpack.decode(batch)]


def tell(record: Record) -> str:
    """One record as a line for a reader."""
    kind, now, *rest = record
    return f"{now / 1e9:14.6f} {NAMES[kind]:8} {' '.join(str(x) for x in rest)}"
