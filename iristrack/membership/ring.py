"""The ring of node names: whose heartbeats go to whom.

A member's watchers are successors on the ring of the hashes of all names: half of them in its own zone, the others
outside it, each in a region and zone of its own where there are such. So the loss of a zone or region is seen by two
watchers outside it, and a cut between two zones or regions by one watcher alone, which the others contradict. A member
that joins or dies changes only the watchers of those near it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from functools import lru_cache

from iristrack.placement.ranking import hash64
from iristrack.wire.messages import Member

WATCHERS = 4
MOST_CACHED = 8192
CIRCLE = 1 << 64

Place = tuple[int, str]


@lru_cache(MOST_CACHED)
def ring_place(node: str) -> Place:
    """Where a name stands on the ring."""
    return hash64(f"ring {node}"), node


class HashRing:
    """All living members in the order of the ring; made anew for each view."""

    def __init__(self, alive: Iterable[Member], count: int = WATCHERS) -> None:
        """`count` watchers for each member, as far as there are others."""
        self.count = count
        self.members = {member.node: member for member in alive}
        self._zones: dict[str, list[Place]] = {}
        for member in self.members.values():
            self._zones.setdefault(member.zone, []).append(ring_place(member.node))
        for places in self._zones.values():
            places.sort()
        self._places = sorted(map(ring_place, self.members))
        self._watchers: dict[str, tuple[Member, ...]] = {}  # as far as they were asked for

    def watchers(self, node: str) -> tuple[Member, ...]:
        """Those that watch a member, by their order of choice; empty for one that is not on the ring."""
        found = self._watchers.get(node)
        if found is None:
            found = self._choose(node)
            if node in self.members:
                self._watchers[node] = found
        return found

    def _choose(self, node: str) -> tuple[Member, ...]:
        member = self.members.get(node)
        if member is None:
            return ()
        near = self._successors(member.zone, node)
        far = self._choose_far(member)
        return (*near[: self.count - min(len(far), self.count // 2 or 1)], *far)

    def watched_by(self, node: str) -> tuple[Member, ...]:
        """All members that this one watches."""
        me = self.members.get(node)
        if me is None:
            return ()
        candidates = self._members_between(self._earliest_watched(me), ring_place(node))
        return tuple(m for m in candidates if any(w.node == node for w in self.watchers(m.node)))

    def _successors(self, zone: str, node: str) -> list[Member]:
        """The first `count` of a zone after a node."""
        places = self._zones[zone]
        begin = bisect_right(places, ring_place(node))
        size = len(places)
        found = [places[(begin + step) % size][1] for step in range(min(self.count, size))]
        return [self.members[name] for name in found if name != node]

    def _choose_far(self, member: Member) -> list[Member]:
        """Members outside the zone: of other regions and zones first, among equals the next on the ring.

        As many as the half of `count`; more where the own zone has too few.
        """
        candidates = [
            m for zone in self._zones if zone != member.zone for m in self._successors(zone, member.node)
        ]
        own = len(self._zones[member.zone]) - 1
        wanted = max(self.count // 2 or 1, self.count - own)
        here = ring_place(member.node)[0]
        chosen: list[Member] = []
        while candidates and len(chosen) < wanted:
            regions = {member.region, *(m.region for m in chosen)}
            zones = {m.zone for m in chosen}
            best = min(
                candidates,
                key=lambda m: (
                    m.region in regions,
                    m.zone in zones,
                    (ring_place(m.node)[0] - here) % CIRCLE,
                ),
            )
            candidates.remove(best)
            chosen.append(best)
        return chosen

    def _earliest_watched(self, me: Member) -> Place:
        """Only from here on can a member have `me` among the first `count` of the zone after it."""
        places = self._zones[me.zone]
        if len(places) <= self.count:
            return ring_place(me.node)
        return places[bisect_right(places, ring_place(me.node)) - 1 - self.count]

    def _members_between(self, first: Place, last: Place) -> list[Member]:
        """Members from the first place on and before the last one; all others where both are the same."""
        begin = bisect_right(self._places, first) - 1
        end = bisect_right(self._places, last) - 1
        size = len(self._places)
        steps = (end - begin) % size or size
        names = (self._places[(begin + step) % size][1] for step in range(steps))
        return [self.members[name] for name in names if name != last[1]]


def watchers(node: str, count: int, alive: Iterable[Member]) -> tuple[Member, ...]:
    """The watchers of one member; `HashRing` where several are asked for."""
    return HashRing(alive, count).watchers(node)
