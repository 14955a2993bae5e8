"""Test frames: round trips, splitting at any offset, invalid input, and programs of two versions together."""

from __future__ import annotations

import itertools
import json
import random
import struct
import subprocess
import sys
import typing
import zlib
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.wire import codec, messages
from iristrack.wire.codec import (
    COMPRESSED_FLAG,
    KINDS,
    MAX_FRAME_BYTES,
    REGISTRY,
    FrameReader,
    FrameTooLarge,
    FrameTooShort,
    MessageKind,
    Registry,
    encode,
)

AVRO_NAMES = {str: "string", int: "long", bool: "boolean", bytes: "bytes", float: "double"}
STRATEGIES = {
    str: st.text(max_size=20),
    int: st.integers(-(2**63), 2**63 - 1),
    bool: st.booleans(),
    bytes: st.binary(max_size=200),
    float: st.floats(allow_nan=False),
}


def strategy_for(hint: object) -> st.SearchStrategy:
    """Return a strategy for values of a field's type."""
    if hint in STRATEGIES:
        return STRATEGIES[hint]
    if typing.get_origin(hint) is tuple:
        return st.lists(strategy_for(typing.get_args(hint)[0]), max_size=4).map(tuple)
    hints = typing.get_type_hints(hint)
    return st.builds(hint, **{field.name: strategy_for(hints[field.name]) for field in fields(hint)})


MESSAGES = st.one_of([strategy_for(kind.message_type) for kind in KINDS])


def avro_type(hint: object, defined: set[str]) -> object:
    """Return the schema of a field of this type; `defined` collects the record names already defined."""
    if hint in AVRO_NAMES:
        return AVRO_NAMES[hint]
    if typing.get_origin(hint) is tuple:
        return {"type": "array", "items": avro_type(typing.get_args(hint)[0], defined)}
    assert is_dataclass(hint)
    if hint.__name__ in defined:
        return hint.__name__
    defined.add(hint.__name__)
    hints = typing.get_type_hints(hint)
    return {
        "type": "record",
        "name": hint.__name__,
        "fields": [
            {"name": field.name, "type": avro_type(hints[field.name], defined)} for field in fields(hint)
        ],
    }


def without_defaults(schema: dict) -> dict:
    """Return a schema reduced to what a dataclass defines."""
    bare_fields = [{"name": field["name"], "type": field["type"]} for field in schema["fields"]]
    return {"type": schema["type"], "name": schema["name"], "fields": bare_fields}


def test_every_message_is_registered_once_and_its_newest_schema_matches_its_dataclass() -> None:
    assert {kind.message_type for kind in KINDS} == set(typing.get_args(messages.Message))
    for kind in KINDS:
        newest = REGISTRY.schemas(kind)[-1]
        assert without_defaults(newest) == avro_type(kind.message_type, set()), kind.schema_name


def test_a_new_schema_version_only_appends_fields_with_defaults() -> None:
    for kind in KINDS:
        schemas = REGISTRY.schemas(kind)
        for older, newer in itertools.pairwise(schemas):
            known = len(older["fields"])
            assert newer["fields"][:known] == older["fields"], kind.schema_name
            assert all("default" in field for field in newer["fields"][known:]), kind.schema_name


def test_every_schema_file_is_registered() -> None:
    registered = {f"{kind.schema_name}.{n}.avsc" for kind in KINDS for n in range(1, kind.version + 1)}
    assert {path.name for path in codec.SCHEMA_FOLDER.glob("*.avsc")} == registered


def test_a_kind_is_registered_once() -> None:
    with pytest.raises(ValueError, match="twice"):
        Registry([MessageKind(1, messages.Hello), MessageKind(1, messages.KeptBatch)])


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.schema_name)
@given(data=st.data())
def test_every_message_survives_a_round_trip(kind: MessageKind, data: st.DataObject) -> None:
    message = data.draw(strategy_for(kind.message_type))
    reader = FrameReader()
    assert reader.feed(encode(message)) == [message]
    assert reader.skipped == 0


def test_a_frame_has_the_documented_layout() -> None:
    frame = encode(messages.Update("t", 3, b"abc"))
    body = b"\x02t" + b"\x06" + b"\x06abc"  # lengths and numbers in zigzag encoding
    assert frame == struct.pack(">IHH", 4 + len(body), 7, 1) + body


@given(st.lists(MESSAGES, max_size=6), st.lists(st.integers(0, 2000), max_size=12))
def test_messages_are_complete_and_in_order_for_any_split(sent: list, cuts: list[int]) -> None:
    data = b"".join(encode(message) for message in sent)
    offsets = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    reader, received = FrameReader(), []
    for begin, end in itertools.pairwise(offsets):
        received += reader.feed(data[begin:end])
    assert received == sent and reader.skipped == 0


def test_messages_are_read_byte_by_byte() -> None:
    sent = [messages.Subscribe((messages.Version("a", 1),)), messages.Update("a", 2, b"x" * 300)]
    reader, received = FrameReader(), []
    for byte in b"".join(encode(message) for message in sent):
        received += reader.feed(bytes([byte]))
    assert received == sent


def test_a_value_of_8_mib_survives_a_round_trip_in_pieces() -> None:
    sent = messages.Accept(1, "key", messages.Ballot(1, "a"), "i", b"\xa5" * (8 << 20))
    frame, reader, received = encode(sent), FrameReader(), []
    for begin in range(0, len(frame), 65536):
        received += reader.feed(frame[begin : begin + 65536])
    assert received == [sent]


def test_an_oversized_frame_is_not_written_and_is_rejected_by_its_length() -> None:
    with pytest.raises(FrameTooLarge):
        encode(messages.Update("t", 1, bytes(MAX_FRAME_BYTES)))
    reader = FrameReader()
    with pytest.raises(FrameTooLarge):
        reader.feed(struct.pack(">I", MAX_FRAME_BYTES - 4 + 1))
    with pytest.raises(FrameTooLarge):
        reader.feed(encode(messages.KeptBatch()))
    assert FrameReader().feed(struct.pack(">I", MAX_FRAME_BYTES - 4)) == []


def test_a_frame_of_maximum_size_is_accepted() -> None:
    random_bytes = random.Random(1).randbytes(MAX_FRAME_BYTES)  # incompressible
    overhead = len(encode(messages.Update("t", 1, random_bytes[:-100]))) - (MAX_FRAME_BYTES - 100)
    message = messages.Update("t", 1, random_bytes[:-overhead])
    frame = encode(message)
    assert len(frame) == MAX_FRAME_BYTES and FrameReader().feed(frame) == [message]


def test_a_long_body_is_compressed_and_survives_a_round_trip() -> None:
    message = messages.Update("t", 1, b'{"label":"r-1"},' * 1000)
    frame = encode(message)
    assert len(frame) < 1000
    assert struct.unpack(">IHH", frame[:8]) == (len(frame) - 4, 7, 1 | COMPRESSED_FLAG)
    assert FrameReader().feed(frame) == [message]


def test_an_invalid_or_too_large_compressed_body_is_skipped() -> None:
    body = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
    compressed = zlib.compress(b"\x02t\x06\x06abc")
    for invalid_body in (body, compressed[:-1], compressed + b"x", b"no zlib"):
        reader = FrameReader()
        assert reader.feed(
            make_frame(7, 1 | COMPRESSED_FLAG, invalid_body) + encode(messages.KeptBatch())
        ) == [messages.KeptBatch()]
        assert reader.skipped == 1
    assert FrameReader().feed(make_frame(7, 1 | COMPRESSED_FLAG, compressed)) == [
        messages.Update("t", 3, b"abc")
    ]


@pytest.mark.parametrize("length", range(4))
def test_a_frame_too_short_for_its_kind_raises(length: int) -> None:
    with pytest.raises(FrameTooShort):
        FrameReader().feed(struct.pack(">I", length) + bytes(8))


def make_frame(number: int, version: int, body: bytes) -> bytes:
    return struct.pack(">IHH", 4 + len(body), number, version) + body


@pytest.mark.parametrize(
    "frame",
    [
        make_frame(60_000, 1, b"of a later program"),
        make_frame(8, 0, encode(messages.Heartbeat("n", "p", 1))[8:]),
        make_frame(8, 3, encode(messages.Heartbeat("n", "p", 1))[8:] + b"\0"),
        make_frame(8, 3, encode(messages.Heartbeat("n", "p", 1))[8:-1]),
        make_frame(7, 1, b"\x02\xff\x02\x00"),  # invalid UTF-8
        make_frame(17, 1, b"\xfe\xff\xff\xff\xff\xff\xff\xff\xff\x01"),  # 2 ** 62 entries
        make_frame(17, 1, b""),
    ],
    ids=["unknown kind", "version 0", "left over", "cut", "no text", "huge array", "empty"],
)
def test_an_unreadable_frame_is_skipped_and_counted_without_losing_others(frame: bytes) -> None:
    before, after = messages.KeptBatch(), messages.Hello("n", "dataplane", "p", "z", "r", "127.0.0.1:1")
    reader = FrameReader()
    assert reader.feed(encode(before) + frame + encode(after)) == [before, after]
    assert reader.skipped == 1


@given(st.sampled_from(KINDS), st.integers(0, 3), st.binary(max_size=120))
def test_a_random_body_is_skipped_or_decoded(kind: MessageKind, version: int, random_bytes: bytes) -> None:
    reader = FrameReader()
    received = reader.feed(make_frame(kind.number, version, random_bytes))
    assert len(received) + reader.skipped == 1
    assert all(type(message) is kind.message_type for message in received)


@given(MESSAGES, st.data())
def test_a_changed_byte_of_a_body_does_not_lose_the_next_message(
    message: object, data: st.DataObject
) -> None:
    frame = bytearray(encode(message))
    if len(frame) > 8:
        frame[data.draw(st.integers(8, len(frame) - 1))] = data.draw(st.integers(0, 255))
    reader = FrameReader()
    received = reader.feed(bytes(frame) + encode(messages.KeptBatch()))
    assert received[-1] == messages.KeptBatch() and len(received) + reader.skipped == 2


@given(st.lists(st.binary(max_size=60), max_size=8))
def test_random_bytes_are_read_as_frames_or_raise_a_wire_error(chunks: list[bytes]) -> None:
    reader = FrameReader()
    try:
        for data in chunks:
            reader.feed(data)
    except codec.WireError:
        with pytest.raises(codec.WireError):
            reader.feed(b"")


# ---- programs of two versions


@dataclass(frozen=True, slots=True)
class Part:
    name: str
    size: int


@dataclass(frozen=True, slots=True)
class OldNotice:
    text: str
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class NewNotice:
    text: str
    parts: tuple[Part, ...]
    urgency: int = 5
    more: tuple[Part, ...] = ()


PART = {
    "type": "record",
    "name": "Part",
    "fields": [{"name": "name", "type": "string"}, {"name": "size", "type": "long"}],
}
OLD_FIELDS = [
    {"name": "text", "type": "string"},
    {"name": "parts", "type": {"type": "array", "items": PART}},
]
NEW_FIELDS = [
    *OLD_FIELDS,
    {"name": "urgency", "type": "long", "default": 5},
    {"name": "more", "type": {"type": "array", "items": "Part"}, "default": []},
]


def make_registry(folder: Path, message_type: type, schemas: list[list[dict]]) -> Registry:
    """Return the registry of a program that knows these versions of a single message."""
    folder.mkdir()
    kind = MessageKind(77, message_type, len(schemas))
    for version, schema_fields in enumerate(schemas, 1):
        schema = {"type": "record", "name": "Notice", "fields": schema_fields}
        (folder / f"{kind.schema_name}.{version}.avsc").write_text(json.dumps(schema))
    return Registry([kind], folder)


@pytest.fixture
def old(tmp_path: Path) -> Registry:
    return make_registry(tmp_path / "old", OldNotice, [OLD_FIELDS])


@pytest.fixture
def new(tmp_path: Path) -> Registry:
    return make_registry(tmp_path / "new", NewNotice, [OLD_FIELDS, NEW_FIELDS])


def test_a_new_reader_fills_in_the_defaults_of_an_old_body(old: Registry, new: Registry) -> None:
    parts = (Part("a", 1), Part("b", 2))
    reader = FrameReader(new)
    frame = old.encode(OldNotice("x", parts))
    assert reader.feed(frame + frame) == [NewNotice("x", parts, 5, ())] * 2 and reader.skipped == 0


def test_an_old_reader_ignores_unknown_fields_of_a_new_body(old: Registry, new: Registry) -> None:
    parts = (Part("a", 1), Part("b", 2))
    reader = FrameReader(old)
    frame = new.encode(NewNotice("x", parts, 9, (Part("c", 3),)))
    assert reader.feed(frame + frame) == [OldNotice("x", parts)] * 2 and reader.skipped == 0


def test_a_new_reader_skips_an_old_body_with_additional_bytes(old: Registry, new: Registry) -> None:
    body = old.encode(OldNotice("x", ()))[8:] + b"\0"
    reader = FrameReader(new)
    assert reader.feed(make_frame(77, 1, body)) == [] and reader.skipped == 1


def test_no_schema_is_parsed_and_fastavro_not_imported_before_the_first_message() -> None:
    script = "import sys, iristrack.wire.codec; print('fastavro' in sys.modules)"
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "False"
