"""When a sidecar asks for what its hub did not push, and whom."""

from __future__ import annotations

from iristrack.relay.catch_up import (
    MAX_SOURCES,
    MAX_TOPICS,
    NEXT_SOURCE_NS,
    PUSH_WAIT_NS,
    SAME_SOURCE_NS,
    CatchUp,
)
from iristrack.wire.messages import Version


def known(**sequences: int) -> tuple[Version, ...]:
    return tuple(Version(topic, sequence) for topic, sequence in sequences.items())


def test_what_the_hub_pushes_in_time_is_not_asked_for() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", known(a=1), known(a=2), 0)
    assert catch_up.next_due() == PUSH_WAIT_NS
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS - 1) == set()
    assert catch_up.take_due(known(a=2), PUSH_WAIT_NS) == set()
    assert catch_up.next_due() is None


def test_what_it_does_not_push_is_asked_for_where_it_was_heard_of_and_after_a_while_again() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", known(a=1), known(a=2), 0)
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS) == {"x"}
    catch_up.record_versions("x", known(a=1), known(a=2), PUSH_WAIT_NS + 1)
    assert catch_up.next_due() == PUSH_WAIT_NS + SAME_SOURCE_NS
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS - 1) == set()
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS) == {"x"}


def test_a_member_that_does_not_send_it_is_followed_by_the_next_soon() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", known(a=1), known(a=2), 0)
    catch_up.record_versions("y", known(a=1), known(a=2), 1)
    first = catch_up.take_due(known(a=1), PUSH_WAIT_NS)
    assert catch_up.next_due() == PUSH_WAIT_NS + NEXT_SOURCE_NS
    second = catch_up.take_due(known(a=1), PUSH_WAIT_NS + NEXT_SOURCE_NS)
    assert first | second == {"x", "y"}
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS - 1) == set()
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS) == first


def test_a_topic_that_was_asked_for_does_not_hold_up_another() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", known(a=1, b=1), known(a=2, b=1), 0)
    assert catch_up.take_due(known(a=1, b=1), PUSH_WAIT_NS) == {"x"}
    catch_up.record_versions("x", known(a=1, b=1), known(b=2), PUSH_WAIT_NS)
    assert catch_up.take_due(known(a=1, b=1), 2 * PUSH_WAIT_NS) == {"x"}


def test_a_member_whose_connection_ended_is_asked_no_more() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", known(a=1), known(a=2), 0)
    catch_up.record_versions("y", known(a=1), known(a=2), 0)
    catch_up.source_lost("x")
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS) == {"y"}
    catch_up.source_lost("y")
    assert catch_up.next_due() is None


def test_values_that_come_one_after_the_other_put_nothing_off() -> None:
    """Each of a quick succession is newer than the one awaited; the wait counts from the first."""
    catch_up = CatchUp()
    step = PUSH_WAIT_NS // 8
    for number in range(8):
        catch_up.record_versions("x", known(a=1), known(a=2 + number), number * step)
    assert catch_up.take_due(known(a=1), PUSH_WAIT_NS) == {"x"}


def test_a_value_that_has_come_begins_the_wait_anew_for_the_next() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", known(a=1), known(a=2), 0)
    catch_up.record_versions("x", known(a=2), known(a=3), PUSH_WAIT_NS)
    assert catch_up.take_due(known(a=2), 2 * PUSH_WAIT_NS - 1) == set()
    assert catch_up.take_due(known(a=2), 2 * PUSH_WAIT_NS) == {"x"}


def test_nothing_newer_is_nothing_missing() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", known(a=2, b=1), known(a=2, b=0), 0)
    assert catch_up.next_due() is None


def test_topics_and_sources_are_bounded() -> None:
    catch_up = CatchUp()
    for source in range(MAX_SOURCES + 5):
        told = tuple(Version(str(n), 1) for n in range(MAX_TOPICS + 5))
        catch_up.record_versions(source, (), told, 0)
    asked = set()
    for round_number in range(MAX_SOURCES + 5):
        asked |= catch_up.take_due((), PUSH_WAIT_NS + round_number * SAME_SOURCE_NS)
    assert len(asked) == MAX_SOURCES
    here = tuple(Version(str(n), 1) for n in range(MAX_TOPICS))
    catch_up.record_versions("x", here, (), 1)
    assert catch_up.next_due() is None
