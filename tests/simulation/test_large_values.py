"""The longest values on slow links and disks: the real register hosts, with the time that a call has for its length."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from iristrack.controlplane.operator_api import CALL_TIMEOUT_NS, MAX_BODY_BYTES
from iristrack.controlplane.state_machine_runner import transfer_ns
from iristrack.register import Committed, ProposerResult, Unavailable, Unchanged
from iristrack.simulation.register_machines import USUAL_SYNC_NS, RegisterMachine, Surroundings
from iristrack.simulation.register_network import FAULTLESS, LossyNetwork
from iristrack.simulation.register_referee import Referee
from iristrack.simulation.virtual_time import World
from iristrack.wire.messages import FOUNDED, MembersValue

KEY = "config"
NS_PER_S = 1_000_000_000
CHANGES = 4
PAUSE_NS = 20 * NS_PER_S
SLOW_DISK = 30


def long_value(number: int) -> bytes:
    return b"%d" % number + bytes(MAX_BODY_BYTES - 1)


class NarrowNetwork(LossyNetwork):
    """Hands on one message after the other on each link; one with a value takes as long as the longest value does."""

    def __init__(self, world: World, rng: random.Random, megabits_per_s: int) -> None:
        super().__init__(world, rng, FAULTLESS, Counter())
        self.value_ns = MAX_BODY_BYTES * 8 * 1000 // megabits_per_s
        self._free_at: dict[tuple[str, str], int] = {}
        self._transfers: list[tuple[str, str, int, int]] = []  # of values: sender, receiver, begin, end

    def _deliver(self, sender, receiver, message, faults) -> None:
        begins = max(self._world.now, self._free_at.get((sender, receiver), 0))
        ends = begins + (self.value_ns if getattr(message, "value", b"") else 0)
        self._free_at[sender, receiver] = ends
        self._transfers.append((sender, receiver, begins, ends))
        self._world.at(ends + self._draw_delay(faults), None, self._receivers[receiver], sender, message)

    def moved_bytes(self, node: str) -> int:
        """Each value moves evenly over the time that it takes."""
        moved_ns = sum(
            max(0, min(self._world.now, ends) - begins)
            for sender, receiver, begins, ends in self._transfers
            if node in (sender, receiver)
        )
        return moved_ns * MAX_BODY_BYTES // self.value_ns


def results_of_changes(
    megabits_per_s: int, members: int, sync_ns: int = USUAL_SYNC_NS
) -> list[ProposerResult]:
    world, rng = World(), random.Random(1)
    names = tuple(f"core{number}" for number in range(members))
    network = NarrowNetwork(world, rng, megabits_per_s)
    founded = MembersValue(FOUNDED, names)
    around = Surroundings(world, network, rng, Counter(), founded, (KEY,), Referee((KEY,)))
    machines = [RegisterMachine(name, around) for name in names]
    for machine in machines:
        machine.disk.sync_ns = sync_ns
    results: list[ProposerResult] = []

    def change_often() -> None:
        first = machines[0]
        for number in range(CHANGES):
            deadline = world.now + CALL_TIMEOUT_NS + transfer_ns(MAX_BODY_BYTES)
            results.append(first.host.change(KEY, lambda value, number=number: long_value(number), deadline))
            first.scheduler.sleep(PAUSE_NS)

    machines[0].scheduler.spawn("changes", change_often)
    world.run_until(CHANGES * 2 * PAUSE_NS)
    assert world.failures == []
    assert len(results) == CHANGES
    return results


@pytest.mark.parametrize("members", [3, 5])
@pytest.mark.parametrize(
    ("megabits_per_s", "sync_ns"),
    [
        (1000, USUAL_SYNC_NS),
        (100, USUAL_SYNC_NS),
        (100, SLOW_DISK * USUAL_SYNC_NS),
        (20, USUAL_SYNC_NS),
        (20, SLOW_DISK * USUAL_SYNC_NS),
    ],
)
def test_the_longest_value_is_committed_over_links_of_20_megabits_and_on_slow_disks(
    megabits_per_s: int, sync_ns: int, members: int
) -> None:
    results = results_of_changes(megabits_per_s, members, sync_ns)
    assert all(isinstance(result, Committed) for result in results)


def test_a_value_that_is_longer_on_its_way_than_is_waited_gets_no_clear_answer() -> None:
    """At 1 Mbit/s it takes a minute; some 12 s are waited while it moves (docs/control-hardening.md)."""
    assert all(isinstance(result, Unavailable) for result in results_of_changes(1, 3))


def test_a_value_that_does_not_move_is_given_up_within_the_calls_own_time(monkeypatch) -> None:
    """The network holds everything back: no byte leaves, so nothing is waited for beyond that time."""
    monkeypatch.setattr(NarrowNetwork, "moved_bytes", lambda self, node: 0)
    assert all(isinstance(result, Unavailable) for result in results_of_changes(20, 3))


def test_a_read_of_a_long_value_that_all_hold_moves_it_nowhere() -> None:
    world, rng = World(), random.Random(1)
    names = ("core0", "core1", "core2")
    network = NarrowNetwork(world, rng, 20)
    around = Surroundings(
        world, network, rng, Counter(), MembersValue(FOUNDED, names), (KEY,), Referee((KEY,))
    )
    machines = [RegisterMachine(name, around) for name in names]
    results = []

    def write_and_read() -> None:
        host, scheduler = machines[0].host, machines[0].scheduler
        deadline = world.now + CALL_TIMEOUT_NS + transfer_ns(MAX_BODY_BYTES)
        results.append(host.change(KEY, lambda value: long_value(1), deadline))
        scheduler.sleep(PAUSE_NS)
        moved = network.moved_bytes("core0")
        results.append(host.change(KEY, lambda value: Unchanged(), world.now + CALL_TIMEOUT_NS))
        scheduler.sleep(PAUSE_NS)
        results.append(network.moved_bytes("core0") - moved)

    machines[0].scheduler.spawn("write and read", write_and_read)
    world.run_until(4 * PAUSE_NS)
    assert world.failures == []
    written, read, moved = results
    assert isinstance(written, Committed)
    assert isinstance(read, Committed)
    assert (read.value, moved) == (long_value(1), 0)
