"""The records of an acceptor's file, in the frames of `framing`.

This file owns what stands in a payload, and reads a whole file's bytes. It opens no file.

    payload  u8 record type, u8 schema version, Avro body

A later record of a slot (a key's cell, a blob's name, the identity) takes the place of an earlier one. The value of a
cell or a blob holds at most 8 MiB.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cache

from iristrack.register.acceptor import RegisterRecord
from iristrack.store.framing import Cut, Frame, Framing, Read, TooLarge, Verdict
from iristrack.wire.codec import Codec, SpoiltBody

MAGIC = b"IRISCELL"
FORMAT = 1
MOST_VALUE_BYTES = 8 * 1024 * 1024
MOST_NAME_BYTES = 4096  # of a key, a blob's name, a node, an incarnation, a ballot's proposer
MOST_RECORD_BYTES = MOST_VALUE_BYTES + 4 * MOST_NAME_BYTES

FRAMING = Framing(MAGIC, FORMAT, MOST_RECORD_BYTES)
_TAG = struct.Struct("<BB")


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """Whose cells these are."""

    incarnation: str  # drawn anew when the acceptor's disk is lost
    node: str


@dataclass(frozen=True, slots=True)
class BlobRecord:
    """A named value beside the cells."""

    name: str
    value: bytes


Record = RegisterRecord | IdentityRecord | BlobRecord


@dataclass(frozen=True, slots=True)
class Slot:
    """What a record is the newest value of."""

    record_type: int
    name: str = ""


@dataclass(slots=True)
class Contents:
    """What a file held, and how far it could be read."""

    read: Read  # without records
    identity: IdentityRecord | None = None
    registers: dict[str, RegisterRecord] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)

    def records(self) -> list[Record]:
        """What it takes to write all of this anew, the identity first."""
        identity = [] if self.identity is None else [self.identity]
        blobs = [BlobRecord(name, value) for name, value in self.blobs.items()]
        return [*identity, *self.registers.values(), *blobs]


_BALLOT_SCHEMA = {
    "type": "record",
    "name": "Ballot",
    "fields": [{"name": "round", "type": "long"}, {"name": "proposer", "type": "string"}],
}
_CELL_SCHEMA = {
    "namespace": "iristrack.store",
    "type": "record",
    "name": "Cell",
    "fields": [
        {"name": "key", "type": "string"},
        {"name": "promised", "type": _BALLOT_SCHEMA},
        {"name": "accepted", "type": "Ballot"},
        {"name": "value", "type": "bytes"},
    ],
}
_IDENTITY_SCHEMA = {
    "namespace": "iristrack.store",
    "type": "record",
    "name": "Identity",
    "fields": [{"name": "incarnation", "type": "string"}, {"name": "node", "type": "string"}],
}
_BLOB_SCHEMA = {
    "namespace": "iristrack.store",
    "type": "record",
    "name": "Blob",
    "fields": [{"name": "name", "type": "string"}, {"name": "value", "type": "bytes"}],
}


@dataclass(frozen=True, slots=True)
class _RecordType:
    """One row of the registry; the schemas are those of versions 1, 2 and so on."""

    number: int
    record_class: type
    schemas: Sequence[dict]


_RECORD_TYPES = (  # a number is never used again
    _RecordType(1, IdentityRecord, (_IDENTITY_SCHEMA,)),
    _RecordType(2, RegisterRecord, (_CELL_SCHEMA,)),
    _RecordType(3, BlobRecord, (_BLOB_SCHEMA,)),
)
_NUMBERS = {row.record_class: row.number for row in _RECORD_TYPES}


@cache
def _codecs() -> dict[int, Codec]:
    """The codecs by record type; made at the first use, which imports fastavro."""
    return {row.number: Codec(row.record_class, row.schemas) for row in _RECORD_TYPES}


def slot_of(record: Record) -> Slot:
    """The slot that a record fills."""
    number = _NUMBERS[type(record)]
    if isinstance(record, RegisterRecord):
        return Slot(number, record.key)
    if isinstance(record, BlobRecord):
        return Slot(number, record.name)
    return Slot(number)


def encode_record(record: Record) -> bytes:
    """A record in its frame; raises `TooLarge`."""
    _check_bounds(record)
    number = _NUMBERS[type(record)]
    codec = _codecs()[number]
    payload = _TAG.pack(number, codec.version) + codec.encode(record)
    return FRAMING.record(type(record).__name__, payload)


def _check_bounds(record: Record) -> None:
    if isinstance(record, IdentityRecord):
        names = [record.incarnation, record.node]
        size = 0
    elif isinstance(record, RegisterRecord):
        names = [record.key, record.promised.proposer, record.accepted.proposer]
        size = len(record.value)
    else:
        names = [record.name]
        size = len(record.value)
    if size > MOST_VALUE_BYTES:
        raise TooLarge(f"a value holds {size} bytes, {MOST_VALUE_BYTES} at most")
    longest = max(len(name.encode()) for name in names)
    if longest > MOST_NAME_BYTES:
        raise TooLarge(f"a name holds {longest} bytes, {MOST_NAME_BYTES} at most")


def read_contents(data: bytes) -> Contents:
    """Read a file's bytes to their longest valid prefix; the verdict is `COMPLETE` where that is all. Never raises."""
    contents = Contents(FRAMING.read_header(data))
    read = contents.read
    if read.verdict is not Verdict.PREFIX:
        return contents
    try:
        while read.end < len(data):
            frame = FRAMING.frame_at(data, read.end)
            _take(_decode_record(frame), contents)
            read.end = frame.end
    except Cut as cut:
        read.why = str(cut)
    else:
        read.verdict = Verdict.COMPLETE
    return contents


def _decode_record(frame: Frame) -> Record:
    """What a frame carries; raises `Cut`."""
    if len(frame.payload) < _TAG.size:
        raise Cut(f"no record at byte {frame.begin}")
    number, version = _TAG.unpack_from(frame.payload)
    codec = _codecs().get(number)
    if codec is None:
        raise Cut(f"a record of unknown type {number} at byte {frame.begin}")
    try:
        return codec.decode(version, frame.payload[_TAG.size :])
    except SpoiltBody as fault:
        raise Cut(f"no record at byte {frame.begin}: {fault}") from fault


def _take(record: Record, contents: Contents) -> None:
    if isinstance(record, IdentityRecord):
        contents.identity = record
    elif isinstance(record, RegisterRecord):
        contents.registers[record.key] = record
    else:
        contents.blobs[record.name] = record.value
