"""The core: one `Balancer`, fed with events and obeyed action by action, directly on the sockets.

This file owns requests, attempts, probes and timers; connections to pool servers are `links.py`'s, calls to
discovery `discovery.py`'s.
It must never pick a pool server, retry or refuse by its own taste: decisions come from `balance.py` alone.
It does not know how clients speak: a front hands it requests, which hold nothing of the front's
protocol, and gets each one's only answer through `deliver`.
"""

from __future__ import annotations

import errno
import gc
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum
from math import isfinite
from time import process_time
from typing import Protocol

from loguru import logger

from iristrack import interface as mi
from iristrack.balance import Balancer
from iristrack.config import REPORT_NAMES, Address, Config
from iristrack.http1 import messages as http
from iristrack.http1.connection import RECEIVE, Link
from iristrack.net.discovery import Discovery, Entries
from iristrack.net.links import Links, Target
from iristrack.runtime.scheduler import READ, WRITE, Cancelled, Scheduler, Task, clock, send_all

MS = mi.NS_PER_MS
REPLY_MARGIN_NS = 8 * MS  # what is kept back of a client's patience, for the answer's own way
STALL_NS = 10 * mi.NS_PER_S  # a peer of a long message that neither gives nor takes for so long is given up
HOLD_NS = 100 * MS  # an answer of unknown length is begun so long after its head if it is not whole by then
LONG_SHARE = 8  # this part of the memory limit is for what long messages hold, between all of them
LEAST_PIECE = 4 * 1024
REPORT_EVERY_NS = 10 * mi.NS_PER_S
OWN_DESCRIPTORS = 24  # standard streams, listener, poll, discovery and some in hand
ADMIN_DESCRIPTORS = 36  # and what the operators' door may hold, where there is one


class Ending(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # trying again does no harm
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a request."""

    ending: Ending
    body: bytes = b""
    media_type: bytes = b""
    retry_after_ns: int = 0
    passed: bool = False  # the client has it already, as far as there was any of it
    fault: bool = False  # the sidecar itself is at fault
    late: bool = False  # nobody answered in time


class ClientLeft(Exception):
    """The client left, or neither gave nor took anything for too long, while a long message was passed on."""


class Passage(Protocol):
    """How long messages get from and to a client: a front's side of it, used by the attempt alone.

    Each may wait and raises `ClientLeft`. `read` gives the next bytes for the pool server, about `size`, and none
    once the request has ended. `begin` tells the answer's media type and, where it is known, its length. `present`
    does not wait: is the client still there, whatever the loop has come to see of it?
    """

    def read(self, size: int) -> bytes: ...  # noqa: D102

    def begin(self, media_type: bytes, length: int | None) -> None: ...  # noqa: D102

    def write(self, data: bytes) -> None: ...  # noqa: D102

    def end(self) -> None: ...  # noqa: D102

    def present(self) -> bool: ...  # noqa: D102


class ClientRequest:
    """What a client asked for, from its arrival to its one answer."""

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
        self.attempt = -1  # number of the last attempt
        self.task: Task | None = None  # the one that is out

    @property
    def deadline(self) -> int | None:
        """When the client's patience ends; None while that is not known, or while it has its answer coming."""
        return self.give_up_ns if self.whole and not self.begun else None


@dataclass(slots=True)
class Counts:
    """What happened since the last report."""

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0
    worst_pause_ns: int = 0


class Figures:
    """What this process has done since it began, for the operators; each is counted at the event it names."""

    __slots__ = ("aborted", "declined", "forwards", "outstanding", "succeeded")

    def __init__(self, classes: tuple[mi.RequestClass, ...]) -> None:
        """All at 0, for every class."""
        self.succeeded = dict.fromkeys((c.name for c in classes), 0)
        self.declined = dict(self.succeeded)
        self.aborted = dict(self.succeeded)
        self.forwards = 0  # attempts whose last byte was written
        self.outstanding = 0  # requests taken and not ended


class Sidecar:
    """Carries out the balancer's decisions."""

    def __init__(self, scheduler: Scheduler, config: Config, learned: dict | None = None) -> None:
        """Nothing is opened before `start`. `learned` is what an earlier process knew, weighed."""
        self.scheduler = scheduler
        self.config = config
        self.settings = config.settings
        self.balancer = Balancer(config.settings, config.seed, learned)
        self.requests: dict[str, ClientRequest] = {}
        self.passing = 0  # long messages on their way
        self.ready = False  # can it serve: is there a server list?
        self.counts = Counts()
        self.figures = Figures(config.settings.classes)
        self.trace = False  # a DEBUG line for each attempt and each answer, by call id (`--log-level DEBUG`)
        self._cpu = process_time()
        self._gc_began = 0
        limits = self.settings.limits
        self.connect_timeout_ns = limits.connect_timeout_ns or mi.NS_PER_S
        self.links = Links(scheduler, limits.idle_ns or 60 * mi.NS_PER_S, most_connections(config)[1])
        self.discovery = Discovery(
            scheduler, config.discovery, config.settings, config.seed, self._take_list,
            lambda: self.feed(mi.ServerList(mi.ListKind.FAILED)),
        )  # fmt: skip
        self.probe_timeout_ns = min(c.aim_ns for c in self.settings.classes)
        self.actions: dict[type, Callable[..., None]] = {
            mi.Send: self._send,
            mi.Reject: lambda a: self._answer(a.id, Answer(Ending.REFUSED, retry_after_ns=a.retry_after_ns)),
            mi.Fail: lambda a: self._answer(a.id, Answer(Ending.FAILED)),
            mi.Cancel: self._cancel,
            mi.SetTimer: lambda a: self.scheduler.call_at(
                clock() + a.delay_ns, self.feed, mi.TimerFired(a.token)
            ),
            mi.Probe: lambda a: self.scheduler.spawn("probe", self._probe, a.server),
            mi.CloseIdle: lambda a: self.links.close_idle(a.server),
            mi.PeerSend: lambda a: logger.warning("no way to other sidecars here: a message is dropped"),
            mi.Subscribe: lambda a: self.discovery.subscribe(a.wanted),
            mi.FetchList: lambda a: self.discovery.fetch(),
            mi.Log: lambda a: logger.info("{}", a.text),
        }

    # ---- life

    def start(self) -> None:
        """Take the last known server list, then follow discovery."""
        gc.callbacks.append(self._on_gc)
        self.discovery.start(self.config.known)
        self.links.start()
        self.scheduler.call_at(clock() + REPORT_EVERY_NS, self._report_regularly)

    def _take_list(self, kind: mi.ListKind, revision: int, entries: Entries) -> None:
        """What discovery says: the sockets follow it, then the module hears of it."""
        self.links.follow(entries, kind is not mi.ListKind.DELTA)
        if entries or kind is not mi.ListKind.DELTA:
            self.feed(mi.ServerList(kind, tuple(entry for entry, _ in entries), revision))
        self.links.forget_gone(self.settings.contract.drain_grace_ns)
        self.ready = self.ready or bool(entries) or kind is mi.ListKind.FULL

    def follow(self, discovery: Address) -> None:
        """Discovery is elsewhere from now on, or where it was."""
        if discovery != self.config.discovery:
            self.config = replace(self.config, discovery=discovery)
            self.discovery.follow(discovery)

    def stop(self) -> None:
        """End what runs beside the requests."""
        self.discovery.subscribe(False)
        self.links.stop()
        self.report()

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
        counts, links, scheduler, cpu = self.counts, self.links, self.scheduler, process_time()
        if counts.taken:
            logger.info(
                "taken {} served {} refused {} failed {} gone {}; connections opened {} reused {} stale {}"
                " open {}; cpu {:.2f} ms each; worst turn {:.1f} ms, timer {:.1f} ms late, gc {:.1f} ms",
                counts.taken, counts.served, counts.refused, counts.failed, counts.gone, links.opened,
                links.reused, links.stale, links.open, (cpu - self._cpu) * 1e3 / counts.taken,
                scheduler.worst_turn_ns / 1e6, scheduler.worst_late_ns / 1e6, counts.worst_pause_ns / 1e6,
            )  # fmt: skip
        self.counts = Counts()
        links.opened = links.reused = links.stale = 0
        self._cpu = cpu
        scheduler.worst_turn_ns = scheduler.worst_late_ns = 0

    # ---- the module

    def feed(self, event: mi.Event) -> None:
        """Give the module an event and carry out its actions, in order. Nothing in here waits."""
        try:
            actions = self.balancer.handle(clock(), event)
        except Exception:
            # Guards the process and the client: a request that the module stumbles over still gets
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

    # ---- requests

    def submit(self, request: ClientRequest) -> bool:
        """Take a request; false, and nothing is taken, while another of its id is in flight."""
        if request.id in self.requests:
            # Guards the client: the module passes over such a request, which then nobody would answer.
            return False
        self.requests[request.id] = request
        self.counts.taken += 1
        self.figures.outstanding += request.whole
        self.feed(
            mi.Request(
                request.id,
                request.request_class,
                request.give_up_ns - REPLY_MARGIN_NS,
                request.key,
                request.tenant,
                request.work_hint_ns,
                request.retry,
                request.write,
                request.long,
            )
        )
        return True

    def hang_up(self, request: ClientRequest) -> None:
        """The client left: nothing is owed any more."""
        if not request.answered:
            self.counts.gone += 1
            self._end(request, None)
            if (request.begun or not request.whole) and request.task is not None:
                # There is nobody left to whom, or from whom, the rest could be passed; and the attempt must not
                # wait on a descriptor that its front is about to close.
                request.task.cancel()

    def expire(self, request: ClientRequest) -> None:
        """The last guard of the one answer: the client's patience ends and the module has said nothing."""
        if not request.answered:
            logger.error("request {} had no answer in time", request.id)
            self._end(request, Answer(Ending.FAILED, late=True))

    def _end(self, request: ClientRequest, answer: Answer | None) -> None:
        request.answered = True
        self.figures.outstanding -= request.whole
        if answer is not None:
            self.counts.failed += 1
            self.figures.aborted[request.request_class] += 1
            request.deliver(answer)
        self.feed(mi.ClientGone(request.id))
        self._settle(request)

    def _answer(self, call_id: str, answer: Answer) -> None:
        request = self.requests.get(call_id)
        if request is None or request.answered:
            return
        request.answered = True
        figures, name = self.figures, request.request_class
        figures.outstanding -= request.whole
        if answer.ending is Ending.SERVED:
            self.counts.served += 1
            figures.succeeded[name] += 1
        elif answer.ending is Ending.REFUSED:
            self.counts.refused += 1
            figures.declined[name] += 1
        else:
            self.counts.failed += 1
            figures.aborted[name] += 1
        if self.trace:
            logger.debug(
                "call {} {} answered {} after {} attempts, {} ms before its end",
                call_id, name, answer.ending.name, request.attempt + 1,
                (request.give_up_ns - clock()) // mi.NS_PER_MS,
            )  # fmt: skip
        request.deliver(answer)
        self._settle(request)

    def _settle(self, request: ClientRequest) -> None:
        if request.answered and request.task is None:
            self.requests.pop(request.id, None)

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
            "discovered": sum(1 for target in self.links.targets.values() if target.listed),
            "ejected": self.balancer.ejected_server_count(),
        }

    # ---- attempts

    def _send(self, action: mi.Send) -> None:
        request = self.requests[action.id]
        now = clock()
        deadline = request.give_up_ns - REPLY_MARGIN_NS
        if action.timeout_ns:
            deadline = min(deadline, now + action.timeout_ns)
        request.attempt += 1
        if self.trace:
            logger.debug(
                "call {} attempt {} to {} within {} ms",
                action.id, request.attempt, action.server, (deadline - now) // mi.NS_PER_MS,
            )  # fmt: skip
        request.task = self.scheduler.spawn(
            "attempt", self._route, request, request.attempt, action, now, deadline
        )

    def _cancel(self, action: mi.Cancel) -> None:
        request = self.requests.get(action.id)
        if request is not None and request.task is not None and request.attempt == action.attempt:
            request.task.cancel()

    def _route(self, request: ClientRequest, number: int, action: mi.Send, began: int, deadline: int) -> None:
        """One attempt, from its connection to its outcome."""
        message, left, server = None, False, action.server
        try:
            outcome, message = self._call(
                server, began, deadline, request.encode, request, number, action.begin_by_ns
            )
        except Cancelled:
            outcome = mi.Outcome.CANCELLED
        except ClientLeft:
            outcome, left = mi.Outcome.CANCELLED, True
        except Exception:
            # Guards the process: the fault ends this request, which may have reached a server.
            logger.exception("an attempt failed")
            outcome = mi.Outcome.RESET
            self._answer(request.id, Answer(Ending.FAILED, fault=True, passed=request.begun))
        request.task = None
        if left:
            self.hang_up(request)
            request.deliver(Answer(Ending.FAILED, passed=True))  # its front looks after what is left of it
        report = None
        if message is not None:
            fields = message.head.fields
            report = _load_report(fields.get(b"x-load-report"))
            if outcome is mi.Outcome.OK:
                media_type = fields.get(b"content-type", b"")
                self._answer(
                    request.id, Answer(Ending.SERVED, message.body, media_type, passed=request.begun)
                )
        if request.begun:  # and could not be finished
            self._answer(request.id, Answer(Ending.FAILED, passed=True))
        final, latency = request.answered, clock() - began
        if self.trace:
            logger.debug(
                "call {} attempt {} at {}: {} after {} ms{}",
                request.id, number, server, outcome.name, latency // mi.NS_PER_MS, ", final" if final else "",
            )  # fmt: skip
        self.feed(mi.AttemptEnded(request.id, number, server, outcome, final, latency, report, request.kept))
        self._settle(request)

    def _call(
        self,
        server: str,
        began: int,
        deadline: int,
        encode: Callable[[int], bytes],
        request: ClientRequest | None = None,
        number: int = 0,
        begin_by: int = 0,
    ) -> tuple[mi.Outcome, http.Message | None]:
        """One request to a pool server: how it ended, and the answer if there was one. A probe has no request.

        Before it returns, or raises, its connection is put back or closed: the module may send again as soon
        as it hears of the end, and a given-up attempt on an open connection would be a second copy then.
        """
        link, written, keep = None, False, False
        long = request is not None and request.long
        try:
            self.scheduler.checkpoint()
            if long and not request.kept:
                return mi.Outcome.NOT_SENT, None  # its beginning is no longer here
            link = self.links.take(server, min(deadline, began + self.connect_timeout_ns))
            if link is None:
                return mi.Outcome.NOT_SENT, None
            keep = not link.idle_since  # where nothing is sent, a new connection can still be of use
            if not self._may_begin(request, link.target, begin_by):
                return mi.Outcome.NOT_SENT, None
            keep = False
            left = request.budget_ns if long else deadline - clock()
            link.write(encode(left), deadline)
            if long:
                if not self._pass_request(link, request, number):
                    return self._early(link)
                deadline = request.give_up_ns - REPLY_MARGIN_NS
            written = True
            self.figures.forwards += request is not None
            message = link.read(deadline, HOLD_NS if request is not None else 0)
            if message is None:
                message = http.Message(link.reader.head, b"")
                outcome = _classify(message)
                if outcome is mi.Outcome.OK:
                    self._pass_answer(link, request, number, server, began)
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
                self.links.put_back(link) if keep else self.links.close(link)

    # ---- long messages

    def piece(self) -> int:
        """How much of a long message is read at once: all of them share one part of the memory.

        Each holds one piece while it waits, and as much again while it is framed for the other side.
        """
        room = (self.config.memory_mb << 20) // LONG_SHARE or RECEIVE * self.links.most
        return max(LEAST_PIECE, min(RECEIVE, room // (2 * max(1, self.passing))))

    def _pass_request(self, link: Link, request: ClientRequest, number: int) -> bool:
        """Pass on the body of a long request as it comes; false where the pool server spoke before its end."""
        self.passing += 1
        try:
            while data := request.passage.read(self.piece()):
                request.kept = False
                if not link.quiet():
                    return False
                send_all(link.sock, data, lambda: self.scheduler.wait(link.fd, WRITE, clock() + STALL_NS))
        finally:
            self.passing -= 1
        now = clock()
        request.give_up_ns = now + request.budget_ns
        if not request.answered:
            request.whole = True
            self.figures.outstanding += 1
        self.feed(mi.AttemptWritten(request.id, number, request.give_up_ns - REPLY_MARGIN_NS))
        return True

    def _early(self, link: Link) -> tuple[mi.Outcome, http.Message | None]:
        """What a pool server said before a long request's end: it never began that, whatever it says."""
        try:
            message = link.read(clock() + self.connect_timeout_ns)
        except (OSError, http.Malformed, http.Truncated):
            return mi.Outcome.CONNECT_FAILED, None  # broken before the last byte
        if message is not None and _classify(message) is mi.Outcome.REJECTED:
            return mi.Outcome.REJECTED, message
        return mi.Outcome.CONNECT_FAILED, None

    def _pass_answer(self, link: Link, request: ClientRequest, number: int, server: str, began: int) -> None:
        """Pass on an answer as it comes. It is the client's from now on: only silence ends it."""
        reader, passage = link.reader, request.passage
        request.begun = True
        self.passing += 1
        try:
            passage.begin(reader.head.fields.get(b"content-type", b""), reader.length)
            self.feed(mi.AttemptStarted(request.id, number, server, clock() - began))
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

    def _may_begin(self, request: ClientRequest | None, target: Target, begin_by: int) -> bool:
        """The one look at the first byte, long after the decision where a connection was late to come up.

        Held here: the server is still the process that was chosen, and its drain grace is not over (rule 3); the
        time by which the module wants the attempt begun has not passed (rule 2); the request still wants an
        answer, and its client is there. Raises `ClientLeft` where only that last one is false.
        """
        grace = self.settings.contract.drain_grace_ns
        if self.links.targets.get(target.id) is not target:
            return False
        if target.away_since is not None and clock() >= target.away_since + grace:
            return False
        if request is None:
            return True
        if request.answered or (begin_by and clock() >= begin_by):
            return False
        if not request.passage.present():
            raise ClientLeft
        return True

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


def most_connections(config: Config) -> tuple[int, int]:
    """How many connections clients and pool servers may have, by the limits on descriptors and memory.

    Each open request needs one of both; clients that have none yet, or no longer, make up the difference.
    """
    most = config.sockets - OWN_DESCRIPTORS - (ADMIN_DESCRIPTORS if config.admin else 0)
    if config.memory_mb:  # half of the memory, were every connection full to its bounds
        most = min(
            most, (config.memory_mb << 20) // 2 // (http.MAX_HEAD_BYTES + http.MAX_BUFFERED_BODY_BYTES)
        )
    links = max(8, most * 2 // 5)
    return max(8, most - links), links


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
