"""Maintain one connection to each of a set of addresses."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from iristrack.http1.connection import connect
from iristrack.runtime.scheduler import Cancelled, Scheduler, Task
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import Heartbeat, Hello, Message

NS_PER_MS = 1_000_000
# A machine without power does not answer, and TCP retransmits a lost SYN only after a second. The first attempts have a
# short timeout, so that a machine that is up again is reached soon.
FIRST_CONNECT_NS = 200 * NS_PER_MS
LONGEST_CONNECT_NS = 1000 * NS_PER_MS
SHORT_CONNECT_COUNT = 5  # attempts with the first timeout, which then doubles with each failure
FIRST_PAUSE_NS = 50 * NS_PER_MS
# Failures with the first pause, as a complete system starts within a second; the pause then doubles.
SHORT_PAUSE_COUNT = 20
LONGEST_PAUSE_NS = 1000 * NS_PER_MS
HEARTBEAT_NS = 500 * NS_PER_MS
# A peer that is silent for this many heartbeat intervals and the margin is reconnected.
MAX_MISSED_HEARTBEATS = 3
SILENCE_MARGIN_NS = 100 * NS_PER_MS  # additional time for the answer to the last heartbeat


def parse_address(text: str) -> tuple[str, int]:
    """Split `ip:port` into a pair; raises `ValueError` if the port is invalid."""
    host, _, port = text.rpartition(":")
    return host, int(port)


OpenConnection = Callable[
    [str, Callable[[PeerConnection, Message], None], Callable[[PeerConnection], None], int], PeerConnection
]


def open_connection(scheduler: Scheduler) -> OpenConnection:
    """Return a function that opens TCP connections from tasks of this scheduler.

    Its last argument is the timeout in nanoseconds; it raises `OSError` if the connection fails.
    """

    def open_one(
        address: str,
        on_message: Callable[[PeerConnection, Message], None],
        on_close: Callable[[PeerConnection], None],
        timeout_ns: int,
    ) -> PeerConnection:
        sock = connect(scheduler, parse_address(address), scheduler.now() + timeout_ns)
        return PeerConnection(scheduler, sock, on_message, on_close)

    return open_one


def retry_backoff_ns(failures: int) -> int:
    """Return the pause in nanoseconds after a number of consecutive failed attempts."""
    doublings = max(0, failures - SHORT_PAUSE_COUNT)
    return min(LONGEST_PAUSE_NS, FIRST_PAUSE_NS << min(doublings, 16))


def connect_timeout_ns(failures: int) -> int:
    """Return the connect timeout in nanoseconds after a number of consecutive failed attempts."""
    doublings = max(0, failures - SHORT_CONNECT_COUNT + 1)
    return min(LONGEST_CONNECT_NS, FIRST_CONNECT_NS << min(doublings, 16))


class Dialer:
    """Maintains one connection to one address and reconnects whenever it ends.

    `on_open` is called with each new connection after `Hello` was sent. Heartbeats are sent while the connection is
    open; `interval` returns the time between them in nanoseconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        hello: Callable[[], Hello],
        heartbeat: Callable[[], Heartbeat],
        on_open: Callable[[PeerConnection], None],
        on_message: Callable[[PeerConnection, Message], None],
        interval: Callable[[PeerConnection], int],
        open_one: OpenConnection,
    ) -> None:
        """Start connecting in the next iteration of the event loop."""
        self.open_one = open_one
        self.scheduler = scheduler
        self.interval = interval
        self.address = address
        self.hello = hello
        self.heartbeat = heartbeat
        self.on_open = on_open
        self.on_message = on_message
        self.connection: PeerConnection | None = None
        self._stopped = False
        self._task: Task = scheduler.spawn(f"dialer {address}", self._run)

    @property
    def connected(self) -> bool:
        """Is there a connection on which data was received? The kernel accepts connections for a frozen process too."""
        return self.connection is not None and self.connection.has_spoken

    def heard_within(self, ns: int) -> bool:
        """Was data received on the current connection within the last `ns` nanoseconds?"""
        connection = self.connection
        if connection is None or not connection.has_spoken:
            return False
        return self.scheduler.now() - connection.heard_at <= ns

    def send(self, message: Message) -> bool:
        """Send on the current connection; return false if there is none."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def stop(self) -> None:
        """Close the connection and stop reconnecting."""
        self._stopped = True
        if self.connection is not None:
            self.connection.close()
        self._task.cancel()

    def _run(self) -> None:
        failures = 0
        while not self._stopped:
            try:
                timeout_ns = connect_timeout_ns(failures)
                connection = self.open_one(self.address, self.on_message, self._on_closed, timeout_ns)
            except OSError:
                failures += 1
                self.scheduler.sleep(retry_backoff_ns(failures))
                continue
            failures = 0
            connection.send(self.hello())
            self.connection = connection
            self.on_open(connection)
            try:
                self._send_heartbeats(connection)
            except Cancelled:
                connection.close()
                raise
            self.scheduler.sleep(FIRST_PAUSE_NS)

    def _send_heartbeats(self, connection: PeerConnection) -> None:
        """Send heartbeats until the connection ends; close it if the peer is silent for too long."""
        while not connection.closed:
            connection.send(self.heartbeat())
            interval = self.interval(connection)
            self.scheduler.sleep(interval)
            if (
                self.scheduler.now() - connection.heard_at
                > MAX_MISSED_HEARTBEATS * interval + SILENCE_MARGIN_NS
            ):
                connection.close()

    def _on_closed(self, connection: PeerConnection) -> None:
        if self.connection is connection:
            self.connection = None


class DialerSet:
    """Maintains a dialer for each address of a set that may change."""

    def __init__(
        self,
        scheduler: Scheduler,
        hello: Callable[[], Hello],
        heartbeat: Callable[[], Heartbeat],
        on_open: Callable[[PeerConnection], None],
        on_message: Callable[[PeerConnection, Message], None],
        interval: Callable[[PeerConnection], int] = lambda connection: HEARTBEAT_NS,
        open_one: OpenConnection | None = None,
    ) -> None:
        """Start without addresses; `open_one` opens the connections, over TCP if it is None."""
        opener = open_one or open_connection(scheduler)
        self._make_dialer = lambda address: Dialer(
            scheduler, address, hello, heartbeat, on_open, on_message, interval, opener
        )
        self.dialers: dict[str, Dialer] = {}

    def follow(self, addresses: Iterable[str]) -> None:
        """Connect to exactly these addresses; connections to all others are closed."""
        wanted = set(addresses)
        for address in [a for a in self.dialers if a not in wanted]:
            self.dialers.pop(address).stop()
        for address in sorted(wanted - set(self.dialers)):
            self.dialers[address] = self._make_dialer(address)

    def send(self, address: str, message: Message) -> bool:
        """Send to one address; return false if it has no connection."""
        dialer = self.dialers.get(address)
        return dialer is not None and dialer.send(message)

    def broadcast(self, message: Message) -> None:
        """Send to all addresses that have a connection."""
        for dialer in self.dialers.values():
            dialer.send(message)

    def heard_within(self, ns: int) -> list[str]:
        """Return the addresses from which data was received within the last `ns` nanoseconds."""
        return [address for address, dialer in self.dialers.items() if dialer.heard_within(ns)]

    def moved_bytes(self) -> int:
        """Return the number of bytes written and read on all current connections."""
        connections = [d.connection for d in self.dialers.values() if d.connection is not None]
        return sum(connection.written_bytes + connection.received_bytes for connection in connections)

    def connected(self) -> int:
        """Return the number of addresses with a connection on which data was received."""
        return sum(dialer.connected for dialer in self.dialers.values())
