"""Limits per server: late, wrong and false load reports, and budgets of cold servers without communication."""

from __future__ import annotations

import math
import random

import pytest
from driver import MS, Host, settings
from hypothesis import given
from hypothesis import strategies as st

from iristrack.interface import NS_PER_S, AttemptEnded, Contract, ListKind, Outcome
from iristrack.limits.cold_start import ColdBudget, ColdRateFactor, granted_share
from iristrack.limits.load_estimate import (
    MAX_REPORTED,
    REPORT_FADE_NS,
    REPORT_VALID_NS,
    LoadEstimate,
    parse_report,
)

REPORT = {"qps": 40.0, "latency_ms": 100.0, "queue": 2.0, "eps": 0.0}  # six in flight


def with_reports(estimate: LoadEstimate, now: int, latency_ns: int = 0, **changes: float) -> LoadEstimate:
    """Record forty answers within four seconds, the last at `now`, each with the latency `latency_ns`."""
    for i in range(40):
        estimate.record_report(now - (39 - i) * 100 * MS, REPORT | changes, latency_ns)
    return estimate


def test_others_requests_are_the_servers_requests_minus_our_own() -> None:
    steady = {"qps": 60.0, "queue": 0.0}
    alone, among = (
        with_reports(LoadEstimate(6, NS_PER_S), 0, **steady),
        with_reports(LoadEstimate(6, NS_PER_S), 0, 200 * MS, **steady),
    )
    assert alone.others_inflight_at(0) == pytest.approx(6, abs=0.2)
    # Ten answers per second with a latency of 0.2 s: two of the six in flight are our own.
    assert among.others_inflight_at(0) == pytest.approx(4, abs=0.3)
    assert among.full(0, 3) and not among.full(0, 1)


def test_many_answers_with_one_report_count_no_more_than_one() -> None:
    estimate = with_reports(LoadEstimate(6, NS_PER_S), 0, queue=0.0, latency_ms=25.0)
    for i in range(100):
        # A heavy request has just ended there.
        estimate.record_report(i * MS // 10, REPORT | {"latency_ms": 900.0}, 0)
    assert estimate.others_inflight_at(10 * MS) < 1.5


def test_a_growing_queue_lowers_the_bound() -> None:
    assert with_reports(LoadEstimate(6, NS_PER_S), 0, queue=0.0).bound == 6
    assert with_reports(LoadEstimate(6, NS_PER_S), 0, queue=2.0).bound < 3


@pytest.mark.parametrize(
    "report",
    [
        None, {}, {"util": 0.5}, REPORT | {"qps": math.nan}, REPORT | {"queue": math.inf},
        REPORT | {"queue": -1.0}, REPORT | {"latency_ms": 0.0}, REPORT | {"qps": -5.0},
    ],
)  # fmt: skip
def test_a_useless_report_changes_nothing(report: dict | None) -> None:
    estimate = LoadEstimate(6, NS_PER_S)
    assert not estimate.record_report(0, report, 0) and not estimate.full(0, 100)
    before = with_reports(estimate, 0).others_inflight
    assert not estimate.record_report(5, report, MS) and estimate.others_inflight == before


def test_a_false_high_load_leaves_one_request_and_expires() -> None:
    estimate = with_reports(LoadEstimate(6, NS_PER_S), 0, queue=1e300)
    assert estimate.others_inflight <= MAX_REPORTED
    assert not estimate.full(0, 0) and estimate.full(0, 1)
    assert estimate.full(REPORT_VALID_NS, 1)
    # Neither its load nor its queue counts any more.
    assert not estimate.full(REPORT_VALID_NS + REPORT_FADE_NS, 3)
    after = 10 * NS_PER_S
    with_reports(estimate, after, queue=0.0, latency_ms=10.0)  # a true report counts at once again
    assert not estimate.full(after, 4)


def test_a_slow_server_gets_what_it_answers_in_time() -> None:
    slow = with_reports(LoadEstimate(6, NS_PER_S // 4), 0, qps=4.0, latency_ms=400.0, queue=0.0)
    fast = with_reports(LoadEstimate(6, NS_PER_S // 4), 0, qps=40.0, latency_ms=40.0, queue=0.0)
    assert slow.bound < 2 < 5 < fast.bound
    # One heavy answer does not lower the bound.
    fast.record_report(MS, REPORT | {"latency_ms": 400.0, "queue": 0.0}, MS)
    assert fast.bound > 5


def test_a_large_server_gets_more_while_it_answers_as_if_uncrowded() -> None:
    estimate = LoadEstimate(6, NS_PER_S)
    estimate.record_answer(0, 1.0, 6)
    assert estimate.max_bound == 6  # no report so far
    with_reports(estimate, 0, qps=400.0, queue=0.0)
    for _ in range(400):
        estimate.record_answer(0, 1.0, 40)
    assert estimate.bound > 10
    for _ in range(400):
        estimate.record_answer(0, 3.0, 60)
    assert estimate.max_bound == estimate.min_bound


@given(
    st.lists(st.tuples(st.floats(allow_nan=True), st.floats(allow_nan=True), st.floats()), max_size=30),
    st.integers(0, 50),
)
def test_no_reports_starve_a_server_or_break_the_estimate(rows: list, own: int) -> None:
    estimate = LoadEstimate(6, NS_PER_S // 4)
    for i, (qps, latency_ms, queue) in enumerate(rows):
        estimate.record_report(i * MS, {"qps": qps, "latency_ms": latency_ms, "queue": queue}, own * MS)
        found = parse_report({"qps": qps, "latency_ms": latency_ms, "queue": queue})
        assert found is None or all(0 <= x <= MAX_REPORTED for x in found)
    assert 0 <= estimate.others_inflight_at(len(rows) * MS) <= MAX_REPORTED
    assert not estimate.full(len(rows) * MS, 0)


# ---- cold servers


WARM_RATE = 200.0
CONTRACT = Contract(cold_share=0.12, cold_ns=24 * NS_PER_S, overload_factor=3.0, fall_ns=NS_PER_S)


def capacity(share: float, now: int) -> float:
    """Return the requests per second of a server that starts at `share` and warms up at the slowest allowed rate."""
    return WARM_RATE * max(share, CONTRACT.cold_share + (1 - CONTRACT.cold_share) * now / CONTRACT.cold_ns)


def flood(sidecars: list[ColdBudget], share: float, many: bool = False, fast: bool = False) -> list[int]:
    """Let all sidecars send whenever they may, with answers in order at the server's capacity; return the send times.

    `fast`: good answers of other cold servers have raised the rate factors to their maximum.
    """
    sends, queue, done = [], [], 0.0
    factors = [ColdRateFactor(many, CONTRACT) for _ in sidecars]
    for factor in factors * 10 * fast:
        factor.adjust(True)
    for now in range(5 * MS, 8 * NS_PER_S, 5 * MS):
        for i, budget in enumerate(sidecars):
            if budget.allows(now, WARM_RATE / len(sidecars), 1, CONTRACT, factors[i]):
                budget.spend()
                sends.append(now)
                queue.append((now, i))
        done = min(done + capacity(share, now) / 200, 1.0 + len(queue))
        while queue and done >= 1:
            done -= 1
            sent, i = queue.pop(0)
            good = now - sent < NS_PER_S
            sidecars[i].record_answer(now, good)
            factors[i].adjust(good)
    return sends


@pytest.mark.parametrize("number", [1, 4, 16])
@pytest.mark.parametrize("share", [0.12, 0.35])
def test_all_sidecars_together_stay_within_the_contract(number: int, share: float) -> None:
    sends = flood([ColdBudget(i / number) for i in range(number)], share)
    for start in range(0, 7 * NS_PER_S, NS_PER_S // 4):
        arrived = sum(start <= at < start + NS_PER_S for at in sends)
        assert arrived <= 0.9 * CONTRACT.overload_factor * capacity(share, start)


@pytest.mark.parametrize("share", [0.12, 0.35])
@pytest.mark.parametrize("number", [24, 200])
def test_many_sidecars_at_the_maximum_rate_stay_within_the_contract(number: int, share: float) -> None:
    sends = flood([ColdBudget(i / number) for i in range(number)], share, many=True, fast=True)
    for start in range(0, 7 * NS_PER_S, NS_PER_S // 4):
        arrived = sum(start <= at < start + NS_PER_S for at in sends)
        # The operators' page allows for chance: N + 3 * sqrt(N) + 3.
        granted = CONTRACT.overload_factor * capacity(share, start)
        assert arrived <= granted + 3 * granted**0.5 + 3


def worst_excess_after_idle_time(
    number: int, warm_rate: float, uneven: bool, restarted: bool, contract: Contract
) -> float:
    """Let all sidecars send for a second, none for six, then all again; `restarted`: half of them restart before.

    Return the worst window's sends beyond the contract's N, relative to the allowance for chance, 2 * sqrt(N) + 2.
    """
    rng = random.Random(number)
    busy = max(1, number // 10) if uneven else 0  # a tenth of the sidecars has two thirds of the load
    shares = [
        (2 / 3 / busy if i < busy else 1 / 3 / max(1, number - busy)) if busy else 1 / number
        for i in range(number)
    ]
    budgets = [ColdBudget(rng.random()) for _ in range(number)]
    factors = [ColdRateFactor(number > 12, contract) for _ in range(number)]
    for factor in factors * 10:
        factor.adjust(True)
    sends, inflight, queue, done = [], [0] * number, [], 0.0
    capacity = lambda at: warm_rate * granted_share(at, contract.cold_share, contract.cold_ns)  # noqa: E731
    for now in [*range(10 * MS, NS_PER_S, 10 * MS), *range(7 * NS_PER_S, 10 * NS_PER_S, 10 * MS)]:
        if now == 7 * NS_PER_S and restarted:
            for i in range(0, number, 2):
                budgets[i], inflight[i] = ColdBudget(rng.random()), 0
        for i in rng.sample(range(number), number):
            if number > 12 and budgets[i].at_inflight_limit(now, inflight[i]):
                continue
            if budgets[i].allows(now, warm_rate * shares[i], 1, contract, factors[i]):
                budgets[i].spend()
                sends.append(now)
                queue.append((now, i))
                inflight[i] += 1
        done = min(done + capacity(now) / 100, 1.0 + len(queue))
        while queue and done >= 1:
            done -= 1
            sent, i = queue.pop(0)
            inflight[i] = max(0, inflight[i] - 1)
            budgets[i].record_answer(now, now - sent < NS_PER_S // 2)
            factors[i].adjust(now - sent < NS_PER_S // 2)
    worst = -math.inf
    for start in range(0, 9 * NS_PER_S, 50 * MS):
        granted = contract.overload_factor * capacity(start) * contract.fall_ns / NS_PER_S
        arrived = sum(start <= at < start + contract.fall_ns for at in sends)
        worst = max(worst, (arrived - granted) / (2 * granted**0.5 + 2))
    return worst


@pytest.mark.parametrize("number", [1, 5, 20, 30, 60])
@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("restarted", [False, True])
def test_a_simultaneous_burst_after_idle_time_stays_within_the_contract(
    number: int, uneven: bool, restarted: bool
) -> None:
    slow_contract = Contract(
        cold_share=0.12, cold_ns=24 * NS_PER_S, overload_factor=2.5, fall_ns=NS_PER_S * 3 // 2
    )
    fast_contract = Contract(cold_share=0.2, cold_ns=12 * NS_PER_S, overload_factor=3.0, fall_ns=NS_PER_S)
    for contract in (slow_contract, fast_contract):
        for warm_rate in (10.0, 30.0, 100.0):
            assert worst_excess_after_idle_time(number, warm_rate, uneven, restarted, contract) <= 1.0


@pytest.mark.parametrize("started", [0, 1, 3600 * NS_PER_S])
def test_extreme_times_and_sizes_give_no_burst(started: int) -> None:
    # A start in the future, long ago or unknown, a clock that steps back, a fleet of one, a share and a rate of 0.
    for contract in (CONTRACT, Contract(cold_share=1e-9, cold_ns=1, overload_factor=0.5, fall_ns=NS_PER_S)):
        budget, sent = ColdBudget(0.5), 0
        factor = ColdRateFactor(False, contract)
        for now in (5 * NS_PER_S, 4 * NS_PER_S, 4 * NS_PER_S + MS, 60 * NS_PER_S, 1):
            for rate in (0.0, 0.2):
                while budget.allows(now, rate, started, contract, factor):
                    budget.spend()
                    sent += 1
        assert sent <= 1 and math.isfinite(budget.tokens)


def test_many_sidecars_learn_from_all_cold_servers_together() -> None:
    fresh, fast = (
        flood([ColdBudget(i / 200) for i in range(200)], 0.35, many=True, fast=x) for x in (False, True)
    )
    early = [sum(at < 3 * NS_PER_S for at in sends) for sends in (fresh, fast)]
    assert early[1] > 1.5 * early[0]


def test_a_late_server_does_not_profit_from_the_raised_rate_factor() -> None:
    factor = ColdRateFactor(True, CONTRACT)
    for _ in range(100):
        factor.adjust(True)
    assert (
        factor.value == pytest.approx(factor.max_value)
        and factor.max_value * CONTRACT.overload_factor / 4 + 1.25 <= 3.0
    )
    late, good = ColdBudget(0.0), ColdBudget(0.0)
    late.record_answer(0, good=False)
    sent = [0, 0]
    for now in range(0, 6 * NS_PER_S, 10 * MS):
        for i, budget in enumerate((late, good)):
            if budget.allows(now, 20.0, 1, CONTRACT, factor):
                budget.spend()
                sent[i] += 1
    assert 0 < sent[0] < sent[1] / 2
    for _ in range(10):
        factor.adjust(False)
    assert factor.value == factor.min_value  # without good answers, cold servers get the minimum


def test_one_of_few_sidecars_keeps_the_floor_whatever_is_answered() -> None:
    factor = ColdRateFactor(False, CONTRACT)
    for good in (True, True, False):
        factor.adjust(good)
        assert factor.value == factor.min_value == 1.0


MANY_BALANCERS = {"balancers": 100, "contract": CONTRACT}


def test_requests_at_cold_servers_do_not_count_against_the_shared_limit() -> None:
    host = Host(settings(**MANY_BALANCERS), servers=0)
    cold = [host.entry(i, started_ns=host.now) for i in range(30)]
    host.list(cold + [host.entry(i) for i in range(30, 60)])
    limiter, limit = host.balancer.shared, host.balancer.shared.limit
    for server in host.balancer.servers.values():
        server.budget.tokens = 1.0
    asked = [host.ask(key=f"k{i}") for i in range(300)]
    sent = [host.attempts[r][0] for r in asked if r in host.attempts]
    at_cold = [r for r in asked if r in host.attempts and int(host.attempts[r][0][1:]) < 30]
    assert len(at_cold) > 10 and limiter.inflight == len(sent) - len(at_cold) > 0
    host.wait(390 * MS)
    for request in at_cold:  # so late that answers of warm servers would cut the limit
        host.end(request)
    assert limiter.limit == limit and limiter.inflight == len(sent) - len(at_cold)


def test_a_key_passes_its_cold_pair_to_a_cold_server_with_budget() -> None:
    host = Host(settings(**MANY_BALANCERS), servers=0)
    host.list([host.entry(i, started_ns=host.now) for i in range(6)])
    host.balancer.shared.inflight = 99  # requests at warm servers do not block cold ones
    ranking = host.balancer._ranking("k", 0)
    ranking[4].budget.tokens = 1.0
    for server in ranking[:4]:
        server.budget.tokens = 0.0
    assert host.attempts[host.ask(key="k")] == [ranking[4].id]


def test_a_cold_server_without_answers_gets_one_request_of_ours() -> None:
    host = Host(settings(**MANY_BALANCERS), servers=0)
    host.list([host.entry(0, started_ns=host.now)])
    budget = host.balancer.servers["s0"].budget
    host.wait(MS)
    for i in range(5):
        budget.tokens = 1.0
        host.ask(key=f"k{i}")
    assert len(host.sends()) == 1
    host.end("r1")
    for i in range(5):
        budget.tokens = 1.0
        host.ask(key=f"again{i}")
    assert len(host.sends()) == 3  # the answer allows one more beside the first


def test_the_shared_limit_scales_with_the_warm_servers_in_use() -> None:
    host = Host(settings(**MANY_BALANCERS | {"balancers": 24}), servers=60)
    limiter = host.balancer.shared
    before = limiter.limit
    host.list([host.entry(i, started_ns=host.now) for i in range(40)], ListKind.DELTA)
    assert limiter.limit == pytest.approx(before / 3)
    host.now += CONTRACT.cold_ns  # they are warm now, and the next update restores the limit
    host.serve(60)
    host.wait(2 * NS_PER_S)
    assert limiter.initial_limit == pytest.approx(before)


def test_a_cold_server_that_answers_more_is_sent_more() -> None:
    weak, strong = (flood([ColdBudget(i / 4) for i in range(4)], share) for share in (0.12, 0.5))
    early = [sum(at < 3 * NS_PER_S for at in sends) for sends in (weak, strong)]
    assert early[1] > 1.25 * early[0]


def test_answers_of_the_previous_process_do_not_count() -> None:
    host = Host(settings(report_fields=("eps", "latency_ms", "qps", "queue")), servers=2)
    old = [host.ask(key=f"k{i}") for i in range(4)]
    host.wait(MS)
    host.list([host.entry(i, started_ns=host.now) for i in range(2)], ListKind.FULL)
    for request in old:
        server = host.attempts[request][0]
        host.deliver(AttemptEnded(request, 0, server, Outcome.OK, True, MS, REPORT))
    for server in host.balancer.servers.values():
        assert server.budget.answers == 0 and server.load_estimate.reported_at is None


def test_reports_of_a_high_load_hold_back_a_sidecar_with_little_traffic() -> None:
    """Without the reports it would send all three requests, as its own limit there is at least three."""
    host = Host(settings(report_fields=("eps", "latency_ms", "qps", "queue")), servers=1)
    for _ in range(300):
        request = host.ask()
        host.wait(10 * MS)
        host.deliver(AttemptEnded(request, 0, "s0", Outcome.OK, True, 10 * MS, REPORT))
    sent = [host.ask(key=f"k{i}") for i in range(3)]
    assert [request in host.attempts for request in sent] == [True, False, False]
    host.wait(REPORT_VALID_NS + REPORT_FADE_NS)  # no more reports: the estimate expires
    later = [host.ask(key=f"k{i}") for i in range(2)]
    assert later[0] in host.attempts


def test_a_server_that_rejects_nearly_all_is_not_sent_more() -> None:
    """Its reports show hardly any load; its rejections, which cut our own limit, bound it."""
    host = Host(settings(report_fields=("eps", "latency_ms", "qps", "queue")), servers=2)
    report = {"eps": 0.0, "latency_ms": 1.0, "qps": 3.0, "queue": 0.0}
    for i in range(60):
        request = host.ask(key=f"k{i}")
        for number, server in enumerate(host.attempts[request]):
            outcome = Outcome.REJECTED if server == "s0" else Outcome.OK
            host.deliver(AttemptEnded(request, number, server, outcome, outcome is Outcome.OK, MS, report))
        host.wait(20 * MS)
    rejecting, other = host.balancer.servers["s0"], host.balancer.servers["s1"]
    assert rejecting.load_estimate.others_inflight < 1 and rejecting.limiter.limit < other.limiter.limit
    late = [host.attempts[host.ask(key=f"late{i}")][0] for i in range(2)]
    assert late == ["s1", "s1"]  # ejected, so that it gets trials only
