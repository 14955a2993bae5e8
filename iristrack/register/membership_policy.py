"""When the member set should change: a member has fallen silent and another machine can take its place, or it has room.

A machine that reports as a core machine and is no member takes the place of the member that has been silent longest.
Where none is silent it is let in beside all, if the set has an odd number of members then or another machine waits: an
even number bears the loss of no more members than the next smaller odd one. A member that has been silent for minutes,
and whose place nobody takes, is taken out where the set has more members than it needs: so a set that has grown comes
back to its size. Nothing is proposed while a member is joining, unless that one is silent itself, nor while the
registers are written again without one that was taken out.
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
SILENCE_THRESHOLD_NS = (
    1500 * NS_PER_MS
)  # without a connection, on top of what it takes to notice a silent one
REPLACEMENT_DELAY_NS = 500 * NS_PER_MS  # so long a machine has reported that takes a place,
# One that is let in beside all has reported for so long: whose place it is to take may fall silent or leave yet, and a
# set that has grown shrinks late. In the first seconds of a whole system it is one that was late for the founding.
ADDITION_DELAY_NS = 60_000 * NS_PER_MS
LATE_FOUNDER_DELAY_NS = 3000 * NS_PER_MS
REMOVAL_DELAY_NS = (
    300_000 * NS_PER_MS
)  # a member that is silent for so long is taken out of a set that can spare it


class MembershipPolicy:
    """One member's view of who is silent and who could take a place."""

    def __init__(self, fewest: int = MIN_MEMBERS) -> None:
        """Nobody has been seen; the set is never made smaller than `fewest`."""
        self._fewest = max(fewest, MIN_MEMBERS)
        self._silent_since: dict[str, int] = {}
        self._reported_since: dict[str, int] = {}

    def next_member_set(
        self,
        members: MembersValue,
        connected: Collection[str],
        reporting: Collection[str],
        now: int,
        added_ns: int = ADDITION_DELAY_NS,
    ) -> MembersValue | None:
        """The set to be proposed now, if any; `connected` are the members in touch, this one among them.

        `added_ns`: for how long a machine reports before it is let in beside all.
        """
        silent = [member for member in members.members if member not in connected]
        spares = [machine for machine in reporting if machine not in members.members]
        _follow(self._silent_since, silent, now)
        _follow(self._reported_since, spares, now)
        if len(members.members) - len(silent) < quorum_of(members):
            self._silent_since = dict.fromkeys(silent, now)  # it may well be this member that is cut off
            return None
        return self._draw_up(members, now, added_ns)

    def _draw_up(self, members: MembersValue, now: int, added_ns: int) -> MembersValue | None:
        if is_shrinking(members):
            return None
        silent = _for_long(self._silent_since, SILENCE_THRESHOLD_NS, now)
        if members.joining:
            silent = [member for member in silent if member == members.joining]
        ready = _for_long(self._reported_since, REPLACEMENT_DELAY_NS, now)
        if silent and ready:
            return replaced(members, silent[0], ready[0])
        given_up = _for_long(self._silent_since, REMOVAL_DELAY_NS, now)
        if given_up and not members.joining and len(members.members) > self._fewest:
            return removed(members, given_up[0])
        waiting = _for_long(self._reported_since, added_ns, now)
        if members.joining or self._silent_since or not waiting or len(members.members) >= MAX_MEMBERS:
            return None
        if len(members.members) % 2 and len(waiting) < 2:
            return None
        return added(members, waiting[0])


def _follow(since: dict[str, int], present: Collection[str], now: int) -> None:
    for name in [name for name in since if name not in present]:
        del since[name]
    for name in present:
        since.setdefault(name, now)


def _for_long(since: dict[str, int], least_ns: int, now: int) -> list[str]:
    """Those that have been there for so long, the longest first."""
    return sorted(
        (name for name, at in since.items() if now - at >= least_ns), key=lambda name: (since[name], name)
    )
