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


def ranking_of(pool: list[Server]) -> list[Server]:
    return rank_servers(pool, KEY, random.Random(0), len(pool))


def test_without_servers_there_is_no_choice() -> None:
    assert choose_server([], KEY, nothing_kept, random.Random(0)) is None
    assert choose_server([], None, nothing_kept, random.Random(0)) is None


@given(st.lists(st.integers(0, int(SPILLOVER_LOAD) - 1), min_size=3, max_size=9), st.integers(0, 99))
def test_of_the_two_first_of_the_ranking_the_one_with_fewer_in_flight_wins(loads, seed) -> None:
    pool = servers(len(loads))
    for server, load in zip(pool, loads, strict=True):
        server.inflight = load
    first, second = ranking_of(pool)[:2]
    chosen = choose_server(pool, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(seed))
    if first.inflight != second.inflight:
        assert chosen is min(first, second, key=lambda server: server.inflight)
    else:
        assert chosen in (first, second)


def test_ties_are_broken_at_random_and_alike_with_the_same_seed() -> None:
    pool = servers(6)
    first, second = ranking_of(pool)[:2]

    def draws(seed: int) -> list[Server]:
        rng = random.Random(seed)
        return [choose_server(pool, KEY, lambda _: PrefillEstimate(0, 1, 0), rng) for _ in range(200)]

    assert draws(3) == draws(3)
    assert set(draws(3)) == {first, second}
    assert 60 < draws(3).count(first) < 140


def test_without_a_key_two_at_random_are_compared() -> None:
    pool = servers(5)
    pool[0].inflight = 1
    rng = random.Random(1)
    chosen = [choose_server(pool, None, nothing_kept, rng) for _ in range(400)]
    assert set(chosen) == set(pool[1:])  # the busier one loses every comparison


def test_pieces_still_to_be_read_count_like_requests() -> None:
    pool = servers(4)
    first, second = ranking_of(pool)[:2]
    first.began(pieces=3)
    second.inflight = 2
    assert choose_server(pool, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0)) is second
    first.prefill_finished(3)
    assert choose_server(pool, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0)) is first


def test_what_other_sidecars_have_in_flight_counts() -> None:
    pool = servers(4)
    first, second = ranking_of(pool)[:2]
    first.others_inflight = first.others_pending_chunks = 1
    second.inflight = 1
    assert choose_server(pool, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0)) is second


def test_a_kept_beginning_outweighs_the_requests_that_reading_it_would_cost() -> None:
    pool = servers(4)
    holder, other = ranking_of(pool)[1], ranking_of(pool)[0]
    tokens = 8 * PREFILL_CHUNK_TOKENS
    moving = cost(other, PrefillEstimate(tokens, 0, tokens))
    holder.inflight = int(moving)
    assert choose_server(pool, KEY, kept_at(holder, tokens, tokens), random.Random(0)) is holder
    holder.inflight = int(moving) + 1
    assert choose_server(pool, KEY, kept_at(holder, tokens, tokens), random.Random(0)) is other


@pytest.mark.parametrize(("lead", "index"), [(FIRST_RANK_BONUS - 1, 0), (FIRST_RANK_BONUS + 1, 1)])
def test_what_nobody_keeps_goes_to_the_first_unless_that_is_much_busier(lead: float, index: int) -> None:
    pool = servers(4)
    ranking = ranking_of(pool)
    ranking[0].inflight = int(lead)
    assert choose_server(pool, KEY, nothing_kept, random.Random(0)) is ranking[index]


def test_candidates_that_are_crowded_share_with_the_rest() -> None:
    pool = servers(5)
    ranking = ranking_of(pool)
    for server in ranking[:CANDIDATE_COUNT]:
        server.inflight = int(SPILLOVER_LOAD + FIRST_RANK_BONUS + SPILLOVER_GAIN)
    assert choose_server(pool, KEY, nothing_kept, random.Random(0)) in ranking[CANDIDATE_COUNT:]


def test_crowded_candidates_keep_what_the_rest_would_not_do_sooner() -> None:
    pool = servers(5)
    ranking = ranking_of(pool)
    for server in ranking:
        server.inflight = int(SPILLOVER_LOAD) + 1
    for server in ranking[CANDIDATE_COUNT:]:
        server.inflight -= int(SPILLOVER_GAIN)
    assert (
        choose_server(pool, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0))
        in ranking[:CANDIDATE_COUNT]
    )


def test_candidates_that_are_not_crowded_never_spill() -> None:
    pool = servers(5)
    ranking = ranking_of(pool)
    for server in ranking[:CANDIDATE_COUNT]:
        server.inflight = int(SPILLOVER_LOAD)
    assert (
        choose_server(pool, KEY, lambda _: PrefillEstimate(0, 1, 0), random.Random(0))
        in ranking[:CANDIDATE_COUNT]
    )


@pytest.mark.parametrize("count", [1, 2, 5])
@pytest.mark.parametrize("key", [KEY, None])
def test_servers_that_are_all_too_busy_are_spared(count: int, key: str | None) -> None:
    pool = servers(count)
    for server in pool:
        server.inflight = int(MAX_LOAD + FIRST_RANK_BONUS) + 1
    assert choose_server(pool, key, nothing_kept, random.Random(0)) is None


@example([62, 70, 70], KEY, 0)
@example([70, 62, 70], KEY, 0)
@example([70, 70, 62], KEY, 0)
@settings(max_examples=500)
@given(
    st.lists(st.integers(int(MAX_LOAD) - 6, int(MAX_LOAD) + 6), min_size=1, max_size=7),
    st.sampled_from([KEY, None]),
    st.integers(0, 9),
)
def test_a_request_is_refused_only_where_every_server_is_too_busy(loads, key, seed) -> None:
    pool = servers(len(loads))
    for server, load in zip(pool, loads, strict=True):
        server.inflight = load
    chosen = choose_server(pool, key, lambda _: PrefillEstimate(0, 1, 0), random.Random(seed))
    assert (chosen is None) == (min(loads) > MAX_LOAD)
    assert chosen is None or chosen.inflight <= MAX_LOAD


@given(st.integers(0, 200_000), st.integers(0, 200_000), st.integers(0, 200_000))
def test_a_prompt_is_read_or_moved_but_never_less_than_nothing(tokens, kept, elsewhere) -> None:
    prompt = PrefillEstimate(tokens, kept, elsewhere)
    assert 0 <= prompt.prefill_tokens <= tokens
    assert prompt.fetch_tokens == max(0, elsewhere - kept)
    assert (
        (chunks_to_prefill(prompt) - 1) * PREFILL_CHUNK_TOKENS
        < prompt.prefill_tokens
        <= chunks_to_prefill(prompt) * PREFILL_CHUNK_TOKENS
    )
