"""The data plane's state: the active configuration, named weights, servers and cached prompts."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from iristrack.admission.retry_budget import RetryBudget
from iristrack.configuration.amendment import ROUTES, TENANTS, Amendment, amend_configuration
from iristrack.configuration.key_lease import KeyLease
from iristrack.configuration.model import Configuration, Route, Service, Tenant
from iristrack.configuration.routes import RouteTable
from iristrack.configuration.tenants import TenantTable
from iristrack.dataplane.lateness import LateCounts
from iristrack.dataplane.older_weights import OlderWeights
from iristrack.dataplane.startup_gate import StartupGate
from iristrack.engines.named_weights import NamedWeights
from iristrack.net.links import Links
from iristrack.placement.rollouts import Rollouts
from iristrack.placement.servers import ServerTable
from iristrack.prefix_index.index import PrefixIndex
from iristrack.prefix_index.pending_prefills import PendingPrefills
from iristrack.runtime.scheduler import Scheduler
from iristrack.settings import Settings

NS_PER_MS = 1_000_000
MAX_INDEX_ENTRIES = 60_000
# Ratios of `older_weights_ms`, counted from the naming of a revision: until SEND_RATIO requests may be sent to servers
# on older revisions, and by BEGIN_RATIO they must have begun there. The rest allows for messages in transit.
SEND_RATIO = 0.75
BEGIN_RATIO = 0.95
Labelled = TypeVar("Labelled", Route, Tenant)
DEFAULT_SIDECAR_COUNT = 12  # assumed to share the retry budget until the number is known


class ActiveConfiguration:
    """A configuration with the lookup tables built from it."""

    def __init__(
        self,
        configuration: Configuration,
        routes: RouteTable | None = None,
        tenants: TenantTable | None = None,
    ) -> None:
        """Build the tables that are not given."""
        self.configuration = configuration
        self.routes = routes or RouteTable(configuration)
        self.tenants = tenants or TenantTable(configuration)
        self.services: dict[str, Service] = {s.label: s for s in configuration.services}
        self.stores = tuple(s.store for s in configuration.services if s.store is not None)

    def amended(self, amendment: Amendment) -> ActiveConfiguration:
        """Return the configuration after a validated amendment; unchanged tables and rows are reused."""
        before = self.configuration
        after = amend_configuration(before, amendment)
        routes = tenants = None
        if amendment.touches(ROUTES):
            routes = self.routes.amended(
                _amended_items(before.routes, amendment, ROUTES),
                _amended_items(after.routes, amendment, ROUTES),
            )
        if amendment.touches(TENANTS):
            tenants = self.tenants.amended(
                _amended_items(before.tenants or (), amendment, TENANTS),
                _amended_items(after.tenants or (), amendment, TENANTS),
                after.tenants is not None,
            )
        return ActiveConfiguration(after, routes or self.routes, tenants or self.tenants)


def _amended_items(items: Iterable[Labelled], amendment: Amendment, name: str) -> list[Labelled]:
    """Return the items that an amendment names."""
    named = amendment.rows(name).keys() | amendment.removed(name)
    return [item for item in items if item.label in named]


@dataclass(slots=True)
class Counters:
    """Request counters for the log and the metrics."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    retries: int = 0
    resumed: int = 0
    client_left: int = 0


@dataclass
class PlaneState:
    """The state shared by all parts of one data plane process."""

    settings: Settings
    scheduler: Scheduler
    links: Links
    rng: random.Random
    active: ActiveConfiguration | None = None
    servers: ServerTable = field(default_factory=ServerTable)
    index: PrefixIndex = field(default_factory=lambda: PrefixIndex(MAX_INDEX_ENTRIES))
    pending_prefills: PendingPrefills = field(default_factory=PendingPrefills)
    named_weights: NamedWeights = field(default_factory=NamedWeights)
    rollouts: Rollouts = field(default_factory=Rollouts)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    counters: Counters = field(default_factory=Counters)
    late_counts: LateCounts = field(default_factory=LateCounts)
    key_lease: KeyLease = field(default_factory=lambda: KeyLease(None))
    sidecar_count: int = DEFAULT_SIDECAR_COUNT
    draining: bool = False
    startup_gate: StartupGate = field(init=False)
    older_weights: OlderWeights = field(init=False)

    def __post_init__(self) -> None:
        """Set up the startup gate, which waits for a configuration, servers and, where one is needed, a key lease."""
        self.startup_gate = StartupGate(self.scheduler, self._can_serve)
        self.older_weights = OlderWeights(self.named_weights)

    def _can_serve(self) -> bool:
        now = self.scheduler.now()
        return self.active is not None and self.servers.has_list and self.key_lease.is_valid(now)

    def required_revision(self, model: str, now: int) -> int:
        """Return the oldest revision of a model's weights to which a request may still be sent; 0: any."""
        return self.named_weights.required(model, now, self._allowance_ns(SEND_RATIO))

    def begin_by(self, model: str, revision: int, now: int) -> int:
        """Return the time (ns) by which a request must have begun on a revision, as far as is known now."""
        return self.named_weights.begin_by(model, revision, now, self._allowance_ns(BEGIN_RATIO))

    def _allowance_ns(self, share: float) -> int:
        return int(self.settings.rule_bounds.older_weights_ms * share) * NS_PER_MS

    def set_sidecar_count(self, count: int) -> None:
        """Split the retry budgets among `count` data planes."""
        self.sidecar_count = max(1, count)
        for budget in self.retry_budgets.values():
            budget.set_sidecars(self.sidecar_count)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created on first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.rule_bounds
            budget = self.retry_budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, self.sidecar_count
            )
        return budget
