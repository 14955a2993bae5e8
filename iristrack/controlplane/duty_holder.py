"""One duty of the core: claimed and renewed in its register, held by one member at a time under a fencing token."""

from __future__ import annotations

from collections.abc import Callable

from iristrack.controlplane import changes
from iristrack.controlplane.register_host import RegisterHost
from iristrack.duties.lease import Holding, Lease
from iristrack.register import Committed, Overtaken, Rejected
from iristrack.runtime.scheduler import Scheduler
from iristrack.wire.messages import DutyValue, Update
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
CLAIM_TIMEOUT_NS = 800 * NS_PER_MS


class DutyHolder:
    """This process's part in holding one duty.

    Attributes:
        lease: Tracks whether the duty is held here, by another process, or by nobody.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        register: RegisterHost,
        duty: str,
        lease: Lease,
        publish: Callable[[Update], None],
        log,
    ) -> None:
        """`duty` is the key of the register, and the topic under which `publish` sends its value."""
        self.lease = lease
        self._scheduler = scheduler
        self._register = register
        self._duty = duty
        self._publish = publish
        self._log = log

    @property
    def holding(self) -> Holding | None:
        """The duty as this process holds it, None if it does not."""
        return self.lease.holding

    @property
    def may_act(self) -> bool:
        """Whether this process may act for the duty now."""
        return self.lease.may_act(self._scheduler.now())

    def on_value(self, value: bytes) -> None:
        """Handle a published value of the register."""
        self.lease.observe(decode_value(value, DutyValue), self._scheduler.now())

    def maintain(self) -> bool:
        """Claim or renew the duty if that is due, and return whether this process may act now.

        Call this from a task of the loop.
        """
        now = self._scheduler.now()
        if self.lease.seen is None:
            self.lease.observe(None, now)
        if self.lease.should_claim(now):
            self._claim(now)
        return self.may_act

    def _claim(self, began: int) -> None:
        expected = self.lease.seen
        change = changes.claim_duty(self.lease.node, self.lease.process, expected, self.lease.refused_fence)
        result = self._register.change(self._duty, change, began + CLAIM_TIMEOUT_NS)
        now = self._scheduler.now()
        if isinstance(result, Committed):
            self._committed(result.value, began, now)
        elif isinstance(result, Rejected | Overtaken):
            self.lease.observe(decode_value(result.value, DutyValue), now)

    def _committed(self, committed: bytes, began: int, now: int) -> None:
        value = decode_value(committed, DutyValue)
        if (value.owner, value.process) != (self.lease.node, self.lease.process):
            return
        if self.lease.holding is None:
            self._log.info("duty taken", duty=self._duty, fence=value.fence)
        self.lease.claimed(value, began, now)
        self._publish(Update(self._duty, value.sequence, committed))
