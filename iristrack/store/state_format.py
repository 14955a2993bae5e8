"""The records of a state file, in the frames of `framing`.

This file owns the format and its reader, a function of bytes. It opens no file and knows nothing of what records mean.

    payload  MessagePack: [kind, body]
    end      a record of kind `end` whose body is the number of records before it: a checkpoint without one is not whole

A record holds at most 64 KiB, a file at most 8 MiB.
"""

from __future__ import annotations

from typing import Any

import msgspec

from iristrack.store.framing import Cut, Frame, Framing, Read, TooLarge, Verdict

__all__ = ["Read", "Record", "TooLarge", "Verdict", "checkpoint", "header", "read", "record"]

MAGIC = b"IRISTATE"
FORMAT = 1
MAX_RECORD_BYTES = 64 * 1024
MAX_FILE_BYTES = 8 * 1024 * 1024
END = "end"
_FRAMING = Framing(MAGIC, FORMAT, MAX_RECORD_BYTES)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode

Record = tuple[str, Any]

header = _FRAMING.header


def record(kind: str, body: Any) -> bytes:
    """One record's bytes; raises `TooLarge`."""
    return _FRAMING.record(kind, _encode([kind, body]))


def checkpoint(writer: str, records: list[Record]) -> bytes:
    """A whole checkpoint; raises `TooLarge`."""
    parts = [header(writer), *(record(kind, body) for kind, body in records), record(END, len(records))]
    data = b"".join(parts)
    if len(data) > MAX_FILE_BYTES:
        raise TooLarge(f"a checkpoint holds {len(data)} bytes, {MAX_FILE_BYTES} at most")
    return data


def read(data: bytes) -> Read:
    """Read a file's bytes to their longest valid prefix. Never raises, whatever they are."""
    found = _FRAMING.read_header(data)
    if found.verdict is Verdict.PREFIX:
        try:
            _read_records(data, found)
        except Cut as cut:
            found.why = str(cut)
    return found


def _read_records(data: bytes, found: Read) -> None:
    """Read to the end record; raises `Cut` where there is none behind the valid records."""
    while found.end < len(data):
        frame = _FRAMING.frame_at(data, found.end)
        kind, body = _decoded(frame)
        if kind == END:
            if body != len(found.records) or frame.end != len(data):
                raise Cut(f"the end record at byte {frame.begin} does not fit")
            found.end, found.verdict = frame.end, Verdict.COMPLETE
            return
        found.records.append((kind, body))
        found.end = frame.end
    raise Cut("it ends without its end record")


def _decoded(frame: Frame) -> Record:
    """What a frame carries; raises `Cut`."""
    try:
        kind, body = _decode(frame.payload)
    except (msgspec.DecodeError, ValueError, TypeError):
        raise Cut(f"no record at byte {frame.begin}") from None
    if not isinstance(kind, str):
        raise Cut(f"no record at byte {frame.begin}")
    return kind, body
