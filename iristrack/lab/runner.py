"""Plays runs, in this process or several, and keeps each as soon as it is done.

This file owns the results' folder: `experiment.json` (what is played), `runs.csv` (one row a run), `details.jsonl` (the
series behind the charts). Rows come in the order of the runs whatever the number of jobs; a folder that was left
half-way goes on with `--resume`, and one that holds another experiment's runs is never mixed with this one's.
"""

from __future__ import annotations

import csv
import gc
import json
import os
import signal
import subprocess
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from multiprocessing import active_children, get_context
from pathlib import Path
from typing import Any

import msgspec

from iristrack import __version__
from iristrack import interface as mi
from iristrack.balance import Balancer
from iristrack.emulator import ledger as lg
from iristrack.emulator import scenario as sc
from iristrack.emulator.figures import Figures, measure
from iristrack.emulator.plan import draw
from iristrack.emulator.references import NAMES
from iristrack.emulator.scenario import Scenario, ScenarioError
from iristrack.emulator.sidecar import Module
from iristrack.emulator.world import World
from iristrack.lab.experiment import LIAR, OURS, STATE_AGES_S, Loaded, Run, place
from iristrack.lab.experiment import runs as all_runs
from iristrack.recovery.aging import age_snapshot

GC_THRESHOLD = 200_000  # the emulator leaves no cycles behind that grow


class FolderError(Exception):
    """A results' folder that cannot be used; the text is one line."""


def revision() -> str:
    """The revision of the sources, or the version where there is no repository."""
    here = Path(__file__).resolve().parent
    with suppress(OSError, subprocess.CalledProcessError):
        said = subprocess.run(
            ["git", "describe", "--always", "--dirty"], cwd=here, capture_output=True, text=True, check=True
        )
        return said.stdout.strip()
    return __version__


def maker(name: str) -> Callable[[World, int, int], Module]:
    """What makes a sidecar's module, by the balancer's name."""

    def make(world: World, number: int, seed: int) -> Module:
        settings = world.settings[world.plan.sidecars[number].site]
        if name.startswith(OURS):
            return Balancer(settings, seed, _learned(world, number, name, settings))
        if name == "oracle":
            return NAMES[name](settings, seed, world, number)
        return NAMES[name](settings, seed)

    return make


def _learned(world: World, number: int, name: str, settings: mi.Settings) -> dict | None:
    """What a restarted sidecar is given of what it knew, pretending that it is older than it is."""
    if name == OURS:
        return None
    world.saves = True
    if world.sidecars[number].saved is None:
        return None
    at, kept = world.sidecars[number].saved
    now = world.queue.now
    if name == LIAR:
        for server in kept["servers"].values():
            server |= {"limit": 1e9, "down": False, "silent": 0, "failed_connects": 0, "suspicions": {}}
    age = now - at + STATE_AGES_S.get(name, 0) * mi.NS_PER_S
    return age_snapshot(kept, Balancer(settings, 0).snapshot(now), age)


def build(scenario: Scenario, run: Run, keep: bool = False) -> World:
    """The world of a run, not yet played."""
    for path, value in run.factors.items():
        scenario = place(scenario, path, value)
    return World(draw(scenario, run.seed), maker(run.balancer), keep)


def play(scenario: Scenario, run: Run) -> Figures:
    """Play one run."""
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    world = build(scenario, run)
    world.run()
    return measure(world)


def row_of(loaded: Loaded, run: Run, figures: Figures, revision: str) -> dict[str, Any]:
    """A run's row in the table."""
    head = {
        "run": run.id, "balancer": run.balancer, "replication": run.replication, "seed": run.seed,
        "scenario": loaded.scenario.name, "scenario_hash": loaded.hash, "revision": revision,
    }  # fmt: skip
    figures.row.pop("revision_of_plan", None)
    return head | {f"factor {path}": value for path, value in run.factors.items()} | figures.row


def _job(job: tuple[Scenario, Run]) -> tuple[Run, Figures]:
    return job[1], play(*job)


def _quiet() -> None:
    """Ctrl-C is the parent's business."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def play_all(scenario: Scenario, runs: list[Run], jobs: int) -> Iterator[tuple[Run, Figures]]:
    """Play runs; results come in the runs' order."""
    if jobs <= 1 or len(runs) <= 1:
        for run in runs:
            yield _job((scenario, run))
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn"), initializer=_quiet) as pool:
        # Not `pool.map`: it cancels what waits when it is left, which the pool's own thread then stumbles over.
        futures = deque(pool.submit(_job, (scenario, run)) for run in runs)
        try:
            while futures:
                yield futures.popleft().result()
        except BaseException:
            for child in active_children():  # ours alone: a large run would go on for minutes
                child.terminate()
            raise


class Folder:
    """A results' folder."""

    def __init__(self, path: Path) -> None:
        """Nothing is touched before `open`."""
        self.path = path
        self.rows: list[dict[str, str]] = []
        self.columns: list[str] = []

    def open(self, loaded: Loaded, seed: int | None, resume: bool) -> list[str]:
        """Make or re-open it; the ids of the runs that are there already. Raises `FolderError`."""
        told = {
            "experiment": msgspec.to_builtins(loaded.experiment),
            "scenario": msgspec.to_builtins(loaded.scenario),
            "hash": loaded.hash,
            "seed": loaded.experiment.seed if seed is None else seed,
        }
        description = self.path / "experiment.json"
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            if description.exists():
                if not resume:
                    raise FolderError(f"{self.path} holds runs already: take another folder, or --resume")
                old = json.loads(description.read_text())
                if (old["hash"], old["seed"]) != (told["hash"], told["seed"]):
                    raise FolderError(f"{self.path} holds another experiment's runs: take another folder")
            description.write_text(json.dumps(told, indent=1) + "\n")
        except (OSError, ValueError, KeyError) as fault:
            raise FolderError(f"{self.path} cannot be used: {fault}") from None
        if (self.path / "runs.csv").exists():
            self._mend()
        return [row["run"] for row in self.rows]

    def _mend(self) -> None:
        """Drop what a stopped run left half-written."""
        with (self.path / "runs.csv").open(newline="") as file:
            reader = csv.DictReader(file)
            self.columns = list(reader.fieldnames or [])
            self.rows = [row for row in reader if None not in row and None not in row.values()]
        kept = {row["run"] for row in self.rows}
        details = []
        with suppress(OSError):
            for line in (self.path / "details.jsonl").read_text().splitlines():
                with suppress(ValueError):
                    if json.loads(line)["run"] in kept:
                        details.append(line)
        self._write(details)

    def _write(self, details: list[str]) -> None:
        temporary = self.path / "runs.csv.new"
        with temporary.open("w", newline="") as file:
            writer = csv.DictWriter(file, self.columns)
            writer.writeheader()
            writer.writerows(self.rows)
        os.replace(temporary, self.path / "runs.csv")
        (self.path / "details.jsonl").write_text("".join(line + "\n" for line in details))

    def add(self, row: dict[str, Any], figures: Figures) -> None:
        """Keep one run."""
        row = {
            name: f"{value:.9g}" if isinstance(value, float) else str(value) for name, value in row.items()
        }
        first = not self.columns
        if first:
            self.columns = list(row)
        with (self.path / "runs.csv").open("a", newline="") as file:
            writer = csv.DictWriter(file, self.columns, extrasaction="ignore", restval="")
            if first:
                writer.writeheader()
            writer.writerow(row)
        detail = {
            "run": row["run"], "seconds": figures.seconds, "curve": figures.curve,
            "per_server": figures.per_server, "spans": figures.spans,
        }  # fmt: skip
        with (self.path / "details.jsonl").open("a") as file:
            file.write(json.dumps(detail) + "\n")
        self.rows.append(row)


def read_folder(path: Path) -> tuple[dict, list[dict[str, str]], dict[str, dict]]:
    """A folder's description, rows and details by run. Raises `FolderError`."""
    try:
        told = json.loads((path / "experiment.json").read_text())
        with (path / "runs.csv").open(newline="") as file:
            rows = list(csv.DictReader(file))
        details = {}
        for line in (path / "details.jsonl").read_text().splitlines():
            detail = json.loads(line)
            details[detail["run"]] = detail
    except (OSError, ValueError, KeyError) as fault:
        raise FolderError(f"{path} holds no results: {fault}") from None
    return told, rows, details


def replay(path: Path, run_id: str, explain: str | None) -> tuple[dict[str, str], Figures, list[str]]:
    """Play one run of a folder again: its row as kept, its figures now, and the records of one request."""
    told, rows, _ = read_folder(path)
    row = next((row for row in rows if row["run"] == run_id), None)
    if row is None:
        raise FolderError(
            f"{path} has no run {run_id!r}; there are {', '.join(r['run'] for r in rows[:6])} ..."
        )
    experiment = told["experiment"]
    scenario = msgspec.convert(told["scenario"], Scenario)
    try:
        sc.check(scenario)
        loaded = Loaded(msgspec.convert(experiment, type=_experiment()), scenario, told["hash"])
    except (ValueError, msgspec.ValidationError) as fault:
        raise ScenarioError(f"{path / 'experiment.json'}:1: {fault}") from None
    run = next(run for run in all_runs(loaded, told["seed"]) if run.id == run_id)
    world = build(scenario, run, keep=explain is not None)
    world.run()
    lines = trace(world, explain) if explain is not None else []
    return row, measure(world), lines


def _experiment() -> type:
    from iristrack.lab.experiment import Experiment

    return Experiment


def trace(world: World, request: str) -> list[str]:
    """What happened to one request (`c12.1`, or `c12` for all its tries), with its sidecar's list at the time."""
    wanted = {request} if "." in request else None
    lines = []
    for record in lg.read(world.ledger.kept or []):
        at = lg.REQUEST_AT.get(record[0])
        if at is None or len(record) <= at:
            continue
        name = str(record[at])
        if (wanted and name in wanted) or (wanted is None and name.rpartition(".")[0] == request):
            lines.append(lg.tell(record))
    return lines
