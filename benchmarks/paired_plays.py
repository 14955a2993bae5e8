"""Plays the same days and seeds with and without a change, and tells the mean and spread of the differences.

    python3 -m benchmarks.paired_plays BENCH SITE_FILE --days scale-1,trouble-1 --seeds 11,12 \
        --patch benchmarks/ablations/no-spill.patch --out /somewhere/trials

Each variant is a copy of the committed tree with one patch applied, beside the base without any; a copy keeps its
journal entries, which are brought back into `journal/` here. Small twins are played unless `--full` is given, and
processor time is not charged unless `--cpu` is: such plays nearly repeat. A play that gives no report is named and left
out with its pair.
"""

from __future__ import annotations

import argparse
import json
import math
import shutil
import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BASE = "base"
PLAY_S = 1500  # a play that lasts longer is given up
FIGURES = ("G", "served", "windows", "class", "prices", "late", "rules")


@dataclass(frozen=True, slots=True)
class Play:
    """One day of one variant with one seed."""

    variant: str
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """The figures of a play by `FIGURES`: worth, its parts, all prices, the share that was late, rules broken."""

    figures: dict[str, float]


def read_result(report: dict) -> Result:
    """Take the figures out of a report of the bench."""
    parts = {name: value for name, _, value in report["parts"]}
    gross = sum(weight * value for _, weight, value in report["parts"])
    asked = report["all"]["n"] - report["all"]["not_owed"]
    return Result(
        {
            "G": report["G"],
            "served": report["served"],
            "windows": parts.get("worst windows", 0.0),
            "class": parts.get("worst class", 0.0),
            "prices": gross - report["G"],
            "late": report["all"]["late"] / max(1, asked),
            "rules": float(len(report["breaks"]) + (report["fault"] is not None)),
        }
    )


class Trees:
    """The copies of the tree that are played."""

    def __init__(self, folder: Path, patches: Sequence[Path]) -> None:
        """Make one copy for the base and one for each patch; raises `subprocess.CalledProcessError`."""
        self.folder = folder
        self.names = [BASE, *(patch.stem for patch in patches)]
        for name, patch in zip(self.names, [None, *patches], strict=True):
            self._make(folder / name, patch)

    def _make(self, tree: Path, patch: Path | None) -> None:
        shutil.rmtree(tree, ignore_errors=True)
        _run(["git", "clone", "-q", "--no-hardlinks", str(ROOT), str(tree)])
        shutil.rmtree(tree / "journal")
        (tree / "journal").mkdir()
        if (ROOT / "target").exists():
            shutil.copytree(ROOT / "target", tree / "target", dirs_exist_ok=True)
        if patch is not None:
            _run(["git", "-C", str(tree), "apply", str(patch.resolve())])

    def bring_journal_back(self) -> int:
        """Copy the entries of all copies into this tree; how many files."""
        files = 0
        for name in self.names:
            source = self.folder / name / "journal"
            for path in source.rglob("*"):
                target = ROOT / "journal" / path.relative_to(source)
                if path.is_file() and not target.exists():
                    target.parent.mkdir(parents=True, exist_ok=True)
                    shutil.copy2(path, target)
                    files += 1
        return files


def play(options: argparse.Namespace, trees: Trees, one: Play) -> Result | None:
    """Play one day; None where the bench gave no report."""
    tree = trees.folder / one.variant
    report = trees.folder / f"{one.variant}-{Path(one.day).stem}-{one.seed}.json"
    report.unlink(missing_ok=True)
    why = f"trial in pairs, {options.why}: {one.variant}"
    flags = ["--seed", str(one.seed), "--report", str(report), "--why", why, "--jobs", "1"]
    flags += [] if options.full else ["--small"]
    flags += [] if options.cpu else ["--no-cpu"]
    command = [options.bench, "run", options.site, one.day, *flags]
    try:
        subprocess.run(command, cwd=tree, capture_output=True, timeout=PLAY_S, check=False)
        return read_result(json.loads(report.read_text()))
    except (OSError, ValueError, KeyError, subprocess.TimeoutExpired) as fault:
        print(f"no report: {one.variant} {one.day} {one.seed}: {fault}", file=sys.stderr)
        return None


def compare(results: dict[Play, Result | None], variant: str, plays: Iterable[Play]) -> list[str]:
    """The rows of one variant: the mean of the base, the mean difference and its standard error, by figure."""
    pairs = []
    for one in plays:
        base, other = results.get(Play(BASE, one.day, one.seed)), results.get(one)
        if base is not None and other is not None:
            pairs.append((base.figures, other.figures))
    rows = []
    for name in FIGURES:
        differences = [other[name] - base[name] for base, other in pairs]
        if differences:
            mean = sum(differences) / len(differences)
            base_mean = sum(base[name] for base, _ in pairs) / len(pairs)
            row = (
                f"| {variant} | {name} | {base_mean:.4f} | {mean:+.4f} | {_standard_error(differences):.4f} |"
            )
            rows.append(f"{row} {len(pairs)} |")
    return rows


def _standard_error(values: Sequence[float]) -> float:
    if len(values) < 2:
        return math.nan
    mean = sum(values) / len(values)
    return math.sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1) / len(values))


def _run(command: Sequence[str]) -> None:
    subprocess.run(command, check=True, capture_output=True)


def _read_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="benchmarks.paired_plays", description=__doc__.splitlines()[0])
    parser.add_argument("bench", type=lambda text: str(Path(text).resolve()))
    parser.add_argument("site", type=lambda text: str(Path(text).resolve()))
    parser.add_argument("--days", required=True, help="names of days or their files, with commas between")
    parser.add_argument("--seeds", required=True, help="whole numbers, with commas between")
    parser.add_argument("--patch", type=Path, action="append", default=[], help="a variant; may be repeated")
    parser.add_argument("--out", type=Path, required=True, help="folder for the copies; no temporary folder")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--full", action="store_true", help="the days at their full size")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--why", default="a change of policy")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Play all pairs and print the table; the exit status."""
    options = _read_arguments(arguments)
    for path in [Path(options.site), *options.patch]:
        if not path.is_file():
            print(f"{path}: no such file", file=sys.stderr)
            return 2
    try:
        seeds = [int(seed) for seed in options.seeds.split(",")]
        trees = Trees(options.out.resolve(), options.patch)
    except (ValueError, subprocess.CalledProcessError) as fault:
        detail = fault.stderr.decode() if isinstance(fault, subprocess.CalledProcessError) else ""
        print(f"cannot begin: {fault} {detail}".strip(), file=sys.stderr)
        return 2
    days = options.days.split(",")
    plays = [Play(variant, day, seed) for day in days for seed in seeds for variant in trees.names]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = dict(zip(plays, pool.map(lambda one: play(options, trees, one), plays), strict=True))
    print(
        "| variant | figure | base | difference | standard error | pairs |\n| --- | --- | --- | --- | --- | --- |"
    )
    for variant in trees.names[1:]:
        for row in compare(results, variant, [one for one in plays if one.variant == variant]):
            print(row)
    print(f"journal files brought back: {trees.bring_journal_back()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
