"""Values of topics and registers as bytes: one message in its frame, so that they evolve like all messages."""

from __future__ import annotations

from typing import TypeVar

from iristrack.wire.codec import FrameReader, WireError, encode

Value = TypeVar("Value")

encode_value = encode


def decode_value(data: bytes, expected: type[Value]) -> Value | None:
    """The message of that type in `data`; None where there is none, or it cannot be read."""
    try:
        messages = FrameReader().feed(data)
    except WireError:
        return None
    if len(messages) != 1 or not isinstance(messages[0], expected):
        return None
    return messages[0]
