"""The referee: the rules, judged from the truth ledger alone, in one place for every rig.

This file owns what counts as a broken rule. It must never ask a balancer, a server or a sidecar: only records. It reads
them in order, batch by batch, and forgets a request some time after its end, so that its memory is bounded by what is
open at once; faults beyond the first 100 are counted and not kept.

The rules: one final answer in time (`lost`), no duplicate effect (`duplicate`), nothing new to a draining or gone
server after the grace (`drain`), no cold server pushed over (`cold`), one attempt out at a time (`second`), attempts
within the cap (`cap`), and no answer held back once nothing may be sent any more (`held back`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from iristrack import interface as mi
from iristrack.emulator import ledger as lg

MOST_FAULTS = 100
AT_ONCE_NS = 150 * mi.NS_PER_MS  # from the moment that nothing may be sent any more to the final answer
REMEMBERED_NS = 10 * mi.NS_PER_S  # how long an ended request is remembered
TOLD_SHARE = 2 / 3  # of what pushed a cold server over, from sidecars told of its start
NEVER_RAN = frozenset(outcome.value for outcome in mi.NEVER_RAN)
RULES = ("lost", "duplicate", "drain", "cold", "second", "cap", "held back")


@dataclass(frozen=True, slots=True)
class Fault:
    """A broken rule: which, when (ns), by which request (or server) and sidecar."""

    rule: str
    at: int
    request: str
    sidecar: int
    text: str

    def __str__(self) -> str:
        """One line."""
        return f"{self.rule} at {self.at / 1e9:.6f} s: {self.request} at sidecar {self.sidecar}: {self.text}"


class _Open:
    """A request as the ledger tells it."""

    __slots__ = (
        "attempts",
        "closed_at",
        "cls",
        "final",
        "give_up",
        "gone",
        "last_end",
        "maybe",
        "out",
        "sidecar",
    )  # fmt: skip

    def __init__(self, cls: mi.RequestClass, give_up: int) -> None:
        self.cls = cls
        self.give_up = give_up
        self.sidecar = -1
        self.attempts: list[tuple[int, str]] = []  # sent, server
        self.maybe: dict[int, None] = {}  # numbers of attempts that may have run or are out
        self.out = -1
        self.final: str | None = None
        self.gone = False
        self.closed_at: int | None = None
        self.last_end = 0


@dataclass(frozen=True, slots=True)
class Place:
    """Where a pool server stands: what groups are made of."""

    zone: str
    cell: int


class Referee:
    """Reads a ledger and notes each broken rule."""

    def __init__(self, settings: mi.Settings, places: dict[str, Place], margin_ns: int = 0) -> None:
        """`places`: all pool servers that may ever appear; `margin_ns` is granted on every time limit."""
        self.settings = settings
        self.places = places
        self.margin = margin_ns
        self.classes = {c.name: c for c in settings.classes}
        self.open: dict[str, _Open] = {}
        self.ended: deque[tuple[int, str]] = deque()
        self.told: dict[tuple[int, str], tuple[str, int, int]] = {}  # state, when it left readiness, started
        self.cold: dict[str, tuple[int, list[tuple[int, int]]]] = {}  # started, [(when, sidecar)] of sends
        self.alive: dict[int, bool] = {}
        self.faults: list[Fault] = []
        self.counts = dict.fromkeys(RULES, 0)
        self.now = 0
        self._readers = {
            lg.ASK: self._ask, lg.TAKEN: self._taken, lg.SEND: self._send, lg.END: self._end, lg.FINAL: self._final,
            lg.GOT: self._got, lg.GONE: self._gone, lg.TOLD: self._told, lg.SERVER: self._server,
            lg.SIDECAR: self._sidecar,
        }  # fmt: skip

    @property
    def kept(self) -> bool:
        """Are all rules kept so far?"""
        return not any(self.counts.values())

    def read(self, batch: list[lg.Record]) -> None:
        """Take records in order."""
        readers = self._readers
        for record in batch:
            reader = readers.get(record[0])
            if reader is not None:
                reader(*record[1:])
        if batch:
            self._forget(batch[-1][1])

    def close(self, now: int) -> None:
        """The day is over: what is still owed an answer has lost it."""
        for name, request in list(self.open.items()):
            self._overdue(now, name, request)
        self._forget(now + REMEMBERED_NS)

    def _fault(self, rule: str, at: int, request: str, sidecar: int, text: str) -> None:
        self.counts[rule] += 1
        if len(self.faults) < MOST_FAULTS:
            self.faults.append(Fault(rule, at, request, sidecar, text))

    def _forget(self, now: int) -> None:
        ended = self.ended
        while ended and ended[0][0] <= now - REMEMBERED_NS:
            self.open.pop(ended.popleft()[1], None)
        if len(self.open) > 2 * len(ended) + 65_536:  # asked of sidecars that were away, and never taken
            late = now - REMEMBERED_NS
            for name in [n for n, r in self.open.items() if r.sidecar < 0 and r.give_up < late]:
                del self.open[name]

    def _close_request(self, now: int, name: str, request: _Open) -> None:
        if request.closed_at is None:
            request.closed_at = now
            self.ended.append((now, name))

    # ---- requests

    def _ask(
        self, now: int, name: str, first: int, cls: str, tenant: str, sidecar: int, give_up: int
    ) -> None:
        self.open[name] = _Open(self.classes[cls], give_up)

    def _taken(self, now: int, name: str, sidecar: int) -> None:
        self.open[name].sidecar = sidecar

    def _send(self, now: int, sidecar: int, name: str, attempt: int, server: str) -> None:
        request = self.open.get(name)
        if request is None or request.sidecar != sidecar:
            self._fault("lost", now, name, sidecar, "sent, but never asked of it or over long ago")
            return
        if request.final is not None:
            self._fault(
                "lost", now, name, sidecar, f"sent to {server} after its final answer ({request.final})"
            )
        elif request.gone and now > (request.closed_at or now) + AT_ONCE_NS:
            self._fault("lost", now, name, sidecar, f"sent to {server} long after its terminal left")
        if request.out >= 0:
            self._fault("second", now, name, sidecar, f"sent to {server} while attempt {request.out} is out")
        if len(request.attempts) >= self.settings.limits.max_attempts:
            self._fault(
                "cap", now, name, sidecar, f"attempt {attempt} of {self.settings.limits.max_attempts}"
            )
        self._check_repeat(now, sidecar, name, request, server)
        state, left, _ = self.told.get((sidecar, server), ("unknown", now, 0))
        grace = self.settings.contract.drain_grace_ns + self.margin
        if state == "unknown":
            self._fault("drain", now, name, sidecar, f"sent to {server}, of which it was never told")
        elif state != "ready" and now > left + grace:
            since = (now - left) / 1e9
            self._fault(
                "drain", now, name, sidecar, f"sent to {server} {since:.3f} s after told that it is {state}"
            )
        cold = self.cold.get(server)
        if cold is not None:
            if now > cold[0] + self.settings.contract.cold_ns + self.settings.contract.fall_ns:
                del self.cold[server]  # warm
            else:
                cold[1].append((now, sidecar))
        request.attempts.append((now, server))
        request.out = attempt
        request.maybe[attempt] = None

    def _check_repeat(self, now: int, sidecar: int, name: str, request: _Open, server: str) -> None:
        """Rule 2: where an earlier attempt may have run, its class says who may get it again."""
        cls = request.cls
        if cls.repeat is mi.Repeat.SAFE:
            return
        for number in request.maybe:
            sent, where = request.attempts[number]
            if cls.repeat is mi.Repeat.UNSAFE:
                self._fault("duplicate", now, name, sidecar, f"sent to {server}; {where} may have run it")
            elif now > sent + cls.memory_ns + self.margin:
                self._fault(
                    "duplicate", now, name, sidecar, f"sent to {server} after its group has forgotten it"
                )
            elif not self._same_group(cls, where, server):
                self._fault(
                    "duplicate",
                    now,
                    name,
                    sidecar,
                    f"sent to {server}; {where} of another group may have run",
                )
            else:
                continue
            return

    def _same_group(self, cls: mi.RequestClass, one: str, other: str) -> bool:
        a, b = self.places[one], self.places[other]
        if cls.group is mi.Group.ZONE:
            return a.zone == b.zone
        return a.cell == b.cell if cls.group is mi.Group.CELL else True

    def _end(
        self, now: int, sidecar: int, name: str, attempt: int, server: str, outcome: str, whole: int
    ) -> None:
        request = self.open.get(name)
        if request is None:
            return
        if request.out == attempt:
            request.out = -1
        if outcome in NEVER_RAN:
            request.maybe.pop(attempt, None)
        request.last_end = now

    def _final(self, now: int, sidecar: int, name: str, word: str) -> None:
        request = self.open.get(name)
        if request is None or request.sidecar != sidecar:
            self._fault("lost", now, name, sidecar, "answered, but never asked of it or over long ago")
            return
        if request.final is not None:
            self._fault("lost", now, name, sidecar, f"a second final answer ({word} after {request.final})")
            return
        request.final = word
        if not request.gone:
            self._overdue(now, name, request)
        if word == "short":
            self._check_refusal(now, sidecar, name, request)
        if word != "served":
            self._check_held_back(now, sidecar, name, request)
        self._close_request(now, name, request)

    def _check_refusal(self, now: int, sidecar: int, name: str, request: _Open) -> None:
        cls = request.cls
        if cls.repeat is mi.Repeat.SAFE or not request.maybe:
            return
        if cls.repeat is mi.Repeat.KEYED and cls.group is mi.Group.ALL:
            return
        where = request.attempts[next(iter(request.maybe))][1]
        self._fault(
            "duplicate", now, name, sidecar, f"refused as harmless to repeat; {where} may have run it"
        )

    def _check_held_back(self, now: int, sidecar: int, name: str, request: _Open) -> None:
        """Once no further attempt is permitted, the answer is owed at once, however much time is left."""
        if not request.attempts or request.out >= 0:
            return
        cls, since = request.cls, None
        if len(request.attempts) >= self.settings.limits.max_attempts or (
            cls.repeat is mi.Repeat.UNSAFE and request.maybe
        ):
            since = request.last_end
        elif cls.repeat is mi.Repeat.KEYED and request.maybe:
            since = max(request.last_end, min(request.attempts[n][0] for n in request.maybe) + cls.memory_ns)
        if since is not None and now > since + AT_ONCE_NS + self.margin:
            late = (now - since) / 1e6
            self._fault(
                "held back",
                now,
                name,
                sidecar,
                f"answered {late:.0f} ms after nothing could be sent any more",
            )

    def _overdue(self, now: int, name: str, request: _Open) -> None:
        due = request.give_up + self.settings.contract.answer_slack_ns + self.margin
        if request.sidecar >= 0 and now > due and request.closed_at is None and not request.gone:
            late = (now - due) / 1e6
            self._fault("lost", now, name, request.sidecar, f"no final answer in time, {late:.1f} ms over")
            request.gone = True

    def _got(self, now: int, name: str, word: str) -> None:
        request = self.open.get(name)
        if request is not None and request.final is None:
            self._fault("lost", now, name, request.sidecar, f"the terminal got {word}, which nobody said")

    def _gone(self, now: int, name: str) -> None:
        request = self.open.get(name)
        if request is None or request.gone:
            return
        due = request.give_up + self.settings.contract.answer_slack_ns
        if request.sidecar >= 0 and request.final is None and now >= due:
            self._fault("lost", now, name, request.sidecar, "no final answer in time: its terminal gave up")
        request.gone = True
        self._close_request(now, name, request)

    # ---- servers and sidecars

    def _told(self, now: int, sidecar: int, server: str, state: str, started: int) -> None:
        old = self.told.get((sidecar, server))
        left = now
        if old is not None and old[0] != "ready" and state != "ready":
            left = old[1]  # the grace began when it first left readiness
        self.told[sidecar, server] = (state, left, started)

    def _server(self, now: int, server: str, what: str) -> None:
        if what == "cold":
            self.cold[server] = (now, [])
        elif what == "down":
            self.cold.pop(server, None)
        elif what == "fell" and server in self.cold:
            started, sends = self.cold[server]
            recent = [s for at, s in sends if at >= now - self.settings.contract.fall_ns]
            told = sum(1 for s in recent if self.told.get((s, server), ("", 0, 0))[2] >= started)
            if recent and told >= TOLD_SHARE * len(recent):
                worst = max(set(recent), key=lambda s: (recent.count(s), -s))
                self._fault(
                    "cold",
                    now,
                    server,
                    worst,
                    f"pushed over by {len(recent)} sends within its span, {told} by told sidecars",
                )

    def _sidecar(self, now: int, sidecar: int, what: str) -> None:
        if what == "killed":  # what it held is void
            for name, request in self.open.items():
                if request.sidecar == sidecar and request.closed_at is None:
                    request.gone = True
                    self._close_request(now, name, request)
