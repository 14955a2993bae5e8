"""Count the activity of a fleet of sidecars per second, from the logs of the sidecars.

This module parses the DEBUG and INFO lines of the daemon. It reads only log files: it starts no process and sends no
query. Unknown lines are skipped and counted. It keeps one row per second and the last outcome of each open call, so
`MAX_SECONDS` and `MAX_TRACKED_CALLS` bound its memory.

A log line begins with the time of day. A time stamp of the program that ran the sidecars, with or without brackets,
may precede it:

    [12.04] 23:32:27.121 DEBUG call 9b1f attempt 0 at s-39: OK after 12 ms, final
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

DAY_S = 86_400
MAX_SECONDS = 7_200  # two hours; later lines are not counted
MAX_TRACKED_CALLS = 1_000_000  # calls whose last outcome is kept
IMMEDIATE_REFUSAL_MS = 50  # a refusal this soon after arrival cannot be distinguished from an immediate one

_LINE = re.compile(r"^(?:\[?([\d.]+)\]? )?(\d\d):(\d\d):(\d\d)\.(\d+) (\w+) (.*)$")
_SENT = re.compile(r"^call (\S+) attempt (\d+) to (\S+) within (-?\d+) ms$")
_ENDED = re.compile(r"^call (\S+) attempt (\d+) at (\S+): (\w+) after (\d+) ms")
_ANSWERED = re.compile(r"^call (\S+) (\S+) answered (\w+) after (\d+) attempts, (-?\d+) ms before its end$")
_EJECTED = re.compile(r"^server (\S+) ejected: (.*)$")
_CLASS_SUFFIX = re.compile(r" of \S+$")  # the name of the request class after the cause of an ejection


@dataclass(slots=True)
class Second:
    """The counts of one second over all sidecars."""

    answers: Counter[str] = field(default_factory=Counter)  # SERVED, REFUSED, FAILED
    refused: Counter[str] = field(default_factory=Counter)  # by cause, see `refusal_cause`
    sent: int = 0  # attempts sent
    again: int = 0  # retries among the sent attempts
    ended: Counter[str] = field(default_factory=Counter)  # by outcome
    ejected: Counter[str] = field(default_factory=Counter)  # by cause
    servers: set[str] = field(default_factory=set)  # servers that an attempt was sent to
    sidecars: set[int] = field(default_factory=set)  # sidecars with at least one counted line


def refusal_cause(attempts: int, last_outcome: str | None) -> str:
    """Return the cause of a refused call, as far as the log shows it.

    `attempts` is the number of its attempts, `last_outcome` the outcome of the last one.
    """
    if not attempts:
        return "never sent"
    return f"after {last_outcome or 'an unknown end'}"


@dataclass(slots=True)
class Fleet:
    """The logs of one run: one row per second, beginning with the first line."""

    rows: list[Second] = field(default_factory=list)
    start_s: float | None = None
    passed_over: int = 0
    left_ms: list[int] = field(
        default_factory=list
    )  # time left until the deadline of calls refused without an attempt
    _last_outcome: dict[str, str] = field(default_factory=dict)  # last failed outcome by call id

    def row(self, at_s: float) -> Second | None:
        """Return the row of a time in seconds, or None if it is `MAX_SECONDS` or more after the start."""
        if self.start_s is None:
            self.start_s = at_s
        second = int(at_s - self.start_s) % DAY_S  # the run may cross midnight
        if second >= MAX_SECONDS:
            return None
        while len(self.rows) <= second:
            self.rows.append(Second())
        return self.rows[second]

    def read(self, lines: Iterable[str], sidecar: int) -> None:
        """Count the lines of one sidecar, oldest first."""
        for line in lines:
            match = _LINE.match(line.rstrip("\n"))
            if match is None:
                self.passed_over += 1
                continue
            stamp, hours, minutes, seconds, fraction, _, text = match.groups()
            clock_s = int(hours) * 3600 + int(minutes) * 60 + int(seconds) + float(f"0.{fraction}")
            row = self.row(float(stamp) if stamp else clock_s)
            if row is not None and not self._count(row, text, sidecar):
                self.passed_over += 1

    def _count(self, row: Second, text: str, sidecar: int) -> bool:
        if match := _SENT.match(text):
            row.sent += 1
            row.again += match[2] != "0"
            row.servers.add(match[3])
        elif match := _ENDED.match(text):
            row.ended[match[4]] += 1
            if match[4] != "OK" and (
                len(self._last_outcome) < MAX_TRACKED_CALLS or match[1] in self._last_outcome
            ):
                self._last_outcome[match[1]] = match[4]
        elif match := _ANSWERED.match(text):
            row.answers[match[3]] += 1
            last_outcome = self._last_outcome.pop(match[1], None)
            if match[3] == "REFUSED":
                row.refused[refusal_cause(int(match[4]), last_outcome)] += 1
                if match[4] == "0":
                    self.left_ms.append(int(match[5]))
        elif match := _EJECTED.match(text):
            row.ejected[_CLASS_SUFFIX.sub("", match[2])] += 1
        else:
            return False
        row.sidecars.add(sidecar)
        return True

    def total(self, name: str) -> Counter[str]:
        """Return the sum of one counter over all rows."""
        total: Counter[str] = Counter()
        for row in self.rows:
            total += getattr(row, name)
        return total

    def quartiles(self) -> tuple[int, int, int] | None:
        """Return the quartiles of `left_ms`, or None if no call was refused without an attempt."""
        if not self.left_ms:
            return None
        left = sorted(self.left_ms)
        return left[len(left) // 4], left[len(left) // 2], left[3 * len(left) // 4]


def load(folder: Path) -> Fleet:
    """Read all `*.log` files of a folder.

    Raises `ValueError` with a text of one line if there are no logs or no line is known. Seconds count from the
    earliest first line of all logs, by its time stamp or else by its time of day.
    """
    files = sorted(folder.glob("*.log")) if folder.is_dir() else []
    if not files:
        raise ValueError(f"{folder} holds no logs (*.log)")
    fleet = Fleet()
    first_times_s = []
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            match = next((m for m in map(_LINE.match, lines) if m), None)
        if match is not None:
            first_times_s.append(
                float(match[1]) if match[1] else int(match[2]) * 3600 + int(match[3]) * 60 + int(match[4])
            )
    fleet.start_s = float(int(min(first_times_s))) if first_times_s else None
    for sidecar, file in enumerate(files):
        with file.open(encoding="utf-8", errors="replace") as lines:
            fleet.read(lines, sidecar)
    if not any(row.sidecars for row in fleet.rows):
        raise ValueError(f"{folder}: no log has lines by call id: start the sidecars with --log-level DEBUG")
    return fleet
