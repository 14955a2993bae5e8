"""The acceptor of the compare-and-set registers: what one core member has promised and accepted, per key.

The acceptor does no I/O. Each message yields an `Outcome`: the record to be written, and the reply. The host sends
replies in the order in which it received them, each only after its record and all earlier records are synced. The state
in memory is ahead of the disk, so that the next message is decided on the newest state.

Incarnations
------------
An acceptor whose disk was lost returns with a different incarnation. The incarnation in its replies
(`Acceptor.incarnation`) also changes, and never returns to an earlier value, whenever it serves the recovery of another
acceptor by promising a ballot for `RECOVERY_KEY`. A proposer counts a promise only if it carries the same incarnation
that the proposer knew before it sent its `Prepare`s. Therefore no proposer can combine a promise from before the loss
of a disk with one given after that disk's recovery. `recovery.py` contains the full argument.

Accepts
-------
`Accept.incarnation` is the one reported with the promise. If it differs from the present one, the accept is refused,
because the promise may have been lost. If it is empty (this acceptor's promise was not counted), the ballot alone
decides. This is safe after the loss of a disk: a recovered acceptor has promised a ballot above each one whose first
round had ended before the disk was lost, so it refuses those, and a first round that ended later counted no lost
promise.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from iristrack.wire.messages import FOUNDED, NO_BALLOT, Accept, Accepted, Ballot, Prepare, Promise

RECOVERY_KEY = ""  # not a register: a recovering acceptor announces itself with a Prepare for this key


@dataclass(frozen=True, slots=True)
class RegisterState:
    """The acceptor state of one key; `value` is meaningless while `accepted` is NO_BALLOT."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes = b""


EMPTY_STATE = RegisterState()


@dataclass(frozen=True, slots=True)
class RegisterRecord:
    """The durable form of a register state; the last record written for a key is the valid one."""

    key: str
    promised: Ballot
    accepted: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """The record to write, if any, and the reply to send once this and all earlier records are synced."""

    record: RegisterRecord | None
    reply: Promise | Accepted


class Acceptor:
    """The acceptor of one core member.

    A non-voting acceptor grants nothing and replies with `promised` = NO_BALLOT, which proposers ignore: a voting
    acceptor never refuses a ballot because of NO_BALLOT. It replies in the same way to keys outside `keys`, because a
    recovery could not have read them, and to messages of a member set other than `member_sequence`. The host raises
    `member_sequence` when it submits the record of a newer set to the disk.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        states: dict[str, RegisterState],
        voting: bool,
        *,
        keys: Iterable[str],
        member_sequence: int = FOUNDED,
    ) -> None:
        """Start from the register states read from the disk.

        `voting` is false for an empty disk until its recovery has been written; empty disks vote only when a new group
        is first started. `keys` are all existing registers.
        """
        self.name = name
        self.voting = voting
        self.member_sequence = member_sequence
        self._disk_incarnation = incarnation
        self._states = dict(states)
        self._keys = frozenset(keys) | {RECOVERY_KEY}
        self._is_replaced = False
        self._successor_disk = ""  # the disk that may recover from this acceptor after its replacement

    @property
    def incarnation(self) -> str:
        """Return the incarnation in replies: the disk's own and the last recovery that this acceptor has served."""
        served = self.state(RECOVERY_KEY).promised
        if served == NO_BALLOT:
            return self._disk_incarnation
        return f"{self._disk_incarnation}/{served.round}/{served.proposer}"

    def state(self, key: str) -> RegisterState:
        """Return the state of the key."""
        return self._states.get(key, EMPTY_STATE)

    def accepted(self, key: str, member_sequence: int) -> RegisterState | None:
        """Return the state of the key for members of that set; None if this acceptor does not vote in it."""
        if self._is_replaced or not self._votes_on(key, member_sequence):
            return None
        return self.state(key)

    def serve_successor(self, member_sequence: int, disk: str) -> None:
        """Stop voting, and let the member that replaces this acceptor in that set read its state.

        Only the disk named in the set is served. A member that asks for another disk may have lost the one on which it
        had already voted in the new set, and must read from the members of the new set alone (`member_set.py`). If the
        set names no disk, no request is served.
        """
        self.member_sequence = member_sequence
        self._is_replaced = True
        self._successor_disk = disk

    def handle_prepare(self, prepare: Prepare) -> Outcome:
        """Promise the ballot unless a higher one was promised; a repeated ballot is promised again."""
        if not self._votes_on(prepare.key, prepare.members) or not self._may_read(prepare.disk):
            return Outcome(None, self._promise(prepare, EMPTY_STATE, granted=False))
        state = self.state(prepare.key)
        if prepare.ballot < state.promised or prepare.ballot == NO_BALLOT:
            return Outcome(None, self._promise(prepare, state, granted=False))
        state = RegisterState(prepare.ballot, state.accepted, state.value)
        record = self._advance(prepare.key, state)
        return Outcome(record, self._promise(prepare, state, granted=True))

    def handle_accept(self, accept: Accept) -> Outcome:
        """Accept the value unless a higher ballot was promised or another incarnation gave the promise."""
        is_vote = accept.key != RECOVERY_KEY and not self._is_replaced
        if not is_vote or not self._votes_on(accept.key, accept.members):
            return Outcome(None, self._accepted(accept, EMPTY_STATE, granted=False))
        state = self.state(accept.key)
        if not self._may_accept(accept, state):
            return Outcome(None, self._accepted(accept, state, granted=False))
        state = RegisterState(accept.ballot, accept.ballot, accept.value)
        record = self._advance(accept.key, state)
        return Outcome(record, self._accepted(accept, state, granted=True))

    def write_failed(self) -> None:
        """Stop voting until the state is read from the disk again; the host must drop replies not yet sent."""
        self.voting = False

    def _votes_on(self, key: str, member_sequence: int) -> bool:
        return self.voting and key in self._keys and member_sequence == self.member_sequence

    def _may_read(self, disk: str) -> bool:
        if not self._is_replaced:
            return True
        return disk != "" and disk == self._successor_disk

    def _may_accept(self, accept: Accept, state: RegisterState) -> bool:
        if accept.ballot < state.promised or accept.ballot == NO_BALLOT:
            return False
        return accept.incarnation in ("", self.incarnation)

    def _advance(self, key: str, state: RegisterState) -> RegisterRecord:
        self._states[key] = state
        return RegisterRecord(key, state.promised, state.accepted, state.value)

    def _promise(self, prepare: Prepare, state: RegisterState, *, granted: bool) -> Promise:
        is_needed = granted and state.accepted != prepare.known
        return Promise(
            call=prepare.call,
            key=prepare.key,
            acceptor=self.name,
            incarnation=self.incarnation,
            granted=granted,
            promised=state.promised,
            accepted=state.accepted,
            value=state.value if is_needed else b"",
            members=self.member_sequence,
        )

    def _accepted(self, accept: Accept, state: RegisterState, *, granted: bool) -> Accepted:
        return Accepted(
            call=accept.call,
            key=accept.key,
            acceptor=self.name,
            incarnation=self.incarnation,
            granted=granted,
            promised=state.promised,
            members=self.member_sequence,
        )
