"""What a control plane stands on: time, disk, connections to other processes, and the operators' listener.

A running program stands on `SystemEnvironment`. The simulation hands in virtual time, disks and links instead, so that
what it plays is the program itself (`simulation/control.py`).
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
    """Writes records in order and tells when they are on the disk; as `SyncThread`."""

    def start(self) -> None:
        """Begin to write."""

    def submit(self, records, on_done: OnDone) -> None:
        """Have records on the disk."""

    def stop(self, within_s: float) -> bool:
        """Write what waits and end."""


class Environment(Protocol):
    """What a control plane is given."""

    scheduler: Scheduler
    rng: random.Random  # names of processes and incarnations, and waits, are drawn from it

    def open_acceptor_store(self, folder: str, node: str) -> OpenedAcceptorStore:
        """What the disk holds; raises `store.acceptor_store.AcceptorStoreError` or `OSError`."""

    def make_sync(self, opened: OpenedAcceptorStore, on_failure: Callable[[Exception], None]) -> Sync:
        """The writer of the disk that was opened."""

    def open_connection(
        self, address: str, on_message: OnMessage, on_close: OnClose, within_ns: int
    ) -> PeerConnection:
        """A connection to another process; raises `OSError`. Called from a task."""

    def listen_for_peers(
        self, address: tuple[str, int], on_open: OnClose, on_message: OnMessage, on_close: OnClose
    ) -> None:
        """Accept inner connections; raises `OSError` where the address cannot be had."""

    def serve_operators(
        self, address: tuple[str, int], answer: Callable[[http.Message], Response], most_body: int
    ) -> Callable[[], None]:
        """Answer calls at the address; returns what ends that. Raises `OSError`."""


class SystemEnvironment:
    """The machine: its clock, its disk and its sockets."""

    def __init__(self, report_failure: Callable[[str], None]) -> None:
        """`report_failure` is called while an exception that ended a task is handled."""
        self.scheduler = Scheduler(report_failure)
        self.rng = random.SystemRandom()

    def open_acceptor_store(self, folder: str, node: str) -> OpenedAcceptorStore:
        """The folder's records."""
        return open_acceptor_store(folder, node)

    def make_sync(self, opened: OpenedAcceptorStore, on_failure: Callable[[Exception], None]) -> SyncThread:
        """A thread that writes to the folder."""
        return SyncThread(opened.store, self.scheduler, on_failure)

    @property
    def open_connection(self) -> OpenConnection:
        """A connection over TCP."""
        return open_connection(self.scheduler)

    def listen_for_peers(
        self, address: tuple[str, int], on_open: OnClose, on_message: OnMessage, on_close: OnClose
    ) -> None:
        """Accept connections over TCP."""

        def on_socket(sock) -> None:
            on_open(PeerConnection(self.scheduler, sock, on_message, on_close))

        self._listener = PeerListener(self.scheduler, address, on_socket)

    def serve_operators(
        self, address: tuple[str, int], answer: Callable[[http.Message], Response], most_body: int
    ) -> Callable[[], None]:
        """Answer calls over HTTP/1.1."""
        return HttpServer(self.scheduler, address, answer, most_body).stop
