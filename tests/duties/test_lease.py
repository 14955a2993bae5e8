from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from iristrack.duties.lease import CLAIM_MARGIN_NS, RENEWAL_INTERVAL_NS, RENEWAL_VALID_NS, Lease
from iristrack.wire.messages import DutyValue
from tests.duties.fleet import LEASE_NS, MS, Action, FaultRates, Fleet

RUN_NS = 60_000 * MS
NO_FAULTS = FaultRates()
FAULT_RATES = st.builds(
    FaultRates,
    lost_answers=st.sampled_from([0.0, 0.2, 0.6]),
    lost_updates=st.sampled_from([0.0, 0.3, 0.9]),
    slow_claims=st.sampled_from([0.0, 0.2, 0.6]),
    freezes=st.sampled_from([0.0, 0.02, 0.05]),
    restarts=st.sampled_from([0.0, 0.005]),
)
FLEETS = st.builds(Fleet, st.integers(1, 5), st.integers(0, 2**32), FAULT_RATES)


def handovers(actions: list[Action]) -> list[tuple[Action, Action]]:
    """Return the last action of each holder with the first one of the next holder."""
    pairs = itertools.pairwise(actions)
    return [(one, other) for one, other in pairs if (one.node, one.process) != (other.node, other.process)]


# ---- simulated fleets


@settings(max_examples=80)
@given(FLEETS)
def test_two_processes_never_hold_the_duty_at_the_same_time(fleet: Fleet) -> None:
    def check() -> None:
        assert len(fleet.active_processes) <= 1

    fleet.on_event = check
    fleet.run(RUN_NS)


@settings(max_examples=80)
@given(FLEETS)
def test_actions_of_two_holders_are_at_least_the_lease_apart(fleet: Fleet) -> None:
    fleet.run(RUN_NS)
    assert all(later.at - earlier.at >= LEASE_NS for earlier, later in handovers(fleet.actions))


@settings(max_examples=80)
@given(FLEETS)
def test_the_fencing_token_increases_only_with_a_new_holder(fleet: Fleet) -> None:
    fleet.run(RUN_NS)
    for (*holder, fence), (*next_holder, next_fence) in itertools.pairwise(fleet.fences):
        assert next_fence == fence + (holder != next_holder)
    assert all(one.fence < other.fence for one, other in handovers(fleet.actions))
    holders = {fence: (node, process) for node, process, fence in fleet.fences}
    assert all(holders[action.fence] == (action.node, action.process) for action in fleet.actions)


@pytest.mark.parametrize("count", [1, 3, 5])
def test_without_faults_one_holder_keeps_the_duty_continuously(count: int) -> None:
    fleet = Fleet(count, seed=count, faults=NO_FAULTS)
    fleet.run(RUN_NS)
    assert len({action.process for action in fleet.actions}) == 1
    gaps = [other.at - one.at for one, other in itertools.pairwise(fleet.actions)]
    assert fleet.actions[0].at < 10**12 + 6_000 * MS
    assert max(gaps) < 500 * MS


def test_another_process_soon_takes_over_from_a_holder_that_ended() -> None:
    fleet = Fleet(3, seed=1, faults=NO_FAULTS)
    fleet.run(20_000 * MS)
    (holder,) = fleet.active_processes
    fleet.end(holder)
    ended_at = fleet.now
    fleet.run(RUN_NS)
    after = [action for action in fleet.actions if action.at > ended_at]
    assert after[0].process != holder.lease.process
    assert after[0].at - ended_at < 3 * LEASE_NS


@pytest.mark.parametrize("span_ms", [2_500, 4_000, 20_000])
def test_a_holder_does_not_act_after_a_long_freeze(span_ms: int) -> None:
    fleet = Fleet(3, seed=2, faults=NO_FAULTS)
    fleet.run(20_000 * MS)
    (holder,) = fleet.active_processes
    frozen_at = fleet.now
    fleet.freeze(holder, span_ms * MS)
    fleet.run(span_ms * MS - 1)
    assert not holder.may_act(fleet.now)
    assert [
        action for action in fleet.actions if action.at > frozen_at and action.process == holder.lease.process
    ] == []


# ---- a single lease


def value(sequence: int, owner: str = "a", fence: int = 1, renewals: int = 0) -> DutyValue:
    return DutyValue(sequence, owner, f"{owner}-1", fence, renewals)


def lease_of(node: str) -> Lease:
    return Lease(node, f"{node}-1", LEASE_NS)


def test_a_duty_is_not_claimed_before_its_value_was_seen() -> None:
    lease = lease_of("a")
    assert not lease.should_claim(10**15)
    lease.observe(None, 10**15)
    assert lease.should_claim(10**15)
    assert not lease.may_act(10**15)


def test_a_holder_may_act_until_well_before_its_lease_ends() -> None:
    lease = lease_of("a")
    lease.claimed(value(1), started_at=1_000, now=500 * MS)
    assert lease.may_act(500 * MS)
    assert not lease.may_act(1_000 + RENEWAL_VALID_NS)
    assert RENEWAL_VALID_NS < LEASE_NS // 2
    assert lease.holding.fence == 1


def test_a_holder_renews_long_before_its_last_renewal_expires() -> None:
    lease = lease_of("a")
    lease.claimed(value(1), started_at=0, now=0)
    due = RENEWAL_INTERVAL_NS
    assert not lease.should_claim(due - 1)
    assert lease.should_claim(due)
    assert lease.may_act(due + 400 * MS)  # a renewal may take a while


def test_others_wait_longer_than_the_lease_after_each_renewal() -> None:
    lease = lease_of("b")
    lease.observe(value(1), 0)
    assert not lease.should_claim(RENEWAL_VALID_NS + LEASE_NS + CLAIM_MARGIN_NS - 1)
    assert lease.should_claim(3 * LEASE_NS)
    lease.observe(value(1), 3 * LEASE_NS - 1)  # the same value again is no renewal
    assert lease.should_claim(3 * LEASE_NS)
    lease.observe(value(2, renewals=1), 3 * LEASE_NS)
    assert not lease.should_claim(RENEWAL_VALID_NS + 4 * LEASE_NS + CLAIM_MARGIN_NS - 1)
    assert lease.should_claim(6 * LEASE_NS)


def test_an_older_value_that_arrives_late_is_ignored() -> None:
    lease = lease_of("b")
    lease.observe(value(5, renewals=4), 0)
    lease.observe(value(4, renewals=3), 1_000 * MS)
    assert lease.seen == value(5, renewals=4)
    assert lease.should_claim(3 * LEASE_NS)


def test_a_holder_that_sees_another_holder_stops_at_once() -> None:
    lease = lease_of("a")
    lease.claimed(value(1), started_at=0, now=0)
    lease.observe(value(2, owner="b", fence=2), 1)
    assert not lease.may_act(1)
    assert not lease.should_claim(1)


def test_another_process_on_the_same_node_is_another_holder() -> None:
    lease = Lease("a", "a-2", LEASE_NS)
    lease.observe(value(1), 0)
    assert not lease.should_claim(LEASE_NS)
    assert not lease.may_act(0)


def test_an_own_claim_without_an_answer_is_renewed_before_the_process_may_act() -> None:
    lease = lease_of("a")
    lease.observe(None, 0)
    lease.observe(value(1), 10)
    assert not lease.may_act(10)
    assert lease.should_claim(10)


def test_a_holder_with_a_refused_fencing_token_must_claim_a_new_one() -> None:
    lease = Lease("n", "p", LEASE_NS)
    lease.claimed(DutyValue(1, "n", "p", 3, 0), 0, 0)
    assert lease.may_act(1)
    lease.refused(3)
    assert not lease.may_act(1)
    assert lease.should_claim(1)
    assert lease.refused_fence == 3
    lease.claimed(DutyValue(2, "n", "p", 4, 1), 1, 2)
    lease.refused(3)  # a late refusal of the old token does not affect the new one
    assert lease.may_act(3)
