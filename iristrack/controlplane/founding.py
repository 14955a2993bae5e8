"""The first member set: agreed on by the seeds once, before any other register is voted on.

Only the seeds are known at the first start, and there may be more core machines. Each seed waits a little for word of a
set, votes, waits for core machines that report to it, and proposes the seeds and those machines. The proposal is an
ordinary change of the register `members` at a majority of the seeds, so that exactly one set comes of it, whoever
proposes and whatever is cut. No other register is changed by a process that does not know this set, and all later sets
are agreed on in a register of their own (`member_changes.py`). The machines that are not seeds have never voted, and do
so from then on. A seed that is told of a set while it waits recovers from the others: its disk may have been lost, and
the settings still be those of the first start.
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
HEAR_NS = 200 * NS_PER_MS  # for word of a set that there is already, before this seed votes as a new one
GATHER_NS = (
    400 * NS_PER_MS
)  # more, for machines to report: those of one start are up within 300 ms of each other
ROUND_NS = 800 * NS_PER_MS
PAUSE_NS = 100 * NS_PER_MS


def propose_members(members: tuple[str, ...]) -> Change:
    """Have these be the members, unless a set was agreed on."""

    def change(value: bytes) -> Outcome:
        return Unchanged() if value else encode_value(MembersValue(FOUNDED, members))

    return change


class Founding:
    """One seed's part in agreeing on the member set; ends when the set is known here, or was known elsewhere before."""

    def __init__(
        self,
        scheduler: Scheduler,
        register: RegisterHost,
        seeds: tuple[str, ...],
        reporting: Callable[[], Collection[str]],
        on_founded: Callable[[], None],
    ) -> None:
        """`reporting` names the core machines that are connected; starts with the next turn of the loop."""
        self.scheduler = scheduler
        self.register = register
        self.seeds = seeds
        self.reporting = reporting
        self.on_founded = on_founded
        scheduler.spawn("founding", self._run)

    def _run(self) -> None:
        self.scheduler.sleep(HEAR_NS)
        if self.register.recovering:
            return  # there is a set already: this is no first start, whatever the settings say
        if not self.register.voting:
            self.register.form(self.seeds)
        self.scheduler.sleep(GATHER_NS)
        while not self.register.founded:
            self._propose()
            self.scheduler.sleep(PAUSE_NS)

    def _propose(self) -> None:
        proposed = tuple(sorted({*self.seeds, *self.reporting()}))
        result = self.register.change(
            topics.MEMBERS, propose_members(proposed), self.scheduler.now() + ROUND_NS
        )
        told = decode_value(result.value, MembersValue) if isinstance(result, Committed) else None
        if told is not None:
            self.register.follow(told, False, self.on_founded)
