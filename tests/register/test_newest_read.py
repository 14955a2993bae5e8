"""Reading the newest sequence from a majority: which answers count, and that no acknowledged sequence is missed."""

from __future__ import annotations

import itertools

import pytest

from iristrack.register.newest_read import NewestSequenceRead
from iristrack.wire.messages import MembersValue, NewestAnswer

MEMBERS = MembersValue(4, ("a:1", "b:1", "c:1", "d:1", "e:1"))


def answer(acceptor: str, sequence: int, call: int = 7, members: int = 4) -> NewestAnswer:
    return NewestAnswer(call, acceptor, members, sequence)


def test_the_highest_answer_of_a_majority_counts() -> None:
    read = NewestSequenceRead(7, MEMBERS)
    assert read.handle_answer(answer("a:1", 3)) is None
    assert read.handle_answer(answer("b:1", 5)) is None
    assert read.handle_answer(answer("c:1", 3)) == 5


@pytest.mark.parametrize(
    "ignored",
    [answer("z:1", 9), answer("b:1", 9, call=6), answer("b:1", 9, members=3), answer("a:1", 3)],
    ids=["not a member", "another query", "another member set", "a repeated answer"],
)
def test_other_answers_do_not_count(ignored: NewestAnswer) -> None:
    read = NewestSequenceRead(7, MEMBERS)
    read.handle_answer(answer("a:1", 3))
    assert read.handle_answer(ignored) is None
    assert read.handle_answer(answer("d:1", 3)) is None
    assert read.handle_answer(answer("e:1", 4)) == 4


def test_no_majority_misses_what_another_majority_has_accepted() -> None:
    for accepting in itertools.combinations(MEMBERS.members, 3):
        for answering in itertools.permutations(MEMBERS.members, 3):
            read = NewestSequenceRead(7, MEMBERS)
            results = [read.handle_answer(answer(name, 8 if name in accepting else 2)) for name in answering]
            assert results[-1] == 8
