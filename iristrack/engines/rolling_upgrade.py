"""Which servers take new weights when: a few at a time, so that the others go on serving.

A server that was ordered to take weights turns away what has not begun there until it has them, so it is prepared
first: long answers go elsewhere for a moment, and little waits there when the order comes. A server is prepared only
once its order can follow: those that are prepared and those that take weights are left alone alike, and together they
are never more than `AT_ONCE_SHARE`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from iristrack.placement.servers import ListedServer

AT_ONCE_SHARE = 0.4  # of the servers; more would make each load last longer, and leave too few to serve
PREPARE_NS = 200_000_000
REST_NS = 3_000_000_000  # a server that took no order is left alone for so long


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


class RollingUpgrade:
    """One model server after the other is prepared, ordered and done."""

    def __init__(self) -> None:
        """Nothing is wanted."""
        self.preparing: dict[str, int] = {}  # instance: since when (ns)
        self.ordered: dict[str, Upgrade] = {}
        self._rests_until: dict[str, int] = {}  # instances whose upgrade was given up (ns)

    @property
    def in_progress(self) -> bool:
        """Is any server prepared or ordered?"""
        return bool(self.preparing or self.ordered)

    def next_orders(self, wanted: Iterable[Upgrade], servers: int, now: int) -> list[Upgrade]:
        """The upgrades to order now, of so many servers in all; they count as ordered until `ended`."""
        at_once = max(1, int(servers * AT_ONCE_SHARE))
        waiting: dict[str, Upgrade] = {}
        self._rests_until = {name: until for name, until in self._rests_until.items() if until > now}
        for upgrade in sorted(wanted, key=lambda upgrade: upgrade.instance_id):
            if upgrade.instance_id not in self.ordered and upgrade.instance_id not in self._rests_until:
                waiting.setdefault(upgrade.instance_id, upgrade)
        self.preparing = {name: since for name, since in self.preparing.items() if name in waiting}
        ready = [name for name, since in self.preparing.items() if now - since >= PREPARE_NS]
        orders = [waiting[name] for name in ready[: max(0, at_once - len(self.ordered))]]
        for upgrade in orders:
            del self.preparing[upgrade.instance_id]
            del waiting[upgrade.instance_id]
            self.ordered[upgrade.instance_id] = upgrade
        for name in waiting:
            if len(self.preparing) + len(self.ordered) >= at_once:
                break
            self.preparing.setdefault(name, now)
        return orders

    def ended(self, instance_id: str) -> None:
        """The upgrade is done, or was given up."""
        self.ordered.pop(instance_id, None)

    def postpone(self, instance_id: str, now: int) -> None:
        """It does not take the order now: the others come first, then it is tried again."""
        self.ended(instance_id)
        self._rests_until[instance_id] = now + REST_NS
