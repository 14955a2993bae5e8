"""Orders to single servers to take a revision of a model's weights, given under a lease."""

from __future__ import annotations

import json

from iristrack.duties.lease import Lease
from iristrack.engines.reports import MalformedReport, Report, read_report
from iristrack.engines.rolling_upgrade import Upgrade
from iristrack.http1 import messages as http
from iristrack.http1.fetching import HttpClient
from iristrack.runtime.scheduler import Scheduler
from iristrack.wire.dialing import parse_address

NS_PER_MS = 1_000_000
CALL_TIMEOUT_NS = 700 * NS_PER_MS
REPORT_NS = 200 * NS_PER_MS
GIVE_UP_NS = 12_000 * NS_PER_MS  # an upgrade that takes longer is begun anew
NO_ORDER_NS = 1500 * NS_PER_MS  # a server that takes no order for so long lets the others go first
FENCE_REFUSED = 412  # the status of a server that has seen a higher fence
ORDER_TAKEN = (200, 202)
METHOD = (
    "retain"  # streams go on: their parts stay under the salt of the old weights, where no new request looks
)


class WeightOrders:
    """Brings servers to a revision, one call of `upgrade` for each."""

    def __init__(self, scheduler: Scheduler, lease: Lease, log) -> None:
        """Orders are given while `lease` holds, under its fence."""
        self.scheduler = scheduler
        self.lease = lease
        self.log = log

    def upgrade(self, upgrade: Upgrade) -> bool:
        """Order a server to take the weights and wait until its report tells them, from a task; false: given up."""
        caller = HttpClient(self.scheduler, parse_address(upgrade.address))
        began = self.scheduler.now()
        ordered = False
        try:
            while self.scheduler.now() - began < (GIVE_UP_NS if ordered else NO_ORDER_NS):
                report = self._report(caller)
                if report is not None and report.revisions.get(upgrade.model, 0) >= upgrade.revision:
                    took_ms = (self.scheduler.now() - began) // NS_PER_MS
                    self.log.info("weights taken", server=upgrade.instance_id, ms=took_ms)
                    return True
                if report is not None and not ordered:
                    ordered = report.busy or self.order(caller, upgrade, report)
                self.scheduler.sleep(REPORT_NS)
            return False
        finally:
            caller.close()

    def _report(self, caller: HttpClient) -> Report | None:
        try:
            answer = caller.call(b"GET", b"/report", b"", b"", self.scheduler.now() + CALL_TIMEOUT_NS)
            return read_report(answer.body) if answer.head.status == 200 else None
        except (OSError, http.Malformed, http.Truncated, MalformedReport):
            return None

    def order(self, caller: HttpClient, upgrade: Upgrade, report: Report) -> bool:
        """Give the order if the lease still holds; whether the server has it, as far as is known."""
        if not self.lease.may_act(self.scheduler.now()):
            return False
        fence = self.lease.holding.fence
        body = self._order_body(upgrade, report, fence)
        lines = (
            b"Content-Type: application/json\r\nX-Iristrack-Expect-Instance: %b\r\n"
            % upgrade.instance_id.encode()
        )
        try:
            caller.close()  # on a connection of its own: no late answer can be taken for the order's
            caller.connect(self.scheduler.now() + CALL_TIMEOUT_NS)
            if not self.lease.may_act(self.scheduler.now()):
                return False  # it ended while the connection came up
            answer = caller.call(b"POST", b"/order", lines, body, self.scheduler.now() + CALL_TIMEOUT_NS)
        except (OSError, http.Malformed, http.Truncated):
            return False  # it may have been taken: `expected_count` guards the next one
        status = answer.head.status
        self.log.info("order", server=upgrade.instance_id, revision=upgrade.revision, status=status)
        if status == FENCE_REFUSED:
            self.lease.refused(fence)
        return status in ORDER_TAKEN

    def _order_body(self, upgrade: Upgrade, report: Report, fence: int) -> bytes:
        order = {
            "order_kind": "revision",
            "model_name": upgrade.model,
            "revision": upgrade.revision,
            "method": METHOD,
            "owner": self.lease.node,
            "fence_no": fence,
            "expected_count": report.call_count,
        }
        return json.dumps(order).encode()
