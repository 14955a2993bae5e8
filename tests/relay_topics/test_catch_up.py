"""When a sidecar asks for updates that its hub did not push, and which member it asks."""

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


def versions(**sequences: int) -> tuple[Version, ...]:
    return tuple(Version(topic, sequence) for topic, sequence in sequences.items())


def test_an_update_that_the_hub_pushes_in_time_is_not_requested() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", versions(a=1), versions(a=2), 0)
    assert catch_up.next_due() == PUSH_WAIT_NS
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS - 1) == set()
    assert catch_up.take_due(versions(a=2), PUSH_WAIT_NS) == set()
    assert catch_up.next_due() is None


def test_a_missing_update_is_requested_from_the_announcing_member_and_later_again() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", versions(a=1), versions(a=2), 0)
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS) == {"x"}
    catch_up.record_versions("x", versions(a=1), versions(a=2), PUSH_WAIT_NS + 1)
    assert catch_up.next_due() == PUSH_WAIT_NS + SAME_SOURCE_NS
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS - 1) == set()
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS) == {"x"}


def test_if_a_member_does_not_answer_the_next_one_is_asked_soon() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", versions(a=1), versions(a=2), 0)
    catch_up.record_versions("y", versions(a=1), versions(a=2), 1)
    first = catch_up.take_due(versions(a=1), PUSH_WAIT_NS)
    assert catch_up.next_due() == PUSH_WAIT_NS + NEXT_SOURCE_NS
    second = catch_up.take_due(versions(a=1), PUSH_WAIT_NS + NEXT_SOURCE_NS)
    assert first | second == {"x", "y"}
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS - 1) == set()
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS + SAME_SOURCE_NS) == first


def test_a_requested_topic_does_not_delay_another() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", versions(a=1, b=1), versions(a=2, b=1), 0)
    assert catch_up.take_due(versions(a=1, b=1), PUSH_WAIT_NS) == {"x"}
    catch_up.record_versions("x", versions(a=1, b=1), versions(b=2), PUSH_WAIT_NS)
    assert catch_up.take_due(versions(a=1, b=1), 2 * PUSH_WAIT_NS) == {"x"}


def test_a_member_whose_connection_ended_is_not_asked_again() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", versions(a=1), versions(a=2), 0)
    catch_up.record_versions("y", versions(a=1), versions(a=2), 0)
    catch_up.source_lost("x")
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS) == {"y"}
    catch_up.source_lost("y")
    assert catch_up.next_due() is None


def test_newer_versions_do_not_postpone_the_request() -> None:
    """If newer versions follow in quick succession, the wait still counts from the first one."""
    catch_up = CatchUp()
    step = PUSH_WAIT_NS // 8
    for number in range(8):
        catch_up.record_versions("x", versions(a=1), versions(a=2 + number), number * step)
    assert catch_up.take_due(versions(a=1), PUSH_WAIT_NS) == {"x"}


def test_the_wait_starts_again_after_an_update_has_arrived() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", versions(a=1), versions(a=2), 0)
    catch_up.record_versions("x", versions(a=2), versions(a=3), PUSH_WAIT_NS)
    assert catch_up.take_due(versions(a=2), 2 * PUSH_WAIT_NS - 1) == set()
    assert catch_up.take_due(versions(a=2), 2 * PUSH_WAIT_NS) == {"x"}


def test_nothing_is_missing_without_newer_versions() -> None:
    catch_up = CatchUp()
    catch_up.record_versions("x", versions(a=2, b=1), versions(a=2, b=0), 0)
    assert catch_up.next_due() is None


def test_the_numbers_of_topics_and_sources_are_limited() -> None:
    catch_up = CatchUp()
    for source in range(MAX_SOURCES + 5):
        announced = tuple(Version(str(n), 1) for n in range(MAX_TOPICS + 5))
        catch_up.record_versions(source, (), announced, 0)
    asked = set()
    for round_number in range(MAX_SOURCES + 5):
        asked |= catch_up.take_due((), PUSH_WAIT_NS + round_number * SAME_SOURCE_NS)
    assert len(asked) == MAX_SOURCES
    here = tuple(Version(str(n), 1) for n in range(MAX_TOPICS))
    catch_up.record_versions("x", here, (), 1)
    assert catch_up.next_due() is None
