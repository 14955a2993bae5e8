"""Tests of polling the platform's list: by one member, republished while unchanged, with a rising sequence."""

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
    """Answers each call with the next of `answers`, and every further call with the last one."""

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
        self.published: list[Update] = []
        self.distribution = Distribution(self.published.append, announcement)
        self.first = first
        self.in_quorum = True
        self.quorum_checks = 0  # calls of `in_quorum`
        provider = ProviderInterface(Address(*self.platform.server.address), 1.0, (), 0)
        ListPoller(self.loop.scheduler, provider, self.distribution, lambda: self.first, self._ask_quorum)

    def _ask_quorum(self) -> bool:
        self.quorum_checks += 1
        return self.in_quorum

    def run_while(self, condition) -> None:
        self.loop.run(lambda: self.loop.turn_while(condition))

    def names(self, update: Update) -> list[str]:
        return [entry.instance_id for entry in from_message(decode_value(update.value, ServersValue))]


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch) -> None:
    for name in ("TICK_NS", "POLL_INTERVAL_NS", "FAST_POLL_INTERVAL_NS"):
        monkeypatch.setattr(list_poller, name, MS)
    monkeypatch.setattr(list_poller, "REPUBLISH_INTERVAL_NS", 10 * MS)


def test_a_list_is_published_at_once_when_it_changes_and_repeated_while_unchanged() -> None:
    polled = Polled(page("i-1"), page("i-1", "i-2"), page("i-2"))
    polled.run_while(lambda: len(polled.published) < 5)
    assert [polled.names(update) for update in polled.published[:3]] == [["i-1"], ["i-1", "i-2"], ["i-2"]]
    assert polled.published[4].value == polled.published[2].value
    assert [update.sequence for update in polled.published] == [1, 2, 3, 4, 5]
    assert all(update.topic == topics.SERVERS for update in polled.published)


def test_the_pages_are_combined_into_one_list() -> None:
    polled = Polled(page("i-1", token="p&2"), page("i-2", token="3"), page("i-3"))
    polled.run_while(lambda: not polled.published)
    assert polled.names(polled.published[0]) == ["i-1", "i-2", "i-3"]
    assert polled.platform.targets[:3] == [
        b"/instances",
        b"/instances?page_token=p%262",
        b"/instances?page_token=3",
    ]


@pytest.mark.parametrize(
    "broken", [http.response(429, b""), http.response(200, b"{"), http.response(200, b'{"servers": [{}]}')]
)
def test_an_incomplete_list_is_not_published(broken: bytes) -> None:
    polled = Polled(page("i-1", token="2"), broken, page("i-1", "i-2"))
    polled.run_while(lambda: not polled.published)
    assert polled.names(polled.published[0]) == ["i-1", "i-2"]


def test_another_member_polls_only_after_the_first_has_stopped_publishing(monkeypatch) -> None:
    polled = Polled(page("i-1"), first=False)
    end = polled.loop.scheduler.turns + 200
    polled.run_while(lambda: polled.loop.scheduler.turns < end)
    assert polled.platform.server.opened == 0
    monkeypatch.setattr(list_poller, "STALE_NS", 0)
    polled.run_while(lambda: not polled.published)
    assert polled.names(polled.published[0]) == ["i-1"]


def test_a_member_without_a_quorum_publishes_no_list(monkeypatch) -> None:
    monkeypatch.setattr(list_poller, "STALE_NS", 0)
    polled = Polled(page("i-1"))
    polled.in_quorum = False
    polled.run_while(lambda: polled.quorum_checks < 5)
    assert polled.platform.server.opened == 0
    polled.in_quorum = True
    polled.run_while(lambda: not polled.published)


def test_a_restarted_core_publishes_above_the_sequences_that_data_planes_know() -> None:
    """After a restart of all members, data planes still hold a list with a much higher sequence."""
    polled = Polled(page("i-1"))
    peer = Peer()
    known = (Version(topics.SERVERS, 5_000),)
    polled.distribution.subscribe(peer, Subscribe(known))
    polled.distribution.on_heartbeat(peer, Heartbeat("edge-1", "p", 1, known))
    polled.run_while(lambda: not polled.published)
    assert polled.published[0].sequence > 5_000
