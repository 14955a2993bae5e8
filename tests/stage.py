"""What stands round the real program in its tests: discovery, pool servers and a client."""

from __future__ import annotations

import itertools
import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from iristrack.http1 import messages as http
from iristrack.runtime.scheduler import Scheduler, clock

ROOT = Path(__file__).parent.parent
PATIENCE_S = 60.0  # how long a test waits for what must come: only a failing one waits so long

Handler = Callable[[http.Message, socket.socket], bytes | None]


def until(holds: Callable[[], object]) -> None:
    end = time.monotonic() + PATIENCE_S
    while not holds():
        assert time.monotonic() < end, "it did not come about"
        time.sleep(0.005)


def turn_until(scheduler: Scheduler, holds: Callable[[], object]) -> None:
    """Turn a loop of this process until it holds."""
    end = time.monotonic() + PATIENCE_S
    seen: list[object] = []  # the loop itself would log what is raised, and go on

    def look() -> None:
        try:
            held = holds() or (time.monotonic() > end and AssertionError("it did not come about"))
        except Exception as fault:
            held = fault
        if held:
            seen.append(held)
            scheduler.stop()
        else:
            scheduler.call_at(clock() + 10**6, look)

    scheduler._stopped = False
    look()
    scheduler.run()
    if not seen:  # what was tested ended the loop
        assert holds()
    elif isinstance(seen[0], Exception):
        raise seen[0]


class Listener:
    """Serves each connection in a thread; `handler` gives an answer's bytes, or None to say nothing."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.heads: list[http.Head] = []
        self.opened = 0
        self.open: list[socket.socket] = []
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.opened += 1
            self.open.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = http.Reader(limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)
        try:
            while data := sock.recv(65536):
                message = reader.feed(data)
                while message is not None:
                    self.heads.append(message.head)
                    answer = self.handler(message, sock)
                    if answer is not None:
                        sock.sendall(answer)
                    message = reader.feed(b"")
        except OSError:
            pass
        finally:
            self.open.remove(sock)
            sock.close()

    def close(self) -> None:
        """Refuse connections from now on; closing alone would let the waiting thread take one more."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def ids(self) -> list[str]:
        return [head.fields[b"x-call-id"].decode() for head in list(self.heads)]


def serve(message: http.Message, sock: socket.socket) -> bytes:
    return http.response(200, b"did " + message.body)


def reject(message: http.Message, sock: socket.socket) -> bytes:
    return http.response(503, b"", b"X-Rejected: 1\r\n")


def error(message: http.Message, sock: socket.socket) -> bytes:
    return http.response(500, b"sorry")


def silent(message: http.Message, sock: socket.socket) -> None:
    return None


def reset(message: http.Message, sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_RDWR)


def truncated(message: http.Message, sock: socket.socket) -> bytes:
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    sock.shutdown(socket.SHUT_WR)
    return b""


class Discovery(Listener):
    """The agent: the list at once, changes to those that wait. While `quiet` it says nothing."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.members: dict[str, tuple[int, dict]] = {}
        self.revision = 1
        self.quiet = False
        self.changed = threading.Condition()

    def put(self, server: str, address: str, phase: str = "in_service", **more: object) -> None:
        member = {"id": server, "host_port": address, "locality": "a", "cell": 1, "phase": phase, "size": 1.0}
        with self.changed:
            self.revision += 1
            self.members[server] = self.revision, member | {"up_since_ms": 0} | more
            self.changed.notify_all()

    def table(self, after: int = -1) -> dict:
        members = [m for at, m in self.members.values() if at > after]
        return {"revision": self.revision, "complete": after < 0, "members": members}

    def _answer(self, message: http.Message, sock: socket.socket) -> bytes | None:
        path, _, query = message.head.target.partition(b"?")
        assert path == b"/catalog/members"
        asked = dict(part.split(b"=") for part in query.split(b"&")) if query else {}
        after = int(asked.get(b"index", -1))
        with self.changed:
            if asked:
                self.changed.wait_for(lambda: self.revision > after, int(asked[b"wait"]) / 1000)
            if self.quiet:
                return None
            return http.response(200, json.dumps(self.table(after)).encode())


SETTINGS = {
    "classes": [
        {
            "name": "view", "promise_ns": 2 * 10**9, "deadline_ns": 30 * 10**9, "repeat": "free",
            "late_share": 0.5,
        },
        {
            "name": "pay", "promise_ns": 2 * 10**9, "deadline_ns": 30 * 10**9, "repeat": "guarded",
            "group": "zone", "memory_span_ns": 25 * 10**9, "late_share": 0.5,
        },
    ],
    "orgs": [{"name": "north", "fraction": 1.0, "quota_per_s": 100.0}],
    "allowed": {
        "attempts_cap": 5, "cancel": True, "retry_after": True, "max_retry_after_ns": 600 * 10**6,
        "connect_timeout_ns": 5 * 10**9, "conn_idle_ns": 60 * 10**9,
    },
    "contract": {"drain_grace_ns": 2 * 10**9, "answer_slack_ns": 20 * 10**6},
    "balancers": 1, "zone": "a", "resolution_ns": 5 * 10**6, "report": {"fields": ["cpu", "active"]},
    "something_new": {"x": [1, 2]},
}  # fmt: skip


FIRST_PORT, LAST_PORT = 20_000, 32_000  # below those that the system itself gives to sockets
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(os.getpid() * 37 % (LAST_PORT - FIRST_PORT)):  # runs side by side begin apart
    next(_ports)


def free_port() -> int:
    """A port that nobody holds, that no outgoing connection is given, and that this run has not named lately."""
    while True:
        port = next(_ports)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class Program:
    """The real program, started as the deploy file does, on a free port."""

    def __init__(
        self, folder: Path, discovery: Discovery, ready: bool = True, beside: Program | None = None,
        tmpdir: Path | None = None, port: int = 0, **changes: object,
    ) -> None:  # fmt: skip
        """`beside` is the old version that this one takes over from."""
        self.port = beside.port if beside else port or free_port()
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
            "seed": "8c1f30d27a5be964", "known": discovery.table(), "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }  # fmt: skip
        self.config, self.path = config | changes, folder / f"config{bool(beside)}.json"
        self.path.write_text(json.dumps(self.config))
        self.log = folder / f"log{bool(beside)}.txt"
        told = {"NODE_CONFIG": str(self.path), "NODE_DISCOVERY": discovery.address}
        told["TMPDIR"] = str(tmpdir) if tmpdir else ""
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "iristrack", "serve", "--log-level", "DEBUG"],
                cwd=ROOT, env=os.environ | told, stdout=log, stderr=log,
            )  # fmt: skip
        until(lambda: self._says({200} if ready else {200, 503}))

    def _says(self, statuses: set[int]) -> bool:
        assert self.process.poll() is None, self.log.read_text()
        try:
            return Client(self.port).exchange(b"GET /_health HTTP/1.1\r\n\r\n").head.status in statuses
        except OSError:
            return False

    def operators(self, path: str, method: str = "GET") -> http.Message:
        """One call at the door; the program was started with `admin_addr`."""
        port = int(self.config["admin_addr"].rpartition(":")[2])
        return Client(port).exchange(f"{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())

    def says_yes(self) -> bool:
        with suppress(OSError):
            return self.operators("/healthcheck").head.status == 200
        return False

    def figures(self) -> dict[str, int]:
        lines = self.operators("/stats").body.decode().splitlines()
        pairs = (line.removeprefix("node.").split("=") for line in lines)
        return {name: int(value) for name, value in pairs}

    def ask(self, call_id: str, name: str = "view", **more: object) -> http.Message:
        return Client(self.port).exchange(call(call_id, name, **more))


def call(
    call_id: str, name: str = "view", budget: str = "30000m", key: str = "k1", body: bytes = b""
) -> bytes:
    lines = b"X-Call-Id: %b\r\nX-Call-Class: %b\r\nX-Caller: north\r\nX-Budget: %b\r\nX-Odd: a  b\r\n" % (
        call_id.encode(), name.encode(), budget.encode(),
    )  # fmt: skip
    if name == "pay":
        lines += b"Idempotency-Key: key-%b\r\n" % call_id.encode()
    path = b"/api/%b?q=1" % key.encode() if key else b"/api"
    return http.request(b"POST" if name == "pay" else b"GET", path, lines, body)


class Client:
    """One client connection."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)
        self.reader = http.Reader(response=True)

    def exchange(self, data: bytes) -> http.Message:
        self.sock.sendall(data)
        return self.read()

    def read(self) -> http.Message:
        while (message := self.reader.feed(b"")) is None:
            data = self.sock.recv(65536)
            message = self.reader.feed(data) if data else self.reader.end()
            if message is not None:
                return message
            if not data:
                raise ConnectionResetError("closed without an answer")
        return message

    def ended(self) -> bool:
        return self.sock.recv(1) == b""


class Stage:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = Discovery()
        self.pools: dict[str, Listener] = {}
        self.programs: list[Program] = []

    def pool(self, name: str, handler=serve, **more: object) -> Listener:
        self.pools[name] = pool = Listener(handler)
        self.discovery.put(name, pool.address, **more)
        return pool

    def begin(self, name: str, fields: dict) -> Program:
        """One of several processes: a folder, a door and a seed of its own; `fields` stand above the settings."""
        folder = self.folder / name
        folder.mkdir()
        program = Program(
            folder, self.discovery, settings=SETTINGS | fields, admin_addr=f"127.0.0.1:{free_port()}",
            seed=f"{ord(name):x}",
        )  # fmt: skip
        self.programs.append(program)
        return program

    def start(self, **changes: object) -> Program:
        self.programs.append(Program(self.folder, self.discovery, **changes))
        return self.programs[-1]
