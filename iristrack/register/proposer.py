"""The proposer of the compare-and-set registers: one change of one key, in two rounds at a majority.

The change is a function of the current value (b"" where the key was never written) and answers with the new value,
`Unchanged` (a read, or "my content is there already") or `Refuse`. It is called again in each attempt, so it must be a
compare-and-set by content: a function that takes any value may be applied twice, once by an attempt whose answers were
lost.

A result other than a new value is told only of a committed value: the value read is proposed again under the new
ballot, unless the whole quorum has accepted it under one and the same ballot already.

What becomes of an attempt whose answers were lost
--------------------------------------------------
Its ballot B stays in doubt. When a later attempt finds the bytes proposed under B, it completes them: `Committed`. When
it finds a newest accepted ballot below B, B was not chosen, and once the later attempt's own ballot is accepted by a
majority, B is never read again: a refusal is then definite (`Rejected`). When it finds a higher ballot with other
content, B may have been chosen and overwritten: the refusal is told as `Overtaken`.

Member sets
-----------
Each attempt goes by one member set, and `use` has a newer one taken up by a new attempt. What was proposed under the
old set stays in doubt as before: a quorum of either set meets one of the other (`member_set.py`).

Values that are held already
----------------------------
A ballot stands for one value. The proposer names the ballot that its own process's acceptor has accepted, and promises
with that ballot come without the value: so the first round costs little, however long the value is.

Incarnations
------------
A promise counts only if the acceptor tells the incarnation that this process had heard from it before the attempt sent
its first `Prepare` (see `recovery.py` for the reason). Where too few were known or too many have changed, the attempt
teaches them, and the next one starts at once.
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

MILLISECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The change leaves the value as it is and is satisfied with it."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The change does not apply to this value."""

    reason: str


Change = Callable[[bytes], bytes | Unchanged | Refuse]


@dataclass(frozen=True, slots=True)
class Committed:
    """The value stands at a majority under the ballot."""

    value: bytes
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change refused this committed value, and nothing that it proposed was or will be taken."""

    reason: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Overtaken:
    """The change refused this committed value; a value that it proposed earlier may have stood for a while."""

    reason: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No majority until the deadline or the last attempt; where `in_doubt`, the change may still be taken."""

    in_doubt: bool


ProposerResult = Committed | Rejected | Overtaken | Unavailable


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How long attempts and the rests between them last (nanoseconds), and how many there are."""

    attempt_timeout_ns: int = 300 * MILLISECOND
    initial_backoff_ns: int = 10 * MILLISECOND
    max_backoff_ns: int = 500 * MILLISECOND
    max_attempts: int = 32


class _Phase(Enum):
    RESTING = auto()
    PREPARING = auto()
    ACCEPTING = auto()
    FINISHED = auto()


class Proposer:
    """One change of one key; made anew for each change."""

    def __init__(
        self,
        identity: ProposerIdentity,
        key: str,
        members: MembersValue,
        change: Change,
        rng: random.Random,
        deadline_ns: int,
        pace: RetryPolicy | None = None,
        *,
        read_local: Callable[[], RegisterState] = lambda: EMPTY_STATE,
    ) -> None:
        """Prepare the change; `deadline_ns` is on the clock of `now`, `read_local` reads this process's acceptor.

        Raises ValueError for the key reserved to recoveries and for an empty or repeated member list.
        """
        if key == RECOVERY_KEY:
            raise ValueError("the empty key is reserved to recoveries")
        if not members.members or len(set(members.members)) != len(members.members):
            raise ValueError("members must be named, each once")
        self.key = key
        self._follow(members)
        self.result: ProposerResult | None = None
        self._identity = identity
        self._change = change
        self._rng = rng
        self._deadline_ns = deadline_ns
        self._pace = pace or RetryPolicy()
        self._phase = _Phase.RESTING
        self._attempts = 0
        self._due_ns = 0
        self._call = 0
        self._ballot = NO_BALLOT
        self._known: dict[str, str] = {}  # incarnations, as of the start of the attempt
        self._promises: dict[str, Promise] = {}
        self._acceptances: set[str] = set()
        self._lost: set[str] = set()  # members that can no longer be counted in this phase
        self._refused = False
        self._in_doubt: dict[Ballot, bytes] = {}  # new values that were sent to be accepted
        self._proposal = b""
        self._read_local = read_local
        self._held = EMPTY_STATE  # as of the start of the attempt
        self._conclusion: ProposerResult | None = None

    @property
    def proposal_size(self) -> int:
        """How long the value is that was proposed last (bytes)."""
        return len(self._proposal)

    def start(self, now: int) -> list[Effect]:
        """Begin the first attempt."""
        return self._begin_attempt(now)

    def handle(self, message: Promise | Accepted, now: int) -> list[Effect]:
        """Take an answer; one of another call, key or phase only teaches the acceptor's incarnation."""
        self._identity.incarnations[message.acceptor] = message.incarnation
        if message.call != self._call or message.key != self.key or message.acceptor not in self.members:
            return []
        if message.members != self.member_sequence:
            return []  # another set's vote: of an acceptor that is ahead, or of a program that knows no sets
        if isinstance(message, Promise) and self._phase is _Phase.PREPARING:
            return self._handle_promise(message, now)
        if isinstance(message, Accepted) and self._phase is _Phase.ACCEPTING:
            return self._handle_accepted(message, now)
        return []

    def use(self, members: MembersValue, now: int) -> list[Effect]:
        """Go by a newer member set: what is under way begins anew."""
        if self._phase is _Phase.FINISHED or members.sequence <= self.member_sequence:
            return []
        self._follow(members)
        return self._begin_attempt(now)

    def _follow(self, members: MembersValue) -> None:
        self.members = members.members
        self.member_sequence = members.sequence
        self.quorum = len(members.members) // 2 + 1

    def on_timer(self, now: int) -> list[Effect]:
        """End a rest, an attempt or the change, whichever is due; a timer that was replaced does nothing."""
        if self._phase is _Phase.FINISHED or now < self._due_ns:
            return []
        if now >= self._deadline_ns:
            return self._give_up()
        if self._phase is _Phase.RESTING:
            return self._begin_attempt(now)
        return self._rest(now)

    def _begin_attempt(self, now: int) -> list[Effect]:
        if self._attempts >= self._pace.max_attempts or now >= self._deadline_ns:
            return self._give_up()
        self._attempts += 1
        self._known = dict(self._identity.incarnations)
        self._ballot = self._identity.next_ballot(self.key)
        self._promises = {}
        self._begin_phase(_Phase.PREPARING)
        self._held = self._read_local()
        prepare = Prepare(self._call, self.key, self._ballot, self.member_sequence, known=self._held.accepted)
        effects: list[Effect] = [SendTo(member, prepare) for member in self.members]
        effects.append(self._set_timer(now + self._pace.attempt_timeout_ns))
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
            return []  # it does not vote
        self._identity.observe(self.key, promise.promised)
        self._identity.observe(self.key, promise.accepted)
        if not promise.granted:
            self._refused = True
            return self._lose(promise.acceptor, now)
        if not self._is_known(promise):
            return self._lose(promise.acceptor, now)
        self._promises[promise.acceptor] = self._with_value(promise)
        if len(self._promises) < self.quorum:
            return []
        return self._decide(now)

    def _with_value(self, promise: Promise) -> Promise:
        if promise.accepted == NO_BALLOT or promise.accepted != self._held.accepted:
            return promise
        return replace(promise, value=self._held.value)

    def _is_known(self, promise: Promise) -> bool:
        return self._known.get(promise.acceptor) == promise.incarnation

    def _lose(self, member: str, now: int) -> list[Effect]:
        self._lost.add(member)
        if len(self.members) - len(self._lost) >= self.quorum:
            return []
        if self._refused:
            return self._rest(now)
        return self._begin_attempt(now)  # nobody competes: incarnations were not known

    def _decide(self, now: int) -> list[Effect]:
        newest = max(self._promises.values(), key=lambda promise: promise.accepted)
        outcome = self._apply_change(newest)
        if isinstance(outcome, bytes):
            self._in_doubt[self._ballot] = outcome
            self._proposal = outcome
            self._conclusion = Committed(outcome, self._ballot)
            return self._begin_accept(now)
        settled = all(promise.accepted == newest.accepted for promise in self._promises.values())
        if isinstance(outcome, Unchanged):
            ballot = newest.accepted if settled else self._ballot
            self._conclusion = Committed(newest.value, ballot)
        else:
            self._conclusion = self._refusal(outcome, newest)
            settled = settled and not self._in_doubt
        if settled:
            return self._finish(self._conclusion)
        self._proposal = newest.value
        return self._begin_accept(now)

    def _apply_change(self, newest: Promise) -> bytes | Unchanged | Refuse:
        if newest.accepted != NO_BALLOT and newest.value in self._in_doubt.values():
            return Unchanged()
        outcome = self._change(newest.value)
        if outcome == newest.value:
            return Unchanged()
        return outcome

    def _refusal(self, outcome: Refuse, newest: Promise) -> ProposerResult:
        if any(ballot <= newest.accepted for ballot in self._in_doubt):
            return Overtaken(outcome.reason, newest.value)
        return Rejected(outcome.reason, newest.value)

    def _begin_accept(self, now: int) -> list[Effect]:
        self._begin_phase(_Phase.ACCEPTING)
        effects: list[Effect] = [SendTo(member, self._accept_for(member)) for member in self.members]
        effects.append(self._set_timer(now + self._pace.attempt_timeout_ns))
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
            return []  # it does not vote
        self._identity.observe(self.key, accepted.promised)
        if not accepted.granted:
            self._refused = True
            return self._lose(member, now)
        if self._promised_incarnation(member) not in ("", accepted.incarnation):
            return self._lose(member, now)
        self._acceptances.add(member)
        if len(self._acceptances) < self.quorum:
            return []
        return self._finish(self._conclusion)

    def _rest(self, now: int) -> list[Effect]:
        if self._attempts >= self._pace.max_attempts:
            return self._give_up()
        self._phase = _Phase.RESTING
        doublings = self._attempts - 1
        ceiling = min(self._pace.initial_backoff_ns << doublings, self._pace.max_backoff_ns)
        return [self._set_timer(now + self._rng.randint(1, ceiling))]

    def _give_up(self) -> list[Effect]:
        return self._finish(Unavailable(in_doubt=bool(self._in_doubt)))

    def _finish(self, result: ProposerResult) -> list[Effect]:
        self._phase = _Phase.FINISHED
        self.result = result
        return [Finished(result)]

    def _set_timer(self, at_ns: int) -> SetTimer:
        self._due_ns = min(at_ns, self._deadline_ns)
        return SetTimer(self._due_ns)
