"""The client of discovery: its calls, when they are made, and how a list is read.

This file owns the connection to discovery and the revision that is known. It must never decide what a list means:
each one that can be read goes to `take`, each failed call of an asked discovery to `failed`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random

from loguru import logger

from iristrack import interface as mi
from iristrack.config import Address, read_address
from iristrack.net import http
from iristrack.net.links import Link, connect
from iristrack.net.scheduler import Cancelled, Scheduler, Task, clock

MS = mi.NS_PER_MS
WATCH_WAIT_MS = 2000  # how long discovery may hold a watch
SLACK_NS = 700 * MS  # and how much later its silence counts as a failure
PAUSE_NS = 50 * MS  # between a failed call and the next; it doubles with each that fails
LONGEST_PAUSE_NS = (
    200 * MS,
    2000 * MS,
)  # up to that many ms for each sidecar of the fleet, within these bounds
SPREAD_NS = 20 * MS  # the first call waits for a draw of up to that much for each sidecar,
LONGEST_SPREAD_NS = mi.NS_PER_S  # and no longer
LONGEST_LIST = 1 << 20
STATES = {
    "in_service": mi.ServerState.READY,
    "terminating": mi.ServerState.DRAINING,
    "terminated": mi.ServerState.GONE,
}

Entries = list[tuple[mi.ServerEntry, Address]]


class Busy(ValueError):
    """Discovery refused a call, and its connection can be used again."""


class Discovery:
    """One sidecar's view of discovery."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        settings: mi.Settings,
        seed: int,
        take: Callable[[mi.ListKind, int, Entries], None],
        failed: Callable[[], None],
    ) -> None:
        """Nothing is asked before `start`."""
        self.scheduler = scheduler
        self.address = address
        self.settings = settings
        self.take = take
        self.failed = failed
        self.watching: Task | None = None
        self._revision: int | None = None
        self._told = False  # is what changed since that revision all that is missing here?
        self._random = Random(seed)  # spreads calls over the fleet, and nothing else

    def start(self, known: dict) -> None:
        """Take the last known list; where lists are pushed, follow discovery."""
        try:
            _, revision, entries = self._read(known)
            self.take(mi.ListKind.CACHED, revision, entries)
            if entries and known.get("complete"):
                self._revision, self._told = revision, True
        except ValueError as fault:
            logger.warning("the known server list is left out: {}", fault)
        if not self.settings.ask_for_list:
            self.subscribe(True)

    def follow(self, address: Address) -> None:
        """Discovery is elsewhere from now on: watch it there at once. Nothing else changes.

        What is known of pool servers holds until the new one tells its whole list; its revisions are its own.
        """
        self.address = address
        self._revision, self._told = None, False
        if self.watching is not None and not self.watching.done:
            self.subscribe(False)
            self.subscribe(True)

    def subscribe(self, wanted: bool) -> None:
        """Follow discovery from now on, or no longer."""
        if wanted and (self.watching is None or self.watching.done):
            self.watching = self.scheduler.spawn("watch", self._watch)
        elif not wanted and self.watching is not None:
            self.watching.cancel()
            self.watching = None

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self.scheduler.spawn("list", self._fetch)

    def _watch(self) -> None:
        """Follow discovery, one call after another on one connection.

        Where no list is known, the whole one comes first; after that what changed since the last answer.
        """
        link: Link | None = None
        failed, well = 0, False
        try:
            if self._told:
                # Guards discovery against a fleet that starts at one moment: what is known will do meanwhile.
                spread = min(SPREAD_NS * self.settings.balancers, LONGEST_SPREAD_NS)
                self.scheduler.sleep(int(spread * self._random.random()))
            while True:
                try:
                    if link is None:
                        link = self._call()
                    wait_ms = WATCH_WAIT_MS if self._revision is not None and self._told else 0
                    self._told = self._ask(link, wait_ms)
                    if not link.reader.empty:
                        raise http.Malformed(502, "more than was asked for")
                    if failed or not well:
                        failed, well = 0, True
                        logger.info("discovery answers at revision {}", self._revision)
                except Cancelled:
                    raise
                except Exception as fault:
                    # Discovery may be down, silent or speak garbage of any kind (JSON too deep to read, for
                    # one): that ends this call only. Without its watch the sidecar would go blind.
                    logger.log("DEBUG" if failed else "WARNING", "discovery fails: {!r}", fault)
                    failed += 1
                    if link is not None and not isinstance(fault, Busy):
                        link.sock.close()
                        link = None
                    if self.settings.ask_for_list:
                        self.failed()
                        return
                    self.scheduler.sleep(self.pause(failed))
        finally:
            if link is not None:
                link.sock.close()

    def pause(self, failed: int) -> int:
        """How long (ns) to leave discovery alone after so many failed calls in a row.

        Guards a discovery that is short of room: a fleet that asks again at once, in step, keeps it so.
        """
        least, most = LONGEST_PAUSE_NS
        longest = min(max(PAUSE_NS * self.settings.balancers, least), most)
        return int(min(PAUSE_NS << min(failed - 1, 16), longest) * (0.5 + self._random.random()))

    def _fetch(self) -> None:
        link: Link | None = None
        try:
            link = self._call()
            self._ask(link, 0)
        except (OSError, ValueError, http.Malformed, http.Truncated):
            if self.settings.ask_for_list:
                self.failed()
        finally:
            if link is not None:
                link.sock.close()

    def _call(self) -> Link:
        sock = connect(self.scheduler, self.address, clock() + SLACK_NS)
        return Link(self.scheduler, sock, None, LONGEST_LIST, LONGEST_LIST)

    def _ask(self, link: Link, wait_ms: int) -> bool:
        """One call: the whole list, or with a wait what changed. False: the whole list is to be asked for."""
        target = b"/catalog/members"
        if wait_ms:
            target += b"?index=%d&wait=%d" % (self._revision, wait_ms)
        deadline = clock() + wait_ms * MS + SLACK_NS
        host = b"Host: %b:%d\r\n" % (self.address[0].encode(), self.address[1])
        link.write(http.request(b"GET", target, host), deadline)
        message = link.read(deadline)
        if message.head.status != 200:
            usable = message.head.keeps_alive and link.reader.empty
            raise (Busy if usable else ValueError)(f"status {message.head.status}")
        before = self._revision
        whole, revision, entries = self._read(json.loads(message.body))
        self._revision = revision
        self.take(mi.ListKind.FULL if whole else mi.ListKind.DELTA, revision, entries)
        if not message.head.keeps_alive:
            raise ConnectionResetError("closed by discovery")
        # Guards against a discovery that started anew: it would wait for a revision that is long past.
        return before is None or self._revision >= before

    @staticmethod
    def _read(told: object) -> tuple[bool, int, Entries]:
        """A list in discovery's form: is it whole, its revision, its entries. Raises `ValueError`."""
        if not isinstance(told, dict) or not isinstance(told.get("members", []), list):
            raise ValueError("no server list")
        entries = [_entry(member) for member in told.get("members", [])]
        revision = told.get("revision")
        if not isinstance(revision, int):
            raise ValueError("the server list has no revision")
        return bool(told.get("complete")), revision, entries


def _member_address(member: dict) -> Address:
    if member["phase"] == "terminated" and not member.get("host_port"):
        return "", 0  # what is gone needs no address
    return read_address(str(member["host_port"]))


def _entry(member: object) -> tuple[mi.ServerEntry, Address]:
    if not isinstance(member, dict):
        raise ValueError("an entry of the server list is no object")
    try:
        return mi.ServerEntry(
            server=str(member["id"]),
            state=STATES[member["phase"]],
            zone=str(member.get("locality", "")),
            cell=int(member.get("cell", -1)),
            weight=float(member.get("size", 1.0)),
            started_ns=int(member.get("up_since_ms", 0)) * MS,
        ), _member_address(member)
    except (KeyError, TypeError, OverflowError) as fault:
        raise ValueError(f"an entry of the server list cannot be read: {fault!r}") from None
