"""Tests of connections between processes whose other end closes or does not respond."""

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

HEARTBEAT = Heartbeat("n", "p", 1)
TIMEOUT_NS = 10**10


class Pair:
    """A connection and its other end."""

    def __init__(self, scheduler: Scheduler, on_message=lambda connection, message: None) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.other = socket.create_connection(listener.getsockname())
        sock, _ = listener.accept()
        listener.close()
        sock.setblocking(False)
        self.received: list[Message] = []
        self.ends: list[PeerConnection] = []

        def take(connection: PeerConnection, message: Message) -> None:
            self.received.append(message)
            on_message(connection, message)

        self.connection = PeerConnection(scheduler, sock, take, self.ends.append)


class Loop:
    def __init__(self) -> None:
        self.failures: list[str] = []
        self.scheduler = Scheduler(lambda text: self.failures.append(f"{text}\n{traceback.format_exc()}"))

    def turn_until(self, condition) -> None:
        def check() -> None:
            while not condition():
                self.scheduler.call_at(clock(), self.scheduler.current.wake)
                self.scheduler.wait(-1, 0, None)
            self.scheduler.stop()

        self.scheduler._stopped = False
        self.scheduler.spawn("check", check)
        guard = self.scheduler.call_at(clock() + TIMEOUT_NS, self.scheduler.stop)
        self.scheduler.run()
        guard.cancel()
        assert not self.failures, "\n".join(self.failures)
        assert condition()

    def turns(self, count: int) -> None:
        end = self.scheduler.turns + count
        self.turn_until(lambda: self.scheduler.turns >= end)


def test_messages_are_delivered_in_both_directions() -> None:
    loop = Loop()
    one = Pair(loop.scheduler)
    one.connection.send(HEARTBEAT)
    one.connection.send(Update("t", 1, b"x" * 3_000_000))
    one.other.setblocking(False)
    other_end = PeerConnection(loop.scheduler, one.other, lambda c, m: received.append(m), lambda c: None)
    received: list[Message] = []
    other_end.send(HEARTBEAT)
    loop.turn_until(lambda: len(received) == 2 and one.received)
    assert received == [HEARTBEAT, Update("t", 1, b"x" * 3_000_000)]
    assert one.received == [HEARTBEAT]


def test_a_close_is_reported_once_and_nothing_is_sent_after_it() -> None:
    loop = Loop()
    pair = Pair(loop.scheduler)
    loop.turns(3)
    pair.other.close()
    loop.turn_until(lambda: pair.connection.closed)
    pair.connection.send(HEARTBEAT)
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


def test_bytes_that_are_not_frames_close_the_connection() -> None:
    loop = Loop()
    pair = Pair(loop.scheduler)
    pair.other.sendall(b"GET / HTTP/1.1\r\n\r\n" * 20)
    loop.turn_until(lambda: pair.connection.closed)
    assert pair.received == []


@pytest.mark.parametrize("sender_first", [True, False])
def test_a_message_to_a_peer_that_closes_in_the_same_turn_does_no_harm(sender_first: bool) -> None:
    """A message is relayed to a peer whose disconnect is noticed in the same turn of the loop."""
    loop = Loop()
    pairs: dict[str, Pair] = {}

    def relay(connection: PeerConnection, message: Message) -> None:
        pairs["gone"].connection.send(message)

    for name in ("sender", "gone") if sender_first else ("gone", "sender"):
        pairs[name] = Pair(loop.scheduler, relay)
    loop.turns(3)  # both are being polled
    pairs["sender"].other.sendall(encode(HEARTBEAT))
    pairs["gone"].other.close()
    loop.turn_until(lambda: pairs["gone"].connection.closed and pairs["sender"].received)
    loop.turns(5)
    assert pairs["gone"].ends == [pairs["gone"].connection]
    assert not pairs["sender"].connection.closed


def test_a_peer_that_accepts_connections_but_sends_nothing_does_not_count_as_heard() -> None:
    """The kernel of a frozen process keeps accepting connections; a new connection must not count as an answer."""
    loop = Loop()
    silent = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*silent.getsockname())
    dialers = DialerSet(
        loop.scheduler,
        lambda: Hello("n", "controlplane", "p", "z", "r", address),
        lambda: HEARTBEAT,
        lambda connection: None,
        lambda connection, message: None,
    )
    dialers.follow([address])
    loop.turn_until(lambda: dialers.dialers[address].connection is not None)
    assert dialers.heard_within(TIMEOUT_NS) == []
    assert dialers.connected() == 0
    peer, _ = silent.accept()
    peer.sendall(encode(HEARTBEAT))
    loop.turn_until(lambda: dialers.heard_within(TIMEOUT_NS) == [address])
    assert dialers.connected() == 1
    dialers.follow([])
    loop.turns(5)
    peer.close()
    silent.close()


def test_a_machine_without_power_is_dialled_several_times_a_second() -> None:
    """The kernel repeats a SYN only after a second, so long connection attempts would miss the machine's return."""
    world = World()
    scheduler = VirtualScheduler(world)
    attempts: list[int] = []

    def time_out(address, on_message, on_close, within_ns: int) -> PeerConnection:
        attempts.append(world.now)
        scheduler.sleep(within_ns)
        raise TimeoutError

    dialers = DialerSet(
        scheduler,
        lambda: Hello("n", "dataplane", "p", "z", "r", ""),
        lambda: HEARTBEAT,
        lambda connection: None,
        lambda connection, message: None,
        open_one=time_out,
    )
    dialers.follow(["10.0.0.1:7640"])
    world.run_until(999_999_999)
    assert len(attempts) == 4
    world.run_until(60_000_000_000)
    pauses = [later - earlier for earlier, later in pairwise(attempts)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == LONGEST_CONNECT_NS + LONGEST_PAUSE_NS
