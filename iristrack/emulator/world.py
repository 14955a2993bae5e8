"""The world: machines, network, discovery, sidecars and terminals on one virtual clock, and a ledger of it all.

This file owns how the parts meet and what each trouble does to them. It must never decide for a sidecar.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from iristrack import interface as mi
from iristrack.emulator import ledger as lg
from iristrack.emulator.clients import Terminals
from iristrack.emulator.discovery import Discovery
from iristrack.emulator.draws import Source, Stream
from iristrack.emulator.events import DISCOVERY, NETWORK, SERVER, TIMER, TROUBLE, Queue
from iristrack.emulator.plan import EPOCH_NS, Plan, ServerPlan, TroublePlan, ns, settings
from iristrack.emulator.referee import Place, Referee
from iristrack.emulator.server import FAULTY, NEVER, SERVED, Job, PoolServer, RepeatMemory
from iristrack.emulator.sidecar import OUTCOMES, Link, Module, Sidecar, deadlines_of, idle_links

SAMPLE_NS = mi.NS_PER_S
MOST_NOTES = 1000
MOST_REPORTS = 64  # that are on their way from one machine
STALE_BY_NS = 10 * mi.NS_PER_S  # how old the table is that a lying discovery tells
GREY_WORK = 0.05  # of a request's work that a grey server spends before it fails it
Maker = Callable[["World", int, int], Module]  # world, sidecar's number, seed


class Machine:
    """A pool server on the network: its state machine, its links, and when it is looked at next."""

    __slots__ = (
        "armed",
        "fell_told",
        "grey",
        "id",
        "links",
        "reported",
        "state",
        "successor",
        "world",
    )

    def __init__(self, world: World, state: PoolServer) -> None:
        self.world = world
        self.state = state
        self.id = state.id
        self.armed = NEVER
        self.links: dict[Link, None] = {}
        self.successor: Machine | None = None  # who has its address now
        self.fell_told = False
        self.grey = 0.0
        self.reported: deque[tuple[int, dict[str, float]]] = deque(maxlen=MOST_REPORTS)

    def arrive(self, job: Job) -> bool:
        """A request is here; false if it is turned away."""
        now = self.world.queue.now
        if self.grey:
            job.work *= 1 if self.world.draws.uniform() >= self.grey else GREY_WORK
        taken = self.state.arrive(now, job)
        self.look()
        return taken

    def cancel(self, job: Job) -> None:
        """Nobody waits for it any more."""
        self.state.cancel(self.world.queue.now, job)
        self.look()

    def accept(self, link: Link) -> bool:
        """A connection comes up."""
        if not self.state.accept(self.world.queue.now):
            return False
        self.links[link] = None
        return True

    def hang_up(self, link: Link) -> None:
        """A connection is closed from the other side."""
        if self.links.pop(link, self) is None:
            self.state.hang_up()

    def look(self) -> None:
        """Carry off what has ended, and be called again when more is due."""
        state = self.state
        if state.done:
            self._deliver(state.advance(self.world.queue.now))
        due = state.next_due
        if due < self.armed:
            self.armed = due
            self.world.queue.at(due, SERVER, self._wake, due)

    def _wake(self, due: int) -> None:
        if due != self.armed:
            return  # an older call; a nearer one is due or has been
        self.armed = NEVER
        self._deliver(self.state.advance(due))
        self.look()

    def _deliver(self, jobs: list[Job]) -> None:
        world = self.world
        now, add = world.queue.now, world.ledger.add
        for job in jobs:
            attempt = job.call
            sidecar = world.sidecars[attempt.taken.ask.sidecar]
            ran = job.verdict == SERVED or job.verdict == FAULTY
            if ran:
                if self.grey and job.spent and job.verdict == SERVED and world.draws.uniform() < self.grey:
                    job.verdict = FAULTY
                number = attempt.taken.ask.number
                add((lg.RAN, now, self.id, number, attempt.taken.id, attempt.number, int(job.keyed)))
                if job.keyed:
                    world.effect(now, number)
            if attempt.out and not self.state.silent and not (sidecar.cut and attempt.server in sidecar.cut):
                delay = world.delay(sidecar.site, self.state.plan.site)
                world.queue.at(now + delay, NETWORK, sidecar.ended, attempt, OUTCOMES[job.verdict])


@dataclass(slots=True)
class Sample:
    """The world at one moment (once a second)."""

    at: int
    ready: int
    held: list[int]
    links: int
    open: int


class World:
    """One day. `run` plays it; everything that may be read afterwards is an attribute."""

    def __init__(self, plan: Plan, make: Maker, keep_ledger: bool = False) -> None:
        """`make(world, number, seed)` gives a sidecar's module."""
        s = plan.scenario
        self.plan = plan
        self.queue = Queue(EPOCH_NS)
        self.deadlines = deadlines_of(self.queue, len(s.classes))
        self.idle_links = idle_links(self.queue)
        self.source = Source(plan.seed)
        self.draws = Stream(self.source.generator("world"))
        self._net = Stream(self.source.generator("network"))
        self.settings = [settings(plan, site) for site in range(len(s.sites))]
        self.ask_for_list = s.discovery.mode == "ask"
        groups: dict[tuple[int, str, int], RepeatMemory] = {}
        self.machines: dict[str, Machine] = {}
        self.order: list[Machine] = []
        places: dict[str, Place] = {}
        for i, own in enumerate(plan.servers):
            self._machine(i, own, groups)
            places[own.id] = Place(s.sites[own.site].name, own.cell)
        self._group_table = groups
        self._spares = self._plan_replacements(places)
        entries = tuple(self.entry(m) for m in self.order)
        spread = ns(float(s.discovery.spread_s))
        self.discovery = Discovery(entries, spread, Stream(self.source.generator("discovery")))
        margin = ns(float(s.network.client_ms) / 1e3)
        self.referee = Referee(self.settings[0], places, margin_ns=margin + mi.NS_PER_MS)
        self.ledger = lg.Ledger((self.referee.read,), keep_ledger)
        network = s.network
        self._same, self._cross = float(network.same_ms) * 1e6, float(network.cross_ms) * 1e6
        self._jitter = float(network.jitter)
        self.same_ns, self.cross_ns = self._same, self._cross
        self.mean_work = {c.name: float(c.work_ms) * 1e6 for c in s.classes}
        self._client = int(float(network.client_ms) * 1e6)
        self.sidecars = [
            Sidecar(self, i, own.site, partial(make, self, i)) for i, own in enumerate(plan.sidecars)
        ]
        self.terminals = Terminals(self, self.source)
        self._calls_until = 0  # when discovery will have handled the calls that wait
        self.saves = False  # do sidecars keep what they learn, once a second and at a planned end?
        self.returns: list[tuple[int, int]] = []  # when which sidecar came back
        self.skew = 0  # what clock steps add to the stamps of machines that start
        self.useful_ns = 0
        self.effects: dict[int, int] = {}
        self.doubled = 0
        self.notes: list[tuple[int, int, str]] = []
        self.samples: list[Sample] = []
        self.spans: list[tuple[str, int, int]] = []  # troubles as they were: kind, begin, end
        reports = s.pool.reports
        self._report_period = int(float(reports.period_ms) * 1e6)
        self._report_delay = int(float(reports.delay_ms) * 1e6)
        self._report_noise = float(reports.noise)
        self._report_fields = reports.fields

    # ---- building

    def _machine(self, number: int, own: ServerPlan, groups: dict) -> Machine:
        memories: list[RepeatMemory | None] = []
        for i, c in enumerate(self.plan.scenario.classes):
            where = {"all": 0, "zone": own.site, "cell": own.cell}[c.group]
            guarded = c.repeat == "guarded"
            memories.append(groups.setdefault((i, c.group, where), RepeatMemory()) if guarded else None)
        draws = Stream(self.source.generator(f"server {own.id}"))
        machine = Machine(self, PoolServer(self.plan, own, memories, draws))
        self.machines[own.id] = machine
        self.order.append(machine)
        return machine

    def _plan_replacements(self, places: dict[str, Place]) -> dict[tuple[int, int], ServerPlan]:
        """Machines that will take over an address, with ids of their own."""
        spares = {}
        for n, trouble in enumerate(self.plan.troubles):
            if trouble.kind != "replace":
                continue
            for i in trouble.servers:
                old = self.plan.servers[i]
                own = ServerPlan(f"{old.id}+{n}", old.site, old.cell, old.model, old.speed, old.weight)
                spares[n, i] = own
                places[own.id] = Place(self.plan.scenario.sites[own.site].name, own.cell)
        return spares

    def entry(self, machine: Machine, state: mi.ServerState = mi.ServerState.READY) -> mi.ServerEntry:
        """A machine as discovery lists it."""
        own = machine.state.plan
        started = machine.state.started + self.skew if machine.state.started else 0
        zone = self.plan.scenario.sites[own.site].name
        return mi.ServerEntry(machine.id, state, zone, own.cell, own.weight, started)

    # ---- the network

    def delay(self, one: int, other: int) -> int:
        """One way between two sites (ns)."""
        base = self._same if one == other else self._cross
        if self._jitter:
            base *= 1 + self._jitter * self._net.exponential()
        return int(base)

    def to_terminal(self, ask: object, request: str, word: str, wait_ns: int) -> None:
        """Carry a final answer to its terminal."""
        now = self.queue.now
        self.queue.at(now + self._client, NETWORK, self.terminals.got, ask, request, word, wait_ns)

    # ---- discovery

    def whole_list(self, sidecar: Sidecar) -> None:
        """Have a sidecar told the whole list soon (it has just connected)."""
        self.list_call(sidecar)

    def list_call(self, sidecar: Sidecar) -> None:
        """A call to discovery: the whole list, or a failure after its time-out."""
        d = self.plan.scenario.discovery
        now = self.queue.now
        wait, failed = ns(float(d.call_ms) / 1e3), self.discovery.down
        if (
            float(d.calls_per_s) and not failed
        ):  # calls are handled in turn; who has waited too long is told so
            self._calls_until = max(now, self._calls_until) + int(1e9 / float(d.calls_per_s))
            wait += self._calls_until - now
            failed = wait > ns(float(d.timeout_s))
        if failed:
            wait = ns(float(d.timeout_s))
        self.queue.at(now + wait, DISCOVERY, self._list_answer, sidecar, sidecar.life, failed)

    def _list_answer(self, sidecar: Sidecar, life: int, failed: bool) -> None:
        if life != sidecar.life:
            return
        if failed:
            sidecar.tell(mi.ServerList(mi.ListKind.FAILED))
            if not self.ask_for_list:  # the agent's watch goes on trying
                self.list_call(sidecar)
        else:
            self.discovery.behind.discard(sidecar.number)
            sidecar.tell(self.discovery.whole())

    def learn(self, entry: mi.ServerEntry, after_ns: int) -> None:
        """Discovery will hear of a change after a while, and tell everybody."""
        self.queue.at(self.queue.now + after_ns, DISCOVERY, self._learn, entry)

    def _learn(self, entry: mi.ServerEntry) -> None:
        now = self.queue.now
        version = self.discovery.change(now, entry)
        for sidecar in self.sidecars:
            if sidecar.subscribed:
                when = self.discovery.when_told(now)
                self.queue.at(when, DISCOVERY, self._told, sidecar, sidecar.life, entry, version)

    def _told(self, sidecar: Sidecar, life: int, entry: mi.ServerEntry, version: int) -> None:
        if life == sidecar.life and sidecar.subscribed:
            message = self.discovery.message(sidecar.number, entry, version)
            if message is not None:
                sidecar.tell(message)

    # ---- reports and probes

    def report(self, machine: Machine) -> dict[str, float]:
        """A machine's load report as it stands: refreshed now and then, noisy."""
        now, made = self.queue.now, machine.reported
        if not made or now - made[-1][0] >= self._report_period:
            said = machine.state.report(now, self._report_noise)
            made.append((now, {name: said[name] for name in self._report_fields}))
        return made[-1][1]

    def late_report(self, machine: Machine) -> dict[str, float] | None:
        """The one that an answer of now carries: as it stood a while ago; None at first."""
        self.report(machine)
        now, made = self.queue.now, machine.reported
        while len(made) > 1 and made[1][0] + self._report_delay <= now:
            made.popleft()
        return made[0][1] if made[0][0] + self._report_delay <= now else None

    def probe(self, sidecar: Sidecar, server: str) -> None:
        """A probe goes out."""
        machine = self.machines.get(server)
        now = self.queue.now
        timeout = min(c.aim_ns for c in self.settings[0].classes)
        if machine is None:
            self.queue.at(
                now,
                NETWORK,
                self._probed,
                sidecar,
                sidecar.life,
                server,
                mi.Outcome.CONNECT_FAILED,
                now,
                None,
            )
            return
        delay = self.delay(sidecar.site, machine.state.plan.site)
        self.queue.at(now + delay, NETWORK, self._probe_there, sidecar, server, machine, now, delay, timeout)

    def _probe_there(
        self, sidecar: Sidecar, server: str, machine: Machine, began: int, delay: int, timeout: int
    ) -> None:
        state, life = machine.state, sidecar.life
        back = self.queue.now + delay
        if state.silent or server in sidecar.cut:
            when, outcome, report = began + timeout, mi.Outcome.TIMEOUT, None
        elif not state.up or state.fell:
            when, outcome, report = back, mi.Outcome.CONNECT_FAILED, None
        else:
            state.probe(self.queue.now)
            machine.look()
            outcome = mi.Outcome.REJECTED if state.draining else mi.Outcome.OK
            when, report = back + self._report_delay, self.report(machine) if self._report_fields else None
        self.queue.at(when, NETWORK, self._probed, sidecar, life, server, outcome, began, report)

    def _probed(
        self, sidecar: Sidecar, life: int, server: str, outcome: mi.Outcome, began: int, report: dict | None
    ) -> None:
        if life == sidecar.life and sidecar.module is not None:
            sidecar.feed(mi.ProbeEnded(server, outcome, self.queue.now - began, report))

    # ---- what happens to machines

    def server_said(self, machine: Machine, what: str) -> None:
        """Write a machine's change into the ledger."""
        self.ledger.add((lg.SERVER, self.queue.now, machine.id, what))

    def server_fell(self, machine: Machine) -> None:
        """A cold machine was pushed over: it stays down."""
        self.server_said(machine, "fell")
        self._die(machine)
        machine.state.fell = True
        self._say_gone(machine, False)

    def _die(self, machine: Machine) -> None:
        """The process ends; its connections are reset."""
        state, now = machine.state, self.queue.now
        links, machine.links = machine.links, {}
        state.crash(now)
        for link in links:
            sidecar = link.owner
            if not link.broken and machine.id not in sidecar.cut:
                delay = self.delay(sidecar.site, state.plan.site)
                self.queue.at(now + delay, NETWORK, sidecar.broken, link)

    def _say_gone(self, machine: Machine, silent: bool) -> None:
        d = self.plan.scenario.discovery
        notice = ns(float(d.silent_notice_s if silent else d.notice_s))
        self.queue.at(self.queue.now + notice, DISCOVERY, self._still_gone, machine, machine.state.epoch)

    def _still_gone(self, machine: Machine, epoch: int) -> None:
        state = machine.state
        if state.epoch == epoch and (not state.up or state.silent):
            self._learn(self.entry(machine, mi.ServerState.GONE))

    def _come_back(self, machine: Machine) -> None:
        """A machine starts afresh, cold; word of it follows."""
        if machine.successor is not None:
            return
        state, now = machine.state, self.queue.now
        if state.silent:  # what was half-open is reset as soon as the machine is back
            state.silent = False
            self._die(machine)
        state.start(now)
        machine.armed, machine.fell_told = NEVER, False
        self.server_said(machine, "cold" if state.cold_ns else "up")
        self.learn(self.entry(machine), ns(float(self.plan.scenario.discovery.add_s)))

    def down(self, machine: Machine, silent: bool) -> None:
        """A machine is lost: its process dies, or all of it falls silent."""
        state = machine.state
        if not state.up or state.silent:
            return
        self.server_said(machine, "silent" if silent else "down")
        if silent:
            state.silent = True
        else:
            self._die(machine)
        self._say_gone(machine, silent)

    def effect(self, now: int, number: int) -> None:
        """A guarded request took effect."""
        if number in self.effects:
            self.doubled += 1
        elif len(self.effects) > 200_000:
            self.effects = {n: t for n, t in self.effects.items() if t > now - 60 * mi.NS_PER_S}
        self.effects[number] = now

    def note(self, sidecar: int, text: str) -> None:
        """A module's log line."""
        if len(self.notes) < MOST_NOTES:
            self.notes.append((self.queue.now, sidecar, text))

    # ---- troubles

    def _begin(self, number: int, t: TroublePlan) -> None:
        now = self.queue.now
        self.ledger.add((lg.TROUBLE, now, number, "begins " + t.kind))
        self.spans.append((t.kind, now, now + t.length))
        self.queue.at(now + t.length, TROUBLE, self._finish, number, t)
        machines = [self.order[i] for i in t.servers]
        kind = t.kind
        if kind in ("crash", "site_loss"):
            for machine in machines:
                self.down(machine, t.silent)
            for i in t.sidecars:
                self._kill(i)
        elif kind == "replace":
            for machine in machines:
                self.down(machine, False)
        elif kind == "flap":
            self._flap(t, True, now + t.length)
        elif kind == "slow":
            for machine in machines:
                machine.state.set_slow(now, max(t.size, 1e-3))
                machine.look()
        elif kind == "grey":
            for machine in machines:
                machine.grey = min(1.0, t.size)
        elif kind == "errors":
            names = [c.name for c in self.plan.scenario.classes]
            for machine in machines:
                machine.state.fails[names.index(t.class_name) if t.class_name else -1] = min(1.0, t.size)
        elif kind == "partition":
            cut = frozenset(m.id for m in machines)
            for i in t.sidecars:
                self.sidecars[i].cut |= cut
        elif kind == "discovery_down":
            self.discovery.down = True
        elif kind == "discovery_stale":
            self.discovery.restore(now - STALE_BY_NS)
            self._tell_all()
        elif kind == "sidecar_crash":
            for i in t.sidecars:
                self._kill(i)
        elif kind == "restart":
            step = 0 if t.together else t.length // max(1, len(t.sidecars))
            for n, i in enumerate(t.sidecars):
                self.queue.at(now + n * step, TROUBLE, self._restart, i)
        elif kind == "drain":
            for machine in machines:
                self._drain(machine, t.length)
        elif kind == "clock_step":
            self.skew += int(t.size * 1e9)

    def _finish(self, number: int, t: TroublePlan) -> None:
        now = self.queue.now
        self.ledger.add((lg.TROUBLE, now, number, "ends " + t.kind))
        machines = [self.order[i] for i in t.servers]
        kind = t.kind
        if kind in ("crash", "site_loss", "flap", "drain"):
            for machine in machines:
                if not machine.state.up or machine.state.silent:
                    self._come_back(machine)
            for i in t.sidecars:
                self._revive(i)
        elif kind == "replace":
            for i in t.servers:
                self._replace(number, i)
        elif kind == "slow":
            for machine in machines:
                machine.state.set_slow(now, 1.0)
                machine.look()
        elif kind == "grey":
            for machine in machines:
                machine.grey = 0.0
        elif kind == "errors":
            names = [c.name for c in self.plan.scenario.classes]
            for machine in machines:
                machine.state.fails.pop(names.index(t.class_name) if t.class_name else -1, None)
        elif kind == "partition":
            cut = frozenset(m.id for m in machines)
            for i in t.sidecars:
                self.sidecars[i].cut -= cut
        elif kind in ("discovery_down", "discovery_stale"):
            self.discovery.recover()
            self._tell_all()
        elif kind == "sidecar_crash":
            for i in t.sidecars:
                self._revive(i)

    def _tell_all(self) -> None:
        for sidecar in self.sidecars:
            if sidecar.subscribed and not self.discovery.down:
                when = self.discovery.when_told(self.queue.now)
                self.queue.at(when, DISCOVERY, self._list_answer, sidecar, sidecar.life, False)

    def _flap(self, t: TroublePlan, down: bool, until: int) -> None:
        now = self.queue.now
        if now >= until:
            return
        for i in t.servers:
            machine = self.order[i]
            if down:
                self.down(machine, t.silent)
            elif not machine.state.up or machine.state.silent:
                self._come_back(machine)
        self.queue.at(now + max(t.every, mi.NS_PER_MS), TROUBLE, self._flap, t, not down, until)

    def _drain(self, machine: Machine, length: int) -> None:
        """It asks to be left alone; half-way through its process ends, and at the end it starts afresh."""
        self.server_said(machine, "drains")
        add = ns(float(self.plan.scenario.discovery.add_s))
        self.learn(self.entry(machine, mi.ServerState.DRAINING), add)
        now, epoch = self.queue.now, machine.state.epoch
        self.queue.at(now + length // 4, TROUBLE, self._refuse_new, machine, epoch)
        self.queue.at(now + length // 2, TROUBLE, self._drained, machine, epoch)

    def _refuse_new(self, machine: Machine, epoch: int) -> None:
        if machine.state.epoch == epoch:
            machine.state.draining = True

    def _drained(self, machine: Machine, epoch: int) -> None:
        if machine.state.epoch == epoch:
            self.down(machine, False)

    def _replace(self, number: int, i: int) -> None:
        """Another machine, new and cold, with the address of the one that has gone."""
        old = self.order[i]
        new = self._machine(i, self._spares[number, i], self._group_table)
        self.order.pop()  # the numbers of the others stay
        self.order[i] = new
        old.successor = new
        new.state.start(self.queue.now)
        self.server_said(new, "cold" if new.state.cold_ns else "up")
        self.learn(self.entry(new), ns(float(self.plan.scenario.discovery.add_s)))

    def _kill(self, i: int) -> None:
        sidecar = self.sidecars[i]
        if sidecar.module is not None:
            sidecar.kill()

    def _revive(self, i: int) -> None:
        sidecar = self.sidecars[i]
        if sidecar.module is None:
            known = tuple(
                entry for entry, _ in sidecar.told.values() if entry.state is not mi.ServerState.GONE
            )
            sidecar.start(known)

    def _restart(self, i: int) -> None:
        sidecar = self.sidecars[i]
        if sidecar.module is not None and not sidecar.stopping:
            sidecar.stop()
            self.queue.at(self.queue.now + mi.NS_PER_S, TROUBLE, self._after_stop, i)

    def _after_stop(self, i: int) -> None:
        if self.sidecars[i].module is None:
            self._revive(i)
        else:  # it still has something to finish
            self.queue.at(self.queue.now + mi.NS_PER_S // 5, TROUBLE, self._after_stop, i)

    # ---- the day

    def _sample(self) -> None:
        now = self.queue.now
        ready = sum(1 for m in self.order if m.state.up and not m.state.silent and not m.state.fell)
        held = [m.state.held if m.state.up else 0 for m in self.order]
        links = sum(m.state.links for m in self.order)
        for sidecar in self.sidecars if self.saves else ():
            if not sidecar.stopping:
                sidecar.save()
        self.samples.append(Sample(now, ready, held, links, len(self.terminals.open)))
        self.queue.at(now + SAMPLE_NS, TIMER, self._sample)

    def run(self) -> None:
        """Play the day to its end."""
        s = self.plan.scenario
        known = tuple(self.discovery.entries.values())
        for sidecar, own in zip(self.sidecars, self.plan.sidecars, strict=True):
            self.queue.at(EPOCH_NS + own.start_ns, TROUBLE, sidecar.start, known)
        for number, trouble in enumerate(self.plan.troubles):
            self.queue.at(trouble.at, TROUBLE, self._begin, number, trouble)
        self.queue.at(EPOCH_NS + SAMPLE_NS, TIMER, self._sample)
        self.terminals.start()
        end = EPOCH_NS + ns(s.day.length_s + s.day.after_s)
        self.queue.run(end)
        self.terminals.close()
        self.ledger.flush()
        self.referee.close(end)
