"""Amendments: changes of named items of a configuration instead of the whole configuration (`POST /config/amend`).

An amendment is read and checked by itself, applied to its base document, and the result is checked for consistency
between rows. A process that holds the typed configuration applies the same amendment to that (`amend_configuration`),
so the cost depends on the size of the change and not on the size of the configuration.

The operators' documentation lists what is refused: a list that does not exist, a label that is given twice or both
replaced and removed, and a label that several current items share. Removing an item that does not exist changes
nothing.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from iristrack.configuration.building import build_route, build_service, build_tenant, digest_of
from iristrack.configuration.document import (
    Finding,
    RowCheck,
    check_rows,
    cross_findings,
    decode_object,
    service_findings,
)
from iristrack.configuration.model import MAX_REVISION, Configuration, Tenant
from iristrack.configuration.rows import Row, route_findings, tenant_findings
from iristrack.result import Error, Ok, Result

ROUTES, SERVICES, TENANTS = LISTS = ("route_table", "services", "tenants")
DIGEST_PREFIX = b"amendment\0"  # keeps the digests of amendments and of whole configurations distinct
DOCUMENT_ONLY = (*LISTS, "limits")  # fields of a whole configuration that an amendment must not contain

_ROW_CHECKS: dict[str, RowCheck] = {
    ROUTES: route_findings,
    SERVICES: service_findings,
    TENANTS: tenant_findings,
}

Item = TypeVar("Item")
Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Amendment:
    """Items to add or replace and labels to remove, by the name of their list.

    Attributes:
        revision: Number of the resulting configuration.
        upsert: By list: the rows by label, in the order of the document.
        remove: By list: the labels.
        digest: Identifies a repeat of the call, in hexadecimal.
    """

    revision: int
    upsert: Mapping[str, Mapping[str, Row]]
    remove: Mapping[str, frozenset[str]]
    digest: str

    def rows(self, name: str) -> Mapping[str, Row]:
        """Return the rows to add or replace in a list, by label."""
        return self.upsert.get(name, {})

    def removed(self, name: str) -> frozenset[str]:
        """Return the labels to remove from a list."""
        return self.remove.get(name, frozenset())

    def touches(self, name: str) -> bool:
        """Return whether the amendment changes that list."""
        return bool(self.rows(name) or self.removed(name))


def read_amendment(body: bytes) -> Result[Amendment, tuple[Finding, ...]]:
    """Read an amendment and check everything that does not depend on its base configuration."""
    decoded = decode_object(body)
    if decoded.is_error():
        return Error((decoded.error,))
    document = decoded.ok
    findings = tuple(_findings(document))
    if findings:
        return Error(findings)
    return Ok(_build(document, body))


def parse_amendment(body: bytes) -> Amendment:
    """Parse the body of an amendment that is known to be valid; an invalid one raises or is meaningless."""
    return _build(json.loads(body), body)


def _build(document: Document, body: bytes) -> Amendment:
    upsert = document.get("upsert") or {}
    remove = document.get("remove") or {}
    return Amendment(
        revision=document["revision"],
        upsert={name: {row["label"]: row for row in rows} for name, rows in upsert.items()},
        remove={name: frozenset(labels) for name, labels in remove.items()},
        digest=digest_of(DIGEST_PREFIX + body),
    )


def apply_amendment(document: Document, amendment: Amendment) -> Result[Document, tuple[Finding, ...]]:
    """Apply an amendment to the document of a valid configuration; the document itself is not modified."""
    shared = tuple(_shared_label_findings(document, amendment))
    if shared:
        return Error(shared)
    result = document | {"revision": amendment.revision}
    for name in LISTS:
        if amendment.touches(name) and (name in document or amendment.rows(name)):
            result[name] = _apply_changes(
                document.get(name) or (), _label_of_row, amendment.rows(name), amendment.removed(name)
            )
    findings = cross_findings(result)
    return Error(findings) if findings else Ok(result)


def amend_configuration(current: Configuration, amendment: Amendment) -> Configuration:
    """Apply an amendment that was found valid to its typed base configuration."""
    return replace(
        current,
        revision=amendment.revision,
        routes=_amended_items(current.routes, amendment, ROUTES, build_route),
        services=_amended_items(current.services, amendment, SERVICES, build_service),
        tenants=_amended_tenants(current.tenants, amendment),
        digest=amendment.digest,
    )


def _amended_tenants(current: tuple[Tenant, ...] | None, amendment: Amendment) -> tuple[Tenant, ...] | None:
    if current is None and not amendment.rows(TENANTS):
        return None
    return _amended_items(current or (), amendment, TENANTS, build_tenant)


def _amended_items(
    current: tuple[Item, ...], amendment: Amendment, name: str, build: Callable[[Row], Item]
) -> tuple[Item, ...]:
    if not amendment.touches(name):
        return current
    built = {label: build(row) for label, row in amendment.rows(name).items()}
    return tuple(_apply_changes(current, _label_of_item, built, amendment.removed(name)))


def _apply_changes(
    current: Iterable[Item],
    label_of: Callable[[Item], str],
    upsert: Mapping[str, Item],
    removed: frozenset[str],
) -> list[Item]:
    """Return the items with replacements in place, new ones at the end and removed ones omitted."""
    added = dict(upsert)
    items = [added.pop(label, item) for item in current if (label := label_of(item)) not in removed]
    items.extend(added.values())
    return items


def _label_of_row(row: Row) -> str:
    return row["label"]


def _label_of_item(item: Any) -> str:
    return item.label


# ---- findings


def _findings(document: Document) -> Iterator[Finding]:
    revision = document.get("revision")
    if type(revision) is not int or revision > MAX_REVISION:
        problem = f"is no whole number up to {MAX_REVISION}"
        yield Finding("revision", problem, "give the number of the new configuration")
    for name in DOCUMENT_ONLY:
        if name in document:
            yield Finding(
                name, "stands in an amendment", "name items under upsert and remove, or replace the whole"
            )
    upsert, remove = document.get("upsert"), document.get("remove")
    yield from _list_findings("upsert", upsert)
    yield from _list_findings("remove", remove)
    if isinstance(upsert, dict):
        for name in LISTS:
            yield from _upsert_findings(upsert, name)
    if isinstance(remove, dict):
        for name in LISTS:
            yield from _remove_findings(remove, upsert, name)


def _list_findings(place: str, lists: object) -> Iterator[Finding]:
    if lists is None:
        return
    if not isinstance(lists, dict):
        yield Finding(place, "is not an object of lists", "give lists by their names")
        return
    for name, rows in lists.items():
        if name not in LISTS:
            yield Finding(
                f"{place}.{name}", "is not a list of the configuration", f"name one of {', '.join(LISTS)}"
            )
        elif not isinstance(rows, list):
            yield Finding(f"{place}.{name}", "is not a list", "give a list")


def _upsert_findings(upsert: Document, name: str) -> Iterator[Finding]:
    valid_rows, row_findings = check_rows(upsert, name, _ROW_CHECKS[name], f"upsert.{name}")
    yield from row_findings
    first_places: dict[str, str] = {}
    for place, row in valid_rows:
        first_place = first_places.setdefault(row["label"], place)
        if first_place != place:
            yield Finding(f"{place}.label", f"repeats the label of {first_place}", "give each label once")


def _remove_findings(remove: Document, upsert: object, name: str) -> Iterator[Finding]:
    labels = remove.get(name)
    if not isinstance(labels, list):
        return
    added = _labels_of(upsert.get(name) if isinstance(upsert, dict) else None)
    for position, label in enumerate(labels):
        place = f"remove.{name}[{position}]"
        if type(label) is not str:
            yield Finding(place, "is not a text", "give the label as a text")
        elif label in added:
            yield Finding(place, f"names {label!r}, which upsert holds too", "give it in one of both")


def _labels_of(rows: object) -> set[str]:
    """Return the labels of all rows that have one, valid or not."""
    if not isinstance(rows, list):
        return set()
    labels = (row.get("label") for row in rows if isinstance(row, dict))
    return {label for label in labels if isinstance(label, str)}


def _shared_label_findings(document: Document, amendment: Amendment) -> Iterator[Finding]:
    """Yield a finding for each label of the amendment that several current items share."""
    for name in LISTS:
        wanted = amendment.rows(name).keys() | amendment.removed(name)
        if not wanted:
            continue
        counts = Counter(row["label"] for row in document.get(name) or ())
        for label in sorted(wanted):
            if counts[label] > 1:
                problem = f"holds {counts[label]} items with the label {label!r}"
                yield Finding(name, problem, "replace the whole configuration")
