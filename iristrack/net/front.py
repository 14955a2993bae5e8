"""The client's side over HTTP/1.1: listener, platform headers and final answers.

This file owns the clients' connections: it turns bytes into requests and answers back into bytes, one
for each request. It must never talk to a pool server or decide what becomes of a well-formed request; what is
no request of the platform's it turns away itself. Another front would stand beside it, on the same core.
"""

from __future__ import annotations

import itertools
import re
import select
import socket
import struct
from contextlib import suppress
from dataclasses import replace

from loguru import logger

from iristrack import interface as mi
from iristrack.config import Address
from iristrack.http1 import messages as http
from iristrack.net import handover
from iristrack.net.sidecar import (
    STALL_NS,
    Answer,
    ClientLeft,
    ClientRequest,
    Ending,
    Sidecar,
    most_connections,
)
from iristrack.runtime.scheduler import (
    HANG_UP,
    READ,
    WRITE,
    Cancelled,
    Scheduler,
    Task,
    clock,
    open_listener,
    send_all,
)

IDLE_NS = 120 * mi.NS_PER_S  # a client's connection between requests is closed after so long,
CROWDED_IDLE_NS = 2 * mi.NS_PER_S  # after so long where clients' connections are many,
SILENT_NS = 100 * mi.NS_PER_MS  # and, once all places are taken, one that never said anything after so long,
HALF_NS = mi.NS_PER_S  # or one that has not gone on with its request for so long
TELL_NS = 10 * mi.NS_PER_S  # between two log lines of failed accepts
MANY = 2 / 9  # of the descriptors; clients hold no more than a third of them for their requests
REQUEST_NS = 2500 * mi.NS_PER_MS  # a request must be whole so long after it began, the first after connecting
BODY_SLACK_NS = 800 * mi.NS_PER_MS  # or, where its body takes longer, so long after its head and
SLOWEST_BODY = 48_000  # at so many bytes a second, on average,
PAUSE_MOST_NS = 2 * mi.NS_PER_S  # and never pausing for so long
SWEEP_NS = 500 * mi.NS_PER_MS
# After SIGTERM connections come for up to 400 ms, and what comes after 700 ms may find no time for its answer before
# SIGKILL. So: the grace, then a moment for requests that cross its end, and the listener goes last, for those whose
# connection was ended under them: STOP_GRACE + LINGER + PART < STOP_GRACE + LAST_CALL, and that + LINGER = 700 ms.
STOP_GRACE_NS = 450 * mi.NS_PER_MS
LINGER_NS = 50 * mi.NS_PER_MS  # what a resting connection is left after the grace
LAST_CALL_NS = 200 * mi.NS_PER_MS  # the listener stays so much longer than the grace
PART_NS = 100 * mi.NS_PER_MS  # a client has so long to end a connection that was shut here,
UNREAD_NS = 3 * mi.NS_PER_S  # or this where it was still sending a long request
PAUSE_NS = 50 * mi.NS_PER_MS  # between failed accepts
ACCEPTS = 32  # most connections taken in one turn
RECEIVE = 64 * 1024
LONGEST_TARGET = 2048  # keys are remembered, so that their length bounds memory
LONGEST_BUDGET_NS = 3600 * mi.NS_PER_S

_TARGET = re.compile(rb"/api(?:/(?:[^?#]*/)?([^/?#]+)?)?(?:\?[^#]*)?\Z")  # the last part, if any, is the key
_ID = re.compile(rb"[\x21-\x7e]{1,200}\Z")
_BUDGET = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])\Z")
_UNIT_NS = {b"m": mi.NS_PER_MS, b"u": 1000}
_METHODS = {mi.Repeat.SAFE: b"GET", mi.Repeat.KEYED: b"POST"}  # what a class's way of repeating asks for
_REPLACED = frozenset({b"x-budget"})
_ONCE = frozenset(
    {b"x-call-id", b"x-call-class", b"x-caller", b"x-budget", b"idempotency-key", b"x-again", b"x-call-info"}
)
_PLAIN = b"Content-Type: text/plain\r\n"


class _Client:
    """One client connection."""

    __slots__ = (
        "answer", "begun", "cut", "fd", "fresh", "head_at", "heard", "held_up", "opened", "overdue", "owned", "passed",
        "reader", "retired", "sock", "task",
    )  # fmt: skip

    def __init__(self, sock: socket.socket, fresh: bool) -> None:
        self.opened = clock()
        self.fresh = fresh  # nothing was asked on it yet
        self.passed = False  # the successor has it
        self.cut = (
            False  # it ends without another word: the client has gone, or must see that its answer broke off
        )
        self.retired = False  # its place is wanted: it ends unless something was asked on it
        self.overdue = False  # its place is wanted, and its request does not come on
        self.sock = sock
        self.fd = sock.fileno()
        self.reader = http.Reader(limit=http.MAX_BODY_BYTES)
        # When the request under way began, when its head was whole, when the client last gave anything, and for how
        # long it could not because the pool server took nothing.
        self.begun = self.head_at = self.heard = self.held_up = 0
        self.owned = False  # an attempt waits on the socket
        self.task: Task | None = None
        self.answer: Answer | None = None

    def body_by(self) -> int:
        """Until when the next bytes of a body must come."""
        pace = self.reader.received * mi.NS_PER_S // SLOWEST_BODY
        by = min(self.head_at + BODY_SLACK_NS + self.held_up + pace, self.heard + PAUSE_MOST_NS)
        return max(self.begun + REQUEST_NS, by)


class _Passage:
    """A client's side of long messages, for the attempt: see `sidecar.Passage`."""

    __slots__ = ("_chunked", "_client", "_front", "_head", "ended", "fault", "keep", "length")

    def __init__(self, front: HttpFront, client: _Client, head: http.Head) -> None:
        self._front = front
        self._client = client
        self._head = head
        self._chunked = False  # the answer
        self.length = client.reader.length  # of the request's body
        self.ended = not client.reader.long  # is all of it read?
        self.keep = False  # does the connection go on after the answer?
        self.fault: http.Malformed | None = None  # what was wrong with the request's body

    def _wait(self, events: int, deadline: int) -> None:
        """Wait on the client's socket in the place of its own task, which looks for a hang-up otherwise."""
        client = self._client
        client.owned = True
        client.task.wake()
        try:
            self._front.scheduler.wait(client.fd, events, deadline)
        finally:
            client.owned = False
            client.task.wake()

    def read(self, size: int) -> bytes:
        client, reader = self._client, self._client.reader
        if self.ended:
            client.task.wake()  # the answer has a deadline now
            return b""
        now = clock()
        client.held_up += max(0, now - client.heard)  # since the last piece came, others were waited for
        client.heard = now
        try:
            while not (data := reader.take()) and not reader.done:
                try:
                    got = client.sock.recv(size)
                except BlockingIOError:
                    self._wait(READ, client.body_by())
                    continue
                client.heard = clock()
                reader.feed(got) if got else reader.end()
            if reader.done and not data:
                self.ended = True
                reader.finish()
                client.task.wake()
                return http.LAST_CHUNK if self.length is None else b""
        except http.Malformed as fault:
            self.fault = fault
            raise ClientLeft from None
        except TimeoutError:
            self.fault = http.Malformed(408, "the request did not become whole in time")
            raise ClientLeft from None
        except (OSError, http.Truncated):
            raise ClientLeft from None
        return http.chunk(data) if self.length is None else data

    def begin(self, media_type: bytes, length: int | None) -> None:
        self._chunked = length is None and self._head.version == 1
        self.keep = (
            self.ended
            and (length is not None or self._chunked)
            and self._front.keeps(self._client, self._head)
        )
        lines = b"Content-Type: %b\r\n" % media_type if media_type else b""
        if length is not None or self._chunked:
            lines += http.framing(length)
        if not self.keep:
            lines += b"Connection: close\r\n"
        self._client.task.wake()  # it must not wait by the client's patience any more
        if length is None and not self._chunked:
            # Its end is the connection's: should the answer break off, a reset must tell so.
            self._client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._send(b"HTTP/1.1 200 OK\r\n%b\r\n" % lines)

    def write(self, data: bytes) -> None:
        self._send(http.chunk(data) if self._chunked else data)

    def present(self) -> bool:
        poll = select.poll()
        poll.register(self._client.fd, HANG_UP)
        return not poll.poll(0)

    def end(self) -> None:
        if self._chunked:
            self._send(http.LAST_CHUNK)
        self._client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))

    def _send(self, data: bytes) -> None:
        try:
            send_all(self._client.sock, data, lambda: self._wait(WRITE, clock() + STALL_NS))
        except OSError:
            raise ClientLeft from None


class HttpFront:
    """Listens for the application next to this sidecar."""

    def __init__(self, scheduler: Scheduler, sidecar: Sidecar, listen: Address, folder: str = "") -> None:
        """Nothing is opened before `start`. In `folder` an old and a new process meet."""
        self.scheduler = scheduler
        self.sidecar = sidecar
        self.listen = listen
        self.handover = handover.Handover(scheduler, folder, sidecar.config.name, listen)
        self.clients: set[_Client] = set()
        # Those without a request, since when, longest first: the ones that never asked, and the ones between
        # requests.
        self.silent: dict[_Client, int] = {}
        self.idle: dict[_Client, int] = {}
        # Those whose request is not whole yet, since they last gave a byte, longest first.
        self.half: dict[_Client, int] = {}
        self._told_at = 0  # when a failed accept was last logged
        self.stopping = False
        self._last_call = False  # is the grace over?
        self._listener: socket.socket | None = None
        self._begun = self._accepting = False
        self.most = self.many = 0
        self._resize(0)
        self._repeats = {c.name: c.repeat for c in sidecar.settings.classes}

    # ---- life

    def start(self) -> None:
        """Listen; raises `OSError` where the address cannot be had."""
        inherited = self.handover.inherit()
        if inherited is not None:
            self._listener = inherited[0]
            self._resize(max(inherited[1], self.sidecar.config.sockets // 2))
            logger.info("the predecessor's listening socket is shared")
        else:
            # Shared: where a predecessor cannot be spoken with, a new version can still begin beside it.
            self._listener = open_listener(self.listen, self.sidecar.config.sockets, shared=True)
        self.handover.follow(self._adopt, self._resize, self._alone)
        self._begin(inherited is not None)
        self._sweep()

    def _begin(self, beside: bool) -> None:
        """Take connections; beside a predecessor, which goes on taking them, only once they can be served."""
        if beside and not self.sidecar.ready:
            self.scheduler.call_at(clock() + PAUSE_NS, self._begin, beside)
        else:
            self._begun = True
            self._resume_accepting()

    def _alone(self) -> None:
        """There is no predecessor, or no longer: the limits are all this process's, and the next may come."""
        self._resize(0)
        if not self.stopping:
            self.handover.offer(lambda: self._listener, self._held, self._on_successor, self._adopt)

    def _held(self) -> int:
        """About how many descriptors this process has open."""
        return len(self.clients) + self.sidecar.links.open + handover.OWN_DESCRIPTOR_COUNT

    def _resize(self, elsewhere: int) -> None:
        """Size connections for the configured limits, less the descriptors that the other process holds."""
        config = self.sidecar.config
        left = max(config.sockets - elsewhere, config.sockets // 4)
        self.most, self.sidecar.links.most = most_connections(replace(config, sockets=left))
        self.many = min(int(config.sockets * MANY), self.most // 2)
        self._resume_accepting()

    def _on_successor(self) -> None:
        """A successor has come, or gone, or has taken what was on its way to it."""
        self._resize(self.sidecar.config.sockets // 2 if self.handover.has_successor else 0)
        if self.closing:  # it went before it had taken all: those that wait for it end here
            self._wake_idle()
        self._end_if_done()

    def stop(self) -> None:
        """Go on as before for the grace, then take nothing new; the loop ends with the last answer.

        Where a successor listens at the same socket, there is no grace: what comes is the successor's at once.
        """
        if not self.stopping:
            self.stopping = True
            logger.info("stopping: {} requests are in flight", len(self.sidecar.requests))
            if self.handover.has_successor:
                self._close_listener()
            else:
                self.scheduler.call_at(clock() + STOP_GRACE_NS, self._end_resting)

    def _end_resting(self) -> None:
        """The grace is over: each connection ends, the resting ones now, the others with their answer."""
        self._last_call = True
        self._wake_idle()
        wait = 0 if self.handover.has_successor else LAST_CALL_NS
        self.scheduler.call_at(clock() + wait, self._close_listener)

    def _close_listener(self) -> None:
        self._last_call = True
        if self.handover.has_successor:
            self.sidecar.links.stop()
        else:
            while self._accepting and self._accept():  # what the kernel has accepted already is taken
                pass
        self._pause_accepting()
        self._listener.close()
        self._listener = None
        self._wake_idle()
        self._end_if_done()

    def _wake_idle(self) -> None:
        """Have the clients between requests look: they end, or go to the successor."""
        for client in list(self.clients):
            if client.reader.empty and client.task is not None:
                client.task.wake()

    def _end_if_done(self) -> None:
        if self.stopping and self._listener is None and not self.clients and self.handover.idle:
            self.sidecar.stop()
            self.scheduler.stop()

    @property
    def serving(self) -> bool:
        """Does it listen and mean to go on, with a server list to route by?"""
        return self._listener is not None and not self.stopping and self.sidecar.ready

    @property
    def closing(self) -> bool:
        """Is it past the grace, so that connections end with the answer that they wait for?"""
        return self._last_call and not self.handover.has_successor

    @property
    def passing(self) -> bool:
        """Do connections go to the successor, each as soon as nothing is under way on it?"""
        return self.stopping and self.handover.has_successor

    @property
    def crowded(self) -> bool:
        """Do clients hold many connections, on which they ask or have asked?"""
        return len(self.clients) - len(self.silent) > self.many

    # ---- connections

    def _resume_accepting(self) -> None:
        if (
            self._begun
            and self._listener is not None
            and not self._accepting
            and len(self.clients) < self.most
        ):
            self._accepting = True
            self.scheduler.watch(self._listener.fileno(), self._accept)

    def _pause_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            self.scheduler.unwatch(self._listener.fileno())

    def _accept(self) -> bool:
        """Take what has come, never past the bound; true if there may be more."""
        for _ in range(ACCEPTS):
            if len(self.clients) >= self.most:
                # Guards the descriptors: an accept that fails for want of one would spin the loop.
                self._pause_accepting()
                self._make_room()
                return False
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except ConnectionAbortedError:
                continue  # that one client has left again
            except OSError as fault:
                if clock() >= self._told_at + TELL_NS:  # it may go on for long
                    self._told_at = clock()
                    logger.warning("accept failed: {}", fault)
                self._pause_accepting()
                self.scheduler.call_at(clock() + PAUSE_NS, self._resume_accepting)
                return False
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._adopt(sock, True)
        return True

    def _adopt(self, sock: socket.socket, fresh: bool) -> None:
        """Serve a client's connection, on which something was asked before or not."""
        sock.setblocking(False)
        client = _Client(sock, fresh)
        self.clients.add(client)
        client.task = self.scheduler.spawn("client", self._serve, client)

    def _make_room(self) -> None:
        """All places are taken: those that ask nothing give theirs to those that wait outside.

        Guards the usual clients against others that connect and say nothing, or ask once and stay.
        """
        now, retired = clock(), False
        for places, span in (
            (self.silent, SILENT_NS), (self.idle, CROWDED_IDLE_NS), (self.half, HALF_NS)
        ):  # fmt: skip
            retired = retired or self._retire(places, now - span, ACCEPTS)
        if not retired:  # each that ends lets others in; until one does, look again
            self.scheduler.call_at(now + SILENT_NS // 2, self._look_again)

    def _look_again(self) -> None:
        if self._accepting or self._listener is None:
            return
        if len(self.clients) >= self.most:
            self._make_room()
        else:
            self._resume_accepting()

    def _sweep(self) -> None:
        """Guards memory and descriptors: a client that asked once may keep its connection for good."""
        now = clock()
        if self.crowded:
            self._retire(self.idle, now - CROWDED_IDLE_NS, self.most)
        self.scheduler.call_at(now + SWEEP_NS, self._sweep)

    def _retire(self, places: dict[_Client, int], before: int, most: int) -> bool:
        """Have the clients end that have been quiet since `before`, the longest first; true if there are any."""
        old = [t for t, since in itertools.islice(places.items(), most) if since <= before]
        for client in old:
            del places[client]
            client.retired, client.overdue = True, places is self.half
            client.task.wake()
        return bool(old)

    def _serve(self, client: _Client) -> None:
        """One connection's life: request after request, one answer each, and one way to end."""
        try:
            self._part(client, self._converse(client))
        except (OSError, http.Truncated, Cancelled):
            pass  # the client left, or is too slow to matter
        finally:
            if not client.passed:
                client.sock.close()
            self.clients.discard(client)
            self._unlist(client)
            self._resume_accepting()
            self._end_if_done()

    def _unlist(self, client: _Client) -> None:
        for places in (self.silent, self.idle, self.half):
            places.pop(client, None)

    def _converse(self, client: _Client) -> int:
        """Answer what is asked until the connection is to end; how long (ns) the client may take for its part."""
        first = client.fresh
        try:
            while True:
                message = self._read(client, first)
                if message is None or not self._exchange(client, message):
                    sending = client.reader.head is not None and not client.overdue
                    return UNREAD_NS if sending else PART_NS
                first = False
        except http.Malformed as fault:
            # What is no request is answered; what follows on it could be read as anything.
            status, reason = fault.status, str(fault)
        except (OSError, http.Truncated, Cancelled):
            raise
        except Exception:
            # Guards the process and the request: whatever goes wrong here ends as a 500 for it alone.
            logger.exception("a client's request failed")
            status, reason = 500, "internal error"
        self._write(client, http.response(status, reason.encode() + b"\n", _PLAIN, close=True))
        return PART_NS

    def _part(self, client: _Client, ns: int) -> None:
        """The one way to end a connection: shut the sending side, read and drop to its end or a bound, close.

        A close over unread bytes would reset the last answer away. What is read here came after the shutdown: it is
        never sent on, and the client, which sees the end, asks again elsewhere.
        """
        self._unlist(client)
        if client.passed or client.cut:
            return
        client.sock.shutdown(socket.SHUT_WR)
        deadline = clock() + ns
        for _ in range(2 * http.MAX_BODY_BYTES // RECEIVE):
            self.scheduler.wait(client.fd, READ, deadline)
            with suppress(BlockingIOError):
                if not client.sock.recv(RECEIVE):
                    return

    def _read(self, client: _Client, first: bool) -> http.Message | None:
        """The next request; None when the connection is over."""
        reader = client.reader
        begun, continued, leave_at, over = not reader.empty, False, 0, False
        message = reader.feed(b"") if begun else None
        begun = begun and not reader.empty
        if message is None and not begun:
            (self.silent if first else self.idle)[client] = clock()
        # Guards against clients that say nothing, or begin a request and never end it: they hold a place.
        deadline = client.opened + REQUEST_NS if first else clock() + (REQUEST_NS if begun else IDLE_NS)
        client.begun, client.head_at, client.held_up = deadline - REQUEST_NS, 0, 0
        while message is None:
            if self.passing and reader.empty:
                client.passed = True
                self.handover.pass_on(client.sock, first)
                return None
            if client.overdue and not reader.empty:
                return None
            if (self.closing or client.retired) and reader.empty:
                # A request that crosses the end of the grace on its way is still taken.
                leave_at = leave_at or clock() + (0 if client.retired else LINGER_NS)
                deadline = min(deadline, leave_at)
            head = reader.head
            if (
                head is not None
                and not continued
                and head.fields.get(b"expect", b"").lower() == b"100-continue"
            ):
                continued = True
                self._write(client, b"HTTP/1.1 100 Continue\r\n\r\n")
            if head is not None:
                if not client.head_at:
                    client.head_at = client.heard = clock()
                if reader.long:
                    self.half.pop(client, None)
                    return http.Message(head, b"")  # its body is passed on while it comes
                deadline = client.body_by()
            try:
                try:
                    self.scheduler.wait(client.fd, READ, deadline)
                except TimeoutError:
                    if not reader.empty:
                        raise http.Malformed(408, "the request did not become whole in time") from None
                    # What came in this very moment is served: it was there before the connection is shut.
                    over = True
                data = client.sock.recv(RECEIVE)
            except BlockingIOError:
                if over and reader.empty:
                    return None
                continue
            client.heard = now = clock()
            if not begun:
                begun = True
                (self.silent if first else self.idle).pop(client, None)
                if not first:
                    deadline = now + REQUEST_NS
                    client.begun = now
            message = reader.feed(data) if data else reader.end()
            self.half.pop(client, None)
            if message is None:
                if not data:
                    client.cut = True
                    return None
                self.half[client] = client.heard
        return message

    def _write(self, client: _Client, data: bytes) -> None:
        """Write it all, however slowly it is taken; raises `TimeoutError` where nothing is for `STALL_NS`."""
        send_all(client.sock, data, lambda: self.scheduler.wait(client.fd, WRITE, clock() + STALL_NS))

    # ---- requests

    def _exchange(self, client: _Client, message: http.Message) -> bool:
        """Answer one request; false when the connection ends with it."""
        head = message.head
        arrived = clock()
        if head.target == b"/_health":
            if head.method not in (b"GET", b"HEAD") or client.reader.long:
                raise http.Malformed(405, "GET only")
            status, keep = 200 if self.sidecar.ready else 503, self.keeps(client, head)
            self._write(client, http.response(status, b"", _PLAIN, close=not keep))
            return keep
        passage = _Passage(self, client, head)
        request = self._request(client, message, arrived, passage)
        client.answer = None
        if not self.sidecar.submit(request):
            if not passage.ended:
                raise http.Malformed(409, "this call id is in flight")
            keep = self.keeps(client, head)
            self._write(client, http.response(409, b"this call id is in flight\n", _PLAIN, close=not keep))
            return keep
        if not self._await_answer(client, request):
            client.cut = True
            return False
        if passage.fault is not None and not request.begun:
            raise passage.fault
        if client.answer.passed:
            client.cut = client.answer.ending is not Ending.SERVED
            return passage.keep and not client.cut
        keep = passage.ended and self.keeps(client, head)
        self._write(client, _answer_bytes(client.answer, close=not keep))
        return keep

    def keeps(self, client: _Client, head: http.Head) -> bool:
        """Does the connection go on after this request's answer?

        Guards clients whose share of connections is full of kept ones, on which nobody asks again: where they
        hold many, a connection ends with its answer, whatever was asked.
        """
        return head.keeps_alive and not (self.closing or self.crowded or client.retired)

    def _await_answer(self, client: _Client, request: ClientRequest) -> bool:
        """Wait for the core, and see it when the client hangs up meanwhile; false if it did."""
        events = READ
        try:
            while client.answer is None:
                try:
                    if client.owned:
                        self.scheduler.wait(-1, 0, None)
                        continue
                    busy = not request.whole or request.begun  # the attempt reads or writes there
                    events = HANG_UP if busy else events
                    seen = self.scheduler.wait(client.fd, events, request.deadline)
                    if seen and not seen & HANG_UP and client.sock.recv(1, socket.MSG_PEEK):
                        # An early next request stays in the kernel until this one is answered.
                        events = HANG_UP
                    elif seen:
                        self.sidecar.hang_up(request)
                        return False
                except BlockingIOError:
                    continue
                except TimeoutError:
                    self.sidecar.expire(request)
        except BaseException:
            self.sidecar.hang_up(request)
            raise
        return client.answer is not None

    def _request(
        self, client: _Client, message: http.Message, arrived: int, passage: _Passage
    ) -> ClientRequest:
        """Read the platform's headers."""
        head = message.head
        fields = head.fields
        if len(head.target) > LONGEST_TARGET:
            raise http.Malformed(414, "the path is too long")
        place = _TARGET.match(head.target)
        if place is None:
            raise http.Malformed(404, "no such path")
        if head.method not in (b"GET", b"POST"):
            raise http.Malformed(405, "GET or POST only")
        if head.repeated & _ONCE:
            raise http.Malformed(400, "a platform header stands twice")
        call_id, name = fields.get(b"x-call-id", b""), fields.get(b"x-call-class", b"")
        budget = fields.get(b"x-budget", b"")
        if not _ID.match(call_id) or not _ID.match(name):
            raise http.Malformed(400, "X-Call-Id and X-Call-Class are needed")
        patience = _BUDGET.match(budget)
        if patience is None:
            raise http.Malformed(400, "X-Budget is needed: a number and m or u")
        tenant = fields.get(b"x-caller")
        if (tenant is None and self.sidecar.settings.tenants) or (
            tenant is not None and not _ID.match(tenant)
        ):
            raise http.Malformed(400, "X-Caller is needed")
        class_name = name.decode("latin-1")
        if class_name not in self._repeats:
            # Guards the pool servers' standing: they answer what they do not know with errors.
            raise http.Malformed(400, "no such class")
        repeat = self._repeats[class_name]
        wanted = _METHODS.get(repeat, head.method)
        if head.method != wanted:
            raise http.Malformed(405, "the class decides the method")
        if repeat is mi.Repeat.KEYED and not fields.get(b"idempotency-key"):
            raise http.Malformed(400, "Idempotency-Key is needed")
        budget_ns = min(int(float(patience[1]) * _UNIT_NS[patience[2]]), LONGEST_BUDGET_NS)
        further = _further(fields.get(b"x-call-info"))
        lines, body, long = head.passed_on(_REPLACED), message.body, not passage.ended

        def encode(left_ns: int) -> bytes:
            left = b"X-Budget: %dm\r\n" % max(1, left_ns // mi.NS_PER_MS)
            if long:
                framing = http.framing(passage.length)
                return b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (head.method, head.target, lines, left, framing)
            return http.request(head.method, head.target, lines + left, body)

        def deliver(answer: Answer) -> None:
            client.answer = answer
            if client.task is not self.scheduler.current:
                client.task.wake()

        return ClientRequest(
            call_id.decode("latin-1"),
            class_name,
            arrived + budget_ns,
            encode,
            deliver,
            passage,
            long=long,
            budget_ns=budget_ns,
            key=None if place[1] is None else place[1].decode("latin-1"),
            tenant=None if tenant is None else tenant.decode("latin-1"),
            retry=fields.get(b"x-again") == b"1",
            work_hint_ns=further.get("predicted_ns", 0),
            write=bool(further.get("update", 0)),
        )


def _further(text: bytes | None) -> dict[str, int]:
    """`name=value,name=value`: whole numbers, others are not ours to read."""
    further: dict[str, int] = {}
    for pair in (text or b"").split(b","):
        name, _, value = pair.strip().partition(b"=")
        if value.isdigit() and len(value) < 19:
            further[name.decode("latin-1")] = int(value)
    return further


def _answer_bytes(answer: Answer, close: bool) -> bytes:
    if answer.ending is Ending.SERVED:
        lines = b"Content-Type: %b\r\n" % answer.media_type if answer.media_type else b""
        return http.response(200, answer.body, lines, close)
    if answer.ending is Ending.REFUSED:
        lines = _PLAIN
        if answer.retry_after_ns:
            lines += b"Retry-After: %.3f\r\n" % (answer.retry_after_ns / mi.NS_PER_S)
        return http.response(503, b"short on capacity\n", lines, close)
    status = 500 if answer.fault else 504 if answer.late else 502
    return http.response(status, b"failed\n", _PLAIN, close)
