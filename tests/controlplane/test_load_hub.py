from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.controlplane.load_hub import LoadHub
from iristrack.placement.loads import apply_changes, report_interval
from iristrack.wire.messages import ServerLoad, ServerLoads
from tests.controlplane.peers import Peer

LOADS = st.dictionaries(st.sampled_from("abc"), st.integers(1, 9), max_size=3)


class Clock:
    """A fake scheduler whose timers the test runs."""

    def __init__(self) -> None:
        self.at = 10**12
        self.calls: list[tuple[int, object]] = []

    def now(self) -> int:
        return self.at

    def call_at(self, when: int, call) -> None:
        self.calls.append((when, call))

    def turn(self, ns: int = report_interval(0)) -> None:
        self.at += ns
        due, self.calls = self.calls, []
        for _, call in due:
            call()


@pytest.fixture
def clock() -> Clock:
    return Clock()


def make_hub(clock: Clock) -> tuple[LoadHub, list[ServerLoads]]:
    broadcast: list[ServerLoads] = []
    return LoadHub(clock, "core-1", broadcast.append), broadcast


def loads(node: str, count: int, requests: dict[str, int]) -> ServerLoads:
    return ServerLoads(node, count, tuple(ServerLoad(i, n, 2 * n) for i, n in requests.items()))


def as_dict(message: ServerLoads) -> dict[str, tuple[int, int]]:
    return {load.instance: (load.requests, load.pieces) for load in message.loads}


def test_all_sidecars_are_sent_the_same_sum(clock: Clock) -> None:
    """Each sidecar subtracts its own share (`tests/dataplane/test_control_link.py`)."""
    hub, _ = make_hub(clock)
    first, second = Peer(), Peer()
    hub.on_sidecar_loads(first, loads("edge-1", 1, {"a": 1, "b": 2}))
    hub.on_sidecar_loads(second, loads("edge-2", 1, {"b": 4}))
    hub.on_member_loads(loads("core-2", 1, {"b": 8, "c": 16}))
    clock.turn()
    expected = {"a": (1, 2), "b": (14, 28), "c": (16, 32)}
    assert as_dict(first.take()[-1]) == as_dict(second.take()[-1]) == expected


def test_a_new_reporter_is_sent_the_whole_sum_and_then_changes(clock: Clock) -> None:
    hub, broadcast = make_hub(clock)
    first, second = Peer(), Peer()
    hub.on_sidecar_loads(first, loads("edge-1", 1, {"a": 1, "b": 2}))
    clock.turn()
    hub.on_sidecar_loads(second, loads("edge-2", 1, {"b": 4}))
    clock.turn()
    hub.on_sidecar_loads(second, loads("edge-2", 2, {"b": 5}))
    clock.turn()
    whole, change = second.take()
    assert (whole.partial, as_dict(whole)) == (False, {"a": (1, 2), "b": (6, 12)})
    assert (change.partial, as_dict(change)) == (True, {"b": (7, 14)})
    assert [message.partial for message in broadcast] == [False, True, True]
    hub.on_member_dialed()
    clock.turn()
    assert (broadcast[-1].partial, as_dict(broadcast[-1])) == (False, {"a": (1, 2), "b": (7, 14)})


def test_a_sidecar_that_now_reports_elsewhere_is_sent_nothing(clock: Clock) -> None:
    hub, _ = make_hub(clock)
    moved, stays = Peer(), Peer()
    hub.on_sidecar_loads(moved, loads("edge-1", 1, {"a": 1}))
    clock.turn(900_000_000)
    hub.on_sidecar_loads(stays, loads("edge-2", 1, {"a": 1}))
    clock.turn(200_000_000)
    moved.take()
    hub.on_sidecar_loads(stays, loads("edge-2", 2, {"a": 2}))
    clock.turn()
    assert moved.take() == []
    assert stays.take()


@given(st.lists(LOADS, min_size=1, max_size=4), st.lists(LOADS, max_size=3))
def test_each_sum_includes_all_reporters(sidecars, members) -> None:
    fake_clock = Clock()
    hub, broadcast = make_hub(fake_clock)
    peers = [Peer() for _ in sidecars]
    for number, (peer, requests) in enumerate(zip(peers, sidecars, strict=True)):
        hub.on_sidecar_loads(peer, loads(f"edge-{number}", 1, requests))
    for number, requests in enumerate(members):
        hub.on_member_loads(loads(f"core-{number + 2}", 1, requests))
    fake_clock.turn()

    def total(parts) -> dict[str, tuple[int, int]]:
        sums: dict[str, int] = {}
        for part in parts:
            for instance, count in part.items():
                sums[instance] = sums.get(instance, 0) + count
        return {instance: (count, 2 * count) for instance, count in sums.items()}

    assert as_dict(broadcast[-1]) == total(
        sidecars
    )  # members are sent only the loads of this member's sidecars
    for peer in peers:
        assert as_dict(peer.take()[-1]) == total([*sidecars, *members])


def test_nothing_is_sent_if_nothing_changed(clock: Clock) -> None:
    hub, broadcast = make_hub(clock)
    peer = Peer()
    hub.on_sidecar_loads(peer, loads("edge-1", 1, {"a": 1}))
    clock.turn()
    peer.take()
    broadcast.clear()
    hub.on_sidecar_loads(peer, loads("edge-1", 1, {"a": 9}))  # the same count: a duplicate
    clock.turn()
    assert (peer.take(), broadcast) == ([], [])


def test_reports_are_numbered_so_that_an_older_one_is_recognised(clock: Clock) -> None:
    hub, broadcast = make_hub(clock)
    for count in (1, 2, 3):
        hub.on_sidecar_loads(Peer(), loads("edge-1", count, {"a": count}))
        clock.turn()
    assert [message.count for message in broadcast] == [1, 2, 3]
    assert all(message.node == "core-1" for message in broadcast)


def test_the_load_of_a_silent_sidecar_expires(clock: Clock) -> None:
    hub, _ = make_hub(clock)
    silent, peer = Peer(), Peer()
    hub.on_sidecar_loads(silent, loads("edge-1", 1, {"a": 5}))
    hub.on_sidecar_loads(peer, loads("edge-2", 1, {"b": 1}))
    clock.turn()
    clock.turn(900_000_000)
    hub.on_sidecar_loads(peer, loads("edge-2", 2, {"b": 2}))
    clock.turn(200_000_000)
    table: dict[str, ServerLoad] = {}
    for message in peer.take():
        if not message.partial:
            table.clear()
        apply_changes(table, message.loads)
    assert table == {"b": ServerLoad("b", 2, 4)}


def test_a_reconnected_sidecar_is_sent_reports_only_over_its_new_connection(clock: Clock) -> None:
    hub, _ = make_hub(clock)
    old, new = Peer(), Peer()
    hub.on_sidecar_loads(old, loads("edge-1", 1, {"a": 5}))
    old.closed = True
    hub.on_sidecar_loads(new, loads("edge-1", 2, {"a": 6}))
    clock.turn()
    assert old.take() == []
    assert as_dict(new.take()[-1]) == {"a": (6, 12)}


def test_the_sidecars_of_all_members_determine_the_report_interval(clock: Clock) -> None:
    hub, broadcast = make_hub(clock)
    sidecar = Peer()
    hub.on_sidecar_loads(sidecar, loads("edge-1", 1, {"a": 1}))
    hub.on_member_loads(ServerLoads("core-2", 1, (ServerLoad("a", 1, 2),), sidecars=79))
    clock.turn()
    assert (broadcast[-1].sidecars, sidecar.take()[-1].sidecars) == (1, 80)
    ((due, _),) = clock.calls
    assert due == clock.at + report_interval(80) > clock.at + report_interval(0)
