"""The incident VERSION (`docs/incidents/version.md`): work began on weights whose time was over.

Symptom: "a request began on version 1, 9689 ms after version 2 was acked" (8,000 ms are allowed).

Sequence: servers are down while version 2 is named, and come back with version 1 after its bound; meanwhile version 3
was named (or a sidecar was started anew). Sidecars then sent requests to the servers on version 1.

Cause: a sidecar kept one moment for each model, when it had heard of the newest version. A further version set it
back, and a process that heard late began late: the allowance for older weights counted from hearing, not from naming.

Figures that settled it, of days of our own at the deployments concerned: broken on 6 of 8 with a further
version named, on none of 24 with orders held up, slow servers or slow moves. In the log of a day with killed
sidecars, version 2 was named at 2.37 s; one that was started anew at 6.34 s wrote `event="older weights"
revision=1 newest=2 sent_ms=5681` at 12.09 s: 9.7 s after the naming, 5.7 s after it had heard of it.
"""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from iristrack.standin.client import ask_once
from iristrack.standin.ledger import Arrival
from iristrack.standin.machine import Machine
from iristrack.standin.model_server import ModelServer
from iristrack.standin.operator import Call, call_once
from iristrack.standin.system import System
from iristrack.standin.waiting import PATIENCE_S, wait_until
from tests.system.scene import AMPLE_RETRIES, CHAT, MODEL, generation, usual_configuration
from tests.system.weights_scene import VERSION_MS, name_version, wait_past_the_bound, wait_revision

SERVERS = 4
RECEIVE = 65_536
SLACK_S = 1.0  # by so much a core member may know a version as younger than it is
REQUESTS = 40  # of which each meets the server in question with even chances


@pytest.fixture
def system(new_system) -> Iterator[System]:
    bounds = AMPLE_RETRIES | {"version_ms": VERSION_MS, "lease_ms": 1_200}
    system = new_system(cores=3, edges=1, rule_bounds=bounds)
    system.add_model_servers(CHAT, MODEL, SERVERS)
    system.start()
    assert system.operator.replace(usual_configuration(1), 0).status == 200
    system.wait_ready()
    return system


def begun(system: System) -> list[Arrival]:
    """The requests that a series of them began on servers, whatever became of the others."""
    before = len(system.ledger.arrivals())
    for _ in range(REQUESTS):
        ask_once(system.edges[0].front, generation())
    return [arrival for arrival in system.ledger.arrivals()[before:] if arrival.ran]


def leave_one_behind(system: System) -> float:
    """All servers but one take version 2, and its bound passes; when it was acknowledged."""
    stuck, *others = system.model_servers
    stuck.weights.stuck = True
    acknowledged = name_version(system, 2)
    wait_revision(others, 2)
    wait_past_the_bound(acknowledged)
    return acknowledged


def age_s(core: Machine) -> float:
    """How long ago a version was named, as this core member knows; 0 where it knows of none."""
    status = call_once(core.control, Call("GET", "/system/status")).json
    return max((v["named_ms_ago"] or 0 for v in status["versions"]), default=0) / 1000


def knows_age(core: Machine) -> bool:
    """Does this core member know that the bound of the newest version is over?"""
    return age_s(core) >= VERSION_MS / 1000


def test_a_further_version_gives_weights_whose_time_is_over_no_new_time(system: System) -> None:
    leave_one_behind(system)
    for server in system.model_servers:
        server.weights.stuck = True
    name_version(system, 3)
    assert {arrival.revision for arrival in begun(system)} == {2}


def test_a_sidecar_that_starts_anew_gives_older_weights_no_new_time(system: System) -> None:
    leave_one_behind(system)
    edge = system.edges[0]
    edge.kill()
    edge.start()
    system.wait_ready()
    assert {arrival.revision for arrival in begun(system)} == {2}


def test_a_sidecar_that_starts_anew_between_two_versions_goes_by_the_earlier_one(system: System) -> None:
    """The register names the newest version alone, whose time has just begun; that of the one before it is over."""
    leave_one_behind(system)
    for server in system.model_servers:
        server.weights.stuck = True
    name_version(system, 3)
    edge = system.edges[0]
    edge.kill()
    edge.start()
    system.wait_ready()
    assert {arrival.revision for arrival in begun(system)} == {2}


def test_a_sidecar_that_was_frozen_as_a_version_was_named_gives_older_weights_no_new_time(
    system: System,
) -> None:
    edge = system.edges[0]
    edge.send_signal(signal.SIGSTOP)
    leave_one_behind(system)
    edge.send_signal(signal.SIGCONT)
    wait_until(lambda: 'event="weights required"' in edge.log(), "the word of how long ago it was named")
    assert {arrival.revision for arrival in begun(system)} == {2}


def test_a_core_that_was_killed_whole_is_told_by_a_sidecar_how_long_ago_a_version_was_named(
    system: System,
) -> None:
    acknowledged = leave_one_behind(system)
    for core in system.cores:
        core.kill()
    for core in system.cores:
        core.change_settings(bootstrap=False)
        core.start()
    system.wait_listening()
    for core in system.cores:
        # What it counts from its own return is younger by the bound, however long this waits.
        wait_until(
            lambda core=core: age_s(core) > time.monotonic() - acknowledged - SLACK_S,
            f"the word of the sidecar at {core.name}",
        )
    system.edges[0].kill()
    system.edges[0].start()
    system.wait_ready()
    assert {arrival.revision for arrival in begun(system)} == {2}


def test_after_everything_was_killed_more_than_once_each_time_counts_from_the_cores_last_return(
    system: System,
) -> None:
    """Nobody remembers: what was named before has its time once more, and no version named meanwhile adds to it."""
    leave_one_behind(system)
    for revision in (3, 4):
        for server in system.model_servers:
            server.weights.stuck = True
        name_version(system, revision)
        for machine in system.machines:
            machine.kill()
        for machine in system.machines:
            machine.change_settings(bootstrap=False)
            machine.start()
        system.wait_ready()
    back_at = time.monotonic()
    revisions = {arrival.revision for arrival in begun(system)}
    assert revisions <= {1, 2}
    for server in system.model_servers[1:]:
        server.weights.stuck = False
    wait_revision(system.model_servers[1:], 4)
    wait_past_the_bound(back_at)
    assert {arrival.revision for arrival in begun(system)} == {4}


def test_a_core_that_was_exchanged_one_by_one_still_knows_how_long_ago_a_version_was_named(
    system: System,
) -> None:
    leave_one_behind(system)
    for core in system.cores:
        core.kill()
        core.change_settings(bootstrap=False)
        core.start()
        system.wait_listening([core])
        wait_until(lambda core=core: knows_age(core), f"the word of the others at {core.name}")
    edge = system.edges[0]
    edge.kill()
    edge.start()
    system.wait_ready()
    assert {arrival.revision for arrival in begun(system)} == {2}


def figures(edge: Machine) -> dict[str, str]:
    """What an edge machine tells at `/metrics`."""
    answer = call_once(edge.readiness, Call("GET", "/metrics"))
    return dict(line.split(" ") for line in answer.body.decode().splitlines())


class FrozenServer:
    """A server whose process stands still: its machine takes connections and bytes, and nobody reads them yet."""

    def __init__(self, like: ModelServer) -> None:
        """On the platform's list as an instance of its own, with the weights that the other one has."""
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.zone = like.zone
        self._entry = like.entry() | {"instance_id": "i-frozen", "address": f"{host}:{port}"}

    def entry(self) -> dict[str, object]:
        """The server as the platform's list holds it."""
        return self._entry

    def wake(self, attempt_id: str) -> tuple[bytes, bool]:
        """Read what lies there for a request; its bytes, and whether its connection's end lies behind them."""
        while True:
            connection, _ = self._listener.accept()
            connection.settimeout(PATIENCE_S)
            with connection:
                received = connection.recv(RECEIVE)
                if attempt_id.encode() in received:
                    return received, connection.recv(RECEIVE) == b""

    def stop(self) -> None:
        """Listen no more."""
        self._listener.close()


def test_a_request_that_lies_at_a_frozen_server_is_followed_there_by_the_end_of_its_connection(
    new_system,
) -> None:
    """It is taken back before its time is over. A server that wakes later and looks sees that nobody waits for it.

    One that begins it all the same does so by itself: nothing that a sidecar sends can reach it before it reads.
    """
    bounds = AMPLE_RETRIES | {"version_ms": VERSION_MS, "lease_ms": 1_200}
    system = new_system(cores=1, edges=1, rule_bounds=bounds)
    like = system.new_model_server(CHAT, MODEL)
    frozen = FrozenServer(like)
    system.platform.add(frozen)
    system.start()
    assert system.operator.replace(usual_configuration(1), 0).status == 200
    system.wait_ready()
    request = generation()
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(ask_once, system.edges[0].front, request)
        acknowledged = name_version(system, 2)
        answer = asked.result()
        taken_back_s = time.monotonic() - acknowledged
    assert answer.status in (502, 503)
    assert taken_back_s < VERSION_MS / 1000
    assert figures(system.edges[0])["iristrack_older_weights_taken_back"] == "1"
    received, is_ended = frozen.wake(request.attempt_id)
    assert received.startswith(b"POST ")
    assert is_ended
    frozen.stop()
