"""Connections to pool servers: which are open, which rest, and where each server is.

This file owns every connection to a pool server and the table of servers as the sockets know them; discovery's own
calls borrow its `Link` and `connect`. It must never pick a server or decide whether something is sent: it is told.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from contextlib import suppress

from iristrack import interface as mi
from iristrack.config import Address
from iristrack.http1 import messages as http
from iristrack.http1.connection import Link, connect
from iristrack.runtime.scheduler import Scheduler, clock

IDLE_USED = 0.9  # a connection is retired after this share of the time that its server keeps it idle
REST_NS = (
    8 * mi.NS_PER_MS
)  # a second answer may follow the first by so long: nothing is asked on it before that
SWEEP_NS = mi.NS_PER_S
FORGET_NS = 10 * mi.NS_PER_S  # what drains or is gone is forgotten so long after its grace


class Target:
    """One process of a pool server, as the sockets know it; another start, address or place is another one."""

    __slots__ = ("address", "away_since", "id", "idle", "listed", "process")

    def __init__(self, entry: mi.ServerEntry, address: Address) -> None:
        """Nothing is open."""
        self.id = entry.server
        self.address = address
        self.process = _process(entry, address)
        self.away_since: int | None = None  # when the server list first said that it drains or is gone
        self.idle: list[Link] = []  # the most recently used last
        self.listed = True  # does the server list hold it, ready or draining?


def _process(entry: mi.ServerEntry, address: Address) -> tuple:
    return address, entry.started_ns, entry.zone, entry.cell


class Links:
    """All connections to pool servers of one sidecar."""

    def __init__(
        self, scheduler: Scheduler, idle_ns: int, most: int, whole: int = http.MAX_BUFFERED_BODY_BYTES
    ) -> None:
        """`idle_ns` is how long servers keep an idle one, `most` how many may be open, `whole` is for `http.Reader`."""
        self.scheduler = scheduler
        self.idle_ns = int(idle_ns * IDLE_USED)
        self.most = most
        self.whole = whole
        self.open = 0
        self.targets: dict[str, Target] = {}
        self.connect: Callable[..., socket.socket] = connect
        self.opened = self.reused = self.stale = 0  # since the last report
        self._closing = False

    def start(self) -> None:
        """Look after idle ones from now on."""
        self.scheduler.call_at(clock() + SWEEP_NS, self._sweep)

    def take(self, server: str, deadline: int) -> Link | None:
        """An idle connection, the most recently used first, or a new one; None where none can be had."""
        target = self.targets.get(server)
        if target is None:
            return None
        while idle := target.idle:
            now = clock()
            at = len(idle) - 1  # the most recently used of those that have rested, else the one that soon has
            while at and idle[at].idle_since + REST_NS > now:
                at -= 1
            link = idle.pop(at)
            self.scheduler.unwatch(link.fd)
            try:
                if link.idle_since + REST_NS > now:
                    with suppress(TimeoutError):
                        self.scheduler.wait(-1, 0, link.idle_since + REST_NS)
                usable = link.idle_since + self._idle_ns(link) > now and link.quiet()
            except BaseException:
                self.close(link)
                raise
            if usable:
                self.reused += 1
                return link
            # Guards against writing to a connection that the server has closed or is about to: that would
            # end as a reset, after which a keyed request cannot be sent anywhere else.
            self.stale += 1
            self.close(link)
        if self.open >= self.most and not self._close_oldest():
            return None
        self.opened += 1
        self.open += 1
        try:
            sock = self.connect(self.scheduler, target.address, deadline)
            return Link(self.scheduler, sock, target, whole=self.whole)
        except BaseException:
            self.open -= 1
            raise

    def _idle_ns(self, link: Link) -> int:
        return self.idle_ns if link.keep_ns is None else int(link.keep_ns * IDLE_USED)

    def put_back(self, link: Link, keep_ns: int | None = None) -> None:
        """It can be used again; `keep_ns` is how long the server said that it keeps it idle."""
        target = link.target
        if self._closing or self.targets.get(target.id) is not target or target.away_since is not None:
            self.close(link)
            return
        link.idle_since = clock()
        link.keep_ns = keep_ns
        target.idle.append(link)

        def broken() -> None:
            self.scheduler.unwatch(link.fd)
            target.idle.remove(link)
            self.close(link)

        self.scheduler.watch(link.fd, broken)

    def close(self, link: Link) -> None:
        """It was taken, and ends here."""
        link.sock.close()
        self.open -= 1

    def close_idle(self, server: str) -> None:
        """Keep none of those that rest at a server."""
        target = self.targets.get(server)
        if target is not None:
            self._close_all(target)

    def stop(self) -> None:
        """Keep no idle connections from now on: their descriptors are another process's."""
        self._closing = True
        for target in self.targets.values():
            self._close_all(target)

    def _retire(self, target: Target, link: Link) -> None:
        target.idle.remove(link)
        self.scheduler.unwatch(link.fd)
        self.close(link)

    def _close_all(self, target: Target) -> None:
        for link in list(target.idle):
            self._retire(target, link)

    def _close_oldest(self) -> bool:
        """Give up the idle connection that was used longest ago, for its descriptor."""
        firsts = [t.idle[0] for t in self.targets.values() if t.idle]
        if not firsts:
            return False
        oldest = min(firsts, key=lambda link: link.idle_since)
        self._retire(oldest.target, oldest)
        return True

    def _sweep(self) -> None:
        """Close what has been idle for almost as long as the servers keep it."""
        now = clock()
        for target in self.targets.values():
            for link in [link for link in target.idle if link.idle_since + self._idle_ns(link) <= now]:
                self._retire(target, link)
        self.scheduler.call_at(clock() + SWEEP_NS, self._sweep)

    # ---- where each server is

    def follow(self, entries: Iterable[tuple[mi.ServerEntry, Address]], whole: bool) -> None:
        """Take what the server list says; a `whole` one names all there are."""
        now = clock()
        if whole:
            named = {entry.server for entry, _ in entries}
            for target in [t for t in self.targets.values() if t.id not in named]:
                self._set_away(target, now)
                target.listed = False
        for entry, address in entries:
            target = self.targets.get(entry.server)
            if target is None:
                target = self.targets[entry.server] = Target(entry, address)
            elif target.process != _process(entry, address):
                self._close_all(target)
                # Another object: connections to the old process that are in use are not put back.
                fresh = self.targets[entry.server] = Target(entry, address)
                fresh.away_since = target.away_since
                target = fresh
            target.listed = entry.state is not mi.ServerState.GONE
            if entry.state is mi.ServerState.READY:
                target.away_since = None
            else:
                self._set_away(target, now)

    def _set_away(self, target: Target, now: int) -> None:
        if target.away_since is None:
            target.away_since = now
            self._close_all(target)

    def forget_gone(self, grace_ns: int) -> None:
        """Guards memory: a fleet whose machines are replaced for months names ever new servers."""
        long_ago = clock() - grace_ns - FORGET_NS
        for target in list(self.targets.values()):
            if target.away_since is not None and target.away_since < long_ago:
                del self.targets[target.id]
