"""The parts of a prompt, in the order listed in the header `X-Iristrack-Prompt-Prefix`."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

MAX_PARTS = 64
MAX_PART_TOKENS = 2**31 - 1
MAX_PREFIX_BYTES = MAX_PARTS * 80  # enough for well-formed parts: id, colon, count, comma and blanks

_PART = re.compile(rb"[ \t]*([0-9A-Fa-f]{1,64}):([0-9]{1,10})[ \t]*")


class MalformedPrefix(ValueError):
    """The header's value is no list of ID:TOKENS, or has more than `MAX_PARTS` parts."""


@dataclass(frozen=True, slots=True)
class Part:
    """One part of a prompt: its hexadecimal id and its length in tokens."""

    id: str
    tokens: int


def parse_prefix(header: bytes) -> tuple[Part, ...]:
    """Parse the header's value into its parts, in order; an empty value has none.

    Raises `MalformedPrefix`.
    """
    if len(header) > MAX_PREFIX_BYTES:
        raise MalformedPrefix(f"header has {len(header)} bytes, limit is {MAX_PREFIX_BYTES}")
    if not header.strip():
        return ()
    fields = header.split(b",")
    if len(fields) > MAX_PARTS:
        raise MalformedPrefix(f"header has {len(fields)} parts, limit is {MAX_PARTS}")
    return tuple(_parse_part(field) for field in fields)


def shared_parts(parts: Sequence[Part]) -> tuple[Part, ...]:
    """Return the parts that other requests may share: all but the last, which belongs to the request or session."""
    return tuple(parts[:-1])


def shared_tokens(parts: Sequence[Part]) -> int:
    """Return the number of tokens in the shared parts."""
    return sum(part.tokens for part in parts[:-1])


def _parse_part(field: bytes) -> Part:
    match = _PART.fullmatch(field)
    if match is None:
        raise MalformedPrefix(f"part is not of the form ID:TOKENS: {field[:80]!r}")
    tokens = int(match[2])
    if tokens > MAX_PART_TOKENS:
        raise MalformedPrefix(f"part has {tokens} tokens, limit is {MAX_PART_TOKENS}")
    return Part(match[1].decode("ascii"), tokens)
