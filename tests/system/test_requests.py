"""Requests with whole answers: routes, keys, what servers are shown, connections, and what is no request."""

from __future__ import annotations

import socket
import time

import pytest

from iristrack.standin.behaviour import Behaviour, Fault, Gate
from iristrack.standin.client import BrokenAnswer, Client, Request, ask_once, new_attempt_id
from iristrack.standin.ledger import Arrival
from iristrack.standin.model_server import SEAL, answer_body
from iristrack.standin.waiting import PATIENCE_S, wait_until
from tests.system.scene import (
    BRIEF_MS,
    CHAT,
    HOST,
    KEY,
    MODEL,
    OTHER_HOST,
    SEARCH,
    SOUTH_KEY,
    Scene,
    generation,
    plain,
    start_usual,
)

MAY_HAVE_RUN = [
    Fault.RESET,
    Fault.CLOSE,
    Fault.GARBAGE,
    Fault.SHORT_BODY,
    Fault.UNPROMISED_503,
    Fault.UNSEALED,
]
PROMISES = (408, 421, 429, 503)
DRAIN_S = 3.0  # `drain_ms`


def only_arrival(scene: Scene, request: Request) -> Arrival:
    arrivals = scene.ledger.arrivals(request.attempt_id)
    assert len(arrivals) == 1, arrivals
    return arrivals[0]


# ---- routes


@pytest.mark.parametrize(
    ("host", "path", "service"),
    [
        (HOST, "/plain/x", CHAT),
        (HOST, "/plain/deep/x", SEARCH),
        (HOST, "/plain/deep/x/y?at=/safe/", SEARCH),
        (HOST, "/plain/deeper", CHAT),
        (HOST, "/plain/deep", CHAT),
        (HOST.upper() + ":80", "/plain/", CHAT),
        (OTHER_HOST, "/plain/deep/x", SEARCH),
    ],
)
def test_the_host_and_the_longest_prefix_choose_the_service(
    scene: Scene, host: str, path: str, service: str
) -> None:
    request = plain(path, host)
    assert scene.ask(request).status == 200
    arrival = only_arrival(scene, request)
    assert (arrival.service, arrival.target) == (service, path)


@pytest.mark.parametrize(
    ("host", "path"),
    [(HOST, "/plain"), (HOST, "/other/x"), (OTHER_HOST, "/safe/x"), ("no.example", "/plain/x")],
)
def test_where_no_route_matches_the_answer_is_404(scene: Scene, host: str, path: str) -> None:
    request = plain(path, host)
    assert scene.ask(request).status == 404
    assert not scene.ledger.arrivals(request.attempt_id)


# ---- keys


@pytest.mark.parametrize(
    "authorization", [None, "Bearer unknown", "Bearer", f"Basic {KEY}", f"Bearer {KEY}x"]
)
def test_an_unknown_key_gets_401(scene: Scene, authorization: str | None) -> None:
    headers = () if authorization is None else (("Authorization", authorization),)
    request = plain(key=None, headers=headers)
    assert scene.ask(request).status == 401
    assert not scene.ledger.arrivals(request.attempt_id)


def test_a_public_route_needs_no_key_and_shows_none(scene: Scene) -> None:
    for key in (None, "unknown", KEY):
        request = plain("/open/x", key=key)
        assert scene.ask(request).status == 200
        arrival = only_arrival(scene, request)
        assert arrival.header("Authorization") is None
        assert arrival.header("X-Iristrack-Tenant") == ("north" if key == KEY else None)


def test_the_key_is_not_shown_and_the_tenant_is_set_whatever_the_client_says(scene: Scene) -> None:
    for key, tenant in ((KEY, "north"), ("key-north-2", "north"), (SOUTH_KEY, "south")):
        request = plain(key=key, headers=(("x-iristrack-tenant", "someone-else"),))
        assert scene.ask(request).status == 200
        arrival = only_arrival(scene, request)
        assert arrival.header("X-Iristrack-Tenant") == tenant
        assert key not in str(arrival.headers)


def test_a_client_without_a_tenant_cannot_name_one(scene: Scene) -> None:
    request = plain("/open/x", key=None, headers=(("X-Iristrack-Tenant", "south"),))
    assert scene.ask(request).status == 200
    assert only_arrival(scene, request).header("X-Iristrack-Tenant") is None


def test_the_priority_of_the_tenant_goes_before_the_routes(scene: Scene) -> None:
    for key, priority in ((KEY, "3"), (SOUTH_KEY, "4")):
        request = plain(key=key, headers=(("Priority", "0"),))
        assert scene.ask(request).status == 200
        assert only_arrival(scene, request).header("Priority") == priority
    public = plain("/open/x", key=None)
    assert scene.ask(public).status == 200
    assert only_arrival(scene, public).header("Priority") == "1"


# ---- what servers are shown


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("method", ["POST", "PUT", "PATCH"])
def test_method_path_and_body_arrive_unaltered(scene: Scene, method: str, chunked: bool) -> None:
    body = bytes(range(256)) * 200 + b"\r\n0\r\n\r\n"
    path = "/plain/a%20b/%2e%2e/c?q=1&q=%00"
    request = plain(path, method=method, body=body, chunked=chunked)
    answer = scene.ask(request)
    assert (answer.status, answer.body) == (200, answer_body(request.attempt_id, body))
    arrival = only_arrival(scene, request)
    assert (arrival.method, arrival.target, arrival.body) == (method, path, body)


def test_a_request_without_a_body_has_none(scene: Scene) -> None:
    request = plain(method="GET", body=b"")
    assert scene.ask(request).status == 200
    arrival = only_arrival(scene, request)
    assert (arrival.method, arrival.body) == ("GET", b"")


def test_headers_are_passed_on_except_those_of_the_connection(scene: Scene) -> None:
    headers = (
        ("X-Odd", "a  b; c"),
        ("Connection", "keep-alive, x-hop"),
        ("X-Hop", "of this connection"),
        ("Keep-Alive", "timeout=3"),
        ("Cache-Salt", "of the client"),
        ("Kv-Fetch", "10.0.0.1:1"),
        ("Kv-Save", "10.0.0.1:1"),
        ("Expect-Version", "77"),
        ("X-Iristrack-Expect-Instance", "of-the-client"),
    )
    request = plain(headers=headers)
    assert scene.ask(request).status == 200
    arrival = only_arrival(scene, request)
    assert arrival.header("X-Odd") == "a  b; c"
    assert arrival.header("X-Iristrack-Attempt-Id") == request.attempt_id
    assert arrival.header("X-Iristrack-Expect-Instance") == arrival.instance_id
    for name in ("X-Hop", "Keep-Alive", "Cache-Salt", "Kv-Fetch", "Kv-Save", "Expect-Version"):
        assert arrival.header(name) is None, name


def test_the_answer_comes_back_unaltered_with_the_seal(scene: Scene) -> None:
    request = plain(body=b"x" * 1000)
    answer = scene.ask(request)
    arrival = only_arrival(scene, request)
    assert answer.headers[SEAL] == f"seal-{arrival.instance_id}-{arrival.number}"
    assert answer.headers["X-Iristrack-Attempt-Id"] == request.attempt_id
    assert answer.headers["Content-Type"] == "text/plain"
    assert answer.body == answer_body(request.attempt_id, b"x" * 1000)


def test_a_failure_of_the_server_is_its_answer(scene: Scene) -> None:
    for path in ("/plain/x", "/safe/x"):
        request = plain(path)
        scene.script.on(request.attempt_id, Behaviour(Fault.ERROR))
        answer = scene.ask(request)
        assert (answer.status, answer.body) == (500, b"server error")
        only_arrival(scene, request)


def test_the_time_left_is_what_is_left_and_the_routes_timeout_at_most(scene: Scene) -> None:
    request = plain(headers=(("X-Iristrack-Time-Left-Ms", "5000"),))
    assert scene.ask(request).status == 200
    assert 0 < int(only_arrival(scene, request).header("X-Iristrack-Time-Left-Ms")) <= 5000
    brief = plain("/brief/x")
    assert scene.ask(brief).status == 200
    assert 0 < int(only_arrival(scene, brief).header("X-Iristrack-Time-Left-Ms")) <= BRIEF_MS


def test_the_time_left_shrinks_from_one_server_to_the_next(scene: Scene) -> None:
    gate = Gate()
    request = generation("/resume/x", events=3)
    scene.script.on(request.attempt_id, Behaviour(Fault.RESET, after_events=1, gate=gate))
    with scene.client() as client:
        stream = client.open(request)
        assert stream.next_event()
        first = only_arrival(scene, request)
        before = int(first.header("X-Iristrack-Time-Left-Ms"))
        wait_until(lambda: time.monotonic() > first.at + 0.2, "two tenths of a second")
        gate.open()
        assert stream.event_ids() == [2, 3]
    second = scene.ledger.arrivals(request.attempt_id)[1]
    assert int(second.header("X-Iristrack-Time-Left-Ms")) <= before - 200


def test_a_request_whose_time_is_over_is_ended_and_not_called_refused(scene: Scene) -> None:
    request = plain("/brief/x")
    scene.script.on(request.attempt_id, Behaviour(Fault.SILENCE))
    answer = scene.ask(request)
    assert answer.status == 504
    assert len(scene.ledger.runs(request.attempt_id)) == 1
    scene.ledger.wait_for(lambda: only_arrival(scene, request).left, "the end of the server's work")


# ---- which servers


def test_an_address_that_another_instance_took_over_runs_nothing(new_system) -> None:
    system = new_system(cores=1, edges=1)
    start_usual(system)
    edge = system.edges[0]
    (gone,) = [server for server in system.model_servers if server.service == SEARCH]
    assert ask_once(edge.front, plain("/plain/deep/x")).status == 200
    gone.stop()
    usurper = system.new_model_server(CHAT, MODEL, port=gone.host.port)  # the list still names `gone` there

    def turned_away() -> list[Arrival]:
        answer = ask_once(edge.front, plain("/plain/deep/x"))
        assert answer.status in (502, 503)
        return [a for a in system.ledger.arrivals() if a.instance_id == usurper.instance_id]

    arrivals = wait_until(turned_away, "a request at the address that was taken over")
    assert arrivals[0].header("X-Iristrack-Expect-Instance") == gone.instance_id
    assert [arrival.refusal for arrival in arrivals] == [421] * len(arrivals)


def test_a_draining_server_gets_nothing_new(new_system) -> None:
    system = new_system(cores=1, edges=1)
    start_usual(system)
    edge = system.edges[0]
    leaving, staying = [server for server in system.model_servers if server.service == CHAT]
    leaving.draining = True
    lists = system.platform.whole_lists_served
    wait_until(lambda: system.platform.whole_lists_served > lists + 1, "two lists")

    def follows() -> bool:
        begun = len(system.ledger.arrivals())
        assert all(ask_once(edge.front, plain()).status == 200 for _ in range(8))
        return {a.instance_id for a in system.ledger.arrivals()[begun:]} == {staying.instance_id}

    wait_until(follows, "requests at the other server alone", DRAIN_S)
    begun = len(system.ledger.arrivals())
    assert all(ask_once(edge.front, plain()).status == 200 for _ in range(30))
    assert {a.instance_id for a in system.ledger.arrivals()[begun:]} == {staying.instance_id}


# ---- repeats and refusals


@pytest.mark.parametrize("fault", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_never_sent_again(scene: Scene, fault: Fault) -> None:
    request = plain()
    scene.script.on(request.attempt_id, Behaviour(fault))
    try:
        status = scene.ask(request).status
    except BrokenAnswer:
        status = 0
    assert status not in PROMISES
    assert not 200 <= status < 300
    only_arrival(scene, request)


@pytest.mark.parametrize("fault", MAY_HAVE_RUN)
def test_a_safe_request_is_sent_to_the_other_server(scene: Scene, fault: Fault) -> None:
    request = plain("/safe/x")
    scene.script.on(request.attempt_id, Behaviour(fault))
    answer = scene.ask(request)
    assert (answer.status, answer.body) == (200, answer_body(request.attempt_id, b"{}"))
    first, second = scene.ledger.arrivals(request.attempt_id)
    assert first.instance_id != second.instance_id


def test_an_unsafe_request_that_was_turned_away_is_sent_to_the_other_server(scene: Scene) -> None:
    request = plain()
    scene.script.on(request.attempt_id, Behaviour(Fault.SHED))
    assert scene.ask(request).status == 200
    first, second = scene.ledger.arrivals(request.attempt_id)
    assert (first.ran, second.ran) == (False, True)
    assert first.instance_id != second.instance_id


def test_503_with_a_time_to_retry_only_where_nothing_ran(scene: Scene) -> None:
    refused = plain()
    scene.script.on(refused.attempt_id, *[Behaviour(Fault.SHED)] * 5)
    answer = scene.ask(refused)
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert not scene.ledger.runs(refused.attempt_id)
    assert len(scene.ledger.arrivals(refused.attempt_id)) <= 3
    scene.settle()
    run_then_shed = plain("/safe/x")
    shed = [Behaviour(Fault.SHED)] * 4
    scene.script.on(run_then_shed.attempt_id, Behaviour(Fault.RESET), *shed)
    assert scene.ask(run_then_shed).status not in PROMISES
    assert len(scene.ledger.runs(run_then_shed.attempt_id)) == 1


def test_repeats_of_all_edges_stay_in_the_budget(new_system) -> None:
    slack, wanted = 16, 100
    system = new_system(cores=1, edges=2, rule_bounds={"retry_slack": slack, "retry_ratio": 0.0})
    system.add_model_servers(CHAT, MODEL, 12)  # many, so that one is left to be asked again
    start_usual(system)
    arrived = repeats = sent = 0
    deadline = time.monotonic() + PATIENCE_S
    while arrived < wanted:
        assert time.monotonic() < deadline, f"only {arrived} requests came to servers"
        request = plain("/safe/x")
        system.script.on(request.attempt_id, Behaviour(Fault.SHED))
        ask_once(system.edges[sent % 2].front, request)
        sent += 1
        count = len(system.ledger.arrivals(request.attempt_id))
        arrived += count > 0
        repeats += max(0, count - 1)
    assert 0 < repeats <= slack


# ---- answers that belong to nobody


def test_a_late_second_answer_is_given_to_no_other_request(scene: Scene) -> None:
    with scene.client() as client:
        seen = set()
        for _ in range(12):
            request = plain("/plain/deep/x", body=new_attempt_id().encode())
            scene.script.on(request.attempt_id, Behaviour(Fault.LATE_SECOND))
            answer = client.ask(request)
            assert (answer.status, answer.body) == (200, answer_body(request.attempt_id, request.body))
            seen.add(only_arrival(scene, request).connection)
    assert len(seen) < 12, "no connection was used twice, so that nothing came late"


# ---- connections


def test_a_client_keeps_its_connection_and_servers_too(scene: Scene) -> None:
    with scene.client() as client:
        ports, connections = set(), set()
        for _ in range(6):
            request = plain("/plain/deep/x")
            assert client.ask(request).status == 200
            ports.add(client.local_port())
            connections.add(only_arrival(scene, request).connection)
    assert (len(ports), len(connections)) == (1, 1)


def test_an_error_of_the_request_leaves_the_connection_for_the_next_one(scene: Scene) -> None:
    with scene.client() as client:
        assert client.ask(plain("/nowhere/")).status == 404
        port = client.local_port()
        assert client.ask(plain()).status == 200
        assert client.local_port() == port


def test_a_client_that_asks_for_the_end_gets_it(scene: Scene) -> None:
    answer = scene.ask(plain(headers=(("Connection", "close"),)))
    assert (answer.status, answer.headers["Connection"]) == (200, "close")


def test_a_server_that_closes_after_its_answer_harms_nobody(scene: Scene) -> None:
    for server in scene.servers(SEARCH):
        server.draining = True  # its answers carry `Connection: close`; the list says so a little later
    try:
        for _ in range(5):
            assert scene.ask(plain("/plain/deep/x")).status in (200, 503)
    finally:
        for server in scene.servers(SEARCH):
            server.draining = False


# ---- what is no request

HEAD = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Iristrack-Time-Left-Ms: 5000\r\n"
ID = "X-Iristrack-Attempt-Id: {id}\r\n"
BAD_REQUESTS = {
    "no request line": "these are no words of the protocol\r\n\r\n",
    "no target": "POST HTTP/1.1\r\n" + HEAD + ID + "\r\n",
    "space before colon": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + "X-Odd : 1\r\nContent-Length: 0\r\n\r\n",
    "folded line": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + "X-Odd: 1\r\n 2\r\nContent-Length: 0\r\n\r\n",
    "two lengths": "POST /plain/x HTTP/1.1\r\n"
    + HEAD
    + ID
    + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x",
    "length and chunks": "POST /plain/x HTTP/1.1\r\n"
    + HEAD
    + ID
    + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "negative length": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + "Content-Length: -1\r\n\r\n",
    "unknown coding": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + "Transfer-Encoding: gzip\r\n\r\n",
    "no chunk size": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
    "long chunk": "POST /plain/x HTTP/1.1\r\n"
    + HEAD
    + ID
    + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}{}\r\n",
    "two attempt ids": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + ID + "Content-Length: 0\r\n\r\n",
    "no attempt id": "POST /plain/x HTTP/1.1\r\n" + HEAD + "Content-Length: 0\r\n\r\n",
    "large header": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + f"X-Odd: {'x' * 20_000}\r\n\r\n",
    "large body": "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + "Content-Length: 70000\r\n\r\n" + "x" * 70_000,
}
SMUGGLED = "POST /plain/x HTTP/1.1\r\n" + HEAD + ID + "Content-Length: 2\r\n\r\n{}"


def exchange(address: str, data: bytes) -> bytes:
    """Everything that comes until the other side ends the connection."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=PATIENCE_S) as sock:
        received = b""
        try:
            sock.sendall(data)
            while piece := sock.recv(65536):
                received += piece
        except ConnectionError:
            pass  # it ended before all was sent
        return received


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_what_is_no_request_gets_a_4xx_and_the_end(scene: Scene, name: str) -> None:
    bad, smuggled = new_attempt_id(), new_attempt_id()
    data = BAD_REQUESTS[name].replace("{id}", bad) + SMUGGLED.replace("{id}", smuggled)
    received = exchange(scene.edge.front, data.encode())
    assert received.startswith(b"HTTP/1.1 4"), received[:200]
    assert received.count(b"HTTP/1.1 ") == 1, received[:400]
    assert not scene.ledger.arrivals(bad)
    assert not scene.ledger.arrivals(smuggled)
    assert scene.ask(plain()).status == 200


# ---- limits of the configuration


def test_a_header_over_the_limit_gets_431(scene: Scene) -> None:
    request = plain(headers=(("X-Odd", "x" * 9_000),))
    assert scene.ask(request).status == 431
    assert not scene.ledger.arrivals(request.attempt_id)


def test_the_limit_of_bodies_holds_for_the_very_first_request(new_system) -> None:
    system = new_system(cores=1, edges=1)
    start_usual(system)
    data = BAD_REQUESTS["large body"].replace("{id}", new_attempt_id())
    assert exchange(system.edges[0].front, data.encode()).startswith(b"HTTP/1.1 413")


def test_a_header_that_never_ends_and_an_idle_connection_are_ended(scene: Scene) -> None:
    assert scene.ask(plain()).status == 200
    with scene.client() as client:
        assert client.ask(plain()).status == 200
        half = exchange(scene.edge.front, b"POST /plain/x HTTP/1.1\r\nHost: ")
        assert half == b"" or half.startswith(b"HTTP/1.1 408")
        sock = client._connection.sock
        assert sock.recv(1) == b"", "an idle connection stayed open"


def test_clients_do_not_wait_for_one_another(scene: Scene) -> None:
    gate = Gate()
    held = generation(events=2)
    scene.script.on(held.attempt_id, Behaviour(after_events=1, gate=gate))
    with Client(scene.edge.front) as client:
        stream = client.open(held)
        assert stream.next_event()
        assert all(scene.ask(plain()).status == 200 for _ in range(10))
        gate.open()
        assert stream.event_ids() == [2]
