from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from iristrack.relay.freshness import (
    DEEP_WAIT_NS,
    DIAL_SPREAD_NS,
    DIRECT_TRY_NS,
    FRESH_AGAIN_NS,
    MOST_SENT,
    STALE_NS,
    CoreContact,
    DialDirect,
    EndDirect,
    Freshness,
    PassOn,
    PushFrom,
    SentHeartbeats,
    covers,
)
from iristrack.relay.tree import Upstreams
from iristrack.wire.messages import Version

MS = 1_000_000
TICK = 100 * MS
CHILD = Upstreams(1, "parent", ("aunt",), ("near", "far"))
ROOT = Upstreams(0, "near", ("far", "third"), ("last",))


def follower(upstreams: Upstreams = CHILD, seed: int = 0) -> Freshness:
    freshness = Freshness(random.Random(seed))
    assert freshness.follow(upstreams, 0) == [PushFrom(upstreams.push_from)]
    return freshness


def run(freshness: Freshness, begin: int, end: int) -> list:
    return [(now, effect) for now in range(begin, end, TICK) for effect in freshness.on_tick(now)]


def test_the_bound_of_an_answer_is_never_flattered_by_delays() -> None:
    sent = SentHeartbeats()
    sent.sent(7, 1000)
    assert sent.confirmed_at(7, 50, 200) == 850
    assert sent.confirmed_at(6, 50, 200) is None
    assert sent.confirmed_at(7, 50, -1) is None
    for number in range(8, 8 + MOST_SENT):
        sent.sent(number, 2000)
    assert sent.confirmed_at(7, 50, 200) is None


@given(*[st.integers(0, 5000)] * 5)
def test_the_bound_is_at_most_the_true_time(sent: int, way: int, held: int, age: int, back: int) -> None:
    heartbeats = SentHeartbeats()
    heartbeats.sent(1, sent)
    confirmed_at = heartbeats.confirmed_at(1, held, age)
    assert confirmed_at is not None
    assert confirmed_at <= sent + way + held - age
    assert confirmed_at <= sent + way + held + back


def test_versions_are_covered_only_when_all_are_known() -> None:
    mine = (Version("a", 2), Version("b", 1))
    assert covers(mine, (Version("a", 2),))
    assert not covers(mine, (Version("a", 3),))
    assert not covers(mine, (Version("c", 0),))


def test_a_child_of_a_silently_cut_relay_takes_its_pushes_from_the_other_one() -> None:
    freshness = follower()
    freshness.heard("parent", 0, True, 0)
    freshness.heard("aunt", STALE_NS, True, STALE_NS)
    assert PushFrom("aunt") in freshness.on_tick(STALE_NS + TICK)
    assert freshness.heard("aunt", 2 * STALE_NS, True, 2 * STALE_NS) == [PassOn()]
    assert freshness.heard("parent", None, True, 2 * STALE_NS) == []
    assert freshness.direct is None
    assert PushFrom("parent") in freshness.heard("parent", 2 * STALE_NS, True, 2 * STALE_NS)


def test_a_heartbeat_that_shows_something_missed_confirms_nothing() -> None:
    freshness = follower()
    freshness.heard("parent", 100, False, 200)
    assert freshness.confirmed_ns_ago(300) is None
    freshness.heard("parent", 100, True, 200)
    assert freshness.confirmed_ns_ago(300) == 200


@given(st.integers(0, 1000), st.integers(1, 3))
def test_stale_relays_have_a_core_member_dialled_within_a_bounded_random_time(seed: int, level: int) -> None:
    freshness = follower(Upstreams(level, "parent", ("aunt",), ("near", "far")), seed)
    freshness.heard("parent", 0, True, 0)
    assert run(freshness, 0, STALE_NS + TICK) == []
    dialled = [
        (at, e) for at, e in run(freshness, STALE_NS + TICK, 2 * STALE_NS) if isinstance(e, DialDirect)
    ]
    at, effect = dialled[0]
    assert effect == DialDirect("near")
    longest = DIAL_SPREAD_NS + (DEEP_WAIT_NS if level > 1 else 0)
    assert at <= STALE_NS + longest + 2 * TICK


def test_not_all_dial_at_the_same_time() -> None:
    times = set()
    for seed in range(30):
        freshness = follower(seed=seed)
        times.add(next(at for at, e in run(freshness, 0, 2 * STALE_NS) if isinstance(e, DialDirect)))
    assert len(times) > 1


def test_relays_that_are_fresh_again_end_the_direct_connection_after_a_while() -> None:
    freshness = follower()
    run(freshness, 0, 2 * STALE_NS)
    assert freshness.direct is not None
    direct = freshness.direct
    ended = []
    for now in range(2 * STALE_NS, 2 * STALE_NS + 2 * FRESH_AGAIN_NS, TICK):
        freshness.heard("parent", now, True, now)
        ended += [(now, e) for e in freshness.on_tick(now) if isinstance(e, EndDirect)]
    assert ended == [(2 * STALE_NS + FRESH_AGAIN_NS, EndDirect(direct))]
    assert freshness.direct is None


def test_a_core_member_that_confirms_nothing_is_left_for_the_next_one() -> None:
    freshness = follower()
    effects = [e for _, e in run(freshness, 0, 2 * STALE_NS + 2 * DIRECT_TRY_NS)]
    dialled = [e.address for e in effects if isinstance(e, DialDirect)]
    assert dialled[:3] == ["near", "far", "near"]
    now = 3 * STALE_NS
    freshness.heard(freshness.direct, now, True, now)
    assert run(freshness, now, now + STALE_NS) == []


def test_a_copy_confirmed_directly_is_passed_on() -> None:
    freshness = follower()
    run(freshness, 0, 2 * STALE_NS)
    now = 2 * STALE_NS
    assert freshness.heard(freshness.direct, now, True, now) == [PassOn()]
    assert freshness.confirmed_ns_ago(now) == 0


def test_one_that_follows_the_core_changes_to_a_core_member_that_answers() -> None:
    freshness = follower(ROOT)
    freshness.heard("near", 0, True, 0)
    freshness.heard("third", STALE_NS, True, STALE_NS)
    assert freshness.on_tick(STALE_NS + TICK) == [PushFrom("third")]


def test_other_upstreams_take_the_place_of_the_old_ones() -> None:
    freshness = follower()
    freshness.heard("parent", 500, True, 600)
    assert freshness.follow(CHILD, 700) == []
    assert freshness.follow(Upstreams(2, "cousin", ("aunt",), ("near",)), 700) == [PushFrom("cousin")]
    freshness.heard("parent", 800, True, 900)
    assert freshness.confirmed_ns_ago(1000) == 500


def test_a_core_member_is_as_fresh_as_a_majority_of_the_core() -> None:
    contact = CoreContact("a")
    assert contact.confirmed_ns_ago(("a",), 100) == 0
    members = ("a", "b", "c", "d", "e")
    contact.heard("b", 50)
    assert contact.confirmed_ns_ago(members, 100) is None
    contact.heard("c", 30)
    assert contact.confirmed_ns_ago(members, 100) == 70
    contact.heard("d", 60)
    contact.heard("d", 20)
    assert contact.confirmed_ns_ago(members, 100) == 50
    contact.heard("stranger", 100)
    assert contact.confirmed_ns_ago(members, 100) == 50
