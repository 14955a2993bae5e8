"""Writes snapshots beside the loop: a thread with a short queue that drops the oldest.

This file owns when a checkpoint, a journal entry or an `fsync` is due, and how much may be written. It must never keep
the loop waiting: `offer` puts a snapshot into the queue and returns. Bounds: 4 snapshots in the queue, one `fsync` a
second, `most_bytes_a_s` on average over ten seconds, one complaint in 30 s.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

from iristrack.recovery.pack import changes, pack
from iristrack.store import state_format as fmt
from iristrack.store.state_store import StateFolderBusy, StateStore, StoredState

QUEUED = 4
SYNC_EVERY_S = 1.0
CHECKPOINT_EVERY_S = 60.0
COMPLAIN_EVERY_S = 30.0
BURST_S = 10.0
MOST_BYTES_A_S = 64 * 1024

Snapshot = tuple[dict, int]  # what was learned, and when (Unix time, ns)


class StateWriter:
    """One folder's writer. `start` opens it and says what it held; then `offer`, and at the end `close`."""

    def __init__(
        self,
        store: StateStore,
        name: str,
        say: Callable[[str], None],
        most_bytes_a_s: int = MOST_BYTES_A_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`name` is the sidecar's; `say` may be called from the writer's thread."""
        self.store = store
        self.name = name
        self.rate = most_bytes_a_s
        self.clock = clock
        self.dropped = self.skipped = 0  # snapshots that the queue had no room for; that the rate forbade
        self._say = say
        self._said_at = -COMPLAIN_EVERY_S
        self._unsaid = 0
        store.complain = self.complain
        self._queue: deque[Snapshot] = deque(maxlen=QUEUED)
        self._wake = threading.Condition()
        self._closing = False
        self._thread: threading.Thread | None = None
        self._last: list[fmt.Record] = []  # what the files say
        self._checkpoint_at = self._sync_at = -1e9
        self._budget, self._budget_at = float(most_bytes_a_s * BURST_S), clock()

    def complain(self, text: str) -> None:
        """A line about a failed call, one in 30 s at most; the others are counted into the next."""
        now = self.clock()
        if now - self._said_at < COMPLAIN_EVERY_S:
            self._unsaid += 1
            return
        more = f" ({self._unsaid} more since)" if self._unsaid else ""
        self._said_at, self._unsaid = now, 0
        self._say(text + more)

    def start(self) -> StoredState:
        """Read what is there and begin to write; an empty find and no thread while another process has the folder."""
        try:
            found = self.store.open()
        except StateFolderBusy as fault:
            self.complain(f"state: {fault}; this process keeps none")
            return StoredState()
        self._thread = threading.Thread(target=self._run, name="state writer", daemon=True)
        self._thread.start()
        return found

    def offer(self, snapshot: dict, at_ns: int) -> None:
        """Have it written, if there is time; the oldest that waits is dropped where four wait already."""
        if self._thread is None:
            return
        with self._wake:
            self.dropped += len(self._queue) == QUEUED
            self._queue.append((snapshot, at_ns))
            self._wake.notify()

    def close(self, snapshot: dict | None, at_ns: int, within_s: float) -> bool:
        """Write a last checkpoint and let go of the folder; false if that took too long, and it is left behind."""
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
                self._queue, waiting = deque(maxlen=QUEUED), self._queue
                closing = self._closing
            try:
                self.write(*waiting[-1], last=closing)  # a newer one says all that an older one does
            except Exception as fault:
                # Guards the thread: whatever a snapshot holds, the next one is tried.
                self.complain(f"state: a snapshot was not written: {type(fault).__name__}: {fault}")
        self.store.close()

    def write(self, snapshot: dict, at_ns: int, last: bool = False) -> bool:
        """Write one now: a checkpoint when it is time, else what has changed. True if anything was written."""
        now = self.clock()
        records = pack(snapshot, at_ns, self.name, self.store.writer)
        if last or now - self._checkpoint_at >= CHECKPOINT_EVERY_S or not self._last:
            return self._checkpoint(now, records)
        if now - self._sync_at < SYNC_EVERY_S:
            return False
        behind = changes(self._last, records)
        size = sum(len(fmt.record(kind, body)) for kind, body in behind)
        if not self._may_write(now, size):
            self.skipped += 1
            return False
        if self.store.append(behind):
            self._last, self._sync_at = records, now
            return self.store.sync()
        return self._checkpoint(now, records)

    def _checkpoint(self, now: float, records: list[fmt.Record]) -> bool:
        self._checkpoint_at = now  # a failed one is tried again when the next is due, not at once
        if not self.store.checkpoint(records):
            self._last = self._last or [("meta", None)]
            return False
        self._last, self._sync_at = records, now
        return True

    def _may_write(self, now: float, size: int) -> bool:
        self._budget = min(self.rate * BURST_S, self._budget + (now - self._budget_at) * self.rate)
        self._budget_at = now
        if size > self._budget:
            return False
        self._budget -= size
        return True
