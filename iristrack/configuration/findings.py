"""Findings: what is wrong in a document, where, and how to correct it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

WHOLE_DOCUMENT = "document"

Step = str | int


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in a document.

    Attributes:
        place: Path of the invalid value, such as ``route_table[3].timeout_ms``.
        problem: What is wrong with it.
        remedy: What would correct it.
    """

    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        return f"{self.place}: {self.problem}; {self.remedy}"


def place_of(steps: Iterable[Step]) -> str:
    """Return the path of keys and list positions as ``key[position].key``."""
    place = ""
    for step in steps:
        if isinstance(step, int):
            place += f"[{step}]"
        elif place:
            place += f".{step}"
        else:
            place = step
    return place or WHOLE_DOCUMENT
