"""What all proposers and recoveries of one process share, so that their ballots and calls never meet."""

from __future__ import annotations

from iristrack.wire.messages import Ballot


class ProposerIdentity:
    """The name under which one process proposes, and what it has learned from acceptors.

    `name` must differ from every name ever used, also by earlier processes of the same node: the host joins the node's
    name and a string drawn at the start of the process.

    `incarnations` holds, per acceptor, the incarnation last heard from it. The host may add the one in a `Hello`, which
    spares the first change a round.
    """

    def __init__(self, name: str, first_call: int = 0) -> None:
        """Start without knowledge of any acceptor; calls are numbered from `first_call` + 1 on."""
        self.name = name
        self.incarnations: dict[str, str] = {}
        self._rounds: dict[str, int] = {}
        self._last_call = first_call

    def next_call(self) -> int:
        """Return a call number that this process has not used."""
        self._last_call += 1
        return self._last_call

    def next_ballot(self, key: str) -> Ballot:
        """Return a ballot above every one seen or made for the key."""
        number = self._rounds.get(key, 0) + 1
        self._rounds[key] = number
        return Ballot(number, self.name)

    def observe(self, key: str, ballot: Ballot) -> None:
        """Note a ballot that an acceptor told of."""
        if ballot.round > self._rounds.get(key, 0):
            self._rounds[key] = ballot.round
