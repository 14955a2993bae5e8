"""Write the report of an experiment: a summary table, paired comparisons and charts in one HTML file.

This module defines the format of the summary. The HTML file must be self-contained.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import jinja2

from iristrack.lab import charts
from iristrack.lab.experiment import OURS
from iristrack.lab.statistics import Interval, interval, paired

TEMPLATE = "report.html"


def groups(rows: list[dict[str, str]]) -> dict[tuple[str, ...], list[dict[str, str]]]:
    """Group rows by their factor levels, in order of first appearance."""
    rows_by_level: dict[tuple[str, ...], list[dict[str, str]]] = {}
    for row in rows:
        level = tuple(f"{name[7:]} = {value}" for name, value in row.items() if name.startswith("factor "))
        rows_by_level.setdefault(level, []).append(row)
    return rows_by_level


def summary(description: dict, rows: list[dict[str, str]]) -> list[dict[str, Any]]:
    """Return, by level and balancer, each figure's interval and that of its paired difference to iristrack."""
    figures = description["experiment"]["figures"]
    table = []
    for level, level_rows in groups(rows).items():
        baseline_rows = {row["replication"]: row for row in level_rows if row["balancer"] == OURS}
        for balancer in dict.fromkeys(row["balancer"] for row in level_rows):
            balancer_rows = [row for row in level_rows if row["balancer"] == balancer]
            intervals: dict[str, tuple[Interval, Interval | None]] = {}
            for figure in figures:
                if figure not in balancer_rows[0]:
                    continue
                difference = None
                pairs = [
                    (float(r[figure]), float(baseline_rows[r["replication"]][figure]))
                    for r in balancer_rows
                    if r["replication"] in baseline_rows
                ]
                if balancer != OURS and pairs:
                    difference = paired([a for a, _ in pairs], [b for _, b in pairs])
                intervals[figure] = interval([float(r[figure]) for r in balancer_rows]), difference
            broken = sum(1 for row in balancer_rows if row["rules_kept"] != "1")
            table.append(
                {
                    "level": ", ".join(level) or "-",
                    "balancer": balancer,
                    "runs": len(balancer_rows),
                    "broken": broken,
                    "cells": intervals,
                }
            )
    return table


def write(folder: Path, description: dict, rows: list[dict[str, str]], details: dict[str, dict]) -> Path:
    """Draw the charts, write `report.html`, and return its path."""
    names = charts.draw_all(description, rows, details, folder / "charts")
    drawings = [(folder / "charts" / f"{name}.svg").read_text() for name in names]
    drawings = [text[text.index("<svg") :] for text in drawings]
    template_folder = Path(__file__).resolve().parent
    environment = jinja2.Environment(loader=jinja2.FileSystemLoader(template_folder), autoescape=True)
    text = environment.get_template(TEMPLATE).render(
        told=description,
        rows=rows,
        summary=summary(description, rows),
        drawings=list(zip(names, drawings, strict=True)),
        revision=rows[0]["revision"] if rows else "",
    )
    path = folder / "report.html"
    path.write_text(text)
    return path
