"""Tests of subscriptions to the cached prefixes of holders."""

from __future__ import annotations

import pytest

from iristrack.controlplane.prefix_cache_watch import PrefixCacheWatch
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.wire.messages import KeptBatch, KeptParts, KeptSubscribe, PartTokens
from tests.controlplane.peers import Peer

CHANGE = KeptParts("10.0.0.1:80", False, "s1", "m", (PartTokens("p1", 64),))


@pytest.fixture
def kept() -> PrefixCacheWatch:
    return PrefixCacheWatch(VirtualScheduler(World()), "core-1", set, lambda: ["core-1"])


def test_a_follower_is_sent_changes_until_it_ends_its_subscription(kept: PrefixCacheWatch) -> None:
    follower, other = Peer(), Peer()
    for peer in (follower, other):
        kept.subscribe(peer, KeptSubscribe(own_only=False))
    kept.on_member_batch(KeptBatch((CHANGE,)))
    kept._flush_now()
    assert follower.take() == other.take() == [KeptBatch((CHANGE,))]
    kept.subscribe(follower, KeptSubscribe(own_only=False, ends=True))
    kept.on_member_batch(KeptBatch((CHANGE,)))
    kept._flush_now()
    assert follower.take() == []
    assert other.take() == [KeptBatch((CHANGE,))]


def test_a_returning_follower_is_sent_a_snapshot(kept: PrefixCacheWatch) -> None:
    follower = Peer()
    kept.on_member_batch(KeptBatch((CHANGE,)))
    kept.subscribe(follower, KeptSubscribe(own_only=False))
    kept.subscribe(follower, KeptSubscribe(own_only=False, ends=True))
    kept.subscribe(follower, KeptSubscribe(own_only=False, ends=True))  # ending it twice is allowed
    follower.take()
    kept.subscribe(follower, KeptSubscribe(own_only=False))
    (snapshot,) = follower.take()
    assert {entry.holder for entry in snapshot.entries} == {CHANGE.holder}
    assert snapshot.entries[-1].parts == CHANGE.parts
