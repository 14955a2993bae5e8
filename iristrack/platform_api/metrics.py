"""A role's own figures as text, one `name value` a line, as collectors of metrics read them."""

from __future__ import annotations

from collections.abc import Mapping

PREFIX = "iristrack_"
CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"


def format_metrics(figures: Mapping[str, int | float | bool]) -> bytes:
    """The figures in the order of their names; a bool is 0 or 1."""
    lines = (
        f"{PREFIX}{name} {value:d}" if isinstance(value, bool) else f"{PREFIX}{name} {value}"
        for name, value in sorted(figures.items())
    )
    return "".join(f"{line}\n" for line in lines).encode()
