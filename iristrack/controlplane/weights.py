"""The duty of upgrading servers to the named weights: held by one core member at a time, under a fencing token.

`duty_holder.py` holds the duty, `engines/rolling_upgrade.py` selects the next servers, and `weight_orders.py` upgrades
one server. This module combines them and tells the sidecars which servers are busy.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.controlplane.duty_holder import DutyHolder
from iristrack.controlplane.register_host import RegisterHost
from iristrack.controlplane.weight_orders import WeightOrders
from iristrack.duties.lease import Lease
from iristrack.engines.rolling_upgrade import RollingUpgrade, Upgrade, wanted_upgrades
from iristrack.placement.servers import ListedServer
from iristrack.platform_api.server_list import from_message
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler
from iristrack.settings import Settings
from iristrack.wire.codec import encode
from iristrack.wire.messages import BusyServers, InstanceRevision, ServersValue, Update
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
TICK_NS = 100 * NS_PER_MS
FENCE_SHIFT = 24  # bits of the counter below the fencing token, in the sequence of a holder's updates


class WeightsDuty:
    """Claims the duty when servers need an upgrade, and upgrades them while the lease is valid."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        process: str,
        register: RegisterHost,
        named_revisions: Callable[[], dict[str, int]],
        publish: Callable[[Update], None],
        log,
    ) -> None:
        """Start with the next turn of the loop; `named_revisions` returns the newest revision of each model."""
        self.scheduler = scheduler
        self.named_revisions = named_revisions
        self.publish = publish
        lease_ns = int(settings.rule_bounds.lease_ms) * NS_PER_MS
        self.lease = Lease(settings.node_name, process, lease_ns)
        self.duty = DutyHolder(scheduler, register, topics.WEIGHTS_DUTY, self.lease, publish, log)
        self.orders = WeightOrders(scheduler, self.lease, log)
        self.servers: list[ListedServer] = []
        self.rolling_upgrade = RollingUpgrade()
        self._last_published: BusyServers | None = None
        self._upgraded: dict[tuple[str, str], int] = {}  # by (instance, model): reported revision
        self._updates = 0
        scheduler.spawn("weights duty", self._run)

    def on_update(self, update: Update) -> None:
        """Handle a published value of the duty, or a published list of servers."""
        if update.topic == topics.WEIGHTS_DUTY:
            self.duty.on_value(update.value)
        elif update.topic == topics.SERVERS:
            self._apply_list(update.value)

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            # Without work no member needs to hold the duty.
            has_work = bool(self._needed_upgrades()) or self.rolling_upgrade.in_progress
            if has_work and self.duty.maintain():
                self._give_orders()

    def _give_orders(self) -> None:
        now = self.scheduler.now()
        upgrades = self.rolling_upgrade.next_orders(
            self._needed_upgrades(), sum(bool(s.models) for s in self.servers), now
        )
        self._publish_busy()
        for upgrade in upgrades:
            self.scheduler.spawn("upgrade", self._upgrade, upgrade)

    def _needed_upgrades(self) -> list[Upgrade]:
        return [u for u in wanted_upgrades(self.servers, self.named_revisions()) if not self._is_upgraded(u)]

    def _apply_list(self, value: bytes) -> None:
        decoded = decode_value(value, ServersValue)
        if decoded is None:
            return
        self.servers = from_message(decoded)
        listed = {server.instance_id for server in self.servers}
        self._upgraded = {key: revision for key, revision in self._upgraded.items() if key[0] in listed}

    def _is_upgraded(self, upgrade: Upgrade) -> bool:
        return self._upgraded.get((upgrade.instance_id, upgrade.model), 0) >= upgrade.revision

    def _upgrade(self, upgrade: Upgrade) -> None:
        """Upgrade one server, and record the outcome even if this task is cancelled."""
        is_upgraded = False
        try:
            is_upgraded = self.orders.upgrade(upgrade)
        finally:
            if is_upgraded:
                self._upgraded[upgrade.instance_id, upgrade.model] = upgrade.revision
                self.rolling_upgrade.ended(upgrade.instance_id)
            else:
                self.rolling_upgrade.postpone(upgrade.instance_id, self.scheduler.now())
            self._publish_busy()

    def _publish_busy(self) -> None:
        taken = (
            InstanceRevision(name, model, revision) for (name, model), revision in self._upgraded.items()
        )
        busy = BusyServers(
            tuple(sorted(self.rolling_upgrade.ordered)),
            tuple(sorted(self.rolling_upgrade.preparing)),
            tuple(taken),
        )
        if self.lease.holding is None or busy == self._last_published:
            return
        self._last_published = busy
        self._updates += 1
        sequence = (self.lease.holding.fence << FENCE_SHIFT) + self._updates
        self.publish(Update(topics.BUSY_SERVERS, sequence, encode(busy)))
