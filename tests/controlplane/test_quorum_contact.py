"""Whether a control plane reaches a quorum, by what it has heard lately."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from iristrack.controlplane.quorum_contact import QuorumContact


@pytest.mark.parametrize(
    ("members", "heard", "holds"),
    [
        ((), ("b",), False),  # no set is known
        (("a", "b", "c"), ("b",), True),
        (("a", "b", "c"), (), False),
        (("a", "b", "c"), ("x", "y"), False),  # strangers
        (("b", "c", "d"), ("b",), False),  # it is no member itself
        (("b", "c", "d"), ("b", "c"), True),
        (("a", "b", "c", "d"), ("b",), False),
        (("a", "b", "c", "d", "e"), ("b", "c"), True),
    ],
)
def test_a_quorum_is_more_than_half_of_the_set(members, heard, holds: bool) -> None:
    register = SimpleNamespace(name="a", members=members)
    dialers = SimpleNamespace(heard_within=lambda ns: list(heard))
    assert QuorumContact(register, dialers).has_quorum() is holds
