"""What a whole fleet of sidecars did, second by second, counted from their own logs.

This file owns the reading of the daemon's DEBUG and INFO lines and the counts by second. It starts nothing and asks
nobody: only lines that were written. A line that it does not know is passed over; it keeps one row a second and one
open attempt a call, so that its memory is bounded by `MOST_SECONDS` and `MOST_CALLS`.

A log line begins with a clock, perhaps behind a stamp, in brackets or not, of whoever ran the sidecars:

    [12.04] 23:32:27.121 DEBUG call 9b1f attempt 0 at s-39: OK after 12 ms, final
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

DAY_S = 86_400
MOST_SECONDS = 7_200  # two hours; what lies behind is not counted
MOST_CALLS = 1_000_000  # whose first attempt is remembered
FEW_MS = 50  # a refusal this soon after a call's arrival cannot be told from one at once

_LINE = re.compile(r"^(?:\[?([\d.]+)\]? )?(\d\d):(\d\d):(\d\d)\.(\d+) (\w+) (.*)$")
_SENT = re.compile(r"^call (\S+) attempt (\d+) to (\S+) within (-?\d+) ms$")
_ENDED = re.compile(r"^call (\S+) attempt (\d+) at (\S+): (\w+) after (\d+) ms")
_ANSWERED = re.compile(r"^call (\S+) (\S+) answered (\w+) after (\d+) attempts, (-?\d+) ms before its end$")
_EJECTED = re.compile(r"^server (\S+) ejected: (.*)$")
_CAUSE = re.compile(r" of \S+$")  # a class's name behind a cause of ejection


@dataclass(slots=True)
class Second:
    """One second of the fleet."""

    answers: Counter[str] = field(default_factory=Counter)  # SERVED, REFUSED, FAILED
    refused: Counter[str] = field(default_factory=Counter)  # by cause, see `cause`
    sent: int = 0  # attempts
    again: int = 0  # of them, not a call's first
    ended: Counter[str] = field(default_factory=Counter)  # by outcome
    ejected: Counter[str] = field(default_factory=Counter)  # by cause
    servers: set[str] = field(default_factory=set)  # that got a attempt
    sidecars: set[int] = field(default_factory=set)  # that sent or answered


def cause(tasks: int, last: str | None) -> str:
    """Why a call got a refusal, as far as its lines tell.

    `tasks` is how many attempts it had, `last` the outcome of the last one.
    """
    if not tasks:
        return "never sent"
    return f"after {last or 'an unknown end'}"


@dataclass(slots=True)
class Fleet:
    """All logs of one play: rows by second from the first line on."""

    rows: list[Second] = field(default_factory=list)
    begin: float | None = None
    passed_over: int = 0
    left_ms: list[int] = field(
        default_factory=list
    )  # of their time that calls never sent had left when refused
    _last: dict[str, str] = field(default_factory=dict)  # a call's last outcome

    def row(self, at: float) -> Second | None:
        """The row of a moment (s); None where it lies outside what is kept."""
        if self.begin is None:
            self.begin = at
        second = int(at - self.begin) % DAY_S  # midnight may lie between
        if second >= MOST_SECONDS:
            return None
        while len(self.rows) <= second:
            self.rows.append(Second())
        return self.rows[second]

    def read(self, lines: Iterable[str], sidecar: int) -> None:
        """Count one sidecar's lines, oldest first."""
        for line in lines:
            found = _LINE.match(line.rstrip("\n"))
            if found is None:
                self.passed_over += 1
                continue
            stamp, hours, minutes, seconds, part, _, text = found.groups()
            clock = int(hours) * 3600 + int(minutes) * 60 + int(seconds) + float(f"0.{part}")
            row = self.row(float(stamp) if stamp else clock)
            if row is not None and not self._count(row, text, sidecar):
                self.passed_over += 1

    def _count(self, row: Second, text: str, sidecar: int) -> bool:
        if found := _SENT.match(text):
            row.sent += 1
            row.again += found[2] != "0"
            row.servers.add(found[3])
        elif found := _ENDED.match(text):
            row.ended[found[4]] += 1
            if found[4] != "OK" and (len(self._last) < MOST_CALLS or found[1] in self._last):
                self._last[found[1]] = found[4]
        elif found := _ANSWERED.match(text):
            row.answers[found[3]] += 1
            last = self._last.pop(found[1], None)
            if found[3] == "REFUSED":
                row.refused[cause(int(found[4]), last)] += 1
                if found[4] == "0":
                    self.left_ms.append(int(found[5]))
        elif found := _EJECTED.match(text):
            row.ejected[_CAUSE.sub("", found[2])] += 1
        else:
            return False
        row.sidecars.add(sidecar)
        return True

    def total(self, name: str) -> Counter[str]:
        """A counter of the rows, added up over the day."""
        total: Counter[str] = Counter()
        for row in self.rows:
            total += getattr(row, name)
        return total

    def quartiles(self) -> tuple[int, int, int] | None:
        """Of the time (ms) that calls refused without a attempt had left; None where there were none."""
        if not self.left_ms:
            return None
        left = sorted(self.left_ms)
        return left[len(left) // 4], left[len(left) // 2], left[3 * len(left) // 4]


def load(folder: Path) -> Fleet:
    """Read all `*.log` files of a folder; raises `ValueError` in one line where there are none or no line is known.

    Lines without a stamp of the whole play's clock count from the earliest log's first line on.
    """
    files = sorted(folder.glob("*.log")) if folder.is_dir() else []
    if not files:
        raise ValueError(f"{folder} holds no logs (*.log)")
    fleet = Fleet()
    firsts = []
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            found = next((m for m in map(_LINE.match, lines) if m), None)
        if found is not None:
            firsts.append(
                float(found[1]) if found[1] else int(found[2]) * 3600 + int(found[3]) * 60 + int(found[4])
            )
    fleet.begin = float(int(min(firsts))) if firsts else None
    for number, file in enumerate(files):
        with file.open(encoding="utf-8", errors="replace") as lines:
            fleet.read(lines, number)
    if not any(row.sidecars for row in fleet.rows):
        raise ValueError(f"{folder}: no log has lines by call id: start the sidecars with --log-level DEBUG")
    return fleet
