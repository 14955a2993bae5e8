"""The key lease: it starts when the request is sent, needs the granted configuration applied, and expires unrenewed."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.configuration.key_lease import MAX_PENDING_REQUESTS, RETRY_INTERVAL_NS, KeyLease

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
LEASE_MS = 5_000


def test_no_lease_is_needed_if_removals_bind_only_connected_machines() -> None:
    lease = KeyLease(None)
    assert lease.is_valid(0)
    assert not lease.should_request(0)


def test_lease_is_not_valid_before_the_first_grant() -> None:
    lease = KeyLease(LEASE_MS)
    lease.set_applied_sequence(3)
    assert lease.should_request(0)
    number = lease.record_request(0)
    assert not lease.is_valid(1)
    lease.handle_grant(number, 3)
    assert lease.is_valid(1)


def test_lease_starts_when_the_request_is_sent() -> None:
    lease = KeyLease(LEASE_MS)
    lease.set_applied_sequence(3)
    number = lease.record_request(10 * NS_PER_S)
    lease.handle_grant(number, 3)  # valid from the send time, however late the answer arrives
    assert lease.is_valid(10 * NS_PER_S + 4800 * NS_PER_MS)
    assert not lease.is_valid(15 * NS_PER_S)


def test_a_grant_takes_effect_once_its_configuration_is_applied() -> None:
    lease = KeyLease(LEASE_MS)
    lease.set_applied_sequence(3)
    lease.handle_grant(lease.record_request(0), 4)
    assert not lease.is_valid(1)
    lease.set_applied_sequence(4)
    assert lease.is_valid(1)
    lease.handle_grant(lease.record_request(2 * NS_PER_S), 6)
    lease.set_applied_sequence(5)
    assert not lease.is_valid(5 * NS_PER_S)


def test_a_grant_for_an_unknown_request_is_ignored() -> None:
    lease = KeyLease(LEASE_MS)
    lease.set_applied_sequence(3)
    lease.handle_grant(1, 3)
    assert not lease.is_valid(0)


def test_the_lease_is_renewed_before_expiry_and_unanswered_requests_are_retried() -> None:
    lease = KeyLease(LEASE_MS)
    lease.set_applied_sequence(1)
    lease.handle_grant(lease.record_request(0), 1)
    assert not lease.should_request(NS_PER_S)
    assert lease.should_request(2 * NS_PER_S)
    lease.record_request(2 * NS_PER_S)
    assert lease.has_pending_request
    assert not lease.should_request(2 * NS_PER_S + 1)
    assert lease.should_request(2 * NS_PER_S + RETRY_INTERVAL_NS)


def test_pending_requests_are_bounded_and_the_oldest_are_dropped() -> None:
    lease = KeyLease(LEASE_MS)
    lease.set_applied_sequence(1)
    numbers = [lease.record_request(second * NS_PER_S) for second in range(MAX_PENDING_REQUESTS + 5)]
    lease.handle_grant(numbers[0], 1)
    assert not lease.is_valid(1)
    lease.handle_grant(numbers[-1], 1)
    assert lease.is_valid((MAX_PENDING_REQUESTS + 5) * NS_PER_S)


EVENT = st.one_of(
    st.tuples(st.just("remove"), st.just(0)),
    st.tuples(st.just("request"), st.integers(0, 900)),  # delay in ms until the core reads
    st.tuples(st.just("deliver"), st.integers(0, 5)),
    st.tuples(st.just("apply"), st.just(0)),
)


@given(events=st.lists(st.tuples(EVENT, st.integers(0, 2_000))))
def test_no_key_is_honoured_beyond_the_lease_despite_lost_or_late_answers(events) -> None:
    """Each acknowledged configuration removes a key; the oldest one not applied here sets the strictest bound."""
    lease = KeyLease(LEASE_MS)
    now_ns, latest, applied = 0, 0, 0
    acknowledged_at_ns = {0: 0}
    pending: list[tuple[int, int]] = []  # request number and time at which the core reads
    lease.set_applied_sequence(0)
    for (kind, value), pause_ms in events:
        now_ns += pause_ms * NS_PER_MS
        if kind == "remove":
            latest += 1
            acknowledged_at_ns[latest] = now_ns
        elif kind == "request":
            pending.append((lease.record_request(now_ns), now_ns + value * NS_PER_MS))
        elif kind == "deliver" and pending:
            number, read_at_ns = pending.pop(value % len(pending))
            granted = max(
                sequence for sequence, at_ns in acknowledged_at_ns.items() if at_ns <= max(read_at_ns, 0)
            )
            now_ns = max(now_ns, read_at_ns)
            lease.handle_grant(number, granted)
        elif kind == "apply":
            applied = latest
            lease.set_applied_sequence(applied)
        if lease.is_valid(now_ns) and applied < latest:
            assert now_ns - acknowledged_at_ns[applied + 1] <= LEASE_MS * NS_PER_MS
