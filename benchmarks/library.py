"""Our module against the reference balancers over the scenario library: a Markdown table.

    .venv/bin/python benchmarks/library.py --jobs 8 --replications 5 > table.md

Every scenario but those of over 1,000 sidecars is played by every balancer on the same seeds.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from msgspec.structs import replace  # noqa: E402

from iristrack.lab import experiment as ex  # noqa: E402
from iristrack.lab import runner  # noqa: E402
from iristrack.lab.statistics import interval, paired  # noqa: E402

MOST_SIDECARS = 1000


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--replications", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    if not (1 <= chosen.jobs <= 64 and 1 <= chosen.replications <= 1000 and chosen.seed >= 0):
        parser.error("--jobs 1 to 64, --replications 1 to 1000, --seed 0 or more")
    names = ex.COMPARED
    print("| scenario | " + " | ".join(names) + " | ours less the best textbook policy |")
    print("| --- |" + " --- |" * (len(names) + 1))
    for file in sorted((ROOT / "scenarios").glob("*.toml")):
        loaded = ex.load(file)
        count = loaded.scenario.sidecars.count
        if (count[1] if isinstance(count, list) else count) > MOST_SIDECARS:
            continue
        wanted = replace(
            loaded.experiment, balancers=list(names), replications=chosen.replications, seed=chosen.seed
        )
        loaded = replace(loaded, experiment=wanted)
        found: dict[str, list[float]] = {name: [] for name in names}
        broken: dict[str, set[str]] = {name: set() for name in names}
        for run, figures in runner.play_all(loaded.scenario, ex.runs(loaded), chosen.jobs):
            found[run.balancer].append(float(figures.row["G"]))
            broken[run.balancer] |= {k[7:] for k, v in figures.row.items() if k.startswith("broken ") and v}
        cells = []
        for name in names:
            told = f"{interval(found[name]).mean:.3f}"
            cells.append(told + (" (" + ", ".join(sorted(broken[name])) + ")" if broken[name] else ""))
        textbook = [name for name in names if name not in (ex.OURS, "random", "oracle")]
        best = max(textbook, key=lambda name: sum(found[name]))
        gap = paired(found[ex.OURS], found[best])
        cells.append(f"{gap.mean:+.3f} [{gap.low:+.3f}, {gap.high:+.3f}] {best}")
        print(f"| {file.stem} | " + " | ".join(cells) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
