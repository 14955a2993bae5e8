"""Draw the results of an experiment as SVG and PNG charts in a common style.

This module reads rows and details; apart from means and confidence intervals it computes no figures.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import numpy as np

from iristrack.lab.statistics import interval

COLOURS = {
    "iristrack": "#1b6ca8", "random": "#9a9a9a", "round_robin": "#b08d57", "two_choices": "#4b9e6a",
    "bounded_hash": "#c65d3b", "ewma": "#8b5fa8", "oracle": "#222222",
}  # fmt: skip
STYLE = {
    "figure.figsize": (8.0, 4.2), "figure.dpi": 110, "axes.grid": True, "grid.alpha": 0.25, "axes.spines.top": False,
    "axes.spines.right": False, "font.size": 9, "legend.frameon": False, "svg.hashsalt": "iristrack",
    "svg.fonttype": "none",
}  # fmt: skip
MAX_SERVERS = 60  # in one chart

Rows = list[dict[str, str]]
Details = dict[str, dict[str, Any]]


def _save(figure: Any, folder: Path, name: str) -> str:
    folder.mkdir(parents=True, exist_ok=True)
    for kind in ("svg", "png"):
        metadata = {"Date": None} if kind == "svg" else None
        figure.savefig(folder / f"{name}.{kind}", metadata=metadata, bbox_inches="tight")
    plt.close(figure)
    return name


def _balancers(rows: Rows) -> list[str]:
    return list(dict.fromkeys(row["balancer"] for row in rows))


def _rows_of_balancer(rows: Rows, balancer: str) -> Rows:
    return [row for row in rows if row["balancer"] == balancer]


def timeline(rows: Rows, details: Details, folder: Path) -> str:
    """Draw goodput and held requests by second (mean over replications), with the faults of the first run shaded."""
    with plt.rc_context(STYLE):
        figure, axes = plt.subplots(2, 1, sharex=True, figsize=(8.0, 5.4))
        for balancer in _balancers(rows):
            series = [
                details[row["run"]]["seconds"]
                for row in _rows_of_balancer(rows, balancer)
                if row["run"] in details
            ]
            for axis, name in zip(axes, ("goodput", "held_mean"), strict=True):
                length = min((len(x[name]) for x in series), default=0)
                if length:
                    mean = np.mean([x[name][:length] for x in series], axis=0)
                    axis.plot(mean, label=balancer, color=COLOURS.get(balancer), lw=1.3)
        first = next(iter(details.values()), None)
        for kind, begin, end, _ in first["spans"] if first else []:
            for axis in axes:
                axis.axvspan(begin, end, color="#d9a441", alpha=0.15, lw=0)
            axes[0].text(
                begin, 1.02, kind.replace("_", " "), fontsize=7, transform=axes[0].get_xaxis_transform()
            )
        axes[0].set_ylabel("goodput, share of worth")
        axes[0].set_ylim(bottom=0)
        axes[1].set_ylabel("requests held by a server")
        axes[1].set_xlabel("second of the day")
        axes[0].legend(ncols=4, fontsize=8, loc="lower left")
        return _save(figure, folder, "timeline")


def percentiles(rows: Rows, details: Details, folder: Path) -> str:
    """Draw latency over the percentile curve, as the mean over replications."""
    with plt.rc_context(STYLE):
        figure, axis = plt.subplots()
        for balancer in _balancers(rows):
            curves = [
                details[r["run"]]["curve"]
                for r in _rows_of_balancer(rows, balancer)
                if details.get(r["run"], {}).get("curve")
            ]
            if not curves:
                continue
            percentile_points = [p for p, _ in curves[0]]
            mean = np.mean([[ms for _, ms in curve] for curve in curves], axis=0)
            x = [1 / max(1e-5, 1 - p / 100) for p in percentile_points]
            axis.plot(x[:-1], mean[:-1], label=balancer, color=COLOURS.get(balancer), marker=".", lw=1.3)
        axis.set_xscale("log")
        axis.set_xticks([1, 2, 10, 100, 1000, 10000], ["0", "50", "90", "99", "99.9", "99.99"])
        axis.set_xlabel("percentile")
        axis.set_ylabel("ms from the first ask to the answer")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=8)
        return _save(figure, folder, "percentiles")


def servers(rows: Rows, details: Details, folder: Path) -> str:
    """Draw the utilization of each pool server in the first replication."""
    with plt.rc_context(STYLE):
        figure, axis = plt.subplots()
        for balancer in _balancers(rows):
            series = [
                details[r["run"]]["per_server"]
                for r in _rows_of_balancer(rows, balancer)
                if r["run"] in details
            ]
            if series:
                busy = [share for _, share, _ in series[0]][:MAX_SERVERS]
                axis.plot(busy, "o-", ms=3, lw=0.7, label=balancer, color=COLOURS.get(balancer))
        axis.set_xlabel("pool server")
        axis.set_ylabel("share of its slots' time in use")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=8)
        return _save(figure, folder, "servers")


def sweep(rows: Rows, factor: str, figure_name: str, folder: Path) -> str:
    """Draw a figure over the levels of a factor, with confidence intervals."""
    column = f"factor {factor}"
    levels = list(dict.fromkeys(row[column] for row in rows))
    numeric = all(_is_number(level) for level in levels)
    x = [float(level) for level in levels] if numeric else list(range(len(levels)))
    with plt.rc_context(STYLE):
        figure, axis = plt.subplots()
        for balancer in _balancers(rows):
            series = []
            for level in levels:
                values = [
                    float(r[figure_name]) for r in _rows_of_balancer(rows, balancer) if r[column] == level
                ]
                series.append(interval(values))
            colour = COLOURS.get(balancer)
            axis.plot(x, [i.mean for i in series], "o-", ms=3, lw=1.3, label=balancer, color=colour)
            axis.fill_between(
                x, [i.low for i in series], [i.high for i in series], color=colour, alpha=0.15, lw=0
            )
        if not numeric:
            axis.set_xticks(x, levels)
        axis.set_xlabel(factor)
        axis.set_ylabel(figure_name)
        axis.legend(fontsize=8)
        file_name = "".join(c if c.isalnum() else "-" for c in f"{factor}-{figure_name}")
        return _save(figure, folder, f"sweep-{file_name}")


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True


def draw_all(description: dict, rows: Rows, details: Details, folder: Path) -> list[str]:
    """Draw all charts of a results folder and return their names."""
    if not rows:
        return []
    names = [
        timeline(rows, details, folder),
        percentiles(rows, details, folder),
        servers(rows, details, folder),
    ]
    experiment = description["experiment"]
    for factor in experiment["factors"]:
        for figure in experiment["figures"][:2]:
            if figure in rows[0]:
                names.append(sweep(rows, factor["path"], figure, folder))
    return names
