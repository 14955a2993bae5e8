"""Keeps what a running sidecar learns, and gives a starting one what it may believe of it.

This file owns the hand-over between the loop, the writer and the rule of trust. It must never keep a running loop
waiting, nor a sidecar from starting: whatever a folder holds or fails at is one log line.
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

EVERY_NS = mi.NS_PER_S
LAST_WRITE_S = 0.5  # how long the end of the process waits for the last checkpoint


class SidecarState:
    """One sidecar's state in one folder."""

    def __init__(
        self, folder: str, name: str, say: Callable[[str], None], tell: Callable[[str], None]
    ) -> None:
        """`say` takes warnings, `tell` what is only of interest."""
        self.tell = tell
        self.say = say
        self.name = name
        self.writer = StateWriter(StateStore(folder, __version__, say), name, say)

    def start(self, settings: mi.Settings) -> dict | None:
        """Lock the folder and weigh what it holds: what `Balancer` takes as `learned`, or None."""
        found = self.writer.start()
        for note in found.notes:
            self.say(f"state: {note}")
        try:
            unpacked = unpack(found.records + found.changes)
            if unpacked is None:
                return None
            snapshot, meta = unpacked
            age = time.time_ns() - meta["at"]
            learned = age_snapshot(snapshot, Balancer(settings, 0).snapshot(0), age)
        except ValueError as fault:
            self.say(f"state: nothing is used: {fault}")
            return None
        if learned is None:
            self.say(f"state: nothing is used: it is {-age / 1e9:.1f} s ahead of the clock")
        else:
            self.tell(f"state: {len(learned['servers'])} servers are known from {age / 1e9:.1f} s ago")
        return learned

    def schedule_snapshots(self, scheduler: Scheduler, balancer: Balancer, clock: Callable[[], int]) -> None:
        """Offer a snapshot every second from now on."""

        def offer() -> None:
            self.writer.offer(balancer.snapshot(clock()), time.time_ns())
            scheduler.call_at(clock() + EVERY_NS, offer)

        scheduler.call_at(clock() + EVERY_NS, offer)

    def stop(self, balancer: Balancer, now: int) -> None:
        """Write the last checkpoint; the next start within moments uses nearly all of it."""
        if not self.writer.close(balancer.snapshot(now), time.time_ns(), LAST_WRITE_S):
            self.say("state: the last checkpoint was not written in time")
