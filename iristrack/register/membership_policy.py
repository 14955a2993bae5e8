"""The policy for changes of the member set: when to replace a silent member, to add a machine, or to remove a member.

A machine that reports as a core machine and is not a member replaces the member that has been silent longest. If no
member is silent, the machine is added, provided that the set then has an odd number of members or another machine
waits: an even number of members tolerates no more losses than the next smaller odd one. A member that has been silent
for minutes and is not replaced is removed if the set has more members than it needs, so that an enlarged set returns to
its size. Nothing is proposed while a member is joining, unless that member is silent itself, nor while the registers
are being rewritten after a removal.
"""

from __future__ import annotations

from collections.abc import Collection

from iristrack.register.member_set import (
    MAX_MEMBERS,
    MIN_MEMBERS,
    added,
    is_shrinking,
    quorum_of,
    removed,
    replaced,
)
from iristrack.wire.messages import MembersValue

NS_PER_MS = 1_000_000
# How long a member must be without a connection to count as silent; the time to detect the loss comes on top.
SILENCE_THRESHOLD_NS = 1500 * NS_PER_MS
REPLACEMENT_DELAY_NS = 500 * NS_PER_MS  # a machine must have reported this long before it replaces a member
# A machine must have reported this long before it is added to a set without a silent member: the member that it could
# replace may still fall silent or leave, and an enlarged set shrinks only after minutes.
ADDITION_DELAY_NS = 60_000 * NS_PER_MS
# The same in the first seconds of a new system, when such a machine is one that was late for the founding.
LATE_FOUNDER_DELAY_NS = 3000 * NS_PER_MS
# A member that is silent this long is removed from a set that has more members than it needs.
REMOVAL_DELAY_NS = 300_000 * NS_PER_MS


class MembershipPolicy:
    """One member's record of which members are silent and which machines could become members."""

    def __init__(self, min_members: int = MIN_MEMBERS) -> None:
        """Start with no observations; the set is never made smaller than `min_members`."""
        self._min_members = max(min_members, MIN_MEMBERS)
        self._silent_since: dict[str, int] = {}
        self._reported_since: dict[str, int] = {}

    def next_member_set(
        self,
        members: MembersValue,
        connected: Collection[str],
        reporting: Collection[str],
        now: int,
        addition_delay_ns: int = ADDITION_DELAY_NS,
    ) -> MembersValue | None:
        """Return the set to propose now, if any; `connected` are the connected members including this one.

        `addition_delay_ns`: how long a machine must have reported before it is added without replacing a member.
        """
        silent = [member for member in members.members if member not in connected]
        spares = [machine for machine in reporting if machine not in members.members]
        _update_since(self._silent_since, silent, now)
        _update_since(self._reported_since, spares, now)
        if len(members.members) - len(silent) < quorum_of(members):
            self._silent_since = dict.fromkeys(
                silent, now
            )  # this member itself may be the one that is disconnected
            return None
        return self._propose(members, now, addition_delay_ns)

    def _propose(self, members: MembersValue, now: int, addition_delay_ns: int) -> MembersValue | None:
        if is_shrinking(members):
            return None
        silent = _present_for(self._silent_since, SILENCE_THRESHOLD_NS, now)
        if members.joining:
            silent = [member for member in silent if member == members.joining]
        ready = _present_for(self._reported_since, REPLACEMENT_DELAY_NS, now)
        if silent and ready:
            return replaced(members, silent[0], ready[0])
        removable = _present_for(self._silent_since, REMOVAL_DELAY_NS, now)
        if removable and not members.joining and len(members.members) > self._min_members:
            return removed(members, removable[0])
        waiting = _present_for(self._reported_since, addition_delay_ns, now)
        if members.joining or self._silent_since or not waiting or len(members.members) >= MAX_MEMBERS:
            return None
        if len(members.members) % 2 and len(waiting) < 2:
            return None
        return added(members, waiting[0])


def _update_since(since: dict[str, int], present: Collection[str], now: int) -> None:
    for name in [name for name in since if name not in present]:
        del since[name]
    for name in present:
        since.setdefault(name, now)


def _present_for(since: dict[str, int], min_ns: int, now: int) -> list[str]:
    """Return the names that have been present for at least `min_ns`, the longest first."""
    return sorted(
        (name for name, since_ns in since.items() if now - since_ns >= min_ns),
        key=lambda name: (since[name], name),
    )
