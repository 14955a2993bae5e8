"""The answer of `GET /report`."""

from __future__ import annotations

import json
from dataclasses import dataclass


class MalformedReport(ValueError):
    """A report that cannot be read."""


@dataclass(frozen=True, slots=True)
class Report:
    """The state of a server some hundred milliseconds ago."""

    revisions: dict[str, int]
    busy: bool  # an order is under way
    call_count: int  # orders taken
    active: int
    queued: int


def read_report(body: bytes) -> Report:
    """Read a report; raises `MalformedReport`."""
    try:
        document = json.loads(body)
        return Report(
            revisions={str(m["label"]): int(m["revision"]) for m in document["model_list"]},
            busy=bool(document["busy"]),
            call_count=int(document["call_count"]),
            active=int(document.get("active", 0)),
            queued=int(document.get("queued", 0)),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as fault:
        raise MalformedReport(f"{type(fault).__name__}: {fault}") from fault
