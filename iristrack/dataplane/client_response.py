"""The answer to one client's request: its framing, and how it ends."""

from __future__ import annotations

from iristrack.dataplane.clients import ClientConnection
from iristrack.http1 import messages as http

HTTP_1_0_MINOR_VERSION = (
    0  # the minor version of HTTP/1 whose clients know no chunks: the connection's end is the body's
)


class ClientResponse:
    """Written whole, or begun, continued in pieces and ended; an answer that breaks off never looks complete."""

    def __init__(self, client: ClientConnection, keep: bool, version: int) -> None:
        """`keep`: does the connection go on after the answer? `version` is the minor one of the client's HTTP/1."""
        self.client = client
        self.chunked = version > HTTP_1_0_MINOR_VERSION
        self.keep = keep and self.chunked
        self.begun = False

    def send(self, status: int, body: bytes, lines: bytes) -> None:
        """Answer at once."""
        self.client.write(http.response(status, body, lines, close=not self.keep))

    def begin(self, head: http.Head) -> None:
        """Pass on a server's head; the body follows in pieces."""
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        closing = b"" if self.keep else b"Connection: close\r\n"
        reason = http.REASONS.get(head.status, b"OK")
        self.client.write(
            b"HTTP/1.1 %d %b\r\n%b%b%b\r\n"
            % (head.status, reason, head.passed_on(frozenset()), closing, framing)
        )
        self.begun = True

    def write(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if data:
            self.client.write(http.chunk(data) if self.chunked else data)

    def end(self) -> None:
        """The body is complete."""
        if self.chunked:
            self.client.write(http.LAST_CHUNK)

    def abort(self) -> None:
        """Reset the connection, so that nobody takes what was passed on for the whole."""
        self.client.reset_on_close = True
