from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from iristrack.engines.rolling_upgrade import (
    MAX_CONCURRENT_SHARE,
    PREPARE_NS,
    RETRY_BACKOFF_NS,
    RollingUpgrade,
    Upgrade,
    wanted_upgrades,
)
from iristrack.placement.servers import ListedServer

STEP_NS = 100_000_000
SERVER_COUNT = 5  # two of them may be upgraded at the same time


def upgrade(name: str, revision: int = 2, model: str = "m") -> Upgrade:
    return Upgrade(name, f"{name}:80", model, revision)


def upgrades(count: int) -> list[Upgrade]:
    return [upgrade(f"i-{number:02}") for number in range(count)]


def listed(name: str, ready: bool = True, **models: int) -> ListedServer:
    return ListedServer(name, "pool", f"{name}:80", "zone", ready, 8, tuple(models.items()))


def test_upgrades_are_wanted_for_ready_servers_with_older_revisions() -> None:
    servers = [
        listed("i-1", m=1), listed("i-2", m=2), listed("i-3", m=3), listed("i-4", ready=False, m=1),
        listed("i-5", other=1), listed("i-6", m=1, n=1),
    ]  # fmt: skip
    assert wanted_upgrades(servers, {"m": 2, "n": 5}) == [
        upgrade("i-1"), upgrade("i-6"), upgrade("i-6", 5, "n"),
    ]  # fmt: skip
    assert wanted_upgrades(servers, {}) == []


@pytest.mark.parametrize(("servers", "max_concurrent"), [(1, 1), (2, 1), (3, 1), (5, 2), (9, 3), (100, 40)])
def test_at_most_the_concurrent_share_is_upgraded(servers: int, max_concurrent: int) -> None:
    roll, now = RollingUpgrade(), 0
    wanted = upgrades(servers)
    for _ in range(5):
        roll.next_orders(wanted, servers, now)
        now += PREPARE_NS
    assert len(roll.ordered) == max_concurrent <= max(1, servers * MAX_CONCURRENT_SHARE)


def test_a_server_is_prepared_before_it_is_ordered() -> None:
    roll = RollingUpgrade()
    wanted = upgrades(5)
    assert roll.next_orders(wanted, SERVER_COUNT, 0) == []
    assert list(roll.preparing) == ["i-00", "i-01"]
    assert roll.next_orders(wanted, SERVER_COUNT, PREPARE_NS - 1) == []
    assert roll.next_orders(wanted, SERVER_COUNT, PREPARE_NS) == wanted[:2]
    assert list(roll.ordered) == ["i-00", "i-01"]
    assert list(roll.preparing) == []


def test_an_upgrade_is_in_progress_from_the_first_preparation_to_the_last_end() -> None:
    roll = RollingUpgrade()
    assert not roll.in_progress
    roll.next_orders(upgrades(1), SERVER_COUNT, 0)
    assert roll.in_progress  # prepared, none ordered
    roll.next_orders(upgrades(1), SERVER_COUNT, PREPARE_NS)
    assert roll.in_progress and not roll.preparing  # ordered, none prepared
    roll.ended("i-00")
    assert not roll.in_progress


def test_a_server_is_prepared_only_if_the_concurrency_limit_allows_its_order() -> None:
    """A server that is being prepared is avoided like one that loads weights, so preparing it early wastes capacity."""
    roll = RollingUpgrade()
    wanted = upgrades(4)
    roll.next_orders(wanted, SERVER_COUNT, 0)
    roll.next_orders(wanted, SERVER_COUNT, PREPARE_NS)
    assert roll.next_orders(wanted, SERVER_COUNT, 9 * PREPARE_NS) == []
    assert list(roll.preparing) == []
    roll.ended("i-00")
    assert roll.next_orders(wanted[1:], SERVER_COUNT, 9 * PREPARE_NS) == []
    assert list(roll.preparing) == ["i-02"]
    assert roll.next_orders(wanted[1:], SERVER_COUNT, 10 * PREPARE_NS) == [wanted[2]]
    assert set(roll.ordered) == {"i-01", "i-02"}


def test_an_upgrade_that_is_no_longer_wanted_is_not_ordered() -> None:
    roll = RollingUpgrade()
    roll.next_orders(upgrades(3), SERVER_COUNT, 0)
    assert roll.next_orders([upgrade("i-02")], SERVER_COUNT, PREPARE_NS) == []
    assert list(roll.preparing) == ["i-02"]
    assert roll.next_orders([upgrade("i-02", 7)], SERVER_COUNT, 2 * PREPARE_NS) == [upgrade("i-02", 7)]


def test_an_abandoned_upgrade_starts_again() -> None:
    roll = RollingUpgrade()
    roll.next_orders(upgrades(1), SERVER_COUNT, 0)
    assert roll.next_orders(upgrades(1), SERVER_COUNT, PREPARE_NS) == upgrades(1)
    assert roll.next_orders(upgrades(1), SERVER_COUNT, 5 * PREPARE_NS) == []
    roll.ended("i-00")
    roll.ended("i-00")
    assert roll.next_orders(upgrades(1), SERVER_COUNT, 5 * PREPARE_NS) == []
    assert roll.next_orders(upgrades(1), SERVER_COUNT, 6 * PREPARE_NS) == upgrades(1)


def test_a_server_is_upgraded_by_one_model_at_a_time() -> None:
    roll = RollingUpgrade()
    wanted = [upgrade("i-00"), upgrade("i-00", 5, "n")]
    roll.next_orders(wanted, SERVER_COUNT, 0)
    assert roll.next_orders(wanted, SERVER_COUNT, PREPARE_NS) == wanted[:1]
    assert roll.next_orders(wanted[1:], SERVER_COUNT, 9 * PREPARE_NS) == []
    roll.ended("i-00")
    roll.next_orders(wanted[1:], SERVER_COUNT, 9 * PREPARE_NS)
    assert roll.next_orders(wanted[1:], SERVER_COUNT, 10 * PREPARE_NS) == wanted[1:]


@settings(max_examples=60)
@given(
    st.integers(0, 14),
    st.integers(0, 30),
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.3]),
    st.sets(st.integers(0, 13), max_size=3),
)
def test_few_at_once_each_prepared_and_all_in_the_end(count, more, seed, failures, never_done) -> None:
    """Upgrades last at random, some fail and are wanted again, a few servers never take theirs."""
    rng = random.Random(seed)
    roll, now = RollingUpgrade(), 0
    servers = count + more
    at_once = max(1, int(servers * MAX_CONCURRENT_SHARE))
    wanted = {u.instance_id: u for u in upgrades(count)}
    stubborn = {f"i-{number:02}" for number in never_done}
    ending: dict[str, int] = {}
    prepared_at: dict[str, int] = {}
    seen: set[str] = set()
    for _ in range(3_000):
        now += STEP_NS
        for name in [name for name, at in ending.items() if at <= now]:
            del ending[name]
            roll.ended(name)
            if name not in stubborn and rng.random() >= failures:
                del wanted[name]
        listed_so = list(wanted.values())
        rng.shuffle(listed_so)
        before = dict(roll.preparing)
        orders = roll.next_orders(listed_so, servers, now)
        for order in orders:
            assert now - prepared_at[order.instance_id] >= PREPARE_NS
            assert order.instance_id in before
            ending[order.instance_id] = now + rng.randrange(0, 3 * 10**9)
            seen.add(order.instance_id)
        prepared_at = {name: prepared_at.get(name, now) for name in roll.preparing}
        assert set(roll.ordered) == set(ending)
        assert len(roll.ordered) + len(roll.preparing) <= at_once
        assert not set(roll.ordered) & set(roll.preparing)
        if not set(wanted) - stubborn and len(seen) == count:
            break
    assert set(wanted) <= stubborn
    assert len(seen) == count


def test_a_postponed_server_is_retried_after_the_others() -> None:
    roll = RollingUpgrade()
    wanted = upgrades(3)
    roll.next_orders(wanted, 1, 0)
    assert roll.next_orders(wanted, 1, PREPARE_NS) == [wanted[0]]
    roll.postpone("i-00", PREPARE_NS)
    assert roll.next_orders(wanted, 1, PREPARE_NS) == []
    assert list(roll.preparing) == ["i-01"]
    assert roll.next_orders(wanted, 1, 2 * PREPARE_NS) == [wanted[1]]
    roll.ended("i-01")
    retry_at = PREPARE_NS + RETRY_BACKOFF_NS
    roll.next_orders(wanted[:1], 1, retry_at)
    assert roll.next_orders(wanted[:1], 1, retry_at + PREPARE_NS) == [wanted[0]]
