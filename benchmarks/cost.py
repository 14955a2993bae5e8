"""The cost of a request: CPU a request, requests a second and latency, with the daemon on one core.

Stand-in pool servers (answering after `--work-ms`) and discovery on loopback, the real daemon pinned to one core, and
an open-loop load at a fixed rate: each connection has its intended send times, and a latency runs from the intended
start, so that a slow daemon cannot hide its queue (wrk2's way). Percentiles come from hdrhistogram (extra `lab`).

    .venv/bin/python benchmarks/cost.py                                # 128 connections, 1,500 a second, 8 s
    .venv/bin/python benchmarks/cost.py --connections 8 128 1000 4000 --rate 0  # 0: offer three times what is served
    .venv/bin/python benchmarks/cost.py --against db503f3 --runs 3     # both revisions, alternating, and their ratio

CPU is the daemon's time on a processor (`/proc/PID/schedstat`) over the measured window, divided by the answers in it.
Every process that this starts ends with it; `--against` adds a git worktree in a temporary folder and removes it.
"""

from __future__ import annotations

import argparse
import contextlib
import heapq
import json
import multiprocessing
import os
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from http.server import ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "examples"))
import toy  # noqa: E402

HOST = "127.0.0.1"
POOL = 4
START_S = 20.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
LOAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 25\r\n\r\nTEXT util=0.1, inflight=1"
SERVE = ("serve", "--log-level", "WARNING")
FLOOR = "floor"  # the name of benchmarks/passthrough.py's plays
MOST_CONNECTIONS = 8000  # a bound on what one play opens


def _take(buffer: bytearray) -> bytes | None:
    """The lower-cased head of the next whole message in `buffer`, which loses it; None until one is whole.

    The stand-ins' own framing, for the messages that they and the daemon send: a head and a `Content-Length` body.
    """
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = bytes(buffer[:end]).lower()
    length = 0
    if (at := head.find(b"content-length:")) >= 0:
        length = int(head[at + 15 :].split(b"\r\n", 1)[0])
    if len(buffer) < end + 4 + length:
        return None
    del buffer[: end + 4 + length]
    return head


def _pool(listeners: list[socket.socket], work_s: float, stop: multiprocessing.synchronize.Event) -> None:
    """Pool servers in one process: each request is answered `work_s` after it is whole; probes at once."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's to handle: it ends this by `stop`
    chosen = selectors.DefaultSelector()
    for listener in listeners:
        listener.setblocking(False)
        chosen.register(listener, selectors.EVENT_READ, None)
    buffers: dict[socket.socket, bytearray] = {}
    due: list[tuple[float, int, socket.socket, bytes]] = []
    order = 0
    while not stop.is_set():
        wait = 0.05 if not due else max(0.0, due[0][0] - time.monotonic())
        for key, _ in chosen.select(wait):
            if key.data is None:
                try:
                    sock, _ = key.fileobj.accept()
                except OSError:
                    continue
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                buffers[sock] = bytearray()
                chosen.register(sock, selectors.EVENT_READ, True)
                continue
            sock = key.fileobj
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            if not data:
                chosen.unregister(sock)
                buffers.pop(sock, None)
                sock.close()
                continue
            buffer = buffers[sock]
            buffer += data
            while (head := _take(buffer)) is not None:
                probe = head.startswith((b"get /_load", b"get /ping"))
                order += 1
                heapq.heappush(
                    due, (time.monotonic() + (0 if probe else work_s), order, sock, LOAD if probe else ANSWER)
                )
        now = time.monotonic()
        while due and due[0][0] <= now:
            _, _, sock, answer = heapq.heappop(due)
            if sock in buffers:
                with contextlib.suppress(OSError):
                    sock.sendall(answer)


def _load(
    daemon: int,
    port: int,
    connections: int,
    rate: float,
    began: float,
    seconds: float,
    warm_s: float,
    close: bool,
    pipe,
) -> None:
    """Open-loop load: each connection sends at its own intended times, one request out at a time.

    Sends `(statuses and latencies in µs of the requests meant to start in the measured window, as an encoded
    histogram; answers that came in it; the daemon's CPU nanoseconds over it)`.
    """
    from hdrh.histogram import HdrHistogram

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's to handle: it terminates this
    histogram = HdrHistogram(1, 60_000_000, 3)
    chosen = selectors.DefaultSelector()
    every = connections / rate
    measured_from, ends = began + warm_s, began + warm_s + seconds
    state: list[list] = []
    due: list[tuple[float, int]] = []  # the intended times of connections with nothing out
    out = 0
    for number in range(connections):
        sock = _connect(port)
        # [sock, next intended time, intended time of the one out (0 if none), buffer, number]
        entry = [sock, began + every * number / connections, 0.0, bytearray(), number]
        state.append(entry)
        due.append((entry[1], number))
        chosen.register(sock, selectors.EVENT_READ, entry)
    statuses: dict[int, int] = {}
    answered = 0
    cpu = [-1, -1]
    sequence = 0
    while True:
        now = time.monotonic()
        if now >= ends + 2.0:
            break
        if now >= measured_from and cpu[0] < 0:
            cpu[0] = _cpu_ns(daemon)
        if now >= ends and cpu[1] < 0:
            cpu[1] = _cpu_ns(daemon)
        while due and due[0][0] <= now:
            _, number = heapq.heappop(due)
            entry = state[number]
            sequence += 1
            request = (
                f"GET /api/venue-{sequence % 64} HTTP/1.1\r\nHost: sidecar\r\n"
                f"X-Call-Id: c{os.getpid()}-{sequence}\r\n"
                "X-Call-Class: share-view\r\nX-Caller: northfield\r\nX-Budget: 1200m\r\n"
                f"{'Connection: close' if close else 'X-Odd: 1'}\r\n\r\n"
            ).encode()
            try:
                entry[0].send(request)
            except OSError:
                statuses[0] = statuses.get(0, 0) + 1
                continue
            entry[2], entry[1] = entry[1], entry[1] + every
            out += 1
        if now >= ends and not out:
            break
        soonest = due[0][0] if due else ends + 2.0
        for key, _ in chosen.select(max(0.0, min(soonest - time.monotonic(), 0.01))):
            entry = key.data
            try:
                data = entry[0].recv(65536)
            except OSError:
                data = b""
            if not data:
                chosen.unregister(entry[0])
                out -= entry[2] != 0.0
                entry[2], entry[1] = 0.0, float("inf")
                statuses[-1] = statuses.get(-1, 0) + 1
                continue
            buffer = entry[3]
            buffer += data
            while (head := _take(buffer)) is not None:
                done = time.monotonic()
                status = int(head[9:12])
                if measured_from <= entry[2] < ends:
                    statuses[status] = statuses.get(status, 0) + 1
                    histogram.record_value(max(1, int((done - entry[2]) * 1e6)))
                answered += measured_from <= done < ends
                entry[2] = 0.0
                out -= 1
                if close:  # a new connection for each request: its handshake and accept are part of the cost
                    chosen.unregister(entry[0])
                    entry[0].close()
                    entry[0] = _connect(port)
                    buffer.clear()
                    chosen.register(entry[0], selectors.EVENT_READ, entry)
                if entry[1] < ends:
                    heapq.heappush(due, (entry[1], entry[4]))
    for entry in state:
        entry[0].close()
    pipe.send((statuses, histogram.encode(), answered, cpu[1] - cpu[0]))


def _connect(port: int) -> socket.socket:
    sock = socket.create_connection((HOST, port), timeout=5)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _cpu_ns(pid: int) -> int:
    with open(f"/proc/{pid}/schedstat") as file:
        return int(file.read().split()[0])


@dataclass
class Play:
    """The figures of one play: µs of CPU a request, answers a second, latency in ms, statuses by count."""

    revision: str
    connections: int
    rate: float
    answers: int
    per_s: float
    cpu_us: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    statuses: dict[int, int]


class _Quiet(ThreadingHTTPServer):
    def handle_error(self, request: object, client_address: object) -> None:
        """A daemon that hangs up on a long poll at its end is no fault of the benchmark's."""


class Platform:
    """Discovery and the stand-in pool servers, shared by every play of a run."""

    def __init__(self, work_ms: float) -> None:
        """Start them; pool servers answer `work_ms` after a request is whole."""
        self.table = toy.Table()
        listeners = [socket.create_server((HOST, 0), backlog=1024) for _ in range(POOL)]
        self.ports = [listener.getsockname()[1] for listener in listeners]
        for number, listener in enumerate(listeners):
            self.table.put(f"pool-{number + 1}", listener.getsockname()[1], "in_service")
        self.stop = multiprocessing.Event()
        self.process = multiprocessing.Process(
            target=_pool, args=(listeners, work_ms / 1e3, self.stop), daemon=True
        )
        self.process.start()
        for listener in listeners:
            listener.close()
        self.discovery = _Quiet((HOST, 0), toy.discovery(self.table))
        threading.Thread(target=self.discovery.serve_forever, daemon=True).start()

    def close(self) -> None:
        """End what `__init__` started."""
        self.stop.set()
        self.process.join(5)
        self.discovery.shutdown()


def _daemon(
    folder: Path,
    platform: Platform,
    core: int,
    sockets: int,
    memory_mb: int,
    logs: Path,
    profile: str | None,
    floor: bool = False,
) -> tuple[subprocess.Popen, int]:
    with socket.create_server((HOST, 0)) as probe:
        port = probe.getsockname()[1]
    config = json.loads((ROOT / "examples" / "config.json").read_text())
    config.pop("admin_addr", None)
    config["listen"] = f"{HOST}:{port}"
    config["discovery"] = f"{HOST}:{platform.discovery.server_address[1]}"
    config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    for org in config["settings"]["orgs"]:
        org["quota_per_s"] = 1e6
    path = logs / f"config-{port}.json"
    path.write_text(json.dumps(config))
    log = open(logs / f"daemon-{port}.log", "w")  # noqa: SIM115 (it lives as long as the daemon)
    profiled = ["-m", "cProfile", "-o", profile] if profile else []
    command = [sys.executable, *profiled, "-m", "iristrack", *SERVE]
    if floor:
        pool = f"{HOST}:{platform.ports[0]}"
        command = [
            sys.executable,
            *profiled,
            str(ROOT / "benchmarks" / "passthrough.py"),
            "--listen",
            config["listen"],
        ]
        command += ["--pool", pool]
    process = subprocess.Popen(
        command,
        cwd=folder,
        env={k: v for k, v in os.environ.items() if k != "TMPDIR"}
        | {"NODE_CONFIG": str(path), "PYTHONPATH": str(folder)},
        stderr=log,
    )
    os.sched_setaffinity(process.pid, {core})
    end = time.monotonic() + START_S
    while time.monotonic() < end and process.poll() is None:
        try:
            with socket.create_connection((HOST, port), timeout=2) as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                if sock.recv(64).startswith(b"HTTP/1.1 200"):
                    return process, port
        except OSError:
            pass
        time.sleep(0.05)
    process.kill()
    raise SystemExit(f"cost: the daemon at {folder} did not become ready; see {logs}")


def play(revision: str, folder: Path, platform: Platform, connections: int, rate: float, chosen) -> Play:
    """One daemon, one load, the figures of its measured window."""
    from hdrh.histogram import HdrHistogram

    process, port = _daemon(
        folder,
        platform,
        chosen.core,
        chosen.sockets,
        chosen.memory_mb,
        chosen.logs,
        chosen.profile,
        revision == FLOOR,
    )
    pipes: list = []
    loads: list[multiprocessing.Process] = []
    try:
        generators = max(1, min(4, connections // 500))
        began = time.monotonic() + 0.5 + connections / 1000  # time to connect
        for number in range(generators):
            share = connections // generators + (number < connections % generators)
            mine, theirs = multiprocessing.Pipe(duplex=False)
            load = multiprocessing.Process(
                target=_load,
                args=(
                    process.pid,
                    port,
                    share,
                    rate * share / connections,
                    began,
                    chosen.seconds,
                    chosen.warm,
                    chosen.close,
                    theirs,
                ),
            )
            load.start()
            pipes.append(mine)
            loads.append(load)
        histogram = HdrHistogram(1, 60_000_000, 3)
        statuses: dict[int, int] = {}
        answers = cpu = 0
        for pipe, load in zip(pipes, loads, strict=True):
            counted, encoded, answered, used = pipe.recv()
            cpu = cpu or used  # the same daemon, seen by each
            load.join(10)
            histogram.decode_and_add(encoded)
            answers += answered
            for status, count in counted.items():
                statuses[status] = statuses.get(status, 0) + count
    finally:
        for load in loads:
            if load.is_alive():
                load.terminate()
        process.terminate()
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
    per_s = answers / chosen.seconds
    return Play(
        revision,
        connections,
        rate,
        answers,
        per_s,
        cpu / 1e3 / max(1, answers),
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
        histogram.get_value_at_percentile(99.9) / 1e3,
        statuses,
    )


def main() -> int:
    """Play each size and revision; 0 once all were played."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--connections", type=int, nargs="+", default=[128], help="one play each (default 128)"
    )
    parser.add_argument(
        "--rate", type=float, default=1500.0, help="requests a second offered; 0: three times capacity"
    )
    parser.add_argument("--seconds", type=float, default=8.0, help="the measured window (default 8)")
    parser.add_argument("--warm", type=float, default=2.0, help="seconds before it (default 2)")
    parser.add_argument("--work-ms", type=float, default=2.0, help="how long a pool server takes (default 2)")
    parser.add_argument("--against", help="a second revision, played alternately with this checkout")
    parser.add_argument("--close", action="store_true", help="a new connection for each request")
    parser.add_argument(
        "--floor", action="store_true", help="play the plain pass-through too (passthrough.py)"
    )
    parser.add_argument("--runs", type=int, default=1, help="plays of each revision and size (default 1)")
    parser.add_argument("--core", type=int, default=0, help="the core of the daemon (default 0)")
    parser.add_argument(
        "--sockets", type=int, default=16384, help="the daemon's `limits.sockets` (default 16384)"
    )
    parser.add_argument(
        "--memory-mb",
        type=int,
        default=1200,
        help="the daemon's `limits.memory_mb`, which bounds connections too",
    )
    parser.add_argument(
        "--profile", metavar="FILE", help="run the daemon under cProfile and write its stats here"
    )
    chosen = parser.parse_args()
    if chosen.profile:
        chosen.profile = str(Path(chosen.profile).resolve())
    if not 1 <= chosen.runs <= 10 or not 0.5 <= chosen.seconds <= 120 or chosen.rate < 0:
        parser.error("--runs lies in 1..10, --seconds in 0.5..120, --rate is not negative")
    if any(not 1 <= n <= MOST_CONNECTIONS for n in chosen.connections):
        parser.error(f"--connections lie in 1..{MOST_CONNECTIONS}")
    if chosen.core not in os.sched_getaffinity(0):
        parser.error(f"--core {chosen.core} is not one that this process may use")
    others = os.sched_getaffinity(0) - {chosen.core}
    os.sched_setaffinity(0, others or {chosen.core})  # the load and the stand-ins keep off the daemon's core
    with tempfile.TemporaryDirectory(prefix="iristrack-cost-") as scratch:
        chosen.logs = Path(scratch)
        revisions = [("this", ROOT)] + ([(FLOOR, ROOT)] if chosen.floor else [])
        if chosen.against:
            other = Path(scratch) / "against"
            adding = ["git", "-C", str(ROOT), "worktree", "add", "-q", "--detach", str(other), chosen.against]
            if subprocess.run(adding, capture_output=True, check=False).returncode:
                print(f"cost: {chosen.against!r} is no revision of this repository", file=sys.stderr)
                return 2
            revisions.append((chosen.against, other))
        platform = Platform(chosen.work_ms)
        plays: list[Play] = []
        try:
            for connections in chosen.connections:
                rate = chosen.rate
                if rate == 0:  # find what is served, then offer three times that
                    rate = 3 * play("this", ROOT, platform, connections, 4000.0, chosen).per_s
                for _ in range(chosen.runs):
                    for name, folder in revisions:
                        result = play(name, folder, platform, connections, rate, chosen)
                        plays.append(result)
                        print(
                            f"{result.revision:>10} {connections:5d} conn  offered {rate:7.0f}/s  "
                            f"served {result.per_s:7.0f}/s  "
                            f"CPU {result.cpu_us:6.1f} µs/tx  p50 {result.p50_ms:7.2f} p99 {result.p99_ms:7.2f} "
                            f"p99.9 {result.p999_ms:7.2f} ms  {dict(sorted(result.statuses.items()))}",
                            flush=True,
                        )
        except KeyboardInterrupt:
            print("cost: stopped", file=sys.stderr)
            return 130
        finally:
            platform.close()
            if chosen.against:
                subprocess.run(
                    ["git", "-C", str(ROOT), "worktree", "remove", "--force", str(other)], check=False
                )
        if chosen.against:
            for connections in chosen.connections:
                mine = [p for p in plays if p.connections == connections and p.revision == "this"]
                theirs = [p for p in plays if p.connections == connections and p.revision == chosen.against]
                cpu = sum(p.cpu_us for p in mine) / sum(p.cpu_us for p in theirs)
                served = sum(p.per_s for p in mine) / sum(p.per_s for p in theirs)
                print(
                    f"{connections:5d} conn: CPU a request {cpu:.2f} of {chosen.against}'s, served {served:.2f}x"
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
