"""The first start: nobody is ready before the first configuration, which needs a majority and is kept whole."""

from __future__ import annotations

import json

import pytest

from iristrack.standin.client import BrokenAnswer, Request, ask_once
from iristrack.standin.operator import call_once, replace_call
from iristrack.standin.platform_list import PlatformList
from iristrack.standin.system import System, ready_status
from iristrack.standin.waiting import wait_until
from tests.system.scene import CHAT, MODEL, plain, usual_configuration


def wait_listening(system: System) -> None:
    system.wait_listening([core for core in system.cores if core.running])
    for edge in system.edges:
        wait_until(lambda edge=edge: ready_status(edge) is not None, f"an answer of {edge.name}")


def test_edges_become_ready_with_the_first_configuration_and_serve(new_system) -> None:
    system = new_system()
    system.add_model_servers(CHAT, MODEL, 2)
    system.start()
    wait_listening(system)
    assert [ready_status(edge) for edge in system.edges] == [503, 503]
    early = ask_once(system.edges[0].front, plain())
    assert early.status == 503
    assert not system.ledger.arrivals()

    assert system.operator.replace(usual_configuration(4), 0).status == 200

    system.wait_ready()
    for edge in system.edges:
        request = plain(body=b"first")
        answer = ask_once(edge.front, request)
        assert (answer.status, answer.body) == (200, f"served {request.attempt_id} first".encode())


def test_the_first_configuration_is_taken_while_the_processes_start(new_system) -> None:
    system = new_system(edges=0)
    system.start()
    document = usual_configuration(4)
    body = json.dumps(document, indent=1).encode()
    assert system.operator.replace(body, 0).status == 200
    for core in system.cores:
        answer = system.operator.read(first=core.control)
        assert (answer.status, json.loads(answer.body)) == (200, document)


def test_before_the_first_configuration_a_read_finds_none_and_another_base_is_refused(new_system) -> None:
    system = new_system(edges=0)
    system.start()
    assert system.operator.read().status == 404
    assert system.operator.replace(usual_configuration(4), 3).status == 412
    assert system.operator.read().status == 404
    assert system.operator.replace(usual_configuration(4), 0).status == 200


def test_the_first_configuration_needs_a_majority_of_the_core(new_system) -> None:
    system = new_system(edges=1)
    system.add_model_servers(CHAT, MODEL, 1)
    alone = system.cores[0]
    alone.start()
    system.edges[0].start()
    wait_listening(system)
    call = replace_call(usual_configuration(4), 0)
    assert wait_until(lambda: call_once(alone.control, call), "an answer of one member").status == 503
    assert ready_status(system.edges[0]) == 503

    for core in system.cores[1:]:
        core.start()

    assert system.operator.call(call, first=alone.control).status == 200
    system.wait_ready()


def test_no_edge_is_ready_before_it_knows_the_servers(new_system) -> None:
    system = new_system(cores=1, edges=1)
    system.platform.stop()
    system.start()
    assert system.operator.replace(usual_configuration(4), 0).status == 200
    edge = system.edges[0]
    unknown = plain("/nowhere/")
    wait_until(lambda: _status(edge.front, unknown) == 404, "the configuration at the edge")
    assert ready_status(edge) == 503

    system.platform = PlatformList(system.platform.host.port)
    system.add_model_servers(CHAT, MODEL, 1)

    system.wait_ready()
    assert ask_once(edge.front, plain()).status == 200


def _status(address: str, request: Request) -> int | None:
    try:
        return ask_once(address, request).status
    except BrokenAnswer:
        return None


@pytest.mark.parametrize("cores", [1, 5])
def test_a_core_of_another_size_takes_and_keeps_it(new_system, cores: int) -> None:
    system = new_system(cores=cores, edges=0)
    system.start()
    assert system.operator.replace(usual_configuration(4), 0).status == 200
    for core in system.cores:
        assert system.operator.read(first=core.control).json["revision"] == 4
