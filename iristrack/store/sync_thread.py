"""Appends records beside the event loop: a thread that syncs all that waits at once.

This file owns the queue between the loop and the disk. It must never keep the loop waiting: `submit` puts records into
the queue and returns, and the outcome is told in the loop's thread, in the order of submission. What was submitted
before the loop was told of a failure, and stands behind it, fails as well: it may rest on what was lost. Bounds: 4,096
records and 32 MiB that were submitted and not told yet.
"""

from __future__ import annotations

import socket
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from iristrack.store.acceptor_format import IdentityRecord, Record
from iristrack.store.acceptor_store import AcceptorStore, StoreFull

if TYPE_CHECKING:
    from iristrack.runtime.scheduler import Scheduler

MOST_RECORDS = 4096
MOST_BYTES = 32 * 1024 * 1024
RECORD_OVERHEAD_BYTES = 256  # what a record weighs beside its value
_WAKE_READ_BYTES = 4096

OnDone = Callable[[bool], None]


class EarlierFailure(Exception):
    """Records were not written because earlier ones were not."""


@dataclass(slots=True)
class _Submission:
    """Records that are kept or not kept together."""

    records: Sequence[Record]
    on_done: OnDone
    size: int  # bytes
    known_failures: int  # the number of the last failure that the loop was told when it submitted this
    failure: Exception | None = None
    failure_number: int = 0


class SyncThread:
    """One store's writer. All methods are for the loop's thread."""

    def __init__(
        self,
        store: AcceptorStore,
        scheduler: Scheduler,
        report_failure: Callable[[Exception], None] = lambda failure: None,
    ) -> None:
        """`store` belongs to the thread from `start` on; `report_failure` is called in the loop's thread."""
        self._store = store
        self._scheduler = scheduler
        self._report_failure = report_failure
        self._queue: deque[_Submission] = deque()
        self._done: deque[_Submission] = deque()
        self._outstanding: deque[_Submission] = deque()  # in order of submission, until they are told
        self._outstanding_records = 0
        self._outstanding_bytes = 0
        self._known_failures = 0  # the loop's
        self._failures = 0  # the thread's: it fails what was submitted without knowledge of the last one
        self._changed = threading.Condition()
        self._stopping = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._thread = threading.Thread(target=self._run, name="cell sync", daemon=True)

    # ---- the loop's side

    def start(self) -> None:
        """Begin to write."""
        self._scheduler.watch(self._wake_reader.fileno(), self._tell_done)
        self._thread.start()

    def submit(self, records: Sequence[Record], on_done: OnDone) -> None:
        """Have records on the disk; `on_done` gets true once they are, false if they may not be.

        It is called from the loop later, or at once with false where the queue is full or the thread stops.
        """
        size = sum(_weight(record) for record in records)
        over_records = self._outstanding_records + len(records) > MOST_RECORDS
        over_bytes = self._outstanding_bytes + size > MOST_BYTES
        if over_records or over_bytes or self._stopping:
            on_done(False)
            return
        submission = _Submission(records, on_done, size, self._known_failures)
        self._outstanding.append(submission)
        self._outstanding_records += len(records)
        self._outstanding_bytes += size
        with self._changed:
            self._queue.append(submission)
            self._changed.notify()

    def stop(self, within_s: float) -> bool:
        """Write what waits, close the store and tell all outcomes; false if the disk took longer than that.

        What was not written by then is told as failed, and the thread and its store are left behind.
        """
        with self._changed:
            self._stopping = True
            self._changed.notify()
        if self._thread.ident is None:
            self._store.close()
        else:
            self._thread.join(within_s)
        in_time = not self._thread.is_alive()
        self._tell_done()
        self._scheduler.unwatch(self._wake_reader.fileno())
        self._wake_reader.close()
        self._wake_writer.close()
        while self._outstanding:
            self._tell(TimeoutError(f"the disk took over {within_s} s"))
        return in_time

    def _tell_done(self) -> None:
        """Tell the outcomes that the thread handed over."""
        self._drain_wakes()
        while self._done and self._outstanding:
            self._tell(self._done.popleft().failure)

    def _drain_wakes(self) -> None:
        try:
            while self._wake_reader.recv(_WAKE_READ_BYTES):
                pass
        except BlockingIOError:
            return

    def _tell(self, failure: Exception | None) -> None:
        """Tell the oldest outstanding submission its outcome."""
        submission = self._outstanding.popleft()
        self._known_failures = max(self._known_failures, submission.failure_number)
        self._outstanding_records -= len(submission.records)
        self._outstanding_bytes -= submission.size
        try:
            if failure is not None:
                self._report_failure(failure)
            submission.on_done(failure is None)
        except Exception:
            # Guards the submissions behind it.
            self._scheduler.report_failure("an outcome of the cell store was not taken")

    # ---- the thread's side

    def _run(self) -> None:
        while batch := self._next_batch():
            self._write(batch)
            self._done.extend(batch)
            self._wake_loop()
        self._store.close()

    def _next_batch(self) -> list[_Submission]:
        """All that waits; empty at the end."""
        with self._changed:
            while not self._queue and not self._stopping:
                self._changed.wait()
            batch = list(self._queue)
            self._queue.clear()
            return batch

    def _write(self, batch: list[_Submission]) -> None:
        """Append a batch as one; where the store refuses some of it, each submission on its own."""
        sound = [submission for submission in batch if not self._is_behind_failure(submission)]
        if not sound:
            return
        failure = self._append([record for submission in sound for record in submission.records])
        if failure is None:
            return
        if _is_refusal(failure) and len(sound) > 1:
            for submission in sound:
                self._write([submission])
            return
        self._failures += 1
        for submission in sound:
            submission.failure = failure
            submission.failure_number = self._failures

    def _is_behind_failure(self, submission: _Submission) -> bool:
        """Fail a submission made before the loop knew of the last failure."""
        if submission.known_failures == self._failures:
            return False
        submission.failure = EarlierFailure("earlier records were not written")
        submission.failure_number = self._failures
        return True

    def _append(self, records: Sequence[Record]) -> Exception | None:
        try:
            self._store.append(records)
        except Exception as failure:
            # Guards the thread: whatever one batch meets, the next one is tried.
            return failure
        return None

    def _wake_loop(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            # Full: the loop is to wake anyway. Closed: `stop` waited no longer.
            return


def _is_refusal(failure: Exception) -> bool:
    """Did the store write nothing because of what the records are?"""
    return isinstance(failure, StoreFull) or not isinstance(failure, OSError)


def _weight(record: Record) -> int:
    """About what a queued record holds in memory, in bytes."""
    return RECORD_OVERHEAD_BYTES + (0 if isinstance(record, IdentityRecord) else len(record.value))
