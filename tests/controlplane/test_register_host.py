"""Tests of the register host on a disk that refuses records, or loses power, while the member set changes."""

from __future__ import annotations

import random

import pytest

from iristrack.controlplane.register_host import DISK_BLOB, MEMBERS_BLOB, RegisterHost
from iristrack.register import RECOVERY_KEY, RegisterState
from iristrack.relay import topics
from iristrack.simulation.virtual_machines import SilentLog, VirtualDisk, VirtualSync
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.store.acceptor_store import IdentityRecord, RegisterRecord
from iristrack.wire.messages import FOUNDED, Ballot, MembersValue, Prepare
from iristrack.wire.values import encode_value

NS_PER_S = 1_000_000_000
OWN = "a"
FOUNDING_SET = MembersValue(FOUNDED, ("a", "b", "c"))
NEXT_SET = MembersValue(FOUNDED + 1, ("a", "b", "d"), "d", "c")
SETTLED_SET = MembersValue(FOUNDED + 2, ("a", "b", "d"))
ACCEPTED = Ballot(3, "p")
KEYS = (topics.CONFIGURATION, topics.MEMBER_SET)


class Machine:
    """One machine; `sent` records what its host sends to other members."""

    def __init__(self, disk: VirtualDisk, seed: int = 1) -> None:
        self.seed = seed
        self.world = World()
        self.disk = disk
        self.sent: list[tuple[str, object]] = []
        self.lines: list[str] = []
        self.adopted: list[int] = []  # sequences of the member sets for which `on_done` was called
        self.start()

    def start(self) -> None:
        self.scheduler = VirtualScheduler(self.world)
        self.sync = VirtualSync(self.scheduler, self.disk)
        self.host = RegisterHost(
            self.scheduler,
            OWN,
            self.disk.opened(OWN),
            self.sync,
            lambda member, message: self.sent.append((member, message)),
            KEYS,
            SilentLog(self.world, OWN, self.lines),
            random.Random(self.seed),
        )

    def follow(self, members: MembersValue) -> None:
        self.host.follow(members, False, lambda: self.adopted.append(members.sequence))

    def pass_time(self, seconds: float) -> None:
        self.world.run_until(self.world.now + int(seconds * NS_PER_S))
        assert self.world.failures == []


def member_disk() -> VirtualDisk:
    disk = VirtualDisk()
    registers = [RegisterRecord(key, ACCEPTED, ACCEPTED, key.encode()) for key in KEYS]
    disk.keep([IdentityRecord("first", OWN), *registers])
    disk.blobs[MEMBERS_BLOB] = encode_value(FOUNDING_SET)
    return disk


def prepare(members: MembersValue) -> Prepare:
    return Prepare(1, topics.CONFIGURATION, Ballot(4, "q"), members.sequence)


@pytest.mark.parametrize("sets", [[NEXT_SET], [NEXT_SET, SETTLED_SET], [NEXT_SET, NEXT_SET]])
def test_a_member_set_change_while_the_disk_refuses_needs_no_recovery(sets: list[MembersValue]) -> None:
    machine = Machine(member_disk())
    machine.disk.refusing = True
    machine.host.handle(prepare(FOUNDING_SET), lambda answer: None)
    machine.pass_time(0.1)
    assert not machine.host.voting
    for members in sets:
        machine.follow(members)
        machine.pass_time(1)
    assert machine.sent == []  # no request to other members for state that is on its own disk
    assert not machine.host.voting
    machine.disk.refusing = False
    machine.pass_time(2)
    assert machine.host.voting
    assert machine.host.incarnation == "first"
    assert machine.host.member_set == sets[-1]
    assert machine.host.acceptor.state(topics.CONFIGURATION) == RegisterState(
        ACCEPTED, ACCEPTED, b"configuration"
    )
    assert machine.adopted == [sets[-1].sequence]
    answers = []
    machine.host.handle(prepare(sets[-1]), answers.append)
    machine.pass_time(0.1)
    assert [answer.granted for answer in answers] == [True]
    machine.start()
    assert machine.host.member_set == sets[-1]


def test_a_member_set_whose_record_the_disk_refuses_is_reported_once_it_is_written() -> None:
    machine = Machine(member_disk())
    machine.disk.refusing = True
    machine.follow(NEXT_SET)
    machine.follow(SETTLED_SET)
    machine.pass_time(2)
    assert machine.adopted == []
    machine.disk.refusing = False
    machine.pass_time(2)
    assert (machine.adopted, machine.host.voting) == ([SETTLED_SET.sequence], True)
    assert machine.host.member_set == SETTLED_SET


def test_a_joining_member_that_gets_its_set_twice_keeps_the_state_on_its_refusing_disk() -> None:
    joining = MembersValue(FOUNDED + 1, ("a", "b", "c"), OWN, "z")
    disk = member_disk()
    disk.blobs[MEMBERS_BLOB] = encode_value(joining)
    machine = Machine(disk)
    disk.refusing = True
    machine.host.handle(prepare(joining), lambda answer: None)
    machine.pass_time(0.1)
    machine.follow(joining)
    disk.refusing = False
    machine.pass_time(2)
    assert machine.host.voting
    assert machine.host.incarnation == "first"
    assert machine.sent == []


def test_a_member_replaced_while_its_disk_refuses_does_not_vote_again() -> None:
    machine = Machine(member_disk())
    machine.disk.refusing = True
    machine.host.handle(prepare(FOUNDING_SET), lambda answer: None)
    machine.pass_time(0.1)
    machine.follow(MembersValue(FOUNDED + 1, ("b", "c", "d"), "d", OWN))
    machine.disk.refusing = False
    machine.pass_time(5)
    assert not machine.host.voting
    assert machine.host.acceptor is None


def test_a_power_loss_while_recovered_records_are_written_allows_no_vote_without_them() -> None:
    """The disk belongs to a member that was replaced and is admitted again, so its registers are outdated."""
    recovered = (RegisterRecord(topics.CONFIGURATION, Ballot(9, "r"), Ballot(9, "r"), b"newer"),)
    written = 0
    while True:
        disk = member_disk()
        disk.keep([IdentityRecord("", OWN)])
        machine = Machine(disk)
        machine.host._begin(SETTLED_SET, "second", recovered, lambda: None)
        records = machine.sync.unsynced()
        disk.keep(records[:written])
        machine.start()
        if machine.host.voting:
            assert machine.host.acceptor.state(topics.CONFIGURATION).value == b"newer"
            assert machine.host.member_set == SETTLED_SET
        written += 1
        if written > len(records):
            break
    assert machine.host.voting


# ---- the disk's name


def test_a_disk_keeps_its_name_over_restarts_and_a_new_disk_gets_another() -> None:
    disk = VirtualDisk()
    first = Machine(disk)
    first.pass_time(0.1)
    assert Machine(disk, seed=2).host.disk == first.host.disk
    assert Machine(VirtualDisk(), seed=2).host.disk != first.host.disk
    assert disk.identity.incarnation == ""  # a name alone does not allow voting


def test_a_disk_with_votes_but_without_a_name_gets_no_name() -> None:
    """A name says that every vote from the disk was given under it, which earlier votes contradict."""
    disk = member_disk()
    Machine(disk).pass_time(0.1)
    assert DISK_BLOB not in disk.blobs


def test_a_replaced_member_serves_only_the_disk_that_the_set_names() -> None:
    machine = Machine(member_disk())
    joining = MembersValue(FOUNDED + 1, ("b", "c", "d"), "d", OWN, "named")
    machine.follow(joining)
    answers = []
    for disk in ("other", "named"):
        ballot = Ballot(9, f"d/{disk}")
        machine.host.handle(Prepare(1, RECOVERY_KEY, ballot, joining.sequence, disk), answers.append)
        machine.pass_time(0.1)
    assert [answer.granted for answer in answers] == [False, True]
