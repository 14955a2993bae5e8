from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.prefix_index.catalog import (
    KeptCatalog,
    changes_of_events,
    changes_of_list,
    coalesce_changes,
)
from iristrack.prefix_index.index import PrefixIndex
from iristrack.prefix_index.kv_events import KeptEvent, KeptPart
from iristrack.prefix_index.parts import Part
from iristrack.wire.messages import KeptParts, PartTokens

HOLDERS = ("10.0.0.1:80", "10.0.0.2:80")
CHANGES = st.lists(
    st.builds(
        lambda holder, reset, salt, parts: KeptParts(holder, reset, "" if reset else salt, "m", parts),
        st.sampled_from(HOLDERS),
        st.sampled_from([False, False, False, True]),
        st.sampled_from(["s1", "s2"]),
        st.lists(st.builds(PartTokens, st.sampled_from("abc"), st.sampled_from([0, 7, 9])), max_size=3).map(
            tuple
        ),
    ),
    max_size=30,
)


def kept(changes) -> dict:
    """Return what a receiver knows that applies each change in order."""
    known: dict = {}
    for change in changes:
        if change.reset:
            known = {key: tokens for key, tokens in known.items() if key[0] != change.holder}
        for part in change.parts:
            key = (change.holder, change.salt, change.model, part.part)
            known[key] = part.tokens
            if not part.tokens:
                del known[key]
    return known


@given(CHANGES)
def test_a_snapshot_equals_all_changes_from_the_start(changes) -> None:
    catalog = KeptCatalog()
    for change in changes:
        catalog.apply(change)
    assert kept(catalog.snapshot(catalog.holders())) == kept(changes)
    assert catalog.entries == len(kept(changes))


@given(CHANGES)
def test_an_index_that_applies_the_changes_knows_exactly_these_parts(changes) -> None:
    index = PrefixIndex(1000)
    for change in changes:
        index.apply_change(change, 0)
    known = kept(changes)
    assert index.entries == len(known)
    for holder in HOLDERS:
        for salt in ("s1", "s2"):
            for part in "abc":
                tokens = known.get((holder, salt, "m", part), 0)
                assert index.kept_tokens(holder, salt, "m", (Part(part, 9),)) == tokens


def test_a_full_catalog_refuses_and_counts_further_parts() -> None:
    catalog = KeptCatalog(max_entries=1)
    catalog.apply(KeptParts("h", False, "s", "m", (PartTokens("a", 1), PartTokens("b", 1))))
    assert (catalog.entries, catalog.refused) == (1, 1)
    catalog.forget("h")
    catalog.apply(KeptParts("h", False, "s", "m", (PartTokens("b", 1),)))
    assert (catalog.entries, catalog.refused) == (1, 1)


def test_events_keep_their_order_and_a_list_resets_the_holder() -> None:
    events = [
        KeptEvent(1, True, "s1", "a", 5, "m"),
        KeptEvent(2, False, "s1", "a", 0, "m"),
        KeptEvent(3, True, "s2", "a", 5, "m"),
        KeptEvent(4, True, "s1", "a", 3, "m"),
    ]
    assert kept(changes_of_events("h", events)) == {("h", "s2", "m", "a"): 5, ("h", "s1", "m", "a"): 3}
    changes = [*changes_of_events("h", events), *changes_of_list("h", [KeptPart("s3", "c", 2, "m")])]
    assert kept(changes) == {("h", "s3", "m", "c"): 2}


@given(CHANGES, CHANGES)
def test_coalesced_changes_have_the_same_effect(before, changes) -> None:
    rows = coalesce_changes(changes)
    assert kept([*before, *rows]) == kept([*before, *changes])
    assert len(rows) <= len(changes) + sum(row.reset for row in rows)
    assert len({(row.holder, row.reset, row.salt, row.model) for row in rows}) == len(rows)
