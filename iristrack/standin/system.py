"""A whole small system on loopback: core and edge processes, model servers, the platform's list and an operator."""

from __future__ import annotations

import http.client
import signal
from collections.abc import Iterable
from pathlib import Path

from iristrack.standin.addresses import AddressBlock
from iristrack.standin.behaviour import Script
from iristrack.standin.ledger import Ledger
from iristrack.standin.machine import CONTROL_PORT, FRONT_PORT, PORT_RANGE, READINESS_PORT, Document, Machine
from iristrack.standin.model_server import ModelServer
from iristrack.standin.operator import Operator
from iristrack.standin.platform_list import PlatformList
from iristrack.standin.waiting import PATIENCE_S, wait_until

REGION = "region-1"
ZONES = ("zone-a", "zone-b", "zone-c")
MOST_SEEDS = 3
READY_CALL_S = 1.0
RULE_BOUNDS: Document = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 3000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "fence_checked": True,
    "lease_ms": 3000,
    "version_ms": 8000,
}


class System:
    """Machines and everything around them. `stop` ends whatever was started."""

    def __init__(
        self, folder: Path, cores: int = 3, edges: int = 2, rule_bounds: Document | None = None
    ) -> None:
        """Nothing but the platform's list is started; `rule_bounds` replaces single bounds."""
        self.folder = folder
        self.rule_bounds = RULE_BOUNDS | (rule_bounds or {})
        self.ledger = Ledger()
        self.script = Script()
        self.platform = PlatformList()
        self.model_servers: list[ModelServer] = []
        self._block = AddressBlock()
        core_ips = [self._block.next_ip() for _ in range(cores)]
        self._seeds = [f"{ip}:{CONTROL_PORT}" for ip in core_ips[:MOST_SEEDS]]
        self.cores = [self._core(number, ip) for number, ip in enumerate(core_ips)]
        self.edges = [self._edge(number) for number in range(edges)]
        self.operator = Operator([core.control for core in self.cores])

    # ---- its parts

    def _core(self, number: int, ip: str) -> Machine:
        folder = self.folder / f"core-{number}"
        (folder / "disk").mkdir(parents=True)
        own: Document = {
            "role": "controlplane",
            "machine_class": "core",
            "serves": ["control"],
            "bind": {"control_plane": f"{ip}:{CONTROL_PORT}"},
            "quorum_member": True,
            "data_dir": str(folder / "disk"),
        }
        return Machine(f"core-{number}", "core", self._settings(f"core-{number}", ip, number) | own, folder)

    def _edge(self, number: int) -> Machine:
        ip = self._block.next_ip()
        own: Document = {
            "role": "dataplane",
            "machine_class": "edge",
            "serves": ["edge"],
            "bind": {"front_http": f"{ip}:{FRONT_PORT}", "readiness": f"{ip}:{READINESS_PORT}"},
            "quorum_member": False,
            "data_dir": None,
        }
        settings = self._settings(f"edge-{number}", ip, number) | own
        return Machine(f"edge-{number}", "edge", settings, self.folder / f"edge-{number}")

    def _settings(self, name: str, ip: str, number: int) -> Document:
        return {
            "node_name": name,
            "ip": ip,
            "zone": ZONES[number % len(ZONES)],
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "port_range": list(PORT_RANGE),
            "seed_nodes": self._seeds,
            "bootstrap": True,
            "limits": {"cpu_fraction": 1.0, "cores": 1, "memory_mb": 300, "max_fds": 1024},
            "discovery": "provider",
            "entry_kind": "virtual_ip",
            "beat_interval_ms": 1200,
            "active_rules": ["base"],
            "fault_tolerance": {"machine_losses": 1, "zones": 0, "region_losses": 0},
            "rule_bounds": self.rule_bounds,
            "provider_api": {
                "address": self.platform.address,
                "rate_per_s": 40.0,
                "duties": [],
                "lag_ms": 0,
            },
        }

    def new_edge(self) -> Machine:
        """One more edge machine, not started."""
        self.edges.append(self._edge(len(self.edges)))
        return self.edges[-1]

    def new_core(self) -> Machine:
        """One more core machine, not started; its settings name core machines that run now as seeds."""
        core = self._core(len(self.cores), self._block.next_ip())
        running = [other.control for other in self.cores if other.running]
        core.change_settings(bootstrap=False, seed_nodes=running[:MOST_SEEDS])
        self.cores.append(core)
        self.operator.addresses.append(core.control)
        return core

    def add_model_servers(
        self, service: str, model: str, count: int, token_pause_s: float = 0.0
    ) -> list[ModelServer]:
        """Start model servers and name them in the platform's list."""
        started = [self.new_model_server(service, model, token_pause_s=token_pause_s) for _ in range(count)]
        self.platform.add(*started)
        return started

    def new_model_server(
        self, service: str, model: str, port: int = 0, revision: int = 1, token_pause_s: float = 0.0
    ) -> ModelServer:
        """Start a model server that no list names yet."""
        zone = ZONES[len(self.model_servers) % len(ZONES)]
        server = ModelServer(
            service, model, self.ledger, self.script, zone, revision, port, token_pause_s=token_pause_s
        )
        self.model_servers.append(server)
        return server

    # ---- start and end

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.cores, *self.edges]

    def start(self) -> None:
        """Start all machines at once."""
        for machine in self.machines:
            machine.start()

    def wait_ready(self, edges: Iterable[Machine] | None = None, patience_s: float = PATIENCE_S) -> None:
        """Wait until edge machines declare themselves ready."""
        for edge in self.edges if edges is None else edges:
            wait_until(lambda edge=edge: is_ready(edge), f"readiness of {edge.name}", patience_s)

    def wait_listening(self, cores: Iterable[Machine] | None = None) -> None:
        """Wait until core machines answer calls of any kind."""
        for core in self.cores if cores is None else cores:
            wait_until(lambda core=core: _answers(core.control), f"an answer of {core.name}")

    def stop(self) -> None:
        """End every process and server that this system started."""
        for machine in self.machines:
            if machine.running:
                machine.send_signal(signal.SIGCONT)
            machine.kill()
        for server in self.model_servers:
            server.stop()
        self.platform.stop()
        self._block.release()

    def tracebacks(self) -> list[str]:
        """The logs that tell of an exception that nobody expected."""
        return [m.log() for m in self.machines if m.log_path.exists() and "Traceback" in m.log()]


def ready_status(edge: Machine) -> int | None:
    """What `/ready` answers; None where nothing does."""
    return _status(edge.readiness, "/ready")


def is_ready(edge: Machine) -> bool:
    """Does the edge machine declare itself ready?"""
    assert edge.running, f"{edge.name} ended: {edge.log()}"
    return ready_status(edge) == http.client.OK


def _answers(address: str) -> bool:
    return _status(address, "/") is not None


def _status(address: str, path: str) -> int | None:
    connection = http.client.HTTPConnection(address, timeout=READY_CALL_S)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
