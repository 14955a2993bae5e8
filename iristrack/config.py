"""Configuration of a sidecar: reads the environment and a JSON file into `Settings` and addresses.

The sidecar and the simulator's adapter both read their settings with this module. It must never open a socket or
make a decision. A configuration that cannot be read raises a `ConfigError` with a text of one line.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

from iristrack import interface as mi

_REPEATS = {"free": mi.Repeat.SAFE, "guarded": mi.Repeat.KEYED, "single_shot": mi.Repeat.UNSAFE}
REPORT_NAMES = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}

Fields = dict[str, str]


class FieldError(ValueError):
    """A line or a setting that cannot be parsed."""


def read_bool(text: str | None) -> bool:
    """Parse a truth value; anything but `1` and `true` is false."""
    return text in ("1", "true")


def read_int(fields: Fields, name: str, default: int | None = None) -> int:
    """Return a field as an integer; raise `FieldError` if it is missing without a default, or malformed."""
    text = fields.get(name)
    if text is None:
        if default is None:
            raise FieldError(f"field {name} is missing")
        return default
    try:
        return int(text)
    except ValueError:
        raise FieldError(f"{name}={text!r} is no whole number") from None


def read_float(fields: Fields, name: str, default: float) -> float:
    """Return a field as a number; raise `FieldError` if it is malformed."""
    text = fields.get(name)
    if not text:
        return default
    try:
        return float(text)
    except ValueError:
        raise FieldError(f"{name}={text!r} is no number") from None


def read_text(fields: Fields, name: str) -> str:
    """Return a field as text; raise `FieldError` if it is missing."""
    try:
        return fields[name]
    except KeyError:
        raise FieldError(f"field {name} is missing") from None


def _class(options: Fields, prefix: str) -> mi.RequestClass:
    return mi.RequestClass(
        name=read_text(options, prefix + "name"),
        aim_ns=read_int(options, prefix + "promise_ns"),
        deadline_ns=read_int(options, prefix + "deadline_ns"),
        worth=read_float(options, prefix + "worth", 1.0),
        late_share=read_float(options, prefix + "late_share", 0.0),
        aim_stretch=read_float(options, prefix + "aim_stretch", 0.0),
        repeat=_REPEATS.get(options.get(prefix + "repeat", ""), mi.Repeat.UNSAFE),
        group=mi.Group(options.get(prefix + "group") or "all"),
        memory_ns=read_int(options, prefix + "memory_span_ns", 0),
        stream=read_bool(options.get(prefix + "stream")),
    )


def read_settings(options: Fields) -> mi.Settings:
    """Build settings from path=value pairs; unknown paths are ignored, missing ones get their default."""
    o = options
    return mi.Settings(
        classes=tuple(_class(o, f"classes.{i}.") for i in range(read_int(o, "classes.count", 0))),
        tenants=tuple(
            mi.Tenant(
                name=read_text(o, f"orgs.{i}.name"),
                share=read_float(o, f"orgs.{i}.fraction", 0.0),
                quota_per_s=read_float(o, f"orgs.{i}.quota_per_s", 0.0),
            )
            for i in range(read_int(o, "orgs.count", 0))
        ),
        limits=mi.Limits(
            max_attempts=read_int(o, "allowed.attempts_cap", 1),
            max_open=read_int(o, "allowed.max_open", 1 << 30),
            cancel=read_bool(o.get("allowed.cancel")),
            second_copies=read_bool(o.get("allowed.parallel_tries")),
            probes=read_bool(o.get("allowed.probes")),
            peers=read_bool(o.get("allowed.peers")),
            retry_after=read_bool(o.get("allowed.retry_after")),
            max_retry_after_ns=read_int(o, "allowed.max_retry_after_ns", 0),
            connect_timeout_ns=read_int(o, "allowed.connect_timeout_ns", 0),
            idle_ns=read_int(o, "allowed.conn_idle_ns", 0),
            requests_per_connection=read_int(o, "allowed.multiplex", 1),
        ),
        contract=mi.Contract(
            answer_slack_ns=read_int(o, "contract.answer_slack_ns", 0),
            drain_grace_ns=read_int(o, "contract.drain_grace_ns", 0),
            cold_share=read_float(o, "contract.cold_share", 1.0),
            cold_ns=read_int(o, "contract.cold_ns", 0),
            overload_factor=read_float(o, "contract.overload_factor", 3.0),
            fall_ns=read_int(o, "contract.fall_ns", mi.NS_PER_S),
            must_ask_ns=read_int(o, "contract.must_ask_in_ns", 0),
        ),
        prices=mi.Prices(
            cross_zone=read_float(o, "prices.cross_zone", 0.0),
            waste=read_float(o, "prices.waste", 0.0),
            late_fail=read_float(o, "prices.late_fail", 0.0),
            probe=read_float(o, "prices.probe", 0.0),
            handshake=read_float(o, "prices.handshake", 0.0),
            connection=read_float(o, "prices.connection", 0.0),
        ),
        balancers=read_int(o, "balancers", 1),
        zone=o.get("zone", ""),
        ask_for_list=o.get("membership_mode") == "ask",
        sized_weights=o.get("weight_source") in ("nominal", "rough"),
        report_fields=tuple(REPORT_NAMES.get(f, f) for f in o.get("report.fields", "").split(",") if f),
        over_share_worth=read_float(o, "over_share_worth", 1.0),
        resolution_ns=read_int(o, "resolution_ns", mi.NS_PER_MS),
        marks_retries=read_bool(o.get("clients.marks_retry")),
    )


# ---- configuration of the sidecar

Address = tuple[str, int]


class ConfigError(Exception):
    """A configuration that cannot be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one sidecar at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: mi.Settings
    known: dict  # servers known at the start, in discovery's format
    sockets: int = 1024
    memory_mb: int = 0
    state: str = ""  # folder for snapshots; empty: none are stored
    admin: Address | None = None  # address of the operators' port; None: no such port


def read_address(text: str) -> Address:
    """Parse `host:port`, with an IPv6 host in brackets."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is no host:port")
    return host.strip("[]"), int(port)


def _admin(text: object) -> Address | None:
    """Return the address of the operators' port; an error names both sources of that address."""
    try:
        return read_address(str(text)) if text else None
    except ValueError as error:
        raise ValueError(f"admin_addr, or NODE_ADMIN_ADDR: {error}") from None


def flatten(value: object, path: str = "") -> Fields:
    """Convert nested JSON to path=value pairs as the simulator sends them, for one common reader."""
    if isinstance(value, Mapping):
        pairs: Fields = {}
        for name, item in value.items():
            pairs |= flatten(item, f"{path}.{name}" if path else str(name))
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, Mapping) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for i, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{i}")
            return pairs
        return {path: ",".join(_plain(item) for item in value)}
    return {} if value is None else {path: _plain(value)}


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        return crc32(str(value).encode())


def load_config(environment: Mapping[str, str], reread: bool = False) -> Config:
    """Read the file that NODE_CONFIG names; the other variables take precedence over its fields.

    With `reread`, while the program runs, the file's `discovery` takes precedence over the variable, which holds the
    address at the start and cannot change.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG does not name a file")
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path} cannot be read: {' '.join(str(error).split())}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path} does not hold a JSON object")
    try:
        settings = read_settings(flatten(document.get("settings") or {}))
        if not settings.classes:
            raise ValueError("settings.classes is missing or empty")
        limits = document.get("limits") or {}
        known = document.get("known") or {}
        if not isinstance(limits, dict) or not isinstance(known, dict):
            raise ValueError("limits and known must be objects")
        state = document.get("state") or {}
        if (
            not isinstance(state, dict)
            or not isinstance(state.get("folder", ""), str)
            or set(state) - {"folder"}
        ):
            raise ValueError('state is an object with a "folder" and nothing else')
        from_environment, from_file = environment.get("NODE_DISCOVERY"), document.get("discovery")
        admin = environment.get("NODE_ADMIN_ADDR") or document.get("admin_addr")
        return Config(
            name=str(environment.get("NODE_NAME") or document.get("name") or "sidecar"),
            listen=read_address(str(environment.get("NODE_LISTEN") or document.get("listen") or "")),
            discovery=read_address(
                str((from_file or from_environment if reread else from_environment or from_file) or "")
            ),
            seed=_seed(document.get("seed", "")),
            settings=settings,
            known=known,
            sockets=int(limits.get("sockets") or 1024),
            memory_mb=int(limits.get("memory_mb") or 0),
            state=state.get("folder", ""),
            admin=_admin(admin),
        )
    except (ValueError, TypeError, OverflowError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from None
