"""Tests of the bootstrap: exactly one first member set results, and no other register is changed before."""

from __future__ import annotations

from iristrack.controlplane import changes
from iristrack.controlplane.founding import propose_members
from iristrack.register import Committed, Unavailable, Unchanged
from iristrack.relay import topics
from iristrack.runtime.scheduler import clock
from iristrack.wire.messages import FOUNDED, UNFOUNDED, MembersValue
from iristrack.wire.values import decode_value
from tests.controlplane.test_operator_api import MEMBERS, Core

TIMEOUT_NS = 5_000_000_000


def test_an_agreed_member_set_is_kept() -> None:
    first = propose_members(("a", "b"))(b"")
    assert decode_value(first, MembersValue) == MembersValue(FOUNDED, ("a", "b"))
    assert propose_members(("a", "b", "c"))(first) == Unchanged()
    assert UNFOUNDED < FOUNDED


def test_seeds_with_different_proposals_agree_on_one_set() -> None:
    core = Core(founded=False)
    results = []

    def propose(name: str, joined: tuple[str, ...]) -> None:
        change = propose_members(MEMBERS + joined)
        result = core.hosts[name].change(topics.MEMBERS, change, clock() + TIMEOUT_NS)
        assert isinstance(result, Committed)
        results.append(decode_value(result.value, MembersValue).members)

    tasks = [(MEMBERS[0], ("d", "e")), (MEMBERS[1], ("d",)), (MEMBERS[2], ())]
    core.run(*[lambda name=name, joined=joined: propose(name, joined) for name, joined in tasks])
    assert len(results) == 3 and len(set(results)) == 1
    assert results[0] in [MEMBERS + joined for _, joined in tasks]


def test_no_other_register_is_changed_before_the_set_is_known() -> None:
    core = Core(founded=False)
    results = []

    def read() -> None:
        host = core.hosts[MEMBERS[0]]
        results.append(host.change(topics.CONFIGURATION, changes.unchanged, clock() + TIMEOUT_NS))
        host.follow(MembersValue(FOUNDED, MEMBERS), False, lambda: None)
        while not host.founded:
            core.scheduler.sleep(1_000_000)
        results.append(host.change(topics.CONFIGURATION, changes.unchanged, clock() + TIMEOUT_NS))

    core.run(read)
    assert results[0] == Unavailable(in_doubt=False)
    assert isinstance(results[1], Committed)
