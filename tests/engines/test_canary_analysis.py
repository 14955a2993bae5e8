"""Canary analysis: which versions it finds bad, and which faults it does not blame on the new version."""

from __future__ import annotations

import random

import pytest

from iristrack.engines.canary_analysis import ALL_ROUTES, Answers, CanaryAnalysis

ROUTES = ("statement", "query")
SERVERS = ("s1", "s2", "s3")
OLD = {"statement": Answers(good=400, failed=2, slow=8), "query": Answers(good=350, failed=1, slow=20)}


def update(test: CanaryAnalysis, counts: dict, old: dict = OLD):
    return test.update({row: Answers(*numbers) for row, numbers in counts.items()}, old)


@pytest.mark.parametrize(("numbers", "kind"), [((4, 4, 0), "failed"), ((6, 0, 6), "slow")])
def test_a_version_that_is_bad_at_several_servers_is_found(numbers, kind: str) -> None:
    verdict = update(CanaryAnalysis(), {("query", server): numbers for server in SERVERS[:2]})
    assert verdict.kind == kind


def test_a_version_that_is_bad_on_one_route_only_is_found_there() -> None:
    counts = {("statement", s): (200, 0, 0) for s in SERVERS} | {("query", s): (2, 2, 0) for s in SERVERS}
    assert update(CanaryAnalysis(), counts).route in ("query", ALL_ROUTES)


def test_one_faulty_server_of_several_does_not_make_the_version_bad() -> None:
    counts = {("query", "s1"): (0, 30, 0), ("query", "s2"): (30, 0, 0), ("query", "s3"): (30, 0, 0)}
    assert update(CanaryAnalysis(), counts) is None


def test_a_faulty_server_without_others_makes_the_version_bad() -> None:
    assert update(CanaryAnalysis(), {("query", "s1"): (1, 6, 0)}) is not None


def test_a_fault_of_both_versions_does_not_make_the_new_one_bad() -> None:
    old = {route: Answers(good=60, failed=60) for route in ROUTES}
    counts = {(route, server): (10, 10, 0) for route in ROUTES for server in SERVERS}
    assert update(CanaryAnalysis(), counts, old) is None


def test_earlier_good_answers_do_not_hide_a_version_that_turns_bad_late() -> None:
    test = CanaryAnalysis()
    rows = [("query", server) for server in SERVERS]
    assert update(test, dict.fromkeys(rows, (3000, 3, 20))) is None
    assert update(test, dict.fromkeys(rows, (3002, 6, 20))) is not None


def test_repeated_or_decreasing_counts_are_counted_once() -> None:
    test = CanaryAnalysis()
    rows = {("query", server): (20, 1, 0) for server in SERVERS}
    for _ in range(50):
        assert update(test, rows) is None
        assert update(test, dict.fromkeys(rows, (1, 0, 0))) is None


def test_good_versions_are_rarely_found_bad() -> None:
    """Failures are as frequent as with the old version, slow answers twice as frequent, as on new servers."""
    found_count = 0
    for seed in range(200):
        rng, test, counts = random.Random(seed), CanaryAnalysis(), {}
        for _ in range(40):
            for route in ROUTES:
                row = (route, rng.choice(SERVERS))
                good, failed, slow = counts.get(row, (0, 0, 0))
                kind = rng.random()
                if kind < 0.005:
                    failed += 1
                elif kind < 0.10:
                    slow += 1
                else:
                    good += 1
                counts[row] = (good, failed, slow)
            if update(test, counts) is not None:
                found_count += 1
                break
    assert found_count <= 4


@pytest.mark.parametrize("kind", ["failed", "slow"])
def test_a_version_with_half_bad_answers_is_found_within_a_few_answers(kind: str) -> None:
    needed = []
    for seed in range(100):
        rng, test, counts = random.Random(seed), CanaryAnalysis(), {}
        for number in range(1, 200):
            row = (rng.choice(ROUTES), rng.choice(SERVERS))
            good, failed, slow = counts.get(row, (0, 0, 0))
            is_bad = rng.random() < 0.5
            counts[row] = (
                good + (not is_bad),
                failed + (is_bad and kind == "failed"),
                slow + (is_bad and kind == "slow"),
            )
            if update(test, counts) is not None:
                needed.append(number)
                break
    assert len(needed) == 100
    assert max(needed) < 40
