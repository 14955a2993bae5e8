"""Property tests: random legal and illegal event sequences keep the four rules and bounded memory."""

from __future__ import annotations

import pytest
from driver import MS, Host, classes
from driver import settings as configured
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from iristrack.interface import (
    NEVER_RAN,
    NS_PER_S,
    Action,
    AttemptEnded,
    ClientGone,
    Fail,
    Group,
    Limits,
    ListKind,
    Outcome,
    Reject,
    Repeat,
    Send,
    ServerState,
    TimerFired,
)

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.sampled_from(["read", "book", "move"]), st.integers(0, 5)),
        st.tuples(st.just("end"), st.sampled_from(list(Outcome)), st.integers(0, 50)),
        st.tuples(st.just("wait"), st.integers(1, 300), st.just(0)),
        st.tuples(st.just("gone"), st.integers(0, 50), st.just(0)),
        st.tuples(st.just("state"), st.sampled_from(list(ServerState)), st.integers(0, 5)),
        st.tuples(st.just("restart"), st.integers(0, 5), st.just(0)),
        st.tuples(st.just("odd"), st.integers(-3, 9), st.integers(0, 50)),
    ),
    max_size=80,
)


class RuleChecker:
    """Checks every action of a balancer against the rules."""

    def __init__(self, group: Group, copies: bool, balancers: int) -> None:
        self.host = Host(
            configured(
                classes=classes(group=group),
                limits=Limits(max_attempts=3, second_copies=copies),
                balancers=balancers,
            )
        )
        self.specs = {c.name: c for c in self.host.settings.classes}
        self.copies = copies
        self.open: dict[str, dict] = {}
        self.draining: set[str] = set()
        self.seen = 0

    def check(self) -> None:
        for at, action in self.host.log[self.seen :]:
            self.seen += 1
            self.check_action(at, action)

    def check_action(self, at: int, action: Action) -> None:
        if isinstance(action, Send):
            record = self.open[action.id]
            assert not record["over"], "sent after the end"
            assert action.server not in self.draining
            assert action.timeout_ns > 0
            assert len(record["attempts"]) < 3
            spec = record["spec"]
            for server, sent, state in record["attempts"]:
                if state in NEVER_RAN:
                    continue
                assert state is not None or self.copies
                assert spec.repeat is not Repeat.UNSAFE
                if spec.repeat is Repeat.KEYED:
                    assert at - sent < spec.memory_ns
                    assert self.place(spec.group, server) == self.place(spec.group, action.server)
            record["attempts"].append([action.server, at, None])
        elif isinstance(action, Reject | Fail):
            record = self.open[action.id]
            assert not record["over"], "answered twice"
            record["over"] = True
            assert at <= record["deadline"] + self.host.settings.contract.answer_slack_ns
            if isinstance(action, Reject):
                ran = [a for a in record["attempts"] if a[2] not in NEVER_RAN]
                spec = record["spec"]
                assert (
                    not ran
                    or spec.repeat is Repeat.SAFE
                    or (spec.repeat is Repeat.KEYED and spec.group is Group.ALL)
                )

    @staticmethod
    def place(group: Group, server: str) -> int:
        """Return the group of a server as `Host.entry` assigns it: two zones, three cells."""
        return int(server[1:]) % {Group.ALL: 1, Group.ZONE: 2, Group.CELL: 3}[group]

    def in_flight(self) -> list[tuple[str, int]]:
        return [
            (r, n)
            for r, record in self.open.items()
            for n, a in enumerate(record["attempts"])
            if a[2] is None
        ]

    def end(self, request: str, number: int, outcome: Outcome) -> None:
        record = self.open[request]
        record["attempts"][number][2] = outcome
        if outcome is Outcome.OK:
            record["over"] = True
        self.host.deliver(
            AttemptEnded(request, number, record["attempts"][number][0], outcome, record["over"], MS)
        )
        self.check()

    def wait(self, ns: int) -> None:
        """Advance the clock; attempts end at their timeout, and each request must be answered in time."""
        until = self.host.now + ns
        while True:
            due = [
                (a.timeout_ns + at, a.id, self.attempt_number(a, at))
                for at, a in self.host.log
                if isinstance(a, Send) and self.attempt_number(a, at) is not None
            ]
            timers = min(self.host.timers)[0] if self.host.timers else until + 1
            first = min(due)[0] if due else until + 1
            if min(first, timers) > until:
                break
            self.host.now = max(self.host.now, min(first, timers))
            if first <= timers:
                _, request, number = min(due)
                self.end(request, number, Outcome.TIMEOUT)
            else:
                timer = min(self.host.timers)
                self.host.timers.remove(timer)
                self.host.deliver(TimerFired(timer[1]))
            self.check()
        self.host.now = until
        for request, record in self.open.items():
            assert record["over"] or record["deadline"] + 20 * MS >= until, f"{request} was never answered"

    def attempt_number(self, send: Send, at: int) -> int | None:
        for number, (server, sent, state) in enumerate(self.open[send.id]["attempts"]):
            if state is None and server == send.server and sent == at:
                return number
        return None


@settings(max_examples=120, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(STEPS, st.sampled_from(list(Group)), st.booleans(), st.sampled_from([4, 500]))
def test_the_rules_hold_for_any_sequence_of_events(
    steps: list, group: Group, copies: bool, balancers: int
) -> None:
    checker = RuleChecker(group, copies, balancers)
    host = checker.host
    for kind, one, two in steps:
        if kind == "ask":
            name = f"r{host.count + 1}"
            checker.open[name] = {
                "spec": checker.specs[one],
                "attempts": [],
                "over": False,
                "deadline": host.now + 500 * MS,
            }
            host.ask(one, f"k{two}" if two else None, give_up=500 * MS)
        elif kind == "end" and checker.in_flight():
            attempts = checker.in_flight()
            checker.end(*attempts[two % len(attempts)], one)
        elif kind == "wait":
            checker.wait(one * MS)
        elif kind == "gone" and checker.open:
            request = list(checker.open)[one % len(checker.open)]
            checker.open[request]["over"] = True
            host.deliver(ClientGone(request))
        elif kind == "state":
            server = f"s{two}"
            (checker.draining.discard if one is ServerState.READY else checker.draining.add)(server)
            host.list([Host.entry(two, state=one)], kind=ListKind.DELTA)
        elif kind == "restart" and f"s{one}" not in checker.draining:
            host.list([Host.entry(one, started_ns=host.now)], kind=ListKind.DELTA)
        elif kind == "odd":
            host.deliver(TimerFired(one))
            host.deliver(AttemptEnded(f"r{two}", 7, "s1", Outcome.OK, True))
            host.deliver(AttemptEnded("stranger", one, "s9", Outcome.ERROR, False))
        checker.check()
    checker.wait(2 * NS_PER_S)
    assert all(record["over"] for record in checker.open.values())
    assert not host.balancer.requests


@pytest.mark.parametrize("balancers", [4, 500])
def test_memory_stays_bounded_after_many_keys_and_servers(balancers: int) -> None:
    host = Host(configured(marks_retries=True, balancers=balancers), servers=4)
    for i in range(20_000):
        host.ask("read", f"key-{i}")
        outcome = Outcome.OK if i % 3 else Outcome.ERROR
        for name in list(host.balancer.requests):
            host.end_all(name, outcome)
        if i % 500 == 0:
            host.list([Host.entry(j) for j in range(i // 500, i // 500 + 4)])
            host.wait(NS_PER_S)
        host.log.clear()
    host.wait(5 * NS_PER_S)
    balancer = host.balancer
    assert not balancer.requests
    assert len(balancer.rankings) <= 8192
    assert len(balancer.key_counts) <= 512
    assert len(balancer.recent_failures) <= 4096
    assert len(balancer.servers) <= 12
    assert not balancer.penalties
    assert all(len(c.outstanding) < 100 for c in balancer.classes.values())


def test_rejected_requests_leave_the_queues_in_a_long_overload() -> None:
    host = Host(servers=1)
    for server in host.balancer.servers.values():
        server.add_inflight(1000)  # never any capacity
    for i in range(3000):
        host.ask("read", f"k{i % 5}")
        host.wait(10 * MS)
    assert len(host.balancer.queued) < 50
    assert all(len(s.limiter.waiting) <= 200 for s in host.balancer.servers.values())
