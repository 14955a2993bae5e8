from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from iristrack.configuration.amendment import read_amendment
from iristrack.configuration.document import parse_configuration
from iristrack.configuration.model import Configuration
from iristrack.controlplane.changes import (
    BASE_DIFFERS,
    BASE_FORGOTTEN,
    DUTY_HELD,
    INVALID,
    MAX_TAKEN_REVISIONS,
    NOT_HIGHER,
    TOO_MANY_MODELS,
    AmendConfiguration,
    claim_duty,
    name_version,
    relayed_configuration,
    replace_configuration,
    unchanged,
)
from iristrack.engines.named_weights import MAX_MODELS
from iristrack.register import Refuse, Unchanged
from iristrack.wire.messages import ConfigurationValue, DutyValue, ModelRevision, TakenRevision, VersionsValue
from iristrack.wire.values import decode_value


def body(revision: int, label: str = "pool") -> bytes:
    return json.dumps({"revision": revision, "route_table": [], "services": [{"label": label}]}).encode()


def configuration(revision: int, label: str = "pool") -> Configuration:
    return parse_configuration(body(revision, label))


def replace(value: bytes, revision: int, base: int, label: str = "pool"):
    change = replace_configuration(configuration(revision, label), body(revision, label), base)
    return change(value)


def decoded(value: bytes) -> ConfigurationValue:
    return decode_value(value, ConfigurationValue)


# ---- amendments

MAX_BODY_BYTES = 10_000


def amendment_body(revision: int, *labels: str, remove: tuple[str, ...] = ()) -> bytes:
    services = [{"label": label} for label in labels]
    document = {"revision": revision, "upsert": {"services": services}, "remove": {"services": list(remove)}}
    return json.dumps(document).encode()


def amending(body: bytes, base: int, max_body_bytes: int = MAX_BODY_BYTES) -> AmendConfiguration:
    return AmendConfiguration(read_amendment(body).ok, body, base, max_body_bytes)


def amend(value: bytes, revision: int, base: int, *labels: str, remove: tuple[str, ...] = ()):
    return amending(amendment_body(revision, *labels, remove=remove), base)(value)


def services(value: bytes) -> list[str]:
    return [row["label"] for row in json.loads(decoded(value).body)["services"]]


def test_an_amendment_alters_what_it_names_and_is_stored_beside_the_configuration() -> None:
    value = amend(replace(b"", 5, 0), 9, 5, "extra")
    assert services(value) == ["pool", "extra"]
    current = decoded(value)
    assert (current.sequence, current.revision) == (2, 9)
    assert json.loads(current.body)["revision"] == 9
    assert current.amendment == amendment_body(9, "extra")
    assert decoded(replace(value, 12, 9)).amendment == b""


def test_an_amendment_is_refused_and_recognised_by_the_rules_of_a_replacement() -> None:
    first = replace(b"", 5, 0)
    taken = amend(first, 9, 5, "extra")
    assert amend(taken, 9, 5, "extra") == Unchanged()
    assert amend(replace(taken, 12, 9), 9, 5, "extra") == Unchanged()
    assert amend(taken, 9, 5, "other") == Refuse(BASE_DIFFERS)
    assert amend(taken, 12, 5, "extra") == Refuse(BASE_DIFFERS)
    assert amend(taken, 9, 9, "other") == Refuse(NOT_HIGHER)
    assert amend(taken, 8, 9, "other") == Refuse(NOT_HIGHER)


def test_only_one_of_an_amendment_and_a_replacement_with_the_same_revision_is_taken() -> None:
    first = replace(b"", 5, 0)
    assert amend(replace(first, 9, 5, "other"), 9, 5, "extra") == Refuse(BASE_DIFFERS)
    assert replace(amend(first, 9, 5, "extra"), 9, 5, "other") == Refuse(BASE_DIFFERS)


def test_nothing_can_be_amended_before_the_first_configuration() -> None:
    change = amending(amendment_body(3, "extra"), 0)
    assert change(b"") == Refuse(INVALID)
    assert [finding.place for finding in change.findings] == ["X-Iristrack-Base-Version"]


def test_an_amendment_whose_result_is_invalid_reports_the_faults() -> None:
    route = {
        "label": "r", "hostname": "a.example", "path_prefix": "/a/", "route_kind": "safe", "timeout_ms": 1,
        "target_latency_ms": 1, "target": "pool",
    }  # fmt: skip
    original = {"revision": 5, "route_table": [route], "services": [{"label": "pool"}]}
    content = json.dumps(original).encode()
    value = replace_configuration(parse_configuration(content), content, 0)(b"")
    change = amending(amendment_body(9, remove=("pool",)), 5)
    assert change(value) == Refuse(INVALID)
    assert [finding.place for finding in change.findings] == ["route_table[0].target"]


def test_an_amendment_cannot_exceed_the_size_limit_of_a_configuration() -> None:
    value = replace(b"", 5, 0)
    long_amendment = amendment_body(9, "x" * 500)
    assert amending(long_amendment, 5, max_body_bytes=400)(value) == Refuse(INVALID)
    assert isinstance(amending(long_amendment, 5)(value), bytes)


# ---- configurations


def test_the_first_configuration_has_no_base() -> None:
    value = replace(b"", 5, 0)
    taken = (TakenRevision(5, configuration(5).digest),)
    assert decoded(value) == ConfigurationValue(1, 5, body(5), taken)
    assert replace(b"", 5, 3) == Refuse(BASE_DIFFERS)


def test_the_next_configuration_names_the_current_one_as_base_and_is_higher() -> None:
    first = replace(b"", 5, 0)
    second = replace(first, 9, 5)
    assert (decoded(second).sequence, decoded(second).revision, decoded(second).body) == (2, 9, body(9))
    assert replace(second, 12, 5) == Refuse(BASE_DIFFERS)
    assert replace(second, 12, 0) == Refuse(BASE_DIFFERS)
    assert replace(second, 8, 9) == Refuse(NOT_HIGHER)
    assert replace(second, 9, 9, "other") == Refuse(NOT_HIGHER)


def test_only_one_of_two_configurations_on_the_same_base_is_taken() -> None:
    first = replace(b"", 5, 0)
    won = replace(first, 7, 5, "one")
    assert replace(won, 7, 5, "other") == Refuse(BASE_DIFFERS)
    assert replace(won, 8, 5, "other") == Refuse(BASE_DIFFERS)


def test_a_repeat_is_recognised_even_after_newer_configurations() -> None:
    value = replace(b"", 5, 0)
    assert replace(value, 5, 0) == Unchanged()
    for revision in range(6, 20):
        value = replace(value, revision, revision - 1)
    assert replace(value, 5, 0) == Unchanged()
    assert replace(value, 12, 11) == Unchanged()
    assert replace(value, 12, 11, "other content") == Refuse(BASE_DIFFERS)


def test_the_history_is_bounded_and_keeps_the_newest() -> None:
    value = b""
    for revision in range(1, MAX_TAKEN_REVISIONS + 40):
        value = replace(value, revision, revision - 1)
    taken = decoded(value).taken
    assert [t.revision for t in taken] == list(range(40, MAX_TAKEN_REVISIONS + 40))
    assert replace(value, MAX_TAKEN_REVISIONS + 39, MAX_TAKEN_REVISIONS + 38) == Unchanged()


def test_a_repeat_that_may_have_been_taken_before_the_history_begins_is_not_refused() -> None:
    """A refusal with 412 would say that it was never taken."""
    value = b""
    for revision in range(1, MAX_TAKEN_REVISIONS + 40):
        value = replace(value, revision, revision - 1)
    oldest = decoded(value).taken[0].revision
    assert replace(value, 5, 4) == Refuse(BASE_FORGOTTEN)  # it was taken
    assert replace(value, oldest, oldest - 1) == Unchanged()
    assert replace(value, oldest + 1, oldest, "other") == Refuse(BASE_DIFFERS)
    assert replace(value, oldest, oldest - 1, "other") == Refuse(BASE_FORGOTTEN)


def test_sidecars_are_sent_only_the_newest_entry_of_the_history() -> None:
    value = replace(replace(b"", 5, 0), 9, 5)
    relayed = decode_value(relayed_configuration(decoded(value)), ConfigurationValue)
    assert (relayed.sequence, relayed.revision, relayed.body) == (2, 9, body(9))
    assert relayed.taken == (TakenRevision(9, configuration(9).digest),)


def test_a_fence_that_a_server_refused_is_not_used_again() -> None:
    first = claim_duty("n", "p", None)(b"")
    assert decode_value(claim_duty("n", "p", None)(first), DutyValue).fence == 1
    raised = claim_duty("n", "p", None, refused_fence=1)(first)
    assert decode_value(raised, DutyValue) == DutyValue(2, "n", "p", 2, 1)
    assert decode_value(claim_duty("n", "p", None, refused_fence=1)(raised), DutyValue).fence == 2


def test_a_change_can_be_evaluated_again_on_the_same_value() -> None:
    change = replace_configuration(configuration(5), body(5), 0)
    assert change(b"") == change(b"")
    assert change(change(b"")) == Unchanged()


def test_a_read_changes_nothing() -> None:
    assert unchanged(b"") == Unchanged()
    assert unchanged(replace(b"", 5, 0)) == Unchanged()


class ConfigurationRegister(RuleBasedStateMachine):
    """Compares the register's value after random calls with a list of the configurations taken."""

    def __init__(self) -> None:
        super().__init__()
        self.value = b""
        self.taken: list[tuple[int, str]] = []
        self.bases: list[int] = []  # bases of the configurations in `taken`

    @property
    def revision(self) -> int:
        return self.taken[-1][0] if self.taken else 0

    def call(self, revision: int, base: int, label: str) -> None:
        outcome = replace(self.value, revision, base, label)
        if (revision, label, base) in [
            (*taken, on) for taken, on in zip(self.taken, self.bases, strict=True)
        ]:
            assert outcome == Unchanged()
        elif base != self.revision:
            assert outcome == Refuse(BASE_DIFFERS)
        elif revision <= self.revision:
            assert outcome == Refuse(NOT_HIGHER)
        else:
            self.value = outcome
            self.taken.append((revision, label))
            self.bases.append(base)

    @rule(step=st.integers(1, 3), label=st.sampled_from("ab"))
    def replace_the_current_one(self, step: int, label: str) -> None:
        self.call(self.revision + step, self.revision, label)

    @rule(revision=st.integers(1, 40), base=st.integers(0, 40), label=st.sampled_from("ab"))
    def call_anything(self, revision: int, base: int, label: str) -> None:
        self.call(revision, base, label)

    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        if self.taken:
            at = data.draw(st.integers(0, len(self.taken) - 1))
            before = self.taken[at - 1][0] if at else 0
            self.call(self.taken[at][0], before, self.taken[at][1])

    @invariant()
    def the_value_is_the_newest_taken(self) -> None:
        if not self.taken:
            assert self.value == b""
            return
        now = decoded(self.value)
        revision, label = self.taken[-1]
        assert (now.sequence, now.revision, now.body) == (len(self.taken), revision, body(revision, label))
        revisions = [t.revision for t in now.taken]
        assert revisions == sorted(set(revisions)) == [number for number, _ in self.taken]


TestConfigurationRegister = ConfigurationRegister.TestCase


# ---- weights


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9)), max_size=30))
def test_named_versions_only_rise_and_each_model_has_its_own(calls) -> None:
    value, newest, changes = b"", {}, 0
    for model, revision in calls:
        outcome = name_version(model, revision)(value)
        if revision <= newest.get(model, 0):
            assert outcome == Unchanged()
            continue
        value, changes = outcome, changes + 1
        newest[model] = revision
        named = tuple(ModelRevision(name, newest[name]) for name in sorted(newest))
        assert decode_value(value, VersionsValue) == VersionsValue(changes, named)


def test_a_model_beyond_the_limit_is_refused_and_named_ones_can_still_change() -> None:
    value = b""
    for number in range(MAX_MODELS):
        value = name_version(f"m{number}", 1)(value)
    assert name_version("one more", 1)(value) == Refuse(TOO_MANY_MODELS)
    assert decode_value(name_version("m0", 2)(value), VersionsValue).sequence == MAX_MODELS + 1


# ---- duties


def duty(value: bytes) -> DutyValue:
    return decode_value(value, DutyValue)


def test_a_vacant_duty_is_claimed_by_a_process_that_saw_it_vacant() -> None:
    value = claim_duty("n1", "p1", None)(b"")
    assert duty(value) == DutyValue(1, "n1", "p1", 1, 0)
    assert claim_duty("n2", "p2", None)(value) == Refuse(DUTY_HELD)
    assert duty(claim_duty("n2", "p2", duty(value))(value)) == DutyValue(2, "n2", "p2", 2, 0)


def test_a_holder_keeps_its_fence() -> None:
    value = claim_duty("n1", "p1", None)(b"")
    for renewals in range(1, 4):
        value = claim_duty("n1", "p1", None)(value)
        assert duty(value) == DutyValue(1 + renewals, "n1", "p1", 1, renewals)


def test_a_renewed_duty_cannot_be_claimed_with_an_older_value() -> None:
    first = claim_duty("n1", "p1", None)(b"")
    renewed = claim_duty("n1", "p1", None)(first)
    assert claim_duty("n2", "p2", duty(first))(renewed) == Refuse(DUTY_HELD)
    assert claim_duty("n1", "p9", duty(first))(renewed) == Refuse(
        DUTY_HELD
    )  # another process of the same machine


@given(st.lists(st.tuples(st.sampled_from(["p1", "p2", "p3"]), st.integers(0, 3)), max_size=40))
def test_a_fence_belongs_to_one_holder_and_only_rises(claims) -> None:
    value, seen, holders = b"", [None], {}
    for process, back in claims:
        expected = seen[max(0, len(seen) - 1 - back)]
        outcome = claim_duty("n", process, expected)(value)
        if isinstance(outcome, Refuse):
            continue
        before, now = duty(value) if value else None, duty(outcome)
        assert now.sequence == (before.sequence if before else 0) + 1
        assert now.fence >= (before.fence if before else 0)
        assert holders.setdefault(now.fence, process) == process
        value = outcome
        seen.append(now)


def test_an_earlier_configuration_on_the_current_base_is_no_repeat() -> None:
    """Guards against answering such a call with 200 without making its configuration current (review/REPORT.md)."""
    value = replace(b"", 5, 0)
    value = replace(value, 9, 5)
    assert replace(value, 5, 9) == Refuse(NOT_HIGHER)
    assert replace(value, 5, 0) == Unchanged()
    assert replace(value, 9, 5) == Unchanged()
    assert replace(value, 9, 9) == Unchanged()  # it is the current one
    assert replace(value, 5, 5) == Refuse(BASE_DIFFERS)


def test_the_oldest_configuration_in_the_history_counts_as_a_repeat_on_any_base() -> None:
    value = replace(b"", 1, 0)
    for revision in range(2, MAX_TAKEN_REVISIONS + 3):
        value = replace(value, revision, revision - 1)
    oldest = decoded(value).taken[0].revision
    assert replace(value, oldest, oldest - 1) == Unchanged()
    assert replace(value, oldest + 1, oldest) == Unchanged()
    assert replace(value, oldest + 1, oldest - 1) != Unchanged()
