"""Fetching the platform's list: by one member, told again while it stands, and above whatever others know."""

from __future__ import annotations

import json

import pytest

from iristrack.controlplane import list_poller
from iristrack.controlplane.distribution import Distribution
from iristrack.controlplane.list_poller import ListPoller
from iristrack.http1 import messages as http
from iristrack.platform_api.server_list import from_message
from iristrack.relay import topics
from iristrack.settings import Address, ProviderInterface
from iristrack.wire.messages import Heartbeat, ServersValue, Subscribe, Update, Version
from iristrack.wire.values import decode_value
from tests.controlplane.peers import Peer, announcement
from tests.http1.calls import Loop, StandInServer

MS = 1_000_000


def page(*names: str, token: str | None = None) -> bytes:
    rows = [{"instance_id": name, "target": "pool", "address": "10.0.0.1:80"} for name in names]
    return http.response(200, json.dumps({"servers": rows, "next_token": token}).encode())


class Platform:
    """Answers each call with the next of `answers`, the last one again and again."""

    def __init__(self, loop: Loop, *answers: bytes) -> None:
        self.answers = list(answers)
        self.server = StandInServer(loop, self._serve)

    def _serve(self, sock) -> None:
        while True:
            self.server.request(sock)
            sock.send(self.answers.pop(0) if len(self.answers) > 1 else self.answers[0])

    @property
    def targets(self) -> list[bytes]:
        return [message.head.target for message in self.server.requests]


class Polled:
    def __init__(self, *answers: bytes, first: bool = True) -> None:
        self.loop = Loop()
        self.platform = Platform(self.loop, *answers)
        self.told: list[Update] = []
        self.distribution = Distribution(self.told.append, announcement)
        self.first = first
        self.in_quorum = True
        self.asked = 0  # how often it wanted to know whether it reaches a quorum
        provider = ProviderInterface(Address(*self.platform.server.address), 1.0, (), 0)
        ListPoller(self.loop.scheduler, provider, self.distribution, lambda: self.first, self._ask_quorum)

    def _ask_quorum(self) -> bool:
        self.asked += 1
        return self.in_quorum

    def turn_while(self, holds) -> None:
        self.loop.run(lambda: self.loop.turn_while(holds))

    def names(self, update: Update) -> list[str]:
        return [entry.instance_id for entry in from_message(decode_value(update.value, ServersValue))]


@pytest.fixture(autouse=True)
def short_times(monkeypatch) -> None:
    for name in ("TICK_NS", "POLL_INTERVAL_NS", "FAST_POLL_INTERVAL_NS"):
        monkeypatch.setattr(list_poller, name, MS)
    monkeypatch.setattr(list_poller, "REPUBLISH_INTERVAL_NS", 10 * MS)


def test_a_list_is_told_at_once_when_it_changes_and_again_while_it_stands() -> None:
    polled = Polled(page("i-1"), page("i-1", "i-2"), page("i-2"))
    polled.turn_while(lambda: len(polled.told) < 5)
    assert [polled.names(update) for update in polled.told[:3]] == [["i-1"], ["i-1", "i-2"], ["i-2"]]
    assert polled.told[4].value == polled.told[2].value
    assert [update.sequence for update in polled.told] == [1, 2, 3, 4, 5]
    assert all(update.topic == topics.SERVERS for update in polled.told)


def test_all_pages_make_one_list() -> None:
    polled = Polled(page("i-1", token="p&2"), page("i-2", token="3"), page("i-3"))
    polled.turn_while(lambda: not polled.told)
    assert polled.names(polled.told[0]) == ["i-1", "i-2", "i-3"]
    assert polled.platform.targets[:3] == [
        b"/instances",
        b"/instances?page_token=p%262",
        b"/instances?page_token=3",
    ]


@pytest.mark.parametrize(
    "broken", [http.response(429, b""), http.response(200, b"{"), http.response(200, b'{"servers": [{}]}')]
)
def test_half_a_list_is_no_list(broken: bytes) -> None:
    polled = Polled(page("i-1", token="2"), broken, page("i-1", "i-2"))
    polled.turn_while(lambda: not polled.told)
    assert polled.names(polled.told[0]) == ["i-1", "i-2"]


def test_another_member_polls_only_when_the_first_has_fallen_silent(monkeypatch) -> None:
    polled = Polled(page("i-1"), first=False)
    end = polled.loop.scheduler.turns + 200
    polled.turn_while(lambda: polled.loop.scheduler.turns < end)
    assert polled.platform.server.opened == 0
    monkeypatch.setattr(list_poller, "STALE_NS", 0)
    polled.turn_while(lambda: not polled.told)
    assert polled.names(polled.told[0]) == ["i-1"]


def test_who_reaches_no_quorum_tells_no_list(monkeypatch) -> None:
    monkeypatch.setattr(list_poller, "STALE_NS", 0)
    polled = Polled(page("i-1"))
    polled.in_quorum = False
    polled.turn_while(lambda: polled.asked < 5)
    assert polled.platform.server.opened == 0
    polled.in_quorum = True
    polled.turn_while(lambda: not polled.told)


def test_a_core_that_begins_anew_is_believed_by_those_who_remember_its_lists() -> None:
    """All members were restarted; the data planes still hold a list of a much higher sequence."""
    polled = Polled(page("i-1"))
    peer = Peer()
    known = (Version(topics.SERVERS, 5_000),)
    polled.distribution.subscribe(peer, Subscribe(known))
    polled.distribution.on_heartbeat(peer, Heartbeat("edge-1", "p", 1, known))
    polled.turn_while(lambda: not polled.told)
    assert polled.told[0].sequence > 5_000
