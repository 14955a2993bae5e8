"""A new process takes over from an old one under load: nothing is turned back, nothing is lost, the old one leaves."""

from __future__ import annotations

import signal
import socket
import threading
from pathlib import Path

import pytest
from stage import Client, Program, Stage, call, free_port, serve, until

from iristrack.net.handover import file_name
from iristrack.runtime.scheduler import Scheduler


def admin() -> dict:
    return {"admin_addr": f"127.0.0.1:{free_port()}"}


def taken_over(stage: Stage, old: Program, folder: Path) -> Program:
    new = stage.start(beside=old, tmpdir=folder, **admin())
    until(new.says_yes)
    return new


def test_kept_connections_go_on_and_what_is_under_way_ends_where_it_began(
    stage: Stage, tmp_path: Path
) -> None:
    goes_on = threading.Event()

    def held(message, sock):
        if message.head.fields[b"x-call-id"] == b"slow":
            goes_on.wait(60)
        return serve(message, sock)

    stage.pool("s1", held)
    old = stage.start(tmpdir=tmp_path, **admin())
    kept = [Client(old.port) for _ in range(40)]
    for i, client in enumerate(kept):
        assert client.exchange(call(f"a{i}")).head.status == 200
    fresh, slow = Client(old.port), Client(old.port)
    half = Client(old.port)
    half.sock.sendall(call("half")[:30])
    slow.sock.sendall(call("slow"))
    until(lambda: len(stage.pools["s1"].heads) == 41)
    new = taken_over(stage, old, tmp_path)
    old.process.send_signal(signal.SIGTERM)
    until(lambda: "stopping" in old.log.read_text())
    # The very same connections are served on, also the one on which nothing was asked yet.
    for i, client in enumerate([*kept, fresh]):
        assert client.exchange(call(f"b{i}")).head.status == 200
    half.sock.sendall(call("half")[30:])
    assert half.read().head.status == 200
    assert old.process.poll() is None  # it owes an answer still
    goes_on.set()
    assert slow.read().head.status == 200
    assert slow.exchange(call("after")).head.status == 200
    assert old.process.wait(60) == 0
    assert sum(new.figures()[f"succeeded.{name}"] for name in ("view", "pay")) >= 42
    until(lambda: "the predecessor has left" in new.log.read_text())
    # And the next version takes over from this one.
    (tmp_path / "third").mkdir()
    third = Program(tmp_path / "third", stage.discovery, beside=new, tmpdir=tmp_path, **admin())
    stage.programs.append(third)
    until(third.says_yes)
    new.process.send_signal(signal.SIGTERM)
    assert slow.exchange(call("third")).head.status == 200
    assert new.process.wait(60) == 0


def test_what_waits_in_the_accept_queue_is_not_lost(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, **admin())
    new = taken_over(stage, old, tmp_path)
    for program in (old, new):
        program.process.send_signal(signal.SIGSTOP)
    waiting = [Client(old.port) for _ in range(50)]
    for i, client in enumerate(waiting):
        client.sock.sendall(call(f"r{i}"))
    old.process.send_signal(signal.SIGTERM)
    for program in (old, new):
        program.process.send_signal(signal.SIGCONT)
    assert [client.read().head.status for client in waiting] == [200] * 50
    assert old.process.wait(60) == 0


def test_a_successor_that_dies_leaves_everything_to_the_old_process(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, **admin())
    kept = Client(old.port)
    assert kept.exchange(call("r1")).head.status == 200
    new = taken_over(stage, old, tmp_path)
    new.process.kill()
    until(lambda: "the successor has left" in old.log.read_text())
    assert kept.exchange(call("r2")).head.status == 200
    assert [old.ask(f"n{i}").head.status for i in range(5)] == [200] * 5
    old.process.send_signal(signal.SIGTERM)  # a plain end again: a grace, then answers that close
    assert kept.exchange(call("r3")).head.status == 200
    assert old.process.wait(60) == 0


@pytest.mark.parametrize("left", ["file", "folder", "dead socket", "mute socket"])
def test_what_lies_in_the_folder_never_stops_a_start(stage: Stage, tmp_path: Path, left: str) -> None:
    port = free_port()
    path = tmp_path / file_name("n0", ("127.0.0.1", port))
    mute = None
    if left == "file":
        path.write_bytes(b"\x00garbage")
    elif left == "folder":
        path.mkdir()
    else:
        mute = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        mute.bind(str(path))
        if left == "mute socket":
            mute.listen(1)  # it takes the question and says nothing
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, port=port, **admin())
    assert old.ask("r1").head.status == 200
    if left == "folder":  # they cannot meet there: both listen at the address, and the old one ends plainly
        kept = Client(old.port)
        assert kept.exchange(call("r2")).head.status == 200
        new = taken_over(stage, old, tmp_path)
        old.process.send_signal(signal.SIGTERM)
        assert kept.exchange(call("r3")).head.status == 200
        assert old.process.wait(60) == 0
        assert new.ask("r4").head.status == 200


def test_who_asks_for_what_is_not_here_gets_nothing(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, **admin())
    mine = f'{{"v":2,"name":"n1","listen":"127.0.0.1:{old.port}"}}'.encode()  # another customer's
    for asked in (b"{}", b"\xff" * 3000, b'{"v":2,"name":"n0","listen":"10.0.0.1:1"}', b"[" * 3000, mine):
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.settimeout(60)
            sock.connect(str(tmp_path / file_name("n0", ("127.0.0.1", old.port))))
            sock.send(asked)
            assert sock.recv(100) == b""
    assert old.ask("r1").head.status == 200


def test_two_sidecars_in_one_folder_are_strangers(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    one = stage.start(tmpdir=tmp_path, **admin())
    (tmp_path / "other").mkdir()
    other = Program(tmp_path / "other", stage.discovery, tmpdir=tmp_path, name="n1", **admin())
    stage.programs.append(other)
    new = taken_over(stage, one, tmp_path)  # who came later in the folder is in nobody's way
    assert "shared" in new.log.read_text() and "shared" not in other.log.read_text()
    kept = Client(one.port)
    assert kept.exchange(call("r1")).head.status == 200
    one.process.send_signal(signal.SIGTERM)
    assert kept.exchange(call("r2")).head.status == 200
    assert one.process.wait(60) == 0 and "successor" not in other.log.read_text()


def test_both_together_hold_no_more_descriptors_than_the_limit(tmp_path: Path) -> None:
    from stage import ROOT

    from iristrack.config import load_config
    from iristrack.net.front import HttpFront
    from iristrack.net.sidecar import Sidecar

    config = load_config({"NODE_CONFIG": str(ROOT / "examples" / "config.json")})
    scheduler = Scheduler()
    front = HttpFront(scheduler, Sidecar(scheduler, config), config.listen)
    for elsewhere in (0, 300, 600):
        front._resize(elsewhere)
        assert front.most + front.sidecar.links.most + elsewhere <= config.sockets
