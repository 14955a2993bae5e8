"""How new the configuration can be that has been acknowledged: one question to a majority, which writes nothing.

Each voting member of one set tells the sequence of the configuration that it has accepted, whether it was acknowledged
or not. A configuration is acknowledged once a majority has accepted it, and what a member accepts later descends from
it. So the highest answer of a majority that was asked after the acknowledgement is at least as high.

A member answers under its own set alone, as it answers a `Prepare`. That the majorities of one set and the next meet,
and that a member whose disk was lost knows again what it had accepted, is argued in `member_set.py` and `recovery.py`:
what holds there for the first round of a proposal holds for this question, which is the reading half of it.
"""

from __future__ import annotations

from iristrack.register.member_set import quorum_of
from iristrack.wire.messages import MembersValue, NewestAnswer, NewestQuery


class NewestSequenceRead:
    """One question and the answers to it so far."""

    def __init__(self, call: int, members: MembersValue) -> None:
        """`call` tells the answers to this question from those to others of the same process."""
        self.query = NewestQuery(call, members.sequence)
        self._members = members
        self._told: dict[str, int] = {}

    def handle_answer(self, answer: NewestAnswer) -> int | None:
        """Take an answer; the highest sequence, once a majority has answered."""
        is_ours = (answer.call, answer.members) == (self.query.call, self.query.members)
        if is_ours and answer.acceptor in self._members.members:
            self._told[answer.acceptor] = answer.sequence
        if len(self._told) < quorum_of(self._members):
            return None
        return max(self._told.values())
