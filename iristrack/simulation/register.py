"""Simulation of the compare-and-set registers in virtual time.

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

from iristrack.register.effects import Effect, SendTo
from iristrack.register.identity import ProposerIdentity
from iristrack.register.member_set import MemberSetError, added, replaced
from iristrack.register.proposer import Committed, Proposer
from iristrack.simulation.register_events import (
    FAULTLESS,
    MILLISECOND,
    SECOND,
    EventQueue,
    Network,
    NetworkFaults,
)
from iristrack.simulation.register_nodes import (
    SLOW_SYNC_NS,
    USUAL_SYNC_NS,
    AcceptorHost,
    Client,
    MemberChanger,
    Planted,
    Surroundings,
    read_only,
)
from iristrack.simulation.register_referee import Referee
from iristrack.wire.messages import FOUNDED, MembersValue

HEALING_NS = 10 * SECOND
LAST_READ_LIMIT_NS = 10 * SECOND
READER = "reader"
STALLED_SHARE = 0.5
MEMBER_CHANGE_WEIGHT = 8  # among the faults, where there are spare machines
ADDED_SHARE = 0.3  # of the changes of the member set; the others replace a member
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
    planted: Planted = field(default_factory=Planted)


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
        self.queue = EventQueue()
        self._rng = random.Random(seed)
        self.network = Network(self.queue, self._rng, scenario.network, self.figures)
        members = tuple(f"core{index}" for index in range(scenario.acceptors))
        if scenario.spare_core_links:
            self.network.spare_links_among(members)
        self.referee = Referee(scenario.keys)
        self._around = Surroundings(
            self.queue,
            self.network,
            self._rng,
            self.figures,
            MembersValue(FOUNDED, members),
            scenario.keys,
            self.referee,
            scenario.planted,
            changing_members=scenario.spares > 0,
        )
        spares = [f"spare{index}" for index in range(scenario.spares)]
        self.acceptors = [AcceptorHost(name, self._around) for name in (*members, *spares)]
        self._changer = MemberChanger("changer", self._around) if spares else None
        self.clients = [Client(f"proposer{index}", self._around) for index in range(scenario.clients)]
        self._kinds = [kind for kind, _ in scenario.fault_weights]
        self._weights = [weight for _, weight in scenario.fault_weights]
        self._cuts: list[tuple[str, str]] = []

    def run(self) -> RunResult:
        """Run through the faults, heal everything, and judge the last reads."""
        self._schedule_fault()
        self.queue.run_until(self.scenario.duration_ns)
        self._heal()
        self.queue.run_until(self.queue.now + HEALING_NS)
        for key in self.scenario.keys:
            self._read_last(key)
        return RunResult(self.referee.violations, self.figures, self.queue.now)

    def _schedule_fault(self) -> None:
        pause = self._rng.randint(1, 2 * self.scenario.fault_interval_ns)
        self.queue.add(self.queue.now + pause, self._inject)

    def _inject(self) -> None:
        if self.queue.now >= self.scenario.duration_ns:
            return
        kind = self._rng.choices(self._kinds, self._weights)[0]
        if getattr(self, f"_inject_{kind}")():
            self.figures[f"faults_{kind}"] += 1
        self._schedule_fault()

    def _later(self, action: Callable[[], None]) -> None:
        pause = self._rng.randint(1, self.scenario.longest_fault_ns)
        self.queue.add(self.queue.now + pause, action)

    def _start_later(self, host: AcceptorHost) -> None:
        pause = self._rng.randint(1, self.scenario.longest_outage_ns)
        self.queue.add(self.queue.now + pause, lambda: self._start_if_down(host))

    def _choose_running(self) -> AcceptorHost | None:
        running = [host for host in self.acceptors if host.up]
        return self._rng.choice(running) if running else None

    def _start_if_down(self, host: AcceptorHost) -> None:
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
        members = self._around.newest_set().members
        unrecovered = sum(host.name in members and not host.disk.incarnation for host in self.acceptors)
        changing = self._changer is not None and self._changer.may_change()
        if unrecovered + changing >= (len(members) - 1) // 2:
            return False
        host = self._choose_running()
        if host is None or host.name not in members:
            return False
        host.wipe()
        self._start_later(host)
        return True

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
        """Hold back, each for a time of its own, about half of the links from clients to acceptors."""
        for client in self.clients:
            for host in self.acceptors:
                if self._rng.random() < STALLED_SHARE:
                    until = self.queue.now + self._rng.randint(1, self.scenario.longest_fault_ns)
                    self.network.stall(client.name, host.name, until)
        return True

    def _inject_stall_and_wipe(self) -> bool:
        """Stall links, and take a disk while answers to what was sent before are still under way."""
        self._inject_stall()
        pause = self._rng.randint(1, WIPE_AFTER_STALL_NS)
        self.queue.add(self.queue.now + pause, self._inject_wipe)
        return True

    def _inject_slow_disk(self) -> bool:
        host = self._rng.choice(self.acceptors)
        host.sync_ns = SLOW_SYNC_NS
        self._later(lambda: setattr(host, "sync_ns", USUAL_SYNC_NS))
        return True

    def _inject_refused_writes(self) -> bool:
        host = self._choose_running()
        if host is None or not host.disk.incarnation:
            return False
        host.refusing_writes = True
        self._later(lambda: self._restart_refusing(host))
        return True

    def _restart_refusing(self, host: AcceptorHost) -> None:
        if host.up and host.refusing_writes:
            host.crash()
            host.start()

    def _inject_client_crash(self) -> bool:
        self._rng.choice(self.clients).restart()
        return True

    def _inject_member_change(self) -> bool:
        """Let a spare machine in, where all members but the one it replaces could vote."""
        if self._changer is None:
            return False
        known = self._around.newest_set()
        unrecovered = [h.name for h in self.acceptors if h.name in known.members and not h.disk.incarnation]
        spares = [host.name for host in self.acceptors if host.up and host.name not in known.members]
        if not spares or len(set(unrecovered) - {known.joining}) >= (len(known.members) - 1) // 2:
            return False
        proposed = self._draw_change(known, self._rng.choice(spares))
        return proposed is not None and self._changer.begin(known, proposed)

    def _draw_change(self, known: MembersValue, spare: str) -> MembersValue | None:
        try:
            if self._rng.random() < ADDED_SHARE and len(known.members) < self.scenario.acceptors + 2:
                return added(known, spare)
            return replaced(known, known.joining or self._rng.choice(known.members), spare)
        except MemberSetError:
            return None

    def _heal(self) -> None:
        """End all faults; those that were to end by themselves find nothing left to do."""
        self.network.faults = FAULTLESS
        for client in self.clients:
            client.stop()
        if self._changer is not None:
            self._changer.stop()
        longest = max(self.scenario.longest_fault_ns, self.scenario.longest_outage_ns)
        self.queue.run_until(self.queue.now + 2 * longest)

    def _read_last(self, key: str) -> None:
        deadline = self.queue.now + LAST_READ_LIMIT_NS
        proposer = Proposer(
            ProposerIdentity(f"{READER}-{key}"),
            key,
            self._around.newest_set(),
            read_only,
            self._rng,
            deadline,
        )
        self.network.attach(READER, lambda _, message: self._perform_read(self._answered(proposer, message)))
        self._perform_read(proposer.start(self.queue.now))
        while proposer.result is None and self.queue.now < deadline:
            self.queue.run_until(self.queue.now + 100 * MILLISECOND)
            self._perform_read(proposer.on_timer(self.queue.now))
        if isinstance(proposer.result, Committed):
            self.referee.histories[key].last_read(proposer.result.value)
        else:
            self.referee.violations.append(f"{key}: could not be read after all faults")

    def _answered(self, proposer: Proposer, message: object) -> list[Effect]:
        if isinstance(message, MembersValue):
            return proposer.use(message, self.queue.now)
        if message.members < proposer.member_sequence:
            self.network.send(READER, message.acceptor, self._around.newest_set())
        return proposer.handle(message, self.queue.now)

    def _perform_read(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self.network.send(READER, effect.member, effect.message)


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
