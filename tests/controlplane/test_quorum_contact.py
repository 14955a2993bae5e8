"""Tests of whether a control plane reaches a quorum, according to recent messages."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from iristrack.controlplane.quorum_contact import QuorumContact


@pytest.mark.parametrize(
    ("members", "heard", "expected"),
    [
        ((), ("b",), False),  # no member set is known
        (("a", "b", "c"), ("b",), True),
        (("a", "b", "c"), (), False),
        (("a", "b", "c"), ("x", "y"), False),  # not members
        (("b", "c", "d"), ("b",), False),  # the process itself is not a member
        (("b", "c", "d"), ("b", "c"), True),
        (("a", "b", "c", "d"), ("b",), False),
        (("a", "b", "c", "d", "e"), ("b", "c"), True),
    ],
)
def test_a_quorum_is_more_than_half_of_the_set(members, heard, expected: bool) -> None:
    register = SimpleNamespace(name="a", members=members)
    dialers = SimpleNamespace(heard_within=lambda ns: list(heard))
    assert QuorumContact(register, dialers).has_quorum() is expected
