"""The environment of a control plane: time, disk, connections to other processes, and the operators' listener.

A running program uses `SystemEnvironment`. The simulation passes in virtual time, disks and links instead, so it runs
the program's own code (`simulation/control.py`).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from iristrack.http1 import messages as http
from iristrack.http1.serving import HttpServer, Response
from iristrack.runtime.scheduler import Scheduler
from iristrack.store.acceptor_store import OpenedAcceptorStore, open_acceptor_store
from iristrack.store.sync_thread import OnDone, SyncThread
from iristrack.wire.connection import PeerConnection, PeerListener
from iristrack.wire.dialing import OpenConnection, open_connection
from iristrack.wire.messages import Message

OnMessage = Callable[[PeerConnection, Message], None]
OnClose = Callable[[PeerConnection], None]


class Sync(Protocol):
    """Writes records in order and reports when they are synced; `SyncThread` implements it."""

    def start(self) -> None:
        """Start writing."""

    def submit(self, records, on_done: OnDone) -> None:
        """Queue records; `on_done` is called when they are synced or refused."""

    def stop(self, within_s: float) -> bool:
        """Write the queued records and stop."""


class Environment(Protocol):
    """The interface between a control plane and its surroundings."""

    scheduler: Scheduler
    rng: random.Random  # draws names of processes and incarnations, and waits

    def open_acceptor_store(self, folder: str, node: str) -> OpenedAcceptorStore:
        """Read the records of the disk; raises `store.acceptor_store.AcceptorStoreError` or `OSError`."""

    def make_sync(self, opened: OpenedAcceptorStore, on_failure: Callable[[Exception], None]) -> Sync:
        """Create the writer of the opened disk."""

    def open_connection(
        self, address: str, on_message: OnMessage, on_close: OnClose, within_ns: int
    ) -> PeerConnection:
        """Connect to another process; raises `OSError`. Called from a task."""

    def listen_for_peers(
        self, address: tuple[str, int], on_open: OnClose, on_message: OnMessage, on_close: OnClose
    ) -> None:
        """Accept inner connections; raises `OSError` if the address is not available."""

    def serve_operators(
        self, address: tuple[str, int], answer: Callable[[http.Message], Response], max_body_bytes: int
    ) -> Callable[[], None]:
        """Answer calls at the address, and return a function that stops it; raises `OSError`."""


class SystemEnvironment:
    """The clock, disk and sockets of the machine."""

    def __init__(self, report_failure: Callable[[str], None]) -> None:
        """`report_failure` is called from the handler of an exception that ended a task."""
        self.scheduler = Scheduler(report_failure)
        self.rng = random.SystemRandom()

    def open_acceptor_store(self, folder: str, node: str) -> OpenedAcceptorStore:
        """Read the records in the folder."""
        return open_acceptor_store(folder, node)

    def make_sync(self, opened: OpenedAcceptorStore, on_failure: Callable[[Exception], None]) -> SyncThread:
        """Create a thread that writes to the folder."""
        return SyncThread(opened.store, self.scheduler, on_failure)

    @property
    def open_connection(self) -> OpenConnection:
        """The function that connects over TCP."""
        return open_connection(self.scheduler)

    def listen_for_peers(
        self, address: tuple[str, int], on_open: OnClose, on_message: OnMessage, on_close: OnClose
    ) -> None:
        """Accept connections over TCP."""

        def on_socket(sock) -> None:
            on_open(PeerConnection(self.scheduler, sock, on_message, on_close))

        self._listener = PeerListener(self.scheduler, address, on_socket)

    def serve_operators(
        self, address: tuple[str, int], answer: Callable[[http.Message], Response], max_body_bytes: int
    ) -> Callable[[], None]:
        """Answer calls over HTTP/1.1."""
        return HttpServer(self.scheduler, address, answer, max_body_bytes).stop
