from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from iristrack.placement.servers import (
    INITIAL_BACKOFF_NS,
    MAX_BACKOFF_NS,
    REJECTED_BACKOFF_NS,
    Server,
    ServerTable,
)
from tests.placement.samples import listed, servers

NOW = 10**12


def table_with(*entries) -> ServerTable:
    table = ServerTable()
    table.apply_server_list(entries)
    return table


def only(*entries) -> Server:
    return table_with(*entries).servers[entries[0].instance_id]


def backoff(server: Server, now: int) -> int:
    return server.avoid_until - now


def test_the_backoff_doubles_with_each_failure_up_to_a_maximum() -> None:
    server, now, seen = only(listed("i-1")), NOW, []
    for _ in range(20):
        server.failed(now)
        seen.append(backoff(server, now))
        now = server.avoid_until
    assert seen[0] == INITIAL_BACKOFF_NS
    assert all(later == min(MAX_BACKOFF_NS, 2 * earlier) for earlier, later in itertools.pairwise(seen))
    assert seen[-1] == MAX_BACKOFF_NS


def test_a_success_resets_the_backoff() -> None:
    server = only(listed("i-1"))
    for _ in range(5):
        server.failed(NOW)
    server.succeeded(0)
    assert server.usable(NOW)
    server.failed(NOW)
    assert backoff(server, NOW) == INITIAL_BACKOFF_NS


def test_the_backoff_of_a_rejection_never_shortens_that_of_a_failure() -> None:
    server = only(listed("i-1"))
    server.rejected(NOW)
    assert backoff(server, NOW) == REJECTED_BACKOFF_NS
    server.failed(NOW)
    server.rejected(NOW)
    assert backoff(server, NOW) == INITIAL_BACKOFF_NS


def test_usable_means_ready_listed_and_without_backoff() -> None:
    table = table_with(listed("i-1"), listed("i-2", ready=False))
    ready, draining = table.servers["i-1"], table.servers["i-2"]
    assert ready.usable(NOW)
    assert not draining.usable(NOW)
    ready.failed(NOW)
    assert not ready.usable(ready.avoid_until - 1)
    assert ready.usable(ready.avoid_until)
    assert table.apply_server_list([listed("i-2")]) == [ready]
    assert not ready.usable(ready.avoid_until)
    assert table.of_service("pool") == [draining]
    assert draining.usable(NOW)


def test_a_new_list_updates_a_server_and_keeps_its_state() -> None:
    table = table_with(listed("i-1", m=2))
    server = table.servers["i-1"]
    server.began(3)
    table.apply_server_list([listed("i-1", service="other", ready=False, m=1)])
    assert table.servers["i-1"] is server
    assert (server.inflight, server.revisions, server.listed.ready) == (1, {"m": 2}, False)
    assert table.of_service("pool") == []
    assert table.of_service("other") == [server]


@given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 9), st.booleans())))
def test_revisions_never_decrease(reports) -> None:
    table = table_with(listed("i-1", a=3))
    server = table.servers["i-1"]
    for model, revision, by_list in reports:
        before = dict(server.revisions)
        if by_list:
            table.apply_server_list([listed("i-1", **{model: revision})])
        else:
            server.record_revision(model, revision)
        assert server.revisions.get(model, 0) == max(before.get(model, 0), revision)
        assert all(server.revisions.get(name, 0) >= number for name, number in before.items())


def test_only_a_newer_revision_ends_the_busy_mark() -> None:
    server = only(listed("i-1", m=2))
    server.mark_busy(True, NOW)
    server.record_revision("m", 2)
    server.record_revision("m", 1)
    assert server.busy
    assert not server.usable(NOW - 1)
    server.record_revision("m", 3)
    assert not server.busy
    assert server.usable(NOW - 1)


def test_an_answer_to_an_earlier_request_does_not_end_the_busy_mark() -> None:
    server = only(listed("i-1", m=2))
    server.mark_busy(True, NOW)
    server.succeeded(0)
    assert not server.usable(NOW - 1)


def test_the_end_of_the_busy_mark_does_not_end_the_backoff_of_failures() -> None:
    """A server that did not accept its order is no longer reported as busy, although it may have failed."""
    server = only(listed("i-1", m=2))
    server.mark_busy(True, NOW + 1)
    server.failed(NOW)
    server.mark_busy(False, NOW + 1)
    assert not server.usable(NOW + INITIAL_BACKOFF_NS - 1)
    assert server.usable(NOW + INITIAL_BACKOFF_NS)


def test_a_rejection_while_busy_does_not_cause_a_backoff() -> None:
    server = only(listed("i-1", m=2))
    server.mark_busy(True, NOW + 1)
    server.rejected(NOW)
    server.record_revision("m", 3)
    assert server.usable(NOW)


@given(st.lists(st.tuples(st.sampled_from(["begin", "read", "end"]), st.integers(0, 5))))
def test_requests_and_pending_chunks_match_what_was_begun_and_finished(steps) -> None:
    (server,) = servers(1)
    pending: list[int] = []  # of the requests in flight

    def finish_prefill(position: int) -> None:
        server.prefill_finished(pending[position])
        pending[position] = 0

    for step, number in steps:
        if step == "begin":
            server.began(number)
            pending.append(number)
        elif pending and step == "read":
            finish_prefill(number % len(pending))
        elif pending:
            finish_prefill(number % len(pending))
            del pending[number % len(pending)]
            server.ended()
        assert server.inflight == len(pending)
        assert server.pending_chunks == sum(pending)
        assert server.load == len(pending) + sum(pending) >= 0
