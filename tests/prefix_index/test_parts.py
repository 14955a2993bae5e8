"""Parsing of the header that lists a prompt's parts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.prefix_index.parts import (
    MAX_PART_TOKENS,
    MAX_PARTS,
    MalformedPrefix,
    Part,
    parse_prefix,
    shared_parts,
    shared_tokens,
)

HEADER = b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"
PARTS = (Part("5c1e07a2", 800), Part("91bd3f06", 410), Part("e4402b7d", 250))


def test_example_of_the_protocol() -> None:
    assert parse_prefix(HEADER) == PARTS


def test_all_but_the_last_part_are_shared() -> None:
    assert shared_parts(PARTS) == PARTS[:2]
    assert shared_tokens(PARTS) == 1210
    assert shared_parts(PARTS[:1]) == ()
    assert shared_parts(()) == ()
    assert shared_tokens(()) == 0


def test_blanks_around_commas_and_an_empty_value() -> None:
    assert parse_prefix(b" 5c1e07a2:800 ,\t91bd3f06:410,e4402b7d:250 ") == PARTS
    assert parse_prefix(b"") == ()
    assert parse_prefix(b"  ") == ()


def test_the_number_of_parts_is_limited() -> None:
    allowed = b",".join(b"%064x:%d" % (number, MAX_PART_TOKENS) for number in range(MAX_PARTS))
    assert len(parse_prefix(allowed)) == MAX_PARTS
    with pytest.raises(MalformedPrefix):
        parse_prefix(allowed + b",aa:1")
    with pytest.raises(MalformedPrefix):
        parse_prefix(b",".join([b"a:1"] * (MAX_PARTS + 1)))


@pytest.mark.parametrize(
    "header",
    [
        b"5c1e07a2",
        b"5c1e07a2:",
        b":800",
        b"5c1e07a2:800,",
        b",5c1e07a2:800",
        b"5c1e07a2:800,,91bd3f06:410",
        b"5c1e07a2:800:9",
        b"5c1e07a2:-1",
        b"5c1e07a2:+1",
        b"5c1e07a2:1.5",
        b"5c1e07a2: 800",
        b"5c1e 07a2:800",
        b"xyz:800",
        b"5c1e07a2:2147483648",
        b"5c1e07a2:99999999999999999999",
        b"5c1e07a2:800;91bd3f06:410",
        b"5c1e07a2:\xc2\xb2",
        b"\xff:1",
        b"a" * 65 + b":1",
        b"5c1e07a2:800\n",
        b" " * 10_000,
    ],
)
def test_malformed_headers_are_refused(header: bytes) -> None:
    with pytest.raises(MalformedPrefix):
        parse_prefix(header)


@given(st.binary(max_size=200))
def test_any_bytes_are_parsed_or_refused_as_malformed(header: bytes) -> None:
    try:
        parts = parse_prefix(header)
    except MalformedPrefix:
        return
    assert len(parts) <= MAX_PARTS
    assert all(0 <= part.tokens <= MAX_PART_TOKENS for part in parts)


@given(
    st.lists(
        st.builds(
            Part, st.text("0123456789abcdef", min_size=1, max_size=16), st.integers(0, MAX_PART_TOKENS)
        ),
        max_size=MAX_PARTS,
    )
)
def test_a_formatted_header_is_parsed_back(parts: list[Part]) -> None:
    header = ",".join(f"{part.id}:{part.tokens}" for part in parts)
    assert parse_prefix(header.encode()) == tuple(parts)
