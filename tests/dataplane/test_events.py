from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.dataplane.events import MAX_EVENT_BYTES, Event, EventSplitter, EventTooLarge

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from([b"id: %d", b"id:%d", b"data: %d", b": %d", b"versions: %d", b"event: e%d", b"data"])
EVENTS = st.lists(st.tuples(st.lists(LINES, min_size=1, max_size=4), st.integers(0, 10**6)), max_size=6)


def written(events, end: bytes) -> list[bytes]:
    return [
        b"".join((line % n if b"%" in line else line) + end for line in lines) + end for lines, n in events
    ]


def fed(pieces: list[bytes]) -> tuple[list[Event], bytes]:
    splitter = EventSplitter()
    events = [event for piece in pieces for event in splitter.feed(piece)]
    return events, splitter.remainder


def cut(data: bytes, places: list[int]) -> list[bytes]:
    at = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[begin:end] for begin, end in itertools.pairwise(at)]


@given(EVENTS, LINE_ENDS, st.lists(st.integers(0, 10**6), max_size=12), st.sampled_from([b"", b"data: un"]))
def test_the_cuts_of_the_stream_change_no_event(events, end, places, rest) -> None:
    wanted = written(events, end)
    found, left = fed(cut(b"".join(wanted) + rest, places))
    assert [event.data for event in found] == wanted
    assert left == rest


@given(st.text("\r\nai:", max_size=20), st.lists(st.integers(0, 20), max_size=20))
def test_any_bytes_give_the_same_events_however_they_are_cut(text, places) -> None:
    data = text.encode()
    found, left = fed(cut(data, places))
    assert (found, left) == fed([data])
    assert b"".join(event.data for event in found) + left == data


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
def test_ids_and_versions_are_read_from_lines_of_their_own(end, lines, number, revision) -> None:
    data = b"".join(line + end for line in lines) + end
    assert fed([data]) == ([Event(data, number, revision)], b"")


def test_ids_of_one_event_are_not_read_from_another() -> None:
    (first, second), _ = fed([b"data: x\n\nid: 4\ndata: y\n\n"])
    assert (first.id, second.id) == (None, 4)


@pytest.mark.parametrize("step", [MAX_EVENT_BYTES // 8, MAX_EVENT_BYTES // 3, MAX_EVENT_BYTES])
def test_an_event_without_an_end_is_refused(step: int) -> None:
    splitter = EventSplitter()
    held = 0
    with pytest.raises(EventTooLarge):
        for _ in range(10):
            held = len(splitter.remainder)
            splitter.feed(b"x" * step)
    assert held <= MAX_EVENT_BYTES


def test_an_event_at_the_bound_passes_and_ended_events_do_not_count() -> None:
    splitter = EventSplitter()
    whole = b"data: x\n\n" * (MAX_EVENT_BYTES // 8)
    assert len(splitter.feed(whole)) == MAX_EVENT_BYTES // 8
    assert splitter.feed(b"x" * (MAX_EVENT_BYTES - 1)) == []
    assert [len(event.data) for event in splitter.feed(b"\n\n")] == [MAX_EVENT_BYTES + 1]
