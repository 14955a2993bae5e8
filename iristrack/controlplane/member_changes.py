"""Changes of the member set once it is founded: machines that take a place, and the end of their joining.

The first of the connected members looks whether the set should change (`register/succession.py`) and proposes it. A
machine that was let in recovers, votes, and has the set settled itself.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.controlplane.register_host import RegisterHost
from iristrack.register import Committed, MemberSetError, change_members, settled
from iristrack.register.succession import Succession
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler, clock
from iristrack.wire.messages import MembersValue
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
TICK_NS = 250 * NS_PER_MS
ROUND_NS = 1000 * NS_PER_MS


class MemberChanges:
    """This process's part in changing the member set."""

    def __init__(
        self,
        scheduler: Scheduler,
        register: RegisterHost,
        connected: Callable[[], list[str]],
        reporting: Callable[[], set[str]],
        publish: Callable[[MembersValue], None],
        log,
    ) -> None:
        """`connected` names the members in touch, this one among them; `reporting` all core machines in touch."""
        self.scheduler = scheduler
        self.register = register
        self.connected = connected
        self.reporting = reporting
        self.publish = publish
        self.log = log
        self._succession = Succession()
        scheduler.spawn("member changes", self._run)

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            members = self.register.member_set
            if not self.register.founded or not self.register.voting:
                self._succession = Succession()
            elif members.joining == self.register.name:
                self._propose(members, settled(members))
            else:
                self._look(members)

    def _look(self, members: MembersValue) -> None:
        connected = self.connected()
        try:
            proposed = self._succession.next_set(members, connected, self.reporting(), clock())
        except MemberSetError as fault:
            self.log.warning("no change of members", reason=str(fault))
            return
        if proposed is not None and min(connected) == self.register.name:
            self._propose(members, proposed)

    def _propose(self, members: MembersValue, proposed: MembersValue) -> None:
        change = change_members(members, proposed)
        result = self.register.change(topics.MEMBER_SET, change, clock() + ROUND_NS)
        told = decode_value(result.value, MembersValue) if isinstance(result, Committed) else None
        if told is not None:
            self.log.info("members changed", sequence=told.sequence, joining=told.joining)
            self.publish(told)
