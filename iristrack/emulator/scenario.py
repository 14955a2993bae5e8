"""A scenario: what a world is made of, typed and checked, each figure one number or a range that a seed draws from.

This file owns the form of scenario files and their checks. `read` takes a file's text; it must never open one.
Times end in `_s` or `_ms`, work is milliseconds on a core of speed 1, rates are per second, shares lie between 0 and 1.
"""

from __future__ import annotations

import re
import tomllib
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Range = float | Annotated[list[float], Meta(min_length=2, max_length=2)]
MOST_SERVERS = 10_000
MOST_SIDECARS = 20_000
MOST_REQUESTS = 5_000_000


class ScenarioError(Exception):
    """A scenario that cannot be played; the text is one line: file, line, what is wrong, what to do."""


class Form(Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """What all parts share: unknown names are refused."""


class Day(Form):
    """How long clients ask, and how long the world goes on behind it until all is answered."""

    length_s: Positive = 60.0
    after_s: NotNegative = 3.0
    skip_s: NotNegative = 1.0  # figures count from here on


class Site(Form):
    """A place: sidecars and pool servers stand in one each. A keyed class's group may be a site (zone)."""

    name: str
    servers: NotNegative = 1.0  # share of the pool servers
    sidecars: NotNegative = 1.0  # share of the sidecars


class Model(Form):
    """A kind of pool server."""

    name: str
    share: Positive = 1.0
    cores: Annotated[int, Meta(ge=1, le=1024)] = 2
    speed: Range = 1.0  # of a core; work is stated for speed 1
    speed_cv: Range = 0.0  # between machines of this kind
    slots_per_core: Range = 1.0  # requests in service at once
    queue_per_core: Range = 16.0  # places in the waiting room
    crowd_from_per_core: Range = 1e9  # held requests beyond which all work gets dearer,
    crowd_cost: Range = 0.0  # by this share for each
    choke_from_per_core: Range = 1e9  # held requests beyond which, for so long without a pause,
    choke_after_s: Range = 2.0
    choke_slower: Range = 1.0  # a machine turns so many times slower, and stays so
    choke_below_per_core: Range = 0.3  # until it has held no more than this
    choke_rest_s: Range = 3.0  # for so long,
    choke_most_s: Range = 20.0  # or until this long has passed
    cold_share: Range = 1.0  # of its capacity that a machine has at its start,
    cold_s: Range = 0.0  # and after how long it has all of it
    pause_every_s: Range = 0.0  # mean time between stops of all work (garbage collection); 0: never
    pause_ms: Range = 0.0
    pause_grow: Range = 0.0  # how much longer a pause gets with a full waiting room
    error_rate: Range = 0.0
    overdue_work: Literal["stops", "goes on"] = "stops"  # once nobody waits for it
    drops_expired: bool = True  # waiting work that nobody waits for any more is not begun


class Connections(Form):
    """What a connection costs and how many a pool server accepts."""

    streams: Annotated[int, Meta(ge=1)] = 1  # requests that one carries at once
    handshake_round_trips: Range = 1.0
    handshake_work_ms: Range = 0.0
    most_per_core: Range = 1e9
    full_cost: Range = 0.0  # share of its capacity that a full table takes
    idle_s: Range = 60.0
    connect_timeout_s: Range = 0.25


class KeyMemory(Form):
    """Pool servers that met a key lately do less work for it."""

    gain: Range = 0.0
    span_s: Range = 0.0
    keys_per_core: Range = 0.0


class Reports(Form):
    """Load reports: late and noisy."""

    how: Literal["none", "probe", "answers"] = "none"
    fields: list[Literal["util", "inflight", "queue", "eps", "latency_ms", "qps"]] = msgspec.field(
        default_factory=lambda: ["util", "inflight"]
    )
    period_ms: Range = 100.0
    delay_ms: Range = 0.0
    noise: Range = 0.0
    probe_work_ms: Range = 0.2


class Pool(Form):
    """The pool servers."""

    count: Range = 10.0
    cell_size: Range = 4.0
    models: list[Model] = msgspec.field(default_factory=lambda: [Model(name="standard")])
    connections: Connections = msgspec.field(default_factory=Connections)
    key_memory: KeyMemory = msgspec.field(default_factory=KeyMemory)
    reports: Reports = msgspec.field(default_factory=Reports)


class Network(Form):
    """One-way delays."""

    same_ms: Range = 0.2
    cross_ms: Range = 5.0
    client_ms: Range = 0.05
    jitter: Range = 0.0  # mean of an exponential extra, as a share of the delay


class Discovery(Form):
    """How word of pool servers reaches sidecars."""

    mode: Literal["push", "ask"] = "push"
    notice_s: Range = 1.0  # after a process ended (it was seen to end),
    silent_notice_s: Range = 6.0  # after a machine fell silent,
    add_s: Range = 1.0  # after one started or began to drain
    spread_s: Range = 0.3  # and up to so much later at some sidecars than at others
    call_ms: Range = 5.0
    calls_per_s: Range = 0.0  # it handles calls in turn, at this pace; 0: all at once
    timeout_s: Range = 2.0


class Class(Form):
    """A class of requests."""

    name: str
    share: Positive = 1.0
    work_ms: Range = 50.0
    work_form: Literal["fixed", "exp", "lognormal"] = "exp"
    work_cv: Range = 1.0
    attempt_noise: Range = 0.0  # how much the work of two attempts differs (cv of a lognormal)
    aim_ms: Positive = 600.0
    deadline_ms: Positive = 1200.0
    worth: Positive = 1.0
    late_worth: Share = 0.0
    repeat: Literal["free", "guarded", "single_shot"] = "free"
    group: Literal["all", "zone", "cell"] = "all"
    memory_s: NotNegative = 5.0


class TenantPart(Form):
    """A tenant: its share of the service and the part of the traffic that it really sends."""

    name: str
    share: Share
    traffic: Range = 1.0  # relative


class Traffic(Form):
    """What terminals ask: an open loop, drawn ahead; arrivals never wait for answers."""

    load: Range = 0.5  # of what the whole pool can do, or
    rate: Range = 0.0  # requests a second, if not 0
    shape: Literal["steady", "ramp", "day", "spike"] = "steady"
    swing: Range = 0.0  # how far the rate departs from its mean
    spike_at: Share = 0.6
    spike_part: Share = 0.2
    arrivals: Literal["poisson", "even", "bursts"] = "poisson"
    burst_cv: Range = 0.0  # of the rate from one stretch to the next,
    burst_ms: Range = 500.0  # and how long those are
    keys: Range = 1000.0
    zipf: Range = 0.9
    hot_share: Share = 0.0  # of all requests, for one key
    no_key: bool = False
    sidecar_cv: Range = 0.0  # between the sidecars' rates
    quota: Range = 0.8  # of the pool's capacity that the tenants' shares divide
    over_share_worth: Share = 0.1


class Clients(Form):
    """What terminals do when they get no answer."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 0
    try_share: Range = 1.0  # of the class's deadline that one try waits
    backoff_ms: Range = 0.0
    honour: Share = 0.0  # how many stay away as long as a refusal says
    impatient: Range = 0.0  # how many hang up early
    elsewhere: bool = False  # a try after one that found no sidecar goes to another sidecar
    steered_s: NotNegative = 0.0  # so long after a sidecar was lost, first tries go elsewhere too; 0: never


class Sidecars(Form):
    """The sidecars and what their module may do."""

    count: Range = 3.0
    start_spread_s: NotNegative = 0.0
    max_attempts: Annotated[int, Meta(ge=1, le=20)] = 5
    max_open: Annotated[int, Meta(ge=1)] = 20_000
    probes: bool = False
    retry_after_ms: NotNegative = 600.0
    resolution_ms: Positive = 5.0
    reply_margin_ms: NotNegative = 8.0


class Rules(Form):
    """The figures behind the rules."""

    answer_slack_ms: NotNegative = 20.0
    drain_grace_s: NotNegative = 2.0
    stated_cold_share: Share = 0.12
    stated_cold_s: NotNegative = 24.0
    overload_factor: Positive = 2.5
    fall_s: Positive = 1.5


class Goal(Form):
    """How the figures of a run become one."""

    whole: NotNegative = 0.45
    worst_window: NotNegative = 0.1
    worst_class: NotNegative = 0.35
    worst_tenant: NotNegative = 0.1
    window_s: Positive = 10.0


class Prices(Form):
    """What is taken off, for each unit."""

    cross_zone: NotNegative = 0.0
    waste: NotNegative = 0.0
    late_fail: NotNegative = 0.0
    probe: NotNegative = 0.0
    handshake: NotNegative = 0.0
    connection: NotNegative = 0.0


class Trouble(Form):
    """Something that goes wrong: when, for how long, to whom, how badly."""

    kind: Literal[
        "crash", "slow", "site_loss", "partition", "flap", "grey", "errors", "discovery_down",
        "discovery_stale", "sidecar_crash", "restart", "drain", "replace", "clock_step",
    ]  # fmt: skip
    at_s: Range
    length_s: Range = 10.0
    part: Range = 0.0  # of the pool servers or sidecars (by number where that is given)
    number: Annotated[int, Meta(ge=0)] = 0
    size: Range = 1.0  # slow: times; errors, grey: share that fails; clock_step: seconds
    site: str = ""  # the part is taken there; empty: anywhere, for site_loss one is drawn
    class_name: str = ""
    silent: bool = False  # machines vanish and say nothing, rather than processes that die
    with_sidecars: bool = False  # site_loss: its sidecars too
    together: bool = True  # restart: all at once, rather than one after the other over the length
    every_s: Range = 2.0  # flap: up and down


class Scenario(Form):
    """All of it."""

    name: str = ""
    about: str = ""
    day: Day = msgspec.field(default_factory=Day)
    sites: Annotated[list[Site], Meta(min_length=1)] = msgspec.field(default_factory=lambda: [Site(name="a")])
    pool: Pool = msgspec.field(default_factory=Pool)
    network: Network = msgspec.field(default_factory=Network)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    classes: Annotated[list[Class], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Class(name="read")]
    )
    tenants: list[TenantPart] = []
    traffic: Traffic = msgspec.field(default_factory=Traffic)
    clients: Clients = msgspec.field(default_factory=Clients)
    sidecars: Sidecars = msgspec.field(default_factory=Sidecars)
    rules: Rules = msgspec.field(default_factory=Rules)
    goal: Goal = msgspec.field(default_factory=Goal)
    prices: Prices = msgspec.field(default_factory=Prices)
    troubles: Annotated[list[Trouble], Meta(max_length=200)] = []


def line_of(text: str, path: str) -> int:
    """The line of a TOML text that a path such as `$.pool.models[1].speed` stands on; 1 if none does.

    Where the last name is absent, the line of the table that should hold it.
    """
    names = re.findall(r"\.(\w+)|\[(\d+)\]", path)
    wanted: list[str] = [name or int(number) for name, number in names]  # type: ignore[misc]
    counts: dict[str, int] = {}
    table: list[str | int] = []
    best, best_length = 1, 0
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"\s*(\[\[?)\s*([\w.\-\" ]+?)\s*\]", line)
        if header:
            parts = [part.strip().strip('"') for part in header[2].split(".")]
            table = []
            for i, part in enumerate(parts):
                table.append(part)
                dotted = ".".join(parts[: i + 1])
                if header[1] == "[[" and i == len(parts) - 1:
                    counts[dotted] = counts.get(dotted, -1) + 1
                if dotted in counts:
                    table.append(counts[dotted])
            here = table
        else:
            key = re.match(r"\s*([\w\-]+)\s*=", line)
            if not key:
                continue
            here = [*table, key[1]]
        length = len(here)
        if here == wanted[:length] and length > best_length:
            best, best_length = number, length
    return best


def read(text: str, file: str = "scenario", form: type = Scenario) -> Any:
    """Read a scenario (or another `form`) from a TOML text; raises `ScenarioError` with one line."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        where = re.search(r"line (\d+)", str(fault))
        raise ScenarioError(f"{file}:{where[1] if where else 1}: no TOML: {fault}") from None
    try:
        # TOML's whole numbers are welcome where numbers are.
        found = msgspec.convert(raw, form, strict=True)
        if isinstance(found, Scenario):
            check(found)
        return found
    except (msgspec.ValidationError, ValueError) as fault:
        said, _, path = str(fault).partition(" - at `")
        path = path.rstrip("`")
        unknown = re.search(r"unknown field `(\w+)`", said)
        place = f"{path or '$'}.{unknown[1]}" if unknown else path
        raise ScenarioError(f"{file}:{line_of(text, place)}: {path.lstrip('$.') or 'file'}: {said}") from None


def _fail(path: str, said: str) -> None:
    raise ValueError(f"{said} - at `$.{path}`")


def check(s: Scenario) -> None:
    """What single fields cannot tell; raises ValueError with a path behind the words."""
    for path, value in numbers(s):
        if isinstance(value, list):
            if value[0] > value[1]:
                _fail(path, f"the range {value} runs backwards: give the lower end first")
            value = value[0]
        if value < 0 and not path.endswith("size"):
            _fail(path, f"{value} is below 0")
    for names, at in (
        (s.sites, "sites"),
        (s.classes, "classes"),
        (s.tenants, "tenants"),
        (s.pool.models, "pool.models"),
    ):
        seen: set[str] = set()
        for i, item in enumerate(names):
            if item.name in seen:
                _fail(f"{at}[{i}].name", f"{item.name!r} is there twice: names must differ")
            seen.add(item.name)
    for i, c in enumerate(s.classes):
        if c.deadline_ms < c.aim_ms:
            _fail(
                f"classes[{i}].deadline_ms", "the deadline is shorter than the aim: make it as long at least"
            )
    sites, classes = {site.name for site in s.sites}, {c.name for c in s.classes}
    for i, trouble in enumerate(s.troubles):
        if trouble.site and trouble.site not in sites:
            _fail(
                f"troubles[{i}].site",
                f"no site is named {trouble.site!r}; there are {', '.join(sorted(sites))}",
            )
        if trouble.class_name and trouble.class_name not in classes:
            _fail(f"troubles[{i}].class_name", f"no class is named {trouble.class_name!r}")
    if not any(site.sidecars for site in s.sites):
        _fail("sites[0].sidecars", "no site has sidecars")
    for path, value, most in (
        ("pool.count", s.pool.count, MOST_SERVERS),
        ("sidecars.count", s.sidecars.count, MOST_SIDECARS),
        ("traffic.keys", s.traffic.keys, 1_000_000),
    ):
        if (value[1] if isinstance(value, list) else value) > most:
            _fail(path, f"more than {most}")
    if (s.sidecars.count[0] if isinstance(s.sidecars.count, list) else s.sidecars.count) < 1:
        _fail("sidecars.count", "at least one sidecar is needed")


def numbers(value: object, path: str = "") -> list[tuple[str, Any]]:
    """All numbers and ranges of a scenario with their paths."""
    found: list[tuple[str, Any]] = []
    if isinstance(value, Struct):
        for name in value.__struct_fields__:
            found += numbers(getattr(value, name), f"{path}.{name}" if path else name)
    elif isinstance(value, list) and value and all(isinstance(x, int | float) for x in value):
        found.append((path, value))
    elif isinstance(value, list):
        for i, item in enumerate(value):
            found += numbers(item, f"{path}[{i}]")
    elif isinstance(value, int | float) and not isinstance(value, bool):
        found.append((path, value))
    return found


def fingerprint(scenario: Scenario) -> bytes:
    """Its content as bytes, the same for files that say the same: what a result's scenario hash is made of."""
    return msgspec.json.encode(scenario, order="deterministic")
