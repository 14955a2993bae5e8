"""The handling of one client request, from its arrival to the end of its response."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

from iristrack.dataplane.attempts import (
    Attempt,
    AttemptFailed,
    DeadlinePassed,
    NotBegunInTime,
    ResponseClass,
    SendForbidden,
    classify_response,
)
from iristrack.dataplane.client_response import ClientResponse
from iristrack.dataplane.clients import ClientConnection, ClientDisconnected
from iristrack.dataplane.events import Event, EventSplitter, EventTooLarge
from iristrack.dataplane.lateness import RequestTiming
from iristrack.dataplane.older_weights import BegunRequest
from iristrack.dataplane.prompt_parts import CacheUse, PromptParts
from iristrack.dataplane.requests import ClientRequest, Rejected, client_timeout_ms, read_request
from iristrack.dataplane.state import PlaneState
from iristrack.http1 import messages as http
from iristrack.http1.messages import header_text
from iristrack.placement.choice import choose_server, chunks_to_prefill
from iristrack.placement.engines import servers_with_model
from iristrack.placement.servers import Server
from iristrack.runtime.scheduler import clock

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
RETRY_AFTER_S = 0.4  # sent to a client whose request was not executed
RETRY_AFTER_LINE = b"Retry-After: %.3f\r\n" % RETRY_AFTER_S
# A server counts as failed if it has sent no response head for this long when the client leaves or times out.
SERVER_SILENCE_NS = 1500 * NS_PER_MS
MIN_TIME_LEFT_NS = 20 * NS_PER_MS  # a request with less time left is not sent to a server
MAX_SHORT_OUTPUT_TOKENS = 32  # a longer output is not sent to a server that is about to load new weights
MAX_BUFFERED_BODY_BYTES = 256 * 1024  # a longer body is streamed to the client


class Exchange:
    """Choose a server, forward its response, and retry on another server where that is allowed."""

    def __init__(
        self, plane: PlaneState, client: ClientConnection, request: ClientRequest, keep_alive: bool
    ) -> None:
        """`keep_alive`: whether the client's connection is kept open after the response."""
        self.plane = plane
        self.client = client
        self.request = request
        self.response = ClientResponse(client, keep_alive, request.minor_version)
        self.tried_servers: list[Server] = []  # servers to which the request was sent
        self.excluded_instances: set[str] = set()
        self.may_have_run = False
        self.last_event_id = request.last_event_id
        self.resume_point_lost = False  # the last data forwarded to the client had no event id
        self.service = self._pick_service()
        self.prompt = PromptParts(plane, request, self.service)
        self.timing = RequestTiming(request.arrived_at, clock())
        self._canary_loaded = False  # the attempt was sent while a rollout put load on its canary servers
        self._pending_chunks: int = 0  # prompt chunks that the attempt's server has yet to prefill

    def _pick_service(self) -> str:
        targets = self.request.route.targets
        if len(targets) == 1:
            return targets[0].target
        return self.plane.rng.choices(targets, [target.share for target in targets])[0].target

    # ---- the request as a whole

    def run(self) -> None:
        """Respond to the request, whatever the outcome."""
        counters = self.plane.counters
        counters.requests += 1
        self.plane.retry_budget(self.service).earn()
        try:
            self._run()
        except ClientDisconnected:
            counters.client_left += 1
            self.client.disconnected = True
        except DeadlinePassed:
            counters.failed += 1
            self._send_error(504, b"the time is over\n")

    def _run(self) -> None:
        while True:
            server = self._next_server()
            if server is None:
                self._give_up()
                return
            if self._attempt(server):
                self.plane.counters.served += 1
                self.plane.late_counts.count(self.timing.reason(self.request.route))
                return

    def _next_server(self) -> Server | None:
        """Return the server for the next attempt; None if there is none or the request may not be sent again."""
        now = clock()
        self.prompt.clear_lookups()
        if self.may_have_run and not self.request.idempotent:
            return None
        if self.resume_point_lost:
            return None  # another server would repeat the data that has no id
        if self.request.attempt_deadline - now < MIN_TIME_LEFT_NS or not self._may_send():
            return None
        if len(self.tried_servers) >= self.request.route.max_tries:
            return None
        server = self._choose_server(now)
        if server is not None and self.tried_servers and not self.plane.retry_budget(self.service).spend():
            return None
        return server

    def _may_send(self) -> bool:
        """Return whether the API key, where one is needed, is still covered by the key lease."""
        return not self.request.needs_key or self.plane.key_lease.is_valid(clock())

    def _give_up(self) -> None:
        if self.response.begun:
            self.response.abort()
        elif self.may_have_run:
            self.plane.counters.failed += 1
            self._send_error(502, b"the server broke off\n")
        else:
            self.plane.counters.refused += 1
            self.response.send(503, b"not run: no server can take it now\n", RETRY_AFTER_LINE)

    def _send_error(self, status: int, body: bytes) -> None:
        if self.response.begun:
            self.response.abort()
        else:
            self.response.send(status, body, b"")

    # ---- choice of a server

    def _choose_server(self, now: int) -> Server | None:
        all_servers = self.plane.servers.of_service(self.service)
        allowed_servers = self.plane.rollouts.allowed_servers(
            self.service, all_servers, bool(self.tried_servers), now, self.plane.rng
        )
        usable = [
            s for s in allowed_servers if s.usable(now) and s.instance_id not in self.excluded_instances
        ]
        usable = [s for s in usable if not s.ejected] or usable
        model = self.request.model
        if model is not None:
            usable = servers_with_model(usable, model, self.plane.required_revision(model, now))
        if self.request.output_tokens > MAX_SHORT_OUTPUT_TOKENS:
            usable = [s for s in usable if not s.preparing] or usable
        return choose_server(usable, self.request.key, self.prompt.prefill_estimate, self.plane.rng)

    # ---- one attempt

    def _attempt(self, server: Server) -> bool:
        """Send the request to a server and forward the response; return False where a retry may follow."""
        plane, request = self.plane, self.request
        attempt = Attempt(plane.scheduler, plane.links, server, self.client, request.attempt_deadline)
        if self.tried_servers:
            plane.counters.retries += 1
        cache = self.prompt.cache_use(server)
        if cache is not None:
            attempt.begin_by = partial(plane.begin_by, request.model, cache.revision)
        started_at = clock()
        self._canary_loaded = plane.rollouts.is_canary_loaded(self.service)
        self._pending_chunks = chunks_to_prefill(self.prompt.prefill_estimate(server))
        fetches = cache is not None and cache.fetch_from is not None
        self.timing.record_sent(started_at, self._pending_chunks, server.load, fetches)
        server.began(self._pending_chunks)
        self.prompt.begin_prefill(server)
        try:
            attempt.send(self._encode_request(server, cache), partial(self._may_send_to, cache))
            return self._handle_response(attempt, server, cache)
        except NotBegunInTime:
            self.plane.older_weights.cancelled_count += 1
            self.excluded_instances.add(server.instance_id)
            self.may_have_run = True
            return False
        except AttemptFailed as failure:
            self._note_failure(server, failure)
            return False
        except SendForbidden:
            return False
        except (ClientDisconnected, DeadlinePassed):
            if attempt.head is None and clock() - started_at > SERVER_SILENCE_NS:
                server.failed(clock())  # the server was silent until the client gave up
                self.plane.rollouts.failed(server, request.route.label)
            raise
        except (EventTooLarge, http.Malformed) as error:
            self._note_failure(server, AttemptFailed(str(error), may_have_run=True))
            return False
        finally:
            if attempt.written:
                self.tried_servers.append(server)
            self._note_prefill_done(server)
            if cache is not None:
                self.prompt.end_prefill(server, cache.salt)
            server.ended()
            attempt.close()

    def _may_send_to(self, cache: CacheUse | None) -> bool:
        """Return whether the request may be sent now, to a server on the expected weights."""
        if not self._may_send():
            return False
        return cache is None or cache.revision >= self.plane.required_revision(self.request.model, clock())

    def _note_prefill_done(self, server: Server) -> None:
        """Record that the prompt was read, or that the attempt is over."""
        server.prefill_finished(self._pending_chunks)
        self._pending_chunks = 0

    def _note_failure(self, server: Server, failure: AttemptFailed) -> None:
        self.plane.rollouts.failed(server, self.request.route.label)
        self.excluded_instances.add(server.instance_id)
        self.may_have_run = self.may_have_run or failure.may_have_run
        server.failed(clock())
        self.plane.links.close_idle(server.instance_id)

    def _encode_request(self, server: Server, cache: CacheUse | None) -> bytes:
        request = self.request
        left_ms = max(1, (request.attempt_deadline - clock()) // NS_PER_MS)
        parts = [
            request.header_lines,
            b"X-Iristrack-Time-Left-Ms: %d\r\n" % left_ms,
            b"X-Iristrack-Expect-Instance: %b\r\n" % server.instance_id.encode("latin-1"),
            b"Priority: %d\r\n" % max(0, min(9, request.priority)),
        ]
        if request.tenant is not None:
            parts.append(b"X-Iristrack-Tenant: %b\r\n" % header_text(request.tenant.label))
        if self.last_event_id is not None:
            parts.append(b"Last-Event-Id: %d\r\n" % self.last_event_id)
        if cache is not None:
            parts.append(cache.header_lines())
        return http.request(request.method, request.target, b"".join(parts), request.body)

    def _handle_response(self, attempt: Attempt, server: Server, cache: CacheUse | None) -> bool:
        request = self.request
        head = attempt.read_head(request.attempt_id)
        response_class = classify_response(head)
        if response_class is ResponseClass.NOT_EXECUTED:
            self._discard_body(attempt)
            self._note_rejection(server, head)
            return False
        if response_class is ResponseClass.UNKNOWN:
            raise AttemptFailed(
                f"status {head.status} without the not-executed or the seal header", may_have_run=True
            )
        if request.model is not None and cache is not None:
            self.plane.older_weights.record_begun(
                BegunRequest(server.instance_id, request.model, cache.revision, attempt.sent_at, clock())
            )
        self._learn_revision(server, head)
        if response_class is ResponseClass.FAILURE:
            if head.status >= 500:
                server.outcomes.failed(clock())
                self.plane.rollouts.failed(server, request.route.label)
            self._forward_body(attempt)
            return True
        if request.model is not None and cache is not None and request.parts:
            self.plane.index.record_sent(server.address, cache.salt, request.model, request.parts, clock())
            self.prompt.end_prefill(server, cache.salt)
        if request.streaming:
            self._forward_events(attempt, server)
        else:
            self._forward_body(attempt)
        server.succeeded(clock())
        times = self.timing.times()
        if times is not None:
            self.plane.rollouts.answered(server, request.route.label, times, self._canary_loaded)
        attempt.finish()
        return True

    @staticmethod
    def _discard_body(attempt: Attempt) -> None:
        """Read a response that is not forwarded to its end, so that the connection can be reused."""
        try:
            for _ in attempt.read_body():
                pass
        except AttemptFailed:
            attempt.close()  # a head with "not executed" counts even if the body is cut off
            return
        attempt.finish()

    def _note_rejection(self, server: Server, head: http.Head) -> None:
        """Record a rejection: the server is full, is another instance, or has other weights."""
        self.excluded_instances.add(server.instance_id)
        self._learn_revision(server, head)
        server.rejected(clock())

    def _learn_revision(self, server: Server, head: http.Head) -> None:
        reported_revision = head.fields.get(b"versions", b"")
        if reported_revision.isdigit() and self.request.model is not None:
            server.record_revision(self.request.model, int(reported_revision))

    # ---- forwarding

    def _forward_body(self, attempt: Attempt) -> None:
        """Forward a response that is no event stream: a short one at once, a longer one in pieces."""
        body = bytearray()
        pieces = attempt.read_body()
        for piece in pieces:
            body += piece
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                self._stream_body(attempt, bytes(body), pieces)
                return
        head = attempt.head
        self.timing.record_output(clock())
        attempt.finish()
        if self.response.begun:  # an event stream was resumed on this server, which returned an error
            self.response.abort()
            return
        self.response.send(head.status, bytes(body), head.passed_on(frozenset()))

    def _stream_body(self, attempt: Attempt, first: bytes, pieces) -> None:
        if self.response.begun:  # an event stream was resumed on this server, which returned an error
            self.response.abort()
            return
        self.response.begin(attempt.head)
        try:
            self.response.write(first)
            for piece in pieces:
                self.response.write(piece)
        except (AttemptFailed, DeadlinePassed):
            self.response.abort()
            return
        self.response.end()

    def _forward_events(self, attempt: Attempt, server: Server) -> None:
        """Forward complete events as they arrive, without those the client has from an earlier attempt."""
        splitter = EventSplitter()
        first = True
        for piece in attempt.read_body():
            self._note_prefill_done(server)
            events = splitter.feed(piece)
            new_events = [event for event in events if self._is_new(event.id)]
            data = b"".join(event.data for event in new_events)
            for event in events:
                if event.revision is not None and self.request.model is not None:
                    server.record_revision(self.request.model, event.revision)
            if not data:
                continue
            if first and not self.response.begun:
                self.response.begin(attempt.head)
            first = False
            self.timing.record_output(clock())
            self.response.write(data)
            self._note_forwarded(new_events)
        if splitter.remainder:
            raise AttemptFailed("the stream ends inside an event", may_have_run=True)
        if not self.response.begun:
            self.response.begin(attempt.head)
        self.response.end()

    def _note_forwarded(self, events: list[Event]) -> None:
        """Update the point at which another server would resume, after these events went to the client."""
        for event in events:
            if event.id is not None:
                self.last_event_id = event.id
                self.resume_point_lost = False
            elif event.is_data_without_id:
                self.resume_point_lost = True

    def _is_new(self, event_id: int | None) -> bool:
        return event_id is None or self.last_event_id is None or event_id > self.last_event_id


def _wait_for_startup(plane: PlaneState, client: ClientConnection, message: http.Message) -> None:
    """Wait until the process can serve; an unreadable timeout is rejected later, by `read_request`."""
    with suppress(Rejected):
        plane.startup_gate.wait(client, int(client_timeout_ms(message.head.fields) * NS_PER_MS))


def handle_request(
    plane: PlaneState, client: ClientConnection, message: http.Message, arrived_at: int
) -> bool:
    """Respond to one request; return whether the client's connection is kept open."""
    keep_alive = message.head.keeps_alive and not plane.draining and not client.listener.closing
    if not plane.startup_gate.open:
        _wait_for_startup(plane, client, message)
    if plane.active is None:
        client.write(http.response(503, b"no configuration yet\n", b"Retry-After: 0.5\r\n", close=True))
        return False
    try:
        request = read_request(plane.active, message, arrived_at, plane.key_lease.is_valid(clock()))
    except Rejected as rejection:
        # After a malformed request the bytes that follow cannot be trusted.
        keep_alive = keep_alive and rejection.status != 400
        lines = RETRY_AFTER_LINE if rejection.status == 503 else b""
        client.write(
            http.response(rejection.status, rejection.reason.encode() + b"\n", lines, close=not keep_alive)
        )
        return keep_alive
    exchange = Exchange(plane, client, request, keep_alive)
    exchange.run()
    return exchange.response.keep_alive and not client.reset_on_close and not client.disconnected
