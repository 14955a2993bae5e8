"""State of a restarted sidecar: ageing of its snapshot, contradictions to it, and no gain by a restart."""

from __future__ import annotations

import copy
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.balance import MAX_RETRY_TOKENS, Balancer
from iristrack.interface import ListKind, Outcome, ServerState
from iristrack.recovery.aging import NS_PER_S, age_snapshot, remaining_weight
from tests.driver import MS, Host, settings

SECOND = NS_PER_S


def trained_host() -> Host:
    """Return a host with traffic behind it and one unreachable, ejected server."""
    host = Host(seed=3)
    host.serve(200)
    bad_server = None
    for _ in range(60):
        request = host.ask("read", f"k{host.count % 40}")
        server = host.sends(request)[-1].server
        bad_server = bad_server or server
        host.wait(10 * MS)
        while host.attempts[request][-1] == bad_server and not host.answers(request):
            sent = len(host.attempts[request])
            host.end(request, Outcome.CONNECT_FAILED)
            if len(host.attempts[request]) == sent:
                break
        if host.attempts[request][-1] != bad_server:
            host.end(request)
    assert host.balancer.servers[bad_server].ejected
    host.bad_server = bad_server
    return host


def fresh() -> dict:
    return Balancer(settings(), 0).snapshot(0)


def restarted(kept: dict, age: int, **entry: object) -> Host:
    host = Host(servers=0)
    host.balancer = Balancer(settings(), 9, age_snapshot(kept, fresh(), age))
    host.list([host.entry(i, **entry) for i in range(6)], ListKind.CACHED)
    return host


def test_a_snapshot_is_plain_data_and_restores_no_request() -> None:
    host = trained_host()
    host.ask("read", "open")
    kept = host.balancer.snapshot(host.now)
    assert json.loads(json.dumps(kept)) == kept
    after = restarted(kept, 0)
    assert not after.balancer.requests and not after.balancer.queued and not after.timers and not after.log
    assert all(s.inflight == 0 for s in after.balancer.servers.values())


def test_learned_state_is_restored_at_once() -> None:
    host = trained_host()
    kept = host.balancer.snapshot(host.now)
    after = restarted(kept, 0)
    old, new = host.balancer, after.balancer
    assert new.servers[host.bad_server].ejected
    for name in old.classes:
        assert new.classes[name].mean == pytest.approx(old.classes[name].mean)
    for name, server in old.servers.items():
        assert new.servers[name].limiter.limit == pytest.approx(server.limiter.limit, rel=1e-6)
    request = after.ask("read", "k1")
    assert after.sends(request)[0].server != host.bad_server


def test_learned_values_age_to_those_of_a_new_balancer() -> None:
    kept = trained_host().balancer.snapshot(10 * SECOND)
    start = fresh()
    before = None
    for age in (0, 10, 60, 300, 600, 1200):
        found = age_snapshot(kept, start, age * SECOND)
        mean = found["classes"]["read"]["mean"]
        gap = abs(mean - start["classes"]["read"]["mean"])
        assert before is None or gap <= before
        before = gap
    old = age_snapshot(kept, start, 86_400 * SECOND)
    assert old["classes"]["read"] == start["classes"]["read"] and old["popular"] == {}
    assert all(s["limit"] == 1.0 and not s["suspicions"] and not s["down"] for s in old["servers"].values())
    assert old["balancer"] == start["balancer"]


def test_a_snapshot_from_the_future_is_not_used() -> None:
    kept = trained_host().balancer.snapshot(0)
    assert age_snapshot(kept, fresh(), -1) is None and remaining_weight("limits", -1) == 0


def test_a_server_with_another_start_time_is_new() -> None:
    host = trained_host()
    kept = host.balancer.snapshot(host.now)
    after = restarted(kept, SECOND, started_ns=4 * SECOND)
    assert not any(s.ejected for s in after.balancer.servers.values())
    assert all(s.limiter.limit == s.limiter.initial_limit for s in after.balancer.servers.values())


def test_a_cold_server_is_limited_whatever_the_snapshot_says() -> None:
    host = Host(servers=0)
    started = host.now
    host.list([host.entry(i, started_ns=started) for i in range(6)])
    kept = host.balancer.snapshot(host.now)
    for server in kept["servers"].values():
        server["limit"] = 1e9
    after = restarted(kept, SECOND, started_ns=started)
    for i in range(200):
        after.ask("read", f"k{i}")
    with_snapshot = len(after.sends())
    blank = Host(servers=0, seed=9)
    blank.list([blank.entry(i, started_ns=started) for i in range(6)], ListKind.CACHED)
    for i in range(200):
        blank.ask("read", f"k{i}")
    assert with_snapshot <= len(blank.sends()) + 1 and with_snapshot < 30


def test_servers_missing_from_a_full_list_are_forgotten() -> None:
    host = trained_host()
    after = restarted(host.balancer.snapshot(host.now), 0)
    after.list([after.entry(i) for i in range(6) if after.entry(i).server != host.bad_server], ListKind.FULL)
    assert not after.balancer.known_servers
    after.list([after.entry(i) for i in range(6)], ListKind.FULL)
    assert not after.balancer.servers[host.bad_server].ejected


def test_a_snapshot_that_ejects_all_servers_leaves_half_in_use() -> None:
    host = trained_host()
    kept = host.balancer.snapshot(host.now)
    for i, server in enumerate(kept["servers"].values()):
        server["down"], server["suspicions"] = True, {"": [True, 9.0, 3, (i + 1) * SECOND, 8 * SECOND]}
    after = restarted(kept, 0)
    assert sum(s.ejected for s in after.balancer.servers.values()) == 3
    request = after.ask("read", "k")
    assert after.sends(request)


def test_restart_loops_do_not_multiply_the_retry_budget() -> None:
    kept = fresh()
    kept["balancer"]["retries"] = 0.5
    for _ in range(10):
        kept = Balancer(settings(), 1, age_snapshot(kept, fresh(), 6 * SECOND)).snapshot(0)
    assert kept["balancer"]["retries"] == pytest.approx(0.5 + 10 * 0.6)
    assert age_snapshot(kept, fresh(), 3600 * SECOND)["balancer"]["retries"] == MAX_RETRY_TOKENS


def test_a_malformed_snapshot_raises_one_error_of_one_line() -> None:
    good = trained_host().balancer.snapshot(0)
    for corrupt in (
        lambda s: s.pop("classes"),
        lambda s: s["balancer"].update(retries="many"),
        lambda s: s["balancer"].update(slowdown=math.nan),
        lambda s: s["classes"].update(read=7),
        lambda s: s["servers"].update(x={"limit": 2}),
        lambda s: s.update(popular=[1]),
        lambda s: s.update(tenants=None),
    ):
        kept = copy.deepcopy(good)
        corrupt(kept)
        try:
            age_snapshot(kept, fresh(), 0)
        except ValueError as error:
            assert str(error).startswith("no snapshot") and "\n" not in str(error)
        else:
            assert kept["tenants"] is None, "a sidecar without tenants needs none"


LEAVES = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=3))
TREES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
)


@given(
    st.sampled_from(["balancer", "tenants", "popular", "classes", "servers"]), TREES, st.integers(0, 10**15)
)
def test_any_value_is_accepted_or_raises_a_value_error(part: str, tree: object, age: int) -> None:
    kept = fresh() | {part: tree}
    try:
        found = age_snapshot(kept, fresh(), age)
    except ValueError:
        return
    balancer = Balancer(settings(), 1, found)
    assert 0 <= balancer.retries <= MAX_RETRY_TOKENS and all(c.mean >= 0 for c in balancer.classes.values())


def test_server_states_of_discovery_take_precedence() -> None:
    host = trained_host()
    after = restarted(host.balancer.snapshot(host.now), 0, state=ServerState.DRAINING)
    request = after.ask("read", "k")
    assert not after.sends(request)
