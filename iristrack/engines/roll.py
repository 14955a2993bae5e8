"""Which servers take new weights next: a few at a time, so that the others go on serving."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from iristrack.placement.servers import ListedServer

AT_ONCE = 2  # more would make each load last longer


@dataclass(frozen=True, slots=True)
class Upgrade:
    """A server that is to take a revision of a model's weights."""

    instance_id: str
    address: str
    model: str
    revision: int


def wanted_upgrades(servers: Iterable[ListedServer], named: Mapping[str, int]) -> list[Upgrade]:
    """The upgrades that bring all ready servers to the named revisions."""
    upgrades = []
    for server in servers:
        for model, revision in server.models:
            newest = named.get(model, 0)
            if server.ready and revision < newest:
                upgrades.append(Upgrade(server.instance_id, server.address, model, newest))
    return upgrades


def next_upgrades(wanted: list[Upgrade], under_way: Mapping[str, object]) -> list[Upgrade]:
    """Those that may begin now, one for each server."""
    room = AT_ONCE - len(under_way)
    chosen: dict[str, Upgrade] = {}
    for upgrade in sorted(wanted, key=lambda upgrade: upgrade.instance_id):
        if len(chosen) >= room:
            break
        if upgrade.instance_id not in under_way:
            chosen.setdefault(upgrade.instance_id, upgrade)
    return list(chosen.values())
