"""Ageing of a snapshot: how much learned state is still valid at its age and despite what contradicts it.

This file owns the rule and its constants. It reads no clock and no file and changes no balancer: it converts a plain
snapshot to another one. A snapshot is what `Balancer.snapshot` returns: plain values under `balancer`, `tenants`,
`popular`, `classes` and `servers`. `fresh` is the snapshot of a balancer that has learned nothing.

The rule for a snapshot of age a:

- A number x of a kind with half-life h becomes  f + (x - f) * w,  where w = 2^(-a/h) and f is its value in `fresh`. If
  w < 0.05, the kind is left out. Limits are blended as multiples of their initial value, in logarithms.
- If the clock went back (a < 0), nothing of the snapshot is used, as its age is unknown.
- The time left of an ejection is reduced by a; the server comes back ejected, with its next trial due no later than
  that. At most half of the servers come back ejected, those with the longest time left first.
- A restart never increases the retry budget: it is the smaller of the fresh one and the stored one plus what time adds.
- A server that started at another time than the snapshot says is dropped by the balancer, which looks servers up by id
  and start time.
"""

from __future__ import annotations

import math
from typing import Any

NS_PER_S = 1_000_000_000
MIN_WEIGHT = 0.05
MAX_EJECTED_SHARE = 0.5  # of the servers in a snapshot, restored as ejected
RETRIES_PER_S = 0.1  # growth of the retry budget since the snapshot
MAX_LIMIT_RATIO = 16.0  # bounds a stored limit, as a multiple of its initial value
MAX_SERVERS = 4096
MAX_KEYS = 512
HALF_LIVES_NS = {
    "limits": 60 * NS_PER_S,
    "suspicions": 8 * NS_PER_S,
    "classes": 300 * NS_PER_S,
    "shares": 30 * NS_PER_S,  # of errors and losses, and the fleet's slowdown
    "rates": 60 * NS_PER_S,
    "tenants": 20 * NS_PER_S,
    "popular": 120 * NS_PER_S,
}
KIND_OF_FIELD = {
    "overdue_share": "shares", "lost_share": "shares", "slowdown": "shares", "usual": "rates", "warm_rate": "rates",
    "retries": "retries",
}  # fmt: skip

Snapshot = dict[str, Any]


def remaining_weight(kind: str, age_ns: int) -> float:
    """Return the weight of a kind's values at an age, from 0 to 1."""
    if age_ns < 0:
        return 0.0
    left = 2.0 ** (-age_ns / HALF_LIVES_NS[kind])
    return left if left >= MIN_WEIGHT else 0.0


def blend(fresh: float, kept: float, w: float) -> float:
    """Interpolate between the initial value and the learned one by the weight `w`."""
    return fresh + (kept - fresh) * w


def age_snapshot(kept: Snapshot, fresh: Snapshot, age_ns: int) -> Snapshot | None:
    """Return `kept` aged, or None if nothing of it is valid; raise ValueError if it is not a snapshot."""
    if age_ns < 0:
        return None
    try:
        aged = {
            "balancer": _balancer(kept["balancer"], fresh["balancer"], age_ns),
            "tenants": _numbers(kept["tenants"], fresh["tenants"], remaining_weight("tenants", age_ns)),
            "popular": _popular(kept["popular"], remaining_weight("popular", age_ns)),
            "classes": _classes(kept["classes"], fresh["classes"], age_ns),
            "servers": _servers(kept["servers"], age_ns),
        }
    except (KeyError, TypeError, AttributeError, IndexError, OverflowError) as error:
        raise ValueError(f"no snapshot: {type(error).__name__}: {error}") from None
    return aged


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"no snapshot: {value!r} is not a number")
    return value


def _balancer(kept: Snapshot, fresh: Snapshot, age_ns: int) -> Snapshot:
    aged = dict(fresh)
    for name, kind in KIND_OF_FIELD.items():
        value = kept.get(name)
        if value is None or name not in fresh:
            continue
        value = _number(value)
        if kind == "retries":
            aged[name] = max(0.0, min(fresh[name], value + RETRIES_PER_S * age_ns / NS_PER_S))
            continue
        w = remaining_weight(kind, age_ns)
        if w:
            aged[name] = value if fresh[name] is None else max(0.0, blend(fresh[name], value, w))
    return aged


def _numbers(kept: Snapshot, fresh: Snapshot, w: float) -> Snapshot:
    """Return a value for each name in `fresh`, blended with the stored one."""
    return {
        name: max(0.0, blend(start, _number(kept[name]), w)) if w and name in kept else start
        for name, start in fresh.items()
    }


def _popular(kept: Snapshot, w: float) -> dict[str, int]:
    if not w:
        return {}
    most_requested = sorted(kept.items(), key=lambda item: (-_number(item[1]), item[0]))[:MAX_KEYS]
    return {str(key): int(count * w) for key, count in most_requested if count * w >= 1}


def _classes(kept: Snapshot, fresh: Snapshot, age_ns: int) -> Snapshot:
    aged = {}
    for name, start in fresh.items():
        learned = kept.get(name)
        if learned is None:
            continue
        aged[name] = {
            field: blend(
                start[field],
                _number(learned[field]),
                remaining_weight("shares" if field == "faulty" else "classes", age_ns),
            )
            for field in start
        }
    return aged


def _servers(kept: Snapshot, age_ns: int) -> Snapshot:
    aged: Snapshot = {}
    w = remaining_weight("limits", age_ns)
    suspicion_weight = remaining_weight("suspicions", age_ns)
    for name in sorted(kept)[:MAX_SERVERS]:
        entry = kept[name]
        limit = min(MAX_LIMIT_RATIO, max(1 / MAX_LIMIT_RATIO, _number(entry["limit"])))
        server = {
            "started": int(_number(entry["started"])),
            "limit": math.exp(math.log(limit) * w) if w else 1.0,
            "down": bool(entry["down"]) and bool(suspicion_weight),
            "silent": int(_number(entry["silent"]) * suspicion_weight),
            "failed_connects": int(_number(entry["failed_connects"]) * suspicion_weight),
            "suspicions": {},
        }
        for class_name, (ejected, errors, needed, left_ns, backoff_ns) in entry["suspicions"].items():
            left_now_ns = max(0, int(_number(left_ns)) - age_ns)
            still_ejected = bool(ejected) and bool(suspicion_weight)
            errors = _number(errors) * suspicion_weight
            if still_ejected or errors >= MIN_WEIGHT:
                server["suspicions"][str(class_name)] = [
                    still_ejected,
                    errors,
                    int(_number(needed)),
                    left_now_ns,
                    int(_number(backoff_ns)),
                ]
        aged[name] = server
    _clear_excess_ejections(aged)
    return aged


def _clear_excess_ejections(servers: Snapshot) -> None:
    """Clear ejections beyond MAX_EJECTED_SHARE of the servers, those with the least time left first."""

    def longest_ns_left(name: str) -> int:
        return max((s[3] for s in servers[name]["suspicions"].values() if s[0]), default=-1)

    ejected = sorted(
        (n for n in servers if servers[n]["down"] or longest_ns_left(n) >= 0),
        key=lambda n: (longest_ns_left(n), n),
    )
    for name in ejected[: max(0, len(ejected) - int(MAX_EJECTED_SHARE * len(servers)))]:
        server = servers[name]
        server["down"], server["failed_connects"], server["silent"] = False, 0, 0
        server["suspicions"] = {}
