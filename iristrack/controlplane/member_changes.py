"""Changes of the member set after the bootstrap: machines that take a place, and members that are removed.

Each member checks whether the set should change (`register/membership_policy.py`). The first of the connected members
proposes the change. If it does not (it is slow, frozen, or partitioned in a way that the others cannot see), the next
one does `TAKEOVER_DELAY_NS` later. The proposals are compare-and-set changes, of which one wins. An admitted machine
recovers, votes, and then proposes the settled set itself.

After a member was removed, the registers are rewritten, by the members in the same order, and then the set is settled.

A member that stops hands its place over first, if another machine waits for a place and a quorum is there for that
machine to recover from. It keeps voting until the set has changed, lets the newcomer read from it, and ends when the
newcomer votes. Until then the set tolerates as many further losses as before.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from iristrack.controlplane.register_host import RegisterHost
from iristrack.register import (
    Committed,
    MemberSetError,
    change_members,
    is_shrinking,
    replaced,
    settled,
)
from iristrack.register.member_set import MIN_MEMBERS
from iristrack.register.membership_policy import ADDITION_DELAY_NS, LATE_FOUNDER_DELAY_NS, MembershipPolicy
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler
from iristrack.wire.messages import MembersValue
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
TICK_NS = 250 * NS_PER_MS
CHANGE_TIMEOUT_NS = 1000 * NS_PER_MS
# At a first start, machines that report within this time were merely late for the bootstrap.
LATE_FOUNDER_WINDOW_NS = 15_000 * NS_PER_MS
TAKEOVER_DELAY_NS = 750 * NS_PER_MS  # until the next member proposes a change in place of the one before it
HANDOVER_TICK_NS = 20 * NS_PER_MS


class MemberChanges:
    """This process's part in changing the member set."""

    def __init__(
        self,
        scheduler: Scheduler,
        register: RegisterHost,
        connected: Callable[[], list[str]],
        reporting: Callable[[], Mapping[str, str]],
        in_quorum: Callable[[], bool],
        publish: Callable[[MembersValue], None],
        log,
        first_start: bool = False,
        min_members: int = MIN_MEMBERS,
    ) -> None:
        """Start the periodic check in a task.

        `connected` returns the members in contact, including this one. `reporting` returns the disks of all core
        machines by address. `in_quorum` tells whether a quorum of the members, including this one, has answered
        recently. `first_start` says that the whole system starts for the first time, according to the settings. The set
        never shrinks below `min_members`.
        """
        self._min_members = min_members
        self._late_founders_until = scheduler.now() + (LATE_FOUNDER_WINDOW_NS if first_start else 0)
        self.in_quorum = in_quorum
        self.scheduler = scheduler
        self.register = register
        self.connected = connected
        self.reporting = reporting
        self.publish = publish
        self.log = log
        self._policy = MembershipPolicy(min_members)
        self._needed_since: int | None = None  # time (ns) since which a change is needed
        self._shrinking_since: int | None = None  # time (ns) since which the removal of a member is known
        self._leaving = False
        scheduler.spawn("member changes", self._run)

    def hand_over(self, deadline: int, on_done: Callable[[], None]) -> None:
        """Have a waiting machine take the place of this process, which is stopping, by `deadline` (ns) at the latest.

        `on_done` is called in a task; at once if no machine can take the place.
        """
        self._leaving = True
        self.scheduler.spawn("hand over", self._hand_over, deadline, on_done)

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            members = self.register.member_set
            if not self.register.founded or not self.register.voting:
                self._policy = MembershipPolicy(self._min_members)
                self._needed_since = self._shrinking_since = None
            elif members.joining == self.register.name:
                self._propose(members, settled(members))
            elif is_shrinking(members):
                self._complete_shrinking(members)
            elif not self._leaving:
                self._shrinking_since = None
                self._propose_if_needed(members)

    def _complete_shrinking(self, members: MembersValue) -> None:
        """Rewrite the registers under the smaller set, once it is this member's turn."""
        connected = sorted(self.connected())
        now = self.scheduler.now()
        if self._shrinking_since is None:
            self._shrinking_since = now
        if self.register.name not in connected:
            return
        is_turn = now - self._shrinking_since >= connected.index(self.register.name) * TAKEOVER_DELAY_NS
        if is_turn and self.register.rewrite_registers(members, CHANGE_TIMEOUT_NS):
            self._propose(members, settled(members))

    def _propose_if_needed(self, members: MembersValue) -> None:
        connected = sorted(self.connected())
        now = self.scheduler.now()
        try:
            added_ns = LATE_FOUNDER_DELAY_NS if now < self._late_founders_until else ADDITION_DELAY_NS
            reporting = self.reporting()
            proposed = self._policy.next_member_set(members, connected, reporting, now, added_ns)
        except MemberSetError as error:
            self.log.warning("no change of members", reason=str(error))
            return
        if proposed is None or self.register.name not in connected:
            self._needed_since = None
            return
        if self._needed_since is None:
            self._needed_since = now
        if now - self._needed_since >= connected.index(self.register.name) * TAKEOVER_DELAY_NS:
            self._propose(members, replace(proposed, joining_disk=reporting.get(proposed.joining, "")))

    def _hand_over(self, deadline: int, on_done: Callable[[], None]) -> None:
        while self.scheduler.now() < deadline:
            members = self.register.member_set
            if members.joining == "" and not is_shrinking(members) and not self._hand_over_to(members):
                break
            self.scheduler.sleep(HANDOVER_TICK_NS)
        on_done()

    def _hand_over_to(self, members: MembersValue) -> bool:
        """Propose a successor for this process's place; return whether there was one to propose."""
        disks = self.reporting()
        waiting = sorted(disks.keys() - set(members.members))
        is_bound = self.register.founded and self.register.voting and self.register.is_member
        if not is_bound or not waiting or not self.in_quorum():
            return False
        self._propose(members, replaced(members, self.register.name, waiting[0], disks[waiting[0]]))
        return True

    def _propose(self, members: MembersValue, proposed: MembersValue) -> None:
        change = change_members(members, proposed)
        result = self.register.change(topics.MEMBER_SET, change, self.scheduler.now() + CHANGE_TIMEOUT_NS)
        agreed = decode_value(result.value, MembersValue) if isinstance(result, Committed) else None
        if agreed is not None:
            self.log.info("members changed", sequence=agreed.sequence, joining=agreed.joining)
            self.publish(agreed)
