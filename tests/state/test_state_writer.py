"""The state writer: limits on its queue, write rate and warnings, and that it never blocks the caller."""

from __future__ import annotations

import itertools
import threading
from pathlib import Path

from iristrack.recovery.pack import unpack
from iristrack.store.state_store import StateStore
from iristrack.store.state_writer import CHECKPOINT_INTERVAL_S, MAX_QUEUED_SNAPSHOTS, StateWriter
from tests.state.disk import FaultyFileSystem
from tests.state.test_aging import trained_host


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def writer(files: FaultyFileSystem, warnings: list[str], rate: int = 64 * 1024) -> tuple[StateWriter, Clock]:
    clock = Clock()
    state_writer = StateWriter(
        StateStore("f", "1", warnings.append, files), "n", warnings.append, rate, clock
    )
    state_writer.store.open()
    return state_writer, clock


def read_state(files: FaultyFileSystem) -> tuple[dict, dict] | None:
    files.locked = False
    found = StateStore("f", "1", print, files).open()
    return unpack(found.records + found.changes)


def test_changes_are_synced_once_a_second_and_a_checkpoint_is_written_each_minute() -> None:
    files, warnings = FaultyFileSystem(), []
    state_writer, clock = writer(files, warnings)
    host = trained_host()
    assert state_writer.write(host.balancer.snapshot(host.now), 1)
    written = []
    for tick in range(130):
        clock.now += 0.5
        host.serve(2)
        written.append(state_writer.write(host.balancer.snapshot(host.now), tick + 2))
    assert sum(written) == 65 and not any(a and b for a, b in itertools.pairwise(written))
    assert sorted(n for n in files.nodes if "checkpoint" in n) == ["f/checkpoint.0", "f/checkpoint.1"]
    assert CHECKPOINT_INTERVAL_S < 130 * 0.5 and read_state(files)[1]["at"] == 131 and not warnings


def test_the_write_rate_is_limited_and_delayed_changes_are_not_lost() -> None:
    files, warnings = FaultyFileSystem(), []
    state_writer, clock = writer(files, warnings, rate=100)
    host = trained_host()
    state_writer.write(host.balancer.snapshot(host.now), 1)
    first = sum(len(n.data) for n in files.nodes.values())
    for tick in range(50):
        clock.now += 1.0
        host.serve(2)
        state_writer.write(host.balancer.snapshot(host.now), tick + 2)
    journal = sum(len(n.data) for n in files.nodes.values()) - first
    assert state_writer.skipped > 0 and journal <= 100 * 60
    assert state_writer.write(host.balancer.snapshot(host.now), 99, last=True)
    assert read_state(files)[0] == unpack(state_writer._written_records)[0]


def test_a_full_disk_is_logged_at_most_once_in_half_a_minute() -> None:
    files, warnings = FaultyFileSystem(), []
    state_writer, clock = writer(files, warnings)
    host = trained_host()
    snapshot = host.balancer.snapshot(host.now)

    def full(handle: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    files.write = full
    for tick in range(100):
        clock.now += 1.0
        host.serve(1)
        state_writer.write(host.balancer.snapshot(host.now) if tick else snapshot, tick)
    assert 1 <= len(warnings) <= 4 and "No space left" in warnings[0]
    del files.write
    clock.now += CHECKPOINT_INTERVAL_S
    assert state_writer.write(host.balancer.snapshot(host.now), 500) and read_state(files)[1]["at"] == 500


def test_offer_never_blocks_and_the_queue_drops_the_oldest(tmp_path: Path) -> None:
    store = StateStore(str(tmp_path), "1", print)
    held = threading.Event()
    real = store.checkpoint

    def slow(records: list) -> bool:
        held.wait(60)
        return real(records)

    store.checkpoint = slow
    state_writer = StateWriter(store, "n", print)
    state_writer.start()
    host = trained_host()
    snapshot = host.balancer.snapshot(host.now)
    for i in range(MAX_QUEUED_SNAPSHOTS * 5):
        state_writer.offer(snapshot, i)
    assert (
        state_writer.dropped >= MAX_QUEUED_SNAPSHOTS * 3 and len(state_writer._queue) <= MAX_QUEUED_SNAPSHOTS
    )
    held.set()
    assert state_writer.close(snapshot, 777, 60)
    found = StateStore(str(tmp_path), "1", print).open()
    assert unpack(found.records + found.changes)[1]["at"] == 777


def test_a_folder_in_use_is_reported_without_an_error(tmp_path: Path) -> None:
    holder = StateStore(str(tmp_path), "1", print)
    holder.open()
    warnings: list[str] = []
    state_writer = StateWriter(StateStore(str(tmp_path), "1", print), "n", warnings.append)
    assert state_writer.start().generation == -1 and "in use" in warnings[0]
    state_writer.offer({}, 1)
    assert not state_writer.close({}, 2, 1)
    holder.close()
