"""Where the worth of a played day was lost: in shares that add up to all of it.

Input is a report of the bench (`fleetbench run ... --report FILE`) and, if wanted, the text that the processes wrote
(`--log all`), whose `figures` lines tell the reasons of late answers. The loss of a day is 1 less its figure G: each
part of the goal (whole day, worst windows, worst kind of request) loses its weight times what it lacks, and each price
is a loss of its own. The part of the whole day is divided by kind of request and by how it ended, late answers further
by reason.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

from iristrack.dataplane.lateness import LateReason

WHOLE_DAY = "whole day"
LATE_SHARE = 0.7  # of its worth is what a late answer lacks, in all tables of kinds of requests
LEAST_SHARE = 0.0005  # a loss below it is not worth a row
_FIGURES = re.compile(r"^\s*-?[\d.]+ (?P<node>\S+) .*event=figures (?P<pairs>.*)$")
_PAIR = re.compile(r"(\w+)=(\d+)\b")


class AccountError(ValueError):
    """A report or a log that cannot be read."""


@dataclass(frozen=True, slots=True)
class Loss:
    """One row: what was lost, where, and how much of the worth owed."""

    part: str
    cause: str
    share: float


@dataclass(frozen=True, slots=True)
class Span:
    """Two seconds of the day, or how long the bench counts together."""

    second: float
    asked: int
    late: int
    refused: int
    failed: int
    worth: float


@dataclass(frozen=True, slots=True)
class Trouble:
    """A trouble or a planned change, from second to second."""

    kind: str
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class Account:
    """A day: its figure, the losses that make it up, and its course."""

    figure: float
    losses: tuple[Loss, ...]
    spans: tuple[Span, ...]
    troubles: tuple[Trouble, ...]

    @property
    def unexplained(self) -> float:
        """What the losses do not add up to; rounding alone where all is well."""
        return 1 - self.figure - sum(loss.share for loss in self.losses)


def read_account(report_path: Path, log_path: Path | None = None) -> Account:
    """Read a report, and a log; raises `AccountError` where they cannot be used."""
    report = _read_report(report_path)
    reasons = Counter() if log_path is None else late_reasons(_read_lines(log_path))
    try:
        return _account(report, reasons)
    except (KeyError, TypeError, ValueError, IndexError) as fault:
        raise AccountError(f"{report_path}: is no report of a played day: {fault!r}") from None


def late_reasons(lines: Iterable[str]) -> Counter[LateReason]:
    """Sum the reasons of late answers over all processes; a process that starts again counts from 0."""
    newest: dict[str, dict[str, int]] = {}
    total: Counter[LateReason] = Counter()
    for line in lines:
        match = _FIGURES.match(line)
        if match is None:
            continue
        told = {name: int(value) for name, value in _PAIR.findall(match["pairs"])}
        known = newest.get(match["node"], {})
        if told.get("requests", 0) < known.get("requests", 0):
            known = {}
        for reason in LateReason:
            name = f"late_{reason.value}"
            total[reason] += max(0, told.get(name, 0) - known.get(name, 0))
        newest[match["node"]] = told
    return total


def _read_report(path: Path) -> dict:
    try:
        report = json.loads(path.read_text())
    except OSError as fault:
        raise AccountError(f"{path}: cannot be read: {fault.strerror}") from None
    except (ValueError, RecursionError) as fault:
        raise AccountError(f"{path}: is not JSON: {fault}") from None
    if not isinstance(report, dict):
        raise AccountError(f"{path}: is not an object")
    return report


def _read_lines(path: Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as fault:
        raise AccountError(f"{path}: cannot be read: {fault.strerror}") from None


def _account(report: dict, reasons: Counter[LateReason]) -> Account:
    losses: list[Loss] = []
    for name, weight, value in report["parts"]:
        lost = weight * (1 - value)
        if name == WHOLE_DAY:
            losses += _whole_day(report["classes"], lost, reasons)
        else:
            losses.append(Loss(name, "the part as a whole", lost))
    losses += [Loss("prices", name, share) for name, _, share in report["prices"] if share]
    spans = tuple(
        Span(float(w["name"]), w["n"], w["late"], w["refused"], w["failed"], w["worth"])
        for w in report["windows"]
    )
    troubles = tuple(Trouble(e["kind"].strip(), e["at_s"], e["to_s"]) for e in report["events"])
    return Account(report["G"], tuple(losses), spans, troubles)


def _whole_day(classes: Sequence[dict], lost: float, reasons: Counter[LateReason]) -> list[Loss]:
    """Divide a loss by kind and ending, by what each ending costs in requests of the kind's mean worth.

    The bench tells the share that each kind earned, not what a request of it is worth: kinds are weighed by their
    requests, so that the sum is the loss and what stands beside each kind is an estimate.
    """
    weights: dict[tuple[str, str], float] = {}
    for kind in classes:
        asked = max(1, kind["n"] - kind["not_owed"])
        endings = {
            "late": LATE_SHARE * kind["late"],
            "refused": float(kind["refused"]),
            "failed": float(kind["failed"]),
        }
        total = sum(endings.values())
        for ending, weight in endings.items():
            if total:
                weights[kind["name"], ending] = (1 - kind["worth"]) * asked * weight / total
    whole = sum(weights.values())
    if not whole:
        return [Loss(WHOLE_DAY, "not told", lost)] if lost else []
    late_total = sum(reasons.values())
    rows = []
    for (kind, ending), weight in weights.items():
        share = lost * weight / whole
        if ending == "late" and late_total:
            rows += [
                Loss(WHOLE_DAY, f"{kind}, late: {reason.value}", share * count / late_total)
                for reason, count in reasons.items()
                if count
            ]
        else:
            rows.append(Loss(WHOLE_DAY, f"{kind}, {ending}", share))
    return rows


def table(account: Account) -> list[str]:
    """The account as the rows of a Markdown table, the greatest losses first; small ones are summed up."""
    rows = ["| part | cause | lost | share of the loss |", "| --- | --- | --- | --- |"]
    loss = 1 - account.figure
    shown = [row for row in account.losses if abs(row.share) >= LEAST_SHARE]
    rest = sum(row.share for row in account.losses) - sum(row.share for row in shown) + account.unexplained
    for row in [*sorted(shown, key=lambda row: -row.share), Loss("all others", "and rounding", rest)]:
        of_loss = row.share / loss if loss else 0.0
        rows.append(f"| {row.part} | {row.cause} | {row.share:.4f} | {of_loss:.1%} |")
    rows.append(f"| all | | {loss:.4f} | 100.0% |")
    return rows


def plot(account: Account, path: Path) -> None:
    """Draw the day: worth by second, requests late, refused and failed, and the troubles as bars above."""
    from iristrack.lab.charts import STYLE, plt

    with plt.rc_context(STYLE):
        figure, (top, bottom) = plt.subplots(
            2, 1, sharex=True, figsize=(9.0, 6.0), height_ratios=(1, 2), layout="constrained"
        )
        for row, trouble in enumerate(account.troubles):
            top.barh(
                row, trouble.end - trouble.begin, left=trouble.begin, height=0.7, color="#c65d3b", alpha=0.6
            )
        top.set_yticks(
            range(len(account.troubles)), [trouble.kind for trouble in account.troubles], fontsize=7
        )
        top.invert_yaxis()
        seconds = [span.second for span in account.spans]
        width = min((b - a for a, b in pairwise(seconds)), default=1.0)
        floor = [0.0] * len(seconds)
        for name, colour in (("late", "#b08d57"), ("refused", "#8b5fa8"), ("failed", "#222222")):
            counts = [getattr(span, name) for span in account.spans]
            bottom.bar(seconds, counts, width, floor, align="edge", label=name, color=colour, alpha=0.8)
            floor = [a + b for a, b in zip(floor, counts, strict=True)]
        bottom.set_ylabel("requests")
        bottom.set_xlabel("second of the day")
        worth = bottom.twinx()
        worth.step(
            seconds, [span.worth for span in account.spans], where="post", color="#1b6ca8", label="worth"
        )
        worth.set_ylim(0, 1.02)
        worth.set_ylabel("worth earned of worth owed")
        bottom.legend(loc="upper left")
        worth.legend(loc="upper right")
        figure.savefig(path)
        plt.close(figure)
