"""Simulation of the whole control side in virtual time: real control planes, sidecars' links, operators who resend.

    python -m iristrack.simulation.control --scenario cut_off --seeds 50

plays the named scenario, or all of them, and prints a line of figures for each; the exit code is 1 where the referee
found a violation. `--log SEED` prints what the processes of one seed logged. Each scenario brings about one of the five
points of `docs/control-hardening.md`.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from iristrack.controlplane.changes import MAX_TAKEN_REVISIONS
from iristrack.relay import topics
from iristrack.simulation.control_nodes import SimulatedCore, SimulatedEdge
from iristrack.simulation.control_operators import MODEL, Operator, WeightsOperator
from iristrack.simulation.control_referee import Referee
from iristrack.simulation.virtual_machines import USUAL_SYNC_NS, Network
from iristrack.simulation.virtual_time import World
from iristrack.wire.messages import ConfigurationValue, MembersValue
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
START_SPREAD_NS = 300 * NS_PER_MS
FIRST_FAULT_NS = 4 * NS_PER_S
LATEST_START_NS = 8 * NS_PER_S  # of a machine that is late for the founding
TICK_NS = 100 * NS_PER_MS
CONTACT_NS = 3 * NS_PER_S  # after the core's last trouble, until times are calm
CATCH_UP_NS = 4 * NS_PER_S  # a lost machine counts as lost for so long after its start
HEALING_NS = 15 * NS_PER_S
SLOW_DISK = 30
HALF = 0.5
MOST_SEEDS = 3


EDGE_FAULTS = frozenset({"restart_edge", "freeze_edge"})  # which leave the core calm
CUT_HOWS = ("split", "one_way", "near", "both", "lure", "relieve", "edges")


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of run; shares are weights among the faults."""

    faults: tuple[tuple[str, int], ...]
    cores: int = 3
    edges: int = 4
    operators: int = 2
    duration_ns: int = 40 * NS_PER_S
    fault_pause_ns: int = 2500 * NS_PER_MS  # between two faults, on average
    answers_lost: float = 0.0
    sync_ns: int = USUAL_SYNC_NS
    cut_hows: tuple[str, ...] = CUT_HOWS
    operator_pause_ns: int = 300 * NS_PER_MS
    late_cores: int = 0  # machines that are let in beside all soon after the start
    weights_pause_ns: int = 0  # between two revisions of weights that are named, on average; 0: none is


SCENARIOS = {
    "cut_off": Scenario((("cut", 6), ("freeze", 1), ("kill", 1)), cores=5, edges=6),
    "cut_off_three": Scenario((("cut", 6), ("freeze", 1))),
    "races": Scenario(
        (("kill_acknowledger", 4), ("cut", 1), ("freeze", 1), ("herd_kill", 1)),
        operators=8,
        answers_lost=0.5,
    ),
    "replacements": Scenario(
        (("replace", 4), ("replace_planned", 4), ("wipe", 3), ("wipe_acknowledger", 2), ("kill", 2))
    ),
    "replacements_of_five": Scenario(
        (("replace", 4), ("replace_planned", 4), ("wipe", 3), ("wipe_acknowledger", 2), ("kill", 2)),
        cores=5,
    ),
    "late_machines": Scenario(
        (("wipe", 4), ("wipe_acknowledger", 2), ("kill", 2), ("refusing_disk", 1)),
        late_cores=2,
        fault_pause_ns=1000 * NS_PER_MS,
        duration_ns=20 * NS_PER_S,
    ),
    "restarts": Scenario(
        (
            ("kill", 3),
            ("herd_kill", 3),
            ("wipe", 2),
            ("slow_disk", 2),
            ("refusing_disk", 2),
            ("stalled_disk", 2),
            ("restart_edge", 2),
        ),
        operator_pause_ns=60 * NS_PER_MS,
    ),
    "weights": Scenario(
        (("restart_edge", 6), ("freeze_edge", 4), ("kill", 1)),
        edges=6,
        duration_ns=60 * NS_PER_S,
        fault_pause_ns=1500 * NS_PER_MS,
        weights_pause_ns=5 * NS_PER_S,
    ),
    "bad_disks": Scenario((("refusing_disk", 4), ("slow_disk", 1), ("stalled_disk", 1))),
    "mixed": Scenario(
        (
            ("cut", 3),
            ("kill", 2),
            ("wipe", 2),
            ("replace", 1),
            ("replace_planned", 1),
            ("freeze", 2),
            ("herd_kill", 1),
            ("slow_disk", 1),
            ("refusing_disk", 1),
            ("kill_acknowledger", 1),
            ("wipe_acknowledger", 1),
            ("restart_edge", 2),
        ),
        cores=5,
        answers_lost=0.1,
    ),
}


@dataclass(slots=True)
class RunResult:
    """What one seed gave."""

    violations: list[str]
    figures: Counter[str]
    virtual_ns: int
    lines: list[str]


class Simulation:
    """One run of one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Set up all machines; nothing runs yet."""
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.world = World()
        self.network = Network(self.world, self.rng)
        self.referee = Referee()
        self.figures: Counter[str] = Counter()
        self.lines: list[str] = []
        self.cores: list[SimulatedCore] = []
        for _ in range(scenario.cores):
            self._new_core(bootstrap=True)
        self.edges = [
            SimulatedEdge(n, self.world, self.network, self.referee, self._seeds, self.lines)
            for n in range(scenario.edges)
        ]
        self.operators = [
            Operator(n, self.world, random.Random(self.rng.getrandbits(64)), self.referee, self._reachable)
            for n in range(scenario.operators)
        ]
        for operator in self.operators:
            operator.pause_ns = scenario.operator_pause_ns
        if scenario.weights_pause_ns:
            self.operators.append(self._weights_operator())
        self._unsettled_at = 0
        self._away_at = 0  # when a core machine was down, cut off, frozen or without its disk last
        self._lost_until: dict[str, int] = {}  # by machine: until when it counts as lost
        self._cut_now: set[tuple[str, str]] = set()
        self._lonely: set[str] = set()  # sidecars that reach the minority of a cut alone
        self._lonely_until: dict[str, int] = {}  # until when a sidecar that did is not judged
        self._armed: str | None = None  # what happens to the machine that acknowledges next
        self._ended = False

    def _weights_operator(self) -> WeightsOperator:
        rng = random.Random(self.rng.getrandbits(64))
        number = len(self.operators)
        operator = WeightsOperator(number, self.world, rng, self.referee, self._reachable)
        operator.pause_ns = self.scenario.weights_pause_ns
        return operator

    # ---- the run

    def run(self) -> RunResult:
        """Start everything, inject faults, heal, and judge the end."""
        for machine in (*self.cores, *self.edges):
            self.world.at(self.rng.randint(0, START_SPREAD_NS), None, machine.start)
        for operator in self.operators:
            operator.answers_lost = self.scenario.answers_lost
            operator.on_acknowledged = self._on_acknowledged
            self.world.at(NS_PER_S, None, operator.start)
        for _ in range(self.scenario.late_cores):
            self._later(self.rng.randint(NS_PER_S, LATEST_START_NS), self._newcomer().start)
        self.world.at(TICK_NS, None, self._tick)
        self.world.at(FIRST_FAULT_NS, None, self._inject)
        self.world.run_until(self.scenario.duration_ns)
        self._heal()
        self.world.run_until(self.world.now + HEALING_NS)
        self._judge_end()
        violations = self.referee.violations + [f"failure: {text}" for text in self.world.failures]
        self.figures["weights_named"] = len(self.referee.weights)
        self.figures["orders_acknowledged"] = sum(
            order.acknowledged_at is not None for order in self.referee.orders.values()
        )
        self.figures["orders_refused"] = sum(
            order.refused_at is not None for order in self.referee.orders.values()
        )
        return RunResult(violations, self.figures, self.world.now, self.lines)

    def _tick(self) -> None:
        now = self.world.now
        if self._cut_now or any(core.is_away for core in self.cores):
            self._away_at = now
        if not self._has_majority():
            self._unsettled_at = now
        calm_since = self._unsettled_at + CONTACT_NS
        judged = {
            edge.process: max(edge.undisturbed_since + CONTACT_NS, self._lonely_until.get(edge.name, 0))
            for edge in self.edges
            if edge.name not in self._lonely
        }
        if calm_since <= now:
            in_touch = [edge for edge in self.edges if judged.get(edge.process, now + 1) <= now]
            required = {edge.process: edge.required_weights(MODEL) for edge in in_touch}
            self.referee.judge_weights(now, calm_since, required)
        for edge in self.edges:
            edge.look()
        is_judged = calm_since <= now and not any(operator.answers_lost for operator in self.operators)
        self.referee.judge_time(now, calm_since if is_judged else None, judged)
        self.world.at(now + TICK_NS, None, self._tick)

    def _reachable(self) -> list[SimulatedCore]:
        return [core for core in self.cores if not core.gone] or self.cores

    def newest_set(self) -> MembersValue:
        """The newest member set that any process knows."""
        known = [core.plane.register.member_set for core in self.cores if core.plane is not None]
        return max(known, key=lambda members: members.sequence, default=MembersValue(0))

    def _has_majority(self) -> bool:
        """Do sound members that reach each other make a quorum?"""
        members = self.newest_set().members
        sound = [core.address for core in self.cores if core.is_sound and core.address in members]
        together = [
            sum(self.network.is_open(a, b) and self.network.is_open(b, a) for b in sound) for a in sound
        ]
        return max(together, default=0) >= len(members) // 2 + 1

    # ---- faults

    def _inject(self) -> None:
        if self._ended:
            return
        kinds, weights = zip(*self.scenario.faults, strict=True)
        kind = self.rng.choices(kinds, weights)[0]
        if getattr(self, f"_{kind}")():
            self.figures[f"faults_{kind}"] += 1
            if kind not in EDGE_FAULTS:
                self._unsettled_at = self.world.now
        pause = self.rng.randint(1, 2 * self.scenario.fault_pause_ns)
        self.world.at(self.world.now + pause, None, self._inject)

    def _later(self, ns: int, call: Callable[..., object], *args: object) -> None:
        def happen() -> None:
            self._unsettled_at = self.world.now
            call(*args)

        self.world.at(self.world.now + ns, None, happen)

    def _restart_later(self, core: SimulatedCore, longest_ns: int = 1500 * NS_PER_MS) -> None:
        self._later(self.rng.randint(1, longest_ns), core.start)

    def _running_members(self) -> list[SimulatedCore]:
        members = self.newest_set().members
        return [core for core in self.cores if core.up and core.address in members]

    def _may_lose_one(self) -> bool:
        """May another disk be lost, or a machine go for good?"""
        now = self.world.now
        members = self.newest_set()
        self._lost_until = {name: until for name, until in self._lost_until.items() if until > now}
        # While machines are away, lost disks cannot be made good: until all have been back for the time to catch up,
        # no more of these than is borne.
        all_are_back = now - self._away_at >= CATCH_UP_NS
        empty = [
            core
            for core in self.cores
            if core.address in members.members and (core.gone or (core.is_empty and not all_are_back))
        ]
        beside_all = bool(members.joining) and not members.leaving
        if beside_all:
            empty = [core for core in empty if core.address != members.joining]
        elif members.joining:
            return False
        bearable = (len(members.members) - beside_all - 1) // 2
        return len(self._lost_until.keys() | {core.name for core in empty}) < bearable

    def _mark_lost(self, core: SimulatedCore, back_in_ns: int) -> None:
        self._lost_until[core.name] = self.world.now + back_in_ns + CATCH_UP_NS

    def _kill(self) -> bool:
        running = [core for core in self.cores if core.up]
        if not running:
            return False
        core = self.rng.choice(running)
        core.kill()
        self._restart_later(core)
        return True

    def _freeze(self) -> bool:
        running = self._running_members()
        if not running:
            return False
        ns = self.rng.randint(200 * NS_PER_MS, 6 * NS_PER_S)
        self.rng.choice(running).freeze(ns)
        self._later(ns, lambda: None)
        return True

    def _herd_kill(self) -> bool:
        for core in self.cores:
            core.kill()
            self._restart_later(core, NS_PER_S)
        if self.rng.random() < 0.3:
            for edge in self.edges:
                self._later(self.rng.randint(1, NS_PER_S), edge.start)
        return True

    def _wipe(self) -> bool:
        running = self._running_members()
        if not running or not self._may_lose_one():
            return False
        self._wipe_one(self.rng.choice(running))
        return True

    def _wipe_one(self, core: SimulatedCore) -> None:
        core.wipe()
        back_in_ns = self.rng.randint(100 * NS_PER_MS, 2 * NS_PER_S)
        self._mark_lost(core, back_in_ns)
        self._later(back_in_ns, core.start)

    def _kill_acknowledger(self) -> bool:
        self._armed = "kill"
        return True

    def _wipe_acknowledger(self) -> bool:
        self._armed = "wipe"
        return True

    def _on_acknowledged(self, core: SimulatedCore) -> None:
        armed, self._armed = self._armed, None
        if armed == "kill":
            self._later(self.rng.randint(0, 4 * NS_PER_MS), core.kill)
            self._restart_later(core)
        elif armed == "wipe" and self._may_lose_one() and core.up:
            self._wipe_one(core)

    def _restart_edge(self) -> bool:
        self.rng.choice(self.edges).start()
        return True

    def _freeze_edge(self) -> bool:
        self.rng.choice(self.edges).freeze(self.rng.randint(200 * NS_PER_MS, 12 * NS_PER_S))
        return True

    def _seeds(self) -> list[str]:
        """The control planes that the operator's list names: those of the first start, or those that run."""
        running = [core for core in self.cores if core.up] if self.world.now > START_SPREAD_NS else []
        known = running or [core for core in self.cores if not core.gone]
        return [f"{core.ip}:8169" for core in known[:MOST_SEEDS]]

    def _new_core(self, bootstrap: bool) -> SimulatedCore:
        rng = random.Random(self.rng.getrandbits(64))
        core = SimulatedCore(
            len(self.cores), self.world, self.network, rng, self._seeds, bootstrap, self.lines
        )
        core.disk.sync_ns = self.scenario.sync_ns
        self.cores.append(core)
        return core

    def _newcomer(self) -> SimulatedCore:
        return self._new_core(bootstrap=False)

    def _replace(self) -> bool:
        """One member is gone for good, an empty machine comes at another address."""
        running = self._running_members()
        if not running or not self._may_lose_one():
            return False
        gone = self.rng.choice(running)
        gone.kill()
        gone.gone = True
        back_in_ns = self.rng.randint(100 * NS_PER_MS, 2 * NS_PER_S)
        self._mark_lost(gone, back_in_ns)
        self._later(back_in_ns, self._newcomer().start)
        return True

    def _replace_planned(self) -> bool:
        """An empty machine comes first, then a member gets SIGTERM and does not come back."""
        running = self._running_members()
        if not running or not self._may_lose_one():
            return False
        leaving = self.rng.choice(running)
        newcomer = self._newcomer()
        newcomer.start()
        wait_ns = self.rng.randint(300 * NS_PER_MS, 6 * NS_PER_S)
        self._lost_until[newcomer.name] = self.world.now + CATCH_UP_NS
        self._later(wait_ns, self._retire, leaving, newcomer)
        return True

    def _retire(self, leaving: SimulatedCore, newcomer: SimulatedCore) -> None:
        taken = newcomer.address in self.newest_set().members
        if self._ended or not leaving.is_sound or not newcomer.up or taken:
            return  # who plans a replacement looks first
        others = [core for core in self._running_members() if core is not leaving]
        if others and self.rng.random() < HALF and self._may_lose_one():
            # The one that leaves counts until its successor votes: one more disk may be lost meanwhile.
            self.figures["faults_wipe_beside_leave"] += 1
            self._later(self.rng.randint(0, 200 * NS_PER_MS), self._wipe_one, self.rng.choice(others))
        leaving.terminate()
        leaving.gone = True  # it may answer yet, and is never started again

    def _slow_disk(self) -> bool:
        core = self.rng.choice(self.cores)
        core.disk.sync_ns = SLOW_DISK * self.scenario.sync_ns
        self._later(
            self.rng.randint(NS_PER_S, 6 * NS_PER_S), setattr, core.disk, "sync_ns", self.scenario.sync_ns
        )
        return True

    def _stalled_disk(self) -> bool:
        core = self.rng.choice(self.cores)
        core.disk.stalled_until = self.world.now + self.rng.randint(NS_PER_S, 5 * NS_PER_S)
        self._later(core.disk.stalled_until - self.world.now, lambda: None)
        return True

    def _refusing_disk(self) -> bool:
        core = self.rng.choice(self.cores)
        core.disk.refusing = True
        self._later(self.rng.randint(NS_PER_S, 5 * NS_PER_S), setattr, core.disk, "refusing", False)
        return True

    def _cut(self) -> bool:
        """Cut a minority of the core off for some seconds, in one of the ways of the scenario."""
        if self._cut_now:
            return False
        members = self._running_members()
        most = (len(self.newest_set().members) - 1) // 2
        if len(members) <= most or most == 0:
            return False
        minority = self.rng.sample(members, self.rng.randint(1, most))
        others = [core for core in self.cores if core not in minority]
        how = self.rng.choice(self.scenario.cut_hows)
        self.figures[f"cut_{how}"] += 1
        self._cut_now = self._cut_pairs(how, minority, others)
        self.network.cut(self._cut_now)
        ns = self.rng.randint(3 * NS_PER_S, 20 * NS_PER_S)
        self._later(ns, self._mend_cut)
        if how == "both":
            self._restart_in_turn([*minority, *others])
        elif how == "lure":
            for edge in self.rng.sample(self.edges, (len(self.edges) + 2) // 3):
                self._later(self.rng.randint(1, ns), edge.start)
        elif how == "edges":
            for edge in self.edges:
                if edge.name in self._lonely:
                    self._later(self.rng.randint(1, ns), edge.start)
        elif how == "relieve":
            self._later(ns + self.rng.randint(1, 300 * NS_PER_MS), self._kill_all, others)
        return True

    def _cut_pairs(
        self, how: str, minority: list[SimulatedCore], others: list[SimulatedCore]
    ) -> set[tuple[str, str]]:
        pairs = {(core.address, other.address) for core in minority for other in others}
        if how == "one_way":
            return pairs if self.rng.random() < HALF else {(b, a) for a, b in pairs}
        if how == "near":
            zone = minority[0].number % 3
            far = [edge for number, edge in enumerate(self.edges) if number % 3 != zone]
            pairs |= {(core.address, edge.address) for core in minority for edge in far}
        elif how == "edges":
            lonely = self.rng.sample(self.edges, 1)
            self._lonely = {edge.name for edge in lonely}
            pairs |= {(other.address, edge.address) for other in others for edge in lonely}
        return pairs | {(b, a) for a, b in pairs}

    def _mend_cut(self) -> None:
        self.network.mend(self._cut_now)
        self._cut_now = set()
        for edge in self.edges:
            if edge.name in self._lonely:
                self._lonely_until[edge.name] = self.world.now + CONTACT_NS
        self._lonely = set()

    def _restart_in_turn(self, cores: list[SimulatedCore]) -> None:
        at = 0
        for core in cores:
            at += self.rng.randint(1, NS_PER_S)
            self._later(at, self._kill_all, [core])
            self._later(at + self.rng.randint(1, NS_PER_S), core.start)

    def _kill_all(self, cores: list[SimulatedCore]) -> None:
        """Kill these, unless all faults have ended meanwhile."""
        for core in [] if self._ended else cores:
            core.kill()
            self._restart_later(core, NS_PER_S)

    def _heal(self) -> None:
        """End all faults; what was to come later finds nothing left to do."""
        self._ended = True
        self._armed = None
        self._mend_cut()
        for core in self.cores:
            core.disk.refusing = False
            core.disk.sync_ns = self.scenario.sync_ns
            if not core.gone:
                self._later(self.rng.randint(1, NS_PER_S), core.start)
        for operator in self.operators:
            operator.answers_lost = 0.0
        self._unsettled_at = self.world.now

    # ---- the end

    def _judge_end(self) -> None:
        now = self.world.now
        for operator in self.operators:
            operator.stopped = True
        if not self._has_majority():
            self.referee.violate(now, "no majority votes though all faults have ended")
        for core in self.cores:
            members = self.newest_set().members
            if not core.gone and core.address in members and not core.is_sound:
                self.referee.violate(now, f"{core.name} does not vote though all faults have ended")
        values = [
            value
            for core in self.cores
            if core.up and core.plane.register.voting and core.plane.register.is_member
            if (value := _accepted(core)) is not None
        ]
        newest = max(values, key=lambda value: value.sequence, default=None)
        if newest is None:
            self.referee.violate(now, "no member holds a configuration")
            return
        taken = [(entry.revision, entry.digest) for entry in newest.taken]
        begins_at = taken[0][0] if len(taken) >= MAX_TAKEN_REVISIONS else 0
        self.referee.judge_end(taken, now, begins_at)


def _accepted(core: SimulatedCore) -> ConfigurationValue | None:
    return decode_value(core.plane.register.acceptor.state(topics.CONFIGURATION).value, ConfigurationValue)


# ---- the command


def run_seed(scenario: Scenario, seed: int) -> RunResult:
    """Run one seed of a scenario."""
    return Simulation(scenario, seed).run()


def first_violation(scenario: Scenario, seeds: range) -> tuple[int, list[str]] | None:
    """The first seed with violations, and these."""
    for seed in seeds:
        violations = run_seed(scenario, seed).violations
        if violations:
            return seed, violations
    return None


def main(arguments: list[str] | None = None) -> int:
    """Run scenarios and print their figures."""
    parser = argparse.ArgumentParser(prog="python -m iristrack.simulation.control", description=__doc__)
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), help="one alone; all without it")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds of each")
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--edges", type=int, help="sidecars, instead of the scenario's number")
    parser.add_argument("--log", type=int, metavar="SEED", help="print what this seed's processes logged")
    options = parser.parse_args(arguments)
    failed = False
    for name in [options.scenario] if options.scenario else sorted(SCENARIOS):
        scenario = SCENARIOS[name]
        if options.edges is not None:
            scenario = replace(scenario, edges=options.edges)
        seeds = range(options.first_seed, options.first_seed + options.seeds)
        failed |= _play(name, scenario, [options.log] if options.log is not None else seeds, options.log)
    return 1 if failed else 0


def _play(name: str, scenario: Scenario, seeds, logged: int | None) -> bool:
    figures: Counter[str] = Counter()
    virtual_ns = violations = 0
    for seed in seeds:
        result = run_seed(scenario, seed)
        figures += result.figures
        virtual_ns += result.virtual_ns
        violations += len(result.violations)
        if logged is not None:
            print(*result.lines, sep="\n")
        for violation in result.violations:
            print(f"violation scenario={name} seed={seed} {violation}", file=sys.stderr)
    parts = [f"scenario={name}", f"seeds={len(seeds)}", f"virtual_hours={virtual_ns / (3600 * NS_PER_S):.3f}"]
    parts += [f"{key}={figures[key]}" for key in sorted(figures)]
    print(*parts, f"violations={violations}")
    return violations > 0


if __name__ == "__main__":
    sys.exit(main())
