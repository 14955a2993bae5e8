"""One soak: a system, its clients, its troubles, and the judgement."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

from iristrack.standin.links import Links
from iristrack.standin.soak.findings import judge, settle, summary
from iristrack.standin.soak.traffic import MODEL, Traffic
from iristrack.standin.soak.troubles import CHAT, History, Troubles, document
from iristrack.standin.system import System

BOUNDS = {"retry_slack": 60, "version_ms": 5_000, "lease_ms": 1_200, "grace_s": 5}


@dataclass(frozen=True, slots=True)
class Sizes:
    """How large and how long a soak is."""

    cores: int = 3
    edges: int = 2
    servers: int = 4
    clients: int = 8
    seconds: float = 12.0
    gap_s: float = 0.3


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What came of one seed."""

    seed: int
    summary: str
    found: tuple[str, ...]
    folder: Path


def soak(seed: int, sizes: Sizes, folder: Path) -> SoakResult:
    """Play one seed; the folder is removed where nothing was found."""
    system = System(folder, sizes.cores, sizes.edges, BOUNDS)
    links = Links(system)
    try:
        system.add_model_servers(CHAT, MODEL, sizes.servers)
        system.start()
        answer = system.operator.replace(document(1), 0)
        if answer.status != 200:
            return SoakResult(
                seed, f"the first configuration was answered {answer.status}", ("no start",), folder
            )
        system.wait_ready()
        history = History()
        traffic = Traffic(system.edges, sizes.clients, seed)
        troubles = Troubles(system, links, history, seed)
        troubles.run(sizes.seconds, sizes.gap_s)
        troubles.close()
        found = settle(system, history)
        tries = traffic.stop()
        found += judge(system, history, tries)
    finally:
        system.stop()
        links.stop()
    if not found:
        shutil.rmtree(folder, ignore_errors=True)
    return SoakResult(seed, summary(tries, history), tuple(found), folder)
