"""The servers as one sidecar knows them: the platform's list, its own outcomes and its own requests in flight."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from iristrack.placement.outcomes import NO_OUTCOMES, Outcomes, OutcomeWindow, ejected_servers
from iristrack.placement.ranking import hash64

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
FIRST_BACKOFF_NS = 400 * NS_PER_MS  # a server that failed is left alone for so long,
LAST_BACKOFF_NS = 4 * NS_PER_S  # twice as long after each further failure, up to this
REJECTED_BACKOFF_NS = 250 * NS_PER_MS  # and one that turned a request away


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One entry of the platform's list."""

    instance_id: str
    service: str
    address: str  # ip:port
    zone: str
    ready: bool  # false while it drains
    capacity: int
    models: tuple[tuple[str, int], ...] = ()  # (label, revision of its weights)
    software: str = ""  # the version of its software


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a server."""

    listed: ListedServer
    hash: int
    revisions: dict[str, int]  # of each model, the newest that was seen
    inflight: int = 0  # this sidecar's own requests there
    pending_chunks: int = 0  # of their prompts, that it still has to read
    others_inflight: int = 0  # and what the other sidecars told of theirs
    others_pending_chunks: int = 0
    outcomes: OutcomeWindow = field(default_factory=OutcomeWindow)
    others_outcomes: Outcomes = NO_OUTCOMES
    ejected: bool = False  # too many of its requests fail
    busy: bool = False  # it takes new weights, and is avoided until it has them
    preparing: bool = False  # it takes new weights next: long answers are better begun elsewhere
    busy_until: int = 0  # ns; the mark lapses where nobody tells any more
    avoid_until: int = 0  # ns; it failed or turned a request away
    failures: int = 0  # in a row
    gone: bool = False  # the platform's list does not hold it any more

    @property
    def instance_id(self) -> str:
        """The incarnation's id."""
        return self.listed.instance_id

    @property
    def address(self) -> str:
        """ip:port."""
        return self.listed.address

    def usable(self, now: int) -> bool:
        """May new requests be sent to it?"""
        return self.listed.ready and not self.gone and now >= max(self.avoid_until, self.busy_until)

    @property
    def load(self) -> int:
        """Requests in flight, each with the pieces of its prompt that are still to be read."""
        return self.inflight + self.pending_chunks + self.others_inflight + self.others_pending_chunks

    def began(self, pieces: int) -> None:
        """A request was sent to it, of whose prompt it has so many pieces to read."""
        self.inflight += 1
        self.pending_chunks += pieces

    def prefill_finished(self, pieces: int) -> None:
        """The first token has come: these pieces are read."""
        self.pending_chunks -= pieces

    def ended(self) -> None:
        """A request ended, in whatever way."""
        self.inflight -= 1

    def succeeded(self, now: int) -> None:
        """An answer came: the back-off is forgotten."""
        self.outcomes.answered(now)
        self.failures = 0
        self.avoid_until = 0

    def failed(self, now: int) -> None:
        """A connection broke, did not come up or fell silent."""
        self.outcomes.failed(now)
        backoff = min(LAST_BACKOFF_NS, FIRST_BACKOFF_NS << min(self.failures, 8))
        self.failures += 1
        self.avoid_until = max(self.avoid_until, now + backoff)

    def rejected(self, now: int) -> None:
        """It turned a request away, as one does that takes new weights."""
        if self.busy:
            return
        self.avoid_until = max(self.avoid_until, now + REJECTED_BACKOFF_NS)

    def record_revision(self, model: str, revision: int) -> None:
        """An answer, a report or the list told the revision of a model's weights; they never go back."""
        if revision > self.revisions.get(model, 0):
            self.revisions[model] = revision
            self.mark_busy(False, 0)

    def mark_busy(self, busy: bool, until: int) -> None:
        """It takes new weights, until then at most, or takes none any more."""
        # A time of its own: the end of the mark says nothing about failures, whose back-off goes on.
        self.busy = busy
        self.busy_until = until if busy else 0


class ServerTable:
    """All servers by instance, and by service."""

    def __init__(self) -> None:
        """Nothing is known."""
        self.servers: dict[str, Server] = {}
        self.by_service: dict[str, list[Server]] = {}
        self.has_list = False  # has a list been taken?

    def apply_server_list(self, entries: Iterable[ListedServer]) -> list[Server]:
        """Follow a whole list; the servers that it names no more."""
        self.has_list = True
        named = {}
        for entry in entries:
            named[entry.instance_id] = self._follow(entry)
        gone = [server for name, server in self.servers.items() if name not in named]
        for server in gone:
            server.gone = True
        self.servers = named
        self.by_service = {}
        for server in named.values():
            self.by_service.setdefault(server.listed.service, []).append(server)
        return gone

    def _follow(self, entry: ListedServer) -> Server:
        server = self.servers.get(entry.instance_id)
        if server is None:
            server = Server(entry, hash64(entry.instance_id), dict(entry.models))
        server.listed = entry
        for model, revision in entry.models:
            server.record_revision(model, revision)
        return server

    def update_ejections(self, now: int) -> None:
        """Leave out servers at which too many requests of all sidecars fail; to be called some times a second."""
        for servers in self.by_service.values():
            total = [(s.instance_id, s.outcomes.total(now).plus(s.others_outcomes)) for s in servers]
            out = ejected_servers(total)
            for server in servers:
                server.ejected = server.instance_id in out

    def of_service(self, service: str) -> list[Server]:
        """The listed servers of a service."""
        return self.by_service.get(service, [])
