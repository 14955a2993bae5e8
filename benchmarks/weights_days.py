"""Draws days on which new weights are named among troubles, one TOML file a day, to be played by the bench.

    python3 -m benchmarks.weights_days SITE_FILE OUT_DIR --days 12 --seed 1 [--point returning --point late_hearers]

Two fifths of the model servers go down just before a revision is named and come back after its bound, so that servers
on older weights are at hand when no request may begin there any more. Each point adds what one hypothesis of the
incident VERSION asks for (`docs/incidents/`). The same seed draws the same days.
"""

from __future__ import annotations

import argparse
import random
import sys
import tomllib
from pathlib import Path

from benchmarks.worst_days import Trouble, day_text, read_block

DOWN_SHARE = 0.4
FALL_S = 1.0  # for so long a server that falls is down
FALL_GAP_S = 3.5  # between two falls
LAST_NAMED_S = 24.0  # nothing is named later than that


class Moments:
    """When the servers of one day go down, when the first revision is named, and when its bound ends (s)."""

    def __init__(self, draw: random.Random, version_s: float, service: str = "") -> None:
        """`version_s` is the bound of the deployment, `service` the one whose weights are named."""
        self.version_s = version_s
        self.service = service
        self.down = round(draw.uniform(1.0, 4.0), 2)
        self.named = round(self.down + draw.uniform(0.2, 0.8), 2)
        self.bound = self.named + version_s
        self.back = round(self.bound + draw.uniform(0.0, 2.0), 2)


def servers_down(moments: Moments, service: str) -> Trouble:
    """Servers are down while the revision is named, and return with the weights that they had."""
    return {
        "at": moments.down,
        "kind": "srv_crash",
        "service": service,
        "share": DOWN_SHARE,
        "for_s": round(moments.back - moments.down, 2),
    }


def named_again(draw: random.Random, moments: Moments) -> tuple[list[Trouble], list[Trouble]]:
    """A further revision is named shortly before the servers return."""
    at = round(moments.back - draw.uniform(0.2, 0.7 * moments.version_s), 2)
    return [_named(min(at, LAST_NAMED_S))], []


def late_hearers(draw: random.Random, moments: Moments) -> tuple[list[Trouble], list[Trouble]]:
    """Sidecars start anew, or are frozen, after the revision was named."""
    kill = {"kind": "node_kill", "share": 0.5, "for_s": 0.6}
    freeze = {"kind": "node_freeze", "share": 0.5, "for_s": round(0.5 * moments.version_s, 1)}
    trouble = draw.choice((kill, freeze))
    ended = moments.back - draw.uniform(3.2, 5.0)
    return [], [{"at": round(max(0.5, ended - trouble["for_s"]), 2), "on": "front", **trouble}]


def late_beginnings(draw: random.Random, moments: Moments) -> tuple[list[Trouble], list[Trouble]]:
    """Servers are slow or crowded just before the bound ends, so that what was sent waits there."""
    at = round(moments.bound - draw.uniform(1.5, 4.0), 2)
    slow = {"at": at, "kind": "srv_slow", "share": 0.6, "x": draw.choice((4.0, 10.0)), "for_s": 6.0}
    crowd = {"at": at, "kind": "burst", "x": draw.choice((2.0, 4.0)), "for_s": 5.0}
    return [], [slow, crowd]


def held_orders(draw: random.Random, moments: Moments) -> tuple[list[Trouble], list[Trouble]]:
    """Whoever gives the orders is frozen, cut off or killed in the middle of a roll."""
    how = draw.choice(("giver", "leader"))
    trouble = draw.choice(
        (
            {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 3.0, "how": how},
            {"kind": "node_kill", "on": "core", "count": 1, "for_s": 2.0, "how": how},
            {"kind": "core_cut", "count": 1, "for_s": 3.0, "how": how},
        )
    )
    return [], [{"at": round(moments.named + draw.uniform(0.0, 1.0), 2), **trouble}]


def slow_moves(draw: random.Random, moments: Moments) -> tuple[list[Trouble], list[Trouble]]:
    """Kept prompts move slowly and servers answer badly around the end of the bound."""
    at = round(moments.bound - draw.uniform(0.5, 3.0), 2)
    moves = {"at": at, "kind": "kv_slow", "share": 0.8, "x": 20.0, "for_s": 5.0}
    how = draw.choice(("mute", "hang", "slow", "busy"))
    grey = {"at": at, "kind": "srv_grey", "share": 0.4, "x": 0.5, "for_s": 5.0, "how": how}
    return [], [moves, grey]


def falling_servers(draw: random.Random, moments: Moments) -> tuple[list[Trouble], list[Trouble]]:
    """Servers fall in turn and return at once, on the weights of before, at the addresses of before.

    Two further revisions are named meanwhile: so it was in the record of `docs/incidents/fault-short-version.md`.
    """
    again = [round(moments.named + at + draw.uniform(-0.3, 0.3), 2) for at in (4.0, 8.8)]
    first = moments.named + draw.uniform(1.5, 2.5)
    falls = [
        {
            "at": round(first + FALL_GAP_S * number, 2),
            "kind": "srv_crash",
            "service": moments.service,
            "share": DOWN_SHARE,
            "for_s": FALL_S,
            "how": "domain",
        }
        for number in range(3)
    ]
    return [_named(at) for at in again], falls


POINTS = {
    point.__name__: point
    for point in (named_again, late_hearers, late_beginnings, held_orders, slow_moves, falling_servers)
}


def _named(at: float) -> Trouble:
    return {"at": at, "kind": "version_bump", "count": 0}


def draw_day(block: list[str], site: dict, name: str, seed: int, points: tuple) -> str:
    """The text of one day of the site, with the troubles of these points."""
    draw = random.Random(seed)
    service = next(row["name"] for row in site["services"] if row["model"] == "llm")
    moments = Moments(draw, site["timing"]["version_ms"] / 1000, service)
    plan: list[Trouble] = [
        _named(moments.named),
        {"at": 1.5, "kind": "config_race", "count": 8, "gap_s": 2.6},
    ]
    faults = [] if points == (falling_servers,) else [servers_down(moments, service)]
    for point in points:
        planned, unplanned = point(draw, moments)
        plan += planned
        faults += unplanned
    return day_text(block, name, seed, plan, faults, None)


def main() -> int:
    """Write the days; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--days", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--point", action="append", choices=sorted(POINTS), help="default: two by lot")
    parser.add_argument("--base", default="trouble-1", help="the site's day whose traffic and size are taken")
    arguments = parser.parse_args()
    try:
        text = arguments.site.read_text()
        block, site = read_block(text, arguments.base), tomllib.loads(text)
    except (OSError, KeyError, tomllib.TOMLDecodeError) as fault:
        print(f"weights_days: cannot take a day from {arguments.site}: {fault}", file=sys.stderr)
        return 2
    arguments.out.mkdir(parents=True, exist_ok=True)
    for number in range(arguments.days):
        seed = arguments.seed * 1000 + number
        names = arguments.point or random.Random(seed).sample(sorted(POINTS), 2)
        name = "-".join(names) + f"-{seed}"
        target = arguments.out / f"{arguments.site.stem}-{name}.toml"
        target.write_text(draw_day(block, site, name, seed, tuple(POINTS[point] for point in names)))
        print(target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
