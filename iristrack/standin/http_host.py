"""A threaded HTTP/1.1 server of the standard library, as the stand-ins use it; it shares no parser with the system."""

from __future__ import annotations

import socket
import socketserver
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count

LOOPBACK = "127.0.0.1"
_connection_numbers = count(1)


class HttpHost(ThreadingHTTPServer):
    """Serves each connection in a thread of its own, at a free port of loopback or at a given one."""

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, handler: type[HostHandler], port: int = 0) -> None:
        """Listens at once."""
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        super().__init__((LOOPBACK, port), handler)
        self.port: int = self.server_address[1]
        self.address = f"{LOOPBACK}:{self.port}"
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def server_bind(self) -> None:
        """Bind without the look-up of a name that the base class makes."""
        socketserver.TCPServer.server_bind(self)

    def process_request(self, request, client_address) -> None:
        """Remember the connection, so that `stop` ends it."""
        with self._lock:
            self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        """The connection has ended."""
        with self._lock:
            self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address) -> None:
        """Callers that leave are no errors here."""

    def stop(self) -> None:
        """Listen no more and end every connection."""
        self.shutdown()
        self.server_close()
        with self._lock:
            for sock in list(self._open):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue


class HostHandler(BaseHTTPRequestHandler):
    """One connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self) -> None:
        """Give the connection a number."""
        super().setup()
        self.connection_number = next(_connection_numbers)

    def log_message(self, format: str, *args: object) -> None:
        """Say nothing."""

    def read_body(self) -> bytes:
        """The request's whole body, by length or in chunks."""
        if "chunked" in self.headers.get("Transfer-Encoding", "").lower():
            return self._read_chunks()
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def _read_chunks(self) -> bytes:
        body = bytearray()
        while size := int(self.rfile.readline().partition(b";")[0], 16):
            body += self.rfile.read(size)
            self.rfile.readline()
        while self.rfile.readline().strip():
            pass
        return bytes(body)

    def answer(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Write one whole answer."""
        self.wfile.write(encode_answer(status, body, headers or {}))


def encode_answer(status: int, body: bytes, headers: dict[str, str], length: int | None = None) -> bytes:
    """The bytes of a whole answer; `length` may state another length than the body has."""
    lines = [f"HTTP/1.1 {status} Stand-In"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
