"""Random sequences of faulty responses: none reaches another client, and no unsafe request runs twice."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from iristrack.http1 import messages as http
from tests.dataplane.harness import (
    NOT_EXECUTED,
    SEAL_LINE,
    Client,
    Received,
    ServerExchange,
    client_request,
    make_harness,
)

SERVER_COUNT = 3
FOREIGN_BODY = b"for somebody else"


def response_to(attempt_id: bytes, body: bytes | None = None) -> bytes:
    lines = SEAL_LINE + b"X-Iristrack-Attempt-Id: %b\r\n" % attempt_id
    return http.response(200, attempt_id if body is None else body, lines)


class ModelServers:
    """Respond to each request as scripted, and normally once the script has ended."""

    def __init__(self) -> None:
        self.script: list[str] = []
        self.runs: Counter[bytes] = Counter()
        self.ids_by_connection: dict[object, list[bytes]] = {}  # ids of earlier requests, by connection

    def answer(self, exchange: ServerExchange) -> None:
        behaviour = self.script.pop(0) if self.script else "normal"
        earlier = self.ids_by_connection.setdefault(exchange.sock, [])
        if behaviour == "rejected":
            lines = NOT_EXECUTED + b"X-Iristrack-Attempt-Id: %b\r\n" % exchange.id
            exchange.send(http.response(503, b"full", lines))
        else:
            self.runs[exchange.id] += 1
            getattr(self, f"_{behaviour}")(exchange, earlier)
        earlier.append(exchange.id)

    def _normal(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(response_to(exchange.id))

    def _duplicated(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(response_to(exchange.id) * 2)

    def _unrequested(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(response_to(exchange.id))
        exchange.send(http.response(200, FOREIGN_BODY, SEAL_LINE))

    def _late(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        """Send a late response to the connection's previous request before this one's."""
        late = response_to(earlier[-1]) if earlier else b""
        exchange.send(late + response_to(exchange.id))

    def _without_id(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        """Send a response without an id; on a reused connection it cannot be attributed to a request."""
        body = FOREIGN_BODY if earlier else exchange.id
        exchange.send(http.response(200, body, SEAL_LINE))

    def _wrong_id(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(response_to(b"never-asked", FOREIGN_BODY) + response_to(exchange.id))

    def _truncated(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(response_to(exchange.id)[:-2])
        exchange.close()

    def _reset(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.reset()

    def _malformed(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(b"HTTP/1.1 maybe\r\n\r\n")


BEHAVIOURS = st.lists(
    st.sampled_from(
        [
            "normal",
            "duplicated",
            "unrequested",
            "late",
            "without_id",
            "wrong_id",
            "truncated",
            "reset",
            "malformed",
            "rejected",
        ]
    ),
    min_size=1,
    max_size=3,
)


class Connections(RuleBasedStateMachine):
    """Clients on kept and new connections, and servers with random response behaviours."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = make_harness()
        self.servers = ModelServers()
        for _ in range(SERVER_COUNT):
            self.harness.serve(self.servers.answer)
        self.request_count = 0
        self.unsafe: set[bytes] = set()
        self.kept: Client | None = None

    @rule(prefix=st.sampled_from(["safe", "unsafe"]), behaviours=BEHAVIOURS, keep=st.booleans())
    def ask(self, prefix: str, behaviours: list[str], keep: bool) -> None:
        self.request_count += 1
        attempt_id = f"a{self.request_count}"
        if prefix == "unsafe":
            self.unsafe.add(attempt_id.encode())
        self.servers.script = behaviours
        received = self._exchange(client_request(prefix, attempt_id), keep)
        if received.complete and received.status == 200:
            assert received.body == attempt_id.encode()
        if received.complete and received.status in (408, 421, 429, 503):
            assert not self.servers.runs[attempt_id.encode()]

    def _exchange(self, request: bytes, keep: bool) -> Received:
        def call() -> Received:
            client = (self.kept if keep else None) or Client(self.harness)
            client.send(request)
            received = client.receive()
            self.kept = client if keep and received.end == "open" else None
            return received

        (received,) = self.harness.run(call)
        return received

    @rule()
    def end_backoff(self) -> None:
        """Let the time pass after which failed servers are used again."""
        for server in self.harness.plane.servers.servers.values():
            server.avoid_until = 0

    @invariant()
    def nothing_unsafe_runs_twice(self) -> None:
        assert all(self.servers.runs[attempt_id] <= 1 for attempt_id in self.unsafe)

    def teardown(self) -> None:
        self.harness.listener.stop_accepting()
        for server in self.harness.servers.values():
            server.stop()
        assert not self.harness.failures, "\n".join(self.harness.failures)


TestConnections = Connections.TestCase
TestConnections.settings = settings(max_examples=60, stateful_step_count=14, deadline=None, derandomize=True)
