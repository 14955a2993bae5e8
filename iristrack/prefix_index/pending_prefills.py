"""Who reads a shared part of prompts for the first time just now: one reads it, the others wait for it or go along.

The caller begins a read when it sends a request whose shared parts nobody keeps, and ends it when somebody does (the
first token has come) or nobody will (the request failed). A read that is never ended expires. Reads are known by the
whole beginning of the prompt, since a kept part is of use only behind all those before it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from iristrack.prefix_index.parts import Part

EXPIRY_NS = 2_000_000_000  # a read that lasts longer has failed, or its end was missed
MOST_READS = 4096

_Prefix: TypeAlias = tuple[str, str, tuple[str, ...]]  # salt, model, the ids of a prompt's first parts


@dataclass(frozen=True, slots=True)
class Reader:
    """The holder that reads, and since when (nanoseconds)."""

    holder: str
    since: int


@dataclass(frozen=True, slots=True)
class ExpectedPrefix:
    """The holder that will keep so many tokens of a prompt."""

    holder: str
    tokens: int


class PendingPrefills:
    """At most `most_reads` beginnings of prompts that are being read; when full, the oldest are given up."""

    __slots__ = ("_reads", "given_up", "most_reads")

    def __init__(self, most_reads: int = MOST_READS) -> None:
        """Raises `ValueError` where not even one read is allowed."""
        if most_reads < 1:
            raise ValueError(f"most_reads is {most_reads}, at least 1 is needed")
        self.most_reads = most_reads
        self.given_up = 0  # reads dropped because there were too many
        self._reads: OrderedDict[_Prefix, Reader] = OrderedDict()  # the oldest first

    def __len__(self) -> int:
        """Beginnings of prompts that are being read, or were and have not been seen to expire."""
        return len(self._reads)

    def begin(self, salt: str, model: str, parts: Sequence[Part], holder: str, now: int) -> None:
        """A request with these parts was sent to the holder. What somebody already reads stays theirs."""
        self._expire(now)
        for prefix in _shared_prefixes(salt, model, parts):
            if prefix not in self._reads:
                self._add(prefix, Reader(holder, now))

    def reader(self, salt: str, model: str, parts: Sequence[Part], now: int) -> Reader | None:
        """Who reads the longest shared beginning of the prompt that is being read."""
        self._expire(now)
        for prefix in _shared_prefixes(salt, model, parts):
            reader = self._reads.get(prefix)
            if reader is not None:
                return reader
        return None

    def expected(self, salt: str, model: str, parts: Sequence[Part], now: int) -> ExpectedPrefix | None:
        """Who will keep how much of the prompt's shared beginning, by what is being read."""
        self._expire(now)
        for prefix in _shared_prefixes(salt, model, parts):
            reader = self._reads.get(prefix)
            if reader is not None:
                return ExpectedPrefix(reader.holder, sum(part.tokens for part in parts[: len(prefix[2])]))
        return None

    def end(self, salt: str, model: str, parts: Sequence[Part], holder: str) -> None:
        """The holder no longer reads these parts: it keeps them, or the request failed."""
        for prefix in _shared_prefixes(salt, model, parts):
            reader = self._reads.get(prefix)
            if reader is not None and reader.holder == holder:
                del self._reads[prefix]

    def forget(self, holder: str) -> None:
        """The holder is gone, and its reads with it."""
        for prefix in [prefix for prefix, reader in self._reads.items() if reader.holder == holder]:
            del self._reads[prefix]

    def _add(self, prefix: _Prefix, reader: Reader) -> None:
        if len(self._reads) >= self.most_reads:
            self._reads.popitem(last=False)
            self.given_up += 1
        self._reads[prefix] = reader

    def _expire(self, now: int) -> None:
        while self._reads:
            oldest = next(iter(self._reads.values()))
            if now - oldest.since < EXPIRY_NS:
                return
            self._reads.popitem(last=False)


def _shared_prefixes(salt: str, model: str, parts: Sequence[Part]) -> Iterator[_Prefix]:
    """The shared beginnings of the prompt, the longest first."""
    ids = tuple(part.id for part in parts[:-1])
    for length in range(len(ids), 0, -1):
        yield salt, model, ids[:length]
