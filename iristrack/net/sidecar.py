"""The core: one `Balancer`, fed with events and obeyed action by action, directly on the sockets.

This file owns transactions, routed tasks, connections to pool servers, probes, timers and the service table.
It must never pick a pool server, retry or refuse by its own taste: decisions come from `balance.py` alone.
It does not know how terminals speak: a front hands it transactions, which hold nothing of the front's
protocol, and gets each one's only answer through `deliver`.
"""

from __future__ import annotations

import errno
import gc
import json
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum
from math import isfinite
from random import Random
from time import process_time
from typing import Protocol

from loguru import logger

from iristrack import interface as mi
from iristrack.balance import Balancer
from iristrack.config import REPORT_NAMES, Address, Config, read_address
from iristrack.net import http
from iristrack.net.scheduler import READ, WRITE, Cancelled, Scheduler, Task, clock, send_all

MS = mi.NS_PER_MS
REPLY_MARGIN_NS = 8 * MS  # what is kept back of a client's patience, for the answer's own way
WATCH_WAIT_MS = 2000  # how long discovery may hold a watch
DISCOVERY_SLACK_NS = 700 * MS  # and how much later its silence counts as a failure
DISCOVERY_PAUSE_NS = 50 * MS  # between a failed call and the next; it doubles with each that fails
LONGEST_PAUSE_NS = (
    200 * MS,
    2000 * MS,
)  # up to that many ms for each sidecar of the fleet, within these bounds
SPREAD_NS = 20 * MS  # the first call waits for a draw of up to that much for each sidecar,
LONGEST_SPREAD_NS = mi.NS_PER_S  # and no longer
DISCOVERY_BODY = 1 << 20
STALL_NS = 10 * mi.NS_PER_S  # a peer of a long message that neither gives nor takes for so long is given up
HOLD_NS = 100 * MS  # an answer of unknown length is begun so long after its head if it is not whole by then
LONG_SHARE = 8  # this part of the memory limit is for what long messages hold, between all of them
LEAST_PIECE = 4 * 1024
IDLE_USED = 0.9  # a connection is retired after this share of the time that its server keeps it idle
SWEEP_NS = mi.NS_PER_S
REPORT_EVERY_NS = 10 * mi.NS_PER_S
OWN_DESCRIPTORS = 24  # standard streams, listener, poll, discovery and some in hand
DOOR_DESCRIPTORS = 36  # and what the operators' door may hold, where there is one
RECEIVE = 64 * 1024
STATES = {
    "in_service": mi.ServerState.READY,
    "terminating": mi.ServerState.DRAINING,
    "terminated": mi.ServerState.GONE,
}


class Ending(Enum):
    """How a transaction ended for its terminal."""

    SERVED = "served"
    SHORT = "short on capacity"  # the short-on-capacity reply: trying again does no harm
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a transaction."""

    ending: Ending
    body: bytes = b""
    media_type: bytes = b""
    retry_after_ns: int = 0
    passed: bool = False  # the terminal has it already, as far as there was any of it
    fault: bool = False  # the sidecar itself is at fault
    late: bool = False  # nobody answered in time


class TerminalLeft(Exception):
    """The terminal left, or neither gave nor took anything for too long, while a long message was passed on."""


class Passage(Protocol):
    """How long messages get from and to a terminal: a front's side of it, used by the routed task alone.

    Each may wait and raises `TerminalLeft`. `read` gives the next bytes for the pool server, about `size`, and none
    once the request has ended. `begin` tells the answer's media type and, where it is known, its length.
    """

    def read(self, size: int) -> bytes: ...  # noqa: D102

    def begin(self, media_type: bytes, length: int | None) -> None: ...  # noqa: D102

    def write(self, data: bytes) -> None: ...  # noqa: D102

    def end(self) -> None: ...  # noqa: D102


class Transaction:
    """What a terminal asked for, from its arrival to its one answer."""

    __slots__ = (
        "answered", "attempt", "begun", "budget_ns", "deliver", "encode", "give_up_ns", "id", "kept", "key", "long",
        "passage", "request_class", "retry", "task", "tenant", "whole", "work_hint_ns", "write",
    )  # fmt: skip

    def __init__(
        self,
        call_id: str,
        request_class: str,
        give_up_ns: int,
        encode: Callable[[int], bytes],
        deliver: Callable[[Answer], None],
        passage: Passage,
        *,
        long: bool = False,
        budget_ns: int = 0,
        key: str | None = None,
        tenant: str | None = None,
        retry: bool = False,
        work_hint_ns: int = 0,
        write: bool = False,
    ) -> None:
        """`encode` gives the bytes for a pool server, told how long (ns) the sidecar will wait.

        Of a `long` one it gives those ahead of the body; the client waits `budget_ns` from the body's last byte on.
        """
        self.id = call_id
        self.request_class = request_class
        self.give_up_ns = give_up_ns
        self.encode = encode
        self.deliver = deliver
        self.passage = passage
        self.long = long
        self.budget_ns = budget_ns
        self.whole = not long  # has all of it come?
        self.kept = True  # can it be sent again?
        self.begun = False  # has its answer begun to be passed on?
        self.key = key
        self.tenant = tenant
        self.retry = retry
        self.work_hint_ns = work_hint_ns
        self.write = write
        self.answered = False
        self.attempt = -1  # number of the last routed task
        self.task: Task | None = None  # the one that is out

    @property
    def deadline(self) -> int | None:
        """When the client's patience ends; None while that is not known, or while it has its answer coming."""
        return self.give_up_ns if self.whole and not self.begun else None


class _Link:
    """One connection to a pool server or to discovery."""

    __slots__ = ("fd", "idle_since", "reader", "sock", "target")

    def __init__(
        self,
        sock: socket.socket,
        target: _Target | None,
        limit: int = http.LONGEST_BODY,
        whole: int = http.MAX_BODY,
    ) -> None:
        self.sock = sock
        self.fd = sock.fileno()
        self.target = target
        self.reader = http.Reader(response=True, limit=limit, whole=whole)
        self.idle_since = 0


class _Target:
    """A pool server as the sockets know it."""

    __slots__ = ("address", "away_since", "id", "idle", "listed")

    def __init__(self, server: str, address: Address) -> None:
        self.id = server
        self.address = address
        self.away_since: int | None = None  # when the service table first said that it drains or is gone
        self.idle: list[_Link] = []  # the most recently used last
        self.listed = True  # does the service table hold it, ready or draining?


@dataclass(slots=True)
class Counts:
    """What happened since the last report."""

    taken: int = 0
    served: int = 0
    short: int = 0
    failed: int = 0
    gone: int = 0
    opened: int = 0
    reused: int = 0
    stale: int = 0
    worst_pause_ns: int = 0


class Figures:
    """What this process has done since it began, for the operators; each is counted at the event it names."""

    __slots__ = ("aborted", "declined", "forwards", "outstanding", "succeeded")

    def __init__(self, classes: tuple[mi.RequestClass, ...]) -> None:
        """All at 0, for every class."""
        self.succeeded = dict.fromkeys((c.name for c in classes), 0)
        self.declined = dict(self.succeeded)
        self.aborted = dict(self.succeeded)
        self.forwards = 0  # routed tasks whose last byte was written
        self.outstanding = 0  # transactions taken and not ended


class _Busy(ValueError):
    """Discovery refused a call, and its connection can be used again."""


class Sidecar:
    """Carries out the balancer's decisions."""

    def __init__(self, scheduler: Scheduler, config: Config, learned: dict | None = None) -> None:
        """Nothing is opened before `start`. `learned` is what an earlier process knew, weighed."""
        self.scheduler = scheduler
        self.config = config
        self.settings = config.settings
        self.balancer = Balancer(config.settings, config.seed, learned)
        self.transactions: dict[str, Transaction] = {}
        self.targets: dict[str, _Target] = {}
        self.passing = 0  # long messages on their way
        self.links = 0  # open connections to pool servers
        self.most_links = most_connections(config)[1]
        self.ready = False  # can it serve: is there a service table?
        self.counts = Counts()
        self.figures = Figures(config.settings.classes)
        self.trace = (
            False  # a DEBUG line for each routed task and each answer, by call id (`--log-level DEBUG`)
        )
        self.watching: Task | None = None
        self._revision: int | None = None
        self._told = False  # is what changed since that revision all that is missing here?
        self._random = Random(config.seed)  # spreads calls to discovery over the fleet, and nothing else
        self._list_wanted = False
        self._stopping = False
        self._cpu = process_time()
        self._gc_began = 0
        limits = self.settings.limits
        self.connect_timeout_ns = limits.connect_timeout_ns or mi.NS_PER_S
        self.idle_ns = int((limits.idle_ns or 60 * mi.NS_PER_S) * IDLE_USED)
        self.probe_timeout_ns = min(c.aim_ns for c in self.settings.classes)
        self.actions: dict[type, Callable[..., None]] = {
            mi.Send: self._send,
            mi.Reject: lambda a: self._answer(a.id, Answer(Ending.SHORT, retry_after_ns=a.retry_after_ns)),
            mi.Fail: lambda a: self._answer(a.id, Answer(Ending.FAILED)),
            mi.Cancel: self._cancel,
            mi.SetTimer: lambda a: self.scheduler.call_at(
                clock() + a.delay_ns, self.feed, mi.TimerFired(a.token)
            ),
            mi.Probe: lambda a: self.scheduler.spawn("probe", self._probe, a.server),
            mi.CloseIdle: lambda a: self._close_idle(a.server),
            mi.PeerSend: lambda a: logger.warning("no way to other sidecars here: a message is dropped"),
            mi.Subscribe: lambda a: self._subscribe(a.wanted),
            mi.FetchList: lambda a: self.scheduler.spawn("list", self._fetch_list),
            mi.Log: lambda a: logger.info("{}", a.text),
        }

    # ---- life

    def start(self) -> None:
        """Take the last known service table, then follow discovery."""
        gc.callbacks.append(self._on_gc)
        try:
            self._take_table(self.config.known, mi.ListKind.CACHED)
            if self.targets and self.config.known.get("complete"):
                self._revision, self._told = self.config.known["revision"], True
        except ValueError as fault:
            logger.warning("the known service table is left out: {}", fault)
        if not self.settings.ask_for_list:
            self._subscribe(True)
        self.scheduler.call_at(clock() + SWEEP_NS, self._sweep)
        self.scheduler.call_at(clock() + REPORT_EVERY_NS, self._report_regularly)

    def follow(self, discovery: Address) -> None:
        """Discovery is elsewhere from now on: watch it there at once. Nothing else changes.

        What is known of pool servers holds until the new one tells its whole list; its revisions are its own.
        """
        if discovery == self.config.discovery:
            return
        self.config = replace(self.config, discovery=discovery)
        self._revision, self._told = None, False
        if self.watching is not None and not self.watching.done:
            self._subscribe(False)
            self._subscribe(True)

    def stop(self) -> None:
        """End what runs beside the transactions."""
        self._subscribe(False)
        self.close_idle()
        self.report()

    def close_idle(self) -> None:
        """Keep no connections to pool servers from now on: their descriptors are another process's."""
        self._stopping = True
        for target in self.targets.values():
            self._close_all(target)

    def _on_gc(self, phase: str, info: dict) -> None:
        if phase == "start":
            self._gc_began = clock()
        else:
            self.counts.worst_pause_ns = max(self.counts.worst_pause_ns, clock() - self._gc_began)

    def _report_regularly(self) -> None:
        self.report()
        self.scheduler.call_at(clock() + REPORT_EVERY_NS, self._report_regularly)

    def report(self) -> None:
        """One line for the on-call staff: what was done, at which cost, and how late the loop ran."""
        counts, scheduler, cpu = self.counts, self.scheduler, process_time()
        if counts.taken:
            logger.info(
                "taken {} served {} short {} failed {} gone {}; connections opened {} reused {} stale {}"
                " open {}; cpu {:.2f} ms each; worst turn {:.1f} ms, timer {:.1f} ms late, gc {:.1f} ms",
                counts.taken, counts.served, counts.short, counts.failed, counts.gone, counts.opened,
                counts.reused, counts.stale, self.links, (cpu - self._cpu) * 1e3 / counts.taken,
                scheduler.worst_turn_ns / 1e6, scheduler.worst_late_ns / 1e6, counts.worst_pause_ns / 1e6,
            )  # fmt: skip
        self.counts = Counts()
        self._cpu = cpu
        scheduler.worst_turn_ns = scheduler.worst_late_ns = 0

    # ---- the module

    def feed(self, event: mi.Event) -> None:
        """Give the module an event and carry out its actions, in order. Nothing in here waits."""
        try:
            actions = self.balancer.handle(clock(), event)
        except Exception:
            # Guards the process and the terminal: a transaction that the module stumbles over still gets
            # its answer, and the others go on.
            logger.exception("the module failed at {}", type(event).__name__)
            self._answer(getattr(event, "id", ""), Answer(Ending.FAILED, fault=True))
            return
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception:
                logger.exception("an action failed: {}", type(action).__name__)
                self._answer(getattr(action, "id", ""), Answer(Ending.FAILED, fault=True))

    # ---- transactions

    def submit(self, transaction: Transaction) -> bool:
        """Take a transaction; false, and nothing is taken, while another of its id is in flight."""
        if transaction.id in self.transactions:
            # Guards the terminal: the module passes over such a request, which then nobody would answer.
            return False
        self.transactions[transaction.id] = transaction
        self.counts.taken += 1
        self.figures.outstanding += transaction.whole
        self.feed(
            mi.Request(
                transaction.id,
                transaction.request_class,
                transaction.give_up_ns - REPLY_MARGIN_NS,
                transaction.key,
                transaction.tenant,
                transaction.work_hint_ns,
                transaction.retry,
                transaction.write,
                transaction.long,
            )
        )
        return True

    def hang_up(self, transaction: Transaction) -> None:
        """The terminal left: nothing is owed any more."""
        if not transaction.answered:
            self.counts.gone += 1
            self._end(transaction, None)
            if (transaction.begun or not transaction.whole) and transaction.task is not None:
                # There is nobody left to whom, or from whom, the rest could be passed; and the routed task must not
                # wait on a descriptor that its front is about to close.
                transaction.task.cancel()

    def expire(self, transaction: Transaction) -> None:
        """The last guard of the one answer: the client's patience ends and the module has said nothing."""
        if not transaction.answered:
            logger.error("transaction {} had no answer in time", transaction.id)
            self._end(transaction, Answer(Ending.FAILED, late=True))

    def _end(self, transaction: Transaction, answer: Answer | None) -> None:
        transaction.answered = True
        self.figures.outstanding -= transaction.whole
        if answer is not None:
            self.counts.failed += 1
            self.figures.aborted[transaction.request_class] += 1
            transaction.deliver(answer)
        self.feed(mi.ClientGone(transaction.id))
        self._settle(transaction)

    def _answer(self, call_id: str, answer: Answer) -> None:
        transaction = self.transactions.get(call_id)
        if transaction is None or transaction.answered:
            return
        transaction.answered = True
        figures, name = self.figures, transaction.request_class
        figures.outstanding -= transaction.whole
        if answer.ending is Ending.SERVED:
            self.counts.served += 1
            figures.succeeded[name] += 1
        elif answer.ending is Ending.SHORT:
            self.counts.short += 1
            figures.declined[name] += 1
        else:
            self.counts.failed += 1
            figures.aborted[name] += 1
        if self.trace:
            logger.debug(
                "call {} {} answered {} after {} routed tasks, {} ms before its end",
                call_id, name, answer.ending.name, transaction.attempt + 1,
                (transaction.give_up_ns - clock()) // mi.NS_PER_MS,
            )  # fmt: skip
        transaction.deliver(answer)
        self._settle(transaction)

    def _settle(self, transaction: Transaction) -> None:
        if transaction.answered and transaction.task is None:
            self.transactions.pop(transaction.id, None)

    def stats(self) -> dict[str, int]:
        """The operators' figures by name, as of now."""
        figures = self.figures
        told = {
            f"{kind}.{name}": count
            for kind in ("succeeded", "declined", "aborted")
            for name, count in getattr(figures, kind).items()
        }
        return told | {
            "forwards": figures.forwards,
            "outstanding": figures.outstanding,
            "discovered": sum(1 for target in self.targets.values() if target.listed),
            "ejected": self.balancer.avoided(),
        }

    # ---- routed tasks

    def _send(self, action: mi.Send) -> None:
        transaction = self.transactions[action.id]
        now = clock()
        deadline = transaction.give_up_ns - REPLY_MARGIN_NS
        if action.timeout_ns:
            deadline = min(deadline, now + action.timeout_ns)
        transaction.attempt += 1
        if self.trace:
            logger.debug(
                "call {} attempt {} to {} within {} ms",
                action.id, transaction.attempt, action.server, (deadline - now) // mi.NS_PER_MS,
            )  # fmt: skip
        transaction.task = self.scheduler.spawn(
            "routed task", self._route, transaction, transaction.attempt, action.server, now, deadline
        )

    def _cancel(self, action: mi.Cancel) -> None:
        transaction = self.transactions.get(action.id)
        if transaction is not None and transaction.task is not None and transaction.attempt == action.attempt:
            transaction.task.cancel()

    def _route(self, transaction: Transaction, number: int, server: str, began: int, deadline: int) -> None:
        """One routed task, from its connection to its outcome."""
        message, left = None, False
        try:
            outcome, message = self._call(server, began, deadline, transaction.encode, transaction, number)
        except Cancelled:
            outcome = mi.Outcome.CANCELLED
        except TerminalLeft:
            outcome, left = mi.Outcome.CANCELLED, True
        except Exception:
            # Guards the process: the fault ends this transaction, which may have reached a server.
            logger.exception("a routed task failed")
            outcome = mi.Outcome.RESET
            self._answer(transaction.id, Answer(Ending.FAILED, fault=True, passed=transaction.begun))
        transaction.task = None
        if left:
            self.hang_up(transaction)
            transaction.deliver(
                Answer(Ending.FAILED, passed=True)
            )  # its front looks after what is left of it
        report = None
        if message is not None:
            fields = message.head.fields
            report = _load_report(fields.get(b"x-load-report"))
            if outcome is mi.Outcome.OK:
                media_type = fields.get(b"content-type", b"")
                self._answer(
                    transaction.id, Answer(Ending.SERVED, message.body, media_type, passed=transaction.begun)
                )
        if transaction.begun:  # and could not be finished
            self._answer(transaction.id, Answer(Ending.FAILED, passed=True))
        final, latency = transaction.answered, clock() - began
        if self.trace:
            logger.debug(
                "call {} attempt {} at {}: {} after {} ms{}",
                transaction.id, number, server, outcome.name, latency // mi.NS_PER_MS, ", final" if final else "",
            )  # fmt: skip
        self.feed(
            mi.AttemptEnded(transaction.id, number, server, outcome, final, latency, report, transaction.kept)
        )
        self._settle(transaction)

    def _call(
        self,
        server: str,
        began: int,
        deadline: int,
        encode: Callable[[int], bytes],
        transaction: Transaction | None = None,
        number: int = 0,
    ) -> tuple[mi.Outcome, http.Message | None]:
        """One request to a pool server: how it ended, and the answer if there was one. A probe has no transaction.

        Before it returns, or raises, its connection is put back or closed: the module may send again as soon
        as it hears of the end, and a given-up attempt on an open connection would be a second copy then.
        """
        link, written, keep = None, False, False
        long = transaction is not None and transaction.long
        try:
            self.scheduler.checkpoint()
            if long and not transaction.kept:
                return mi.Outcome.NOT_SENT, None  # its beginning is no longer here
            link = self._take_link(server, min(deadline, began + self.connect_timeout_ns))
            if link is None or not self._may_begin(server, link.target):
                return mi.Outcome.NOT_SENT, None
            left = transaction.budget_ns if long else deadline - clock()
            self._write(link, encode(left), deadline)
            if long:
                if not self._pass_request(link, transaction, number):
                    return self._early(link)
                deadline = transaction.give_up_ns - REPLY_MARGIN_NS
            written = True
            self.figures.forwards += transaction is not None
            message = self._read(link, deadline, HOLD_NS if transaction is not None else 0)
            if message is None:
                message = http.Message(link.reader.head, b"")
                outcome = _classify(message)
                if outcome is mi.Outcome.OK:
                    self._pass_answer(link, transaction, number, server, began)
                    keep = message.head.keeps_alive and link.reader.empty
                return outcome, message
            keep = message.head.keeps_alive and link.reader.empty
            return _classify(message), message
        except TimeoutError:
            return mi.Outcome.TIMEOUT if written else mi.Outcome.CONNECT_FAILED, None
        except OSError as fault:
            if link is None and fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                return mi.Outcome.NOT_SENT, None  # our own want says nothing of the server
            return mi.Outcome.RESET if written else mi.Outcome.CONNECT_FAILED, None
        except (http.Malformed, http.Truncated):
            return mi.Outcome.RESET, None  # it was written whole, and may have run
        finally:
            if link is not None:
                self._put_back(link) if keep else self._close(link)

    # ---- long messages

    def piece(self) -> int:
        """How much of a long message is read at once: all of them share one part of the memory.

        Each holds one piece while it waits, and as much again while it is framed for the other side.
        """
        room = (self.config.memory_mb << 20) // LONG_SHARE or RECEIVE * self.most_links
        return max(LEAST_PIECE, min(RECEIVE, room // (2 * max(1, self.passing))))

    def _pass_request(self, link: _Link, transaction: Transaction, number: int) -> bool:
        """Pass on the body of a long request as it comes; false where the pool server spoke before its end."""
        self.passing += 1
        try:
            while data := transaction.passage.read(self.piece()):
                transaction.kept = False
                if not _is_quiet(link.sock):
                    return False
                send_all(link.sock, data, lambda: self.scheduler.wait(link.fd, WRITE, clock() + STALL_NS))
        finally:
            self.passing -= 1
        now = clock()
        transaction.give_up_ns = now + transaction.budget_ns
        if not transaction.answered:
            transaction.whole = True
            self.figures.outstanding += 1
        self.feed(mi.AttemptWritten(transaction.id, number, transaction.give_up_ns - REPLY_MARGIN_NS))
        return True

    def _early(self, link: _Link) -> tuple[mi.Outcome, http.Message | None]:
        """What a pool server said before a long request's end: it never began that, whatever it says."""
        try:
            message = self._read(link, clock() + self.connect_timeout_ns, 0)
        except (OSError, http.Malformed, http.Truncated):
            return mi.Outcome.CONNECT_FAILED, None  # broken before the last byte
        if message is not None and _classify(message) is mi.Outcome.REJECTED:
            return mi.Outcome.REJECTED, message
        return mi.Outcome.CONNECT_FAILED, None

    def _pass_answer(
        self, link: _Link, transaction: Transaction, number: int, server: str, began: int
    ) -> None:
        """Pass on an answer as it comes. It is the terminal's from now on: only silence ends it."""
        reader, passage = link.reader, transaction.passage
        transaction.begun = True
        self.passing += 1
        try:
            passage.begin(reader.head.fields.get(b"content-type", b""), reader.length)
            self.feed(mi.AttemptStarted(transaction.id, number, server, clock() - began))
            while True:
                data = reader.take()
                if data:
                    passage.write(data)
                if reader.done:
                    break
                self.scheduler.wait(link.fd, READ, clock() + STALL_NS)
                with suppress(BlockingIOError):
                    data = link.sock.recv(self.piece())
                    reader.feed(data) if data else reader.end()
            passage.end()
            reader.finish()
        finally:
            self.passing -= 1

    def _may_begin(self, server: str, target: _Target) -> bool:
        """Look once more at the first byte: a connection takes time to come up, and the list may change.

        Rule 3: the drain grace must not be over. And where the address has moved, the old one may be
        somebody else's by now.
        """
        if self.targets.get(server) is not target:
            return False
        grace = self.settings.contract.drain_grace_ns
        return target.away_since is None or clock() < target.away_since + grace

    # ---- connections

    def _take_link(self, server: str, deadline: int) -> _Link | None:
        """An idle connection, the most recently used first, or a new one; None where none can be had."""
        target = self.targets.get(server)
        if target is None:
            return None
        oldest = clock() - self.idle_ns
        while target.idle:
            link = target.idle.pop()
            self.scheduler.unwatch(link.fd)
            if link.idle_since > oldest and _is_quiet(link.sock):
                self.counts.reused += 1
                return link
            # Guards against writing to a connection that the server has closed or is about to: that would
            # end as a reset, after which a keyed request cannot be sent anywhere else.
            self.counts.stale += 1
            self._close(link)
        if self.links >= self.most_links and not self._close_oldest():
            return None
        self.counts.opened += 1
        self.links += 1
        try:
            return _Link(self._connect(target.address, deadline), target)
        except BaseException:
            self.links -= 1
            raise

    def _connect(self, address: Address, deadline: int) -> socket.socket:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code == errno.EINPROGRESS:
                self.scheduler.wait(sock.fileno(), WRITE, deadline)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
            return sock
        except BaseException:
            sock.close()
            raise

    def _write(self, link: _Link, data: bytes, deadline: int) -> None:
        send_all(link.sock, data, lambda: self.scheduler.wait(link.fd, WRITE, deadline))

    def _read(self, link: _Link, deadline: int, hold_ns: int = 0) -> http.Message | None:
        """The next message; None where it is a long one, or after `hold_ns` one that does not tell its length."""
        reader, until = link.reader, deadline
        while True:
            try:
                self.scheduler.wait(link.fd, READ, until)
            except TimeoutError:
                if until < deadline:
                    return None
                raise
            try:
                data = link.sock.recv(RECEIVE)
            except BlockingIOError:
                continue
            message = reader.feed(data) if data else reader.end()
            if message is not None:
                return message
            if reader.long:
                return None
            if not data:
                raise ConnectionResetError("closed before an answer")
            if hold_ns and until == deadline and reader.unmeasured and reader.head.status == 200:
                until = min(deadline, clock() + hold_ns)

    def _put_back(self, link: _Link) -> None:
        target = link.target
        if self._stopping or self.targets.get(target.id) is not target or target.away_since is not None:
            self._close(link)
            return
        link.idle_since = clock()
        target.idle.append(link)

        def broken() -> None:
            self.scheduler.unwatch(link.fd)
            target.idle.remove(link)
            self._close(link)

        self.scheduler.watch(link.fd, broken)

    def _close(self, link: _Link) -> None:
        link.sock.close()
        if link.target is not None:
            self.links -= 1

    def _retire(self, target: _Target, link: _Link) -> None:
        target.idle.remove(link)
        self.scheduler.unwatch(link.fd)
        self._close(link)

    def _close_all(self, target: _Target) -> None:
        for link in list(target.idle):
            self._retire(target, link)

    def _close_idle(self, server: str) -> None:
        target = self.targets.get(server)
        if target is not None:
            self._close_all(target)

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
        oldest = clock() - self.idle_ns
        for target in self.targets.values():
            while target.idle and target.idle[0].idle_since <= oldest:
                self._retire(target, target.idle[0])
        self.scheduler.call_at(clock() + SWEEP_NS, self._sweep)

    # ---- probes

    def _probe(self, server: str) -> None:
        began = clock()
        path = b"/_load" if self.settings.report_fields else b"/ping"
        asked = http.request(b"GET", path, b"Host: pool\r\n")
        outcome, message = self._call(server, began, began + self.probe_timeout_ns, lambda left_ns: asked)
        report = None
        if message is not None:
            report = _load_report(message.body or message.head.fields.get(b"x-load-report"))
        self.feed(mi.ProbeEnded(server, outcome, clock() - began, report))

    # ---- the service table

    def _subscribe(self, wanted: bool) -> None:
        if wanted and (self.watching is None or self.watching.done):
            self.watching = self.scheduler.spawn("watch", self._watch)
        elif not wanted and self.watching is not None:
            self.watching.cancel()
            self.watching = None

    def _watch(self) -> None:
        """Follow discovery, one call after another on one connection.

        Where no list is known, the whole one comes first; after that what changed since the last answer.
        """
        link: _Link | None = None
        failed, well = 0, False
        try:
            if self._told:
                # Guards discovery against a fleet that starts at one moment: what is known will do meanwhile.
                spread = min(SPREAD_NS * self.settings.balancers, LONGEST_SPREAD_NS)
                self.scheduler.sleep(int(spread * self._random.random()))
            while True:
                try:
                    if link is None:
                        link = self._call_discovery()
                    wait_ms = WATCH_WAIT_MS if self._revision is not None and self._told else 0
                    self._told = self._ask_discovery(link, wait_ms)
                    if not link.reader.empty:
                        raise http.Malformed(502, "more than was asked for")
                    if failed or not well:
                        failed, well = 0, True
                        logger.info("discovery answers: {} pool servers are known", len(self.targets))
                except Cancelled:
                    raise
                except Exception as fault:
                    # Discovery may be down, silent or speak garbage of any kind (JSON too deep to read, for
                    # one): that ends this call only. Without its watch the sidecar would go blind.
                    logger.log("DEBUG" if failed else "WARNING", "discovery fails: {!r}", fault)
                    failed += 1
                    if link is not None and not isinstance(fault, _Busy):
                        link.sock.close()
                        link = None
                    if self.settings.ask_for_list:
                        self.feed(mi.ServerList(mi.ListKind.FAILED))
                        return
                    self.scheduler.sleep(self._pause(failed))
        finally:
            if link is not None:
                link.sock.close()

    def _pause(self, failed: int) -> int:
        """How long (ns) to leave discovery alone after so many failed calls in a row.

        Guards a discovery that is short of room: a fleet that asks again at once, in step, keeps it so.
        """
        least, most = LONGEST_PAUSE_NS
        longest = min(max(DISCOVERY_PAUSE_NS * self.settings.balancers, least), most)
        return int(min(DISCOVERY_PAUSE_NS << min(failed - 1, 16), longest) * (0.5 + self._random.random()))

    def _fetch_list(self) -> None:
        link: _Link | None = None
        try:
            link = self._call_discovery()
            self._ask_discovery(link, 0)
        except (OSError, ValueError, http.Malformed, http.Truncated):
            if self.settings.ask_for_list:
                self.feed(mi.ServerList(mi.ListKind.FAILED))
        finally:
            if link is not None:
                link.sock.close()

    def _call_discovery(self) -> _Link:
        deadline = clock() + DISCOVERY_SLACK_NS
        return _Link(self._connect(self.config.discovery, deadline), None, DISCOVERY_BODY, DISCOVERY_BODY)

    def _ask_discovery(self, link: _Link, wait_ms: int) -> bool:
        """One call: the whole list, or with a wait what changed. False: the whole list is to be asked for."""
        target = b"/catalog/members"
        if wait_ms:
            target += b"?index=%d&wait=%d" % (self._revision, wait_ms)
        deadline = clock() + wait_ms * MS + DISCOVERY_SLACK_NS
        host = b"Host: %b:%d\r\n" % (self.config.discovery[0].encode(), self.config.discovery[1])
        self._write(link, http.request(b"GET", target, host), deadline)
        message = self._read(link, deadline)
        if message.head.status != 200:
            usable = message.head.keeps_alive and link.reader.empty
            raise (_Busy if usable else ValueError)(f"status {message.head.status}")
        before = self._revision
        self._take_table(json.loads(message.body), None)
        if not message.head.keeps_alive:
            raise ConnectionResetError("closed by discovery")
        # Guards against a discovery that started anew: it would wait for a revision that is long past.
        return before is None or self._revision >= before

    def _take_table(self, told: object, kind: mi.ListKind | None) -> None:
        """Read a list in discovery's form; tell the module. Raises `ValueError` before any change."""
        if not isinstance(told, dict) or not isinstance(told.get("members", []), list):
            raise ValueError("no service table")
        entries = [_entry(member) for member in told.get("members", [])]
        revision = told.get("revision")
        if not isinstance(revision, int):
            raise ValueError("the service table has no revision")
        if kind is None:
            self._revision = revision
            kind = mi.ListKind.FULL if told.get("complete") else mi.ListKind.DELTA
        now = clock()
        if kind is not mi.ListKind.DELTA:
            named = {entry.server for entry, _ in entries}
            for target in [t for t in self.targets.values() if t.id not in named]:
                self._set_away(target, now)
                target.listed = False
        for entry, address in entries:
            target = self.targets.get(entry.server)
            if target is None:
                target = self.targets[entry.server] = _Target(entry.server, address)
            elif target.address != address:
                self._close_all(target)
                # Another object: connections to the old address that are in use are not put back.
                fresh = self.targets[entry.server] = _Target(entry.server, address)
                fresh.away_since = target.away_since
                target = fresh
            target.listed = entry.state is not mi.ServerState.GONE
            if entry.state is mi.ServerState.READY:
                target.away_since = None
            else:
                self._set_away(target, now)
        if entries or kind is not mi.ListKind.DELTA:
            self.feed(mi.ServerList(kind, tuple(entry for entry, _ in entries), revision))
        self._forget_gone(now)
        self.ready = self.ready or bool(entries) or kind is mi.ListKind.FULL

    def _set_away(self, target: _Target, now: int) -> None:
        if target.away_since is None:
            target.away_since = now
            self._close_all(target)

    def _forget_gone(self, now: int) -> None:
        """Guards memory: a fleet whose machines are replaced for months names ever new servers."""
        long_ago = now - self.settings.contract.drain_grace_ns - 10 * mi.NS_PER_S
        for target in list(self.targets.values()):
            if target.away_since is not None and target.away_since < long_ago:
                del self.targets[target.id]


def most_connections(config: Config) -> tuple[int, int]:
    """How many connections clients and pool servers may have, by the limits on descriptors and memory.

    Each open request needs one of both; clients that have none yet, or no longer, make up the difference.
    """
    most = config.sockets - OWN_DESCRIPTORS - (DOOR_DESCRIPTORS if config.admin else 0)
    if config.memory_mb:  # half of the memory, were every connection full to its bounds
        most = min(most, (config.memory_mb << 20) // 2 // (http.MAX_HEAD + http.MAX_BODY))
    links = max(8, most * 2 // 5)
    return max(8, most - links), links


def _is_quiet(sock: socket.socket) -> bool:
    """Is there neither an end nor unasked bytes on an idle connection?"""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _classify(message: http.Message) -> mi.Outcome:
    status = message.head.status
    if status == 200:
        return mi.Outcome.OK
    if status in (503, 504) and message.head.fields.get(b"x-rejected") == b"1":
        return mi.Outcome.REJECTED
    return mi.Outcome.ERROR


def _load_report(text: bytes | None) -> dict[str, float] | None:
    """`TEXT name=value, name=value`; what cannot be read is left out."""
    if not text:
        return None
    report = {}
    for pair in text.decode("latin-1").removeprefix("TEXT").split(","):
        name, _, value = pair.strip().partition("=")
        with suppress(ValueError):
            number = float(value)
            if isfinite(number):
                report[REPORT_NAMES.get(name, name)] = number
    return report or None


def _member_address(member: dict) -> Address:
    if member["phase"] == "terminated" and not member.get("host_port"):
        return "", 0  # what is gone needs no address
    return read_address(str(member["host_port"]))


def _entry(member: object) -> tuple[mi.ServerEntry, Address]:
    if not isinstance(member, dict):
        raise ValueError("an entry of the service table is no object")
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
        raise ValueError(f"an entry of the service table cannot be read: {fault!r}") from None
