"""When a sidecar asks for what its hub did not push."""

from __future__ import annotations

from iristrack.relay.catch_up import AGAIN_NS, MOST_TOPICS, WAIT_NS, CatchUp
from iristrack.wire.messages import Version


def known(**sequences: int) -> tuple[Version, ...]:
    return tuple(Version(topic, sequence) for topic, sequence in sequences.items())


def test_what_the_hub_pushes_in_time_is_not_asked_for() -> None:
    catch_up = CatchUp()
    assert catch_up.heard(known(a=1), known(a=2), 0)
    assert not catch_up.is_due(known(a=1), WAIT_NS - 1)
    assert not catch_up.is_due(known(a=2), WAIT_NS)


def test_what_it_does_not_push_is_asked_for_once_and_after_a_while_again() -> None:
    catch_up = CatchUp()
    catch_up.heard(known(a=1), known(a=2), 0)
    assert catch_up.is_due(known(a=1), WAIT_NS)
    catch_up.heard(known(a=1), known(a=2), WAIT_NS + 1)
    assert not catch_up.is_due(known(a=1), WAIT_NS + AGAIN_NS - 1)
    assert catch_up.is_due(known(a=1), WAIT_NS + AGAIN_NS)


def test_values_that_come_one_after_the_other_put_nothing_off() -> None:
    """Each of a quick succession is newer than the one awaited; the wait counts from the first."""
    catch_up = CatchUp()
    step = WAIT_NS // 8
    for number in range(8):
        catch_up.heard(known(a=1), known(a=2 + number), number * step)
    assert catch_up.is_due(known(a=1), WAIT_NS)


def test_a_value_that_has_come_begins_the_wait_anew_for_the_next() -> None:
    catch_up = CatchUp()
    catch_up.heard(known(a=1), known(a=2), 0)
    catch_up.heard(known(a=2), known(a=3), WAIT_NS)
    assert not catch_up.is_due(known(a=2), 2 * WAIT_NS - 1)
    assert catch_up.is_due(known(a=2), 2 * WAIT_NS)


def test_nothing_newer_is_nothing_missing() -> None:
    assert not CatchUp().heard(known(a=2, b=1), known(a=2, b=0), 0)


def test_topics_are_bounded() -> None:
    catch_up = CatchUp()
    catch_up.heard((), tuple(Version(str(n), 1) for n in range(MOST_TOPICS + 5)), 0)
    assert catch_up.heard(tuple(Version(str(n), 1) for n in range(MOST_TOPICS)), (), 1) is False
