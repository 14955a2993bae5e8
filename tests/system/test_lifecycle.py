"""Starts, signals and ends of single processes."""

from __future__ import annotations

import http.client
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from iristrack.standin.behaviour import Behaviour, Gate
from iristrack.standin.client import Client, ask_once
from iristrack.standin.machine import PORT_RANGE, PROGRAMS, ROOT, SETTINGS_VARIABLE, Machine
from iristrack.standin.model_server import answer_body, event_bytes
from iristrack.standin.system import System, ready_status
from iristrack.standin.waiting import PATIENCE_S, wait_until
from tests.system.scene import AMPLE_RETRIES, LONG_WAIT, generation, plain, start_usual

GRACE_S = 4
EXIT_UNUSABLE = 2
KEPT_SETTINGS = "settings stay as they were"
CLASSES = ["edge", "core"]


def small(new_system: Callable[..., System]) -> System:
    system = new_system(cores=1, edges=1, rule_bounds=AMPLE_RETRIES | {"grace_s": GRACE_S})
    start_usual(system)
    return system


# ---- SIGTERM and Ctrl-C


def test_sigterm_withdraws_readiness_and_finishes_what_is_under_way(new_system) -> None:
    system = small(new_system)
    edge = system.edges[0]
    gate = Gate()
    held = generation(events=4)
    system.script.on(held.attempt_id, Behaviour(after_events=2, gate=gate))
    with Client(edge.front) as client, Client(edge.front) as waiting:
        stream = client.open(held)
        assert [stream.next_event(), stream.next_event()] == [event_bytes(1), event_bytes(2)]
        assert waiting.ask(plain()).status == 200
        edge.send_signal(signal.SIGTERM)
        wait_until(lambda: ready_status(edge) == 503, "the end of readiness")
        new = plain()
        answer = ask_once(edge.front, new)  # whoever comes before the platform notices is served
        assert (answer.status, answer.body) == (200, answer_body(new.attempt_id, b"{}"))
        assert answer.headers["Connection"] == "close"
        assert waiting.ask(plain()).headers["Connection"] == "close"
        gate.open()
        assert stream.event_ids() == [3, 4]
    assert edge.wait_exit(GRACE_S + PATIENCE_S) == 0


def test_a_stream_that_outlasts_the_listener_is_finished_within_the_grace(new_system) -> None:
    system = small(new_system)
    edge = system.edges[0]
    gate = Gate()
    held = generation(events=4)
    system.script.on(held.attempt_id, Behaviour(after_events=1, gate=gate))
    with Client(edge.front) as client:
        stream = client.open(held)
        assert stream.next_event()
        edge.send_signal(signal.SIGTERM)
        host, _, port = edge.front.rpartition(":")
        wait_until(lambda: not _connects(host, int(port)), "the end of the listener")
        assert edge.running
        gate.open()
        assert stream.event_ids() == [2, 3, 4]
    assert edge.wait_exit(GRACE_S + PATIENCE_S) == 0


def _connects(host: str, port: int) -> bool:
    try:
        socket.create_connection((host, port), timeout=1).close()
    except OSError:
        return False
    return True


def test_a_stream_without_an_end_does_not_outlast_the_grace(new_system) -> None:
    system = small(new_system)
    edge = system.edges[0]
    held = generation(events=4, headers=LONG_WAIT)
    system.script.on(held.attempt_id, Behaviour(after_events=1, gate=Gate()))
    with Client(edge.front) as client:
        assert client.open(held).next_event()
        edge.send_signal(signal.SIGTERM)
        edge.send_signal(signal.SIGTERM)  # saying it twice changes nothing
        assert edge.wait_exit(GRACE_S + PATIENCE_S) == 0


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_both_programs_end_with_0_at_ctrl_c_and_sigterm(new_system, number: signal.Signals) -> None:
    system = small(new_system)
    for machine in system.machines:
        machine.send_signal(number)
    assert [machine.wait_exit(GRACE_S + PATIENCE_S) for machine in system.machines] == [0, 0]
    assert "KeyboardInterrupt" not in system.edges[0].log() + system.cores[0].log()


def test_what_a_core_acknowledged_is_there_after_sigterm_and_a_start(new_system) -> None:
    system = small(new_system)
    (core,) = system.cores
    before = system.operator.read().json
    core.send_signal(signal.SIGTERM)
    assert core.wait_exit() == 0
    core.change_settings(bootstrap=False)
    core.start()
    assert system.operator.read().json == before


# ---- SIGHUP


def test_a_broken_settings_file_changes_nothing_at_sighup(new_system) -> None:
    system = small(new_system)
    edge, (core,) = system.edges[0], system.cores
    for machine in system.machines:
        for content in ("", "{", "[]", '{"node_name": "alone"}', '{"ip": 5}'):
            told = machine.log().count(KEPT_SETTINGS)
            machine.settings_path.write_text(content)
            machine.send_signal(signal.SIGHUP)
            wait_until(
                lambda machine=machine, told=told: machine.log().count(KEPT_SETTINGS) > told,
                f"a line in the log of {machine.name}",
            )
        assert machine.running
    assert ask_once(edge.front, plain()).status == 200
    assert ready_status(edge) == 200
    assert system.operator.read(first=core.control).status == 200


def test_new_seeds_are_followed_at_sighup(new_system) -> None:
    system = small(new_system)
    late = system.new_edge()
    seeds = late.settings["seed_nodes"]
    late.change_settings(seed_nodes=[f"{late.ip}:1"])
    late.start()
    wait_until(lambda: ready_status(late) == 503, "an answer of the edge without a core")
    late.change_settings(seed_nodes=seeds)
    late.send_signal(signal.SIGHUP)
    system.wait_ready([late])
    assert ask_once(late.front, plain()).status == 200


# ---- what cannot be started


def assert_unusable(machine: Machine, word: str) -> None:
    """It ends with 2 and says why in one line."""
    machine.start()
    wait_until(lambda: not machine.running or "started" in machine.log(), "its end or its start")
    assert "started" not in machine.log(), machine.log()
    assert machine.wait_exit() == EXIT_UNUSABLE, machine.log()
    lines = machine.log().splitlines()
    assert len(lines) == 1, lines
    assert word in lines[0]


BAD_SETTINGS: dict[str, tuple[Callable[[Machine], object], str]] = {
    "not JSON": (lambda machine: machine.settings_path.write_text("{"), "cannot be read"),
    "no object": (lambda machine: machine.settings_path.write_text("[]"), "object"),
    "no ip": (lambda machine: machine.change_settings(ip=None), "ip"),
    "a port that is none": (lambda machine: machine.change_settings(port_range=[0, 70_000]), "port_range"),
    "a seed without a port": (
        lambda machine: machine.change_settings(seed_nodes=["127.0.0.1"]),
        "seed_nodes",
    ),
    "an unknown role": (lambda machine: machine.change_settings(role="baker"), "role"),
    "no file": (lambda machine: machine.settings_path.unlink(), "cannot be read"),
}


@pytest.mark.parametrize("machine_class", CLASSES)
@pytest.mark.parametrize("name", BAD_SETTINGS)
def test_settings_that_cannot_be_used_end_the_start(new_system, machine_class: str, name: str) -> None:
    system = new_system(cores=1, edges=1)
    machine = (system.edges if machine_class == "edge" else system.cores)[0]
    spoil, word = BAD_SETTINGS[name]
    spoil(machine)
    assert_unusable(machine, word)
    assert machine.log().startswith(f"iristrack: {machine.settings_path}: ")


@pytest.mark.parametrize("machine_class", CLASSES)
def test_a_start_without_the_variable_ends(machine_class: str) -> None:
    environment = {name: value for name, value in os.environ.items() if name != SETTINGS_VARIABLE}
    ended = subprocess.run(
        [sys.executable, "-m", PROGRAMS[machine_class]],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
    )
    assert ended.returncode == EXIT_UNUSABLE
    assert len(ended.stderr.splitlines()) == 1, ended.stderr
    assert SETTINGS_VARIABLE in ended.stderr


@pytest.mark.parametrize("name", ["front_http", "readiness", "control_plane", "inner port"])
def test_a_taken_port_ends_the_start(new_system, name: str) -> None:
    system = new_system(cores=1, edges=1)
    machine = (system.edges if name in ("front_http", "readiness") else system.cores)[0]
    taken = machine.settings["bind"].get(name, f"{machine.ip}:{PORT_RANGE[0]}")
    host, _, port = taken.rpartition(":")
    with socket.create_server((host, int(port))):
        assert_unusable(machine, "cannot")


def test_a_core_without_a_disk_does_not_start(new_system) -> None:
    system = new_system(cores=1, edges=0)
    system.cores[0].change_settings(data_dir=None)
    assert_unusable(system.cores[0], "data_dir")


def test_help_tells_what_the_programs_are_for(tmp_path: Path) -> None:
    for module in PROGRAMS.values():
        told = subprocess.run(
            [sys.executable, "-m", module, "--help"], cwd=ROOT, capture_output=True, text=True, check=True
        )
        assert SETTINGS_VARIABLE in told.stdout


def test_both_programs_tell_their_figures_as_text(new_system) -> None:
    system = new_system(cores=3, edges=1)
    start_usual(system)
    for address in (system.edges[0].readiness, system.cores[0].control):
        connection = http.client.HTTPConnection(address, timeout=PATIENCE_S)
        connection.request("GET", "/metrics")
        answer = connection.getresponse()
        rows = dict(line.split(" ") for line in answer.read().decode().splitlines())
        connection.close()
        assert answer.status == 200
        assert all(name.startswith("iristrack_") and float(value) >= 0 for name, value in rows.items())
        assert "iristrack_ready" in rows or rows["iristrack_members"] == "3"
