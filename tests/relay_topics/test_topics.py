from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.relay.topics import MAX_TOPICS, MEMBER_SET, MEMBERS, REGISTERS, TopicTable, topic_of
from iristrack.wire.messages import Update, Version

UPDATES = st.lists(
    st.builds(Update, st.sampled_from(["a", "b", "c"]), st.integers(0, 9), st.binary(max_size=2)), max_size=30
)


def table_of(updates: list[Update]) -> TopicTable:
    table = TopicTable()
    for update in updates:
        table.learn(update)
    return table


@given(UPDATES)
def test_the_highest_sequence_is_kept_and_of_equal_ones_the_first(updates) -> None:
    table = TopicTable()
    newest: dict[str, Update] = {}
    for update in updates:
        known = newest.get(update.topic)
        newer = known is None or update.sequence > known.sequence
        assert table.learn(update) == newer
        if newer:
            newest[update.topic] = update
        assert table.get(update.topic) == newest[update.topic]
    assert set(table.versions()) == {Version(u.topic, u.sequence) for u in newest.values()}


@given(UPDATES, UPDATES)
def test_missed_updates_are_exactly_those_that_another_table_needs(ours, theirs) -> None:
    table, other = table_of(ours), table_of(theirs)
    missed = table.missed_by(other.versions())
    assert all(other.learn(update) for update in missed)
    assert table.missed_by(other.versions()) == []
    for version in table.versions():
        assert other.get(version.topic).sequence >= version.sequence


def test_missed_updates_of_an_empty_and_of_a_complete_receiver() -> None:
    table = table_of([Update("a", 0, b"x"), Update("b", 7, b"y")])
    assert table.missed_by(()) == [Update("a", 0, b"x"), Update("b", 7, b"y")]
    assert table.missed_by(table.versions()) == []
    assert table.missed_by([Version("a", 0), Version("b", 9), Version("z", 1)]) == []


@given(UPDATES)
def test_the_next_sequence_is_always_newer(updates) -> None:
    table = table_of(updates)
    for topic in ("a", "b", "new"):
        assert table.learn(Update(topic, table.next_sequence(topic), b""))


def test_the_number_of_topics_is_limited_and_known_ones_are_still_updated() -> None:
    table = table_of([Update(f"topic-{number}", 1, b"") for number in range(MAX_TOPICS)])
    assert not table.learn(Update("one more", 1, b""))
    assert table.learn(Update("topic-0", 2, b""))
    assert len(table.versions()) == MAX_TOPICS


def test_later_member_sets_are_distributed_under_the_topic_of_the_first() -> None:
    topics = {register: topic_of(register) for register in REGISTERS}
    assert topics.pop(MEMBER_SET) == MEMBERS
    assert all(register == topic for register, topic in topics.items())
