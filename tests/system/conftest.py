"""Whole systems for these tests, each ended with whatever it started."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from iristrack.standin.system import System
from tests.system.scene import AMPLE_RETRIES, Scene, start_usual

NewSystem = Callable[..., System]


def close(system: System) -> None:
    tracebacks = system.tracebacks()
    system.stop()
    assert not tracebacks, tracebacks


@pytest.fixture
def new_system(tmp_path: Path) -> Iterator[NewSystem]:
    """Makes systems that end with the test."""
    systems: list[System] = []

    def make(**sizes: object) -> System:
        systems.append(System(tmp_path / f"system-{len(systems)}", **sizes))
        return systems[-1]

    yield make
    for system in systems:
        close(system)


@pytest.fixture(scope="module")
def module_scene(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Scene]:
    """One core and one edge machine, with the usual configuration in force."""
    system = System(tmp_path_factory.mktemp("scene"), cores=1, edges=1, rule_bounds=AMPLE_RETRIES)
    try:
        start_usual(system)
        yield Scene(system)
    finally:
        close(system)


@pytest.fixture
def scene(module_scene: Scene) -> Scene:
    """The module's system, with every server asked again after what earlier tests did to it."""
    module_scene.settle()
    return module_scene
