"""The duty of bringing servers to the named weights: held by one core member at a time, fenced."""

from __future__ import annotations

import json
from collections.abc import Callable

from iristrack.controlplane import changes
from iristrack.controlplane.register_host import RegisterHost
from iristrack.duties.lease import Lease
from iristrack.engines.reports import MalformedReport, Report, read_report
from iristrack.engines.roll import Roll, Upgrade, wanted_upgrades
from iristrack.http1 import messages as http
from iristrack.http1.fetching import Caller
from iristrack.placement.servers import ListedServer
from iristrack.platform_api.server_list import from_message
from iristrack.register import Committed, Overtaken, Rejected
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler
from iristrack.settings import Settings
from iristrack.wire.codec import encode
from iristrack.wire.dialing import parse_address
from iristrack.wire.messages import BusyServers, DutyValue, InstanceRevision, ServersValue, Update
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
TICK_NS = 100 * NS_PER_MS
CLAIM_NS = 800 * NS_PER_MS
CALL_NS = 700 * NS_PER_MS
REPORT_NS = 200 * NS_PER_MS
GIVE_UP_NS = 12_000 * NS_PER_MS  # an upgrade that takes longer is begun anew
NO_ORDER_NS = 1500 * NS_PER_MS  # a server that takes no order for so long lets the others go first
FENCE_REFUSED = 412  # the status of a server that has seen a higher fence
FENCE_SHIFT = 24  # the sequence of a holder's updates: its fence, then a counter
METHOD = (
    "retain"  # streams go on: their parts stay under the salt of the old weights, where no new request looks
)


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
        self.settings = settings
        self.register = register
        self.named = named
        self.publish = publish
        self.log = log
        lease_ns = int(settings.rule_bounds.lease_ms) * NS_PER_MS
        self.lease = Lease(settings.node_name, process, lease_ns)
        self.servers: list[ListedServer] = []
        self.roll = Roll()
        self._told: BusyServers | None = None
        self._done: dict[tuple[str, str], int] = {}  # (instance, model): revision that its report told
        self._updates = 0
        scheduler.spawn("weights duty", self._run)

    def on_update(self, update: Update) -> None:
        """The duty's value, or the list of servers, was told of."""
        if update.topic == topics.WEIGHTS_DUTY:
            self.lease.saw(decode_value(update.value, DutyValue), self.scheduler.now())
        elif update.topic == topics.SERVERS:
            self._take_list(update.value)

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            if not (self._wanted() or self.roll.under_way):
                continue  # nobody has to hold the duty
            if self.lease.seen is None:
                self.lease.saw(None, self.scheduler.now())
            if self.lease.wants_claim(self.scheduler.now()):
                self._claim()
            if self.lease.may_act(self.scheduler.now()):
                self._work()

    def _claim(self) -> None:
        began = self.scheduler.now()
        expected = self.lease.seen
        change = changes.claim_duty(self.lease.node, self.lease.process, expected, self.lease.refused_fence)
        result = self.register.change(topics.WEIGHTS_DUTY, change, began + CLAIM_NS)
        now = self.scheduler.now()
        if isinstance(result, Committed):
            value = decode_value(result.value, DutyValue)
            if (value.owner, value.process) == (self.lease.node, self.lease.process):
                if self.lease.holding is None:
                    self.log.info("duty taken", duty=topics.WEIGHTS_DUTY, fence=value.fence)
                self.lease.claimed(value, began, now)
                self.publish(Update(topics.WEIGHTS_DUTY, value.sequence, result.value))
        elif isinstance(result, Rejected | Overtaken):
            self.lease.saw(decode_value(result.value, DutyValue), now)

    def _work(self) -> None:
        now = self.scheduler.now()
        orders = self.roll.next_orders(self._wanted(), sum(bool(s.models) for s in self.servers), now)
        self._tell_busy()
        for upgrade in orders:
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
        """Order one server to take the weights and wait until it holds them."""
        caller = Caller(self.scheduler, parse_address(upgrade.address))
        began = self.scheduler.now()
        ordered = taken = False
        try:
            while self.scheduler.now() - began < (GIVE_UP_NS if ordered else NO_ORDER_NS):
                report = self._report(caller)
                if report is not None and report.revisions.get(upgrade.model, 0) >= upgrade.revision:
                    taken = True
                    self._done[upgrade.instance_id, upgrade.model] = upgrade.revision
                    self.log.info(
                        "weights taken",
                        server=upgrade.instance_id,
                        ms=(self.scheduler.now() - began) // NS_PER_MS,
                    )
                    return
                if report is not None and not ordered:
                    ordered = report.busy or self._order(caller, upgrade, report)
                self.scheduler.sleep(REPORT_NS)
        finally:
            caller.close()
            if taken:
                self.roll.ended(upgrade.instance_id)
            else:
                self.roll.given_up(upgrade.instance_id, self.scheduler.now())
            self._tell_busy()

    def _report(self, caller: Caller) -> Report | None:
        try:
            answer = caller.call(b"GET", b"/report", b"", b"", self.scheduler.now() + CALL_NS)
            return read_report(answer.body) if answer.head.status == 200 else None
        except (OSError, http.Malformed, http.Truncated, MalformedReport):
            return None

    def _order(self, caller: Caller, upgrade: Upgrade, report: Report) -> bool:
        """Give the order if the lease still holds; whether the server has it, as far as is known."""
        if not self.lease.may_act(self.scheduler.now()):
            return False
        holding = self.lease.holding
        body = {
            "order_kind": "revision",
            "model_name": upgrade.model,
            "revision": upgrade.revision,
            "method": METHOD,
            "owner": self.lease.node,
            "fence_no": holding.fence,
            "expected_count": report.call_count,
        }
        lines = (
            b"Content-Type: application/json\r\nX-Iristrack-Expect-Instance: %b\r\n"
            % upgrade.instance_id.encode()
        )
        try:
            caller.close()  # on a connection of its own: no late answer can be taken for the order's
            caller.connect(self.scheduler.now() + CALL_NS)
            if not self.lease.may_act(self.scheduler.now()):
                return False  # it ended while the connection came up
            answer = caller.call(
                b"POST", b"/order", lines, json.dumps(body).encode(), self.scheduler.now() + CALL_NS
            )
        except (OSError, http.Malformed, http.Truncated):
            return False  # it may have been taken: `expected_count` guards the next one
        self.log.info(
            "order", server=upgrade.instance_id, revision=upgrade.revision, status=answer.head.status
        )
        if answer.head.status == FENCE_REFUSED:
            self.lease.refused(holding.fence)
        return answer.head.status in (200, 202)

    def _tell_busy(self) -> None:
        taken = (InstanceRevision(name, model, revision) for (name, model), revision in self._done.items())
        busy = BusyServers(tuple(sorted(self.roll.ordered)), tuple(sorted(self.roll.preparing)), tuple(taken))
        if self.lease.holding is None or busy == self._told:
            return
        self._told = busy
        self._updates += 1
        sequence = (self.lease.holding.fence << FENCE_SHIFT) + self._updates
        self.publish(Update(topics.BUSY_SERVERS, sequence, encode(busy)))
