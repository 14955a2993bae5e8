"""The normal path: a key's pair of candidates, and the one with fewer of our requests in flight."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest
from driver import MS, Host, classes, settings

from iristrack.interface import (
    NS_PER_S,
    Contract,
    Fail,
    Group,
    Limits,
    Log,
    Outcome,
    Reject,
    Send,
    ServerState,
    Tenant,
)


def pair_of(host: Host, key: str) -> list[str]:
    first, second = host.ask(key=key), host.ask(key=key)
    return host.attempts[first] + host.attempts[second]


def pair_after_traffic(host: Host, key: str) -> list[str]:
    """Return where a balancer with traffic behind it sends two requests of a key, both in flight."""
    host.serve(200)
    return pair_of(host, key)


def test_a_key_alternates_between_its_two_candidates() -> None:
    host = Host()
    first, second = pair_of(host, "a")
    third = host.ask(key="a")
    assert first != second
    assert host.attempts[third] == [first]  # a tie again, so the first in the ranking
    host.end("r1")
    assert host.attempts[host.ask(key="a")] == [first]  # which has fewer in flight now


def test_with_few_balancers_a_tie_goes_to_the_first_in_the_ranking() -> None:
    one, two = Host(seed=1), Host(seed=2)
    for i in range(30):
        a, b = one.ask(key=f"k{i}"), two.ask(key=f"k{i}")
        assert one.attempts[a] == two.attempts[b]
        one.end(a)
        two.end(b)


def test_with_many_balancers_all_agree_on_the_pair_and_ties_are_random() -> None:
    firsts = set()
    pairs = set()
    for seed in range(20):
        pair = pair_after_traffic(Host(settings(balancers=13), seed=seed), "a")
        firsts.add(pair[0])
        pairs.add(frozenset(pair))
    assert len(pairs) == 1
    assert firsts == pairs.pop()


def test_a_key_too_hot_for_a_pair_is_split_before_a_server_is_full() -> None:
    # At most one request is in flight, as with many balancers, so that counts and limits show nothing.
    hot, rare = Counter(), Counter()
    host = Host(settings(balancers=500), servers=40)
    for i in range(600):
        request = host.ask(key="hot" if i % 5 == 0 else f"k{i % 97}")
        host.wait(20 * MS)
        if i >= 100:
            (hot if i % 5 == 0 else rare)[host.attempts[request][0]] += 1
        host.end(request)
        host.wait(300 * MS)
    assert max(hot.values()) < 0.2 * hot.total()
    one = Host(settings(balancers=500), servers=40)
    seen = set()
    for i in range(2000):
        request = one.ask(key="rare" if i % 200 == 0 else f"k{i % 97}")
        if i % 200 == 0:
            seen.update(one.attempts[request])
        one.end(request)
    assert len(seen) <= 2


def test_keys_spread_over_all_servers() -> None:
    host = Host(servers=6)
    firsts = Counter()
    for i in range(600):
        request = host.ask(key=f"k{i}")
        firsts[host.attempts[request][0]] += 1
        host.end(request)
    assert len(firsts) == 6
    assert min(firsts.values()) > 50


def test_a_larger_server_gets_more_keys_if_weights_give_sizes() -> None:
    host = Host(settings(sized_weights=True), servers=0)
    host.list([Host.entry(i, weight=3.0 if i == 0 else 1.0) for i in range(4)])
    firsts = Counter()
    for i in range(600):
        request = host.ask(key=f"k{i}")
        firsts[host.attempts[request][0]] += 1
        host.end(request)
    assert firsts["s0"] > 2 * firsts["s1"]


def test_requests_without_a_key_use_the_seed() -> None:
    one, two, other = Host(seed=7), Host(seed=7), Host(seed=8)
    drawn = []
    for host in (one, two, other):
        for _ in range(20):
            host.end(host.ask(key=None))
        drawn.append([s.server for s in host.sends()])
    assert drawn[0] == drawn[1] != drawn[2]
    assert len(set(drawn[0])) > 2


def test_only_the_keys_of_a_lost_server_move() -> None:
    host = Host()
    before = {}
    for i in range(60):
        request = host.ask(key=f"k{i}")
        before[f"k{i}"] = host.attempts[request][0]
        host.end(request)
    host.list([Host.entry(3, state=ServerState.GONE)])
    host.list([Host.entry(i) for i in range(6) if i != 3])
    for key, server in before.items():
        request = host.ask(key=key)
        assert (host.attempts[request][0] == server) == (server != "s3")
        host.end(request)


def test_a_hot_key_uses_more_servers_when_its_pair_is_full() -> None:
    host = Host()
    for _ in range(12):
        host.ask(key="hot")
    used = Counter(s.server for s in host.sends())
    assert len(used) > 2
    first, second = pair_of(Host(), "hot")
    assert used[first] == used[second] == 3  # the initial limit: 12 shared by 4 balancers


def test_the_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    program = (
        "import sys; sys.path.insert(0, 'tests')\n"
        "from driver import Host\n"
        "h = Host()\n"
        "for i in range(40): h.ask(key=f'k{i % 7}' if i % 3 else None)\n"
        "h.wait(10**9)\n"
        "print(h.log)\n"
    )
    runs = {
        subprocess.run(
            [sys.executable, "-c", program],
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(runs) == 1
    assert len(runs.pop()) > 1000


def actions_with_renamed(rename: Callable[[str], str]) -> list:
    """Return the actions under load and failures, with classes, tenants and zones renamed."""
    tenants = (Tenant(rename("north"), 0.7), Tenant(rename("south"), 0.3))
    renamed = tuple(replace(c, name=rename(c.name)) for c in classes(group=Group.ZONE))
    host = Host(settings(classes=renamed, tenants=tenants), servers=0)
    host.list([replace(e, zone=rename(e.zone)) for e in map(Host.entry, range(6))])
    endings = [Outcome.OK, Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED]
    for i in range(400):
        name = rename(("read", "book", "move")[i % 3])
        request = host.ask(name, f"k{i % 23}", tenant=rename(("north", "south")[i % 5 == 0]))
        host.wait((2, 40)[i % 7 == 0] * MS)
        if i % 2:
            host.end_all(request, endings[i // 2 % len(endings)])
    host.wait(2 * NS_PER_S)
    return host.log


def test_no_name_of_class_tenant_or_zone_changes_a_decision() -> None:
    plain = actions_with_renamed(lambda name: name)
    assert plain == actions_with_renamed(lambda name: f"{len(name)}-{name[::-1]}-other")
    assert {type(action) for _, action in plain} >= {Send, Reject, Fail, Log}


def bad_class(**changes: object) -> dict[str, object]:
    return {"classes": (replace(classes()[0], **changes),)}


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        (bad_class(aim_ns=0), "classes.aim_ns"),
        (bad_class(deadline_ns=1), "classes.deadline_ns"),
        (bad_class(worth=-1.0), "classes.worth"),
        (bad_class(late_share=2.0), "classes.late_share"),
        (bad_class(memory_ns=-1), "classes.memory_ns"),
        ({"classes": classes() + classes()}, "classes.name"),
        ({"contract": Contract(cold_share=0.0)}, "contract.cold_share"),
        ({"contract": Contract(cold_ns=-MS)}, "contract.cold_ns"),
        ({"contract": Contract(overload_factor=0)}, "contract.overload_factor"),
        ({"limits": Limits(max_attempts=0)}, "limits.max_attempts"),
        ({"balancers": 0}, "balancers"),
        ({"resolution_ns": 0}, "resolution_ns"),
    ],
)
def test_invalid_settings_are_named(changes: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**changes)
