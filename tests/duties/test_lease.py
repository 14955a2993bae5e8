from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from iristrack.duties.lease import CLAIM_MARGIN_NS, RENEWAL_INTERVAL_NS, RENEWAL_VALID_NS, Lease
from iristrack.wire.messages import DutyValue
from tests.duties.fleet import LEASE_NS, MS, Act, Fleet, Trouble

DAY_NS = 60_000 * MS
CALM = Trouble()
TROUBLES = st.builds(
    Trouble,
    lost_answers=st.sampled_from([0.0, 0.2, 0.6]),
    lost_updates=st.sampled_from([0.0, 0.3, 0.9]),
    slow_claims=st.sampled_from([0.0, 0.2, 0.6]),
    freezes=st.sampled_from([0.0, 0.02, 0.05]),
    restarts=st.sampled_from([0.0, 0.005]),
)
FLEETS = st.builds(Fleet, st.integers(1, 5), st.integers(0, 2**32), TROUBLES)


def turns(acts: list[Act]) -> list[tuple[Act, Act]]:
    """Each last act of a holder with the first one of the next."""
    pairs = itertools.pairwise(acts)
    return [(one, other) for one, other in pairs if (one.node, one.process) != (other.node, other.process)]


# ---- any fleet


@settings(max_examples=80)
@given(FLEETS)
def test_never_do_two_processes_hold_the_duty_at_once(fleet: Fleet) -> None:
    def look() -> None:
        assert len(fleet.acting) <= 1

    fleet.on_event = look
    fleet.run(DAY_NS)


@settings(max_examples=80)
@given(FLEETS)
def test_two_holders_never_act_within_the_lease_of_each_other(fleet: Fleet) -> None:
    fleet.run(DAY_NS)
    assert all(later.at - earlier.at >= LEASE_NS for earlier, later in turns(fleet.acts))


@settings(max_examples=80)
@given(FLEETS)
def test_the_fence_rises_with_each_holder_and_with_nothing_else(fleet: Fleet) -> None:
    fleet.run(DAY_NS)
    for (*holder, fence), (*next_holder, next_fence) in itertools.pairwise(fleet.fences):
        assert next_fence == fence + (holder != next_holder)
    assert all(one.fence < other.fence for one, other in turns(fleet.acts))
    holders = {fence: (node, process) for node, process, fence in fleet.fences}
    assert all(holders[act.fence] == (act.node, act.process) for act in fleet.acts)


@pytest.mark.parametrize("count", [1, 3, 5])
def test_on_a_calm_day_one_holder_keeps_the_duty_without_a_pause(count: int) -> None:
    fleet = Fleet(count, seed=count, trouble=CALM)
    fleet.run(DAY_NS)
    assert len({act.process for act in fleet.acts}) == 1
    gaps = [other.at - one.at for one, other in itertools.pairwise(fleet.acts)]
    assert fleet.acts[0].at < 10**12 + 6_000 * MS
    assert max(gaps) < 500 * MS


def test_a_duty_whose_holder_ended_is_soon_taken_by_another() -> None:
    fleet = Fleet(3, seed=1, trouble=CALM)
    fleet.run(20_000 * MS)
    (holder,) = fleet.acting
    fleet.end(holder)
    ended = fleet.now
    fleet.run(DAY_NS)
    after = [act for act in fleet.acts if act.at > ended]
    assert after[0].process != holder.lease.process
    assert after[0].at - ended < 3 * LEASE_NS


@pytest.mark.parametrize("span_ms", [2_500, 4_000, 20_000])
def test_a_holder_that_wakes_from_a_long_freeze_does_not_act(span_ms: int) -> None:
    fleet = Fleet(3, seed=2, trouble=CALM)
    fleet.run(20_000 * MS)
    (holder,) = fleet.acting
    frozen = fleet.now
    fleet.freeze(holder, span_ms * MS)
    fleet.run(span_ms * MS - 1)
    assert not holder.may_act(fleet.now)
    assert [act for act in fleet.acts if act.at > frozen and act.process == holder.lease.process] == []


# ---- one lease


def value(sequence: int, owner: str = "a", fence: int = 1, renewals: int = 0) -> DutyValue:
    return DutyValue(sequence, owner, f"{owner}-1", fence, renewals)


def lease_of(node: str) -> Lease:
    return Lease(node, f"{node}-1", LEASE_NS)


def test_nothing_is_claimed_before_anything_was_seen() -> None:
    lease = lease_of("a")
    assert not lease.should_claim(10**15)
    lease.observe(None, 10**15)
    assert lease.should_claim(10**15)
    assert not lease.may_act(10**15)


def test_a_holder_acts_from_its_claim_until_well_before_its_lease_ends() -> None:
    lease = lease_of("a")
    lease.claimed(value(1), started_at=1_000, now=500 * MS)
    assert lease.may_act(500 * MS)
    assert not lease.may_act(1_000 + RENEWAL_VALID_NS)
    assert RENEWAL_VALID_NS < LEASE_NS // 2
    assert lease.holding.fence == 1


def test_a_holder_renews_long_before_it_has_to_stop() -> None:
    lease = lease_of("a")
    lease.claimed(value(1), started_at=0, now=0)
    due = RENEWAL_INTERVAL_NS
    assert not lease.should_claim(due - 1)
    assert lease.should_claim(due)
    assert lease.may_act(due + 400 * MS)  # a renewal may take a while


def test_others_wait_longer_than_the_lease_after_each_sign_of_life() -> None:
    lease = lease_of("b")
    lease.observe(value(1), 0)
    assert not lease.should_claim(RENEWAL_VALID_NS + LEASE_NS + CLAIM_MARGIN_NS - 1)
    assert lease.should_claim(3 * LEASE_NS)
    lease.observe(value(1), 3 * LEASE_NS - 1)  # told again: no sign of life
    assert lease.should_claim(3 * LEASE_NS)
    lease.observe(value(2, renewals=1), 3 * LEASE_NS)
    assert not lease.should_claim(RENEWAL_VALID_NS + 4 * LEASE_NS + CLAIM_MARGIN_NS - 1)
    assert lease.should_claim(6 * LEASE_NS)


def test_an_older_value_told_late_changes_nothing() -> None:
    lease = lease_of("b")
    lease.observe(value(5, renewals=4), 0)
    lease.observe(value(4, renewals=3), 1_000 * MS)
    assert lease.seen == value(5, renewals=4)
    assert lease.should_claim(3 * LEASE_NS)


def test_a_holder_that_sees_another_stops_at_once() -> None:
    lease = lease_of("a")
    lease.claimed(value(1), started_at=0, now=0)
    lease.observe(value(2, owner="b", fence=2), 1)
    assert not lease.may_act(1)
    assert not lease.should_claim(1)


def test_another_process_of_the_same_machine_is_another_holder() -> None:
    lease = Lease("a", "a-2", LEASE_NS)
    lease.observe(value(1), 0)
    assert not lease.should_claim(LEASE_NS)
    assert not lease.may_act(0)


def test_a_claim_of_ones_own_that_got_no_answer_is_renewed_before_anything_is_done() -> None:
    lease = lease_of("a")
    lease.observe(None, 0)
    lease.observe(value(1), 10)
    assert not lease.may_act(10)
    assert lease.should_claim(10)


def test_a_holder_whose_fence_a_server_refused_gives_no_order_until_it_has_another() -> None:
    lease = Lease("n", "p", LEASE_NS)
    lease.claimed(DutyValue(1, "n", "p", 3, 0), 0, 0)
    assert lease.may_act(1)
    lease.refused(3)
    assert not lease.may_act(1)
    assert lease.should_claim(1)
    assert lease.refused_fence == 3
    lease.claimed(DutyValue(2, "n", "p", 4, 1), 1, 2)
    lease.refused(3)  # an order of before: the new fence stands
    assert lease.may_act(3)
