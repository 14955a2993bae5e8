"""What one process decides as a member that sends heartbeats and as a watcher that listens for them.

Suspicion. A member not heard for `suspect_ns` is suspected, and its other living watchers are asked, again and again.
It is declared dead once a second watcher has not heard it for `confirm_ns`, and nobody who was asked has heard it.
Where it has no other living watcher, `alone_ns` of silence confirm it; where others live and none answers,
`unanswered_ns`.

Self-doubt. A watcher that was held up itself (a tick comes late), or that hears nobody at all, takes all silence for
its own: its clocks start anew, and until it has heard others for `doubt_ns` it suspects nobody and speaks against
nobody. That it has heard a member since is proof all the same, and it says so.

Worst time from a crash to the verdict, two watchers being well: `suspect_ns`, a tick, `hearing_ns` and one more tick or
the way of an answer, whichever is longer: 1.5 + 0.1 + 0.2 + 0.1 s. The verdict then spreads with the view's changes.
Where all watchers but one were lost at the same moment: until their own deaths have named new ones, and these have
waited for `confirm_ns`, 1.0 s more.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from iristrack.membership.effects import (
    Effect,
    MemberBack,
    MemberLost,
    SendHeartbeat,
    SendTo,
    SuspectMember,
    TellRecords,
)
from iristrack.membership.messages import Suspicion, SuspicionAnswer
from iristrack.membership.ring import HashRing

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """Times of a watcher, in nanoseconds."""

    heartbeat_ns: int = 500 * NS_PER_MS
    tick_ns: int = 100 * NS_PER_MS
    suspect_ns: int = 1500 * NS_PER_MS
    confirm_ns: int = 1000 * NS_PER_MS
    hearing_ns: int = 200 * NS_PER_MS  # from asking the others to the verdict
    ask_again_ns: int = 300 * NS_PER_MS
    answer_ns: int = 1000 * NS_PER_MS  # for so long an answer counts
    alone_ns: int = 2000 * NS_PER_MS
    unanswered_ns: int = 6000 * NS_PER_MS
    late_tick_ns: int = (
        300 * NS_PER_MS
    )  # beyond `tick_ns`; a tick that is later shows that this process was held up
    deaf_ns: int = 1000 * NS_PER_MS  # nobody at all heard for so long
    doubt_ns: int = 1500 * NS_PER_MS


@dataclass(slots=True)
class _Watched:
    """One member that is watched; times in nanoseconds, None for never."""

    incarnation: int
    since: int  # the watch or its clock was started then
    heard_at: int | None = None
    suspected_at: int | None = None
    asked_at: int = 0
    heard_by_others_at: int | None = None
    missed_by: dict[str, int] = field(
        default_factory=dict
    )  # when other watchers said that they had not heard it

    def silent_ns(self, now: int) -> int:
        """Since when it has not been heard."""
        return now - (self.since if self.heard_at is None else max(self.since, self.heard_at))

    def clear(self) -> None:
        """It is suspected no more."""
        self.suspected_at = None
        self.heard_by_others_at = None
        self.missed_by.clear()


class Watcher:
    """The watcher and the member in one process."""

    def __init__(self, node: str, now: int, settings: WatchSettings | None = None) -> None:
        """It knows no ring yet."""
        self.node = node
        self.settings = settings or WatchSettings()
        self._ring = HashRing(())
        self._watchers: tuple[str, ...] = ()
        self._watched: dict[str, _Watched] = {}
        self._next_heartbeat = now
        self._ticked_at = now
        self._contact_at = now
        self._doubt_until = now

    @property
    def watched(self) -> tuple[str, ...]:
        """The members that are watched."""
        return tuple(self._watched)

    @property
    def watchers(self) -> tuple[str, ...]:
        """Those that this process sends heartbeats to."""
        return self._watchers

    def doubts_itself(self, now: int) -> bool:
        """Is it taken for its own fault if nobody is heard?"""
        return now < self._doubt_until

    def on_ring(self, ring: HashRing, now: int) -> list[Effect]:
        """The view has changed; new watchers are told of this process at once."""
        self._ring = ring
        before, self._watchers = self._watchers, tuple(m.node for m in ring.watchers(self.node))
        watched = {}
        for member in ring.watched_by(self.node):
            known = self._watched.get(member.node)
            same = known is not None and known.incarnation >= member.count
            watched[member.node] = known if same else _Watched(member.count, now)
        self._watched = watched
        return [SendHeartbeat(node) for node in self._watchers if node not in before]

    def on_heartbeat(self, node: str, incarnation: int, now: int) -> list[Effect]:
        """A heartbeat of any node has come."""
        self.on_contact(now)
        member = self._ring.members.get(node)
        effects: list[Effect] = []
        if member is None or incarnation < member.count:
            effects.append(TellRecords(node))
        watched = self._watched.get(node)
        if watched is not None and incarnation >= watched.incarnation:
            watched.incarnation = incarnation
            watched.heard_at = now
            if watched.suspected_at is not None:
                watched.clear()
                effects.append(MemberBack(node))
        return effects

    def on_contact(self, now: int) -> None:
        """Anybody has said anything: this process is not deaf."""
        self._contact_at = now

    def on_suspicion(self, message: Suspicion, now: int) -> list[Effect]:
        """Another watcher asks: answer, unless this process doubts itself or does not watch that member."""
        watched = self._watched.get(message.node)
        if watched is None or watched.incarnation != message.incarnation or self._is_late(now):
            return []
        missed = watched.silent_ns(now) >= self.settings.confirm_ns
        if missed and self.doubts_itself(now):
            return []
        if not missed and (watched.heard_at is None or watched.heard_at <= watched.since):
            return []
        if missed:
            watched.missed_by[message.by] = now
        answer = SuspicionAnswer(self.node, message.node, message.incarnation, not missed)
        return [SendTo(message.by, answer), *self._judge(message.node, watched, now)]

    def on_answer(self, message: SuspicionAnswer, now: int) -> list[Effect]:
        """Another watcher has answered."""
        watched = self._watched.get(message.node)
        if watched is None or watched.incarnation != message.incarnation or self._is_late(now):
            return []
        if message.heard:
            watched.heard_by_others_at = now
            return []
        watched.missed_by[message.by] = now
        return self._judge(message.node, watched, now)

    def on_tick(self, now: int) -> list[Effect]:
        """Some time has passed; to be called every `tick_ns`."""
        self._doubt(now)
        self._ticked_at = now
        effects = self._beat(now)
        if self.doubts_itself(now):
            return effects
        for node, watched in self._watched.items():
            if watched.silent_ns(now) >= self.settings.suspect_ns:
                effects += self._suspect(node, watched, now)
        return effects

    def _beat(self, now: int) -> list[Effect]:
        if now < self._next_heartbeat:
            return []
        self._next_heartbeat = max(self._next_heartbeat + self.settings.heartbeat_ns, now)
        return [SendHeartbeat(node) for node in self._watchers]

    def _is_late(self, now: int) -> bool:
        """Was this process held up since its last tick?"""
        return now - self._ticked_at > self.settings.tick_ns + self.settings.late_tick_ns

    def _doubt(self, now: int) -> None:
        """Look at this process itself before it judges others."""
        deaf = bool(self._watched) and now - self._contact_at > self.settings.deaf_ns
        if not deaf and not self._is_late(now):
            return
        self._doubt_until = now + self.settings.doubt_ns
        for watched in self._watched.values():
            watched.since = now
            watched.clear()

    def _suspect(self, node: str, watched: _Watched, now: int) -> list[Effect]:
        effects: list[Effect] = []
        if watched.suspected_at is None:
            watched.suspected_at = now
            effects.append(SuspectMember(node, watched.incarnation))
        elif now - watched.asked_at < self.settings.ask_again_ns:
            return self._judge(node, watched, now)
        watched.asked_at = now
        suspicion = Suspicion(self.node, node, watched.incarnation)
        effects += [SendTo(other, suspicion) for other in self._other_watchers(node)]
        return effects + self._judge(node, watched, now)

    def _other_watchers(self, node: str) -> list[str]:
        return [m.node for m in self._ring.watchers(node) if m.node != self.node]

    def _judge(self, node: str, watched: _Watched, now: int) -> list[Effect]:
        """Declare the member dead if its silence is confirmed."""
        settings = self.settings
        hearing = watched.suspected_at is None or now - watched.suspected_at < settings.hearing_ns
        if hearing or self.doubts_itself(now):
            return []
        heard_at = watched.heard_by_others_at
        if heard_at is not None and now - heard_at < settings.answer_ns:
            return []
        silent = watched.silent_ns(now)
        confirmed = any(now - at < settings.answer_ns for at in watched.missed_by.values())
        alone = silent >= settings.alone_ns and not self._other_watchers(node)
        if confirmed or alone or silent >= settings.unanswered_ns:
            return [MemberLost(node, watched.incarnation)]
        return []
