"""The records of a state file, in the frames of `framing`.

This module defines the format and its reader, a function of bytes. It opens no file and does not interpret records.

    payload  MessagePack: [kind, body]
    end      a record of kind `end` whose body is the number of records before it; a checkpoint without it is incomplete

A record is limited to 64 KiB, a file to 8 MiB.
"""

from __future__ import annotations

from typing import Any

import msgspec

from iristrack.store.framing import Frame, Framing, InvalidRecord, ReadResult, TooLarge, Verdict

__all__ = ["ReadResult", "Record", "TooLarge", "Verdict", "checkpoint", "header", "read", "record"]

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
    """Return the bytes of one record; raises `TooLarge`."""
    return _FRAMING.record(kind, _encode([kind, body]))


def checkpoint(writer: str, records: list[Record]) -> bytes:
    """Return the bytes of a complete checkpoint; raises `TooLarge`."""
    parts = [header(writer), *(record(kind, body) for kind, body in records), record(END, len(records))]
    data = b"".join(parts)
    if len(data) > MAX_FILE_BYTES:
        raise TooLarge(f"a checkpoint holds {len(data)} bytes, {MAX_FILE_BYTES} at most")
    return data


def read(data: bytes) -> ReadResult:
    """Read the longest valid prefix of a file. Never raises."""
    result = _FRAMING.read_header(data)
    if result.verdict is Verdict.PREFIX:
        try:
            _read_records(data, result)
        except InvalidRecord as error:
            result.why = str(error)
    return result


def _read_records(data: bytes, result: ReadResult) -> None:
    """Read up to the end record; raises `InvalidRecord` if none follows the valid records."""
    while result.end < len(data):
        frame = _FRAMING.frame_at(data, result.end)
        kind, body = _decoded(frame)
        if kind == END:
            if body != len(result.records) or frame.end != len(data):
                raise InvalidRecord(f"the end record at byte {frame.begin} does not match the records")
            result.end, result.verdict = frame.end, Verdict.COMPLETE
            return
        result.records.append((kind, body))
        result.end = frame.end
    raise InvalidRecord("it ends without its end record")


def _decoded(frame: Frame) -> Record:
    """Decode the record in a frame; raises `InvalidRecord`."""
    try:
        kind, body = _decode(frame.payload)
    except (msgspec.DecodeError, ValueError, TypeError):
        raise InvalidRecord(f"not a valid record at byte {frame.begin}") from None
    if not isinstance(kind, str):
        raise InvalidRecord(f"not a valid record at byte {frame.begin}")
    return kind, body
