from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from iristrack.placement.loads import (
    EXPIRY_NS,
    FULL_REPORT_INTERVAL_NS,
    KEEPALIVE_INTERVAL_NS,
    MAX_INTERVAL_NS,
    MAX_SENDERS,
    LoadAggregator,
    by_instance,
    report_interval,
    subtract_loads,
)
from iristrack.placement.report_stream import ReportStream
from iristrack.wire.messages import ServerLoad, ServerLoads


def report_of(node: str, count: int, **requests: int) -> ServerLoads:
    return ServerLoads(node, count, tuple(ServerLoad(i, n, 2 * n) for i, n in requests.items()))


LOADS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9), st.integers(0, 9)), max_size=5)


@given(st.lists(LOADS, max_size=5))
def test_the_total_counts_every_load_once(rows) -> None:
    aggregator = LoadAggregator()
    requests: Counter[str] = Counter()
    pieces: Counter[str] = Counter()
    for number, loads in enumerate(rows):
        aggregator.apply_report(ServerLoads(f"n{number}", 1, tuple(ServerLoad(*load) for load in loads)), 0)
        for instance, request_count, piece_count in loads:
            requests[instance] += request_count
            pieces[instance] += piece_count
    expected = {i: ServerLoad(i, requests[i], pieces[i]) for i in requests if requests[i] or pieces[i]}
    assert aggregator.total == expected


def test_outcomes_and_load_in_flight_are_both_summed() -> None:
    aggregator = LoadAggregator()
    aggregator.apply_report(ServerLoads("n1", 1, (ServerLoad("a", 1, 2, answered=3, failed=4),)), 0)
    aggregator.apply_report(ServerLoads("n2", 1, (ServerLoad("a", 10, 20, answered=30, failed=40),)), 0)
    assert aggregator.total == {"a": ServerLoad("a", 11, 22, answered=33, failed=44)}


def test_subtracting_a_load_never_goes_below_zero() -> None:
    total, part = ServerLoad("a", 6, 12, 5, 1), ServerLoad("a", 2, 13, 5, 0)
    assert subtract_loads(total, part) == ServerLoad("a", 4, 0, 0, 1)


TABLES = st.dictionaries(st.sampled_from("abcd"), st.tuples(*[st.integers(0, 3)] * 4), max_size=4)


@given(st.lists(st.tuples(st.sampled_from("xyz"), TABLES, st.booleans()), max_size=20))
def test_partial_reports_give_the_same_total_as_full_ones(steps) -> None:
    """Compare with a model that sums each sender's newest table; if `lost`, one report of the sender is dropped."""
    aggregator, streams, newest, now = LoadAggregator(), {}, {}, 0
    for sender, rows, lost in steps:
        now += KEEPALIVE_INTERVAL_NS // 10
        table = by_instance(ServerLoad(i, *row) for i, row in rows.items() if any(row))
        stream = streams.setdefault(sender, ReportStream(sender))
        report = stream.next(table, 1, now)
        if lost:  # as when the connection ends: a full report follows
            stream.force_full_report()
        elif report is not None:
            assert aggregator.apply_report(report, now)
            newest[sender] = table
    assert aggregator.total == by_instance(load for table in newest.values() for load in table.values())


def test_partial_reports_after_a_gap_are_refused_until_a_full_one() -> None:
    aggregator = LoadAggregator()
    part = ServerLoads("n1", 2, (ServerLoad("a", 1, 0),), partial=True)
    assert not aggregator.apply_report(part, 0)  # no earlier report was received
    assert aggregator.apply_report(report_of("n1", 2, a=1), 0)
    assert not aggregator.apply_report(
        ServerLoads("n1", 4, (ServerLoad("b", 1, 0),), partial=True), 0
    )  # report 3 is missing
    assert aggregator.total == {"a": ServerLoad("a", 1, 2)}
    assert aggregator.apply_report(
        ServerLoads("n1", 3, (ServerLoad("a", 0, 0), ServerLoad("b", 1, 0)), partial=True), 0
    )
    assert aggregator.total == {"b": ServerLoad("b", 1, 0)}


def test_a_stream_reports_changes_and_at_intervals_everything() -> None:
    stream = ReportStream("n")
    one, two = ServerLoad("a", 1, 0), ServerLoad("b", 2, 0)
    assert stream.next({"a": one}, 1, 0) == ServerLoads("n", 1, (one,))
    assert stream.next({"a": one}, 1, KEEPALIVE_INTERVAL_NS - 1) is None
    assert stream.next({"a": one, "b": two}, 1, KEEPALIVE_INTERVAL_NS - 1) == ServerLoads(
        "n", 2, (two,), partial=True
    )
    assert stream.next({"b": two}, 1, KEEPALIVE_INTERVAL_NS) == ServerLoads(
        "n", 3, (ServerLoad("a", 0, 0),), partial=True
    )
    assert stream.next({"b": two}, 1, 2 * KEEPALIVE_INTERVAL_NS) == ServerLoads(
        "n", 4, (), partial=True
    )  # keepalive
    assert stream.next({"b": two}, 1, FULL_REPORT_INTERVAL_NS) == ServerLoads("n", 5, (two,))
    stream.force_full_report()
    assert stream.next({"b": two}, 1, FULL_REPORT_INTERVAL_NS + 1) == ServerLoads("n", 6, (two,))


def test_the_interval_grows_with_the_fleet_but_stays_below_the_expiry() -> None:
    intervals = [report_interval(sidecars) for sidecars in (0, 6, 67, 370, 100_000)]
    assert intervals == sorted(intervals)
    assert intervals[0] == intervals[1]
    assert intervals[-1] == MAX_INTERVAL_NS < EXPIRY_NS - KEEPALIVE_INTERVAL_NS


def test_only_a_newer_report_replaces_an_older_one() -> None:
    aggregator = LoadAggregator()
    assert aggregator.apply_report(report_of("n1", 5, a=1), 0)
    assert not aggregator.apply_report(report_of("n1", 4, a=9), 1)
    assert not aggregator.apply_report(report_of("n1", 5, a=9), 1)
    assert aggregator.apply_report(report_of("n1", 6, b=1), 1)
    assert aggregator.total == {"b": ServerLoad("b", 1, 2)}


def test_a_restarted_sender_is_accepted_after_its_old_reports_have_expired() -> None:
    aggregator = LoadAggregator()
    aggregator.apply_report(report_of("n1", 50, a=1), 0)
    assert not aggregator.apply_report(report_of("n1", 1, a=2), EXPIRY_NS - 1)
    assert aggregator.apply_report(report_of("n1", 1, a=2), EXPIRY_NS)


def test_a_sender_without_recent_reports_is_dropped() -> None:
    aggregator = LoadAggregator()
    aggregator.apply_report(report_of("n1", 1, a=1), 0)
    aggregator.apply_report(report_of("n2", 1, a=1), 1)
    aggregator.expire(EXPIRY_NS - 1)
    assert aggregator.senders() == ["n1", "n2"]
    aggregator.expire(EXPIRY_NS)
    assert aggregator.senders() == ["n2"]
    assert aggregator.total == {"a": ServerLoad("a", 1, 2)}


def test_the_number_of_senders_is_limited() -> None:
    aggregator = LoadAggregator()
    for number in range(MAX_SENDERS):
        assert aggregator.apply_report(report_of(f"n{number}", 1, a=1), 0)
    assert not aggregator.apply_report(report_of("one more", 1, a=1), 0)
    assert aggregator.apply_report(report_of("n0", 2, a=1), 0)
    assert len(aggregator.senders()) == MAX_SENDERS
