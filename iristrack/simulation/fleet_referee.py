"""The referee of the fleet's simulation.

A process is in touch while, for `CONTACT_NS`, it ran and both ways between it and every running core member were open.
The referee demands:

- an update is in force `IN_FORCE_NS` after its publication wherever a sidecar was in touch all the while;
- whoever has been in touch for `SETTLE_NS` is taken for alive by all others that have been, as long as two of its
  watchers have been in touch as well; with fewer, it is taken for alive again at the next look;
- whoever has been down for `SETTLE_NS` is taken for dead by all that have been in touch for as long, if two of its
  watchers have been in touch since before; with fewer, after `LATE_SETTLE_NS`; where a record that it told just before
  its end reaches them late, by way of a process that was held up, the time counts from there;
- no two looks in a row, `LOOK_NS` apart, show one and the same cycle of pushes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from iristrack.simulation.fleet_nodes import Process, Sidecar
from iristrack.simulation.register_events import MILLISECOND, SECOND

CONTACT_NS = 3 * SECOND
IN_FORCE_NS = 2 * SECOND
SETTLE_NS = 3 * SECOND
LATE_SETTLE_NS = 12 * SECOND
FEWEST_WATCHERS = 2
LOOK_NS = 500 * MILLISECOND


class FleetReferee:
    """Troubles and publications as they happened, and what was wrong."""

    def __init__(self, processes: Iterable[Process]) -> None:
        """All processes are down and have been for ever."""
        self.violations: list[str] = []
        self.checks: Counter[str] = Counter()
        self._processes = list(processes)
        self._troubles: Counter[str] = Counter()  # under way, by node
        self._sound_since: dict[str, int] = {}
        self._down_since: dict[str, int] = {}
        self._watchers: dict[str, tuple[str, ...]] = {}  # of those that are down
        self._doubtful: set[tuple[str, str]] = (
            set()
        )  # who takes whom for dead, while watchers were in trouble
        self._told_at: dict[
            tuple[str, int], int
        ] = {}  # when the record of one that is down was first looked at
        self._cycles: set[frozenset[str]] = set()

    def began(self, node: str) -> None:
        """A trouble of the node begins."""
        self._troubles[node] += 1

    def ended(self, node: str, now: int) -> None:
        """A trouble of the node has ended."""
        self._troubles[node] -= 1
        self._sound_since[node] = now

    def went_down(self, process: Process, now: int) -> None:
        """The process has ended."""
        self._down_since[process.node] = now
        self._watchers[process.node] = process.watcher.watchers

    def came_up(self, node: str, now: int) -> None:
        """The process has been started."""
        self._down_since.pop(node, None)
        self._sound_since[node] = now

    def sound_ns(self, process: Process, now: int) -> int:
        """For how long the process has been without trouble; 0 while it is not."""
        if not process.up or self._troubles[process.node] > 0:
            return 0
        return now - self._sound_since.get(process.node, now)

    def judge_update(self, topic: str, sequence: int, published_at: int, now: int) -> None:
        """Is the update in force, now that its time is over?"""
        for process in self._processes:
            if self.sound_ns(process, now) < now - published_at + CONTACT_NS:
                continue
            self.checks["updates"] += 1
            known = process.topics.get(topic)
            if known is None or known.sequence < sequence:
                self._add(now, f"{process.node} has not got {topic} {sequence}")

    def look(self, now: int) -> None:
        """Judge views and tree as they are now."""
        sound = [p for p in self._processes if self.sound_ns(p, now) >= CONTACT_NS + SETTLE_NS]
        doubtful: set[tuple[str, str]] = set()
        for other in sound:
            watched = (
                self._count_sound(other.watcher.watchers, CONTACT_NS + SETTLE_NS, now) >= FEWEST_WATCHERS
            )
            for process in sound:
                self.checks["alive"] += 1
                member = process.view.get(other.node)
                if member is not None and member.alive:
                    continue
                pair = (process.node, other.node)
                if watched or pair in self._doubtful:
                    self._add(now, f"{process.node} takes {other.node} for dead")
                doubtful.add(pair)
        self._doubtful = doubtful
        for node, since in self._down_since.items():
            self._look_for_ghosts(node, since, sound, now)
        self._look_for_cycles(now)

    def _count_sound(self, nodes: Iterable[str], since_ns: int, now: int) -> int:
        names = set(nodes)
        return sum(p.node in names and self.sound_ns(p, now) >= since_ns for p in self._processes)

    def _look_for_ghosts(self, node: str, since: int, sound: list[Process], now: int) -> None:
        watchers = self._count_sound(self._watchers[node], now - since + CONTACT_NS, now)
        bound = SETTLE_NS if watchers >= FEWEST_WATCHERS else LATE_SETTLE_NS
        for process in self._processes:
            member = process.view.get(node) if process.up and not process.frozen else None
            if member is None or not member.alive:
                continue
            told_at = self._told_at.setdefault((node, member.count), now)
            if process in sound and now - max(since, told_at - LOOK_NS) >= bound:
                self._add(now, f"{process.node} takes {node} for alive")
        if now - since >= bound:
            self.checks["dead"] += len(sound)

    def _look_for_cycles(self, now: int) -> None:
        found = set(push_cycles(self._processes))
        for cycle in found & self._cycles:
            self._add(now, f"a cycle lasts: {sorted(cycle)}")
        self._cycles = found

    def _add(self, now: int, text: str) -> None:
        self.violations.append(f"{now / SECOND:.2f} s: {text}")


def push_cycles(processes: Iterable[Process]) -> list[frozenset[str]]:
    """The cycles of the links that push, each as the set of its addresses."""
    parent = {
        p.address: p.freshness.direct or p.freshness.push
        for p in processes
        if isinstance(p, Sidecar) and p.up
    }
    cycles = []
    for start in parent:
        seen: list[str] = []
        at: str | None = start
        while at in parent and at not in seen:
            seen.append(at)
            at = parent[at]
        if at == start:
            cycles.append(frozenset(seen))
    return cycles
