"""Encode and decode the frames on connections between this project's processes.

A frame is a length, a message kind, a schema version and an Avro body. The header is big-endian:

    frame    u32 length of what follows | u16 message kind | u16 schema version | Avro body

A body longer than `COMPRESSION_THRESHOLD_BYTES` is compressed with zlib if that makes it shorter; the highest bit of
the version marks it as compressed. Configurations and server lists shrink to a fraction of their size, which matters on
links of a few Mbit/s.

A message type consists of a dataclass in `messages`, a schema file `schemas/<name>.<version>.avsc` for each version
that was ever sent, and an entry in `KINDS`. A new version of a schema may only append fields with defaults to the
outermost record: an older program reads the fields it knows and ignores the rest, and a newer program resolves the
writer's schema against its own. Any other change needs a new message kind.

Schemas are parsed, and fastavro is imported, at the first use of a kind; `Registry.load` does both in advance.
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

MAX_FRAME_BYTES = 16 * 1024 * 1024  # of a complete frame including its header
COMPRESSION_THRESHOLD_BYTES = 1024  # longer bodies are compressed
COMPRESSION_LEVEL = 1
COMPRESSED_FLAG = 0x8000  # bit of the schema version in the frame header
SCHEMA_FOLDER = Path(__file__).parent / "schemas"

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">IHH")
_MIN_LENGTH_BYTES = _HEADER.size - _LENGTH.size
_MAX_LENGTH_BYTES = MAX_FRAME_BYTES - _LENGTH.size
_WORD_BOUNDARY = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")

Converter = Callable[[Any], Any]


class WireError(Exception):
    """The byte stream can no longer be split into frames; the connection must be closed."""


class FrameTooLarge(WireError):
    """A frame is longer than `MAX_FRAME_BYTES`."""


class FrameTooShort(WireError):
    """A frame's length is too small for its kind and version."""


class SpoiltBody(ValueError):
    """A frame's body does not match its kind and version; later frames are not affected."""


@dataclass(frozen=True, slots=True)
class MessageKind:
    """An entry of the registry; `version` is that of the newest schema, counted from 1."""

    number: int
    message_type: type
    version: int = 1

    @property
    def schema_name(self) -> str:
        """The message type's name in snake case, with which its schema file names begin."""
        return _WORD_BOUNDARY.sub("_", self.message_type.__name__).lower()


KINDS = (  # numbers are never reused; 9 was a view of the members
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
        """`schemas` are in order of version, starting with version 1; messages are written with the last one."""
        from fastavro import parse_schema, schemaless_reader, schemaless_writer

        self._read = schemaless_reader
        self._write = schemaless_writer
        self._schemas = [parse_schema(schema) for schema in schemas]
        self._newest = self._schemas[-1]
        self._to_record = _to_record_converter(message_type)
        self._from_record = _from_record_converter(message_type)

    @property
    def version(self) -> int:
        """The schema version that messages are written with."""
        return len(self._schemas)

    def encode(self, message: Message) -> bytes:
        """Return the Avro body of a message."""
        body = BytesIO()
        self._write(body, self._newest, self._to_record(message))
        return body.getvalue()

    def decode(self, version: int, body: bytes) -> Message:
        """Decode a body that was written with schema `version`; raises `SpoiltBody` if it is invalid."""
        if version < 1:
            raise SpoiltBody(f"schema version {version} does not exist")
        stream = BytesIO(body)
        try:
            message = self._from_record(self._read_record(version, stream))
        except Exception as error:
            # fastavro raises exceptions of many types for invalid input; none of them may end the connection.
            raise SpoiltBody(f"{type(error).__name__}: {error}") from error
        if stream.tell() != len(body) and version <= self.version:
            raise SpoiltBody(f"{len(body) - stream.tell()} unexpected bytes after the message")
        return message

    def _read_record(self, version: int, stream: BytesIO) -> dict:
        if version >= self.version:
            # A newer writer's additional fields follow those known here and are ignored.
            return self._read(stream, self._newest, None)
        return self._read(stream, self._schemas[version - 1], self._newest)


class Registry:
    """The message kinds known to one version of the program."""

    def __init__(self, kinds: Sequence[MessageKind], folder: Path = SCHEMA_FOLDER) -> None:
        """`folder` contains the schema files, which are read later; raises `ValueError` for duplicate kinds."""
        self._folder = folder
        self._by_number = {kind.number: kind for kind in kinds}
        self._by_type = {kind.message_type: kind for kind in kinds}
        self._codecs: dict[int, Codec] = {}
        if len(self._by_number) != len(kinds) or len(self._by_type) != len(kinds):
            raise ValueError("a message kind or type is registered twice")

    def load(self) -> None:
        """Parse all schemas now instead of at the first message of each kind."""
        for kind in self._by_number.values():
            self._codec(kind)

    def encode(self, message: Message) -> bytes:
        """Encode a message as a frame; raises `FrameTooLarge`, or `KeyError` for an unregistered type."""
        kind = self._by_type[type(message)]
        body = self._codec(kind).encode(message)
        if _MIN_LENGTH_BYTES + len(body) > _MAX_LENGTH_BYTES:
            raise FrameTooLarge(f"the body of a {kind.schema_name} has {len(body)} bytes")
        version = kind.version
        compressed = (
            zlib.compress(body, COMPRESSION_LEVEL) if len(body) > COMPRESSION_THRESHOLD_BYTES else body
        )
        if len(compressed) < len(body):
            version, body = version | COMPRESSED_FLAG, compressed
        return _HEADER.pack(_MIN_LENGTH_BYTES + len(body), kind.number, version) + body

    def decode(self, number: int, version: int, body: bytes) -> Message | None:
        """Decode the message of a frame, None if its kind is unknown; raises `SpoiltBody` if it is invalid."""
        kind = self._by_number.get(number)
        if kind is None:
            return None
        if version & COMPRESSED_FLAG:
            body = _decompress(body)
        return self._codec(kind).decode(version & ~COMPRESSED_FLAG, body)

    def schemas(self, kind: MessageKind) -> list[dict]:
        """Read the schemas of all versions of a kind, oldest first."""
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
    """Encode a message as a frame; raises `FrameTooLarge`."""
    return REGISTRY.encode(message)


class FrameReader:
    """Splits the byte stream of one connection into messages."""

    def __init__(self, registry: Registry = REGISTRY) -> None:
        """`registry` contains the known message kinds."""
        self.skipped = 0  # number of frames of an unknown kind or with an invalid body
        self._registry = registry
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that they complete, in order.

        Raises `WireError` if a frame has an invalid length; the connection must then be closed, and every later call
        raises it again. Messages that the same call decoded before such a frame are lost with the connection.
        """
        self._buffer += data
        decoded: list[Message] = []
        begin = 0
        while (end := self._frame_end(begin)) is not None:
            message = self._decode(begin, end)
            if message is not None:
                decoded.append(message)
            begin = end
        if begin:
            del self._buffer[:begin]
        return decoded

    def _frame_end(self, begin: int) -> int | None:
        """Return the offset after the frame that begins at `begin`, None if it is incomplete."""
        if len(self._buffer) - begin < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer, begin)
        if length > _MAX_LENGTH_BYTES:
            raise FrameTooLarge(f"the frame length is {length} bytes, the maximum is {_MAX_LENGTH_BYTES}")
        if length < _MIN_LENGTH_BYTES:
            raise FrameTooShort(f"the frame length is {length} bytes, the minimum is {_MIN_LENGTH_BYTES}")
        end = begin + _LENGTH.size + length
        return end if end <= len(self._buffer) else None

    def _decode(self, begin: int, end: int) -> Message | None:
        """Decode a complete frame; return None and count it if its kind is unknown or its body invalid."""
        _, number, version = _HEADER.unpack_from(self._buffer, begin)
        body = bytes(memoryview(self._buffer)[begin + _HEADER.size : end])
        try:
            message = self._registry.decode(number, version, body)
        except SpoiltBody:
            message = None
        if message is None:
            self.skipped += 1
        return message


def _decompress(body: bytes) -> bytes:
    """Decompress a body; raises `SpoiltBody` if it is invalid or the result exceeds the maximum frame size."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(body, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise SpoiltBody(f"invalid zlib data: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise SpoiltBody("the compressed body is truncated, too long or followed by other bytes")
    return decompressed


# ---- conversion between dataclasses and Avro records


def _to_record_converter(message_type: type) -> Converter:
    """Return a function that converts a message to the dict that fastavro writes."""
    hints = typing.get_type_hints(message_type)
    converters = tuple((field.name, _to_avro_converter(hints[field.name])) for field in fields(message_type))

    def to_record(message: Any) -> dict[str, Any]:
        record = {}
        for name, convert in converters:
            value = getattr(message, name)
            record[name] = value if convert is None else convert(value)
        return record

    return to_record


def _from_record_converter(message_type: type) -> Converter:
    """Return a function that converts the dict that fastavro read to a message."""
    hints = typing.get_type_hints(message_type)
    all_converters = ((field.name, _from_avro_converter(hints[field.name])) for field in fields(message_type))
    converters = tuple((name, convert) for name, convert in all_converters if convert is not None)

    def from_record(record: dict[str, Any]) -> Any:
        for name, convert in converters:
            record[name] = convert(record[name])
        return message_type(**record)

    return from_record


def _to_avro_converter(hint: Any) -> Converter | None:
    """Return the conversion of a field's value to its Avro value, None if they are the same."""
    if is_dataclass(hint):
        return _to_record_converter(hint)
    item_hint = _tuple_item_type(hint)
    if item_hint is None:
        return None
    convert = _to_avro_converter(item_hint)
    if convert is None:
        return list
    return lambda items: [convert(item) for item in items]


def _from_avro_converter(hint: Any) -> Converter | None:
    """Return the conversion of an Avro value to a field's value, None if they are the same."""
    if is_dataclass(hint):
        return _from_record_converter(hint)
    item_hint = _tuple_item_type(hint)
    if item_hint is None:
        return None
    convert = _from_avro_converter(item_hint)
    if convert is None:
        return tuple
    return lambda items: tuple([convert(item) for item in items])


def _tuple_item_type(hint: Any) -> Any | None:
    """Return the item type of `tuple[item, ...]`, None for all other types."""
    return typing.get_args(hint)[0] if typing.get_origin(hint) is tuple else None
