"""Reading the newest configuration sequence that can have been acknowledged: one read-only query to a majority.

Each voting member of one set reports the sequence of the configuration that it has accepted, whether or not it was
acknowledged. A configuration is acknowledged once a majority has accepted it, and what a member accepts later descends
from it. So the highest answer of a majority that was queried after the acknowledgement is at least as high.

A member answers only under its own set, as it does for a `Prepare`. `member_set.py` and `recovery.py` show that the
majorities of one set and the next intersect, and that a member whose disk was lost recovers what it had accepted: what
holds there for the first round of a proposal holds for this query, which is the read half of that round.
"""

from __future__ import annotations

from iristrack.register.member_set import quorum_of
from iristrack.wire.messages import MembersValue, NewestAnswer, NewestQuery


class NewestSequenceRead:
    """One query and its answers so far."""

    def __init__(self, call: int, members: MembersValue) -> None:
        """`call` distinguishes the answers to this query from those to other queries of the same process."""
        self.query = NewestQuery(call, members.sequence)
        self._members = members
        self._sequences: dict[str, int] = {}

    def handle_answer(self, answer: NewestAnswer) -> int | None:
        """Record an answer; return the highest sequence once a majority has answered, else None."""
        is_expected = (answer.call, answer.members) == (self.query.call, self.query.members)
        if is_expected and answer.acceptor in self._members.members:
            self._sequences[answer.acceptor] = answer.sequence
        if len(self._sequences) < quorum_of(self._members):
            return None
        return max(self._sequences.values())
