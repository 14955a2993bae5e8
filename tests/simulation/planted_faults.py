"""Faults that tests plant in the register host, to show that a simulation's referee finds them."""

from __future__ import annotations

from dataclasses import replace

from iristrack.register import Acceptor, Proposer, Recovery
from iristrack.register.acceptor import Outcome
from iristrack.register.member_set import quorum_of
from iristrack.wire.messages import Accept, Prepare, Promise


def vote_without_recovery(self, on_done):
    """A member whose disk was lost, or that was let in, votes without having read anything from the others."""
    self._begin(self.member_set, self._draw_incarnation(), (), on_done)


def reply_before_record(self, decide, reply):
    """Replies do not wait for their records."""
    acceptor = self.acceptor
    if acceptor is None or not acceptor.voting:
        return
    outcome = decide(acceptor)
    reply(outcome.reply)
    self.sync.submit([] if outcome.record is None else [outcome.record], lambda ok: None)


def handle_any_set(self, message, reply):
    """Nobody is told of a newer member set."""
    if isinstance(message, Prepare):
        self._vote(lambda acceptor: acceptor.handle_prepare(message), reply)
    elif isinstance(message, Accept):
        self._vote(lambda acceptor: acceptor.handle_accept(message), reply)
    else:
        self.runner.dispatch(message)


class AnySetAcceptor(Acceptor):
    """Takes messages of each member set, and answers as one of that set."""

    def _votes_on(self, key: str, member_sequence: int) -> bool:
        return super()._votes_on(key, self.member_sequence)

    def handle_prepare(self, prepare: Prepare) -> Outcome:
        """Promise whatever set the sender goes by."""
        outcome = super().handle_prepare(prepare)
        return Outcome(outcome.record, replace(outcome.reply, members=prepare.members))

    def handle_accept(self, accept: Accept) -> Outcome:
        """Accept whatever set the sender goes by."""
        outcome = super().handle_accept(accept)
        return Outcome(outcome.record, replace(outcome.reply, members=accept.members))


class ShortQuorumProposer(Proposer):
    """Goes by one answer too few."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.quorum -= 1


class ShortQuorumRecovery(Recovery):
    """Reads from one member too few."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.quorum -= 1


class LeaverlessRecovery(Recovery):
    """A newcomer does not read from the member that it replaces."""

    def __init__(self, acceptor, identity, members, *arguments, **options) -> None:
        super().__init__(acceptor, identity, members, *arguments, **options)
        self.others = tuple(other for other in self.others if other != members.leaving)


class WholeQuorumRecovery(Recovery):
    """Of an even set a recovery needs a quorum of others, and not half of the members."""

    def __init__(self, acceptor, identity, members, *arguments, **options) -> None:
        super().__init__(acceptor, identity, members, *arguments, **options)
        self.quorum = quorum_of(members)


def settle_without_writing_again(self, members, round_ns):
    """A member is taken out, and no register is written again under the smaller set."""
    return True


class TrustingProposer(Proposer):
    """Counts promises of each incarnation."""

    def _is_known(self, promise: Promise) -> bool:
        return True


def publish_to_nobody(self, told):
    """Who has agreed on a member set follows it, and tells nobody; a newcomer finds out by asking."""
    self._follow(told)
