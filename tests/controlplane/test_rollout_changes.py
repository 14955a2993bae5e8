"""Tests of changes to the register of roll-outs: orders, repeats, and steps under a fencing token."""

from __future__ import annotations

from dataclasses import replace

from iristrack.controlplane.changes import (
    MAX_ROLLOUTS,
    ROLLOUT_DIFFERS,
    ROLLOUT_RUNNING,
    TOO_MANY_ROLLOUTS,
    BeginRollout,
    advance_rollout,
)
from iristrack.engines.rollouts import FINISHED, REVERTED, RUNNING
from iristrack.register import Refuse, Unchanged
from iristrack.wire.messages import RolloutState, RolloutsValue
from iristrack.wire.values import decode_value

REPEAT_MS = 7_500


def begin(value: bytes, service: str = "pool", version: str = "v2", over_ms: int = 16_000, age_ms: int = 0):
    return BeginRollout(service, version, over_ms, REPEAT_MS, lambda: age_ms)(value)


def state(value: bytes, service: str = "pool") -> RolloutState:
    return next(s for s in decode_value(value, RolloutsValue).rollouts if s.service == service)


def advanced(value: bytes, fence: int, **changes: object) -> bytes:
    before = state(value)
    return advance_rollout(before, replace(before, **changes), fence)(value)


def test_an_order_starts_at_share_zero_and_its_repeat_changes_nothing() -> None:
    value = begin(b"")
    assert state(value) == RolloutState("pool", "v2", 16_000, RUNNING, 0, 1)
    assert begin(value) == Unchanged()
    assert begin(value, age_ms=10**6) == Unchanged()  # while the roll-out runs


def test_another_version_is_refused_while_a_rollout_runs() -> None:
    value = begin(b"")
    assert begin(value, version="v3") == Refuse(ROLLOUT_RUNNING)
    assert begin(value, over_ms=9_000) == Refuse(ROLLOUT_RUNNING)
    after = begin(advanced(value, 1, phase=FINISHED), version="v3")
    assert (state(after).version, state(after).number) == ("v3", 2)


def test_a_late_repeat_of_an_order_does_not_restart_a_reverted_rollout() -> None:
    value = advanced(begin(b""), 1, phase=REVERTED, elapsed_ms=3_000)
    assert begin(value, age_ms=REPEAT_MS - 3_000) == Unchanged()
    assert state(begin(value, age_ms=REPEAT_MS - 2_999)).phase == RUNNING


def test_services_are_rolled_out_independently_and_their_number_is_bounded() -> None:
    value = b""
    for number in range(MAX_ROLLOUTS):
        value = begin(value, service=f"s{number}")
    assert begin(value, service="one more") == Refuse(TOO_MANY_ROLLOUTS)
    assert state(value, "s0").phase == RUNNING


def test_a_step_requires_the_expected_state_and_a_fence_that_is_not_lower() -> None:
    value = begin(b"")
    first = state(value)
    stepped = advanced(value, 5, share=40)
    assert (state(stepped).share, decode_value(stepped, RolloutsValue).fence) == (40, 5)
    assert advance_rollout(first, replace(first, share=100), 6)(stepped) == Refuse(ROLLOUT_DIFFERS)
    now = state(stepped)
    assert advance_rollout(now, replace(now, share=100), 4)(stepped) == Refuse(ROLLOUT_DIFFERS)
    assert state(advance_rollout(now, replace(now, share=100), 5)(stepped)).share == 100
    assert advance_rollout(first, first, 9)(b"") == Refuse(ROLLOUT_DIFFERS)
