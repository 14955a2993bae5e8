"""Waiting for what other processes and threads bring about, always with a deadline."""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import TypeVar

PATIENCE_S = 20.0  # generous: only what never comes takes so long
POLL_S = 0.02

Held = TypeVar("Held")


class NeverCame(AssertionError):
    """A condition did not come to hold before its deadline."""


def wait_until(holds: Callable[[], Held], what: str, patience_s: float = PATIENCE_S) -> Held:
    """Poll until `holds` gives something true and return that; raises `NeverCame`."""
    deadline = time.monotonic() + patience_s
    while True:
        held = holds()
        if held:
            return held
        if time.monotonic() > deadline:
            raise NeverCame(f"{what}: not within {patience_s:g} s")
        select.select([], [], [], POLL_S)
