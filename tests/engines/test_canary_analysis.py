"""The test of a new version against the old one: what it finds, and what it is not led astray by."""

from __future__ import annotations

import random

import pytest

from iristrack.engines.canary_analysis import ALL_ROUTES, Answers, CanaryAnalysis

ROUTES = ("statement", "query")
SERVERS = ("s1", "s2", "s3")
OLD = {"statement": Answers(good=400, failed=2, slow=8), "query": Answers(good=350, failed=1, slow=20)}


def looked_at(test: CanaryAnalysis, counts: dict, old: dict = OLD):
    return test.update({row: Answers(*numbers) for row, numbers in counts.items()}, old)


@pytest.mark.parametrize(("numbers", "kind"), [((4, 4, 0), "failed"), ((6, 0, 6), "slow")])
def test_a_version_that_answers_badly_at_several_servers_is_found(numbers, kind: str) -> None:
    found = looked_at(CanaryAnalysis(), {("query", server): numbers for server in SERVERS[:2]})
    assert found.kind == kind


def test_a_version_that_is_bad_on_one_route_only_is_found_there() -> None:
    counts = {("statement", s): (200, 0, 0) for s in SERVERS} | {("query", s): (2, 2, 0) for s in SERVERS}
    assert looked_at(CanaryAnalysis(), counts).route in ("query", ALL_ROUTES)


def test_one_server_of_several_that_is_ill_says_nothing_of_the_version() -> None:
    counts = {("query", "s1"): (0, 30, 0), ("query", "s2"): (30, 0, 0), ("query", "s3"): (30, 0, 0)}
    assert looked_at(CanaryAnalysis(), counts) is None


def test_the_only_server_that_was_asked_speaks_for_the_version() -> None:
    assert looked_at(CanaryAnalysis(), {("query", "s1"): (1, 6, 0)}) is not None


def test_a_fault_that_hits_both_versions_says_nothing_of_the_new_one() -> None:
    old = {route: Answers(good=60, failed=60) for route in ROUTES}
    counts = {(route, server): (10, 10, 0) for route in ROUTES for server in SERVERS}
    assert looked_at(CanaryAnalysis(), counts, old) is None


def test_good_times_do_not_hide_a_version_that_turns_bad_late() -> None:
    test = CanaryAnalysis()
    rows = [("query", server) for server in SERVERS]
    assert looked_at(test, dict.fromkeys(rows, (3000, 3, 20))) is None
    assert looked_at(test, dict.fromkeys(rows, (3002, 6, 20))) is not None


def test_counts_that_are_told_again_or_fall_back_count_once() -> None:
    test = CanaryAnalysis()
    rows = {("query", server): (20, 1, 0) for server in SERVERS}
    for _ in range(50):
        assert looked_at(test, rows) is None
        assert looked_at(test, dict.fromkeys(rows, (1, 0, 0))) is None


def test_good_versions_are_rarely_taken_for_bad_ones() -> None:
    """As often failed and slow as the old one, and slow twice as often, as servers without prompts are."""
    found = 0
    for seed in range(200):
        draw, test, counts = random.Random(seed), CanaryAnalysis(), {}
        for _ in range(40):
            for route in ROUTES:
                row = (route, draw.choice(SERVERS))
                good, failed, slow = counts.get(row, (0, 0, 0))
                kind = draw.random()
                if kind < 0.005:
                    failed += 1
                elif kind < 0.10:
                    slow += 1
                else:
                    good += 1
                counts[row] = (good, failed, slow)
            if looked_at(test, counts) is not None:
                found += 1
                break
    assert found <= 4


@pytest.mark.parametrize("kind", ["failed", "slow"])
def test_a_version_of_which_half_is_bad_is_found_within_a_few_answers(kind: str) -> None:
    needed = []
    for seed in range(100):
        draw, test, counts = random.Random(seed), CanaryAnalysis(), {}
        for number in range(1, 200):
            row = (draw.choice(ROUTES), draw.choice(SERVERS))
            good, failed, slow = counts.get(row, (0, 0, 0))
            is_bad = draw.random() < 0.5
            counts[row] = (
                good + (not is_bad),
                failed + (is_bad and kind == "failed"),
                slow + (is_bad and kind == "slow"),
            )
            if looked_at(test, counts) is not None:
                needed.append(number)
                break
    assert len(needed) == 100
    assert max(needed) < 40
