"""The recovery of an acceptor whose disk came back empty, or that was added to the member set (`member_set.py`).

Two rounds, both at half or more of the members, counting only *other* voting ones: (N + 1) // 2, where N is the number
of all members including this one. An acceptor that replaces a leaving member needs N // 2 + 1, which may include the
leaving member if it is still there. N // 2 + 1 also applies while a member has been removed and the registers are not
yet rewritten:

1. Announce: a `Prepare` for `RECOVERY_KEY`. Each member that grants it reports another incarnation from then on.
2. Read: a `Prepare` for each key at the members that granted the first round, with a ballot above all that they have
   promised. A promise counts if it carries the incarnation that the member reported in round 1.

For each key this is the first round of an ordinary change with ballot b. The acceptor completes it by accepting, alone,
the value of the highest accepted ballot under b. It stores (promised b, accepted b), not (b, the ballot it found),
because it must not appear to have voted for a proposal that it never accepted. When the records of all keys are synced,
it votes. After a crash before that, it starts again as an empty acceptor with another incarnation and proposer name.

Why no acknowledged value is lost
---------------------------------
Let A lose its disk at time w, and let R be the members that granted its second round for a key. Take a proposal with
ballot p whose first round ended (at any time) at the quorum Q. Q without A has at least N // 2 members, R has
(N + 1) // 2, together N, and there are N - 1 others: some member B is in both.

*Lost promises.* Let the old A's promise be counted in Q. If B promised p before it granted b, then b > p. If it
promised p afterwards, it had by then granted the announcement, which came after w, hence after A's promise, hence after
the proposer sent its `Prepare`s: B reports an incarnation that the proposer cannot have known at that time, and B's
promise is not counted. If B itself lost its disk after it promised p, it has recovered (only voting members grant), and
the same argument, applied in the order in which recoveries end, gives B a promise above p; if it lost its disk after it
granted b, its incarnation has changed as well. So b > p always: A keeps every promise that counts.

*Accept rounds that were incomplete at the loss.* If the first round of p had ended before w, then b > p, by the same
argument for any Q. So the new A refuses an `Accept` of p, and so does every member of R after its grant.

*Acknowledgements of the old incarnation.* Let p be chosen by the accept quorum S, with the old A's vote. The first
round of p ended before A accepted, so b > p. S without A intersects R in some member C. C accepted p before it granted
b (after that it refuses), so A read p or a later proposal, and by the usual induction over ballots every later proposal
descends from p. A then holds it under b > p, and any proposer that counts A's promise learns of it.

Since A's own acceptance is an ordinary proposal under b, the argument holds for the registers as a whole: for any
number of losses one after another, and for (N - 1) // 2 at the same time.

Not covered: the simultaneous loss of more disks than that (too few voters are then left to recover from, and the
acceptors stay non-voting until an operator decides), and keys that are not in `keys`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from iristrack.register.acceptor import RECOVERY_KEY, RegisterRecord
from iristrack.register.effects import Effect, Finished, SendTo, SetTimer
from iristrack.register.identity import ProposerIdentity
from iristrack.register.member_set import is_shrinking
from iristrack.wire.messages import NO_BALLOT, Ballot, MembersValue, Prepare, Promise

NS_PER_MS = 1_000_000
MIN_ANNOUNCE_RETRY_NS = 300 * NS_PER_MS  # a slow disk needs half of this to grant an announcement
MAX_ANNOUNCE_RETRY_NS = 1_000 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class Recovered:
    """All records to write; once they are synced, an acceptor with this state may vote."""

    records: tuple[RegisterRecord, ...]


@dataclass(frozen=True, slots=True)
class RecoveryRetryPolicy:
    """How long to wait for replies (nanoseconds) before all unread keys are tried again.

    The timeout doubles with each attempt that has begun to read, because values may be long and links slow. An attempt
    that found too few members to read from is repeated at a constant interval: it costs one small message per member.
    """

    initial_read_timeout_ns: int = 500 * NS_PER_MS
    max_read_timeout_ns: int = 8_000 * NS_PER_MS
    announce_retry_ns: int = 500 * NS_PER_MS

    @classmethod
    def for_catch_up(cls, catch_up_ns: int) -> RecoveryRetryPolicy:
        """Return the policy of a member that must have recovered within `catch_up_ns` after the others are back.

        A wait lasts up to twice its nominal value, and the return of the others has to be detected first, so the
        interval is a sixth of the bound.
        """
        wait_ns = min(max(catch_up_ns // 6, MIN_ANNOUNCE_RETRY_NS), MAX_ANNOUNCE_RETRY_NS)
        return cls(announce_retry_ns=wait_ns)


@dataclass(slots=True)
class _Read:
    """The read of one key under one ballot."""

    key: str
    ballot: Ballot
    promises: dict[str, Promise] = field(default_factory=dict)


def recovery_quorum(members: MembersValue, acceptor: str) -> int:
    """Return the number of other members that an acceptor needs to recover from.

    In an even set, one less than a quorum is sufficient. Otherwise a member that is added to three others, and one of
    the three that loses its disk meanwhile, would wait for each other forever.
    """
    size = len(members.members)
    if members.joining == acceptor and members.leaving:
        return max(1, min(size // 2 + 1, size - 1))
    if is_shrinking(members):
        return size // 2 + 1
    return (size + 1) // 2


class Recovery:
    """One recovery of one acceptor; it has no deadline and continues until it has finished."""

    def __init__(
        self,
        acceptor: str,
        identity: ProposerIdentity,
        members: MembersValue,
        keys: tuple[str, ...],
        rng: random.Random,
        retry_policy: RecoveryRetryPolicy | None = None,
        *,
        disk: str = "",
    ) -> None:
        """Prepare the recovery; `members` are all members including this one, `keys` all existing registers.

        `disk` names the disk to be filled; a replaced member serves only the disk named in the set.

        Raises ValueError if there are too few other members to recover from. A joining member needs at most all others.
        """
        self.member_sequence = members.sequence
        self.others = tuple(member for member in members.members if member != acceptor)
        self.quorum = recovery_quorum(members, acceptor)
        if members.joining == acceptor and members.leaving:
            self.others += (members.leaving,)
        if len(self.others) < self.quorum:
            raise ValueError("too few other members to recover from")
        self._identity = identity
        self._disk = disk
        self._keys = keys
        self._rng = rng
        self._retry_policy = retry_policy or RecoveryRetryPolicy()
        self._wait_ns = self._retry_policy.initial_read_timeout_ns
        self._timer_at_ns = 0
        self._announcement = NO_BALLOT
        self._announce_call = 0
        self._incarnations: dict[str, str] = {}  # of the members that granted the announcement
        self._reads: dict[int, _Read] = {}  # by call
        self._records: dict[str, RegisterRecord] = {}
        self._finished = False

    def start(self, now: int) -> list[Effect]:
        """Announce the recovery to the other members."""
        return self._announce(now)

    def handle(self, message: Promise, now: int) -> list[Effect]:
        """Handle a reply; replies to other calls are ignored."""
        if self._finished or message.acceptor not in self.others:
            return []
        if not message.granted and message.promised == NO_BALLOT:
            return []  # a non-voting acceptor
        if message.members != self.member_sequence:
            return []
        if message.call == self._announce_call:
            return self._handle_announced(message, now)
        read = self._reads.get(message.call)
        if read is None:
            return []
        return self._handle_read(message, read)

    def on_timer(self, now: int) -> list[Effect]:
        """Start again with the unread keys; ignores replaced timers."""
        if self._finished or now < self._timer_at_ns:
            return []
        if self._is_reading:
            self._wait_ns = min(2 * self._wait_ns, self._retry_policy.max_read_timeout_ns)
        return self._announce(now)

    @property
    def _is_reading(self) -> bool:
        """Whether enough members have granted the announcement to read from them."""
        return len(self._incarnations) >= self.quorum

    def _announce(self, now: int) -> list[Effect]:
        self._incarnations = {}
        self._reads = {}
        self._announce_call = self._identity.next_call()
        self._announcement = self._identity.next_ballot(RECOVERY_KEY)
        prepare = Prepare(
            self._announce_call, RECOVERY_KEY, self._announcement, self.member_sequence, self._disk
        )
        effects: list[Effect] = [SendTo(member, prepare) for member in self.others]
        effects.append(self._set_timer(now, self._retry_policy.announce_retry_ns))
        return effects

    def _handle_announced(self, promise: Promise, now: int) -> list[Effect]:
        if not promise.granted:
            self._identity.observe(RECOVERY_KEY, promise.promised)
            return self._announce(now)
        if self._is_reading:
            return []  # the reads are already sent to the first members that granted
        self._incarnations[promise.acceptor] = promise.incarnation
        if not self._is_reading:
            return []
        return [*self._read_all(), self._set_timer(now, self._wait_ns)]

    def _read_all(self) -> list[Effect]:
        effects: list[Effect] = []
        for key in self._keys:
            if key not in self._records:
                effects.extend(self._read(key))
        return effects or self._finish_if_complete()

    def _read(self, key: str) -> list[Effect]:
        call = self._identity.next_call()
        read = _Read(key, self._identity.next_ballot(key))
        self._reads[call] = read
        prepare = Prepare(call, key, read.ballot, self.member_sequence, self._disk)
        return [SendTo(member, prepare) for member in self._incarnations]

    def _handle_read(self, promise: Promise, read: _Read) -> list[Effect]:
        self._identity.observe(read.key, promise.promised)
        self._identity.observe(read.key, promise.accepted)
        if not promise.granted:
            del self._reads[promise.call]
            return self._read(read.key)
        if self._incarnations.get(promise.acceptor) != promise.incarnation:
            return []  # the incarnation has changed; the timer starts the next attempt
        read.promises[promise.acceptor] = promise
        if len(read.promises) < self.quorum:
            return []
        del self._reads[promise.call]
        self._records[read.key] = self._adopt(read)
        return self._finish_if_complete()

    def _adopt(self, read: _Read) -> RegisterRecord:
        newest = max(read.promises.values(), key=lambda promise: promise.accepted)
        if newest.accepted == NO_BALLOT:
            return RegisterRecord(read.key, read.ballot, NO_BALLOT, b"")
        return RegisterRecord(read.key, read.ballot, read.ballot, newest.value)

    def _finish_if_complete(self) -> list[Effect]:
        if len(self._records) < len(self._keys):
            return []
        self._finished = True
        announced = RegisterRecord(RECOVERY_KEY, self._announcement, NO_BALLOT, b"")
        return [Finished(Recovered((announced, *self._records.values())))]

    def _set_timer(self, now: int, wait_ns: int) -> SetTimer:
        self._timer_at_ns = now + wait_ns + self._rng.randint(0, wait_ns)
        return SetTimer(self._timer_at_ns)
