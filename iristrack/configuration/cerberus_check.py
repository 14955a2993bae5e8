"""Findings by cerberus on a document that `schema_check.py` could not accept by itself."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cerberus import TypeDefinition, Validator
from cerberus.errors import ValidationError

from iristrack.configuration.findings import Finding, place_of

_REMEDIES = {
    "required": "add the field",
    "nullable": "give a value or leave the field out",
    "type": "give a value of that type",
}
_DEFAULT_REMEDY = "give a permitted value"


class DocumentValidator(Validator):
    """A cerberus validator that permits unknown fields and knows the type ``whole``.

    The type ``integer`` of cerberus accepts true and false; ``whole`` does not.
    """

    types_mapping = Validator.types_mapping | {"whole": TypeDefinition("whole", (int,), (bool,))}


def cerberus_findings(schema: dict[str, object], document: dict[str, object]) -> tuple[Finding, ...]:
    """Check a document against a cerberus schema and return all findings, in order of place."""
    validator = DocumentValidator(schema, allow_unknown=True)
    if validator.validate(document, normalize=False):
        return ()
    leaves = _leaf_errors(validator._errors)
    return tuple(sorted(map(_finding_of, leaves), key=lambda finding: finding.place))


def _leaf_errors(errors: Iterable[ValidationError]) -> Iterator[ValidationError]:
    for error in errors:
        if error.child_errors:
            yield from _leaf_errors(error.child_errors)
        else:
            yield error


def _finding_of(error: ValidationError) -> Finding:
    remedy = _REMEDIES.get(error.rule, _DEFAULT_REMEDY)
    return Finding(place_of(error.document_path), _problem_of(error), remedy)


def _problem_of(error: ValidationError) -> str:
    match error.rule:
        case "required":
            return "is missing"
        case "nullable":
            return "is null"
        case "type":
            return f"is not of type {error.constraint}"
        case "min":
            return f"is below {error.constraint}"
        case None:  # set by a `check_with` function, which gives only a message
            return str(error.info[0])
        case rule:
            return f"breaks the rule {rule}={error.constraint!r}"
