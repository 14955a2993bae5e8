"""HTTP/1.1 client that buffers whole responses and reuses its connection."""

from __future__ import annotations

from iristrack.http1 import messages as http
from iristrack.http1.connection import Address, Link, connect
from iristrack.runtime.scheduler import Scheduler

MAX_RESPONSE_BYTES = 32 << 20


class HttpClient:
    """Sends requests to one address, one at a time, and keeps its connection open between them."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        """Create a client; no connection is opened before the first request."""
        self.scheduler = scheduler
        self.address = address
        self._link: Link | None = None

    def connect(self, deadline: int) -> None:
        """Open a connection for the next request unless one is open; raises `OSError`."""
        if self._link is None:
            sock = connect(self.scheduler, self.address, deadline)
            self._link = Link(self.scheduler, sock, None, limit=MAX_RESPONSE_BYTES, whole=MAX_RESPONSE_BYTES)

    def call(self, method: bytes, target: bytes, lines: bytes, body: bytes, deadline: int) -> http.Message:
        """Send a request and return the whole response.

        Raises `OSError`, `http.Malformed` or `http.Truncated` if there is none by the deadline.
        """
        link = self._link
        self._link = None
        if link is not None and not link.quiet():
            link.sock.close()
            link = None
        if link is None:
            self.connect(deadline)
            link, self._link = self._link, None
        try:
            host = b"Host: %b:%d\r\n" % (self.address[0].encode(), self.address[1])
            link.write(http.request(method, target, host + lines, body), deadline)
            message = link.read(deadline)
            if message is None:
                raise ConnectionResetError("response too long to buffer")
        except BaseException:
            link.sock.close()
            raise
        if message.head.keeps_alive and link.reader.empty:
            self._link = link
        else:
            link.sock.close()
        return message

    def close(self) -> None:
        """Close the idle connection, if any."""
        if self._link is not None:
            self._link.sock.close()
            self._link = None
