"""Losses of core machines: whatever was acknowledged is there afterwards, and calls go on with a majority."""

from __future__ import annotations

import signal

import pytest

from iristrack.standin.client import BrokenAnswer, ask_once
from iristrack.standin.documents import Document, route
from iristrack.standin.machine import Machine
from iristrack.standin.operator import call_once, replace_call
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from tests.system.scene import CHAT, HOST, MODEL, plain, start_usual, usual_configuration

VOTING = "event=voting"
REPEATS = 3


def version(revision: int) -> Document:
    """A configuration with a route of its own."""
    return usual_configuration(revision, route(HOST, f"/v{revision}/", "chat"))


def serves(edge: Machine, path: str) -> bool:
    try:
        return ask_once(edge.front, plain(path)).status == 200
    except BrokenAnswer:
        return False


def wait_served(system: System, revision: int) -> None:
    for edge in system.edges:
        wait_until(lambda edge=edge: serves(edge, f"/v{revision}/"), f"revision {revision} at {edge.name}")


def restart(machines: list[Machine]) -> None:
    """Start again, and not for the first time."""
    for machine in machines:
        machine.change_settings(bootstrap=False)
        machine.start()


def wait_voting(core: Machine, times: int) -> None:
    """Until it has said so many times, over all its starts, that it votes."""
    wait_until(lambda: core.log().count(VOTING) >= times, f"the vote of {core.name}")


def newest(system: System, core: Machine | None = None) -> Document:
    answer = system.operator.read(first=core.control if core else None)
    assert answer.status == 200
    return answer.json


@pytest.fixture
def system(new_system) -> System:
    system = new_system(cores=3, edges=1)
    start_usual(system)
    for core in system.cores:
        wait_voting(core, 1)
    return system


def test_the_member_that_acknowledged_is_killed_right_after(system: System) -> None:
    for number in range(REPEATS):
        core = system.cores[number]
        base, document = 1 + number, version(2 + number)
        answer = wait_until(
            lambda core=core, document=document, base=base: _acknowledged(core, document, base),
            "an acknowledgement",
        )
        core.kill()
        assert answer.status == 200
        for other in system.cores:
            if other is not core:
                assert newest(system, other) == document
        wait_served(system, document["revision"])
        restart([core])
        system.wait_listening([core])
        assert newest(system, core) == document


def _acknowledged(core: Machine, document: Document, base: int):
    answer = call_once(core.control, replace_call(document, base))
    return answer if answer.status == 200 else None


def test_a_member_without_its_disk_recovers_before_the_next_one_loses_its_own(system: System) -> None:
    for number, core in enumerate(system.cores):
        core.kill()
        core.wipe_disk()
        document = version(2 + number)
        assert system.operator.replace(document, 1 + number).status == 200  # the other two
        before = core.log().count(VOTING)
        core.start()
        wait_voting(core, before + 1)
        assert newest(system) == document
    # No disk of the first start is left: what is known was taken over from member to member.
    for core in system.cores:
        core.kill()
    restart(system.cores)
    assert newest(system) == version(4)
    assert system.operator.replace(version(9), 4).status == 200
    wait_served(system, 9)


def test_a_member_that_lost_its_disk_has_no_vote_before_it_recovered(system: System) -> None:
    assert system.operator.replace(version(2), 1).status == 200
    first, second, third = system.cores
    for core in system.cores:
        core.kill()
    second.wipe_disk()
    third.wipe_disk()
    restart([second, third])
    system.wait_listening([second, third])
    # Two of three are there, and none of them remembers: neither may take part in a new beginning.
    for core in (second, third):
        answer = call_once(core.control, replace_call(usual_configuration(1), 0))
        assert answer.status == 503, answer
    restart([first])
    wait_until(lambda: "voting=true" in first.log(), "the first member's vote from its disk")
    for core in system.cores:  # one memory of three is no majority
        assert call_once(core.control, replace_call(usual_configuration(1), 0)).status == 503


def test_all_members_are_killed_and_start_again(system: System) -> None:
    for number in range(REPEATS):
        document = version(2 + number)
        assert system.operator.replace(document, 1 + number).status == 200
        for core in system.cores:
            core.kill()
        assert serves(system.edges[0], "/plain/x")  # clients are served without the core
        restart(system.cores)
        assert newest(system) == document
        wait_served(system, document["revision"])


def test_everything_is_killed_and_one_disk_is_lost(system: System) -> None:
    assert system.operator.replace(version(2), 1).status == 200
    for machine in system.machines:
        machine.kill()
    system.cores[1].wipe_disk()
    restart(system.machines)
    assert newest(system) == version(2)
    system.wait_ready()
    wait_served(system, 2)
    wait_voting(system.cores[1], 2)
    assert system.operator.replace(version(3), 2).status == 200


def test_a_frozen_member_holds_nobody_up_and_is_told_when_it_thaws(system: System) -> None:
    for number, core in enumerate(system.cores):
        core.send_signal(signal.SIGSTOP)
        document = version(2 + number)
        others = [other for other in system.cores if other is not core]
        assert system.operator.replace(document, 1 + number, first=others[0].control).status == 200
        assert newest(system, others[1]) == document
        wait_served(system, document["revision"])
        core.send_signal(signal.SIGCONT)
        assert wait_until(lambda core=core: _read_once(core), f"an answer of {core.name}") == document


def test_a_spare_takes_the_place_of_a_member_that_is_frozen_for_good(system: System) -> None:
    """The machine of a frozen process goes on taking connections: it counted as connected whenever it was dialled."""
    frozen, *others = system.cores
    assert system.operator.replace(version(2), 1).status == 200
    frozen.send_signal(signal.SIGSTOP)
    spare = system.new_core()
    spare.start()
    wait_until(lambda: VOTING in spare.log(), "the vote of the spare")
    others[0].kill()
    assert system.operator.replace(version(3), 2, first=spare.control).status == 200
    frozen.send_signal(signal.SIGCONT)  # it votes no more, and knows what it missed
    assert wait_until(lambda: _read_once(frozen), "an answer of the one that thaws") == version(3)


def _read_once(core: Machine) -> Document | None:
    try:
        answer = call_once(core.control, type(replace_call(b"", 0))("GET", "/config/read"))
    except OSError:
        return None
    return answer.json if answer.status == 200 else None


def test_without_a_majority_nothing_is_acknowledged(system: System) -> None:
    last, *others = system.cores
    for core in others:
        core.kill()
    for _ in range(REPEATS):
        assert call_once(last.control, replace_call(version(2), 1)).status == 503
    assert serves(system.edges[0], "/plain/x")
    restart(others)
    assert system.operator.replace(version(2), 1).status == 200
    wait_served(system, 2)


def test_a_seed_without_its_disk_whose_settings_are_those_of_the_first_start_recovers(system: System) -> None:
    assert system.operator.replace(version(2), 1).status == 200
    first = system.cores[0]
    first.kill()
    first.wipe_disk()
    first.change_settings(bootstrap=True)
    first.start()
    wait_voting(first, 2)
    assert first.log().count("event=recovering") == 1
    assert newest(system, first) == version(2)


def test_five_of_which_two_seeds_lose_their_disks_at_once(new_system) -> None:
    """The core machines that are not seeds are members as well: three of five remember what was acknowledged."""
    system = new_system(cores=5, edges=1)
    start_usual(system)
    for core in system.cores:
        wait_voting(core, 1)
    seeds = [core for core in system.cores if core.control in core.settings["seed_nodes"]]
    others = [core for core in system.cores if core not in seeds]
    assert (len(seeds), len(others)) == (3, 2)
    for core in seeds[:2]:
        core.kill()
        core.wipe_disk()
    assert system.operator.replace(version(2), 1).status == 200
    for core in [*seeds[2:], *others]:
        core.kill()
    restart([*seeds[2:], *others])
    assert newest(system) == version(2)
    restart(seeds[:2])
    for core in seeds[:2]:
        wait_voting(core, 2)
    for core in others:  # another two, which only those that recovered can stand in for
        core.kill()
    assert system.operator.replace(version(3), 2).status == 200
    wait_served(system, 3)


def test_a_seed_that_starts_when_the_others_have_agreed_votes_as_well(new_system) -> None:
    """It recovers from the four others, of which two are no seeds and do not wait for it."""
    system = new_system(cores=5, edges=0)
    late, *others = system.cores
    for core in others:
        core.start()
    for core in others:
        wait_voting(core, 1)
    assert system.operator.replace(version(1), 0).status == 200
    late.start()
    wait_voting(late, 1)
    assert newest(system, late) == version(1)


def test_a_new_machine_takes_the_place_of_a_member_that_is_lost_for_good(system: System) -> None:
    lost, second, third = system.cores
    lost.kill()
    spare = system.new_core()
    spare.start()
    wait_voting(spare, 1)
    assert system.operator.replace(version(2), 1).status == 200
    second.kill()  # two of the three that vote now are left, one of which was no member before
    assert system.operator.replace(version(3), 2, first=spare.control).status == 200
    wait_served(system, 3)
    restart([lost])
    wait_until(lambda: "event=retired" in lost.log(), "the end of the lost member's vote")
    assert newest(system, lost) == version(3)
    third.kill()  # the spare alone: what the retired member's disk holds counts for nothing
    assert call_once(spare.control, replace_call(version(4), 3)).status == 503


def test_members_are_exchanged_one_by_one_until_none_of_the_first_is_left(system: System) -> None:
    for number, old in enumerate(list(system.cores)):
        old.kill()
        spare = system.new_core()
        spare.start()
        wait_voting(spare, 1)
        assert system.operator.replace(version(2 + number), 1 + number).status == 200
    wait_served(system, 4)
    assert [core.running for core in system.cores] == [False] * 3 + [True] * 3
    for core in system.cores[3:]:
        core.kill()
    restart(system.cores[3:])
    assert newest(system, system.cores[-1]) == version(4)
    assert system.operator.replace(version(5), 4).status == 200


def test_a_core_machine_that_is_too_late_for_the_founding_is_let_in(new_system) -> None:
    system = new_system(cores=5, edges=1)
    *punctual, late = system.cores
    system.add_model_servers(CHAT, MODEL, 1)
    for machine in [*punctual, *system.edges]:
        machine.start()
    for core in punctual[:3]:
        wait_voting(core, 1)
    assert system.operator.replace(usual_configuration(1), 0).status == 200
    late.start()
    for core in (punctual[3], late):  # on a busy machine both are too late
        wait_voting(core, 1)
    for core in punctual[
        :2
    ]:  # three of five are a majority, three of four would be as well: so a third one goes
        core.kill()
    assert system.operator.replace(version(2), 1).status == 200
    restart(punctual[:1])
    system.wait_listening(punctual[:1])
    punctual[2].kill()
    assert system.operator.replace(version(3), 2).status == 200


# ---- planned replacement, cuts


def waits_at(core: Machine, spare: Machine) -> bool:
    """Does this member hear a core machine that is no member yet?"""
    peers = read_status(core)["peers"]
    return any(peer["node"] == spare.name for peer in peers)


def read_status(core: Machine) -> Document:
    return call_once(core.control, type(replace_call(b"", 0))("GET", "/system/status")).json


@pytest.mark.parametrize("wiped", [1, 2])
def test_a_planned_replacement_leaves_no_moment_in_which_another_disk_is_one_too_many(
    system: System, wiped: int
) -> None:
    leaving = system.cores[0]
    assert system.operator.replace(version(2), 1).status == 200
    spare = system.new_core()
    spare.start()
    for core in system.cores[:3]:
        wait_until(lambda core=core: waits_at(core, spare), f"word of the spare at {core.name}")
    leaving.send_signal(signal.SIGTERM)
    wait_until(lambda: not leaving.running, "the end of the member that leaves")
    lost = system.cores[wiped]
    lost.kill()
    lost.wipe_disk()
    # The newcomer votes already: with the third member it is a majority that holds everything.
    assert system.operator.replace(version(3), 2).status == 200
    restart([lost])
    wait_voting(lost, 2)
    wait_served(system, 3)


STEPS = ("told to end", "changed the set", "recovers", "votes", "settled")


def step_is_reached(step: str, members: list[Machine], spare: Machine) -> bool:
    logs = [machine.log() for machine in (*members, spare)]
    if step == "told to end":
        return True
    if step == "changed the set":
        return any(f"joining={spare.ip}" in log for log in logs)
    if step == "settled":
        return 'event="members changed"' in spare.log()
    return {"recovers": "event=recovering", "votes": VOTING}[step] in spare.log()


@pytest.mark.parametrize("step", STEPS)
def test_a_disk_may_be_lost_right_after_each_step_of_a_planned_replacement(system: System, step: str) -> None:
    leaving, lost, other = system.cores
    assert system.operator.replace(version(2), 1).status == 200
    spare = system.new_core()
    spare.start()
    for core in (leaving, lost, other):
        wait_until(lambda core=core: waits_at(core, spare), f"word of the spare at {core.name}")
    leaving.send_signal(signal.SIGTERM)
    wait_until(lambda: step_is_reached(step, [leaving, lost, other], spare), step)
    lost.kill()
    lost.wipe_disk()
    wait_until(lambda: not leaving.running, "the end of the member that leaves")
    wait_until(lambda: VOTING in spare.log(), "the vote of the newcomer")
    assert newest(system, other) == version(2)
    assert system.operator.replace(version(3), 2, first=spare.control).status == 200
    restart([lost])
    wait_voting(lost, 2)
    assert newest(system, lost) == version(3)
    wait_served(system, 3)


def test_a_member_that_reaches_no_quorum_says_so_and_asks_no_register(system: System) -> None:
    last, *others = system.cores
    for core in others:
        core.send_signal(signal.SIGSTOP)
    wait_until(lambda: not read_status(last)["in_quorum"], "the end of its contact with a quorum")
    asked = last.log().count("configuration call")
    for _ in range(REPEATS):
        answer = call_once(last.control, replace_call(version(2), 1))
        assert answer.status == 503
    assert call_once(last.control, type(replace_call(b"", 0))("GET", "/config/read")).status == 503
    assert last.log().count("configuration call") == asked
    assert serves(system.edges[0], "/plain/x")
    for core in others:
        core.send_signal(signal.SIGCONT)
    wait_until(lambda: read_status(last)["in_quorum"], "contact with a quorum")
    assert system.operator.replace(version(2), 1, first=last.control).status == 200
    wait_served(system, 2)


CHANGES = 300


def test_after_hundreds_of_changes_a_restarted_and_a_wiped_member_catch_up(system: System) -> None:
    restarted, wiped, _ = system.cores
    revision = 1
    for target in (CHANGES // 3, 2 * CHANGES // 3, CHANGES):
        while revision < target:
            revision += 1
            assert system.operator.replace(version(revision), revision - 1).status == 200
        if target == CHANGES // 3:
            restarted.kill()
        elif target == 2 * CHANGES // 3:
            restart([restarted])
            system.wait_listening([restarted])
            assert newest(system, restarted) == version(revision)
            wiped.kill()
            wiped.wipe_disk()
    restart([wiped])
    wait_voting(wiped, 2)
    assert newest(system, wiped) == version(CHANGES)
    # What was taken long ago is known as taken, by the member that has lost its disk meanwhile too.
    repeated = call_once(wiped.control, replace_call(version(20), 19))
    assert repeated.status == 200
    other = version(20) | {"limits": {**version(20)["limits"], "idle_timeout_ms": 1}}
    assert call_once(wiped.control, replace_call(other, 19)).status == 412
    wait_served(system, CHANGES)
