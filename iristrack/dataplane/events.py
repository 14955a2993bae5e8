"""Splitting a server's event stream into complete events, and reading their ids. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1 << 20
MAX_TERMINATOR_BYTES = 4  # of the longest event terminator, CRLF CRLF
_TERMINATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
MAX_ID_DIGITS = 1000  # of an event id; Python parses integers of up to 4,300 digits
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,%d})(?=[\r\n]|$)" % MAX_ID_DIGITS)
_DATA = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n]|$)")
_REVISION = re.compile(rb"(?:^|[\r\n])versions:[ ]?([0-9]{1,18})(?=[\r\n]|$)")


class EventTooLarge(ValueError):
    """An event is larger than `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event, unchanged; `id` is None if it has none."""

    data: bytes
    id: int | None
    revision: int | None  # of the model's weights, if the event announces a change

    @property
    def is_data_without_id(self) -> bool:
        """Whether it carries data without an id, after which no other server can resume the stream."""
        return self.id is None and _DATA.search(self.data) is not None


class EventSplitter:
    """Split a byte stream, fed in pieces of any size, into complete events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        self.searched_bytes = 0  # bytes of the buffer that were searched for a terminator

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete; raises `EventTooLarge`."""
        self._buffer += data
        events = []
        while match := _TERMINATOR.search(
            self._buffer, max(0, self.searched_bytes - MAX_TERMINATOR_BYTES + 1)
        ):
            events.append(_event(bytes(self._buffer[: match.end()])))
            del self._buffer[: match.end()]
            self.searched_bytes = 0
        self.searched_bytes = len(self._buffer)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"event not terminated within {MAX_EVENT_BYTES} bytes")
        return events


def _event(data: bytes) -> Event:
    event_id = _ID.search(data)
    revision = _REVISION.search(data)
    return Event(data, int(event_id[1]) if event_id else None, int(revision[1]) if revision else None)
