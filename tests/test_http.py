"""The HTTP parsers: valid messages split at random places, random garbage, and each kind of invalid input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.http1 import messages as http

TOKEN = st.text("abcdefghijklmnopqrstuvwxyzABC-", min_size=1, max_size=12).map(str.encode)
VALUE = st.text("abc XYZ0123:;,=/\u00e9", max_size=20).map(lambda t: t.strip().encode("latin-1"))
FIELDS = st.lists(st.tuples(TOKEN.map(lambda t: b"X-" + t), VALUE), max_size=5)
BODY = st.binary(max_size=300)


def chunked(body: bytes, sizes: list[int]) -> bytes:
    out, at = b"", 0
    for size in [*sizes, len(body) or 1]:
        part = body[at : at + size]
        if part:
            out += b"%x;note=1\r\n%b\r\n" % (len(part), part)
            at += size
    return out + b"0\r\nX-Sum: 1\r\n\r\n"


@st.composite
def messages(draw: st.DrawFn, response: bool) -> tuple[bytes, bytes, bytes]:
    """Generate a valid message: its bytes, its start line and its body."""
    body = draw(BODY)
    lines = b"".join(b"%b: %b\r\n" % field for field in draw(FIELDS))
    first = b"HTTP/1.1 200 OK" if response else b"POST /api/%b?q=1 HTTP/1.1" % draw(TOKEN)
    if draw(st.booleans()):
        sizes = draw(st.lists(st.integers(1, 50), max_size=8))
        return (
            first + b"\r\n" + lines + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, sizes),
            first,
            body,
        )
    return b"%b\r\n%bContent-Length: %d\r\n\r\n%b" % (first, lines, len(body), body), first, body


def read_cut(reader: http.Reader, data: bytes, cuts: list[int]) -> list[http.Message]:
    """Feed the bytes in pieces; return the parsed messages."""
    found, at = [], 0
    for size in [*cuts, len(data)]:
        message = reader.feed(data[at : at + size])
        at += size
        while message is not None:
            found.append(message)
            message = reader.feed(b"")
    return found


CUTS = st.lists(st.integers(0, 40), max_size=40)


@given(st.lists(messages(response=False), min_size=1, max_size=3), CUTS)
def test_requests_are_read_whole_however_they_are_split(several: list, cuts: list[int]) -> None:
    reader = http.Reader()
    found = read_cut(reader, b"".join(raw for raw, _, _ in several), cuts)
    assert [m.body for m in found] == [body for _, _, body in several]
    assert [m.head.method + b" " + m.head.target + b" HTTP/1.1" for m in found] == [
        line for _, line, _ in several
    ]
    assert reader.empty


@given(messages(response=True), CUTS)
def test_responses_are_read_whole_however_they_are_split(one: tuple, cuts: list[int]) -> None:
    reader = http.Reader(response=True)
    (message,) = read_cut(reader, b"HTTP/1.1 100 Continue\r\n\r\n" + one[0], cuts)
    assert (message.head.status, message.body, reader.empty) == (200, one[2], True)


@given(messages(response=True), st.integers(1, 400))
def test_a_truncated_message_is_never_returned(one: tuple, missing: int) -> None:
    raw = one[0][: max(0, len(one[0]) - missing)]
    reader = http.Reader(response=True)
    assert reader.feed(raw) is None
    if raw:
        with pytest.raises(http.Truncated):
            reader.end()


@given(
    st.one_of(st.binary(max_size=400), messages(response=False).map(lambda m: m[0])),
    st.booleans(),
    CUTS,
    st.data(),
)
def test_garbage_is_rejected_or_incomplete_but_raises_nothing_else(
    raw: bytes, kind: bool, cuts: list, data: st.DataObject
) -> None:
    corrupted = bytearray(raw)
    for at in data.draw(st.lists(st.integers(0, max(0, len(raw) - 1)), max_size=6)) if raw else ():
        corrupted[at] = data.draw(st.integers(0, 255))
    reader = http.Reader(response=kind)
    try:
        read_cut(reader, bytes(corrupted), cuts)
        reader.end()
    except (http.Malformed, http.Truncated):
        pass


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length:\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nab\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nbad trailer\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1" * 5000, 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 413),
        (b"GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * http.MAX_HEAD_BYTES, 431),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"GET /\r\n\r\n", 400),
        (b"GET  / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX : a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n folded: a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: a\nY: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: a\0b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
    ],
)
def test_malformed_requests_are_rejected_with_their_status(raw: bytes, status: int) -> None:
    with pytest.raises(http.Malformed) as caught:
        http.Reader().feed(raw)
    assert caught.value.status == status


def test_a_response_without_a_length_ends_with_the_connection() -> None:
    reader = http.Reader(response=True)
    assert reader.feed(b"HTTP/1.0 200 OK\r\n\r\nhalf") is None
    message = reader.end()
    assert (message.body, message.head.keeps_alive) == (b"half", False)
    assert http.Reader(response=True).feed(b"HTTP/1.1 204 No Content\r\n\r\n").body == b""


def test_header_lines_are_passed_on_unchanged_except_hop_by_hop_ones() -> None:
    raw = (
        b"GET /api/k HTTP/1.1\r\nhOsT:  a \r\nConnection: close, X-Once\r\nX-Once: 1\r\nTE: t\r\n"
        b"X-Budget: 5m\r\n"
        b"X-Odd:\tb\r\nContent-Length: 2\r\n\r\nab"
    )
    head = http.Reader().feed(raw).head
    assert head.passed_on(frozenset({b"x-budget"})) == b"hOsT:  a \r\nX-Odd:\tb\r\n"
    assert not head.keeps_alive


def test_written_messages_can_be_parsed() -> None:
    sent = http.Reader().feed(http.request(b"POST", b"/api/k", b"X-A: 1\r\n", b"body"))
    assert (sent.head.method, sent.head.fields[b"x-a"], sent.body) == (b"POST", b"1", b"body")
    got = http.Reader(response=True).feed(http.response(503, b"no", b"Retry-After: 0.5\r\n", close=True))
    assert (got.head.status, got.body, got.head.keeps_alive) == (503, b"no", False)


@pytest.mark.parametrize(
    "ahead", [b"HTTP/1.1 101 Switching Protocols\r\n\r\n", b"HTTP/1.1 103 Hints\r\n\r\n" * 17]
)
def test_interim_responses_are_limited_and_protocol_switches_rejected(ahead: bytes) -> None:
    # Endless interim responses would keep the attempt and its server's connection busy for ever.
    with pytest.raises(http.Malformed):
        http.Reader(response=True).feed(ahead + http.response(200, b"x"))
