"""Any series of late, doubled, unnamed and cut answers: none goes to another caller, nothing unsafe runs twice."""

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

SERVERS = 3
STRANGER = b"for somebody else"


def named(attempt_id: bytes, body: bytes | None = None) -> bytes:
    lines = SEAL_LINE + b"X-Iristrack-Attempt-Id: %b\r\n" % attempt_id
    return http.response(200, attempt_id if body is None else body, lines)


class ModelServers:
    """Answers each request as the script says next, soundly when it says nothing more."""

    def __init__(self) -> None:
        self.script: list[str] = []
        self.runs: Counter[bytes] = Counter()
        self.carried: dict[object, list[bytes]] = {}  # by connection: the ids of its requests so far

    def answer(self, exchange: ServerExchange) -> None:
        behaviour = self.script.pop(0) if self.script else "sound"
        earlier = self.carried.setdefault(exchange.sock, [])
        if behaviour == "turned away":
            lines = NOT_EXECUTED + b"X-Iristrack-Attempt-Id: %b\r\n" % exchange.id
            exchange.send(http.response(503, b"full", lines))
        else:
            self.runs[exchange.id] += 1
            getattr(self, f"_{behaviour}")(exchange, earlier)
        earlier.append(exchange.id)

    def _sound(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(named(exchange.id))

    def _doubled(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(named(exchange.id) * 2)

    def _followed(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(named(exchange.id))
        exchange.send(http.response(200, STRANGER, SEAL_LINE))

    def _late(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        """An answer to the connection's request before comes where this one's is due."""
        late = named(earlier[-1]) if earlier else b""
        exchange.send(late + named(exchange.id))

    def _unnamed(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        """Without a name it is this request's, or where there was another before, nobody knows whose."""
        body = STRANGER if earlier else exchange.id
        exchange.send(http.response(200, body, SEAL_LINE))

    def _misnamed(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(named(b"never-asked", STRANGER) + named(exchange.id))

    def _cut(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(named(exchange.id)[:-2])
        exchange.close()

    def _reset(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.reset()

    def _spoilt(self, exchange: ServerExchange, earlier: list[bytes]) -> None:
        exchange.send(b"HTTP/1.1 maybe\r\n\r\n")


BEHAVIOURS = st.lists(
    st.sampled_from(
        [
            "sound",
            "doubled",
            "followed",
            "late",
            "unnamed",
            "misnamed",
            "cut",
            "reset",
            "spoilt",
            "turned away",
        ]
    ),
    min_size=1,
    max_size=3,
)


class Connections(RuleBasedStateMachine):
    """Clients on kept and new connections, in front of servers that answer as they like."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = make_harness()
        self.servers = ModelServers()
        for _ in range(SERVERS):
            self.harness.serve(self.servers.answer)
        self.asked = 0
        self.unsafe: set[bytes] = set()
        self.kept: Client | None = None

    @rule(prefix=st.sampled_from(["safe", "unsafe"]), behaviours=BEHAVIOURS, keep=st.booleans())
    def ask(self, prefix: str, behaviours: list[str], keep: bool) -> None:
        self.asked += 1
        attempt_id = f"a{self.asked}"
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
    def forgive(self) -> None:
        """Time passes: servers that failed are asked again."""
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
