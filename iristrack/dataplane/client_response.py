"""The response to one client request: its framing, and how it ends."""

from __future__ import annotations

from iristrack.dataplane.clients import ClientConnection
from iristrack.http1 import messages as http

HTTP_1_0_MINOR_VERSION = 0  # HTTP/1.0 has no chunked encoding: the connection's close ends the body


class ClientResponse:
    """A response that is sent at once, or begun, written in pieces and ended. An aborted one never looks complete."""

    def __init__(self, client: ClientConnection, keep_alive: bool, minor_version: int) -> None:
        """`keep_alive`: whether the connection is kept open afterwards; `minor_version`: of the client's HTTP/1."""
        self.client = client
        self.chunked = minor_version > HTTP_1_0_MINOR_VERSION
        self.keep_alive = keep_alive and self.chunked
        self.begun = False

    def send(self, status: int, body: bytes, lines: bytes) -> None:
        """Send a complete response."""
        self.client.write(http.response(status, body, lines, close=not self.keep_alive))

    def begin(self, head: http.Head) -> None:
        """Forward a server's head; the body follows in pieces."""
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        closing = b"" if self.keep_alive else b"Connection: close\r\n"
        reason = http.REASONS.get(head.status, b"OK")
        self.client.write(
            b"HTTP/1.1 %d %b\r\n%b%b%b\r\n"
            % (head.status, reason, head.passed_on(frozenset()), closing, framing)
        )
        self.begun = True

    def write(self, data: bytes) -> None:
        """Forward a piece of the body."""
        if data:
            self.client.write(http.chunk(data) if self.chunked else data)

    def end(self) -> None:
        """End a complete body."""
        if self.chunked:
            self.client.write(http.LAST_CHUNK)

    def abort(self) -> None:
        """Reset the connection, so that the client sees that the response is incomplete."""
        self.client.reset_on_close = True
