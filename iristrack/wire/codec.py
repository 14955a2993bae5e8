"""Frames on an inner connection: a length, a message kind, a schema version and an Avro body.

    frame    u32 length of what follows | u16 message kind | u16 schema version | Avro body, all big-endian

A body over `COMPRESS_OVER` bytes stands there as zlib makes it, where that is shorter, and the version's highest bit
says so: configurations and lists shrink to a fraction, which is what links of a few Mbit/s need.

A message is a dataclass of `messages`, a schema file `schemas/<name>.<version>.avsc` for each version that was ever
sent, and a row of `KINDS`. A new version of a schema only appends fields with defaults to the outermost record: a
reader of an older program reads the fields that it knows and leaves the rest, a reader of a newer one resolves the
writer's schema against its own. Any other change is a new kind. Schemas are parsed, and fastavro imported, at the first
use of a kind; `Registry.load` does it beforehand.
"""

from __future__ import annotations

import json
import re
import struct
import typing
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields, is_dataclass
from io import BytesIO
from pathlib import Path
from typing import Any

from iristrack.wire import messages
from iristrack.wire.messages import Message

MOST_FRAME_BYTES = 16 * 1024 * 1024  # of a whole frame, its header included
COMPRESS_OVER = 1024  # bytes of a body
COMPRESSION_LEVEL = 1
COMPRESSED = 0x8000  # of the schema version
SCHEMA_FOLDER = Path(__file__).parent / "schemas"

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">IHH")
_FEWEST_LENGTH = _HEADER.size - _LENGTH.size
_MOST_LENGTH = MOST_FRAME_BYTES - _LENGTH.size
_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")

Converter = Callable[[Any], Any]


class WireError(Exception):
    """The bytes of a connection cannot be cut into frames any more: it has to be closed."""


class FrameTooLarge(WireError):
    """A frame over `MOST_FRAME_BYTES`."""


class FrameTooShort(WireError):
    """A frame whose length does not even hold its kind and version."""


class SpoiltBody(ValueError):
    """A frame's body is not what its kind and version say; the frames behind it are not affected."""


@dataclass(frozen=True, slots=True)
class MessageKind:
    """One row of the registry; `version` is the newest of its schemas, which count from 1."""

    number: int
    message_type: type
    version: int = 1

    @property
    def schema_name(self) -> str:
        """The first part of its schema files' names: `MessageKind` is `message_kind`."""
        return _WORD_START.sub("_", self.message_type.__name__).lower()


KINDS = (  # a number is never used again; 9 was a view of the members
    MessageKind(1, messages.Hello, version=2),
    MessageKind(2, messages.Prepare, version=3),
    MessageKind(3, messages.Promise, version=2),
    MessageKind(4, messages.Accept, version=2),
    MessageKind(5, messages.Accepted, version=2),
    MessageKind(6, messages.Subscribe, version=3),
    MessageKind(7, messages.Update),
    MessageKind(8, messages.Heartbeat, version=3),
    MessageKind(10, messages.ConfigurationValue, version=2),
    MessageKind(11, messages.VersionsValue),
    MessageKind(12, messages.DutyValue),
    MessageKind(13, messages.MembersValue, version=4),
    MessageKind(14, messages.BusyServers, version=2),
    MessageKind(15, messages.ServerLoads, version=2),
    MessageKind(16, messages.ServersValue, version=2),
    MessageKind(17, messages.KeptBatch),
    MessageKind(18, messages.KeptSubscribe, version=2),
    MessageKind(19, messages.ConfigurationAmendment),
    MessageKind(20, messages.NewestQuery),
    MessageKind(21, messages.NewestAnswer),
    MessageKind(22, messages.KeyLeaseRequest),
    MessageKind(23, messages.KeyLeaseGrant),
    MessageKind(24, messages.RolloutsValue),
    MessageKind(25, messages.RolloutEvidence),
)


class Codec:
    """Encodes and decodes the bodies of one message type."""

    def __init__(self, message_type: type, schemas: Sequence[dict]) -> None:
        """`schemas` are those of versions 1, 2 and so on; the last is the one that is written."""
        from fastavro import parse_schema, schemaless_reader, schemaless_writer

        self._read = schemaless_reader
        self._write = schemaless_writer
        self._schemas = [parse_schema(schema) for schema in schemas]
        self._newest = self._schemas[-1]
        self._to_record = _record_maker(message_type)
        self._from_record = _message_maker(message_type)

    @property
    def version(self) -> int:
        """The schema version that is written."""
        return len(self._schemas)

    def encode(self, message: Message) -> bytes:
        """The Avro body of a message."""
        body = BytesIO()
        self._write(body, self._newest, self._to_record(message))
        return body.getvalue()

    def decode(self, version: int, body: bytes) -> Message:
        """The message that a writer of schema `version` encoded; raises `SpoiltBody`."""
        if version < 1:
            raise SpoiltBody(f"schema version {version} never was")
        stream = BytesIO(body)
        try:
            message = self._from_record(self._read_record(version, stream))
        except Exception as fault:
            # Guards the connection: fastavro raises nearly anything for bytes that are no Avro.
            raise SpoiltBody(f"{type(fault).__name__}: {fault}") from fault
        if stream.tell() != len(body) and version <= self.version:
            raise SpoiltBody(f"{len(body) - stream.tell()} bytes are left over")
        return message

    def _read_record(self, version: int, stream: BytesIO) -> dict:
        if version >= self.version:
            # A newer writer's fields stand behind those that are known here.
            return self._read(stream, self._newest, None)
        return self._read(stream, self._schemas[version - 1], self._newest)


class Registry:
    """The message kinds that one version of the program knows."""

    def __init__(self, kinds: Sequence[MessageKind], folder: Path = SCHEMA_FOLDER) -> None:
        """`folder` holds the schema files; none is read yet."""
        self._folder = folder
        self._by_number = {kind.number: kind for kind in kinds}
        self._by_type = {kind.message_type: kind for kind in kinds}
        self._codecs: dict[int, Codec] = {}
        if len(self._by_number) != len(kinds) or len(self._by_type) != len(kinds):
            raise ValueError("a message kind is registered twice")

    def load(self) -> None:
        """Parse all schemas now rather than at the first message of each kind."""
        for kind in self._by_number.values():
            self._codec(kind)

    def encode(self, message: Message) -> bytes:
        """A message as a whole frame; raises `FrameTooLarge`, and `KeyError` for a type that is not registered."""
        kind = self._by_type[type(message)]
        body = self._codec(kind).encode(message)
        if _FEWEST_LENGTH + len(body) > _MOST_LENGTH:
            raise FrameTooLarge(f"a {kind.schema_name} holds {len(body)} bytes")
        version = kind.version
        packed = zlib.compress(body, COMPRESSION_LEVEL) if len(body) > COMPRESS_OVER else body
        if len(packed) < len(body):
            version, body = version | COMPRESSED, packed
        return _HEADER.pack(_FEWEST_LENGTH + len(body), kind.number, version) + body

    def decode(self, number: int, version: int, body: bytes) -> Message | None:
        """The message of a frame, None for a kind that is not known here; raises `SpoiltBody`."""
        kind = self._by_number.get(number)
        if kind is None:
            return None
        if version & COMPRESSED:
            body = _unpacked(body)
        return self._codec(kind).decode(version & ~COMPRESSED, body)

    def schemas(self, kind: MessageKind) -> list[dict]:
        """The schemas of all versions of a kind, the oldest first."""
        paths = (
            self._folder / f"{kind.schema_name}.{version}.avsc" for version in range(1, kind.version + 1)
        )
        return [json.loads(path.read_text(encoding="utf-8")) for path in paths]

    def _codec(self, kind: MessageKind) -> Codec:
        codec = self._codecs.get(kind.number)
        if codec is None:
            codec = self._codecs[kind.number] = Codec(kind.message_type, self.schemas(kind))
        return codec


REGISTRY = Registry(KINDS)


def encode(message: Message) -> bytes:
    """A message as a whole frame; raises `FrameTooLarge`."""
    return REGISTRY.encode(message)


class FrameReader:
    """Cuts what a connection receives into messages; one for each connection."""

    def __init__(self, registry: Registry = REGISTRY) -> None:
        """`registry` holds the kinds that are understood."""
        self.skipped = 0  # frames of an unknown kind or with a spoilt body
        self._registry = registry
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that `data` completes, in order.

        Raises `WireError` where no frame can be cut; the connection is to be closed then, and every later call raises
        it again. Complete messages before such a frame are lost with the connection.
        """
        self._buffer += data
        found: list[Message] = []
        begin = 0
        while (end := self._frame_end(begin)) is not None:
            message = self._decode(begin, end)
            if message is not None:
                found.append(message)
            begin = end
        if begin:
            del self._buffer[:begin]
        return found

    def _frame_end(self, begin: int) -> int | None:
        """The byte behind the frame that begins there; None while it is not complete."""
        if len(self._buffer) - begin < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer, begin)
        if length > _MOST_LENGTH:
            raise FrameTooLarge(f"a frame announces {length} bytes, {_MOST_LENGTH} at most")
        if length < _FEWEST_LENGTH:
            raise FrameTooShort(f"a frame announces {length} bytes, {_FEWEST_LENGTH} at least")
        end = begin + _LENGTH.size + length
        return end if end <= len(self._buffer) else None

    def _decode(self, begin: int, end: int) -> Message | None:
        """The message of a complete frame; None, and counted, where it says nothing to this program."""
        _, number, version = _HEADER.unpack_from(self._buffer, begin)
        body = bytes(memoryview(self._buffer)[begin + _HEADER.size : end])
        try:
            message = self._registry.decode(number, version, body)
        except SpoiltBody:
            message = None
        if message is None:
            self.skipped += 1
        return message


def _unpacked(body: bytes) -> bytes:
    """A body as it was before its compression; raises `SpoiltBody`, also where it would grow beyond a frame."""
    unpacking = zlib.decompressobj()
    try:
        whole = unpacking.decompress(body, MOST_FRAME_BYTES)
    except zlib.error as fault:
        raise SpoiltBody(f"not as zlib makes it: {fault}") from fault
    if not unpacking.eof or unpacking.unused_data:
        raise SpoiltBody("a compressed body that is cut, too long or followed by more")
    return whole


# ---- dataclasses to Avro records and back


def _record_maker(message_type: type) -> Converter:
    """A function from a message to the dict that fastavro writes."""
    hints = typing.get_type_hints(message_type)
    converters = tuple((field.name, _value_to_avro(hints[field.name])) for field in fields(message_type))

    def to_record(message: Any) -> dict[str, Any]:
        record = {}
        for name, convert in converters:
            value = getattr(message, name)
            record[name] = value if convert is None else convert(value)
        return record

    return to_record


def _message_maker(message_type: type) -> Converter:
    """A function from the dict that fastavro read to a message."""
    hints = typing.get_type_hints(message_type)
    every = ((field.name, _value_from_avro(hints[field.name])) for field in fields(message_type))
    converters = tuple((name, convert) for name, convert in every if convert is not None)

    def from_record(record: dict[str, Any]) -> Any:
        for name, convert in converters:
            record[name] = convert(record[name])
        return message_type(**record)

    return from_record


def _value_to_avro(hint: Any) -> Converter | None:
    """How a field's value becomes one of Avro; None where it is one already."""
    if is_dataclass(hint):
        return _record_maker(hint)
    item_hint = _tuple_item(hint)
    if item_hint is None:
        return None
    convert = _value_to_avro(item_hint)
    if convert is None:
        return list
    return lambda items: [convert(item) for item in items]


def _value_from_avro(hint: Any) -> Converter | None:
    """How a field's value is made of one of Avro; None where it stays as it is."""
    if is_dataclass(hint):
        return _message_maker(hint)
    item_hint = _tuple_item(hint)
    if item_hint is None:
        return None
    convert = _value_from_avro(item_hint)
    if convert is None:
        return tuple
    return lambda items: tuple([convert(item) for item in items])


def _tuple_item(hint: Any) -> Any | None:
    """The type of the items of `tuple[item, ...]`; None for all other types."""
    return typing.get_args(hint)[0] if typing.get_origin(hint) is tuple else None
