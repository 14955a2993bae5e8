"""Parsing of the answer of `GET /report`."""

from __future__ import annotations

import json
from dataclasses import dataclass


class MalformedReport(ValueError):
    """The report cannot be parsed."""


@dataclass(frozen=True, slots=True)
class Report:
    """The state of a server as of some hundred milliseconds ago."""

    revisions: dict[str, int]
    busy: bool  # an order is in progress
    call_count: int  # orders accepted
    active: int
    queued: int


def read_report(body: bytes) -> Report:
    """Parse a report. Raises `MalformedReport`."""
    try:
        document = json.loads(body)
        return Report(
            revisions={str(m["label"]): int(m["revision"]) for m in document["model_list"]},
            busy=bool(document["busy"]),
            call_count=int(document["call_count"]),
            active=int(document.get("active", 0)),
            queued=int(document.get("queued", 0)),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        raise MalformedReport(f"{type(error).__name__}: {error}") from error
