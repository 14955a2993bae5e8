"""Connections between processes whose other end goes while something is sent."""

from __future__ import annotations

import socket
import traceback
from itertools import pairwise

import pytest

from iristrack.runtime.scheduler import Scheduler, clock
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.wire.codec import encode
from iristrack.wire.connection import MOST_QUEUED_BYTES, PeerConnection
from iristrack.wire.dialing import LONGEST_CONNECT_NS, LONGEST_PAUSE_NS, DialerSet
from iristrack.wire.messages import Heartbeat, Hello, Message, Update

BEAT = Heartbeat("n", "p", 1)
PATIENCE_NS = 10**10


class Pair:
    """A connection and its other end."""

    def __init__(self, scheduler: Scheduler, on_message=lambda connection, message: None) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.other = socket.create_connection(listener.getsockname())
        sock, _ = listener.accept()
        listener.close()
        sock.setblocking(False)
        self.got: list[Message] = []
        self.ends: list[PeerConnection] = []

        def take(connection: PeerConnection, message: Message) -> None:
            self.got.append(message)
            on_message(connection, message)

        self.connection = PeerConnection(scheduler, sock, take, self.ends.append)


class Loop:
    def __init__(self) -> None:
        self.failures: list[str] = []
        self.scheduler = Scheduler(lambda text: self.failures.append(f"{text}\n{traceback.format_exc()}"))

    def turn_until(self, holds) -> None:
        def look() -> None:
            while not holds():
                self.scheduler.call_at(clock(), self.scheduler.current.wake)
                self.scheduler.wait(-1, 0, None)
            self.scheduler.stop()

        self.scheduler._stopped = False
        self.scheduler.spawn("look", look)
        guard = self.scheduler.call_at(clock() + PATIENCE_NS, self.scheduler.stop)
        self.scheduler.run()
        guard.cancel()
        assert not self.failures, "\n".join(self.failures)
        assert holds()

    def turns(self, count: int) -> None:
        end = self.scheduler.turns + count
        self.turn_until(lambda: self.scheduler.turns >= end)


def test_messages_cross_both_ways() -> None:
    loop = Loop()
    one = Pair(loop.scheduler)
    one.connection.send(BEAT)
    one.connection.send(Update("t", 1, b"x" * 3_000_000))
    one.other.setblocking(False)
    theirs = PeerConnection(loop.scheduler, one.other, lambda c, m: got.append(m), lambda c: None)
    got: list[Message] = []
    theirs.send(BEAT)
    loop.turn_until(lambda: len(got) == 2 and one.got)
    assert got == [BEAT, Update("t", 1, b"x" * 3_000_000)]
    assert one.got == [BEAT]


def test_an_end_is_told_once_and_nothing_is_sent_after_it() -> None:
    loop = Loop()
    pair = Pair(loop.scheduler)
    loop.turns(3)
    pair.other.close()
    loop.turn_until(lambda: pair.connection.closed)
    pair.connection.send(BEAT)
    pair.connection.close()
    loop.turns(5)
    assert pair.ends == [pair.connection]
    assert pair.connection.sock.fileno() == -1


def test_a_peer_that_does_not_read_loses_the_connection() -> None:
    loop = Loop()
    pair = Pair(loop.scheduler)
    loop.turns(3)
    frame = b"x" * (MOST_QUEUED_BYTES // 8)
    for _ in range(12):
        pair.connection.send_frame(frame)
        if pair.connection.closed:
            break
    loop.turns(5)
    assert pair.ends == [pair.connection]


def test_bytes_that_are_no_frames_end_the_connection() -> None:
    loop = Loop()
    pair = Pair(loop.scheduler)
    pair.other.sendall(b"GET / HTTP/1.1\r\n\r\n" * 20)
    loop.turn_until(lambda: pair.connection.closed)
    assert pair.got == []


@pytest.mark.parametrize("speaker_first", [True, False])
def test_news_for_a_peer_that_went_in_the_same_turn_fails_nothing(speaker_first: bool) -> None:
    """One peer's message is handed on to another whose end is noticed in the same turn of the loop."""
    loop = Loop()
    pairs: dict[str, Pair] = {}

    def hand_on(connection: PeerConnection, message: Message) -> None:
        pairs["gone"].connection.send(message)

    for name in ("speaker", "gone") if speaker_first else ("gone", "speaker"):
        pairs[name] = Pair(loop.scheduler, hand_on)
    loop.turns(3)  # both are waited on
    pairs["speaker"].other.sendall(encode(BEAT))
    pairs["gone"].other.close()
    loop.turn_until(lambda: pairs["gone"].connection.closed and pairs["speaker"].got)
    loop.turns(5)
    assert pairs["gone"].ends == [pairs["gone"].connection]
    assert not pairs["speaker"].connection.closed


def test_a_peer_that_takes_connections_and_says_nothing_has_not_been_heard() -> None:
    """The machine of a frozen process goes on taking connections: each new one must not count as an answer."""
    loop = Loop()
    silent = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*silent.getsockname())
    dialers = DialerSet(
        loop.scheduler,
        lambda: Hello("n", "controlplane", "p", "z", "r", address),
        lambda: BEAT,
        lambda connection: None,
        lambda connection, message: None,
    )
    dialers.follow([address])
    loop.turn_until(lambda: dialers.dialers[address].connection is not None)
    assert dialers.heard_within(PATIENCE_NS) == []
    assert dialers.connected() == 0
    peer, _ = silent.accept()
    peer.sendall(encode(BEAT))
    loop.turn_until(lambda: dialers.heard_within(PATIENCE_NS) == [address])
    assert dialers.connected() == 1
    dialers.follow([])
    loop.turns(5)
    peer.close()
    silent.close()


def test_a_machine_without_power_is_dialled_again_and_again_within_a_second() -> None:
    """It says nothing, and a system sends an opening packet again after a second: a long try would miss its return."""
    world = World()
    scheduler = VirtualScheduler(world)
    began: list[int] = []

    def say_nothing(address, on_message, on_close, within_ns: int) -> PeerConnection:
        began.append(world.now)
        scheduler.sleep(within_ns)
        raise TimeoutError

    dialers = DialerSet(
        scheduler,
        lambda: Hello("n", "dataplane", "p", "z", "r", ""),
        lambda: BEAT,
        lambda connection: None,
        lambda connection, message: None,
        open_one=say_nothing,
    )
    dialers.follow(["10.0.0.1:7640"])
    world.run_until(999_999_999)
    assert len(began) == 4
    world.run_until(60_000_000_000)
    pauses = [later - earlier for earlier, later in pairwise(began)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == LONGEST_CONNECT_NS + LONGEST_PAUSE_NS
