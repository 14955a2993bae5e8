"""Keeping a connection to each of a set of addresses."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from iristrack.http1.connection import connect
from iristrack.runtime.scheduler import Cancelled, Scheduler, Task
from iristrack.wire.connection import PeerConnection
from iristrack.wire.messages import Heartbeat, Hello, Message

NS_PER_MS = 1_000_000
# A machine without power says nothing, and an opening packet that it did not get is sent again after a second: the
# first tries are short, so that one that is back is reached soon.
FIRST_CONNECT_NS = 200 * NS_PER_MS
LONGEST_CONNECT_NS = 1000 * NS_PER_MS
QUICK_CONNECTS = 5  # of the first length
FIRST_PAUSE_NS = 50 * NS_PER_MS
QUICK_TRIES = 20  # at the first pause, as a whole system starts within a second; then the pauses grow
LONGEST_PAUSE_NS = 1000 * NS_PER_MS
HEARTBEAT_NS = 500 * NS_PER_MS
SILENT_HEARTBEATS = 3  # a peer that answers none of so many is dialled anew,
SILENT_MARGIN_NS = 100 * NS_PER_MS  # with so much more time for the last answer


def parse_address(text: str) -> tuple[str, int]:
    """`ip:port` as a pair; raises `ValueError`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


OpenConnection = Callable[
    [str, Callable[[PeerConnection, Message], None], Callable[[PeerConnection], None], int], PeerConnection
]


def open_connection(scheduler: Scheduler) -> OpenConnection:
    """Opens connections over TCP within some nanoseconds, from tasks of this scheduler; raises `OSError` else."""

    def open_one(
        address: str,
        on_message: Callable[[PeerConnection, Message], None],
        on_close: Callable[[PeerConnection], None],
        within_ns: int,
    ) -> PeerConnection:
        sock = connect(scheduler, parse_address(address), scheduler.now() + within_ns)
        return PeerConnection(scheduler, sock, on_message, on_close)

    return open_one


def pause_after(failures: int) -> int:
    """Nanoseconds to wait after so many tries in a row that brought no connection."""
    doubled = max(0, failures - QUICK_TRIES)
    return min(LONGEST_PAUSE_NS, FIRST_PAUSE_NS << min(doubled, 16))


def connect_within(failures: int) -> int:
    """Nanoseconds that a connection may take to come up after so many tries in a row that brought none."""
    doubled = max(0, failures - QUICK_CONNECTS + 1)
    return min(LONGEST_CONNECT_NS, FIRST_CONNECT_NS << min(doubled, 16))


class Dialer:
    """One connection to one address, dialled anew whenever it ends.

    `on_open` is called with each new connection after `Hello` was sent; heartbeats are sent while it lasts, `interval`
    nanoseconds apart.
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
        """Starts with the next turn of the loop."""
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
        """Is there a connection on which the peer has spoken? A frozen process's machine takes connections too."""
        return self.connection is not None and self.connection.has_spoken

    def heard_within(self, ns: int) -> bool:
        """Has the peer answered on this connection so lately?"""
        connection = self.connection
        if connection is None or not connection.has_spoken:
            return False
        return self.scheduler.now() - connection.heard_at <= ns

    def send(self, message: Message) -> bool:
        """Send over the present connection; false where there is none."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def stop(self) -> None:
        """Dial no more."""
        self._stopped = True
        if self.connection is not None:
            self.connection.close()
        self._task.cancel()

    def _run(self) -> None:
        failures = 0
        while not self._stopped:
            try:
                within_ns = connect_within(failures)
                connection = self.open_one(self.address, self.on_message, self._closed, within_ns)
            except OSError:
                failures += 1
                self.scheduler.sleep(pause_after(failures))
                continue
            failures = 0
            connection.send(self.hello())
            self.connection = connection
            self.on_open(connection)
            try:
                self._keep(connection)
            except Cancelled:
                connection.close()
                raise
            self.scheduler.sleep(FIRST_PAUSE_NS)

    def _keep(self, connection: PeerConnection) -> None:
        """Send heartbeats until the connection ends or falls silent."""
        while not connection.closed:
            connection.send(self.heartbeat())
            interval = self.interval(connection)
            self.scheduler.sleep(interval)
            if self.scheduler.now() - connection.heard_at > SILENT_HEARTBEATS * interval + SILENT_MARGIN_NS:
                connection.close()

    def _closed(self, connection: PeerConnection) -> None:
        if self.connection is connection:
            self.connection = None


class DialerSet:
    """A dialer for each address of a set that may change."""

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
        """No address is dialled yet; `open_one` opens connections, over TCP where it is None."""
        opener = open_one or open_connection(scheduler)
        self._make = lambda address: Dialer(
            scheduler, address, hello, heartbeat, on_open, on_message, interval, opener
        )
        self.dialers: dict[str, Dialer] = {}

    def follow(self, addresses: Iterable[str]) -> None:
        """Dial just these."""
        wanted = set(addresses)
        for address in [a for a in self.dialers if a not in wanted]:
            self.dialers.pop(address).stop()
        for address in sorted(wanted - set(self.dialers)):
            self.dialers[address] = self._make(address)

    def send(self, address: str, message: Message) -> bool:
        """Send to one; false where there is no connection."""
        dialer = self.dialers.get(address)
        return dialer is not None and dialer.send(message)

    def broadcast(self, message: Message) -> None:
        """Send to all that are connected."""
        for dialer in self.dialers.values():
            dialer.send(message)

    def heard_within(self, ns: int) -> list[str]:
        """The addresses that have answered so lately."""
        return [address for address, dialer in self.dialers.items() if dialer.heard_within(ns)]

    def moved_bytes(self) -> int:
        """The bytes that were written to all of them and read from them, over the connections of now."""
        connections = [d.connection for d in self.dialers.values() if d.connection is not None]
        return sum(connection.written_bytes + connection.received_bytes for connection in connections)

    def connected(self) -> int:
        """How many have a connection on which the peer has spoken."""
        return sum(dialer.connected for dialer in self.dialers.values())
