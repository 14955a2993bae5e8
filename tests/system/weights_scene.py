"""Weights that are named and taken, as the tests of whole systems see them."""

from __future__ import annotations

import time

from iristrack.standin.model_server import ModelServer
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from tests.system.scene import MODEL

VERSION_MS = 3_000  # the bound for work on older weights in these tests


def name_version(system: System, revision: int) -> float:
    """Name new weights; when they were acknowledged (s, monotonic)."""
    assert system.operator.name_version(MODEL, revision).status == 200
    return time.monotonic()


def wait_revision(servers: list[ModelServer], revision: int) -> None:
    """Wait until all of them hold it."""
    for server in servers:
        wait_until(
            lambda server=server: server.weights.revision == revision,
            f"revision {revision} at {server.instance_id}",
        )


def wait_past_the_bound(acknowledged: float) -> None:
    """Wait until nothing may begin any more on what was superseded then."""
    bound = acknowledged + VERSION_MS / 1000
    wait_until(lambda: time.monotonic() > bound, "the end of the time for older weights")
