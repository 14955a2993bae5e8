"""How old a copy of the topics may be, and what a sidecar does when its relays fall behind.

A relay that is cut off from the core silently looks alive to its children, so each heartbeat down the tree tells how
long ago the sender's copy was last confirmed by a core member (a duration; no clocks are compared). The core sends such
heartbeats at an interval, a relay passes them on at once (`PassOn`), so that the age at a leaf is one interval and the
delays on the way, whatever the depth.

The receiver takes the age as a bound that delays cannot flatter: the heartbeat was sent after the sender had received
the receiver's own heartbeat number `echo`, `held_ns` later by the sender's clock (`SentHeartbeats`).

A heartbeat confirms only where it names the sender's versions: to a peer that has not subscribed it tells no age. And a
peer that is connected already, as a watcher, has to be subscribed at when it becomes an upstream.

A sidecar whose relays are all older than `STALE_NS` dials a core member until they are fresh again. Each waits for a
random time first, deeper levels for longer, so that those who need not dial are mostly reached by those above them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from iristrack.relay.tree import Upstreams
from iristrack.wire.messages import Version

NS_PER_MS = 1_000_000
STALE_NS = 1000 * NS_PER_MS
DIAL_SPREAD_NS = 150 * NS_PER_MS  # the random wait of level 1
DEEP_WAIT_NS = 150 * NS_PER_MS  # the least wait of the levels below
DIRECT_TRY_NS = (
    700 * NS_PER_MS
)  # a core member dialled directly that confirms nothing is left for the next one
FRESH_AGAIN_NS = 2000 * NS_PER_MS  # relays are fresh for so long before they are trusted alone again
MOST_SENT = 16


@dataclass(frozen=True, slots=True)
class PushFrom:
    """Subscribe with pushes at this upstream, and without at all others."""

    address: str


@dataclass(frozen=True, slots=True)
class DialDirect:
    """Subscribe with pushes at this core member, dialled if need be, beside the other upstreams."""

    address: str


@dataclass(frozen=True, slots=True)
class EndDirect:
    """Close the direct connection to this core member, or end the pushes where it is also a watcher or upstream."""

    address: str


@dataclass(frozen=True, slots=True)
class PassOn:
    """Send a heartbeat to each subscriber now."""


Effect = PushFrom | DialDirect | EndDirect | PassOn


def covers(known: Iterable[Version], told: Iterable[Version]) -> bool:
    """Is nothing of what the other tells newer than what is known here?"""
    sequences = {version.topic: version.sequence for version in known}
    return all(sequences.get(version.topic, -1) >= version.sequence for version in told)


class SentHeartbeats:
    """When the last heartbeats to one peer were sent; bounds the time at which its answers were sent."""

    def __init__(self) -> None:
        """None was sent."""
        self._sent_at: dict[int, int] = {}

    def sent(self, number: int, now: int) -> None:
        """Heartbeat `number` goes to the peer now."""
        self._sent_at[number] = now
        if len(self._sent_at) > MOST_SENT:
            del self._sent_at[next(iter(self._sent_at))]

    def confirmed_at(self, echo: int, held_ns: int, confirmed_ns_ago: int) -> int | None:
        """The earliest time at which the copy of the peer can have been confirmed; None where nothing is proved."""
        sent_at = self._sent_at.get(echo)
        if sent_at is None or held_ns < 0 or confirmed_ns_ago < 0:
            return None
        return sent_at + held_ns - confirmed_ns_ago


class CoreContact:
    """How old a core member's own copy may be: since when it has not heard a majority of the core."""

    def __init__(self, me: str) -> None:
        """`me` is the core member's own inner address."""
        self._me = me
        self._confirmed_at: dict[str, int] = {}

    def heard(self, member: str, confirmed_at: int) -> None:
        """Another member's heartbeat, all of whose versions are known here, was sent at that time or later."""
        self._confirmed_at[member] = max(confirmed_at, self._confirmed_at.get(member, confirmed_at))

    def confirmed_ns_ago(self, members: Iterable[str], now: int) -> int | None:
        """How long ago a majority of the members, this one included, was last heard; None where it never was."""
        everyone = set(members) | {self._me}
        others_needed = len(everyone) // 2
        if others_needed == 0:
            return 0
        heard = sorted(
            (self._confirmed_at[m] for m in everyone - {self._me} if m in self._confirmed_at), reverse=True
        )
        return now - heard[others_needed - 1] if len(heard) >= others_needed else None


class Freshness:
    """What one sidecar knows of the age of its copy, and the upstreams that it uses."""

    def __init__(self, rng: random.Random, stale_ns: int = STALE_NS) -> None:
        """Nothing is followed and nothing confirmed yet."""
        self.rng = rng
        self.stale_ns = stale_ns
        self.push: str | None = None  # the upstream that pushes
        self.direct: str | None = None  # the core member dialled because all others are stale
        self._upstreams = Upstreams(0, None)
        self._confirmed: dict[str, int] = {}  # by upstream
        self._relayed_at: int | None = None  # the newest confirmation by any upstream
        self._direct_at: int | None = None  # the newest confirmation by a core member dialled directly
        self._since = 0  # when upstreams were first followed
        self._dial_at: int | None = None
        self._dialled_at = 0
        self._tries = 0
        self._fresh_since: int | None = None

    def confirmed_ns_ago(self, now: int) -> int | None:
        """How long ago this copy was last confirmed by a core member; None where it never was."""
        known = [at for at in (self._relayed_at, self._direct_at) if at is not None]
        return now - max(known) if known else None

    def follow(self, upstreams: Upstreams, now: int) -> list[Effect]:
        """Use other upstreams from now on."""
        if upstreams == self._upstreams:
            return []
        if self._upstreams.push_from is None:
            self._since = now
        self._upstreams = upstreams
        addresses = self._addresses()
        self._confirmed = {a: at for a, at in self._confirmed.items() if a in addresses}
        effects: list[Effect] = []
        if self.push not in addresses:
            self.push = None
        effects += self._choose_push(now)
        if self.direct is not None and (
            self.direct in addresses or self.direct not in upstreams.last_resorts
        ):
            effects += self._end_direct()
        return effects

    def heard(self, address: str, confirmed_at: int | None, covered: bool, now: int) -> list[Effect]:
        """A heartbeat came from an upstream, or from the core member dialled directly.

        `confirmed_at` is the bound of `SentHeartbeats`; it counts only where `covered`: all of the sender's versions
        are known here.
        """
        if confirmed_at is not None and covered:
            self._confirm(address, min(confirmed_at, now))
        effects = self._choose_push(now)
        if address in (self.push, self.direct):
            effects.append(PassOn())
        return effects

    def on_tick(self, now: int) -> list[Effect]:
        """Some time has passed; to be called every 100 ms or so."""
        effects = self._choose_push(now)
        if self._is_stale(now):
            self._fresh_since = None
            return effects + self._seek_direct(now)
        self._dial_at = None
        if self.direct is None:
            return effects
        if self._fresh_since is None:
            self._fresh_since = now
        if now - self._fresh_since >= FRESH_AGAIN_NS:
            effects += self._end_direct()
        return effects

    def _addresses(self) -> tuple[str, ...]:
        push = self._upstreams.push_from
        return () if push is None else (push, *self._upstreams.repair_from)

    def _confirm(self, address: str, confirmed_at: int) -> None:
        if address in self._addresses():
            self._confirmed[address] = max(confirmed_at, self._confirmed.get(address, confirmed_at))
            known = self._relayed_at
            self._relayed_at = confirmed_at if known is None else max(known, confirmed_at)
        elif address == self.direct:
            known = self._direct_at
            self._direct_at = confirmed_at if known is None else max(known, confirmed_at)

    def _is_stale(self, now: int) -> bool:
        """Are all upstreams, one dialled directly left out, too old?"""
        newest = self._since if self._relayed_at is None else self._relayed_at
        return now - newest > self.stale_ns

    def _is_fresh(self, address: str | None, now: int) -> bool:
        at = None if address is None else self._confirmed.get(address)
        return at is not None and now - at <= self.stale_ns

    def _choose_push(self, now: int) -> list[Effect]:
        """The tree's own choice while it is fresh, or while none is; another that is fresh otherwise."""
        preferred = self._upstreams.push_from
        if preferred is None:
            return []
        chosen = preferred
        if not self._is_fresh(preferred, now) and self.push is not None:
            fresh = [a for a in self._upstreams.repair_from if self._is_fresh(a, now)]
            if fresh:
                chosen = self.push if self.push in fresh else fresh[0]
        if chosen == self.push:
            return []
        self.push = chosen
        return [PushFrom(chosen)]

    def _seek_direct(self, now: int) -> list[Effect]:
        resorts = self._upstreams.last_resorts
        if not resorts:
            return []
        if self.direct is not None:
            served = self._direct_at is not None and now - self._direct_at <= self.stale_ns
            if served or now - self._dialled_at < DIRECT_TRY_NS:
                return []
            return [*self._end_direct(), *self._dial(resorts, now)]
        if self._dial_at is None:
            self._dial_at = now + self._draw_wait()
        return self._dial(resorts, now) if now >= self._dial_at else []

    def _draw_wait(self) -> int:
        deep = DEEP_WAIT_NS if self._upstreams.level > 1 else 0
        return deep + self.rng.randrange(DIAL_SPREAD_NS)

    def _dial(self, resorts: tuple[str, ...], now: int) -> list[Effect]:
        self.direct = resorts[self._tries % len(resorts)]
        self._tries += 1
        self._dialled_at = now
        return [DialDirect(self.direct)]

    def _end_direct(self) -> list[Effect]:
        if self.direct is None:
            return []
        ended, self.direct = self.direct, None
        self._dial_at = None
        self._fresh_since = None
        return [EndDirect(ended)]
