from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from iristrack.relay.tree import (
    DATA_PLANE,
    DIRECT_PER_ZONE,
    FAN_OUT,
    MOST_CORE_REPAIRS,
    Upstreams,
    relay_order,
    upstreams,
)
from iristrack.wire.messages import Member

CORE = tuple(f"core-{index}:1" for index in range(5))


def sidecar(index: int, zone: str = "a", alive: bool = True) -> Member:
    node = f"edge-{index}"
    return Member(node, DATA_PLANE, "p", zone, "r", f"{node}:1", alive, 0)


def core_member(index: int, zone: str, region: str = "r") -> Member:
    return Member(f"core-{index}", "controlplane", "p", zone, region, f"core-{index}:1", True, 0)


def sources(found: Upstreams) -> tuple[str, ...]:
    return (found.push_from, *found.repair_from)


views = st.lists(st.tuples(st.integers(0, 40), st.sampled_from("abc"), st.booleans()), max_size=60)


@given(st.lists(views, min_size=41, max_size=41))
@settings(max_examples=40, suppress_health_check=[HealthCheck.too_slow, HealthCheck.large_base_example])
def test_no_cycle_whatever_each_sidecar_takes_for_the_view(told: list) -> None:
    follows: dict[str, tuple[str, ...]] = {}
    for index, view in enumerate(told):
        me = sidecar(index)
        members = {number: sidecar(number, zone, alive) for number, zone, alive in view}
        members[index] = me
        follows[me.address] = sources(upstreams(me, members.values(), CORE))
    done: set[str] = set()

    def visit(address: str, path: tuple[str, ...]) -> None:
        assert address not in path
        if address in done:
            return
        for upstream in follows.get(address, ()):
            visit(upstream, (*path, address))
        done.add(address)

    for address in follows:
        visit(address, ())


@given(st.integers(1, 300))
@settings(max_examples=25)
def test_every_sidecar_hangs_on_the_core_and_the_levels_are_as_wide_as_stated(size: int) -> None:
    members = [sidecar(index) for index in range(size)]
    found = {member.address: upstreams(member, members, CORE) for member in members}
    widths: dict[int, int] = {}
    for own in found.values():
        widths[own.level] = widths.get(own.level, 0) + 1
        assert len(set(sources(own))) == len(sources(own))
        for upstream in sources(own):
            assert upstream in CORE if own.level == 0 else found[upstream].level == own.level - 1
        assert (
            own.level == 0 or (len(own.repair_from) == 1 and set(own.last_resorts) == set(CORE)) or size == 2
        )
    assert all(width <= DIRECT_PER_ZONE * FAN_OUT**level for level, width in widths.items())
    assert sum(widths.values()) == size


def test_no_relay_has_far_more_children_than_the_fan_out() -> None:
    members = [sidecar(index) for index in range(400)]
    children: dict[str | None, int] = {}
    for member in members:
        own = upstreams(member, members, CORE)
        if own.level:
            children[own.push_from] = children.get(own.push_from, 0) + 1
    assert max(children.values()) <= 2 * FAN_OUT


@given(st.integers(3, 120), st.integers(0, 119))
@settings(max_examples=30)
def test_a_loss_moves_only_the_children_of_the_one_lost_and_one_node_a_level(size: int, lost: int) -> None:
    members = [sidecar(index) for index in range(size)]
    gone = members.pop(lost % size)
    before = {m.address: upstreams(m, [*members, gone], CORE) for m in members}
    after = {m.address: upstreams(m, members, CORE) for m in members}
    risen = {address for address, own in after.items() if own.level != before[address].level}
    assert len(risen) <= 2  # one for each border between the three levels
    for address, own in after.items():
        if address not in risen and gone.address not in sources(before[address]):
            kept = set(sources(own)) - risen
            assert own == before[address] or (len(kept) < 2 and kept <= set(sources(before[address])))


def test_direct_ones_follow_the_core_member_of_their_zone_then_of_their_region() -> None:
    me = sidecar(0)
    members = [
        me,
        core_member(0, "c", "s"),
        core_member(1, "b"),
        core_member(2, "a"),
        core_member(3, "d", "s"),
    ]
    own = upstreams(me, members, CORE)
    assert own.level == 0
    assert sources(own)[:2] == ("core-2:1", "core-1:1")
    assert len(own.repair_from) == MOST_CORE_REPAIRS
    assert set(sources(own)) | set(own.last_resorts) == set(CORE)
    dead = [replace(m, alive=False) if m.node == "core-2" else m for m in members]
    assert upstreams(me, dead, CORE).push_from == "core-1:1"


def test_a_sidecar_that_knows_nobody_follows_the_core_and_one_without_core_nothing() -> None:
    assert upstreams(sidecar(0), [], CORE).push_from in CORE
    assert upstreams(sidecar(0), [], ()) == Upstreams(0, None)


def test_the_dead_and_other_zones_are_nobodys_relays() -> None:
    first = sorted((sidecar(index) for index in range(20)), key=lambda m: relay_order(m.node))
    me, before = first[-1], first[:-1]
    others = [replace(m, alive=False) for m in before[:10]] + [replace(m, zone="b") for m in before[10:]]
    assert upstreams(me, [*others, me], CORE).level == 0
