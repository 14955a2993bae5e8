"""The index: what is kept where, under which salt and model."""

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
    told = tuple(
        KeptEvent(number, tokens > 0, salt, part_id, tokens, MODEL)
        for number, (part_id, tokens) in enumerate(kept, first)
    )
    return EventsAnswer(epoch, first + len(kept) - 1, lost, told)


def listed(next_token: int, *kept: tuple[str, int], epoch: int = 1) -> ListAnswer:
    return ListAnswer(
        epoch, next_token, tuple(KeptPart(SALT, part_id, tokens, MODEL) for part_id, tokens in kept)
    )


def kept(index: PrefixIndex, holder: str = A, salt: str = SALT, model: str = MODEL) -> int:
    return index.kept_tokens(holder, salt, model, PARTS)


def test_nothing_is_known_at_first() -> None:
    index = PrefixIndex(10)
    assert kept(index) == 0
    assert index.cursor(A) == START_CURSOR
    assert index.coverage(SALT, MODEL, PARTS, [A, B]) == {A: 0, B: 0}
    assert index.best_source(SALT, MODEL, PARTS, [A, B], 0) is None
    assert index.entry(A, SALT, MODEL, "aa") is None
    assert (index.entries, index.holders, index.evicted, index.provisional) == (0, 0, 0, 0)


def test_an_index_of_nothing_is_refused() -> None:
    with pytest.raises(ValueError):
        PrefixIndex(0)


def test_a_part_counts_only_behind_whole_ones() -> None:
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


def test_more_tokens_than_the_part_has_count_as_the_part() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 10_000)), 0)
    assert kept(index) == 800


def test_a_part_without_tokens_hides_nothing_behind_it() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("bb", 410)), 0)
    assert index.kept_tokens(A, SALT, MODEL, (Part("00", 0), Part("bb", 410))) == 410
    index.record_sent(A, SALT, MODEL, (Part("00", 0),), 0)
    assert index.entries == 1


def test_another_tenants_salt_or_another_versions_never_matches() -> None:
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


def test_the_source_that_keeps_the_most() -> None:
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


def test_a_late_answer_changes_nothing() -> None:
    index = PrefixIndex(10)
    late = events(1, ("aa", 800), ("bb", 410))
    index.apply_events(A, late, 0)
    index.apply_events(A, events(3, ("bb", 0)), 0)
    index.apply_events(A, late, 0)
    assert kept(index) == 800
    assert index.cursor(A) == Cursor(1, 3)


def test_a_false_entry_goes_with_the_next_event_on_it() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    index.apply_events(A, events(2, ("aa", 0)), 0)
    assert kept(index) == 0
    assert index.entries == 0


def test_an_event_on_an_unknown_part_that_is_gone() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 0)), 0)
    index.apply_events(A, events(2, ("bb", 410)), 0)
    index.apply_events(A, events(3, ("aa", 0)), 0)
    assert index.entries == 1


def test_a_changed_epoch_forgets_the_holder_alone() -> None:
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


def test_lost_events_leave_entries_that_are_uncertain_with_their_age() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 5 * MS)
    index.apply_events(A, events(9, ("bb", 410), lost=True), 8 * MS)
    assert index.uncertain_since(A) == 8 * MS
    assert index.entry(A, SALT, MODEL, "aa") == Entry(800, 5 * MS, provisional=False, uncertain=True)
    assert index.entry(A, SALT, MODEL, "bb") == Entry(410, 8 * MS, provisional=False, uncertain=False)
    assert kept(index) == 1210
    assert index.cursor(A) == Cursor(1, 9)


def test_a_list_replaces_everything_and_makes_certain() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    index.apply_events(A, events(9, lost=True), 1)
    index.record_sent(A, SALT, MODEL, PARTS, 1)
    index.apply_list(A, listed(12, ("bb", 410)), 2)
    assert index.uncertain_since(A) is None
    assert index.entry(A, SALT, MODEL, "aa") is None
    assert index.entry(A, SALT, MODEL, "bb") == Entry(410, 2, provisional=False, uncertain=False)
    assert (index.entries, index.provisional) == (1, 0)


def test_a_restart_makes_certain() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(9, ("aa", 800), lost=True), 1)
    index.apply_events(A, events(1, ("aa", 800), epoch=2), 2)
    assert index.uncertain_since(A) is None


def test_own_knowledge_lapses_unless_confirmed() -> None:
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


def test_own_knowledge_gives_way_to_what_the_holder_tells() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(A, events(1, ("aa", 512), ("bb", 0)), MS)
    assert kept(index) == 512
    assert index.provisional == 1
    index.expire(PROVISIONAL_NS)
    assert kept(index) == 512


def test_what_lapses_leaves_what_the_holder_had_told() -> None:
    index = PrefixIndex(10)
    index.apply_events(A, events(1, ("aa", 800), ("bb", 128)), 3)
    index.record_sent(A, SALT, MODEL, PARTS, 10)
    index.record_sent(A, SALT, MODEL, PARTS, 20)
    assert kept(index) == 1460
    index.expire(PROVISIONAL_NS + 20)
    assert kept(index) == 928
    assert index.entry(A, SALT, MODEL, "bb") == Entry(128, 3, provisional=False, uncertain=False)


def test_a_further_request_prolongs_own_knowledge() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS[:2], 0)
    index.record_sent(A, SALT, MODEL, PARTS[:1], MS)
    index.expire(PROVISIONAL_NS)
    assert kept(index) == 800
    index.expire(PROVISIONAL_NS + MS)
    assert kept(index) == 0


def test_a_prolonged_entry_holds_up_no_other() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS[1:2], 0)
    index.record_sent(A, SALT, MODEL, PARTS[:1], 0)
    index.record_sent(A, SALT, MODEL, PARTS[1:2], MS)
    index.expire(PROVISIONAL_NS)
    assert index.entry(A, SALT, MODEL, "aa") is None
    assert index.entry(A, SALT, MODEL, "bb") is not None


def test_own_knowledge_lapses_with_any_later_call() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(B, events(1), PROVISIONAL_NS)
    assert kept(index) == 0


def test_own_knowledge_is_not_told_away_by_a_loss_but_flagged() -> None:
    index = PrefixIndex(10)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(A, events(5, lost=True), 1)
    assert index.entry(A, SALT, MODEL, "aa") == Entry(800, 0, provisional=True, uncertain=True)


def test_forget_drops_the_holder_and_its_cursor() -> None:
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


def test_a_full_index_gives_up_the_least_recently_touched() -> None:
    index = PrefixIndex(3)
    index.apply_events(A, events(1, ("aa", 800), ("bb", 410), ("cc", 250)), 0)
    index.record_sent(A, SALT, MODEL, PARTS[:1], 0)
    index.apply_events(B, events(1, ("dd", 9)), 0)
    assert index.entry(A, SALT, MODEL, "bb") is None
    assert kept(index) == 800
    assert (index.entries, index.evicted) == (3, 1)


def test_the_first_parts_of_a_request_give_way_last() -> None:
    index = PrefixIndex(3)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    index.apply_events(B, events(1, ("dd", 9)), 0)
    assert kept(index) == 1210
    index.apply_events(B, events(2, ("ee", 9)), 0)
    assert kept(index) == 800


def test_an_evicted_provisional_entry_takes_none_with_it_when_it_would_lapse() -> None:
    index = PrefixIndex(1)
    index.record_sent(A, SALT, MODEL, PARTS[:1], 0)
    index.apply_events(B, events(1, ("aa", 800)), 1)
    assert index.provisional == 0
    index.expire(PROVISIONAL_NS)
    assert kept(index, B) == 800


def test_an_index_of_one_entry_takes_longer_prompts() -> None:
    index = PrefixIndex(1)
    index.record_sent(A, SALT, MODEL, PARTS, 0)
    assert kept(index) == 800
    assert (index.entries, index.evicted) == (1, 2)


def test_salts_that_are_gone_leave_nothing_behind() -> None:
    index = PrefixIndex(100)
    for version in range(1000):
        index.apply_events(A, events(2 * version + 1, ("aa", 800), salt=f"v{version}"), 0)
        index.apply_events(A, events(2 * version + 2, ("aa", 0), salt=f"v{version}"), 0)
    assert index.entries == 0
    assert not index._holders[A].spaces


def test_slots_are_used_again() -> None:
    index = PrefixIndex(100)
    for number in range(1000):
        index.apply_events(A, events(number + 1, (f"{number:x}", 5)), 0)
    index.forget(A)
    index.apply_events(A, events(1, ("aa", 800)), 0)
    assert len(index._table.tokens) == 101
