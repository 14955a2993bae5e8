"""The duty of roll-outs: held by one core member at a time, fenced; it moves each running roll-out on.

`engines/rollouts.py` says what comes next, `engines/canary_analysis.py` whether the new version is bad; this file
brings the evidence of all sidecars together, keeps the time since the orders, and writes each step to the register.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from iristrack.controlplane import changes
from iristrack.controlplane.duty_holder import DutyHolder
from iristrack.controlplane.register_host import RegisterHost
from iristrack.duties.lease import Lease
from iristrack.engines.canary_analysis import NO_ANSWERS, Answers, CanaryAnalysis, RouteServer, Verdict
from iristrack.engines.rollouts import FULL_SHARE, RUNNING, RolloutObservation, next_state
from iristrack.placement.servers import ListedServer
from iristrack.platform_api.server_list import from_message
from iristrack.register import Committed, Overtaken, Rejected
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler
from iristrack.settings import Settings
from iristrack.wire.messages import (
    AnswerCounts,
    RolloutEvidence,
    RolloutState,
    RolloutsValue,
    ServerLoad,
    ServersValue,
    Update,
)
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
TICK_NS = 100 * NS_PER_MS
WRITE_NS = 800 * NS_PER_MS  # a step that takes longer to write is judged anew
NOTE_MS = 1000  # the time since the order is written so often: whoever takes over goes on from there
MOST_PROCESSES = 2048  # whose evidence is kept


@dataclass(slots=True)
class Watched:
    """What this process keeps of one running roll-out beside the register's state."""

    number: int
    elapsed_ms: int  # since the order, as the newest state told,
    heard_at: int  # and when that was heard of here (ns)
    whole_at: int = 0  # ns; when this process first knew that the new version gets everything, 0: not yet
    test: CanaryAnalysis = field(default_factory=CanaryAnalysis)
    verdict: Verdict | None = None

    def elapsed_ns(self, now: int) -> int:
        """Nanoseconds since the order, at least."""
        return self.elapsed_ms * NS_PER_MS + now - self.heard_at


@dataclass(slots=True)
class _Told:
    count: int
    heard_at: int  # ns
    answers: tuple[AnswerCounts, ...]


class EvidenceBoard:
    """The newest counts of each process; those of processes that have ended still count."""

    def __init__(self) -> None:
        """Nobody has told anything."""
        self._told: dict[str, _Told] = {}

    def take(self, evidence: RolloutEvidence, now: int) -> None:
        """A process told all that it has counted."""
        known = self._told.get(evidence.process)
        if known is not None and known.count >= evidence.count:
            return
        if known is None and len(self._told) >= MOST_PROCESSES:
            self._forget_oldest()
        self._told[evidence.process] = _Told(evidence.count, now, evidence.answers)

    def _forget_oldest(self) -> None:
        oldest = min(self._told, key=lambda process: self._told[process].heard_at)
        del self._told[oldest]

    def new_answers(self, number: int) -> dict[RouteServer, Answers]:
        """Of the new version's servers, by route and server."""
        found: dict[RouteServer, Answers] = {}
        for row in self._rows(number):
            if row.is_new:
                place = (row.route, row.instance)
                found[place] = found.get(place, NO_ANSWERS).plus(Answers(row.good, row.failed, row.slow))
        return found

    def old_answers(self, number: int) -> dict[str, Answers]:
        """Of the old version's, by route."""
        found: dict[str, Answers] = {}
        for row in self._rows(number):
            if not row.is_new:
                answers = Answers(row.good, row.failed, row.slow)
                found[row.route] = found.get(row.route, NO_ANSWERS).plus(answers)
        return found

    def total(self, number: int) -> int:
        """Of both versions."""
        return sum(row.good + row.failed + row.slow for row in self._rows(number))

    def _rows(self, number: int) -> list[AnswerCounts]:
        return [row for told in self._told.values() for row in told.answers if row.number == number]


class RolloutsDuty:
    """Claims the duty while a roll-out runs, and moves it on while the lease holds."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        process: str,
        register: RegisterHost,
        loads: Callable[[], dict[str, ServerLoad]],
        publish: Callable[[Update], None],
        log,
    ) -> None:
        """`loads` gives the sum of what all sidecars have under way, by instance. Starts with the next turn."""
        self.scheduler = scheduler
        self.register = register
        self.loads = loads
        self.publish = publish
        self.log = log
        self._bounds = settings.rule_bounds
        lease_ns = int(settings.rule_bounds.lease_ms) * NS_PER_MS
        self.duty = DutyHolder(
            scheduler,
            register,
            topics.ROLLOUTS_DUTY,
            Lease(settings.node_name, process, lease_ns),
            publish,
            log,
        )
        self.evidence = EvidenceBoard()
        self.rollouts: tuple[RolloutState, ...] = ()
        self.heard_at = scheduler.now()  # ns; of the newest value
        self.servers: list[ListedServer] = []
        self.watched: dict[str, Watched] = {}  # by service
        scheduler.spawn("rollouts duty", self._run)

    def age_ms(self) -> int:
        """How long ago the newest value of the register was heard of."""
        return (self.scheduler.now() - self.heard_at) // NS_PER_MS

    def on_update(self, update: Update) -> None:
        """The duty's value, the roll-outs or the list of servers was told of."""
        if update.topic == topics.ROLLOUTS_DUTY:
            self.duty.on_value(update.value)
        elif update.topic == topics.ROLLOUTS:
            self._take_rollouts(update.value)
        elif update.topic == topics.SERVERS:
            told = decode_value(update.value, ServersValue)
            self.servers = self.servers if told is None else from_message(told)

    def take_evidence(self, evidence: RolloutEvidence) -> None:
        """A process of the data plane told what it has counted."""
        self.evidence.take(evidence, self.scheduler.now())

    def _take_rollouts(self, value: bytes) -> None:
        told = decode_value(value, RolloutsValue)
        if told is None:
            return
        now = self.scheduler.now()
        self.rollouts = told.rollouts
        self.heard_at = now
        for state in told.rollouts:
            self._watch(state, now)

    def _watch(self, state: RolloutState, now: int) -> None:
        known = self.watched.get(state.service)
        if known is None or known.number != state.number:
            known = self.watched[state.service] = Watched(state.number, state.elapsed_ms, now)
        if known.elapsed_ns(now) < state.elapsed_ms * NS_PER_MS:
            known.elapsed_ms, known.heard_at = state.elapsed_ms, now
        if state.share >= FULL_SHARE and not known.whole_at:
            known.whole_at = now

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            running = [state for state in self.rollouts if state.phase == RUNNING]
            for state in running:
                self._look(state)
            if running and self.duty.keep():
                for state in running:
                    self._move_on(state)

    def _look(self, state: RolloutState) -> None:
        """Follow the evidence, whoever holds the duty: one that takes over knows it."""
        watched = self.watched[state.service]
        new, old = self.evidence.new_answers(state.number), self.evidence.old_answers(state.number)
        watched.verdict = watched.verdict or watched.test.update(new, old)

    def _move_on(self, state: RolloutState) -> None:
        watched = self.watched[state.service]
        if watched.number != state.number:
            return
        now = self.scheduler.now()
        after = next_state(state, self._situation(state, watched, now))
        elapsed_ms = watched.elapsed_ns(now) // NS_PER_MS
        if after == state and elapsed_ms - state.elapsed_ms < NOTE_MS:
            return
        self._write(state, replace(after, elapsed_ms=elapsed_ms), watched)

    def _situation(self, state: RolloutState, watched: Watched, now: int) -> RolloutObservation:
        own = [server for server in self.servers if server.service == state.service]
        new = [server for server in own if server.software == state.version]
        old = [server for server in own if server.software != state.version]
        loads = self.loads()
        return RolloutObservation(
            elapsed_ns=watched.elapsed_ns(now),
            full_share_ns=now - watched.whole_at if watched.whole_at else 0,
            new_ready=sum(server.ready for server in new),
            old_ready=sum(server.ready for server in old),
            answers=watched.test.answers.total,
            old_inflight=sum(loads[s.instance_id].requests for s in old if s.instance_id in loads),
            is_bad=watched.verdict is not None,
            all_answers=self.evidence.total(state.number),
            max_bad_share=self._bounds.canary_share,
            bad_request_slack=self._bounds.canary_slack,
        )

    def _write(self, before: RolloutState, after: RolloutState, watched: Watched) -> None:
        holding = self.duty.holding
        if holding is None or not self.duty.may_act:
            return
        change = changes.advance_rollout(before, after, holding.fence)
        result = self.register.change(topics.ROLLOUTS, change, self.scheduler.now() + WRITE_NS)
        if isinstance(result, Committed | Rejected | Overtaken):
            value = decode_value(result.value, RolloutsValue)
            if value is not None:
                self.publish(Update(topics.ROLLOUTS, value.sequence, result.value))
        if isinstance(result, Committed) and (after.phase, after.share) != (before.phase, before.share):
            self._log_step(after, watched)

    def _log_step(self, state: RolloutState, watched: Watched) -> None:
        answers = watched.test.answers
        verdict = watched.verdict
        self.log.info(
            "rollout",
            service=state.service,
            version=state.version,
            phase=state.phase,
            share=state.share,
            ms=state.elapsed_ms,
            good=answers.good,
            failed=answers.failed,
            slow=answers.slow,
            bad_kind="" if verdict is None else verdict.kind,
            bad_route="" if verdict is None else verdict.route,
        )
