"""The acceptor of the compare-and-set registers: what one core member has promised and accepted, per key.

It writes nothing itself. Each message gives an `Outcome`: the record to be written, and the reply. The host releases
replies in the order in which it got them, each only after its record, and all records before it, are synced. The state
in memory runs ahead of the disk, so that the next message is judged by it.

Incarnations
------------
An acceptor whose disk was lost comes back under another incarnation. What it tells of itself in its answers is more:
`Acceptor.incarnation` also changes, and never back, whenever it helps another acceptor to recover (it promises a ballot
on `RECOVERY_KEY`). A proposer counts a promise only if the acceptor tells the same incarnation as before the proposer
sent its `Prepare`s; so no proposer can join a promise from before a disk was lost with one given after its recovery had
passed by. `recovery.py` has the whole argument.

Accepts
-------
`Accept.incarnation` is the one told in the promise. Where it differs from the present one, the accept is refused: the
promise may have been forgotten. Where it is empty (this acceptor's promise was not counted) the ballot alone decides.
That is safe after the loss of a disk: a recovered acceptor has promised a ballot above each one whose first round had
ended before the disk was lost, so it refuses these; and a first round that ended later counted no forgotten promise.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from iristrack.wire.messages import FOUNDED, NO_BALLOT, Accept, Accepted, Ballot, Prepare, Promise

RECOVERY_KEY = ""  # no register: recovering acceptors announce themselves by a Prepare on it


@dataclass(frozen=True, slots=True)
class RegisterState:
    """What an acceptor holds of one key; `value` means nothing while `accepted` is NO_BALLOT."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes = b""


EMPTY_STATE = RegisterState()


@dataclass(frozen=True, slots=True)
class RegisterRecord:
    """The durable form of a cell; of several records of one key the last one written stands."""

    key: str
    promised: Ballot
    accepted: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """The record to write, if any, and the reply to release once it and all earlier records are synced."""

    record: RegisterRecord | None
    reply: Promise | Accepted


class Acceptor:
    """The votes of one core member.

    A non-voting acceptor grants nothing and answers with `promised` = NO_BALLOT, which a proposer takes for no answer:
    no voting acceptor refuses a ballot because of NO_BALLOT. Keys outside `keys` are answered in the same way, since a
    recovery could not have read them, and so are messages of another member set than `member_sequence`, which the host
    raises when the record of a newer set is handed to the disk.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        cells: dict[str, RegisterState],
        voting: bool,
        *,
        keys: Iterable[str],
        member_sequence: int = FOUNDED,
    ) -> None:
        """Take the cells as read from the disk.

        `voting` is false for an empty disk, until its recovery is written; only the first start of a whole new group
        votes with empty disks. `keys` are all registers that exist.
        """
        self.name = name
        self.voting = voting
        self.member_sequence = member_sequence
        self._disk_incarnation = incarnation
        self._states = dict(cells)
        self._keys = frozenset(keys) | {RECOVERY_KEY}
        self._is_replaced = False
        self._successor_disk = ""  # the disk that may be filled from this acceptor since it was replaced

    @property
    def incarnation(self) -> str:
        """What answers tell: the disk's incarnation and the last recovery of another that it has helped."""
        helped = self.state(RECOVERY_KEY).promised
        if helped == NO_BALLOT:
            return self._disk_incarnation
        return f"{self._disk_incarnation}/{helped.round}/{helped.proposer}"

    def state(self, key: str) -> RegisterState:
        """Return what is held of the key."""
        return self._states.get(key, EMPTY_STATE)

    def accepted(self, key: str, member_sequence: int) -> RegisterState | None:
        """What is held of the key, as told to members of that set; None where this acceptor does not vote in it."""
        if self._is_replaced or not self._votes_on(key, member_sequence):
            return None
        return self.state(key)

    def serve_successor(self, member_sequence: int, disk: str) -> None:
        """Vote no more, and let the member that takes this acceptor's place in that set read what it holds.

        It may do so for the disk that the set names, and for no other: a member that asks for another one may have lost
        the disk on which it had voted in the new set already, and has to read from the new set's members alone
        (`member_set.py`). Where the set names no disk, nobody is served.
        """
        self.member_sequence = member_sequence
        self._is_replaced = True
        self._successor_disk = disk

    def handle_prepare(self, prepare: Prepare) -> Outcome:
        """Promise the ballot unless a higher one was promised; the same one is promised again."""
        if not self._votes_on(prepare.key, prepare.members) or not self._may_read(prepare.disk):
            return Outcome(None, self._promise(prepare, EMPTY_STATE, granted=False))
        cell = self.state(prepare.key)
        if prepare.ballot < cell.promised or prepare.ballot == NO_BALLOT:
            return Outcome(None, self._promise(prepare, cell, granted=False))
        cell = RegisterState(prepare.ballot, cell.accepted, cell.value)
        record = self._advance(prepare.key, cell)
        return Outcome(record, self._promise(prepare, cell, granted=True))

    def handle_accept(self, accept: Accept) -> Outcome:
        """Accept the value unless a higher ballot was promised or the promise was another incarnation's."""
        is_vote = accept.key != RECOVERY_KEY and not self._is_replaced
        if not is_vote or not self._votes_on(accept.key, accept.members):
            return Outcome(None, self._accepted(accept, EMPTY_STATE, granted=False))
        cell = self.state(accept.key)
        if not self._may_accept(accept, cell):
            return Outcome(None, self._accepted(accept, cell, granted=False))
        cell = RegisterState(accept.ballot, accept.ballot, accept.value)
        record = self._advance(accept.key, cell)
        return Outcome(record, self._accepted(accept, cell, granted=True))

    def write_failed(self) -> None:
        """Stop voting until the state is read from the disk again; replies not yet released must be dropped."""
        self.voting = False

    def _votes_on(self, key: str, member_sequence: int) -> bool:
        return self.voting and key in self._keys and member_sequence == self.member_sequence

    def _may_read(self, disk: str) -> bool:
        if not self._is_replaced:
            return True
        return disk != "" and disk == self._successor_disk

    def _may_accept(self, accept: Accept, cell: RegisterState) -> bool:
        if accept.ballot < cell.promised or accept.ballot == NO_BALLOT:
            return False
        return accept.incarnation in ("", self.incarnation)

    def _advance(self, key: str, cell: RegisterState) -> RegisterRecord:
        self._states[key] = cell
        return RegisterRecord(key, cell.promised, cell.accepted, cell.value)

    def _promise(self, prepare: Prepare, cell: RegisterState, *, granted: bool) -> Promise:
        is_needed = granted and cell.accepted != prepare.known
        return Promise(
            call=prepare.call,
            key=prepare.key,
            acceptor=self.name,
            incarnation=self.incarnation,
            granted=granted,
            promised=cell.promised,
            accepted=cell.accepted,
            value=cell.value if is_needed else b"",
            members=self.member_sequence,
        )

    def _accepted(self, accept: Accept, cell: RegisterState, *, granted: bool) -> Accepted:
        return Accepted(
            call=accept.call,
            key=accept.key,
            acceptor=self.name,
            incarnation=self.incarnation,
            granted=granted,
            promised=cell.promised,
            members=self.member_sequence,
        )
