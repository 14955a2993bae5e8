"""The sync thread of an acceptor's folder: order, one sync for all queued records, failures, limits."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from iristrack.runtime.scheduler import Scheduler
from iristrack.store import sync_thread
from iristrack.store.acceptor_store import BlobRecord, IdentityRecord, RegisterRecord, open_acceptor_store
from iristrack.store.sync_thread import EarlierFailure, SyncThread
from iristrack.wire.messages import NO_BALLOT, Ballot

OWNER = IdentityRecord("first", "a")
LONG_S = 60.0


def register_record(key: str, number: int = 1) -> RegisterRecord:
    return RegisterRecord(key, Ballot(number, "a"), NO_BALLOT, b"value")


class SlowStore:
    """Blocks appends until `let` is set, and records them."""

    def __init__(self) -> None:
        self.let = threading.Event()
        self.entered = threading.Event()
        self.appends: list[list] = []
        self.failures: list[Exception] = []
        self.threads: set[int] = set()
        self.closed = False

    def append(self, records: list) -> None:
        self.entered.set()
        assert self.let.wait(LONG_S)
        self.threads.add(threading.get_ident())
        if any(record.key == "refused" for record in records):
            raise ValueError("refused")
        self.appends.append(records)
        if self.failures:
            raise self.failures.pop(0)

    def close(self) -> None:
        self.closed = True


class Host:
    """A loop and a sync thread; records outcomes and the threads that reported them."""

    def __init__(self, store: object) -> None:
        self.scheduler = Scheduler()
        self.failures: list[Exception] = []
        self.outcomes: list[tuple[object, bool]] = []
        self.threads: set[int] = set()
        self.thread = SyncThread(store, self.scheduler, self.failures.append)
        self.thread.start()

    def submit(self, label: object, *records: object, then: Callable[[], None] | None = None) -> None:
        def record_outcome(ok: bool) -> None:
            self.outcomes.append((label, ok))
            self.threads.add(threading.get_ident())
            if then is not None:
                then()

        self.thread.submit(records, record_outcome)

    def run_until_reported(self, label: object, *records: object) -> None:
        """Submit one more and run the loop until its outcome is reported."""
        self.submit(label, *records, then=self.scheduler.stop)
        self.run_loop()

    def run_loop(self) -> None:
        """Run the loop until it is stopped, which may already have happened."""
        self.scheduler.run()
        self.scheduler._stopped = False


@pytest.fixture
def store() -> SlowStore:
    return SlowStore()


@pytest.fixture
def host(store: SlowStore) -> Iterator[Host]:
    host = Host(store)
    yield host
    store.let.set()
    host.thread.stop(LONG_S)


def test_outcomes_are_reported_in_order_in_the_loops_thread(host: Host, store: SlowStore) -> None:
    store.let.set()
    for n in range(200):
        host.submit(n, register_record(f"k{n}"))
    host.run_until_reported("last", register_record("last"))
    assert host.outcomes == [(n, True) for n in range(200)] + [("last", True)]
    assert host.threads == {threading.get_ident()} and threading.get_ident() not in store.threads
    assert [record.key for batch in store.appends for record in batch][:200] == [f"k{n}" for n in range(200)]


def test_all_queued_records_are_written_by_one_append(host: Host, store: SlowStore) -> None:
    host.submit("first", register_record("first"))
    assert store.entered.wait(LONG_S)
    for n in range(50):
        host.submit(n, register_record(f"a{n}"), register_record(f"b{n}"))
    assert host.outcomes == [], "nothing is reported before it is synced"
    store.let.set()
    host.run_until_reported("last", register_record("last"))
    sizes = [len(batch) for batch in store.appends]
    assert sizes[0] == 1 and sizes[1] in (100, 101) and sum(sizes) == 102


def test_a_failed_write_fails_its_whole_batch_and_the_next_one_succeeds(host: Host, store: SlowStore) -> None:
    store.failures = [OSError(5, "EIO")]
    store.let.set()
    host.run_until_reported("lost", register_record("lost"))
    host.run_until_reported("kept", register_record("kept"))
    assert host.outcomes == [("lost", False), ("kept", True)]
    assert [str(failure) for failure in host.failures] == ["[Errno 5] EIO"]


def test_records_submitted_before_a_failure_was_reported_fail_with_it(host: Host, store: SlowStore) -> None:
    store.failures = [OSError(5, "EIO")]
    host.submit("lost", register_record("lost"))
    assert store.entered.wait(LONG_S)
    host.submit("behind", register_record("behind"))
    store.let.set()
    host.run_until_reported("also behind", register_record("also"))
    host.run_until_reported("after", register_record("after"))
    assert host.outcomes == [("lost", False), ("behind", False), ("also behind", False), ("after", True)]
    assert [type(failure) for failure in host.failures] == [OSError, EarlierFailure, EarlierFailure]
    assert [[record.key for record in batch] for batch in store.appends] == [["lost"], ["after"]]


def test_each_of_two_failures_fails_the_records_submitted_before_it_was_reported(
    host: Host, store: SlowStore
) -> None:
    store.failures = [OSError(5, "one"), OSError(5, "two")]
    store.let.set()

    def submit_more() -> None:
        store.let.clear()
        store.entered.clear()
        host.submit("second", register_record("second"))
        assert store.entered.wait(LONG_S)
        host.submit("behind the second", register_record("behind"), then=host.scheduler.stop)
        store.let.set()

    host.submit("first", register_record("first"), then=submit_more)
    host.run_loop()
    assert host.outcomes == [("first", False), ("second", False), ("behind the second", False)]


def test_a_refused_record_does_not_fail_earlier_ones(host: Host, store: SlowStore) -> None:
    host.submit("held", register_record("held"))
    assert store.entered.wait(LONG_S)
    host.submit("before", register_record("before"))
    host.submit("refused", register_record("refused"))
    host.submit("behind", register_record("behind"))
    store.let.set()
    host.run_until_reported("last", register_record("last"))
    assert host.outcomes[:4] == [("held", True), ("before", True), ("refused", False), ("behind", False)]
    host.run_until_reported("after", register_record("after"))
    assert host.outcomes[-1] == ("after", True)


def test_records_over_the_count_limit_fail_immediately_and_capacity_returns(
    host: Host, store: SlowStore
) -> None:
    batch = [register_record(f"k{n}") for n in range(sync_thread.MAX_PENDING_RECORDS // 4)]
    for n in range(4):
        host.submit(n, *batch)
    host.submit("over", register_record("over"))
    assert host.outcomes == [("over", False)]
    store.let.set()
    while len(host.outcomes) < 5:
        host.scheduler.call_at(0, host.scheduler.stop)
        host.run_loop()
    host.run_until_reported("room", register_record("room"))
    assert host.outcomes[1:] == [(0, True), (1, True), (2, True), (3, True), ("room", True)]


def test_records_over_the_byte_limit_fail_immediately(host: Host, store: SlowStore) -> None:
    value = bytes(8 << 20)
    for n in range(3):
        host.submit(n, RegisterRecord(f"k{n}", NO_BALLOT, NO_BALLOT, value))
    host.submit("over", RegisterRecord("over", NO_BALLOT, NO_BALLOT, value))
    host.submit("small", register_record("small"))
    assert host.outcomes == [("over", False)]
    store.let.set()
    host.run_until_reported("last", register_record("last"))
    host.run_until_reported("room", RegisterRecord("over", NO_BALLOT, NO_BALLOT, value))
    assert host.outcomes[-3:] == [("small", True), ("last", True), ("room", True)]


def test_a_failing_callback_does_not_affect_others(host: Host, store: SlowStore) -> None:
    reported: list[str] = []
    host.scheduler.report_failure = reported.append

    def fail() -> None:
        raise RuntimeError("of the host")

    store.let.set()
    host.submit("fails", register_record("a"), then=fail)
    host.run_until_reported("last", register_record("last"))
    assert host.outcomes == [("fails", True), ("last", True)] and len(reported) == 1


def test_stop_writes_queued_records_and_reports_them(store: SlowStore) -> None:
    host = Host(store)
    host.submit("a", register_record("a"))
    host.submit("b", register_record("b"))
    store.let.set()
    assert host.thread.stop(LONG_S)
    host.submit("late", register_record("late"))
    assert host.outcomes == [("a", True), ("b", True), ("late", False)] and store.closed
    assert [record.key for batch in store.appends for record in batch] == ["a", "b"]


def test_stop_does_not_wait_for_a_stuck_disk(store: SlowStore) -> None:
    host = Host(store)
    host.submit("a", register_record("a"))
    assert store.entered.wait(LONG_S)
    host.submit("b", register_record("b"))
    assert not host.thread.stop(0.0)
    assert host.outcomes == [("a", False), ("b", False)]
    assert all(isinstance(failure, TimeoutError) for failure in host.failures)
    store.let.set()
    host.thread._thread.join(LONG_S)
    assert store.closed


def test_stop_without_start_closes_the_store(store: SlowStore) -> None:
    thread = SyncThread(store, Scheduler())
    assert thread.stop(LONG_S) and store.closed


def test_records_reported_as_written_are_in_the_folder(tmp_path: Path) -> None:
    host = Host(open_acceptor_store(str(tmp_path), "a").store)
    host.submit("owner", OWNER)
    for n in range(100):
        host.submit(n, register_record(f"k{n % 7}", n))
    host.submit("blob", BlobRecord("members", b"m"))
    assert host.thread.stop(LONG_S)
    assert all(ok for _, ok in host.outcomes) and len(host.outcomes) == 102
    opened = open_acceptor_store(str(tmp_path), "a")
    opened.store.close()
    assert opened.identity == OWNER and opened.blobs == {"members": b"m"}
    assert opened.registers == {f"k{n % 7}": register_record(f"k{n % 7}", n) for n in range(93, 100)}
