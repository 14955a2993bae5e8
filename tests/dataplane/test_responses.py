"""Answers that are no streams: passed on unaltered, never another request's, never complete where they broke off."""

from __future__ import annotations

import pytest

from iristrack.dataplane.exchange import WHOLE_ANSWER
from iristrack.http1 import messages as http
from tests.dataplane.harness import CHUNKED, SEALED, Client, Conversation, Harness, asking

LONG = bytes(range(256)) * (WHOLE_ANSWER // 256 + 400)


def id_line(conversation: Conversation) -> bytes:
    return b"X-Iristrack-Attempt-Id: %b\r\n" % conversation.id


def own_answer(conversation: Conversation) -> bytes:
    return http.response(200, b"for " + conversation.id, SEALED + id_line(conversation))


def with_length(body: bytes, lines: bytes) -> bytes:
    return http.response(200, body, lines)


def in_chunks(body: bytes, lines: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\n" + lines + CHUNKED + b"\r\n"
    pieces = (http.chunk(body[at : at + 7]) for at in range(0, len(body), 7))
    return head + b"".join(pieces) + http.LAST_CHUNK


def without_length(body: bytes, lines: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n" + body


def test_status_body_and_lines_of_the_server_come_unaltered(harness: Harness) -> None:
    lines = SEALED + b"X-Odd:  a  b \r\nContent-Type: x/y\r\nKeep-Alive: timeout=5\r\n"
    harness.serve(http.response(207, b"\x00body\xff", lines))
    answer = harness.ask(asking("safe"))
    assert (answer.status, answer.body, answer.end) == (207, b"\x00body\xff", "open")
    assert answer.header(b"x-iristrack-server-seal") == b"s1"
    assert b"X-Odd:  a  b \r\n" in answer.raw
    assert answer.header(b"keep-alive") is None  # it concerns the connection to the server


@pytest.mark.parametrize("status", [304, 400, 404, 500, 504])
@pytest.mark.parametrize("prefix", ["safe", "unsafe", "stream", "resumable"])
def test_a_failure_that_the_server_answered_is_the_answer(harness: Harness, status: int, prefix: str) -> None:
    server, other = harness.serve(http.response(status, b"" if status == 304 else b"why")), harness.serve(b"")
    answer = harness.ask(asking(prefix))
    assert (answer.status, answer.body) == (status, b"" if status == 304 else b"why")
    assert (len(server.requests), other.requests) == (1, [])


@pytest.mark.parametrize("dribbled", [False, True])
@pytest.mark.parametrize("written", [with_length, in_chunks])
@pytest.mark.parametrize("body", [b"", b"late for another"])
def test_a_late_answer_of_an_earlier_request_is_dropped(harness: Harness, dribbled, written, body) -> None:
    earlier = []

    def first(conversation: Conversation) -> None:
        earlier.append(written(body, SEALED + id_line(conversation)))
        conversation.send(own_answer(conversation))

    def second(conversation: Conversation) -> None:
        data = earlier[0] + own_answer(conversation)
        conversation.dribble(data) if dribbled else conversation.send(data)

    server = harness.serve(first, second)

    def call() -> list[bytes]:
        client = Client(harness)
        bodies = []
        for attempt_id in ("a1", "a2"):
            client.send(asking("unsafe", attempt_id))
            bodies.append(client.receive().body)
        return bodies

    assert harness.run(call) == [[b"for a1", b"for a2"]]
    assert server.opened == 1


@pytest.mark.parametrize("prefix", ["safe", "unsafe"])
def test_an_answer_that_names_no_request_is_no_answer_on_a_connection_that_had_another(
    harness: Harness, prefix: str
) -> None:
    unnamed = http.response(200, b"whose?", SEALED)

    def named(conversation: Conversation) -> None:
        conversation.send(own_answer(conversation))

    server = harness.serve(named, lambda conversation: conversation.send(unnamed), named)
    other = harness.serve(named)

    def call() -> list[http.Message]:
        client = Client(harness)
        received = []
        for attempt_id in ("a1", "a2"):
            client.send(asking(prefix, attempt_id))
            received.append(client.receive())
        return received

    ((first, second),) = harness.run(call)
    assert first.body == b"for a1"
    if prefix == "safe":
        assert second.body == b"for a2"  # asked elsewhere, or on a new connection
    else:
        assert second.status == 502  # it may have run
    assert len(server.requests) + len(other.requests) == (3 if prefix == "safe" else 2)


@pytest.mark.parametrize("at_once", [True, False])
def test_bytes_behind_an_answer_belong_to_no_request(harness: Harness, at_once: bool) -> None:
    def first(conversation: Conversation) -> None:
        answer = own_answer(conversation)
        unasked = http.response(200, b"unasked", SEALED)
        conversation.send(answer + unasked if at_once else answer)
        if not at_once:
            conversation.send(unasked)

    server = harness.serve(first, lambda conversation: conversation.send(own_answer(conversation)))

    def call() -> list[bytes]:
        client = Client(harness)
        bodies = []
        for attempt_id in ("a1", "a2"):
            client.send(asking("unsafe", attempt_id))
            bodies.append(client.receive().body)
        return bodies

    assert harness.run(call) == [[b"for a1", b"for a2"]]
    assert server.opened == 2


def test_interim_answers_are_not_passed_on(harness: Harness) -> None:
    harness.serve(b"HTTP/1.1 102 Processing\r\n\r\n" + http.response(200, b"x", SEALED))
    answer = harness.ask(asking("unsafe"))
    assert (answer.status, answer.body) == (200, b"x")
    assert b"102" not in answer.raw


@pytest.mark.parametrize("written", [with_length, in_chunks, without_length])
def test_a_long_answer_arrives_whole(harness: Harness, written) -> None:
    def answer(conversation: Conversation) -> None:
        conversation.send(written(LONG, SEALED))
        if written is without_length:
            conversation.close()

    harness.serve(answer)
    received = harness.ask(asking("unsafe"))
    assert received.status == 200
    assert received.body == LONG


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("written", [with_length, in_chunks])
@pytest.mark.parametrize("prefix", ["safe", "unsafe"])
def test_a_long_answer_that_ends_early_never_looks_complete(harness: Harness, prefix, written, end) -> None:
    def answer(conversation: Conversation) -> None:
        conversation.send(written(LONG, SEALED)[: -len(LONG) // 8])
        getattr(conversation, end)()

    server, other = harness.serve(answer), harness.serve(http.response(200, b"other", SEALED))
    received = harness.ask(asking(prefix))
    if received.complete:  # it broke off before anything was passed on
        assert (prefix, received.body) == ("safe", b"other") or received.status == 502
    else:
        assert received.end == "reset"
        assert not received.raw.endswith(http.LAST_CHUNK)
        assert other.requests == []
    assert len(server.requests) == 1


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\n" + SEALED,
        b"HTTP/1.1 200 OK\r\n" + SEALED + b"Content-Length: 5\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\n" + SEALED + CHUNKED + b"\r\n4\r\nhalf\r\n",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",  # no seal
        b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno",  # a promise that the server did not make
    ],
)
def test_what_is_no_whole_answer_is_not_passed_on(harness: Harness, sent: bytes, end: str) -> None:
    def answer(conversation: Conversation) -> None:
        conversation.send(sent)
        getattr(conversation, end)()

    broken, sound = harness.serve(answer), harness.serve(http.response(200, b"sound", SEALED))
    unsafe = harness.ask(asking("unsafe", "u1"))
    assert unsafe.status == 502
    assert sound.requests == []
    harness.known("i-0").succeeded(0)  # else it is left alone for a while
    assert harness.ask(asking("safe", "s1")).body == b"sound"
    assert broken.attempt_ids == [b"u1", b"s1"]


def test_the_time_over_at_a_server_that_works_promises_nothing(harness: Harness) -> None:
    server = harness.serve(Conversation.wait_for_end)
    answer = harness.ask(asking("short"))
    assert answer.status == 504
    harness.turn_until(lambda: server.ended == 1)


def test_a_server_that_closes_an_idle_connection_costs_no_request(harness: Harness) -> None:
    def answer_and_close(conversation: Conversation) -> None:
        conversation.send(own_answer(conversation))
        conversation.close()

    server = harness.serve(answer_and_close)
    for attempt_id in ("u1", "u2", "u3"):
        assert harness.ask(asking("unsafe", attempt_id)).status == 200
    assert server.attempt_ids == [b"u1", b"u2", b"u3"]
