"""Streams: whole events at once, resumed without a seam or broken off for all to see, never run twice."""

from __future__ import annotations

import pytest

from iristrack.standin.behaviour import Behaviour, Fault, Gate
from iristrack.standin.client import BrokenAnswer, Request, event_id
from iristrack.standin.model_server import SEAL, answer_body, event_bytes
from tests.system.scene import LONG_WAIT, Scene, generation, plain

EVENTS = 6
BREAKS = [Fault.RESET, Fault.CLOSE, Fault.GARBAGE_IN_STREAM]
PROMISES = (408, 421, 429, 503)


def read_events(scene: Scene, request: Request) -> list[bytes]:
    """All events; raises `BrokenAnswer`."""
    with scene.client() as client:
        stream = client.open(request)
        assert stream.status == 200
        return list(stream.events())


def whole_stream(events: int = EVENTS) -> list[bytes]:
    return [event_bytes(number) for number in range(1, events + 1)]


# ---- passing on


def test_events_are_passed_on_whole_and_at_once_with_the_seal(scene: Scene) -> None:
    gates = [Gate() for _ in range(3)]
    for after, gate in enumerate(gates, start=1):
        request = generation(events=EVENTS)
        scene.script.on(request.attempt_id, Behaviour(after_events=after, gate=gate))
        with scene.client() as client:
            stream = client.open(request)
            (arrival,) = scene.ledger.arrivals(request.attempt_id)
            assert stream.headers[SEAL] == f"seal-{arrival.instance_id}-{arrival.number}"
            assert stream.headers["Content-Type"] == "text/event-stream"
            assert [stream.next_event() for _ in range(after)] == whole_stream(after)
            gate.open()  # the server has not gone on before
            assert stream.event_ids() == list(range(after + 1, EVENTS + 1))


def test_a_long_stream_arrives_whole(scene: Scene) -> None:
    assert read_events(scene, generation(events=2_000)) == whole_stream(2_000)


def test_a_connection_serves_stream_after_stream(scene: Scene) -> None:
    with scene.client() as client:
        ports = set()
        for _ in range(5):
            assert client.open(generation(events=EVENTS)).event_ids() == list(range(1, EVENTS + 1))
            ports.add(client.local_port())
    assert len(ports) == 1


def test_a_client_that_leaves_ends_its_stream_at_the_server(scene: Scene) -> None:
    request = generation(events=EVENTS, headers=LONG_WAIT)
    scene.script.on(request.attempt_id, Behaviour(Fault.SILENCE, after_events=2))
    with scene.client() as client:
        assert client.open(request).next_event()
    (arrival,) = scene.ledger.arrivals(request.attempt_id)
    scene.ledger.wait_for(lambda: arrival.left, "the end of the server's work")


# ---- resumed inside one answer


@pytest.mark.parametrize("fault", BREAKS)
@pytest.mark.parametrize("after", [1, 3, EVENTS])
def test_a_resumable_stream_goes_on_at_the_other_server(scene: Scene, fault: Fault, after: int) -> None:
    request = generation("/resume/x", events=EVENTS)
    scene.script.on(request.attempt_id, Behaviour(fault, after_events=after))
    with scene.client() as client:
        stream = client.open(request)
        assert list(stream.events()) == whole_stream()
        assert client.ask(plain()).status == 200  # the answer is over, and the connection goes on
    first, second = scene.ledger.arrivals(request.attempt_id)
    assert first.instance_id != second.instance_id
    # A reset or spoilt bytes may overtake the events before them: then the other server is asked for those again.
    told = int(second.header("Last-Event-Id") or 0)
    assert told == after if fault is Fault.CLOSE else told <= after
    head_from = first if told else second
    assert stream.headers[SEAL] == f"seal-{head_from.instance_id}-{head_from.number}"


def test_a_stream_that_breaks_before_its_first_event_is_run_elsewhere(scene: Scene) -> None:
    for fault in (Fault.RESET, Fault.CLOSE, Fault.GARBAGE, Fault.UNPROMISED_503):
        scene.settle()
        request = generation("/resume/x", events=EVENTS)
        scene.script.on(request.attempt_id, Behaviour(fault))
        assert read_events(scene, request) == whole_stream()
        first, second = scene.ledger.arrivals(request.attempt_id)
        assert first.instance_id != second.instance_id


def test_a_stream_that_breaks_twice_goes_on_twice_or_breaks_off(scene: Scene) -> None:
    request = generation("/resume/x", events=EVENTS)
    breaks = [Behaviour(Fault.CLOSE, after_events=1)] * 3
    scene.script.on(request.attempt_id, *breaks)
    with scene.client() as client:
        stream = client.open(request)
        assert stream.next_event() == event_bytes(1)
        with pytest.raises(BrokenAnswer):  # there are but two servers
            while event := stream.next_event():
                assert event_id(event) == 2


def test_a_client_resumes_after_the_event_that_it_names(scene: Scene) -> None:
    for path in ("/resume/x", "/stream/x"):
        request = generation(path, events=EVENTS, headers=(("Last-Event-Id", "4"),))
        assert read_events(scene, request) == whole_stream()[4:]
        (arrival,) = scene.ledger.arrivals(request.attempt_id)
        assert arrival.header("Last-Event-Id") == "4"


def test_a_stream_that_its_client_resumed_is_resumed_again(scene: Scene) -> None:
    request = generation("/resume/x", events=EVENTS, headers=(("Last-Event-Id", "2"),))
    scene.script.on(request.attempt_id, Behaviour(Fault.CLOSE, after_events=2))
    assert read_events(scene, request) == whole_stream()[2:]
    first, second = scene.ledger.arrivals(request.attempt_id)
    assert (first.header("Last-Event-Id"), second.header("Last-Event-Id")) == ("2", "4")


# ---- not resumable


@pytest.mark.parametrize("fault", BREAKS)
@pytest.mark.parametrize("after", [1, EVENTS])
def test_a_broken_stream_does_not_look_complete_and_is_not_run_again(
    scene: Scene, fault: Fault, after: int
) -> None:
    request = generation(events=EVENTS)
    scene.script.on(request.attempt_id, Behaviour(fault, after_events=after))
    seen = []
    with scene.client() as client, pytest.raises(BrokenAnswer):
        stream = client.open(request)
        if stream.status != 200:
            assert stream.status not in PROMISES
            raise BrokenAnswer("a failure, for all to see")
        while event := stream.next_event():
            seen.append(event)
    assert seen == whole_stream()[: len(seen)]
    assert len(scene.ledger.arrivals(request.attempt_id)) == 1


@pytest.mark.parametrize(
    "fault", [Fault.RESET, Fault.CLOSE, Fault.GARBAGE, Fault.UNPROMISED_503, Fault.SILENCE]
)
def test_a_stream_that_may_have_run_is_neither_repeated_nor_called_refused(
    scene: Scene, fault: Fault
) -> None:
    request = generation(events=EVENTS, headers=(("X-Iristrack-Time-Left-Ms", "1200"),))
    scene.script.on(request.attempt_id, Behaviour(fault))
    try:
        status = scene.ask(request).status
    except BrokenAnswer:
        status = 0
    assert status not in PROMISES
    assert not 200 <= status < 300
    assert len(scene.ledger.arrivals(request.attempt_id)) == 1


def test_a_stream_that_was_turned_away_runs_once_elsewhere(scene: Scene) -> None:
    request = generation(events=EVENTS)
    scene.script.on(request.attempt_id, Behaviour(Fault.SHED))
    assert read_events(scene, request) == whole_stream()
    assert len(scene.ledger.runs(request.attempt_id)) == 1


def test_503_only_where_no_server_ran_it(scene: Scene) -> None:
    for path in ("/stream/x", "/resume/x"):
        scene.settle()
        request = generation(path, events=EVENTS)
        scene.script.on(request.attempt_id, *[Behaviour(Fault.SHED)] * 4)
        answer = scene.ask(request)
        assert (answer.status, SEAL in answer.headers) == (503, False)
        assert not scene.ledger.runs(request.attempt_id)


def test_a_resumed_stream_that_nobody_takes_breaks_off(scene: Scene) -> None:
    request = generation("/resume/x", events=EVENTS)
    shed = [Behaviour(Fault.SHED)] * 4
    scene.script.on(request.attempt_id, Behaviour(Fault.CLOSE, after_events=2), *shed)
    with scene.client() as client:
        stream = client.open(request)
        assert [stream.next_event(), stream.next_event()] == whole_stream(2)
        with pytest.raises(BrokenAnswer):
            stream.next_event()


def test_a_failure_where_a_stream_goes_on_breaks_it_off(scene: Scene) -> None:
    request = generation("/resume/x", events=EVENTS)
    scene.script.on(request.attempt_id, Behaviour(Fault.CLOSE, after_events=2), Behaviour(Fault.ERROR))
    with scene.client() as client:
        stream = client.open(request)
        assert [stream.next_event(), stream.next_event()] == whole_stream(2)
        with pytest.raises(BrokenAnswer):
            stream.next_event()


# ---- late answers


def test_a_late_second_stream_is_given_to_no_other_request(scene: Scene) -> None:
    connections = set()
    rounds = 16
    with scene.client() as client:
        for number in range(rounds):
            events = 2 + number % 5
            request = generation("/resume/x" if number % 2 else "/stream/x", events=events)
            scene.script.on(request.attempt_id, Behaviour(Fault.LATE_SECOND, after_events=99))
            stream = client.open(request)
            (arrival,) = scene.ledger.arrivals(request.attempt_id)
            assert stream.headers["X-Iristrack-Attempt-Id"] == request.attempt_id
            assert stream.headers[SEAL] == f"seal-{arrival.instance_id}-{arrival.number}"
            assert list(stream.events()) == whole_stream(events)
            connections.add(arrival.connection)
            ordinary = plain(body=request.attempt_id.encode())
            assert client.ask(ordinary).body == answer_body(ordinary.attempt_id, ordinary.body)
    assert len(connections) < rounds, "no connection was used twice, so that nothing came late"
