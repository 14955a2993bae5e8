"""The index of parts kept by each holder, under a salt and model."""

from __future__ import annotations

import pytest

from iristrack.prefix_index.index import PROVISIONAL_NS, Entry, PrefixIndex
from iristrack.prefix_index.kv_events import (
    START_CURSOR,
    Cursor,
    EventsAnswer,
    KeptEvent,
    KeptPart,
    ListAnswer,
)
from iristrack.prefix_index.parts import Part

A, B = "10.0.0.1:8080", "10.0.0.2:8080"
STORE = "172.20.0.2:8080"
SALT, MODEL = "v1", "daka510000"
PARTS = (Part("aa", 800), Part("bb", 410), Part("cc", 250))
MS = 1_000_000


def events(
    first: int, *kept: tuple[str, int], salt: str = SALT, epoch: int = 1, lost: bool = False
) -> EventsAnswer:
    kept_events = tuple(
        KeptEvent(number, tokens > 0, salt, part_id, tokens, MODEL)
        for number, (part_id, tokens) in enumerate(kept, first)
    )
    return EventsAnswer(epoch, first + len(kept) - 1, lost, kept_events)


def listed(next_token: int, *kept: tuple[str, int], epoch: int = 1) -> ListAnswer:
    return ListAnswer(
        epoch, next_token, tuple(KeptPart(SALT, part_id, tokens, MODEL) for part_id, tokens in kept)
    )


def kept(index: PrefixIndex, holder: str = A, salt: str = SALT, model: str = MODEL) -> int:
    return index.kept_tokens(holder, salt, model, PARTS)


def test_an_empty_index() -> None:
    index = PrefixIndex(10)
    assert kept(index) == 0
    assert index.cursor(A) == START_CURSOR
    assert index.coverage(SALT, MODEL, PARTS, [A, B]) == {A: 0, B: 0}
    assert index.best_source(SALT, MODEL, PARTS, [A, B], 0) is None
    assert index.entry(A, SALT, MODEL, "aa") is None
    assert (index.entries, index.holders, index.evicted, index.provisional) == (0, 0, 0, 0)


def test_a_limit_of_zero_is_refused() -> None:
    with pytest.raises(ValueError):
        PrefixIndex(0)


def test_a_part_counts_only_after_fully_kept_ones() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("bb", 410), ("cc", 250)), 0)
    assert kept(index) == 0
    index.apply_events(A, events(3, ("aa", 799)), 0)
    assert kept(index) == 799
    index.apply_events(A, events(4, ("aa", 800)), 0)
    assert kept(index) == 1460


def test_partly_kept_parts() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800), ("bb", 410), ("cc", 250)), 0)
    index.apply_events(A, events(4, ("bb", 128)), 0)
    assert kept(index) == 928
    index.apply_events(A, events(5, ("bb", 0)), 0)
    assert kept(index) == 800
    assert index.entries == 2


def test_more_tokens_than_the_part_has_count_as_the_whole_part() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 10_000)), 0)
    assert kept(index) == 800


def test_a_part_without_tokens_does_not_hide_later_parts() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("bb", 410)), 0)
    assert index.kept_tokens(A, SALT, MODEL, (Part("00", 0), Part("bb", 410))) == 410
    index.record_sent(A, SALT, MODEL, (Part("00", 0),), 0)
    assert index.entries == 1


def test_the_salt_of_another_tenant_or_version_never_matches() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800), salt="v1/tenant-a"), 0)
    index.record_sent(B, "v1/tenant-a", MODEL, PARTS, 0)
    for salt in ("v1/tenant-b", "v2/tenant-a", "v1", "v1/", "", "V1/TENANT-A"):
        assert kept(index, A, salt) == 0
        assert kept(index, B, salt) == 0
        assert index.best_source(salt, MODEL, PARTS, [A, B], 0) is None
    assert kept(index, A, "v1/tenant-a") == 800


def test_another_model_never_matches() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    assert kept(index, model="other") == 0


def test_the_best_source_keeps_the_most_tokens() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    index.apply_events(B, events(1, ("aa", 800), ("bb", 300)), 0)
    index.apply_events(STORE, events(1, ("aa", 800), ("bb", 300)), 0)
    assert index.coverage(SALT, MODEL, PARTS, [A, B, STORE]) == {A: 800, B: 1100, STORE: 1100}
    assert index.best_source(SALT, MODEL, PARTS, [A, B, STORE], 1) == B
    assert index.best_source(SALT, MODEL, PARTS, [STORE, A, B], 1100) == STORE
    assert index.best_source(SALT, MODEL, PARTS, [A], 800) == A
    assert index.best_source(SALT, MODEL, PARTS, [A], 801) is None
    assert index.best_source(SALT, MODEL, PARTS, [A, B, STORE], 1101) is None
    assert index.best_source(SALT, MODEL, PARTS, [], 1) is None


def test_the_cursor_follows_the_answers() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    assert index.cursor(A) == Cursor(1, 1)
    index.apply_list(A, listed(9), 0)
    assert index.cursor(A) == Cursor(1, 9)
    assert index.cursor(B) == START_CURSOR


def test_an_answer_that_arrives_late_is_ignored() -> None:
    index = PrefixIndex(10)
    late = events(1, ("aa", 800), ("bb", 410))
    index.apply_events(A, late, 0)
    index.apply_events(A, events(3, ("bb", 0)), 0)
    index.apply_events(A, late, 0)
    assert kept(index) == 800
    assert index.cursor(A) == Cursor(1, 3)


def test_a_wrong_entry_is_corrected_by_the_next_event() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    index.apply_events(A, events(2, ("aa", 0)), 0)
    assert kept(index) == 0
    assert index.entries == 0


def test_an_event_that_drops_an_unknown_part() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 0)), 0)
    index.apply_events(A, events(2, ("bb", 410)), 0)
    index.apply_events(A, events(3, ("aa", 0)), 0)
    assert index.entries == 1


def test_a_new_epoch_resets_only_this_holder() -> None:
    index = PrefixIndex(10)
    for holder in (A, B):
        index.apply_events(holder, events(1, ("aa", 800), ("bb", 410)), 0)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(A, events(3, ("bb", 410), epoch=2), 0)
    assert kept(index, A) == 0
    assert kept(index, B) == 1210
    assert index.entry(A, SALT, MODEL, "bb") is not None
    assert (index.entries, index.provisional) == (3, 0)
    assert index.cursor(A) == Cursor(2, 0)
    index.apply_events(A, events(1, ("aa", 800), ("cc", 250), ("bb", 410), epoch=2), 0)
    assert kept(index, A) == 1460


def test_after_lost_events_older_entries_are_uncertain() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 5 * MS)
    index.apply_events(A, events(9, ("bb", 410), lost=True), 8 * MS)
    assert index.uncertain_since(A) == 8 * MS
    assert index.entry(A, SALT, MODEL, "aa") == Entry(800, 5 * MS, provisional=False, uncertain=True)
    assert index.entry(A, SALT, MODEL, "bb") == Entry(410, 8 * MS, provisional=False, uncertain=False)
    assert kept(index) == 1210
    assert index.cursor(A) == Cursor(1, 9)


def test_a_list_replaces_everything_and_ends_uncertainty() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    index.apply_events(A, events(9, lost=True), 1)
    index.record_sent(A, SALT, MODEL, PARTS, 1)
    index.apply_list(A, listed(12, ("bb", 410)), 2)
    assert index.uncertain_since(A) is None
    assert index.entry(A, SALT, MODEL, "aa") is None
    assert index.entry(A, SALT, MODEL, "bb") == Entry(410, 2, provisional=False, uncertain=False)
    assert (index.entries, index.provisional) == (1, 0)


def test_a_restart_ends_uncertainty() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(9, ("aa", 800), lost=True), 1)
    index.apply_events(A, events(1, ("aa", 800), epoch=2), 2)
    assert index.uncertain_since(A) is None


def test_provisional_entries_expire_unless_confirmed() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    assert kept(index) == 1460
    assert index.entry(A, SALT, MODEL, "aa") == Entry(800, 0, provisional=True, uncertain=False)
    index.apply_events(A, events(1, ("aa", 800)), MS)
    assert index.provisional == 2
    index.expire(PROVISIONAL_NS - 1)
    assert kept(index) == 1460
    index.expire(PROVISIONAL_NS)
    assert kept(index) == 800
    assert (index.entries, index.provisional) == (1, 0)


def test_reports_of_the_holder_replace_provisional_entries() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(A, events(1, ("aa", 512), ("bb", 0)), MS)
    assert kept(index) == 512
    assert index.provisional == 1
    index.expire(PROVISIONAL_NS)
    assert kept(index) == 512


def test_an_expired_provisional_entry_restores_the_holders_report() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800), ("bb", 128)), 3)
    index.record_sent(A, SALT, MODEL, PARTS, 10)
    index.record_sent(A, SALT, MODEL, PARTS, 20)
    assert kept(index) == 1460
    index.expire(PROVISIONAL_NS + 20)
    assert kept(index) == 928
    assert index.entry(A, SALT, MODEL, "bb") == Entry(128, 3, provisional=False, uncertain=False)


def test_a_further_request_extends_a_provisional_entry() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS[:2], 0)
    index.record_sent(A, SALT, MODEL, PARTS[:1], MS)
    index.expire(PROVISIONAL_NS)
    assert kept(index) == 800
    index.expire(PROVISIONAL_NS + MS)
    assert kept(index) == 0


def test_an_extended_entry_does_not_delay_the_expiry_of_others() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS[1:2], 0)
    index.record_sent(A, SALT, MODEL, PARTS[:1], 0)
    index.record_sent(A, SALT, MODEL, PARTS[1:2], MS)
    index.expire(PROVISIONAL_NS)
    assert index.entry(A, SALT, MODEL, "aa") is None
    assert index.entry(A, SALT, MODEL, "bb") is not None


def test_provisional_entries_expire_with_any_later_call() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(B, events(1), PROVISIONAL_NS)
    assert kept(index) == 0


def test_a_loss_of_events_marks_provisional_entries_as_uncertain() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(A, events(5, lost=True), 1)
    assert index.entry(A, SALT, MODEL, "aa") == Entry(800, 0, provisional=True, uncertain=True)


def test_forget_removes_the_holder_and_its_cursor() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(B, events(1, ("aa", 800)), 0)
    index.forget(A)
    index.forget("never seen")
    assert kept(index, A) == 0
    assert kept(index, B) == 800
    assert index.cursor(A) == START_CURSOR
    assert (index.entries, index.holders, index.provisional) == (1, 1, 0)
    index.expire(PROVISIONAL_NS)
    assert kept(index, B) == 800


def test_a_full_index_evicts_the_least_recently_touched_entry() -> None:
    index = PrefixIndex(3)
    index.apply_events(A, events(1, ("aa", 800), ("bb", 410), ("cc", 250)), 0)
    index.record_sent(A, SALT, MODEL, PARTS[:1], 0)
    index.apply_events(B, events(1, ("dd", 9)), 0)
    assert index.entry(A, SALT, MODEL, "bb") is None
    assert kept(index) == 800
    assert (index.entries, index.evicted) == (3, 1)


def test_the_first_parts_of_a_request_are_evicted_last() -> None:
    index = PrefixIndex(3)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(B, events(1, ("dd", 9)), 0)
    assert kept(index) == 1210
    index.apply_events(B, events(2, ("ee", 9)), 0)
    assert kept(index) == 800


def test_the_expiry_of_an_evicted_provisional_entry_affects_no_other_entry() -> None:
    index = PrefixIndex(1)
    index.record_sent(A, SALT, MODEL, PARTS[:1], 0)
    index.apply_events(B, events(1, ("aa", 800)), 1)
    assert index.provisional == 0
    index.expire(PROVISIONAL_NS)
    assert kept(index, B) == 800


def test_an_index_of_one_entry_accepts_longer_prompts() -> None:
    index = PrefixIndex(1)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    assert kept(index) == 800
    assert (index.entries, index.evicted) == (1, 2)


def test_salts_without_parts_use_no_memory() -> None:
    index = PrefixIndex(100)
    for version in range(1000):
        index.apply_events(A, events(2 * version + 1, ("aa", 800), salt=f"v{version}"), 0)
        index.apply_events(A, events(2 * version + 2, ("aa", 0), salt=f"v{version}"), 0)
    assert index.entries == 0
    assert not index._holders[A].spaces


def test_slots_are_reused() -> None:
    index = PrefixIndex(100)
    for number in range(1000):
        index.apply_events(A, events(number + 1, (f"{number:x}", 5)), 0)
    index.forget(A)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    assert len(index._table.tokens) == 101
