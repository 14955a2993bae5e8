"""Simulation of a fleet's membership and relays in virtual time.

    python -m iristrack.simulation.fleet --sidecars 100 --seeds 20

starts so many hollow sidecars and a few core members a seed, measures them while all is calm, then crashes, freezes
and cuts, and prints one key=value line of figures; the exit code is 1 where the referee found a violation. Bytes and
messages are those of one process in a second of the calm time.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.membership.messages import Heartbeat
from iristrack.relay.topics import CONFIGURATION
from iristrack.simulation.fleet_network import FleetNetwork, NetworkSettings, encode, fleet_registry
from iristrack.simulation.fleet_nodes import CoreMember, Deciders, Process, Sidecar, Surroundings
from iristrack.simulation.fleet_referee import IN_FORCE_NS, LOOK_NS, FleetReferee
from iristrack.simulation.register_events import MILLISECOND, SECOND, EventQueue
from iristrack.wire.codec import FrameReader
from iristrack.wire.messages import Update

START_SPREAD_NS = 300 * MILLISECOND
CALM_NS = 5 * SECOND
AFTER_NS = 8 * SECOND  # from the last faults' end to the last look
SHORTEST_FAULT_NS = 50 * MILLISECOND
POWER_SHARE = 0.5  # of the crashes, those that take the machine's power
RACK = 3
CORE_REST_NS = 6 * SECOND  # between the return of one core member and the loss of another
GONE_POLL_NS = 10 * MILLISECOND
GONE_LIMIT_NS = 10 * SECOND


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of run; times are virtual nanoseconds."""

    sidecars: int = 100
    core: int = 5
    zones: int = 7
    regions: int = 3
    settle_ns: int = 8 * SECOND  # from the start to the measurements
    calm_publications: int = 5  # where 0, nothing is measured
    calm_crashes: int = 2
    faults_ns: int = 20 * SECOND
    fault_interval_ns: int = 400 * MILLISECOND
    publish_interval_ns: int = 700 * MILLISECOND
    longest_fault_ns: int = 8 * SECOND
    configuration_bytes: int = 20_000
    fault_weights: tuple[tuple[str, int], ...] = (
        ("crash", 3),
        ("rack", 1),
        ("freeze", 3),
        ("cut_one_way", 4),
        ("cut_relay", 3),
        ("deafen", 2),
        ("core_crash", 1),
    )
    network: NetworkSettings = field(default_factory=NetworkSettings)
    deciders: Deciders = field(default_factory=Deciders)


@dataclass(slots=True)
class RunResult:
    """What one seed gave; times in milliseconds."""

    violations: list[str] = field(default_factory=list)
    figures: Counter[str] = field(default_factory=Counter)
    in_force_ms: list[float] = field(default_factory=list)
    settled_ms: list[float] = field(default_factory=list)  # after the loss of one sidecar
    zone_settled_ms: list[float] = field(default_factory=list)  # after the loss of all of a zone at once
    rates: dict[str, float] = field(default_factory=dict)  # in a second of the calm time, by kind of process


class FleetSimulation:
    """One run of one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """All processes start within `START_SPREAD_NS`."""
        self.scenario = scenario
        self.result = RunResult()
        self.queue = EventQueue()
        self.rng = random.Random(seed)
        self.network = FleetNetwork(self.queue, self.rng, scenario.network)
        self._sequence = 0
        self._faulty = False
        self._waiting: dict[int, tuple[int, set[str]]] = {}  # sequence: when published, who is still without
        core = tuple(f"core-{index}:7640" for index in range(scenario.core))
        around = Surroundings(self.queue, self.network, self.rng, core, scenario.deciders, self._learned)
        self.core = [CoreMember(around, f"core-{i}", *self._place(i)) for i in range(scenario.core)]
        self.sidecars = [Sidecar(around, f"edge-{i}", *self._place(i)) for i in range(scenario.sidecars)]
        self.processes: list[Process] = [*self.core, *self.sidecars]
        self.referee = FleetReferee(self.processes)
        for process in self.processes:
            self.queue.add(self.rng.randrange(START_SPREAD_NS), lambda p=process: self._start(p))

    def run(self) -> RunResult:
        """Measure while all is calm, then judge through faults and after them."""
        self._look()
        self.queue.run_until(self.scenario.settle_ns)
        if self.scenario.calm_publications:
            self._measure_calm()
        for _ in range(self.scenario.calm_crashes):
            self._measure_loss([self.rng.choice(self.sidecars)], self.result.settled_ms)
        if self.scenario.calm_crashes and self.scenario.zones > 1:
            zone = self.rng.choice(self.sidecars).zone
            lost = [p for p in self.sidecars if p.zone == zone]
            self._measure_loss(lost, self.result.zone_settled_ms)
        self._faulty = True
        end = self.queue.now + self.scenario.faults_ns
        self._publish_until(end + AFTER_NS)
        self._fault_until(end)
        self.queue.run_until(end + self.scenario.longest_fault_ns + AFTER_NS)
        self.result.violations = self.referee.violations
        self.result.figures += self.referee.checks
        return self.result

    def _place(self, index: int) -> tuple[str, str]:
        zone = index % self.scenario.zones
        return f"zone-{zone}", f"region-{zone % self.scenario.regions}"

    # ---- measurements

    def _measure_calm(self) -> None:
        """Rates of a quiet time, then times from publication to force."""
        counters = (self.network.sent_bytes, self.network.sent_messages, self.network.far_bytes)
        before = [Counter(counter) for counter in counters]
        begin = self.queue.now
        self.queue.run_until(begin + CALM_NS)
        seconds = (self.queue.now - begin) / SECOND
        for name, counter, old in zip(("bytes", "messages", "far_bytes"), counters, before, strict=True):
            for kind, processes in (("sidecar", self.sidecars), ("core", self.core)):
                rates = [(counter[p.node] - old[p.node]) / seconds for p in processes]
                self.result.rates[f"{kind}_{name}_mean"] = statistics.mean(rates)
                self.result.rates[f"{kind}_{name}_most"] = max(rates)
        for _ in range(self.scenario.calm_publications):
            self._publish()
            self.queue.run_until(self.queue.now + SECOND + self.rng.randrange(SECOND))

    def _measure_loss(self, victims: list[Sidecar], times_ms: list[float]) -> None:
        """The time from a loss of power until nobody takes one of them for alive; they return afterwards."""
        began = self.queue.now
        for victim in victims:
            self._crash(victim, power=True)
        while self.queue.now - began < GONE_LIMIT_NS and self._is_any_held_alive(victims):
            self.queue.run_until(self.queue.now + GONE_POLL_NS)
        times_ms.append((self.queue.now - began) / MILLISECOND)
        for victim in victims:
            self._start(victim)
        self.queue.run_until(self.queue.now + self.scenario.settle_ns)

    def _is_any_held_alive(self, victims: list[Sidecar]) -> bool:
        records = (p.view.get(victim.node) for p in self.processes if p.up for victim in victims)
        return any(record is not None and record.alive for record in records)

    def _publish(self) -> None:
        """Publish the next configuration at any core member that runs, to be judged later."""
        running = [p for p in self.core if self.referee.sound_ns(p, self.queue.now) > SECOND]
        if not running:
            return
        self._sequence += 1
        sequence, now = self._sequence, self.queue.now
        without = {p.node for p in self.sidecars if self.referee.sound_ns(p, now) > SECOND}
        self._waiting[sequence] = (now, without)
        value = self.rng.randbytes(self.scenario.configuration_bytes)
        self.rng.choice(running).publish(Update(CONFIGURATION, sequence, value))
        self.queue.add(
            now + IN_FORCE_NS,
            lambda: self.referee.judge_update(CONFIGURATION, sequence, now, self.queue.now),
        )

    def _learned(self, process: Process, update: Update) -> None:
        published_at, without = self._waiting.get(update.sequence, (0, set()))
        if process.node in without:
            without.discard(process.node)
            if not without and not self._faulty:
                self.result.in_force_ms.append((self.queue.now - published_at) / MILLISECOND)

    def _look(self) -> None:
        self.referee.look(self.queue.now)
        direct = sum(p.freshness.direct is not None for p in self.sidecars if p.up)
        figures = self.result.figures
        figures["most_direct"] = max(figures["most_direct"], direct)
        self.queue.add(self.queue.now + LOOK_NS, self._look)

    # ---- faults

    def _publish_until(self, end: int) -> None:
        self._publish()
        if self.queue.now < end:
            self.queue.add(
                self.queue.now + self.scenario.publish_interval_ns, lambda: self._publish_until(end)
            )

    def _fault_until(self, end: int) -> None:
        kinds = [kind for kind, _ in self.scenario.fault_weights]
        kind = self.rng.choices(kinds, [weight for _, weight in self.scenario.fault_weights])[0]
        if getattr(self, f"_inject_{kind}")():
            self.result.figures[f"faults_{kind}"] += 1
        pause = self.rng.randint(1, 2 * self.scenario.fault_interval_ns)
        if self.queue.now + pause < end:
            self.queue.add(self.queue.now + pause, lambda: self._fault_until(end))

    def _later(self, event: Callable[[], None]) -> None:
        duration = self.rng.randint(SHORTEST_FAULT_NS, self.scenario.longest_fault_ns)
        self.queue.add(self.queue.now + duration, event)

    def _start(self, process: Process) -> None:
        if process.up:
            return
        process.start()
        self.network.flush_mended()
        self.referee.came_up(process.node, self.queue.now)

    def _crash(self, process: Process, power: bool) -> None:
        process.stop(power)
        self.referee.went_down(process, self.queue.now)

    def _choose(self) -> Sidecar | None:
        running = [p for p in self.sidecars if p.up and not p.frozen]
        return self.rng.choice(running) if len(running) > self.scenario.sidecars // 2 else None

    def _inject_crash(self) -> bool:
        victim = self._choose()
        if victim is None:
            return False
        self._crash(victim, power=self.rng.random() < POWER_SHARE)
        self._later(lambda: self._start(victim))
        return True

    def _inject_rack(self) -> bool:
        """Several machines of one zone lose power at once."""
        zone = self.rng.choice(self.sidecars).zone
        running = [p for p in self.sidecars if p.zone == zone and p.up and not p.frozen]
        for victim in self.rng.sample(running, min(RACK, len(running))):
            self._crash(victim, power=True)
            self._later(lambda v=victim: self._start(v))
        return True

    def _inject_core_crash(self) -> bool:
        """One core member ends, and none while another is down: a majority stays."""
        if len(self.core) < 3 or any(
            self.referee.sound_ns(p, self.queue.now) < CORE_REST_NS for p in self.core
        ):
            return False
        victim = self.rng.choice(self.core)
        self._crash(victim, power=self.rng.random() < POWER_SHARE)
        self._later(lambda: self._start(victim))
        return True

    def _inject_freeze(self) -> bool:
        """One to three processes stand still together."""
        for _ in range(self.rng.randint(1, 3)):
            victim = self._choose()
            if victim is not None:
                victim.freeze()
                self.referee.began(victim.node)
                self._later(lambda v=victim: self._thaw(v))
        return True

    def _thaw(self, victim: Process) -> None:
        if victim.frozen:
            victim.thaw()
        self.referee.ended(victim.node, self.queue.now)

    def _inject_cut_one_way(self) -> bool:
        """One way between two sidecars, which leaves both in touch."""
        first, second = self.rng.sample(self.sidecars, 2)
        self._cut([(first.node, second.node)], ())
        return True

    def _inject_cut_relay(self) -> bool:
        """A sidecar that others follow loses the core, silently, in one direction or both."""
        followed = {p.freshness.push for p in self.sidecars if p.up}
        relays = [p for p in self.sidecars if p.up and p.address in followed]
        if not relays:
            return False
        relay = self.rng.choice(relays)
        down = [(p.node, relay.node) for p in self.core]
        up = [(relay.node, p.node) for p in self.core]
        self._cut(self.rng.choice((down, up, down + up)), (relay.node,))
        return True

    def _inject_deafen(self) -> bool:
        """Nothing reaches one sidecar any more, while it is heard by all."""
        victim = self._choose()
        if victim is None:
            return False
        self._cut([(p.node, victim.node) for p in self.processes if p is not victim], (victim.node,))
        return True

    def _cut(self, pairs: list[tuple[str, str]], hurt: tuple[str, ...]) -> None:
        for node in hurt:
            self.referee.began(node)
        for pair in pairs:
            self.network.cut(*pair)
        self._later(lambda: self._mend(pairs, hurt))

    def _mend(self, pairs: list[tuple[str, str]], hurt: tuple[str, ...]) -> None:
        for pair in pairs:
            self.network.mend(*pair)
        for node in hurt:
            self.referee.ended(node, self.queue.now)


def run_seed(scenario: Scenario, seed: int) -> RunResult:
    """Run one seed of the scenario."""
    return FleetSimulation(scenario, seed).run()


def first_violation(scenario: Scenario, seeds: range) -> tuple[int, list[str]] | None:
    """Return the first seed with violations, and these."""
    for seed in seeds:
        violations = run_seed(scenario, seed).violations
        if violations:
            return seed, violations
    return None


def heartbeat_cost_us(fleet: FleetSimulation, rounds: int = 2000) -> float:
    """Processor time (microseconds) to make, encode, decode and judge one heartbeat between member and watcher."""
    sidecar = fleet.sidecars[0]
    reader = FrameReader(fleet_registry())
    node = sidecar.watcher.watched[0]
    begin = time.process_time_ns()
    for count in range(rounds):
        heartbeat = Heartbeat(node, "1", count, (), 0, 0, count, 0, sidecar.view.digest)
        for message in reader.feed(encode(heartbeat)):
            sidecar.view.merge(message.changes, 0, node)
            sidecar.watcher.on_heartbeat(message.node, message.incarnation, 0)
    return (time.process_time_ns() - begin) / rounds / 1000


def main(arguments: list[str] | None = None) -> int:
    """Run seeds and print the figures."""
    parser = argparse.ArgumentParser(prog="python -m iristrack.simulation.fleet", description=__doc__)
    parser.add_argument("--sidecars", type=int, default=100)
    parser.add_argument("--core", type=int, default=5, help="core members")
    parser.add_argument("--zones", type=int, default=7)
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds to run")
    parser.add_argument("--first-seed", type=int, default=0)
    options = parser.parse_args(arguments)
    scenario = Scenario(sidecars=options.sidecars, core=options.core, zones=options.zones)
    results = []
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        fleet = FleetSimulation(scenario, seed)
        results.append(fleet.run())
        for violation in results[-1].violations:
            print(f"violation seed={seed} {violation}", file=sys.stderr)
    print(_line(options, results, heartbeat_cost_us(fleet)))
    return 1 if any(result.violations for result in results) else 0


def _line(options: argparse.Namespace, results: list[RunResult], cost_us: float) -> str:
    figures: Counter[str] = Counter()
    parts = [
        f"sidecars={options.sidecars}",
        f"core={options.core}",
        f"zones={options.zones}",
        f"seeds={options.seeds}",
    ]
    for name in ("in_force_ms", "settled_ms", "zone_settled_ms"):
        times = [ms for result in results for ms in getattr(result, name)] or [0]
        parts += [f"{name}_median={statistics.median(times):.0f}", f"{name}_worst={max(times):.0f}"]
    for name in results[0].rates:
        rates = [result.rates[name] for result in results]
        overall = max(rates) if name.endswith("most") else statistics.mean(rates)
        parts.append(f"{name}_per_s={overall:.0f}")
    parts.append(f"heartbeat_cost_us={cost_us:.0f}")
    most_direct = max(result.figures.pop("most_direct", 0) for result in results)
    for result in results:
        figures += result.figures
    parts += [f"most_direct={most_direct}", *(f"{name}={figures[name]}" for name in sorted(figures))]
    return " ".join([*parts, f"violations={sum(len(result.violations) for result in results)}"])


if __name__ == "__main__":
    sys.exit(main())
