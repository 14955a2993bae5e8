"""Metrics and log lines on requests that began on older weights than the newest named revision."""

from __future__ import annotations

from dataclasses import dataclass

from iristrack.engines.named_weights import NamedWeights

NS_PER_MS = 1_000_000
LOG_INTERVAL_NS = 1000 * NS_PER_MS  # at most one log line per interval


@dataclass(frozen=True, slots=True)
class BegunRequest:
    """A request that a server has begun to execute."""

    instance_id: str
    model: str
    revision: int  # of the server's weights, as expected by the request
    sent_at: int  # ns
    begun_at: int  # ns, when the response's head arrived


class OlderWeights:
    """Counts requests that began on older weights, and tracks how long those had been superseded."""

    def __init__(self, named: NamedWeights, log=None) -> None:
        """`log` receives the log lines; None: nothing is logged."""
        self.named = named
        self.log = log
        self.begun_count = 0
        self.cancelled_count = 0  # requests cancelled as the server had not begun them in time
        self.max_sent_ms = 0  # since a newer revision was named
        self.max_begun_ms = 0
        self._next_log_at = 0

    def record_begun(self, request: BegunRequest) -> None:
        """Record that a server has begun a request."""
        superseded_at = self.named.superseded_at(request.model, request.revision)
        if superseded_at is None:
            return
        sent_ms = (request.sent_at - superseded_at) // NS_PER_MS
        begun_ms = (request.begun_at - superseded_at) // NS_PER_MS
        if begun_ms < 0:
            return
        self.begun_count += 1
        self.max_sent_ms = max(self.max_sent_ms, sent_ms)
        self.max_begun_ms = max(self.max_begun_ms, begun_ms)
        if self.log is not None and request.begun_at >= self._next_log_at:
            self._next_log_at = request.begun_at + LOG_INTERVAL_NS
            self.log.info(
                "older weights",
                server=request.instance_id,
                model=request.model,
                revision=request.revision,
                newest=self.named.newest(request.model),
                sent_ms=sent_ms,
                begun_ms=begun_ms,
            )

    def metrics(self) -> dict[str, int]:
        """Return the metrics for the log and `/metrics`; times are in ms since a newer revision was named."""
        return {
            "older_weights_begun": self.begun_count,
            "older_weights_taken_back": self.cancelled_count,
            "older_weights_most_sent_ms": self.max_sent_ms,
            "older_weights_most_begun_ms": self.max_begun_ms,
        }
