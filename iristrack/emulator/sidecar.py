"""An emulated sidecar: the project's real `Balancer` (or another) behind `interface.py`, its connections and timers.

This file owns what the daemon's core does round the module, in virtual time: routed tasks, their connections and
deadlines, cancellation, and the order of answer and event. It must never pick a server, retry or refuse by itself.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from iristrack import interface as mi
from iristrack.emulator import ledger as lg
from iristrack.emulator.events import NETWORK, TIMER, Deadlines, Queue
from iristrack.emulator.server import FAULTY, SERVED, TURNED_AWAY, Job

if TYPE_CHECKING:
    from iristrack.emulator.clients import Ask
    from iristrack.emulator.world import Machine, World

OUTCOMES = {SERVED: mi.Outcome.OK, FAULTY: mi.Outcome.ERROR, TURNED_AWAY: mi.Outcome.REJECTED}
STOPPING_NS = 400 * mi.NS_PER_MS  # a planned restart goes on taking requests for so long


class Module(Protocol):
    """What decides: the project's `Balancer`, or another that is measured beside it."""

    def handle(self, now: int, event: mi.Event) -> list[mi.Action]:
        """Take one event, return the actions."""


class Taken:
    """A request in a sidecar's hands."""

    __slots__ = ("answered", "ask", "attempts", "give_up", "id", "out", "owner")

    def __init__(self, owner: Sidecar, ask: Ask, request: str, give_up: int) -> None:
        self.owner = owner
        self.ask = ask
        self.id = request
        self.give_up = give_up  # of this try, at its terminal
        self.attempts = 0
        self.out: Attempt | None = None
        self.answered = False


class Link:
    """One connection to a pool server."""

    __slots__ = (
        "attempts",
        "broken",
        "epoch",
        "idle_since",
        "machine",
        "owner",
        "pending",
        "ready",
        "server",
    )

    def __init__(self, owner: Sidecar, server: str, machine: Machine) -> None:
        self.owner = owner
        self.server = server
        self.machine = machine
        self.epoch = machine.state.epoch
        self.ready = self.broken = False
        self.attempts: dict[Attempt, None] = {}
        self.pending: list[Attempt] = []
        self.idle_since = 0


class Attempt:
    """One routed task."""

    __slots__ = ("deadline", "job", "link", "number", "out", "sent", "server", "taken", "whole")

    def __init__(self, taken: Taken, number: int, server: str, sent: int, deadline: int) -> None:
        self.taken = taken
        self.number = number
        self.server = server
        self.sent = sent
        self.deadline = deadline
        self.out = True
        self.whole = False  # written whole: from then on it may have run
        self.link: Link | None = None
        self.job: Job | None = None


def deadlines_of(queue: Queue, classes: int) -> list[Deadlines]:
    """The attempts' deadlines of all sidecars, a line for each class."""
    return [
        Deadlines(
            queue, TIMER, lambda attempt: attempt.out, lambda attempt: attempt.taken.owner.time_out(attempt)
        )
        for _ in range(classes)
    ]


def idle_links(queue: Queue) -> Deadlines:
    """The idle connections of all sidecars: (link, since when)."""

    def still(item: tuple[Link, int]) -> bool:
        link, since = item
        return not link.broken and not link.attempts and link.idle_since == since

    return Deadlines(queue, TIMER, still, lambda item: item[0].owner.close_idle(item[0]))


class Sidecar:
    """One sidecar in the world. `up` tells whether terminals reach it."""

    def __init__(self, world: World, number: int, site: int, make: Callable[[int], Module]) -> None:
        """`make(seed)` gives a fresh module at each start."""
        self.world = world
        self.number = number
        self.site = site
        self.make = make
        self.saved: tuple[int, dict] | None = (
            None  # when, and what its module had learned, where the world keeps it
        )
        self.lost_at = 0  # when it was last lost to terminals
        self.life = 0  # counts its starts: timers and answers of an earlier life are void
        self.up = self.stopping = False
        self.module: Module | None = None
        self.taken: dict[str, Taken] = {}
        self.links: dict[str, list[Link]] = {}  # with room for a request, the last used last
        self.all_links: dict[Link, None] = {}
        self.told: dict[str, tuple[mi.ServerEntry, int]] = {}  # entry, since when it is not ready
        self.cut: frozenset[str] = frozenset()  # pool servers that a partition keeps from it
        self.subscribed = self.asked = False
        self.opened = self.cross = self.first_sends = self.sends = self.probes = self.peak = 0
        s = world.plan.scenario
        self.streams = s.pool.connections.streams
        self.round_trips = float(s.pool.connections.handshake_round_trips)
        self.connect_timeout = int(float(s.pool.connections.connect_timeout_s) * 1e9)
        self.idle_ns = int(float(s.pool.connections.idle_s) * 0.9e9)
        self.most_attempts = s.sidecars.max_attempts
        self.margin = int(s.sidecars.reply_margin_ms * 1e6)
        self.grace = int(s.rules.drain_grace_s * 1e9)
        self.reports_in_answers = s.pool.reports.how == "answers"
        self.acts: dict[type, Callable] = {
            mi.Send: self._send, mi.Reject: self._reject, mi.Fail: self._fail, mi.SetTimer: self._timer,
            mi.Cancel: self._cancel, mi.Probe: self._probe, mi.CloseIdle: self._close_idle,
            mi.Subscribe: self._subscribe, mi.FetchList: self._fetch, mi.Log: self._log,
        }  # fmt: skip

    # ---- life

    def start(self, known: tuple[mi.ServerEntry, ...]) -> None:
        """Come up with nothing but the last list; discovery's whole list follows."""
        world = self.world
        self.life += 1
        self.up, self.stopping = True, False
        if self.life > 1:
            world.returns.append((world.queue.now, self.number))
        self.module = self.make(world.source.whole(f"module {self.number} {self.life}"))
        self.told = {}
        world.ledger.add((lg.SIDECAR, world.queue.now, self.number, "up"))
        self.tell(mi.ServerList(mi.ListKind.CACHED, known))
        if not world.ask_for_list:
            self.subscribed = True
            world.whole_list(self)

    def kill(self) -> None:
        """The process ends at once: its connections are reset, attempts go on at the servers with nobody to answer."""
        world = self.world
        world.ledger.add((lg.SIDECAR, world.queue.now, self.number, "killed"))
        if self.stopping:
            self.save()  # a planned end writes what it knows; a sudden one cannot
        if self.up:
            self.lost_at = world.queue.now
        self.up = self.stopping = False
        self.life += 1
        self.module = None
        self.subscribed = False
        for link in list(self.all_links):
            for attempt in link.attempts:
                attempt.out = False
                if attempt.job is not None:
                    link.machine.cancel(attempt.job)
            self._close(link)
        self.links.clear()
        taken, self.taken = self.taken, {}
        for one in taken.values():
            if not one.answered:
                one.ask.lost(one.id)

    def save(self) -> None:
        """Keep what the module has learned, if this world keeps that and the module can tell it."""
        if self.world.saves and self.module is not None:
            now = self.world.queue.now
            self.saved = now, self.module.snapshot(now)

    def stop(self) -> None:
        """A planned end: it goes on taking for a while, finishes what it has, then is gone."""
        self.stopping = True
        self.world.ledger.add((lg.SIDECAR, self.world.queue.now, self.number, "stopping"))
        self.world.queue.at(self.world.queue.now + STOPPING_NS, TIMER, self._close_door, self.life)

    def _close_door(self, life: int) -> None:
        if life == self.life:
            self.up = False
            self.lost_at = self.world.queue.now
            self._maybe_gone()

    def _maybe_gone(self) -> None:
        if self.stopping and not self.up and not self.taken and self.module is not None:
            self.kill()

    # ---- the module

    def feed(self, event: mi.Event) -> None:
        """Give the module an event and carry out its actions, in order."""
        acts = self.acts
        for action in self.module.handle(self.world.queue.now, event):
            acts[type(action)](action)

    def tell(self, event: mi.ServerList) -> None:
        """Word from discovery."""
        if self.module is None:
            return
        world = self.world
        now, add, told = world.queue.now, world.ledger.add, self.told
        if event.kind is not mi.ListKind.FAILED:
            named = {entry.server for entry in event.servers}
            gone = mi.ServerState.GONE
            if event.kind is not mi.ListKind.DELTA:
                for name, (entry, since) in list(told.items()):
                    if name not in named and entry.state is not gone:
                        left = since if entry.state is not mi.ServerState.READY else now
                        told[name] = (mi.ServerEntry(name, gone, entry.zone, entry.cell, entry.weight), left)
                        add((lg.TOLD, now, self.number, name, "gone", 0))
            for entry in event.servers:
                old = told.get(entry.server)
                if old is not None and old[0] == entry:
                    continue
                since = old[1] if old is not None and old[0].state is not mi.ServerState.READY else now
                told[entry.server] = (entry, since)
                add((lg.TOLD, now, self.number, entry.server, entry.state.value, entry.started_ns))
        self.feed(event)

    def take(self, ask: Ask, request: str, give_up: int, retry: bool) -> None:
        """A terminal's request has arrived."""
        world = self.world
        if not self.up or self.module is None:
            ask.unreachable(request)
            return
        world.ledger.add((lg.TAKEN, world.queue.now, request, self.number))
        self.taken[request] = Taken(self, ask, request, give_up)
        if len(self.taken) > self.peak:
            self.peak = len(self.taken)
        self.feed(
            mi.Request(request, ask.class_name, give_up - self.margin, ask.key, ask.tenant_name, 0, retry)
        )

    def hang_up(self, request: str) -> None:
        """Its terminal has left."""
        taken = self.taken.get(request)
        if taken is None or taken.answered:
            return
        taken.answered = True
        self.feed(mi.ClientGone(request))
        self._settle(taken)

    def _settle(self, taken: Taken) -> None:
        if (
            taken.answered
            and taken.out is None
            and self.taken.pop(taken.id, None) is not None
            and self.stopping
        ):
            self._maybe_gone()

    def _answer(self, request: str, word: str, wait_ns: int = 0) -> None:
        taken = self.taken.get(request)
        world = self.world
        world.ledger.add((lg.FINAL, world.queue.now, self.number, request, word))
        if taken is None or taken.answered:
            return
        taken.answered = True
        world.to_terminal(taken.ask, request, word, wait_ns)
        self._settle(taken)

    def _reject(self, action: mi.Reject) -> None:
        self._answer(action.id, "short", action.retry_after_ns)

    def _fail(self, action: mi.Fail) -> None:
        self._answer(action.id, "failed")

    def _timer(self, action: mi.SetTimer) -> None:
        world = self.world
        world.queue.at(world.queue.now + action.delay_ns, TIMER, self._fire, action.token, self.life)

    def _fire(self, token: int, life: int) -> None:
        if life == self.life and self.module is not None:
            self.feed(mi.TimerFired(token))

    def _log(self, action: mi.Log) -> None:
        self.world.note(self.number, action.text)

    # ---- routed tasks

    def _send(self, action: mi.Send) -> None:
        world = self.world
        now = world.queue.now
        server = action.server
        taken = self.taken.get(action.id)
        number = taken.attempts if taken is not None else 0
        world.ledger.add((lg.SEND, now, self.number, action.id, number, server))
        if taken is None:
            return  # a module's fault, which the referee names
        taken.attempts += 1
        deadline = taken.give_up - self.margin
        if action.timeout_ns and now + action.timeout_ns < deadline:
            deadline = now + action.timeout_ns
        attempt = Attempt(taken, number, server, now, deadline)
        taken.out = attempt
        if number >= self.most_attempts or deadline <= now:
            # Moot, and told a moment later: a module that never tires must not stop the clock.
            world.queue.at(now + mi.NS_PER_MS, TIMER, self.ended, attempt, mi.Outcome.NOT_SENT)
            return
        self.sends += 1
        if number == 0:
            self.first_sends += 1
        machine = world.machines.get(server)
        if machine is None:
            self._end(attempt, mi.Outcome.CONNECT_FAILED)
            return
        if machine.state.plan.site != self.site:
            self.cross += 1
        free = self.links.get(server)
        if free:
            link = free[-1]
            attempt.link = link
            link.attempts[attempt] = None
            if len(link.attempts) >= self.streams:
                free.pop()
            if link.ready:
                self._write(attempt)
            else:
                link.pending.append(attempt)
        else:
            self._open(attempt, server, machine)
        world.deadlines[taken.ask.cls].add(deadline, attempt)

    def _write(self, attempt: Attempt) -> None:
        attempt.whole = True
        delay = self.world.delay(self.site, attempt.link.machine.state.plan.site)
        self.world.queue.at(self.world.queue.now + delay, NETWORK, self._reach, attempt)

    def _reach(self, attempt: Attempt) -> None:
        """The request has come to where its connection leads."""
        link = attempt.link
        machine = link.machine
        state = machine.state
        if not attempt.out and link.broken:
            return
        if state.silent or (self.cut and attempt.server in self.cut):
            return
        if not state.up or state.epoch != link.epoch:
            self._later(attempt, mi.Outcome.RESET)
            return
        if not attempt.out:
            return  # called off before it came
        world = self.world
        ask = attempt.taken.ask
        job = attempt.job = ask.job(attempt)
        if not machine.arrive(job):
            if state.fell and not machine.fell_told:
                machine.fell_told = True
                world.server_fell(machine)
            self._later(attempt, mi.Outcome.REJECTED)

    def _later(self, attempt: Attempt, outcome: mi.Outcome) -> None:
        delay = self.world.delay(self.site, attempt.link.machine.state.plan.site)
        self.world.queue.at(self.world.queue.now + delay, NETWORK, self.ended, attempt, outcome)

    def ended(self, attempt: Attempt, outcome: mi.Outcome) -> None:
        """Word of an attempt's end has come from the server."""
        if attempt.out:
            self._end(attempt, outcome)

    def time_out(self, attempt: Attempt) -> None:
        """An attempt's time is up."""
        self._abandon(attempt, mi.Outcome.TIMEOUT)

    def _cancel(self, action: mi.Cancel) -> None:
        taken = self.taken.get(action.id)
        if taken is not None and taken.out is not None and taken.out.number == action.attempt:
            self._abandon(taken.out, mi.Outcome.CANCELLED)

    def _abandon(self, attempt: Attempt, outcome: mi.Outcome) -> None:
        """Nobody waits for it any more: the server is told, and a connection that carried it alone is closed."""
        link = attempt.link
        if link is not None and not attempt.whole:
            outcome = mi.Outcome.CONNECT_FAILED if outcome is mi.Outcome.TIMEOUT else mi.Outcome.NOT_SENT
        elif attempt.job is not None:
            world = self.world
            delay = world.delay(self.site, link.machine.state.plan.site)
            if not link.machine.state.silent and attempt.server not in self.cut:
                world.queue.at(world.queue.now + delay, NETWORK, link.machine.cancel, attempt.job)
        self._end(attempt, outcome, close=self.streams == 1)

    def _end(self, attempt: Attempt, outcome: mi.Outcome, close: bool = False) -> None:
        world, taken, link = self.world, attempt.taken, attempt.link
        now = world.queue.now
        attempt.out = False
        taken.out = None
        if link is not None:
            self._release(link, attempt, close or outcome is mi.Outcome.RESET)
        request = taken.id
        add = world.ledger.add
        add(
            (
                lg.END,
                now,
                self.number,
                request,
                attempt.number,
                attempt.server,
                outcome.value,
                int(attempt.whole),
            )
        )
        if outcome is mi.Outcome.OK and not taken.answered:
            taken.answered = True
            add((lg.FINAL, now, self.number, request, "served"))
            world.useful_ns += attempt.job.spent
            world.to_terminal(taken.ask, request, "served", 0)
        report = None
        if self.reports_in_answers and attempt.job is not None:
            report = world.late_report(link.machine)
        attempt.job = None  # no cycle is left behind
        final = taken.answered
        self.feed(
            mi.AttemptEnded(
                request, attempt.number, attempt.server, outcome, final, now - attempt.sent, report
            )
        )
        if taken.answered:
            self._settle(taken)

    # ---- connections

    def _open(self, attempt: Attempt, server: str, machine: Machine) -> None:
        world = self.world
        while machine.successor is not None:
            machine = machine.successor  # the address is somebody else's by now
        link = attempt.link = Link(self, server, machine)
        link.attempts[attempt] = None
        link.pending.append(attempt)
        self.all_links[link] = None
        self.opened += 1
        if self.streams > 1:
            self.links.setdefault(server, []).append(link)
        delay = world.delay(self.site, machine.state.plan.site)
        world.queue.at(world.queue.now + delay, NETWORK, self._knock, link, delay)

    def _knock(self, link: Link, delay: int) -> None:
        """The first packet has come to the machine, or to nobody."""
        world = self.world
        now = world.queue.now
        machine, state = link.machine, link.machine.state
        if link.broken:
            return
        if state.silent or (self.cut and link.server in self.cut):
            world.queue.at(now + self.connect_timeout - delay, TIMER, self._no_connection, link)
        elif not state.up or state.fell or not machine.accept(link):
            world.queue.at(now + delay, NETWORK, self._no_connection, link)
        else:
            link.epoch = state.epoch
            wait = max(delay, int((2 * self.round_trips - 1) * delay))
            world.queue.at(now + wait, NETWORK, self._connected, link)

    def _connected(self, link: Link) -> None:
        if link.broken or link.ready:
            return
        link.ready = True
        pending, link.pending = link.pending, []
        now = self.world.queue.now
        for attempt in pending:
            if not attempt.out:
                continue
            # A send is looked at once more at its first byte: its server may have left meanwhile, or moved.
            entry, since = self.told.get(attempt.server, (None, now))
            away = entry is None or (entry.state is not mi.ServerState.READY and now >= since + self.grace)
            if away or link.machine.id != attempt.server:
                self._end(attempt, mi.Outcome.NOT_SENT)
            else:
                self._write(attempt)
        if link.machine.id != link.server:
            self._close(link)  # somebody else's: nothing may be written to it, now or later
        elif not link.attempts:
            self._idle(link)

    def _no_connection(self, link: Link) -> None:
        if not link.broken and not link.ready:
            self._close(link)
            for attempt in list(link.attempts):
                if attempt.out:
                    self._end(attempt, mi.Outcome.CONNECT_FAILED)

    def broken(self, link: Link) -> None:
        """The other side has reset it: what is out on it ends at once."""
        if not link.broken:
            self._close(link)
            for attempt in list(link.attempts):
                if attempt.out:
                    outcome = mi.Outcome.RESET if attempt.whole else mi.Outcome.CONNECT_FAILED
                    self._end(attempt, outcome)

    def _release(self, link: Link, attempt: Attempt, close: bool) -> None:
        attempts = link.attempts
        was_full = len(attempts) >= self.streams
        attempts.pop(attempt, None)
        if close:
            if not link.broken:
                self._close(link)
                for other in list(attempts):
                    if other.out:
                        self._end(other, mi.Outcome.RESET if other.whole else mi.Outcome.CONNECT_FAILED)
            return
        if link.broken:
            return
        if was_full:
            self.links.setdefault(link.server, []).append(link)
        if not attempts and link.ready:
            self._idle(link)

    def _idle(self, link: Link) -> None:
        link.idle_since = self.world.queue.now
        if self.streams == 1 and link not in self.links.setdefault(link.server, []):
            self.links[link.server].append(link)
        self.world.idle_links.add(link.idle_since + self.idle_ns, (link, link.idle_since))

    def close_idle(self, link: Link) -> None:
        """It has stood idle for long enough."""
        self._close(link)

    def _close(self, link: Link) -> None:
        link.broken = True
        self.all_links.pop(link, None)
        free = self.links.get(link.server)
        if free is not None and link in free:
            free.remove(link)
        link.machine.hang_up(link)

    def _close_idle(self, action: mi.CloseIdle) -> None:
        for link in list(self.links.get(action.server, ())):
            if link.ready and not link.attempts:
                self._close(link)

    # ---- discovery and probes

    def _subscribe(self, action: mi.Subscribe) -> None:
        self.subscribed = action.wanted
        if action.wanted:
            self.world.list_call(self)

    def _fetch(self, _: mi.FetchList) -> None:
        self.world.list_call(self)

    def _probe(self, action: mi.Probe) -> None:
        self.probes += 1
        self.world.probe(self, action.server)
