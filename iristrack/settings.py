"""Settings of a process: a JSON file with its machine, addresses and limits.

The environment variable named by `SETTINGS_VARIABLE` holds the file's path. Unknown fields are ignored, and a field
that is null or an empty text counts as missing.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from types import MappingProxyType
from typing import Any

from iristrack.configuration.findings import WHOLE_DOCUMENT, Finding
from iristrack.configuration.schema_check import schema_findings
from iristrack.result import Error, Ok, Result

SETTINGS_VARIABLE = "IRISTRACK_CONFIG"
DEFAULT_BEAT_INTERVAL_MS = 1_200
DEFAULT_PROVIDER_RATE_PER_S = 1.0
MAX_PORT = 65_535

Document = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class BoundAddresses:
    """Addresses at which the process listens for external callers; None for what its role does not serve."""

    front_http: Address | None = None
    readiness: Address | None = None
    control_plane: Address | None = None


@dataclass(frozen=True, slots=True)
class PortRange:
    """Ports for traffic between sidecars, both ends included."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Resources of the process; None where not stated.

    Attributes:
        cpu_fraction: Share of one core.
        cores: Speed of that share relative to one core.
        memory_mb: Memory above which the process is killed, in megabytes.
        max_fds: File descriptors.
        link_mbps: Bandwidth of the machine's link, in megabits per second.
        disk_mb: Room below the data folder, in megabytes.
    """

    cpu_fraction: float | None = None
    cores: float | None = None
    memory_mb: float | None = None
    max_fds: int | None = None
    link_mbps: float | None = None
    disk_mb: float | None = None


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """Simultaneous losses during which every rule still holds.

    Attributes:
        machine_losses: Machines that are members of the quorum.
        zones: Whole zones.
        region_losses: Whole regions.
    """

    machine_losses: int = 0
    zones: int = 0
    region_losses: int = 0


@dataclass(frozen=True, slots=True)
class RuleBounds:
    """Parameters of the rules in force; the names of times end in their unit."""

    seed_lag_s: float = 3
    addr_reuse_s: float = 2
    contact_ms: float = 3_000
    ack_ms: float = 4_000
    catch_up_s: float = 4
    drain_ms: float = 3_000
    grace_s: float = 8
    loss_slack_ms: float = 200
    config_apply_ms: float = 2_000
    downgrade_slack_ms: float = 250
    stretch_max_ms: float = 5_000
    revoke_global: bool = False
    revoke_ms: float = 5_000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 52
    canary_share: float = 0.1
    canary_slack: float = 50
    recovery_s: float = 12
    transit_ms: float = 120
    again_s: float = 0
    fence_checked: bool = True
    lease_ms: float = 3_000
    thaw_slack_ms: float = 300
    version_ms: float = 8_000
    version_fleet_ms: float = 0

    @property
    def older_weights_ms(self) -> float:
        """Time after the announcement of newer weights in which work may still begin on older ones."""
        return min(self.version_ms, self.version_fleet_ms or self.version_ms)

    @property
    def key_lease_ms(self) -> float | None:
        """Time for which keys are valid without confirmation; None if removal binds connected machines only."""
        return self.revoke_ms if self.revoke_global else None


@dataclass(frozen=True, slots=True)
class ProviderInterface:
    """Interface to the platform's list of servers.

    Attributes:
        address: Address of the platform's API.
        rate_per_s: Calls per second accepted from all sidecars together.
        duties: Duties that the platform assigns, as they are in the file.
        lag_ms: Age of the list.
    """

    address: Address
    rate_per_s: float
    duties: tuple[Any, ...]
    lag_ms: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    Attributes:
        node_name: Name of the machine.
        role: Role of the process, as the deploy file names it.
        machine_class: Class of the machine.
        serves: External callers that the role serves.
        ip: IP address of the machine.
        zone: Zone of the machine.
        region: Region of the machine.
        zones: Region of each zone.
        bind: Addresses for what the role serves.
        port_range: Ports free for traffic between sidecars.
        seed_nodes: Control addresses of a few machines, for the first contact.
        bootstrap: Whether the whole system starts for the first time, on empty disks.
        quorum_member: Whether the machine counts in `fault_tolerance`.
        limits: Resources of the process.
        data_dir: Folder on the disk, or None if there is no disk.
        discovery: How servers are discovered.
        entry_kind: How clients reach the fleet.
        beat_interval_ms: Interval between heartbeats.
        active_rules: Parts of the rules in force.
        fault_tolerance: Simultaneous losses during which the rules hold.
        rule_bounds: Parameters of the rules.
        provider_api: Interface to the platform's list of servers, or None if there is none.
    """

    node_name: str
    role: str
    machine_class: str
    serves: frozenset[str]
    ip: str
    zone: str
    region: str
    zones: Mapping[str, str]
    bind: BoundAddresses
    port_range: PortRange
    seed_nodes: tuple[Address, ...]
    bootstrap: bool
    quorum_member: bool
    limits: ProcessLimits
    data_dir: str | None
    discovery: str
    entry_kind: str
    beat_interval_ms: float
    active_rules: frozenset[str]
    fault_tolerance: FaultTolerance
    rule_bounds: RuleBounds
    provider_api: ProviderInterface | None


def load_settings(path: str | Path) -> Result[Settings, tuple[Finding, ...]]:
    """Read the settings file at a path and check it in full."""
    try:
        body = Path(path).read_bytes()
    except OSError as error:
        problem = f"cannot be read: {error.strerror or error}"
        return Error((Finding(str(path), problem, f"name a readable file in {SETTINGS_VARIABLE}"),))
    return read_settings(body)


def read_settings(body: bytes) -> Result[Settings, tuple[Finding, ...]]:
    """Read settings from the content of their file and check them in full."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _document_error(f"cannot be read: {error}")
    if not isinstance(document, dict):
        return _document_error("is not an object")
    document = _without_empty(document)
    findings = schema_findings(_SCHEMA, document)
    if findings:
        return Error(findings)
    return Ok(_build_settings(document))


def _without_empty(document: Document) -> dict[str, Any]:
    """Return the document without its empty fields, at any depth of objects."""
    return {
        name: _without_empty(value) if isinstance(value, dict) else value
        for name, value in document.items()
        if value is not None and value != ""
    }


def parse_address(text: str) -> Address:
    """Read an address written as ``HOST:PORT``; raise `ValueError` for any other text."""
    host, separator, port_text = text.rpartition(":")
    if not (host and separator and port_text.isascii() and port_text.isdecimal()):
        raise ValueError(f"{text!r} is not HOST:PORT")
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{text!r} has no port from 1 to {MAX_PORT}")
    return Address(host, port)


def _document_error(problem: str) -> Result[Settings, tuple[Finding, ...]]:
    return Error((Finding(WHOLE_DOCUMENT, problem, "write one JSON object"),))


def _check_address(field: str, value: object, error: Callable[[str, str], None]) -> None:
    if not isinstance(value, str):
        return
    try:
        parse_address(value)
    except ValueError as parse_error:
        error(field, str(parse_error))


def _check_port_range(field: str, value: object, error: Callable[[str, str], None]) -> None:
    if not isinstance(value, list) or len(value) != 2:
        error(field, "is not a first and a last port")
        return
    first, last = value
    if type(first) is not int or type(last) is not int or not 0 < first <= last <= MAX_PORT:
        error(field, f"is not a rising pair of ports from 1 to {MAX_PORT}")


def _rule_bound_schema() -> dict[str, dict[str, str]]:
    return {
        field.name: {"type": "boolean" if isinstance(field.default, bool) else "number"}
        for field in fields(RuleBounds)
    }


_COUNT = {"type": "whole", "min": 0}
_AMOUNT = {"type": "number", "min": 0, "nullable": True}
_NAME = {"type": "string", "required": True}
_NAMES = {"type": "list", "schema": {"type": "string"}}
_ADDRESS = {"type": "string", "check_with": _check_address}
_OPTIONAL_ADDRESS = {**_ADDRESS, "nullable": True}

_SCHEMA = {
    "node_name": _NAME,
    "role": _NAME,
    "machine_class": {"type": "string"},
    "serves": _NAMES,
    "ip": _NAME,
    "zone": _NAME,
    "region": {"type": "string"},
    "zones": {"type": "dict", "valuesrules": {"type": "string"}},
    "bind": {"type": "dict", "schema": {field.name: _OPTIONAL_ADDRESS for field in fields(BoundAddresses)}},
    "port_range": {"required": True, "check_with": _check_port_range},
    "seed_nodes": {"type": "list", "schema": _ADDRESS},
    "bootstrap": {"type": "boolean"},
    "quorum_member": {"type": "boolean"},
    "limits": {"type": "dict", "schema": {field.name: _AMOUNT for field in fields(ProcessLimits)}},
    "data_dir": {"type": "string", "nullable": True},
    "discovery": {"type": "string"},
    "entry_kind": {"type": "string"},
    "beat_interval_ms": {"type": "number", "min": 1},
    "active_rules": _NAMES,
    "fault_tolerance": {"type": "dict", "schema": {field.name: _COUNT for field in fields(FaultTolerance)}},
    "rule_bounds": {"type": "dict", "schema": _rule_bound_schema()},
    "provider_api": {
        "type": "dict",
        "nullable": True,
        "schema": {
            "address": {**_ADDRESS, "required": True},
            "rate_per_s": {"type": "number", "min": 0},
            "duties": {"type": "list"},
            "lag_ms": {"type": "number", "min": 0},
        },
    },
}


def _build_settings(document: Document) -> Settings:
    return Settings(
        node_name=document["node_name"],
        role=document["role"],
        machine_class=document.get("machine_class", ""),
        serves=frozenset(document.get("serves", ())),
        ip=document["ip"],
        zone=document["zone"],
        region=document.get("region", ""),
        zones=MappingProxyType(dict(document.get("zones", {}))),
        bind=_build_bind(document.get("bind", {})),
        port_range=PortRange(*document["port_range"]),
        seed_nodes=tuple(map(parse_address, document.get("seed_nodes", ()))),
        bootstrap=document.get("bootstrap", False),
        quorum_member=document.get("quorum_member", False),
        limits=ProcessLimits(**_known_fields(ProcessLimits, document.get("limits", {}))),
        data_dir=document.get("data_dir"),
        discovery=document.get("discovery", ""),
        entry_kind=document.get("entry_kind", ""),
        beat_interval_ms=document.get("beat_interval_ms", DEFAULT_BEAT_INTERVAL_MS),
        active_rules=frozenset(document.get("active_rules", ())),
        fault_tolerance=FaultTolerance(**_known_fields(FaultTolerance, document.get("fault_tolerance", {}))),
        rule_bounds=RuleBounds(**_known_fields(RuleBounds, document.get("rule_bounds", {}))),
        provider_api=_build_provider(document.get("provider_api")),
    )


def _build_bind(row: Document) -> BoundAddresses:
    known = _known_fields(BoundAddresses, row)
    return BoundAddresses(**{name: parse_address(text) for name, text in known.items() if text is not None})


def _build_provider(row: Document | None) -> ProviderInterface | None:
    if row is None:
        return None
    return ProviderInterface(
        address=parse_address(row["address"]),
        rate_per_s=row.get("rate_per_s", DEFAULT_PROVIDER_RATE_PER_S),
        duties=tuple(row.get("duties", ())),
        lag_ms=row.get("lag_ms", 0),
    )


def _known_fields(model: type, row: Document) -> dict[str, Any]:
    names = {field.name for field in fields(model)}
    return {name: value for name, value in row.items() if name in names}
