"""Tests of the time limits of a register change and of its attempts, by the length of the value."""

from __future__ import annotations

import pytest

from iristrack.controlplane import changes, register_host
from iristrack.controlplane.operator_api import CALL_TIMEOUT_NS, MAX_BODY_BYTES
from iristrack.controlplane.state_machine_runner import MIN_ATTEMPT_NS, transfer_ns
from iristrack.register import Proposer, RetryPolicy
from iristrack.relay import topics
from iristrack.runtime.scheduler import clock
from tests.controlplane.test_operator_api import MEMBERS, Core

SLOW_LINK_BYTES_PER_S = 50_000_000 / 8  # 50 Mbit/s
MS = 1_000_000


@pytest.fixture
def retry_policies(monkeypatch: pytest.MonkeyPatch) -> list[RetryPolicy]:
    """The retry policy of each proposer that a host creates."""
    created: list[RetryPolicy] = []

    class RecordingProposer(Proposer):
        def __init__(self, *arguments, **options) -> None:
            created.append(arguments[-1])
            super().__init__(*arguments, **options)

    monkeypatch.setattr(register_host, "Proposer", RecordingProposer)
    return created


@pytest.mark.parametrize("timeout_ns", [CALL_TIMEOUT_NS, CALL_TIMEOUT_NS + transfer_ns(MAX_BODY_BYTES)])
def test_an_attempt_gets_a_third_of_the_calls_time_but_not_less_than_the_minimum(
    retry_policies, timeout_ns: int
) -> None:
    core = Core()
    host = core.hosts[MEMBERS[0]]
    core.run(lambda: host.change(topics.CONFIGURATION, changes.unchanged, clock() + timeout_ns))
    (retry_policy,) = retry_policies
    assert retry_policy.attempt_timeout_ns >= MIN_ATTEMPT_NS
    assert abs(retry_policy.attempt_timeout_ns - timeout_ns // 3) < 50 * MS


def test_the_largest_configuration_has_time_to_cross_a_slow_link_within_its_call() -> None:
    assert transfer_ns(0) == 0
    transfer_time_ns = MAX_BODY_BYTES / SLOW_LINK_BYTES_PER_S * 1e9
    assert transfer_ns(MAX_BODY_BYTES) > transfer_time_ns


def test_the_value_size_is_that_of_the_local_acceptor() -> None:
    core = Core()
    host = core.hosts[MEMBERS[0]]
    assert host.value_size(topics.CONFIGURATION) == 0
    core.run(
        lambda: host.change(
            topics.CONFIGURATION,
            lambda value: b"x" * 1000 if not value else changes.Unchanged(),
            clock() + CALL_TIMEOUT_NS,
        )
    )
    assert host.value_size(topics.CONFIGURATION) == 1000
