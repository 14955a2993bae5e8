"""The tree of relays: from which processes a sidecar takes its topics, computed by each sidecar alone.

The data planes of a zone stand in one order, that of a hash of their names. The first `DIRECT_PER_ZONE` form level 0
and follow core members; each further level holds `FAN_OUT` times as many as the one above it. A sidecar follows two
nodes of the level above, which its own name chooses among them (rendezvous), so that a loss moves only the children of
the one lost and one node a level. `FAN_OUT` is thus the mean of a full level, not the most.

Why there is never a cycle, even while views differ: every relay that a sidecar follows stands before it in an order
that depends on nothing but names. A path along upstreams goes down in that order and ends at a core member.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from iristrack.placement.ranking import hash64, mix64
from iristrack.wire.messages import Member

DATA_PLANE = "dataplane"
DIRECT_PER_ZONE = 2
FAN_OUT = 8
MOST_CORE_REPAIRS = 3
MOST_CACHED = 8192


@dataclass(frozen=True, slots=True)
class Upstreams:
    """Where a sidecar's topics come from; all are inner addresses (ip:port).

    Attributes:
        level: 0 for those that follow core members, 1 for their children and so on.
        push_from: The one that pushes what changes; None where no core member is known.
        repair_from: Those that send what a heartbeat shows to be missed.
        last_resorts: Core members to be dialled only while all the others are stale, the best first.
    """

    level: int
    push_from: str | None
    repair_from: tuple[str, ...] = ()
    last_resorts: tuple[str, ...] = ()


@lru_cache(MOST_CACHED)
def relay_order(node: str) -> tuple[int, str]:
    """A node's place among the relays, the same in every process; upstreams stand before their children."""
    return hash64(f"relay {node}"), node


def upstreams(me: Member, alive: Iterable[Member], core: Sequence[str]) -> Upstreams:
    """The upstreams of `me`, by the members that are alive and the core members' inner addresses."""
    members = list(alive)
    near_first = _core_order(me, members, core)
    before = _zone_before(me, members)
    begin, end, level = _level_above(len(before))
    if level == 0:
        return _direct(near_first)
    chosen = sorted(before[begin:end], key=lambda member: _affinity(me.node, member.node))[:2]
    addresses = tuple(member.address for member in chosen)
    return Upstreams(level, addresses[0], addresses[1:], near_first)


def _direct(near_first: tuple[str, ...]) -> Upstreams:
    if not near_first:
        return Upstreams(0, None)
    dialled = 1 + MOST_CORE_REPAIRS
    return Upstreams(0, near_first[0], near_first[1:dialled], near_first[dialled:])


def _zone_before(me: Member, members: list[Member]) -> list[Member]:
    """The data planes of the zone that stand before `me`, in order."""
    mine = relay_order(me.node)
    before = [
        member
        for member in members
        if member.alive
        and member.zone == me.zone
        and member.role == DATA_PLANE
        and relay_order(member.node) < mine
    ]
    return sorted(before, key=lambda member: relay_order(member.node))


def _level_above(place: int) -> tuple[int, int, int]:
    """Of the one with so many before it: begin and end of the level above, and its own level."""
    begin, end, level = 0, 0, 0
    width = DIRECT_PER_ZONE
    while place >= end + width:
        begin, end = end, end + width
        width *= FAN_OUT
        level += 1
    return begin, end, level


def _core_order(me: Member, members: list[Member], core: Sequence[str]) -> tuple[str, ...]:
    """The core members: those alive first, those of the zone, then of the region; among equals each node its own."""
    known = {member.address: member for member in members if member.alive and member.role != DATA_PLANE}

    def order(address: str) -> tuple[bool, bool, bool, int]:
        member = known.get(address)
        if member is None:
            return True, True, True, _affinity(me.node, address)
        return False, member.zone != me.zone, member.region != me.region, _affinity(me.node, address)

    return tuple(sorted(set(core), key=order))


@lru_cache(MOST_CACHED)
def _affinity(node: str, other: str) -> int:
    """How far a name is from another, the nearest chosen first."""
    return mix64(hash64(node) ^ mix64(hash64(other)))
