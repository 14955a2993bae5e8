"""Fetching the platform's list for everyone: one core member does, the first of those that are connected."""

from __future__ import annotations

from collections.abc import Callable

from iristrack.controlplane.distribution import Distribution
from iristrack.http1.fetching import HttpClient
from iristrack.platform_api.server_list import ListUnavailable, fetch_list, to_message
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler
from iristrack.settings import ProviderInterface
from iristrack.wire.messages import Update
from iristrack.wire.values import encode_value

NS_PER_MS = 1_000_000
TICK_NS = 100 * NS_PER_MS
POLL_NS = 1000 * NS_PER_MS
FAST_POLL_NS = 500 * NS_PER_MS  # while servers change
FAST_FOR_NS = 3000 * NS_PER_MS
REFRESH_NS = 2000 * NS_PER_MS  # an unchanged list is told again, so that others know that it is followed
CALL_TIMEOUT_NS = 800 * NS_PER_MS
STALE_NS = 3500 * NS_PER_MS  # a list that was not told again for so long is fetched by whoever sees it


class ListPoller:
    """Polls while it is this member's turn, and publishes what has changed."""

    def __init__(
        self,
        scheduler: Scheduler,
        provider: ProviderInterface | None,
        distribution: Distribution,
        is_first: Callable[[], bool],
        in_quorum: Callable[[], bool],
    ) -> None:
        """`is_first`: is this the first of the members that are connected? Starts with the next turn of the loop.

        `in_quorum`: does this process reach a quorum? Whoever does not tells no list, which could outrank a newer one
        that the others tell: sidecars take the higher sequence.
        """
        self.scheduler = scheduler
        self.distribution = distribution
        self.is_first = is_first
        self.in_quorum = in_quorum
        self._value = b""
        self._told_at = 0
        self._changed_at = 0
        self._heard_at = self.scheduler.now()
        distribution.on_learned.append(self._on_learned)
        if provider is not None:
            self._caller = HttpClient(scheduler, (provider.address.host, provider.address.port))
            scheduler.spawn("list poller", self._run)

    def _on_learned(self, update: Update) -> None:
        if update.topic == topics.SERVERS:
            self._heard_at = self.scheduler.now()
            if update.value != self._value:
                self._value = update.value
                self._changed_at = self.scheduler.now()

    def _run(self) -> None:
        next_at = 0
        while True:
            self.scheduler.sleep(TICK_NS)
            now = self.scheduler.now()
            if now < next_at or not self._is_due(now):
                continue
            self._poll()
            fast = now - self._changed_at < FAST_FOR_NS
            next_at = now + (FAST_POLL_NS if fast else POLL_NS)

    def _is_due(self, now: int) -> bool:
        return self.in_quorum() and (self.is_first() or now - self._heard_at > STALE_NS)

    def _poll(self) -> None:
        try:
            value = encode_value(to_message(fetch_list(self._caller, self.scheduler.now() + CALL_TIMEOUT_NS)))
        except ListUnavailable:
            return  # the last list stands; the next call is soon
        now = self.scheduler.now()
        if value != self._value or now - self._told_at >= REFRESH_NS:
            self._told_at = now
            sequence = self.distribution.topics.next_sequence(topics.SERVERS)
            self.distribution.publish(Update(topics.SERVERS, sequence, value))
