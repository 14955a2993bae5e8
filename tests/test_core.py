"""The core without a front: each action of the module is carried out, and each ending told, as it was."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from contextlib import suppress

import pytest
from stage import SETTINGS, Discovery, Listener, error, reject, reset, serve, silent, truncated, turn_until

from iristrack import interface as mi
from iristrack.config import Config, flatten, read_address, read_settings
from iristrack.http1 import messages as http
from iristrack.net.sidecar import Answer, ClientRequest, Ending, Sidecar, most_connections
from iristrack.runtime.scheduler import Scheduler, clock

LONG = 30 * mi.NS_PER_S


class Present:
    """A client that stays."""

    def present(self) -> bool:
        return True


class Script:
    """In the module's place: notes the events and does as a test says."""

    def __init__(self) -> None:
        self.events: list[mi.Event] = []
        self.reply: Callable[[mi.Event], list[mi.Action]] = lambda event: []

    def handle(self, now: int, event: mi.Event) -> list[mi.Action]:
        self.events.append(event)
        return self.reply(event)

    def seen(self, kind: type) -> list:
        return [event for event in self.events if isinstance(event, kind)]


class Bench:
    """One core in this process, on real sockets."""

    def __init__(self) -> None:
        self.discovery = Discovery()
        self.scheduler = Scheduler()
        self.script = Script()
        self.answers: list[Answer] = []
        self.listeners: list[Listener] = [self.discovery]

    def start(self) -> None:
        address = read_address(self.discovery.address)
        settings = read_settings(flatten(SETTINGS))
        config = Config("n0", address, address, 1, settings, self.discovery.table())
        self.sidecar = Sidecar(self.scheduler, config)
        self.sidecar.balancer = self.script
        self.sidecar.start()
        if self.discovery.members:  # the list stands once the agent has said what changed
            self.until(lambda: self.sidecar.ready)

    def pool(self, name: str, handler: Callable) -> Listener:
        pool = Listener(handler)
        self.listeners.append(pool)
        self.discovery.put(name, pool.address)
        return pool

    def until(self, holds: Callable[[], object]) -> None:
        turn_until(self.scheduler, holds)

    def submit(self, call_id: str, patience_ns: int = LONG) -> ClientRequest:
        def encode(left_ns: int) -> bytes:
            return http.request(b"GET", b"/api/k", b"X-Call-Id: %b\r\n" % call_id.encode())

        deliver = self.answers.append
        request = ClientRequest(call_id, "view", clock() + patience_ns, encode, deliver, Present())
        assert self.sidecar.submit(request)
        return request


@pytest.fixture
def bench() -> Iterator[Bench]:
    bench = Bench()
    yield bench
    bench.sidecar.stop()
    for listener in bench.listeners:
        with suppress(OSError):
            listener.close()


def send_once(timeout_ns: int = 0) -> Callable[[mi.Event], list[mi.Action]]:
    return lambda event: [mi.Send(event.id, "s1", timeout_ns)] if isinstance(event, mi.Request) else []


@pytest.mark.parametrize(
    ("handler", "outcome"),
    [
        (serve, mi.Outcome.OK),
        (error, mi.Outcome.ERROR),
        (reject, mi.Outcome.REJECTED),
        (lambda message, sock: http.response(503), mi.Outcome.ERROR),  # nothing says that it never ran
        (lambda message, sock: http.response(504, b"", b"X-Rejected: 1\r\n"), mi.Outcome.REJECTED),
        (reset, mi.Outcome.RESET),
        (truncated, mi.Outcome.RESET),
        (lambda message, sock: b"what?\r\n\r\n", mi.Outcome.RESET),
        (lambda message, sock: b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", mi.Outcome.RESET),
        (lambda message, sock: b"HTTP/1.1 200 OK\r\nX-Endless: " + b"x" * 20_000, mi.Outcome.RESET),
        (lambda message, sock: b"HTTP/1.1 103 H\r\n\r\n" * 99 + http.response(200), mi.Outcome.RESET),
        (silent, mi.Outcome.TIMEOUT),
    ],
)
def test_each_ending_is_told_as_the_protocol_names_it(bench: Bench, handler, outcome: mi.Outcome) -> None:
    bench.pool("s1", handler)
    bench.start()
    bench.script.reply = send_once(mi.NS_PER_S if handler is silent else 0)
    bench.submit("r1")
    bench.until(lambda: bench.script.seen(mi.AttemptEnded))
    (ended,) = bench.script.seen(mi.AttemptEnded)
    served = outcome is mi.Outcome.OK
    assert (ended.outcome, ended.final, ended.attempt, ended.server) == (outcome, served, 0, "s1")
    assert [a.ending for a in bench.answers] == ([Ending.SERVED] if served else [])
    assert ("r1" in bench.sidecar.requests) is not served


def test_what_was_refused_a_connection_could_not_connect(bench: Bench) -> None:
    bench.pool("s1", serve).close()
    bench.start()
    bench.script.reply = send_once()
    bench.submit("r1")
    bench.until(lambda: bench.script.seen(mi.AttemptEnded))
    assert bench.script.seen(mi.AttemptEnded)[0].outcome is mi.Outcome.CONNECT_FAILED
    assert bench.sidecar.links.open == 0


def test_nothing_begins_once_the_drain_grace_is_over(bench: Bench) -> None:
    pool = bench.pool("s1", serve)
    bench.start()
    bench.sidecar.links.targets["s1"].away_since = clock() - bench.sidecar.settings.contract.drain_grace_ns
    bench.script.reply = send_once()
    bench.submit("r1")
    bench.until(lambda: bench.script.seen(mi.AttemptEnded))
    assert bench.script.seen(mi.AttemptEnded)[0].outcome is mi.Outcome.NOT_SENT
    assert not pool.heads


def test_a_given_up_attempt_is_off_its_connection_before_the_module_hears_of_it(bench: Bench) -> None:
    bench.pool("s1", silent)
    bench.start()
    links: list[int] = []

    def reply(event: mi.Event) -> list[mi.Action]:
        if isinstance(event, mi.AttemptEnded):
            links.append(bench.sidecar.links.open)
        return send_once(200 * mi.NS_PER_MS)(event)

    bench.script.reply = reply
    bench.submit("r1")
    bench.until(lambda: links)
    assert links == [0]


def test_a_cancelled_attempt_ends_as_cancelled(bench: Bench) -> None:
    pool = bench.pool("s1", silent)
    bench.start()
    bench.script.reply = send_once()
    request = bench.submit("r1")
    bench.until(lambda: pool.heads)
    bench.script.reply = lambda event: [mi.Cancel("r1", 0)] if isinstance(event, mi.ClientGone) else []
    bench.sidecar.hang_up(request)
    bench.until(lambda: bench.script.seen(mi.AttemptEnded))
    (ended,) = bench.script.seen(mi.AttemptEnded)
    assert (ended.outcome, ended.final) == (mi.Outcome.CANCELLED, True)
    assert not bench.answers and not bench.sidecar.requests


def test_a_module_that_fails_costs_one_request(bench: Bench) -> None:
    bench.pool("s1", serve)
    bench.start()

    def reply(event: mi.Event) -> list[mi.Action]:
        if isinstance(event, mi.Request) and event.id == "bad":
            raise RuntimeError("on purpose")
        return send_once()(event)

    bench.script.reply = reply
    bench.submit("bad")
    bench.submit("good")
    bench.until(lambda: len(bench.answers) == 2)
    assert [(a.ending, a.fault) for a in bench.answers] == [(Ending.FAILED, True), (Ending.SERVED, False)]


def test_an_answer_is_given_once_and_nobody_waits_past_the_patience(bench: Bench) -> None:
    bench.start()
    bench.script.reply = lambda event: []
    request = bench.submit("r1")
    bench.sidecar.expire(request)  # the module has said nothing
    bench.sidecar.expire(request)
    assert [(a.ending, a.late) for a in bench.answers] == [(Ending.FAILED, True)]
    bench.script.reply = lambda event: [mi.Reject("r2", 5), mi.Fail("r2")] if event.id == "r2" else []
    bench.submit("r2")
    assert [(a.ending, a.retry_after_ns) for a in bench.answers[1:]] == [(Ending.REFUSED, 5)]
    assert not bench.sidecar.requests


def test_probes_lists_timers_and_idle_connections_are_carried_out(bench: Bench) -> None:
    report = b"TEXT inflight=7, util=0.61, odd=x, queue=nan"
    pool = bench.pool("s1", lambda message, sock: http.response(200, report))
    bench.start()
    done: list[mi.Event] = []
    bench.script.reply = lambda event: (done.append(event) or []) if isinstance(event, mi.TimerFired) else []
    for action in (
        mi.Probe("s1"),
        mi.SetTimer(7, 1),
        mi.FetchList(),
        mi.Log("a note"),
        mi.PeerSend(None, b""),
    ):
        bench.sidecar.actions[type(action)](action)
    full = (mi.ListKind.FULL, ("s1",))
    bench.until(
        lambda: bench.script.seen(mi.ProbeEnded) and done and len(bench.script.seen(mi.ServerList)) >= 2
    )
    (ended,) = bench.script.seen(mi.ProbeEnded)
    assert (ended.outcome, ended.report) == (mi.Outcome.OK, {"inflight": 7.0, "util": 0.61})
    assert done == [mi.TimerFired(7)]
    lists = [(e.kind, tuple(s.server for s in e.servers)) for e in bench.script.seen(mi.ServerList)]
    # The watch asks for what changed since the table it was started with, and hears nothing new.
    assert lists[0][0] is mi.ListKind.CACHED and lists[1:] == [full]
    assert len(pool.open) == 1
    bench.sidecar.actions[mi.CloseIdle](mi.CloseIdle("s1"))
    bench.until(lambda: not pool.open)


def test_a_discovery_that_started_anew_is_asked_for_the_whole_list(bench: Bench) -> None:
    bench.pool("s1", serve)
    bench.discovery.revision = 500
    bench.start()
    bench.until(lambda: any(e.version == 500 for e in bench.script.seen(mi.ServerList)))
    bench.discovery.revision = 3
    bench.discovery.members = {"s9": (3, bench.discovery.members["s1"][1] | {"id": "s9"})}
    bench.until(lambda: "s9" in bench.sidecar.links.targets)


def test_a_long_request_ends_with_its_client_even_where_the_module_calls_nothing_off(bench: Bench) -> None:
    # Its attempt reads from the client's descriptor, which is another client's once it is closed.
    class Waiting(Present):
        def read(self, size: int) -> bytes:
            bench.scheduler.wait(-1, 0, clock() + LONG)
            return b"never"

    pool = bench.pool("s1", serve)
    bench.start()
    bench.script.reply = send_once()
    request = ClientRequest(
        "r1", "pay", clock() + LONG, lambda ns: b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
        bench.answers.append, Waiting(), long=True, budget_ns=LONG,
    )  # fmt: skip
    assert bench.sidecar.submit(request)
    bench.until(lambda: pool.open)
    assert bench.sidecar.figures.outstanding == 0  # it is taken once its last byte has come
    bench.sidecar.hang_up(request)
    bench.until(lambda: bench.script.seen(mi.AttemptEnded) and not pool.open)
    assert bench.script.seen(mi.AttemptEnded)[0].outcome is mi.Outcome.CANCELLED
    assert (pool.heads, bench.answers, bench.sidecar.requests) == ([], [], {})


def test_the_clock_is_unix_time_so_that_starts_compare(bench: Bench) -> None:
    bench.discovery.put("s1", "127.0.0.1:1", up_since_ms=1_700_000_000_000)
    bench.start()
    (entry,) = bench.script.seen(mi.ServerList)[0].servers
    assert entry.started_ns == 1_700_000_000 * mi.NS_PER_S < clock()


def test_an_idle_connection_is_retired_before_its_server_closes_it(bench: Bench) -> None:
    pool = bench.pool("s1", serve)
    bench.start()
    bench.script.reply = send_once()
    bench.submit("r1")
    bench.until(lambda: bench.answers)
    (link,) = bench.sidecar.links.targets["s1"].idle
    link.idle_since -= bench.sidecar.links.idle_ns
    bench.submit("r2")
    bench.until(lambda: len(bench.answers) == 2)
    assert pool.opened == 2


@pytest.mark.parametrize(
    ("sockets", "memory", "most"),
    [(1024, 192, (600, 400)), (1024, 32, (123, 81)), (64, 0, (24, 16)), (10, 1, (8, 8))],
)
def test_connections_are_bounded_by_descriptors_and_by_memory(
    sockets: int, memory: int, most: tuple[int, int]
) -> None:
    here = ("127.0.0.1", 1)
    settings = read_settings(flatten(SETTINGS))
    assert most_connections(Config("n0", here, here, 1, settings, {}, sockets, memory)) == most


def test_a_server_without_a_descriptor_left_for_it_is_not_to_blame(bench: Bench) -> None:
    bench.pool("s1", serve)
    bench.start()

    def none_left(scheduler: object, address: object, deadline: int) -> None:
        raise OSError(errno.EMFILE, "no descriptor left")

    bench.sidecar.links.connect = none_left
    bench.script.reply = send_once()
    bench.submit("r1")
    bench.until(lambda: bench.script.seen(mi.AttemptEnded))
    assert bench.script.seen(mi.AttemptEnded)[0].outcome is mi.Outcome.NOT_SENT
