"""Troubles of a soak: drawn from a seed, in series, each in a thread of its own, so that they overlap."""

from __future__ import annotations

import random
import select
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.standin.documents import Document, amendment_of, configuration, route, service, tenant
from iristrack.standin.links import Links
from iristrack.standin.machine import Machine
from iristrack.standin.model_server import ModelServer
from iristrack.standin.operator import Call, call_once
from iristrack.standin.soak.traffic import HOST, KEY, MODEL, Kind
from iristrack.standin.system import System
from iristrack.standin.waiting import NeverCame, wait_until

CHAT = "chat"
EXIT_PATIENCE_S = 30.0
FEWEST_SERVERS = 2  # that go on while others leave or are down
LEAVING_S = 1.0  # a server that leaves is on the list as draining for so long
CUT_S = (0.5, 1.5, 4.0)
CLOSINGS = ("nothing", "core_killed", "all_killed", "all_killed_and_a_disk_lost")
SERIES = (1, 1, 2, 4)  # signals in a row
SERIES_PAUSE_S = 0.05
ROUTE_KINDS = {
    Kind.PLAIN: "unsafe",
    Kind.SAFE: "safe",
    Kind.STREAM: "streaming",
    Kind.RESUMABLE: "streaming",
}


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a machine or a server was in unplanned trouble; monotonic seconds."""

    name: str
    kind: str
    begun: float
    ended: float


@dataclass
class History:
    """What was done to the system, and what was acknowledged."""

    disturbances: list[Disturbance] = field(default_factory=list)
    named: dict[int, float] = field(default_factory=dict)  # revision of weights: when it was acknowledged
    revision: int = 1  # of the newest acknowledged configuration
    findings: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    core_back_at: float = 0.0  # when the core was there again after all of it was killed
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add_disturbance(self, disturbance: Disturbance) -> None:
        """A trouble has ended."""
        with self.lock:
            self.disturbances.append(disturbance)

    def add_finding(self, text: str) -> None:
        """Something that must not be."""
        with self.lock:
            self.findings.append(text)

    def count(self, kind: str) -> None:
        """One more trouble of a kind."""
        with self.lock:
            self.counts[kind] = self.counts.get(kind, 0) + 1

    def disturbed(self, name: str, begun: float, ended: float) -> bool:
        """Was it in unplanned trouble at any time between these?"""
        with self.lock:
            return any(s.name == name and s.begun <= ended and begun <= s.ended for s in self.disturbances)


def document(revision: int) -> Document:
    """The configuration with a route for each kind of request, and one that names the revision."""
    rows = [_route(kind) for kind in Kind]
    rows.append(route(HOST, f"/v{revision}/", CHAT, "safe", public=True))
    return configuration(revision, rows, [service(CHAT, MODEL)], [tenant("north", KEY)])


def _route(kind: Kind) -> Document:
    resumable = kind is Kind.RESUMABLE
    return route(HOST, f"/{kind.value}/", CHAT, ROUTE_KINDS[kind], timeout_ms=15_000, resumable=resumable)


class Troubles:
    """Draws and brings about the troubles of one soak."""

    def __init__(self, system: System, links: Links, history: History, seed: int) -> None:
        """Nothing happens before `run`."""
        self.system = system
        self.links = links
        self.history = history
        self.rng = random.Random(f"{seed}/troubles")
        self._busy = {machine.name: threading.Lock() for machine in system.machines}
        self._core_down = threading.Semaphore(1)  # of three; one more would end all acknowledgements
        self._operator = threading.Lock()  # one change after the other
        self._taken: set[str] = set()  # instance ids of servers that leave or have left
        self._threads: list[threading.Thread] = []
        self._kinds: dict[str, tuple[int, Callable[[random.Random], None]]] = {
            "hup": (6, self._hup),
            "terminate": (5, self._terminate),
            "kill": (3, self._kill),
            "freeze": (3, self._freeze),
            "configure": (5, self._configure),
            "name": (3, self._name_version),
            "exchange": (3, self._exchange_server),
            "crash": (1, self._crash_server),
            "lose_disk": (2, self._lose_disk),
            "cut": (3, self._cut),
        }

    def run(self, for_s: float, gap_s: float) -> None:
        """Bring troubles about for so long, `gap_s` apart on average; return once all have ended."""
        until = time.monotonic() + for_s
        names = list(self._kinds)
        weights = [self._kinds[name][0] for name in names]
        while time.monotonic() < until:
            (name,) = self.rng.choices(names, weights)
            _pause(self.rng.uniform(0, 2 * gap_s))
            draw = random.Random(self.rng.random())
            thread = threading.Thread(target=self._one, args=(name, draw), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join(2 * EXIT_PATIENCE_S)

    def close(self) -> None:
        """End with one of the closing faults, right after a configuration was acknowledged."""
        kind = self.rng.choice(CLOSINGS)
        self.history.count(f"closing_{kind}")
        self._configure(self.rng)
        if kind == CLOSINGS[0]:
            return
        begun = time.monotonic()
        killed = self.system.cores if kind == "core_killed" else self.system.machines
        for machine in killed:
            self._look(machine)
            machine.send_signal(signal.SIGKILL)
        for machine in killed:
            machine.kill()
        if kind == "all_killed_and_a_disk_lost":
            self.rng.choice(self.system.cores).wipe_disk()
        for machine in killed:
            machine.change_settings(bootstrap=False)
            machine.start()
        self.system.wait_listening()
        ended = self.history.core_back_at = time.monotonic()
        for machine in killed:
            self.history.add_disturbance(Disturbance(machine.name, kind, begun, ended))

    def _one(self, name: str, draw: random.Random) -> None:
        self.history.count(name)
        try:
            self._kinds[name][1](draw)
        except (NeverCame, OSError) as fault:
            self.history.add_finding(f"{name}: {fault}")

    # ---- processes

    def _machine(self, draw: random.Random) -> Machine:
        return draw.choice(self.system.edges if draw.random() < 0.7 else self.system.cores)

    def _hup(self, draw: random.Random) -> None:
        """Signals in a row, also at a process that is being stopped."""
        machine = self._machine(draw)
        for _ in range(draw.choice(SERIES)):
            process = machine.process
            if process is not None and process.poll() is None and machine.handles_signals:
                process.send_signal(signal.SIGHUP)
            _pause(SERIES_PAUSE_S)

    def _alone(self, machine: Machine, act: Callable[[], None]) -> None:
        """Act on a machine that nothing else is being done to, and on one core machine at a time."""
        if not self._busy[machine.name].acquire(blocking=False):
            return
        try:
            if machine.machine_class != "core":
                act()
            elif self._core_down.acquire(blocking=False):
                try:
                    act()
                finally:
                    self._core_down.release()
        finally:
            self._busy[machine.name].release()

    def _terminate(self, draw: random.Random) -> None:
        machine = self._machine(draw)
        signals = draw.choice(SERIES)

        def act() -> None:
            if not wait_until(lambda: machine.handles_signals, f"the start of {machine.name}"):
                return
            process = machine.process
            for _ in range(signals):
                if process.poll() is None:
                    process.send_signal(signal.SIGTERM)
                _pause(SERIES_PAUSE_S)
            status = machine.wait_exit(EXIT_PATIENCE_S)
            if status != 0:
                self.history.add_finding(f"{machine.name} ended with {status} at SIGTERM")
            self._start(machine)

        self._alone(machine, act)

    def _kill(self, draw: random.Random) -> None:
        machine = self._machine(draw)
        down_s = draw.choice((0.0, 0.3, 1.0))

        def act() -> None:
            begun = time.monotonic()
            self._look(machine)
            machine.kill()
            _pause(down_s)
            self._start(machine)
            self.history.add_disturbance(Disturbance(machine.name, "kill", begun, time.monotonic()))

        self._alone(machine, act)

    def _freeze(self, draw: random.Random) -> None:
        machine = self._machine(draw)
        for_s = draw.choice((0.2, 1.0, 2.5))

        def act() -> None:
            begun = time.monotonic()
            machine.send_signal(signal.SIGSTOP)
            _pause(for_s)
            machine.send_signal(signal.SIGCONT)
            self.history.add_disturbance(Disturbance(machine.name, "freeze", begun, time.monotonic()))

        self._alone(machine, act)

    def _lose_disk(self, draw: random.Random) -> None:
        """A core machine loses power and its disk, and counts as lost until it votes again."""
        machine = draw.choice(self.system.cores)
        down_s = draw.choice((0.0, 1.0))

        def act() -> None:
            self._look(machine)
            machine.kill()
            machine.wipe_disk()
            _pause(down_s)
            self._start(machine)
            wait_until(lambda: votes(machine), f"the vote of {machine.name}", EXIT_PATIENCE_S)

        self._alone(machine, act)

    def _cut(self, draw: random.Random) -> None:
        """Nothing passes between a machine and some or all of the core for a while."""
        machine = self._machine(draw)
        others = [core for core in self.system.cores if core is not machine]
        cut_from = draw.choice([others, others[:1], others[-1:]])
        for_s = draw.choice(CUT_S)

        def act() -> None:
            begun = time.monotonic()
            self.links.cut_off(machine, cut_from)
            _pause(for_s)
            self.links.cut_off(machine, cut_from, is_cut=False)
            self.history.add_disturbance(Disturbance(machine.name, "cut", begun, time.monotonic()))

        self._alone(machine, act)

    def _start(self, machine: Machine) -> None:
        """Start it again, not for the first time, and wait until it listens."""
        machine.change_settings(bootstrap=False)
        machine.start()
        if machine.machine_class == "core":
            self.system.wait_listening([machine])

    def _look(self, machine: Machine) -> None:
        if not machine.running:
            self.history.add_finding(f"{machine.name} has ended by itself with {machine.process.returncode}")

    # ---- the operator

    def _configure(self, draw: random.Random) -> None:
        with self._operator:
            base = self.history.revision
            revision = base + draw.choice((1, 1, 3))
            operator = self.system.operator
            if draw.random() < 0.5:
                answer = operator.amend(amendment_of(document(base), document(revision)), base)
            else:
                answer = operator.replace(document(revision), base)
            if answer.status != 200:
                self.history.add_finding(f"configuration {revision} on {base} was answered {answer.status}")
            self.history.revision = revision

    def _name_version(self, draw: random.Random) -> None:
        with self._operator:
            revision = max(self.history.named, default=1) + 1
            answer = self.system.operator.name_version(MODEL, revision)
            if answer.status != 200:
                self.history.add_finding(f"weights {revision} were answered {answer.status}")
            self.history.named[revision] = time.monotonic()

    # ---- servers

    def _take_server(self, draw: random.Random) -> ModelServer | None:
        """One that is to leave or crash; None where too few would go on."""
        sound = [s for s in self.system.model_servers if s.instance_id not in self._taken]
        if len(sound) <= FEWEST_SERVERS:
            return None
        chosen = draw.choice(sound)
        self._taken.add(chosen.instance_id)
        return chosen

    def _exchange_server(self, draw: random.Random) -> None:
        """A new one comes, an old one drains and leaves."""
        with self._operator:
            leaving = self._take_server(draw)
            if leaving is None:
                return
            newest = max(self.history.named, default=1)
            fresh = self.system.new_model_server(CHAT, MODEL, revision=newest)
            self.system.platform.add(fresh)
            leaving.draining = True
        _pause(LEAVING_S + draw.random())
        wait_until(lambda: leaving.weights.active == 0, f"the last answer of {leaving.instance_id}")
        self.system.platform.remove(leaving)
        leaving.stop()

    def _crash_server(self, draw: random.Random) -> None:
        """One ends without a word and is on the list for a while; another comes with the weights that it had."""
        with self._operator:
            lost = self._take_server(draw)
        if lost is None:
            return
        begun = time.monotonic()
        lost.stop()
        _pause(draw.uniform(0.5, 7.0))
        back = self.system.new_model_server(CHAT, MODEL, revision=lost.weights.revision)
        self.system.platform.add(back)
        self.system.platform.remove(lost)
        self.history.add_disturbance(Disturbance(lost.instance_id, "crash", begun, float("inf")))


def votes(core: Machine) -> bool:
    """Does a core machine say that it votes?"""
    try:
        answer = call_once(core.control, Call("GET", "/system/status"))
    except OSError:
        return False
    return answer.status == 200 and answer.json["voting"]


def _pause(seconds: float) -> None:
    """Let time pass between two troubles."""
    select.select([], [], [], seconds)
