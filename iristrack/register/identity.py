"""State shared by all proposers and recoveries of one process, so that their ballots and call numbers are unique."""

from __future__ import annotations

from iristrack.wire.messages import Ballot


class ProposerIdentity:
    """The proposer name of one process, and what it has learned from acceptors.

    `name` must be unique among all proposers ever started, including earlier processes of the same node: the host
    joins the node's name and a random string drawn at process start.

    `incarnations` maps each acceptor to its last reported incarnation. The host may add the one in a `Hello`, which
    saves the first change a round.
    """

    def __init__(self, name: str, first_call: int = 0) -> None:
        """Start without knowledge of any acceptor; call numbers begin at `first_call` + 1."""
        self.name = name
        self.incarnations: dict[str, str] = {}
        self._rounds: dict[str, int] = {}
        self._last_call = first_call

    def next_call(self) -> int:
        """Return a call number that this process has not used."""
        self._last_call += 1
        return self._last_call

    def next_ballot(self, key: str) -> Ballot:
        """Return a ballot above every one observed or created for the key."""
        number = self._rounds.get(key, 0) + 1
        self._rounds[key] = number
        return Ballot(number, self.name)

    def observe(self, key: str, ballot: Ballot) -> None:
        """Record a ballot reported by an acceptor."""
        if ballot.round > self._rounds.get(key, 0):
            self._rounds[key] = ballot.round
