"""HTTP/1.1 parsers and writers: functions of bytes, without sockets, time or the platform's header names.

This module decides whether a message is well-formed and where it ends. It never reads or writes a socket and does not
depend on requests, classes or pool servers; the platform's headers are handled by the front end.

The reasons of `Malformed` are sent to clients in the bodies of error responses.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import quote

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # of a message that is buffered whole
MAX_BODY_BYTES = 32 << 20  # of a message that is streamed
MAX_CHUNK_LINE_BYTES = 4096  # including chunk extensions
LAST_CHUNK = b"0\r\n\r\n"
MAX_INTERIM_COUNT = 16  # 1xx responses before one final response

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(rb"(" + _TOKEN + rb") ([\x21-\x7e]+) HTTP/1\.([01])\Z")
_ANY_REQUEST_LINE = re.compile(rb"" + _TOKEN + rb" [\x21-\x7e]+ HTTP/\d\.\d\Z")
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5]\d\d)(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
_FIELD = re.compile(rb"(" + _TOKEN + rb"):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n")
_DIGITS = re.compile(rb"[0-9]{1,18}\Z")
_CHUNK = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
_HOP_BY_HOP = frozenset(
    {
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade", b"expect",
        b"transfer-encoding", b"content-length",
    }
)  # fmt: skip

_UNESCAPED = "".join(chr(code) for code in range(0x21, 0x7F) if chr(code) != "%")

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 414: b"URI Too Long",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error", 502: b"Bad Gateway", 503: b"Service Unavailable",
    504: b"Gateway Timeout", 505: b"HTTP Version Not Supported",
}  # fmt: skip


class Malformed(Exception):
    """The bytes are not an acceptable message; `status` is the status of the server's error response."""

    def __init__(self, status: int, reason: str) -> None:
        """`reason` is a text for people."""
        super().__init__(reason)
        self.status = status


class Truncated(Exception):
    """The connection ended inside a message."""


@dataclass(slots=True)
class Head:
    """The start line and header fields of a message; the fields are keyed by lower-case name."""

    raw: bytes  # all header lines as received, each with its line end, without the start line
    fields: dict[bytes, bytes]
    repeated: frozenset[bytes]  # names that occur more than once
    spans: list[tuple[bytes, int, int]]  # name, start and end of each line in `raw`
    version: int  # minor HTTP version
    method: bytes = b""
    target: bytes = b""
    status: int = 0

    @property
    def keeps_alive(self) -> bool:
        """Return whether the sender keeps the connection open after this message."""
        connection = self.fields.get(b"connection")
        if connection is None:
            return self.version == 1
        options = [option.strip().lower() for option in connection.split(b",")]
        if b"close" in options:
            return False
        return self.version == 1 or b"keep-alive" in options

    def passed_on(self, without: frozenset[bytes]) -> bytes:
        """Return the header lines for the next hop as received, except `without` and hop-by-hop fields."""
        connection = self.fields.get(b"connection", b"").lower()
        parts, at = [], 0
        for name, start, end in self.spans:
            if (
                name in _HOP_BY_HOP
                or name in without
                or (connection and name in re.split(rb"[ \t,]+", connection))
            ):
                parts.append(self.raw[at:start])
                at = end
        parts.append(self.raw[at:])
        return b"".join(parts)


@dataclass(slots=True)
class Message:
    """A complete message."""

    head: Head
    body: bytes


def parse_head(block: bytes, response: bool) -> Head:
    """Parse a message's start line and header lines; `block` ends with the line end of the last header line."""
    line, _, raw = block.partition(b"\r\n")
    head = Head(raw, {}, frozenset(), [], 1)
    if response:
        match = _STATUS_LINE.match(line)
        if match is None:
            raise Malformed(502, "no status line")
        head.version, head.status = int(match[1]), int(match[2])
    else:
        match = _REQUEST_LINE.match(line)
        if match is None:
            if _ANY_REQUEST_LINE.match(line):
                raise Malformed(505, "not HTTP/1")
            raise Malformed(400, "no request line")
        head.method, head.target, head.version = match[1], match[2], int(match[3])
    fields, spans, repeated, at = head.fields, head.spans, [], 0
    for match in _FIELD.finditer(raw):
        start, end = match.span()
        if start != at:
            break
        at = end
        name = match[1].lower()
        if name in fields:
            repeated.append(name)
        else:
            fields[name] = match[2]
        spans.append((name, start, end))
    if at != len(raw):
        raise Malformed(400, "a header line that cannot be read")
    head.repeated = frozenset(repeated)
    return head


def body_length(head: Head, limit: int) -> int | None:
    """Return the length of the body; None if it is chunked, -1 if it extends to the end of the connection."""
    coding = head.fields.get(b"transfer-encoding")
    length = head.fields.get(b"content-length")
    if coding is not None:
        # Prevents request smuggling: two parties must never disagree about where a message ends.
        if length is not None or b"transfer-encoding" in head.repeated:
            raise Malformed(400, "Transfer-Encoding with Content-Length, or twice")
        if coding.lower() != b"chunked" or head.version == 0:
            raise Malformed(400, "a transfer coding other than chunked")
        return None
    if length is not None:
        if b"content-length" in head.repeated or not _DIGITS.match(length):
            raise Malformed(400, "Content-Length cannot be read")
        size = int(length)
        if size > limit:
            raise Malformed(413, "the body is too large")
        return size
    if head.status and not (head.status in (204, 304) or head.status < 200):
        return -1
    return 0


class Reader:
    """Incremental parser: takes bytes as received and returns complete messages; extra bytes stay for the next one.

    A message whose body is longer than `whole` is `long`: `feed` returns None for it. Its body is read with `take`, in
    the pieces that have arrived, until it is `done`; `finish` goes on to the next message.
    """

    __slots__ = (
        "_at", "_body", "_buffer", "_interim", "_left", "_limit", "_most_head", "_response", "_state", "_streamed",
        "_whole", "done", "head", "received",
    )  # fmt: skip

    def __init__(
        self,
        response: bool = False,
        limit: int = MAX_BUFFERED_BODY_BYTES,
        whole: int = MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        """Parse requests, or responses; a body may have `limit` bytes, and one of up to `whole` bytes is buffered."""
        self._response = response
        self._limit = limit
        self._whole = whole
        self._buffer = bytearray()
        self._interim = 0
        self._most_head = MAX_HEAD_BYTES
        self._reset()

    def bound(self, limit: int, most_head: int) -> None:
        """Set the limits of the next message's body and head, in bytes; a body being read keeps its own limit."""
        self._limit = self._whole = limit
        self._most_head = most_head

    def _reset(self) -> None:
        self.head: Head | None = None  # of the message whose body is being read
        self.done = False  # whether the whole body has arrived
        self.received = 0  # bytes of the body so far
        self._left: int | None = 0  # bytes of the body to come; None: chunked; -1: until the connection ends
        self._body = bytearray()
        # While the head is read: where the search for its end continues. In a chunked body: the remaining bytes of the
        # chunk, then the bytes of the trailer so far.
        self._at = 0
        self._state = "size"  # of a chunked body: size, data, end (of a chunk) or trailer
        self._streamed = False

    @property
    def empty(self) -> bool:
        """Return whether the reader is between messages and has no unread bytes."""
        return self.head is None and not self._buffer

    @property
    def long(self) -> bool:
        """Return whether the current message's body is too long to be buffered."""
        return self.head is not None and (
            self._streamed or len(self._body) > self._whole or (self._left or 0) + self.received > self._whole
        )

    @property
    def length(self) -> int | None:
        """Return the total length of the body in bytes, or None if the head does not declare it."""
        return None if self._left is None or self._left < 0 else self._left + self.received

    @property
    def unmeasured(self) -> bool:
        """Return whether a body without a declared length is being read."""
        return self.head is not None and self.length is None

    def feed(self, data: bytes) -> Message | None:
        """Add bytes and return a message once one is complete; without bytes, parse those left over."""
        self._buffer += data
        while True:
            if self.head is None and not self._take_head():
                return None
            if not self.done:
                self._advance()
            if self.long or not self.done:
                return None
            message = Message(self.head, bytes(self._body))
            self._reset()
            if not 100 <= message.head.status < 200:
                self._interim = 0
                return message
            # Bounds interim responses that never lead to a final one, and rejects a switch to another protocol.
            self._interim += 1
            if self._interim > MAX_INTERIM_COUNT or message.head.status == 101:
                raise Malformed(502, "too many interim answers, or another protocol")

    def take(self) -> bytes:
        """Return the bytes of the body that arrived since the last call; the message is `long` from now on."""
        self._streamed = True
        data = bytes(self._body)
        self._body.clear()
        return data

    def finish(self) -> None:
        """End a long message that is done and start the next one."""
        self._reset()
        self._interim = 0

    def end(self) -> Message | None:
        """Handle the end of the connection: return the message that it completes, if any.

        Raises `Truncated` inside a message.
        """
        if self.head is not None and self._left == -1:
            self.done = True
            return None if self.long else self.feed(b"")
        if not self.empty and not self.done:
            raise Truncated("connection closed inside a message")
        return None

    def _take_head(self) -> bool:
        buffer = self._buffer
        while not self._response and buffer[:2] == b"\r\n":  # RFC 9112 allows empty lines before a request
            del buffer[:2]
        end = buffer.find(b"\r\n\r\n", max(0, self._at - 3))
        if end < 0 or end > self._most_head:
            if len(buffer) > self._most_head:
                raise Malformed(431, "the header is too large")
            self._at = len(buffer)
            return False
        head = parse_head(bytes(buffer[: end + 2]), self._response)
        self._left = body_length(head, self._limit)
        self.head = head
        self._at = 0
        del buffer[: end + 4]
        return True

    def _advance(self) -> None:
        """Move the bytes of the body that have arrived out of their framing."""
        if self._left is None:
            self._take_chunks()
            return
        if self._left < 0:
            self._move(len(self._buffer))
            if self.received > self._limit:
                raise Malformed(413, "the body is too large")
            return
        self._left -= self._move(self._left)
        self.done = self._left == 0

    def _move(self, max_bytes: int) -> int:
        size = min(max_bytes, len(self._buffer))
        if size:
            self._body += self._buffer[:size]
            del self._buffer[:size]
            self.received += size
        return size

    def _line(self) -> bytes | None:
        end = self._buffer.find(b"\r\n")
        if end < 0 or end > MAX_CHUNK_LINE_BYTES:
            if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
                raise Malformed(400, "a chunk's line is too long")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line

    def _take_chunks(self) -> None:
        """Move the chunk data that has arrived to the body; done after the last chunk and the trailer."""
        while True:
            if self._state == "data":
                self._at -= self._move(self._at)
                if self._at:
                    return
                self._state = "end"
            if self._state == "end":
                if len(self._buffer) < 2:
                    return
                if self._buffer[:2] != b"\r\n":
                    raise Malformed(400, "a chunk is longer than it says")
                del self._buffer[:2]
                self._state = "size"
            line = self._line()
            if line is None:
                return
            if self._state == "trailer":
                if not line:
                    self.done = True
                    return
                self._at += len(line)
                if not _FIELD.fullmatch(line + b"\r\n") or self._at > MAX_HEAD_BYTES:
                    raise Malformed(400, "a trailer that cannot be read")
                continue
            match = _CHUNK.match(line)
            if match is None:
                raise Malformed(400, "a chunk size that cannot be read")
            self._at = int(match[1], 16)
            if self.received + self._at > self._limit:
                raise Malformed(413, "the body is too large")
            self._state = "data" if self._at else "trailer"


def header_text(text: str) -> bytes:
    """Return a text as a header value: characters that could end a line are percent-encoded.

    Different texts give different values. Spaces stay, except in a text with leading or trailing spaces: those would
    not count as part of the value.
    """
    safe = _UNESCAPED + " " if text == text.strip(" ") else _UNESCAPED
    return quote(text, safe=safe).encode("ascii")


def framing(length: int | None) -> bytes:
    """Return the header line that frames a body: its length, or chunked coding."""
    return b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length


def chunk(data: bytes) -> bytes:
    """Return one chunk; `data` must not be empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def request(method: bytes, target: bytes, lines: bytes, body: bytes = b"") -> bytes:
    """Return a request; `lines` are header lines with line ends. GET and HEAD without a body have no Content-Length."""
    length = b"Content-Length: %d\r\n" % len(body) if body or method not in (b"GET", b"HEAD") else b""
    return b"".join((method, b" ", target, b" HTTP/1.1\r\n", lines, length, b"\r\n", body))


def response(status: int, body: bytes = b"", lines: bytes = b"", close: bool = False) -> bytes:
    """Return a response; `lines` are header lines with line ends."""
    closing = b"Connection: close\r\n" if close else b""
    reason = REASONS.get(status, b"Unknown")
    return b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
        status, reason, lines, closing, len(body), body,
    )  # fmt: skip
