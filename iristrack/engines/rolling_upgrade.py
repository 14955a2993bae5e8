"""Rolling upgrade to new weights: a few servers at a time, while the others go on serving.

A server that was ordered to load weights rejects requests that have not started until it has them. So it is prepared
first: long answers go elsewhere for a moment, and few requests are queued when the order comes. A server is prepared
only if its order can follow, since servers that are being prepared are avoided like those that load weights; together
they are at most `MAX_CONCURRENT_SHARE` of all servers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from iristrack.placement.servers import ListedServer

MAX_CONCURRENT_SHARE = 0.4  # of the servers; with more, each load takes longer and too few servers remain
PREPARE_NS = 200_000_000
RETRY_BACKOFF_NS = 3_000_000_000  # after a server did not accept its order


@dataclass(frozen=True, slots=True)
class Upgrade:
    """A server that should load a revision of a model's weights."""

    instance_id: str
    address: str
    model: str
    revision: int


def wanted_upgrades(servers: Iterable[ListedServer], named: Mapping[str, int]) -> list[Upgrade]:
    """Return the upgrades that bring all ready servers to the named revisions."""
    upgrades = []
    for server in servers:
        for model, revision in server.models:
            newest = named.get(model, 0)
            if server.ready and revision < newest:
                upgrades.append(Upgrade(server.instance_id, server.address, model, newest))
    return upgrades


class RollingUpgrade:
    """State of the upgrade: each model server is prepared, then ordered, then done."""

    def __init__(self) -> None:
        """Start without any upgrade."""
        self.preparing: dict[str, int] = {}  # instance: since when (ns)
        self.ordered: dict[str, Upgrade] = {}
        self._backoff_until: dict[str, int] = {}  # instance: when a postponed upgrade may be retried (ns)

    @property
    def in_progress(self) -> bool:
        """Return whether any server is being prepared or upgraded."""
        return bool(self.preparing or self.ordered)

    def next_orders(self, wanted: Iterable[Upgrade], servers: int, now: int) -> list[Upgrade]:
        """Return the upgrades to order now, out of `servers` in all; they count as ordered until `ended`."""
        max_concurrent = max(1, int(servers * MAX_CONCURRENT_SHARE))
        waiting: dict[str, Upgrade] = {}
        self._backoff_until = {name: until for name, until in self._backoff_until.items() if until > now}
        for upgrade in sorted(wanted, key=lambda upgrade: upgrade.instance_id):
            if upgrade.instance_id not in self.ordered and upgrade.instance_id not in self._backoff_until:
                waiting.setdefault(upgrade.instance_id, upgrade)
        self.preparing = {name: since for name, since in self.preparing.items() if name in waiting}
        ready = [name for name, since in self.preparing.items() if now - since >= PREPARE_NS]
        orders = [waiting[name] for name in ready[: max(0, max_concurrent - len(self.ordered))]]
        for upgrade in orders:
            del self.preparing[upgrade.instance_id]
            del waiting[upgrade.instance_id]
            self.ordered[upgrade.instance_id] = upgrade
        for name in waiting:
            if len(self.preparing) + len(self.ordered) >= max_concurrent:
                break
            self.preparing.setdefault(name, now)
        return orders

    def ended(self, instance_id: str) -> None:
        """Record that the upgrade is done or was abandoned."""
        self.ordered.pop(instance_id, None)

    def postpone(self, instance_id: str, now: int) -> None:
        """Retry a server that did not accept its order after a backoff, so that the others come first."""
        self.ended(instance_id)
        self._backoff_until[instance_id] = now + RETRY_BACKOFF_NS
