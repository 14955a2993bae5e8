"""Checks of documents against cerberus schemas, without cerberus if a document is plainly valid.

Cerberus and its imports cost a process 5 MB and 66 ms of processor time at start (`docs/performance.md`), and a process
in service nearly always reads valid settings. So a document is first checked with the few rules that the schemas here
use. If these do not accept it, or if a schema uses any other rule, cerberus alone decides.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from iristrack.configuration.findings import Finding

Rules = Mapping[str, Any]

_KNOWN_RULES = frozenset(
    {"type", "required", "nullable", "min", "max", "schema", "valuesrules", "check_with"}
)
_TYPES: dict[str, frozenset[type]] = {
    "string": frozenset({str}),
    "boolean": frozenset({bool}),
    "whole": frozenset({int}),
    "number": frozenset({int, float}),
    "list": frozenset({list}),
    "dict": frozenset({dict}),
}


def schema_findings(schema: Mapping[str, Rules], document: dict[str, Any]) -> tuple[Finding, ...]:
    """Check a document against a cerberus schema and return all findings, in order of place."""
    if is_plainly_valid(schema, document):
        return ()
    from iristrack.configuration.cerberus_check import cerberus_findings

    return cerberus_findings(schema, document)


def is_plainly_valid(schema: Mapping[str, Rules], document: dict[str, Any]) -> bool:
    """Return whether the document certainly has no findings; False means that cerberus must decide."""
    return all(_is_valid_field(rules, document, name) for name, rules in schema.items())


def _is_valid_field(rules: Rules, document: dict[str, Any], name: str) -> bool:
    if name not in document:
        return _KNOWN_RULES.issuperset(rules) and not rules.get("required", False)
    return _is_valid(rules, document[name], name)


def _is_valid(rules: Rules, value: object, name: str) -> bool:
    if not _KNOWN_RULES.issuperset(rules):
        return False
    if value is None:
        return rules.get("nullable", False)
    kind = rules.get("type")
    if kind is not None and type(value) not in _TYPES.get(kind, frozenset()):
        return False
    if "min" in rules and not value >= rules["min"]:
        return False
    if "max" in rules and not value <= rules["max"]:
        return False
    if "check_with" in rules and not _passes(rules["check_with"], value, name):
        return False
    return _are_valid_items(rules, value)


def _are_valid_items(rules: Rules, value: object) -> bool:
    inner = rules.get("schema")
    if inner is not None:
        if type(value) is list:
            return all(_is_valid(inner, item, str(position)) for position, item in enumerate(value))
        if type(value) is not dict or not is_plainly_valid(inner, value):
            return False
    value_rules = rules.get("valuesrules")
    if value_rules is None:
        return True
    return type(value) is dict and all(_is_valid(value_rules, item, str(key)) for key, item in value.items())


def _passes(
    check: Callable[[str, object, Callable[[str, str], None]], None], value: object, name: str
) -> bool:
    """Call a check as cerberus does: it reports problems through a callback."""
    problems: list[str] = []
    check(name, value, lambda field, problem: problems.append(problem))
    return not problems
