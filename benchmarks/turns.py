"""The loop's longest turn with and without the writer of kept state, from repeated runs of the real program.

    .venv/bin/python benchmarks/turns.py --runs 3 --seconds 8

Each run starts the program anew beside stand-ins, sends a bounded load on 16 kept connections, ends it by SIGTERM and
prints what its loop reports said: the longest turn and the CPU time of a request, in ms.
"""

from __future__ import annotations

import argparse
import re
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from stage import Client, Discovery, Listener, Program, call, serve  # noqa: E402

CONNECTIONS = 16
PAUSE_S = 0.05  # between one connection's requests: 16 of them send about 300 a second
REPORT = re.compile(r"cpu ([\d.]+) ms each; worst turn ([\d.]+) ms")


def load(port: int, number: int, until: float) -> None:
    """Ask on one connection, again and again, under new ids and changing keys."""
    client, count = Client(port), 0
    with suppress(OSError):  # the program was stopped: its report tells how far it came
        while time.monotonic() < until:
            count += 1
            name = ("view", "pay")[count % 2]
            client.exchange(call(f"r{number}-{count}", name, key=f"k{(number * 31 + count) % 400}"))
            time.sleep(PAUSE_S)


def played(seconds: float, kept: bool) -> tuple[float, float]:
    """One run: the longest turn and the mean CPU time of a request, in ms."""
    discovery = Discovery()
    for i in range(6):
        discovery.put(f"s{i}", Listener(serve).address)
    with tempfile.TemporaryDirectory() as folder:
        changes = {"state": {"folder": f"{folder}/state"}} if kept else {}
        program = Program(Path(folder), discovery, **changes)
        until = time.monotonic() + seconds
        threads = [
            threading.Thread(target=load, args=(program.port, i, until), daemon=True)
            for i in range(CONNECTIONS)
        ]
        try:
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        finally:
            program.process.terminate()
            program.process.wait(30)
        told = REPORT.findall(program.log.read_text())
    return max(float(turn) for _, turn in told), sum(float(cpu) for cpu, _ in told) / len(told)


def main() -> int:
    """Run in turn, and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=8.0)
    chosen = parser.parse_args()
    if not (1 <= chosen.runs <= 20 and 1 <= chosen.seconds <= 60):
        parser.error("--runs 1 to 20, --seconds 1 to 60")
    for run in range(chosen.runs):
        for kept in (False, True):
            turn, cpu = played(chosen.seconds, kept)
            name = "with" if kept else "without"
            print(
                f"run {run + 1}, {name} the writer: longest turn {turn:.1f} ms, cpu {cpu:.2f} ms", flush=True
            )
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit("stopped")
