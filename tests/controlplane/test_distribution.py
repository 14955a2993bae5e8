from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from iristrack.controlplane.distribution import MAX_AMENDMENTS, MAX_QUEUED_BYTES, Distribution
from iristrack.relay import topics
from iristrack.relay.topics import TopicTable
from iristrack.wire.messages import (
    ConfigurationAmendment,
    ConfigurationValue,
    Heartbeat,
    Subscribe,
    Update,
    Version,
)
from iristrack.wire.values import encode_value
from tests.controlplane.peers import Peer, announcement


def make() -> tuple[Distribution, list[Update]]:
    told: list[Update] = []
    return Distribution(told.append, announcement), told


def update(topic: str, sequence: int) -> Update:
    return Update(topic, sequence, b"%d" % sequence)


def test_a_change_is_announced_to_those_whom_another_member_pushes_to() -> None:
    distribution, _ = make()
    pushed, other = Peer(), Peer()
    distribution.subscribe(pushed, Subscribe(()))
    distribution.subscribe(other, Subscribe((), push=False))
    distribution.receive(update(topics.CONFIGURATION, 3))
    distribution.receive(update("often", 1))
    assert pushed.take() == [update(topics.CONFIGURATION, 3), update("often", 1)]
    assert other.take() == [heartbeat(Version(topics.CONFIGURATION, 3))]
    distribution.receive(update(topics.CONFIGURATION, 2))
    assert other.take() == []


def heartbeat(*known: Version) -> Heartbeat:
    return Heartbeat("n", "p", 1, known)


def test_a_subscriber_is_told_what_it_lacks_and_then_every_change() -> None:
    distribution, _ = make()
    distribution.publish(update("a", 1))
    distribution.publish(update("b", 5))
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version("b", 5),)))
    assert peer.take() == [update("a", 1)]
    distribution.publish(update("a", 2))
    distribution.receive(update("b", 6))
    assert peer.take() == [update("a", 2), update("b", 6)]


def test_a_subscriber_without_push_is_told_when_it_asks() -> None:
    distribution, _ = make()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((), push=False))
    distribution.publish(update("a", 1))
    distribution.on_heartbeat(peer, heartbeat())
    assert peer.take() == []
    distribution.subscribe(peer, Subscribe((), push=False))
    assert peer.take() == [update("a", 1)]


def test_a_subscriber_that_wants_no_catch_up_is_told_of_changes_alone() -> None:
    """Each sidecar is connected with every member; the whole of every topic from each is a copy too many."""
    distribution, _ = make()
    distribution.publish(update(topics.CONFIGURATION, 1))
    peer = Peer()
    distribution.subscribe(peer, Subscribe((), push=False, catch_up=False))
    assert peer.take() == []
    distribution.receive(update(topics.CONFIGURATION, 2))
    assert peer.take() == [heartbeat(Version(topics.CONFIGURATION, 2))]
    distribution.subscribe(peer, Subscribe((), push=False))
    assert peer.take() == [update(topics.CONFIGURATION, 2)]


def test_a_later_subscription_takes_the_place_of_the_earlier() -> None:
    distribution, _ = make()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((), push=False))
    distribution.subscribe(peer, Subscribe(()))
    distribution.publish(update("a", 1))
    assert peer.take() == [update("a", 1)]
    distribution.subscribe(peer, Subscribe((Version("a", 1),), push=False))
    distribution.publish(update("a", 2))
    assert peer.take() == []


def test_what_was_pushed_over_a_connection_is_not_sent_again_over_it_but_over_the_next() -> None:
    """It is under way; to send it with every heartbeat until it has arrived fills a slow link with copies."""
    distribution, _ = make()
    peer, again = Peer(), Peer()
    distribution.subscribe(peer, Subscribe(()))
    distribution.publish(update("a", 1))
    assert peer.take() == [update("a", 1)]
    distribution.on_heartbeat(peer, heartbeat())
    distribution.subscribe(peer, Subscribe(()))
    assert peer.take() == []
    distribution.subscribe(again, Subscribe(()))
    assert again.take() == [update("a", 1)]


def test_a_slow_link_is_sent_the_newest_value_and_none_between() -> None:
    distribution, _ = make()
    slow, quick = Peer(), Peer()
    distribution.subscribe(slow, Subscribe(()))
    distribution.subscribe(quick, Subscribe(()))
    slow.queued = MAX_QUEUED_BYTES + 1
    for sequence in range(1, 60):
        distribution.publish(update("a", sequence))
    assert slow.take() == []
    assert len(quick.take()) == 59
    slow.queued = 0
    slow.on_drained(slow)
    assert slow.take() == [update("a", 59)]
    slow.on_drained(slow)
    assert slow.take() == []


def test_a_core_member_is_told_by_the_first_to_know_and_by_others_only_after_its_heartbeat() -> None:
    distribution, _ = make()
    member = Peer()
    distribution.subscribe(member, Subscribe(()), member=True)
    distribution.receive(update("a", 1))
    assert member.take() == []
    distribution.on_heartbeat(member, heartbeat())
    assert member.take() == [update("a", 1)]


def test_heartbeats_of_those_who_did_not_subscribe_are_not_answered() -> None:
    distribution, _ = make()
    distribution.publish(update("a", 1))
    peer = Peer()
    distribution.on_heartbeat(peer, heartbeat())
    assert peer.take() == []


def test_who_is_gone_is_told_nothing() -> None:
    distribution, _ = make()
    peer = Peer()
    distribution.subscribe(peer, Subscribe(()))
    distribution.forget(peer)
    distribution.forget(peer)
    distribution.publish(update("a", 1))
    assert peer.take() == []


def test_only_what_is_new_here_goes_to_the_other_members_and_only_if_it_began_here() -> None:
    distribution, told = make()
    distribution.publish(update("a", 2))
    distribution.publish(update("a", 2))
    distribution.publish(update("a", 1))
    distribution.receive(update("a", 3))
    assert told == [update("a", 2)]


def test_what_was_learned_is_told_within_this_process_once() -> None:
    distribution, _ = make()
    learned: list[Update] = []
    distribution.on_learned.append(learned.append)
    for news in (update("a", 2), update("a", 1), update("a", 2), update("a", 3)):
        distribution.receive(news)
    assert learned == [update("a", 2), update("a", 3)]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["publish", "receive", "heartbeat", "subscribe", "pull"]),
        st.sampled_from("ab"),
        st.integers(0, 12),
        st.booleans(),
    ),
    max_size=60,
)


@given(STEPS)
def test_a_subscriber_never_gets_an_older_value_and_catches_up(steps) -> None:
    """What a connection loses ends it: the subscriber comes back over another one."""
    distribution, _ = make()
    table = TopicTable()
    newest: dict[str, int] = {}

    def connect() -> Peer:
        peer = Peer()
        distribution.subscribe(peer, Subscribe(table.versions()))
        return peer

    def receive(peer: Peer, lost: bool) -> Peer:
        sent = peer.take()
        assert all(news.sequence == newest[news.topic] for news in sent)
        if lost and sent:
            distribution.forget(peer)
            return receive(connect(), lost=False)
        for news in sent:
            assert table.learn(news), "sent twice"
        return peer

    peer = connect()
    for step, topic, sequence, lost in steps:
        if step in ("publish", "receive"):
            news = update(topic, sequence)
            if sequence > newest.get(topic, -1):
                newest[topic] = sequence
            getattr(distribution, step)(news)
        elif step == "heartbeat":
            distribution.on_heartbeat(peer, heartbeat(*table.versions()))
        else:
            distribution.subscribe(peer, Subscribe(table.versions(), push=step == "subscribe"))
        peer = receive(peer, lost)
    distribution.subscribe(peer, Subscribe(table.versions()))
    receive(peer, lost=False)
    assert {version.topic: version.sequence for version in table.versions()} == newest


# ---- amendments


def configured(sequence: int, amendment: bytes = b"", size: int = 500) -> Update:
    value = ConfigurationValue(
        sequence, sequence * 10, random.Random(sequence).randbytes(size), (), amendment
    )
    return Update(topics.CONFIGURATION, sequence, encode_value(value))


def test_who_has_the_one_before_is_sent_the_amendment_alone() -> None:
    distribution, _ = make()
    distribution.receive(configured(1))
    following, pulling, newcomer = Peer(), Peer(), Peer()
    distribution.subscribe(following, Subscribe(()))
    distribution.subscribe(pulling, Subscribe((Version(topics.CONFIGURATION, 1),), push=False))
    following.take()
    distribution.receive(configured(2, b"two"))
    distribution.receive(configured(3, b"three"))
    amendments = [ConfigurationAmendment(2, b"two"), ConfigurationAmendment(3, b"three")]
    assert following.take() == amendments
    pulling.take()
    distribution.subscribe(pulling, Subscribe((Version(topics.CONFIGURATION, 1),), push=False))
    assert pulling.take() == amendments
    distribution.subscribe(newcomer, Subscribe(()))
    assert newcomer.take() == [configured(3, b"three")]


def test_who_lacks_one_that_is_no_amendment_is_sent_the_whole() -> None:
    distribution, _ = make()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version(topics.CONFIGURATION, 1),)))
    distribution.receive(configured(3, b"three"))  # the second was never heard of here
    assert peer.take() == [configured(3, b"three")]
    distribution.receive(configured(4))
    assert peer.take() == [configured(4)]


def test_amendments_that_are_longer_than_the_whole_are_not_sent() -> None:
    distribution, _ = make()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version(topics.CONFIGURATION, 1),)))
    whole = configured(2, random.Random(7).randbytes(400), size=10)
    distribution.receive(whole)
    assert peer.take() == [ConfigurationAmendment(2, random.Random(7).randbytes(400))]
    again = Peer()
    distribution.receive(configured(3, random.Random(8).randbytes(400), size=10))
    distribution.subscribe(again, Subscribe((Version(topics.CONFIGURATION, 1),)))
    assert again.take() == [configured(3, random.Random(8).randbytes(400), size=10)]


def test_the_amendments_that_are_kept_are_bounded() -> None:
    distribution, _ = make()
    for sequence in range(1, MAX_AMENDMENTS + 10):
        distribution.receive(configured(sequence, b"a"))
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version(topics.CONFIGURATION, 2),)))
    assert peer.take() == [configured(MAX_AMENDMENTS + 9, b"a")]
