"""One HTTP/1.1 call to another process whose answer is kept whole, over a connection that may be kept."""

from __future__ import annotations

from iristrack.http1 import messages as http
from iristrack.http1.connection import Address, Link, connect
from iristrack.runtime.scheduler import Scheduler

MOST_ANSWER = 32 << 20


class HttpClient:
    """Calls one address, one call at a time, and keeps its connection between calls."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        """Nothing is opened before the first call."""
        self.scheduler = scheduler
        self.address = address
        self._link: Link | None = None

    def connect(self, deadline: int) -> None:
        """Open a connection for the next call, if none is kept; raises `OSError`."""
        if self._link is None:
            sock = connect(self.scheduler, self.address, deadline)
            self._link = Link(self.scheduler, sock, None, limit=MOST_ANSWER, whole=MOST_ANSWER)

    def call(self, method: bytes, target: bytes, lines: bytes, body: bytes, deadline: int) -> http.Message:
        """The whole answer. Raises `OSError`, `http.Malformed` or `http.Truncated` where there is none in time."""
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
                raise ConnectionResetError("an answer without an end")
        except BaseException:
            link.sock.close()
            raise
        if message.head.keeps_alive and link.reader.empty:
            self._link = link
        else:
            link.sock.close()
        return message

    def close(self) -> None:
        """Close the kept connection."""
        if self._link is not None:
            self._link.sock.close()
            self._link = None
