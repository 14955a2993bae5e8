"""Event streams: complete events, no gaps or duplicates across servers, never complete if broken off."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from iristrack.http1 import messages as http
from tests.dataplane.harness import (
    Client,
    Harness,
    ServerExchange,
    chunks,
    client_request,
    event,
    events,
    make_harness,
    stream,
    stream_head,
    yield_turn,
)


def breaking_after(data: bytes, end: str = "close"):
    def answer(exchange: ServerExchange) -> None:
        exchange.send(data)
        getattr(exchange, end)()

    return answer


def resuming(last: int, repeated: int = 0, seal: bytes = b"s2"):
    """Return an answer that resumes after `Last-Event-Id`, and repeats `repeated` earlier events first."""

    def answer(exchange: ServerExchange) -> None:
        known = int(exchange.message.head.fields.get(b"last-event-id", b"0"))
        exchange.send(stream(max(1, known + 1 - repeated), last, seal))

    return answer


@pytest.mark.parametrize("prefix", ["stream", "resumable"])
def test_events_arrive_unaltered_and_one_by_one(harness: Harness, prefix: str) -> None:
    passed: list[int] = []

    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head())
        for number in range(1, 5):
            exchange.send(chunks(number, number))
            while len(passed) < number:  # send the next one after the client has received this one
                yield_turn(exchange.server.scheduler)
        exchange.send(http.LAST_CHUNK)

    harness.serve(answer)

    def call() -> bytes:
        client = Client(harness)
        client.send(client_request(prefix))
        raw = b""
        for number in range(1, 5):
            raw += client.receive(until=event(number)).raw
            passed.append(number)
        return raw + client.receive().raw

    (raw,) = harness.run(call)
    message = http.Reader(response=True).feed(raw)
    assert message.body == events(1, 4)
    assert message.head.fields[b"content-type"] == b"text/event-stream"


def test_a_partial_event_is_held_back_until_it_is_complete(harness: Harness) -> None:
    first_part, rest = event(2)[:5], event(2)[5:]
    seen: list[bytes] = []

    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head() + http.chunk(event(1) + first_part))
        while not seen:
            yield_turn(exchange.server.scheduler)
        exchange.send(http.chunk(rest) + http.LAST_CHUNK)

    harness.serve(answer)

    def call() -> bytes:
        client = Client(harness)
        client.send(client_request("stream"))
        seen.append(client.receive(until=event(1)).raw)
        return client.receive().raw

    (raw,) = harness.run(call)
    assert seen[0].endswith(http.chunk(event(1)))
    assert raw == http.chunk(event(2)) + http.LAST_CHUNK


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("partial", [b"", event(4)[:7]])
def test_a_broken_stream_resumes_without_gap_or_duplicate(harness: Harness, end: str, partial: bytes) -> None:
    sent = stream_head() + chunks(1, 3) + (http.chunk(partial) if partial else b"")
    first, second = harness.serve(breaking_after(sent, end)), harness.serve(resuming(6))
    answer = harness.ask(client_request("resumable"))
    assert (answer.status, answer.body, answer.end) == (200, events(1, 6), "open")
    assert answer.header(b"x-iristrack-server-seal") == b"s1"  # of the first server
    assert first.header(b"last-event-id") is None
    assert second.header(b"last-event-id") == b"3"
    assert second.header(b"x-iristrack-expect-instance") == b"i-1"


@settings(max_examples=80)
@given(
    st.integers(0, 5),
    st.integers(1, len(chunks(1, 5))),
    st.integers(1, len(chunks(1, 5))),
    st.integers(0, 5),
    st.booleans(),
)
def test_wherever_a_stream_breaks_each_event_arrives_once(
    resumed_after, first_cut, second_cut, repeated_count, reset
) -> None:
    """The client resumes after this event; two servers break off, and the third continues to event 9."""

    def breaking(length: int, seal: bytes):
        def answer(exchange: ServerExchange) -> None:
            known = int(exchange.message.head.fields.get(b"last-event-id", b"0"))
            exchange.send(stream_head(seal) + chunks(max(1, known + 1 - repeated_count), 9)[:length])
            exchange.reset() if reset else exchange.close()

        return answer

    harness = make_harness()
    servers = [harness.serve(breaking(first_cut, b"s1")), harness.serve(breaking(second_cut, b"s2"))]
    servers.append(harness.serve(resuming(9, repeated_count, b"s3")))
    lines = b"Last-Event-Id: %d\r\n" % resumed_after if resumed_after else b""
    assert harness.ask(client_request("resumable", lines=lines)).body == events(resumed_after + 1, 9)
    assert [len(server.requests) for server in servers] == [1, 1, 1]
    for server in servers:
        server.stop()
    harness.listener.stop_accepting()


def test_a_stream_may_break_twice(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(breaking_after(stream_head(b"s2") + chunks(3, 4), "reset"))
    third = harness.serve(resuming(6, seal=b"s3"))
    answer = harness.ask(client_request("resumable"))
    assert (answer.body, third.header(b"last-event-id")) == (events(1, 6), b"4")


def test_repeated_events_are_dropped(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 3)))
    harness.serve(resuming(6, repeated=2))
    assert harness.ask(client_request("resumable")).body == events(1, 6)


def test_comments_after_the_last_event_do_not_change_the_resume_point(harness: Harness) -> None:
    comment = b": still here\n\n"
    harness.serve(breaking_after(stream_head() + http.chunk(events(1, 3) + comment)))
    second = harness.serve(resuming(5))
    answer = harness.ask(client_request("resumable"))
    assert second.header(b"last-event-id") == b"3"
    assert answer.body == events(1, 3) + comment + events(4, 5)


def test_a_stream_broken_before_its_first_event_starts_anew(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head()))
    second = harness.serve(resuming(3))
    answer = harness.ask(client_request("resumable"))
    assert (answer.body, second.header(b"last-event-id")) == (events(1, 3), None)
    assert (
        answer.header(b"x-iristrack-server-seal") == b"s2"
    )  # nothing of the first server's response was forwarded


def test_a_client_that_resumes_gets_no_event_twice(harness: Harness) -> None:
    server = harness.serve(resuming(6, repeated=1))
    answer = harness.ask(client_request("resumable", lines=b"Last-Event-Id: 4\r\n"))
    assert server.header(b"last-event-id") == b"4"
    assert answer.body == events(5, 6)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("partial", [b"", event(3)[:7]])
def test_a_broken_stream_that_is_not_resumable_is_reset(harness, end, partial) -> None:
    sent = stream_head() + chunks(1, 2) + (http.chunk(partial) if partial else b"")
    server, other = harness.serve(breaking_after(sent, end)), harness.serve(stream(1, 9))
    answer = harness.ask(client_request("stream"))
    assert not answer.complete
    assert answer.end == "reset"
    assert not answer.raw.endswith(http.LAST_CHUNK)
    assert event(2) in answer.raw
    assert partial == b"" or partial not in answer.raw
    assert (len(server.requests), other.requests) == (1, [])


def test_a_broken_stream_without_another_server_is_reset(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    answer = harness.ask(client_request("resumable"))
    assert (answer.complete, answer.end) == (False, "reset")
    assert not answer.raw.endswith(http.LAST_CHUNK)


def test_a_stream_that_ends_inside_an_event_is_not_complete(harness: Harness) -> None:
    harness.serve(stream_head() + chunks(1, 2) + http.chunk(event(3)[:9]) + http.LAST_CHUNK)
    answer = harness.ask(client_request("stream"))
    assert (answer.complete, answer.end) == (False, "reset")


@pytest.mark.parametrize("status", [400, 404, 500, 503])
def test_an_error_after_the_break_never_completes_the_stream(harness: Harness, status: int) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(http.response(status, b"why"))
    answer = harness.ask(client_request("resumable"))
    assert (answer.complete, answer.end) == (False, "reset")
    assert b"why" not in answer.raw


def test_a_rejected_resumption_is_retried_on_another_server(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(http.response(503, b"full", b"X-Iristrack-Not-Executed: 1\r\n"))
    third = harness.serve(resuming(4))
    answer = harness.ask(client_request("resumable"))
    assert (answer.body, third.header(b"last-event-id")) == (events(1, 4), b"2")


def test_a_deadline_during_a_stream_resets_it(harness: Harness) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head() + chunks(1, 1))
        exchange.wait_until_closed()

    server = harness.serve(answer)
    request = client_request("stream").replace(b"Time-Left-Ms: 9000", b"Time-Left-Ms: 250")
    answer = harness.ask(request)
    assert (answer.complete, answer.end) == (False, "reset")
    harness.run_until(lambda: server.ended == 1)


def test_an_empty_stream_is_complete(harness: Harness) -> None:
    harness.serve(stream_head() + http.LAST_CHUNK)
    answer = harness.ask(client_request("stream"))
    assert (answer.status, answer.body) == (200, b"")


def test_a_revision_announced_by_an_event_is_recorded(harness: Harness) -> None:
    update_event = b"versions: 4\n" + event(2)
    harness.serve(stream_head() + chunks(1, 1) + http.chunk(update_event) + http.LAST_CHUNK)
    answer = harness.ask(client_request("stream", lines=b"X-Iristrack-Model: daka510000\r\n"))
    assert answer.body == event(1) + update_event
    assert harness.listed_server("i-0").revisions == {"daka510000": 4}


LONG_ID = 2026120400017000000  # 19 digits: a statement's number and six digits for the piece


@pytest.mark.parametrize("first", [10**17, LONG_ID, 10**900])
def test_a_stream_with_long_event_ids_is_resumed_without_duplicates(harness: Harness, first: int) -> None:
    harness.serve(breaking_after(stream_head() + chunks(first, first + 2)))
    second = harness.serve(stream(first + 3, first + 5, b"s2"))
    answer = harness.ask(client_request("resumable"))
    assert answer.body == events(first, first + 5)
    assert second.header(b"last-event-id") == b"%d" % (first + 2)


def test_a_client_can_resume_after_a_long_event_id(harness: Harness) -> None:
    server = harness.serve(stream(LONG_ID, LONG_ID + 3))
    answer = harness.ask(client_request("resumable", lines=b"Last-Event-Id: %d\r\n" % (LONG_ID + 1)))
    assert server.header(b"last-event-id") == b"%d" % (LONG_ID + 1)
    assert answer.body == events(LONG_ID + 2, LONG_ID + 3)


@pytest.mark.parametrize("piece", [b"data: no id\n\n", b"id: x7\ndata: x\n\n"])
def test_a_stream_is_not_resumed_after_data_without_an_id(harness: Harness, piece: bytes) -> None:
    harness.serve(breaking_after(stream_head() + http.chunk(piece)))
    second = harness.serve(stream(1, 3, b"s2"))
    answer = harness.ask(client_request("resumable"))
    assert not answer.complete
    assert piece in answer.raw
    assert second.requests == []


def test_a_long_error_from_the_resuming_server_is_not_appended(harness: Harness) -> None:
    length = 300 * 1024
    failure = b"HTTP/1.1 500 Internal Server Error\r\nX-Iristrack-Server-Seal: s2\r\n"
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(failure + b"Content-Length: %d\r\n\r\n" % length + b"x" * length)
    answer = harness.ask(client_request("resumable"))
    assert not answer.complete
    assert answer.raw.count(b"HTTP/1.1") == 1
