"""The processes of the control side's simulation: real control planes and sidecars' links."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from types import SimpleNamespace

from iristrack.controlplane.program import ControlPlane
from iristrack.dataplane.control_link import ControlLink
from iristrack.dataplane.discovery import ServerListFollower
from iristrack.dataplane.state import PlaneState
from iristrack.http1 import messages as http
from iristrack.http1.serving import Response
from iristrack.settings import Settings, read_settings
from iristrack.simulation.control_referee import Referee
from iristrack.simulation.virtual_machines import Network, SilentLog, VirtualDisk, VirtualSync
from iristrack.simulation.virtual_time import VirtualScheduler, World

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
PORT = 7640
CALL_DELAY_NS = 4 * NS_PER_MS
ZONES = ("zone-a", "zone-b", "zone-c")


class VirtualEnvironment:
    """Virtual time, disk and links for one start of a control plane."""

    def __init__(self, core: SimulatedCore) -> None:
        """For this start alone."""
        self.core = core
        self.scheduler = VirtualScheduler(core.world)
        self.rng = random.Random(core.rng.getrandbits(64))
        self.sync: VirtualSync | None = None

    def open_acceptor_store(self, folder: str, node: str) -> SimpleNamespace:
        """What the disk holds."""
        return self.core.disk.opened(node)

    def make_sync(self, opened: SimpleNamespace, on_failure: Callable[[Exception], None]) -> VirtualSync:
        """The writer of the disk."""
        self.sync = VirtualSync(self.scheduler, self.core.disk)
        return self.sync

    def open_connection(self, address: str, on_message, on_close, within_ns: int):
        """A virtual connection."""
        return self.core.network.open_connection(
            self.scheduler, self.core.address, address, on_message, on_close, within_ns
        )

    def listen_for_peers(self, address: tuple[str, int], on_open, on_message, on_close) -> None:
        """Accept virtual connections."""
        self.core.network.listeners[self.core.address] = (self.scheduler, on_open, on_message, on_close)

    def serve_operators(self, address: tuple[str, int], answer, most_body: int) -> Callable[[], None]:
        """Operators call `SimulatedCore.call`."""
        self.core.serving = True

        def stop() -> None:
            self.core.serving = False

        return stop


class SimulatedCore:
    """A core machine: its disk, and the control plane process that runs on it, if any."""

    def __init__(
        self,
        number: int,
        world: World,
        network: Network,
        rng: random.Random,
        seeds: Callable[[], list[str]],
        bootstrap: bool,
        lines: list[str],
    ) -> None:
        """Nothing runs yet; `seeds` gives the operators' listeners that the settings name at a start."""
        self.world = world
        self.network = network
        self.rng = rng
        self.number = number
        self.name = f"core-{number}"
        self.ip = f"10.0.0.{number + 1}"
        self.address = f"{self.ip}:{PORT}"
        self.disk = VirtualDisk()
        self.bootstrap = bootstrap
        self.seeds = seeds
        self.log = SilentLog(world, self.name, lines)
        self.plane: ControlPlane | None = None
        self.serving = False
        self.gone = False  # for good

    @property
    def up(self) -> bool:
        """Does a process run, be it frozen?"""
        return self.plane is not None and self.plane.scheduler.alive

    @property
    def frozen(self) -> bool:
        """Does its process stand still?"""
        return self.up and self.plane.scheduler.frozen_until > self.world.now

    @property
    def is_sound(self) -> bool:
        """Does it run, vote as far as it knows, and write?"""
        return self.up and not self.frozen and not self.disk.refusing and self.plane.register.voting

    @property
    def is_away(self) -> bool:
        """Is it down, frozen, or without a disk that takes records, and to come back?"""
        return not self.gone and (not self.up or self.frozen or self.disk.refusing)

    @property
    def is_empty(self) -> bool:
        """Does its disk hold no vote, as it was lost and not made good?"""
        identity = self.disk.identity
        return identity is None or not identity.incarnation

    def start(self) -> None:
        """Start the process, unless one runs."""
        if self.up or self.gone:
            return
        environment = VirtualEnvironment(self)
        self.plane = ControlPlane(self._settings(), self.log, lambda: None, environment)
        environment.scheduler.carry_out(self.plane.start, ())

    def kill(self) -> None:
        """End the process at once; of what was not synced a part may be on the disk."""
        if not self.up:
            return
        self.disk.keep_some(self.plane.environment.sync.unsynced(), self.rng)
        self.plane.scheduler.alive = False
        self.serving = False
        self.network.listeners.pop(self.address, None)

    def terminate(self) -> None:
        """SIGTERM."""
        if self.up:
            self.plane.scheduler.carry_out(self.plane.stop, ())

    def freeze(self, ns: int) -> None:
        """Let the process stand still for so long."""
        if self.up:
            self.plane.scheduler.frozen_until = self.world.now + ns

    def wipe(self) -> None:
        """Lose power and the disk."""
        self.kill()
        self.disk.wipe()
        self.bootstrap = False

    def call(self, message: http.Message, on_answer: Callable[[Response | None], None]) -> None:
        """An operator's call; the answer is None where nothing listens, and does not come where the process hangs."""
        if not self.up or not self.serving:
            self.world.at(self.world.now + CALL_DELAY_NS, None, on_answer, None)
            return
        plane = self.plane

        def run() -> None:
            response = plane.api.answer(message)
            self.world.at(self.world.now + CALL_DELAY_NS, None, on_answer, response)

        plane.scheduler.spawn("operator call", run)

    def _settings(self) -> Settings:
        document = {
            "node_name": self.name,
            "role": "controlplane",
            "machine_class": "core",
            "serves": ["control"],
            "ip": self.ip,
            "zone": ZONES[self.number % len(ZONES)],
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "bind": {"control_plane": f"{self.ip}:8169"},
            "port_range": [PORT, PORT + 15],
            "seed_nodes": self.seeds(),
            "bootstrap": self.bootstrap,
            "quorum_member": True,
            "limits": {},
            "data_dir": "/virtual",
            "discovery": "provider",
            "entry_kind": "virtual_ip",
            "beat_interval_ms": 1200,
            "active_rules": ["base"],
            "fault_tolerance": {"machine_losses": 1, "zones": 0, "region_losses": 0},
            "rule_bounds": {},
            "provider_api": None,
        }
        return _read(document)


class SimulatedEdge:
    """A sidecar's link to the core, in virtual time; `start` begins another process."""

    def __init__(
        self,
        number: int,
        world: World,
        network: Network,
        referee: Referee,
        seeds: Callable[[], list[str]],
        lines: list[str],
    ) -> None:
        """Nothing runs yet; `seeds` gives those that the settings name at a start."""
        self.world = world
        self.network = network
        self.referee = referee
        self.number = number
        self.seeds = seeds
        self.name = f"edge-{number}"
        self.address = f"10.1.{number // 250}.{number % 250 + 1}"
        self.log = SilentLog(world, self.name, lines)
        self.starts = 0
        self.undisturbed_since = 0  # its start, or the end of its last freeze
        self.scheduler: VirtualScheduler | None = None
        self.link: ControlLink | None = None
        self._confirmed = False

    @property
    def process(self) -> str:
        """The name of this start."""
        return f"{self.name}/{self.starts}"

    def start(self) -> None:
        """End the process that runs, and start another."""
        if self.scheduler is not None:
            self.scheduler.alive = False
        self.starts += 1
        self.undisturbed_since = self.world.now
        self._confirmed = False
        self.scheduler = VirtualScheduler(self.world)
        settings = edge_settings(self.number, self.seeds())
        plane = PlaneState(settings, self.scheduler, SimpleNamespace(), random.Random(self.starts))
        scheduler = self.scheduler

        def open_one(address: str, on_message, on_close, within_ns: int):
            return self.network.open_connection(
                scheduler, self.address, address, on_message, on_close, within_ns
            )

        self.link = ControlLink(plane, ServerListFollower(plane), self.log, open_one)
        self.link.on_configuration = self._took

    def freeze(self, ns: int) -> None:
        """Let the process stand still for so long."""
        if self.scheduler is not None:
            self.scheduler.frozen_until = self.undisturbed_since = self.world.now + ns

    def required_weights(self, model: str) -> int:
        """The oldest revision on which it would let work begin now."""
        return 0 if self.link is None else self.link.plane.required_revision(model, self.world.now)

    def look(self) -> None:
        """Note when its configuration counts as confirmed for the first time."""
        active = None if self.link is None else self.link.plane.active
        if not self._confirmed and active is not None and self.link.configuration_confirmed:
            self._confirmed = True
            self.referee.confirmed(self.process, active.configuration.revision, self.world.now)

    def _took(self) -> None:
        revision = self.link.plane.active.configuration.revision
        self.referee.took(self.process, revision, self.world.now)


def edge_settings(number: int, seeds: list[str]) -> Settings:
    """The settings of a sidecar."""
    ip = f"10.1.{number // 250}.{number % 250 + 1}"
    document = {
        "node_name": f"edge-{number}",
        "role": "dataplane",
        "machine_class": "edge",
        "serves": ["edge"],
        "ip": ip,
        "zone": ZONES[number % len(ZONES)],
        "region": "r",
        "zones": dict.fromkeys(ZONES, "r"),
        "bind": {"front_http": f"{ip}:8167", "readiness": f"{ip}:8162"},
        "port_range": [PORT, PORT + 15],
        "seed_nodes": seeds,
        "bootstrap": True,
        "quorum_member": False,
        "limits": {},
        "data_dir": None,
        "discovery": "provider",
        "entry_kind": "virtual_ip",
        "beat_interval_ms": 1200,
        "active_rules": ["base"],
        "fault_tolerance": {"machine_losses": 1, "zones": 0, "region_losses": 0},
        "rule_bounds": {},
        "provider_api": None,
    }
    return _read(document)


def _read(document: dict) -> Settings:
    result = read_settings(json.dumps(document).encode())
    if result.is_error():
        raise ValueError(result.error)
    return result.ok
