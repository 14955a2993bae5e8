"""Polls the platform's server list: the first of the connected core members fetches it for all processes."""

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
POLL_INTERVAL_NS = 1000 * NS_PER_MS
FAST_POLL_INTERVAL_NS = 500 * NS_PER_MS  # while the list changes
FAST_POLL_DURATION_NS = 3000 * NS_PER_MS
REPUBLISH_INTERVAL_NS = 2000 * NS_PER_MS  # of an unchanged list, to show that it is still being polled
FETCH_TIMEOUT_NS = 800 * NS_PER_MS
STALE_NS = 3500 * NS_PER_MS  # a list not republished for this long is fetched by any member that notices


class ListPoller:
    """Polls the list while it is this member's turn, and publishes changes."""

    def __init__(
        self,
        scheduler: Scheduler,
        provider: ProviderInterface | None,
        distribution: Distribution,
        is_first: Callable[[], bool],
        in_quorum: Callable[[], bool],
    ) -> None:
        """Start polling with the next turn of the loop.

        `is_first` tells whether this is the first of the connected members, `in_quorum` whether this process reaches a
        quorum. Without a quorum no list is published: it could outrank a newer one from the others, since sidecars take
        the higher sequence.
        """
        self.scheduler = scheduler
        self.distribution = distribution
        self.is_first = is_first
        self.in_quorum = in_quorum
        self._value = b""
        self._published_at = 0
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
            fast = now - self._changed_at < FAST_POLL_DURATION_NS
            next_at = now + (FAST_POLL_INTERVAL_NS if fast else POLL_INTERVAL_NS)

    def _is_due(self, now: int) -> bool:
        return self.in_quorum() and (self.is_first() or now - self._heard_at > STALE_NS)

    def _poll(self) -> None:
        try:
            value = encode_value(
                to_message(fetch_list(self._caller, self.scheduler.now() + FETCH_TIMEOUT_NS))
            )
        except ListUnavailable:
            return  # the last list stays in use until the next poll
        now = self.scheduler.now()
        if value != self._value or now - self._published_at >= REPUBLISH_INTERVAL_NS:
            self._published_at = now
            sequence = self.distribution.topics.next_sequence(topics.SERVERS)
            self.distribution.publish(Update(topics.SERVERS, sequence, value))
