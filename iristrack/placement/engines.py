"""Model servers: which hold the request's model, under which revision, and under which salt prompts are kept there."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from iristrack.placement.ranking import hash64, mix64
from iristrack.placement.servers import Server


def cache_salt(model: str, revision: int, isolated_tenant: str | None) -> str:
    """The text under which a server keeps and finds prompt parts.

    It names the model and the revision of the weights that made the parts, so that no part outlives its weights, and
    the tenant where that is isolated, so that no other tenant's request finds them. The length of the model's name
    tells where it ends, whatever characters it holds.
    """
    wall = "" if isolated_tenant is None else f"/{isolated_tenant}"
    return f"{len(model)}:{model}.{revision}{wall}"


def servers_with_model(servers: Iterable[Server], model: str, min_revision: int) -> list[Server]:
    """The servers that hold the model with weights of that revision or a newer one."""
    return [server for server in servers if server.revisions.get(model, 0) >= max(1, min_revision)]


def store_for_key(key: str, stores: Sequence[str]) -> str | None:
    """The store that keeps what a key names, by rank of hash, so that several stores share the keys."""
    if not stores:
        return None
    seed = hash64(key)
    return min(stores, key=lambda store: mix64(seed ^ hash64(store)))
