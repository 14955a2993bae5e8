"""Cutting a server's event stream into whole events, and reading their ids. Pure functions of bytes."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1 << 20  # bytes of one event
MAX_TERMINATOR_BYTES = 4  # bytes that end an event
_TERMINATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
MAX_ID_DIGITS = 1000  # of an event's id; Python reads numbers of up to 4,300
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,%d})(?=[\r\n]|$)" % MAX_ID_DIGITS)
_DATA = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n]|$)")
_REVISION = re.compile(rb"(?:^|[\r\n])versions:[ ]?([0-9]{1,18})(?=[\r\n]|$)")


class EventTooLarge(ValueError):
    """An event over `MOST_EVENT`."""


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event as it came; `id` is None where it has none."""

    data: bytes
    id: int | None
    revision: int | None  # of the model's weights, where the event tells of a change

    @property
    def is_data_without_id(self) -> bool:
        """Does it carry a piece of the answer without an id, behind which no server can be asked to go on?"""
        return self.id is None and _DATA.search(self.data) is not None


class EventSplitter:
    """Takes the stream's bytes in whatever pieces, gives whole events."""

    def __init__(self) -> None:
        """Nothing has come."""
        self._buffer = bytearray()
        self.searched_bytes = 0  # bytes of the buffer that hold no event's end

    @property
    def remainder(self) -> bytes:
        """Bytes behind the last whole event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """The events that these bytes complete; raises `EventTooLarge`."""
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
            raise EventTooLarge("an event without an end")
        return events


def _event(data: bytes) -> Event:
    event_id = _ID.search(data)
    revision = _REVISION.search(data)
    return Event(data, int(event_id[1]) if event_id else None, int(revision[1]) if revision else None)
