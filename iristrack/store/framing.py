"""The framing of records in a file: a header, then records that each carry their length and their CRC-32C.

This module defines the framing and its reader as functions of bytes. It opens no file and does not interpret payloads.

    header   8 bytes magic, u16 format, u16 length of what follows, the writer's version (UTF-8), u32 CRC of all of it
    record   u32 length of the payload, u32 CRC-32C of length and payload, payload

All numbers are little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from crc32c import crc32c

MAX_WRITER_BYTES = 256

_HEADER = struct.Struct("<8sHH")
_CRC = struct.Struct("<I")
_LENGTH = struct.Struct("<I")
_RECORD = struct.Struct("<II")


class Verdict(Enum):
    """The result of reading a file's bytes."""

    COMPLETE = "whole"  # valid to its last byte, including the end record
    PREFIX = "prefix"  # valid up to `end`; the rest is truncated or corrupt
    DISCARDED = "discarded"  # nothing usable
    NEWER = "newer"  # written in a newer format that this version cannot read; set aside


@dataclass(slots=True)
class ReadResult:
    """The result of reading a file."""

    verdict: Verdict
    records: list[Any] = field(default_factory=list)
    end: int = 0  # offset of the end of the valid bytes
    format: int = 0
    writer: str = ""
    why: str = ""


class TooLarge(ValueError):
    """A record or file over its size limit."""


class InvalidRecord(ValueError):
    """The bytes at an offset of a file are not a valid record; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One record's position in a file, and its payload."""

    begin: int
    end: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Framing:
    """The framing parameters of one kind of file."""

    magic: bytes  # 8 bytes
    format: int  # the newest readable format, and the one that is written
    max_record_bytes: int  # of a payload

    def header(self, writer: str) -> bytes:
        """Return the header of a file."""
        name = writer.encode()[:MAX_WRITER_BYTES]
        data = _HEADER.pack(self.magic, self.format, len(name)) + name
        return data + _CRC.pack(crc32c(data))

    def record(self, kind: str, payload: bytes) -> bytes:
        """Return one record's bytes; raises `TooLarge`, whose message contains `kind`."""
        if len(payload) > self.max_record_bytes:
            raise TooLarge(
                f"a record of kind {kind} has {len(payload)} bytes, {self.max_record_bytes} at most"
            )
        length = _LENGTH.pack(len(payload))
        return length + _CRC.pack(crc32c(payload, crc32c(length))) + payload

    def read_header(self, data: bytes) -> ReadResult:
        """Read a file's header; a verdict of `PREFIX` means that records may follow at `end`. Never raises."""
        if len(data) < _HEADER.size:
            return ReadResult(Verdict.DISCARDED, why="shorter than a header")
        magic, version, length = _HEADER.unpack_from(data)
        offset = _HEADER.size + length
        if magic != self.magic:
            return ReadResult(Verdict.DISCARDED, why="no state file")
        if len(data) < offset + _CRC.size or _CRC.unpack_from(data, offset)[0] != crc32c(data[:offset]):
            return ReadResult(Verdict.DISCARDED, why="the header is truncated or corrupt")
        writer = data[_HEADER.size : offset].decode("utf-8", "replace")
        result = ReadResult(Verdict.PREFIX, end=offset + _CRC.size, format=version, writer=writer)
        if version > self.format:
            result.verdict, result.why = (
                Verdict.NEWER,
                f"format {version}, this version reads up to {self.format}",
            )
        elif version < 1:
            result.verdict, result.why = Verdict.DISCARDED, f"format {version} does not exist"
        return result

    def frame_at(self, data: bytes, offset: int) -> Frame:
        """Return the record that begins at the offset; raises `InvalidRecord`."""
        if len(data) - offset < _RECORD.size:
            raise InvalidRecord(f"cut within a record at byte {offset}")
        length, crc = _RECORD.unpack_from(data, offset)
        if length > self.max_record_bytes:
            raise InvalidRecord(f"corrupt at byte {offset}")
        begin = offset + _RECORD.size
        end = begin + length
        if end > len(data):
            raise InvalidRecord(f"cut within a record at byte {offset}")
        payload = data[begin:end]
        if crc != crc32c(payload, crc32c(_LENGTH.pack(length))):
            raise InvalidRecord(f"corrupt at byte {offset}")
        return Frame(offset, end, payload)
