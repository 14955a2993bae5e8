"""Handover between processes under load: no request is refused or lost, and the old process ends."""

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


def start_successor(stage: Stage, old: Program, folder: Path) -> Program:
    new = stage.start(beside=old, tmpdir=folder, **admin())
    until(new.says_yes)
    return new


def test_idle_connections_are_passed_on_and_requests_finish_in_the_old_process(
    stage: Stage, tmp_path: Path
) -> None:
    released = threading.Event()

    def delayed(message, sock):
        if message.head.fields[b"x-call-id"] == b"slow":
            released.wait(60)
        return serve(message, sock)

    stage.pool("s1", delayed)
    old = stage.start(tmpdir=tmp_path, **admin())
    kept = [Client(old.port) for _ in range(40)]
    for i, client in enumerate(kept):
        assert client.exchange(call(f"a{i}")).head.status == 200
    fresh, slow = Client(old.port), Client(old.port)
    half = Client(old.port)
    half.sock.sendall(call("half")[:30])
    slow.sock.sendall(call("slow"))
    until(lambda: len(stage.pools["s1"].heads) == 41)
    new = start_successor(stage, old, tmp_path)
    old.process.send_signal(signal.SIGTERM)
    until(lambda: "stopping" in old.log.read_text())
    # The same connections are served by the new process, including the one without a request so far.
    for i, client in enumerate([*kept, fresh]):
        assert client.exchange(call(f"b{i}")).head.status == 200
    half.sock.sendall(call("half")[30:])
    assert half.read().head.status == 200
    assert old.process.poll() is None  # a request is still in flight
    released.set()
    assert slow.read().head.status == 200
    assert slow.exchange(call("after")).head.status == 200
    assert old.process.wait(60) == 0
    assert sum(new.figures()[f"succeeded.{name}"] for name in ("view", "pay")) >= 42
    until(lambda: "the predecessor has left" in new.log.read_text())
    # A third process takes over from the second one.
    (tmp_path / "third").mkdir()
    third = Program(tmp_path / "third", stage.discovery, beside=new, tmpdir=tmp_path, **admin())
    stage.programs.append(third)
    until(third.says_yes)
    new.process.send_signal(signal.SIGTERM)
    assert slow.exchange(call("third")).head.status == 200
    assert new.process.wait(60) == 0


def test_connections_in_the_accept_queue_are_not_lost(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, **admin())
    new = start_successor(stage, old, tmp_path)
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


def test_after_the_successor_is_killed_the_old_process_serves_on(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, **admin())
    kept = Client(old.port)
    assert kept.exchange(call("r1")).head.status == 200
    new = start_successor(stage, old, tmp_path)
    new.process.kill()
    until(lambda: "the successor has left" in old.log.read_text())
    assert kept.exchange(call("r2")).head.status == 200
    assert [old.ask(f"n{i}").head.status for i in range(5)] == [200] * 5
    old.process.send_signal(signal.SIGTERM)  # without a successor: a grace period, then responses that close
    assert kept.exchange(call("r3")).head.status == 200
    assert old.process.wait(60) == 0


@pytest.mark.parametrize("left", ["file", "folder", "dead socket", "mute socket"])
def test_anything_at_the_socket_path_does_not_prevent_a_start(
    stage: Stage, tmp_path: Path, left: str
) -> None:
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
            mute.listen(1)  # it accepts the request and does not answer
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, port=port, **admin())
    assert old.ask("r1").head.status == 200
    if (
        left == "folder"
    ):  # no handover is possible: both listen at the address, and the old one stops without one
        kept = Client(old.port)
        assert kept.exchange(call("r2")).head.status == 200
        new = start_successor(stage, old, tmp_path)
        old.process.send_signal(signal.SIGTERM)
        assert kept.exchange(call("r3")).head.status == 200
        assert old.process.wait(60) == 0
        assert new.ask("r4").head.status == 200


def test_an_invalid_handover_request_gets_no_answer(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    old = stage.start(tmpdir=tmp_path, **admin())
    other_name = (
        f'{{"v":2,"name":"n1","listen":"127.0.0.1:{old.port}"}}'.encode()
    )  # another customer's sidecar
    for request in (
        b"{}",
        b"\xff" * 3000,
        b'{"v":2,"name":"n0","listen":"10.0.0.1:1"}',
        b"[" * 3000,
        other_name,
    ):
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.settimeout(60)
            sock.connect(str(tmp_path / file_name("n0", ("127.0.0.1", old.port))))
            sock.send(request)
            assert sock.recv(100) == b""
    assert old.ask("r1").head.status == 200


def test_two_sidecars_in_one_folder_do_not_interfere(stage: Stage, tmp_path: Path) -> None:
    stage.pool("s1")
    one = stage.start(tmpdir=tmp_path, **admin())
    (tmp_path / "other").mkdir()
    other = Program(tmp_path / "other", stage.discovery, tmpdir=tmp_path, name="n1", **admin())
    stage.programs.append(other)
    new = start_successor(
        stage, one, tmp_path
    )  # the sidecar that came later to the folder does not interfere
    assert "shared" in new.log.read_text() and "shared" not in other.log.read_text()
    kept = Client(one.port)
    assert kept.exchange(call("r1")).head.status == 200
    one.process.send_signal(signal.SIGTERM)
    assert kept.exchange(call("r2")).head.status == 200
    assert one.process.wait(60) == 0 and "successor" not in other.log.read_text()


def test_both_processes_together_stay_within_the_descriptor_limit(tmp_path: Path) -> None:
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
