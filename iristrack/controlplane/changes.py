"""The changes of registers, each a function of the present value that can tell its own content. Pure."""

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

MAX_TAKEN_REVISIONS = 1024  # revisions whose digests are kept, to know a repeat of a call
BASE_DIFFERS = "another version is current"
BASE_FORGOTTEN = "what was taken on that version is not remembered"
NOT_HIGHER = "the revision is not higher than the current one"
HELD = "the duty is held by another"
INVALID = "the configuration that would result is invalid"
TOO_MANY_MODELS = f"weights of {MAX_MODELS} models are named already"

MOST_ROLLOUTS = 64  # services whose newest roll-out is kept
ROLLOUT_RUNS = "another roll-out of this service is running"
ROLLOUT_DIFFERS = "the roll-out is in another state, or has another holder"
TOO_MANY_ROLLOUTS = f"roll-outs of {MOST_ROLLOUTS} services are kept already"

NO_CONFIGURATION = ConfigurationValue(0, 0, b"")
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
        current = decode_value(value, ConfigurationValue) or NO_CONFIGURATION
        taken = TakenRevision(proposed.revision, proposed.digest)
        standing = _judge_base(current, taken, base)
        if standing is not None:
            return standing
        return _successor(current, taken, body)

    return change


class AmendConfiguration:
    """The change that amends revision `base`, under the same terms as `replace_configuration`.

    Attributes:
        findings: What is wrong with the configuration that would result, after a refusal with `INVALID`.
    """

    def __init__(self, amendment: Amendment, body: bytes, base: int, most_body: int) -> None:
        """`most_body` is the greatest length in bytes that the whole configuration may reach."""
        self.amendment = amendment
        self.body = body
        self.base = base
        self.most_body = most_body
        self.findings: tuple[Finding, ...] = ()
        self._judged: tuple[bytes, Outcome] | None = None  # the value that was judged last, and how

    def __call__(self, value: bytes) -> Outcome:
        """Judge the present value; the same value is judged once, however many attempts there are."""
        if self._judged is None or self._judged[0] != value:
            self._judged = (value, self._judge(value))
        return self._judged[1]

    def _judge(self, value: bytes) -> Outcome:
        current = decode_value(value, ConfigurationValue) or NO_CONFIGURATION
        taken = TakenRevision(self.amendment.revision, self.amendment.digest)
        standing = _judge_base(current, taken, self.base)
        if standing is not None:
            return standing
        if not current.body:
            return self._refuse((Finding("X-Iristrack-Base-Version", "is 0", "send the first one whole"),))
        result = apply_amendment(json.loads(current.body), self.amendment)
        if result.is_error():
            return self._refuse(result.error)
        whole = json.dumps(result.ok, separators=(",", ":")).encode()
        if len(whole) > self.most_body:
            problem = f"makes a configuration of {len(whole)} bytes; {self.most_body} at most"
            return self._refuse((Finding("upsert", problem, "remove items that are not needed"),))
        return _successor(current, taken, whole, self.body)

    def _refuse(self, findings: tuple[Finding, ...]) -> Refuse:
        self.findings = findings
        return Refuse(INVALID)


def _judge_base(current: ConfigurationValue, taken: TakenRevision, base: int) -> Outcome | None:
    """Judge what does not depend on the content; None where the change may be made."""
    if _is_repeat(current, taken, base):
        return Unchanged()
    if base != current.revision:
        return Refuse(BASE_FORGOTTEN if _is_forgotten(base, current) else BASE_DIFFERS)
    if taken.revision <= current.revision:
        return Refuse(NOT_HIGHER)
    return None


def _is_repeat(current: ConfigurationValue, taken: TakenRevision, base: int) -> bool:
    """Was this very change, on this base, taken already? Each was built on the one before it in the history."""
    if taken not in current.taken:
        return False
    if taken == current.taken[-1] and base == current.revision:
        return True  # it is in force, and nothing is built on it
    place = current.taken.index(taken)
    if place > 0:
        return current.taken[place - 1].revision == base
    is_first = len(current.taken) >= current.sequence
    return base == 0 if is_first else True  # what the oldest one that is remembered was built on is not known


def _successor(
    current: ConfigurationValue, taken: TakenRevision, body: bytes, amendment: bytes = b""
) -> bytes:
    history = (*current.taken, taken)[-MAX_TAKEN_REVISIONS:]
    return encode_value(ConfigurationValue(current.sequence + 1, taken.revision, body, history, amendment))


def _is_forgotten(base: int, current: ConfigurationValue) -> bool:
    """May a configuration that was built on `base` have been taken before the history begins?"""
    is_whole = len(current.taken) >= current.sequence  # each change raises the sequence by one
    return not is_whole and (not current.taken or base < current.taken[0].revision)


def relayed_configuration(value: ConfigurationValue) -> bytes:
    """What sidecars are told of the register's value: of the history its newest entry alone, as links are narrow."""
    return encode_value(replace(value, taken=value.taken[-1:]))


def name_version(model: str, revision: int) -> Change:
    """Name a revision of a model's weights; an older one changes nothing, a model too many is refused."""

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


class BeginRollout:
    """The change that begins a roll-out, unless it was begun already.

    The same order again within `repeat_ms` of the first one is a repeat, whatever has become of it; later, and while
    that roll-out does not run any more, it is an order of its own.
    """

    def __init__(
        self, service: str, version: str, over_ms: int, repeat_ms: int, age_ms: Callable[[], int]
    ) -> None:
        """`age_ms` tells how old the newest known value of the register is, at least."""
        self.service = service
        self.version = version
        self.over_ms = over_ms
        self.repeat_ms = repeat_ms
        self.age_ms = age_ms

    def __call__(self, value: bytes) -> Outcome:
        """Judge the present value."""
        current = decode_value(value, RolloutsValue) or RolloutsValue(0)
        known = next((r for r in current.rollouts if r.service == self.service), None)
        if known is not None and self._is_repeat(known):
            return Unchanged()
        if known is not None and known.phase == RUNNING:
            return Refuse(ROLLOUT_RUNS)
        number = max((r.number for r in current.rollouts), default=0) + 1
        begun = RolloutState(self.service, self.version, self.over_ms, RUNNING, 0, number)
        others = [r for r in current.rollouts if r.service != self.service]
        if len(others) >= MOST_ROLLOUTS:
            return Refuse(TOO_MANY_ROLLOUTS)
        return encode_value(RolloutsValue(current.sequence + 1, (*others, begun), current.fence))

    def _is_repeat(self, known: RolloutState) -> bool:
        if (known.version, known.over_ms) != (self.version, self.over_ms):
            return False
        return known.phase == RUNNING or known.elapsed_ms + self.age_ms() <= self.repeat_ms


def advance_rollout(before: RolloutState, after: RolloutState, fence: int) -> Change:
    """Put a state of a roll-out in the place of the one that was seen, under the fence of the duty's holder."""

    def change(value: bytes) -> Outcome:
        current = decode_value(value, RolloutsValue)
        if current is None or fence < current.fence or before not in current.rollouts:
            return Refuse(ROLLOUT_DIFFERS)
        rollouts = tuple(after if r == before else r for r in current.rollouts)
        return encode_value(RolloutsValue(current.sequence + 1, rollouts, fence))

    return change
