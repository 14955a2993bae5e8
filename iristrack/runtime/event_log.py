"""Structured log of a process: one line of key=value pairs (logfmt) per event.

A line is `level=... event=...`, the fields bound to the log, then those of the event; `exception` adds the traceback
of the exception being handled. The interface is that of structlog, which is not used because importing it costs each
process 0.14 s of CPU time at startup and 6 MB of memory (`docs/performance.md`).
"""

from __future__ import annotations

import re
import traceback
from collections.abc import Callable

_QUOTED = re.compile(r'[\s="]|^\Z')
_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r"}
_ESCAPED = re.compile(r'[\\"\n\r]')


class EventLog:
    """Writes each event as one logfmt line."""

    def __init__(self, write: Callable[[str], None], **bound: object) -> None:
        """`write` is called with each line, including its newline; the `bound` fields are part of every line."""
        self._write = write
        self._bound = bound

    def info(self, event: str, **fields: object) -> None:
        """Log an expected event."""
        self._log("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an abnormal event that does not interrupt service."""
        self._log("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a failure."""
        self._log("error", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log a failure with the traceback of the exception being handled."""
        self._log("error", event, fields | {"exception": traceback.format_exc().rstrip("\n")})

    def _log(self, level: str, event: str, fields: dict[str, object]) -> None:
        pairs = {"level": level, "event": event} | self._bound | fields
        self._write(" ".join(f"{key}={_text(value)}" for key, value in pairs.items()) + "\n")


def _text(value: object) -> str:
    """Return a value as logfmt text, quoted if it would not be read as one word."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if not text or not _QUOTED.search(text):
        return text
    return '"' + _ESCAPED.sub(lambda match: _ESCAPES[match[0]], text) + '"'
