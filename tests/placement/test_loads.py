from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from iristrack.placement.loads import EXPIRY_NS, MOST_SENDERS, LoadBoard, sum_loads
from iristrack.wire.messages import ServerLoad, ServerLoads


def told(node: str, count: int, **requests: int) -> ServerLoads:
    return ServerLoads(node, count, tuple(ServerLoad(i, n, 2 * n) for i, n in requests.items()))


LOADS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9), st.integers(0, 9)), max_size=5)


@given(st.lists(LOADS, max_size=5))
def test_the_sum_holds_every_load_once(rows) -> None:
    senders = [
        ServerLoads(f"n{number}", 1, tuple(ServerLoad(*load) for load in loads))
        for number, loads in enumerate(rows)
    ]
    requests: Counter[str] = Counter()
    pieces: Counter[str] = Counter()
    for instance, request_count, piece_count in (load for loads in rows for load in loads):
        requests[instance] += request_count
        pieces[instance] += piece_count
    assert sum_loads(senders) == {i: ServerLoad(i, requests[i], pieces[i]) for i in requests}


def test_the_total_leaves_one_sender_out() -> None:
    board = LoadBoard()
    board.take(told("n1", 1, a=1, b=2), 0)
    board.take(told("n2", 1, b=4), 0)
    assert board.total() == {"a": ServerLoad("a", 1, 2), "b": ServerLoad("b", 6, 12)}
    assert board.total(without="n1") == {"b": ServerLoad("b", 4, 8)}


def test_a_newer_report_takes_the_place_of_the_older_and_not_the_other_way_round() -> None:
    board = LoadBoard()
    assert board.take(told("n1", 5, a=1), 0)
    assert not board.take(told("n1", 4, a=9), 1)
    assert not board.take(told("n1", 5, a=9), 1)
    assert board.take(told("n1", 6, b=1), 1)
    assert board.total() == {"b": ServerLoad("b", 1, 2)}


def test_a_sender_that_counts_anew_is_believed_once_its_old_reports_have_lapsed() -> None:
    board = LoadBoard()
    board.take(told("n1", 50, a=1), 0)
    assert not board.take(told("n1", 1, a=2), EXPIRY_NS - 1)
    assert board.take(told("n1", 1, a=2), EXPIRY_NS)


def test_who_falls_silent_counts_for_nothing() -> None:
    board = LoadBoard()
    board.take(told("n1", 1, a=1), 0)
    board.take(told("n2", 1, a=1), 1)
    board.expire(EXPIRY_NS - 1)
    assert board.senders() == ["n1", "n2"]
    board.expire(EXPIRY_NS)
    assert board.senders() == ["n2"]
    assert board.total() == {"a": ServerLoad("a", 1, 2)}


def test_senders_are_bounded() -> None:
    board = LoadBoard()
    for number in range(MOST_SENDERS):
        assert board.take(told(f"n{number}", 1, a=1), 0)
    assert not board.take(told("one more", 1, a=1), 0)
    assert board.take(told("n0", 2, a=1), 0)
    assert len(board.senders()) == MOST_SENDERS
