"""Test host for one balancer, which takes the place of a sidecar."""

from __future__ import annotations

from collections.abc import Callable

from iristrack.balance import Balancer
from iristrack.interface import (
    NS_PER_MS,
    NS_PER_S,
    Action,
    AttemptEnded,
    Contract,
    Event,
    Fail,
    Limits,
    ListKind,
    Outcome,
    Reject,
    Repeat,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    TimerFired,
)

MS = NS_PER_MS
START = 5 * NS_PER_S


def classes(**keyed: object) -> tuple[RequestClass, ...]:
    return (
        RequestClass("read", 400 * MS, 2000 * MS, worth=1.0, repeat=Repeat.SAFE),
        RequestClass("book", 400 * MS, 2000 * MS, worth=8.0, repeat=Repeat.UNSAFE),
        RequestClass(
            "move", 400 * MS, 2000 * MS, worth=2.0, repeat=Repeat.KEYED, memory_ns=4 * NS_PER_S, **keyed
        ),
    )


def settings(**changes: object) -> Settings:
    base: dict = {
        "classes": classes(),
        "limits": Limits(max_attempts=4),
        "contract": Contract(
            answer_slack_ns=20 * MS,
            drain_grace_ns=500 * MS,
            cold_share=0.25,
            cold_ns=20 * NS_PER_S,
            overload_factor=3.0,
            fall_ns=3 * NS_PER_S,
        ),
        "balancers": 4,
        "resolution_ns": 5 * MS,
    }
    return Settings(**(base | changes))


class Host:
    """Runs one balancer with a manual clock and its timers, and records its actions."""

    def __init__(self, configured: Settings | None = None, seed: int = 1, servers: int = 6) -> None:
        self.settings = configured or settings()
        self.balancer = Balancer(self.settings, seed)
        self.now = START
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, Action]] = []
        self.attempts: dict[str, list[str]] = {}
        self.count = 0
        if servers:
            self.list([self.entry(i) for i in range(servers)])

    @staticmethod
    def entry(i: int, **changes: object) -> ServerEntry:
        return ServerEntry(**({"server": f"s{i}", "zone": f"z{i % 2}", "cell": i % 3} | changes))

    def list(self, entries: list[ServerEntry], kind: ListKind = ListKind.FULL) -> list[Action]:
        return self.deliver(ServerList(kind, tuple(entries)))

    def deliver(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ns, action.token))
            if isinstance(action, Send):
                self.attempts.setdefault(action.id, []).append(action.server)
        return actions

    def wait(self, ns: int, each: Callable[[list[Action]], None] | None = None) -> list[Action]:
        """Advance the clock and fire the timers that expire."""
        until = self.now + ns
        actions_seen: list[Action] = []
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            actions = self.deliver(TimerFired(timer[1]))
            actions_seen += actions
            if each:
                each(actions)
        self.now = until
        return actions_seen

    def ask(self, name: str = "read", key: str | None = "k", give_up: int = 2000 * MS, **more: object) -> str:
        self.count += 1
        self.deliver(Request(f"r{self.count}", name, self.now + give_up, key, **more))
        return f"r{self.count}"

    def end(
        self, request: str, outcome: Outcome = Outcome.OK, attempt: int = -1, final: bool | None = None
    ) -> list[Action]:
        number = attempt if attempt >= 0 else len(self.attempts[request]) - 1
        is_final = outcome is Outcome.OK if final is None else final
        return self.deliver(
            AttemptEnded(request, number, self.attempts[request][number], outcome, is_final, 10 * MS)
        )

    def end_all(self, request: str, outcome: Outcome) -> None:
        """End all attempts that were sent for a request, if any were."""
        for attempt in range(len(self.attempts.get(request, []))):
            self.end(request, outcome, attempt)

    def answers(self, request: str) -> list[Action]:
        return [a for _, a in self.log if isinstance(a, Reject | Fail) and a.id == request]

    def sends(self, request: str | None = None) -> list[Send]:
        return [a for _, a in self.log if isinstance(a, Send) and request in (None, a.id)]

    def serve(self, requests: int, name: str = "read", keys: int = 50, gap: int = 20 * MS) -> None:
        """Run normal traffic: each request is answered soon after it was sent."""
        for i in range(requests):
            request = self.ask(name, f"warm-{i % keys}")
            self.wait(gap)
            if request in self.attempts:
                self.end(request)
