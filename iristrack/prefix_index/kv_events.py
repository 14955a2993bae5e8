"""The answers of `GET /kv-events` and `GET /kv-list`, and how a cursor follows them.

A holder numbers its events within an epoch, which ends with the holder's process. Each event tells how many tokens of
a part it keeps from then on, so that events may be applied again in order, but never an older one after a newer one.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from operator import attrgetter
from typing import Any, NamedTuple

from iristrack.prefix_index.parts import MOST_PART_TOKENS

SHARED_SALT = ""  # what a null in place of the salt stands for: the text that all unsalted requests share
MOST_NUMBER = 2**63 - 1
MOST_TEXT = 1024  # characters of a salt, an id or a model's name

_ADDED = {"+": True, "-": False}


class MalformedAnswer(ValueError):
    """The body is not the answer that the call promises; none of it is taken."""


class Cursor(NamedTuple):
    """Up to where a holder's events are known: `since` is sent with the next call; `epoch` is None before the first."""

    epoch: int | None
    since: int


START_CURSOR = Cursor(None, 0)


@dataclass(frozen=True, slots=True)
class KeptEvent:
    """From this event on the holder keeps `tokens_kept_now` of the part; 0: nothing of it."""

    number: int
    added: bool
    salt: str
    part_id: str
    tokens_kept_now: int
    model: str


@dataclass(frozen=True, slots=True)
class EventsAnswer:
    """Events by rising number; `lost` where some before them are no longer to be had."""

    epoch: int
    next_token: int
    lost: bool
    events: tuple[KeptEvent, ...]


@dataclass(frozen=True, slots=True)
class KeptPart:
    """A part of which the holder keeps `tokens`."""

    salt: str
    part_id: str
    tokens: int
    model: str


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """All that a holder keeps, as of the event `next_token`."""

    epoch: int
    next_token: int
    owned: tuple[KeptPart, ...]


@dataclass(frozen=True, slots=True)
class Advance:
    """What an answer means at a cursor: whether the holder restarted, the cursor after it, and the events to apply."""

    restarted: bool
    cursor: Cursor
    events: tuple[KeptEvent, ...]


def parse_events(body: bytes) -> EventsAnswer:
    """The answer of `GET /kv-events`. Raises `MalformedAnswer`."""
    answer = _load(body)
    lost = answer.get("lost")
    if type(lost) is not bool:
        raise MalformedAnswer("'lost' is no truth value")
    events = [_event(row) for row in _rows(answer, "events")]
    events.sort(key=attrgetter("number"))
    return EventsAnswer(_number(answer.get("epoch")), _number(answer.get("next_token")), lost, tuple(events))


def parse_list(body: bytes) -> ListAnswer:
    """The answer of `GET /kv-list`. Raises `MalformedAnswer`."""
    answer = _load(body)
    owned = tuple(_kept_part(row) for row in _rows(answer, "owned"))
    return ListAnswer(_number(answer.get("epoch")), _number(answer.get("next_token")), owned)


def advance(cursor: Cursor, answer: EventsAnswer) -> Advance:
    """What `answer` means to one who knows the holder's events up to `cursor`.

    After a restart the next call asks from the beginning: the answer at hand was asked for by the old epoch's numbers,
    and may have left out events of the new one. An event that is not past the cursor came late and is left out.
    """
    if cursor.epoch is not None and cursor.epoch != answer.epoch:
        return Advance(True, Cursor(answer.epoch, 0), answer.events)
    if cursor.epoch is None or answer.lost:
        return Advance(False, Cursor(answer.epoch, answer.next_token), answer.events)
    since = max(cursor.since, answer.next_token)
    return Advance(False, Cursor(answer.epoch, since), _past(cursor.since, answer.events))


def _past(since: int, events: tuple[KeptEvent, ...]) -> tuple[KeptEvent, ...]:
    if not events or events[0].number > since:
        return events
    return tuple(event for event in events if event.number > since)


def _load(body: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedAnswer(f"no JSON: {error}") from error
    if type(answer) is not dict:
        raise MalformedAnswer("no JSON object")
    return answer


def _rows(answer: dict[str, Any], name: str) -> list[Any]:
    rows = answer.get(name)
    if type(rows) is not list:
        raise MalformedAnswer(f"{name!r} is no list")
    return rows


def _event(row: Any) -> KeptEvent:
    if type(row) is not list or len(row) != 6:
        raise MalformedAnswer(f"no event of six fields: {row!r:.80}")
    number, sign, salt, part_id, tokens, model = row
    if type(sign) is not str or sign not in _ADDED:
        raise MalformedAnswer(f"neither + nor -: {sign!r:.80}")
    return KeptEvent(
        _number(number), _ADDED[sign], _salt(salt), _text(part_id), _token_count(tokens), _text(model)
    )


def _kept_part(row: Any) -> KeptPart:
    if type(row) is not list or len(row) != 4:
        raise MalformedAnswer(f"no entry of four fields: {row!r:.80}")
    salt, part_id, tokens, model = row
    return KeptPart(_salt(salt), _text(part_id), _token_count(tokens), _text(model))


def _number(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MOST_NUMBER:
        raise MalformedAnswer(f"no number from 0 to {MOST_NUMBER}: {value!r:.80}")
    return value


def _token_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MOST_PART_TOKENS:
        raise MalformedAnswer(f"no count of tokens: {value!r:.80}")
    return value


def _salt(value: Any) -> str:
    return SHARED_SALT if value is None else _text(value)


def _text(value: Any) -> str:
    if type(value) is not str or len(value) > MOST_TEXT:
        raise MalformedAnswer(f"no text of at most {MOST_TEXT} characters: {value!r:.80}")
    return value
