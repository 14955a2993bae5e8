"""Formats the metrics of a process as text for metrics collectors: one `name value` per line."""

from __future__ import annotations

from collections.abc import Mapping

PREFIX = "iristrack_"
CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"


def format_metrics(metrics: Mapping[str, int | float | bool]) -> bytes:
    """Return the metrics sorted by name; a bool is written as 0 or 1."""
    lines = (
        f"{PREFIX}{name} {value:d}" if isinstance(value, bool) else f"{PREFIX}{name} {value}"
        for name, value in sorted(metrics.items())
    )
    return "".join(f"{line}\n" for line in lines).encode()
