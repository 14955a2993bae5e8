"""Which version's servers one sidecar sends to, and what it counts."""

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
    made = Rollouts()
    made.apply_states([RolloutState("pool", "v2", 16_000, phase, share, 1)])
    if confirmed_at is not None:
        made.renew_lease(confirmed_at)
    return made


def chosen(made: Rollouts, servers=ALL, again: bool = False, now: int = 0) -> list[Server]:
    return list(made.allowed_servers("pool", servers, again, now, random.Random(1)))


def test_a_service_that_is_not_rolled_out_uses_all_its_servers() -> None:
    assert chosen(Rollouts()) == ALL
    assert list(rollouts(FINISHED).allowed_servers("other", ALL, False, 0, random.Random(1))) == ALL


@pytest.mark.parametrize(
    ("phase", "share", "wanted"),
    [(RUNNING, 0, OLD), (RUNNING, FULL_SHARE, NEW), (FINISHED, FULL_SHARE, NEW), (REVERTED, 0, OLD)],
)
def test_each_phase_has_its_version(phase: str, share: int, wanted: list[Server]) -> None:
    assert chosen(rollouts(phase, share)) == wanted


def test_a_version_that_was_reverted_gets_nothing_though_no_other_server_is_left() -> None:
    assert chosen(rollouts(REVERTED), NEW) == []
    assert chosen(rollouts(RUNNING, 40), NEW) == []


def test_what_was_allowed_lapses_where_the_core_is_not_heard_of() -> None:
    assert chosen(rollouts(RUNNING, FULL_SHARE), now=LEASE_NS) == NEW
    assert chosen(rollouts(RUNNING, FULL_SHARE), now=LEASE_NS + 1) == OLD
    assert chosen(rollouts(RUNNING, FULL_SHARE, confirmed_at=None)) == OLD
    assert chosen(rollouts(RUNNING, FULL_SHARE), NEW, now=LEASE_NS + 1) == NEW  # the others have gone


def test_the_share_is_kept_and_goes_to_few_servers() -> None:
    made, draw = rollouts(RUNNING, 100), random.Random(3)
    seen = [made.allowed_servers("pool", ALL, False, 0, draw) for _ in range(4000)]
    new = [servers for servers in seen if servers[0] in NEW]
    assert 300 < len(new) < 500
    assert {len(servers) for servers in new} == {1}
    assert len({servers[0] for servers in new}) == 1


def test_a_canary_goes_to_other_servers_in_turn() -> None:
    seen = set()
    for elapsed_ms in range(0, 600_000, 3_000):
        made = Rollouts()
        made.renew_lease(0)
        made.apply_states([RolloutState("pool", "v2", 60_000, RUNNING, 100, 1, elapsed_ms)])
        draw = random.Random(1)
        picked = [made.allowed_servers("pool", ALL, False, 0, draw) for _ in range(100)]
        seen |= {servers[0].instance_id for servers in picked if servers[0] in NEW}
    assert seen == {server.instance_id for server in NEW}


def test_a_request_that_was_sent_before_goes_to_the_version_that_is_there() -> None:
    made = rollouts(RUNNING, 900)
    assert all(chosen(made, again=True) == OLD for _ in range(50))


def test_answers_are_counted_by_route_and_new_server_while_it_runs() -> None:
    made = rollouts(RUNNING, 40)
    made.answered(OLD[0], "r1", USUAL)
    made.answered(OLD[1], "r1", USUAL)
    made.answered(NEW[0], "r1", USUAL)
    made.failed(NEW[0], "r2")
    rows = {(row.is_new, row.route, row.instance): (row.good, row.failed, row.slow) for row in made.counts()}
    assert rows == {
        (False, "r1", ""): (2, 0, 0),
        (True, "r1", "i-10"): (1, 0, 0),
        (True, "r2", "i-10"): (0, 1, 0),
    }
    made.apply_states([RolloutState("pool", "v2", 16_000, FINISHED, FULL_SHARE, 1)])
    made.failed(NEW[0], "r2")
    assert made.counts() == ()


@pytest.mark.parametrize(
    ("times", "is_slow"),
    [
        (USUAL, False),
        (AnswerTimes(150 * NS_PER_MS, 22 * NS_PER_MS), False),  # it had to read a prompt that nobody held
        (AnswerTimes(40 * NS_PER_MS, 160 * NS_PER_MS), True),
        (AnswerTimes(900 * NS_PER_MS, 20 * NS_PER_MS), True),
    ],
)
def test_an_answer_is_slow_by_what_is_usual_on_its_route(times: AnswerTimes, is_slow: bool) -> None:
    made = rollouts(RUNNING, 40)
    for _ in range(MIN_SAMPLE_COUNT):
        made.answered(OLD[0], "r1", USUAL)
    made.answered(NEW[0], "r1", times)
    (row,) = [row for row in made.counts() if row.is_new]
    assert (row.good, row.slow) == (int(not is_slow), int(is_slow))


def test_answers_of_servers_that_are_kept_busy_are_no_measure() -> None:
    made = rollouts(RUNNING, 40)
    made.answered(NEW[0], "r1", USUAL, was_loaded=True)
    assert made.counts() == ()
    made.failed(NEW[0], "r1")
    assert [(row.good, row.failed) for row in made.counts()] == [(0, 1)]
    assert made.is_canary_loaded("pool")
    assert not made.is_canary_loaded("other")


def test_the_counts_are_bounded() -> None:
    made = rollouts(RUNNING, 40)
    for number in range(2 * MAX_ROW_COUNT):
        made.failed(NEW[0], f"r{number}")
    assert len(made.counts()) == MAX_ROW_COUNT
