"""Execute runs in one or several processes and save each result as soon as the run ends.

This module defines the results folder: `experiment.json` (experiment and scenario), `runs.csv` (one row per run),
`details.jsonl` (the series behind the charts). Rows are in the order of the runs for any number of jobs. An incomplete
folder is continued with `--resume`; a folder with the runs of another experiment is rejected, to keep results apart.
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

GC_THRESHOLD = 200_000  # the emulator does not accumulate reference cycles


class FolderError(Exception):
    """Raised for a results folder that cannot be used; the text is one line."""


def revision() -> str:
    """Return the git revision of the sources, or the package version outside a repository."""
    source_folder = Path(__file__).resolve().parent
    with suppress(OSError, subprocess.CalledProcessError):
        completed = subprocess.run(
            ["git", "describe", "--always", "--dirty"],
            cwd=source_folder,
            capture_output=True,
            text=True,
            check=True,
        )
        return completed.stdout.strip()
    return __version__


def maker(name: str) -> Callable[[World, int, int], Module]:
    """Return the factory of a sidecar's balancer module for a balancer name."""

    def make(world: World, number: int, seed: int) -> Module:
        settings = world.settings[world.plan.sidecars[number].site]
        if name.startswith(OURS):
            return Balancer(settings, seed, _saved_state(world, number, name, settings))
        if name == "oracle":
            return NAMES[name](settings, seed, world, number)
        return NAMES[name](settings, seed)

    return make


def _saved_state(world: World, number: int, name: str, settings: mi.Settings) -> dict | None:
    """Return the saved state for a restarted sidecar, with the additional age that the balancer name stands for."""
    if name == OURS:
        return None
    world.saves = True
    if world.sidecars[number].saved is None:
        return None
    saved_at_ns, state = world.sidecars[number].saved
    now = world.queue.now
    if name == LIAR:
        for server in state["servers"].values():
            server |= {"limit": 1e9, "down": False, "silent": 0, "failed_connects": 0, "suspicions": {}}
    age_ns = now - saved_at_ns + STATE_AGES_S.get(name, 0) * mi.NS_PER_S
    return age_snapshot(state, Balancer(settings, 0).snapshot(now), age_ns)


def build(scenario: Scenario, run: Run, keep: bool = False) -> World:
    """Build the world of a run without executing it."""
    for path, value in run.factors.items():
        scenario = place(scenario, path, value)
    return World(draw(scenario, run.seed), maker(run.balancer), keep)


def play(scenario: Scenario, run: Run) -> Figures:
    """Execute one run and return its figures."""
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    world = build(scenario, run)
    world.run()
    return measure(world)


def row_of(loaded: Loaded, run: Run, figures: Figures, revision: str) -> dict[str, Any]:
    """Return the row of a run in `runs.csv`."""
    head = {
        "run": run.id, "balancer": run.balancer, "replication": run.replication, "seed": run.seed,
        "scenario": loaded.scenario.name, "scenario_hash": loaded.hash, "revision": revision,
    }  # fmt: skip
    figures.row.pop("revision_of_plan", None)
    return head | {f"factor {path}": value for path, value in run.factors.items()} | figures.row


def _job(job: tuple[Scenario, Run]) -> tuple[Run, Figures]:
    return job[1], play(*job)


def _ignore_interrupt() -> None:
    """Ignore SIGINT in a worker process; the parent handles Ctrl-C."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def play_all(scenario: Scenario, runs: list[Run], jobs: int) -> Iterator[tuple[Run, Figures]]:
    """Execute runs and yield their results in the order of the runs."""
    if jobs <= 1 or len(runs) <= 1:
        for run in runs:
            yield _job((scenario, run))
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn"), initializer=_ignore_interrupt) as pool:
        # Not `pool.map`: closing its iterator cancels pending futures, which makes the pool's own thread fail.
        futures = deque(pool.submit(_job, (scenario, run)) for run in runs)
        try:
            while futures:
                yield futures.popleft().result()
        except BaseException:
            for child in active_children():  # only our own; a large run would continue for minutes
                child.terminate()
            raise


class Folder:
    """A results folder."""

    def __init__(self, path: Path) -> None:
        """Set the path; the file system is not accessed before `open`."""
        self.path = path
        self.rows: list[dict[str, str]] = []
        self.columns: list[str] = []

    def open(self, loaded: Loaded, seed: int | None, resume: bool) -> list[str]:
        """Create or reopen the folder and return the ids of the runs in it; raises `FolderError`."""
        description = {
            "experiment": msgspec.to_builtins(loaded.experiment),
            "scenario": msgspec.to_builtins(loaded.scenario),
            "hash": loaded.hash,
            "seed": loaded.experiment.seed if seed is None else seed,
        }
        description_path = self.path / "experiment.json"
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            if description_path.exists():
                if not resume:
                    raise FolderError(f"{self.path} holds runs already: use another folder, or --resume")
                old = json.loads(description_path.read_text())
                if (old["hash"], old["seed"]) != (description["hash"], description["seed"]):
                    raise FolderError(f"{self.path} holds another experiment's runs: use another folder")
            description_path.write_text(json.dumps(description, indent=1) + "\n")
        except (OSError, ValueError, KeyError) as error:
            raise FolderError(f"{self.path} cannot be used: {error}") from None
        if (self.path / "runs.csv").exists():
            self._drop_incomplete_runs()
        return [row["run"] for row in self.rows]

    def _drop_incomplete_runs(self) -> None:
        """Remove incomplete rows and details that an interrupted process left."""
        with (self.path / "runs.csv").open(newline="") as file:
            reader = csv.DictReader(file)
            self.columns = list(reader.fieldnames or [])
            self.rows = [row for row in reader if None not in row and None not in row.values()]
        complete_runs = {row["run"] for row in self.rows}
        details = []
        with suppress(OSError):
            for line in (self.path / "details.jsonl").read_text().splitlines():
                with suppress(ValueError):
                    if json.loads(line)["run"] in complete_runs:
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
        """Append one run to `runs.csv` and `details.jsonl`."""
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
    """Return the description, the rows, and the details by run of a folder; raises `FolderError`."""
    try:
        description = json.loads((path / "experiment.json").read_text())
        with (path / "runs.csv").open(newline="") as file:
            rows = list(csv.DictReader(file))
        details = {}
        for line in (path / "details.jsonl").read_text().splitlines():
            detail = json.loads(line)
            details[detail["run"]] = detail
    except (OSError, ValueError, KeyError) as error:
        raise FolderError(f"{path} holds no results: {error}") from None
    return description, rows, details


def replay(path: Path, run_id: str, explain: str | None) -> tuple[dict[str, str], Figures, list[str]]:
    """Repeat one run of a folder; return its saved row, its new figures, and the records of one request."""
    description, rows, _ = read_folder(path)
    row = next((row for row in rows if row["run"] == run_id), None)
    if row is None:
        raise FolderError(
            f"{path} has no run {run_id!r}; there are {', '.join(r['run'] for r in rows[:6])} ..."
        )
    experiment = description["experiment"]
    scenario = msgspec.convert(description["scenario"], Scenario)
    try:
        sc.check(scenario)
        loaded = Loaded(msgspec.convert(experiment, type=_experiment()), scenario, description["hash"])
    except (ValueError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path / 'experiment.json'}:1: {error}") from None
    run = next(run for run in all_runs(loaded, description["seed"]) if run.id == run_id)
    world = build(scenario, run, keep=explain is not None)
    world.run()
    lines = trace(world, explain) if explain is not None else []
    return row, measure(world), lines


def _experiment() -> type:
    from iristrack.lab.experiment import Experiment

    return Experiment


def trace(world: World, request: str) -> list[str]:
    """Return the records of a request (`c12.1`, or `c12` for all its tries), with the server list of its sidecar."""
    wanted = {request} if "." in request else None
    lines = []
    for record in lg.read(world.ledger.kept or []):
        position = lg.REQUEST_AT.get(record[0])
        if position is None or len(record) <= position:
            continue
        name = str(record[position])
        if (wanted and name in wanted) or (wanted is None and name.rpartition(".")[0] == request):
            lines.append(lg.tell(record))
    return lines
