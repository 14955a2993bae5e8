"""Crossings at the client of discovery: starts, silences, returns, and a new address in the turn of an old answer.

They are judged by what is taken in which turn of the loop, by what each call asks for, and by the stated chains.
"""

from __future__ import annotations

import json
import select
import signal
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import replace

import pytest
from stage import SETTINGS, Client, Stage, call, turn_until, until
from stage import Discovery as Agent

from iristrack import interface as mi
from iristrack.balance import RESUBSCRIBE_DELAY_NS
from iristrack.config import flatten, read_address, read_settings
from iristrack.http1 import messages as http
from iristrack.net import discovery
from iristrack.runtime.scheduler import READ, Scheduler

MS, S = mi.NS_PER_MS, mi.NS_PER_S


class Watcher:
    """A client of discovery in this process, and what it took: kind, revision, and the loop's turn."""

    def __init__(self, agent: Agent, **contract: int) -> None:
        self.scheduler = Scheduler()
        settings = read_settings(flatten(SETTINGS))
        settings = replace(settings, contract=replace(settings.contract, **contract))
        self.taken: list[tuple[mi.ListKind, int, int]] = []
        self.client = discovery.Discovery(
            self.scheduler, read_address(agent.address), settings, 1,
            lambda kind, revision, entries: self.taken.append((kind, revision, self.scheduler.turns)),
            lambda: None,
        )  # fmt: skip

    def until(self, holds: Callable[[], object]) -> None:
        turn_until(self.scheduler, holds)


@pytest.fixture
def agent() -> Iterator[Agent]:
    agent = Agent()
    yield agent
    with suppress(OSError):
        agent.close()


def told(agent: Agent) -> dict:
    """The last known list; the agent has something newer."""
    agent.put("s1", "127.0.0.1:1")
    known = agent.table()
    agent.put("s1", "127.0.0.1:1", "terminating")
    return known


def test_a_new_process_goes_by_no_known_list_before_the_agent_has_said_what_changed(agent: Agent) -> None:
    watcher = Watcher(agent)
    watcher.client.start(told(agent))
    assert not watcher.taken
    watcher.until(lambda: len(watcher.taken) == 2)
    (first, _, one), (second, revision, other) = watcher.taken
    assert (first, second, revision) == (mi.ListKind.CACHED, mi.ListKind.DELTA, agent.revision)
    assert one == other  # no request can be sent between them


def test_a_silent_agent_is_given_up_and_the_known_list_stands(agent: Agent) -> None:
    agent.quiet = True
    watcher = Watcher(agent)
    watcher.client.start(told(agent))
    watcher.until(lambda: watcher.taken)
    assert [kind for kind, _, _ in watcher.taken] == [mi.ListKind.CACHED]
    watcher.until(lambda: len(agent.heads) >= 3)  # and it is asked on, for what it can say at once
    assert {head.target.partition(b"wait=")[2] for head in agent.heads} == {b"%d" % discovery.LOOK_MS}


def test_after_a_watch_fell_silent_the_next_call_asks_what_changed_without_a_wait(agent: Agent) -> None:
    watcher = Watcher(agent)
    watcher.client.start(told(agent))
    until_watch = b"wait=%d" % discovery.WATCH_WAIT_MS
    watcher.until(lambda: agent.heads and agent.heads[-1].target.endswith(until_watch))
    agent.quiet = True  # the watch that is open ends without a word
    watcher.until(lambda: agent.heads[-1].target.endswith(b"wait=%d" % discovery.LOOK_MS))
    agent.quiet = False
    agent.put("s2", "127.0.0.1:2")
    watcher.until(lambda: watcher.taken[-1][1] == agent.revision)
    assert [head.target.partition(b"wait=")[2] for head in agent.heads[:3]] == [b"1", b"2000", b"1"]


def test_the_worst_chains_of_waits_stay_within_what_counts_as_told(agent: Agent) -> None:
    for grace in (100 * MS, 220 * MS, 500 * MS, 2 * S, 30 * S):
        client = Watcher(agent, drain_grace_ns=grace).client
        assert client.give_up_ns + client.pause_ns <= max(grace // 2, 70 * MS) < grace + 50 * MS
        assert all(client.pause(0) <= client.pause_ns for _ in range(100))
        assert discovery.WATCH_WAIT_MS * MS + client.give_up_ns + client.pause_ns < 3 * S
    lost = 2 * discovery.ASKED_GIVE_UP_NS + 2 * RESUBSCRIBE_DELAY_NS[1]
    assert discovery.WATCH_WAIT_MS * MS + lost < 6 * S


@pytest.mark.parametrize("answer_first", [True, False])
def test_an_answer_of_the_old_discovery_in_the_turn_of_a_new_address_is_not_taken(
    agent: Agent, answer_first: bool
) -> None:
    agent.revision = 900  # the two count apart
    watcher = Watcher(agent)
    watcher.client.start(told(agent))
    watcher.until(lambda: agent.heads and agent.heads[-1].target.endswith(b"wait=2000"))
    other = Agent()
    other.put("s1", "127.0.0.1:1")
    taken = len(watcher.taken)
    old, old_fd = watcher.client.watching, watcher.client.watching.fd
    agent.put("s2", "127.0.0.1:2")
    watcher.until(lambda: readable(watcher, old_fd))
    if answer_first:  # the loop has seen the answer, and the signal comes before the task runs
        watcher.scheduler.resume(old, READ)
    watcher.client.follow(read_address(other.address))
    watcher.until(lambda: len(watcher.taken) > taken)
    assert watcher.taken[taken][:2] == (mi.ListKind.FULL, other.revision)
    assert other.heads[0].target == b"/catalog/members"
    other.close()


def readable(watcher: Watcher, fd: int) -> bool:
    """Has the answer come? The loop is kept from seeing it first."""
    watcher.scheduler._poll.modify(fd, 0)
    poll = select.poll()
    poll.register(fd, select.POLLIN)
    return bool(poll.poll(0))


def test_an_asked_discovery_is_spread_over_the_fleet_at_the_start_alone(agent: Agent) -> None:
    watcher = Watcher(agent)
    spreads = []
    watcher.client.asked, watcher.client.settings = True, replace(watcher.client.settings, balancers=1000)
    watcher.client.watching, watcher.client._told = None, True

    class Done:
        done = True

    watcher.scheduler.spawn = lambda name, call, spread: spreads.append(spread) or Done()
    for _ in range(3):
        watcher.client.subscribe(True)
    assert spreads[0] > 0 and spreads[1:] == [0, 0]


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("known", [{}, {"revision": 1, "complete": True, "members": []}, {"members": 3}])
def test_a_process_that_knows_no_list_asks_for_it(stage: Stage, mode: str, known: dict) -> None:
    stage.pool("s1")
    program = stage.start(known=known, settings=SETTINGS | {"membership_mode": mode})
    assert program.ask("r1").head.status == 200


def test_a_list_spoilt_in_any_way_ends_its_call_only(agent: Agent) -> None:
    spoilt = [
        b"[" * 100_000, b'{"revision":5,"members":[{"id":"x","host_port":"a:1","phase":"in_service","size":NaN}]}',
        b'{"revision":1' + b"0" * 5000 + b"}", b"\xff", b'{"revision":9,"members":[7]}',
    ]  # fmt: skip
    good = agent.handler
    left = list(spoilt)
    agent.handler = lambda message, sock: http.response(200, left.pop(0)) if left else good(message, sock)
    watcher = Watcher(agent)
    watcher.client.fetch()  # by the other path: it meets the first one
    watcher.client.start(told(agent))
    watcher.until(lambda: watcher.taken and watcher.taken[-1][1] == agent.revision)
    assert [kind for kind, _, _ in watcher.taken] == [mi.ListKind.CACHED, mi.ListKind.DELTA]


def test_discovery_away_at_the_start_delays_no_yes_past_its_return(stage: Stage) -> None:
    stage.pool("s1")
    stage.discovery.quiet = True
    program = stage.start(ready=False, known={})
    until(lambda: len(stage.discovery.heads) >= 3)
    stage.discovery.quiet = False
    asked = len(stage.discovery.heads)
    until(lambda: program._says({200}))
    assert len(stage.discovery.heads) <= asked + 3  # one on its way then, one more, and the watch
    assert json.loads(program.path.read_text())["known"] == {}


@pytest.mark.parametrize("knows", [False, True])
def test_an_end_before_the_first_list_is_an_orderly_one(stage: Stage, knows: bool) -> None:
    pool = stage.pool("s1")
    stage.discovery.quiet = True
    program = stage.start(ready=knows, **({} if knows else {"known": {}}))
    waiting = Client(program.port)
    waiting.sock.sendall(call("early", budget="3000m"))
    until(lambda: stage.discovery.heads)
    program.process.send_signal(signal.SIGTERM)
    status = waiting.read().head.status  # taken is taken: served from what is known, refused where nothing is
    assert status == (200 if knows else 503)
    assert len(pool.heads) == knows and program.process.wait(60) == 0
