"""Has a whole zone fallen silent for this sidecar? Found out alone, from its own attempts.

This file owns the evidence on zones and the one hold on each. It must never pick, send or refuse, and reads no clock:
times are the host's nanoseconds.

A sidecar that is cut off from a zone meets each of its servers so seldom that it finds them out one by one, with three
or four lost requests each. Together those requests tell at once: where several overdue attempts at different servers of
a zone follow each other and nobody in it has answered since the first was sent_at, while another zone did, it is the zone
or the way there. One bad server is told apart by the others of its zone, which answer; a sidecar whose own link is cut
hears nobody, and holds nothing.
"""

from __future__ import annotations

from iristrack.records import EjectionState

MAX_ZONES = 64  # names come from outside; what lies behind is never held
MIN_SILENT_SERVERS = 3  # servers of a zone that are silent in a row, at the least, before it is held
MAX_CHANCE = 0.001  # a row this unlikely in a sound zone holds it
MIN_OVERDUE_SHARE = 0.02  # the share of overdue attempts is taken to be no lower


class ZoneState:
    """What is known of one zone: its hold (`suspicion`), the row of silent servers, and when it was last heard."""

    __slots__ = ("ejection", "last_ok", "overdue_share", "silent_servers")

    def __init__(self) -> None:
        """Nothing is known, nothing is held."""
        self.ejection = EjectionState()
        self.silent_servers: set[str] = (
            set()
        )  # silent ones since it was last heard; FEWEST_SILENT and a few more at most
        self.last_ok = 0
        self.overdue_share = MIN_OVERDUE_SHARE  # share of attempts that were overdue or never answered


class ZoneOutages:
    """All zones as one sidecar sees them."""

    def __init__(self) -> None:
        """None is known yet."""
        self.states: dict[str, ZoneState] = {}

    def state_of(self, name: str) -> ZoneState:
        """The zone's record, the same one for all its servers."""
        state = self.states.get(name)
        if state is None:
            state = ZoneState()
            if len(self.states) < MAX_ZONES:
                self.states[name] = state
        return state

    def record_answer(self, now: int, zone: ZoneState) -> None:
        """A server of the zone answered."""
        zone.last_ok = now
        if zone.silent_servers:
            zone.silent_servers.clear()
        zone.overdue_share += (MIN_OVERDUE_SHARE - zone.overdue_share) / 64

    def record_overdue(self, server: str, sent_at: int, zone: ZoneState) -> bool:
        """An attempt that went to a server of the zone at `sent_at` is overdue. Is all of the zone to be held now?"""
        zone.overdue_share += (1 - zone.overdue_share) / 64
        if zone.ejection.ejected or zone.last_ok >= sent_at:
            return False
        zone.silent_servers.add(server)
        others = [z for z in self.states.values() if z is not zone and not z.ejection.ejected]
        if len(zone.silent_servers) < MIN_SILENT_SERVERS or not any(z.last_ok > sent_at for z in others):
            return False
        lowest_share = max(MIN_OVERDUE_SHARE, min(z.overdue_share for z in others))
        return lowest_share ** len(zone.silent_servers) < MAX_CHANCE
