"""Parsing of the answers of `GET /kv-events` and `GET /kv-list`, and the cursor that follows a holder's events.

A holder numbers its events within an epoch, which ends with the holder's process. Each event states how many tokens of
a part the holder keeps from then on. So events may be applied again in order, but never an older one after a newer one.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from operator import attrgetter
from typing import Any, NamedTuple

from iristrack.prefix_index.parts import MAX_PART_TOKENS

SHARED_SALT = ""  # meaning of a null salt: the salt of all requests without one
MAX_NUMBER = 2**63 - 1
MAX_TEXT_LENGTH = 1024  # characters of a salt, an id or a model's name

_ADDED = {"+": True, "-": False}


class MalformedAnswer(ValueError):
    """The body is not a valid answer to the call; nothing of it is used."""


class Cursor(NamedTuple):
    """Position in a holder's events: `since` is sent with the next call, `epoch` is None before the first one."""

    epoch: int | None
    since: int


START_CURSOR = Cursor(None, 0)


@dataclass(frozen=True, slots=True)
class KeptEvent:
    """The holder keeps `tokens_kept_now` tokens of the part from this event on; 0 if it dropped the part."""

    number: int
    added: bool
    salt: str
    part_id: str
    tokens_kept_now: int
    model: str


@dataclass(frozen=True, slots=True)
class EventsAnswer:
    """Events in ascending order; `lost` if earlier events are no longer available."""

    epoch: int
    next_token: int
    lost: bool
    events: tuple[KeptEvent, ...]


@dataclass(frozen=True, slots=True)
class KeptPart:
    """A part of which the holder keeps `tokens` tokens."""

    salt: str
    part_id: str
    tokens: int
    model: str


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """Everything that a holder keeps, as of the event `next_token`."""

    epoch: int
    next_token: int
    owned: tuple[KeptPart, ...]


@dataclass(frozen=True, slots=True)
class Advance:
    """Effect of an answer at a cursor: whether the holder restarted, the next cursor, and the events to apply."""

    restarted: bool
    cursor: Cursor
    events: tuple[KeptEvent, ...]


def parse_events(body: bytes) -> EventsAnswer:
    """Parse the answer of `GET /kv-events`. Raises `MalformedAnswer`."""
    answer = _load(body)
    lost = answer.get("lost")
    if type(lost) is not bool:
        raise MalformedAnswer("'lost' is not a boolean")
    events = [_event(row) for row in _rows(answer, "events")]
    events.sort(key=attrgetter("number"))
    return EventsAnswer(_number(answer.get("epoch")), _number(answer.get("next_token")), lost, tuple(events))


def parse_list(body: bytes) -> ListAnswer:
    """Parse the answer of `GET /kv-list`. Raises `MalformedAnswer`."""
    answer = _load(body)
    owned = tuple(_kept_part(row) for row in _rows(answer, "owned"))
    return ListAnswer(_number(answer.get("epoch")), _number(answer.get("next_token")), owned)


def advance(cursor: Cursor, answer: EventsAnswer) -> Advance:
    """Return the effect of `answer` for a reader who knows the holder's events up to `cursor`.

    After a restart the next call starts from the beginning: this answer was requested with a number of the old epoch
    and may lack events of the new one. Events at or before the cursor arrived late and are skipped.
    """
    if cursor.epoch is not None and cursor.epoch != answer.epoch:
        return Advance(True, Cursor(answer.epoch, 0), answer.events)
    if cursor.epoch is None or answer.lost:
        return Advance(False, Cursor(answer.epoch, answer.next_token), answer.events)
    since = max(cursor.since, answer.next_token)
    return Advance(False, Cursor(answer.epoch, since), _events_after(cursor.since, answer.events))


def _events_after(since: int, events: tuple[KeptEvent, ...]) -> tuple[KeptEvent, ...]:
    if not events or events[0].number > since:
        return events
    return tuple(event for event in events if event.number > since)


def _load(body: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedAnswer(f"invalid JSON: {error}") from error
    if type(answer) is not dict:
        raise MalformedAnswer("not a JSON object")
    return answer


def _rows(answer: dict[str, Any], name: str) -> list[Any]:
    rows = answer.get(name)
    if type(rows) is not list:
        raise MalformedAnswer(f"{name!r} is not a list")
    return rows


def _event(row: Any) -> KeptEvent:
    if type(row) is not list or len(row) != 6:
        raise MalformedAnswer(f"event does not have six fields: {row!r:.80}")
    number, sign, salt, part_id, tokens, model = row
    if type(sign) is not str or sign not in _ADDED:
        raise MalformedAnswer(f"event sign is neither + nor -: {sign!r:.80}")
    return KeptEvent(
        _number(number), _ADDED[sign], _salt(salt), _text(part_id), _token_count(tokens), _text(model)
    )


def _kept_part(row: Any) -> KeptPart:
    if type(row) is not list or len(row) != 4:
        raise MalformedAnswer(f"entry does not have four fields: {row!r:.80}")
    salt, part_id, tokens, model = row
    return KeptPart(_salt(salt), _text(part_id), _token_count(tokens), _text(model))


def _number(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise MalformedAnswer(f"not an integer from 0 to {MAX_NUMBER}: {value!r:.80}")
    return value


def _token_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_PART_TOKENS:
        raise MalformedAnswer(f"not a valid number of tokens: {value!r:.80}")
    return value


def _salt(value: Any) -> str:
    return SHARED_SALT if value is None else _text(value)


def _text(value: Any) -> str:
    if type(value) is not str or len(value) > MAX_TEXT_LENGTH:
        raise MalformedAnswer(f"not a string of at most {MAX_TEXT_LENGTH} characters: {value!r:.80}")
    return value
