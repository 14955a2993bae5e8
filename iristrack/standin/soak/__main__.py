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

MOST_EDGES = 120
MOST_JOBS = 16


def main() -> int:
    """Run the soaks; returns the exit status."""
    chosen = _parser().parse_args()
    if not 1 <= chosen.edges <= MOST_EDGES or not 1 <= chosen.jobs <= MOST_JOBS or chosen.seeds < 1:
        print(f"soak: 1 to {MOST_EDGES} edges, 1 to {MOST_JOBS} jobs, one seed or more", file=sys.stderr)
        return 2
    sizes = Sizes(chosen.cores, chosen.edges, chosen.servers, chosen.clients, chosen.seconds, chosen.gap)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    failed = 0
    with ProcessPoolExecutor(chosen.jobs) as pool:
        running = [pool.submit(_one, seed, sizes) for seed in seeds]
        for future in as_completed(running):
            result = future.result()
            failed += bool(result.found)
            print(f"seed {result.seed}: {result.summary}", flush=True)
            for text in result.found:
                print(f"  FOUND {text}", flush=True)
            if result.found:
                print(f"  logs in {result.folder}", flush=True)
    print(f"{len(seeds)} seeds, {failed} with findings")
    return 1 if failed else 0


def _one(seed: int, sizes: Sizes) -> SoakResult:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    return soak(seed, sizes, folder)


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
