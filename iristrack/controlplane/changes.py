"""The changes of registers, each a function of the present value that can tell its own content. Pure."""

from __future__ import annotations

from collections.abc import Callable

from iristrack.configuration.model import Configuration
from iristrack.register import Refuse, Unchanged
from iristrack.wire.messages import (
    ConfigurationValue,
    DutyValue,
    ModelRevision,
    TakenRevision,
    VersionsValue,
)
from iristrack.wire.values import decode_value, encode_value

MOST_TAKEN = 256  # revisions whose digests are kept, to know a repeat of a call
BASE_DIFFERS = "another version is current"
NOT_HIGHER = "the revision is not higher than the current one"
HELD = "the duty is held by another"

Outcome = bytes | Unchanged | Refuse
Change = Callable[[bytes], Outcome]


def unchanged(value: bytes) -> Outcome:
    """A read."""
    return Unchanged()


def replace_configuration(proposed: Configuration, body: bytes, base: int) -> Change:
    """Put a configuration in the place of revision `base` (0: none), unless it was taken already."""

    def change(value: bytes) -> Outcome:
        current = decode_value(value, ConfigurationValue) or ConfigurationValue(0, 0, b"")
        taken = TakenRevision(proposed.revision, proposed.digest)
        if taken in current.taken:
            return Unchanged()
        if base != current.revision:
            return Refuse(BASE_DIFFERS)
        if proposed.revision <= current.revision:
            return Refuse(NOT_HIGHER)
        history = (*current.taken, taken)[-MOST_TAKEN:]
        return encode_value(ConfigurationValue(current.sequence + 1, proposed.revision, body, history))

    return change


def name_version(model: str, revision: int) -> Change:
    """Name a revision of a model's weights; an older one than is named changes nothing."""

    def change(value: bytes) -> Outcome:
        current = decode_value(value, VersionsValue) or VersionsValue(0)
        versions = {version.model: version.revision for version in current.versions}
        if versions.get(model, 0) >= revision:
            return Unchanged()
        versions[model] = revision
        named = tuple(ModelRevision(name, number) for name, number in sorted(versions.items()))
        return encode_value(VersionsValue(current.sequence + 1, named))

    return change


def claim_duty(node: str, process: str, expected: DutyValue | None) -> Change:
    """Take a duty that was seen vacant as `expected`, or go on with one's own."""

    def change(value: bytes) -> Outcome:
        current = decode_value(value, DutyValue)
        sequence = 0 if current is None else current.sequence
        fence = 0 if current is None else current.fence
        if current is not None and (current.owner, current.process) == (node, process):
            return encode_value(DutyValue(sequence + 1, node, process, fence, current.renewals + 1))
        if current != expected:
            return Refuse(HELD)
        return encode_value(DutyValue(sequence + 1, node, process, fence + 1, 0))

    return change
