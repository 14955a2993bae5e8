"""The changes of registers, each a function of the present value that can tell its own content. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

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

MOST_TAKEN = 1024  # revisions whose digests are kept, to know a repeat of a call
BASE_DIFFERS = "another version is current"
BASE_FORGOTTEN = "what was taken on that version is not remembered"
NOT_HIGHER = "the revision is not higher than the current one"
HELD = "the duty is held by another"

Outcome = bytes | Unchanged | Refuse
Change = Callable[[bytes], Outcome]


def unchanged(value: bytes) -> Outcome:
    """A read."""
    return Unchanged()


def replace_configuration(proposed: Configuration, body: bytes, base: int) -> Change:
    """Put a configuration in the place of revision `base` (0: none), unless it was taken already.

    A refusal with `BASE_DIFFERS` or `NOT_HIGHER` holds for all time. Revisions only rise, so each is current once at
    most, and the history tells what took the place of `base`: something else than this, or nothing, as `base` was
    never current and is passed. Where the history does not reach back to `base`, this may have been taken: the
    refusal is `BASE_FORGOTTEN`, which is no clear answer.
    """

    def change(value: bytes) -> Outcome:
        current = decode_value(value, ConfigurationValue) or ConfigurationValue(0, 0, b"")
        taken = TakenRevision(proposed.revision, proposed.digest)
        if taken in current.taken:
            return Unchanged()
        if base != current.revision:
            return Refuse(BASE_FORGOTTEN if _is_forgotten(base, current) else BASE_DIFFERS)
        if proposed.revision <= current.revision:
            return Refuse(NOT_HIGHER)
        history = (*current.taken, taken)[-MOST_TAKEN:]
        return encode_value(ConfigurationValue(current.sequence + 1, proposed.revision, body, history))

    return change


def _is_forgotten(base: int, current: ConfigurationValue) -> bool:
    """May a configuration that was built on `base` have been taken before the history begins?"""
    is_whole = len(current.taken) >= current.sequence  # each change raises the sequence by one
    return not is_whole and (not current.taken or base < current.taken[0].revision)


def told_configuration(value: ConfigurationValue) -> bytes:
    """What sidecars are told of the register's value: of the history its newest entry alone, as links are narrow."""
    return encode_value(replace(value, taken=value.taken[-1:]))


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


def claim_duty(node: str, process: str, expected: DutyValue | None, refused_fence: int = 0) -> Change:
    """Take a duty that was seen vacant as `expected`, or go on with one's own.

    Its own fence is kept, unless a server has refused it: a fence up to `refused_fence` is never used again.
    """

    def change(value: bytes) -> Outcome:
        current = decode_value(value, DutyValue)
        sequence = 0 if current is None else current.sequence
        fence = 0 if current is None else current.fence
        if current is not None and (current.owner, current.process) == (node, process):
            kept = fence if fence > refused_fence else fence + 1
            return encode_value(DutyValue(sequence + 1, node, process, kept, current.renewals + 1))
        if current != expected:
            return Refuse(HELD)
        return encode_value(DutyValue(sequence + 1, node, process, fence + 1, 0))

    return change
