"""The data plane process: settings, listeners, signals and graceful shutdown."""

from __future__ import annotations

import gc
import random
import resource
import signal
import socket
from collections.abc import Callable

from iristrack.dataplane.attempts import connect_to_server
from iristrack.dataplane.clients import ClientListener
from iristrack.dataplane.control_link import ControlLink
from iristrack.dataplane.discovery import ServerListFollower
from iristrack.dataplane.exchange import handle_request
from iristrack.dataplane.state import PlaneState
from iristrack.http1 import messages as http
from iristrack.http1.serving import HttpServer, Response
from iristrack.net.links import Links
from iristrack.platform_api.metrics import CONTENT_TYPE, format_metrics
from iristrack.runtime.scheduler import Scheduler, clock
from iristrack.settings import Address, Settings

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
CLIENT_DESCRIPTOR_RATIO = 0.5  # of the file descriptors, for client connections
SERVER_DESCRIPTOR_RATIO = 0.35  # of the file descriptors, for server connections
SERVER_IDLE_TIMEOUT_NS = 5 * NS_PER_S  # idle server connections are closed after this
DRAIN_ACCEPT_NS = 2500 * NS_PER_MS  # new connections are accepted this long after readiness ends
STOP_MARGIN_NS = 600 * NS_PER_MS  # the process ends this long before the grace period does
METRICS_LOG_INTERVAL_NS = 10 * NS_PER_S
# A sidecar is ready this long after its first configuration, even if no majority of the core has confirmed it.
MAX_UNCONFIRMED_NS = 1500 * NS_PER_MS


class DataPlane:
    """The parts of one data plane process, wired together."""

    def __init__(self, settings: Settings, log, reload_settings: Callable[[], Settings | None]) -> None:
        """Listen on nothing before `start`; SIGHUP calls `reload_settings`, which returns None to keep the settings."""
        self.settings = settings
        self.reload_settings = reload_settings
        self.log = log
        self.scheduler = Scheduler(lambda text: log.exception(text))
        max_descriptors = settings.limits.max_fds or 1024
        links = Links(
            self.scheduler, SERVER_IDLE_TIMEOUT_NS, int(max_descriptors * SERVER_DESCRIPTOR_RATIO), whole=0
        )
        links.connect = connect_to_server
        self.plane = PlaneState(settings, self.scheduler, links, random.Random())
        self.plane.older_weights.log = log
        self.max_clients = int(max_descriptors * CLIENT_DESCRIPTOR_RATIO)
        self.control_link: ControlLink | None = None
        self.listener: ClientListener | None = None
        self.readiness: HttpServer | None = None
        self._configured_at: int | None = None
        self._confirmed = False

    def start(self) -> None:
        """Start to listen and to dial the core; raises `OSError` if an address cannot be bound."""
        bind = self.settings.bind
        self.readiness = HttpServer(
            self.scheduler, _host_port(bind.readiness), self._answer_readiness, 64 * 1024
        )
        self.listener = ClientListener(
            self.scheduler, _host_port(bind.front_http), self._handle_request, self.max_clients
        )
        self.plane.links.start()
        self.control_link = ControlLink(self.plane, ServerListFollower(self.plane), self.log)
        self.control_link.on_configuration = self._apply_limits
        self.scheduler.call_at(clock() + METRICS_LOG_INTERVAL_NS, self._log_metrics)

    def run(self, signals: socket.socket) -> None:
        """Serve until the shutdown after SIGTERM or SIGINT is complete."""
        self.scheduler.watch(signals.fileno(), lambda: self._on_signals(signals.recv(64)))
        gc.collect()
        gc.freeze()
        self.scheduler.run()

    # ---- requests

    def _handle_request(self, client, message: http.Message, arrived: int) -> bool:
        return handle_request(self.plane, client, message, arrived)

    def _apply_limits(self) -> None:
        active = self.plane.active
        if active is not None:
            limits = active.configuration.limits
            self.listener.max_body_bytes = limits.max_body_bytes
            self.listener.max_head_bytes = limits.max_header_bytes
            self.listener.header_timeout_ns = int(limits.header_timeout_ms * NS_PER_MS)
            self.listener.idle_timeout_ns = int(limits.idle_timeout_ms * NS_PER_MS)

    # ---- readiness

    def _answer_readiness(self, message: http.Message) -> Response:
        path = message.head.target.partition(b"?")[0]
        if path == b"/metrics":
            return Response(200, format_metrics(self._metrics() | {"ready": self.ready}), CONTENT_TYPE)
        if path != b"/ready":
            return Response(404, b"", b"")
        return Response(200 if self.ready else 503, b"", b"")

    @property
    def ready(self) -> bool:
        """Whether the process takes clients: it has servers, and a majority of the core confirms its configuration.

        Without a reachable majority the newest available configuration counts after `MAX_UNCONFIRMED_NS`.
        """
        if self.plane.draining or self.plane.active is None or not self.plane.servers.has_list:
            return False
        now = clock()
        if self._configured_at is None:
            self._configured_at = now
        self._confirmed = self._confirmed or self.control_link.configuration_confirmed
        return self._confirmed or now - self._configured_at > MAX_UNCONFIRMED_NS

    # ---- signals

    def _on_signals(self, numbers: bytes) -> None:
        if signal.SIGHUP in numbers:
            self._reload()
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            self.stop()

    def _reload(self) -> None:
        new_settings = self.reload_settings()
        if new_settings is not None:
            self.settings = self.plane.settings = new_settings
            self.control_link.dial_members()

    def stop(self) -> None:
        """Withdraw readiness, drain, then end with the last response or at the end of the grace period."""
        if self.plane.draining:
            return
        self.plane.draining = True
        self.log.info("stopping", clients=len(self.listener.connections))
        grace_ns = int(self.settings.rule_bounds.grace_s * NS_PER_S)
        self.scheduler.call_at(clock() + min(DRAIN_ACCEPT_NS, grace_ns // 2), self._close_listener)
        self.scheduler.call_at(clock() + grace_ns - STOP_MARGIN_NS, self._end)

    def _close_listener(self) -> None:
        self.listener.stop_accepting()
        self.listener.on_empty = self._end
        self.listener.close_idle()
        if not self.listener.connections:
            self._end()

    def _end(self) -> None:
        self.log.info("stopped", **self._metrics())
        self.scheduler.stop()

    # ---- the log

    def _metrics(self) -> dict[str, object]:
        counters = self.plane.counters
        return {
            "requests": counters.requests,
            "served": counters.served,
            "refused": counters.refused,
            "failed": counters.failed,
            "retries": counters.retries,
            "resumed": counters.resumed,
            "client_left": counters.client_left,
            "clients": len(self.listener.connections),
            "server_connections": self.plane.links.open,
            "index_entries": self.plane.index.entries,
            **self.plane.late_counts.metrics(),
            **self.plane.older_weights.metrics(),
            "worst_turn_us": self.scheduler.worst_turn_ns // 1000,
        }

    def _log_metrics(self) -> None:
        self.log.info("figures", **self._metrics())
        self.scheduler.worst_turn_ns = 0
        self.scheduler.call_at(clock() + METRICS_LOG_INTERVAL_NS, self._log_metrics)


def raise_descriptor_limit(max_descriptors: int | None) -> None:
    """Raise the soft limit of file descriptors to `max_descriptors`, as far as the hard limit allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_descriptors is not None and soft != resource.RLIM_INFINITY and soft < max_descriptors:
        allowed = max_descriptors if hard == resource.RLIM_INFINITY else min(max_descriptors, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))


def _host_port(address: Address) -> tuple[str, int]:
    return address.host, address.port
