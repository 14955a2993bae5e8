"""What one change of a large configuration costs: the whole against an amendment, in bytes and processor time.

    python3 -m benchmarks.amendment_cost --routes 1750

At the core: judging the change and making the value of the register. On the wire: what a sidecar is sent. At the
sidecar: from the frame to tables in force. Times are medians of processor time over `--runs` changes, in milliseconds.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from collections.abc import Callable

from iristrack.configuration.amendment import parse_amendment, read_amendment
from iristrack.configuration.document import parse_configuration, read_configuration
from iristrack.controlplane import changes
from iristrack.dataplane.state import ActiveConfiguration
from iristrack.relay import topics
from iristrack.wire.codec import FrameReader, encode
from iristrack.wire.messages import ConfigurationAmendment, ConfigurationValue, Update
from iristrack.wire.values import decode_value

MAX_BODY_BYTES = 7 << 20
TENANTS = 75


def _route(number: int, timeout_ms: int = 6000) -> dict:
    return {
        "label": f"r-{number:05}", "hostname": f"host{number % 40}.example", "path_prefix": f"/p{number}/",
        "route_kind": "streaming", "timeout_ms": timeout_ms, "target_latency_ms": 563, "priority": 0,
        "weighted_targets": [{"target": "pool-a", "share": 90}, {"target": "pool-b", "share": 10}], "max_tries": 2,
        "public": False, "sticky": True, "resumable": True, "gap_aim_ms": 300,
    }  # fmt: skip


def _document(routes: int, revision: int) -> dict:
    return {
        "revision": revision,
        "route_table": [_route(number) for number in range(routes)],
        "services": [{"label": "pool-a"}, {"label": "pool-b"}],
        "tenants": [
            {"label": f"t{number}", "api_keys": [f"key-{number}-{k}" for k in range(3)]}
            for number in range(TENANTS)
        ],
    }


def _median_ms(runs: int, call: Callable[[int], object]) -> float:
    times = []
    for run in range(runs):
        began = time.process_time_ns()
        call(run)
        times.append((time.process_time_ns() - began) / 1e6)
    return statistics.median(times)


def measure(routes: int, runs: int) -> list[tuple[str, float, float]]:
    """The rows: what is measured, for the whole, for an amendment of one route."""
    first_body = json.dumps(_document(routes, 1)).encode()
    first = changes.replace_configuration(parse_configuration(first_body), first_body, 0)(b"")
    next_body = json.dumps(_document(routes, 2)).encode()
    small = json.dumps({"revision": 2, "upsert": {"route_table": [_route(7, 5000)]}}).encode()

    def replace_at_core(_: int) -> object:
        return changes.replace_configuration(read_configuration(next_body).ok, next_body, 1)(first)

    def amend_at_core(_: int) -> object:
        return changes.AmendConfiguration(read_amendment(small).ok, small, 1, MAX_BODY_BYTES)(first)

    told = changes.relayed_configuration(decode_value(replace_at_core(0), ConfigurationValue))
    whole_frame = encode(Update(topics.CONFIGURATION, 2, told))
    amendment_frame = encode(ConfigurationAmendment(2, small))
    active = ActiveConfiguration(parse_configuration(first_body))

    def whole_at_sidecar(_: int) -> object:
        (update,) = FrameReader().feed(whole_frame)
        return ActiveConfiguration(parse_configuration(decode_value(update.value, ConfigurationValue).body))

    def amendment_at_sidecar(_: int) -> object:
        (amendment,) = FrameReader().feed(amendment_frame)
        return active.amended(parse_amendment(amendment.body))

    return [
        ("at the core, ms", _median_ms(runs, replace_at_core), _median_ms(runs, amend_at_core)),
        ("to each sidecar, bytes", len(whole_frame), len(amendment_frame)),
        ("at each sidecar, ms", _median_ms(runs, whole_at_sidecar), _median_ms(runs, amendment_at_sidecar)),
    ]


def main(arguments: list[str] | None = None) -> int:
    """Print the table; the exit status."""
    parser = argparse.ArgumentParser(prog="benchmarks.amendment_cost", description=__doc__.splitlines()[0])
    parser.add_argument("--routes", type=int, default=1750)
    parser.add_argument("--runs", type=int, default=15)
    options = parser.parse_args(arguments)
    if options.routes < 8 or options.runs < 1:
        print("amendment_cost: at least 8 routes and 1 run are needed", file=sys.stderr)
        return 2
    print("| one change | the whole | an amendment |\n| --- | --- | --- |")
    for name, whole, amendment in measure(options.routes, options.runs):
        print(f"| {name} | {whole:.2f} | {amendment:.2f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
