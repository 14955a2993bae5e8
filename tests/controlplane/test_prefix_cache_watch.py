"""Tests of subscriptions to the cached prefixes of holders."""

from __future__ import annotations

import pytest

from iristrack.controlplane.prefix_cache_watch import PrefixCacheWatch
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.wire.messages import KeptBatch, KeptParts, KeptSubscribe, PartTokens
from tests.controlplane.peers import Peer

CHANGE = KeptParts("10.0.0.1:80", False, "s1", "m", (PartTokens("p1", 64),))


@pytest.fixture
def watch() -> PrefixCacheWatch:
    return PrefixCacheWatch(VirtualScheduler(World()), "core-1", set, lambda: ["core-1"])


def test_a_follower_is_sent_changes_until_it_ends_its_subscription(watch: PrefixCacheWatch) -> None:
    follower, other = Peer(), Peer()
    for peer in (follower, other):
        watch.subscribe(peer, KeptSubscribe(own_only=False))
    watch.on_member_batch(KeptBatch((CHANGE,)))
    watch._flush_now()
    assert follower.take() == other.take() == [KeptBatch((CHANGE,))]
    watch.subscribe(follower, KeptSubscribe(own_only=False, ends=True))
    watch.on_member_batch(KeptBatch((CHANGE,)))
    watch._flush_now()
    assert follower.take() == []
    assert other.take() == [KeptBatch((CHANGE,))]


def test_a_returning_follower_is_sent_a_snapshot(watch: PrefixCacheWatch) -> None:
    follower = Peer()
    watch.on_member_batch(KeptBatch((CHANGE,)))
    watch.subscribe(follower, KeptSubscribe(own_only=False))
    watch.subscribe(follower, KeptSubscribe(own_only=False, ends=True))
    watch.subscribe(follower, KeptSubscribe(own_only=False, ends=True))  # ending it twice is allowed
    follower.take()
    watch.subscribe(follower, KeptSubscribe(own_only=False))
    (snapshot,) = follower.take()
    assert {entry.holder for entry in snapshot.entries} == {CHANGE.holder}
    assert snapshot.entries[-1].parts == CHANGE.parts
