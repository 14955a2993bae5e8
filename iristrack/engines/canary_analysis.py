"""Canary analysis: a sequential test of whether a new version is worse than the old one, on counts of answers. No I/O.

Two kinds of bad answer are tested apart, failed and slow ones, on each route and on all together: a version may be bad
on one route only. Each test is a CUSUM of the log-likelihood ratio between "as often as with the old version" and
"more often by at least `Kind.increase`". It may be evaluated at any time. Its sum never falls below zero, so a
version that turns bad late is found as soon as one that is bad from the beginning. What the old version's
answers show at the same time is the control: a fault that hits both versions says nothing about the new one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

THRESHOLD = 6.0  # of a test's sum; a good version is found bad about once in e^6 answers
MIN_EXONERATING_COUNT = (
    8  # answers of other servers, none bad, after which bad answers are attributed to a single server alone
)
MAX_BAD_SHARE = 0.99  # highest share of bad answers that a test assumes
ALL_ROUTES = ""


@dataclass(frozen=True, slots=True)
class Answers:
    """How requests ended at servers of one version."""

    good: int = 0
    failed: int = 0  # error or incomplete answer
    slow: int = 0  # complete, but several times slower than usual on its route

    @property
    def total(self) -> int:
        """Return the number of all answers."""
        return self.good + self.failed + self.slow

    def plus(self, other: Answers) -> Answers:
        """The sum of both."""
        return Answers(self.good + other.good, self.failed + other.failed, self.slow + other.slow)

    def minus(self, other: Answers) -> Answers:
        """Return the increase since `other`; no count goes below zero."""
        return Answers(
            max(0, self.good - other.good),
            max(0, self.failed - other.failed),
            max(0, self.slow - other.slow),
        )


NO_ANSWERS = Answers()


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of bad answer, with the share that counts as normal and the increase that counts as worse."""

    name: str
    min_usual_share: float  # lower bound of the normal share, since few answers cannot prove a smaller one
    increase: float  # of the share above normal, from which a version is worse


FAILED = Kind("failed", 0.01, 0.15)
SLOW = Kind("slow", 0.10, 0.25)  # higher, as new servers keep no prompts yet and are slow more often
KINDS = (FAILED, SLOW)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The kind of bad answer and the route by which a version was found bad."""

    kind: str
    route: str  # `ALL_ROUTES`: all routes together


class Cusum:
    """The test of one kind of bad answer on one route."""

    def __init__(self, kind: Kind) -> None:
        """Start without answers."""
        self.kind = kind
        self.sum = 0.0

    def add(self, new: Answers, old: Answers) -> bool:
        """Add new answers of the new version, given all of the old one; return whether the version is found bad."""
        bad_count = _count_bad(new, self.kind)
        usual = max(self.kind.min_usual_share, _count_bad(old, self.kind) / max(1, old.total))
        usual = min(usual, MAX_BAD_SHARE - self.kind.increase)
        worse = usual + self.kind.increase
        bad_weight = math.log(worse / usual)
        good_weight = math.log((1.0 - worse) / (1.0 - usual))
        self.sum = max(0.0, self.sum + bad_count * bad_weight + (new.total - bad_count) * good_weight)
        return self.sum >= THRESHOLD


def _count_bad(answers: Answers, kind: Kind) -> int:
    return answers.failed if kind is FAILED else answers.slow


RouteServer = tuple[str, str]  # route and server


class CanaryAnalysis:
    """All tests of one version under roll-out."""

    def __init__(self) -> None:
        """Start without answers."""
        self._seen: dict[RouteServer, Answers] = {}
        self._tests: dict[tuple[str, str], Cusum] = {}

    @property
    def answers(self) -> Answers:
        """All answers of the new version so far."""
        return _sum(self._seen.values())

    def update(self, new: Mapping[RouteServer, Answers], old: Mapping[str, Answers]) -> Verdict | None:
        """Evaluate all answers so far, of the new version by route and server, of the old one by route.

        Counts only increase. Returns why the version is bad, or None if that is not shown.
        """
        added: dict[str, Answers] = {}
        for row, answers in new.items():
            increase = answers.minus(self._seen.get(row, NO_ANSWERS))
            self._seen[row] = _maximum(answers, self._seen.get(row, NO_ANSWERS))
            added[row[0]] = added.get(row[0], NO_ANSWERS).plus(increase)
        added[ALL_ROUTES] = _sum(added.values())
        found = None
        for route, answers in added.items():
            control = _sum(old.values()) if route == ALL_ROUTES else old.get(route, NO_ANSWERS)
            for kind in KINDS:
                test = self._tests.setdefault((route, kind.name), Cusum(kind))
                if test.add(answers, control) and not self._is_one_server(route, kind):
                    found = found or Verdict(kind.name, route)
        return found

    def _is_one_server(self, route: str, kind: Kind) -> bool:
        """Return whether only one server, probably faulty itself, gives bad answers, and others enough good ones."""
        rows = [(row, a) for row, a in self._seen.items() if route in (ALL_ROUTES, row[0])]
        bad_servers = {server for (_, server), answers in rows if _count_bad(answers, kind)}
        others = _sum(answers for (_, server), answers in rows if server not in bad_servers)
        return len(bad_servers) == 1 and others.total >= MIN_EXONERATING_COUNT


def _sum(answers: Iterable[Answers]) -> Answers:
    total = NO_ANSWERS
    for one in answers:
        total = total.plus(one)
    return total


def _maximum(first: Answers, second: Answers) -> Answers:
    return Answers(
        max(first.good, second.good), max(first.failed, second.failed), max(first.slow, second.slow)
    )
