"""Runs the register's state machines: messages to and from peers, durable records before replies.

Where the disk refuses a record the acceptor votes no more, and no reply that rests on that record, or on one behind it,
is released. Once the disk takes records again it votes from what was on the disk before: nobody has been told more.
That is what a crash at this moment and a restart would give.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from iristrack.controlplane.state_machine_runner import (
    MIN_ATTEMPT_NS,
    RunningRecovery,
    StateMachineRunner,
    transfer_ns,
)
from iristrack.register import (
    Acceptor,
    Change,
    Committed,
    Proposer,
    ProposerIdentity,
    ProposerResult,
    Recovered,
    Recovery,
    RecoveryRetryPolicy,
    RegisterRecord,
    RegisterState,
    RetryPolicy,
    Unavailable,
    Unchanged,
)
from iristrack.register.acceptor import EMPTY_STATE, Outcome
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler
from iristrack.store.acceptor_store import BlobRecord, IdentityRecord, OpenedAcceptorStore
from iristrack.store.sync_thread import SyncThread
from iristrack.wire.messages import (
    FOUNDED,
    NO_BALLOT,
    UNFOUNDED,
    Accept,
    Accepted,
    ConfigurationValue,
    MembersValue,
    Message,
    Prepare,
    Promise,
    Update,
)
from iristrack.wire.values import decode_value, encode_value

MEMBERS_BLOB = "members"
DISK_BLOB = "disk"  # the disk's name
DISK_BITS = 64
PROPOSER_BITS = 48  # of a process's name as a proposer,
INCARNATION_BITS = 64  # and of an acceptor's incarnation
DISK_RETRY_NS = 500_000_000  # between two tries of a disk that refused a record
FIRST_CALL_BITS = 48  # call numbers begin anywhere: one process's are not taken for another's
ATTEMPTS = 3  # an attempt of a change gets this part of the change's time,
NO_MEMBERS = MembersValue(UNFOUNDED)
Reply = Callable[[Message], None]
SendToMember = Callable[[str, Message], None]


class RegisterHost:
    """One core member's acceptor and the proposers of this process."""

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        opened: OpenedAcceptorStore,
        sync: SyncThread,
        send: SendToMember,
        keys: tuple[str, ...],
        log,
        rng: random.Random | None = None,
        moved_bytes: Callable[[], int] = lambda: 0,
        recovery_pace: RecoveryRetryPolicy | None = None,
    ) -> None:
        """`name` is this process's inner address, by which the member set names it.

        `rng` gives waits, and names that must differ from all that were ever drawn; by default the system's.
        `moved_bytes` counts the bytes that were written to the other members and read from them.
        """
        self.rng = rng or random.SystemRandom()
        self.scheduler = scheduler
        self.name = name
        self.sync = sync
        self.send = send
        self.keys = keys
        self.log = log
        self._recovery_pace = recovery_pace
        proposer = f"{name}/{self.rng.getrandbits(PROPOSER_BITS):012x}"
        self.identity = ProposerIdentity(proposer, self.rng.getrandbits(FIRST_CALL_BITS))
        self.member_set = decode_value(opened.blobs.get(MEMBERS_BLOB, b""), MembersValue) or NO_MEMBERS
        self.acceptor: Acceptor | None = None
        self.runner = StateMachineRunner(scheduler, self._send, self.value_size, moved_bytes)
        self._opened = opened
        self._recovery: RunningRecovery | None = None
        self._forming = False
        self._left: Acceptor | None = (
            None  # of this process as it was replaced, for its successor to read from
        )
        self._when_voting_again: Callable[[], None] = lambda: None  # once the disk takes records again
        self._accepted_sequence = (NO_BALLOT, 0)  # of the configuration: its ballot and sequence
        self._on_disk: dict[
            str, RegisterState
        ] = {}  # the cells as they are on the disk, of a voting acceptor
        if self.member_set.members and opened.identity is not None and opened.identity.incarnation:
            cells = {
                key: RegisterState(r.promised, r.accepted, r.value) for key, r in opened.registers.items()
            }
            self.acceptor = self._make_acceptor(opened.identity.incarnation, cells)
        self.disk = opened.blobs.get(DISK_BLOB, b"").decode() or self._name_disk()

    def _name_disk(self) -> str:
        """Draw the name of this disk, and have it there before an acceptor votes from it.

        It may be told before it is synced: if it is lost, so is whatever a later vote would have left there.
        """
        name = f"{self.rng.getrandbits(DISK_BITS):016x}"
        if self.acceptor is None:
            records = [IdentityRecord("", self.sync_node), BlobRecord(DISK_BLOB, name.encode())]
            self.sync.submit(records, lambda ok: None)
        return name

    def _make_acceptor(self, incarnation: str, cells: dict[str, RegisterState]) -> Acceptor:
        self._on_disk = dict(cells)
        self._disk_incarnation = incarnation
        sequence = self.member_set.sequence
        return Acceptor(self.name, incarnation, cells, True, keys=self.keys, member_sequence=sequence)

    @property
    def members(self) -> tuple[str, ...]:
        """The inner addresses of the newest known member set; empty while none is known."""
        return self.member_set.members

    @property
    def founded(self) -> bool:
        """Is the member set one that was agreed on?"""
        return self.member_set.sequence >= FOUNDED

    @property
    def is_member(self) -> bool:
        """Does the newest known set name this process?"""
        return self.name in self.member_set.members

    @property
    def voting(self) -> bool:
        """Does this process vote?"""
        return self.acceptor is not None and self.acceptor.voting

    @property
    def recovering(self) -> bool:
        """Does it read from the others what its lost disk held?"""
        return self._recovery is not None

    @property
    def incarnation(self) -> str:
        """What this process's acceptor tells of itself; empty while it has none."""
        return "" if self.acceptor is None else self.acceptor.incarnation

    def value_size(self, key: str) -> int:
        """How long the value is that this process's acceptor holds of a register (bytes)."""
        return 0 if self.acceptor is None else len(self.acceptor.state(key).value)

    def accepted_configuration(self, member_sequence: int) -> int | None:
        """The sequence of the configuration that this process has accepted, 0 before the first one.

        None where its acceptor does not vote in that member set.
        """
        cell = (
            None if self.acceptor is None else self.acceptor.accepted(topics.CONFIGURATION, member_sequence)
        )
        if cell is None:
            return None
        if self._accepted_sequence[0] != cell.accepted:
            value = decode_value(cell.value, ConfigurationValue)
            self._accepted_sequence = (cell.accepted, 0 if value is None else value.sequence)
        return self._accepted_sequence[1]

    # ---- how an acceptor comes to vote, and ceases to

    def form(self, members: tuple[str, ...]) -> None:
        """The first start of the whole system: this is one of the seeds, which vote on the member set first."""
        self._begin(MembersValue(UNFOUNDED, members), self._draw_incarnation(), (), lambda: None)

    def follow(self, told: MembersValue, first_start: bool, on_done: Callable[[], None]) -> None:
        """Go by a newer member set; `on_done` is called where its members vote here, and where it names others alone.

        `first_start`: this machine has never voted, as the whole system starts for the first time.
        """
        waits = self._is_idle and self.is_member
        if told.sequence < self.member_set.sequence or (
            told.sequence == self.member_set.sequence and not waits
        ):
            return
        if self.name not in told.members:
            self._retire(told)
            on_done()
        elif told.joining == self.name:
            self._retire(told)
            self._recover(on_done)
        elif self.voting:
            self._vote_under(told, on_done)
        elif self.acceptor is not None:
            self._vote_under_later(told, on_done)
        elif first_start and told.sequence == FOUNDED:
            self._begin(told, self._draw_incarnation(), (), on_done)
        else:
            self.member_set = told
            self._recover(on_done)
        self.runner.use(self.member_set)

    def _draw_incarnation(self) -> str:
        return f"{self.rng.getrandbits(INCARNATION_BITS):016x}"

    @property
    def _is_idle(self) -> bool:
        """Does it neither vote nor come to vote, and not wait for its disk either?"""
        return self.acceptor is None and self._recovery is None and not self._forming

    def _vote_under(self, told: MembersValue, on_done: Callable[[], None]) -> None:
        """Answer messages of this set alone, from the next one on; replies wait for its record like all others."""
        self.member_set = told
        self.acceptor.member_sequence = told.sequence

        def written(ok: bool) -> None:
            if ok:
                event = "founded" if told.sequence == FOUNDED else "member set"
                self.log.info(event, sequence=told.sequence, members=",".join(told.members))
                on_done()
            elif self.voting:
                self._stop_voting(on_done)
            elif self.acceptor is not None:
                self._when_voting_again = on_done

        self.sync.submit([BlobRecord(MEMBERS_BLOB, encode_value(told))], written)

    def _vote_under_later(self, told: MembersValue, on_done: Callable[[], None]) -> None:
        """Go by this set as soon as the disk takes records again: what it holds is not lost, others may need it."""
        self.member_set = told
        self._when_voting_again = on_done

    def _stop_voting(self, on_done: Callable[[], None] = lambda: None) -> None:
        """The disk refused a record; `on_done` is called once it takes records and this process votes again."""
        self.acceptor.write_failed()
        self.log.error("no vote for now: the disk refused a record")
        self._when_voting_again = on_done
        self._schedule_disk_retry(self.acceptor)

    def _schedule_disk_retry(self, stopped: Acceptor) -> None:
        self.scheduler.call_at(self.scheduler.now() + DISK_RETRY_NS, self._retry_disk, stopped)

    def _retry_disk(self, stopped: Acceptor) -> None:
        """Vote again, from what is on the disk, if that takes the identity and the member set now."""
        if self.acceptor is not stopped:
            return  # it was retired meanwhile, or has recovered from the others
        members = self.member_set

        def written(ok: bool) -> None:
            if self.acceptor is not stopped:
                return
            if not ok or self.member_set is not members:
                self._schedule_disk_retry(stopped)
                return
            self.acceptor = self._make_acceptor(self._disk_incarnation, self._on_disk)
            self.log.info("voting again", incarnation=self.acceptor.incarnation)
            self._when_voting_again()

        identity = IdentityRecord(self._disk_incarnation, self.sync_node)
        self.sync.submit([identity, BlobRecord(MEMBERS_BLOB, encode_value(members))], written)

    def _retire(self, told: MembersValue) -> None:
        """Vote no more, also after a restart, until this process is let in again and has recovered.

        A newcomer that takes its place may read from it while it is there (`register/member_set.py`): no member of the
        new set asks it for anything else.
        """
        self._stop_recovery()
        retiring = self.acceptor
        self.member_set = told
        self.acceptor = self._left = None
        if retiring is None:
            return
        if retiring.voting and told.leaving == self.name:
            self._left = retiring
            self._left.serve_successor(told.sequence, told.joining_disk)
        self.log.info("retired", sequence=told.sequence, members=",".join(told.members))
        records = [IdentityRecord("", self.sync_node), BlobRecord(MEMBERS_BLOB, encode_value(told))]
        self.sync.submit(records, lambda ok: None)

    def _recover(self, on_done: Callable[[], None]) -> None:
        """Read from the others what this disk does not hold, then vote under a new incarnation."""
        if self._forming:
            return
        self._stop_recovery()
        members = self.member_set
        incarnation = self._draw_incarnation()
        try:
            state_machine = Recovery(
                self.name, self.identity, members, self.keys, self.rng, self._recovery_pace, disk=self.disk
            )
        except ValueError as fault:
            self.log.error("no recovery", reason=str(fault))
            return

        def finished(recovered: Recovered) -> None:
            self._recovery = None
            self._begin(members, incarnation, recovered.records, on_done)

        self.log.info("recovering", sequence=members.sequence, members=",".join(members.members))
        self._recovery = RunningRecovery(state_machine, finished)
        self.runner.start(self._recovery)

    def _stop_recovery(self) -> None:
        if self._recovery is not None:
            self.runner.drop(self._recovery)
            self._recovery = None

    def _begin(
        self,
        members: MembersValue,
        incarnation: str,
        records: tuple[RegisterRecord, ...],
        on_done: Callable[[], None],
    ) -> None:
        self._forming = True
        blob = BlobRecord(MEMBERS_BLOB, encode_value(members))
        identity = IdentityRecord(incarnation, self.sync_node)

        def written(ok: bool) -> None:
            self._forming = False
            if not ok:
                self.log.error("no vote yet: the disk refused the first records")
                retry_at = self.scheduler.now() + DISK_RETRY_NS
                self.scheduler.call_at(retry_at, self._begin_again, members, incarnation, records, on_done)
            elif members.sequence < self.member_set.sequence and self.is_member:
                self._recover(on_done)
            elif members.sequence >= self.member_set.sequence:
                self.member_set = members
                self.acceptor = self._make_acceptor(incarnation, cells)
                self.identity.incarnations[self.name] = self.acceptor.incarnation
                self.log.info("voting", incarnation=incarnation, members=",".join(members.members))
                on_done()

        cells = {r.key: RegisterState(r.promised, r.accepted, r.value) for r in records}
        # The identity is the last: after a loss of power while this is written it must not stand without the cells.
        self.sync.submit([blob, *records, identity], written)

    def _begin_again(
        self,
        members: MembersValue,
        incarnation: str,
        records: tuple[RegisterRecord, ...],
        on_done: Callable[[], None],
    ) -> None:
        """The disk refused the first records a while ago."""
        if not self._is_idle:
            return
        if self.member_set.sequence <= members.sequence:
            self._begin(members, incarnation, records, on_done)
        elif self.is_member:
            self._recover(on_done)

    @property
    def sync_node(self) -> str:
        """The node name under which the folder is kept."""
        return self._opened.store.node

    # ---- messages

    def handle(self, message: Message, reply: Reply) -> None:
        """Take a message of the register; replies to requests are released when their records are synced.

        Whoever goes by an older member set is told of the newer one.
        """
        if message.members < self.member_set.sequence:
            newest = Update(topics.MEMBERS, self.member_set.sequence, encode_value(self.member_set))
            if isinstance(message, Prepare | Accept):
                reply(newest)
            else:
                self.send(message.acceptor, newest)
        if isinstance(message, Prepare):
            self._vote(lambda acceptor: acceptor.handle_prepare(message), reply)
        elif isinstance(message, Accept):
            self._vote(lambda acceptor: acceptor.handle_accept(message), reply)
        elif isinstance(message, Promise | Accepted):
            self.runner.dispatch(message)

    def _vote(self, decide: Callable[[Acceptor], Outcome], reply: Reply) -> None:
        acceptor = self.acceptor or self._left
        if acceptor is None or not acceptor.voting:
            return
        outcome = decide(acceptor)
        records = [] if outcome.record is None else [outcome.record]

        def written(ok: bool) -> None:
            if acceptor not in (self.acceptor, self._left) or not acceptor.voting:
                return
            if not ok:
                self._left = None
                if acceptor is self.acceptor:
                    self._stop_voting()
                return
            if outcome.record is not None:
                record = outcome.record
                self._on_disk[record.key] = RegisterState(record.promised, record.accepted, record.value)
            reply(outcome.reply)

        self.sync.submit(records, written)

    # ---- changes

    def change(
        self, key: str, change: Change, deadline: int, pace: RetryPolicy | None = None
    ) -> ProposerResult:
        """Change a register from a task of the loop; returns when it has ended, at `deadline` (ns) at the latest."""
        if not self.members or not (self.founded or key == topics.MEMBERS):
            return Unavailable(in_doubt=False)
        if pace is None:
            pace = RetryPolicy(max(MIN_ATTEMPT_NS, (deadline - self.scheduler.now()) // ATTEMPTS))
        proposer = Proposer(
            self.identity,
            key,
            self.member_set,
            change,
            self.rng,
            deadline,
            pace,
            read_local=lambda: EMPTY_STATE if self.acceptor is None else self.acceptor.state(key),
        )
        return self.runner.run(proposer)

    def _send(self, member: str, message: Prepare | Accept) -> None:
        if member == self.name:
            # In a turn of its own: a decider must not be given an answer while its effects are carried out.
            self.scheduler.call_at(self.scheduler.now(), self.handle, message, self._answer_self)
        else:
            self.send(member, message)

    def _answer_self(self, answer: Message) -> None:
        if isinstance(answer, Promise | Accepted):  # of a newer member set this process knows already
            self.runner.dispatch(answer)

    def rewrite_registers(self, members: MembersValue, round_ns: int) -> bool:
        """Have what stands in each register accepted by a quorum of this member set, from a task of the loop.

        Each register gets `round_ns` and the time that its length takes. False where one could not be, or where
        another set is known meanwhile.
        """
        for key in self.keys:
            if key == topics.MEMBER_SET:
                continue  # it is written with the end of this change
            deadline = self.scheduler.now() + round_ns + transfer_ns(self.value_size(key))
            result = self.change(key, lambda value: Unchanged(), deadline)
            if not isinstance(result, Committed) or self.member_set != members:
                return False
        return True
