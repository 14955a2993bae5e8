"""The parts of a prompt, as `X-Iristrack-Prompt-Prefix` names them in order."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

MOST_PARTS = 64
MOST_PART_TOKENS = 2**31 - 1
MOST_PREFIX_BYTES = MOST_PARTS * 80  # more cannot be well formed: an id, a colon, a count, a comma and blanks

_PART = re.compile(rb"[ \t]*([0-9A-Fa-f]{1,64}):([0-9]{1,10})[ \t]*")


class MalformedPrefix(ValueError):
    """The header's value lists no parts in the form ID:TOKENS, or more than `MOST_PARTS` of them."""


@dataclass(frozen=True, slots=True)
class Part:
    """One part of a prompt: its id in hex, and its length in tokens."""

    id: str
    tokens: int


def parse_prefix(header: bytes) -> tuple[Part, ...]:
    """The parts that the header's value lists, in order; none where the value is empty.

    Raises `MalformedPrefix`.
    """
    if len(header) > MOST_PREFIX_BYTES:
        raise MalformedPrefix(f"{len(header)} bytes, at most {MOST_PREFIX_BYTES} are read")
    if not header.strip():
        return ()
    fields = header.split(b",")
    if len(fields) > MOST_PARTS:
        raise MalformedPrefix(f"{len(fields)} parts, at most {MOST_PARTS} are read")
    return tuple(_parse_part(field) for field in fields)


def shared_parts(parts: Sequence[Part]) -> tuple[Part, ...]:
    """The parts that other requests may have as well: all but the last, which is the request's or its session's."""
    return tuple(parts[:-1])


def shared_tokens(parts: Sequence[Part]) -> int:
    """The tokens of the shared parts."""
    return sum(part.tokens for part in parts[:-1])


def _parse_part(field: bytes) -> Part:
    match = _PART.fullmatch(field)
    if match is None:
        raise MalformedPrefix(f"not ID:TOKENS: {field[:80]!r}")
    tokens = int(match[2])
    if tokens > MOST_PART_TOKENS:
        raise MalformedPrefix(f"a part of {tokens} tokens, at most {MOST_PART_TOKENS} are read")
    return Part(match[1].decode("ascii"), tokens)
