"""Break the lost worth of a benchmark day down into shares that add up to the whole loss.

The input is a report of the bench (`fleetbench run ... --report FILE`) and, optionally, the log of the processes
(`--log all`), whose `figures` lines contain the reasons of late answers. The loss of a day is 1 - G. Each part of G
(whole day, worst windows, worst kind of request) loses its weight times (1 - its value), and each price is a separate
loss. The loss of the whole day is divided by kind of request and by how the requests ended; late answers are divided
further by reason.
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
LATE_LOSS_RATIO = 0.7  # share of its worth that a late answer loses, the same for every kind of request
MIN_LISTED_SHARE = 0.0005  # smaller losses are summed up in one row
_FIGURES_LINE = re.compile(r"^\s*-?[\d.]+ (?P<node>\S+) .*event=figures (?P<pairs>.*)$")
_PAIR = re.compile(r"(\w+)=(\d+)\b")


class AccountError(ValueError):
    """Raised for a report or a log that cannot be read."""


@dataclass(frozen=True, slots=True)
class Loss:
    """One row: the part of the goal, the cause, and the lost share of the worth due."""

    part: str
    cause: str
    share: float


@dataclass(frozen=True, slots=True)
class Window:
    """One counting window of the bench (two seconds, or the length that the bench uses)."""

    start_s: float
    request_count: int
    late: int
    refused: int
    failed: int
    worth: float


@dataclass(frozen=True, slots=True)
class Trouble:
    """A fault or a planned change, with its start and end in seconds of the day."""

    kind: str
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class Account:
    """A day: its figure G, the losses that explain it, the counting windows, and the faults."""

    figure: float
    losses: tuple[Loss, ...]
    windows: tuple[Window, ...]
    troubles: tuple[Trouble, ...]

    @property
    def unexplained(self) -> float:
        """The part of the loss that no row explains; only rounding errors in a consistent report."""
        return 1 - self.figure - sum(loss.share for loss in self.losses)


def read_account(report_path: Path, log_path: Path | None = None) -> Account:
    """Read a report and optionally a log; raises `AccountError` if one of them cannot be used."""
    report = _read_report(report_path)
    late_reason_counts = Counter() if log_path is None else late_reasons(_read_lines(log_path))
    try:
        return _build_account(report, late_reason_counts)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise AccountError(f"{report_path}: is not a report of a benchmark day: {error!r}") from None


def late_reasons(lines: Iterable[str]) -> Counter[LateReason]:
    """Sum the reasons of late answers over all processes; the counters of a restarted process begin at 0."""
    latest_by_node: dict[str, dict[str, int]] = {}
    total: Counter[LateReason] = Counter()
    for line in lines:
        match = _FIGURES_LINE.match(line)
        if match is None:
            continue
        counters = {name: int(value) for name, value in _PAIR.findall(match["pairs"])}
        previous = latest_by_node.get(match["node"], {})
        if counters.get("requests", 0) < previous.get("requests", 0):
            previous = {}
        for reason in LateReason:
            name = f"late_{reason.value}"
            total[reason] += max(0, counters.get(name, 0) - previous.get(name, 0))
        latest_by_node[match["node"]] = counters
    return total


def _read_report(path: Path) -> dict:
    try:
        report = json.loads(path.read_text())
    except OSError as error:
        raise AccountError(f"{path}: cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise AccountError(f"{path}: is not JSON: {error}") from None
    if not isinstance(report, dict):
        raise AccountError(f"{path}: is not an object")
    return report


def _read_lines(path: Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as error:
        raise AccountError(f"{path}: cannot be read: {error.strerror}") from None


def _build_account(report: dict, late_reason_counts: Counter[LateReason]) -> Account:
    losses: list[Loss] = []
    for name, weight, value in report["parts"]:
        lost = weight * (1 - value)
        if name == WHOLE_DAY:
            losses += _whole_day_losses(report["classes"], lost, late_reason_counts)
        else:
            losses.append(Loss(name, "the part as a whole", lost))
    losses += [Loss("prices", name, share) for name, _, share in report["prices"] if share]
    windows = tuple(
        Window(float(w["name"]), w["n"], w["late"], w["refused"], w["failed"], w["worth"])
        for w in report["windows"]
    )
    troubles = tuple(Trouble(e["kind"].strip(), e["at_s"], e["to_s"]) for e in report["events"])
    return Account(report["G"], tuple(losses), windows, troubles)


def _whole_day_losses(
    classes: Sequence[dict], lost: float, late_reason_counts: Counter[LateReason]
) -> list[Loss]:
    """Divide a loss by kind of request and ending, weighted by the cost of each ending in requests of that kind.

    The bench reports the share of its worth that each kind earned, but not the worth of one request. Kinds are
    therefore weighted by their number of requests: the sum equals the loss, and the share of each kind is an estimate.
    """
    weights: dict[tuple[str, str], float] = {}
    for kind in classes:
        request_count = max(1, kind["n"] - kind["not_owed"])
        weight_by_ending = {
            "late": LATE_LOSS_RATIO * kind["late"],
            "refused": float(kind["refused"]),
            "failed": float(kind["failed"]),
        }
        total = sum(weight_by_ending.values())
        for ending, weight in weight_by_ending.items():
            if total:
                weights[kind["name"], ending] = (1 - kind["worth"]) * request_count * weight / total
    total_weight = sum(weights.values())
    if not total_weight:
        return [Loss(WHOLE_DAY, "not reported", lost)] if lost else []
    late_total = sum(late_reason_counts.values())
    rows = []
    for (kind, ending), weight in weights.items():
        share = lost * weight / total_weight
        if ending == "late" and late_total:
            rows += [
                Loss(WHOLE_DAY, f"{kind}, late: {reason.value}", share * count / late_total)
                for reason, count in late_reason_counts.items()
                if count
            ]
        else:
            rows.append(Loss(WHOLE_DAY, f"{kind}, {ending}", share))
    return rows


def table(account: Account) -> list[str]:
    """Return the account as rows of a Markdown table, largest losses first, with small ones summed up."""
    rows = ["| part | cause | lost | share of the loss |", "| --- | --- | --- | --- |"]
    loss = 1 - account.figure
    listed = [row for row in account.losses if abs(row.share) >= MIN_LISTED_SHARE]
    rest = sum(row.share for row in account.losses) - sum(row.share for row in listed) + account.unexplained
    for row in [*sorted(listed, key=lambda row: -row.share), Loss("all others", "and rounding", rest)]:
        of_loss = row.share / loss if loss else 0.0
        rows.append(f"| {row.part} | {row.cause} | {row.share:.4f} | {of_loss:.1%} |")
    rows.append(f"| all | | {loss:.4f} | 100.0% |")
    return rows


def plot(account: Account, path: Path) -> None:
    """Draw the day by second: worth and late, refused and failed requests below, faults as bars above."""
    from iristrack.lab.charts import STYLE, plt

    with plt.rc_context(STYLE):
        figure, (top, bottom) = plt.subplots(
            2, 1, sharex=True, figsize=(9.0, 6.0), height_ratios=(1, 2), layout="constrained"
        )
        for row, trouble in enumerate(account.troubles):
            top.barh(
                row,
                trouble.end_s - trouble.start_s,
                left=trouble.start_s,
                height=0.7,
                color="#c65d3b",
                alpha=0.6,
            )
        top.set_yticks(
            range(len(account.troubles)), [trouble.kind for trouble in account.troubles], fontsize=7
        )
        top.invert_yaxis()
        starts_s = [window.start_s for window in account.windows]
        width = min((b - a for a, b in pairwise(starts_s)), default=1.0)
        stacked = [0.0] * len(starts_s)
        for name, colour in (("late", "#b08d57"), ("refused", "#8b5fa8"), ("failed", "#222222")):
            counts = [getattr(window, name) for window in account.windows]
            bottom.bar(starts_s, counts, width, stacked, align="edge", label=name, color=colour, alpha=0.8)
            stacked = [a + b for a, b in zip(stacked, counts, strict=True)]
        bottom.set_ylabel("requests")
        bottom.set_xlabel("second of the day")
        worth = bottom.twinx()
        worth.step(
            starts_s,
            [window.worth for window in account.windows],
            where="post",
            color="#1b6ca8",
            label="worth",
        )
        worth.set_ylim(0, 1.02)
        worth.set_ylabel("worth earned of worth owed")
        bottom.legend(loc="upper left")
        worth.legend(loc="upper right")
        figure.savefig(path)
        plt.close(figure)
