"""Define an experiment: a scenario, the varied factors, the compared balancers, and the number of replications.

This module defines the format of experiment files, validates them, and lists the resulting runs. It executes no run.
"""

from __future__ import annotations

import hashlib
import itertools
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import numpy as np
from msgspec import Meta

from iristrack.emulator import scenario as sc
from iristrack.emulator.references import NAMES
from iristrack.emulator.scenario import Form, Scenario, ScenarioError, read

OURS = "iristrack"
MAX_RUNS = 20_000
STATE_AGES_S = {
    f"{OURS}+state": 0,
    f"{OURS}+10s": 10,
    f"{OURS}+60s": 60,
    f"{OURS}+10min": 600,
    f"{OURS}+1day": 86_400,
}
LIAR = f"{OURS}+lies"  # its saved state rates every server as healthy, with no effective limit
COMPARED = (OURS, *NAMES)
BALANCERS = (*COMPARED, *STATE_AGES_S, LIAR)


class Factor(Form):
    """A varied setting: a path in the scenario and its values."""

    path: str  # such as traffic.load or troubles[0].part
    values: list[Any] = []
    low: float | None = None  # a grid from low to high, instead of values
    high: float | None = None
    steps: Annotated[int, Meta(ge=2, le=1000)] = 5
    scale: Literal["linear", "log"] = "linear"


class Stop(Form):
    """Stop before `replications` is reached, once the confidence interval of a figure is narrow enough."""

    figure: str = "G"
    half_width: Annotated[float, Meta(gt=0)] = 0.01
    least: Annotated[int, Meta(ge=3)] = 5


class Experiment(Form):
    """The content of an experiment file."""

    scenario: str  # path of the scenario file, relative to the experiment file
    name: str = ""
    about: str = ""
    balancers: Annotated[list[str], Meta(min_length=1)] = msgspec.field(default_factory=lambda: [OURS])
    replications: Annotated[int, Meta(ge=1, le=10_000)] = 5
    seed: Annotated[int, Meta(ge=0)] = 1
    figures: Annotated[list[str], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["G", "goodput", "in_aim", "p99_ms", "amplification", "cross_site"]
    )
    factors: list[Factor] = []
    stop: Stop | None = None


class Run(msgspec.Struct, frozen=True):
    """One run: balancer, factor levels and seed. All balancers share the seed of a replication."""

    id: str
    balancer: str
    replication: int
    seed: int
    factors: dict[str, Any]


class Loaded(msgspec.Struct, frozen=True):
    """A validated experiment with its scenario."""

    experiment: Experiment
    scenario: Scenario
    hash: str  # of the scenario and the factors


def values(factor: Factor) -> list[Any]:
    """Return the levels of a factor."""
    if factor.values:
        return factor.values
    if factor.low is None or factor.high is None:
        return []
    space = np.geomspace if factor.scale == "log" else np.linspace
    return [float(f"{x:.10g}") for x in space(factor.low, factor.high, factor.steps)]


def load(path: Path) -> Loaded:
    """Read an experiment, or a scenario as an experiment without factors; raises `ScenarioError` with one line."""
    text = _read_text(path)
    if "scenario" not in _top_level_keys(text):
        scenario = read(text, str(path))
        experiment = Experiment(scenario=path.name, name=scenario.name or path.stem)
        return Loaded(experiment, scenario, digest(scenario, []))
    experiment = read(text, str(path), Experiment)
    scenario_path = path.parent / experiment.scenario
    scenario = read(_read_text(scenario_path), str(scenario_path))

    def fail(at: str, message: str) -> None:
        raise ScenarioError(f"{path}:{sc.line_of(text, '$.' + at)}: {at}: {message}")

    for i, name in enumerate(experiment.balancers):
        if name not in BALANCERS:
            fail("balancers", f"no balancer is named {name!r}: choose from {', '.join(BALANCERS)}")
        if name in experiment.balancers[:i]:
            fail("balancers", f"{name!r} is listed twice")
    for i, factor in enumerate(experiment.factors):
        if not values(factor):
            fail(f"factors[{i}].path", "it has no values: give `values`, or `low` and `high`")
        if factor.scale == "log" and not factor.values and (factor.low or 0) <= 0:
            fail(f"factors[{i}].low", "a logarithmic grid must start above 0")
        for value in values(factor):
            try:
                sc.check(place(scenario, factor.path, value))
            except (ValueError, msgspec.ValidationError) as error:
                fail(f"factors[{i}].path", f"{factor.path} = {value}: {str(error).partition(' - at')[0]}")
    count = len(list(levels(experiment))) * len(experiment.balancers) * experiment.replications
    if count > MAX_RUNS:
        fail("replications", f"{count} runs, {MAX_RUNS} at most: use fewer levels or replications")
    return Loaded(experiment, scenario, digest(scenario, experiment.factors))


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{path}:1: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{path}:1: is not UTF-8 text") from None


def _top_level_keys(text: str) -> set[str]:
    """Return the keys before the first TOML table, which distinguish experiments from scenarios."""
    names = set()
    for line in text.splitlines():
        if line.lstrip().startswith("["):
            break
        names.add(line.partition("=")[0].strip())
    return names


def digest(scenario: Scenario, factors: list[Factor]) -> str:
    """Return a hash of the scenario and the factors, as 16 hexadecimal digits."""
    data = sc.fingerprint(scenario) + msgspec.json.encode(factors)
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def place(scenario: Scenario, path: str, value: Any) -> Scenario:
    """Return the scenario with the value at `path` replaced; raises `ValueError` if the path does not exist."""
    raw = msgspec.to_builtins(scenario)
    at: Any = raw
    steps = path.replace("[", ".[").split(".")
    for i, step in enumerate(steps):
        last = i == len(steps) - 1
        key: Any = int(step[1:-1]) if step.startswith("[") and step[1:-1].isdigit() else step
        exists = (isinstance(at, list) and isinstance(key, int) and key < len(at)) or (
            isinstance(at, dict) and key in at
        )
        if not exists:
            raise ValueError(f"the scenario has no {'.'.join(steps[: i + 1])}")
        if last:
            at[key] = value
        else:
            at = at[key]
    return msgspec.convert(raw, Scenario)


def levels(experiment: Experiment) -> Any:
    """Yield all combinations of the levels of the factors."""
    paths = [factor.path for factor in experiment.factors]
    for combination in itertools.product(*(values(factor) for factor in experiment.factors)):
        yield dict(zip(paths, combination, strict=True))


def seeds(seed: int, count: int) -> list[int]:
    """Return independent seeds, one per replication (NumPy's `SeedSequence.spawn`)."""
    return [
        int(child.generate_state(1, np.uint64)[0] >> 1) for child in np.random.SeedSequence(seed).spawn(count)
    ]


def runs(loaded: Loaded, seed: int | None = None) -> list[Run]:
    """Return all runs in the order of their rows in the results."""
    experiment = loaded.experiment
    replication_seeds = seeds(experiment.seed if seed is None else seed, experiment.replications)
    found = []
    for replication, replication_seed in enumerate(replication_seeds):
        for level_index, level in enumerate(levels(experiment)):
            for balancer in experiment.balancers:
                found.append(
                    Run(
                        f"{balancer}-{level_index}-{replication}",
                        balancer,
                        replication,
                        replication_seed,
                        level,
                    )
                )
    return found
