"""Grants sidecars the lease under which they accept API keys (`configuration/key_lease.py`).

One query to a majority answers all sidecars whose requests arrived before it was sent, so more sidecars cost no more
rounds. A query that no majority answers is dropped: the sidecars send their requests again, here and to other members.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.controlplane.register_host import RegisterHost
from iristrack.register.newest_read import NewestSequenceRead
from iristrack.runtime.scheduler import Timer
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import KeyLeaseGrant, KeyLeaseRequest, Message, NewestAnswer, NewestQuery

NS_PER_MS = 1_000_000
BATCH_WINDOW_NS = 30 * NS_PER_MS  # requests that arrive within it share one query
QUERY_TIMEOUT_NS = 400 * NS_PER_MS  # for a majority to answer
MAX_WAITING = 4096  # connections with a request that no query covers yet


class KeyLeases:
    """The lease requests at one core member, and its query to the other members."""

    def __init__(self, register: RegisterHost, send: Callable[[str, Message], None]) -> None:
        """`send` sends to a member by its address."""
        self.register = register
        self.send = send
        self._waiting: dict[PeerConnection, int] = {}  # newest request of each connection, for the next query
        self._in_query: dict[PeerConnection, int] = {}  # requests that the current query will answer
        self._read: NewestSequenceRead | None = None
        self._timer: Timer | None = None
        self._call = 0

    def request(self, connection: PeerConnection, message: KeyLeaseRequest) -> None:
        """Queue a sidecar's request; it is answered by the next query that is sent from now on."""
        if connection not in self._waiting and len(self._waiting) >= MAX_WAITING:
            return
        self._waiting[connection] = message.number
        if self._read is None and self._timer is None:
            self._set_timer(BATCH_WINDOW_NS, self._send_query)

    def answer(self, query: NewestQuery) -> NewestAnswer | None:
        """Return what this process's acceptor has accepted; None if it does not vote in that member set."""
        sequence = self.register.accepted_configuration(query.members)
        if sequence is None:
            return None
        return NewestAnswer(query.call, self.register.name, query.members, sequence)

    def handle_answer(self, answer: NewestAnswer) -> None:
        """Handle a member's answer; grant the leases once a majority has answered."""
        if self._read is None:
            return
        sequence = self._read.handle_answer(answer)
        if sequence is None:
            return
        for connection, number in self._in_query.items():
            if not connection.closed:
                connection.send(KeyLeaseGrant(number, sequence))
        self._end_query()

    def _send_query(self) -> None:
        """Send one query for all waiting requests."""
        self._timer = None
        self._in_query, self._waiting = self._waiting, {}
        members = self.register.member_set
        if not self.register.founded:
            self._in_query = {}
            return
        self._call += 1
        self._read = NewestSequenceRead(self._call, members)
        query = self._read.query
        self._set_timer(QUERY_TIMEOUT_NS, self._end_query)
        for member in members.members:
            if member != self.register.name:
                self.send(member, query)
        own = self.answer(query)
        if own is not None:
            self.handle_answer(own)

    def _end_query(self) -> None:
        """End the current query, which was answered or has timed out."""
        self._read = None
        self._in_query = {}
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiting:
            self._set_timer(BATCH_WINDOW_NS, self._send_query)

    def _set_timer(self, delay_ns: int, call: Callable[[], None]) -> None:
        scheduler = self.register.scheduler
        self._timer = scheduler.call_at(scheduler.now() + delay_ns, call)
