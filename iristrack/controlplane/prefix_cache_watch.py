"""Watches which prompt prefixes servers and stores have cached.

A holder is a server or a store with a prefix cache. Each holder is watched by one core member, which relays its changes
to the others. Holders accept few concurrent long polls, so data planes never poll them directly. The watching member is
the first of the connected members in the ranking for the holder's address; if it is lost, the next one starts with the
holder's list.
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
LONG_POLL_MS = 1000  # the longest wait that holders allow; below 200 ms a call would be priced as a probe
CALL_TIMEOUT_NS = (LONG_POLL_MS + 1500) * NS_PER_MS
RETRY_DELAY_NS = 500 * NS_PER_MS  # after a failed call
MIN_LIST_INTERVAL_NS = 5000 * NS_PER_MS  # between fetches of a holder's whole list after lost events
HOLDER_CHECK_INTERVAL_NS = 250 * NS_PER_MS  # between two checks of which holders exist
MIN_FLUSH_INTERVAL_NS = 50 * NS_PER_MS  # between two batches of changes, with few followers
FOLLOWERS_PER_FLUSH_STEP = 16  # each such number of followers adds the minimum interval once more
MAX_FLUSH_INTERVAL_NS = 200 * NS_PER_MS
SNAPSHOT_ENTRIES = 64  # changes in one message of a snapshot
MAX_QUEUED_BYTES = 512 * 1024  # queued bytes above which a follower's changes are dropped


@dataclass(slots=True)
class _Follower:
    own_only: bool  # follows only the holders that this member watches itself
    behind: bool = False  # changes were dropped; a snapshot is due


class PrefixCacheWatch:
    """The prefixes cached by all holders, as far as this member knows, and the followers of this knowledge."""

    def __init__(
        self,
        scheduler: Scheduler,
        own_address: str,
        holders: Callable[[], set[str]],
        members: Callable[[], list[str]],
    ) -> None:
        """Start watching with the next turn of the loop.

        `holders` returns all holders, `members` the connected core members including this one (`own_address`).
        """
        self.scheduler = scheduler
        self.own_address = own_address
        self.holders = holders
        self.members = members
        self.catalog = KeptCatalog()
        self._tasks: dict[str, Task] = {}
        self._followers: dict[PeerConnection, _Follower] = {}
        self._own_changes: list[KeptParts] = []  # unsent changes of the holders that this member watches
        self._all_changes: list[KeptParts] = []  # unsent changes of all holders
        scheduler.spawn("prefix cache watch", self._run)
        scheduler.call_at(scheduler.now() + MIN_FLUSH_INTERVAL_NS, self._flush)

    # ---- followers

    def subscribe(self, connection: PeerConnection, message: KeptSubscribe) -> None:
        """Send a follower a snapshot and every change from now on, or end its subscription."""
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

    def on_member_batch(self, batch: KeptBatch) -> None:
        """Apply and relay another member's changes of the holders that it watches."""
        for change in batch.entries:
            if change.holder not in self._tasks:
                self.catalog.apply(change)
                self._all_changes.append(change)

    def _flush(self) -> None:
        self._flush_now()
        self.scheduler.call_at(self.scheduler.now() + self._flush_interval(), self._flush)

    def _flush_interval(self) -> int:
        """Return the interval (ns), longer for more followers: each batch costs a wake-up at each of them."""
        return min(
            MAX_FLUSH_INTERVAL_NS,
            MIN_FLUSH_INTERVAL_NS * (1 + len(self._followers) // FOLLOWERS_PER_FLUSH_STEP),
        )

    def _flush_now(self) -> None:
        own, everything = self._own_changes, self._all_changes
        if not everything:
            return
        self._own_changes, self._all_changes = [], []
        own_frame = encode(KeptBatch(tuple(coalesce_changes(own)))) if own else None
        all_frame = encode(KeptBatch(tuple(coalesce_changes(everything))))
        for connection, follower in list(self._followers.items()):
            if connection.closed:
                del self._followers[connection]
            else:
                self._send_changes(connection, follower, own_frame if follower.own_only else all_frame)

    def _send_changes(self, connection: PeerConnection, follower: _Follower, frame: bytes | None) -> None:
        """Send changes; a follower whose link is too slow gets a new snapshot once its queue is empty."""
        if follower.behind and not connection.queued:
            self._send_snapshot(connection, follower)
            return
        follower.behind = follower.behind or connection.queued > MAX_QUEUED_BYTES
        if frame is not None and not follower.behind:
            connection.send_frame(frame)

    # ---- holders watched by this member

    def _run(self) -> None:
        while True:
            holders = self.holders()
            own = {holder for holder in holders if self._watcher(holder) == self.own_address}
            for holder in [holder for holder in self._tasks if holder not in own]:
                self._tasks.pop(holder).cancel()
            for holder in own - set(self._tasks):
                self._tasks[holder] = self.scheduler.spawn("kv events", self._watch, holder)
            for holder in set(self.catalog.holders()) - holders:
                self.catalog.forget(holder)
            self.scheduler.sleep(HOLDER_CHECK_INTERVAL_NS)

    def _watcher(self, holder: str) -> str:
        seed = hash64(holder)
        return min(self.members(), key=lambda member: mix64(seed ^ hash64(member)))

    def _publish(self, changes: Iterable[KeptParts]) -> None:
        for change in changes:
            self.catalog.apply(change)
            self._own_changes.append(change)
            self._all_changes.append(change)

    def _watch(self, holder: str) -> None:
        caller = HttpClient(self.scheduler, parse_address(holder))
        cursor = START_CURSOR
        listed_at: int | None = None
        failed = False
        try:
            while True:
                try:
                    cursor, lost = self._fetch_events(caller, holder, cursor)
                    if lost and (
                        listed_at is None or self.scheduler.now() - listed_at > MIN_LIST_INTERVAL_NS
                    ):
                        listed_at = self.scheduler.now()
                        cursor = self._fetch_list(caller, holder)
                    failed = False
                except (OSError, http.Malformed, http.Truncated, MalformedAnswer):
                    if not failed:  # the holder counts as empty until it answers again
                        self._publish([KeptParts(holder, True, "", "")])
                        cursor = START_CURSOR
                    failed = True
                    self.scheduler.sleep(RETRY_DELAY_NS)
        except Cancelled:
            caller.close()
            raise

    def _fetch_events(self, caller: HttpClient, holder: str, cursor: Cursor) -> tuple[Cursor, bool]:
        """Fetch the changes since the cursor; return the next cursor and whether events were lost."""
        target = b"/kv-events?since=%d" % cursor.since
        answer = parse_events(_call(caller, target, b"Wait-Ms: %d\r\n" % LONG_POLL_MS))
        step = advance(cursor, answer)
        if step.restarted:
            self._publish([KeptParts(holder, True, "", "")])
        self._publish(changes_of_events(holder, step.events))
        return step.cursor, answer.lost

    def _fetch_list(self, caller: HttpClient, holder: str) -> Cursor:
        """Fetch the holder's whole list; it is priced, so it is fetched only after lost events, as after a start."""
        answer = parse_list(_call(caller, b"/kv-list", b""))
        self._publish(changes_of_list(holder, answer.owned))
        return Cursor(answer.epoch, answer.next_token)


def _call(caller: HttpClient, target: bytes, lines: bytes) -> bytes:
    answer = caller.call(b"GET", target, lines, b"", clock() + CALL_TIMEOUT_NS)
    if answer.head.status != 200:
        raise MalformedAnswer(f"status {answer.head.status}")
    return answer.body
