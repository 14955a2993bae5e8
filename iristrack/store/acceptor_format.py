"""The records of an acceptor's file, in the frames of `framing`.

This module defines the payloads and parses the bytes of a whole file. It opens no file.

    payload  u8 record type, u8 schema version, Avro body

A later record of a slot (a register's key, a blob's name, the identity) replaces an earlier one. The value of a
register or a blob is limited to 8 MiB.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cache

from iristrack.register.acceptor import RegisterRecord
from iristrack.store.framing import Frame, Framing, InvalidRecord, ReadResult, TooLarge, Verdict
from iristrack.wire.codec import Codec, SpoiltBody

MAGIC = b"IRISCELL"
FORMAT = 1
MAX_VALUE_BYTES = 8 * 1024 * 1024
MAX_NAME_BYTES = 4096  # limit for keys, blob names, nodes, incarnations and proposers
MAX_RECORD_BYTES = MAX_VALUE_BYTES + 4 * MAX_NAME_BYTES

FRAMING = Framing(MAGIC, FORMAT, MAX_RECORD_BYTES)
_TAG = struct.Struct("<BB")


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """The owner of the registers in the file."""

    incarnation: str  # a new one is drawn after the acceptor's disk was lost
    node: str


@dataclass(frozen=True, slots=True)
class BlobRecord:
    """A named value stored beside the registers."""

    name: str
    value: bytes


Record = RegisterRecord | IdentityRecord | BlobRecord


@dataclass(frozen=True, slots=True)
class Slot:
    """The identity of a stored item; a newer record of the same slot replaces the older one."""

    record_type: int
    name: str = ""


@dataclass(slots=True)
class Contents:
    """The contents of a file, and how far it could be read."""

    read: ReadResult  # without records
    identity: IdentityRecord | None = None
    registers: dict[str, RegisterRecord] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)

    def records(self) -> list[Record]:
        """Return the records needed to rewrite the file, the identity first."""
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


_RECORD_TYPES = (  # record type numbers are never reused
    _RecordType(1, IdentityRecord, (_IDENTITY_SCHEMA,)),
    _RecordType(2, RegisterRecord, (_CELL_SCHEMA,)),
    _RecordType(3, BlobRecord, (_BLOB_SCHEMA,)),
)
_NUMBERS = {row.record_class: row.number for row in _RECORD_TYPES}


@cache
def _codecs() -> dict[int, Codec]:
    """Return the codecs by record type; created on first use, which imports fastavro."""
    return {row.number: Codec(row.record_class, row.schemas) for row in _RECORD_TYPES}


def slot_of(record: Record) -> Slot:
    """Return the slot of a record."""
    number = _NUMBERS[type(record)]
    if isinstance(record, RegisterRecord):
        return Slot(number, record.key)
    if isinstance(record, BlobRecord):
        return Slot(number, record.name)
    return Slot(number)


def encode_record(record: Record) -> bytes:
    """Return the framed record; raises `TooLarge`."""
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
    if size > MAX_VALUE_BYTES:
        raise TooLarge(f"a value has {size} bytes; the limit is {MAX_VALUE_BYTES}")
    longest = max(len(name.encode()) for name in names)
    if longest > MAX_NAME_BYTES:
        raise TooLarge(f"a name has {longest} bytes; the limit is {MAX_NAME_BYTES}")


def read_contents(data: bytes) -> Contents:
    """Read the longest valid prefix of a file; the verdict is `COMPLETE` if that is all of it. Never raises."""
    contents = Contents(FRAMING.read_header(data))
    read = contents.read
    if read.verdict is not Verdict.PREFIX:
        return contents
    try:
        while read.end < len(data):
            frame = FRAMING.frame_at(data, read.end)
            _take(_decode_record(frame), contents)
            read.end = frame.end
    except InvalidRecord as error:
        read.why = str(error)
    else:
        read.verdict = Verdict.COMPLETE
    return contents


def _decode_record(frame: Frame) -> Record:
    """Decode the record in a frame; raises `InvalidRecord`."""
    if len(frame.payload) < _TAG.size:
        raise InvalidRecord(f"not a valid record at byte {frame.begin}")
    number, version = _TAG.unpack_from(frame.payload)
    codec = _codecs().get(number)
    if codec is None:
        raise InvalidRecord(f"a record of unknown type {number} at byte {frame.begin}")
    try:
        return codec.decode(version, frame.payload[_TAG.size :])
    except SpoiltBody as error:
        raise InvalidRecord(f"not a valid record at byte {frame.begin}: {error}") from error


def _take(record: Record, contents: Contents) -> None:
    if isinstance(record, IdentityRecord):
        contents.identity = record
    elif isinstance(record, RegisterRecord):
        contents.registers[record.key] = record
    else:
        contents.blobs[record.name] = record.value
