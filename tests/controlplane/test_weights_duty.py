"""Tests that an order to a server is sent only while the lease is valid, even if connecting takes long."""

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


class SlowCaller:
    """A fake connection that takes `connect_ns` to establish and counts the calls sent over it."""

    def __init__(self, world: World, connect_ns: int) -> None:
        self.world = world
        self.connect_ns = connect_ns
        self.sent_count = 0

    def close(self) -> None:
        pass

    def connect(self, deadline: int) -> None:
        self.world.now += self.connect_ns

    def call(self, method: bytes, target: bytes, lines: bytes, body: bytes, deadline: int) -> object:
        self.sent_count += 1
        return SimpleNamespace(head=SimpleNamespace(status=202))


@pytest.fixture
def world() -> World:
    return World()


@pytest.fixture
def duty(world: World) -> WeightsDuty:
    """The holder of the duty, whose lease is valid for `RENEWAL_VALID_NS` from now."""
    bounds = SimpleNamespace(lease_ms=3_000)
    settings = SimpleNamespace(node_name="core-1", rule_bounds=bounds)
    scheduler = VirtualScheduler(world)
    weights_duty = WeightsDuty(scheduler, settings, "p", None, dict, lambda update: None, Log())
    weights_duty.lease.claimed(DutyValue(1, "core-1", "p", 7, 0), world.now, world.now)
    return weights_duty


def test_an_order_is_sent_while_the_lease_is_valid(world: World, duty: WeightsDuty) -> None:
    caller = SlowCaller(world, RENEWAL_VALID_NS - 1)
    assert duty.orders.order(caller, UPGRADE, REPORT)
    assert caller.sent_count == 1


@pytest.mark.parametrize("late_ns", [RENEWAL_VALID_NS, 5 * RENEWAL_VALID_NS])
def test_an_order_is_not_sent_if_the_lease_expires_while_connecting(
    world: World, duty: WeightsDuty, late_ns: int
) -> None:
    """If servers check no fencing token, a late order of the old holder could run beside one of the new holder."""
    caller = SlowCaller(world, late_ns)
    assert not duty.orders.order(caller, UPGRADE, REPORT)
    assert caller.sent_count == 0
