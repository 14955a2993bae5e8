"""The proposer of the compare-and-set registers: one change of one key, in two rounds at a majority.

The change is a function of the current value (b"" if the key was never written). It returns the new value, `Unchanged`
(for a read, or if the desired content is already there) or `Refuse`. It is called again in each attempt, so it must
compare by content: a function that accepts any value may be applied twice, once by an attempt whose replies were lost.

A result other than a new value is reported only for a committed value: the value read is proposed again under the new
ballot, unless the whole quorum has already accepted it under one ballot.

Attempts whose replies were lost
--------------------------------
The ballot B of such an attempt remains in doubt. If a later attempt finds the bytes proposed under B, it completes
them: `Committed`. If it finds a newest accepted ballot below B, then B was not chosen, and once the later attempt's own
ballot is accepted by a majority, B is never read again: a refusal is then definite (`Rejected`). If it finds a higher
ballot with other content, B may have been chosen and overwritten: the refusal is reported as `Overtaken`.

Member sets
-----------
Each attempt uses one member set; `use` starts a new attempt under a newer set. What was proposed under the old set
remains in doubt as before: a quorum of either set intersects every quorum of the other (`member_set.py`).

Values that the local acceptor holds
------------------------------------
A ballot identifies one value. The proposer sends the ballot that its own process's acceptor has accepted, and promises
with that ballot are returned without the value. The first round is therefore cheap, however long the value is.

Incarnations
------------
A promise counts only if it carries the incarnation that this process knew of the acceptor before the attempt sent its
first `Prepare` (see `recovery.py` for the reason). If too few incarnations were known or too many have changed, the
attempt learns them, and the next one starts at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto

from iristrack.register.acceptor import EMPTY_STATE, RECOVERY_KEY, RegisterState
from iristrack.register.effects import Effect, Finished, SendTo, SetTimer
from iristrack.register.identity import ProposerIdentity
from iristrack.wire.messages import NO_BALLOT, Accept, Accepted, Ballot, MembersValue, Prepare, Promise

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The change succeeds without modifying the value."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The change does not apply to this value."""

    reason: str


Change = Callable[[bytes], bytes | Unchanged | Refuse]


@dataclass(frozen=True, slots=True)
class Committed:
    """The value is accepted by a majority under the ballot."""

    value: bytes
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change refused this committed value; no value that it proposed was or will be chosen."""

    reason: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Overtaken:
    """The change refused this committed value; a value it proposed earlier may have been chosen and overwritten."""

    reason: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No majority by the deadline or the last attempt; if `in_doubt`, the change may still be chosen."""

    in_doubt: bool


ProposerResult = Committed | Rejected | Overtaken | Unavailable


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Duration of attempts, backoff between them, and the maximum number of attempts."""

    attempt_timeout_ns: int = 300 * NS_PER_MS
    initial_backoff_ns: int = 10 * NS_PER_MS
    max_backoff_ns: int = 500 * NS_PER_MS
    max_attempts: int = 32


class _Phase(Enum):
    BACKING_OFF = auto()
    PREPARING = auto()
    ACCEPTING = auto()
    FINISHED = auto()


class Proposer:
    """One change of one key; a new proposer is created for each change."""

    def __init__(
        self,
        identity: ProposerIdentity,
        key: str,
        members: MembersValue,
        change: Change,
        rng: random.Random,
        deadline_ns: int,
        retry_policy: RetryPolicy | None = None,
        *,
        read_local: Callable[[], RegisterState] = lambda: EMPTY_STATE,
    ) -> None:
        """Prepare the change; `deadline_ns` is on the clock of `now`, `read_local` reads this process's acceptor.

        Raises ValueError for the key reserved for recoveries and for an empty member list or one with duplicates.
        """
        if key == RECOVERY_KEY:
            raise ValueError("the empty key is reserved for recoveries")
        if not members.members or len(set(members.members)) != len(members.members):
            raise ValueError("the member list must be non-empty and without duplicates")
        self.key = key
        self._set_members(members)
        self.result: ProposerResult | None = None
        self._identity = identity
        self._change = change
        self._rng = rng
        self._deadline_ns = deadline_ns
        self._retry_policy = retry_policy or RetryPolicy()
        self._phase = _Phase.BACKING_OFF
        self._attempts = 0
        self._timer_at_ns = 0
        self._call = 0
        self._ballot = NO_BALLOT
        self._known: dict[str, str] = {}  # incarnations at the start of the attempt
        self._promises: dict[str, Promise] = {}
        self._acceptances: set[str] = set()
        self._lost: set[str] = set()  # members that cannot be counted in this phase any more
        self._refused = False
        self._in_doubt: dict[Ballot, bytes] = {}  # new values sent in `Accept`s
        self._proposal = b""
        self._read_local = read_local
        self._local_state = EMPTY_STATE  # at the start of the attempt
        self._pending_result: ProposerResult | None = None

    @property
    def proposal_size(self) -> int:
        """Size of the last proposed value in bytes."""
        return len(self._proposal)

    def start(self, now: int) -> list[Effect]:
        """Begin the first attempt."""
        return self._begin_attempt(now)

    def handle(self, message: Promise | Accepted, now: int) -> list[Effect]:
        """Handle a reply; from one to another call, key or phase, only the incarnation is recorded."""
        self._identity.incarnations[message.acceptor] = message.incarnation
        if message.call != self._call or message.key != self.key or message.acceptor not in self.members:
            return []
        if message.members != self.member_sequence:
            return []  # a vote in another set: from an acceptor that is ahead, or from a version without member sets
        if isinstance(message, Promise) and self._phase is _Phase.PREPARING:
            return self._handle_promise(message, now)
        if isinstance(message, Accepted) and self._phase is _Phase.ACCEPTING:
            return self._handle_accepted(message, now)
        return []

    def use(self, members: MembersValue, now: int) -> list[Effect]:
        """Switch to a newer member set; the current attempt is restarted."""
        if self._phase is _Phase.FINISHED or members.sequence <= self.member_sequence:
            return []
        self._set_members(members)
        return self._begin_attempt(now)

    def _set_members(self, members: MembersValue) -> None:
        self.members = members.members
        self.member_sequence = members.sequence
        self.quorum = len(members.members) // 2 + 1

    def on_timer(self, now: int) -> list[Effect]:
        """End the backoff, the attempt or the whole change, whichever is due; ignores replaced timers."""
        if self._phase is _Phase.FINISHED or now < self._timer_at_ns:
            return []
        if now >= self._deadline_ns:
            return self._give_up()
        if self._phase is _Phase.BACKING_OFF:
            return self._begin_attempt(now)
        return self._back_off(now)

    def _begin_attempt(self, now: int) -> list[Effect]:
        if self._attempts >= self._retry_policy.max_attempts or now >= self._deadline_ns:
            return self._give_up()
        self._attempts += 1
        self._known = dict(self._identity.incarnations)
        self._ballot = self._identity.next_ballot(self.key)
        self._promises = {}
        self._begin_phase(_Phase.PREPARING)
        self._local_state = self._read_local()
        prepare = Prepare(
            self._call, self.key, self._ballot, self.member_sequence, known=self._local_state.accepted
        )
        effects: list[Effect] = [SendTo(member, prepare) for member in self.members]
        effects.append(self._set_timer(now + self._retry_policy.attempt_timeout_ns))
        return effects

    def _begin_phase(self, phase: _Phase) -> None:
        self._phase = phase
        self._call = self._identity.next_call()
        self._acceptances = set()
        self._lost = set()
        self._refused = False

    def _handle_promise(self, promise: Promise, now: int) -> list[Effect]:
        if promise.acceptor in self._promises or promise.acceptor in self._lost:
            return []
        if not promise.granted and promise.promised == NO_BALLOT:
            return []  # a non-voting acceptor
        self._identity.observe(self.key, promise.promised)
        self._identity.observe(self.key, promise.accepted)
        if not promise.granted:
            self._refused = True
            return self._exclude(promise.acceptor, now)
        if not self._is_known(promise):
            return self._exclude(promise.acceptor, now)
        self._promises[promise.acceptor] = self._with_value(promise)
        if len(self._promises) < self.quorum:
            return []
        return self._decide(now)

    def _with_value(self, promise: Promise) -> Promise:
        if promise.accepted == NO_BALLOT or promise.accepted != self._local_state.accepted:
            return promise
        return replace(promise, value=self._local_state.value)

    def _is_known(self, promise: Promise) -> bool:
        return self._known.get(promise.acceptor) == promise.incarnation

    def _exclude(self, member: str, now: int) -> list[Effect]:
        self._lost.add(member)
        if len(self.members) - len(self._lost) >= self.quorum:
            return []
        if self._refused:
            return self._back_off(now)
        return self._begin_attempt(now)  # no competing proposer: incarnations were unknown

    def _decide(self, now: int) -> list[Effect]:
        newest = max(self._promises.values(), key=lambda promise: promise.accepted)
        outcome = self._apply_change(newest)
        if isinstance(outcome, bytes):
            self._in_doubt[self._ballot] = outcome
            self._proposal = outcome
            self._pending_result = Committed(outcome, self._ballot)
            return self._begin_accept(now)
        settled = all(promise.accepted == newest.accepted for promise in self._promises.values())
        if isinstance(outcome, Unchanged):
            ballot = newest.accepted if settled else self._ballot
            self._pending_result = Committed(newest.value, ballot)
        else:
            self._pending_result = self._refused_result(outcome, newest)
            settled = settled and not self._in_doubt
        if settled:
            return self._finish(self._pending_result)
        self._proposal = newest.value
        return self._begin_accept(now)

    def _apply_change(self, newest: Promise) -> bytes | Unchanged | Refuse:
        if newest.accepted != NO_BALLOT and newest.value in self._in_doubt.values():
            return Unchanged()
        outcome = self._change(newest.value)
        if outcome == newest.value:
            return Unchanged()
        return outcome

    def _refused_result(self, outcome: Refuse, newest: Promise) -> ProposerResult:
        if any(ballot <= newest.accepted for ballot in self._in_doubt):
            return Overtaken(outcome.reason, newest.value)
        return Rejected(outcome.reason, newest.value)

    def _begin_accept(self, now: int) -> list[Effect]:
        self._begin_phase(_Phase.ACCEPTING)
        effects: list[Effect] = [SendTo(member, self._accept_for(member)) for member in self.members]
        effects.append(self._set_timer(now + self._retry_policy.attempt_timeout_ns))
        return effects

    def _accept_for(self, member: str) -> Accept:
        incarnation = self._promised_incarnation(member)
        return Accept(self._call, self.key, self._ballot, incarnation, self._proposal, self.member_sequence)

    def _promised_incarnation(self, member: str) -> str:
        promise = self._promises.get(member)
        return promise.incarnation if promise else ""

    def _handle_accepted(self, accepted: Accepted, now: int) -> list[Effect]:
        member = accepted.acceptor
        if member in self._acceptances or member in self._lost:
            return []
        if not accepted.granted and accepted.promised == NO_BALLOT:
            return []  # a non-voting acceptor
        self._identity.observe(self.key, accepted.promised)
        if not accepted.granted:
            self._refused = True
            return self._exclude(member, now)
        if self._promised_incarnation(member) not in ("", accepted.incarnation):
            return self._exclude(member, now)
        self._acceptances.add(member)
        if len(self._acceptances) < self.quorum:
            return []
        return self._finish(self._pending_result)

    def _back_off(self, now: int) -> list[Effect]:
        if self._attempts >= self._retry_policy.max_attempts:
            return self._give_up()
        self._phase = _Phase.BACKING_OFF
        doubling_count = self._attempts - 1
        max_backoff_ns = min(
            self._retry_policy.initial_backoff_ns << doubling_count, self._retry_policy.max_backoff_ns
        )
        return [self._set_timer(now + self._rng.randint(1, max_backoff_ns))]

    def _give_up(self) -> list[Effect]:
        return self._finish(Unavailable(in_doubt=bool(self._in_doubt)))

    def _finish(self, result: ProposerResult) -> list[Effect]:
        self._phase = _Phase.FINISHED
        self.result = result
        return [Finished(result)]

    def _set_timer(self, at_ns: int) -> SetTimer:
        self._timer_at_ns = min(at_ns, self._deadline_ns)
        return SetTimer(self._timer_at_ns)
