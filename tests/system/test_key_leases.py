"""Keys that were taken away, with whole programs: no machine honours one for longer than it may, in touch or not."""

from __future__ import annotations

import signal
import time

from iristrack.standin.client import ask_once
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from tests.system.conftest import NewSystem
from tests.system.scene import (
    AMPLE_RETRIES,
    KEY,
    SOUTH_KEY,
    TENANTS,
    plain,
    start_usual,
    usual_configuration,
)

REVOKE_MS = 1_500


def start(new_system: NewSystem) -> System:
    bounds = AMPLE_RETRIES | {"revoke_global": True, "revoke_ms": REVOKE_MS}
    system = new_system(cores=3, edges=2, rule_bounds=bounds)
    start_usual(system)
    for edge in system.edges:
        wait_until(lambda edge=edge: status(edge, KEY) == 200, f"keys at {edge.name}")
    return system


def status(edge, key: str | None, path: str = "/safe/x") -> int:
    return ask_once(edge.front, plain(path, key=key)).status


def test_beside_a_core_without_a_majority_keys_lapse_in_time_and_come_back_with_it(
    new_system: NewSystem,
) -> None:
    system = start(new_system)
    frozen = system.cores[:2]
    for core in frozen:
        core.send_signal(signal.SIGSTOP)
    cut_at = time.monotonic()
    edge = system.edges[0]
    wait_until(lambda: status(edge, KEY) == 503, "the end of the lease")
    assert (
        time.monotonic() - cut_at <= REVOKE_MS / 1000 + 1.0
    )  # each call of a stopped core's process takes time
    assert status(edge, "unknown") == 503
    assert status(edge, None, "/open/x") == 200
    for core in frozen:
        core.send_signal(signal.SIGCONT)
    wait_until(lambda: status(edge, KEY) == 200, "the lease again")


def test_a_frozen_sidecar_honours_no_key_that_was_taken_away_meanwhile(new_system: NewSystem) -> None:
    system = start(new_system)
    edge, other = system.edges
    edge.send_signal(signal.SIGSTOP)
    document = usual_configuration(5)
    document["tenants"] = TENANTS[1:]
    assert system.operator.replace(document, 1).status == 200
    acknowledged_at = time.monotonic()
    wait_until(lambda: status(other, KEY) == 401, "the removal at the other machine")
    wait_until(lambda: time.monotonic() - acknowledged_at > REVOKE_MS / 1000, "the end of all leases")
    ran_before = len([a for a in system.ledger.arrivals() if a.ran])
    edge.send_signal(signal.SIGCONT)
    assert status(edge, KEY) in (401, 503)
    assert len([a for a in system.ledger.arrivals() if a.ran]) == ran_before
    wait_until(lambda: status(edge, SOUTH_KEY) == 200, "the other tenant's key at the thawed machine")
    assert status(edge, KEY) == 401
