"""The passage from an old process to a new one: the listening socket, then the clients' kept connections.

This file owns the Unix socket in the private folder ($TMPDIR) and what goes over it. It must never read or write a
client's bytes, decide anything, or stop a start: where there is no predecessor to speak with, the new process begins
by itself.

Messages are single packets of JSON, at most `MOST_BYTES` long. The successor asks
`{"v":2,"name":"n3","listen":"host:port"}`. The predecessor answers `{"v":2,"held":N}` with the listening socket, or
closes. Later it sends `{"held":N,"fresh":[..]}` with connections, one `fresh` for each: has nothing been asked on it
yet? `held` is how many descriptors it has itself.
The file's name tells whose it is: a sidecar of another name, or at another address, in the same folder is a stranger.
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
ASK_S = 2.0  # the predecessor must have answered by then; the platform waits 6 s for the new process
SEND_NS = 2 * mi.NS_PER_S  # a successor that takes nothing for so long is none
PAUSE_NS = 10 * mi.NS_PER_MS
MOST_BYTES = 4096
MOST_PASSED = 32  # connections in one packet
OWN = 12  # descriptors that a process has beside its connections

_CREDENTIALS = struct.Struct("3i")


def file_name(name: str, listen: Address) -> str:
    """What the Unix socket of this sidecar is called in the folder."""
    return f"{NAME}-{crc32(json.dumps([name, *listen]).encode()):08x}"


class Handover:
    """Both ends: what this process inherits, and what it leaves to the next one."""

    def __init__(self, scheduler: Scheduler, folder: str, name: str, listen: Address) -> None:
        """Nothing is opened yet. An empty `folder` means that there is neither predecessor nor successor."""
        self.scheduler = scheduler
        self._asked = {"v": 2, "name": name, "listen": f"{listen[0]}:{listen[1]}"}
        self._file = file_name(name, listen)
        self._folder = folder
        self._at = -1
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
        """The predecessor's listening socket and how many descriptors it holds; it waits for 2 s at most."""
        if not self._folder:
            return None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.settimeout(ASK_S)
            sock.connect(self._path(self._file))
            sock.send(json.dumps(self._asked).encode())
            data, passed, _, _ = socket.recv_fds(sock, MOST_BYTES, 1)
        except OSError as fault:
            sock.close()
            if not isinstance(fault, FileNotFoundError):
                logger.info("no predecessor answers: {}", fault)
            return None
        found = [socket.socket(fileno=fd) for fd in passed]
        try:
            held = int(json.loads(data)["held"])
            listener = found[0]
            if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError("what was passed does not listen")
        except (ValueError, TypeError, KeyError, IndexError, OSError, RecursionError) as fault:
            logger.warning("the predecessor's answer is left out: {!r}", fault)
            for each in (sock, *found):
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
        """Take what the predecessor passes: connections, how much it still holds, and its end."""
        sock = self._predecessor
        if sock is None:
            alone()
            return

        def take() -> None:
            try:
                data, passed, _, _ = socket.recv_fds(sock, MOST_BYTES, MOST_PASSED)
            except BlockingIOError:
                return
            except OSError:
                data, passed = b"", []
            if not data:
                self.scheduler.unwatch(sock.fileno())
                sock.close()
                self._predecessor = None
                logger.info("the predecessor has left")
                alone()
                return
            taken = [socket.socket(fileno=fd) for fd in passed]
            try:
                told = json.loads(data)
                shrink(int(told["held"]))
                fresh = told["fresh"]
            except (ValueError, TypeError, KeyError, RecursionError) as fault:
                logger.warning("a message of the predecessor's is left out: {!r}", fault)
                fresh = []
            for i, client in enumerate(taken):
                adopt(client, bool(fresh[i]) if i < len(fresh) else True)

        self.scheduler.watch(sock.fileno(), take)

    # ---- the old process

    def offer(
        self,
        listener: Callable[[], socket.socket | None],
        held: Callable[[], int],
        shared: Callable[[], None],
        give_back: Callable[[socket.socket, bool], None],
    ) -> None:
        """Be there for a successor; `shared` is called when one comes and when it goes.

        Connections that it did not take are given back.
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
        except OSError as fault:
            logger.warning("no successor can be spoken with: {}", fault)
            server.close()
            return
        self._server = server
        self.scheduler.watch(server.fileno(), self._accept)

    @property
    def has_successor(self) -> bool:
        """Is there another process that takes over what this one leaves?"""
        return self._successor is not None

    @property
    def idle(self) -> bool:
        """Is nothing on its way to the successor?"""
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
        self.scheduler.watch(sock.fileno(), lambda: self._hear(sock))

    def _hear(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(MOST_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        try:
            if data and json.loads(data) == self._asked:
                listener = self._listener()
                if listener is not None:
                    message = json.dumps({"v": 2, "held": self._held()}).encode()
                    socket.send_fds(sock, [message], [listener.fileno()])
                    logger.info("a successor listens too")
                    self._shared()
                    return
            if data:
                logger.warning("a successor asked for what is not here")
        except (OSError, ValueError, RecursionError) as fault:
            logger.warning("a successor could not be answered: {!r}", fault)
        self._lose(sock)

    def _lose(self, sock: socket.socket) -> None:
        if self._successor is sock:
            self.scheduler.unwatch(sock.fileno())
            sock.close()
            self._successor = None
            logger.info("the successor has left")
            self._shared()

    def pass_on(self, client: socket.socket, fresh: bool) -> None:
        """Give a client's connection to the successor and close it here; nothing may be under way on it."""
        self._outgoing.append((client, fresh))
        if not self._sending:
            self._sending = True
            self.scheduler.spawn("handover", self._send)

    def _send(self) -> None:
        deadline = clock() + SEND_NS
        try:
            while self._outgoing and self._successor is not None:
                batch = [self._outgoing[i] for i in range(min(MOST_PASSED, len(self._outgoing)))]
                message = {"held": self._held() - len(batch), "fresh": [int(fresh) for _, fresh in batch]}
                fds = array.array("i", [client.fileno() for client, _ in batch])
                try:
                    self._successor.sendmsg(
                        [json.dumps(message).encode()], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, fds)]
                    )
                except BlockingIOError:
                    # Its descriptor is watched for reading already: look again a little later.
                    if clock() > deadline:
                        raise
                    self.scheduler.sleep(PAUSE_NS)
                    continue
                except OSError as fault:
                    if fault.errno != errno.ETOOMANYREFS or clock() > deadline:
                        raise
                    self.scheduler.sleep(PAUSE_NS)  # until the successor has taken some
                    continue
                deadline = clock() + SEND_NS
                for _ in batch:
                    self._outgoing.popleft()[0].close()
        except (OSError, Cancelled) as fault:
            logger.warning("connections could not be passed on: {!r}", fault)
            if self._successor is not None:
                self._lose(self._successor)  # who takes nothing is no successor
        finally:
            left, self._outgoing = self._outgoing, deque()
            self._sending = False
            for client, fresh in left:
                self._give_back(client, fresh)
            self._shared()

    def _path(self, name: str) -> str:
        """A path short enough for a Unix socket's address, however long the folder's own is."""
        if self._at < 0:
            self._at = os.open(self._folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        return f"/proc/self/fd/{self._at}/{name}"
