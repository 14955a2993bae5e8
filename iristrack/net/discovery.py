"""The client of discovery: its calls, when they are made, and how a list is read.

This file owns the connection to discovery and the revision that is known. It must never decide what a list means:
each one that can be read goes to `take`, each failed call of an asked discovery to `failed`.

Two schedules, by the settings. Worst chains, each from the moment at which discovery has a change and can be reached
to the moment at which the change is here, one lost call included:

- pushed, by an agent on this machine that answers at once and at no cost: a call that the agent swallowed just before
  its return is given up, and the next one asks for what changed, without a wait:
  `give_up + pause + an answer`, under half of the drain grace (and 50 ms of it are the rules' slack);
- pushed, after a watch fell silent: `WATCH_WAIT + give_up + pause + an answer`, under 3 s of the 6 s allowed;
- asked, one service for all: a watch that fell silent, one call that is given up, and the module's two pauses:
  `WATCH_WAIT + ASKED_GIVE_UP + 2 x ASK_AGAIN at its longest + ASKED_GIVE_UP + an answer`, under 6 s.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from math import isfinite
from random import Random

from loguru import logger

from iristrack import interface as mi
from iristrack.config import Address, read_address
from iristrack.http1 import messages as http
from iristrack.http1.connection import Link, connect
from iristrack.runtime.scheduler import Cancelled, Scheduler, Task, clock

MS = mi.NS_PER_MS
WATCH_WAIT_MS = 2000  # how long discovery may hold a watch
LOOK_MS = 1  # a watch that is held so long tells at once what changed
ASKED_GIVE_UP_NS = 700 * MS  # an asked discovery, which takes calls in turn, may be so much later than due
PUSHED_GIVE_UP_NS = (
    50 * MS,
    250 * MS,
)  # an agent may be later by a quarter of the drain grace, within these bounds
PUSHED_PAUSE_NS = (20 * MS, 50 * MS)  # and is asked again after an eighth of it at the most, within these
BUSY_PAUSE_NS = 50 * MS  # after a refusal; it doubles with each more
LONGEST_BUSY_PAUSE_NS = (
    200 * MS,
    2000 * MS,
)  # up to 50 ms for each sidecar of the fleet, within these bounds
SPREAD_NS = (
    20 * MS
)  # the first call to an asked discovery waits for a draw of up to that much for each sidecar,
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
        self.asked = settings.ask_for_list
        grace = settings.contract.drain_grace_ns
        self.give_up_ns = ASKED_GIVE_UP_NS if self.asked else _within(grace // 4, PUSHED_GIVE_UP_NS)
        self.pause_ns = _within(grace // 8, PUSHED_PAUSE_NS)
        self._known: tuple[int, Entries] | None = None  # the last known list, until it stands
        self._revision: int | None = None
        self._told = False  # is what changed since that revision all that is missing here?
        self._random = Random(seed)  # spreads calls over the fleet, and nothing else

    def start(self, known: dict) -> None:
        """Go by the last known list; where lists are pushed, follow discovery.

        What an agent has counts as told from a new process's first moment: there the known list stands only once the
        agent has said what changed since, or has said nothing.
        """
        revision, entries = 0, []
        try:
            _, revision, entries = self._read(known)
            if entries and known.get("complete"):
                self._revision, self._told = revision, True
        except ValueError as fault:
            logger.warning("the known server list is left out: {}", fault)
        self._known = revision, entries
        if self.asked:
            self._stand()  # the module subscribes once it has heard of any list, be it empty
        else:
            self.subscribe(True)

    def _stand(self) -> None:
        if self._known is not None:
            (revision, entries), self._known = self._known, None
            self.take(mi.ListKind.CACHED, revision, entries)

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
            spread = 0
            if self.asked and self.watching is None and self._told:
                # Guards discovery against a fleet that starts at one moment: what is known will do meanwhile.
                spread = min(SPREAD_NS * self.settings.balancers, LONGEST_SPREAD_NS)
            self.watching = self.scheduler.spawn("watch", self._watch, int(spread * self._random.random()))
        elif not wanted and self.watching is not None:
            self.watching.cancel()
            self.watching = None

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self.scheduler.spawn("list", self._fetch)

    def _watch(self, spread_ns: int) -> None:
        """Follow discovery, one call after another on one connection.

        Where no list is known, the whole one comes first; after that what changed since the last answer. After a
        start or a failed call an agent is asked for that without a wait: only so does its silence show.
        """
        link: Link | None = None
        failed, refused, well = 0, 0, False
        try:
            if spread_ns:
                self.scheduler.sleep(spread_ns)
            while True:
                wait_ms = 0
                if self._revision is not None and self._told:
                    wait_ms = WATCH_WAIT_MS if well or self.asked else LOOK_MS
                link, fault = self._call(link, wait_ms)
                if fault is None:
                    if not well:
                        logger.info("discovery answers at revision {}", self._revision)
                    failed, refused, well = 0, 0, True
                    continue
                logger.log("DEBUG" if failed else "WARNING", "discovery fails: {!r}", fault)
                failed, well = failed + 1, False
                refused = refused + 1 if isinstance(fault, Busy) else 0
                self._stand()
                if self.asked:
                    self.failed()
                    return
                self.scheduler.sleep(self.pause(refused))
        finally:
            if link is not None:
                link.sock.close()

    def pause(self, refused: int) -> int:
        """How long (ns) to leave an agent alone after a failed call, the last `refused` of them refused in a row.

        Silence costs nobody anything. But a discovery that refuses is short of room, and a fleet that asks it again
        at once, in step, keeps it so.
        """
        if not refused:
            return int(self.pause_ns * (0.5 + self._random.random() / 2))
        longest = _within(BUSY_PAUSE_NS * self.settings.balancers, LONGEST_BUSY_PAUSE_NS)
        return int(min(BUSY_PAUSE_NS << min(refused - 1, 16), longest) * (0.5 + self._random.random()))

    def _fetch(self) -> None:
        link, fault = self._call(None, 0)
        if link is not None:
            link.sock.close()
        if fault is not None and self.asked:
            self.failed()

    def _call(self, link: Link | None, wait_ms: int) -> tuple[Link | None, Exception | None]:
        """One call, on a connection or a new one: the connection, if it can be used again, and what went wrong."""
        try:
            deadline = clock() + self.give_up_ns
            if link is None:
                sock = connect(self.scheduler, self.address, deadline)
                link = Link(self.scheduler, sock, None, LONGEST_LIST, LONGEST_LIST)
            self._told = self._ask(link, wait_ms, deadline + wait_ms * MS)
            if not link.reader.empty:
                raise http.Malformed(502, "more than was asked for")
            return link, None
        except Cancelled:
            if link is not None:
                link.sock.close()
            raise
        except Exception as fault:
            # Discovery may be down, silent or speak garbage of any kind (JSON too deep to read, for
            # one): that ends this call only. Without its watch the sidecar would go blind.
            if link is not None and not isinstance(fault, Busy):
                link.sock.close()
                link = None
            return link, fault

    def _ask(self, link: Link, wait_ms: int, deadline: int) -> bool:
        """The whole list, or with a wait what changed. False: the whole list is to be asked for next."""
        target = b"/catalog/members"
        if wait_ms:
            target += b"?index=%d&wait=%d" % (self._revision, wait_ms)
        host = b"Host: %b:%d\r\n" % (self.address[0].encode(), self.address[1])
        link.write(http.request(b"GET", target, host), deadline)
        message = link.read(deadline)
        # An answer that came in the very turn in which this watch was called off tells of another discovery.
        self.scheduler.checkpoint()
        if message.head.status != 200:
            usable = message.head.keeps_alive and link.reader.empty
            raise (Busy if usable else ValueError)(f"status {message.head.status}")
        before = self._revision
        whole, revision, entries = self._read(json.loads(message.body))
        self._revision = revision
        self._stand()
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


def _within(ns: int, bounds: tuple[int, int]) -> int:
    least, most = bounds
    return min(max(ns, least), most)


def _member_address(member: dict) -> Address:
    if member["phase"] == "terminated" and not member.get("host_port"):
        return "", 0  # what is gone needs no address
    return read_address(str(member["host_port"]))


def _entry(member: object) -> tuple[mi.ServerEntry, Address]:
    if not isinstance(member, dict):
        raise ValueError("an entry of the server list is no object")
    try:
        if not isfinite(float(member.get("size", 1.0))):
            raise ValueError("an entry of the server list has no size")
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
