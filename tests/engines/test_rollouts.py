"""Stages of a roll-out: its share over time, and its end. A fleet is simulated in steps of 50 ms."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest

from iristrack.engines.canary_analysis import Answers, CanaryAnalysis
from iristrack.engines.rollouts import (
    FINISHED,
    FULL_SHARE,
    MIN_CANARY_SHARE,
    REVERTED,
    RUNNING,
    RolloutObservation,
    busy_servers,
    is_loaded,
    next_state,
)
from iristrack.wire.messages import RolloutState

NS_PER_MS = 1_000_000
OVER_MS = 16_000
STARTED = RolloutState("pool", "v2", OVER_MS, RUNNING, 0, 1)
NORMAL = RolloutObservation(0, 0, new_ready=5, old_ready=5, answers=100, old_inflight=0, is_bad=False)


def at(time: float, **more: object) -> RolloutObservation:
    return replace(NORMAL, elapsed_ns=int(time * OVER_MS * NS_PER_MS), **more)


def test_the_share_is_zero_until_a_server_of_the_new_version_is_ready() -> None:
    assert next_state(STARTED, at(0.4, new_ready=0)).share == 0
    assert next_state(STARTED, at(0.01)).share == MIN_CANARY_SHARE


def test_the_share_rises_one_step_at_a_time_and_never_falls() -> None:
    state, shares = STARTED, []
    for _ in range(8):
        state = next_state(state, at(0.9))
        shares.append(state.share)
    assert shares[-1] == FULL_SHARE
    assert shares == sorted(shares)
    assert len(set(shares)) >= 4


def test_the_canary_waits_for_enough_answers_while_there_is_time() -> None:
    canary = replace(STARTED, share=MIN_CANARY_SHARE)
    assert next_state(canary, at(0.58, answers=3)).share == MIN_CANARY_SHARE
    assert next_state(canary, at(0.58)).share > MIN_CANARY_SHARE
    assert next_state(canary, at(0.65, answers=3)).share > MIN_CANARY_SHARE


@pytest.mark.parametrize("share", [0, MIN_CANARY_SHARE, FULL_SHARE])
def test_a_bad_version_is_reverted_permanently_from_any_stage(share: int) -> None:
    reverted = next_state(replace(STARTED, share=share), at(0.5, is_bad=True))
    assert (reverted.phase, reverted.share) == (REVERTED, 0)
    assert next_state(reverted, at(0.9)) == reverted


def test_it_finishes_when_the_old_servers_have_nothing_in_flight() -> None:
    at_full_share = replace(STARTED, share=FULL_SHARE)
    long = 2_000 * NS_PER_MS
    assert next_state(at_full_share, at(0.8, full_share_ns=long, old_inflight=3)).phase == RUNNING
    assert next_state(at_full_share, at(0.8, full_share_ns=100 * NS_PER_MS)).phase == RUNNING
    assert next_state(at_full_share, at(0.8, full_share_ns=long)).phase == FINISHED
    assert next_state(at_full_share, at(0.95, full_share_ns=long, old_inflight=3)).phase == FINISHED
    assert next_state(at_full_share, at(0.95, full_share_ns=long, new_ready=0)).phase == RUNNING


@pytest.mark.parametrize(
    ("answers", "share"), [(0, MIN_CANARY_SHARE), (200, 109), (2_000, 60), (200_000, 54)]
)
def test_a_canary_gets_the_share_that_its_budget_allows(answers: int, share: int) -> None:
    assert next_state(STARTED, at(0.4, all_answers=answers)).share == share


def sent_to(servers: int, share: int, elapsed_ms: int = 2_000) -> int:
    return busy_servers(servers, replace(STARTED, share=share, elapsed_ms=elapsed_ms))


def test_a_share_goes_to_few_servers_so_that_they_are_as_busy_as_at_full_share() -> None:
    assert sent_to(70, FULL_SHARE) == 70
    assert sent_to(70, 450) < 0.45 * 70
    assert sent_to(70, 100) == 6
    assert sent_to(1, MIN_CANARY_SHARE) == sent_to(5, MIN_CANARY_SHARE) == 1


def test_every_other_turn_of_a_canary_uses_half_as_many_servers() -> None:
    turns = [replace(STARTED, share=100, elapsed_ms=ms) for ms in range(0, OVER_MS, 100)]
    assert {busy_servers(70, state) for state in turns if is_loaded(state)} == {3}
    assert {busy_servers(70, state) for state in turns if not is_loaded(state)} == {6}
    canary = [state for state in turns if state.elapsed_ms < 0.55 * OVER_MS]
    assert 0.4 * len(canary) < sum(map(is_loaded, canary)) < 0.65 * len(canary)
    assert not is_loaded(replace(STARTED, share=450))


# ---- simulated fleet

STEP_MS = 50
FEEDBACK_DELAY_MS = 450  # until evidence is reported, evaluated, written and applied
NEW_READY_MS = 1_500


@dataclass
class Fleet:
    """Requests at a constant rate, of which the new version gets its share; answers arrive some time later."""

    seed: int
    per_s: int
    bad_share: float = 0.0
    bad_from_ms: int = 0
    bad_route: str | None = None
    slow: bool = False
    state: RolloutState = STARTED
    sent_new: int = 0
    sent: int = 0
    counts: dict = field(default_factory=dict)
    old: dict = field(default_factory=dict)

    def run(self) -> None:
        rng, test = random.Random(self.seed), CanaryAnalysis()
        in_force: list[tuple[int, int]] = []
        answers: list[tuple[int, bool, str, str, int]] = []
        whole_at, verdict = 0, None
        for now in range(0, OVER_MS, STEP_MS):
            share = next((s for since, s in reversed(in_force) if since + FEEDBACK_DELAY_MS <= now), 0)
            for _ in range(self.per_s * STEP_MS // 1000 + (rng.random() < (self.per_s * STEP_MS / 1000) % 1)):
                self.sent += 1
                is_new = rng.random() * FULL_SHARE < share
                self.sent_new += is_new
                answers.append((now + rng.randint(40, 600), is_new, *self._outcome(rng, now, is_new)))
            for answer in [a for a in answers if a[0] <= now]:
                answers.remove(answer)
                self._count(answer)
            verdict = verdict or test.update(self.counts, self.old)
            whole_at = whole_at or (now if self.state.share >= FULL_SHARE else 0)
            observation = RolloutObservation(
                elapsed_ns=now * NS_PER_MS,
                full_share_ns=(now - whole_at) * NS_PER_MS if whole_at else 0,
                new_ready=9 if now >= NEW_READY_MS else 0,
                old_ready=9,
                answers=test.answers.total,
                old_inflight=sum(not a[1] for a in answers),
                is_bad=verdict is not None,
                all_answers=sum(a.total for a in (*self.counts.values(), *self.old.values())),
            )
            after = next_state(self.state, observation)
            if after != self.state:
                in_force.append((now, after.share))
                self.state = after

    def _outcome(self, rng: random.Random, now: int, is_new: bool) -> tuple[str, str, int]:
        route = rng.choice(("statement", "query"))
        server = f"s{rng.randint(1, 3)}"
        is_affected = is_new and now >= self.bad_from_ms and self.bad_route in (None, route)
        if is_affected and rng.random() < self.bad_share:
            return route, server, 2 if self.slow else 1
        usual = rng.random()
        return route, server, 1 if usual < 0.004 else 2 if usual < 0.05 else 0

    def _count(self, answer: tuple[int, bool, str, str, int]) -> None:
        _, is_new, route, server, kind = answer
        one = Answers(*(int(kind == number) for number in range(3)))
        table, place = (self.counts, (route, server)) if is_new else (self.old, route)
        table[place] = table.get(place, Answers()).plus(one)

    @property
    def max_allowed(self) -> float:
        return 0.1 * self.sent + 50


@pytest.mark.parametrize("per_s", [30, 200])
@pytest.mark.parametrize("seed", range(6))
def test_a_good_version_gets_all_traffic_before_its_deadline(seed: int, per_s: int) -> None:
    fleet = Fleet(seed, per_s)
    fleet.run()
    assert fleet.state.phase == FINISHED


@pytest.mark.parametrize("per_s", [30, 200])
@pytest.mark.parametrize(
    "badness",
    [
        {"bad_share": 0.5},
        {"bad_share": 0.5, "slow": True},
        {"bad_share": 0.5, "bad_route": "query"},
        {"bad_share": 0.5, "bad_from_ms": 3_000},
        {"bad_share": 0.5, "bad_from_ms": 7_000},
        {"bad_share": 0.9, "bad_from_ms": 10_500},
        {"bad_share": 0.3},
    ],
    ids=["failing", "slow", "one route", "late", "later", "in the steps", "a third"],
)
@pytest.mark.parametrize("seed", range(4))
def test_a_bad_version_is_reverted_within_its_request_budget(seed: int, badness: dict, per_s: int) -> None:
    fleet = Fleet(seed, per_s, **badness)
    fleet.run()
    assert fleet.state.phase == REVERTED
    assert fleet.sent_new <= fleet.max_allowed
