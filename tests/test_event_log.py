"""Lines of the structured log: the order of the pairs, and quoting of values that would not be read as one word."""

from __future__ import annotations

import pytest

from iristrack.runtime.event_log import EventLog


def line(**fields: object) -> str:
    lines: list[str] = []
    EventLog(lines.append, node="edge-1").info("taken", **fields)
    (only,) = lines
    return only


def test_level_event_and_bound_fields_come_first() -> None:
    assert line(ms=3, server="i-1") == "level=info event=taken node=edge-1 ms=3 server=i-1\n"


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("two words", '"two words"'),
        ("a=b", '"a=b"'),
        ('say "so"', '"say \\"so\\""'),
        ("line\nline", '"line\\nline"'),
        ("back\\slash and space", '"back\\\\slash and space"'),
        ("back\\slash", "back\\slash"),
        ("", ""),
        (None, ""),
        (True, "true"),
        (1.5, "1.5"),
    ],
)
def test_values_are_quoted_and_escaped(value: object, text: str) -> None:
    assert line(field=value) == f"level=info event=taken node=edge-1 field={text}\n"


def test_an_exception_is_logged_in_the_line_of_its_event() -> None:
    lines: list[str] = []
    try:
        raise KeyError("lost")
    except KeyError:
        EventLog(lines.append).exception("task failed")
    assert lines[0].startswith('level=error event="task failed" exception="Traceback')
    assert lines[0].count("\n") == 1
    assert "KeyError: 'lost'" in lines[0]
