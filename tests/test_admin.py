"""The operators' door: it answers beside whoever holds its places, and its figures are what the peers saw."""

from __future__ import annotations

import errno
import json
import signal
import socket
import threading
import time

import pytest
from loguru import logger
from stage import ROOT, Client, Stage, call, error, free_port, reject, reset, serve, silent, until

from iristrack.config import ConfigError, load_config
from iristrack.net.admin import MOST_CALLERS, AdminServer
from iristrack.net.front import HttpFront
from iristrack.net.sidecar import Sidecar
from iristrack.runtime.scheduler import Scheduler


@pytest.fixture
def door(stage: Stage):
    return {"admin_addr": f"127.0.0.1:{free_port()}"}


def test_it_says_yes_while_the_process_serves_and_no_before_and_after(stage: Stage, door: dict) -> None:
    stage.pool("s1")
    stage.discovery.quiet = True
    empty = {"revision": 0, "complete": True, "members": []}
    program = stage.start(ready=False, known=empty, **door)
    assert program.operators("/healthcheck").head.status == 503  # no server list: nowhere to send
    stage.discovery.quiet = False
    until(lambda: program.operators("/healthcheck").head.status == 200)
    program.process.send_signal(signal.SIGTERM)
    until(lambda: program.operators("/healthcheck").head.status == 503)  # still serving its grace


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /nothing HTTP/1.1\r\n\r\n", 404),
        (b"POST /stats HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /stats HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"\x00\xff what\r\n\r\n", 400),
        (b"GET /stats?x=1 HTTP/1.0\r\n\r\n", 200),
    ],
)
def test_every_call_is_told_yes_or_no_and_its_connection_ends(
    stage: Stage, door: dict, data: bytes, status: int
) -> None:
    stage.pool("s1")
    stage.start(**door)
    caller = Client(int(door["admin_addr"].rpartition(":")[2]))
    assert caller.exchange(data).head.status == status
    assert caller.ended()


def test_callers_that_say_nothing_or_dribble_keep_no_whole_call_waiting(stage: Stage, door: dict) -> None:
    stage.pool("s1")
    program = stage.start(**door)
    address = ("127.0.0.1", int(door["admin_addr"].rpartition(":")[2]))
    held = [socket.create_connection(address) for _ in range(3 * MOST_CALLERS)]
    for sock in held:
        sock.sendall(b"GET /sta")
    assert program.operators("/stats").head.status == 200
    assert program.ask("r1").head.status == 200
    # The first ones had to go for those behind them, well before their time was up, which is told by a 408.
    ends = []
    for sock in held:
        sock.settimeout(60)
        try:
            ends.append(sock.recv(4096))
        except ConnectionResetError:
            ends.append(b"")
    assert all(not end or b" 408 " in end for end in ends)
    assert ends[:MOST_CALLERS].count(b"") > MOST_CALLERS // 2


def test_the_figures_are_what_the_peers_saw(stage: Stage, door: dict) -> None:
    good, bad = stage.pool("s1"), stage.pool("s2", error, locality="b")
    refuses, breaks = stage.pool("s3", reject), stage.pool("s4", reset, locality="c")
    program = stage.start(**door)
    zeros = {f"{kind}.{name}": 0 for kind in ("succeeded", "declined", "aborted") for name in ("view", "pay")}
    first = zeros | {"forwards": 0, "outstanding": 0, "discovered": 4, "ejected": 0}
    assert program.figures() == first  # every class is named from the start
    ledger = dict(zeros)
    for i in range(60):
        name = ("view", "pay")[i % 2]
        status = program.ask(f"r{i}", name, key=f"k{i}").head.status
        kind = {200: "succeeded", 429: "declined", 503: "declined"}.get(status, "aborted")
        ledger[f"{kind}.{name}"] += 1
    pools = (good, bad, refuses, breaks)
    told = program.figures()
    assert {name: told[name] for name in ledger} == ledger
    assert told["succeeded.view"] and told["aborted.pay"]
    assert told["forwards"] == sum(len(pool.heads) for pool in pools) > 60  # retries are among them
    assert told["ejected"] >= 1  # who fails both classes gets nothing but trials
    # A draining server is in the list still, one that is gone is not.
    stage.discovery.put("s2", bad.address, "terminating")
    stage.discovery.put("s3", refuses.address, "terminated")
    until(lambda: program.figures()["discovered"] == 3)


def test_what_is_outstanding_falls_whatever_ends_it(stage: Stage, door: dict) -> None:
    held = stage.pool("s1", silent)
    program = stage.start(**door)
    leaves, waits = Client(program.port), Client(program.port)
    leaves.sock.sendall(call("r1"))
    waits.sock.sendall(call("r2", "pay", budget="3000m"))
    until(lambda: len(held.heads) >= 2)
    assert program.figures()["outstanding"] == 2
    leaves.sock.close()
    until(lambda: program.figures()["outstanding"] == 1)
    assert waits.read().head.status in (502, 504)
    told = program.figures()
    assert (told["outstanding"], told["aborted.pay"], told["succeeded.view"]) == (0, 1, 0)
    held.handler = serve
    assert program.ask("r3").head.status == 200


def test_the_variable_stands_above_the_file_and_without_either_there_is_no_door(tmp_path) -> None:
    told = json.loads((ROOT / "examples" / "config.json").read_text())
    told.pop("admin_addr", None)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    assert load_config({"NODE_CONFIG": str(path)}).admin is None
    path.write_text(json.dumps(told | {"admin_addr": "127.0.0.1:9"}))
    assert load_config({"NODE_CONFIG": str(path)}).admin == ("127.0.0.1", 9)
    assert load_config({"NODE_CONFIG": str(path), "NODE_ADMIN_ADDR": "[::1]:8"}).admin == ("::1", 8)
    with pytest.raises(ConfigError, match="NODE_ADMIN_ADDR"):
        load_config({"NODE_CONFIG": str(path), "NODE_ADMIN_ADDR": "nowhere"})


def test_a_call_costs_a_few_turns_of_a_loop_that_is_never_idle() -> None:
    scheduler = Scheduler()
    door = AdminServer(scheduler, ("127.0.0.1", free_port()), lambda: True, lambda: {"outstanding": 1})
    door.start()
    over, turns = threading.Event(), []

    def busy() -> None:
        while not over.is_set():
            time.sleep(0.0002)
            scheduler.sleep(1000)

    def call_once() -> None:
        before = scheduler.turns
        answer = Client(door.address[1]).exchange(b"GET /stats HTTP/1.1\r\n\r\n")
        assert answer.body == b"node.outstanding=1\n"
        turns.append(scheduler.turns - before)

    def caller() -> None:
        try:
            for _ in range(5):
                call_once()
        finally:  # a call that fails ends the test, which then finds fewer than five
            over.set()

    for _ in range(200):
        scheduler.spawn("busy", busy)
    threading.Thread(target=caller, daemon=True).start()
    scheduler.spawn(
        "end", lambda: ([scheduler.sleep(10**7) for _ in iter(over.is_set, True)], scheduler.stop())
    )
    scheduler.run()
    assert len(turns) == 5 and max(turns) <= 10


def test_a_want_of_descriptors_is_one_line_and_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    config = load_config({"NODE_CONFIG": str(ROOT / "examples" / "config.json")})
    scheduler, lines = Scheduler(), []
    http_front = HttpFront(scheduler, Sidecar(scheduler, config), config.listen)
    door = AdminServer(scheduler, ("127.0.0.1", 0), lambda: True, dict)
    sink = logger.add(lambda line: lines.append(str(line)), level="WARNING", format="{message}")
    ours, theirs = socket.socketpair()

    class Wanting:
        fileno = staticmethod(ours.fileno)

        def accept(self) -> None:
            raise OSError(errno.EMFILE, "Too many open files")

    for place in (http_front, door):
        place._listener = Wanting()
        for _ in range(5):
            place._accepting = True
            scheduler.watch(ours.fileno(), place._accept)
            assert not place._accept()
            assert not place._accepting  # the loop does not spin: it looks again after a pause
    logger.remove(sink)
    assert len(lines) == 2  # one of each, in 10 s
    theirs.close()
    ours.close()
