"""Servers as one sidecar sees them: the platform's list, request outcomes and requests in flight."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from iristrack.placement.outcomes import NO_OUTCOMES, Outcomes, OutcomeWindow, ejected_servers
from iristrack.placement.ranking import hash64

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
INITIAL_BACKOFF_NS = 400 * NS_PER_MS  # after a failure; doubles with each further failure in a row
MAX_BACKOFF_NS = 4 * NS_PER_S
REJECTED_BACKOFF_NS = 250 * NS_PER_MS  # after the server rejected a request


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One entry of the platform's list."""

    instance_id: str
    service: str
    address: str  # ip:port
    zone: str
    ready: bool  # false while the server drains
    capacity: int
    models: tuple[tuple[str, int], ...] = ()  # (label, revision of the weights)
    software: str = ""  # version of the server software


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a server."""

    listed: ListedServer
    hash: int
    revisions: dict[str, int]  # newest revision seen of each model
    inflight: int = 0  # this sidecar's own requests
    pending_chunks: int = 0  # prefill chunks of their prompts that are still to be processed
    others_inflight: int = 0  # requests reported by other sidecars
    others_pending_chunks: int = 0
    outcomes: OutcomeWindow = field(default_factory=OutcomeWindow)
    others_outcomes: Outcomes = NO_OUTCOMES
    ejected: bool = False  # by outlier detection: too many of its requests fail
    busy: bool = False  # loads new weights; no requests are sent until it is done
    preparing: bool = False  # loads new weights soon; long answers should start elsewhere
    busy_until: int = 0  # ns; `busy` expires unless it is reported again
    avoid_until: int = 0  # ns; end of the backoff after a failure or rejection
    failures: int = 0  # consecutive
    gone: bool = False  # no longer on the platform's list

    @property
    def instance_id(self) -> str:
        """Return the id of the incarnation."""
        return self.listed.instance_id

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return self.listed.address

    def usable(self, now: int) -> bool:
        """Return whether new requests may be sent to the server."""
        return self.listed.ready and not self.gone and now >= max(self.avoid_until, self.busy_until)

    @property
    def load(self) -> int:
        """Return the requests in flight plus their prefill chunks that are still pending."""
        return self.inflight + self.pending_chunks + self.others_inflight + self.others_pending_chunks

    def began(self, pieces: int) -> None:
        """Record a request sent to the server, with the number of prefill chunks (`pieces`) of its prompt."""
        self.inflight += 1
        self.pending_chunks += pieces

    def prefill_finished(self, pieces: int) -> None:
        """Record the first token of an answer: these prefill chunks are done."""
        self.pending_chunks -= pieces

    def ended(self) -> None:
        """Record the end of a request, whatever its outcome."""
        self.inflight -= 1

    def succeeded(self, now: int) -> None:
        """Record an answer, which resets the backoff."""
        self.outcomes.answered(now)
        self.failures = 0
        self.avoid_until = 0

    def failed(self, now: int) -> None:
        """Record a connection that broke, could not be opened or timed out, and back off."""
        self.outcomes.failed(now)
        backoff = min(MAX_BACKOFF_NS, INITIAL_BACKOFF_NS << min(self.failures, 8))
        self.failures += 1
        self.avoid_until = max(self.avoid_until, now + backoff)

    def rejected(self, now: int) -> None:
        """Record a rejected request; a server that loads new weights rejects them without further backoff."""
        if self.busy:
            return
        self.avoid_until = max(self.avoid_until, now + REJECTED_BACKOFF_NS)

    def record_revision(self, model: str, revision: int) -> None:
        """Record a model's revision from an answer, a report or the list; revisions only increase."""
        if revision > self.revisions.get(model, 0):
            self.revisions[model] = revision
            self.mark_busy(False, 0)

    def mark_busy(self, busy: bool, until: int) -> None:
        """Set or clear the mark that the server loads new weights; it expires at `until`."""
        # Kept apart from `avoid_until`: the end of the mark must not end the backoff of failures.
        self.busy = busy
        self.busy_until = until if busy else 0


class ServerTable:
    """All listed servers, by instance and by service."""

    def __init__(self) -> None:
        """Start without any list."""
        self.servers: dict[str, Server] = {}
        self.by_service: dict[str, list[Server]] = {}
        self.has_list = False  # whether a list has been applied

    def apply_server_list(self, entries: Iterable[ListedServer]) -> list[Server]:
        """Apply a complete list; return the servers that are no longer on it."""
        self.has_list = True
        listed = {}
        for entry in entries:
            listed[entry.instance_id] = self._apply_entry(entry)
        gone = [server for name, server in self.servers.items() if name not in listed]
        for server in gone:
            server.gone = True
        self.servers = listed
        self.by_service = {}
        for server in listed.values():
            self.by_service.setdefault(server.listed.service, []).append(server)
        return gone

    def _apply_entry(self, entry: ListedServer) -> Server:
        server = self.servers.get(entry.instance_id)
        if server is None:
            server = Server(entry, hash64(entry.instance_id), dict(entry.models))
        server.listed = entry
        for model, revision in entry.models:
            server.record_revision(model, revision)
        return server

    def update_ejections(self, now: int) -> None:
        """Update which servers are ejected, by the outcomes of all sidecars; call several times per second."""
        for servers in self.by_service.values():
            outcomes = [(s.instance_id, s.outcomes.total(now).plus(s.others_outcomes)) for s in servers]
            ejected = ejected_servers(outcomes)
            for server in servers:
                server.ejected = server.instance_id in ejected

    def of_service(self, service: str) -> list[Server]:
        """Return the listed servers of a service."""
        return self.by_service.get(service, [])
