"""Soaks by hand.

    python3 -m iristrack.standin.soak --seeds 50 --first 1 --jobs 3 [--edges 2] [--cores 3] [--seconds 12]

Each seed is a system of its own. One line a seed, then what was found; the exit status is 1 where anything was. The
logs of a seed with findings are kept in the folder that is told.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from iristrack.standin.soak.run import Sizes, SoakResult, soak

MOST_SEEDS = 10_000
MOST_JOBS = 16
MOST_CORES = 9
MOST_EDGES = 120
MOST_SERVERS = 64
MOST_CLIENTS = 400
MOST_SECONDS = 3600
LEAST_GAP_S = 0.01
EXIT_FOUND = 1
EXIT_UNUSABLE = 2
EXIT_STOPPED = 130


def main() -> int:
    """Run the soaks; returns the exit status."""
    chosen = _parser().parse_args()
    fault = _fault(chosen)
    if fault is not None:
        print(f"soak: {fault}", file=sys.stderr)
        return EXIT_UNUSABLE
    sizes = Sizes(chosen.cores, chosen.edges, chosen.servers, chosen.clients, chosen.seconds, chosen.gap)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    try:
        failed = _play(seeds, sizes, chosen.jobs)
    except KeyboardInterrupt:
        print("soak: stopped", file=sys.stderr)
        return EXIT_STOPPED
    print(f"{len(seeds)} seeds, {failed} with findings")
    return EXIT_FOUND if failed else 0


def _fault(chosen: argparse.Namespace) -> str | None:
    """What is wrong with the arguments, in one line; None where nothing is."""
    bounds = {
        "jobs": MOST_JOBS,
        "cores": MOST_CORES,
        "edges": MOST_EDGES,
        "servers": MOST_SERVERS,
        "clients": MOST_CLIENTS,
        "seeds": MOST_SEEDS,
    }
    for name, most in bounds.items():
        if not 1 <= getattr(chosen, name) <= most:
            return f"--{name} takes 1 to {most}"
    if not 0 < chosen.seconds <= MOST_SECONDS:
        return f"--seconds takes more than 0, up to {MOST_SECONDS}"
    if not LEAST_GAP_S <= chosen.gap <= MOST_SECONDS:
        return f"--gap takes {LEAST_GAP_S} to {MOST_SECONDS}"
    return None


def _play(seeds: range, sizes: Sizes, jobs: int) -> int:
    """Play the seeds and print what came of each; how many had findings."""
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        running = [pool.submit(_one, seed, sizes) for seed in seeds]
        for future in as_completed(running):
            result = future.result()
            failed += bool(result.found)
            print(f"seed {result.seed}: {result.summary}", flush=True)
            for text in result.found:
                print(f"  FOUND {text}", flush=True)
            if result.found:
                print(f"  logs in {result.folder}", flush=True)
    return failed


def _one(seed: int, sizes: Sizes) -> SoakResult:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        return soak(seed, sizes, folder)
    except KeyboardInterrupt:  # Ctrl-C reaches these processes too; the system has been ended by then
        return SoakResult(seed, "stopped", (), folder)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--edges", type=int, default=2)
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=12.0, help="for which troubles come")
    parser.add_argument("--gap", type=float, default=0.3, help="seconds between troubles, on average")
    return parser


if __name__ == "__main__":
    sys.exit(main())
