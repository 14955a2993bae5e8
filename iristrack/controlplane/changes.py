"""Changes of register values.

Each change is a pure function from the current value of a register to its next value. It may be called again on a newer
value, so it recognises a value that already contains it.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace

from iristrack.configuration.amendment import Amendment, apply_amendment
from iristrack.configuration.findings import Finding
from iristrack.configuration.model import Configuration
from iristrack.engines.named_weights import MAX_MODELS
from iristrack.engines.rollouts import RUNNING
from iristrack.register import Refuse, Unchanged
from iristrack.wire.messages import (
    ConfigurationValue,
    DutyValue,
    ModelRevision,
    RolloutState,
    RolloutsValue,
    TakenRevision,
    VersionsValue,
)
from iristrack.wire.values import decode_value, encode_value

MAX_TAKEN_REVISIONS = 1024  # length of the history of digests by which a repeated call is recognised
BASE_DIFFERS = "another version is current"
BASE_FORGOTTEN = "what was taken on that version is not remembered"
NOT_HIGHER = "the revision is not higher than the current one"
DUTY_HELD = "the duty is held by another"
INVALID = "the configuration that would result is invalid"
TOO_MANY_MODELS = f"weights of {MAX_MODELS} models are named already"

MAX_ROLLOUTS = 64  # one per service: its newest roll-out
ROLLOUT_RUNNING = "another roll-out of this service is running"
ROLLOUT_DIFFERS = "the roll-out is in another state, or has another holder"
TOO_MANY_ROLLOUTS = f"roll-outs of {MAX_ROLLOUTS} services are kept already"

NO_CONFIGURATION = ConfigurationValue(0, 0, b"")
Outcome = bytes | Unchanged | Refuse
Change = Callable[[bytes], Outcome]


def unchanged(value: bytes) -> Outcome:
    """Read the register without changing it."""
    return Unchanged()


def replace_configuration(proposed: Configuration, body: bytes, base: int) -> Change:
    """Return a change that replaces revision `base` (0: none) by a configuration, unless that was done already.

    A refusal with `BASE_DIFFERS` or `NOT_HIGHER` is final. Revisions only rise, so each is current at most once, and
    the history shows what replaced `base`: another configuration, or nothing because `base` was skipped. If the history
    does not reach back to `base`, this configuration may have been taken earlier. The refusal is then `BASE_FORGOTTEN`,
    which says neither that it was taken nor that it was not.
    """

    def change(value: bytes) -> Outcome:
        current = decode_value(value, ConfigurationValue) or NO_CONFIGURATION
        taken = TakenRevision(proposed.revision, proposed.digest)
        outcome = _check_base(current, taken, base)
        if outcome is not None:
            return outcome
        return _next_value(current, taken, body)

    return change


class AmendConfiguration:
    """A change that amends revision `base`, accepted and refused by the same rules as `replace_configuration`.

    Attributes:
        findings: The faults of the configuration that would result, after a refusal with `INVALID`.
    """

    def __init__(self, amendment: Amendment, body: bytes, base: int, max_body_bytes: int) -> None:
        """Limit the whole configuration that results to `max_body_bytes`."""
        self.amendment = amendment
        self.body = body
        self.base = base
        self.max_body_bytes = max_body_bytes
        self.findings: tuple[Finding, ...] = ()
        self._last_evaluation: tuple[bytes, Outcome] | None = None  # the last value and its outcome

    def __call__(self, value: bytes) -> Outcome:
        """Evaluate the current value; attempts that meet the same value again reuse the outcome."""
        if self._last_evaluation is None or self._last_evaluation[0] != value:
            self._last_evaluation = (value, self._evaluate(value))
        return self._last_evaluation[1]

    def _evaluate(self, value: bytes) -> Outcome:
        current = decode_value(value, ConfigurationValue) or NO_CONFIGURATION
        taken = TakenRevision(self.amendment.revision, self.amendment.digest)
        outcome = _check_base(current, taken, self.base)
        if outcome is not None:
            return outcome
        if not current.body:
            return self._refuse((Finding("X-Iristrack-Base-Version", "is 0", "send the first one whole"),))
        result = apply_amendment(json.loads(current.body), self.amendment)
        if result.is_error():
            return self._refuse(result.error)
        resulting_body = json.dumps(result.ok, separators=(",", ":")).encode()
        if len(resulting_body) > self.max_body_bytes:
            problem = f"makes a configuration of {len(resulting_body)} bytes; {self.max_body_bytes} at most"
            return self._refuse((Finding("upsert", problem, "remove items that are not needed"),))
        return _next_value(current, taken, resulting_body, self.body)

    def _refuse(self, findings: tuple[Finding, ...]) -> Refuse:
        self.findings = findings
        return Refuse(INVALID)


def _check_base(current: ConfigurationValue, taken: TakenRevision, base: int) -> Outcome | None:
    """Return the outcome that follows from the revisions alone; None if the change may be made."""
    if _is_repeat(current, taken, base):
        return Unchanged()
    if base != current.revision:
        return Refuse(BASE_FORGOTTEN if _is_forgotten(base, current) else BASE_DIFFERS)
    if taken.revision <= current.revision:
        return Refuse(NOT_HIGHER)
    return None


def _is_repeat(current: ConfigurationValue, taken: TakenRevision, base: int) -> bool:
    """Tell whether this change was taken on this base before; each entry's base is the entry before it."""
    if taken not in current.taken:
        return False
    if taken == current.taken[-1] and base == current.revision:
        return True  # it is the current configuration
    index = current.taken.index(taken)
    if index > 0:
        return current.taken[index - 1].revision == base
    is_first = len(current.taken) >= current.sequence
    return base == 0 if is_first else True  # the base of the oldest entry in the history is unknown


def _next_value(
    current: ConfigurationValue, taken: TakenRevision, body: bytes, amendment: bytes = b""
) -> bytes:
    history = (*current.taken, taken)[-MAX_TAKEN_REVISIONS:]
    return encode_value(ConfigurationValue(current.sequence + 1, taken.revision, body, history, amendment))


def _is_forgotten(base: int, current: ConfigurationValue) -> bool:
    """Tell whether a configuration based on `base` may have been taken before the history begins."""
    is_complete = len(current.taken) >= current.sequence  # each change raises the sequence by one
    return not is_complete and (not current.taken or base < current.taken[0].revision)


def relayed_configuration(value: ConfigurationValue) -> bytes:
    """Encode the value for sidecars, with only the newest entry of the history to save bandwidth."""
    return encode_value(replace(value, taken=value.taken[-1:]))


def name_version(model: str, revision: int) -> Change:
    """Return a change that names a revision of a model's weights.

    An older revision changes nothing. A model beyond the limit on models is refused.
    """

    def change(value: bytes) -> Outcome:
        current = decode_value(value, VersionsValue) or VersionsValue(0)
        versions = {version.model: version.revision for version in current.versions}
        if versions.get(model, 0) >= revision:
            return Unchanged()
        if model not in versions and len(versions) >= MAX_MODELS:
            return Refuse(TOO_MANY_MODELS)
        versions[model] = revision
        named = tuple(ModelRevision(name, number) for name, number in sorted(versions.items()))
        return encode_value(VersionsValue(current.sequence + 1, named))

    return change


def claim_duty(node: str, process: str, expected: DutyValue | None, refused_fence: int = 0) -> Change:
    """Return a change that claims a duty whose lease expired at the value `expected`, or renews the caller's own.

    A renewal keeps its fencing token unless a server refused it: tokens up to `refused_fence` are never used again.
    """

    def change(value: bytes) -> Outcome:
        current = decode_value(value, DutyValue)
        sequence = 0 if current is None else current.sequence
        fence = 0 if current is None else current.fence
        if current is not None and (current.owner, current.process) == (node, process):
            own_fence = fence if fence > refused_fence else fence + 1
            return encode_value(DutyValue(sequence + 1, node, process, own_fence, current.renewals + 1))
        if current != expected:
            return Refuse(DUTY_HELD)
        return encode_value(DutyValue(sequence + 1, node, process, fence + 1, 0))

    return change


class BeginRollout:
    """A change that begins a roll-out, unless that was done already.

    The same order within `repeat_ms` of the first one is a repeat, whatever the state of the roll-out. The same order
    later, once that roll-out has ended, begins another one.
    """

    def __init__(
        self, service: str, version: str, over_ms: int, repeat_ms: int, age_ms: Callable[[], int]
    ) -> None:
        """`age_ms` returns a lower bound of the age of the newest known value of the register."""
        self.service = service
        self.version = version
        self.over_ms = over_ms
        self.repeat_ms = repeat_ms
        self.age_ms = age_ms

    def __call__(self, value: bytes) -> Outcome:
        """Evaluate the current value."""
        current = decode_value(value, RolloutsValue) or RolloutsValue(0)
        previous = next((r for r in current.rollouts if r.service == self.service), None)
        if previous is not None and self._is_repeat(previous):
            return Unchanged()
        if previous is not None and previous.phase == RUNNING:
            return Refuse(ROLLOUT_RUNNING)
        number = max((r.number for r in current.rollouts), default=0) + 1
        started = RolloutState(self.service, self.version, self.over_ms, RUNNING, 0, number)
        others = [r for r in current.rollouts if r.service != self.service]
        if len(others) >= MAX_ROLLOUTS:
            return Refuse(TOO_MANY_ROLLOUTS)
        return encode_value(RolloutsValue(current.sequence + 1, (*others, started), current.fence))

    def _is_repeat(self, previous: RolloutState) -> bool:
        if (previous.version, previous.over_ms) != (self.version, self.over_ms):
            return False
        return previous.phase == RUNNING or previous.elapsed_ms + self.age_ms() <= self.repeat_ms


def advance_rollout(before: RolloutState, after: RolloutState, fence: int) -> Change:
    """Return a change that replaces the state `before` of a roll-out, under the fencing token of the duty's holder."""

    def change(value: bytes) -> Outcome:
        current = decode_value(value, RolloutsValue)
        if current is None or fence < current.fence or before not in current.rollouts:
            return Refuse(ROLLOUT_DIFFERS)
        rollouts = tuple(after if r == before else r for r in current.rollouts)
        return encode_value(RolloutsValue(current.sequence + 1, rollouts, fence))

    return change
