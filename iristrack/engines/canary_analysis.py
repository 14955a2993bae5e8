"""Is a new version of a service worse than the old one? A sequential test on counts of answers. No I/O.

Two kinds of bad answer are tested apart, failed and slow ones, on each route and on all together: a version may be bad
on one route only. Each test is a CUSUM of the log-likelihood ratio between "as often as with the old version" and
"worse by at least so much" (`Kind.worse`). It may be looked at as often as one likes, and it forgets good times, so
that a version that turns bad late is found as soon as one that is bad from the beginning. What the old version's
answers show at the same time is the control: a fault that hits both versions says nothing about the new one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

THRESHOLD = 6.0  # of a test's sum: a good version is taken for a bad one once in some e^6 answers
FEWEST_EXONERATING = (
    8  # answers of the other servers, none bad, that lay bad ones of a single server on that alone
)
MOST_WORSE = 0.99  # share of bad answers that is expected of any version
ALL_ROUTES = ""


@dataclass(frozen=True, slots=True)
class Answers:
    """How requests ended at servers of one version."""

    good: int = 0
    failed: int = 0  # an error, or no whole answer
    slow: int = 0  # whole, and several times slower than usual on its route

    @property
    def total(self) -> int:
        """All of them."""
        return self.good + self.failed + self.slow

    def plus(self, other: Answers) -> Answers:
        """The sum of both."""
        return Answers(self.good + other.good, self.failed + other.failed, self.slow + other.slow)

    def minus(self, other: Answers) -> Answers:
        """What has come since `other`; nothing falls below zero."""
        return Answers(
            max(0, self.good - other.good),
            max(0, self.failed - other.failed),
            max(0, self.slow - other.slow),
        )


NO_ANSWERS = Answers()


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of bad answer: how often it is expected at least, and by how much more is worse."""

    name: str
    least_usual: float  # share, where the old version has less: few answers make no small share certain
    worse: float  # added to the usual share


FAILED = Kind("failed", 0.01, 0.15)
SLOW = Kind("slow", 0.10, 0.25)  # new servers hold no prompts yet, and are slow somewhat more often
KINDS = (FAILED, SLOW)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Why a version is bad."""

    kind: str
    route: str  # `ALL_ROUTES`: on all together


class Cusum:
    """One test of one kind of bad answer on one route."""

    def __init__(self, kind: Kind) -> None:
        """No answer was seen."""
        self.kind = kind
        self.sum = 0.0

    def add(self, new: Answers, old: Answers) -> bool:
        """Take further answers of the new version, and all of the old one; whether the version is found bad."""
        bad = _bad(new, self.kind)
        usual = max(self.kind.least_usual, _bad(old, self.kind) / max(1, old.total))
        usual = min(usual, MOST_WORSE - self.kind.worse)
        worse = usual + self.kind.worse
        for_bad = math.log(worse / usual)
        for_good = math.log((1.0 - worse) / (1.0 - usual))
        self.sum = max(0.0, self.sum + bad * for_bad + (new.total - bad) * for_good)
        return self.sum >= THRESHOLD


def _bad(answers: Answers, kind: Kind) -> int:
    return answers.failed if kind is FAILED else answers.slow


RouteServer = tuple[str, str]  # route and server


class CanaryAnalysis:
    """All tests of one version under roll-out."""

    def __init__(self) -> None:
        """No answer was seen."""
        self._seen: dict[RouteServer, Answers] = {}
        self._tests: dict[tuple[str, str], Cusum] = {}

    @property
    def answers(self) -> Answers:
        """All answers of the new version so far."""
        return _sum(self._seen.values())

    def update(self, new: Mapping[RouteServer, Answers], old: Mapping[str, Answers]) -> Verdict | None:
        """Take all answers so far, of the new version by route and server, of the old one by route.

        Counts only rise. Returns why the version is bad, None while that is not shown.
        """
        came: dict[str, Answers] = {}
        for row, answers in new.items():
            fresh = answers.minus(self._seen.get(row, NO_ANSWERS))
            self._seen[row] = _most(answers, self._seen.get(row, NO_ANSWERS))
            came[row[0]] = came.get(row[0], NO_ANSWERS).plus(fresh)
        came[ALL_ROUTES] = _sum(came.values())
        found = None
        for route, answers in came.items():
            control = _sum(old.values()) if route == ALL_ROUTES else old.get(route, NO_ANSWERS)
            for kind in KINDS:
                test = self._tests.setdefault((route, kind.name), Cusum(kind))
                if test.add(answers, control) and not self._is_one_server(route, kind):
                    found = found or Verdict(kind.name, route)
        return found

    def _is_one_server(self, route: str, kind: Kind) -> bool:
        """Do all bad answers come from one server, and enough good ones from others? One may be ill by itself."""
        rows = [(row, a) for row, a in self._seen.items() if route in (ALL_ROUTES, row[0])]
        bad = {server for (_, server), answers in rows if _bad(answers, kind)}
        others = _sum(answers for (_, server), answers in rows if server not in bad)
        return len(bad) == 1 and others.total >= FEWEST_EXONERATING


def _sum(answers: Iterable[Answers]) -> Answers:
    total = NO_ANSWERS
    for one in answers:
        total = total.plus(one)
    return total


def _most(first: Answers, second: Answers) -> Answers:
    return Answers(
        max(first.good, second.good), max(first.failed, second.failed), max(first.slow, second.slow)
    )
