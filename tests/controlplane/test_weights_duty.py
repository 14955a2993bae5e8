"""An order to a server: given under a lease that holds when it is written, also where the connection came late."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from iristrack.controlplane.weights import WeightsDuty
from iristrack.duties.lease import RENEWAL_VALID_NS
from iristrack.engines.reports import Report
from iristrack.engines.rolling_upgrade import Upgrade
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.wire.messages import DutyValue
from tests.controlplane.calls import Log

UPGRADE = Upgrade("i-1", "10.0.0.1:80", "m", 2)
REPORT = Report({"m": 1}, busy=False, call_count=4, active=0, queued=0)


class LateCaller:
    """A connection to the server that takes its time; what is written over it is counted."""

    def __init__(self, world: World, takes_ns: int) -> None:
        self.world = world
        self.takes_ns = takes_ns
        self.written = 0

    def close(self) -> None:
        pass

    def connect(self, deadline: int) -> None:
        self.world.now += self.takes_ns

    def call(self, method: bytes, target: bytes, lines: bytes, body: bytes, deadline: int) -> object:
        self.written += 1
        return SimpleNamespace(head=SimpleNamespace(status=202))


@pytest.fixture
def world() -> World:
    return World()


@pytest.fixture
def duty(world: World) -> WeightsDuty:
    """The holder of the duty, whose lease holds for `RENEWAL_VALID_NS` from now."""
    bounds = SimpleNamespace(lease_ms=3_000)
    settings = SimpleNamespace(node_name="core-1", rule_bounds=bounds)
    scheduler = VirtualScheduler(world)
    made = WeightsDuty(scheduler, settings, "p", None, dict, lambda update: None, Log())
    made.lease.claimed(DutyValue(1, "core-1", "p", 7, 0), world.now, world.now)
    return made


def test_an_order_is_written_while_the_lease_holds(world: World, duty: WeightsDuty) -> None:
    caller = LateCaller(world, RENEWAL_VALID_NS - 1)
    assert duty.orders.order(caller, UPGRADE, REPORT)
    assert caller.written == 1


@pytest.mark.parametrize("late_ns", [RENEWAL_VALID_NS, 5 * RENEWAL_VALID_NS])
def test_an_order_whose_connection_came_after_the_lease_is_not_written(
    world: World, duty: WeightsDuty, late_ns: int
) -> None:
    """Where servers check no fence, a late order would be a turn of the old holder beside the next one."""
    caller = LateCaller(world, late_ns)
    assert not duty.orders.order(caller, UPGRADE, REPORT)
    assert caller.written == 0
