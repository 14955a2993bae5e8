"""Simulation of the registers in virtual time: the real register hosts on a network without connections.

    python -m iristrack.simulation.register --seeds 300

runs one group of acceptors and clients per seed through faults of network, processes and disks, and prints one
key=value line of figures; the exit code is 1 where the referee found a violation.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from iristrack.register.member_set import MemberSetError, added, removed, replaced
from iristrack.register.proposer import Committed, ProposerResult
from iristrack.simulation.register_machines import (
    SLOW_SYNC_NS,
    USUAL_SYNC_NS,
    Client,
    MemberChanger,
    RegisterMachine,
    Surroundings,
)
from iristrack.simulation.register_network import FAULTLESS, MILLISECOND, LossyNetwork, NetworkFaults
from iristrack.simulation.register_referee import Referee
from iristrack.simulation.virtual_time import World
from iristrack.wire.messages import FOUNDED, MembersValue

SECOND = 1_000 * MILLISECOND
HEALING_NS = 10 * SECOND
LAST_READ_LIMIT_NS = 10 * SECOND
READER = "reader"
RESTARTED_SHARE = 0.5  # of the machines whose disk refused records
MEMBER_CHANGE_WEIGHT = 8  # among the faults, where there are spare machines
REMOVED_SHARE = 0.25  # of the changes of the member set: a member is taken out
ADDED_SHARE = 0.3  # of the others; the rest replaces a member
WIPE_AFTER_STALL_NS = 100 * MILLISECOND


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of run; times are virtual nanoseconds, shares are weights among the faults."""

    acceptors: int = 3
    spares: int = 0  # machines that may take a member's place, or stand beside all
    clients: int = 3
    keys: tuple[str, ...] = ("config", "versions")
    duration_ns: int = 8 * SECOND
    fault_interval_ns: int = 150 * MILLISECOND
    longest_fault_ns: int = 1200 * MILLISECOND
    longest_outage_ns: int = 1200 * MILLISECOND  # of a process that crashed
    network: NetworkFaults = field(default_factory=NetworkFaults)
    spare_core_links: bool = False
    stalled_share: float = 0.5  # of the links from clients to acceptors, in a stall
    fault_weights: tuple[tuple[str, int], ...] = (
        ("crash", 4),
        ("wipe", 4),
        ("cut_one_way", 3),
        ("cut_two_ways", 3),
        ("stall", 2),
        ("slow_disk", 2),
        ("refused_writes", 2),
        ("client_crash", 2),
    )


@dataclass(slots=True)
class RunResult:
    """What one seed gave."""

    violations: list[str]
    figures: Counter[str]
    virtual_ns: int


class Simulation:
    """One run of one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Set up all hosts."""
        self.scenario = scenario
        self.figures: Counter[str] = Counter()
        self.world = World()
        self._rng = random.Random(seed)
        self.network = LossyNetwork(self.world, self._rng, scenario.network, self.figures)
        members = tuple(f"core{index}" for index in range(scenario.acceptors))
        if scenario.spare_core_links:
            self.network.spare_links_among(members)
        self.referee = Referee(scenario.keys)
        founded = MembersValue(FOUNDED, members)
        self._around = Surroundings(
            self.world, self.network, self._rng, self.figures, founded, scenario.keys, self.referee
        )
        spares = [f"spare{index}" for index in range(scenario.spares)]
        self.acceptors = [RegisterMachine(name, self._around) for name in (*members, *spares)]
        self._changer = MemberChanger(self._around) if spares else None
        self.clients = [Client(f"proposer{index}", self._around) for index in range(scenario.clients)]
        self._kinds = [kind for kind, _ in scenario.fault_weights]
        self._weights = [weight for _, weight in scenario.fault_weights]

    def run(self) -> RunResult:
        """Run through the faults, heal everything, and judge the last reads."""
        self._schedule_fault()
        self.world.run_until(self.scenario.duration_ns)
        self._heal()
        self.world.run_until(self.world.now + HEALING_NS)
        self._read_last()
        self.figures["recoveries_finished"] = self._around.events["voting"]
        violations = self.referee.violations + [f"failure: {text}" for text in self.world.failures]
        return RunResult(violations, self.figures, self.world.now)

    def _schedule_fault(self) -> None:
        pause = self._rng.randint(1, 2 * self.scenario.fault_interval_ns)
        self.world.at(self.world.now + pause, None, self._inject)

    def _inject(self) -> None:
        if self.world.now >= self.scenario.duration_ns:
            return
        kind = self._rng.choices(self._kinds, self._weights)[0]
        if getattr(self, f"_inject_{kind}")():
            self.figures[f"faults_{kind}"] += 1
        self._schedule_fault()

    def _later(self, action: Callable[[], None]) -> None:
        pause = self._rng.randint(1, self.scenario.longest_fault_ns)
        self.world.at(self.world.now + pause, None, action)

    def _start_later(self, host: RegisterMachine) -> None:
        pause = self._rng.randint(1, self.scenario.longest_outage_ns)
        self.world.at(self.world.now + pause, None, lambda: self._start_if_down(host))

    def _choose_running(self) -> RegisterMachine | None:
        running = [host for host in self.acceptors if host.up]
        return self._rng.choice(running) if running else None

    def _start_if_down(self, host: RegisterMachine) -> None:
        if not host.up:
            host.start()

    def _inject_crash(self) -> bool:
        host = self._choose_running()
        if host is None:
            return False
        host.crash()
        self._start_later(host)
        return True

    def _inject_wipe(self) -> bool:
        members = self._around.newest_set()
        changing = self._changer is not None and self._changer.may_change()
        if len(self._unrecovered(members)) + changing >= self._bearable(members):
            return False
        host = self._choose_running()
        if host is None or host.name not in members.members:
            return False
        host.wipe()
        self._start_later(host)
        return True

    def _unrecovered(self, members: MembersValue) -> list[str]:
        """The members without a whole state on their disks, less one that is joining beside all."""
        beside_all = members.joining if not members.leaving else ""
        return [
            host.name
            for host in self.acceptors
            if host.name in members.members and not host.recovered and host.name != beside_all
        ]

    def _bearable(self, members: MembersValue) -> int:
        """How many members may be without their disks; one that is joining beside all adds nothing yet."""
        is_joining_beside_all = members.joining != "" and not members.leaving
        return (len(members.members) - is_joining_beside_all - 1) // 2

    def _inject_cut_one_way(self) -> bool:
        pair = self._choose_pair()
        self._cut_for_a_while([pair])
        return True

    def _inject_cut_two_ways(self) -> bool:
        sender, receiver = self._choose_pair()
        self._cut_for_a_while([(sender, receiver), (receiver, sender)])
        return True

    def _choose_pair(self) -> tuple[str, str]:
        nodes = [host.name for host in self.acceptors] + [client.name for client in self.clients]
        sender, receiver = self._rng.sample(nodes, 2)
        return sender, receiver

    def _cut_for_a_while(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.network.cut(*pair)
        self._later(lambda: [self.network.mend(*pair) for pair in pairs])

    def _inject_stall(self) -> bool:
        """Hold back, each for a time of its own, a part of the links from clients to acceptors."""
        for client in self.clients:
            for host in self.acceptors:
                if self._rng.random() < self.scenario.stalled_share:
                    until = self.world.now + self._rng.randint(1, self.scenario.longest_fault_ns)
                    self.network.stall(client.name, host.name, until)
        return True

    def _inject_stall_and_wipe(self) -> bool:
        """Stall links, and take a disk while answers to what was sent before are still under way."""
        self._inject_stall()
        pause = self._rng.randint(1, WIPE_AFTER_STALL_NS)
        self.world.at(self.world.now + pause, None, self._inject_wipe)
        return True

    def _inject_slow_disk(self) -> bool:
        host = self._rng.choice(self.acceptors)
        host.disk.sync_ns = SLOW_SYNC_NS
        self._later(lambda: setattr(host.disk, "sync_ns", USUAL_SYNC_NS))
        return True

    def _inject_refused_writes(self) -> bool:
        machine = self._choose_running()
        if machine is None or not machine.recovered:
            return False
        machine.disk.refusing = True
        self._later(lambda: self._take_writes_again(machine))
        return True

    def _take_writes_again(self, machine: RegisterMachine) -> None:
        machine.disk.refusing = False
        if machine.up and self._rng.random() < RESTARTED_SHARE:
            machine.crash()
            machine.start()

    def _inject_client_crash(self) -> bool:
        self._rng.choice(self.clients).start()
        return True

    def _inject_member_change(self) -> bool:
        """Let a spare machine in or take a member out, where those that vote bear it."""
        running = [machine for machine in self.acceptors if machine.up]
        if self._changer is None or not running:
            return False
        known = self._around.newest_set()
        is_removal = self._rng.random() < REMOVED_SHARE
        proposed = self._draw_removal(known) if is_removal else self._draw_newcomer(known)
        return proposed is not None and self._changer.begin(self._rng.choice(running), known, proposed)

    def _draw_removal(self, known: MembersValue) -> MembersValue | None:
        """The set without a member, which counts as lost."""
        old = self._rng.choice(known.members)
        if len({old, *self._unrecovered(known)}) > self._bearable(known):
            return None
        try:
            return removed(known, old)
        except MemberSetError:
            return None

    def _draw_newcomer(self, known: MembersValue) -> MembersValue | None:
        """A machine beside all, where so many may be lost already; or in another's place, where that one may be too."""
        unrecovered = set(self._unrecovered(known))
        spares = [host for host in self.acceptors if host.up and host.name not in known.members]
        if not spares:
            return None
        spare = self._rng.choice(spares)
        try:
            if self._rng.random() < ADDED_SHARE and len(known.members) < self.scenario.acceptors + 2:
                return added(known, spare.name) if len(unrecovered) <= self._bearable(known) else None
            if len(unrecovered - {known.joining}) >= self._bearable(known):
                return None
            old = known.joining or self._rng.choice(known.members)
            return replaced(known, old, spare.name, spare.host.disk)
        except MemberSetError:
            return None

    def _heal(self) -> None:
        """End all faults; those that were to end by themselves find nothing left to do."""
        self.network.faults = FAULTLESS
        for client in self.clients:
            client.crash()
        if self._changer is not None:
            self._changer.stop()
        longest = max(self.scenario.longest_fault_ns, self.scenario.longest_outage_ns)
        self.world.run_until(self.world.now + 2 * longest)

    def _read_last(self) -> None:
        reader = Client(READER, self._around, lanes=0)
        results: dict[str, ProposerResult] = {}
        for key in self.scenario.keys:
            reader.read(key, LAST_READ_LIMIT_NS, lambda result, key=key: results.update({key: result}))
        self.world.run_until(self.world.now + LAST_READ_LIMIT_NS)
        for key in self.scenario.keys:
            result = results.get(key)
            if isinstance(result, Committed):
                self.referee.histories[key].last_read(result.value)
            else:
                self.referee.violations.append(f"{key}: could not be read after all faults")


def with_member_changes(scenario: Scenario, spares: int) -> Scenario:
    """The scenario with spare machines that are let into the member set while all else goes on."""
    weights = (*scenario.fault_weights, ("member_change", MEMBER_CHANGE_WEIGHT))
    return replace(scenario, spares=spares, fault_weights=weights)


def run_seed(scenario: Scenario, seed: int) -> RunResult:
    """Run one seed of the scenario."""
    return Simulation(scenario, seed).run()


def first_violation(scenario: Scenario, seeds: range) -> tuple[int, list[str]] | None:
    """Return the first seed with violations, and these."""
    for seed in seeds:
        violations = run_seed(scenario, seed).violations
        if violations:
            return seed, violations
    return None


def main(arguments: list[str] | None = None) -> int:
    """Run seeds and print the figures."""
    parser = argparse.ArgumentParser(prog="python -m iristrack.simulation.register", description=__doc__)
    parser.add_argument("--seeds", type=int, default=100, help="number of seeds to run")
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--acceptors", type=int, default=3)
    parser.add_argument("--spares", type=int, default=0, help="machines that are let into the member set")
    options = parser.parse_args(arguments)
    scenario = Scenario(acceptors=options.acceptors)
    if options.spares:
        scenario = with_member_changes(scenario, options.spares)
    figures: Counter[str] = Counter()
    virtual_ns = 0
    violations = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        result = run_seed(scenario, seed)
        figures += result.figures
        virtual_ns += result.virtual_ns
        violations += len(result.violations)
        for violation in result.violations:
            print(f"violation seed={seed} {violation}", file=sys.stderr)
    print(_line(options.seeds, figures, virtual_ns, violations))
    return 1 if violations else 0


def _line(seeds: int, figures: Counter[str], virtual_ns: int, violations: int) -> str:
    faults = sum(count for name, count in figures.items() if name.startswith("faults_"))
    parts = [f"seeds={seeds}", f"faults={faults}", f"virtual_hours={virtual_ns / (3600 * SECOND):.3f}"]
    parts.extend(f"{name}={figures[name]}" for name in sorted(figures))
    parts.append(f"violations={violations}")
    return " ".join(parts)


if __name__ == "__main__":
    sys.exit(main())
