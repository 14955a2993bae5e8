"""Crossings: what happens when a request, an answer, a list or a signal comes between two lines.

Each is forced by an event, and judged by counts and order. `docs/crossings.md` has the table of them; those of the
client of discovery are in test_watch.py.
"""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tomllib
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import pytest
from driver import MS, Host
from stage import (
    ROOT,
    SETTINGS,
    Client,
    Discovery,
    Listener,
    Stage,
    call,
    free_port,
    serve,
    turn_until,
    until,
)

from iristrack import interface as mi
from iristrack.config import Config, flatten, read_address, read_settings
from iristrack.http1 import messages as http
from iristrack.net import front as front_module
from iristrack.net.front import HttpFront, _Passage
from iristrack.net.handover import file_name
from iristrack.net.sidecar import Sidecar
from iristrack.runtime.scheduler import Scheduler, clock

S = mi.NS_PER_S


class Inside:
    """The front and the core, with the real module, in this process: nothing runs but while a test turns the loop."""

    def __init__(self) -> None:
        self.discovery = Discovery()
        self.scheduler = Scheduler()
        self.listeners: list[Listener] = [self.discovery]
        self.clients: list[socket.socket] = []

    def pool(self, name: str = "s1", handler: Callable = serve, **more: object) -> Listener:
        pool = Listener(handler)
        self.listeners.append(pool)
        self.discovery.put(name, pool.address, **more)
        return pool

    def start(self, sockets: int = 1024, folder: str = "") -> None:
        listen = ("127.0.0.1", free_port())
        told = read_settings(flatten(SETTINGS))
        address = read_address(self.discovery.address)
        config = Config("n0", listen, address, 1, told, self.discovery.table(), sockets)
        self.core = Sidecar(self.scheduler, config)
        self.front = HttpFront(self.scheduler, self.core, listen, folder)
        self.core.start()
        self.front.start()
        self.until(lambda: self.core.ready)

    def until(self, holds: Callable[[], object]) -> None:
        turn_until(self.scheduler, holds)

    def client(self, sent: bytes = b"") -> socket.socket:
        sock = socket.create_connection(self.front.listen)
        sock.setblocking(False)
        sock.sendall(sent)
        self.clients.append(sock)
        return sock

    def hear(self, sock: socket.socket) -> http.Message | None:
        """What the client hears next: an answer, or None for the connection's orderly end; a reset raises."""
        reader, found = http.Reader(response=True), []

        def come() -> bool:
            with suppress(BlockingIOError):
                data = sock.recv(65536)
                message = reader.feed(data) if data else None
                if message is not None or not data:
                    found.append(message)
            return bool(found)

        self.until(come)
        return found[0]

    def rest(self) -> socket.socket:
        """A client whose connection rests after an answer."""
        before = len(self.front.idle)
        sock = self.client(call(f"rest{len(self.clients)}"))
        assert self.hear(sock).head.status == 200
        self.until(lambda: len(self.front.idle) > before)
        return sock


@pytest.fixture
def inside() -> Iterator[Inside]:
    inside = Inside()
    yield inside
    inside.core.stop()
    for sock in inside.clients:
        sock.close()
    for listener in inside.listeners:
        with suppress(OSError):
            listener.close()


def leave(sock: socket.socket, how: str) -> None:
    if how == "early bytes, then close":
        sock.sendall(call("next"))
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVING = ("close", "reset", "half-close", "early bytes, then close")


# ---- requests without a key


@pytest.mark.parametrize("path", [b"/api", b"/api/", b"/api?q=1"])
def test_a_customer_whose_requests_have_no_key_is_served(stage: Stage, path: bytes) -> None:
    pools = [stage.pool(f"s{i}") for i in range(2)]
    program = stage.start()
    for i in range(3):
        asked = call(f"r{i}", key="").replace(b"/api", path, 1)
        assert Client(program.port).exchange(asked).head.status == 200
    assert [head.target for pool in pools for head in pool.heads] == [path] * 3


# ---- a decision and its first byte


def held_up(inside: Inside) -> list[Callable[[], None]]:
    """Connections to pool servers come up when the test says so."""
    connect, up = inside.core.links.connect, []

    def late(scheduler: Scheduler, address: tuple, deadline: int) -> socket.socket:
        task = scheduler.current
        up.append(task.wake)
        scheduler.wait(-1, 0, None)
        return connect(scheduler, address, deadline)

    inside.core.links.connect = late
    return up


def calls_nothing_off(inside: Inside) -> None:
    """Where the settings let no attempt be called off the module says nothing; the byte must not go all the same."""
    limits = replace(inside.core.settings.limits, cancel=False)
    inside.core.balancer.settings = replace(inside.core.settings, limits=limits)


@pytest.mark.parametrize("how", LEAVING)
@pytest.mark.parametrize("loop_knows", [True, False])
def test_nothing_is_sent_for_a_client_that_left_while_its_connection_came_up(
    inside: Inside, how: str, loop_knows: bool
) -> None:
    pool = inside.pool()
    inside.start()
    calls_nothing_off(inside)
    up = held_up(inside)
    sock = inside.client(call("r1"))
    inside.until(lambda: up)
    leave(sock, how)
    if loop_knows:
        inside.until(lambda: inside.core.counts.gone)
    up[0]()
    inside.until(lambda: not inside.core.requests)
    assert not pool.heads and inside.core.counts.gone == 1
    inside.until(lambda: not inside.front.clients)


def test_many_that_leave_while_the_loop_is_busy_are_not_sent_on(stage: Stage) -> None:
    pool = stage.pool("s1")
    program = stage.start()
    assert program.ask("first").head.status == 200
    program.process.send_signal(signal.SIGSTOP)
    for i in range(40):
        client = Client(program.port)
        client.sock.sendall(call(f"gone{i}"))
        leave(client.sock, LEAVING[i % 4])
    stays = Client(program.port)
    stays.sock.sendall(call("stays"))
    program.process.send_signal(signal.SIGCONT)
    assert stays.read().head.status == 200
    assert pool.ids() == ["first", "stays"]


def test_between_two_attempts_a_client_that_left_gets_no_further_one(inside: Inside) -> None:
    sock: list[socket.socket] = []

    def turn_away_and_leave(message: http.Message, served: socket.socket) -> bytes:
        sock[0].close()  # before the answer that would have another server asked
        return http.response(503, b"", b"X-Rejected: 1\r\n")

    pools = [inside.pool(f"s{i}", turn_away_and_leave) for i in range(2)]
    inside.start()
    sock.append(inside.client(call("r1")))
    inside.until(lambda: inside.core.counts.taken and not inside.core.requests)
    assert sum(len(pool.heads) for pool in pools) == 1


@pytest.mark.parametrize("change", ["restarted", "moved", "grace over", "window over", "answered"])
def test_what_the_decision_stood_on_is_looked_at_again_at_the_first_byte(inside: Inside, change: str) -> None:
    pool = inside.pool()
    inside.start()
    calls_nothing_off(inside)
    outcomes = []
    links, feed = inside.core.links, inside.core.feed

    def hear(event: mi.Event) -> None:
        if isinstance(event, mi.AttemptEnded):
            outcomes.append(event.outcome)
            event = replace(event, kept=False)  # no further attempt
        feed(event)

    inside.core.feed = hear
    if change == "window over":
        send = inside.core._send
        inside.core.actions[mi.Send] = lambda action: send(replace(action, begin_by_ns=clock() + MS))
    up = held_up(inside)
    inside.client(call("r1"))
    inside.until(lambda: up)
    target = links.targets["s1"]
    if change == "restarted":
        inside.discovery.put("s1", pool.address, up_since_ms=1_700_000_000_000)
        inside.until(lambda: links.targets["s1"] is not target)
    elif change == "moved":
        inside.discovery.put("s1", inside.pool("other").address)
        inside.until(lambda: links.targets["s1"] is not target)
    elif change == "grace over":
        target.away_since = clock() - inside.core.settings.contract.drain_grace_ns
    elif change == "answered":
        inside.core.expire(inside.core.requests["r1"])
    else:
        until_then = clock() + 2 * MS
        inside.until(lambda: clock() > until_then)
    up[0]()
    inside.until(lambda: outcomes)
    assert outcomes == [mi.Outcome.NOT_SENT]
    assert not any(listener.heads for listener in inside.listeners[1:])


def test_the_module_says_until_when_a_repeat_of_what_may_have_run_may_begin() -> None:
    host = Host()
    request = host.ask("move")
    began = host.now
    host.wait(20 * MS)
    host.end(request, mi.Outcome.RESET)
    first, again = host.sends(request)
    assert first.begin_by_ns == 0  # nothing has run
    assert host.now < again.begin_by_ns < began + host.balancer.classes["move"].spec.memory_ns


# ---- connections to pool servers


def test_a_second_answer_that_comes_late_is_nobodys(inside: Inside) -> None:
    pool = inside.pool()
    inside.start()
    links, taken = inside.core.links, []

    def use() -> None:
        link = links.take("s1", clock() + 60 * S)
        link.write(http.request(b"GET", b"/api/k", b"X-Call-Id: a\r\n"), clock() + 60 * S)
        link.read(clock() + 60 * S)
        links.put_back(link)
        taken.append(link)
        taken.append(links.take("s1", clock() + 60 * S))  # at once, as the next request may want it

    inside.scheduler.spawn("use", use)
    inside.until(lambda: taken)
    assert len(taken) == 1  # it rests
    pool.open[-1].sendall(serve(http.Message(pool.heads[-1], b""), pool.open[-1]))
    inside.until(lambda: len(taken) == 2)
    assert taken[1] is not taken[0]
    links.close(taken[1])


# ---- connections to clients


def test_bytes_behind_a_request_whose_answer_ends_the_connection_do_not_reset_it_away(inside: Inside) -> None:
    sock: list[socket.socket] = []

    def more_comes_first(message: http.Message, served: socket.socket) -> bytes:
        sock[0].sendall(call("r2"))  # while the answer is on its way: nobody reads that here
        return serve(message, served)

    inside.pool("s1", more_comes_first)
    inside.start()
    sock.append(inside.client(call("r1").replace(b"X-Odd", b"Connection: close\r\nX-Odd")))
    assert inside.hear(sock[0]).head.status == 200
    assert inside.hear(sock[0]) is None  # an orderly end; a reset raises
    assert inside.core.counts.taken == 1


def readable(sock: socket.socket, wait_ms: int) -> bool:
    """Is there anything to read, now or within so long? Unlike `select`, whatever the descriptor's number."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(wait_ms))


@pytest.mark.parametrize("reason", ["idle", "place wanted"])
def test_a_request_there_when_a_resting_connection_is_to_end_is_served(inside: Inside, reason: str) -> None:
    pool = inside.pool()
    inside.start()
    sock = inside.rest()
    (client,) = inside.front.clients
    sock.sendall(call("crossing"))
    assert readable(client.sock, 60_000)
    if reason == "idle":  # its time was over in the turn in which the bytes came: the loop saw that first
        inside.scheduler.resume(client.task, TimeoutError())
    else:
        inside.front._retire(inside.front.idle, clock(), 10)
    assert inside.hear(sock).head.status == 200
    assert pool.ids()[-1] == "crossing"


@pytest.mark.parametrize("reason", ["idle", "place wanted", "stopping"])
def test_a_request_that_comes_after_the_shutdown_is_dropped_and_can_be_asked_anew(
    inside: Inside, monkeypatch: pytest.MonkeyPatch, reason: str
) -> None:
    monkeypatch.setattr(front_module, "STOP_GRACE_NS", MS)
    monkeypatch.setattr(front_module, "LAST_CALL_NS", 3600 * S)
    monkeypatch.setattr(front_module, "PART_NS", 3600 * S)  # until the client ends it
    pool = inside.pool()
    inside.start()
    sock = inside.rest()
    (client,) = inside.front.clients
    if reason == "idle":
        inside.scheduler.resume(client.task, TimeoutError())
    elif reason == "place wanted":
        inside.front._retire(inside.front.idle, clock(), 10)
    else:
        inside.front.stop()
    assert inside.hear(sock) is None
    sock.sendall(call("crossing"))
    again = inside.client(call("crossing-again"))
    answer = inside.hear(again)
    assert answer.head.status == 200 and answer.head.keeps_alive is (reason != "stopping")
    assert "crossing" not in pool.ids()
    assert client in inside.front.clients  # it reads on to the client's end
    inside.until(lambda: not readable(client.sock, 0))  # it was read, and dropped
    assert inside.hear(sock) is None  # and no reset
    sock.setblocking(True)
    sock.close()
    inside.until(lambda: client not in inside.front.clients)


def test_the_listener_goes_last_and_nobody_outside_is_left(
    inside: Inside, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("STOP_GRACE_NS", "LAST_CALL_NS"):
        monkeypatch.setattr(front_module, name, 3600 * S)
    inside.pool()
    inside.start()
    resting = inside.rest()
    inside.front.stop()
    inside.front._end_resting()
    assert inside.hear(resting) is None
    resting.close()
    outside = [inside.client(call(f"o{i}")) for i in range(40)]  # in the kernel's queue
    inside.front._close_listener()
    assert [inside.hear(sock).head.status for sock in outside] == [200] * 40
    for sock in outside:
        sock.close()
    inside.until(lambda: not inside.front.clients)
    assert inside.front._listener is None


def test_the_waits_of_a_stop_fit_between_the_signals() -> None:
    grace, linger = front_module.STOP_GRACE_NS, front_module.LINGER_NS
    assert grace > 400 * MS  # so long new connections come
    assert linger + front_module.PART_NS < front_module.LAST_CALL_NS
    assert grace + front_module.LAST_CALL_NS + linger <= 700 * MS


def test_an_answer_that_broke_off_ends_without_a_word_that_looks_like_its_end(inside: Inside) -> None:
    def cut(message: http.Message, sock: socket.socket) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 200)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        until(lambda: inside.core.passing)  # it is being passed on
        sock.close()

    inside.pool("s1", cut)
    inside.start()
    sock = inside.client(call("r1").replace(b"HTTP/1.1", b"HTTP/1.0"))
    with pytest.raises(ConnectionResetError):
        while inside.hear(sock) is not None:
            pass


def test_connections_that_a_dying_successor_did_not_take_are_served_here(
    inside: Inside, tmp_path: Path
) -> None:
    inside.pool()
    inside.start(folder=str(tmp_path))
    kept = [inside.rest() for _ in range(3)]
    successor = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    successor.connect(str(tmp_path / file_name("n0", inside.front.listen)))
    asked = json.dumps({"v": 2, "name": "n0", "listen": "{}:{}".format(*inside.front.listen)})
    successor.send(asked.encode())
    inside.until(lambda: inside.front.handover.has_successor and inside.front.handover._successor)
    send = inside.front.handover._send

    def dies_first() -> None:  # between the decision to pass them on and the passing
        successor.close()
        send()

    inside.front.handover._send = dies_first
    inside.front.stop()
    inside.front._wake_idle()
    for i, sock in enumerate(kept):
        sock.sendall(call(f"after{i}"))
    assert [inside.hear(sock).head.status for sock in kept] == [200] * 3
    assert [inside.hear(sock) for sock in kept] == [None] * 3  # and nothing keeps the process from its end
    for sock in kept:
        sock.close()
    inside.until(lambda: not inside.front.clients)


# ---- floods


def test_idle_clients_that_fill_the_places_leave_discovery_and_health_theirs(stage: Stage) -> None:
    stage.pool("s1")
    stage.discovery.quiet = True
    program = stage.start(ready=False, known={}, limits={"cores": 1.0, "memory_mb": 40, "sockets": 96})
    crowd = [socket.create_connection(("127.0.0.1", program.port)) for _ in range(200)]
    asked = len(stage.discovery.heads)
    until(lambda: len(stage.discovery.heads) > asked + 3)
    stage.discovery.quiet = False
    until(lambda: program._says({200}))
    assert program.ask("r1").head.status == 200
    assert "Too many open files" not in program.log.read_text()
    for sock in crowd:
        sock.close()


# ---- signals


def test_a_hang_up_signal_between_the_start_and_the_handler_ends_nothing(stage: Stage) -> None:
    stage.pool("s1")
    port = free_port()
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": stage.discovery.address,
        "settings": SETTINGS, "known": stage.discovery.table(),
    }  # fmt: skip
    path = stage.folder / "config.json"
    path.write_text(json.dumps(config))
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    run = run.replace(".venv/bin/python", sys.executable)
    env = os.environ | {"NODE_CONFIG": str(path), "TMPDIR": ""}
    process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stderr=subprocess.DEVNULL)
    try:
        until(lambda: b"iristrack" in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0"))
        answered = False
        while not answered:
            process.send_signal(signal.SIGHUP)
            assert process.poll() is None
            with suppress(OSError):
                answered = Client(port).exchange(call("r1")).head.status == 200
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
    finally:
        process.kill()


@pytest.mark.parametrize("how", LEAVING)
def test_the_socket_itself_tells_whether_a_client_is_there(how: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        sock, _ = server.accept()

    class Held:
        fd = sock.fileno()

    passage = _Passage.__new__(_Passage)
    passage._client = Held
    client.sendall(b"early")
    assert passage.present()
    leave(client, how)
    until(lambda: not passage.present())
    sock.close()
    client.close()
