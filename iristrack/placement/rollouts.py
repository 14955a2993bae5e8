"""Roll-outs as one sidecar sees them: which version's servers a request may go to, and how its requests ended there.

What the new version may get is a lease: it holds for `LEASE_NS` after the core has last been heard of in a quorum, by
this sidecar's clock. Without it everything goes to the version that is there. No I/O; times are ns.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

from iristrack.engines.canary_analysis import NO_ANSWERS, Answers
from iristrack.engines.rollouts import (
    FINISHED,
    FULL_SHARE,
    REVERTED,
    RUNNING,
    busy_servers,
    canary_turn,
    is_loaded,
)
from iristrack.placement.ranking import hash64, mix64
from iristrack.placement.servers import Server
from iristrack.wire.messages import AnswerCounts, RolloutState

NS_PER_MS = 1_000_000
LEASE_NS = 1600 * NS_PER_MS
MOST_ROWS = 512  # of counts, by route and server
SAMPLES = 32  # of the old version's times on a route
FEWEST_SAMPLES = 3
SLOW_FIRST_FACTOR = (
    4.0  # times the usual time until the first part is slow: a new server holds no prompts yet,
)
SLOW_FIRST_MARGIN_NS = 60 * NS_PER_MS
SLOW_PAUSE_FACTOR = 2.5  # and so many times the usual pause, which does not depend on what is held
SLOW_PAUSE_MARGIN_NS = 8 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """How long a whole answer took."""

    first_ns: int  # from its sending to its first part
    pause_ns: int = 0  # between two parts, on average


class UsualTimes:
    """The times of one route's answers from the version that is there."""

    def __init__(self) -> None:
        """None was seen."""
        self._first: deque[int] = deque(maxlen=SAMPLES)
        self._pause: deque[int] = deque(maxlen=SAMPLES)

    def add(self, times: AnswerTimes) -> None:
        """An answer came."""
        self._first.append(times.first_ns)
        self._pause.append(times.pause_ns)

    def is_slow(self, times: AnswerTimes) -> bool:
        """Did an answer take several times as long as usual? Unknown, and so false, while few were seen."""
        if len(self._first) < FEWEST_SAMPLES:
            return False
        most_first = SLOW_FIRST_FACTOR * median(self._first) + SLOW_FIRST_MARGIN_NS
        most_pause = SLOW_PAUSE_FACTOR * median(self._pause) + SLOW_PAUSE_MARGIN_NS
        return times.first_ns > most_first or times.pause_ns > most_pause


class Rollouts:
    """The roll-outs of all services, and the counts of this process."""

    def __init__(self) -> None:
        """Nothing is rolled out."""
        self._states: dict[str, RolloutState] = {}  # by service
        self._confirmed_at: int | None = None  # when the core was last heard of in a quorum
        self._counts: dict[tuple[str, int, bool, str, str], Answers] = {}
        self._usual: dict[str, UsualTimes] = {}  # by route
        self.counted = 0  # answers, ever

    def apply_states(self, states: Iterable[RolloutState]) -> None:
        """Go by the newest states; counts of roll-outs that are over are dropped."""
        self._states = {state.service: state for state in states}
        running = {state.number for state in self._states.values() if state.phase == RUNNING}
        self._counts = {row: answers for row, answers in self._counts.items() if row[1] in running}
        if not running:
            self._usual.clear()

    def renew_lease(self, now: int) -> None:
        """The core, in a quorum, has told how new its states are."""
        self._confirmed_at = now

    @property
    def running(self) -> bool:
        """Is any version brought in just now?"""
        return any(state.phase == RUNNING for state in self._states.values())

    # ---- which servers

    def allowed_servers(
        self, service: str, servers: Sequence[Server], again: bool, now: int, rng: random.Random
    ) -> Sequence[Server]:
        """The servers of the version that this request goes to; `again`: it was sent to another server before."""
        state = self._states.get(service)
        if state is None:
            return servers
        new = [server for server in servers if server.listed.software == state.version]
        old = [server for server in servers if server.listed.software != state.version]
        if state.phase == FINISHED:
            return new or old
        if state.phase == REVERTED or not new:
            return old
        if not self._goes_to_new(state, again, now, rng):
            return old or (new if state.share >= FULL_SHARE else old)
        if state.share >= FULL_SHARE:
            return new
        turn = hash64(str(canary_turn(state)))
        ranked = sorted(new, key=lambda server: mix64(server.hash ^ turn))
        return ranked[: busy_servers(len(new), state)]

    def is_canary_loaded(self, service: str) -> bool:
        """Is a request of this service that is sent now no measure of how slow the new version is?"""
        state = self._states.get(service)
        return state is not None and is_loaded(state)

    def _goes_to_new(self, state: RolloutState, again: bool, now: int, rng: random.Random) -> bool:
        if self._confirmed_at is None or now - self._confirmed_at > LEASE_NS:
            return False
        if state.share >= FULL_SHARE:
            return True
        return not again and rng.random() * FULL_SHARE < state.share

    # ---- how requests ended

    def answered(self, server: Server, route: str, times: AnswerTimes, was_loaded: bool = False) -> None:
        """A whole answer came; `was_loaded`: it was sent while `is_canary_loaded`, so that its times say nothing."""
        state = self._states.get(server.listed.service)
        if state is None or state.phase != RUNNING:
            return
        is_new = server.listed.software == state.version
        if is_new and was_loaded:
            return
        usual = self._usual.setdefault(route, UsualTimes())
        is_slow = usual.is_slow(times)
        if not is_new:
            usual.add(times)
        self._count(state, server, route, Answers(slow=1) if is_slow else Answers(good=1))

    def failed(self, server: Server, route: str) -> None:
        """It failed, broke off or fell silent."""
        state = self._states.get(server.listed.service)
        if state is not None and state.phase == RUNNING:
            self._count(state, server, route, Answers(failed=1))

    def _count(self, state: RolloutState, server: Server, route: str, answer: Answers) -> None:
        is_new = server.listed.software == state.version
        row = (state.service, state.number, is_new, route, server.instance_id if is_new else "")
        if row not in self._counts and len(self._counts) >= MOST_ROWS:
            return
        self._counts[row] = self._counts.get(row, NO_ANSWERS).plus(answer)
        self.counted += 1

    def counts(self) -> tuple[AnswerCounts, ...]:
        """All that was counted of the roll-outs that run."""
        return tuple(
            AnswerCounts(service, number, is_new, route, instance, a.good, a.failed, a.slow)
            for (service, number, is_new, route, instance), a in self._counts.items()
        )
