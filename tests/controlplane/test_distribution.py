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


def make_distribution() -> tuple[Distribution, list[Update]]:
    broadcast: list[Update] = []
    return Distribution(broadcast.append, announcement), broadcast


def update(topic: str, sequence: int) -> Update:
    return Update(topic, sequence, b"%d" % sequence)


def test_a_change_is_announced_to_subscribers_that_another_member_pushes_to() -> None:
    distribution, _ = make_distribution()
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


def test_a_subscriber_is_sent_what_it_lacks_and_then_every_change() -> None:
    distribution, _ = make_distribution()
    distribution.publish(update("a", 1))
    distribution.publish(update("b", 5))
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version("b", 5),)))
    assert peer.take() == [update("a", 1)]
    distribution.publish(update("a", 2))
    distribution.receive(update("b", 6))
    assert peer.take() == [update("a", 2), update("b", 6)]


def test_a_subscriber_without_push_is_sent_updates_on_request() -> None:
    distribution, _ = make_distribution()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((), push=False))
    distribution.publish(update("a", 1))
    distribution.on_heartbeat(peer, heartbeat())
    assert peer.take() == []
    distribution.subscribe(peer, Subscribe((), push=False))
    assert peer.take() == [update("a", 1)]


def test_a_subscriber_without_catch_up_is_sent_only_announcements_of_changes() -> None:
    """Each sidecar is connected to every member; a full copy of each topic from all of them would be redundant."""
    distribution, _ = make_distribution()
    distribution.publish(update(topics.CONFIGURATION, 1))
    peer = Peer()
    distribution.subscribe(peer, Subscribe((), push=False, catch_up=False))
    assert peer.take() == []
    distribution.receive(update(topics.CONFIGURATION, 2))
    assert peer.take() == [heartbeat(Version(topics.CONFIGURATION, 2))]
    distribution.subscribe(peer, Subscribe((), push=False))
    assert peer.take() == [update(topics.CONFIGURATION, 2)]


def test_a_later_subscription_replaces_the_earlier_one() -> None:
    distribution, _ = make_distribution()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((), push=False))
    distribution.subscribe(peer, Subscribe(()))
    distribution.publish(update("a", 1))
    assert peer.take() == [update("a", 1)]
    distribution.subscribe(peer, Subscribe((Version("a", 1),), push=False))
    distribution.publish(update("a", 2))
    assert peer.take() == []


def test_a_pushed_value_is_not_sent_twice_over_one_connection_but_over_the_next() -> None:
    """Sending a value again with every heartbeat until it arrives would fill a slow link with copies."""
    distribution, _ = make_distribution()
    peer, newer_peer = Peer(), Peer()
    distribution.subscribe(peer, Subscribe(()))
    distribution.publish(update("a", 1))
    assert peer.take() == [update("a", 1)]
    distribution.on_heartbeat(peer, heartbeat())
    distribution.subscribe(peer, Subscribe(()))
    assert peer.take() == []
    distribution.subscribe(newer_peer, Subscribe(()))
    assert newer_peer.take() == [update("a", 1)]


def test_a_slow_link_is_sent_the_newest_value_and_skips_those_between() -> None:
    distribution, _ = make_distribution()
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


def test_a_core_member_is_sent_a_change_of_another_member_only_after_its_heartbeat() -> None:
    distribution, _ = make_distribution()
    member = Peer()
    distribution.subscribe(member, Subscribe(()), member=True)
    distribution.receive(update("a", 1))
    assert member.take() == []
    distribution.on_heartbeat(member, heartbeat())
    assert member.take() == [update("a", 1)]


def test_heartbeats_of_non_subscribers_are_not_answered() -> None:
    distribution, _ = make_distribution()
    distribution.publish(update("a", 1))
    peer = Peer()
    distribution.on_heartbeat(peer, heartbeat())
    assert peer.take() == []


def test_a_connection_that_has_ended_is_sent_nothing() -> None:
    distribution, _ = make_distribution()
    peer = Peer()
    distribution.subscribe(peer, Subscribe(()))
    distribution.forget(peer)
    distribution.forget(peer)
    distribution.publish(update("a", 1))
    assert peer.take() == []


def test_only_new_values_published_here_are_broadcast_to_the_other_members() -> None:
    distribution, broadcast = make_distribution()
    distribution.publish(update("a", 2))
    distribution.publish(update("a", 2))
    distribution.publish(update("a", 1))
    distribution.receive(update("a", 3))
    assert broadcast == [update("a", 2)]


def test_each_new_value_is_reported_once_within_the_process() -> None:
    distribution, _ = make_distribution()
    learned: list[Update] = []
    distribution.on_learned.append(learned.append)
    for change in (update("a", 2), update("a", 1), update("a", 2), update("a", 3)):
        distribution.receive(change)
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
    """A connection that loses messages ends, and the subscriber opens another one."""
    distribution, _ = make_distribution()
    table = TopicTable()
    newest: dict[str, int] = {}

    def connect() -> Peer:
        peer = Peer()
        distribution.subscribe(peer, Subscribe(table.versions()))
        return peer

    def receive(peer: Peer, lost: bool) -> Peer:
        sent = peer.take()
        assert all(change.sequence == newest[change.topic] for change in sent)
        if lost and sent:
            distribution.forget(peer)
            return receive(connect(), lost=False)
        for change in sent:
            assert table.learn(change), "sent twice"
        return peer

    peer = connect()
    for step, topic, sequence, lost in steps:
        if step in ("publish", "receive"):
            change = update(topic, sequence)
            if sequence > newest.get(topic, -1):
                newest[topic] = sequence
            getattr(distribution, step)(change)
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


def test_a_subscriber_with_the_previous_configuration_is_sent_only_the_amendment() -> None:
    distribution, _ = make_distribution()
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


def test_a_subscriber_is_sent_the_whole_configuration_if_an_amendment_is_missing() -> None:
    distribution, _ = make_distribution()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version(topics.CONFIGURATION, 1),)))
    distribution.receive(configured(3, b"three"))  # sequence 2 was never received
    assert peer.take() == [configured(3, b"three")]
    distribution.receive(configured(4))
    assert peer.take() == [configured(4)]


def test_amendments_longer_than_the_whole_configuration_are_not_sent() -> None:
    distribution, _ = make_distribution()
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version(topics.CONFIGURATION, 1),)))
    whole = configured(2, random.Random(7).randbytes(400), size=10)
    distribution.receive(whole)
    assert peer.take() == [ConfigurationAmendment(2, random.Random(7).randbytes(400))]
    newer_peer = Peer()
    distribution.receive(configured(3, random.Random(8).randbytes(400), size=10))
    distribution.subscribe(newer_peer, Subscribe((Version(topics.CONFIGURATION, 1),)))
    assert newer_peer.take() == [configured(3, random.Random(8).randbytes(400), size=10)]


def test_the_number_of_kept_amendments_is_bounded() -> None:
    distribution, _ = make_distribution()
    for sequence in range(1, MAX_AMENDMENTS + 10):
        distribution.receive(configured(sequence, b"a"))
    peer = Peer()
    distribution.subscribe(peer, Subscribe((Version(topics.CONFIGURATION, 2),)))
    assert peer.take() == [configured(MAX_AMENDMENTS + 9, b"a")]
