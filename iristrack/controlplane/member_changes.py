"""Changes of the member set once it is founded: machines that take a place, and the end of their joining.

Each member looks whether the set should change (`register/membership_policy.py`). The first of those that are connected
proposes it, and where that one does not (it is slow, frozen, or cut off in a way that the others cannot see), the next
one `TURN_NS` later: the proposals are compare-and-sets, of which one prevails. A machine that was let in recovers,
votes, and has the set settled itself.

Where a member was taken out the registers are written again, in the same order of turns, and then the set is settled.

A member that is to end hands its place over first, where another machine waits for one and a quorum is there for that
machine to recover from. It goes on voting until the set has changed, lets the newcomer read from it, and ends when the
newcomer votes: until then as many others may be lost as before.
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
ROUND_NS = 1000 * NS_PER_MS
FOUNDING_NS = 15_000 * NS_PER_MS  # in a first start: who reports within it was late for the founding
TURN_NS = 750 * NS_PER_MS  # the next member proposes what the one before it did not
HAND_OVER_TICK_NS = 20 * NS_PER_MS


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
        fewest: int = MIN_MEMBERS,
    ) -> None:
        """`connected` names the members in touch, this one among them; `reporting` all core machines, with their disks.

        `in_quorum`: has a quorum of the members answered lately, this one among them? `first_start`: the whole system
        starts for the first time, as the settings say. `fewest`: members that the set keeps at least.
        """
        self._fewest = fewest
        self._founding_until = scheduler.now() + (FOUNDING_NS if first_start else 0)
        self.in_quorum = in_quorum
        self.scheduler = scheduler
        self.register = register
        self.connected = connected
        self.reporting = reporting
        self.publish = publish
        self.log = log
        self._succession = MembershipPolicy(fewest)
        self._wanted_since: int | None = None  # ns, since when the set should change
        self._shrinking_since: int | None = None  # ns, since when a member is known to be taken out
        self._leaving = False
        scheduler.spawn("member changes", self._run)

    def hand_over(self, deadline: int, on_done: Callable[[], None]) -> None:
        """This process is to end: have a waiting machine take its place, until `deadline` (ns) at the latest.

        `on_done` is called in a task, at once where there is nobody to take the place.
        """
        self._leaving = True
        self.scheduler.spawn("hand over", self._hand_over, deadline, on_done)

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            members = self.register.member_set
            if not self.register.founded or not self.register.voting:
                self._succession = MembershipPolicy(self._fewest)
                self._wanted_since = self._shrinking_since = None
            elif members.joining == self.register.name:
                self._propose(members, settled(members))
            elif is_shrinking(members):
                self._shrink(members)
            elif not self._leaving:
                self._shrinking_since = None
                self._look(members)

    def _shrink(self, members: MembersValue) -> None:
        """Have the registers written again under the smaller set, once it is this member's turn."""
        connected = sorted(self.connected())
        now = self.scheduler.now()
        if self._shrinking_since is None:
            self._shrinking_since = now
        if self.register.name not in connected:
            return
        is_turn = now - self._shrinking_since >= connected.index(self.register.name) * TURN_NS
        if is_turn and self.register.rewrite_registers(members, ROUND_NS):
            self._propose(members, settled(members))

    def _look(self, members: MembersValue) -> None:
        connected = sorted(self.connected())
        now = self.scheduler.now()
        try:
            added_ns = LATE_FOUNDER_DELAY_NS if now < self._founding_until else ADDITION_DELAY_NS
            reporting = self.reporting()
            proposed = self._succession.next_member_set(members, connected, reporting, now, added_ns)
        except MemberSetError as fault:
            self.log.warning("no change of members", reason=str(fault))
            return
        if proposed is None or self.register.name not in connected:
            self._wanted_since = None
            return
        if self._wanted_since is None:
            self._wanted_since = now
        if now - self._wanted_since >= connected.index(self.register.name) * TURN_NS:
            self._propose(members, replace(proposed, joining_disk=reporting.get(proposed.joining, "")))

    def _hand_over(self, deadline: int, on_done: Callable[[], None]) -> None:
        while self.scheduler.now() < deadline:
            members = self.register.member_set
            if members.joining == "" and not is_shrinking(members) and not self._hand_over_to(members):
                break
            self.scheduler.sleep(HAND_OVER_TICK_NS)
        on_done()

    def _hand_over_to(self, members: MembersValue) -> bool:
        """Propose a successor in this process's place; whether there was one to propose."""
        disks = self.reporting()
        waiting = sorted(disks.keys() - set(members.members))
        is_bound = self.register.founded and self.register.voting and self.register.is_member
        if not is_bound or not waiting or not self.in_quorum():
            return False
        self._propose(members, replaced(members, self.register.name, waiting[0], disks[waiting[0]]))
        return True

    def _propose(self, members: MembersValue, proposed: MembersValue) -> None:
        change = change_members(members, proposed)
        result = self.register.change(topics.MEMBER_SET, change, self.scheduler.now() + ROUND_NS)
        told = decode_value(result.value, MembersValue) if isinstance(result, Committed) else None
        if told is not None:
            self.log.info("members changed", sequence=told.sequence, joining=told.joining)
            self.publish(told)
