"""Values of topics and registers as bytes.

A value is one message in its frame, so its schema evolves like that of every other message.
"""

from __future__ import annotations

from typing import TypeVar

from iristrack.wire.codec import FrameReader, WireError, encode

Value = TypeVar("Value")

encode_value = encode


def decode_value(data: bytes, expected: type[Value]) -> Value | None:
    """Decode the only message in `data`; return None if it is invalid or not of the expected type."""
    try:
        messages = FrameReader().feed(data)
    except WireError:
        return None
    if len(messages) != 1 or not isinstance(messages[0], expected):
        return None
    return messages[0]
