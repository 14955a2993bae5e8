"""What kept state is worth after a restart: with and without it, with files of several ages, with one that lies.

    .venv/bin/python benchmarks/restart.py --jobs 8 --replications 10

`after` is the goodput of the sidecars that came back, in the ten seconds behind each return; `G` that of the whole day.
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

SCENARIOS = (
    "restart-together",
    "restart-amid-slow-servers",
    "restart-into-cold-return",
    "site-lost-at-closing-time",
)


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--replications", type=int, default=10)
    chosen = parser.parse_args()
    if not (1 <= chosen.jobs <= 64 and 2 <= chosen.replications <= 1000):
        parser.error("--jobs 1 to 64, --replications 2 to 1000")
    names = [ex.OURS, *ex.STATE_AGES_S, ex.LIAR]
    print("| scenario | balancer | after | less without state | G | less without state | broken |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        loaded = ex.load(ROOT / "scenarios" / f"{scenario}.toml")
        wanted = replace(loaded.experiment, balancers=names, replications=chosen.replications)
        loaded = replace(loaded, experiment=wanted)
        found: dict[str, list[dict]] = {name: [] for name in names}
        for run, figures in runner.play_all(loaded.scenario, ex.runs(loaded), chosen.jobs):
            found[run.balancer].append(figures.row)
        for name in names:
            cells = []
            for figure in ("after_restart", "G"):
                mine = [row[figure] for row in found[name]]
                gap = paired(mine, [row[figure] for row in found[ex.OURS]])
                cells += [f"{interval(mine).mean:.4f}", f"{gap.mean:+.4f} [{gap.low:+.4f}, {gap.high:+.4f}]"]
            broken = sum(not row["rules_kept"] for row in found[name])
            print(f"| {scenario} | {name} | " + " | ".join(cells) + f" | {broken or ''} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
