"""How far kept knowledge is trusted, by its age and by what contradicts it.

This file owns the rule and its constants. It reads no clock and no file, and touches no balancer: it turns a plain
snapshot into another one. A snapshot is what `Balancer.snapshot` gives: plain values under `balancer`, `tenants`,
`popular`, `classes` and `servers`. `fresh` is that of a balancer which has learned nothing.

The rule, for a snapshot of age a:

- A number x of a kind with half-life h becomes  f + (x - f) * w,  w = 2^(-a/h), f its value in `fresh`. Where w < 0.05
  the kind is left out. Limits are blended as multiples of their first guess, in logarithms.
- A clock that went back (a < 0) makes the snapshot as old as can be: nothing of it is used.
- An ejection's time left is what was left less a; it comes back as one whose next trial is due no later than that. Half
  of the servers at most come back ejected, the longest out first.
- The retry budget never grows by a restart: it is the smaller of the kept one, grown by what time gives it, and the
  fresh one.
- A server that started at another time than the snapshot says is dropped by the module itself: it asks by id and start.
"""

from __future__ import annotations

import math
from typing import Any

NS_PER_S = 1_000_000_000
MIN_WEIGHT = 0.05
MAX_EJECTED_SHARE = 0.5  # of the servers that a snapshot may bring back ejected
RETRIES_PER_S = 0.1  # what the budget is granted for each second that has passed
MAX_LIMIT_RATIO = 16.0  # first guesses that a kept limit may come to
MAX_SERVERS = 4096
MAX_KEYS = 512
HALF_LIVES_NS = {
    "limits": 60 * NS_PER_S,
    "suspicions": 8 * NS_PER_S,
    "classes": 300 * NS_PER_S,
    "shares": 30 * NS_PER_S,  # of errors and losses, and how slow the fleet is
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
    """How much of a kind's knowledge is left at an age, 0 to 1."""
    if age_ns < 0:
        return 0.0
    left = 2.0 ** (-age_ns / HALF_LIVES_NS[kind])
    return left if left >= MIN_WEIGHT else 0.0


def blend(fresh: float, kept: float, w: float) -> float:
    """Between what is assumed and what was learned."""
    return fresh + (kept - fresh) * w


def age_snapshot(kept: Snapshot, fresh: Snapshot, age_ns: int) -> Snapshot | None:
    """What of `kept` may be used at its age; None for nothing. Raises ValueError for what is no snapshot."""
    if age_ns < 0:
        return None
    try:
        found = {
            "balancer": _balancer(kept["balancer"], fresh["balancer"], age_ns),
            "tenants": _numbers(kept["tenants"], fresh["tenants"], remaining_weight("tenants", age_ns)),
            "popular": _popular(kept["popular"], remaining_weight("popular", age_ns)),
            "classes": _classes(kept["classes"], fresh["classes"], age_ns),
            "servers": _servers(kept["servers"], age_ns),
        }
    except (KeyError, TypeError, AttributeError, IndexError, OverflowError) as fault:
        raise ValueError(f"no snapshot: {type(fault).__name__}: {fault}") from None
    return found


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"no snapshot: {value!r} stands where a number belongs")
    return value


def _balancer(kept: Snapshot, fresh: Snapshot, age_ns: int) -> Snapshot:
    found = dict(fresh)
    for name, kind in KIND_OF_FIELD.items():
        value = kept.get(name)
        if value is None or name not in fresh:
            continue
        value = _number(value)
        if kind == "retries":
            found[name] = max(0.0, min(fresh[name], value + RETRIES_PER_S * age_ns / NS_PER_S))
            continue
        w = remaining_weight(kind, age_ns)
        if w:
            found[name] = value if fresh[name] is None else max(0.0, blend(fresh[name], value, w))
    return found


def _numbers(kept: Snapshot, fresh: Snapshot, w: float) -> Snapshot:
    """The names that are known today, each blended."""
    return {
        name: max(0.0, blend(start, _number(kept[name]), w)) if w and name in kept else start
        for name, start in fresh.items()
    }


def _popular(kept: Snapshot, w: float) -> dict[str, int]:
    if not w:
        return {}
    most = sorted(kept.items(), key=lambda item: (-_number(item[1]), item[0]))[:MAX_KEYS]
    return {str(key): int(count * w) for key, count in most if count * w >= 1}


def _classes(kept: Snapshot, fresh: Snapshot, age_ns: int) -> Snapshot:
    found = {}
    for name, start in fresh.items():
        own = kept.get(name)
        if own is None:
            continue
        found[name] = {
            field: blend(
                start[field],
                _number(own[field]),
                remaining_weight("shares" if field == "faulty" else "classes", age_ns),
            )
            for field in start
        }
    return found


def _servers(kept: Snapshot, age_ns: int) -> Snapshot:
    found: Snapshot = {}
    w = remaining_weight("limits", age_ns)
    suspected = remaining_weight("suspicions", age_ns)
    for name in sorted(kept)[:MAX_SERVERS]:
        own = kept[name]
        limit = min(MAX_LIMIT_RATIO, max(1 / MAX_LIMIT_RATIO, _number(own["limit"])))
        server = {
            "started": int(_number(own["started"])),
            "limit": math.exp(math.log(limit) * w) if w else 1.0,
            "down": bool(own["down"]) and bool(suspected),
            "silent": int(_number(own["silent"]) * suspected),
            "failed_connects": int(_number(own["failed_connects"]) * suspected),
            "suspicions": {},
        }
        for of, (ejected, errors, needed, left_ns, backoff_ns) in own["suspicions"].items():
            left = max(0, int(_number(left_ns)) - age_ns)
            stays = bool(ejected) and bool(suspected)
            errors = _number(errors) * suspected
            if stays or errors >= MIN_WEIGHT:
                server["suspicions"][str(of)] = [
                    stays,
                    errors,
                    int(_number(needed)),
                    left,
                    int(_number(backoff_ns)),
                ]
        found[name] = server
    _pardon(found)
    return found


def _pardon(servers: Snapshot) -> None:
    """Whatever the snapshot says, half of the servers at least come back in use: the least suspect first."""

    def longest(name: str) -> int:
        return max((s[3] for s in servers[name]["suspicions"].values() if s[0]), default=-1)

    out = sorted((n for n in servers if servers[n]["down"] or longest(n) >= 0), key=lambda n: (longest(n), n))
    for name in out[: max(0, len(out) - int(MAX_EJECTED_SHARE * len(servers)))]:
        server = servers[name]
        server["down"], server["failed_connects"], server["silent"] = False, 0, 0
        server["suspicions"] = {}
