"""The floor of `cost.py`: the daemon's scheduler and parsers, passing requests on with no decisions.

This file owns a benchmark's stand-in only. It must never be started by the platform: it has no module, no retries,
no limits and no rules; one task a client connection passes each whole request to one pool server over one kept
connection and the whole answer back. `GET /_health` is answered 200, as the daemon's is.

    .venv/bin/python benchmarks/passthrough.py --listen 127.0.0.1:9000 --pool 127.0.0.1:9100
"""

from __future__ import annotations

import argparse
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from iristrack.config import read_address
from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import READ, WRITE, Scheduler, clock, open_listener, send_all

STALL_NS = 10 * 10**9  # any wait longer than this ends the connection
RECEIVE = 65536


def _read(scheduler: Scheduler, sock: socket.socket, reader: http.Reader) -> http.Message | None:
    """The next whole message on `sock`; None when it ends."""
    message = reader.feed(b"")
    while message is None:
        scheduler.wait(sock.fileno(), READ, clock() + STALL_NS)
        try:
            data = sock.recv(RECEIVE)
        except BlockingIOError:
            continue
        if not data:
            return None
        message = reader.feed(data)
    return message


def _write(scheduler: Scheduler, sock: socket.socket, data: bytes) -> None:
    send_all(sock, data, lambda: scheduler.wait(sock.fileno(), WRITE, clock() + STALL_NS))


def _client(scheduler: Scheduler, sock: socket.socket, pool: tuple[str, int]) -> None:
    """Pass one client's requests on, one after the other, until either side ends."""
    upstream = None
    try:
        requests, answers = http.Reader(), http.Reader(response=True)
        while (message := _read(scheduler, sock, requests)) is not None:
            head = message.head
            if head.target == b"/_health":
                _write(scheduler, sock, http.response(200))
                continue
            if upstream is None:
                upstream = socket.create_connection(pool, timeout=2)
                upstream.setblocking(False)
                upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            lines = head.passed_on(frozenset())
            _write(scheduler, upstream, http.request(head.method, head.target, lines, message.body))
            answer = _read(scheduler, upstream, answers)
            if answer is None:
                return
            _write(scheduler, sock, http.response(answer.head.status, answer.body))
    except (OSError, TimeoutError, http.Malformed):
        return
    finally:
        sock.close()
        if upstream is not None:
            upstream.close()


def main() -> int:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", required=True, help="host:port to listen on")
    parser.add_argument("--pool", required=True, help="host:port of the one pool server")
    chosen = parser.parse_args()
    try:
        listen, pool = read_address(chosen.listen), read_address(chosen.pool)
    except ValueError as fault:
        parser.error(str(fault))
    scheduler = Scheduler()
    listener = open_listener(listen, 1024)

    def accept() -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        scheduler.spawn("client", _client, scheduler, sock, pool)

    scheduler.watch(listener.fileno(), accept)
    for number in (signal.SIGTERM, signal.SIGINT):  # either ends it within the loop's longest wait, 1 s
        signal.signal(number, lambda *_: scheduler.stop())
    scheduler.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
