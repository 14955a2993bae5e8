"""Building of operator's configurations for a stand-in system."""

from __future__ import annotations

from collections.abc import Sequence

Document = dict[str, object]

DEFAULT_LIMITS: Document = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


def route(host: str, prefix: str, service: str, kind: str = "unsafe", **more: object) -> Document:
    """One row of the route table; `more` holds further fields, or others than the usual ones."""
    row: Document = {
        "label": f"r-{host}-{prefix.strip('/') or 'root'}",
        "hostname": host,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 20_000,
        "target_latency_ms": 2_000,
        "priority": 1,
        "target": service,
        "max_tries": 3,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
    }
    if kind == "streaming":
        row["gap_aim_ms"] = 5_000
    return row | more


def service(label: str, model: str) -> Document:
    """One service of model servers."""
    engine: Document = {
        "capacity": 64,
        "kv_token_room": 1_000_000,
        "token_bytes": 163_840,
        "link_mbps": 100_000.0,
        "stride": 1,
        "max_inflight": 12,
        "model_list": [{"label": model}],
    }
    return {
        "label": label,
        "health_path": "/health",
        "max_conns": 360,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def amendment_of(before: Document, after: Document) -> Document:
    """What makes the second configuration of the first, by its routes."""
    old = {row["label"]: row for row in before["route_table"]}
    new = {row["label"]: row for row in after["route_table"]}
    return {
        "revision": after["revision"],
        "upsert": {"route_table": [row for label, row in new.items() if old.get(label) != row]},
        "remove": {"route_table": [label for label in old if label not in new]},
    }


def tenant(label: str, *keys: str, priority: int = 1, isolated: bool = False) -> Document:
    """One tenant."""
    return {"label": label, "api_keys": list(keys), "priority": priority, "isolated": isolated}


def configuration(
    revision: int,
    routes: Sequence[Document],
    services: Sequence[Document],
    tenants: Sequence[Document] | None = None,
    limits: Document | None = None,
) -> Document:
    """A whole configuration."""
    document: Document = {
        "revision": revision,
        "route_table": list(routes),
        "services": list(services),
        "limits": DEFAULT_LIMITS | (limits or {}),
    }
    if tenants is not None:
        document["tenants"] = list(tenants)
    return document
