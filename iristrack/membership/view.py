"""What one process knows of all members, merged from what it is told in any order and any number of times.

Of two records of a node the higher `count` (SWIM's incarnation) stands, of equal counts the dead one. A watcher that
declares a member dead leaves the count as it is; only the member itself raises it, and so refutes what is said of it.
The merge is a join of a total order: processes that were told the same records hold the same view.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from iristrack.placement.ranking import hash64
from iristrack.wire.messages import Member, View

NS_PER_S = 1_000_000_000
MOST_MEMBERS = 4096
MOST_COUNT = 1 << 53  # a record above it is spoilt
FORGET_NS = 60 * NS_PER_S  # a dead member is forgotten so long after this process learned of its death
REFUTE_PAUSE_NS = 1 * NS_PER_S  # between two refutations; two processes of one name must not storm


def stands_over(first: Member, second: Member) -> bool:
    """Does the first of two records of one node stand over the second?"""
    return _order(first) > _order(second)


def _order(member: Member) -> tuple:
    rest = (member.process, member.address, member.zone, member.region, member.role)
    return (member.count, not member.alive, *rest)


@dataclass(frozen=True, slots=True)
class _Known:
    member: Member
    sequence: int  # of the change that brought it
    source: str  # the node that told it, "" for this process itself


class MembershipView:
    """The members by node name; each change has a sequence of this process, for deltas to its peers."""

    def __init__(self, me: Member) -> None:
        """Only this process itself is known."""
        self.sequence = 0
        self.digest = 0  # 63 bits over name and count of all that are alive, in no order
        self._known: dict[str, _Known] = {}  # the last changed last
        self._died_at: dict[str, int] = {}  # the first that died first
        self._alive: tuple[Member, ...] | None = None
        self._me = me.node
        self._left = False
        self._refuted_at: int | None = None
        self._to_refute = -1  # the highest count that something false was said under
        self._store(me, "", 0)

    @property
    def me(self) -> Member:
        """This process's own record."""
        return self._known[self._me].member

    def get(self, node: str) -> Member | None:
        """The record of a node."""
        known = self._known.get(node)
        return None if known is None else known.member

    def alive(self) -> tuple[Member, ...]:
        """All that are alive, this process included; the same object until one joins, dies or changes."""
        if self._alive is None:
            self._alive = tuple(k.member for k in self._known.values() if k.member.alive)
        return self._alive

    def snapshot(self) -> View:
        """All records, the dead ones included."""
        return View(tuple(known.member for known in self._known.values()))

    def changes_since(self, sequence: int, not_from: str = "") -> tuple[Member, ...]:
        """The records that changed after this sequence; without those told by the node `not_from`."""
        found = []
        for known in reversed(self._known.values()):
            if known.sequence <= sequence:
                break
            if not not_from or known.source != not_from:
                found.append(known.member)
        return tuple(found)

    def merge(self, members: Iterable[Member], now: int, source: str = "") -> list[Member]:
        """Take what the node `source` tells; the records that changed, a refutation of this process included."""
        changed = [member for member in members if self._take(member, now, source)]
        return changed + self.refute(now)

    def declare_dead(self, node: str, count: int, now: int) -> list[Member]:
        """Take a member for dead, unless it has refuted that by a higher count; the records that changed."""
        member = self.get(node)
        if member is None or not member.alive or member.count != count:
            return []
        return self.merge((replace(member, alive=False),), now)

    def leave(self, now: int) -> list[Member]:
        """This process ends of its own accord: it tells so, and refutes no more."""
        self._left = True
        gone = replace(self.me, alive=False, count=self.me.count + 1)
        self._store(gone, "", now)
        return [gone]

    def refute(self, now: int) -> list[Member]:
        """Refute what was said falsely of this process, once the pause since the last time is over."""
        if self._left or self._to_refute < self.me.count:
            return []
        if self._refuted_at is not None and now - self._refuted_at < REFUTE_PAUSE_NS:
            return []
        self._refuted_at = now
        back = replace(self.me, count=self._to_refute + 1)
        self._store(back, "", now)
        return [back]

    def forget(self, now: int) -> int:
        """Forget members that have been dead for long; how many."""
        forgotten = 0
        for node, died_at in list(self._died_at.items()):
            if now - died_at < FORGET_NS:
                break
            self._drop(node)
            forgotten += 1
        return forgotten

    def _take(self, member: Member, now: int, source: str) -> bool:
        if not member.node or not 0 <= member.count < MOST_COUNT:
            return False
        if member.node == self._me:
            if stands_over(member, self.me):
                self._to_refute = max(self._to_refute, member.count)
            return False
        known = self.get(member.node)
        if known is None:
            if not member.alive or not self._has_room():
                return False
        elif not stands_over(member, known):
            return False
        self._store(member, source, now)
        return True

    def _has_room(self) -> bool:
        """Is there room for one more? The member that has been dead for longest makes it."""
        if len(self._known) >= MOST_MEMBERS and self._died_at:
            self._drop(next(iter(self._died_at)))
        return len(self._known) < MOST_MEMBERS

    def _store(self, member: Member, source: str, now: int) -> None:
        self._drop(member.node)
        self.sequence += 1
        self._known[member.node] = _Known(member, self.sequence, source)
        if member.alive:
            self.digest ^= _digest(member)
        else:
            self._died_at[member.node] = now

    def _drop(self, node: str) -> None:
        known = self._known.pop(node, None)
        self._died_at.pop(node, None)
        self._alive = None
        if known is not None and known.member.alive:
            self.digest ^= _digest(known.member)


def _digest(member: Member) -> int:
    return hash64(f"{member.count} {member.process} {member.node}") >> 1
