"""The writer beside the loop: bounds on its queue, its rate and its complaints, and that it never costs a wait."""

from __future__ import annotations

import itertools
import threading
from pathlib import Path

from iristrack.recovery.pack import unpack
from iristrack.store.state_store import StateStore
from iristrack.store.state_writer import CHECKPOINT_INTERVAL_S, MAX_QUEUED_SNAPSHOTS, StateWriter
from tests.state.disk import Failing
from tests.state.test_aging import trained_host


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def writer(files: Failing, said: list[str], rate: int = 64 * 1024) -> tuple[StateWriter, Clock]:
    clock = Clock()
    made = StateWriter(StateStore("f", "1", said.append, files), "n", said.append, rate, clock)
    made.store.open()
    return made, clock


def kept(files: Failing) -> tuple[dict, dict] | None:
    files.locked = False
    found = StateStore("f", "1", print, files).open()
    return unpack(found.records + found.changes)


def test_changes_are_synced_once_a_second_and_a_checkpoint_comes_each_minute() -> None:
    files, said = Failing(), []
    made, clock = writer(files, said)
    host = trained_host()
    assert made.write(host.balancer.snapshot(host.now), 1)
    written = []
    for tick in range(130):
        clock.now += 0.5
        host.serve(2)
        written.append(made.write(host.balancer.snapshot(host.now), tick + 2))
    assert sum(written) == 65 and not any(a and b for a, b in itertools.pairwise(written))
    assert sorted(n for n in files.nodes if "checkpoint" in n) == ["f/checkpoint.0", "f/checkpoint.1"]
    assert CHECKPOINT_INTERVAL_S < 130 * 0.5 and kept(files)[1]["at"] == 131 and not said


def test_the_rate_is_bounded_and_nothing_is_lost_by_waiting() -> None:
    files, said = Failing(), []
    made, clock = writer(files, said, rate=100)
    host = trained_host()
    made.write(host.balancer.snapshot(host.now), 1)
    first = sum(len(n.data) for n in files.nodes.values())
    for tick in range(50):
        clock.now += 1.0
        host.serve(2)
        made.write(host.balancer.snapshot(host.now), tick + 2)
    journal = sum(len(n.data) for n in files.nodes.values()) - first
    assert made.skipped > 0 and journal <= 100 * 60
    assert made.write(host.balancer.snapshot(host.now), 99, last=True)
    assert kept(files)[0] == unpack(made._written_records)[0]


def test_a_full_disk_is_one_line_in_half_a_minute() -> None:
    files, said = Failing(), []
    made, clock = writer(files, said)
    host = trained_host()
    snapshot = host.balancer.snapshot(host.now)

    def full(handle: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    files.write = full
    for tick in range(100):
        clock.now += 1.0
        host.serve(1)
        made.write(host.balancer.snapshot(host.now) if tick else snapshot, tick)
    assert 1 <= len(said) <= 4 and "No space left" in said[0]
    del files.write
    clock.now += CHECKPOINT_INTERVAL_S
    assert made.write(host.balancer.snapshot(host.now), 500) and kept(files)[1]["at"] == 500


def test_offers_never_wait_and_the_queue_drops_the_oldest(tmp_path: Path) -> None:
    store = StateStore(str(tmp_path), "1", print)
    held = threading.Event()
    real = store.checkpoint

    def slow(records: list) -> bool:
        held.wait(60)
        return real(records)

    store.checkpoint = slow
    made = StateWriter(store, "n", print)
    made.start()
    host = trained_host()
    snapshot = host.balancer.snapshot(host.now)
    for i in range(MAX_QUEUED_SNAPSHOTS * 5):
        made.offer(snapshot, i)
    assert made.dropped >= MAX_QUEUED_SNAPSHOTS * 3 and len(made._queue) <= MAX_QUEUED_SNAPSHOTS
    held.set()
    assert made.close(snapshot, 777, 60)
    found = StateStore(str(tmp_path), "1", print).open()
    assert unpack(found.records + found.changes)[1]["at"] == 777


def test_a_folder_in_use_is_told_and_serving_goes_on(tmp_path: Path) -> None:
    holder = StateStore(str(tmp_path), "1", print)
    holder.open()
    said: list[str] = []
    made = StateWriter(StateStore(str(tmp_path), "1", print), "n", said.append)
    assert made.start().generation == -1 and "in use" in said[0]
    made.offer({}, 1)
    assert not made.close({}, 2, 1)
    holder.close()
