"""Streams: whole events, no gap and no double across servers, never complete where they broke off."""

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
    """A server that goes on behind `Last-Event-Id`, after sending so many of the events before it again."""

    def answer(exchange: ServerExchange) -> None:
        known = int(exchange.message.head.fields.get(b"last-event-id", b"0"))
        exchange.send(stream(max(1, known + 1 - repeated), last, seal))

    return answer


@pytest.mark.parametrize("prefix", ["stream", "resumable"])
def test_events_come_as_they_are_and_one_by_one(harness: Harness, prefix: str) -> None:
    passed: list[int] = []

    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head())
        for number in range(1, 5):
            exchange.send(chunks(number, number))
            while len(passed) < number:  # the next one only when the client has this one
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
    whole = http.Reader(response=True).feed(raw)
    assert whole.body == events(1, 4)
    assert whole.head.fields[b"content-type"] == b"text/event-stream"


def test_half_an_event_is_held_back_until_it_is_whole(harness: Harness) -> None:
    half, rest = event(2)[:5], event(2)[5:]
    seen: list[bytes] = []

    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head() + http.chunk(event(1) + half))
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
def test_a_cut_stream_goes_on_elsewhere_without_gap_or_double(
    harness: Harness, end: str, partial: bytes
) -> None:
    cut = stream_head() + chunks(1, 3) + (http.chunk(partial) if partial else b"")
    first, second = harness.serve(breaking_after(cut, end)), harness.serve(resuming(6))
    answer = harness.ask(client_request("resumable"))
    assert (answer.status, answer.body, answer.end) == (200, events(1, 6), "open")
    assert answer.header(b"x-iristrack-server-seal") == b"s1"  # of the server that it came from first
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
def test_wherever_it_is_cut_the_client_gets_each_event_once(
    begun, first_cut, second_cut, again, reset
) -> None:
    """The client goes on behind event `begun`; two servers cut what they send, the third goes on to event 9."""

    def cutting(length: int, seal: bytes):
        def answer(exchange: ServerExchange) -> None:
            known = int(exchange.message.head.fields.get(b"last-event-id", b"0"))
            exchange.send(stream_head(seal) + chunks(max(1, known + 1 - again), 9)[:length])
            exchange.reset() if reset else exchange.close()

        return answer

    harness = make_harness()
    servers = [harness.serve(cutting(first_cut, b"s1")), harness.serve(cutting(second_cut, b"s2"))]
    servers.append(harness.serve(resuming(9, again, b"s3")))
    lines = b"Last-Event-Id: %d\r\n" % begun if begun else b""
    assert harness.ask(client_request("resumable", lines=lines)).body == events(begun + 1, 9)
    assert [len(server.requests) for server in servers] == [1, 1, 1]
    for server in servers:
        server.stop()
    harness.listener.stop_accepting()


def test_a_stream_may_be_cut_twice(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(breaking_after(stream_head(b"s2") + chunks(3, 4), "reset"))
    third = harness.serve(resuming(6, seal=b"s3"))
    answer = harness.ask(client_request("resumable"))
    assert (answer.body, third.header(b"last-event-id")) == (events(1, 6), b"4")


def test_events_that_come_again_are_left_out(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 3)))
    harness.serve(resuming(6, repeated=2))
    assert harness.ask(client_request("resumable")).body == events(1, 6)


def test_the_last_event_counts_where_lines_without_an_id_stand_behind_it(harness: Harness) -> None:
    comment = b": still here\n\n"
    harness.serve(breaking_after(stream_head() + http.chunk(events(1, 3) + comment)))
    second = harness.serve(resuming(5))
    answer = harness.ask(client_request("resumable"))
    assert second.header(b"last-event-id") == b"3"
    assert answer.body == events(1, 3) + comment + events(4, 5)


def test_a_stream_cut_before_its_first_event_begins_at_the_next_server(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head()))
    second = harness.serve(resuming(3))
    answer = harness.ask(client_request("resumable"))
    assert (answer.body, second.header(b"last-event-id")) == (events(1, 3), None)
    assert answer.header(b"x-iristrack-server-seal") == b"s2"  # nothing of the first was passed on


def test_a_client_that_goes_on_itself_is_sent_nothing_twice(harness: Harness) -> None:
    server = harness.serve(resuming(6, repeated=1))
    answer = harness.ask(client_request("resumable", lines=b"Last-Event-Id: 4\r\n"))
    assert server.header(b"last-event-id") == b"4"
    assert answer.body == events(5, 6)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("partial", [b"", event(3)[:7]])
def test_a_cut_stream_that_may_not_be_resumed_is_broken_off_for_all_to_see(harness, end, partial) -> None:
    cut = stream_head() + chunks(1, 2) + (http.chunk(partial) if partial else b"")
    server, other = harness.serve(breaking_after(cut, end)), harness.serve(stream(1, 9))
    answer = harness.ask(client_request("stream"))
    assert not answer.complete
    assert answer.end == "reset"
    assert not answer.raw.endswith(http.LAST_CHUNK)
    assert event(2) in answer.raw
    assert partial == b"" or partial not in answer.raw
    assert (len(server.requests), other.requests) == (1, [])


def test_a_stream_without_a_further_server_is_broken_off_for_all_to_see(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    answer = harness.ask(client_request("resumable"))
    assert (answer.complete, answer.end) == (False, "reset")
    assert not answer.raw.endswith(http.LAST_CHUNK)


def test_a_stream_that_ends_inside_an_event_is_not_complete(harness: Harness) -> None:
    harness.serve(stream_head() + chunks(1, 2) + http.chunk(event(3)[:9]) + http.LAST_CHUNK)
    answer = harness.ask(client_request("stream"))
    assert (answer.complete, answer.end) == (False, "reset")


@pytest.mark.parametrize("status", [400, 404, 500, 503])
def test_a_failure_after_the_cut_never_ends_the_stream_as_if_whole(harness: Harness, status: int) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(http.response(status, b"why"))
    answer = harness.ask(client_request("resumable"))
    assert (answer.complete, answer.end) == (False, "reset")
    assert b"why" not in answer.raw


def test_a_server_that_turns_the_rest_away_is_followed_by_another(harness: Harness) -> None:
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(http.response(503, b"full", b"X-Iristrack-Not-Executed: 1\r\n"))
    third = harness.serve(resuming(4))
    answer = harness.ask(client_request("resumable"))
    assert (answer.body, third.header(b"last-event-id")) == (events(1, 4), b"2")


def test_the_time_over_in_a_stream_breaks_it_off(harness: Harness) -> None:
    def answer(exchange: ServerExchange) -> None:
        exchange.send(stream_head() + chunks(1, 1))
        exchange.wait_until_closed()

    server = harness.serve(answer)
    request = client_request("stream").replace(b"Time-Left-Ms: 9000", b"Time-Left-Ms: 250")
    answer = harness.ask(request)
    assert (answer.complete, answer.end) == (False, "reset")
    harness.turn_until(lambda: server.ended == 1)


def test_an_empty_stream_is_whole(harness: Harness) -> None:
    harness.serve(stream_head() + http.LAST_CHUNK)
    answer = harness.ask(client_request("stream"))
    assert (answer.status, answer.body) == (200, b"")


def test_a_change_of_weights_told_by_an_event_is_learned(harness: Harness) -> None:
    told = b"versions: 4\n" + event(2)
    harness.serve(stream_head() + chunks(1, 1) + http.chunk(told) + http.LAST_CHUNK)
    answer = harness.ask(client_request("stream", lines=b"X-Iristrack-Model: daka510000\r\n"))
    assert answer.body == event(1) + told
    assert harness.known("i-0").revisions == {"daka510000": 4}


LONG_ID = 2026120400017000000  # 19 digits: a statement's number and six digits for the piece


@pytest.mark.parametrize("first", [10**17, LONG_ID, 10**900])
def test_a_stream_with_long_event_ids_is_resumed_and_comes_once(harness: Harness, first: int) -> None:
    harness.serve(breaking_after(stream_head() + chunks(first, first + 2)))
    second = harness.serve(stream(first + 3, first + 5, b"s2"))
    answer = harness.ask(client_request("resumable"))
    assert answer.body == events(first, first + 5)
    assert second.header(b"last-event-id") == b"%d" % (first + 2)


def test_a_client_that_goes_on_behind_a_long_event_id_is_heard(harness: Harness) -> None:
    server = harness.serve(stream(LONG_ID, LONG_ID + 3))
    answer = harness.ask(client_request("resumable", lines=b"Last-Event-Id: %d\r\n" % (LONG_ID + 1)))
    assert server.header(b"last-event-id") == b"%d" % (LONG_ID + 1)
    assert answer.body == events(LONG_ID + 2, LONG_ID + 3)


@pytest.mark.parametrize("piece", [b"data: no id\n\n", b"id: x7\ndata: x\n\n"])
def test_a_stream_is_not_begun_again_behind_a_piece_without_an_id(harness: Harness, piece: bytes) -> None:
    harness.serve(breaking_after(stream_head() + http.chunk(piece)))
    second = harness.serve(stream(1, 3, b"s2"))
    answer = harness.ask(client_request("resumable"))
    assert not answer.complete
    assert piece in answer.raw
    assert second.requests == []


def test_a_long_failure_of_the_server_that_resumes_is_no_second_answer(harness: Harness) -> None:
    length = 300 * 1024
    failure = b"HTTP/1.1 500 Internal Server Error\r\nX-Iristrack-Server-Seal: s2\r\n"
    harness.serve(breaking_after(stream_head() + chunks(1, 2)))
    harness.serve(failure + b"Content-Length: %d\r\n\r\n" % length + b"x" * length)
    answer = harness.ask(client_request("resumable"))
    assert not answer.complete
    assert answer.raw.count(b"HTTP/1.1") == 1
