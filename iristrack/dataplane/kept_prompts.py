"""Watching what servers and stores keep: one held call for events at each."""

from __future__ import annotations

from iristrack.dataplane.discovery import split_address
from iristrack.dataplane.state import PlaneState
from iristrack.http1 import messages as http
from iristrack.http1.fetching import Caller
from iristrack.prefix_index.answers import MalformedAnswer, parse_events, parse_list
from iristrack.runtime.scheduler import Cancelled, Task, clock

NS_PER_MS = 1_000_000
HOLD_MS = 1000  # the longest wait that holders allow; under 200 ms a call would be priced as a probe
CALL_NS = (HOLD_MS + 1500) * NS_PER_MS
LIST_NS = 5000 * NS_PER_MS  # between two calls for all that a holder keeps, where events were lost
PAUSE_NS = 500 * NS_PER_MS  # after a call that failed
CHECK_NS = 500 * NS_PER_MS  # between two looks at which holders there are


class KeptPromptWatcher:
    """Keeps one call open at each model server and store, and feeds the index."""

    def __init__(self, plane: PlaneState) -> None:
        """Starts with the first turn of the loop."""
        self.plane = plane
        self._tasks: dict[str, Task] = {}
        plane.scheduler.spawn("kept prompts", self._run)

    def _run(self) -> None:
        while True:
            wanted = self._holders()
            for address in [a for a in self._tasks if a not in wanted]:
                self._tasks.pop(address).cancel()
                self.plane.index.forget(address)
            for address in wanted:
                if address not in self._tasks:
                    self._tasks[address] = self.plane.scheduler.spawn("kv events", self._watch, address)
            self.plane.scheduler.sleep(CHECK_NS)

    def _holders(self) -> set[str]:
        active = self.plane.active
        if active is None:
            return set()
        stores = {store.address for store in active.stores}
        engines = {service.label for service in active.services.values() if service.engine is not None}
        servers = self.plane.servers.servers.values()
        return stores | {server.address for server in servers if server.listed.service in engines}

    def _watch(self, address: str) -> None:
        caller = Caller(self.plane.scheduler, split_address(address))
        index = self.plane.index
        try:
            listed_at = 0
            while True:
                try:
                    self._take_events(caller, address)
                    if index.uncertain_since(address) is not None and clock() - listed_at > LIST_NS:
                        listed_at = clock()
                        self._take_list(caller, address)
                except (OSError, http.Malformed, http.Truncated, MalformedAnswer):
                    self.plane.scheduler.sleep(PAUSE_NS)
        except Cancelled:
            caller.close()
            raise

    def _take_events(self, caller: Caller, address: str) -> None:
        index = self.plane.index
        target = b"/kv-events?since=%d" % index.cursor(address).since
        answer = _call(caller, target, b"Wait-Ms: %d\r\n" % HOLD_MS)
        index.apply_events(address, parse_events(answer.body), clock())

    def _take_list(self, caller: Caller, address: str) -> None:
        """All that the holder keeps: priced, and asked for only where events were lost, as after a start."""
        answer = _call(caller, b"/kv-list", b"")
        self.plane.index.apply_list(address, parse_list(answer.body), clock())


def _call(caller: Caller, target: bytes, lines: bytes) -> http.Message:
    answer = caller.call(b"GET", target, lines, b"", clock() + CALL_NS)
    if answer.head.status != 200:
        raise MalformedAnswer(f"status {answer.head.status}")
    return answer
