"""What a day came to: goodput by worth, latency, retries, crossings, connections, waste, recovery, balance.

This file owns the definitions of all figures. It reads a finished world and changes nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import numpy as np
from hdrh.histogram import HdrHistogram

from iristrack.emulator.clients import LEFT, REFUSED, SERVED
from iristrack.emulator.plan import EPOCH_NS
from iristrack.emulator.world import World

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
CURVE = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 100)
BACK_TO = 0.95  # of the goodput before: then a trouble is over
AFTER_RESTART_NS = 10_000_000_000
BEFORE_S = 5  # the stretch before a trouble that counts
STEADY_S = 2  # for so long it must have come back


@dataclass(slots=True)
class Figures:
    """One run's figures: `row` for a table, the rest for charts."""

    row: dict[str, float | int | str] = field(default_factory=dict)
    seconds: dict[str, list[float]] = field(default_factory=dict)  # by second of the day
    curve: list[tuple[float, float]] = field(default_factory=list)  # percentile, ms
    per_server: list[tuple[str, float, int]] = field(
        default_factory=list
    )  # id, share of time busy, most connections
    spans: list[tuple[str, float, float, float]] = field(
        default_factory=list
    )  # trouble, begin, end, recovered (s)


def _ratio(a: np.ndarray | float, b: np.ndarray | float) -> float:
    """Share, 1 where there is nothing to share; answers within a share may be worth more than was asked within it."""
    total = float(np.sum(b))
    return min(1.0, float(np.sum(a)) / total) if total else 1.0


def _after_restart(
    world: World, asked: np.ndarray, sidecar: np.ndarray, worth: np.ndarray, earned: np.ndarray
) -> float:
    """Goodput of the sidecars that came back, in the ten seconds behind each return; 1 where none did."""
    here = np.zeros(len(asked), dtype=bool)
    for at, number in world.returns:
        here |= (sidecar == number) & (asked >= at) & (asked < at + AFTER_RESTART_NS)
    return _ratio(earned[here], worth[here])


def _recovery(good: np.ndarray, asked: np.ndarray, begin: float, length: int) -> float:
    """Seconds from a trouble's begin until goodput is back to 95 % of what it was before; -1 if it never is."""
    b = math.floor(begin)
    before = slice(max(0, b - BEFORE_S), max(1, b))
    level = BACK_TO * _ratio(good[before], asked[before])
    share = np.where(asked > 0, good / np.maximum(asked, 1e-12), 1.0)
    bad = [i for i in range(b, length) if share[max(b, i - STEADY_S + 1) : i + 1].mean() < level]
    if not bad:
        return 0.0
    last = bad[-1] + 1
    return float(last - begin) if last < length - STEADY_S else -1.0


def measure(world: World) -> Figures:
    """All figures of a finished day."""
    plan, s = world.plan, world.plan.scenario
    columns = world.terminals.columns
    asked = np.frombuffer(columns.asked, dtype=np.int64) if len(columns) else np.zeros(0, np.int64)
    took = np.frombuffer(columns.took, dtype=np.int64) if len(columns) else np.zeros(0, np.int64)
    cls = np.frombuffer(columns.cls, dtype=np.uint8) if len(columns) else np.zeros(0, np.uint8)
    tenant = np.frombuffer(columns.tenant, dtype=np.int16) if len(columns) else np.zeros(0, np.int16)
    end = np.frombuffer(columns.end, dtype=np.uint8) if len(columns) else np.zeros(0, np.uint8)
    tries = np.frombuffer(columns.tries, dtype=np.uint8) if len(columns) else np.zeros(0, np.uint8)
    within = np.frombuffer(columns.within, dtype=np.uint8) if len(columns) else np.zeros(0, np.uint8)
    counts = np.frombuffer(columns.counted, dtype=np.uint8) if len(columns) else np.zeros(0, np.uint8)
    worths = np.array([c.worth for c in s.classes])
    aims = np.array([c.aim_ms * 1e6 for c in s.classes])
    deadlines = np.array([c.deadline_ms * 1e6 for c in s.classes])
    late_worths = np.array([c.late_worth for c in s.classes])
    worth = worths[cls] * np.where(within, 1.0, s.traffic.over_share_worth)
    worth_answered = worths[cls] * np.where(counts, 1.0, s.traffic.over_share_worth)
    ok = took >= 0
    in_aim = ok & (took <= aims[cls])
    late = ok & ~in_aim & (took <= deadlines[cls])
    earned = worth_answered * (in_aim + late * late_worths[cls])
    at = (asked - EPOCH_NS) / 1e9
    counted = at >= s.day.skip_s
    f = Figures()
    row = f.row
    n = max(1, len(asked))
    row["asked"] = len(asked)
    row["served"] = _ratio(ok, np.ones_like(ok))
    row["in_aim"] = _ratio(in_aim[counted], np.ones(int(counted.sum())))
    row["refused"] = float((end == REFUSED).sum()) / n
    row["unserved"] = float(((end != SERVED) & (end != REFUSED) & (end != LEFT)).sum()) / n
    whole = _ratio(earned[counted], worth[counted])
    windows = []
    step = s.goal.window_s
    for a in np.arange(s.day.skip_s, max(s.day.skip_s + 1e-9, s.day.length_s - step / 2), step):
        here = (at >= a) & (at < a + step)
        if worth[here].sum():
            windows.append(_ratio(earned[here], worth[here]))
    by_class = {
        c.name: _ratio(earned[counted & (cls == i)], worth[counted & (cls == i)])
        for i, c in enumerate(s.classes)
    }
    by_tenant = {}
    for i, t in enumerate(s.tenants):
        here = counted & (tenant == i)
        by_tenant[t.name] = _ratio(earned[here & (counts == 1)], worth[here & (within == 1)])
    goal = s.goal
    parts = (
        (goal.whole, whole),
        (goal.worst_window, min(windows, default=whole)),
        (goal.worst_class, min(by_class.values())),
        (goal.worst_tenant, min(by_tenant.values(), default=whole)),
    )
    total = sum(weight for weight, _ in parts) or 1.0
    goodput = sum(weight * value for weight, value in parts) / total
    row["whole"], row["worst_window"] = parts[0][1], parts[1][1]
    row["worst_class"], row["worst_tenant"] = parts[2][1], parts[3][1]
    row |= {f"class {name}": value for name, value in by_class.items()}
    row |= {f"tenant {name}": value for name, value in by_tenant.items()}
    _costs(world, row, n, asked, worth, ok, counted)
    row["goodput"] = goodput
    row["G"] = goodput - sum(float(v) for k, v in row.items() if k.startswith("price "))
    _latency(f, took[ok])
    _series(world, f, at, worth, earned, ok, took, tries)
    row["after_restart"] = _after_restart(
        world, asked, np.frombuffer(columns.sidecar, dtype=np.int32), worth, earned
    )
    row["tries"] = float(tries.sum()) / n
    row["doubled_effects"] = world.doubled
    for rule, count in world.referee.counts.items():
        row[f"broken {rule}"] = count
    row["rules_kept"] = int(world.referee.kept)
    row["records"] = world.ledger.count
    row["ledger"] = world.ledger.digest
    row["revision_of_plan"] = plan.seed
    return f


def _costs(
    world: World, row: dict, n: int, asked: np.ndarray, worth: np.ndarray, ok: np.ndarray, counted: np.ndarray
) -> None:
    prices, machines, sidecars = world.plan.scenario.prices, list(world.machines.values()), world.sidecars
    sends = sum(x.sends for x in sidecars)
    opened = sum(x.opened for x in sidecars)
    cross = sum(x.cross for x in sidecars)
    probes = sum(x.probes for x in sidecars)
    busy = sum(m.state.busy_ns for m in machines)
    row["attempts"] = sends / n
    row["amplification"] = sends / max(1, world.terminals.asked)
    row["cross_site"] = cross / max(1, sends)
    row["handshakes"] = opened / n
    row["probes"] = probes / n
    row["wasted"] = max(0.0, busy - world.useful_ns) / busy if busy else 0.0
    links = [sample.links for sample in world.samples]
    mean_links = float(np.mean(links)) if links else 0.0
    row["links_per_server"] = mean_links / max(1, len(world.order))
    row["most_links"] = max((m.state.most_open for m in machines), default=0)
    row["most_held"] = max((m.state.most_held for m in machines), default=0)
    row["chokes"] = sum(m.state.chokes for m in machines)
    row["fell"] = sum(m.state.fell for m in machines)
    warm = [m.state.busy_ns / max(1, m.state.slots) for m in machines]
    row["busy_cv"] = float(np.std(warm) / np.mean(warm)) if warm and np.mean(warm) else 0.0
    late_fail = _ratio(worth[counted & ~ok], worth[counted]) if worth[counted].sum() else 0.0
    row["price cross_zone"] = prices.cross_zone * cross / n
    row["price waste"] = prices.waste * row["wasted"]
    row["price late_fail"] = prices.late_fail * late_fail
    row["price probe"] = prices.probe * probes / n
    row["price handshake"] = prices.handshake * opened / n
    row["price connection"] = prices.connection * mean_links / (100 * max(1, len(world.order)))


def _latency(f: Figures, took: np.ndarray) -> None:
    histogram = HdrHistogram(1, 3_600_000_000, 3)  # microseconds, three digits
    values, counts = np.unique(np.maximum(1, took // 1000), return_counts=True)
    for value, count in zip(values.tolist(), counts.tolist(), strict=True):
        histogram.record_value(value, count)
    for p in PERCENTILES:
        f.row[f"p{p:g}_ms"] = histogram.get_value_at_percentile(p) / 1e3 if len(took) else 0.0
    if len(took):
        f.curve = [(float(p), histogram.get_value_at_percentile(p) / 1e3) for p in CURVE]


def _series(
    world: World, f: Figures, at: np.ndarray, worth: np.ndarray, earned: np.ndarray, ok: np.ndarray, took: np.ndarray,
    tries: np.ndarray,
) -> None:  # fmt: skip
    length = max(1, math.ceil(world.plan.scenario.day.length_s))
    second = np.clip(at.astype(int), 0, length - 1)
    asked = np.bincount(second, weights=worth, minlength=length)
    good = np.bincount(second, weights=earned, minlength=length)
    f.seconds["asked"] = np.bincount(second, minlength=length).tolist()
    f.seconds["goodput"] = np.where(asked > 0, good / np.maximum(asked, 1e-12), 1.0).round(6).tolist()
    f.seconds["tries"] = np.bincount(second, weights=tries, minlength=length).tolist()
    samples = world.samples[:length]
    f.seconds["ready"] = [float(sample.ready) for sample in samples]
    f.seconds["links"] = [float(sample.links) for sample in samples]
    f.seconds["open"] = [float(sample.open) for sample in samples]
    f.seconds["held_most"] = [float(max(sample.held, default=0)) for sample in samples]
    f.seconds["held_mean"] = [float(np.mean(sample.held)) if sample.held else 0.0 for sample in samples]
    worst = 0.0
    for kind, begin, end in world.spans:
        b, e = (begin - EPOCH_NS) / 1e9, (end - EPOCH_NS) / 1e9
        back = _recovery(good, asked, b, length)
        f.spans.append((kind, b, e, back))
        worst = max(worst, back if back >= 0 else length - b)
    f.row["recovery_s"] = worst
    span = world.plan.scenario.day.length_s * 1e9
    for machine in world.machines.values():
        state = machine.state
        f.per_server.append((machine.id, state.busy_ns / state.slots / span, state.most_open))
