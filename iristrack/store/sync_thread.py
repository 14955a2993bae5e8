"""Appends records outside the event loop: a thread that writes and syncs all queued records at once.

This module owns the queue between the loop and the disk. It never blocks the loop: `submit` queues records and returns,
and the outcomes are reported in the loop's thread, in the order of submission. After a failure, submissions that were
queued before the loop was informed of it fail as well, because they may depend on what was lost. Limits: 4,096 records
and 32 MiB submitted and not yet reported.
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

MAX_PENDING_RECORDS = 4096
MAX_PENDING_BYTES = 32 * 1024 * 1024
RECORD_OVERHEAD_BYTES = 256  # estimated memory of a queued record, excluding its value
_WAKE_READ_BYTES = 4096

OnDone = Callable[[bool], None]


class EarlierFailure(Exception):
    """Records were not written because earlier ones failed."""


@dataclass(slots=True)
class _Submission:
    """Records that succeed or fail together."""

    records: Sequence[Record]
    on_done: OnDone
    size: int  # bytes
    reported_failures: int  # number of the last failure reported to the loop when it submitted this
    failure: Exception | None = None
    failure_number: int = 0


class SyncThread:
    """The writer of one store. All public methods must be called from the loop's thread."""

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
        self._outstanding: deque[_Submission] = deque()  # in order of submission, until reported
        self._outstanding_records = 0
        self._outstanding_bytes = 0
        self._reported_failures = 0  # as reported to the loop
        # As seen by the thread, which fails submissions made before the last failure was reported to the loop.
        self._failure_count = 0
        self._changed = threading.Condition()
        self._stopping = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._thread = threading.Thread(target=self._run, name="acceptor sync", daemon=True)

    # ---- the loop's side

    def start(self) -> None:
        """Start the thread."""
        self._scheduler.watch(self._wake_reader.fileno(), self._report_completed)
        self._thread.start()

    def submit(self, records: Sequence[Record], on_done: OnDone) -> None:
        """Queue records for writing; `on_done` is called with true once they are synced, with false if they may not be.

        It is called later from the loop, or immediately with false if the queue is full or the thread is stopping.
        """
        size = sum(_estimated_bytes(record) for record in records)
        over_records = self._outstanding_records + len(records) > MAX_PENDING_RECORDS
        over_bytes = self._outstanding_bytes + size > MAX_PENDING_BYTES
        if over_records or over_bytes or self._stopping:
            on_done(False)
            return
        submission = _Submission(records, on_done, size, self._reported_failures)
        self._outstanding.append(submission)
        self._outstanding_records += len(records)
        self._outstanding_bytes += size
        with self._changed:
            self._queue.append(submission)
            self._changed.notify()

    def stop(self, within_s: float) -> bool:
        """Write queued records, close the store and report all outcomes; false if that exceeded `within_s`.

        Records not written by then are reported as failed, and the thread and its store are abandoned.
        """
        with self._changed:
            self._stopping = True
            self._changed.notify()
        if self._thread.ident is None:
            self._store.close()
        else:
            self._thread.join(within_s)
        in_time = not self._thread.is_alive()
        self._report_completed()
        self._scheduler.unwatch(self._wake_reader.fileno())
        self._wake_reader.close()
        self._wake_writer.close()
        while self._outstanding:
            self._report_oldest(TimeoutError(f"the disk did not complete the writes within {within_s} s"))
        return in_time

    def _report_completed(self) -> None:
        """Report the outcomes completed by the thread."""
        self._drain_wakes()
        while self._done and self._outstanding:
            self._report_oldest(self._done.popleft().failure)

    def _drain_wakes(self) -> None:
        try:
            while self._wake_reader.recv(_WAKE_READ_BYTES):
                pass
        except BlockingIOError:
            return

    def _report_oldest(self, failure: Exception | None) -> None:
        """Report the outcome of the oldest outstanding submission."""
        submission = self._outstanding.popleft()
        self._reported_failures = max(self._reported_failures, submission.failure_number)
        self._outstanding_records -= len(submission.records)
        self._outstanding_bytes -= submission.size
        try:
            if failure is not None:
                self._report_failure(failure)
            submission.on_done(failure is None)
        except Exception:
            # A failing callback must not affect later submissions.
            self._scheduler.report_failure("a callback of the acceptor store failed")

    # ---- the thread's side

    def _run(self) -> None:
        while batch := self._next_batch():
            self._write(batch)
            self._done.extend(batch)
            self._wake_loop()
        self._store.close()

    def _next_batch(self) -> list[_Submission]:
        """Wait for and return all queued submissions; empty when the thread stops."""
        with self._changed:
            while not self._queue and not self._stopping:
                self._changed.wait()
            batch = list(self._queue)
            self._queue.clear()
            return batch

    def _write(self, batch: list[_Submission]) -> None:
        """Append a batch as a whole; if the store refuses it, append each submission separately."""
        eligible = [submission for submission in batch if not self._fail_if_stale(submission)]
        if not eligible:
            return
        failure = self._append([record for submission in eligible for record in submission.records])
        if failure is None:
            return
        if _is_refusal(failure) and len(eligible) > 1:
            for submission in eligible:
                self._write([submission])
            return
        self._failure_count += 1
        for submission in eligible:
            submission.failure = failure
            submission.failure_number = self._failure_count

    def _fail_if_stale(self, submission: _Submission) -> bool:
        """Fail a submission made before the last failure was reported to the loop; return whether it was."""
        if submission.reported_failures == self._failure_count:
            return False
        submission.failure = EarlierFailure("earlier records were not written")
        submission.failure_number = self._failure_count
        return True

    def _append(self, records: Sequence[Record]) -> Exception | None:
        try:
            self._store.append(records)
        except Exception as failure:
            # Keeps the thread alive: an error in one batch must not prevent the next one.
            return failure
        return None

    def _wake_loop(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            # Full: the loop will wake anyway. Closed: `stop` has timed out.
            return


def _is_refusal(failure: Exception) -> bool:
    """Return whether the store refused the records before writing anything."""
    return isinstance(failure, StoreFull) or not isinstance(failure, OSError)


def _estimated_bytes(record: Record) -> int:
    """Return the estimated memory of a queued record in bytes."""
    return RECORD_OVERHEAD_BYTES + (0 if isinstance(record, IdentityRecord) else len(record.value))
