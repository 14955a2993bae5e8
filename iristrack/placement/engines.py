"""Model servers: which ones have a request's model and revision, and the cache salt of its prompts."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from iristrack.placement.ranking import hash64, mix64
from iristrack.placement.servers import Server


def cache_salt(model: str, revision: int, isolated_tenant: str | None) -> str:
    """Return the salt under which a server stores and looks up prompt parts.

    It contains the model and the revision of its weights, so a part is never used with other weights, and the tenant
    if that is isolated, so other tenants' requests never match. The length of the model's name marks its end, whatever
    characters the name contains.
    """
    tenant_suffix = "" if isolated_tenant is None else f"/{isolated_tenant}"
    return f"{len(model)}:{model}.{revision}{tenant_suffix}"


def servers_with_model(servers: Iterable[Server], model: str, min_revision: int) -> list[Server]:
    """Return the servers that have the model with weights of at least that revision."""
    return [server for server in servers if server.revisions.get(model, 0) >= max(1, min_revision)]


def store_for_key(key: str, stores: Sequence[str]) -> str | None:
    """Return the store for a key by rendezvous hashing, which spreads keys over several stores; None without one."""
    if not stores:
        return None
    seed = hash64(key)
    return min(stores, key=lambda store: mix64(seed ^ hash64(store)))
