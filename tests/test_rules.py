"""The four rules, tested on the balancer alone."""

from __future__ import annotations

from dataclasses import replace

import pytest
from driver import MS, Host, classes, settings

from iristrack.balance import MAX_CLASSES
from iristrack.interface import (
    NS_PER_S,
    AttemptEnded,
    AttemptStarted,
    Cancel,
    ClientGone,
    Contract,
    Fail,
    Group,
    Limits,
    ListKind,
    Outcome,
    Reject,
    Repeat,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Subscribe,
    TimerFired,
)

FAILURES = [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT]
NEVER = [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT]


# ---- one final answer


@pytest.mark.parametrize("name", ["read", "book", "move", "unheard-of"])
def test_a_time_out_gets_one_answer_and_no_further_attempt(name: str) -> None:
    host = Host()
    request = host.ask(name, give_up=400 * MS)
    send = host.sends(request)[0]
    assert 0 < send.timeout_ns <= 400 * MS
    host.wait(send.timeout_ns)
    host.end_all(request, Outcome.TIMEOUT)
    assert len(host.answers(request)) == 1
    count = len(host.sends(request))
    host.end(request, Outcome.OK, 0)  # a late second answer
    host.wait(2 * NS_PER_S)
    assert len(host.answers(request)) == 1
    assert len(host.sends(request)) == count


def test_no_ready_server_is_answered_in_time() -> None:
    host = Host(servers=0)
    request = host.ask(give_up=300 * MS)
    host.wait(300 * MS)
    assert [type(a) for a in host.answers(request)] == [Reject]
    assert not host.sends(request)


def test_queued_requests_are_answered_before_the_client_gives_up() -> None:
    host = Host(servers=2)
    requests = [host.ask("book", f"k{i}", give_up=350 * MS) for i in range(40)]
    host.wait(350 * MS)
    queued = [r for r in requests if r not in host.attempts]
    assert len(queued) > 20
    assert all(len(host.answers(r)) == 1 for r in queued)


def test_a_request_with_no_time_left_is_rejected_at_once() -> None:
    host = Host()
    request = host.ask(give_up=MS)
    assert [type(a) for a in host.answers(request)] == [Reject]


def test_a_request_out_of_attempts_gets_one_answer() -> None:
    host = Host(settings(limits=Limits(max_attempts=3)))
    request = host.ask("book")
    for attempt in range(3):
        host.end(request, Outcome.CONNECT_FAILED, attempt)
    assert len(host.attempts[request]) == 3
    assert [type(a) for a in host.answers(request)] == [Reject]


def test_a_client_that_left_gets_no_answer() -> None:
    host = Host()
    request = host.ask()
    host.deliver(ClientGone(request))
    host.end(request, Outcome.ERROR, 0, final=True)
    host.wait(NS_PER_S)
    assert not host.answers(request)
    assert len(host.sends(request)) == 1


def test_unexpected_events_are_ignored() -> None:
    host = Host()
    request = host.ask()
    before = len(host.log)
    host.deliver(AttemptEnded("nobody", 0, "s1", Outcome.OK, True))
    host.deliver(AttemptEnded(request, 9, "s1", Outcome.OK, True))
    host.deliver(ClientGone("nobody"))
    host.deliver(TimerFired(99))
    host.deliver(Request(request, "read", host.now + NS_PER_S, "k"))  # the id of an open request
    assert len(host.log) == before
    host.end(request)
    host.end(request)
    assert not host.answers(request)


# ---- no duplicate effects


@pytest.mark.parametrize("outcome", FAILURES)
def test_an_unsafe_request_that_may_have_run_is_neither_repeated_nor_rejected(outcome: Outcome) -> None:
    host = Host()
    request = host.ask("book")
    host.end(request, outcome)
    assert len(host.attempts[request]) == 1
    assert [type(a) for a in host.answers(request)] == [Fail]


@pytest.mark.parametrize("outcome", NEVER)
def test_an_unsafe_request_that_never_ran_is_sent_to_another_server(outcome: Outcome) -> None:
    host = Host()
    request = host.ask("book")
    host.end(request, outcome)
    assert len(set(host.attempts[request])) == 2


def test_an_unknown_class_is_never_repeated() -> None:
    host = Host()
    request = host.ask("unheard-of", tenant="nobody-known")
    host.end(request, Outcome.ERROR)
    assert len(host.attempts[request]) == 1
    assert [type(a) for a in host.answers(request)] == [Fail]


@pytest.mark.parametrize("group", list(Group))
def test_a_keyed_request_stays_in_its_group(group: Group) -> None:
    host = Host(settings(classes=classes(group=group)), servers=12)
    places = {f"s{i}": {Group.ALL: 0, Group.ZONE: f"z{i % 2}", Group.CELL: i % 3}[group] for i in range(12)}
    repeats = 0
    for i in range(30):
        request = host.ask("move", f"k{i}")
        host.end(request, Outcome.ERROR)
        sent = host.attempts[request]
        repeats += len(sent) > 1
        assert len({places[s] for s in sent}) == 1
        if len(sent) > 1:
            host.end(request)
        else:
            assert [type(a) for a in host.answers(request)] == [Reject if group is Group.ALL else Fail]
        host.wait(NS_PER_S)
    assert repeats > 3


def test_a_keyed_request_is_not_repeated_after_its_key_expires() -> None:
    move = replace(classes()[2], aim_ns=1900 * MS, memory_ns=100 * MS)
    host = Host(settings(classes=(move,)))
    request = host.ask("move")
    host.wait(100 * MS)
    host.end(request, Outcome.ERROR)
    assert len(host.attempts[request]) == 1
    assert [type(a) for a in host.answers(request)] == [Fail]


def test_no_second_attempt_while_one_is_in_flight() -> None:
    host = Host()
    host.serve(60)
    request = host.ask("read")
    host.wait(390 * MS)
    assert len(host.attempts[request]) == 1
    host.end(request, Outcome.RESET)
    assert len(host.attempts[request]) == 1  # too late for a retry


# ---- drains


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_nothing_new_goes_to_a_draining_or_gone_server(state: ServerState) -> None:
    host = Host(servers=3)
    host.deliver(ServerList(ListKind.DELTA, (ServerEntry("s1", state, "z1", 1),)))
    for i in range(60):
        request = host.ask(key=f"k{i}")
        assert host.attempts[request] != ["s1"]
        host.end(request)


def test_a_server_missing_from_a_full_list_is_gone_but_not_from_a_delta() -> None:
    host = Host(servers=3)
    host.deliver(ServerList(ListKind.DELTA, (Host.entry(0),)))
    host.serve(30)
    assert {s.server for s in host.sends()} == {"s0", "s1", "s2"}
    count = len(host.sends())
    host.deliver(ServerList(ListKind.FULL, (Host.entry(0),)))
    host.serve(30)
    assert {s.server for s in host.sends()[count:]} == {"s0"}


def test_a_retry_does_not_go_to_a_server_that_started_to_drain() -> None:
    host = Host(servers=2)
    request = host.ask()
    other = ({"s0", "s1"} - set(host.attempts[request])).pop()
    host.deliver(ServerList(ListKind.DELTA, (ServerEntry(other, ServerState.DRAINING),)))
    host.end(request, Outcome.ERROR)
    assert len(host.attempts[request]) == 1


def test_the_balancer_subscribes_if_needed_and_again_after_a_failure() -> None:
    host = Host(settings(ask_for_list=True), servers=0)
    first = host.deliver(ServerList(ListKind.CACHED, (Host.entry(0),)))
    assert Subscribe(True) in first
    host.deliver(ServerList(ListKind.FAILED))
    assert Subscribe(True) in host.wait(3 * NS_PER_S)
    assert host.attempts[host.ask()] == ["s0"]


def test_sidecars_whose_calls_failed_together_resubscribe_at_random_times() -> None:
    delays = set()
    for seed in range(8):
        host = Host(settings(ask_for_list=True), seed=seed, servers=0)
        asked = host.deliver(ServerList(ListKind.FAILED))
        delays |= {action.delay_ns // (50 * MS) for action in asked if isinstance(action, SetTimer)}
    assert len(delays) >= 4 and 10 <= min(delays) <= max(delays) < 30


def test_the_balancer_does_not_subscribe_to_a_pushed_list() -> None:
    host = Host()
    host.deliver(ServerList(ListKind.FAILED))
    host.wait(5 * NS_PER_S)
    assert not [a for _, a in host.log if isinstance(a, Subscribe)]


# ---- cold servers


def sends_to_cold(
    gaps_ms: list[int], cold: list[int], servers: int = 6
) -> tuple[list[tuple[int, int]], float]:
    """Run balancers with uneven traffic, then restart some servers; return the sends to those and the warm rate.

    A cold server answers in order, and no faster than the contract promises at its age.
    """
    hosts = [Host(servers=servers) for _ in gaps_ms]
    for host, gap in zip(hosts, gaps_ms, strict=True):
        host.serve(8000 // gap, gap=gap * MS)
    started = max(h.now for h in hosts)
    warm_rate = sum(1000 / g for g in gaps_ms) / servers
    contract = hosts[0].settings.contract
    queues: list[list[tuple[int, Host, Send]]] = [[] for _ in range(servers)]
    done = [0.0] * servers
    sent = []
    for host in hosts:
        host.wait(started - host.now)
        host.list([Host.entry(i, started_ns=started if i in cold else 0) for i in range(servers)])
    seen = [len(host.log) for host in hosts]
    for age in range(0, 12000, 5):
        now = started + age * MS
        for n, (host, gap) in enumerate(zip(hosts, gaps_ms, strict=True)):
            host.wait(now - host.now)
            if age % gap == 0:
                host.ask(key=f"warm-{age // gap % 50}")
            fresh, seen[n] = host.log[seen[n] :], len(host.log)
            for at, action in fresh:
                if isinstance(action, Send):
                    queues[int(action.server[1:])].append((at, host, action))
                    sent += [(at - started, i) for i in cold if action.server == f"s{i}"]
        for i, queue in enumerate(queues):
            share = contract.cold_share + (1 - contract.cold_share) * age * MS / contract.cold_ns
            done[i] = min(done[i] + share * warm_rate / 200, 1.0 if i in cold else 1e9)
            for late in [x for x in queue if now >= x[0] + x[2].timeout_ns]:
                queue.remove(late)
                late[1].end(late[2].id, Outcome.TIMEOUT)
            while queue and (i not in cold or done[i] >= 1):
                done[i] -= 1
                _, host, send = queue.pop(0)
                host.end(send.id)
    return sorted(sent), warm_rate


@pytest.mark.parametrize("cold", [[2], [1, 4], [0, 1, 2, 3, 4], [0, 1, 2, 3, 4, 5]])
@pytest.mark.parametrize("gaps_ms", [[20, 20], [5, 50, 200, 200]])
def test_all_balancers_together_keep_a_cold_server_within_its_budget(
    gaps_ms: list[int], cold: list[int]
) -> None:
    sent, warm_rate = sends_to_cold(gaps_ms, cold)
    contract = Host().settings.contract
    window = contract.fall_ns
    for server in cold:
        times = [t for t, s in sent if s == server]
        assert times  # it gets some requests
        for start in times:
            share = contract.cold_share + (1 - contract.cold_share) * start / contract.cold_ns
            arrived = sum(1 for t in times if start <= t < start + window)
            # A warm server can take at least the warm rate, so this is within the contract's factor.
            assert arrived <= contract.overload_factor * share * warm_rate * window / NS_PER_S


def test_very_many_balancers_do_not_each_send_a_cold_server_its_first_request_at_once() -> None:
    # Each balancer sends two requests per second to four servers; then one server restarts.
    sent = 0
    for seed in range(200):
        host = Host(settings(balancers=200), seed=seed, servers=4)
        for i in range(26):
            if i == 20:
                host.list([Host.entry(0, started_ns=host.now)], ListKind.DELTA)
                before = len(host.log)
            request = host.ask(key=f"{seed}-{i}")
            host.wait(50 * MS)
            host.end_all(request, Outcome.OK)
            host.wait(450 * MS)
        sent += sum(isinstance(a, Send) and a.server == "s0" for _, a in host.log[before:])
    contract = settings().contract
    able = 200 * 2 / 4 * 3 * (contract.cold_share + (1 - contract.cold_share) * 3 / 20)
    assert able / 10 < sent < able * contract.overload_factor / 2


def test_a_server_that_started_long_ago_is_not_limited() -> None:
    host = Host(servers=2)
    host.list([Host.entry(0), Host.entry(1, started_ns=host.now - 60 * NS_PER_S)])
    host.serve(60)
    assert sum(s.server == "s1" for s in host.sends()) > 15


def test_a_fleet_of_cold_servers_still_serves() -> None:
    host = Host(settings(contract=Contract(cold_share=0.25, cold_ns=20 * NS_PER_S)), servers=0)
    host.list([Host.entry(i, started_ns=host.now) for i in range(4)])
    host.serve(200)
    assert {s.server for s in host.sends()} == {"s0", "s1", "s2", "s3"}


def test_a_started_stream_gets_no_further_action() -> None:
    stream = RequestClass("feed", 400 * MS, 2000 * MS, repeat=Repeat.SAFE, stream=True)
    host = Host(settings(classes=(stream,)))
    for _ in range(100):
        host.end(host.ask("feed", "warm"))
        host.wait(20 * MS)
    request = host.ask("feed", "k")
    host.wait(300 * MS)
    assert host.deliver(AttemptStarted(request, 0, host.attempts[request][0], 50 * MS)) == []
    host.wait(5 * NS_PER_S)  # past every deadline: nothing is sent, answered or cancelled
    assert len(host.attempts[request]) == 1
    assert not [a for _, a in host.log if isinstance(a, Cancel)]
    assert not host.answers(request)
    host.end(request, Outcome.RESET, 0, final=True)
    assert not host.answers(request)
    assert request not in host.balancer.requests


def test_a_start_in_the_future_without_a_cold_time_is_harmless() -> None:
    host = Host(settings(contract=Contract(cold_ns=0)), servers=0)
    host.list([Host.entry(0, started_ns=host.now + NS_PER_S)])
    assert host.ask() in host.attempts


def test_a_stream_event_for_no_attempt_is_ignored() -> None:
    host = Host()
    request = host.ask()
    assert host.deliver(AttemptStarted(request, -1, "s0")) == []
    assert not host.balancer.requests[request].streaming


def test_a_clock_that_stands_still_is_harmless() -> None:
    host = Host()
    for i in range(60):
        host.end(host.ask("read", f"k{i}"))
    host.ask("read", "k")
    host.deliver(TimerFired(host.timers[0][1]))
    assert host.attempts[host.ask("read", "k")]


def test_unknown_classes_do_not_fill_the_memory() -> None:
    host = Host()
    for i in range(500):
        host.end_all(host.ask(f"unheard-of-{i}"), Outcome.OK)
    assert len(host.balancer.classes) <= MAX_CLASSES
    assert not host.balancer.requests
