"""Detection of the outage of a whole zone by one sidecar, from its own attempts alone.

This file owns the evidence on zones and the ejection of each. It must never pick, send or refuse, and it reads no
clock: times are the host's nanoseconds.

A sidecar that is cut off from a zone sends to each of its servers so seldom that it would eject them one by one, with
three or four lost requests each. Taken together, those requests show the outage at once: the zone, or the network path
to it, is down if

- attempts at several different servers of the zone are overdue in a row,
- no server of the zone has answered since the first of them was sent,
- and a server of another zone has.

A single bad server does not look like this, since the other servers of its zone answer. A sidecar whose own network
link is down gets no answers at all and ejects no zone.
"""

from __future__ import annotations

from iristrack.records import EjectionState

MAX_ZONES = 64  # bounds memory, as discovery chooses the names; further zones are never ejected
MIN_SILENT_SERVERS = 3  # silent servers in a row that it takes to eject a zone
MAX_CHANCE = 0.001  # a zone is ejected if a healthy one has such a row with less probability
MIN_OVERDUE_SHARE = 0.02  # lower bound of the estimated share of overdue attempts


class ZoneState:
    """State of one zone: its ejection, its silent servers and its last answer."""

    __slots__ = ("ejection", "last_ok", "overdue_share", "silent_servers")

    def __init__(self) -> None:
        """Start without evidence, not ejected."""
        self.ejection = EjectionState()
        # Servers with overdue attempts since the zone's last answer: MIN_SILENT_SERVERS and a few more at most.
        self.silent_servers: set[str] = set()
        self.last_ok = 0
        self.overdue_share = MIN_OVERDUE_SHARE  # share of attempts that were overdue or had no answer


class ZoneOutages:
    """All zones as one sidecar sees them."""

    def __init__(self) -> None:
        """Start without zones."""
        self.states: dict[str, ZoneState] = {}

    def state_of(self, name: str) -> ZoneState:
        """Return the state of a zone, the same object for all its servers."""
        state = self.states.get(name)
        if state is None:
            state = ZoneState()
            if len(self.states) < MAX_ZONES:
                self.states[name] = state
        return state

    def record_answer(self, now: int, zone: ZoneState) -> None:
        """Record that a server of the zone answered."""
        zone.last_ok = now
        if zone.silent_servers:
            zone.silent_servers.clear()
        zone.overdue_share += (MIN_OVERDUE_SHARE - zone.overdue_share) / 64

    def record_overdue(self, server: str, sent_at: int, zone: ZoneState) -> bool:
        """Record an overdue attempt at a server of the zone; return whether the zone is to be ejected now."""
        zone.overdue_share += (1 - zone.overdue_share) / 64
        if zone.ejection.ejected or zone.last_ok >= sent_at:
            return False
        zone.silent_servers.add(server)
        others = [z for z in self.states.values() if z is not zone and not z.ejection.ejected]
        if len(zone.silent_servers) < MIN_SILENT_SERVERS or not any(z.last_ok > sent_at for z in others):
            return False
        lowest_share = max(MIN_OVERDUE_SHARE, min(z.overdue_share for z in others))
        return lowest_share ** len(zone.silent_servers) < MAX_CHANCE
