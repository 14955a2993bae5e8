"""What sidecars have under way at servers, summed over those that told of it."""

from __future__ import annotations

from collections.abc import Iterable

from iristrack.wire.messages import ServerLoad, ServerLoads

EXPIRY_NS = 1_000_000_000  # a sender that says nothing for so long counts for nothing
MOST_SENDERS = 512


class LoadBoard:
    """The newest loads of each sender."""

    def __init__(self) -> None:
        """Nobody has told anything."""
        self._told: dict[str, tuple[int, ServerLoads]] = {}

    def take(self, loads: ServerLoads, now: int) -> bool:
        """Take a sender's loads; whether they are newer than what it told before."""
        known = self._told.get(loads.node)
        if known is not None and known[1].count >= loads.count and now - known[0] < EXPIRY_NS:
            return False
        if known is None and len(self._told) >= MOST_SENDERS:
            return False
        self._told[loads.node] = (now, loads)
        return True

    def expire(self, now: int) -> None:
        """Forget senders that have fallen silent."""
        for node in [node for node, (at, _) in self._told.items() if now - at >= EXPIRY_NS]:
            del self._told[node]

    def senders(self) -> list[str]:
        """Who has told anything lately."""
        return list(self._told)

    def sidecars(self) -> int:
        """Of all senders together."""
        return sum(loads.sidecars for _, loads in self._told.values())

    def total(self, without: str | None = None) -> dict[str, ServerLoad]:
        """The sum of all loads but those of one sender, by instance."""
        told = (loads for node, (_, loads) in self._told.items() if node != without)
        return sum_loads(told)


def add_loads(first: ServerLoad, second: ServerLoad) -> ServerLoad:
    """What two senders have at one server."""
    return ServerLoad(
        first.instance,
        first.requests + second.requests,
        first.pieces + second.pieces,
        first.answered + second.answered,
        first.failed + second.failed,
    )


def sum_loads(told: Iterable[ServerLoads]) -> dict[str, ServerLoad]:
    """The sum of several senders' loads, by instance."""
    total: dict[str, ServerLoad] = {}
    for loads in told:
        for load in loads.loads:
            known = total.get(load.instance)
            if known is not None:
                load = ServerLoad(load.instance, known.requests + load.requests, known.pieces + load.pieces)
            total[load.instance] = load
    return total
