"""Virtual links and disks for whole programs: connections that are cut and end, records that survive or do not.

A connection behaves like one of TCP: what is sent arrives in order, or the connection ends. Behind a cut nothing
arrives; what was held up arrives when the cut heals, unless the connection has ended by then: a sender with
unacknowledged bytes gives up after `USER_TIMEOUT_NS`, and a machine without power says nothing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.store.acceptor_format import BlobRecord, IdentityRecord, Record
from iristrack.wire.codec import FrameReader
from iristrack.wire.connection import USER_TIMEOUT_MS
from iristrack.wire.messages import Message

NS_PER_MS = 1_000_000
USER_TIMEOUT_NS = USER_TIMEOUT_MS * NS_PER_MS
USUAL_DELAY_NS = 1 * NS_PER_MS
DELAY_SPREAD_NS = 1 * NS_PER_MS
USUAL_SYNC_NS = 3 * NS_PER_MS

Handler = Callable[["VirtualConnection", Message], None]
Closed = Callable[["VirtualConnection"], None]


class SilentLog:
    """Takes the programs' log lines, for a failing run, and counts their events."""

    def __init__(self, world: World, name: str, lines: list[str], events: Counter[str] | None = None) -> None:
        """`lines` and `events` are shared by all processes."""
        self.world = world
        self.name = name
        self.lines = lines
        self.events = Counter() if events is None else events

    def info(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.events[event] += 1
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{self.world.now / 1e9:.3f} {self.name} {event} {text}")

    warning = error = exception = info


class VirtualConnection:
    """One end of a connection; stands in for `PeerConnection`."""

    def __init__(self, scheduler: VirtualScheduler, here: str, on_message: Handler, on_close: Closed) -> None:
        """`here` is the address of this end's machine; `join` names the other end."""
        self.scheduler = scheduler
        self.here = here
        self.on_message = on_message
        self.on_close = on_close
        self.closed = False
        self.heard_at = scheduler.now()
        self.has_spoken = False
        self.on_drained: Callable[[VirtualConnection], None] | None = None
        self.queued = 0
        self.written_bytes = self.received_bytes = 0  # lengths are not simulated
        self.other: VirtualConnection | None = None
        self.network: Network | None = None
        self.unacknowledged_since: int | None = None
        self.last_arrival = 0

    def join(self, other: VirtualConnection, network: Network) -> None:
        """These are the two ends of one connection."""
        self.other, self.network = other, network

    def send(self, message: Message) -> None:
        """Send a message."""
        if not self.closed:
            self.network.carry(self, message)

    def send_frame(self, frame: bytes) -> None:
        """Send what an encoded message says."""
        for message in FrameReader().feed(frame):
            self.send(message)

    def close(self) -> None:
        """End the connection; the other end hears of it unless there is a cut."""
        if self.closed:
            return
        self.closed = True
        if self.network.is_open(self.here, self.other.here):
            world = self.network.world
            world.at(world.now + USUAL_DELAY_NS, self.other.scheduler, self.other.close)
        self.on_close(self)

    def arrive(self, message: Message) -> None:
        """Take a message from the other end."""
        if not self.closed:
            self.heard_at = self.scheduler.now()
            self.has_spoken = True
            self.on_message(self, message)


class Network:
    """Who reaches whom, and the listeners of the processes that run."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """All reach all."""
        self.world = world
        self.rng = rng
        self.listeners: dict[
            str, tuple[VirtualScheduler, Callable[[VirtualConnection], None], Handler, Closed]
        ]
        self.listeners = {}
        self.cuts: set[tuple[str, str]] = set()  # (sender, receiver)
        self._held: list[tuple[VirtualConnection, Message]] = []

    def is_open(self, sender: str, receiver: str) -> bool:
        """Does what is sent arrive?"""
        return (sender, receiver) not in self.cuts

    def cut(self, pairs: set[tuple[str, str]]) -> None:
        """Let nothing pass from the first to the second of each pair."""
        self.cuts |= pairs

    def mend(self, pairs: set[tuple[str, str]]) -> None:
        """Let it pass again, with what was held up on connections that are still open."""
        self.cuts -= pairs
        held, self._held = self._held, []
        for sender, message in held:
            self.carry(sender, message)

    def open_connection(
        self,
        scheduler: VirtualScheduler,
        here: str,
        address: str,
        on_message: Handler,
        on_close: Closed,
        within_ns: int,
    ) -> VirtualConnection:
        """Connect from a task; raises `OSError`."""
        if not (self.is_open(here, address) and self.is_open(address, here)):
            scheduler.sleep(within_ns)
            raise TimeoutError
        scheduler.sleep(2 * self._delay())
        listener = self.listeners.get(address)
        if listener is None or not listener[0].alive or not self.is_open(here, address):
            raise ConnectionRefusedError
        accepting, on_open, peer_message, peer_close = listener
        near = VirtualConnection(scheduler, here, on_message, on_close)
        far = VirtualConnection(accepting, address, peer_message, peer_close)
        near.join(far, self)
        far.join(near, self)
        self.world.at(self.world.now, accepting, on_open, far)
        return near

    def carry(self, sender: VirtualConnection, message: Message) -> None:
        """Bring a message to the other end, or hold it up behind a cut."""
        receiver = sender.other
        if sender.closed or not receiver.scheduler.alive:
            if not receiver.scheduler.alive and not sender.closed:
                self._time_out(sender)
            return
        open_both = self.is_open(sender.here, receiver.here) and self.is_open(receiver.here, sender.here)
        if not self.is_open(sender.here, receiver.here):
            self._held.append((sender, message))
        else:
            receiver.last_arrival = max(self.world.now + self._delay(), receiver.last_arrival + 1)
            self.world.at(receiver.last_arrival, receiver.scheduler, receiver.arrive, message)
        if open_both:
            sender.unacknowledged_since = None
        else:
            self._time_out(sender)

    def _time_out(self, sender: VirtualConnection) -> None:
        """Bytes that nobody acknowledges end the sender's side after a while."""
        if sender.unacknowledged_since is None:
            sender.unacknowledged_since = self.world.now
            self.world.at(self.world.now + USER_TIMEOUT_NS, sender.scheduler, self._give_up, sender)

    def _give_up(self, sender: VirtualConnection) -> None:
        since = sender.unacknowledged_since
        receiver = sender.other
        cut = not (self.is_open(sender.here, receiver.here) and self.is_open(receiver.here, sender.here))
        if since is not None and (cut or not receiver.scheduler.alive):
            sender.close()

    def _delay(self) -> int:
        return USUAL_DELAY_NS + self.rng.randint(0, DELAY_SPREAD_NS)


@dataclass
class VirtualDisk:
    """What survives a process and, as far as it was synced, a loss of power."""

    identity: IdentityRecord | None = None
    cells: dict = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)
    sync_ns: int = USUAL_SYNC_NS
    refusing: bool = False  # no write succeeds
    stalled_until: int = 0  # nothing is written before

    def opened(self, node: str) -> SimpleNamespace:
        """What `open_acceptor_store` gives of it."""
        return SimpleNamespace(
            store=SimpleNamespace(node=node),
            identity=self.identity,
            registers=dict(self.cells),
            blobs=dict(self.blobs),
            notes=[],
        )

    def keep(self, records: list[Record]) -> None:
        """Have records on the disk."""
        for record in records:
            if isinstance(record, IdentityRecord):
                self.identity = record
            elif isinstance(record, BlobRecord):
                self.blobs[record.name] = record.value
            else:
                self.cells[record.key] = record

    def keep_some(self, records: list[Record], rng: random.Random) -> None:
        """Have the first few of records on the disk that were not synced when the process ended."""
        if not self.refusing:
            self.keep(records[: rng.randint(0, len(records))])

    def wipe(self) -> None:
        """Lose everything."""
        self.identity = None
        self.cells = {}
        self.blobs = {}


class VirtualSync:
    """Stands in for `SyncThread`: one sync at a time, all that waits goes with the next one."""

    def __init__(self, scheduler: VirtualScheduler, disk: VirtualDisk) -> None:
        """Nothing waits."""
        self.scheduler = scheduler
        self.disk = disk
        self.waiting: list[tuple[list[Record], Callable[[bool], None]]] = []
        self._under_way: list[tuple[list[Record], Callable[[bool], None]]] = []

    def start(self) -> None:
        """Nothing is to be begun."""

    def stop(self, within_s: float) -> bool:
        """Nothing is to be ended."""
        return True

    def submit(self, records, on_done: Callable[[bool], None]) -> None:
        """Have records on the disk; `on_done` is called in the order of submission."""
        self.waiting.append((list(records), on_done))
        if not self._under_way:
            self._begin()

    def unsynced(self) -> list[Record]:
        """Records that a loss of power may or may not keep, in their order."""
        return [record for records, _ in (*self._under_way, *self.waiting) for record in records]

    def _begin(self) -> None:
        self._under_way, self.waiting = self.waiting, []
        begins = max(self.scheduler.now(), self.disk.stalled_until)
        self.scheduler.call_at(begins + self.disk.sync_ns, self._end)

    def _end(self) -> None:
        batch, self._under_way = self._under_way, []
        kept = not self.disk.refusing
        for records, _ in batch:
            if kept:
                self.disk.keep(records)
        if not kept:  # what was submitted meanwhile may rest on what was refused
            batch, self.waiting = [*batch, *self.waiting], []
        for _, on_done in batch:
            on_done(kept)
        if self.waiting and not self._under_way:
            self._begin()
