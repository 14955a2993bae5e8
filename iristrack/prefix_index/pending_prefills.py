"""Shared prompt prefixes that are being prefilled for the first time, so that only one server prefills each of them.

Other requests that share such a prefix wait for it or go to the same server. The caller begins a prefill when it sends
a request whose shared parts are kept nowhere. It ends it when a server keeps them (the first token has arrived) or will
not (the request failed). A prefill that is never ended expires. Prefills are identified by the whole prefix of the
prompt, since a kept part is only useful after all parts before it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from iristrack.prefix_index.parts import Part

EXPIRY_NS = 2_000_000_000  # a longer prefill has failed, or its end was missed
MAX_PREFILLS = 4096

_Prefix: TypeAlias = tuple[str, str, tuple[str, ...]]  # salt, model, ids of a prompt's first parts


@dataclass(frozen=True, slots=True)
class Reader:
    """The holder that reads (prefills) a prefix, and since when (nanoseconds)."""

    holder: str
    since: int


@dataclass(frozen=True, slots=True)
class ExpectedPrefix:
    """The holder that will keep the first `tokens` tokens of a prompt."""

    holder: str
    tokens: int


class PendingPrefills:
    """At most `most_reads` prompt prefixes that are being prefilled; when full, the oldest are dropped."""

    __slots__ = ("_reads", "evicted", "most_reads")

    def __init__(self, most_reads: int = MAX_PREFILLS) -> None:
        """Start without prefills. Raises `ValueError` if `most_reads` is below 1."""
        if most_reads < 1:
            raise ValueError(f"most_reads must be at least 1, got {most_reads}")
        self.most_reads = most_reads
        self.evicted = 0  # prefills dropped because of the limit
        self._reads: OrderedDict[_Prefix, Reader] = OrderedDict()  # oldest first

    def __len__(self) -> int:
        """Return the number of prefixes that are being prefilled, including expired ones not yet removed."""
        return len(self._reads)

    def begin(self, salt: str, model: str, parts: Sequence[Part], holder: str, now: int) -> None:
        """Record a request with these parts sent to the holder; prefixes that are already pending do not change."""
        self._expire(now)
        for prefix in _shared_prefixes(salt, model, parts):
            if prefix not in self._reads:
                self._add(prefix, Reader(holder, now))

    def reader(self, salt: str, model: str, parts: Sequence[Part], now: int) -> Reader | None:
        """Return the reader of the longest shared prefix of the prompt that is pending, or None."""
        self._expire(now)
        for prefix in _shared_prefixes(salt, model, parts):
            reader = self._reads.get(prefix)
            if reader is not None:
                return reader
        return None

    def expected(self, salt: str, model: str, parts: Sequence[Part], now: int) -> ExpectedPrefix | None:
        """Return which holder will keep how much of the prompt's shared prefix once its prefill ends, or None."""
        self._expire(now)
        for prefix in _shared_prefixes(salt, model, parts):
            reader = self._reads.get(prefix)
            if reader is not None:
                return ExpectedPrefix(reader.holder, sum(part.tokens for part in parts[: len(prefix[2])]))
        return None

    def end(self, salt: str, model: str, parts: Sequence[Part], holder: str) -> None:
        """Record that the holder no longer prefills these parts: it keeps them, or the request failed."""
        for prefix in _shared_prefixes(salt, model, parts):
            reader = self._reads.get(prefix)
            if reader is not None and reader.holder == holder:
                del self._reads[prefix]

    def forget(self, holder: str) -> None:
        """Remove the prefills of a holder that is gone."""
        for prefix in [prefix for prefix, reader in self._reads.items() if reader.holder == holder]:
            del self._reads[prefix]

    def _add(self, prefix: _Prefix, reader: Reader) -> None:
        if len(self._reads) >= self.most_reads:
            self._reads.popitem(last=False)
            self.evicted += 1
        self._reads[prefix] = reader

    def _expire(self, now: int) -> None:
        while self._reads:
            oldest = next(iter(self._reads.values()))
            if now - oldest.since < EXPIRY_NS:
                return
            self._reads.popitem(last=False)


def _shared_prefixes(salt: str, model: str, parts: Sequence[Part]) -> Iterator[_Prefix]:
    """Yield the shared prefixes of the prompt, longest first."""
    ids = tuple(part.id for part in parts[:-1])
    for length in range(len(ids), 0, -1):
        yield salt, model, ids[:length]
