"""The key lease: counted from the request, valid for the applied configuration, and expired without an answer."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.configuration.key_lease import MAX_PENDING_REQUESTS, RETRY_INTERVAL_NS, KeyLease

MS = 1_000_000
S = 1_000 * MS
DURATION_MS = 5_000


def test_no_lease_is_needed_if_removals_bind_only_connected_machines() -> None:
    lease = KeyLease(None)
    assert lease.is_valid(0)
    assert not lease.should_request(0)


def test_nothing_is_honoured_before_the_first_answer() -> None:
    lease = KeyLease(DURATION_MS)
    lease.set_applied_sequence(3)
    assert lease.should_request(0)
    number = lease.record_request(0)
    assert not lease.is_valid(1)
    lease.handle_grant(number, 3)
    assert lease.is_valid(1)


def test_it_counts_from_the_question_not_from_the_answer() -> None:
    lease = KeyLease(DURATION_MS)
    lease.set_applied_sequence(3)
    number = lease.record_request(10 * S)
    lease.handle_grant(number, 3)  # valid from the send time, however late the answer arrives
    assert lease.is_valid(10 * S + 4800 * MS)
    assert not lease.is_valid(15 * S)


def test_a_newer_configuration_has_to_be_in_force_first() -> None:
    lease = KeyLease(DURATION_MS)
    lease.set_applied_sequence(3)
    lease.handle_grant(lease.record_request(0), 4)
    assert not lease.is_valid(1)
    lease.set_applied_sequence(4)
    assert lease.is_valid(1)
    lease.handle_grant(lease.record_request(2 * S), 6)
    lease.set_applied_sequence(5)
    assert not lease.is_valid(5 * S)


def test_an_answer_to_no_question_of_this_process_gives_nothing() -> None:
    lease = KeyLease(DURATION_MS)
    lease.set_applied_sequence(3)
    lease.handle_grant(1, 3)
    assert not lease.is_valid(0)


def test_the_lease_is_renewed_early_and_requested_again_without_an_answer() -> None:
    lease = KeyLease(DURATION_MS)
    lease.set_applied_sequence(1)
    lease.handle_grant(lease.record_request(0), 1)
    assert not lease.should_request(S)
    assert lease.should_request(2 * S)
    lease.record_request(2 * S)
    assert lease.has_pending_request
    assert not lease.should_request(2 * S + 1)
    assert lease.should_request(2 * S + RETRY_INTERVAL_NS)


def test_questions_without_answers_are_bounded_and_the_newest_are_remembered() -> None:
    lease = KeyLease(DURATION_MS)
    lease.set_applied_sequence(1)
    numbers = [lease.record_request(at * S) for at in range(MAX_PENDING_REQUESTS + 5)]
    lease.handle_grant(numbers[0], 1)
    assert not lease.is_valid(1)
    lease.handle_grant(numbers[-1], 1)
    assert lease.is_valid((MAX_PENDING_REQUESTS + 5) * S)


EVENT = st.one_of(
    st.tuples(st.just("remove"), st.just(0)),
    st.tuples(st.just("ask"), st.integers(0, 900)),  # the delay until the core reads, in ms
    st.tuples(st.just("deliver"), st.integers(0, 5)),
    st.tuples(st.just("learn"), st.just(0)),
)


@given(events=st.lists(st.tuples(EVENT, st.integers(0, 2_000))))
def test_no_key_is_honoured_too_long_despite_lost_or_late_answers(events) -> None:
    """Each acknowledged configuration removes a key; the oldest one not applied here sets the strictest bound."""
    lease = KeyLease(DURATION_MS)
    now, newest, in_force = 0, 0, 0
    acknowledged_at = {0: 0}
    asked: list[tuple[int, int]] = []  # request number and when the core reads
    lease.set_applied_sequence(0)
    for (kind, value), pause_ms in events:
        now += pause_ms * MS
        if kind == "remove":
            newest += 1
            acknowledged_at[newest] = now
        elif kind == "ask":
            asked.append((lease.record_request(now), now + value * MS))
        elif kind == "deliver" and asked:
            number, read_at = asked.pop(value % len(asked))
            known = max(seq for seq, at in acknowledged_at.items() if at <= max(read_at, 0))
            now = max(now, read_at)
            lease.handle_grant(number, known)
        elif kind == "learn":
            in_force = newest
            lease.set_applied_sequence(in_force)
        if lease.is_valid(now) and in_force < newest:
            assert now - acknowledged_at[in_force + 1] <= DURATION_MS * MS
