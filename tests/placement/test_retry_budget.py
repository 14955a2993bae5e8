from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.admission.retry_budget import RetryBudget

RATIO, SLACK = 0.2, 52.0
REQUEST, RETRY = "request", "retry"
# Steps of all sidecars in time order: pause before the step, sidecar, kind, count.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.integers(0, 11),
        st.sampled_from([REQUEST, RETRY]),
        st.integers(1, 120),
    ),
    max_size=60,
)


@given(
    STEPS,
    st.integers(1, 12),
    st.sampled_from([0.0, 0.1, 0.2, 1.0]),
    st.sampled_from([0.0, 12.0, 52.0]),
    st.integers(1, 20),
)
def test_no_window_has_more_retries_than_the_ratio_and_the_slack_allow(
    steps, sidecars, ratio, slack, window
) -> None:
    budgets = [RetryBudget(ratio, slack, sidecars) for _ in range(sidecars)]
    requests: list[int] = []
    retries: list[int] = []
    now = 0
    for pause, sidecar, kind, count in steps:
        now += pause
        budget = budgets[sidecar % sidecars]
        for _ in range(count):
            if kind == REQUEST:
                budget.earn()
                requests.append(now)
            elif budget.spend():
                retries.append(now)
    for begin in {*retries}:
        spent = sum(begin <= at <= begin + window for at in retries)
        sent = sum(begin <= at <= begin + window for at in requests)
        assert spent <= ratio * sent + slack + 1e-6


def test_a_spent_budget_is_earned_again() -> None:
    budget = RetryBudget(RATIO, SLACK, 4)
    spent = 0
    while budget.spend():
        spent += 1
    assert 0 < spent <= SLACK / 4
    earned = 0
    while not budget.spend():
        budget.earn()
        earned += 1
        assert earned < 100
    assert earned >= 1 / RATIO - 1


def test_one_token_allows_one_retry() -> None:
    budget = RetryBudget(RATIO, SLACK, 4)
    budget.tokens = 1.0
    assert budget.spend()
    assert not budget.spend()


def test_more_sidecars_lower_the_tokens_at_once_and_fewer_do_not_add_any() -> None:
    budget = RetryBudget(RATIO, SLACK, 1)
    budget.set_sidecars(13)
    assert budget.tokens <= SLACK / 13
    tokens_before = budget.tokens
    budget.set_sidecars(1)
    assert budget.tokens == tokens_before


def test_the_excess_of_a_restart_of_all_sidecars_is_covered_by_the_unspent_part_of_the_ratio() -> None:
    sidecars, requests = 4, int(SLACK / RATIO)
    spent = 0
    for starts in range(2):
        budgets = [RetryBudget(RATIO, SLACK, sidecars) for _ in range(sidecars)]
        if not starts:  # the processes that are replaced have been running for a long time
            for budget in budgets:
                for _ in range(1000):
                    budget.earn()
        for budget in budgets:
            while budget.spend():
                spent += 1
        for number in range(requests // 2):
            budgets[number % sidecars].earn()
            while budgets[number % sidecars].spend():
                spent += 1
    assert SLACK < spent <= RATIO * requests + SLACK
