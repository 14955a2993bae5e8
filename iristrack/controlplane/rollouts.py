"""The duty of roll-outs: held by one core member at a time, under a fencing token; it advances the running roll-outs.

`engines/rollouts.py` decides the next step and `engines/canary_analysis.py` whether the new version is bad. This module
combines the evidence of all sidecars, tracks the time since the orders, and writes each step to the register.
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
WRITE_TIMEOUT_NS = 800 * NS_PER_MS  # a step that takes longer to write is decided again
PROGRESS_INTERVAL_MS = 1000  # between writes of the elapsed time, from which another holder continues
MAX_PROCESSES = 2048  # processes whose evidence is kept


@dataclass(slots=True)
class RolloutWatch:
    """The state of one running roll-out in this process, in addition to the register's."""

    number: int
    elapsed_ms: int  # time since the order, according to the newest state
    received_at: int  # when that state arrived here (ns)
    full_at: int = 0  # when this process first saw the new version receive all traffic (ns); 0: not yet
    analysis: CanaryAnalysis = field(default_factory=CanaryAnalysis)
    verdict: Verdict | None = None

    def elapsed_ns(self, now: int) -> int:
        """Return a lower bound of the time since the order (ns)."""
        return self.elapsed_ms * NS_PER_MS + now - self.received_at


@dataclass(slots=True)
class _ProcessCounts:
    count: int
    received_at: int  # ns
    answers: tuple[AnswerCounts, ...]


class EvidenceTable:
    """The newest counts of each process; those of processes that have ended are included."""

    def __init__(self) -> None:
        """Start without counts."""
        self._counts_by_process: dict[str, _ProcessCounts] = {}

    def record(self, evidence: RolloutEvidence, now: int) -> None:
        """Record the cumulative counts of a process, unless newer ones are known."""
        known = self._counts_by_process.get(evidence.process)
        if known is not None and known.count >= evidence.count:
            return
        if known is None and len(self._counts_by_process) >= MAX_PROCESSES:
            self._forget_oldest()
        self._counts_by_process[evidence.process] = _ProcessCounts(evidence.count, now, evidence.answers)

    def _forget_oldest(self) -> None:
        oldest = min(
            self._counts_by_process, key=lambda process: self._counts_by_process[process].received_at
        )
        del self._counts_by_process[oldest]

    def new_answers(self, number: int) -> dict[RouteServer, Answers]:
        """Return the counts of the new version's servers, by route and server."""
        found: dict[RouteServer, Answers] = {}
        for row in self._rows(number):
            if row.is_new:
                place = (row.route, row.instance)
                found[place] = found.get(place, NO_ANSWERS).plus(Answers(row.good, row.failed, row.slow))
        return found

    def old_answers(self, number: int) -> dict[str, Answers]:
        """Return the counts of the old version's servers, by route."""
        found: dict[str, Answers] = {}
        for row in self._rows(number):
            if not row.is_new:
                answers = Answers(row.good, row.failed, row.slow)
                found[row.route] = found.get(row.route, NO_ANSWERS).plus(answers)
        return found

    def total(self, number: int) -> int:
        """Return the number of answers of both versions."""
        return sum(row.good + row.failed + row.slow for row in self._rows(number))

    def _rows(self, number: int) -> list[AnswerCounts]:
        return [
            row
            for counts in self._counts_by_process.values()
            for row in counts.answers
            if row.number == number
        ]


class RolloutsDuty:
    """Claims the duty while a roll-out runs, and advances the roll-out while the lease is valid."""

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
        """Start with the next turn of the loop; `loads` returns the requests in flight of all sidecars, by instance."""
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
        self.evidence = EvidenceTable()
        self.rollouts: tuple[RolloutState, ...] = ()
        self.received_at = scheduler.now()  # when the newest value arrived (ns)
        self.servers: list[ListedServer] = []
        self.watched: dict[str, RolloutWatch] = {}  # by service
        scheduler.spawn("rollouts duty", self._run)

    def age_ms(self) -> int:
        """Return the time since the newest value of the register arrived."""
        return (self.scheduler.now() - self.received_at) // NS_PER_MS

    def on_update(self, update: Update) -> None:
        """Handle a published value of the duty, the roll-outs or the list of servers."""
        if update.topic == topics.ROLLOUTS_DUTY:
            self.duty.on_value(update.value)
        elif update.topic == topics.ROLLOUTS:
            self._apply_rollouts(update.value)
        elif update.topic == topics.SERVERS:
            decoded = decode_value(update.value, ServersValue)
            self.servers = self.servers if decoded is None else from_message(decoded)

    def on_evidence(self, evidence: RolloutEvidence) -> None:
        """Handle the counts of a data plane process."""
        self.evidence.record(evidence, self.scheduler.now())

    def _apply_rollouts(self, value: bytes) -> None:
        decoded = decode_value(value, RolloutsValue)
        if decoded is None:
            return
        now = self.scheduler.now()
        self.rollouts = decoded.rollouts
        self.received_at = now
        for state in decoded.rollouts:
            self._track(state, now)

    def _track(self, state: RolloutState, now: int) -> None:
        known = self.watched.get(state.service)
        if known is None or known.number != state.number:
            known = self.watched[state.service] = RolloutWatch(state.number, state.elapsed_ms, now)
        if known.elapsed_ns(now) < state.elapsed_ms * NS_PER_MS:
            known.elapsed_ms, known.received_at = state.elapsed_ms, now
        if state.share >= FULL_SHARE and not known.full_at:
            known.full_at = now

    def _run(self) -> None:
        while True:
            self.scheduler.sleep(TICK_NS)
            running = [state for state in self.rollouts if state.phase == RUNNING]
            for state in running:
                self._update_verdict(state)
            if running and self.duty.maintain():
                for state in running:
                    self._advance(state)

    def _update_verdict(self, state: RolloutState) -> None:
        """Evaluate the evidence, whichever member holds the duty, so that its next holder has the verdict."""
        watched = self.watched[state.service]
        new, old = self.evidence.new_answers(state.number), self.evidence.old_answers(state.number)
        watched.verdict = watched.verdict or watched.analysis.update(new, old)

    def _advance(self, state: RolloutState) -> None:
        watched = self.watched[state.service]
        if watched.number != state.number:
            return
        now = self.scheduler.now()
        after = next_state(state, self._observation(state, watched, now))
        elapsed_ms = watched.elapsed_ns(now) // NS_PER_MS
        if after == state and elapsed_ms - state.elapsed_ms < PROGRESS_INTERVAL_MS:
            return
        self._write(state, replace(after, elapsed_ms=elapsed_ms), watched)

    def _observation(self, state: RolloutState, watched: RolloutWatch, now: int) -> RolloutObservation:
        own = [server for server in self.servers if server.service == state.service]
        new = [server for server in own if server.software == state.version]
        old = [server for server in own if server.software != state.version]
        loads = self.loads()
        return RolloutObservation(
            elapsed_ns=watched.elapsed_ns(now),
            full_share_ns=now - watched.full_at if watched.full_at else 0,
            new_ready=sum(server.ready for server in new),
            old_ready=sum(server.ready for server in old),
            answers=watched.analysis.answers.total,
            old_inflight=sum(loads[s.instance_id].requests for s in old if s.instance_id in loads),
            is_bad=watched.verdict is not None,
            all_answers=self.evidence.total(state.number),
            max_bad_share=self._bounds.canary_share,
            bad_request_slack=self._bounds.canary_slack,
        )

    def _write(self, before: RolloutState, after: RolloutState, watched: RolloutWatch) -> None:
        holding = self.duty.holding
        if holding is None or not self.duty.may_act:
            return
        change = changes.advance_rollout(before, after, holding.fence)
        result = self.register.change(topics.ROLLOUTS, change, self.scheduler.now() + WRITE_TIMEOUT_NS)
        if isinstance(result, Committed | Rejected | Overtaken):
            value = decode_value(result.value, RolloutsValue)
            if value is not None:
                self.publish(Update(topics.ROLLOUTS, value.sequence, result.value))
        if isinstance(result, Committed) and (after.phase, after.share) != (before.phase, before.share):
            self._log_step(after, watched)

    def _log_step(self, state: RolloutState, watched: RolloutWatch) -> None:
        answers = watched.analysis.answers
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
