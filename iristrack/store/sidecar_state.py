"""Persists what a running sidecar learns, and gives a starting one the part of it that is still recent enough.

This module connects the event loop, the writer and the ageing of stored values. It never blocks a running loop and
never prevents a sidecar from starting: any error in a folder only produces one log line.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from iristrack import __version__
from iristrack import interface as mi
from iristrack.balance import Balancer
from iristrack.recovery.aging import age_snapshot
from iristrack.recovery.pack import unpack
from iristrack.store.state_store import StateStore
from iristrack.store.state_writer import StateWriter

if TYPE_CHECKING:
    from iristrack.runtime.scheduler import Scheduler

SNAPSHOT_INTERVAL_NS = mi.NS_PER_S
FINAL_WRITE_TIMEOUT_S = 0.5  # how long process exit waits for the final checkpoint


class SidecarState:
    """The persisted state of one sidecar in one folder."""

    def __init__(
        self, folder: str, name: str, log_warning: Callable[[str], None], log_info: Callable[[str], None]
    ) -> None:
        """`log_warning` takes warnings, `log_info` informational lines."""
        self.log_info = log_info
        self.log_warning = log_warning
        self.name = name
        self.writer = StateWriter(StateStore(folder, __version__, log_warning), name, log_warning)

    def start(self, settings: mi.Settings) -> dict | None:
        """Lock the folder and read it; return the `learned` argument of `Balancer`, or None."""
        stored = self.writer.start()
        for note in stored.notes:
            self.log_warning(f"state: {note}")
        try:
            unpacked = unpack(stored.records + stored.changes)
            if unpacked is None:
                return None
            snapshot, meta = unpacked
            age_ns = time.time_ns() - meta["at"]
            learned = age_snapshot(snapshot, Balancer(settings, 0).snapshot(0), age_ns)
        except ValueError as error:
            self.log_warning(f"state: nothing is used: {error}")
            return None
        if learned is None:
            self.log_warning(f"state: nothing is used: it is {-age_ns / 1e9:.1f} s ahead of the clock")
        else:
            self.log_info(f"state: {len(learned['servers'])} servers are known from {age_ns / 1e9:.1f} s ago")
        return learned

    def schedule_snapshots(self, scheduler: Scheduler, balancer: Balancer, clock: Callable[[], int]) -> None:
        """Submit a snapshot to the writer every second from now on."""

        def offer() -> None:
            self.writer.offer(balancer.snapshot(clock()), time.time_ns())
            scheduler.call_at(clock() + SNAPSHOT_INTERVAL_NS, offer)

        scheduler.call_at(clock() + SNAPSHOT_INTERVAL_NS, offer)

    def stop(self, balancer: Balancer, now: int) -> None:
        """Write the final checkpoint; a restart soon afterwards uses nearly all of it."""
        if not self.writer.close(balancer.snapshot(now), time.time_ns(), FINAL_WRITE_TIMEOUT_S):
            self.log_warning("state: the last checkpoint was not written in time")
