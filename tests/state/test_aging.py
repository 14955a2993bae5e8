"""What a restarted sidecar believes: trust by age, what contradicts a file, and that no restart earns anything."""

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
    """A host that has met an ejected server and one that is turned away."""
    host = Host(seed=3)
    host.serve(200)
    bad = None
    for _ in range(60):
        request = host.ask("read", f"k{host.count % 40}")
        server = host.sends(request)[-1].server
        bad = bad or server
        host.wait(10 * MS)
        while host.attempts[request][-1] == bad and not host.answers(request):
            sent = len(host.attempts[request])
            host.end(request, Outcome.CONNECT_FAILED)
            if len(host.attempts[request]) == sent:
                break
        if host.attempts[request][-1] != bad:
            host.end(request)
    assert host.balancer.servers[bad].ejected
    host.bad = bad
    return host


def fresh() -> dict:
    return Balancer(settings(), 0).snapshot(0)


def restarted(kept: dict, age: int, **entry: object) -> Host:
    host = Host(servers=0)
    host.balancer = Balancer(settings(), 9, age_snapshot(kept, fresh(), age))
    host.list([host.entry(i, **entry) for i in range(6)], ListKind.CACHED)
    return host


def test_a_snapshot_is_plain_and_brings_no_request_back() -> None:
    host = trained_host()
    host.ask("read", "open")
    kept = host.balancer.snapshot(host.now)
    assert json.loads(json.dumps(kept)) == kept
    again = restarted(kept, 0)
    assert not again.balancer.requests and not again.balancer.queued and not again.timers and not again.log
    assert all(s.inflight == 0 for s in again.balancer.servers.values())


def test_what_was_learned_comes_back_at_once() -> None:
    host = trained_host()
    kept = host.balancer.snapshot(host.now)
    again = restarted(kept, 0)
    old, new = host.balancer, again.balancer
    assert new.servers[host.bad].ejected
    for name in old.classes:
        assert new.classes[name].mean == pytest.approx(old.classes[name].mean)
    for name, server in old.servers.items():
        assert new.servers[name].limiter.limit == pytest.approx(server.limiter.limit, rel=1e-6)
    request = again.ask("read", "k1")
    assert again.sends(request)[0].server != host.bad


def test_trust_fades_to_what_a_new_balancer_assumes() -> None:
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


def test_a_clock_that_went_back_makes_a_file_worthless() -> None:
    kept = trained_host().balancer.snapshot(0)
    assert age_snapshot(kept, fresh(), -1) is None and remaining_weight("limits", -1) == 0


def test_a_server_that_started_since_or_has_another_id_is_new() -> None:
    host = trained_host()
    kept = host.balancer.snapshot(host.now)
    again = restarted(kept, SECOND, started_ns=4 * SECOND)
    assert not any(s.ejected for s in again.balancer.servers.values())
    assert all(s.limiter.limit == s.limiter.initial_limit for s in again.balancer.servers.values())


def test_a_server_that_came_back_cold_is_cold_whatever_the_file_praises() -> None:
    host = Host(servers=0)
    started = host.now
    host.list([host.entry(i, started_ns=started) for i in range(6)])
    kept = host.balancer.snapshot(host.now)
    for server in kept["servers"].values():
        server["limit"] = 1e9
    again = restarted(kept, SECOND, started_ns=started)
    for i in range(200):
        again.ask("read", f"k{i}")
    praised = len(again.sends())
    blank = Host(servers=0, seed=9)
    blank.list([blank.entry(i, started_ns=started) for i in range(6)], ListKind.CACHED)
    for i in range(200):
        blank.ask("read", f"k{i}")
    assert praised <= len(blank.sends()) + 1 and praised < 30


def test_what_discovery_does_not_name_is_forgotten() -> None:
    host = trained_host()
    again = restarted(host.balancer.snapshot(host.now), 0)
    again.list([again.entry(i) for i in range(6) if again.entry(i).server != host.bad], ListKind.FULL)
    assert not again.balancer.known_servers
    again.list([again.entry(i) for i in range(6)], ListKind.FULL)
    assert not again.balancer.servers[host.bad].ejected


def test_a_file_that_ejects_all_leaves_half_in_use() -> None:
    host = trained_host()
    kept = host.balancer.snapshot(host.now)
    for i, server in enumerate(kept["servers"].values()):
        server["down"], server["suspicions"] = True, {"": [True, 9.0, 3, (i + 1) * SECOND, 8 * SECOND]}
    again = restarted(kept, 0)
    assert sum(s.ejected for s in again.balancer.servers.values()) == 3
    request = again.ask("read", "k")
    assert again.sends(request)


def test_restart_loops_do_not_multiply_the_retry_budget() -> None:
    kept = fresh()
    kept["balancer"]["retries"] = 0.5
    for _ in range(10):
        kept = Balancer(settings(), 1, age_snapshot(kept, fresh(), 6 * SECOND)).snapshot(0)
    assert kept["balancer"]["retries"] == pytest.approx(0.5 + 10 * 0.6)
    assert age_snapshot(kept, fresh(), 3600 * SECOND)["balancer"]["retries"] == MAX_RETRY_TOKENS


def test_what_is_no_snapshot_is_said_and_nothing_else() -> None:
    good = trained_host().balancer.snapshot(0)
    for spoil in (
        lambda s: s.pop("classes"),
        lambda s: s["balancer"].update(retries="many"),
        lambda s: s["balancer"].update(slowdown=math.nan),
        lambda s: s["classes"].update(read=7),
        lambda s: s["servers"].update(x={"limit": 2}),
        lambda s: s.update(popular=[1]),
        lambda s: s.update(tenants=None),
    ):
        kept = copy.deepcopy(good)
        spoil(kept)
        try:
            age_snapshot(kept, fresh(), 0)
        except ValueError as fault:
            assert str(fault).startswith("no snapshot") and "\n" not in str(fault)
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
def test_any_tree_is_taken_or_refused(part: str, tree: object, age: int) -> None:
    kept = fresh() | {part: tree}
    try:
        found = age_snapshot(kept, fresh(), age)
    except ValueError:
        return
    balancer = Balancer(settings(), 1, found)
    assert 0 <= balancer.retries <= MAX_RETRY_TOKENS and all(c.mean >= 0 for c in balancer.classes.values())


def test_states_of_discovery_still_rule() -> None:
    host = trained_host()
    again = restarted(host.balancer.snapshot(host.now), 0, state=ServerState.DRAINING)
    request = again.ask("read", "k")
    assert not again.sends(request)
