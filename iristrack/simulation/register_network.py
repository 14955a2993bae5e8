"""A network without connections for the simulation of the registers: messages get lost, late, doubled, reordered."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from iristrack.simulation.virtual_time import World
from iristrack.wire.messages import Message

MILLISECOND = 1_000_000  # in nanoseconds

Receive = Callable[[str, Message], None]  # sender, message


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """How the network treats messages; shares are of all messages, delays in nanoseconds."""

    loss_share: float = 0.02
    duplicate_share: float = 0.02
    late_share: float = 0.05
    usual_delay_ns: int = 5 * MILLISECOND
    late_delay_ns: int = 600 * MILLISECOND


FAULTLESS = NetworkFaults(loss_share=0.0, duplicate_share=0.0, late_share=0.0)


class LossyNetwork:
    """Delivers messages late, twice, out of order or never."""

    def __init__(
        self, world: World, rng: random.Random, faults: NetworkFaults, figures: Counter[str]
    ) -> None:
        """Start with no receiver and no cut."""
        self.faults = faults
        self._world = world
        self._rng = rng
        self._figures = figures
        self._receivers: dict[str, Receive] = {}
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._stalls: dict[tuple[str, str], int] = {}
        self._faultless_nodes: frozenset[str] = frozenset()

    def attach(self, node: str, receive: Receive) -> None:
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

    def moved_bytes(self, node: str) -> int:
        """Bytes that have left the node or arrived there; lengths are not simulated."""
        return 0

    def send(self, sender: str, receiver: str, message: Message) -> None:
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

    def _deliver(self, sender: str, receiver: str, message: Message, faults: NetworkFaults) -> None:
        departure = max(self._world.now, self._stalls.get((sender, receiver), 0))
        arrival = departure + self._draw_delay(faults)
        self._world.at(arrival, None, self._receivers[receiver], sender, message)

    def _draw_delay(self, faults: NetworkFaults) -> int:
        if self._rng.random() < faults.late_share:
            self._figures["messages_late"] += 1
            return self._rng.randint(0, faults.late_delay_ns)
        return self._rng.randint(1, faults.usual_delay_ns)
