"""Roll-outs in one sidecar: which version's servers a request may go to, and how its requests ended there.

The permission to send to the new version is a lease, which holds for `LEASE_NS` by this sidecar's clock after the last
contact with the core in a quorum. Without the lease all requests go to the old version. No I/O; times are in ns.
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
MAX_ROW_COUNT = 512  # counters by route and server
SAMPLE_COUNT = 32  # kept response times of the old version on a route
MIN_SAMPLE_COUNT = 3
SLOW_FIRST_FACTOR = 4.0  # of the usual time to the first part; high, as a new server keeps no prompts yet
SLOW_FIRST_MARGIN_NS = 60 * NS_PER_MS
SLOW_PAUSE_FACTOR = 2.5  # of the usual pause between parts, which does not depend on kept prompts
SLOW_PAUSE_MARGIN_NS = 8 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Times of a complete answer."""

    first_ns: int  # from sending the request to the first part of the answer
    pause_ns: int = 0  # between two parts, on average


class UsualTimes:
    """Recent times of one route's answers from the old version."""

    def __init__(self) -> None:
        """Start without samples."""
        self._first: deque[int] = deque(maxlen=SAMPLE_COUNT)
        self._pause: deque[int] = deque(maxlen=SAMPLE_COUNT)

    def add(self, times: AnswerTimes) -> None:
        """Add the times of an answer."""
        self._first.append(times.first_ns)
        self._pause.append(times.pause_ns)

    def is_slow(self, times: AnswerTimes) -> bool:
        """Return whether an answer took several times as long as usual; False while there are too few samples."""
        if len(self._first) < MIN_SAMPLE_COUNT:
            return False
        max_first_ns = SLOW_FIRST_FACTOR * median(self._first) + SLOW_FIRST_MARGIN_NS
        max_pause_ns = SLOW_PAUSE_FACTOR * median(self._pause) + SLOW_PAUSE_MARGIN_NS
        return times.first_ns > max_first_ns or times.pause_ns > max_pause_ns


class Rollouts:
    """Roll-outs of all services, and the answer counts of this process."""

    def __init__(self) -> None:
        """Start without any roll-out."""
        self._states: dict[str, RolloutState] = {}  # by service
        self._confirmed_at: int | None = None  # last contact with the core in a quorum
        self._counts: dict[tuple[str, int, bool, str, str], Answers] = {}
        self._usual: dict[str, UsualTimes] = {}  # by route
        self.counted = 0  # answers counted since the start

    def apply_states(self, states: Iterable[RolloutState]) -> None:
        """Replace the states by the newest ones, and drop the counts of roll-outs that have ended."""
        self._states = {state.service: state for state in states}
        running = {state.number for state in self._states.values() if state.phase == RUNNING}
        self._counts = {row: answers for row, answers in self._counts.items() if row[1] in running}
        if not running:
            self._usual.clear()

    def renew_lease(self, now: int) -> None:
        """Renew the lease: the core, in a quorum, has confirmed that the states are current."""
        self._confirmed_at = now

    @property
    def running(self) -> bool:
        """Return whether any roll-out is running."""
        return any(state.phase == RUNNING for state in self._states.values())

    # ---- selection of servers

    def allowed_servers(
        self, service: str, servers: Sequence[Server], is_retry: bool, now: int, rng: random.Random
    ) -> Sequence[Server]:
        """Choose a version for the request and return its servers; `is_retry`: it was sent to a server before."""
        state = self._states.get(service)
        if state is None:
            return servers
        new = [server for server in servers if server.listed.software == state.version]
        old = [server for server in servers if server.listed.software != state.version]
        if state.phase == FINISHED:
            return new or old
        if state.phase == REVERTED or not new:
            return old
        if not self._goes_to_new(state, is_retry, now, rng):
            return old or (new if state.share >= FULL_SHARE else old)
        if state.share >= FULL_SHARE:
            return new
        turn_seed = hash64(str(canary_turn(state)))
        ranked = sorted(new, key=lambda server: mix64(server.hash ^ turn_seed))
        return ranked[: busy_servers(len(new), state)]

    def is_canary_loaded(self, service: str) -> bool:
        """Return whether the service's canary is kept busier than usual now, so that its times prove nothing."""
        state = self._states.get(service)
        return state is not None and is_loaded(state)

    def _goes_to_new(self, state: RolloutState, is_retry: bool, now: int, rng: random.Random) -> bool:
        if self._confirmed_at is None or now - self._confirmed_at > LEASE_NS:
            return False
        if state.share >= FULL_SHARE:
            return True
        return not is_retry and rng.random() * FULL_SHARE < state.share

    # ---- outcomes of requests

    def answered(self, server: Server, route: str, times: AnswerTimes, was_loaded: bool = False) -> None:
        """Count a complete answer; those of the new version are skipped if `is_canary_loaded` when they were sent."""
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
        """Count a request that failed, was cut off or timed out."""
        state = self._states.get(server.listed.service)
        if state is not None and state.phase == RUNNING:
            self._count(state, server, route, Answers(failed=1))

    def _count(self, state: RolloutState, server: Server, route: str, answer: Answers) -> None:
        is_new = server.listed.software == state.version
        row = (state.service, state.number, is_new, route, server.instance_id if is_new else "")
        if row not in self._counts and len(self._counts) >= MAX_ROW_COUNT:
            return
        self._counts[row] = self._counts.get(row, NO_ANSWERS).plus(answer)
        self.counted += 1

    def counts(self) -> tuple[AnswerCounts, ...]:
        """Return the counts of all running roll-outs."""
        return tuple(
            AnswerCounts(service, number, is_new, route, instance, a.good, a.failed, a.slow)
            for (service, number, is_new, route, instance), a in self._counts.items()
        )
