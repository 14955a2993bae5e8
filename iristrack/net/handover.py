"""Handover from an old process to its successor: the listening socket, then the idle connections of clients.

This module holds the Unix socket in the private folder ($TMPDIR) and its messages. It never reads or writes a client's
bytes, makes no decisions, and never prevents a start: without a predecessor that answers, the new process starts on
its own.

Messages are single JSON packets of at most `MAX_MESSAGE_BYTES`. The successor requests
`{"v":2,"name":"n3","listen":"host:port"}`. The predecessor answers `{"v":2,"held":N}` with the listening socket, or
closes the connection. Later it sends `{"held":N,"fresh":[..]}` with connections; each `fresh` says whether no request
has been sent on that connection yet. `held` is the number of descriptors that the predecessor itself still has open.
The name of the socket file contains a checksum of the sidecar's name and address: sidecars with another name or
address in the same folder do not interfere.
"""

from __future__ import annotations

import array
import errno
import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from zlib import crc32

from loguru import logger

from iristrack import interface as mi
from iristrack.config import Address
from iristrack.runtime.scheduler import Cancelled, Scheduler, clock

NAME = "iristrack-handover"
REQUEST_TIMEOUT_S = 2.0  # for the predecessor's answer; the platform waits 6 s for the new process
SEND_TIMEOUT_NS = 2 * mi.NS_PER_S  # a successor that receives nothing for this long is dropped
RETRY_SEND_NS = 10 * mi.NS_PER_MS
MAX_MESSAGE_BYTES = 4096
MAX_CONNECTIONS_PER_MESSAGE = 32
OWN_DESCRIPTOR_COUNT = 12  # open descriptors of a process besides its connections

_CREDENTIALS = struct.Struct("3i")


def file_name(name: str, listen: Address) -> str:
    """Return the name of this sidecar's Unix socket in the folder."""
    return f"{NAME}-{crc32(json.dumps([name, *listen]).encode()):08x}"


class Handover:
    """Both ends of a handover: what this process inherits, and what it passes to its successor."""

    def __init__(self, scheduler: Scheduler, folder: str, name: str, listen: Address) -> None:
        """Create without opening anything. With an empty `folder` there is neither predecessor nor successor."""
        self.scheduler = scheduler
        self._request = {"v": 2, "name": name, "listen": f"{listen[0]}:{listen[1]}"}
        self._file = file_name(name, listen)
        self._folder = folder
        self._folder_fd = -1
        self._predecessor: socket.socket | None = None
        self._successor: socket.socket | None = None
        self._server: socket.socket | None = None
        self._listener: Callable[[], socket.socket | None] = lambda: None
        self._shared: Callable[[], None] = lambda: None
        self._held: Callable[[], int] = lambda: 0
        self._give_back: Callable[[socket.socket, bool], None] = lambda client, fresh: client.close()
        self._outgoing: deque[tuple[socket.socket, bool]] = deque()
        self._sending = False

    # ---- the new process

    def inherit(self) -> tuple[socket.socket, int] | None:
        """Return the predecessor's listening socket and its number of open descriptors, or None.

        Waits up to `REQUEST_TIMEOUT_S`.
        """
        if not self._folder:
            return None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.settimeout(REQUEST_TIMEOUT_S)
            sock.connect(self._path(self._file))
            sock.send(json.dumps(self._request).encode())
            data, fds, _, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, 1)
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError):
                logger.info("no predecessor answers: {}", error)
            return None
        received = [socket.socket(fileno=fd) for fd in fds]
        try:
            held = int(json.loads(data)["held"])
            listener = received[0]
            if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError("the received socket is not a listening socket")
        except (ValueError, TypeError, KeyError, IndexError, OSError, RecursionError) as error:
            logger.warning("invalid answer of the predecessor ignored: {!r}", error)
            for each in (sock, *received):
                each.close()
            return None
        sock.setblocking(False)
        listener.setblocking(False)
        self._predecessor = sock
        return listener, held

    def follow(
        self,
        adopt: Callable[[socket.socket, bool], None],
        shrink: Callable[[int], None],
        alone: Callable[[], None],
    ) -> None:
        """Receive the predecessor's messages.

        `adopt` is called for each connection, `shrink` with the predecessor's number of open descriptors, and `alone`
        when the predecessor is gone or there is none.
        """
        sock = self._predecessor
        if sock is None:
            alone()
            return

        def receive() -> None:
            try:
                data, fds, _, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, MAX_CONNECTIONS_PER_MESSAGE)
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.scheduler.unwatch(sock.fileno())
                sock.close()
                self._predecessor = None
                logger.info("the predecessor has left")
                alone()
                return
            clients = [socket.socket(fileno=fd) for fd in fds]
            try:
                message = json.loads(data)
                shrink(int(message["held"]))
                fresh = message["fresh"]
            except (ValueError, TypeError, KeyError, RecursionError) as error:
                logger.warning("invalid message of the predecessor ignored: {!r}", error)
                fresh = []
            for i, client in enumerate(clients):
                adopt(client, bool(fresh[i]) if i < len(fresh) else True)

        self.scheduler.watch(sock.fileno(), receive)

    # ---- the old process

    def offer(
        self,
        listener: Callable[[], socket.socket | None],
        held: Callable[[], int],
        shared: Callable[[], None],
        give_back: Callable[[socket.socket, bool], None],
    ) -> None:
        """Listen for a successor.

        `listener` and `held` return the listening socket and the number of open descriptors. `shared` is called when a
        successor arrives, when it leaves and when a transfer ends. Connections that it did not receive go to
        `give_back`.
        """
        if not self._folder:
            return
        self._listener, self._held, self._shared, self._give_back = listener, held, shared, give_back
        server = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            own = f"{self._file}.{os.getpid()}"
            with suppress(FileNotFoundError):
                os.unlink(self._path(own))
            server.bind(self._path(own))
            os.chmod(self._path(own), 0o600)
            server.listen(4)
            os.replace(self._path(own), self._path(self._file))
        except OSError as error:
            logger.warning("handover to a successor is not possible: {}", error)
            server.close()
            return
        self._server = server
        self.scheduler.watch(server.fileno(), self._accept)

    @property
    def has_successor(self) -> bool:
        """Return whether a successor is connected."""
        return self._successor is not None

    @property
    def idle(self) -> bool:
        """Return whether no connection is being passed to the successor."""
        return not self._outgoing and not self._sending

    def _accept(self) -> None:
        try:
            sock, _ = self._server.accept()
        except OSError:
            return
        sock.setblocking(False)
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        if self._successor is not None or _CREDENTIALS.unpack(credentials)[1] != os.getuid():
            sock.close()
            return
        self._successor = sock
        self.scheduler.watch(sock.fileno(), lambda: self._on_request(sock))

    def _on_request(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(MAX_MESSAGE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        try:
            if data and json.loads(data) == self._request:
                listener = self._listener()
                if listener is not None:
                    message = json.dumps({"v": 2, "held": self._held()}).encode()
                    socket.send_fds(sock, [message], [listener.fileno()])
                    logger.info("the listening socket was passed to a successor")
                    self._shared()
                    return
            if data:
                logger.warning("request of an unknown successor refused")
        except (OSError, ValueError, RecursionError) as error:
            logger.warning("a successor could not be answered: {!r}", error)
        self._drop_successor(sock)

    def _drop_successor(self, sock: socket.socket) -> None:
        if self._successor is sock:
            self.scheduler.unwatch(sock.fileno())
            sock.close()
            self._successor = None
            logger.info("the successor has left")
            self._shared()

    def pass_on(self, client: socket.socket, fresh: bool) -> None:
        """Pass a client's connection to the successor and close it here; no request may be in progress on it."""
        self._outgoing.append((client, fresh))
        if not self._sending:
            self._sending = True
            self.scheduler.spawn("handover", self._send)

    def _send(self) -> None:
        deadline = clock() + SEND_TIMEOUT_NS
        try:
            while self._outgoing and self._successor is not None:
                batch = [
                    self._outgoing[i] for i in range(min(MAX_CONNECTIONS_PER_MESSAGE, len(self._outgoing)))
                ]
                message = {"held": self._held() - len(batch), "fresh": [int(fresh) for _, fresh in batch]}
                fds = array.array("i", [client.fileno() for client, _ in batch])
                try:
                    self._successor.sendmsg(
                        [json.dumps(message).encode()], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, fds)]
                    )
                except BlockingIOError:
                    # The descriptor is already watched for reading and cannot be waited for: retry after a pause.
                    if clock() > deadline:
                        raise
                    self.scheduler.sleep(RETRY_SEND_NS)
                    continue
                except OSError as error:
                    if error.errno != errno.ETOOMANYREFS or clock() > deadline:
                        raise
                    self.scheduler.sleep(RETRY_SEND_NS)  # until the successor has received some descriptors
                    continue
                deadline = clock() + SEND_TIMEOUT_NS
                for _ in batch:
                    self._outgoing.popleft()[0].close()
        except (OSError, Cancelled) as error:
            logger.warning("connections could not be passed to the successor: {!r}", error)
            if self._successor is not None:
                self._drop_successor(self._successor)
        finally:
            unsent, self._outgoing = self._outgoing, deque()
            self._sending = False
            for client, fresh in unsent:
                self._give_back(client, fresh)
            self._shared()

    def _path(self, name: str) -> str:
        """Return a path through /proc, because the folder's own may be too long for a Unix socket address."""
        if self._folder_fd < 0:
            self._folder_fd = os.open(self._folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        return f"/proc/self/fd/{self._folder_fd}/{name}"
