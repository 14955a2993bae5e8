"""Parsing of the holders' answers, and the cursor that follows them."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.prefix_index.kv_events import (
    START_CURSOR,
    Cursor,
    EventsAnswer,
    KeptEvent,
    KeptPart,
    ListAnswer,
    MalformedAnswer,
    advance,
    parse_events,
    parse_list,
)

EVENTS = (
    b'{"epoch":77120,"next_token":120,"lost":false,"events":'
    b'[[119,"+","s1","5c1e07a2",800,"daka510000"],[120,"-","s1","91bd3f06",128,"daka510000"]]}'
)
LIST = b'{"epoch":77120,"next_token":120,"owned":[["s1","5c1e07a2",800,"daka510000"]]}'
FIRST = KeptEvent(119, True, "s1", "5c1e07a2", 800, "daka510000")
SECOND = KeptEvent(120, False, "s1", "91bd3f06", 128, "daka510000")


def test_examples_of_the_protocol() -> None:
    assert parse_events(EVENTS) == EventsAnswer(77120, 120, False, (FIRST, SECOND))
    assert parse_list(LIST) == ListAnswer(77120, 120, (KeptPart("s1", "5c1e07a2", 800, "daka510000"),))


def test_events_are_sorted() -> None:
    answer = json.loads(EVENTS)
    answer["events"].reverse()
    assert parse_events(json.dumps(answer).encode()).events == (FIRST, SECOND)


def test_a_null_salt_is_the_shared_salt() -> None:
    answer = json.loads(EVENTS)
    answer["events"][0][2] = None
    assert parse_events(json.dumps(answer).encode()).events[0].salt == ""


@pytest.mark.parametrize("name", ["epoch", "next_token", "lost", "events"])
@pytest.mark.parametrize("value", [None, "7", 1.5, -1, {}, 2**63, "absent"])
def test_malformed_fields_of_events(name: str, value: Any) -> None:
    answer = json.loads(EVENTS)
    answer[name] = value
    if value == "absent":
        del answer[name]
    with pytest.raises(MalformedAnswer):
        parse_events(json.dumps(answer).encode())


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *[(0, value) for value in (None, "1", True, -1, 1.0, 2**63)],
        *[(1, value) for value in (None, "", "*", 1, True, [])],
        *[(2, value) for value in (1, [], "s" * 1025)],
        *[(3, value) for value in (None, 1, "i" * 1025)],
        *[(4, value) for value in (None, "1", True, -1, 1.0, 2**31)],
        *[(5, value) for value in (None, 1, {})],
    ],
)
def test_malformed_fields_of_an_event(field: int, value: Any) -> None:
    answer = json.loads(EVENTS)
    answer["events"][1][field] = value
    with pytest.raises(MalformedAnswer):
        parse_events(json.dumps(answer).encode())


@pytest.mark.parametrize(
    "row", [None, 1, "abcdef", [], [1, "+", "s", "a", 1], [1, "+", "s", "a", 1, "m", 0], {}]
)
def test_malformed_rows(row: Any) -> None:
    events = {"epoch": 1, "next_token": 1, "lost": False, "events": [row]}
    with pytest.raises(MalformedAnswer):
        parse_events(json.dumps(events).encode())
    owned = {"epoch": 1, "next_token": 1, "owned": [row]}
    with pytest.raises(MalformedAnswer):
        parse_list(json.dumps(owned).encode())


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"null", b"7", b"\xff\xfe", b"[" * 100_000, b'{"epoch":' + b"9" * 5000 + b"}"]
)
def test_malformed_bodies(body: bytes) -> None:
    with pytest.raises(MalformedAnswer):
        parse_events(body)
    with pytest.raises(MalformedAnswer):
        parse_list(body)


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), lambda inner: st.lists(inner)))
def test_arbitrary_values_are_not_accepted_as_events(row: Any) -> None:
    body = json.dumps({"epoch": 1, "next_token": 1, "lost": False, "events": [row]}).encode()
    with pytest.raises(MalformedAnswer):
        parse_events(body)


def answer(epoch: int, numbers: list[int], next_token: int, lost: bool = False) -> EventsAnswer:
    events = tuple(KeptEvent(number, True, "s", "a", number, "m") for number in numbers)
    return EventsAnswer(epoch, next_token, lost, events)


def numbers(step_events: tuple[KeptEvent, ...]) -> list[int]:
    return [event.number for event in step_events]


def test_the_first_answer_sets_the_cursor() -> None:
    advanced = advance(START_CURSOR, answer(7, [1, 2], 2))
    assert (advanced.restarted, advanced.cursor, numbers(advanced.events)) == (False, Cursor(7, 2), [1, 2])


def test_events_up_to_the_cursor_are_skipped_and_it_never_decreases() -> None:
    advanced = advance(Cursor(7, 5), answer(7, [4, 5, 6], 6))
    assert (advanced.cursor, numbers(advanced.events)) == (Cursor(7, 6), [6])
    advanced = advance(Cursor(7, 5), answer(7, [2, 3], 3))
    assert (advanced.cursor, numbers(advanced.events)) == (Cursor(7, 5), [])


def test_after_a_restart_events_are_requested_from_the_beginning() -> None:
    advanced = advance(Cursor(7, 5), answer(8, [6, 7], 7))
    assert (advanced.restarted, advanced.cursor, numbers(advanced.events)) == (True, Cursor(8, 0), [6, 7])
    advanced = advance(advanced.cursor, answer(8, [1, 2, 3, 4, 5, 6, 7], 7))
    assert (advanced.restarted, advanced.cursor, numbers(advanced.events)) == (
        False,
        Cursor(8, 7),
        [1, 2, 3, 4, 5, 6, 7],
    )


def test_after_a_gap_the_cursor_is_the_one_in_the_answer() -> None:
    advanced = advance(Cursor(7, 2**60), answer(7, [40], 41, lost=True))
    assert (advanced.restarted, advanced.cursor, numbers(advanced.events)) == (False, Cursor(7, 41), [40])
