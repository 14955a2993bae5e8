"""How often cold servers are pushed over, and what a cold return costs: one scenario on many seeds.

    .venv/bin/python benchmarks/cold_guard.py --seeds 16 --jobs 8
    .venv/bin/python benchmarks/cold_guard.py --scenario scenarios/crash-and-cold-return.toml --load 0.65

For a comparison run it in a checkout of each version; the worlds of one seed are the same in both. It owns no model:
the emulator plays, and a server that fell over says so itself.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from msgspec.structs import replace  # noqa: E402

from iristrack.balance import Balancer  # noqa: E402
from iristrack.emulator.figures import measure  # noqa: E402
from iristrack.emulator.plan import draw  # noqa: E402
from iristrack.emulator.scenario import ScenarioError, read  # noqa: E402
from iristrack.emulator.world import World  # noqa: E402


def play(path: str, load: float, seed: int) -> tuple[int, int, float, bool]:
    """One world: its seed, how many servers were pushed over, its figure, and whether the other rules were kept."""
    scenario = read(Path(path).read_text(), path)
    if load:
        scenario = replace(scenario, traffic=replace(scenario.traffic, load=load))
    world = World(
        draw(scenario, seed), lambda w, n, s: Balancer(w.settings[w.plan.sidecars[n].site], s), False
    )
    world.run()
    fell = sum(machine.fell_told for machine in world.machines.values())
    others = {rule: count for rule, count in world.referee.counts.items() if rule != "cold"}
    return seed, fell, float(measure(world).row["G"]), not any(others.values())


def main() -> int:
    """Play all seeds; one line a seed and one for all."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--scenario", default=str(ROOT / "scenarios" / "nine-tenths-return-cold.toml"))
    parser.add_argument("--seeds", type=int, default=16, help="seeds 1 to N, 1000 at most")
    parser.add_argument("--load", type=float, default=0.0, help="in place of the scenario's own")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    if not (1 <= args.seeds <= 1000 and 1 <= args.jobs <= 64 and 0 <= args.load <= 100):
        parser.error("seeds lie between 1 and 1000, jobs between 1 and 64, the load between 0 and 100")
    try:
        read(Path(args.scenario).read_text(), args.scenario)
        with ProcessPoolExecutor(max_workers=args.jobs) as pool:
            rows = list(pool.map(partial(play, args.scenario, args.load), range(1, args.seeds + 1)))
    except (OSError, ScenarioError) as fault:
        print(f"cold_guard: {fault}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("cold_guard: stopped; nothing is kept", file=sys.stderr)
        return 130
    for seed, fell, g, kept in rows:
        print(f"seed {seed:4d}  pushed over {fell}  G {g:.4f}  {'' if kept else 'a rule broken'}")
    print(
        f"pushed over in {sum(r[1] > 0 for r in rows)} of {len(rows)} runs, {sum(r[1] for r in rows)} servers; "
        f"mean G {statistics.fmean(r[2] for r in rows):.4f}; rules broken in {sum(not r[3] for r in rows)}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
