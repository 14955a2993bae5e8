"""Why a request would go where it goes: route, tenant, services and the ranking of servers for its prompt key.

The rules are the data plane's own (`configuration.routes`, `configuration.tenants`, `placement`). What one sidecar
alone knows (its requests in flight, its suspicions, the index of kept prompts) is not seen here, and decides between
the first two.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from iristrack.configuration.model import Configuration, Route, Service, Tenant
from iristrack.configuration.routes import RouteTable, normalise_host
from iristrack.configuration.tenants import TenantTable
from iristrack.controlplane.status import ModelStatus, ServerStatus
from iristrack.placement.choice import CANDIDATE_COUNT, FIRST_RANK_BONUS, SPILLOVER_LOAD, rank_servers
from iristrack.placement.engines import servers_with_model
from iristrack.placement.servers import ListedServer, Server, ServerTable
from iristrack.prefix_index.parts import MalformedPrefix, parse_prefix

FIRST = f"first of the key's ranking; takes a prompt that nobody keeps unless it is {FIRST_RANK_BONUS:g} pieces busier"
SECOND = "second candidate: taken where it is less busy or keeps more of the prompt"
SPILL = f"helps only while both candidates are busier than {SPILLOVER_LOAD:g} pieces"
DRAINING = "draining: takes no new requests"
BUSY = "takes new weights: turns requests away"


class Unexplained(Exception):
    """Nothing answers such a request; the text says why."""


@dataclass(frozen=True, slots=True)
class ExplainedServer:
    """One listed server; `place` is its place in the key's ranking, None where it is not used now."""

    place: int | None
    instance: str
    address: str
    zone: str
    phase: str
    revision: int | None  # of the model's weights
    why: str


@dataclass(frozen=True, slots=True)
class ExplainedService:
    """One service of the route; `servers` is None where the list is not known."""

    label: str
    percent: float  # of the route's requests
    model: str
    servers: tuple[ExplainedServer, ...] | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """All of it. `tenant` is the label where one was given."""

    revision: int
    route: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    max_tries: int
    passed_over: tuple[str, ...]  # shorter prefixes of the same host that begin the path too
    tenant: str
    tenant_rule: str
    priority: int
    key: str
    services: tuple[ExplainedService, ...]


@dataclass(frozen=True, slots=True)
class Asker:
    """Who asks: a tenant by its label, or by a key, or neither."""

    tenant: str | None = None
    api_key: str | None = None


def prompt_key(text: str) -> str:
    """The key by which servers are ranked: of a whole prefix the last part that other requests may share."""
    if ":" not in text:
        return text
    try:
        parts = parse_prefix(text.encode())
    except MalformedPrefix as fault:
        raise Unexplained(f"KEY is no prompt prefix: {fault}") from fault
    return parts[-2].id if len(parts) > 1 else parts[0].id


def explain(
    found: Configuration,
    servers: Sequence[ServerStatus] | None,
    named: Sequence[ModelStatus],
    target: str,
    key: str,
    asker: Asker,
    model: str | None,
) -> Explanation:
    """Explain a request; raises `Unexplained`. `target` is a route's label or HOST/PATH."""
    route, passed_over = _find_route(found, target)
    tenant, rule = _find_tenant(found, route, asker)
    priority = route.priority if tenant is None or tenant.priority is None else tenant.priority
    key = prompt_key(key)
    least = {version.model: version.revision for version in named}
    total = sum(weighted.share for weighted in route.targets)
    services = {service.label: service for service in found.services}
    return Explanation(
        revision=found.revision,
        route=route.label,
        host=normalise_host(route.hostname),
        path_prefix=route.path_prefix,
        kind=route.kind.value,
        timeout_ms=route.timeout_ms,
        max_tries=route.max_tries,
        passed_over=passed_over,
        tenant="" if tenant is None else tenant.label,
        tenant_rule=rule,
        priority=max(0, min(9, priority)),
        key=key,
        services=tuple(
            _explain_service(services[t.target], 100 * t.share / total, servers, least, key, model)
            for t in route.targets
            if t.share > 0
        ),
    )


# ---- the route and the tenant


def _find_route(found: Configuration, target: str) -> tuple[Route, tuple[str, ...]]:
    for route in found.routes:
        if route.label == target:
            return route, ()
    host, slash, path = target.partition("/")
    path = slash + path.partition("?")[0]
    if not slash:
        raise Unexplained(f"404: no route has the label {target!r}; a host needs a path, as in HOST/PATH")
    chosen = RouteTable(found).match(host, path)
    if chosen is None:
        raise Unexplained(f"404: no route of the host {normalise_host(host)!r} begins the path {path!r}")
    same_host = [r for r in found.routes if normalise_host(r.hostname) == normalise_host(host)]
    shorter = [r for r in same_host if r is not chosen and path.startswith(r.path_prefix)]
    return chosen, tuple(r.label for r in sorted(shorter, key=lambda r: -len(r.path_prefix)))


def _find_tenant(found: Configuration, route: Route, asker: Asker) -> tuple[Tenant | None, str]:
    if found.tenants is None:
        return None, "the configuration has no tenants: no key is needed"
    tenant = None
    if asker.api_key is not None:
        tenant = TenantTable(found).holder(asker.api_key)
        if tenant is None and not route.public:
            raise Unexplained("401: no tenant has that key")
    elif asker.tenant is not None:
        tenant = next((t for t in found.tenants if t.label == asker.tenant), None)
        if tenant is None:
            raise Unexplained(f"no tenant has the label {asker.tenant!r}")
    if tenant is not None:
        wall = "; isolated: shares no part of a prompt with others" if tenant.isolated else ""
        return tenant, f"its key names it{wall}"
    if route.public:
        return None, "the route is public: no key is needed"
    return None, "a key of one of the tenants is needed, otherwise 401"


# ---- services and servers


def _explain_service(
    service: Service,
    percent: float,
    listed: Sequence[ServerStatus] | None,
    least: dict[str, int],
    key: str,
    model: str | None,
) -> ExplainedService:
    if model is None:
        models = () if service.engine is None else service.engine.models
        model = models[0] if len(models) == 1 else ""
    if listed is None:
        return ExplainedService(service.label, percent, model, None)
    own = [entry for entry in listed if entry.service == service.label]
    told = {entry.instance: entry for entry in own}
    table = ServerTable()
    table.apply_server_list(map(_listed_server, own))
    unused = {
        server.instance_id: _why_unused(server, told, model, least) for server in table.servers.values()
    }
    usable = [server for server in table.servers.values() if not unused[server.instance_id]]
    ranking = rank_servers(usable, key, random.Random(0), len(usable))
    rows = [_row(server, told, model, place, _why_ranked(place)) for place, server in enumerate(ranking, 1)]
    rest = sorted((name, why) for name, why in unused.items() if why)
    rows += [_row(table.servers[name], told, model, None, why) for name, why in rest]
    return ExplainedService(service.label, percent, model, tuple(rows))


def _listed_server(entry: ServerStatus) -> ListedServer:
    models = tuple((m.model, m.revision) for m in entry.models)
    return ListedServer(
        entry.instance, entry.service, entry.address, entry.zone, entry.ready, entry.capacity, models
    )


def _why_unused(server: Server, told: dict[str, ServerStatus], model: str, least: dict[str, int]) -> str:
    """Why new requests are not sent to it; empty where they may be."""
    if not server.listed.ready:
        return DRAINING
    if told[server.instance_id].busy:
        return BUSY
    if model and not servers_with_model([server], model, 0):
        return f"does not hold the model {model}"
    if model and not servers_with_model([server], model, least.get(model, 0)):
        return f"holds an older revision of {model} than the one that is named: used only for a short while"
    return ""


def _why_ranked(place: int) -> str:
    if place == 1:
        return FIRST
    return SECOND if place <= CANDIDATE_COUNT else SPILL


def _row(
    server: Server, told: dict[str, ServerStatus], model: str, place: int | None, why: str
) -> ExplainedServer:
    entry = told[server.instance_id]
    phase = "ready" if entry.ready else "draining"
    if entry.preparing:
        phase += ", new weights next"
    return ExplainedServer(
        place, entry.instance, entry.address, entry.zone, phase, server.revisions.get(model), why
    )
