"""A toy platform on loopback: discovery on port 8500 and three pool servers on 8081 to 8083.

It makes no load. Each pool server answers with its own name. Lines typed on standard input change the service
table that the sidecar follows: `drain pool-1`, `ready pool-1`, `gone pool-1`.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
DISCOVERY_PORT = 8500
PHASES = {"drain": "terminating", "ready": "in_service", "gone": "terminated"}


class Table:
    """The server list: the latest entry of each pool server, and the revision in which it changed."""

    def __init__(self) -> None:
        """Empty, at revision 0."""
        self.changed = threading.Condition()
        self.revision = 0
        self.members: dict[str, tuple[int, dict]] = {}

    def put(self, name: str, port: int, phase: str) -> None:
        """Set one entry and tell those that wait."""
        with self.changed:
            self.revision += 1
            entry = {"id": name, "host_port": f"{HOST}:{port}", "locality": "toy", "cell": 0, "size": 1.0}
            self.members[name] = self.revision, entry | {"phase": phase, "up_since_ms": 0}
            self.changed.notify_all()

    def answer(self, after: int | None, wait_ms: int) -> bytes:
        """The whole list, or once there are any the changes after a revision."""
        with self.changed:
            if after is not None:
                self.changed.wait_for(lambda: self.revision > after, wait_ms / 1000)
            entries = [
                entry
                for at, entry in self.members.values()
                if (entry["phase"] != "terminated" if after is None else at > after)
            ]
            table = {"revision": self.revision, "complete": after is None, "members": entries}
            return json.dumps(table).encode()


class Handler(BaseHTTPRequestHandler):
    """What discovery and the pool servers share."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def reply(self, status: int, body: bytes) -> None:
        """Answer whole and keep the connection."""
        self.send_response(status)
        self.send_header("Content-Type", "text/plain")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Say nothing for each request."""


def discovery(table: Table) -> type[Handler]:
    """Discovery's handler."""

    class Discovery(Handler):
        def do_GET(self) -> None:
            url = urlsplit(self.path)
            asked = parse_qs(url.query)
            if url.path != "/catalog/members":
                self.reply(404, b"")
                return
            after = int(asked["index"][0]) if "index" in asked else None
            self.reply(200, table.answer(after, int(asked.get("wait", ["0"])[0])))

    return Discovery


def pool_server(name: str) -> type[Handler]:
    """A pool server's handler."""

    class PoolServer(Handler):
        def do_GET(self) -> None:
            if self.path in ("/ping", "/_load"):
                self.reply(200, b"TEXT util=0.1, inflight=1")
                return
            time.sleep(0.02)
            self.reply(200, f"{name} served {self.path} to call {self.headers['X-Call-Id']}\n".encode())

        def do_POST(self) -> None:
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            self.do_GET()

    return PoolServer


def main() -> None:
    """Serve until interrupted."""
    table = Table()
    ports = {f"pool-{i}": 8080 + i for i in (1, 2, 3)}
    servers = [ThreadingHTTPServer((HOST, DISCOVERY_PORT), discovery(table))]
    for name, port in ports.items():
        servers.append(ThreadingHTTPServer((HOST, port), pool_server(name)))
        table.put(name, port, "in_service")
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(
        f"discovery on {HOST}:{DISCOVERY_PORT}, pool servers on {', '.join(map(str, ports.values()))}",
        flush=True,
    )
    for line in sys.stdin:
        word, _, name = line.strip().partition(" ")
        if word in PHASES and name in ports:
            table.put(name, ports[name], PHASES[word])
        else:
            print(f"say one of {', '.join(PHASES)} and one of {', '.join(ports)}", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        sys.exit(0)
