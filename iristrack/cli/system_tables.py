"""Lines and tables for people: aligned columns, and nothing in them that a terminal would obey."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

NOTHING = "-"


def plain(value: object) -> str:
    """A value as text of one line; control characters are shown, not sent."""
    if value is None or value == "":
        return NOTHING
    if isinstance(value, bool):
        return "yes" if value else "no"
    return one_line(str(value))


def one_line(text: str) -> str:
    """The text without line breaks and control characters, which are shown as escapes."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)


def print_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under their headings; a single line where there are none."""
    cells = [[plain(value) for value in row] for row in rows]
    if not cells:
        print(f"({', '.join(headings)}: none)")
        return
    widths = [max(map(len, column)) for column in zip(headings, *cells, strict=True)]
    for line in ([heading.upper() for heading in headings], *cells):
        print("  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip())


def print_pairs(pairs: Iterable[tuple[str, object]]) -> None:
    """Print names and values, the values below one another."""
    shown = [(name, plain(value)) for name, value in pairs]
    width = max(len(name) for name, _ in shown)
    for name, value in shown:
        print(f"{name.ljust(width)}  {value}")
