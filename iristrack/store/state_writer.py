"""Writes snapshots outside the event loop: a thread with a short queue that drops the oldest.

This module decides when a checkpoint, a journal entry or an `fsync` is due, and limits the write rate. It never blocks
the loop: `offer` queues a snapshot and returns. Limits: 4 queued snapshots, one `fsync` a second, `max_bytes_per_s` on
average over ten seconds, one warning in 30 s.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

from iristrack.recovery.pack import changes, pack
from iristrack.store import state_format as fmt
from iristrack.store.state_store import StateFolderBusy, StateStore, StoredState

MAX_QUEUED_SNAPSHOTS = 4
SYNC_INTERVAL_S = 1.0
CHECKPOINT_INTERVAL_S = 60.0
WARNING_INTERVAL_S = 30.0
BURST_S = 10.0
MAX_BYTES_PER_S = 64 * 1024

Snapshot = tuple[dict, int]  # learned state and its Unix time in ns


class StateWriter:
    """The writer of one folder: `start` opens and reads it, `offer` submits snapshots, `close` ends the thread."""

    def __init__(
        self,
        store: StateStore,
        name: str,
        log_warning: Callable[[str], None],
        max_bytes_per_s: int = MAX_BYTES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`name` is the sidecar's name; `log_warning` may be called from the writer's thread."""
        self.store = store
        self.name = name
        self.rate = max_bytes_per_s
        self.clock = clock
        self.dropped = self.skipped = 0  # snapshots dropped from a full queue; skipped by the rate limit
        self._log_warning = log_warning
        self._last_warning_at = -WARNING_INTERVAL_S
        self._suppressed_count = 0
        store.warn = self.warn
        self._queue: deque[Snapshot] = deque(maxlen=MAX_QUEUED_SNAPSHOTS)
        self._wake = threading.Condition()
        self._closing = False
        self._thread: threading.Thread | None = None
        self._written_records: list[fmt.Record] = []  # the state as written to the files
        self._checkpoint_at = self._sync_at = -1e9
        self._budget, self._budget_at = float(max_bytes_per_s * BURST_S), clock()

    def warn(self, text: str) -> None:
        """Log a failed call, at most one line in 30 s; suppressed ones are counted in the next line."""
        now = self.clock()
        if now - self._last_warning_at < WARNING_INTERVAL_S:
            self._suppressed_count += 1
            return
        suppressed = f" ({self._suppressed_count} more since)" if self._suppressed_count else ""
        self._last_warning_at, self._suppressed_count = now, 0
        self._log_warning(text + suppressed)

    def start(self) -> StoredState:
        """Read the stored state and start the thread; returns empty state if another process uses the folder."""
        try:
            stored = self.store.open()
        except StateFolderBusy as error:
            self.warn(f"state: {error}; this process stores no state")
            return StoredState()
        self._thread = threading.Thread(target=self._run, name="state writer", daemon=True)
        self._thread.start()
        return stored

    def offer(self, snapshot: dict, at_ns: int) -> None:
        """Queue a snapshot for writing; if four are queued already, the oldest is dropped."""
        if self._thread is None:
            return
        with self._wake:
            self.dropped += len(self._queue) == MAX_QUEUED_SNAPSHOTS
            self._queue.append((snapshot, at_ns))
            self._wake.notify()

    def close(self, snapshot: dict | None, at_ns: int, within_s: float) -> bool:
        """Write a final checkpoint and release the folder; false on time-out, when the thread is abandoned."""
        thread = self._thread
        if thread is None:
            self.store.close()
            return False
        with self._wake:
            if snapshot is not None:
                self._queue.clear()
                self._queue.append((snapshot, at_ns))
                self._checkpoint_at = -1e9
            self._closing = True
            self._wake.notify()
        thread.join(within_s)
        return not thread.is_alive()

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._queue and not self._closing:
                    self._wake.wait()
                if not self._queue:
                    break
                self._queue, waiting = deque(maxlen=MAX_QUEUED_SNAPSHOTS), self._queue
                closing = self._closing
            try:
                self.write(*waiting[-1], last=closing)  # a newer snapshot replaces all older ones
            except Exception as error:
                # Keeps the thread alive: an error in one snapshot must not prevent the next one.
                self.warn(f"state: a snapshot was not written: {type(error).__name__}: {error}")
        self.store.close()

    def write(self, snapshot: dict, at_ns: int, last: bool = False) -> bool:
        """Write one now: a checkpoint if it is due, otherwise the changes. True if anything was written."""
        now = self.clock()
        records = pack(snapshot, at_ns, self.name, self.store.writer)
        if last or now - self._checkpoint_at >= CHECKPOINT_INTERVAL_S or not self._written_records:
            return self._checkpoint(now, records)
        if now - self._sync_at < SYNC_INTERVAL_S:
            return False
        new_records = changes(self._written_records, records)
        size = sum(len(fmt.record(kind, body)) for kind, body in new_records)
        if not self._may_write(now, size):
            self.skipped += 1
            return False
        if self.store.append(new_records):
            self._written_records, self._sync_at = records, now
            return self.store.sync()
        return self._checkpoint(now, records)

    def _checkpoint(self, now: float, records: list[fmt.Record]) -> bool:
        self._checkpoint_at = now  # a failed one is retried when the next is due, not immediately
        if not self.store.checkpoint(records):
            self._written_records = self._written_records or [("meta", None)]
            return False
        self._written_records, self._sync_at = records, now
        return True

    def _may_write(self, now: float, size: int) -> bool:
        self._budget = min(self.rate * BURST_S, self._budget + (now - self._budget_at) * self.rate)
        self._budget_at = now
        if size > self._budget:
            return False
        self._budget -= size
        return True
