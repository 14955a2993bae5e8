"""One world, drawn: a scenario with every range settled, and each machine, sidecar and trouble by itself.

This file owns what a seed decides before the day begins. Two balancers on one plan meet the same world.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from iristrack import interface as mi
from iristrack.emulator.draws import Source
from iristrack.emulator.scenario import Model, Scenario, Trouble

EPOCH_NS = 1_000 * mi.NS_PER_S  # the virtual clock at the start of the day: 0 means "long ago" on lists
REPEATS = {"free": mi.Repeat.SAFE, "guarded": mi.Repeat.KEYED, "single_shot": mi.Repeat.UNSAFE}
SIZE_NAMES = ("troubles[].size",)


def ns(seconds: float) -> int:
    """Seconds as whole nanoseconds."""
    return round(seconds * 1e9)


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """One pool server."""

    id: str
    site: int
    cell: int
    model: Model
    speed: float  # of a core
    weight: float  # as discovery tells its size


@dataclass(frozen=True, slots=True)
class SidecarPlan:
    """One sidecar: where, how much of the traffic (relative), and when it starts (ns after the day's start)."""

    site: int
    weight: float = 1.0
    start_ns: int = 0


@dataclass(frozen=True, slots=True)
class TroublePlan:
    """One trouble, with its times (ns on the virtual clock) and those it hits (indices)."""

    kind: str
    at: int
    length: int
    servers: tuple[int, ...] = ()
    sidecars: tuple[int, ...] = ()
    size: float = 1.0
    class_name: str = ""
    silent: bool = False
    together: bool = True
    every: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """All that is drawn before the day begins. `scenario` holds single numbers only."""

    seed: int
    scenario: Scenario
    servers: tuple[ServerPlan, ...]
    sidecars: tuple[SidecarPlan, ...]
    troubles: tuple[TroublePlan, ...]
    rate: float  # mean requests a second
    shape: tuple[tuple[float, float], ...] = ((0.0, 1.0),)  # knots (s, factor), straight lines between
    quotas: tuple[float, ...] = ()  # requests a second of each tenant
    shares: tuple[float, ...] = field(default=())  # of the traffic, by tenant


def settle(value: Any, source: Source, path: str = "") -> Any:
    """A copy in which each range is one number, drawn from a stream named after its place."""
    if isinstance(value, msgspec.Struct):
        changes = {}
        for name in value.__struct_fields__:
            old = getattr(value, name)
            new = settle(old, source, f"{path}.{name}")
            if new is not old:
                changes[name] = new
        return msgspec.structs.replace(value, **changes) if changes else value
    if isinstance(value, list) and len(value) == 2 and all(type(x) in (int, float) for x in value):
        low, high = value
        return low + (high - low) * float(source.generator(path).random())
    if isinstance(value, list):
        return [settle(item, source, f"{path}[{i}]") for i, item in enumerate(value)]
    return value


def _places(count: int, shares: list[float], generator: Any) -> list[int]:
    """`count` things over places as their shares say, as evenly as whole numbers allow, in drawn order."""
    total = sum(shares) or 1.0
    exact = [count * share / total for share in shares]
    counts = [int(x) for x in exact]
    by_rest = sorted(range(len(shares)), key=lambda i: counts[i] - exact[i])
    for i in by_rest[: count - sum(counts)]:
        counts[i] += 1
    places = [i for i, n in enumerate(counts) for _ in range(n)]
    generator.shuffle(places)
    return places


def shape_of(s: Scenario, source: Source) -> tuple[tuple[float, float], ...]:
    """The day's curve as knots; its mean is 1 before bursts."""
    traffic, length = s.traffic, s.day.length_s
    swing = float(traffic.swing)
    if traffic.shape == "ramp":
        return ((0.0, 1 - swing), (length, 1 + swing))
    if traffic.shape == "day":  # a slow rise to closing time and a fall
        curve = [(0.0, 0.55), (0.3, 0.85), (0.55, 1.0), (0.8, 1.5), (0.9, 1.35), (1.0, 0.75)]
        return tuple((x * length, 1 + (y - 1) * (swing or 1.0)) for x, y in curve)
    if traffic.shape == "spike":
        a, b = traffic.spike_at * length, (traffic.spike_at + traffic.spike_part) * length
        calm = 1 - swing * traffic.spike_part / (1 - traffic.spike_part)
        edge = min(0.5, traffic.spike_part * length / 10)
        return (
            (0.0, calm),
            (a, calm),
            (a + edge, 1 + swing),
            (b - edge, 1 + swing),
            (b, calm),
            (length, calm),
        )
    return ((0.0, 1.0), (length, 1.0))


def draw(scenario: Scenario, seed: int) -> Plan:
    """Draw everything that stands before the day begins."""
    source = Source(seed)
    s: Scenario = settle(scenario, source)
    generator = source.generator("fleet")
    count = round(s.pool.count)
    site_of = _places(count, [float(x.servers) for x in s.sites], generator)
    model_of = _places(count, [m.share for m in s.pool.models], generator)
    cell_size = max(1, round(s.pool.cell_size))
    in_site: dict[int, int] = {}
    cells: dict[tuple[int, int], int] = {}
    servers = []
    for i in range(count):
        site, model = site_of[i], s.pool.models[model_of[i]]
        n = in_site[site] = in_site.get(site, -1) + 1
        cell = cells.setdefault((site, n // cell_size), len(cells))
        cv = float(model.speed_cv)
        speed = float(model.speed) * max(0.2, 1 + cv * float(generator.standard_normal()))
        weight = round(model.cores * float(model.speed), 1) or 0.1
        servers.append(
            ServerPlan(f"10.{site}.{i // 250}.{i % 250 + 1}:8080", site, cell, model, speed, weight)
        )
    generator = source.generator("sidecars")
    sidecars = []
    cv = float(s.traffic.sidecar_cv)
    for site in _places(max(1, round(s.sidecars.count)), [float(x.sidecars) for x in s.sites], generator):
        weight = float(generator.gamma(1 / cv**2, cv**2)) if cv else 1.0
        start = ns(s.sidecars.start_spread_s * float(generator.random()))
        sidecars.append(SidecarPlan(site, max(weight, 0.001), start))
    work = sum(c.share * float(c.work_ms) for c in s.classes) / sum(c.share for c in s.classes) / 1e3
    capacity = sum(p.model.cores * p.speed for p in servers) / work
    rate = float(s.traffic.rate) or float(s.traffic.load) * capacity
    total = sum(t.share for t in s.tenants) or 1.0
    quotas = tuple(t.share / total * capacity * float(s.traffic.quota) for t in s.tenants)
    sent = sum(t.share * float(t.traffic) for t in s.tenants) or 1.0
    shares = tuple(t.share * float(t.traffic) / sent for t in s.tenants)
    troubles = tuple(
        _trouble(trouble, i, s, servers, sidecars, source) for i, trouble in enumerate(s.troubles)
    )
    shape = shape_of(s, source)
    return Plan(seed, s, tuple(servers), tuple(sidecars), troubles, rate, shape, quotas, shares)


def _trouble(
    t: Trouble,
    number: int,
    s: Scenario,
    servers: list[ServerPlan],
    sidecars: list[SidecarPlan],
    source: Source,
) -> TroublePlan:
    generator = source.generator(f"trouble {number}")
    sites = [site.name for site in s.sites]
    site = sites.index(t.site) if t.site else None
    if t.kind == "site_loss" and site is None:
        used = sorted({p.site for p in servers}) or [0]
        site = used[int(generator.integers(len(used)))]

    def some(things: list, part: float, number: int) -> tuple[int, ...]:
        here = [i for i, thing in enumerate(things) if site is None or thing.site == site]
        wanted = number or (max(1, round(part * len(here))) if part else 0)
        return tuple(sorted(generator.permutation(here)[:wanted].tolist())) if here else ()

    part = float(t.part)
    hit_servers: tuple[int, ...] = ()
    hit_sidecars: tuple[int, ...] = ()
    if t.kind == "site_loss":
        hit_servers = tuple(i for i, p in enumerate(servers) if p.site == site)
        if t.with_sidecars:
            hit_sidecars = tuple(i for i, p in enumerate(sidecars) if p.site == site)
    elif t.kind in ("sidecar_crash", "restart"):
        hit_sidecars = some(sidecars, part or 1.0, t.number)
    elif t.kind == "partition":
        hit_servers = some(servers, part, t.number)
        site = None
        hit_sidecars = some(sidecars, min(1.0, float(t.size)), 0)
    elif t.kind not in ("discovery_down", "discovery_stale", "clock_step"):
        hit_servers = some(servers, part, t.number)
    return TroublePlan(
        t.kind, EPOCH_NS + ns(float(t.at_s)), ns(float(t.length_s)), hit_servers, hit_sidecars,
        float(t.size), t.class_name, t.silent, t.together, ns(float(t.every_s)),
    )  # fmt: skip


def settings(plan: Plan, site: int) -> mi.Settings:
    """What a sidecar at a site is told at its start."""
    s = plan.scenario
    prices = s.prices
    return mi.Settings(
        classes=tuple(
            mi.RequestClass(
                c.name, ns(c.aim_ms / 1e3), ns(c.deadline_ms / 1e3), c.worth, c.late_worth, 0.0,
                REPEATS[c.repeat], mi.Group(c.group), ns(c.memory_s),
            )
            for c in s.classes
        ),
        tenants=tuple(
            mi.Tenant(t.name, t.share, quota) for t, quota in zip(s.tenants, plan.quotas, strict=True)
        ),
        limits=mi.Limits(
            max_attempts=s.sidecars.max_attempts,
            max_open=s.sidecars.max_open,
            cancel=True,
            second_copies=False,
            probes=s.sidecars.probes,
            peers=False,
            retry_after=s.sidecars.retry_after_ms > 0,
            max_retry_after_ns=ns(s.sidecars.retry_after_ms / 1e3),
            connect_timeout_ns=ns(float(s.pool.connections.connect_timeout_s)),
            idle_ns=ns(float(s.pool.connections.idle_s)),
            requests_per_connection=s.pool.connections.streams,
        ),
        contract=mi.Contract(
            answer_slack_ns=ns(s.rules.answer_slack_ms / 1e3),
            drain_grace_ns=ns(s.rules.drain_grace_s),
            cold_share=max(s.rules.stated_cold_share, 1e-6),
            cold_ns=ns(s.rules.stated_cold_s),
            overload_factor=s.rules.overload_factor,
            fall_ns=ns(s.rules.fall_s),
        ),
        prices=mi.Prices(
            prices.cross_zone, prices.waste, prices.late_fail, prices.probe, prices.handshake, prices.connection
        ),
        balancers=len(plan.sidecars),
        zone=s.sites[site].name,
        ask_for_list=s.discovery.mode == "ask",
        sized_weights=True,
        report_fields=tuple(s.pool.reports.fields) if s.pool.reports.how != "none" else (),
        over_share_worth=s.traffic.over_share_worth,
        resolution_ns=ns(s.sidecars.resolution_ms / 1e3),
        marks_retries=True,
    )  # fmt: skip
