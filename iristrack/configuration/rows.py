"""Structural checks of the repeated rows of a configuration: routes and tenants.

A configuration holds hundreds of these rows, and a cerberus child validator per row costs
more processor time than all remaining work; rows are therefore checked
against plain tables of fields.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from iristrack.configuration.findings import Finding
from iristrack.configuration.model import RouteKind

Row = dict[str, Any]

_ABSENT = object()
_NULL = type(None)
_ROUTE_KINDS = frozenset(kind.value for kind in RouteKind)


@dataclass(frozen=True, slots=True)
class _Field:
    """A field of a row: the JSON types it may have, and whether it is required."""

    name: str
    types: frozenset[type]
    expected: str
    required: bool = True

    def check(self, row: Row, place: str) -> Iterator[Finding]:
        """Yield the finding on this field of the row, if there is one."""
        value = row.get(self.name, _ABSENT)
        if value is _ABSENT:
            if self.required:
                yield Finding(f"{place}.{self.name}", "is missing", f"give {self.expected}")
        elif type(value) not in self.types:
            yield Finding(f"{place}.{self.name}", f"is not {self.expected}", f"give {self.expected}")


_TEXT = frozenset({str})
_INTEGER = frozenset({int})
_NUMBER = frozenset({int, float})
_FLAG = frozenset({bool})
_LIST = frozenset({list})

_ROUTE_FIELDS = (
    _Field("label", _TEXT, "a text"),
    _Field("hostname", _TEXT, "a text"),
    _Field("path_prefix", _TEXT, "a text"),
    _Field("route_kind", _TEXT, "a text"),
    _Field("timeout_ms", _NUMBER, "a number"),
    _Field("target_latency_ms", _NUMBER, "a number"),
    _Field("priority", _INTEGER | {_NULL}, "a whole number", required=False),
    _Field("max_tries", _INTEGER, "a whole number", required=False),
    _Field("target", _TEXT | {_NULL}, "the label of a service", required=False),
    _Field("weighted_targets", _LIST | {_NULL}, "a list of targets and shares", required=False),
    _Field("public", _FLAG, "true or false", required=False),
    _Field("sticky", _FLAG, "true or false", required=False),
    _Field("resumable", _FLAG, "true or false", required=False),
    _Field("gap_aim_ms", _NUMBER | {_NULL}, "a number", required=False),
)
_TARGET_FIELDS = (
    _Field("target", _TEXT, "the label of a service"),
    _Field("share", _NUMBER, "a number"),
)
_TENANT_FIELDS = (
    _Field("label", _TEXT, "a text"),
    _Field("api_keys", _LIST, "a list of keys"),
    _Field("priority", _INTEGER | {_NULL}, "a whole number", required=False),
    _Field("isolated", _FLAG, "true or false", required=False),
)


def route_findings(row: object, place: str) -> tuple[Finding, ...]:
    """Return the findings on one row of the route table, independent of other rows."""
    findings = _field_findings(_ROUTE_FIELDS, row, place)
    if findings:
        return findings
    return (
        *_kind_findings(row, place),
        *_prefix_findings(row, place),
        *_timeout_findings(row, place),
        *_target_findings(row, place),
    )


def tenant_findings(row: object, place: str) -> tuple[Finding, ...]:
    """Return the findings on one tenant, independent of other tenants."""
    findings = _field_findings(_TENANT_FIELDS, row, place)
    if findings:
        return findings
    return tuple(
        Finding(f"{place}.api_keys[{position}]", "is not a text", "give the key as a text")
        for position, key in enumerate(row["api_keys"])
        if type(key) is not str
    )


def _field_findings(fields: tuple[_Field, ...], row: object, place: str) -> tuple[Finding, ...]:
    if type(row) is not dict:
        return (Finding(place, "is not an object", "give an object"),)
    return tuple(finding for field in fields for finding in field.check(row, place))


def _kind_findings(row: Row, place: str) -> Iterator[Finding]:
    if row["route_kind"] not in _ROUTE_KINDS:
        kinds = ", ".join(sorted(_ROUTE_KINDS))
        yield Finding(f"{place}.route_kind", "is not a known kind", f"give one of {kinds}")


def _prefix_findings(row: Row, place: str) -> Iterator[Finding]:
    prefix = row["path_prefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        remedy = "begin and end the prefix with a slash"
        yield Finding(f"{place}.path_prefix", "does not begin and end with a slash", remedy)


def _timeout_findings(row: Row, place: str) -> Iterator[Finding]:
    if row["timeout_ms"] <= 0:
        yield Finding(f"{place}.timeout_ms", "is not above 0", "give the milliseconds to hold a try")


def _target_findings(row: Row, place: str) -> Iterator[Finding]:
    weighted = row.get("weighted_targets")
    if weighted is not None:
        yield from _weight_findings(weighted, f"{place}.weighted_targets")
    elif row.get("target") is None:
        yield Finding(f"{place}.target", "is missing", "give target or weighted_targets")


def _weight_findings(weighted: list[Any], place: str) -> Iterator[Finding]:
    findings = [
        finding
        for position, item in enumerate(weighted)
        for finding in _field_findings(_TARGET_FIELDS, item, f"{place}[{position}]")
    ]
    if findings:
        yield from findings
        return
    for position, item in enumerate(weighted):
        if item["share"] < 0:
            yield Finding(f"{place}[{position}].share", "is negative", "give a share of 0 or more")
    if sum(item["share"] for item in weighted) <= 0:
        yield Finding(place, "has shares that sum to 0", "give at least one share above 0")
