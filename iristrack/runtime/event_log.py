"""The log of a process in service: one line of key=value pairs (logfmt) for each event.

A line is `level=... event=...`, the fields that are bound to the log, then those of the event; `exception` adds the
traceback of the exception being handled. It stands in for structlog, which with its imports costs each process 0.14 s
of processor time at its start and 6 MB (`docs/performance.md`); calls are the same.
"""

from __future__ import annotations

import re
import traceback
from collections.abc import Callable

_QUOTED = re.compile(r'[\s="]|^\Z')
_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r"}
_ESCAPED = re.compile(r'[\\"\n\r]')


class EventLog:
    """Writes events as lines."""

    def __init__(self, write: Callable[[str], None], **bound: object) -> None:
        """`write` takes each line with its end; `bound` fields stand in every line."""
        self._write = write
        self._bound = bound

    def info(self, event: str, **fields: object) -> None:
        """Something that is expected happened."""
        self._log("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Something is not as it should be, and service goes on."""
        self._log("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Something failed."""
        self._log("error", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Something failed by an exception, which is being handled now."""
        self._log("error", event, fields | {"exception": traceback.format_exc().rstrip("\n")})

    def _log(self, level: str, event: str, fields: dict[str, object]) -> None:
        pairs = {"level": level, "event": event} | self._bound | fields
        self._write(" ".join(f"{key}={_text(value)}" for key, value in pairs.items()) + "\n")


def _text(value: object) -> str:
    """Return a value as logfmt writes it: quoted where it would not be read as one word."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if not text or not _QUOTED.search(text):
        return text
    return '"' + _ESCAPED.sub(lambda match: _ESCAPES[match[0]], text) + '"'
