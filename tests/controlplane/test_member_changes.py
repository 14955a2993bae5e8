"""Changes of the member set among hosts of the register in one process."""

from __future__ import annotations

from iristrack.controlplane import changes
from iristrack.register import Committed, Overtaken, Rejected, Unavailable, change_members, replaced, settled
from iristrack.relay import topics
from iristrack.runtime.scheduler import clock
from iristrack.wire.messages import FOUNDED, MembersValue
from iristrack.wire.values import decode_value
from tests.controlplane.test_operator_api import MEMBERS, Core

PATIENCE_NS = 5_000_000_000
SHORT_NS = 400_000_000
FIRST = MembersValue(FOUNDED, MEMBERS)


def read(core: Core, name: str, key: str = topics.CONFIGURATION, patience_ns: int = PATIENCE_NS):
    return core.hosts[name].change(key, changes.unchanged, clock() + patience_ns)


def test_a_message_to_itself_from_before_a_change_of_the_set_does_no_harm() -> None:
    core = Core()
    host = core.hosts[MEMBERS[0]]
    newer = settled(FIRST)
    results = []
    core.run(
        lambda: results.append(read(core, MEMBERS[0])),
        lambda: host.follow(newer, False, lambda: None),
    )
    assert core.failures == []
    assert isinstance(results[0], Committed)
    assert all(other.member_set == newer for other in core.hosts.values())  # who answers is told


def test_a_change_of_the_set_is_one_whoever_proposes_it() -> None:
    core = Core()
    proposals = [replaced(FIRST, MEMBERS[2], "x"), replaced(FIRST, MEMBERS[1], "y")]
    results = []

    def propose(name: str, proposed: MembersValue) -> None:
        change = change_members(FIRST, proposed)
        results.append(core.hosts[name].change(topics.MEMBER_SET, change, clock() + PATIENCE_NS))

    core.run(lambda: propose(MEMBERS[0], proposals[0]), lambda: propose(MEMBERS[0], proposals[1]))
    told = {decode_value(result.value, MembersValue) for result in results}
    assert len(told) == 1 and told < set(proposals)
    assert sum(isinstance(result, Committed) for result in results) == 1
    assert sum(isinstance(result, Rejected | Overtaken) for result in results) == 1


def test_a_replaced_member_votes_no_more_and_still_proposes() -> None:
    core = Core()
    out = core.hosts[MEMBERS[2]]
    without = settled(replaced(FIRST, MEMBERS[2], "x"))  # x is never there: the two others are a majority
    for host in core.hosts.values():
        host.follow(without, False, lambda: None)
    assert not out.voting
    assert not out.is_member
    core.cut = {"x"}
    results = []
    core.run(lambda: results.append(read(core, MEMBERS[2])))
    assert isinstance(results[0], Committed)


def test_members_of_an_older_set_are_no_majority_of_the_newer_one() -> None:
    core = Core()
    first, second, _ = core.hosts.values()
    second.follow(settled(replaced(FIRST, MEMBERS[0], "x")), False, lambda: None)
    core.cut = {MEMBERS[2], "x"}
    results = []
    core.run(lambda: results.append(read(core, MEMBERS[0], patience_ns=SHORT_NS)))
    assert results == [Unavailable(in_doubt=False)]
    assert not first.voting
