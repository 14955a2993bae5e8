"""Runs the register's state machines: messages to and from peers, durable records before replies."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from iristrack.register import (
    Acceptor,
    Cell,
    CellRecord,
    Change,
    Effect,
    Finished,
    Pace,
    Proposer,
    ProposerIdentity,
    ProposerResult,
    Recovered,
    Recovery,
    SendTo,
    SetTimer,
    Unavailable,
)
from iristrack.register.acceptor import Outcome
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler, Task, Timer, clock
from iristrack.store.cells import BlobRecord, IdentityRecord, OpenedCells
from iristrack.store.sync_thread import SyncThread
from iristrack.wire.messages import Accept, Accepted, MembersValue, Message, Prepare, Promise
from iristrack.wire.values import decode_value, encode_value

MEMBERS_BLOB = "members"
UNFOUNDED = 0  # sequence of the member set that the seeds begin with
FOUNDED = 1  # and of the one that they have agreed on
Reply = Callable[[Message], None]
SendToMember = Callable[[str, Message], None]


class _Running:
    """A proposer or a recovery that waits for answers or its timer."""

    def __init__(self, decider: Proposer | Recovery) -> None:
        self.decider = decider
        self.timer: Timer | None = None
        self.task: Task | None = None
        self.result: object | None = None


class RegisterHost:
    """One core member's acceptor and the proposers of this process."""

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        opened: OpenedCells,
        sync: SyncThread,
        send: SendToMember,
        keys: tuple[str, ...],
        log,
    ) -> None:
        """`name` is this process's inner address, by which the member set names it."""
        self.scheduler = scheduler
        self.name = name
        self.sync = sync
        self.send = send
        self.keys = keys
        self.log = log
        self.rng = random.Random()
        self.identity = ProposerIdentity(f"{name}/{secrets.token_hex(6)}")
        self.members: tuple[str, ...] = ()
        self.founded = False  # is the member set the one that was agreed on?
        self.acceptor: Acceptor | None = None
        self._running: list[_Running] = []
        self._opened = opened
        self._recovering = False
        self._forming = False
        members = decode_value(opened.blobs.get(MEMBERS_BLOB, b""), MembersValue)
        if opened.identity is not None and members is not None:
            self.members = members.members
            self.founded = members.sequence >= FOUNDED
            cells = {key: Cell(r.promised, r.accepted, r.value) for key, r in opened.cells.items()}
            self.acceptor = Acceptor(name, opened.identity.incarnation, cells, True, keys=keys)

    @property
    def voting(self) -> bool:
        """Does this process vote?"""
        return self.acceptor is not None and self.acceptor.voting

    @property
    def recovering(self) -> bool:
        """Does it read from the others what its lost disk held?"""
        return self._recovering

    @property
    def incarnation(self) -> str:
        """What this process's acceptor tells of itself; empty while it has none."""
        return "" if self.acceptor is None else self.acceptor.incarnation

    # ---- how an acceptor comes to vote

    def form(self, members: tuple[str, ...], on_done: Callable[[], None]) -> None:
        """The first start of the whole system: this is one of the seeds, which vote on the member set first."""
        self._forming = True
        incarnation = secrets.token_hex(8)
        self._begin(MembersValue(UNFOUNDED, members), incarnation, (), on_done)

    def join(self, members: tuple[str, ...], on_done: Callable[[], None]) -> None:
        """The first start of the whole system, and the seeds have named this machine, which has never voted."""
        if self._recovering or self._forming or self.voting:
            return
        self._forming = True
        self._begin(MembersValue(FOUNDED, members), secrets.token_hex(8), (), on_done)

    def found(self, members: tuple[str, ...], on_done: Callable[[], None]) -> None:
        """The seeds have agreed on the member set: every other register is voted on by these alone."""
        if self.founded:
            return
        blob = BlobRecord(MEMBERS_BLOB, encode_value(MembersValue(FOUNDED, members)))

        def written(ok: bool) -> None:
            if ok and not self.founded:
                self.members, self.founded = members, True
                self.log.info("founded", members=",".join(members))
                on_done()

        self.sync.submit([blob], written)

    def recover(self, members: tuple[str, ...], on_done: Callable[[], None]) -> None:
        """The disk came back empty: read from the others, then vote under a new incarnation."""
        if self._recovering or self._forming or self.voting:
            return
        self._recovering = True
        self.members = members
        incarnation = secrets.token_hex(8)
        running = _Running(Recovery(self.name, self.identity, members, self.keys, self.rng))
        self._running.append(running)

        def finished(recovered: Recovered) -> None:
            self._begin(MembersValue(FOUNDED, members), incarnation, recovered.records, on_done)

        running.result = finished
        self.log.info("recovering", members=",".join(members))
        self._carry_out(running, running.decider.start(clock()))

    def _begin(
        self,
        members: MembersValue,
        incarnation: str,
        records: tuple[CellRecord, ...],
        on_done: Callable[[], None],
    ) -> None:
        blob = BlobRecord(MEMBERS_BLOB, encode_value(members))
        identity = IdentityRecord(incarnation, self.sync_node)

        def written(ok: bool) -> None:
            self._recovering = self._forming = False
            if not ok:
                self.log.error("no vote: the disk refused the first records")
                return
            self.members, self.founded = members.members, members.sequence >= FOUNDED
            cells = {r.key: Cell(r.promised, r.accepted, r.value) for r in records}
            self.acceptor = Acceptor(self.name, incarnation, cells, True, keys=self.keys)
            self.identity.incarnations[self.name] = self.acceptor.incarnation
            self.log.info("voting", incarnation=incarnation, members=",".join(members.members))
            on_done()

        self.sync.submit([identity, blob, *records], written)

    @property
    def sync_node(self) -> str:
        """The node name under which the folder is kept."""
        return self._opened.store.node

    # ---- messages

    def handle(self, message: Message, reply: Reply) -> None:
        """Take a message of the register; replies to requests are released when their records are synced."""
        if isinstance(message, Prepare):
            self._vote(lambda acceptor: acceptor.handle_prepare(message), reply)
        elif isinstance(message, Accept):
            self._vote(lambda acceptor: acceptor.handle_accept(message), reply)
        elif isinstance(message, Promise | Accepted):
            self._dispatch(message)

    def _vote(self, decide: Callable[[Acceptor], Outcome], reply: Reply) -> None:
        acceptor = self.acceptor
        if acceptor is None or not acceptor.voting:
            return
        outcome = decide(acceptor)
        records = [] if outcome.record is None else [outcome.record]

        def written(ok: bool) -> None:
            if ok and acceptor.voting:
                reply(outcome.reply)
            elif not ok and acceptor.voting:
                acceptor.write_failed()
                self.log.error("no vote any more: the disk refused a record")

        self.sync.submit(records, written)

    def _dispatch(self, answer: Promise | Accepted) -> None:
        for running in list(self._running):
            if isinstance(running.decider, Recovery) and not isinstance(answer, Promise):
                continue
            self._carry_out(running, running.decider.handle(answer, clock()))

    # ---- deciders

    def change(self, key: str, change: Change, deadline: int, pace: Pace | None = None) -> ProposerResult:
        """Change a register from a task of the loop; returns when it has ended."""
        if not self.members or not (self.founded or key == topics.MEMBERS):
            return Unavailable(in_doubt=False)
        proposer = Proposer(self.identity, key, self.members, change, self.rng, deadline, pace)
        running = _Running(proposer)
        running.task = self.scheduler.current
        self._running.append(running)
        self._carry_out(running, proposer.start(clock()))
        try:
            while running.result is None:
                self.scheduler.wait(-1, 0, None)
        finally:
            self._forget(running)
        return running.result

    def _carry_out(self, running: _Running, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                if running.timer is not None:
                    running.timer.cancel()
                running.timer = self.scheduler.call_at(effect.at_ns, self._on_timer, running)
            elif isinstance(effect, Finished):
                self._finish(running, effect.result)

    def _on_timer(self, running: _Running) -> None:
        self._carry_out(running, running.decider.on_timer(clock()))

    def _send(self, effect: SendTo) -> None:
        if effect.member == self.name:
            # In a turn of its own: a decider must not be given an answer while its effects are carried out.
            self.scheduler.call_at(clock(), self.handle, effect.message, self._dispatch)
        else:
            self.send(effect.member, effect.message)

    def _finish(self, running: _Running, result: object) -> None:
        if callable(running.result):  # a recovery: its end is a call
            on_recovered = running.result
            self._forget(running)
            on_recovered(result)
            return
        running.result = result
        if running.task is not None:
            running.task.wake()

    def _forget(self, running: _Running) -> None:
        if running.timer is not None:
            running.timer.cancel()
        if running in self._running:
            self._running.remove(running)
