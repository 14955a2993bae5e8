"""What the data plane knows: configuration in force, weights that count, servers and kept prompts."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from iristrack.admission.retry_budget import RetryBudget
from iristrack.configuration.model import Configuration, Service
from iristrack.configuration.routes import RouteTable
from iristrack.configuration.tenants import TenantTable
from iristrack.net.links import Links
from iristrack.placement.servers import ServerTable
from iristrack.prefix_index.index import PrefixIndex
from iristrack.prefix_index.inflight import FirstReads
from iristrack.runtime.scheduler import Scheduler
from iristrack.settings import Settings

MOST_INDEX_ENTRIES = 60_000
SIDECARS_ASSUMED = 12  # that share the retry budget while their number is not known


class ActiveConfiguration:
    """A configuration with its tables."""

    def __init__(self, configuration: Configuration) -> None:
        """Builds the tables."""
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        self.tenants = TenantTable(configuration)
        self.services: dict[str, Service] = {s.label: s for s in configuration.services}
        self.stores = tuple(s.store for s in configuration.services if s.store is not None)


@dataclass(slots=True)
class ModelVersion:
    """The newest acknowledged revision of a model's weights, and when this sidecar learned of it (ns)."""

    revision: int
    learned_at: int


@dataclass(slots=True)
class Counters:
    """Of requests, for the log."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    retries: int = 0
    resumed: int = 0
    client_left: int = 0


@dataclass
class PlaneState:
    """Shared by all parts of one data plane process."""

    settings: Settings
    scheduler: Scheduler
    links: Links
    rng: random.Random
    active: ActiveConfiguration | None = None
    servers: ServerTable = field(default_factory=ServerTable)
    index: PrefixIndex = field(default_factory=lambda: PrefixIndex(MOST_INDEX_ENTRIES))
    first_reads: FirstReads = field(default_factory=FirstReads)
    versions: dict[str, ModelVersion] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    counters: Counters = field(default_factory=Counters)
    sidecars: int = SIDECARS_ASSUMED
    draining: bool = False

    def follow_sidecars(self, count: int) -> None:
        """So many data planes share the retry budgets."""
        self.sidecars = max(1, count)
        for budget in self.budgets.values():
            budget.share(self.sidecars)

    def budget(self, service: str) -> RetryBudget:
        """The retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.rule_bounds
            budget = self.budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, self.sidecars
            )
        return budget
