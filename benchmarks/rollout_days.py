"""Draws days on which a new version of a service is brought in, one TOML file a day, to be played by the bench.

    python3 -m benchmarks.rollout_days SITE_FILE OUT_DIR --seed 1

One day for each way in which a version may be bad and one for a good one, alone and (`--beside`) beside a lost core
machine and crashed servers. The same seed draws the same days.
"""

from __future__ import annotations

import argparse
import random
import sys
import tomllib
from pathlib import Path

from benchmarks.worst_days import Trouble, day_text, read_block

GOOD = "good"
BAD = ("errors", "slow", "under_load", "one_class", "late")
ORDERED_S = 2.0
OVER_S = 15.0


def rollout(how: str, service: str, draw: random.Random) -> Trouble:
    """The order, of a good version or one that is bad in this way."""
    order = {"at": ORDERED_S, "for_s": OVER_S, "service": service}
    if how == GOOD:
        return {"kind": "rollout_good", **order}
    return {
        "kind": "rollout_bad",
        "how": how,
        "share": 0.5,
        "gap_s": round(draw.uniform(2.5, 3.5), 1),
        **order,
    }


def troubles_beside(service: str, draw: random.Random) -> list[Trouble]:
    """The holder's machine loses power, and some servers of the service crash."""
    return [
        {
            "at": round(draw.uniform(4.0, 9.0), 1),
            "kind": "node_kill",
            "on": "core",
            "count": 1,
            "for_s": 3.0,
            "how": "power leader",
        },
        {
            "at": round(draw.uniform(3.0, 8.0), 1),
            "kind": "srv_crash",
            "service": service,
            "share": 0.15,
            "for_s": 4.0,
        },
    ]


def main() -> int:
    """Write the days; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--beside", action="store_true", help="other things fail too")
    parser.add_argument("--base", default="scale-1", help="the site's day whose traffic and size are taken")
    arguments = parser.parse_args()
    try:
        text = arguments.site.read_text()
        block, site = read_block(text, arguments.base), tomllib.loads(text)
    except (OSError, KeyError, tomllib.TOMLDecodeError) as fault:
        print(f"rollout_days: cannot take a day from {arguments.site}: {fault}", file=sys.stderr)
        return 2
    service = next(row["name"] for row in site["services"] if row["model"] == "llm")
    arguments.out.mkdir(parents=True, exist_ok=True)
    for number, how in enumerate((GOOD, *BAD)):
        seed = arguments.seed * 100 + number
        draw = random.Random(seed)
        plan = [rollout(how, service, draw), {"at": 6.0, "kind": "config_change", "how": "timeout"}]
        faults = troubles_beside(service, draw) if arguments.beside else []
        target = arguments.out / f"{arguments.site.stem}-{how}-{seed}.toml"
        target.write_text(day_text(block, f"{how}-{seed}", seed, plan, faults, None))
        print(target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
