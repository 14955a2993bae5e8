"""Failure modes: each test fails without the code that handles its failure."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from driver import MS, Host, classes, settings

from iristrack.interface import (
    NS_PER_S,
    ClientGone,
    CloseIdle,
    Group,
    Limits,
    Log,
    Outcome,
    Prices,
    Reject,
    Send,
    Tenant,
)


def drive(host: Host, requests: int, bad: set[str], outcome: Outcome, name: str = "read") -> list[str]:
    """Run traffic in which `bad` servers fail every attempt; return the server of each first attempt."""
    firsts = []
    for i in range(requests):
        request = host.ask(name, f"k{i % 40}")
        done = 0
        while request in host.attempts and done < len(host.attempts[request]):
            server = host.attempts[request][done]
            host.end(request, outcome if server in bad else Outcome.OK, done)
            done += 1
        if request in host.attempts:
            firsts.append(host.attempts[request][0])
        host.wait(10 * MS)
    return firsts


def test_a_server_that_fails_fast_does_not_attract_its_keys() -> None:
    firsts = drive(Host(), 200, {"s1"}, Outcome.ERROR)
    assert firsts.count("s1") < 12


def test_a_failed_attempt_counts_as_in_flight_for_a_while() -> None:
    host = Host()
    request = host.ask("book", key="a")
    first = host.attempts[request][0]
    host.end(request, Outcome.ERROR)
    assert host.attempts[host.ask("book", key="a")] != [first]


def test_an_ejected_server_returns_after_successful_trials() -> None:
    host = Host()
    drive(host, 100, {"s1"}, Outcome.ERROR)
    assert drive(host, 60, {"s1"}, Outcome.ERROR, "book").count("s1") <= 2
    host.wait(10 * NS_PER_S)
    firsts = drive(host, 300, set(), Outcome.OK)
    assert firsts[-100:].count("s1") > 5
    lines = [a.text for _, a in host.log if isinstance(a, Log)]
    assert "server s1 ejected: errors of read" in lines
    assert "server s1 returned for read" in lines


def test_a_server_that_fails_one_class_goes_on_serving_another() -> None:
    # Half of the servers failed one class. Ejected for all classes, they left the other class to the rest.
    host = Host()
    drive(host, 1000, {"s1"}, Outcome.ERROR)
    assert drive(host, 40, {"s1"}, Outcome.ERROR).count("s1") <= 2
    assert drive(host, 40, set(), Outcome.OK, "move").count("s1") > 5


def test_a_server_that_rejects_one_class_still_gets_another() -> None:
    # Six servers rejected one class whatever their load, and their limits fell to 0.1 for both classes.
    host = Host()
    drive(host, 1000, {"s1"}, Outcome.REJECTED)
    limiter = host.balancer.servers["s1"].limiter
    assert limiter.limit >= 1
    assert drive(host, 40, {"s1"}, Outcome.REJECTED).count("s1") <= 2
    assert drive(host, 40, set(), Outcome.OK, "move").count("s1") > 5


def test_errors_at_all_servers_alike_eject_none() -> None:
    # One in ten answers breaks off at every server: ejections would only overload the remaining ones.
    host = Host(servers=6)
    chance = Random(3)
    for i in range(1500):
        request = host.ask("read", f"k{i % 40}")
        for _ in range(len(host.attempts)):
            if request not in host.attempts or host.answers(request):
                break
            ok = chance.random() > 0.1
            host.end(request, Outcome.OK if ok else Outcome.RESET)
            if ok:
                break
        host.wait(10 * MS)
    assert sum(isinstance(a, Log) and "ejected" in a.text for _, a in host.log) <= 2


@pytest.mark.parametrize("lost", [0.0, 0.06])
def test_a_lost_attempt_times_out_early_enough_for_a_retry(lost: float) -> None:
    # Connections went silent at all servers alike, and each such request waited until its client left.
    host = Host(servers=6)
    chance = Random(3)
    due: list[tuple[int, Send]] = []
    for i in range(800):
        request = host.ask("read", f"k{i % 40}", give_up=600 * MS)
        if request in host.attempts:
            if chance.random() >= lost:
                host.wait(10 * MS)
                host.end(request)
            else:
                send = host.sends(request)[-1]
                due.append((host.now + send.timeout_ns, send))
        host.wait(5 * MS)
        while due and due[0][0] <= host.now:
            _, send = due.pop(0)
            host.end(send.id, Outcome.TIMEOUT, 0)
            if len(host.attempts[send.id]) > 1:
                host.end(send.id)
    waits = [a.timeout_ns for a in host.sends()[-100:]]
    assert all((wait < 300 * MS) is (lost > 0) for wait in waits)
    again = [r for r, sent in host.attempts.items() if len(sent) > 1]
    assert bool(again) is (lost > 0)


@pytest.mark.parametrize(("name", "tries"), [("move", 2), ("read", 2), ("book", 1)])
def test_a_keyed_request_is_retried_once_at_its_groups_only_server(name: str, tries: int) -> None:
    # The connection broke and the group had no other server: the request failed with half a second left.
    host = Host(settings(classes=classes(group=Group.ZONE)), servers=2)  # one in each zone
    request = host.ask(name)
    host.end(request, Outcome.RESET)
    if len(host.attempts[request]) > 1:
        host.end(request, Outcome.RESET)
    sent = host.attempts[request]
    assert len(sent) == tries
    assert (len(set(sent)) == 1) is (
        name != "read"
    )  # a safe request goes to another server, an unsafe one to none


def test_one_broken_connection_does_not_eject_a_server_that_answers() -> None:
    host = Host()
    host.serve(50)
    request = host.ask("move")
    server = host.attempts[request][0]
    host.end(request, Outcome.CONNECT_FAILED)
    assert not host.balancer.servers[server].ejected
    host.end(request)
    again = host.ask("move")
    assert host.attempts[again] == [server]
    host.end(again, Outcome.CONNECT_FAILED)
    assert host.balancer.servers[server].ejected


def test_ejections_on_suspicion_spare_half_of_the_servers() -> None:
    host = Host(servers=6)
    drive(host, 300, {f"s{i}" for i in range(6)}, Outcome.ERROR)
    ejected = {a.text.split()[1] for _, a in host.log if isinstance(a, Log) and "ejected" in a.text}
    assert 1 <= len(ejected) <= 3


def test_unreachable_servers_are_ejected_however_many_are_still_listed() -> None:
    host = Host(servers=6)
    dead = {"s0", "s1", "s2", "s3"}
    firsts = drive(host, 200, dead, Outcome.CONNECT_FAILED)
    assert sum(f in dead for f in firsts[100:]) < 15
    assert len(firsts) == 200


def test_a_hung_server_is_ejected_before_its_attempts_time_out() -> None:
    host = Host()
    hung: list[str] = []
    answered: list[str] = []
    for i in range(400):
        request = host.ask("book", f"k{i % 40}")
        if i > 200 and host.attempts.get(request) == ["s1"]:
            hung.append(request)
        elif request in host.attempts:
            answered.append(request)
        host.wait(5 * MS)
        while len(answered) > (0 if i == 200 else 14):
            host.end(answered.pop(0))
        if "server s1 ejected: silence" in [a.text for _, a in host.log if isinstance(a, Log)]:
            break
    else:
        raise AssertionError("the server was never ejected")
    first = min(t for t, a in host.log if getattr(a, "id", "") == hung[0])
    assert host.now - first < 390 * MS  # when the first of them would time out


def test_slowness_of_the_whole_fleet_ejects_no_server() -> None:
    host = Host(servers=6)
    for i in range(300):
        host.ask("book", f"k{i}")
        host.wait(20 * MS)
        late = [a for t, a in host.log if isinstance(a, Send) and host.now - t > 390 * MS]
        for send in late:
            host.end(send.id, Outcome.TIMEOUT, 0)
    assert host.balancer.overdue_share > 0.3
    assert not [a for _, a in host.log if isinstance(a, Log) and "ejected" in a.text]


def test_retries_stay_few_when_all_servers_fail() -> None:
    host = Host(servers=12)
    drive(host, 400, {f"s{i}" for i in range(12)}, Outcome.ERROR)
    first_tries = len({s.id for s in host.sends()})
    assert len(host.sends()) - first_tries <= 0.1 * 400 + 10


def test_overload_lowers_the_limit_and_queues_requests() -> None:
    host = Host(servers=2)
    for _ in range(6):
        pending = [host.ask("read", f"k{i}") for i in range(10)]
        host.wait(380 * MS)
        for request in pending:
            host.end_all(request, Outcome.TIMEOUT)
        host.wait(NS_PER_S)
    pending = [host.ask("read", f"k{i}") for i in range(10)]
    assert sum(r in host.attempts for r in pending) <= 2


def test_the_highest_worth_leaves_the_queue_first() -> None:
    host = Host(servers=1)
    running = [host.ask("read", "a") for _ in range(3)]
    cheap, high_worth = host.ask("read", "a"), host.ask("book", "a")
    assert cheap not in host.attempts
    assert high_worth not in host.attempts
    host.end(running[0])
    host.end(running[1])
    sent = [s.id for s in host.sends()]
    assert sent.index(high_worth) < sent.index(cheap)


def test_overload_does_not_scatter_keys_over_other_servers() -> None:
    host = Host(servers=6)
    for i in range(60):
        host.ask("read", f"k{i}")
    before = len(host.sends())
    for i in range(60):
        host.ask("read", f"k{i}")
    assert len(host.sends()) - before <= 3  # those keys wait for their own pair


def test_an_early_time_out_of_a_late_attempt_does_not_raise_the_limit() -> None:
    host = Host(servers=1)
    for i in range(30):
        request = host.ask("read", f"k{i}", give_up=260 * MS)
        host.wait(260 * MS)
        if request in host.attempts:
            host.end(request, Outcome.TIMEOUT)
        host.wait(600 * MS)
    pending = [host.ask("read", f"k{i}") for i in range(6)]
    assert sum(r in host.attempts for r in pending) <= 1


def test_a_timed_out_attempt_counts_as_in_flight_for_a_while() -> None:
    host = Host(servers=1)
    running = [host.ask("read", "a") for _ in range(3)]
    host.wait(390 * MS)
    for request in running:
        host.end(request, Outcome.TIMEOUT)
    request = host.ask("read", "a")
    assert request not in host.attempts
    host.wait(500 * MS)
    assert host.ask("read", "a") in host.attempts


def test_a_client_retry_past_the_aim_of_its_first_try_is_rejected() -> None:
    host = Host(settings(marks_retries=True, limits=Limits(retry_after=True, max_retry_after_ns=NS_PER_S)))
    first = host.ask("read", "a")
    host.wait(395 * MS)
    host.end_all(first, Outcome.TIMEOUT)
    again = host.ask("read", "a", retry=True)
    assert host.answers(again) == [Reject(again, NS_PER_S)]
    assert host.ask("read", "a") in host.attempts


def test_a_retry_without_a_key_matches_no_first_try() -> None:
    host = Host(settings(marks_retries=True))
    first = host.ask("read", None)
    host.wait(395 * MS)
    host.end_all(first, Outcome.TIMEOUT)
    assert host.ask("read", None, retry=True) in host.attempts


def overload(host: Host, rounds: int) -> None:
    """Run rounds of requests that a server answers too late."""
    for _ in range(rounds):
        pending = [host.ask("read", f"k{i}") for i in range(4)]
        host.wait(395 * MS)
        for request in pending:
            host.end_all(request, Outcome.TIMEOUT)


def test_requests_to_a_server_that_stays_late_are_spaced() -> None:
    host = Host(servers=1)
    overload(host, 12)
    before = len(host.sends())
    overload(host, 40)
    assert 1 <= len(host.sends()) - before <= 10


def test_a_small_limit_grows_back_faster_than_a_large_one() -> None:
    small, big = Host(servers=1), Host(servers=1)
    small.balancer.servers["s0"].limiter.limit, big.balancer.servers["s0"].limiter.limit = 1.0, 12.0
    for host, out in ((small, 1), (big, 12)):
        running = [host.ask("read", "k") for _ in range(out)]
        host.wait(20 * MS)
        for request in running:
            host.end(request)
    assert (
        small.balancer.servers["s0"].limiter.limit - 1.0
        > 4 * (big.balancer.servers["s0"].limiter.limit - 12.0) / 12
    )


def test_the_first_answers_set_the_uncrowded_latency() -> None:
    host = Host(servers=1)
    for _ in range(16):
        request = host.ask("read", "k")
        host.wait(40 * MS)
        host.end(request)
    limit = host.balancer.servers["s0"].limiter.limit
    request = host.ask("read", "k")
    host.wait(120 * MS)  # well within the aim, but three times the uncrowded latency
    host.end_all(request, Outcome.OK)
    assert host.balancer.servers["s0"].limiter.limit < limit


def test_backend_latency_does_not_hide_overload() -> None:
    host = Host(settings(classes=(replace(classes()[0], aim_ns=600 * MS),)), servers=1)
    for i in range(16):
        request = host.ask("read", "k")
        host.wait((140 + 40 * (i % 2)) * MS)  # 140 ms of it are calls to backends
        host.end(request)
    limit = host.balancer.servers["s0"].limiter.limit
    request = host.ask("read", "k")
    host.wait(240 * MS)  # 1.5 times the usual latency, but 5 times the work
    host.end_all(request, Outcome.OK)
    assert host.balancer.servers["s0"].limiter.limit < limit


def stream(host: Host, seconds: int, gap: int, latency: int) -> list[str]:
    """Run a steady stream of requests, answered after 0.5 and 1.5 times `latency` in turn."""
    seen = len(host.log)
    running: list[tuple[int, str]] = []
    asked: list[str] = []
    step = min(gap, 10 * MS)
    until = host.now + seconds * NS_PER_S
    while host.now < until or running:
        if host.now < until and (until - host.now) % gap == 0:
            asked.append(host.ask("read", f"warm-{len(asked) % 50}"))
        host.wait(step)
        while running and running[0][0] <= host.now:
            host.end_all(running.pop(0)[1], Outcome.OK)
        sent = [(at, a.id) for at, a in host.log[seen:] if isinstance(a, Send)]
        running += [(at + latency // 2 + int(name[1:]) % 2 * latency, name) for at, name in sent]
        running.sort()
        seen = len(host.log)
    return asked


def served_share(host: Host, requests: list[str]) -> float:
    return sum(r in host.attempts for r in requests) / len(requests)


def test_a_fleet_that_is_slow_without_more_in_flight_is_not_overloaded() -> None:
    host = Host(servers=4)
    stream(host, seconds=10, gap=20 * MS, latency=40 * MS)
    asked = stream(host, seconds=8, gap=20 * MS, latency=120 * MS)
    assert served_share(host, asked[-100:]) > 0.9


def test_a_fleet_that_is_slow_with_more_in_flight_is_overloaded() -> None:
    host = Host(servers=4)
    stream(host, seconds=10, gap=20 * MS, latency=40 * MS)
    asked = stream(host, seconds=8, gap=5 * MS, latency=160 * MS)
    assert served_share(host, asked[-400:]) < 0.5


def assert_sent_first(host: Host, running: list[str], first: str, second: str) -> None:
    """Check that `first` is sent once the running requests end, and `second` only after it."""
    for request in running:
        host.end(request)
    sent = [s.id for s in host.sends()]
    assert first in sent
    assert second not in sent or sent.index(first) < sent.index(second)


def test_a_tenant_beyond_its_share_waits_behind_the_others() -> None:
    tenants = (Tenant("loud", share=0.5), Tenant("meek", share=0.5))
    host = Host(settings(tenants=tenants, over_share_worth=0.2), servers=1)
    for _ in range(40):
        request = host.ask("read", "k", tenant="loud")
        host.wait(20 * MS)
        if request in host.attempts:
            host.end(request)
    running = [host.ask("read", "k", tenant="loud") for _ in range(30)]
    running = [r for r in running if r in host.attempts and not host.answers(r)]
    loud, meek = host.ask("read", "k", tenant="loud"), host.ask("read", "k", tenant="meek")
    assert meek not in host.attempts
    assert_sent_first(host, running, meek, loud)


def test_equal_worth_for_less_work_is_sent_first() -> None:
    cheap, costly = classes()[0], replace(classes()[0], name="dear")
    host = Host(settings(classes=(cheap, costly)), servers=1)
    for _ in range(40):
        for name, latency_ms in (("read", 20), ("dear", 160)):
            request = host.ask(name, "k")
            host.wait(latency_ms * MS)
            host.end(request)
    running = [host.ask("read", "k")]
    while running[-1] in host.attempts:
        running.append(host.ask("read", "k"))
    host.deliver(ClientGone(running.pop()))  # the server is full, and no request is queued
    second, first = host.ask("dear", "k"), host.ask("read", "k")
    assert second not in host.attempts
    assert_sent_first(host, running, first, second)


def test_failed_connects_eject_listed_servers_however_many() -> None:
    host = Host(servers=6)
    dead = {"s0", "s1", "s2", "s3", "s4"}
    drive(host, 300, dead, Outcome.CONNECT_FAILED)
    lines = [a.text for _, a in host.log if isinstance(a, Log)]
    assert {f"server {s} ejected: no connection" for s in dead} <= set(lines)


def test_keys_wait_for_their_pair_while_others_are_not_half_empty() -> None:
    host = Host(servers=6)
    for name, server in host.balancer.servers.items():
        server.limiter.limit = 4.0
        server.add_inflight(3 if name not in ("s0", "s1") else 4)
    keys = [f"k{i}" for i in range(200)]
    pairs = {k: {s.id for s in host.balancer._ranking(k, 0)[:2]} for k in keys}
    full = next(k for k in keys if pairs[k] == {"s0", "s1"})
    request = host.ask("read", full)
    assert request not in host.attempts  # three of four in flight is above half of the limit
    host.balancer.servers["s2"].add_inflight(-2)
    assert host.attempts[host.ask("read", full)] == ["s2"]


def test_a_queued_request_is_rejected_after_half_of_its_time() -> None:
    # While servers were full, requests stayed queued until an answer would have come too late.
    host = Host(servers=1)
    host.serve(50)
    while host.ask("read", "k", give_up=500 * MS) in host.attempts:
        pass
    request = f"r{host.count}"
    asked = host.now
    host.wait(500 * MS)
    (at,) = [t for t, a in host.log if isinstance(a, Reject) and a.id == request]
    assert at - asked <= 250 * MS


def test_a_short_time_out_lowers_the_limit() -> None:
    host = Host(servers=1)
    host.serve(400)
    server = host.balancer.servers["s0"]
    before = server.limiter.limit
    request = host.ask("read", "k", give_up=30 * MS)
    host.wait(30 * MS)
    host.end_all(request, Outcome.TIMEOUT)
    assert server.limiter.limit < before


def test_retries_of_attempts_that_may_have_run_stay_within_the_budget() -> None:
    host = Host(servers=12)
    host.serve(100)
    for server in host.balancer.servers.values():
        server.limiter.limit = 20.0  # so that only the budget stops them
    before = len(host.sends())
    asked = [host.ask("read", f"k{i}") for i in range(36)]
    asked = [r for r in asked if r in host.attempts]
    assert len(asked) > 20
    for request in asked:
        host.end(request, Outcome.ERROR)
    again = [r for r in asked if len(host.attempts[r]) > 1]
    assert len(host.sends()) > before
    assert len(again) == 10


def test_a_request_with_too_little_time_is_rejected_at_once() -> None:
    host = Host()
    for i in range(60):
        request = host.ask("read", f"k{i}")
        host.wait(100 * MS)
        host.end(request)
    assert host.answers(host.ask("read", "k", give_up=60 * MS))
    assert host.ask("read", "k", give_up=200 * MS) in host.attempts


def test_very_many_balancers_use_one_limit_for_the_fleet() -> None:
    host = Host(settings(balancers=24), servers=6)  # the initial limit is half a request per server
    cheap = [host.ask("read", f"k{i}") for i in range(12)]
    assert len(host.sends()) == 3
    high_worth = host.ask("book", "another")
    assert high_worth not in host.attempts
    host.wait(10 * MS)
    host.end(cheap[0])
    assert high_worth in host.attempts  # whichever server answered
    out = [host.end(request) for request in (*cheap[1:3], high_worth)]
    assert any(isinstance(a, Send) for actions in out for a in actions)


@pytest.mark.parametrize(
    ("outcome", "after"), [(Outcome.TIMEOUT, 400), (Outcome.ERROR, 10), (Outcome.OK, 390)]
)
def test_a_balancer_with_little_traffic_avoids_a_server_that_failed(outcome: Outcome, after: int) -> None:
    host = Host(settings(balancers=500), servers=40)
    for i in range(100):
        request = host.ask("book", f"k{i}")
        host.wait(20 * MS)
        host.end(request)
        host.wait(480 * MS)
    bad = host.ask("book", "mine")
    server = host.attempts[bad][0]
    host.wait(after * MS)
    host.end(bad, outcome)
    for _ in range(6):  # by chance the server would be picked three times in these
        host.wait(2 * NS_PER_S)
        request = host.ask("book", "mine")
        assert host.attempts[request] != [server]
        host.end(request)


def test_rarely_used_connections_are_closed() -> None:
    busy, quiet = Host(servers=40), Host(settings(balancers=500), servers=40)
    busy.serve(200, gap=20 * MS)
    quiet.serve(50, gap=20 * MS)
    assert not [a for _, a in busy.log if isinstance(a, CloseIdle)]
    closed = [a.server for _, a in quiet.log if isinstance(a, CloseIdle)]
    assert closed == [a.server for a in quiet.sends()]
    costly = Host(settings(balancers=500, prices=Prices(handshake=0.03, connection=0.0)), servers=40)
    costly.serve(50, gap=20 * MS)
    assert not [
        a for _, a in costly.log if isinstance(a, CloseIdle)
    ]  # a new connection costs, an idle one does not
