"""Kill a writing process at random, many times, and read what it left: whole, a valid prefix, or nothing; never more.

    .venv/bin/python benchmarks/kills.py --kills 1000 --jobs 8

Each writer numbers its states, writes checkpoints and changes without pause, and tells on a pipe what is safe.
After its SIGKILL the folder must hold a state that was written, no older than the last that was told to be safe.
"""

from __future__ import annotations

import argparse
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from iristrack.store.state_store import StateStore  # noqa: E402

MOST_WAIT_S = 0.08  # a writer lives so long at most once it has begun


def write(folder: str) -> None:
    """The writer: state n is a checkpoint of n and n derived numbers, or a change that says n."""
    store = StateStore(folder, "kills", lambda text: print(text, file=sys.stderr))
    found = store.open()
    n = last(found.records + found.changes)
    out = sys.stdout.fileno()
    while True:
        n += 1
        store.checkpoint([("n", n), *(("row", [n, i, "x" * 200]) for i in range(40))])
        os.write(out, b"%d\n" % n)
        for _ in range(6):
            n += 1
            store.append([("n", n), ("row", [n, 0, "y" * 300])])
            if store.sync():
                os.write(out, b"%d\n" % n)


def last(records: list) -> int:
    """The newest state that is whole in `records`; raises AssertionError for what was never written."""
    n = 0
    for i, (kind, body) in enumerate(records):
        if kind == "n":
            assert body == n + 1 or i == 0, f"state {body} behind {n}"
            n = body
        else:
            assert kind == "row" and body[0] == n, f"a row of state {body[0]} behind {n}"
    return n


def kill_often(count: int, seed: int) -> int:
    """Kill `count` writers, one after the other, in one folder; how often it held a state."""
    draw = random.Random(seed)
    kept = 0
    with tempfile.TemporaryDirectory() as folder:
        safe = 0
        for _ in range(count):
            command = [sys.executable, __file__, "--write", folder]
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            first = process.stdout.readline()  # it has begun
            time.sleep(draw.random() * MOST_WAIT_S)
            process.send_signal(signal.SIGKILL)
            told = (first + process.stdout.read()).split(b"\n")[:-1]
            process.wait()
            safe = max([safe, *map(int, told)])
            store = StateStore(folder, "kills", print)
            found = store.open()
            store.close()
            n = last(found.records + found.changes)
            kept += found.generation >= 0
            assert n >= safe, f"state {safe} was safe, {n} was found"
            safe = n
    return kept


def main() -> int:
    """Kill and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--write", help=argparse.SUPPRESS)
    chosen = parser.parse_args()
    if chosen.write:
        write(chosen.write)
    if not (1 <= chosen.kills <= 100_000 and 1 <= chosen.jobs <= 64):
        parser.error("--kills 1 to 100000, --jobs 1 to 64")
    each = [chosen.kills // chosen.jobs + (i < chosen.kills % chosen.jobs) for i in range(chosen.jobs)]
    with ThreadPoolExecutor(chosen.jobs) as pool:
        kept = sum(pool.map(kill_often, each, range(chosen.jobs)))
    print(
        f"{chosen.kills} kills: {kept} folders read to a state that was written, none older than what was safe"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
