"""What a pool server bears: reports that are late, wrong or lying, and budgets that nobody else needs to hear of."""

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

REPORT = {"qps": 40.0, "latency_ms": 100.0, "queue": 2.0, "eps": 0.0}  # six in hand


def told(crowd: LoadEstimate, now: int, took: int = 0, **changes: float) -> LoadEstimate:
    """Forty answers within four seconds, the last one at `now`, each after `took` ns."""
    for i in range(40):
        crowd.record_report(now - (39 - i) * 100 * MS, REPORT | changes, took)
    return crowd


def test_what_others_hold_is_what_the_server_holds_less_our_own() -> None:
    steady = {"qps": 60.0, "queue": 0.0}
    alone, among = (
        told(LoadEstimate(6, NS_PER_S), 0, **steady),
        told(LoadEstimate(6, NS_PER_S), 0, 200 * MS, **steady),
    )
    assert alone.others_inflight_at(0) == pytest.approx(6, abs=0.2)
    assert among.others_inflight_at(0) == pytest.approx(4, abs=0.3)  # ten answers a second, each after 0.2 s
    assert among.full(0, 3) and not among.full(0, 1)


def test_many_answers_with_one_report_count_no_more_than_one() -> None:
    crowd = told(LoadEstimate(6, NS_PER_S), 0, queue=0.0, latency_ms=25.0)
    for i in range(100):
        crowd.record_report(
            i * MS // 10, REPORT | {"latency_ms": 900.0}, 0
        )  # a heavy request has just ended there
    assert crowd.others_inflight_at(10 * MS) < 1.5


def test_a_waiting_room_that_fills_lowers_the_bound() -> None:
    assert told(LoadEstimate(6, NS_PER_S), 0, queue=0.0).bound == 6
    assert told(LoadEstimate(6, NS_PER_S), 0, queue=2.0).bound < 3


@pytest.mark.parametrize(
    "report",
    [
        None, {}, {"util": 0.5}, REPORT | {"qps": math.nan}, REPORT | {"queue": math.inf},
        REPORT | {"queue": -1.0}, REPORT | {"latency_ms": 0.0}, REPORT | {"qps": -5.0},
    ],
)  # fmt: skip
def test_a_report_that_cannot_tell_changes_nothing(report: dict | None) -> None:
    crowd = LoadEstimate(6, NS_PER_S)
    assert not crowd.record_report(0, report, 0) and not crowd.full(0, 100)
    before = told(crowd, 0).others_inflight
    assert not crowd.record_report(5, report, MS) and crowd.others_inflight == before


def test_a_lie_of_a_great_crowd_leaves_one_request_and_an_old_one_is_forgotten() -> None:
    crowd = told(LoadEstimate(6, NS_PER_S), 0, queue=1e300)
    assert crowd.others_inflight <= MAX_REPORTED
    assert not crowd.full(0, 0) and crowd.full(0, 1)
    assert crowd.full(REPORT_VALID_NS, 1)
    assert not crowd.full(
        REPORT_VALID_NS + REPORT_FADE_NS, 3
    )  # neither its crowd nor its waiting room is believed any more
    after = 10 * NS_PER_S
    told(
        crowd, after, queue=0.0, latency_ms=10.0
    )  # and the truth is believed as soon as after any other word
    assert not crowd.full(after, 4)


def test_a_slow_server_may_hold_what_it_answers_in_time() -> None:
    slow = told(LoadEstimate(6, NS_PER_S // 4), 0, qps=4.0, latency_ms=400.0, queue=0.0)
    fast = told(LoadEstimate(6, NS_PER_S // 4), 0, qps=40.0, latency_ms=40.0, queue=0.0)
    assert slow.bound < 2 < 5 < fast.bound
    fast.record_report(
        MS, REPORT | {"latency_ms": 400.0, "queue": 0.0}, MS
    )  # one heavy answer does not make it slow
    assert fast.bound > 5


def test_a_large_server_comes_to_hold_more_while_it_answers_as_if_uncrowded() -> None:
    crowd = LoadEstimate(6, NS_PER_S)
    crowd.record_answer(0, 1.0, 6)
    assert crowd.max_bound == 6  # it has told nothing so far
    told(crowd, 0, qps=400.0, queue=0.0)
    for _ in range(400):
        crowd.record_answer(0, 1.0, 40)
    assert crowd.bound > 10
    for _ in range(400):
        crowd.record_answer(0, 3.0, 60)
    assert crowd.max_bound == crowd.min_bound


@given(
    st.lists(st.tuples(st.floats(allow_nan=True), st.floats(allow_nan=True), st.floats()), max_size=30),
    st.integers(0, 50),
)
def test_no_row_of_reports_starves_a_server_or_breaks_the_estimate(rows: list, own: int) -> None:
    crowd = LoadEstimate(6, NS_PER_S // 4)
    for i, (qps, latency_ms, queue) in enumerate(rows):
        crowd.record_report(i * MS, {"qps": qps, "latency_ms": latency_ms, "queue": queue}, own * MS)
        found = parse_report({"qps": qps, "latency_ms": latency_ms, "queue": queue})
        assert found is None or all(0 <= x <= MAX_REPORTED for x in found)
    assert 0 <= crowd.others_inflight_at(len(rows) * MS) <= MAX_REPORTED
    assert not crowd.full(len(rows) * MS, 0)


# ---- cold servers


WARM_RATE = 200.0
CONTRACT = Contract(cold_share=0.12, cold_ns=24 * NS_PER_S, overload_factor=3.0, fall_ns=NS_PER_S)


def able(share: float, now: int) -> float:
    """Requests a second of a server that starts at `share` and warms as slowly as the contract lets it."""
    return WARM_RATE * max(share, CONTRACT.cold_share + (1 - CONTRACT.cold_share) * now / CONTRACT.cold_ns)


def flood(sidecars: list[ColdBudget], share: float, many: bool = False, praised: bool = False) -> list[int]:
    """All send whenever they may; the server answers what it can, in turn. When each send was made.

    `praised`: other cold servers have answered them all so well that their pace is at its highest.
    """
    sends, queue, done = [], [], 0.0
    paces = [ColdRateFactor(many, CONTRACT) for _ in sidecars]
    for pace in paces * 10 * praised:
        pace.adjust(True)
    for now in range(5 * MS, 8 * NS_PER_S, 5 * MS):
        for i, budget in enumerate(sidecars):
            if budget.allows(now, WARM_RATE / len(sidecars), 1, CONTRACT, paces[i]):
                budget.spend()
                sends.append(now)
                queue.append((now, i))
        done = min(done + able(share, now) / 200, 1.0 + len(queue))
        while queue and done >= 1:
            done -= 1
            sent, i = queue.pop(0)
            good = now - sent < NS_PER_S
            sidecars[i].record_answer(now, good)
            paces[i].adjust(good)
    return sends


@pytest.mark.parametrize("number", [1, 4, 16])
@pytest.mark.parametrize("share", [0.12, 0.35])
def test_all_together_stay_under_the_contract_whatever_the_server_can_do(number: int, share: float) -> None:
    sends = flood([ColdBudget(i / number) for i in range(number)], share)
    for start in range(0, 7 * NS_PER_S, NS_PER_S // 4):
        arrived = sum(start <= at < start + NS_PER_S for at in sends)
        assert arrived <= 0.9 * CONTRACT.overload_factor * able(share, start)


@pytest.mark.parametrize("share", [0.12, 0.35])
@pytest.mark.parametrize("number", [24, 200])
def test_many_whose_pace_is_at_its_highest_stay_under_the_contract(number: int, share: float) -> None:
    sends = flood([ColdBudget(i / number) for i in range(number)], share, many=True, praised=True)
    for start in range(0, 7 * NS_PER_S, NS_PER_S // 4):
        arrived = sum(start <= at < start + NS_PER_S for at in sends)
        # The operators' page grants chance: N and three times its root, and three.
        granted = CONTRACT.overload_factor * able(share, start)
        assert arrived <= granted + 3 * granted**0.5 + 3


def after_a_quiet_time(
    number: int, warm_rate: float, uneven: bool, restarted: bool, contract: Contract
) -> float:
    """All want to send for a second, then nobody for six, then all; where `restarted`, half of them anew.

    The worst window's sends beyond N, as a part of what chance is granted: 2 x root of N + 2.
    """
    draw = random.Random(number)
    busy = max(1, number // 10) if uneven else 0  # a tenth has two thirds of the load
    part = [
        (2 / 3 / busy if i < busy else 1 / 3 / max(1, number - busy)) if busy else 1 / number
        for i in range(number)
    ]
    budgets = [ColdBudget(draw.random()) for _ in range(number)]
    paces = [ColdRateFactor(number > 12, contract) for _ in range(number)]
    for pace in paces * 10:
        pace.adjust(True)
    sends, out, queue, done = [], [0] * number, [], 0.0
    able = lambda at: warm_rate * granted_share(at, contract.cold_share, contract.cold_ns)  # noqa: E731
    for now in [*range(10 * MS, NS_PER_S, 10 * MS), *range(7 * NS_PER_S, 10 * NS_PER_S, 10 * MS)]:
        if now == 7 * NS_PER_S and restarted:
            for i in range(0, number, 2):
                budgets[i], out[i] = ColdBudget(draw.random()), 0
        for i in draw.sample(range(number), number):
            if number > 12 and budgets[i].at_inflight_limit(now, out[i]):
                continue
            if budgets[i].allows(now, warm_rate * part[i], 1, contract, paces[i]):
                budgets[i].spend()
                sends.append(now)
                queue.append((now, i))
                out[i] += 1
        done = min(done + able(now) / 100, 1.0 + len(queue))
        while queue and done >= 1:
            done -= 1
            sent, i = queue.pop(0)
            out[i] = max(0, out[i] - 1)
            budgets[i].record_answer(now, now - sent < NS_PER_S // 2)
            paces[i].adjust(now - sent < NS_PER_S // 2)
    worst = -math.inf
    for start in range(0, 9 * NS_PER_S, 50 * MS):
        granted = contract.overload_factor * able(start) * contract.fall_ns / NS_PER_S
        arrived = sum(start <= at < start + contract.fall_ns for at in sends)
        worst = max(worst, (arrived - granted) / (2 * granted**0.5 + 2))
    return worst


@pytest.mark.parametrize("number", [1, 5, 20, 30, 60])
@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("restarted", [False, True])
def test_all_together_stay_within_chance_when_they_send_in_one_moment(
    number: int, uneven: bool, restarted: bool
) -> None:
    slow = Contract(cold_share=0.12, cold_ns=24 * NS_PER_S, overload_factor=2.5, fall_ns=NS_PER_S * 3 // 2)
    fast = Contract(cold_share=0.2, cold_ns=12 * NS_PER_S, overload_factor=3.0, fall_ns=NS_PER_S)
    for contract in (slow, fast):
        for warm_rate in (10.0, 30.0, 100.0):
            assert after_a_quiet_time(number, warm_rate, uneven, restarted, contract) <= 1.0


@pytest.mark.parametrize("started", [0, 1, 3600 * NS_PER_S])
def test_odd_times_and_sizes_give_no_burst(started: int) -> None:
    # Started in the future, long ago or never told; a clock that steps back; a fleet of one; a share and a size of 0.
    for contract in (CONTRACT, Contract(cold_share=1e-9, cold_ns=1, overload_factor=0.5, fall_ns=NS_PER_S)):
        budget, sent = ColdBudget(0.5), 0
        pace = ColdRateFactor(False, contract)
        for now in (5 * NS_PER_S, 4 * NS_PER_S, 4 * NS_PER_S + MS, 60 * NS_PER_S, 1):
            for rate in (0.0, 0.2):
                while budget.allows(now, rate, started, contract, pace):
                    budget.spend()
                    sent += 1
        assert sent <= 1 and math.isfinite(budget.tokens)


def test_many_learn_from_all_cold_servers_what_one_answers_too_seldom_to_tell() -> None:
    fresh, praised = (
        flood([ColdBudget(i / 200) for i in range(200)], 0.35, many=True, praised=x) for x in (False, True)
    )
    early = [sum(at < 3 * NS_PER_S for at in sends) for sends in (fresh, praised)]
    assert early[1] > 1.5 * early[0]


def test_a_server_that_answered_late_gets_none_of_the_pace_that_others_earned() -> None:
    pace = ColdRateFactor(True, CONTRACT)
    for _ in range(100):
        pace.adjust(True)
    assert (
        pace.value == pytest.approx(pace.max_value)
        and pace.max_value * CONTRACT.overload_factor / 4 + 1.25 <= 3.0
    )
    late, good = ColdBudget(0.0), ColdBudget(0.0)
    late.record_answer(0, good=False)
    sent = [0, 0]
    for now in range(0, 6 * NS_PER_S, 10 * MS):
        for i, budget in enumerate((late, good)):
            if budget.allows(now, 20.0, 1, CONTRACT, pace):
                budget.spend()
                sent[i] += 1
    assert 0 < sent[0] < sent[1] / 2
    for _ in range(10):
        pace.adjust(False)
    assert pace.value == pace.min_value  # a fleet of which nothing comes back is sent the least


def test_one_of_few_sidecars_goes_by_the_floor_whatever_is_answered() -> None:
    pace = ColdRateFactor(False, CONTRACT)
    for good in (True, True, False):
        pace.adjust(good)
        assert pace.value == pace.min_value == 1.0


MANY = {"balancers": 100, "contract": CONTRACT}


def test_what_is_out_at_cold_servers_takes_no_room_of_the_warm_ones() -> None:
    host = Host(settings(**MANY), servers=0)
    cold = [host.entry(i, started_ns=host.now) for i in range(30)]
    host.list(cold + [host.entry(i) for i in range(30, 60)])
    room, limit = host.balancer.shared, host.balancer.shared.limit
    for server in host.balancer.servers.values():
        server.budget.tokens = 1.0
    asked = [host.ask(key=f"k{i}") for i in range(300)]
    sent = [host.attempts[r][0] for r in asked if r in host.attempts]
    at_cold = [r for r in asked if r in host.attempts and int(host.attempts[r][0][1:]) < 30]
    assert len(at_cold) > 10 and room.inflight == len(sent) - len(at_cold) > 0
    host.wait(390 * MS)
    for request in at_cold:  # so late that a warm one's answer would cut the room
        host.end(request)
    assert room.limit == limit and room.inflight == len(sent) - len(at_cold)


def test_a_key_whose_pair_is_cold_is_sent_past_it_to_a_cold_server_that_may_be_sent_to() -> None:
    host = Host(settings(**MANY), servers=0)
    host.list([host.entry(i, started_ns=host.now) for i in range(6)])
    host.balancer.shared.inflight = 99  # what warm servers hold does not keep it from a cold one
    ranking = host.balancer._ranking("k", 0)
    ranking[4].budget.tokens = 1.0
    for server in ranking[:4]:
        server.budget.tokens = 0.0
    assert host.attempts[host.ask(key="k")] == [ranking[4].id]


def test_a_cold_server_that_says_nothing_gets_one_request_of_ours() -> None:
    host = Host(settings(**MANY), servers=0)
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
    assert len(host.sends()) == 3  # the answer lets another one in beside the first


def test_the_common_room_is_for_the_warm_servers_in_use() -> None:
    host = Host(settings(**MANY | {"balancers": 24}), servers=60)
    room = host.balancer.shared
    before = room.limit
    host.list([host.entry(i, started_ns=host.now) for i in range(40)], ListKind.DELTA)
    assert room.limit == pytest.approx(before / 3)
    host.now += CONTRACT.cold_ns  # they are warm: the next second's look gives it back
    host.serve(60)
    host.wait(2 * NS_PER_S)
    assert room.initial_limit == pytest.approx(before)


def test_a_server_that_proves_to_be_able_to_more_is_sent_more() -> None:
    weak, strong = (flood([ColdBudget(i / 4) for i in range(4)], share) for share in (0.12, 0.5))
    early = [sum(at < 3 * NS_PER_S for at in sends) for sends in (weak, strong)]
    assert early[1] > 1.25 * early[0]


def test_answers_of_the_process_before_and_others_reports_of_it_earn_nothing() -> None:
    host = Host(settings(report_fields=("eps", "latency_ms", "qps", "queue")), servers=2)
    old = [host.ask(key=f"k{i}") for i in range(4)]
    host.wait(MS)
    host.list([host.entry(i, started_ns=host.now) for i in range(2)], ListKind.FULL)
    for request in old:
        server = host.attempts[request][0]
        host.deliver(AttemptEnded(request, 0, server, Outcome.OK, True, MS, REPORT))
    for server in host.balancer.servers.values():
        assert server.budget.answers == 0 and server.load_estimate.reported_at is None


def test_sidecars_that_see_little_keep_off_a_server_that_tells_of_a_crowd() -> None:
    """Without the reports this one would send all three: its own limit there is three at the least."""
    host = Host(settings(report_fields=("eps", "latency_ms", "qps", "queue")), servers=1)
    for _ in range(300):
        request = host.ask()
        host.wait(10 * MS)
        host.deliver(AttemptEnded(request, 0, "s0", Outcome.OK, True, 10 * MS, REPORT))
    sent = [host.ask(key=f"k{i}") for i in range(3)]
    assert [request in host.attempts for request in sent] == [True, False, False]
    host.wait(REPORT_VALID_NS + REPORT_FADE_NS)  # nothing more is heard: the crowd is forgotten
    later = [host.ask(key=f"k{i}") for i in range(2)]
    assert later[0] in host.attempts


def test_a_server_that_looks_fast_since_it_refuses_nearly_all_is_not_sent_more() -> None:
    """Its report tells of a tiny crowd; what bounds it are its refusals, which cut our own limit."""
    host = Host(settings(report_fields=("eps", "latency_ms", "qps", "queue")), servers=2)
    report = {"eps": 0.0, "latency_ms": 1.0, "qps": 3.0, "queue": 0.0}
    for i in range(60):
        request = host.ask(key=f"k{i}")
        for number, server in enumerate(host.attempts[request]):
            outcome = Outcome.REJECTED if server == "s0" else Outcome.OK
            host.deliver(AttemptEnded(request, number, server, outcome, outcome is Outcome.OK, MS, report))
        host.wait(20 * MS)
    refusing, other = host.balancer.servers["s0"], host.balancer.servers["s1"]
    assert refusing.load_estimate.others_inflight < 1 and refusing.limiter.limit < other.limiter.limit
    late = [host.attempts[host.ask(key=f"late{i}")][0] for i in range(2)]
    assert late == ["s1", "s1"]  # it is ejected, but for trials
