"""Builds the typed model from a document whose structure has been checked."""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import Any

from iristrack.configuration.model import (
    DEFAULT_HEALTH_PATH,
    DEFAULT_MAX_TRIES,
    DEFAULT_PRIORITY,
    Configuration,
    Engine,
    Limits,
    Route,
    RouteKind,
    Service,
    Store,
    Tenant,
    WeightedTarget,
)

DIGEST_BYTES = 16
SOLE_SHARE = 1

Document = dict[str, Any]


def parse_configuration(body: bytes) -> Configuration:
    """Parse the body of a configuration that is known to be valid.

    Nothing is checked: an invalid body raises `ValueError`, `KeyError` or `TypeError`, or
    yields a meaningless configuration.
    """
    return build_configuration(json.loads(body), body)


def parse_services(body: bytes) -> tuple[Service, ...]:
    """Parse only the services of a configuration that is known to be valid."""
    return tuple(map(build_service, json.loads(body)["services"]))


def build_configuration(document: Document, body: bytes) -> Configuration:
    """Build the model from a checked document and the body from which it was decoded."""
    tenants = document.get("tenants")
    return Configuration(
        revision=document["revision"],
        routes=tuple(map(build_route, document["route_table"])),
        services=tuple(map(build_service, document["services"])),
        limits=_build_limits(document.get("limits") or {}),
        tenants=None if tenants is None else tuple(map(build_tenant, tenants)),
        digest=digest_of(body),
    )


def digest_of(body: bytes) -> str:
    """Return the BLAKE2b digest of a body in hexadecimal."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def build_route(row: Document) -> Route:
    """Build a route from a checked row of `route_table`."""
    priority = row.get("priority")
    max_tries = row.get("max_tries", DEFAULT_MAX_TRIES)
    return Route(
        label=row["label"],
        hostname=row["hostname"],
        path_prefix=row["path_prefix"],
        kind=RouteKind(row["route_kind"]),
        timeout_ms=row["timeout_ms"],
        target_latency_ms=row["target_latency_ms"],
        priority=DEFAULT_PRIORITY if priority is None else priority,
        targets=_build_targets(row),
        max_tries=max(DEFAULT_MAX_TRIES, max_tries),
        public=row.get("public", False),
        sticky=row.get("sticky", False),
        resumable=row.get("resumable", False),
        gap_aim_ms=row.get("gap_aim_ms"),
    )


def _build_targets(row: Document) -> tuple[WeightedTarget, ...]:
    weighted = row.get("weighted_targets")
    if weighted is None:
        return (WeightedTarget(row["target"], SOLE_SHARE),)
    return tuple(WeightedTarget(item["target"], item["share"]) for item in weighted)


def build_service(row: Document) -> Service:
    """Build a service from a checked row of `services`."""
    engine = row.get("engine")
    max_conns = row.get("max_conns")
    return Service(
        label=row["label"],
        health_path=row.get("health_path", DEFAULT_HEALTH_PATH),
        max_conns=None if max_conns is None else int(max_conns),
        engine=None if engine is None else _build_engine(engine),
        store=_build_store(row) if row.get("kv_store_addr") is not None else None,
    )


def _build_engine(row: Document) -> Engine:
    return Engine(
        capacity=int(row.get("capacity", 0)),
        kv_token_room=int(row.get("kv_token_room", 0)),
        token_bytes=int(row.get("token_bytes", 0)),
        link_mbps=row.get("link_mbps", 0.0),
        max_inflight=int(row.get("max_inflight", 0)),
        models=tuple(model["label"] for model in row.get("model_list", ())),
        stride=int(row.get("stride", 1)),
    )


def _build_store(row: Document) -> Store:
    return Store(
        address=row["kv_store_addr"],
        zone=row.get("zone", ""),
        kv_token_room=int(row.get("kv_token_room", 0)),
        link_mbps=row.get("link_mbps", 0.0),
        max_inflight=int(row.get("max_inflight", 0)),
    )


def _build_limits(row: Document) -> Limits:
    defaults = Limits()
    return Limits(
        max_header_bytes=int(row.get("max_header_bytes", defaults.max_header_bytes)),
        max_body_bytes=int(row.get("max_body_bytes", defaults.max_body_bytes)),
        header_timeout_ms=row.get("header_timeout_ms", defaults.header_timeout_ms),
        idle_timeout_ms=row.get("idle_timeout_ms", defaults.idle_timeout_ms),
    )


def build_tenant(row: Document) -> Tenant:
    """Build a tenant from a checked row of `tenants`."""
    return Tenant(
        label=row["label"],
        api_keys=tuple(row["api_keys"]),
        priority=row.get("priority"),
        isolated=row.get("isolated", False),
    )
