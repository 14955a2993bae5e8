"""An operator's configuration for people: with its keys hidden, in short, and compared with another one."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, fields
from typing import Any

from iristrack.configuration.model import Configuration, Limits, Route, Service, Tenant, WeightedTarget
from iristrack.configuration.routes import normalise_host

HIDDEN = "********"
KEY_FIELDS = frozenset({"api_keys", "api_key"})


def hide_keys(value: Any) -> Any:
    """A decoded JSON value in which no API key can be read, wherever it stands."""
    if isinstance(value, dict):
        return {name: _hidden(v) if name in KEY_FIELDS else hide_keys(v) for name, v in value.items()}
    if isinstance(value, list):
        return [hide_keys(item) for item in value]
    return value


def _hidden(value: Any) -> Any:
    return [HIDDEN for _ in value] if isinstance(value, list) else HIDDEN


def masked_document(body: bytes) -> dict[str, Any]:
    """A valid configuration's text, decoded, with its keys hidden."""
    return hide_keys(json.loads(body))


# ---- in short


@dataclass(frozen=True, slots=True)
class TenantSummary:
    """One tenant; `keys` is how many it has."""

    label: str
    keys: int
    priority: int | None
    isolated: bool


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """One service; `kind` is `engine`, `store` or `plain`."""

    label: str
    kind: str
    routes: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationSummary:
    """What a configuration holds; `tenants` is None where requests need no key."""

    revision: int
    digest: str
    hosts: int
    routes: int
    routes_by_kind: dict[str, int]
    services: tuple[ServiceSummary, ...]
    tenants: tuple[TenantSummary, ...] | None
    limits: Limits


def summarise(found: Configuration) -> ConfigurationSummary:
    """A configuration in a few lines."""
    routes_of = Counter(target.target for route in found.routes for target in route.targets)
    tenants = None
    if found.tenants is not None:
        tenants = tuple(
            TenantSummary(t.label, len(t.api_keys), t.priority, t.isolated) for t in found.tenants
        )
    return ConfigurationSummary(
        revision=found.revision,
        digest=found.digest,
        hosts=len({normalise_host(route.hostname) for route in found.routes}),
        routes=len(found.routes),
        routes_by_kind=dict(sorted(Counter(route.kind.value for route in found.routes).items())),
        services=tuple(_summarise_service(s, routes_of[s.label]) for s in found.services),
        tenants=tenants,
        limits=found.limits,
    )


def _summarise_service(service: Service, routes: int) -> ServiceSummary:
    if service.store is not None:
        return ServiceSummary(service.label, "store", routes, ())
    if service.engine is not None:
        return ServiceSummary(service.label, "engine", routes, service.engine.models)
    return ServiceSummary(service.label, "plain", routes, ())


# ---- compared

Key = tuple[object, ...]


@dataclass(frozen=True, slots=True)
class Difference:
    """One thing that the newer configuration has added, removed or changed; `details` name the changed fields."""

    part: str  # route, service, tenant or limits
    change: str  # added, removed or changed
    name: str  # empty where there is just one
    details: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Comparison:
    """Two configurations, the running one first."""

    running_revision: int
    file_revision: int
    differences: tuple[Difference, ...]


def compare(running: Configuration, proposed: Configuration) -> Comparison:
    """What the proposed configuration would change, apart from the revision."""
    differences = (
        *_compare_rows("route", running.routes, proposed.routes, _route_key, _route_name),
        *_compare_rows("service", running.services, proposed.services, _label_key, _label),
        *_compare_tenants(running.tenants, proposed.tenants),
        *_compare_limits(running.limits, proposed.limits),
    )
    return Comparison(running.revision, proposed.revision, differences)


def _route_key(route: Route) -> Key:
    return normalise_host(route.hostname), route.path_prefix


def _route_name(route: Route) -> str:
    return f"{route.label} ({normalise_host(route.hostname)}{route.path_prefix})"


def _label_key(row: Service | Tenant) -> Key:
    return (row.label,)


def _label(row: Service | Tenant) -> str:
    return row.label


def _by_key(rows: Iterable[Any], key: Callable[[Any], Key]) -> dict[Key, Any]:
    """Rows by their key and, should several share it, their place among those."""
    seen: Counter[Key] = Counter()
    found = {}
    for row in rows:
        found[*key(row), seen[key(row)]] = row
        seen[key(row)] += 1
    return found


def _compare_rows(
    part: str,
    before: Iterable[Any],
    after: Iterable[Any],
    key: Callable[[Any], Key],
    name: Callable[[Any], str],
) -> Iterator[Difference]:
    old, new = _by_key(before, key), _by_key(after, key)
    for place, row in old.items():
        if place not in new:
            yield Difference(part, "removed", name(row))
    for place, row in new.items():
        if place not in old:
            yield Difference(part, "added", name(row))
        elif old[place] != row:
            yield Difference(part, "changed", name(row), tuple(_field_changes(old[place], row)))


def _compare_tenants(
    before: tuple[Tenant, ...] | None, after: tuple[Tenant, ...] | None
) -> Iterator[Difference]:
    if (before is None) != (after is None):
        said = "requests need a key from now on" if before is None else "requests need no key any more"
        yield Difference("tenant", "changed", "(all)", (said,))
    yield from _compare_rows("tenant", before or (), after or (), _label_key, _label)


def _compare_limits(before: Limits, after: Limits) -> Iterator[Difference]:
    if before != after:
        yield Difference("limits", "changed", "", tuple(_field_changes(before, after)))


def _field_changes(before: Any, after: Any) -> Iterator[str]:
    """Each differing field with both values; of keys only how many came and went."""
    for field in fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.name in KEY_FIELDS:
            yield f"{field.name}: {_key_changes(set(old), set(new))}"
        elif hasattr(old, "__dataclass_fields__") and type(old) is type(new):
            yield from (f"{field.name}.{change}" for change in _field_changes(old, new))
        else:
            yield f"{field.name}: {_told(old)} -> {_told(new)}"


def _key_changes(old: set[str], new: set[str]) -> str:
    if old == new:
        return "in another order, or repeated"
    return f"{len(new - old)} added, {len(old - new)} removed"


def _told(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(_told, value)) or "none"
    if isinstance(value, WeightedTarget):
        return f"{value.target} {value.share:g}"
    if isinstance(value, bool):
        return "true" if value else "false"
    if hasattr(value, "__dataclass_fields__"):
        return "(" + ", ".join(f"{f.name} {_told(getattr(value, f.name))}" for f in fields(value)) + ")"
    return "none" if value is None else str(getattr(value, "value", value))
