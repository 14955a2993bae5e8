from __future__ import annotations

from iristrack.placement.choice import PrefillEstimate
from iristrack.placement.servers import ListedServer, Server, ServerTable

NOTHING_KEPT = PrefillEstimate(0, 0, 0)


def listed(name: str, service: str = "pool", ready: bool = True, **models: int) -> ListedServer:
    return ListedServer(name, service, f"{name}:80", "zone", ready, 8, tuple(models.items()))


def servers(count: int) -> list[Server]:
    table = ServerTable()
    table.apply_server_list([listed(f"i-{number}") for number in range(count)])
    return table.of_service("pool")


def nothing_kept(server: Server) -> PrefillEstimate:
    return NOTHING_KEPT
