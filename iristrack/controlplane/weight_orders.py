"""Orders single servers to load a revision of a model's weights, under a lease."""

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
REPORT_INTERVAL_NS = 200 * NS_PER_MS
UPGRADE_TIMEOUT_NS = 12_000 * NS_PER_MS  # an upgrade that takes longer is started again
ORDER_TIMEOUT_NS = 1500 * NS_PER_MS  # a server that accepts no order for this long is passed over for others
FENCE_REFUSED = 412  # status of a server that has seen a higher fencing token
ACCEPTED_STATUSES = (200, 202)
# Running streams continue: their cached prefixes stay under the salt of the old weights, which no new request uses.
METHOD = "retain"


class WeightOrders:
    """Upgrades servers to a revision, with one call of `upgrade` for each."""

    def __init__(self, scheduler: Scheduler, lease: Lease, log) -> None:
        """Give orders only while `lease` is valid, under its fencing token."""
        self.scheduler = scheduler
        self.lease = lease
        self.log = log

    def upgrade(self, upgrade: Upgrade) -> bool:
        """Order a server to load the weights and wait until its report shows them; false if it timed out.

        Call this from a task.
        """
        caller = HttpClient(self.scheduler, parse_address(upgrade.address))
        began = self.scheduler.now()
        ordered = False
        try:
            while self.scheduler.now() - began < (UPGRADE_TIMEOUT_NS if ordered else ORDER_TIMEOUT_NS):
                report = self._report(caller)
                if report is not None and report.revisions.get(upgrade.model, 0) >= upgrade.revision:
                    duration_ms = (self.scheduler.now() - began) // NS_PER_MS
                    self.log.info("weights taken", server=upgrade.instance_id, ms=duration_ms)
                    return True
                if report is not None and not ordered:
                    ordered = report.busy or self.order(caller, upgrade, report)
                self.scheduler.sleep(REPORT_INTERVAL_NS)
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
        """Send the order if the lease is still valid; return whether the server is known to have accepted it."""
        if not self.lease.may_act(self.scheduler.now()):
            return False
        fence = self.lease.holding.fence
        body = self._order_body(upgrade, report, fence)
        lines = (
            b"Content-Type: application/json\r\nX-Iristrack-Expect-Instance: %b\r\n"
            % upgrade.instance_id.encode()
        )
        try:
            caller.close()  # a new connection, so that no late answer is mistaken for the order's
            caller.connect(self.scheduler.now() + CALL_TIMEOUT_NS)
            if not self.lease.may_act(self.scheduler.now()):
                return False  # the lease expired while the connection was established
            answer = caller.call(b"POST", b"/order", lines, body, self.scheduler.now() + CALL_TIMEOUT_NS)
        except (OSError, http.Malformed, http.Truncated):
            return False  # the server may have accepted it: `expected_count` guards the next order
        status = answer.head.status
        self.log.info("order", server=upgrade.instance_id, revision=upgrade.revision, status=status)
        if status == FENCE_REFUSED:
            self.lease.refused(fence)
        return status in ACCEPTED_STATUSES

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
