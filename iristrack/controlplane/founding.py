"""Bootstrap of the member set: the seeds agree on the first set before any other register is voted on.

Only the seeds are known at the first start, and there may be more core machines. Each seed waits briefly for news of an
existing set, starts voting, waits for core machines to report to it, and proposes the seeds plus those machines. The
proposal is an ordinary change of the register `members` at a majority of the seeds, so exactly one set results, whoever
proposes and however the network is partitioned. A process that does not know this set changes no other register. All
later sets are agreed on in a register of their own (`member_changes.py`). Machines that are not seeds have never voted
and start voting under the first set. A seed that hears of an existing set while it waits recovers from the others: its
disk may have been lost while the settings are still those of the first start.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from iristrack.controlplane.changes import Change, Outcome
from iristrack.controlplane.register_host import RegisterHost
from iristrack.register import Committed, Unchanged
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler
from iristrack.wire.messages import FOUNDED, MembersValue
from iristrack.wire.values import decode_value, encode_value

NS_PER_MS = 1_000_000
DISCOVERY_WAIT_NS = 200 * NS_PER_MS  # for news of an existing set, before this seed votes as a new member
REPORT_WAIT_NS = 400 * NS_PER_MS  # machines that are started together are up within 300 ms of each other
PROPOSAL_TIMEOUT_NS = 800 * NS_PER_MS
RETRY_DELAY_NS = 100 * NS_PER_MS


def propose_members(members: tuple[str, ...]) -> Change:
    """Return a change that makes these the members, unless a set was agreed on already."""

    def change(value: bytes) -> Outcome:
        return Unchanged() if value else encode_value(MembersValue(FOUNDED, members))

    return change


class Founding:
    """One seed's part in the bootstrap; ends when the set is known here, or turns out to have existed before."""

    def __init__(
        self,
        scheduler: Scheduler,
        register: RegisterHost,
        seeds: tuple[str, ...],
        reporting: Callable[[], Collection[str]],
        on_founded: Callable[[], None],
    ) -> None:
        """`reporting` returns the connected core machines; the bootstrap starts with the next turn of the loop."""
        self.scheduler = scheduler
        self.register = register
        self.seeds = seeds
        self.reporting = reporting
        self.on_founded = on_founded
        scheduler.spawn("founding", self._run)

    def _run(self) -> None:
        self.scheduler.sleep(DISCOVERY_WAIT_NS)
        if self.register.recovering:
            return  # a set exists: this is not the first start, whatever the settings say
        if not self.register.voting:
            self.register.form(self.seeds)
        self.scheduler.sleep(REPORT_WAIT_NS)
        while not self.register.founded:
            self._propose()
            self.scheduler.sleep(RETRY_DELAY_NS)

    def _propose(self) -> None:
        proposed = tuple(sorted({*self.seeds, *self.reporting()}))
        result = self.register.change(
            topics.MEMBERS, propose_members(proposed), self.scheduler.now() + PROPOSAL_TIMEOUT_NS
        )
        agreed = decode_value(result.value, MembersValue) if isinstance(result, Committed) else None
        if agreed is not None:
            self.register.follow(agreed, False, self.on_founded)
