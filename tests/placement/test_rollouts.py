"""Selection of the version by one sidecar, and its counts of answers."""

from __future__ import annotations

import random

import pytest

from iristrack.engines.rollouts import FINISHED, FULL_SHARE, REVERTED, RUNNING
from iristrack.placement.rollouts import LEASE_NS, MAX_ROW_COUNT, MIN_SAMPLE_COUNT, AnswerTimes, Rollouts
from iristrack.placement.servers import ListedServer, Server
from iristrack.wire.messages import RolloutState

NS_PER_MS = 1_000_000
USUAL = AnswerTimes(40 * NS_PER_MS, 20 * NS_PER_MS)


def server(number: int, software: str) -> Server:
    listed = ListedServer(f"i-{number}", "pool", f"s{number}:80", "zone", True, 8, (), software)
    return Server(listed, number, {})


OLD = [server(number, "v1") for number in range(4)]
NEW = [server(number, "v2") for number in range(10, 14)]
ALL = OLD + NEW


def rollouts(phase: str = RUNNING, share: int = 0, confirmed_at: int | None = 0) -> Rollouts:
    sidecar = Rollouts()
    sidecar.apply_states([RolloutState("pool", "v2", 16_000, phase, share, 1)])
    if confirmed_at is not None:
        sidecar.renew_lease(confirmed_at)
    return sidecar


def chosen(sidecar: Rollouts, servers=ALL, is_retry: bool = False, now: int = 0) -> list[Server]:
    return list(sidecar.allowed_servers("pool", servers, is_retry, now, random.Random(1)))


def test_a_service_without_a_roll_out_uses_all_its_servers() -> None:
    assert chosen(Rollouts()) == ALL
    assert list(rollouts(FINISHED).allowed_servers("other", ALL, False, 0, random.Random(1))) == ALL


@pytest.mark.parametrize(
    ("phase", "share", "wanted"),
    [(RUNNING, 0, OLD), (RUNNING, FULL_SHARE, NEW), (FINISHED, FULL_SHARE, NEW), (REVERTED, 0, OLD)],
)
def test_each_phase_selects_a_version(phase: str, share: int, wanted: list[Server]) -> None:
    assert chosen(rollouts(phase, share)) == wanted


def test_a_reverted_version_gets_nothing_even_if_no_other_server_is_left() -> None:
    assert chosen(rollouts(REVERTED), NEW) == []
    assert chosen(rollouts(RUNNING, 40), NEW) == []


def test_the_share_ends_with_the_lease_unless_the_core_renews_it() -> None:
    assert chosen(rollouts(RUNNING, FULL_SHARE), now=LEASE_NS) == NEW
    assert chosen(rollouts(RUNNING, FULL_SHARE), now=LEASE_NS + 1) == OLD
    assert chosen(rollouts(RUNNING, FULL_SHARE, confirmed_at=None)) == OLD
    assert (
        chosen(rollouts(RUNNING, FULL_SHARE), NEW, now=LEASE_NS + 1) == NEW
    )  # there are no old servers left


def test_the_share_is_respected_and_goes_to_few_servers() -> None:
    sidecar, draw = rollouts(RUNNING, 100), random.Random(3)
    seen = [sidecar.allowed_servers("pool", ALL, False, 0, draw) for _ in range(4000)]
    new = [servers for servers in seen if servers[0] in NEW]
    assert 300 < len(new) < 500
    assert {len(servers) for servers in new} == {1}
    assert len({servers[0] for servers in new}) == 1


def test_a_canary_rotates_over_the_servers() -> None:
    seen = set()
    for elapsed_ms in range(0, 600_000, 3_000):
        sidecar = Rollouts()
        sidecar.renew_lease(0)
        sidecar.apply_states([RolloutState("pool", "v2", 60_000, RUNNING, 100, 1, elapsed_ms)])
        draw = random.Random(1)
        picked = [sidecar.allowed_servers("pool", ALL, False, 0, draw) for _ in range(100)]
        seen |= {servers[0].instance_id for servers in picked if servers[0] in NEW}
    assert seen == {server.instance_id for server in NEW}


def test_a_retry_goes_to_the_old_version() -> None:
    sidecar = rollouts(RUNNING, 900)
    assert all(chosen(sidecar, is_retry=True) == OLD for _ in range(50))


def test_answers_are_counted_by_route_and_new_server_while_the_roll_out_runs() -> None:
    sidecar = rollouts(RUNNING, 40)
    sidecar.answered(OLD[0], "r1", USUAL)
    sidecar.answered(OLD[1], "r1", USUAL)
    sidecar.answered(NEW[0], "r1", USUAL)
    sidecar.failed(NEW[0], "r2")
    rows = {
        (row.is_new, row.route, row.instance): (row.good, row.failed, row.slow) for row in sidecar.counts()
    }
    assert rows == {
        (False, "r1", ""): (2, 0, 0),
        (True, "r1", "i-10"): (1, 0, 0),
        (True, "r2", "i-10"): (0, 1, 0),
    }
    sidecar.apply_states([RolloutState("pool", "v2", 16_000, FINISHED, FULL_SHARE, 1)])
    sidecar.failed(NEW[0], "r2")
    assert sidecar.counts() == ()


@pytest.mark.parametrize(
    ("times", "is_slow"),
    [
        (USUAL, False),
        (AnswerTimes(150 * NS_PER_MS, 22 * NS_PER_MS), False),  # the prompt had to be prefilled
        (AnswerTimes(40 * NS_PER_MS, 160 * NS_PER_MS), True),
        (AnswerTimes(900 * NS_PER_MS, 20 * NS_PER_MS), True),
    ],
)
def test_an_answer_is_slow_compared_with_usual_times_on_its_route(times: AnswerTimes, is_slow: bool) -> None:
    sidecar = rollouts(RUNNING, 40)
    for _ in range(MIN_SAMPLE_COUNT):
        sidecar.answered(OLD[0], "r1", USUAL)
    sidecar.answered(NEW[0], "r1", times)
    (row,) = [row for row in sidecar.counts() if row.is_new]
    assert (row.good, row.slow) == (int(not is_slow), int(is_slow))


def test_answers_from_a_loaded_canary_are_not_counted_unless_they_fail() -> None:
    sidecar = rollouts(RUNNING, 40)
    sidecar.answered(NEW[0], "r1", USUAL, was_loaded=True)
    assert sidecar.counts() == ()
    sidecar.failed(NEW[0], "r1")
    assert [(row.good, row.failed) for row in sidecar.counts()] == [(0, 1)]
    assert sidecar.is_canary_loaded("pool")
    assert not sidecar.is_canary_loaded("other")


def test_the_number_of_counters_is_limited() -> None:
    sidecar = rollouts(RUNNING, 40)
    for number in range(2 * MAX_ROW_COUNT):
        sidecar.failed(NEW[0], f"r{number}")
    assert len(sidecar.counts()) == MAX_ROW_COUNT
