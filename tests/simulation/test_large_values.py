"""The longest values on slow links and disks: the real register hosts, with the time that a call has for its length."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from iristrack.controlplane.operator_api import CALL_NS, MOST_BODY
from iristrack.controlplane.register_host import transfer_ns
from iristrack.register import Committed, ProposerResult, Unavailable
from iristrack.simulation.register_machines import USUAL_SYNC_NS, RegisterMachine, Surroundings
from iristrack.simulation.register_network import FAULTLESS, LossyNetwork
from iristrack.simulation.register_referee import Referee
from iristrack.simulation.virtual_time import World
from iristrack.wire.messages import FOUNDED, MembersValue

KEY = "config"
NS_PER_S = 1_000_000_000
CHANGES = 4
PAUSE_NS = 5 * NS_PER_S
SLOW_DISK = 30


class NarrowNetwork(LossyNetwork):
    """Hands on one message after the other on each link; one with a value takes as long as the longest value does."""

    def __init__(self, world: World, rng: random.Random, megabits_per_s: int) -> None:
        super().__init__(world, rng, FAULTLESS, Counter())
        self.value_ns = MOST_BODY * 8 * 1000 // megabits_per_s
        self._free_at: dict[tuple[str, str], int] = {}

    def _deliver(self, sender, receiver, message, faults) -> None:
        begins = max(self._world.now, self._free_at.get((sender, receiver), 0))
        ends = begins + (self.value_ns if getattr(message, "value", b"") else 0)
        self._free_at[sender, receiver] = ends
        self._world.at(ends + self._draw_delay(faults), None, self._receivers[receiver], sender, message)


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
            deadline = world.now + CALL_NS + transfer_ns(MOST_BODY)
            results.append(
                first.host.change(KEY, lambda value, number=number: b"value %d" % number, deadline)
            )
            first.scheduler.sleep(PAUSE_NS)

    machines[0].scheduler.spawn("changes", change_often)
    world.run_until(CHANGES * 2 * PAUSE_NS)
    assert world.failures == []
    assert len(results) == CHANGES
    return results


@pytest.mark.parametrize("members", [3, 5])
@pytest.mark.parametrize(
    ("megabits_per_s", "sync_ns"),
    [(100, USUAL_SYNC_NS), (100, SLOW_DISK * USUAL_SYNC_NS), (1000, USUAL_SYNC_NS)],
)
def test_the_longest_value_is_committed_over_links_of_100_megabits_and_on_slow_disks(
    megabits_per_s: int, sync_ns: int, members: int
) -> None:
    results = results_of_changes(megabits_per_s, members, sync_ns)
    assert all(isinstance(result, Committed) for result in results)


def test_over_narrower_links_the_longest_value_gets_no_clear_answer_within_the_call() -> None:
    """A round has a third of the call's time: 0.9 s for 7 MiB, which is 65 Mbit/s (docs/control-hardening.md)."""
    assert all(isinstance(result, Unavailable) for result in results_of_changes(60, 3))
