"""What the index of kept prompt parts costs: time a lookup and an event, and memory an entry.

    .venv/bin/python benchmarks/prefix_index.py                    # 10,000 and 1,000,000 entries
    .venv/bin/python benchmarks/prefix_index.py --entries 50000    # another size

Each size is measured in a process of its own. Times are the best and the median of several rounds, in microseconds;
memory is the growth of the process's resident set over the whole filling, parsed events not counted, divided by
the entries. Entries are spread over five holders, each under one salt and model, ids of eight hex digits.
"""

from __future__ import annotations

import argparse
import gc
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from itertools import islice
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from iristrack.prefix_index.index import PrefixIndex  # noqa: E402
from iristrack.prefix_index.kv_events import EventsAnswer, KeptEvent, parse_events  # noqa: E402
from iristrack.prefix_index.parts import Part, parse_prefix  # noqa: E402

HOLDERS = [f"10.0.0.{number}:8080" for number in range(5)]
SALT, MODEL = "s1", "daka510000"
EPOCH = 77120
BATCH = 1000
ROUNDS = 15
CALLS = 2000
HEADER = b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"
NS_PER_US = 1000
SENT_STEP_NS = 10_000_000  # between recorded requests: some 500 of them are unconfirmed at a time


def resident_bytes() -> int:
    """The resident set of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def part_id(number: int) -> str:
    """A fresh text of eight hex digits; numbers are scattered, so that ids come in no order."""
    return f"{number * 2654435761 % 2**32:08x}"


def batches(entries: int) -> Iterator[tuple[str, EventsAnswer]]:
    """Events that add `entries` parts in all, holder by holder in turns."""
    for first in range(0, entries, BATCH):
        numbers = range(first + 1, min(first + BATCH, entries) + 1)
        events = tuple(KeptEvent(number, True, SALT, part_id(number), 400, MODEL) for number in numbers)
        yield HOLDERS[first // BATCH % len(HOLDERS)], EventsAnswer(EPOCH, numbers[-1], False, events)


def report(name: str, unit_ns: list[float]) -> None:
    """Print one figure."""
    best, median = min(unit_ns) / NS_PER_US, statistics.median(unit_ns) / NS_PER_US
    print(f"  {name:<52} best {best:7.2f} us   median {median:7.2f} us")


def clocked(call: Callable[[], object], calls: int = CALLS) -> list[float]:
    """Nanoseconds a call, one figure a round."""
    rounds = []
    for _ in range(ROUNDS):
        start = time.perf_counter_ns()
        for _ in range(calls):
            call()
        rounds.append((time.perf_counter_ns() - start) / calls)
    return rounds


def fill(entries: int) -> PrefixIndex:
    """An index with so many entries; prints what each took."""
    before = resident_bytes()
    index = PrefixIndex(entries)
    unit_ns = []
    for holder, answer in batches(entries):
        start = time.perf_counter_ns()
        index.apply_events(holder, answer, 0)
        unit_ns.append((time.perf_counter_ns() - start) / len(answer.events))
    del answer
    gc.collect()
    print(f"{index.entries:,} entries: {(resident_bytes() - before) / entries:.0f} bytes each")
    report("apply an event, new entry", unit_ns)
    return index


def measure(entries: int) -> None:
    """All figures of one size."""
    index = fill(entries)
    renewed = list(islice(batches(entries), 50))
    first_number = entries
    unit_ns = []
    for holder, answer in renewed:
        events = tuple(
            KeptEvent(first_number + event.number, True, SALT, event.part_id, 400, MODEL)
            for event in answer.events
        )
        later = EventsAnswer(EPOCH, first_number + answer.next_token, False, events)
        start = time.perf_counter_ns()
        index.apply_events(holder, later, 0)
        unit_ns.append((time.perf_counter_ns() - start) / len(events))
    report("apply an event, known entry", unit_ns)
    measure_eviction(index, entries)
    measure_lookups(index)
    measure_sending(index)
    measure_parsing()


def measure_eviction(index: PrefixIndex, entries: int) -> None:
    """Events that add entries to a full index."""
    unit_ns = []
    for number, holder in enumerate(HOLDERS):
        first = 3 * entries + number * BATCH
        events = tuple(
            KeptEvent(first + step, True, SALT, part_id(first + step), 400, MODEL) for step in range(BATCH)
        )
        start = time.perf_counter_ns()
        index.apply_events(holder, EventsAnswer(EPOCH, first + BATCH, False, events), 0)
        unit_ns.append((time.perf_counter_ns() - start) / BATCH)
    report("apply an event, full index", unit_ns)


def measure_lookups(index: PrefixIndex) -> None:
    """Lookups of three kept parts at five holders."""
    parts = parse_prefix(HEADER)
    for holder in HOLDERS:
        index.record_sent(holder, SALT, MODEL, parts, 0)

    def one_by_one() -> None:
        for holder in HOLDERS:
            index.kept_tokens(holder, SALT, MODEL, parts)

    report("kept_tokens, 3 parts x 5 holders", clocked(one_by_one))
    report("coverage, 3 parts x 5 holders", clocked(lambda: index.coverage(SALT, MODEL, parts, HOLDERS)))
    report("best_source, 3 parts x 5", clocked(lambda: index.best_source(SALT, MODEL, parts, HOLDERS, 1)))


def measure_sending(index: PrefixIndex) -> None:
    """Requests recorded as sent: two shared parts and one of their own."""
    shared = parse_prefix(HEADER)[:2]
    requests = iter(range(ROUNDS * CALLS))

    def send() -> None:
        number = next(requests)
        own = Part(part_id(number), 250)
        now = number * SENT_STEP_NS
        index.record_sent(HOLDERS[number % 5], SALT, MODEL, (*shared, own), now)

    report("record_sent, 3 parts", clocked(send))


def measure_parsing() -> None:
    """Parsing of the header, and of an event in an answer of 100."""
    report("parse_prefix, 3 parts", clocked(lambda: parse_prefix(HEADER)))
    rows = ",".join(f'[{number},"+","s1","{part_id(number)}",800,"{MODEL}"]' for number in range(100))
    body = f'{{"epoch":{EPOCH},"next_token":99,"lost":false,"events":[{rows}]}}'.encode()
    report(
        "parse_events, an event", [round_ns / 100 for round_ns in clocked(lambda: parse_events(body), 100)]
    )


def main() -> None:
    """Measure each size in a process of its own."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--entries", type=int, help="measure this size only, in this process")
    arguments = parser.parse_args()
    if arguments.entries:
        measure(arguments.entries)
        return
    for entries in (10_000, 1_000_000):
        subprocess.run([sys.executable, __file__, "--entries", str(entries)], check=True)


if __name__ == "__main__":
    main()
