from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from iristrack.placement.choice import rank_servers
from tests.placement.samples import servers

KEYS = [f"part-{number}" for number in range(400)]


def test_a_ranking_does_not_depend_on_the_order_of_servers() -> None:
    all_servers = servers(7)
    shuffled = list(all_servers)
    random.Random(5).shuffle(shuffled)
    for key in KEYS[:50]:
        assert rank_servers(all_servers, key, random.Random(1), 7) == rank_servers(
            shuffled, key, random.Random(2), 7
        )


@given(st.integers(2, 9), st.integers(0, 8), st.sampled_from(KEYS), st.integers(1, 9))
def test_removing_a_server_takes_it_out_of_the_ranking_and_moves_nothing_else(
    count, removed, key, most
) -> None:
    all_servers = servers(count)
    gone = all_servers[removed % count]
    rest = [server for server in all_servers if server is not gone]
    full_ranking = rank_servers(all_servers, key, random.Random(0), count)
    assert (
        rank_servers(rest, key, random.Random(0), most) == [s for s in full_ranking if s is not gone][:most]
    )


def test_each_server_is_first_for_about_an_equal_share_of_keys() -> None:
    all_servers = servers(4)
    firsts = [rank_servers(all_servers, key, random.Random(0), 1)[0] for key in KEYS]
    assert all(70 <= firsts.count(server) <= 130 for server in all_servers)


def test_a_ranking_has_at_most_as_many_servers_as_there_are() -> None:
    assert len(rank_servers(servers(1), None, random.Random(0), 2)) == 1
    assert len(rank_servers(servers(1), "key", random.Random(0), 2)) == 1
    assert len(set(rank_servers(servers(5), None, random.Random(0), 2))) == 2


def test_all_processes_compute_the_same_ranking() -> None:
    """Compare with a fixed ranking: if processes ranked differently, each key would be spread over all servers."""
    ranking = rank_servers(servers(6), "5c1e07a2", random.Random(0), 6)
    assert [server.instance_id for server in ranking] == ["i-2", "i-5", "i-0", "i-4", "i-1", "i-3"]
