"""The bytes around the records of a file: a header, then records that each carry their length and their CRC-32C.

This file owns the framing and its reader, functions of bytes. It opens no file and does not look into a payload.

    header   8 bytes magic, u16 format, u16 length of what follows, the writer's version (UTF-8), u32 CRC of it all
    record   u32 length of the payload, u32 CRC-32C of length and payload, payload

All numbers are little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from crc32c import crc32c

MOST_WRITER_BYTES = 256

_HEAD = struct.Struct("<8sHH")
_CRC = struct.Struct("<I")
_LENGTH = struct.Struct("<I")
_RECORD = struct.Struct("<II")


class Verdict(Enum):
    """What became of a file's bytes."""

    COMPLETE = "whole"  # to its last byte, and its end record is there
    PREFIX = "prefix"  # valid up to `end`, where the rest is cut or spoilt
    DISCARDED = "discarded"  # nothing of it can be used
    NEWER = "newer"  # written in a format that this version does not know: kept aside


@dataclass(slots=True)
class Read:
    """What a reader found."""

    verdict: Verdict
    records: list[Any] = field(default_factory=list)
    end: int = 0  # the byte at which validity ends
    format: int = 0
    writer: str = ""
    why: str = ""


class TooLarge(ValueError):
    """A record or file over its bound."""


class Cut(ValueError):
    """The bytes at some place of a file are no record; the text says why."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One record's place in a file, and what it carries."""

    begin: int
    end: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Framing:
    """What tells one kind of file from another."""

    magic: bytes  # 8 bytes
    format: int  # the newest that is known, and the one that is written
    most_record: int  # bytes of a payload

    def header(self, writer: str) -> bytes:
        """A file's first bytes."""
        name = writer.encode()[:MOST_WRITER_BYTES]
        data = _HEAD.pack(self.magic, self.format, len(name)) + name
        return data + _CRC.pack(crc32c(data))

    def record(self, kind: str, payload: bytes) -> bytes:
        """One record's bytes; raises `TooLarge`, which names the `kind`."""
        if len(payload) > self.most_record:
            raise TooLarge(f"a record of kind {kind} holds {len(payload)} bytes, {self.most_record} at most")
        length = _LENGTH.pack(len(payload))
        return length + _CRC.pack(crc32c(payload, crc32c(length))) + payload

    def read_header(self, data: bytes) -> Read:
        """Judge a file by its header; a verdict of `PREFIX` says that records may stand behind `end`. Never raises."""
        if len(data) < _HEAD.size:
            return Read(Verdict.DISCARDED, why="shorter than a header")
        magic, version, length = _HEAD.unpack_from(data)
        at = _HEAD.size + length
        if magic != self.magic:
            return Read(Verdict.DISCARDED, why="no state file")
        if len(data) < at + _CRC.size or _CRC.unpack_from(data, at)[0] != crc32c(data[:at]):
            return Read(Verdict.DISCARDED, why="the header is cut or spoilt")
        writer = data[_HEAD.size : at].decode("utf-8", "replace")
        found = Read(Verdict.PREFIX, end=at + _CRC.size, format=version, writer=writer)
        if version > self.format:
            found.verdict, found.why = Verdict.NEWER, f"format {version}, this version knows {self.format}"
        elif version < 1:
            found.verdict, found.why = Verdict.DISCARDED, f"format {version} never was"
        return found

    def frame_at(self, data: bytes, at: int) -> Frame:
        """The record that begins at a byte; raises `Cut`."""
        if len(data) - at < _RECORD.size:
            raise Cut(f"cut within a record at byte {at}")
        length, crc = _RECORD.unpack_from(data, at)
        if length > self.most_record:
            raise Cut(f"spoilt at byte {at}")
        begin = at + _RECORD.size
        end = begin + length
        if end > len(data):
            raise Cut(f"cut within a record at byte {at}")
        payload = data[begin:end]
        if crc != crc32c(payload, crc32c(_LENGTH.pack(length))):
            raise Cut(f"spoilt at byte {at}")
        return Frame(at, end, payload)
