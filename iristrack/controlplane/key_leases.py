"""Grants sidecars the lease under which they honour keys (`configuration/key_lease.py`).

All sidecars that have asked by the time a question to the majority is sent are answered by it, so that their number
costs no rounds. A question that no majority answers is dropped: the sidecars ask again, here and elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.controlplane.register_host import RegisterHost
from iristrack.register.newest_read import NewestSequenceRead
from iristrack.runtime.scheduler import Timer
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import KeyLeaseGrant, KeyLeaseRequest, Message, NewestAnswer, NewestQuery

NS_PER_MS = 1_000_000
GATHER_NS = 30 * NS_PER_MS  # requests that come within it share one question
READ_NS = 400 * NS_PER_MS  # for a majority to answer
MOST_WAITING = 4096  # connections


class KeyLeases:
    """The requests at one core member, and its question to the others."""

    def __init__(self, register: RegisterHost, send: Callable[[str, Message], None]) -> None:
        """`send` sends to a member by its address."""
        self.register = register
        self.send = send
        self._waiting: dict[PeerConnection, int] = {}  # the newest request of each connection
        self._asking: dict[PeerConnection, int] = {}  # whose answer the question under way will be
        self._read: NewestSequenceRead | None = None
        self._timer: Timer | None = None
        self._call = 0

    def request(self, connection: PeerConnection, message: KeyLeaseRequest) -> None:
        """A sidecar asks; it is answered after the next question that is sent from now on."""
        if connection not in self._waiting and len(self._waiting) >= MOST_WAITING:
            return
        self._waiting[connection] = message.number
        if self._read is None and self._timer is None:
            self._set_timer(GATHER_NS, self._ask)

    def answer(self, query: NewestQuery) -> NewestAnswer | None:
        """What this process's acceptor has accepted; None where it does not vote in that set."""
        sequence = self.register.accepted_configuration(query.members)
        if sequence is None:
            return None
        return NewestAnswer(query.call, self.register.name, query.members, sequence)

    def heard(self, answer: NewestAnswer) -> None:
        """A member answered."""
        if self._read is None:
            return
        sequence = self._read.handle_answer(answer)
        if sequence is None:
            return
        for connection, number in self._asking.items():
            if not connection.closed:
                connection.send(KeyLeaseGrant(number, sequence))
        self._end()

    def _ask(self) -> None:
        """Send the question of all that wait."""
        self._timer = None
        self._asking, self._waiting = self._waiting, {}
        members = self.register.member_set
        if not self.register.founded:
            self._asking = {}
            return
        self._call += 1
        self._read = NewestSequenceRead(self._call, members)
        query = self._read.query
        self._set_timer(READ_NS, self._end)
        for member in members.members:
            if member != self.register.name:
                self.send(member, query)
        own = self.answer(query)
        if own is not None:
            self.heard(own)

    def _end(self) -> None:
        """The question is answered, or has waited for long enough."""
        self._read = None
        self._asking = {}
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiting:
            self._set_timer(GATHER_NS, self._ask)

    def _set_timer(self, delay_ns: int, call: Callable[[], None]) -> None:
        scheduler = self.register.scheduler
        self._timer = scheduler.call_at(scheduler.now() + delay_ns, call)
