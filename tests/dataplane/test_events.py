from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.dataplane.events import MAX_EVENT_BYTES, Event, EventSplitter, EventTooLarge

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from([b"id: %d", b"id:%d", b"data: %d", b": %d", b"versions: %d", b"event: e%d", b"data"])
EVENTS = st.lists(st.tuples(st.lists(LINES, min_size=1, max_size=4), st.integers(0, 10**6)), max_size=6)


def encode_events(events, end: bytes) -> list[bytes]:
    return [
        b"".join((line % n if b"%" in line else line) + end for line in lines) + end for lines, n in events
    ]


def split_pieces(pieces: list[bytes]) -> tuple[list[Event], bytes]:
    splitter = EventSplitter()
    events = [event for piece in pieces for event in splitter.feed(piece)]
    return events, splitter.remainder


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    at = [0, *sorted(place % (len(data) + 1) for place in positions), len(data)]
    return [data[begin:end] for begin, end in itertools.pairwise(at)]


@given(EVENTS, LINE_ENDS, st.lists(st.integers(0, 10**6), max_size=12), st.sampled_from([b"", b"data: un"]))
def test_events_do_not_depend_on_how_the_stream_is_split(events, end, positions, rest) -> None:
    expected = encode_events(events, end)
    found, remainder = split_pieces(split_at(b"".join(expected) + rest, positions))
    assert [event.data for event in found] == expected
    assert remainder == rest


@given(st.text("\r\nai:", max_size=20), st.lists(st.integers(0, 20), max_size=20))
def test_arbitrary_bytes_give_the_same_events_however_they_are_split(text, positions) -> None:
    data = text.encode()
    found, remainder = split_pieces(split_at(data, positions))
    assert (found, remainder) == split_pieces([data])
    assert b"".join(event.data for event in found) + remainder == data


@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize(
    ("lines", "number", "revision"),
    [
        ((b"id: 7", b"data: x"), 7, None),
        ((b"data: x", b"id:8"), 8, None),
        ((b"versions: 3", b"id: 9", b"data: x"), 9, 3),
        ((b"versions:12", b"data: x"), None, 12),
        ((b"data: id: 7", b"data: versions: 3"), None, None),
        ((b"id: x7",), None, None),
        ((b"id: 7x",), None, None),
        ((b": a comment",), None, None),
        ((b"myid: 7", b"otherversions: 3"), None, None),
    ],
)
def test_ids_and_versions_are_parsed_only_from_their_own_fields(end, lines, number, revision) -> None:
    data = b"".join(line + end for line in lines) + end
    assert split_pieces([data]) == ([Event(data, number, revision)], b"")


def test_an_id_is_not_taken_from_another_event() -> None:
    (first, second), _ = split_pieces([b"data: x\n\nid: 4\ndata: y\n\n"])
    assert (first.id, second.id) == (None, 4)


@pytest.mark.parametrize("step", [MAX_EVENT_BYTES // 8, MAX_EVENT_BYTES // 3, MAX_EVENT_BYTES])
def test_an_unterminated_event_over_the_limit_is_rejected(step: int) -> None:
    splitter = EventSplitter()
    buffered_bytes = 0
    with pytest.raises(EventTooLarge):
        for _ in range(10):
            buffered_bytes = len(splitter.remainder)
            splitter.feed(b"x" * step)
    assert buffered_bytes <= MAX_EVENT_BYTES


def test_an_event_at_the_limit_passes_and_complete_events_do_not_count() -> None:
    splitter = EventSplitter()
    events_bytes = b"data: x\n\n" * (MAX_EVENT_BYTES // 8)
    assert len(splitter.feed(events_bytes)) == MAX_EVENT_BYTES // 8
    assert splitter.feed(b"x" * (MAX_EVENT_BYTES - 1)) == []
    assert [len(event.data) for event in splitter.feed(b"\n\n")] == [MAX_EVENT_BYTES + 1]
