"""Reading a client's request: its route, its tenant and the headers that describe its prompt."""

from __future__ import annotations

import re
from dataclasses import dataclass

from iristrack.configuration.model import Route, RouteKind, Tenant
from iristrack.dataplane.events import MAX_ID_DIGITS
from iristrack.dataplane.state import ActiveConfiguration
from iristrack.http1 import messages as http
from iristrack.prefix_index.parts import MalformedPrefix, Part, parse_prefix

NS_PER_MS = 1_000_000
MAX_CLIENT_TIMEOUT_MS = 3_600_000.0
DEFAULT_CLIENT_TIMEOUT_MS = 30_000.0  # for a client that sends no timeout
DEFAULT_PRIORITY = 5
KEYS_UNCONFIRMED_REASON = "not run: the keys that are in force could not be confirmed lately"

_ATTEMPT_ID = re.compile(rb"[\x21-\x7e]{1,200}\Z")
_NUMBER = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,40})?\Z")
_TOKENS = re.compile(rb"([0-9]{1,9})(?:[ \t]*,[ \t]*([0-9]{1,9}))?\Z")
REPLACED_HEADERS = frozenset(
    {
        b"x-iristrack-time-left-ms", b"x-iristrack-tenant", b"x-iristrack-expect-instance", b"expect-version",
        b"cache-salt", b"kv-fetch", b"kv-save", b"priority", b"last-event-id",
    }
)  # fmt: skip
_SINGLE_HEADERS = frozenset(
    {b"x-iristrack-attempt-id", b"x-iristrack-time-left-ms", b"host", b"authorization"}
)


class Rejected(Exception):
    """A request that is answered at once, without being sent to a server."""

    def __init__(self, status: int, reason: str) -> None:
        """`reason` is the human-readable response body."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True)
class ClientRequest:
    """One parsed request. Times are in ns of the scheduler's clock."""

    attempt_id: bytes
    method: bytes
    target: bytes
    header_lines: bytes  # header lines that are forwarded unchanged
    body: bytes
    route: Route
    tenant: Tenant | None
    arrived_at: int
    client_deadline: int  # when the client stops waiting
    attempt_deadline: int  # the earlier of the client's and the route's timeout
    model: str | None
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    last_event_id: int | None
    needs_key: bool  # it may be sent only while the key lease is valid
    keeps_alive: bool
    minor_version: int  # of HTTP/1

    @property
    def streaming(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.route.kind is RouteKind.SAFE or (self.streaming and self.route.resumable)

    @property
    def priority(self) -> int:
        """The priority sent to servers; 0 is the highest."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @property
    def key(self) -> str | None:
        """The prompt-prefix key: the id of the last part shared with other requests, or of the only part."""
        if not self.parts:
            return None
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[0].id

    @property
    def memory_tokens(self) -> int:
        """The cache memory, in tokens, that the prompt and the complete output take at a server."""
        return self.prompt_tokens + self.output_tokens


def read_request(
    active: ActiveConfiguration, message: http.Message, arrived_at: int, keys_hold: bool = True
) -> ClientRequest:
    """Parse a complete request; raises `Rejected`, also if it needs a key while the known keys may be outdated."""
    head = message.head
    fields = head.fields
    if head.repeated & _SINGLE_HEADERS:
        raise Rejected(400, "a header that may stand once stands twice")
    route = _route(active, head)
    needs_key = active.tenants.required and not route.public
    if needs_key and not keys_hold:
        raise Rejected(503, KEYS_UNCONFIRMED_REASON)
    tenant = _tenant(active, route, fields)
    attempt_id = fields.get(b"x-iristrack-attempt-id", b"")
    if not _ATTEMPT_ID.match(attempt_id):
        raise Rejected(400, "X-Iristrack-Attempt-Id is needed")
    client_timeout_ns = int(client_timeout_ms(fields) * NS_PER_MS)
    timeout_ns = min(client_timeout_ns, int(route.timeout_ms * NS_PER_MS))
    prompt_tokens, output_tokens = _tokens(fields)
    hidden = REPLACED_HEADERS | {b"authorization"} if active.tenants.required else REPLACED_HEADERS
    return ClientRequest(
        attempt_id=attempt_id,
        method=head.method,
        target=head.target,
        header_lines=head.passed_on(hidden),
        body=message.body,
        route=route,
        tenant=tenant,
        arrived_at=arrived_at,
        client_deadline=arrived_at + client_timeout_ns,
        attempt_deadline=arrived_at + timeout_ns,
        model=_text(fields.get(b"x-iristrack-model")),
        parts=_parts(fields),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        last_event_id=_last_event_id(fields),
        needs_key=needs_key,
        keeps_alive=head.keeps_alive,
        minor_version=head.version,
    )


def _route(active: ActiveConfiguration, head: http.Head) -> Route:
    host = head.fields.get(b"host", b"").decode("latin-1")
    path = head.target.partition(b"?")[0].decode("latin-1")
    route = active.routes.match(host, path)
    if route is None:
        raise Rejected(404, "no route")
    return route


def _tenant(active: ActiveConfiguration, route: Route, fields: dict[bytes, bytes]) -> Tenant | None:
    if not active.tenants.required:
        return None
    scheme, _, key = fields.get(b"authorization", b"").partition(b" ")
    tenant = active.tenants.holder(_key_text(key.strip())) if scheme.lower() == b"bearer" else None
    if tenant is None and not route.public:
        raise Rejected(401, "an unknown key")
    return tenant


def _key_text(key: bytes) -> str:
    """Decode a key as UTF-8, the encoding of the configuration, or else as Latin-1."""
    try:
        return key.decode("utf-8")
    except UnicodeDecodeError:
        return key.decode("latin-1")


def client_timeout_ms(fields: dict[bytes, bytes]) -> float:
    """Return how long the client waits (ms); raises `Rejected` if the header is malformed."""
    value = fields.get(b"x-iristrack-time-left-ms")
    if value is None:
        return DEFAULT_CLIENT_TIMEOUT_MS
    if not _NUMBER.match(value):
        raise Rejected(400, "X-Iristrack-Time-Left-Ms is no number")
    return min(float(value), MAX_CLIENT_TIMEOUT_MS)


def _tokens(fields: dict[bytes, bytes]) -> tuple[int, int]:
    match = _TOKENS.match(fields.get(b"x-iristrack-token-count", b""))
    if match is None:
        return 0, 0
    return int(match[1]), int(match[2] or 0)


def _parts(fields: dict[bytes, bytes]) -> tuple[Part, ...]:
    try:
        return parse_prefix(fields.get(b"x-iristrack-prompt-prefix", b""))
    except MalformedPrefix:
        return ()  # routed like a request without a prompt key; the server validates the header


def _last_event_id(fields: dict[bytes, bytes]) -> int | None:
    value = fields.get(b"last-event-id", b"")
    return int(value) if value.isdigit() and len(value) <= MAX_ID_DIGITS else None


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
