"""Reading and checking the operator's configuration document."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from math import isinf
from typing import Any

from iristrack.configuration.building import build_configuration, parse_configuration
from iristrack.configuration.findings import WHOLE_DOCUMENT, Finding
from iristrack.configuration.model import MAX_REVISION, Configuration
from iristrack.configuration.routes import normalise_host
from iristrack.configuration.rows import Row, route_findings, tenant_findings
from iristrack.configuration.schema_check import schema_findings
from iristrack.result import Error, Ok, Result

__all__ = ["Finding", "check_successor", "parse_configuration", "read_configuration"]

MAX_NUMBER_DIGITS = 40
FIRST_BASE_REVISION = 0

_COUNT = {"type": "number", "min": 0}
_ENGINE = {
    "capacity": _COUNT,
    "kv_token_room": _COUNT,
    "token_bytes": _COUNT,
    "link_mbps": _COUNT,
    "max_inflight": _COUNT,
    "stride": _COUNT,
    "model_list": {
        "type": "list",
        "schema": {"type": "dict", "schema": {"label": {"type": "string", "required": True}}},
    },
}
_SERVICE = {
    "label": {"type": "string", "required": True},
    "health_path": {"type": "string"},
    "max_conns": {**_COUNT, "nullable": True},
    "engine": {"type": "dict", "nullable": True, "schema": _ENGINE},
    "kv_store_addr": {"type": "string", "nullable": True},
    "zone": {"type": "string"},
    "kv_token_room": _COUNT,
    "link_mbps": _COUNT,
    "max_inflight": _COUNT,
}
_LIMITS = {
    "max_header_bytes": _COUNT,
    "max_body_bytes": _COUNT,
    "header_timeout_ms": _COUNT,
    "idle_timeout_ms": _COUNT,
}
_OUTLINE = {
    "revision": {"type": "whole", "required": True, "max": MAX_REVISION},
    "route_table": {"type": "list", "required": True},
    "services": {"type": "list", "required": True, "schema": {"type": "dict", "schema": _SERVICE}},
    "limits": {"type": "dict", "schema": _LIMITS},
    "tenants": {"type": "list"},
}

RowCheck = Callable[[object, str], tuple[Finding, ...]]
PlacedRow = tuple[str, Row]


def read_configuration(body: bytes) -> Result[Configuration, tuple[Finding, ...]]:
    """Read a configuration and check it in full, except for the order of revisions.

    Unknown fields are permitted and ignored.
    """
    decoded = decode_object(body)
    if decoded.is_error():
        return Error((decoded.error,))
    document = decoded.ok
    findings = _document_findings(document)
    if findings:
        return Error(findings)
    return Ok(build_configuration(document, body))


def check_successor(current: Configuration | None, proposed: Configuration) -> tuple[Finding, ...]:
    """Check that the proposed configuration has a revision above the current one, if there is one."""
    current_revision = FIRST_BASE_REVISION if current is None else current.revision
    if proposed.revision > current_revision:
        return ()
    problem = f"is {proposed.revision}, not higher than the current {current_revision}"
    return (Finding("revision", problem, f"give a revision above {current_revision}"),)


def decode_object(body: bytes) -> Result[dict[str, Any], Finding]:
    """Decode a body that must be one JSON object; numbers are bounded in length and range."""
    try:
        document = json.loads(
            body,
            parse_int=_decode_whole,
            parse_float=_decode_fraction,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        return Error(Finding(WHOLE_DOCUMENT, f"cannot be read: {error}", "send one whole JSON object"))
    if not isinstance(document, dict):
        return Error(Finding(WHOLE_DOCUMENT, "is not an object", "send one whole JSON object"))
    return Ok(document)


def _decode_whole(text: str) -> int:
    if len(text) > MAX_NUMBER_DIGITS:
        raise ValueError(f"a number has more than {MAX_NUMBER_DIGITS} digits")
    return int(text)


def _decode_fraction(text: str) -> float:
    number = float(text)
    if isinf(number):
        raise ValueError(f"the number {text} is out of range")
    return number


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is not JSON")


def _document_findings(document: dict[str, Any]) -> tuple[Finding, ...]:
    outline_findings = schema_findings(_OUTLINE, document)
    routes, route_row_findings = check_rows(document, "route_table", route_findings)
    tenants, tenant_row_findings = check_rows(document, "tenants", tenant_findings)
    labels = None if _has_service_findings(outline_findings) else _service_labels(document)
    return (
        *outline_findings,
        *route_row_findings,
        *_repeated_route_findings(routes),
        *_unknown_service_findings(routes, labels),
        *tenant_row_findings,
        *_shared_key_findings(tenants),
    )


def cross_findings(document: dict[str, Any]) -> tuple[Finding, ...]:
    """Return the inconsistencies between the rows of a document whose rows are each valid by themselves."""
    routes = _placed_rows(document, "route_table")
    return (
        *_repeated_route_findings(routes),
        *_unknown_service_findings(routes, _service_labels(document)),
        *_shared_key_findings(_placed_rows(document, "tenants")),
    )


def service_findings(row: object, place: str) -> tuple[Finding, ...]:
    """Return the findings on one row of the services."""
    if type(row) is not dict:
        return (Finding(place, "is not an object", "give an object"),)
    findings = schema_findings(_SERVICE, row)
    return tuple(Finding(f"{place}.{finding.place}", finding.problem, finding.remedy) for finding in findings)


def _placed_rows(document: dict[str, Any], name: str) -> list[PlacedRow]:
    return [(f"{name}[{position}]", row) for position, row in enumerate(document.get(name) or ())]


def check_rows(
    document: dict[str, Any], name: str, check: RowCheck, place_of_list: str | None = None
) -> tuple[list[PlacedRow], list[Finding]]:
    """Return the valid rows of a list with their places, and the findings on the others."""
    valid_rows: list[PlacedRow] = []
    findings: list[Finding] = []
    rows = document.get(name)
    if not isinstance(rows, list):
        return valid_rows, findings
    for position, row in enumerate(rows):
        place = f"{place_of_list or name}[{position}]"
        row_findings = check(row, place)
        if row_findings:
            findings.extend(row_findings)
        else:
            valid_rows.append((place, row))
    return valid_rows, findings


def _repeated_route_findings(routes: list[PlacedRow]) -> Iterator[Finding]:
    first_places: dict[tuple[str, str], str] = {}
    for place, row in routes:
        key = (normalise_host(row["hostname"]), row["path_prefix"])
        first_place = first_places.setdefault(key, place)
        if first_place != place:
            problem = f"repeats the host and prefix of {first_place}"
            yield Finding(f"{place}.path_prefix", problem, "change one route or remove it")


def _has_service_findings(findings: tuple[Finding, ...]) -> bool:
    """Return whether the list of services has findings, so that its labels are unreliable."""
    return any(finding.place.startswith("services") for finding in findings)


def _service_labels(document: dict[str, Any]) -> frozenset[str]:
    return frozenset(service["label"] for service in document["services"])


def _unknown_service_findings(routes: list[PlacedRow], known: frozenset[str] | None) -> Iterator[Finding]:
    if known is None:
        return
    for place, row in routes:
        for target_place, target in _referenced_services(place, row):
            if target not in known:
                problem = f"names the unknown service {target!r}"
                yield Finding(target_place, problem, "name a service of the list services")


def _referenced_services(place: str, row: Row) -> Iterator[tuple[str, str]]:
    target = row.get("target")
    if target is not None:
        yield f"{place}.target", target
    for position, item in enumerate(row.get("weighted_targets") or ()):
        yield f"{place}.weighted_targets[{position}].target", item["target"]


def _shared_key_findings(tenants: list[PlacedRow]) -> Iterator[Finding]:
    places_by_key: dict[str, str] = {}
    for place, row in tenants:
        for position, key in enumerate(row["api_keys"]):
            first_place = places_by_key.setdefault(key, place)
            if first_place != place:
                problem = f"is also a key of {first_place}"
                yield Finding(f"{place}.api_keys[{position}]", problem, "give each key to one tenant")
