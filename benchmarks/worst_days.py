"""Draws days of the control side's worst troubles for a site file, one TOML file a day, to be played by the bench.

    python3 -m benchmarks.worst_days SITE_FILE OUT_DIR --days 10 --seed 1

Each day is one of the site's own days with its plan, faults and closing fault drawn anew: troubles of two of the five
points of `docs/control-hardening.md`, among a steady series of configurations. The same seed draws the same days.
"""

from __future__ import annotations

import argparse
import random
import re
import sys
from pathlib import Path

TRAFFIC_S = 34.0
FIELD = re.compile(r"^(\w+) = ")
DRAWN_ANEW = {"name", "seed", "plan", "faults", "closing"}

CUTS = (
    "split",
    "behind",
    "seeds",
    "seeds race",
    "near one_way",
    "all",
    "oldest",
    "one_way",
    "both",
    "lure",
    "relieve",
    "leader race",
    "meet",
    "near",
    "leader one_way",
    "split race",
    "reset",
    "refuse",
    "split meet",
)
CONFIGURATION_CHANGES = ("route", "weights", "timeout", "tenant")
INVALID = (
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "shared_key",
)
CLOSINGS = (
    '{ kind = "power_off_all", down_s = 0.9 }',
    '{ kind = "kill_all", down_s = 0.8 }',
    '{ kind = "wipe_after_ack", down_s = 1.2 }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "timed" }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "oldest" }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "taken" }',
    '{ kind = "power_off_all", down_s = 0.9, how = "timed" }',
    '{ kind = "power_off_all", down_s = 0.9, how = "taken" }',
)

Trouble = dict[str, object]


def cut_off(draw: random.Random) -> list[Trouble]:
    """Point 1: control machines are cut off for a long time."""
    count = draw.choice((1, 2))
    return [
        {
            "kind": "core_cut",
            "count": count,
            "for_s": draw.choice((6.0, 12.0, 20.0)),
            "how": draw.choice(CUTS),
        }
    ]


def races(draw: random.Random) -> list[Trouble]:
    """Point 2: two operators at once, lost answers, invalid configurations."""
    return [
        {"kind": "config_race", "count": 6, "gap_s": 1.5},
        {"kind": "ack_lost", "x": 0.7, "for_s": 12.0},
        {"kind": "bad_config", "count": 2, "gap_s": 1.0, "how": draw.choice(INVALID)},
        {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "leader race"},
    ]


def replacements(draw: random.Random) -> list[Trouble]:
    """Point 3: machines are replaced, and disks lost right after."""
    return [
        {
            "kind": "replace_core",
            "x": draw.choice((0.5, 1.0, 3.0)),
            "how": draw.choice(("", "oldest", "planned", "planned oldest")),
        },
        {"kind": "after_ack_wipe", "for_s": 2.0, "how": draw.choice(("", "oldest", "timed"))},
        {"kind": "roll_term", "on": "core", "x": 1.0, "gap_s": 1.5, "how": draw.choice(("", "busy"))},
    ]


def restarts(draw: random.Random) -> list[Trouble]:
    """Point 4: all members are killed, lose power or have bad disks among many changes."""
    return [
        {
            "kind": "herd_kill",
            "on": "core",
            "for_s": 2.0,
            "how": draw.choice(("", "off", "off taken", "taken", "off taken all")),
        },
        {"kind": "disk_slow", "count": 1, "x": 30.0, "for_s": 6.0},
        {"kind": draw.choice(("disk_full", "disk_stall")), "count": 1, "for_s": 5.0},
        {
            "kind": "after_ack_kill",
            "for_s": 2.0,
            "how": draw.choice(("", "timed", "kill", "taken", "taken gone")),
        },
        {
            "kind": "clock_step",
            "share": 0.4,
            "x": 4000.0,
            "for_s": 6.0,
            "how": draw.choice(("back", "ahead")),
        },
    ]


def answers(draw: random.Random) -> list[Trouble]:
    """Point 5: answers late, doubled, cut or lost; connections reset; machines frozen."""
    return [
        {
            "kind": "garble",
            "how": draw.choice(("extra late", "unframed", "early", "")),
            "share": 0.6,
            "x": 0.04,
            "for_s": 6.0,
        },
        {"kind": "answer_lost", "how": "reset", "share": 0.5, "x": 0.05, "for_s": 5.0},
        {"kind": "reset_conns", "share": 0.3, "x": 0.5},
        {"kind": "node_freeze", "on": "core", "count": 1, "for_s": draw.choice((1.0, 3.0, 6.0))},
        {"kind": "node_cut", "share": 0.2, "for_s": 6.0, "how": draw.choice(("", "all"))},
        {
            "kind": "srv_grey",
            "share": 0.15,
            "for_s": 5.0,
            "how": draw.choice(("errors", "hang", "reset", "mute")),
        },
    ]


POINTS = (cut_off, races, replacements, restarts, answers)


def draw_day(block: list[str], name: str, seed: int, points: tuple, most_at: float) -> str:
    """The text of one day: `block` with its plan, faults and closing drawn from `seed`."""
    draw = random.Random(seed)
    faults = [trouble for point in points for trouble in point(draw)]
    draw.shuffle(faults)
    plan: list[Trouble] = [
        {"at": 1.0, "kind": "config_race", "count": 14, "gap_s": 1.7},
        {"at": 6.0, "kind": "version_bump", "count": 0},
        {"at": 22.0, "kind": "config_change", "how": draw.choice(CONFIGURATION_CHANGES)},
        {"at": 14.0, "kind": "revoke", "count": 2, "gap_s": 1.0},
    ]
    for trouble in faults:
        trouble["at"] = round(draw.uniform(0.5, most_at), 2)
    closing = draw.choice(CLOSINGS) if draw.random() < 0.6 else None
    return day_text(block, name, seed, plan, faults, closing)


def day_text(
    block: list[str], name: str, seed: int, plan: list[Trouble], faults: list[Trouble], closing: str | None
) -> str:
    """The text of a day that has the top-level lines of `block` and these entries."""
    kept = [line for line in block if (FIELD.match(line) or [None, ""])[1] not in DRAWN_ANEW]
    lines = ["[[day]]", f'name = "{name}"', f"seed = {seed}", *kept]
    if closing is not None:
        lines.append(f"closing = {closing}")
    lines += ["plan = [", *map(_row, plan), "]", "faults = [", *map(_row, faults), "]"]
    return "\n".join(lines) + "\n"


def _row(trouble: Trouble) -> str:
    fields = ", ".join(f"{key} = {_toml(value)}" for key, value in trouble.items())
    return f"  {{ {fields} }},"


def _toml(value: object) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)


def read_block(site: str, name: str) -> list[str]:
    """The top-level lines of one day of a site file, lists and all, without its header, plan and faults."""
    for text in site.split("[[day]]\n")[1:]:
        lines = text.split("\n\n")[0].splitlines()
        if f'name = "{name}"' in lines:
            return _without_lists(lines)
    raise KeyError(name)


def _without_lists(lines: list[str]) -> list[str]:
    kept, skipping = [], False
    for line in lines:
        if line in ("plan = [", "faults = ["):
            skipping = True
        if not skipping:
            kept.append(line)
        if line == "]":
            skipping = False
    return kept


def main() -> int:
    """Write the days; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base", default="trouble-1", help="the site's day whose traffic and size are taken")
    arguments = parser.parse_args()
    try:
        block = read_block(arguments.site.read_text(), arguments.base)
    except (OSError, KeyError) as fault:
        print(f"worst_days: cannot take a day from {arguments.site}: {fault}", file=sys.stderr)
        return 2
    arguments.out.mkdir(parents=True, exist_ok=True)
    for number in range(arguments.days):
        seed = arguments.seed * 1000 + number
        points = tuple(random.Random(seed).sample(POINTS, 2))
        name = "-".join(point.__name__ for point in points) + f"-{seed}"
        target = arguments.out / f"{arguments.site.stem}-{name}.toml"
        target.write_text(draw_day(block, name, seed, points, TRAFFIC_S - 14))
        print(target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
