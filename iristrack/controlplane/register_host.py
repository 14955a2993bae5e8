"""Hosts the register's acceptor and proposers: exchanges messages with peers and syncs records before replies.

If the disk refuses a record, the acceptor stops voting, and no reply that depends on it or on a later record is sent.
Once the disk accepts records again, the acceptor votes from the state that was on the disk before, since no peer was
told of anything newer. This is equivalent to a crash at that moment and a restart.
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
PROPOSER_BITS = 48  # random bits in a process's proposer name
INCARNATION_BITS = 64  # random bits in an acceptor's incarnation
DISK_RETRY_NS = 500_000_000  # delay before a disk that refused a record is tried again
CALL_NUMBER_BITS = 48  # call numbers start at random, so that those of two processes are not confused
ATTEMPTS_PER_CHANGE = 3  # the time of a change is divided by this to give the timeout of one attempt
NO_MEMBERS = MembersValue(UNFOUNDED)
Reply = Callable[[Message], None]
SendToMember = Callable[[str, Message], None]


class RegisterHost:
    """The acceptor of one core member and the proposers of its process."""

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
        recovery_policy: RecoveryRetryPolicy | None = None,
    ) -> None:
        """Restore the acceptor from the records in `opened`, if there is one to restore.

        `name` is this process's inner address, by which the member set names it. `rng` draws waits, and names that must
        be globally unique; the default is the system's. `moved_bytes` counts the bytes written to and read from the
        other members.
        """
        self.rng = rng or random.SystemRandom()
        self.scheduler = scheduler
        self.name = name
        self.sync = sync
        self.send = send
        self.keys = keys
        self.log = log
        self._recovery_policy = recovery_policy
        proposer = f"{name}/{self.rng.getrandbits(PROPOSER_BITS):012x}"
        self.identity = ProposerIdentity(proposer, self.rng.getrandbits(CALL_NUMBER_BITS))
        self.member_set = decode_value(opened.blobs.get(MEMBERS_BLOB, b""), MembersValue) or NO_MEMBERS
        self.acceptor: Acceptor | None = None
        self.runner = StateMachineRunner(scheduler, self._send, self.value_size, moved_bytes)
        self._opened = opened
        self._recovery: RunningRecovery | None = None
        self._forming = False
        self._retired_acceptor: Acceptor | None = None  # kept for the successor to read from
        self._on_voting_again: Callable[[], None] = lambda: None  # called once the disk accepts records again
        self._accepted_sequence = (NO_BALLOT, 0)  # ballot and sequence of the accepted configuration
        self._on_disk: dict[str, RegisterState] = {}  # synced register states of the voting acceptor
        if self.member_set.members and opened.identity is not None and opened.identity.incarnation:
            registers = {
                key: RegisterState(r.promised, r.accepted, r.value) for key, r in opened.registers.items()
            }
            self.acceptor = self._make_acceptor(opened.identity.incarnation, registers)
        self.disk = opened.blobs.get(DISK_BLOB, b"").decode() or self._name_disk()

    def _name_disk(self) -> str:
        """Draw the name of this disk, and write it before an acceptor votes from the disk.

        The name may be announced before it is synced: if it is lost, so is anything that a later vote has written.
        """
        name = f"{self.rng.getrandbits(DISK_BITS):016x}"
        if self.acceptor is None:
            records = [IdentityRecord("", self.sync_node), BlobRecord(DISK_BLOB, name.encode())]
            self.sync.submit(records, lambda ok: None)
        return name

    def _make_acceptor(self, incarnation: str, registers: dict[str, RegisterState]) -> Acceptor:
        self._on_disk = dict(registers)
        self._disk_incarnation = incarnation
        sequence = self.member_set.sequence
        return Acceptor(self.name, incarnation, registers, True, keys=self.keys, member_sequence=sequence)

    @property
    def members(self) -> tuple[str, ...]:
        """The inner addresses of the newest known member set; empty while none is known."""
        return self.member_set.members

    @property
    def founded(self) -> bool:
        """Whether the member set was agreed on."""
        return self.member_set.sequence >= FOUNDED

    @property
    def is_member(self) -> bool:
        """Whether the newest known set contains this process."""
        return self.name in self.member_set.members

    @property
    def voting(self) -> bool:
        """Whether this process votes."""
        return self.acceptor is not None and self.acceptor.voting

    @property
    def recovering(self) -> bool:
        """Whether this process is reading from the others the state that its own disk lacks."""
        return self._recovery is not None

    @property
    def incarnation(self) -> str:
        """The incarnation of this process's acceptor; empty while there is no acceptor."""
        return "" if self.acceptor is None else self.acceptor.incarnation

    def value_size(self, key: str) -> int:
        """Return the length (bytes) of the value of a register at this process's acceptor."""
        return 0 if self.acceptor is None else len(self.acceptor.state(key).value)

    def accepted_configuration(self, member_sequence: int) -> int | None:
        """Return the sequence of the configuration that this process has accepted; 0 before the first one.

        Return None if its acceptor does not vote in that member set.
        """
        state = (
            None if self.acceptor is None else self.acceptor.accepted(topics.CONFIGURATION, member_sequence)
        )
        if state is None:
            return None
        if self._accepted_sequence[0] != state.accepted:
            value = decode_value(state.value, ConfigurationValue)
            self._accepted_sequence = (state.accepted, 0 if value is None else value.sequence)
        return self._accepted_sequence[1]

    # ---- start and end of voting

    def form(self, members: tuple[str, ...]) -> None:
        """Start voting as a seed at the first start of the whole system; the seeds vote on the member set first."""
        self._begin(MembersValue(UNFOUNDED, members), self._draw_incarnation(), (), lambda: None)

    def follow(self, new_set: MembersValue, first_start: bool, on_done: Callable[[], None]) -> None:
        """Switch to a newer member set.

        `on_done` is called once this process votes in the set, or at once if the set does not contain it. `first_start`
        says that this machine has never voted because the whole system starts for the first time.
        """
        waits = self._is_idle and self.is_member
        if new_set.sequence < self.member_set.sequence or (
            new_set.sequence == self.member_set.sequence and not waits
        ):
            return
        if self.name not in new_set.members:
            self._retire(new_set)
            on_done()
        elif new_set.joining == self.name:
            self._retire(new_set)
            self._recover(on_done)
        elif self.voting:
            self._adopt(new_set, on_done)
        elif self.acceptor is not None:
            self._adopt_later(new_set, on_done)
        elif first_start and new_set.sequence == FOUNDED:
            self._begin(new_set, self._draw_incarnation(), (), on_done)
        else:
            self.member_set = new_set
            self._recover(on_done)
        self.runner.use(self.member_set)

    def _draw_incarnation(self) -> str:
        return f"{self.rng.getrandbits(INCARNATION_BITS):016x}"

    @property
    def _is_idle(self) -> bool:
        """Whether this process neither votes, nor prepares to vote, nor waits for its disk."""
        return self.acceptor is None and self._recovery is None and not self._forming

    def _adopt(self, new_set: MembersValue, on_done: Callable[[], None]) -> None:
        """Answer only messages of this set from now on; replies wait for its record, like any other record."""
        self.member_set = new_set
        self.acceptor.member_sequence = new_set.sequence

        def written(ok: bool) -> None:
            if ok:
                event = "founded" if new_set.sequence == FOUNDED else "member set"
                self.log.info(event, sequence=new_set.sequence, members=",".join(new_set.members))
                on_done()
            elif self.voting:
                self._suspend_voting(on_done)
            elif self.acceptor is not None:
                self._on_voting_again = on_done

        self.sync.submit([BlobRecord(MEMBERS_BLOB, encode_value(new_set))], written)

    def _adopt_later(self, new_set: MembersValue, on_done: Callable[[], None]) -> None:
        """Switch to this set once the disk accepts records again: its content is intact, and others may need it."""
        self.member_set = new_set
        self._on_voting_again = on_done

    def _suspend_voting(self, on_done: Callable[[], None] = lambda: None) -> None:
        """Stop voting because the disk refused a record; `on_done` is called once this process votes again."""
        self.acceptor.write_failed()
        self.log.error("no vote for now: the disk refused a record")
        self._on_voting_again = on_done
        self._schedule_disk_retry(self.acceptor)

    def _schedule_disk_retry(self, stopped: Acceptor) -> None:
        self.scheduler.call_at(self.scheduler.now() + DISK_RETRY_NS, self._retry_disk, stopped)

    def _retry_disk(self, stopped: Acceptor) -> None:
        """Resume voting from the state on the disk, if the disk now accepts the identity and the member set."""
        if self.acceptor is not stopped:
            return  # retired in the meantime, or recovered from the others
        members = self.member_set

        def written(ok: bool) -> None:
            if self.acceptor is not stopped:
                return
            if not ok or self.member_set is not members:
                self._schedule_disk_retry(stopped)
                return
            self.acceptor = self._make_acceptor(self._disk_incarnation, self._on_disk)
            self.log.info("voting again", incarnation=self.acceptor.incarnation)
            self._on_voting_again()

        identity = IdentityRecord(self._disk_incarnation, self.sync_node)
        self.sync.submit([identity, BlobRecord(MEMBERS_BLOB, encode_value(members))], written)

    def _retire(self, new_set: MembersValue) -> None:
        """Stop voting, also after a restart, until this process is admitted again and has recovered.

        The newcomer that takes its place may read from it while it is running (`register/member_set.py`). Members of
        the new set ask it for nothing else.
        """
        self._stop_recovery()
        retiring = self.acceptor
        self.member_set = new_set
        self.acceptor = self._retired_acceptor = None
        if retiring is None:
            return
        if retiring.voting and new_set.leaving == self.name:
            self._retired_acceptor = retiring
            self._retired_acceptor.serve_successor(new_set.sequence, new_set.joining_disk)
        self.log.info("retired", sequence=new_set.sequence, members=",".join(new_set.members))
        records = [IdentityRecord("", self.sync_node), BlobRecord(MEMBERS_BLOB, encode_value(new_set))]
        self.sync.submit(records, lambda ok: None)

    def _recover(self, on_done: Callable[[], None]) -> None:
        """Read the state that this disk lacks from the others, then vote under a new incarnation."""
        if self._forming:
            return
        self._stop_recovery()
        members = self.member_set
        incarnation = self._draw_incarnation()
        try:
            state_machine = Recovery(
                self.name, self.identity, members, self.keys, self.rng, self._recovery_policy, disk=self.disk
            )
        except ValueError as error:
            self.log.error("no recovery", reason=str(error))
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
                self.acceptor = self._make_acceptor(incarnation, registers)
                self.identity.incarnations[self.name] = self.acceptor.incarnation
                self.log.info("voting", incarnation=incarnation, members=",".join(members.members))
                on_done()

        registers = {r.key: RegisterState(r.promised, r.accepted, r.value) for r in records}
        # The identity comes last: after a power loss during this write it must not stand without the registers.
        self.sync.submit([blob, *records, identity], written)

    def _begin_again(
        self,
        members: MembersValue,
        incarnation: str,
        records: tuple[RegisterRecord, ...],
        on_done: Callable[[], None],
    ) -> None:
        """Retry after the disk refused the first records."""
        if not self._is_idle:
            return
        if self.member_set.sequence <= members.sequence:
            self._begin(members, incarnation, records, on_done)
        elif self.is_member:
            self._recover(on_done)

    @property
    def sync_node(self) -> str:
        """The node name that the data folder belongs to."""
        return self._opened.store.node

    # ---- messages

    def handle(self, message: Message, reply: Reply) -> None:
        """Handle a message of the register; replies are sent once their records are synced.

        A sender with an older member set is sent the newer one.
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
        acceptor = self.acceptor or self._retired_acceptor
        if acceptor is None or not acceptor.voting:
            return
        outcome = decide(acceptor)
        records = [] if outcome.record is None else [outcome.record]

        def written(ok: bool) -> None:
            if acceptor not in (self.acceptor, self._retired_acceptor) or not acceptor.voting:
                return
            if not ok:
                self._retired_acceptor = None
                if acceptor is self.acceptor:
                    self._suspend_voting()
                return
            if outcome.record is not None:
                record = outcome.record
                self._on_disk[record.key] = RegisterState(record.promised, record.accepted, record.value)
            reply(outcome.reply)

        self.sync.submit(records, written)

    # ---- changes

    def change(
        self, key: str, change: Change, deadline: int, retry_policy: RetryPolicy | None = None
    ) -> ProposerResult:
        """Change a register from a task of the loop; return when it has ended, at `deadline` (ns) at the latest."""
        if not self.members or not (self.founded or key == topics.MEMBERS):
            return Unavailable(in_doubt=False)
        if retry_policy is None:
            retry_policy = RetryPolicy(
                max(MIN_ATTEMPT_NS, (deadline - self.scheduler.now()) // ATTEMPTS_PER_CHANGE)
            )
        proposer = Proposer(
            self.identity,
            key,
            self.member_set,
            change,
            self.rng,
            deadline,
            retry_policy,
            read_local=lambda: EMPTY_STATE if self.acceptor is None else self.acceptor.state(key),
        )
        return self.runner.run(proposer)

    def _send(self, member: str, message: Prepare | Accept) -> None:
        if member == self.name:
            # In a later turn of the loop: a state machine must not get an answer while its effects are carried out.
            self.scheduler.call_at(self.scheduler.now(), self.handle, message, self._answer_self)
        else:
            self.send(member, message)

    def _answer_self(self, answer: Message) -> None:
        if isinstance(answer, Promise | Accepted):  # an update of the member set would bring nothing new here
            self.runner.dispatch(answer)

    def rewrite_registers(self, members: MembersValue, round_ns: int) -> bool:
        """Have the value of each register accepted by a quorum of this member set; call this from a task of the loop.

        Each register gets `round_ns` plus the time that its length takes. Return False if one could not be rewritten,
        or if another set has become known in the meantime.
        """
        for key in self.keys:
            if key == topics.MEMBER_SET:
                continue  # rewritten by the change that settles the set
            deadline = self.scheduler.now() + round_ns + transfer_ns(self.value_size(key))
            result = self.change(key, lambda value: Unchanged(), deadline)
            if not isinstance(result, Committed) or self.member_set != members:
                return False
        return True
