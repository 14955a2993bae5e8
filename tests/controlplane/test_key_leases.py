"""Tests of key leases at a core member: a query that a majority answers serves all requests received before it."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from iristrack.controlplane.key_leases import BATCH_WINDOW_NS, QUERY_TIMEOUT_NS, KeyLeases
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.wire.messages import KeyLeaseGrant, KeyLeaseRequest, MembersValue, NewestAnswer, NewestQuery
from tests.controlplane.peers import Peer

MEMBERS = MembersValue(2, ("a:1", "b:1", "c:1"))


class Member:
    """One core member in virtual time; `sent` records what it sends to the others."""

    def __init__(self) -> None:
        self.world = World()
        self.sent: list[tuple[str, NewestQuery]] = []
        self.accepted: int | None = 4
        self.register = SimpleNamespace(
            name="a:1",
            scheduler=VirtualScheduler(self.world),
            member_set=MEMBERS,
            founded=True,
            accepted_configuration=lambda members: self.accepted if members == MEMBERS.sequence else None,
        )
        self.leases = KeyLeases(self.register, lambda member, query: self.sent.append((member, query)))

    def pass_time(self, ns: int) -> None:
        self.world.run_until(self.world.now + ns)

    def next_query(self) -> NewestQuery:
        """Wait for the next query, which goes to all other members."""
        self.pass_time(BATCH_WINDOW_NS)
        members = [member for member, _ in self.sent]
        assert members == ["b:1", "c:1"]
        query = self.sent[0][1]
        self.sent.clear()
        return query

    def deliver_answer(self, query: NewestQuery, acceptor: str, sequence: int) -> None:
        self.leases.handle_answer(NewestAnswer(query.call, acceptor, query.members, sequence))


@pytest.fixture
def member() -> Member:
    return Member()


def test_one_query_serves_all_requests_that_arrived_before_it(member: Member) -> None:
    first, second = Peer(), Peer()
    member.leases.request(first, KeyLeaseRequest(11))
    member.leases.request(second, KeyLeaseRequest(22))
    query = member.next_query()
    assert first.take() == []
    member.deliver_answer(query, "c:1", 6)
    assert first.take() == [KeyLeaseGrant(11, 6)]
    assert second.take() == [KeyLeaseGrant(22, 6)]


def test_a_request_during_a_query_waits_for_the_next_query(member: Member) -> None:
    early, late = Peer(), Peer()
    member.leases.request(early, KeyLeaseRequest(1))
    query = member.next_query()
    member.leases.request(late, KeyLeaseRequest(2))
    member.deliver_answer(query, "b:1", 4)
    assert early.take() == [KeyLeaseGrant(1, 4)]
    assert late.take() == []
    member.deliver_answer(query, "c:1", 4)  # a late answer to the first query
    assert late.take() == []
    member.deliver_answer(member.next_query(), "b:1", 5)
    assert late.take() == [KeyLeaseGrant(2, 5)]


def test_without_a_majority_nothing_is_granted_and_the_next_query_is_sent(member: Member) -> None:
    peer, other = Peer(), Peer()
    member.leases.request(peer, KeyLeaseRequest(1))
    unanswered = member.next_query()
    member.leases.request(other, KeyLeaseRequest(2))
    member.pass_time(QUERY_TIMEOUT_NS)
    member.deliver_answer(unanswered, "b:1", 4)
    assert peer.take() == []
    member.deliver_answer(member.next_query(), "b:1", 4)
    assert (peer.take(), other.take()) == ([], [KeyLeaseGrant(2, 4)])


def test_a_member_that_does_not_vote_counts_only_the_others(member: Member) -> None:
    member.accepted = None
    peer = Peer()
    member.leases.request(peer, KeyLeaseRequest(1))
    query = member.next_query()
    member.deliver_answer(query, "b:1", 4)
    assert peer.take() == []
    member.deliver_answer(query, "c:1", 3)
    assert peer.take() == [KeyLeaseGrant(1, 4)]
    assert member.leases.answer(query) is None


def test_a_query_for_another_member_set_is_not_answered(member: Member) -> None:
    assert member.leases.answer(NewestQuery(5, MEMBERS.sequence)) == NewestAnswer(5, "a:1", 2, 4)
    assert member.leases.answer(NewestQuery(5, MEMBERS.sequence + 1)) is None


def test_no_query_is_sent_before_a_member_set_is_known(member: Member) -> None:
    member.register.founded = False
    member.leases.request(Peer(), KeyLeaseRequest(1))
    member.pass_time(BATCH_WINDOW_NS)
    assert member.sent == []
