"""The duty of bringing servers to the named weights: held by one core member at a time, fenced.

`duty_holder.py` holds the duty, `engines/rolling_upgrade.py` says which servers go next, `weight_orders.py` brings one
server to its revision; this file puts them together and tells the sidecars which servers are busy.
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
FENCE_SHIFT = 24  # the sequence of a holder's updates: its fence, then a counter


class WeightsDuty:
    """Claims the duty when there is work, and does it while the lease holds."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        process: str,
        register: RegisterHost,
        named: Callable[[], dict[str, int]],
        publish: Callable[[Update], None],
        log,
    ) -> None:
        """`named` gives the newest revision of each model; starts with the next turn of the loop."""
        self.scheduler = scheduler
        self.named = named
        self.publish = publish
        lease_ns = int(settings.rule_bounds.lease_ms) * NS_PER_MS
        self.lease = Lease(settings.node_name, process, lease_ns)
        self.duty = DutyHolder(scheduler, register, topics.WEIGHTS_DUTY, self.lease, publish, log)
        self.orders = WeightOrders(scheduler, self.lease, log)
        self.servers: list[ListedServer] = []
        self.roll = RollingUpgrade()
        self._told: BusyServers | None = None
        self._done: dict[tuple[str, str], int] = {}  # (instance, model): revision that its report told
        self._updates = 0
        scheduler.spawn("weights duty", self._run)

    def on_update(self, update: Update) -> None:
        """The duty's value, or the list of servers, was told of."""
        if update.topic == topics.WEIGHTS_DUTY:
            self.duty.on_value(update.value)
        elif update.topic == topics.SERVERS:
            self._take_list(update.value)

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            is_work = bool(self._wanted()) or self.roll.in_progress  # else nobody has to hold the duty
            if is_work and self.duty.keep():
                self._work()

    def _work(self) -> None:
        now = self.scheduler.now()
        upgrades = self.roll.next_orders(self._wanted(), sum(bool(s.models) for s in self.servers), now)
        self._tell_busy()
        for upgrade in upgrades:
            self.scheduler.spawn("upgrade", self._upgrade, upgrade)

    def _wanted(self) -> list[Upgrade]:
        return [u for u in wanted_upgrades(self.servers, self.named()) if not self._is_done(u)]

    def _take_list(self, value: bytes) -> None:
        told = decode_value(value, ServersValue)
        if told is None:
            return
        self.servers = from_message(told)
        listed = {server.instance_id for server in self.servers}
        self._done = {key: revision for key, revision in self._done.items() if key[0] in listed}

    def _is_done(self, upgrade: Upgrade) -> bool:
        return self._done.get((upgrade.instance_id, upgrade.model), 0) >= upgrade.revision

    def _upgrade(self, upgrade: Upgrade) -> None:
        """Bring one server to its revision, and note what came of it, also where this task is ended."""
        is_taken = False
        try:
            is_taken = self.orders.upgrade(upgrade)
        finally:
            if is_taken:
                self._done[upgrade.instance_id, upgrade.model] = upgrade.revision
                self.roll.ended(upgrade.instance_id)
            else:
                self.roll.postpone(upgrade.instance_id, self.scheduler.now())
            self._tell_busy()

    def _tell_busy(self) -> None:
        taken = (InstanceRevision(name, model, revision) for (name, model), revision in self._done.items())
        busy = BusyServers(tuple(sorted(self.roll.ordered)), tuple(sorted(self.roll.preparing)), tuple(taken))
        if self.lease.holding is None or busy == self._told:
            return
        self._told = busy
        self._updates += 1
        sequence = (self.lease.holding.fence << FENCE_SHIFT) + self._updates
        self.publish(Update(topics.BUSY_SERVERS, sequence, encode(busy)))
