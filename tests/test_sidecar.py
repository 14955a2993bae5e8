"""The real program over sockets: it serves, refuses, retries by class, drains, and bears what others do."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from stage import (
    ROOT,
    Client,
    Discovery,
    Listener,
    Program,
    Stage,
    call,
    error,
    reject,
    reset,
    serve,
    silent,
    truncated,
    until,
)  # fmt: skip

from iristrack.http1 import messages as http
from iristrack.net.front import REQUEST_NS


def test_a_request_is_served_as_the_bytes_that_came(stage: Stage) -> None:
    pool = stage.pool("s1")
    program = stage.start()
    client = Client(program.port)
    answer = client.exchange(call("r1", "pay", body=b"tips"))
    assert (answer.head.status, answer.body) == (200, b"did tips")
    head = pool.heads[0]
    assert (head.method, head.target) == (b"POST", b"/api/k1?q=1")
    assert (head.fields[b"x-call-id"], head.fields[b"idempotency-key"]) == (b"r1", b"key-r1")
    assert b"X-Odd: a  b\r\n" in head.raw
    assert 20_000 < int(head.fields[b"x-budget"].removesuffix(b"m")) <= 30_000
    assert head.fields[b"content-length"] == b"4"
    chunked = call("r2", "pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    assert client.exchange(chunked + b"3\r\nabc\r\n0\r\n\r\n").body == b"did abc"
    assert client.exchange(call("r3")).head.status == 200
    assert pool.opened == 1  # connections are kept, on both sides


def test_the_most_recent_connection_is_used_and_a_closed_one_never(stage: Stage) -> None:
    pool = stage.pool("s1")
    program = stage.start()
    assert program.ask("r1").head.status == 200
    pool.open[0].shutdown(socket.SHUT_RDWR)
    until(lambda: not pool.open)
    assert program.ask("r2").head.status == 200  # a write to the closed one would have ended as a reset
    assert (pool.opened, pool.ids()) == (2, ["r1", "r2"])


def test_turned_away_everywhere_becomes_a_refusal_at_once(stage: Stage) -> None:
    pools = [stage.pool(f"s{i}", reject) for i in range(3)]
    answer = stage.start().ask("r1", "pay")
    assert answer.head.status == 503
    assert answer.head.fields[b"retry-after"] == b"0.600"
    assert sorted(len(pool.heads) for pool in pools) == [1, 1, 1]


@pytest.mark.parametrize(("name", "zones", "tries"), [("view", "ab", 2), ("pay", "ab", 1), ("pay", "aa", 2)])
def test_what_may_have_run_goes_out_again_as_its_class_allows(
    stage: Stage, name: str, zones: str, tries: int
) -> None:
    pools = [stage.pool(f"s{i}", error, locality=zone) for i, zone in enumerate(zones)]
    answer = stage.start().ask("r1", name)
    # A safe one may be refused after a failure, a keyed one that may have run in its site may not.
    assert answer.head.status == (503 if name == "view" else 502)
    assert sum(len(pool.heads) for pool in pools) == tries


@pytest.mark.parametrize("handler", [reset, truncated])
def test_an_answer_that_breaks_off_is_not_passed_on(stage: Stage, handler) -> None:
    pool = stage.pool("s1", handler)
    answer = stage.start().ask("r1", "pay")
    # A keyed request may ask its group's only server once more after a broken connection, and no oftener.
    assert (answer.head.status, pool.ids()) == (502, ["r1", "r1"])


def test_a_refused_connection_sends_the_request_elsewhere(stage: Stage) -> None:
    dead = stage.pool("s1")
    stage.pool("s2")
    dead.close()
    program = stage.start()
    assert [program.ask(f"r{i}", "pay", key=f"k{i}").head.status for i in range(6)] == [200] * 6


def test_a_silent_server_costs_no_more_than_the_budget(stage: Stage) -> None:
    pool = stage.pool("s1", silent)
    program = stage.start()
    assert program.ask("r1", "pay", budget="3000m").head.status in (502, 504)
    assert pool.ids() == ["r1"]
    until(lambda: not pool.open)  # the given-up attempt is off its connection


def test_garbage_from_a_pool_server_ends_that_call_only(stage: Stage) -> None:
    pool = stage.pool("s1", lambda message, sock: b"SSH-2.0-what\r\n\r\n")
    program = stage.start()
    assert program.ask("r1", "pay").head.status == 502
    pool.handler = serve
    assert program.ask("r2", "pay").head.status == 200


def test_a_client_that_hangs_up_calls_its_attempt_off(stage: Stage) -> None:
    pool = stage.pool("s1", silent)
    program = stage.start()
    client = Client(program.port)
    client.sock.sendall(call("r1"))
    until(lambda: pool.heads)
    client.sock.close()
    until(lambda: not pool.open)
    pool.handler = serve
    assert program.ask("r2").head.status == 200


def test_a_call_id_in_flight_is_answered_and_not_sent_twice(stage: Stage) -> None:
    pool = stage.pool("s1", silent)
    program = stage.start()
    first = Client(program.port)
    first.sock.sendall(call("r1"))
    until(lambda: pool.heads)
    assert program.ask("r1").head.status == 409
    assert pool.ids() == ["r1"]


def test_a_drained_server_gets_nothing_new_and_a_moved_one_is_followed(stage: Stage) -> None:
    first, second = stage.pool("s1"), stage.pool("s2")
    program = stage.start()
    for i in range(20):
        assert program.ask(f"a{i}", key=f"k{i}").head.status == 200
    assert first.heads and second.heads
    stage.discovery.put("s1", first.address, "terminating")
    until(lambda: not first.open)  # told: the idle connections are closed
    seen = len(first.heads)
    for i in range(20):
        assert program.ask(f"b{i}", key=f"k{i}").head.status == 200
    assert len(first.heads) == seen
    moved = Listener(serve)
    stage.discovery.put("s2", moved.address)
    until(lambda: not second.open)
    assert program.ask("c1").head.status == 200
    assert moved.ids() == ["c1"]


def test_silent_discovery_is_asked_again(stage: Stage) -> None:
    first = stage.pool("s1")
    stage.discovery.quiet = True
    program = stage.start()
    assert program.ask("r1").head.status == 200  # from the list it was started with
    until(lambda: stage.discovery.opened > 1)
    stage.discovery.quiet = False
    stage.discovery.put("s1", first.address, "terminated")
    second = stage.pool("s2")
    until(lambda: not first.open)
    until(lambda: program.ask(f"x{time.monotonic_ns()}").head.status == 200)
    assert second.heads
    until(lambda: "discovery answers" in program.log.read_text())


def test_garbage_from_discovery_is_left_out(stage: Stage) -> None:
    pool = stage.pool("s1")
    program = stage.start()
    good, bad = (
        stage.discovery.handler,
        [b"[]", b"{", b"[" * 100_000, b'{"revision":9,"complete":true,"members":[{"id":1}]}'],
    )

    def spoilt(message: http.Message, sock: socket.socket) -> bytes | None:
        return http.response(200, bad.pop()) if bad else good(message, sock)

    stage.discovery.handler = spoilt
    stage.discovery.put("s1", pool.address)  # ends the watch that is out
    until(lambda: not bad)
    assert program.ask("r1").head.status == 200
    assert pool.ids() == ["r1"]


def test_sigterm_serves_on_then_finishes_what_was_taken(stage: Stage) -> None:
    let = threading.Event()

    def held(message: http.Message, sock: socket.socket) -> bytes:
        if message.head.fields[b"x-call-id"] == b"slow":
            let.wait()
        return serve(message, sock)

    pool = stage.pool("s1", held)
    program = stage.start()
    idle, waiting = Client(program.port), Client(program.port)
    assert idle.exchange(call("r1")).head.keeps_alive
    waiting.sock.sendall(call("slow"))
    until(lambda: "slow" in pool.ids())
    program.process.send_signal(signal.SIGTERM)
    assert idle.ended()  # once the grace is over
    let.set()
    answer = waiting.read()
    assert (answer.head.status, answer.head.keeps_alive) == (200, False)
    assert program.process.wait() == 0
    with pytest.raises(OSError):
        Client(program.port)


def test_sighup_follows_discovery_to_its_new_address_and_drops_nothing(stage: Stage) -> None:
    # The file stands over NODE_DISCOVERY then; a file that cannot be read changes nothing.
    let = threading.Event()
    first = stage.pool("s1", lambda message, sock: let.wait() and serve(message, sock))
    program = stage.start()
    waiting = Client(program.port)
    waiting.sock.sendall(call("r1"))
    until(lambda: first.heads)
    program.path.write_text("{")
    program.process.send_signal(signal.SIGHUP)
    until(lambda: "stays as it was" in program.log.read_text())
    old, stage.discovery = stage.discovery, Discovery()  # its revisions start anew
    program.path.write_text(json.dumps(program.config | {"discovery": stage.discovery.address}))
    program.process.send_signal(signal.SIGHUP)
    until(lambda: not old.open)
    old.close()
    let.set()
    assert waiting.read().head.status == 200
    second = stage.pool("s2")  # told by the new one alone, which still waits when it is asked for changes
    until(lambda: program.ask("r2").head.status == 200 and second.heads)
    stage.discovery.put("s2", second.address, "terminating")
    until(lambda: not second.open)
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait() == 0


GOOD = call("r1")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (GOOD.replace(b"X-Call-Id: r1\r\n", b""), 400),
        (GOOD.replace(b"X-Call-Class: view\r\n", b""), 400),
        (GOOD.replace(b"X-Caller: north\r\n", b""), 400),
        (GOOD.replace(b"30000m", b"soon"), 400),
        (GOOD.replace(b"X-Budget: 30000m\r\n", b""), 400),
        (GOOD.replace(b"X-Odd", b"X-Call-Id"), 400),
        (GOOD.replace(b"/api/k1", b"/other"), 404),
        (GOOD.replace(b"/api/k1", b"/api/" + b"k" * 3000), 414),
        (GOOD.replace(b"GET", b"PUT"), 405),
        (GOOD.replace(b"GET", b"POST"), 405),
        (call("r1", "pay").replace(b"Idempotency-Key", b"X-Else"), 400),
        (GOOD.replace(b"X-Odd: a", b"Content-Length: 70000"), 400),
        (GOOD.replace(b"X-Odd: a  b", b"Content-Length: 40000000"), 413),
        (GOOD.replace(b"X-Odd: a", b"X-Odd: " + b"a" * 20_000), 431),
        (b"\x16\x03\x01 hello\r\n\r\n", 400),
    ],
)
def test_bad_input_is_answered_and_closed(shared: Program, raw: bytes, status: int) -> None:
    client = Client(shared.port)
    assert client.exchange(raw).head.status == status
    assert client.ended()


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Program]:
    stage = Stage(tmp_path_factory.mktemp("shared"))
    stage.pool("s1")
    program = stage.start()
    yield program
    assert program.ask("still-there").head.status == 200
    program.process.kill()
    program.process.wait()


def test_an_unknown_class_is_refused_and_never_sent(stage: Stage) -> None:
    # Pool servers answer what they do not know with errors, which the module held against them.
    pool = stage.pool("s1", error)
    assert stage.start().ask("r1", "unheard-of").head.status == 400
    assert not pool.heads


@pytest.mark.parametrize("asked", [False, True])
def test_who_is_silent_or_idle_gives_its_place_to_one_who_asks(stage: Stage, asked: bool) -> None:
    # A client may ask once and keep its connection for good, or say nothing at all.
    stage.pool("s1")
    program = stage.start(limits={"sockets": 64})
    crowd = []
    for i in range(60):
        crowd.append(Client(program.port))
        assert not asked or crowd[-1].exchange(call(f"r{i}")).head.status == 200
    assert program.ask("last").head.status == 200
    assert all(t.sock.fileno() >= 0 for t in crowd)


@pytest.mark.parametrize("asked", [call("r"), b"GET /_health HTTP/1.1\r\n\r\n"])
def test_a_connection_ends_with_its_answer_where_clients_hold_many(stage: Stage, asked: bytes) -> None:
    # Each of many clients asked once, for an answer or for health, and kept its connection, until none of
    # them had one left to ask on.
    stage.pool("s1")
    program = stage.start(limits={"sockets": 64})
    crowd = [Client(program.port) for _ in range(20)]
    kept = [t.exchange(asked).head.keeps_alive for t in crowd]
    assert kept[0] and not kept[-1]
    assert crowd[-1].ended()


@pytest.mark.parametrize(("sent", "status"), [(b"", None), (b"GET /api/k1 HT", 408), (call("r1")[:-2], 408)])
def test_what_does_not_become_a_request_is_ended(shared: Program, sent: bytes, status: int | None) -> None:
    # Such a client is owed an error or a close within 3 s of connecting, however slowly it goes on.
    assert REQUEST_NS < 3 * 10**9
    client = Client(shared.port)
    client.sock.sendall(sent)
    if status is not None:
        assert client.read().head.status == status
    assert client.ended()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"listen": "x", "settings": {}}'])
def test_a_bad_configuration_is_one_line_and_exit_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    for command in ("serve", "check-config"):
        done = subprocess.run(
            [sys.executable, "-m", "iristrack", command],
            cwd=ROOT, env={"NODE_CONFIG": str(path)}, capture_output=True, text=True, check=False,
        )  # fmt: skip
        assert (done.returncode, done.stdout, done.stderr.count("\n")) == (2, "", 1)


def test_the_version_is_told() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "iristrack", "version"], cwd=ROOT, capture_output=True, check=True
    )
    assert done.stdout.startswith(b"iristrack ")


def test_half_written_requests_by_the_hundreds_leave_room_for_whole_ones(stage: Stage) -> None:
    stage.pool("s1")
    program = stage.start(limits={"cores": 1.0, "memory_mb": 40, "sockets": 96})
    half = [socket.create_connection(("127.0.0.1", program.port)) for _ in range(120)]
    for sock in half:
        sock.sendall(call("half")[:60])
    assert program.ask("r1").head.status == 200
    assert "Too many open files" not in program.log.read_text()
    # The first ones had to go for those behind them, well before their time was up, which is told by a 408.
    ends = []
    for sock in half[:30]:
        sock.settimeout(60)
        ends.append(sock.recv(100))
    assert ends.count(b"") > 15


def test_staff_can_follow_a_call_id_through_its_attempts_at_debug(stage: Stage) -> None:
    stage.pool("s1", reject)
    stage.pool("s2", reject)
    program = stage.start()
    assert program.ask("traced-1").head.status == 503
    lines = [line for line in program.log.read_text().splitlines() if " call traced-1 " in line]
    assert any("attempt 0 to s" in line for line in lines), lines
    assert any("attempt 1 at s" in line and ": REJECTED after" in line for line in lines), lines
    assert any("view answered REFUSED after " in line for line in lines), lines
