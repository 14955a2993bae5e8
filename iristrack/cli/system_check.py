"""`iristrack check-system`: settings files and operator's configurations, checked as the programs check them."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from iristrack.cli.exit_codes import EXIT_DONE, EXIT_FOUND, EXIT_UNREADABLE
from iristrack.cli.system_tables import one_line
from iristrack.configuration.document import read_configuration
from iristrack.configuration.findings import WHOLE_DOCUMENT, Finding
from iristrack.settings import Settings, read_settings

SETTINGS_FIELDS = frozenset(
    {
        "node_name",
        "role",
        "machine_class",
        "serves",
        "ip",
        "zone",
        "bind",
        "port_range",
        "seed_nodes",
        "data_dir",
    }
)
CONFIGURATION_FIELDS = frozenset({"revision", "route_table", "services", "tenants"})


class Kind(Enum):
    """What a file is, told by its fields."""

    SETTINGS = "settings"
    CONFIGURATION = "configuration"
    NEITHER = "neither"


class Unreadable(Exception):
    """A file that cannot be read, or holds no JSON object."""


@dataclass(frozen=True, slots=True)
class Checked:
    """What a check of one file gave; `sound` says what it is where there are no findings."""

    file: Path
    kind: Kind
    findings: tuple[Finding, ...]
    sound: str = ""


def check_files(files: Sequence[Path]) -> int:
    """Check all files and print what was found; the exit status."""
    status = EXIT_DONE
    for file in files:
        try:
            checked = check_file(file)
        except Unreadable as fault:
            print(f"iristrack: {file}: {one_line(str(fault))}", file=sys.stderr)
            status = EXIT_UNREADABLE
            continue
        for finding in checked.findings:
            print(one_line(f"{file}: {finding}"))
        if checked.findings:
            status = max(status, EXIT_FOUND)
        else:
            print(one_line(f"{file}: {checked.sound}"))
    return status


def check_file(file: Path) -> Checked:
    """Check one file; raises `Unreadable`."""
    body = read_body(file)
    kind = kind_of(_decode(body))
    if kind is Kind.SETTINGS:
        return _check_settings(file, body)
    if kind is Kind.CONFIGURATION:
        return _check_configuration(file, body)
    problem = "has no field of a settings file or of a configuration"
    remedy = (
        "name a settings file (node_name, port_range, ...) or a configuration (revision, route_table, ...)"
    )
    return Checked(file, kind, (Finding(WHOLE_DOCUMENT, problem, remedy),))


def read_body(file: Path) -> bytes:
    """A file's bytes; raises `Unreadable`."""
    try:
        return file.read_bytes()
    except OSError as fault:
        raise Unreadable(f"cannot be read: {fault.strerror or fault}") from fault


def kind_of(document: dict[str, object]) -> Kind:
    """The kind whose fields it has more of; `limits` stands in both."""
    settings = len(SETTINGS_FIELDS & document.keys())
    configuration = len(CONFIGURATION_FIELDS & document.keys())
    if settings == configuration == 0:
        return Kind.NEITHER
    return Kind.SETTINGS if settings > configuration else Kind.CONFIGURATION


def _decode(body: bytes) -> dict[str, object]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as fault:
        raise Unreadable(f"is not JSON: {fault}") from fault
    if not isinstance(document, dict):
        raise Unreadable("is not a JSON object")
    return document


def _check_settings(file: Path, body: bytes) -> Checked:
    result = read_settings(body)
    if result.is_error():
        return Checked(file, Kind.SETTINGS, result.error)
    settings = result.ok
    return Checked(
        file, Kind.SETTINGS, tuple(settings_findings(settings)), f"settings of {settings.node_name}: sound"
    )


def _check_configuration(file: Path, body: bytes) -> Checked:
    result = read_configuration(body)
    if result.is_error():
        return Checked(file, Kind.CONFIGURATION, result.error)
    found = result.ok
    tenants = "none" if found.tenants is None else len(found.tenants)
    sound = (
        f"configuration, revision {found.revision}: sound "
        f"(routes: {len(found.routes)}, services: {len(found.services)}, tenants: {tenants})"
    )
    return Checked(file, Kind.CONFIGURATION, (), sound)


def settings_findings(settings: Settings) -> Iterator[Finding]:
    """What single fields do not show: settings with which a program cannot start, or would find nobody."""
    yield from _serving_findings(settings)
    yield from _place_findings(settings)
    if not settings.seed_nodes:
        yield Finding("seed_nodes", "names nobody", "give the control addresses of up to three core machines")


def _serving_findings(settings: Settings) -> Iterator[Finding]:
    bind = settings.bind
    needed = []
    if "edge" in settings.serves:
        needed += [("front_http", bind.front_http, "edge"), ("readiness", bind.readiness, "edge")]
    if "control" in settings.serves:
        needed += [("control_plane", bind.control_plane, "control")]
    for name, address, served in needed:
        if address is None:
            yield Finding(f"bind.{name}", f"is missing, and the role serves {served!r}", "give HOST:PORT")
    if "control" in settings.serves and settings.data_dir is None:
        yield Finding(
            "data_dir", "is null, and the control plane needs a disk", "give the folder of the disk"
        )
    inner = f"{settings.ip}:{settings.port_range.first}"
    if "control" in settings.serves and str(bind.control_plane) == inner:
        problem = f"is {inner}, at which the process listens for others of its kind"
        yield Finding("bind.control_plane", problem, "give a port other than the first of port_range")


def _place_findings(settings: Settings) -> Iterator[Finding]:
    if not settings.zones:
        return
    region = settings.zones.get(settings.zone)
    if region is None:
        yield Finding("zone", f"is {settings.zone!r}, which zones does not name", "name one of zones")
    elif settings.region and settings.region != region:
        yield Finding(
            "region", f"is {settings.region!r}, and zones puts the zone in {region!r}", "give one region"
        )
