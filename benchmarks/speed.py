"""How fast the emulator is: a 60 s day of 5 sidecars, 14 servers and 270 requests a second, and where its time goes.

.venv/bin/python benchmarks/speed.py            # CPU seconds, five runs
.venv/bin/python benchmarks/speed.py --profile  # the functions that take most
"""

from __future__ import annotations

import argparse
import cProfile
import gc
import pstats
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from iristrack.emulator.plan import draw  # noqa: E402
from iristrack.emulator.scenario import read  # noqa: E402
from iristrack.emulator.world import World  # noqa: E402
from iristrack.lab import runner  # noqa: E402

DAY = """
[pool]
count = 14
connections = {handshake_work_ms = 20}
key_memory = {gain = 0.4, span_s = 5, keys_per_core = 30}
models = [{name = "quick", share = 0.4, speed = 2.0, speed_cv = 0.1}, {name = "plain", share = 0.6, speed = 1.0}]
[network]
jitter = 0.2
[traffic]
rate = 270
[sidecars]
count = 5
[[sites]]
name = "a"
[[sites]]
name = "b"
[[sites]]
name = "c"
[[classes]]
name = "view"
work_ms = 87
worth = 2
late_worth = 0.5
[[classes]]
name = "pay"
work_ms = 100
work_form = "lognormal"
worth = 5
repeat = "guarded"
group = "zone"
memory_s = 6
"""


def once() -> tuple[float, World]:
    """CPU seconds of one day."""
    world = World(draw(read(DAY), 1), runner.maker("iristrack"))
    began = time.process_time()
    world.run()
    return time.process_time() - began, world


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--profile", action="store_true")
    chosen = parser.parse_args()
    gc.set_threshold(runner.GC_THRESHOLD, 20, 20)
    if chosen.profile:
        profile = cProfile.Profile()
        profile.runcall(once)
        pstats.Stats(profile).sort_stats("tottime").print_stats(20)
        return 0
    seconds = []
    for _ in range(5):
        took, world = once()
        seconds.append(took)
    asked, calls = world.clients.asked, world.queue.ran
    print(f"{asked} requests, {calls} calls of the queue, {world.ledger.count} records")
    print(f"CPU seconds: {', '.join(f'{s:.2f}' for s in seconds)}; median {sorted(seconds)[2]:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
