"""Memory of `serve` at rest and with bodies of 32 MB under way in both directions, from repeated runs.

    .venv/bin/python benchmarks/long.py --runs 3 --at-once 24 --memory-mb 40

Half of the transfers are answers to clients that read slowly, half bodies to pool servers that do. Every run starts
the program anew, ends by itself and prints a line: resident memory at rest and at its highest, in MB, and the time.
"""

from __future__ import annotations

import argparse
import socket
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from stage import Discovery, Program, call  # noqa: E402

SIZE = 32 << 20
PIECE = 256 * 1024
PAUSE_S = 0.02
BLOCK = b"tips" * (PIECE // 4)


def memory_mb(program: Program, name: str) -> float:
    """A figure of the process's own status: VmRSS now, VmHWM at its highest."""
    lines = Path(f"/proc/{program.process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(name)) / 1024


def drain(sock: socket.socket, wanted: int) -> int:
    """Read slowly; how many bytes came."""
    got = 0
    while got < wanted and (data := sock.recv(PIECE)):
        got += len(data)
        time.sleep(PAUSE_S)
    return got


def pool_server() -> str:
    """Answers GET with 32 MB, and takes a body slowly; one request a connection. Its address."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)

    def serve(sock: socket.socket) -> None:
        with suppress(OSError):
            answer(sock)

    def answer(sock: socket.socket) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += sock.recv(4096)
        if head.startswith(b"GET"):
            sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % SIZE)
            for _ in range(SIZE // PIECE):
                sock.sendall(BLOCK)
        else:
            drain(sock, SIZE - len(head.partition(b"\r\n\r\n")[2]))
            sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone")
        sock.close()

    def accept() -> None:
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def transfer(port: int, number: int, whole: list[bool]) -> None:
    """One request with 32 MB; whether it came whole."""
    with suppress(OSError), socket.create_connection(("127.0.0.1", port), timeout=60) as sock:
        if number % 2:
            sock.sendall(call(f"r{number}", "view", key=f"k{number}"))
            whole.append(drain(sock, SIZE) >= SIZE)
        else:
            head = call(f"r{number}", "pay", key=f"k{number}")
            sock.sendall(head.replace(b"Content-Length: 0", b"Content-Length: %d" % SIZE))
            for _ in range(SIZE // PIECE):
                sock.sendall(BLOCK)
            whole.append(sock.recv(4096).endswith(b"done"))


def main() -> int:
    """Run and print; 1 where a transfer did not come whole."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--at-once", type=int, default=24)
    parser.add_argument("--memory-mb", type=int, default=40)
    chosen = parser.parse_args()
    if not (1 <= chosen.runs <= 20 and 2 <= chosen.at_once <= 64 and 16 <= chosen.memory_mb <= 1024):
        parser.error("--runs 1 to 20, --at-once 2 to 64, --memory-mb 16 to 1024")
    failed = 0
    for run in range(chosen.runs):
        discovery = Discovery()
        for i in range(4):
            discovery.put(f"s{i}", pool_server())
        limits = {"cores": 1.0, "memory_mb": chosen.memory_mb, "sockets": 256}
        with tempfile.TemporaryDirectory() as folder:
            program = Program(Path(folder), discovery, limits=limits)
            rest, began, whole = memory_mb(program, "VmRSS"), time.monotonic(), []
            threads = [
                threading.Thread(target=transfer, args=(program.port, i, whole), daemon=True)
                for i in range(chosen.at_once)
            ]
            try:
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                most, took = memory_mb(program, "VmHWM"), time.monotonic() - began
            finally:
                program.process.terminate()
                program.process.wait(30)
        failed += chosen.at_once - sum(whole)
        print(
            f"run {run + 1}: at rest {rest:.1f} MB, highest {most:.1f} MB,"
            f" {sum(whole)} of {chosen.at_once} x 32 MB whole, {took:.1f} s",
            flush=True,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit("stopped")
