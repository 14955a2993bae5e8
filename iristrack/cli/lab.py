"""`iristrack lab`: experiments over the emulator.

This file owns the sub-command's arguments, its progress and its exit codes: 0 done, 1 a rule was broken or a replay
differs, 2 a file or an argument that cannot be used, 130 stopped by Ctrl-C with what was done kept.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

MOST_JOBS = 64
WIDE = 220  # columns of a table that goes to a file


def add(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command; nothing of the laboratory is loaded yet."""
    lab = commands.add_parser("lab", help="experiments in virtual time (needs the extra `lab`)")
    parts = lab.add_subparsers(dest="lab", required=True)
    run = parts.add_parser("run", help="play an experiment, or a bare scenario, and keep its results")
    run.add_argument("experiment", type=Path, help="an experiment's or a scenario's TOML file")
    run.add_argument("--out", type=Path, required=True, help="the results' folder")
    run.add_argument("--jobs", type=int, default=1, help=f"processes, 1 to {MOST_JOBS} (default 1)")
    run.add_argument("--seed", type=int, help="in place of the experiment's own")
    run.add_argument(
        "--balancers", help="in place of the experiment's own: names with commas between, or `all`"
    )
    run.add_argument("--replications", type=int, help="in place of the experiment's own")
    run.add_argument(
        "--resume", action="store_true", help="go on where a stopped run of the same experiment ended"
    )
    run.add_argument("--no-report", action="store_true", help="leave out charts and report")
    compare = parts.add_parser("compare", help="two folders' results, paired by seed where they share it")
    compare.add_argument("old", type=Path)
    compare.add_argument("new", type=Path)
    replay = parts.add_parser("replay", help="play one run again and check that it comes out the same")
    replay.add_argument("folder", type=Path)
    replay.add_argument("--run", required=True, help="the run's id, as in runs.csv")
    replay.add_argument(
        "--explain", metavar="REQUEST", help="print what happened to a request (c12, or its try c12.1)"
    )
    listing = parts.add_parser("list", help="the scenarios and experiments of a folder")
    listing.add_argument("folder", type=Path, nargs="?", help="default: scenarios/ beside the package")
    fleet = parts.add_parser(
        "fleet", help="what a fleet did by second, counted from its sidecars' DEBUG logs"
    )
    fleet.add_argument("folder", type=Path, help="where the logs are (*.log, one a sidecar)")
    fleet.add_argument("--every", type=int, default=1, help="seconds a row (default 1)")
    account = parts.add_parser("account", help="where the worth of a played day was lost")
    account.add_argument("report", type=Path, help="a report of the bench (JSON)")
    account.add_argument("--log", type=Path, help="what the processes wrote, for the reasons of late answers")
    account.add_argument("--plot", type=Path, help="draw the day by second into this file (.png or .svg)")
    lab.set_defaults(call=main)


def main(chosen: argparse.Namespace) -> int:
    """Run it; the exit status."""
    try:
        from iristrack.emulator.scenario import ScenarioError
        from iristrack.lab.runner import FolderError
    except ModuleNotFoundError as fault:
        print(f"iristrack: lab needs {fault.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        return 2
    calls = {
        "run": _run,
        "compare": _compare,
        "replay": _replay,
        "list": _list,
        "fleet": _fleet,
        "account": _account,
    }
    try:
        return calls[chosen.lab](chosen)
    except (ScenarioError, FolderError) as fault:
        print(f"iristrack: {fault}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("iristrack: stopped; what was done is kept, --resume goes on", file=sys.stderr)
        return 130


def _account(chosen: argparse.Namespace) -> int:
    from iristrack.lab import account

    try:
        told = account.read_account(chosen.report, chosen.log)
    except account.AccountError as fault:
        print(f"iristrack: {fault}", file=sys.stderr)
        return 2
    print("\n".join(account.table(told)))
    if chosen.plot is None:
        return 0
    try:
        account.plot(told, chosen.plot)
    except (OSError, ValueError) as fault:  # a folder that is not there, a kind of file that cannot be drawn
        print(f"iristrack: {chosen.plot}: cannot be drawn: {fault}", file=sys.stderr)
        return 2
    return 0


def _run(chosen: argparse.Namespace) -> int:
    from msgspec.structs import replace
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from iristrack.lab import experiment as ex
    from iristrack.lab import report, runner
    from iristrack.lab.statistics import interval

    if not 1 <= chosen.jobs <= MOST_JOBS:
        print(f"iristrack: --jobs must lie between 1 and {MOST_JOBS}", file=sys.stderr)
        return 2
    if chosen.seed is not None and chosen.seed < 0:
        print("iristrack: --seed must be 0 or more", file=sys.stderr)
        return 2
    loaded = ex.load(chosen.experiment)
    changes = {}
    if chosen.balancers:
        changes["balancers"] = list(ex.COMPARED) if chosen.balancers == "all" else chosen.balancers.split(",")
        unknown = [name for name in changes["balancers"] if name not in ex.BALANCERS]
        if unknown:
            print(
                f"iristrack: no balancer is named {unknown[0]!r}: say some of {', '.join(ex.BALANCERS)}",
                file=sys.stderr,
            )
            return 2
    if chosen.replications is not None:
        if not 1 <= chosen.replications <= 10_000:
            print("iristrack: --replications must lie between 1 and 10000", file=sys.stderr)
            return 2
        changes["replications"] = chosen.replications
    if changes:
        loaded = replace(loaded, experiment=replace(loaded.experiment, **changes))
    folder = runner.Folder(chosen.out)
    done = set(folder.open(loaded, chosen.seed, chosen.resume))
    todo = [run for run in ex.runs(loaded, chosen.seed) if run.id not in done]
    revision, stop = runner.revision(), loaded.experiment.stop
    console = Console(stderr=True)
    broken = 0
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        bar = progress.add_task(loaded.experiment.name or loaded.scenario.name, total=len(todo))
        size = len(todo) if stop is None else max(1, len(todo) // loaded.experiment.replications)
        for a in range(0, len(todo), size):
            for run, figures in runner.play_all(loaded.scenario, todo[a : a + size], chosen.jobs):
                row = runner.row_of(loaded, run, figures, revision)
                folder.add(row, figures)
                broken += not row["rules_kept"]
                progress.advance(bar)
            if stop is not None and _narrow(folder.rows, stop, interval):
                break
    told, rows, details = runner.read_folder(chosen.out)
    _print_summary(told, report.summary(told, rows))
    if not chosen.no_report:
        print(f"report: {report.write(chosen.out, told, rows, details)}")
    if broken:
        print(
            f"iristrack: rules were broken in {broken} runs: see the columns `broken` of runs.csv",
            file=sys.stderr,
        )
    ours_broken = any(row["balancer"] == ex.OURS and row["rules_kept"] != "1" for row in rows)
    return 1 if ours_broken else 0


def _narrow(rows: list[dict[str, str]], stop: object, interval: object) -> bool:
    """Are all intervals of the stopping figure narrow enough?"""
    found: dict[tuple, list[float]] = {}
    for row in rows:
        level = tuple(value for name, value in row.items() if name.startswith("factor "))
        found.setdefault((row["balancer"], level), []).append(float(row[stop.figure]))
    return all(len(v) >= stop.least and interval(v).half_width <= stop.half_width for v in found.values())


def _print_summary(told: dict, summary: list[dict]) -> None:
    from rich.table import Table

    table = Table(title=told["experiment"]["name"] or told["scenario"]["name"])
    table.add_column("level")
    table.add_column("balancer")
    for name in ("runs", "broken", *told["experiment"]["figures"]):
        table.add_column(name, justify="right")
    for line in summary:
        cells = [line["cells"].get(figure) for figure in told["experiment"]["figures"]]
        told_cells = [f"{cell[0].mean:.4g} ± {cell[0].half_width:.2g}" if cell else "" for cell in cells]
        table.add_row(
            line["level"], line["balancer"], str(line["runs"]), str(line["broken"] or ""), *told_cells
        )
    _show(table)


def _show(table: object) -> None:
    """Print a table; where nobody looks, nothing is cut to a terminal's width."""
    from rich.console import Console

    console = Console()
    Console(width=console.width if console.is_terminal else WIDE).print(table)


def _compare(chosen: argparse.Namespace) -> int:
    from rich.table import Table

    from iristrack.lab import runner
    from iristrack.lab.report import groups
    from iristrack.lab.statistics import interval, paired

    old_told, old, _ = runner.read_folder(chosen.old)
    new_told, new, _ = runner.read_folder(chosen.new)
    if old_told["hash"] != new_told["hash"]:
        print(
            "iristrack: the two play different scenarios; figures are set side by side all the same",
            file=sys.stderr,
        )
    table = Table(title=f"{chosen.new} against {chosen.old}")
    for name in ("level", "balancer", "figure", "old", "new", "difference", "95 % interval"):
        table.add_column(name, justify="left" if name in ("level", "balancer", "figure") else "right")
    old_groups, new_groups = groups(old), groups(new)
    for level, rows in new_groups.items():
        for balancer in dict.fromkeys(row["balancer"] for row in rows):
            before = {r["seed"]: r for r in old_groups.get(level, []) if r["balancer"] == balancer}
            after = {r["seed"]: r for r in rows if r["balancer"] == balancer}
            shared = [seed for seed in after if seed in before]
            for figure in new_told["experiment"]["figures"]:
                if not before or figure not in next(iter(before.values())):
                    continue
                a = interval([float(r[figure]) for r in before.values()])
                b = interval([float(r[figure]) for r in after.values()])
                change = "no common seeds"
                if shared:
                    d = paired(
                        [float(after[s][figure]) for s in shared], [float(before[s][figure]) for s in shared]
                    )
                    change = f"[{d.low:+.3g}, {d.high:+.3g}]" + ("" if d.low <= 0 <= d.high else " *")
                difference = f"{b.mean - a.mean:+.4g}"
                table.add_row(
                    ", ".join(level) or "-",
                    balancer,
                    figure,
                    f"{a.mean:.4g}",
                    f"{b.mean:.4g}",
                    difference,
                    change,
                )
    _show(table)
    return 0


def _replay(chosen: argparse.Namespace) -> int:
    from iristrack.lab import runner

    row, figures, lines = runner.replay(chosen.folder, chosen.run, chosen.explain)
    for line in lines:
        print(line)
    if chosen.explain and not lines:
        print(f"iristrack: no request {chosen.explain!r} in that run", file=sys.stderr)
        return 2
    same = row["ledger"] == figures.row["ledger"]
    verdict = "the same to the byte" if same else f"another ledger than {row['ledger']}: other sources?"
    print(f"{chosen.run}: {figures.row['records']} records, ledger {figures.row['ledger']}: {verdict}")
    return 0 if same else 1


def _fleet(chosen: argparse.Namespace) -> int:
    from collections import Counter

    from rich.table import Table

    from iristrack.lab.fleet import load

    try:
        if chosen.every < 1:
            raise ValueError("--every must be 1 or more")
        fleet = load(chosen.folder)
    except (ValueError, OSError) as fault:
        print(f"iristrack: {fault}", file=sys.stderr)
        return 2
    refusals = [name for name, _ in fleet.total("refused").most_common()]
    outcomes = [name for name, _ in fleet.total("ended").most_common() if name != "OK"]
    names = ["second", "served", "short", "failed", "sent", "again", "servers", "sidecars"]
    table = Table(*names, *(f"short: {n}" for n in refusals), *outcomes, "ejected")
    for begin in range(0, len(fleet.rows), chosen.every):
        rows = fleet.rows[begin : begin + chosen.every]

        def added(name: str, rows: list = rows) -> Counter[str]:
            return sum((getattr(row, name) for row in rows), Counter())

        answers, refused, ended = added("answers"), added("refused"), added("ended")
        servers = len(set().union(*(row.servers for row in rows)))
        sidecars = len(set().union(*(row.sidecars for row in rows)))
        figures = [
            begin, answers["SERVED"], answers["SHORT"], answers["FAILED"], sum(row.sent for row in rows),
            sum(row.again for row in rows), servers, sidecars,
            *(refused[name] for name in refusals), *(ended[name] for name in outcomes),
            sum(added("ejected").values()),
        ]  # fmt: skip
        table.add_row(*(str(figure) for figure in figures))
    _show(table)
    answers = fleet.total("answers")
    print(f"answers: {dict(answers)}; ejected: {dict(fleet.total('ejected'))}")
    if quartiles := fleet.quartiles():
        print(f"refused without a routed task: quartiles of the time left {quartiles} ms")
    return 0


def _list(chosen: argparse.Namespace) -> int:
    from iristrack.emulator.scenario import ScenarioError
    from iristrack.lab import experiment as ex

    folder = chosen.folder or Path(__file__).resolve().parent.parent.parent / "scenarios"
    files = sorted(folder.glob("*.toml")) if folder.is_dir() else []
    if not files:
        print(f"iristrack: {folder} holds no scenarios", file=sys.stderr)
        return 2
    bad = 0
    for file in files:
        try:
            loaded = ex.load(file)
            about = loaded.experiment.about or loaded.scenario.about
            print(f"{os.path.relpath(file):42} {about}")
        except ScenarioError as fault:
            bad += 1
            print(f"iristrack: {fault}", file=sys.stderr)
    return 2 if bad else 0
