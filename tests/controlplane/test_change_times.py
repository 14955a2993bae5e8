"""How long a change of a register and each of its attempts may take, by the length of its value."""

from __future__ import annotations

import pytest

from iristrack.controlplane import changes, register_host
from iristrack.controlplane.operator_api import CALL_TIMEOUT_NS, MAX_BODY_BYTES
from iristrack.controlplane.state_machine_runner import MIN_ATTEMPT_NS, transfer_ns
from iristrack.register import Proposer, RetryPolicy
from iristrack.relay import topics
from iristrack.runtime.scheduler import clock
from tests.controlplane.test_operator_api import MEMBERS, Core

SLOW_LINK_BYTES_PER_S = 50_000_000 / 8  # of 50 Mbit/s
MS = 1_000_000


@pytest.fixture
def paces(monkeypatch: pytest.MonkeyPatch) -> list[RetryPolicy]:
    """The pace of each proposer that a host makes."""
    made: list[RetryPolicy] = []

    class Seen(Proposer):
        def __init__(self, *arguments, **options) -> None:
            made.append(arguments[-1])
            super().__init__(*arguments, **options)

    monkeypatch.setattr(register_host, "Proposer", Seen)
    return made


@pytest.mark.parametrize("patience_ns", [CALL_TIMEOUT_NS, CALL_TIMEOUT_NS + transfer_ns(MAX_BODY_BYTES)])
def test_an_attempt_has_a_third_of_the_calls_time_and_no_less_than_it_had(paces, patience_ns: int) -> None:
    core = Core()
    host = core.hosts[MEMBERS[0]]
    core.run(lambda: host.change(topics.CONFIGURATION, changes.unchanged, clock() + patience_ns))
    (pace,) = paces
    assert pace.attempt_timeout_ns >= MIN_ATTEMPT_NS
    assert abs(pace.attempt_timeout_ns - patience_ns // 3) < 50 * MS


def test_the_largest_configuration_has_time_to_cross_a_slow_link_within_its_call() -> None:
    assert transfer_ns(0) == 0
    crossing_ns = MAX_BODY_BYTES / SLOW_LINK_BYTES_PER_S * 1e9
    assert transfer_ns(MAX_BODY_BYTES) > crossing_ns


def test_the_length_that_counts_is_that_of_the_value_held_here() -> None:
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
