"""Virtual time and a faulty network for the simulation of the registers."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


class EventQueue:
    """Events in the order of their virtual time (nanoseconds); those of one time in the order of their adding."""

    def __init__(self) -> None:
        """Start at time 0."""
        self.now = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._added = 0

    def add(self, at_ns: int, event: Callable[[], None]) -> None:
        """Have the event happen at this time, or now if that is past."""
        self._added += 1
        heapq.heappush(self._events, (max(at_ns, self.now), self._added, event))

    def run_until(self, end_ns: int) -> None:
        """Let all events up to this time happen."""
        while self._events and self._events[0][0] <= end_ns:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = max(self.now, end_ns)


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """How the network treats messages; shares are of all messages, delays in nanoseconds."""

    loss_share: float = 0.02
    duplicate_share: float = 0.02
    late_share: float = 0.05
    usual_delay_ns: int = 5 * MILLISECOND
    late_delay_ns: int = 600 * MILLISECOND


FAULTLESS = NetworkFaults(loss_share=0.0, duplicate_share=0.0, late_share=0.0)


class Network:
    """Delivers messages late, twice, out of order or never."""

    def __init__(
        self, queue: EventQueue, rng: random.Random, faults: NetworkFaults, figures: Counter[str]
    ) -> None:
        """Start with no receiver and no cut."""
        self.faults = faults
        self._queue = queue
        self._rng = rng
        self._figures = figures
        self._receivers: dict[str, Callable[[str, Any], None]] = {}
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._stalls: dict[tuple[str, str], int] = {}
        self._faultless_nodes: frozenset[str] = frozenset()

    def attach(self, node: str, receive: Callable[[str, Any], None]) -> None:
        """Deliver messages to the node by calling `receive(sender, message)`."""
        self._receivers[node] = receive

    def spare_links_among(self, nodes: tuple[str, ...]) -> None:
        """Keep the links among these nodes free of all faults but cuts."""
        self._faultless_nodes = frozenset(nodes)

    def cut(self, sender: str, receiver: str) -> None:
        """Drop what the sender sends to the receiver; the other direction stays."""
        self._cuts[sender, receiver] += 1

    def mend(self, sender: str, receiver: str) -> None:
        """Take back one cut."""
        self._cuts[sender, receiver] -= 1

    def stall(self, sender: str, receiver: str, until_ns: int) -> None:
        """Hold back what the sender sends to the receiver until this time."""
        self._stalls[sender, receiver] = until_ns

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Send one message."""
        faults = self._faults_between(sender, receiver)
        if self._cuts[sender, receiver] > 0 or self._rng.random() < faults.loss_share:
            self._figures["messages_lost"] += 1
            return
        self._deliver(sender, receiver, message, faults)
        if self._rng.random() < faults.duplicate_share:
            self._figures["messages_duplicated"] += 1
            self._deliver(sender, receiver, message, faults)

    def _faults_between(self, sender: str, receiver: str) -> NetworkFaults:
        if sender in self._faultless_nodes and receiver in self._faultless_nodes:
            return FAULTLESS
        return self.faults

    def _deliver(self, sender: str, receiver: str, message: Any, faults: NetworkFaults) -> None:
        departure = max(self._queue.now, self._stalls.get((sender, receiver), 0))
        arrival = departure + self._draw_delay(faults)
        self._queue.add(arrival, lambda: self._receivers[receiver](sender, message))

    def _draw_delay(self, faults: NetworkFaults) -> int:
        if self._rng.random() < faults.late_share:
            self._figures["messages_late"] += 1
            return self._rng.randint(0, faults.late_delay_ns)
        return self._rng.randint(1, faults.usual_delay_ns)
