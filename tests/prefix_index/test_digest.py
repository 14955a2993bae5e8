"""Digests of one watcher's knowledge of a holder."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.prefix_index.digest import Delta, Generation, HolderLog, Position, Snapshot
from iristrack.prefix_index.index import PrefixIndex
from iristrack.prefix_index.kv_events import Cursor, EventsAnswer, KeptEvent, KeptPart, ListAnswer

A = "10.0.0.1:8080"
SALT, MODEL = "v1", "daka510000"


def events(first: int, *kept: tuple[str, int], epoch: int = 1, lost: bool = False) -> EventsAnswer:
    kept_events = tuple(
        KeptEvent(number, tokens > 0, SALT, part_id, tokens, MODEL)
        for number, (part_id, tokens) in enumerate(kept, first)
    )
    return EventsAnswer(epoch, first + len(kept) - 1, lost, kept_events)


def part(part_id: str, tokens: int) -> KeptPart:
    return KeptPart(SALT, part_id, tokens, MODEL)


def known(index: PrefixIndex) -> dict[str, int]:
    entries = {part_id: index.entry(A, SALT, MODEL, part_id) for part_id in ("a", "b", "c", "d")}
    return {part_id: entry.tokens for part_id, entry in entries.items() if entry is not None}


def log(max_changes: int = 4, max_parts: int = 100) -> HolderLog:
    return HolderLog(A, "sidecar-1", max_changes, max_parts)


def test_a_new_reader_gets_a_snapshot() -> None:
    watched = log()
    watched.record_events(events(1, ("a", 8), ("b", 9), ("a", 0)))
    snapshot = watched.since(None)
    end = Position(Generation("sidecar-1", 1), 3)
    assert snapshot == Snapshot(A, end, Cursor(1, 3), False, (part("b", 9),))


def test_a_reader_that_is_behind_gets_the_changes() -> None:
    watched = log()
    watched.record_events(events(1, ("a", 8)))
    position = watched.position
    watched.record_events(events(2, ("b", 9), ("a", 3)))
    delta = watched.since(position)
    assert isinstance(delta, Delta)
    assert delta.after == position
    assert delta.position == watched.position
    assert [(change.sequence, change.kept) for change in delta.changes] == [
        (2, part("b", 9)),
        (3, part("a", 3)),
    ]


def test_a_reader_that_is_up_to_date_gets_no_changes() -> None:
    watched = log()
    watched.record_events(events(1, ("a", 8)))
    delta = watched.since(watched.position)
    assert isinstance(delta, Delta)
    assert delta.changes == ()


def test_a_reader_that_is_too_far_behind_gets_a_snapshot() -> None:
    watched = log(max_changes=2)
    watched.record_events(events(1, ("a", 1)))
    position = watched.position
    watched.record_events(events(2, ("a", 2), ("a", 3)))
    assert isinstance(watched.since(position), Delta)
    watched.record_events(events(4, ("a", 4)))
    assert isinstance(watched.since(position), Snapshot)


def test_positions_of_another_log_or_epoch_or_past_the_end_do_not_match() -> None:
    watched = log()
    watched.record_events(events(1, ("a", 8)))
    position = watched.position
    assert isinstance(watched.since(Position(Generation("sidecar-2", 1), 1)), Snapshot)
    assert isinstance(watched.since(Position(position.generation, 2)), Snapshot)
    watched.record_events(events(2, epoch=2))
    assert isinstance(watched.since(position), Snapshot)
    assert watched.since(None).kept == ()


def test_a_list_is_passed_on_as_a_snapshot() -> None:
    watched = log()
    watched.record_events(events(1, ("a", 8), lost=True))
    position = watched.position
    watched.record_list(ListAnswer(1, 9, (part("b", 9),)))
    assert watched.since(position) == Snapshot(A, watched.position, Cursor(1, 9), False, (part("b", 9),))


def test_the_number_of_parts_in_a_log_is_limited() -> None:
    watched = log(max_parts=2)
    watched.record_events(events(1, ("a", 1), ("b", 2), ("a", 3), ("c", 4)))
    assert watched.since(None).kept == (part("a", 3), part("c", 4))
    watched.record_list(ListAnswer(1, 9, (part("a", 1), part("b", 2), part("c", 3))))
    assert len(watched.since(None).kept) == 2


def test_an_index_follows_a_watcher() -> None:
    watched, index = log(), PrefixIndex(100)
    watched.record_events(events(1, ("a", 8), ("b", 9)))
    assert index.apply_digest(watched.since(index.position(A)), 1)
    assert known(index) == {"a": 8, "b": 9}
    assert index.cursor(A) == Cursor(1, 2)
    watched.record_events(events(3, ("a", 0), ("c", 7)))
    assert index.apply_digest(watched.since(index.position(A)), 2)
    assert known(index) == {"b": 9, "c": 7}


def test_a_delta_out_of_order_is_refused_and_a_snapshot_requested() -> None:
    watched, index = log(), PrefixIndex(100)
    watched.record_events(events(1, ("a", 8)))
    early = watched.position
    index.apply_digest(watched.since(None), 1)
    watched.record_events(events(2, ("b", 9)))
    stale = watched.since(early)
    assert index.apply_digest(stale, 2)
    assert not index.apply_digest(stale, 3)
    assert index.position(A) is None
    assert known(index) == {"a": 8, "b": 9}
    assert not PrefixIndex(100).apply_digest(stale, 3)


def test_an_answer_of_the_holder_itself_invalidates_the_watchers_position() -> None:
    watched, index = log(), PrefixIndex(100)
    watched.record_events(events(1, ("a", 8)))
    for answer in (events(2, ("b", 9)), ListAnswer(1, 9, ())):
        index.apply_digest(watched.since(None), 1)
        assert index.position(A) is not None
        if isinstance(answer, ListAnswer):
            index.apply_list(A, answer, 2)
        else:
            index.apply_events(A, answer, 2)
        assert index.position(A) is None


def test_a_loss_of_events_is_passed_on() -> None:
    watched, index = log(), PrefixIndex(100)
    watched.record_events(events(1, ("a", 8)))
    index.apply_digest(watched.since(None), 1)
    watched.record_events(events(7, ("b", 9), lost=True))
    index.apply_digest(watched.since(index.position(A)), 2)
    assert index.uncertain_since(A) == 2
    assert index.entry(A, SALT, MODEL, "a").uncertain
    assert not index.entry(A, SALT, MODEL, "b").uncertain
    watched.record_list(ListAnswer(1, 9, (part("b", 9),)))
    index.apply_digest(watched.since(index.position(A)), 3)
    assert index.uncertain_since(A) is None
    assert known(index) == {"b": 9}


KEPT = st.tuples(st.sampled_from("abcd"), st.integers(0, 9))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("events"), st.lists(KEPT, max_size=4)),
        st.tuples(st.just("restart"), st.lists(KEPT, max_size=4)),
        st.tuples(st.just("list"), st.lists(KEPT, max_size=4, unique_by=lambda kept: kept[0])),
        st.tuples(st.just("apply digest"), st.just([])),
        st.tuples(st.just("dropped"), st.just([])),
        st.tuples(st.just("new watcher"), st.just([])),
    ),
    max_size=40,
)


@given(STEPS)
def test_an_index_that_applies_digests_knows_what_the_log_keeps(
    steps: list[tuple[str, list[tuple[str, int]]]],
) -> None:
    watched, index = log(), PrefixIndex(100)
    epoch, number = 1, 1
    for now, (step, kept) in enumerate(steps):
        if step == "restart":
            epoch, number = epoch + 1, 1
        if step in ("events", "restart"):
            watched.record_events(events(number, *kept, epoch=epoch))
            number += len(kept)
        elif step == "list":
            watched.record_list(ListAnswer(epoch, number - 1, tuple(part(*one) for one in kept)))
        elif step == "new watcher":
            watched = HolderLog(A, f"sidecar-{now}", 4, 100)
        elif step == "dropped":
            watched.since(index.position(A))
        else:
            assert index.apply_digest(watched.since(index.position(A)), now)
            assert known(index) == {kept.part_id: kept.tokens for kept in watched.since(None).kept}
