"""Watching what servers and stores keep, once for all: each holder is watched by one core member, which tells the rest.

A holder accepts few held calls at once, so data planes never ask it themselves. The member is the first of the
connected ones in the ranking of the holder's address; when it is lost, the next one begins with the holder's list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from iristrack.http1 import messages as http
from iristrack.http1.fetching import HttpClient
from iristrack.placement.ranking import hash64, mix64
from iristrack.prefix_index.catalog import KeptCatalog, changes_of_events, changes_of_list, coalesce_changes
from iristrack.prefix_index.kv_events import (
    START_CURSOR,
    Cursor,
    MalformedAnswer,
    advance,
    parse_events,
    parse_list,
)
from iristrack.runtime.scheduler import Cancelled, Scheduler, Task, clock
from iristrack.wire.codec import encode
from iristrack.wire.connection import PeerConnection
from iristrack.wire.dialing import parse_address
from iristrack.wire.messages import KeptBatch, KeptParts, KeptSubscribe

NS_PER_MS = 1_000_000
HOLD_MS = 1000  # the longest wait that holders allow; under 200 ms a call would be priced as a probe
CALL_TIMEOUT_NS = (HOLD_MS + 1500) * NS_PER_MS
PAUSE_NS = 500 * NS_PER_MS  # after a call that failed
LIST_NS = 5000 * NS_PER_MS  # between two calls for all that a holder keeps, where events were lost
CHECK_NS = 250 * NS_PER_MS  # between two looks at which holders there are
FLUSH_NS = 50 * NS_PER_MS  # between two messages of changes to few followers
SUBSCRIBERS_PER_FLUSH = 16  # so many more followers add it once more
LONGEST_FLUSH_NS = 200 * NS_PER_MS
SNAPSHOT_ENTRIES = 64  # changes in one message
MOST_AHEAD = 512 * 1024  # bytes queued for a follower, above which changes are left out


@dataclass(slots=True)
class _Follower:
    own_only: bool  # it follows the holders that this member watches itself
    behind: bool = False  # changes were left out


class PrefixCacheWatch:
    """What all holders keep, as this member knows it, and those who follow it."""

    def __init__(
        self,
        scheduler: Scheduler,
        me: str,
        holders: Callable[[], set[str]],
        members: Callable[[], list[str]],
    ) -> None:
        """`holders` names all there are, `members` the connected core members, this one (`me`) among them."""
        self.scheduler = scheduler
        self.me = me
        self.holders = holders
        self.members = members
        self.catalog = KeptCatalog()
        self._tasks: dict[str, Task] = {}
        self._followers: dict[PeerConnection, _Follower] = {}
        self._own: list[KeptParts] = []  # changes to tell, of own holders
        self._all: list[KeptParts] = []  # and of all
        scheduler.spawn("kept prompts", self._run)
        scheduler.call_at(scheduler.now() + FLUSH_NS, self._flush)

    # ---- those who follow

    def subscribe(self, connection: PeerConnection, message: KeptSubscribe) -> None:
        """Tell a follower all there is, and every change from now on, or nothing any more."""
        self._flush_now()
        if message.ends:
            self._followers.pop(connection, None)
            return
        follower = self._followers[connection] = _Follower(message.own_only)
        self._send_snapshot(connection, follower)

    def _send_snapshot(self, connection: PeerConnection, follower: _Follower) -> None:
        follower.behind = False
        holders = self._tasks if follower.own_only else self.catalog.holders()
        changes = list(self.catalog.snapshot(list(holders)))
        for at in range(0, len(changes), SNAPSHOT_ENTRIES):
            connection.send(KeptBatch(tuple(changes[at : at + SNAPSHOT_ENTRIES])))

    def from_member(self, batch: KeptBatch) -> None:
        """Another member told of holders that it watches."""
        for change in batch.entries:
            if change.holder not in self._tasks:
                self.catalog.apply(change)
                self._all.append(change)

    def _flush(self) -> None:
        self._flush_now()
        self.scheduler.call_at(self.scheduler.now() + self._flush_interval(), self._flush)

    def _flush_interval(self) -> int:
        """Rarer messages to more followers: each costs a wake-up there, whatever it holds."""
        return min(LONGEST_FLUSH_NS, FLUSH_NS * (1 + len(self._followers) // SUBSCRIBERS_PER_FLUSH))

    def _flush_now(self) -> None:
        own, everything = self._own, self._all
        if not everything:
            return
        self._own, self._all = [], []
        own_frame = encode(KeptBatch(tuple(coalesce_changes(own)))) if own else None
        all_frame = encode(KeptBatch(tuple(coalesce_changes(everything))))
        for connection, follower in list(self._followers.items()):
            if connection.closed:
                del self._followers[connection]
            else:
                self._tell(connection, follower, own_frame if follower.own_only else all_frame)

    def _tell(self, connection: PeerConnection, follower: _Follower, frame: bytes | None) -> None:
        """Send changes; one whose link takes too few of them is told everything anew when it has taken the rest."""
        if follower.behind and not connection.queued:
            self._send_snapshot(connection, follower)
            return
        follower.behind = follower.behind or connection.queued > MOST_AHEAD
        if frame is not None and not follower.behind:
            connection.send_frame(frame)

    # ---- own holders

    def _run(self) -> None:
        while True:
            holders = self.holders()
            own = {holder for holder in holders if self._watcher(holder) == self.me}
            for holder in [holder for holder in self._tasks if holder not in own]:
                self._tasks.pop(holder).cancel()
            for holder in own - set(self._tasks):
                self._tasks[holder] = self.scheduler.spawn("kv events", self._watch, holder)
            for holder in set(self.catalog.holders()) - holders:
                self.catalog.forget(holder)
            self.scheduler.sleep(CHECK_NS)

    def _watcher(self, holder: str) -> str:
        seed = hash64(holder)
        return min(self.members(), key=lambda member: mix64(seed ^ hash64(member)))

    def _publish(self, changes: Iterable[KeptParts]) -> None:
        for change in changes:
            self.catalog.apply(change)
            self._own.append(change)
            self._all.append(change)

    def _watch(self, holder: str) -> None:
        caller = HttpClient(self.scheduler, parse_address(holder))
        cursor = START_CURSOR
        listed_at: int | None = None
        failed = False
        try:
            while True:
                try:
                    cursor, lost = self._take_events(caller, holder, cursor)
                    if lost and (listed_at is None or self.scheduler.now() - listed_at > LIST_NS):
                        listed_at = self.scheduler.now()
                        cursor = self._take_list(caller, holder)
                    failed = False
                except (OSError, http.Malformed, http.Truncated, MalformedAnswer):
                    if not failed:  # nothing is to be had there: it counts as empty until it answers
                        self._publish([KeptParts(holder, True, "", "")])
                        cursor = START_CURSOR
                    failed = True
                    self.scheduler.sleep(PAUSE_NS)
        except Cancelled:
            caller.close()
            raise

    def _take_events(self, caller: HttpClient, holder: str, cursor: Cursor) -> tuple[Cursor, bool]:
        """Ask for what changed since the cursor; the next one, and whether events were lost."""
        target = b"/kv-events?since=%d" % cursor.since
        answer = parse_events(_call(caller, target, b"Wait-Ms: %d\r\n" % HOLD_MS))
        step = advance(cursor, answer)
        if step.restarted:
            self._publish([KeptParts(holder, True, "", "")])
        self._publish(changes_of_events(holder, step.events))
        return step.cursor, answer.lost

    def _take_list(self, caller: HttpClient, holder: str) -> Cursor:
        """All that the holder keeps: priced, and asked for only where events were lost, as after a start."""
        answer = parse_list(_call(caller, b"/kv-list", b""))
        self._publish(changes_of_list(holder, answer.owned))
        return Cursor(answer.epoch, answer.next_token)


def _call(caller: HttpClient, target: bytes, lines: bytes) -> bytes:
    answer = caller.call(b"GET", target, lines, b"", clock() + CALL_TIMEOUT_NS)
    if answer.head.status != 200:
        raise MalformedAnswer(f"status {answer.head.status}")
    return answer.body
