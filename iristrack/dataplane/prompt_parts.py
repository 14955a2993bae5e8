"""Where the parts of one request's prompt are cached, and the cache headers for the chosen server."""

from __future__ import annotations

from dataclasses import dataclass

from iristrack.dataplane.requests import ClientRequest
from iristrack.dataplane.state import PlaneState
from iristrack.http1.messages import header_text
from iristrack.placement.choice import PrefillEstimate
from iristrack.placement.engines import cache_salt, store_for_key
from iristrack.placement.servers import Server
from iristrack.prefix_index.parts import shared_parts, shared_tokens
from iristrack.prefix_index.pending_prefills import ExpectedPrefix
from iristrack.runtime.scheduler import clock

MIN_FETCH_TOKENS = 64  # prefilling fewer tokens is faster than fetching them


@dataclass(frozen=True, slots=True)
class CacheUse:
    """From where a request fetches cached prompt parts, and where it saves them."""

    revision: int
    salt: str
    fetch_from: str | None
    save_to: str | None

    def header_lines(self) -> bytes:
        """Return the cache headers for the server."""
        lines = [b"Cache-Salt: %b\r\n" % header_text(self.salt)]
        if self.revision:
            lines.append(b"Expect-Version: %d\r\n" % self.revision)
        if self.fetch_from is not None:
            lines.append(b"Kv-Fetch: %b\r\n" % self.fetch_from.encode("latin-1"))
        if self.save_to is not None:
            lines.append(b"Kv-Save: %b\r\n" % self.save_to.encode("latin-1"))
        return b"".join(lines)


class PromptParts:
    """Cache lookups for one request's prompt at the servers and stores of its service."""

    def __init__(self, plane: PlaneState, request: ClientRequest, service: str) -> None:
        """Do no lookup yet."""
        self.plane = plane
        self.request = request
        self.service = service
        self._coverage_by_salt: dict[str, dict[str, int]] = {}  # by salt: cached tokens by holder
        self._prefill_by_salt: dict[str, ExpectedPrefix | None] = {}  # by salt

    def clear_lookups(self) -> None:
        """Clear cached lookups before another attempt, as the caches may have changed."""
        self._coverage_by_salt.clear()
        self._prefill_by_salt.clear()

    def prefill_estimate(self, server: Server) -> PrefillEstimate:
        """Return the prefill estimate at the server: the prompt tokens, and those cached there and elsewhere."""
        request = self.request
        if not request.parts or request.model is None:
            return PrefillEstimate(request.prompt_tokens, 0, 0)
        salt = self._salt(server)
        cached = self._coverage(salt)
        pending = self._pending_prefill(salt)
        own_tokens = cached.get(server.address, 0)
        if pending is not None and pending.holder == server.address:
            own_tokens = max(own_tokens, pending.tokens)
        elsewhere = max((tokens for holder, tokens in cached.items() if holder != server.address), default=0)
        return PrefillEstimate(
            request.prompt_tokens, own_tokens, elsewhere, pending.tokens if pending is not None else 0
        )

    def cache_use(self, server: Server) -> CacheUse | None:
        """Return the cache use of the request at the server; None if it names no model."""
        request = self.request
        if request.model is None:
            return None
        salt = self._salt(server)
        revision = server.revisions.get(request.model, 0)
        shared = shared_parts(request.parts)
        if not shared:
            return CacheUse(revision, salt, None, None)
        stores = self._stores()
        cached = dict(self._coverage(salt))
        own_tokens = cached.pop(server.address, 0)
        source = max(cached, key=cached.__getitem__, default=None)
        if source is not None and cached[source] < own_tokens + MIN_FETCH_TOKENS:
            source = None
        shared_token_count = sum(part.tokens for part in shared)
        is_saved = any(cached[store] >= shared_token_count for store in stores)
        save_to = None if is_saved else store_for_key(request.key, stores)
        return CacheUse(revision, salt, source, save_to)

    def _salt(self, server: Server) -> str:
        tenant = self.request.tenant
        isolated = tenant.label if tenant is not None and tenant.isolated else None
        model = self.request.model or ""
        return cache_salt(model, server.revisions.get(model, 0), isolated)

    def _coverage(self, salt: str) -> dict[str, int]:
        """Return how many prompt tokens each server and store holds under the salt."""
        coverage = self._coverage_by_salt.get(salt)
        if coverage is None:
            request = self.request
            servers = [server.address for server in self.plane.servers.of_service(self.service)]
            holders = [*servers, *self._stores()]
            coverage = self.plane.index.coverage(salt, request.model, request.parts, holders)
            self._coverage_by_salt[salt] = coverage
        return coverage

    def _pending_prefill(self, salt: str) -> ExpectedPrefix | None:
        """Return the pending prefill of this prompt's parts for an earlier request of this sidecar."""
        if salt not in self._prefill_by_salt:
            prefills = self.plane.pending_prefills
            self._prefill_by_salt[salt] = prefills.expected(
                salt, self.request.model, self.request.parts, clock()
            )
        return self._prefill_by_salt[salt]

    def begin_prefill(self, server: Server) -> None:
        """Record that the server starts to prefill shared parts that are cached nowhere yet."""
        request = self.request
        if request.model is None or not request.parts:
            return
        salt = self._salt(server)
        if max(self._coverage(salt).values(), default=0) < shared_tokens(request.parts):
            self.plane.pending_prefills.begin(salt, request.model, request.parts, server.address, clock())

    def end_prefill(self, server: Server, salt: str) -> None:
        """Record that the parts are cached at the server, or that the attempt has failed."""
        request = self.request
        if request.model is not None and request.parts:
            self.plane.pending_prefills.end(salt, request.model, request.parts, server.address)

    def _stores(self) -> list[str]:
        return [store.address for store in self.plane.active.stores]
