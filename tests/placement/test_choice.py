from __future__ import annotations

import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from iristrack.placement.choice import (
    CANDIDATE_COUNT,
    FIRST_RANK_BONUS,
    MAX_LOAD,
    PREFILL_CHUNK_TOKENS,
    SPILLOVER_GAIN,
    SPILLOVER_LOAD,
    PrefillEstimate,
    choose_server,
    chunks_to_prefill,
    cost,
    rank_servers,
)
from iristrack.placement.servers import Server
from tests.placement.samples import nothing_kept, servers

KEY = "5c1e07a2"


def kept_at(holder: Server, tokens: int, kept: int):
    return lambda server: PrefillEstimate(
        tokens, kept if server is holder else 0, 0 if server is holder else kept
    )


def ranking_of(all_servers: list[Server]) -> list[Server]:
    return rank_servers(all_servers, KEY, random.Random(0), len(all_servers))


def test_no_server_is_chosen_from_an_empty_list() -> None:
    assert choose_server([], KEY, nothing_kept, random.Random(0)) is None
    assert choose_server([], None, nothing_kept, random.Random(0)) is None


@given(st.lists(st.integers(0, int(SPILLOVER_LOAD) - 1), min_size=3, max_size=9), st.integers(0, 99))
def test_of_the_two_candidates_the_one_with_fewer_requests_in_flight_is_chosen(loads, seed) -> None:
    all_servers = servers(len(loads))
    for server, load in zip(all_servers, loads, strict=True):
        server.inflight = load
    first, second = ranking_of(all_servers)[:2]
    chosen = choose_server(all_servers, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(seed))
    if first.inflight != second.inflight:
        assert chosen is min(first, second, key=lambda server: server.inflight)
    else:
        assert chosen in (first, second)


def test_ties_are_broken_at_random_and_reproducibly() -> None:
    all_servers = servers(6)
    first, second = ranking_of(all_servers)[:2]

    def draws(seed: int) -> list[Server]:
        rng = random.Random(seed)
        return [choose_server(all_servers, KEY, lambda _: PrefillEstimate(0, 1, 0), rng) for _ in range(200)]

    assert draws(3) == draws(3)
    assert set(draws(3)) == {first, second}
    assert 60 < draws(3).count(first) < 140


def test_without_a_key_two_random_servers_are_compared() -> None:
    all_servers = servers(5)
    all_servers[0].inflight = 1
    rng = random.Random(1)
    chosen = [choose_server(all_servers, None, nothing_kept, rng) for _ in range(400)]
    assert set(chosen) == set(all_servers[1:])  # the busier one loses every comparison


def test_pending_prefill_chunks_count_like_requests() -> None:
    all_servers = servers(4)
    first, second = ranking_of(all_servers)[:2]
    first.began(pieces=3)
    second.inflight = 2
    assert choose_server(all_servers, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0)) is second
    first.prefill_finished(3)
    assert choose_server(all_servers, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0)) is first


def test_requests_in_flight_of_other_sidecars_count() -> None:
    all_servers = servers(4)
    first, second = ranking_of(all_servers)[:2]
    first.others_inflight = first.others_pending_chunks = 1
    second.inflight = 1
    assert choose_server(all_servers, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0)) is second


def test_a_kept_prefix_outweighs_as_many_requests_as_fetching_it_costs() -> None:
    all_servers = servers(4)
    holder, other = ranking_of(all_servers)[1], ranking_of(all_servers)[0]
    tokens = 8 * PREFILL_CHUNK_TOKENS
    fetch_cost = cost(other, PrefillEstimate(tokens, 0, tokens))
    holder.inflight = int(fetch_cost)
    assert choose_server(all_servers, KEY, kept_at(holder, tokens, tokens), random.Random(0)) is holder
    holder.inflight = int(fetch_cost) + 1
    assert choose_server(all_servers, KEY, kept_at(holder, tokens, tokens), random.Random(0)) is other


@pytest.mark.parametrize(("load", "index"), [(FIRST_RANK_BONUS - 1, 0), (FIRST_RANK_BONUS + 1, 1)])
def test_a_prompt_kept_nowhere_goes_to_the_first_server_unless_it_is_much_busier(
    load: float, index: int
) -> None:
    all_servers = servers(4)
    ranking = ranking_of(all_servers)
    ranking[0].inflight = int(load)
    assert choose_server(all_servers, KEY, nothing_kept, random.Random(0)) is ranking[index]


def test_requests_spill_over_from_overloaded_candidates() -> None:
    all_servers = servers(5)
    ranking = ranking_of(all_servers)
    for server in ranking[:CANDIDATE_COUNT]:
        server.inflight = int(SPILLOVER_LOAD + FIRST_RANK_BONUS + SPILLOVER_GAIN)
    assert choose_server(all_servers, KEY, nothing_kept, random.Random(0)) in ranking[CANDIDATE_COUNT:]


def test_requests_do_not_spill_over_to_servers_that_are_hardly_less_busy() -> None:
    all_servers = servers(5)
    ranking = ranking_of(all_servers)
    for server in ranking:
        server.inflight = int(SPILLOVER_LOAD) + 1
    for server in ranking[CANDIDATE_COUNT:]:
        server.inflight -= int(SPILLOVER_GAIN)
    assert (
        choose_server(all_servers, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0))
        in ranking[:CANDIDATE_COUNT]
    )


def test_requests_do_not_spill_over_from_candidates_below_the_limit() -> None:
    all_servers = servers(5)
    ranking = ranking_of(all_servers)
    for server in ranking[:CANDIDATE_COUNT]:
        server.inflight = int(SPILLOVER_LOAD)
    assert (
        choose_server(all_servers, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0))
        in ranking[:CANDIDATE_COUNT]
    )


@pytest.mark.parametrize("count", [1, 2, 5])
@pytest.mark.parametrize("key", [KEY, None])
def test_no_server_is_chosen_if_all_are_above_the_maximum_load(count: int, key: str | None) -> None:
    all_servers = servers(count)
    for server in all_servers:
        server.inflight = int(MAX_LOAD + FIRST_RANK_BONUS) + 1
    assert choose_server(all_servers, key, nothing_kept, random.Random(0)) is None


@example([62, 70, 70], KEY, 0)
@example([70, 62, 70], KEY, 0)
@example([70, 70, 62], KEY, 0)
@settings(max_examples=500)
@given(
    st.lists(st.integers(int(MAX_LOAD) - 6, int(MAX_LOAD) + 6), min_size=1, max_size=7),
    st.sampled_from([KEY, None]),
    st.integers(0, 9),
)
def test_a_request_is_refused_only_if_every_server_is_above_the_maximum_load(loads, key, seed) -> None:
    all_servers = servers(len(loads))
    for server, load in zip(all_servers, loads, strict=True):
        server.inflight = load
    chosen = choose_server(all_servers, key, lambda _: PrefillEstimate(0, 1, 0), random.Random(seed))
    assert (chosen is None) == (min(loads) > MAX_LOAD)
    assert chosen is None or chosen.inflight <= MAX_LOAD


@given(st.integers(0, 200_000), st.integers(0, 200_000), st.integers(0, 200_000))
def test_prefill_and_fetch_tokens_are_consistent_and_never_negative(tokens, kept, elsewhere) -> None:
    estimate = PrefillEstimate(tokens, kept, elsewhere)
    assert 0 <= estimate.prefill_tokens <= tokens
    assert estimate.fetch_tokens == max(0, elsewhere - kept)
    assert (
        (chunks_to_prefill(estimate) - 1) * PREFILL_CHUNK_TOKENS
        < estimate.prefill_tokens
        <= chunks_to_prefill(estimate) * PREFILL_CHUNK_TOKENS
    )
