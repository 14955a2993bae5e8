"""Has a whole zone fallen silent for this sidecar? Found out alone, from its own attempts.

This file owns the evidence on zones and the one hold on each. It must never pick, send or refuse, and reads no clock:
times are the host's nanoseconds.

A sidecar that is cut off from a zone meets each of its servers so seldom that it finds them out one by one, with three
or four lost requests each. Together those requests tell at once: where several overdue attempts at different servers of
a zone follow each other and nobody in it has answered since the first was sent, while another zone did, it is the zone
or the way there. One bad server is told apart by the others of its zone, which answer; a sidecar whose own link is cut
hears nobody, and holds nothing.
"""

from __future__ import annotations

from iristrack.records import Suspicion

MOST_ZONES = 64  # names come from outside; what lies behind is never held
FEWEST_SILENT = 3  # servers of a zone that are silent in a row, at the least, before it is held
CHANCE = 0.001  # a row this unlikely in a sound zone holds it
FEWEST_OVERDUE = 0.02  # the share of overdue attempts is taken to be no lower


class Zone:
    """What is known of one zone: its hold (`suspicion`), the row of silent servers, and when it was last heard."""

    __slots__ = ("last_ok", "overdue", "row", "suspicion")

    def __init__(self) -> None:
        """Nothing is known, nothing is held."""
        self.suspicion = Suspicion()
        self.row: set[str] = (
            set()
        )  # silent ones since it was last heard; FEWEST_SILENT and a few more at most
        self.last_ok = 0
        self.overdue = FEWEST_OVERDUE  # share of attempts that were overdue or never answered


class Zones:
    """All zones as one sidecar sees them."""

    def __init__(self) -> None:
        """None is known yet."""
        self.table: dict[str, Zone] = {}

    def zone(self, name: str) -> Zone:
        """The zone's record, the same one for all its servers."""
        found = self.table.get(name)
        if found is None:
            found = Zone()
            if len(self.table) < MOST_ZONES:
                self.table[name] = found
        return found

    def heard(self, now: int, zone: Zone) -> None:
        """A server of the zone answered."""
        zone.last_ok = now
        if zone.row:
            zone.row.clear()
        zone.overdue += (FEWEST_OVERDUE - zone.overdue) / 64

    def silent(self, server: str, sent: int, zone: Zone) -> bool:
        """An attempt that went to a server of the zone at `sent` is overdue. Is all of the zone to be held now?"""
        zone.overdue += (1 - zone.overdue) / 64
        if zone.suspicion.ejected or zone.last_ok >= sent:
            return False
        zone.row.add(server)
        others = [z for z in self.table.values() if z is not zone and not z.suspicion.ejected]
        if len(zone.row) < FEWEST_SILENT or not any(z.last_ok > sent for z in others):
            return False
        usual = max(FEWEST_OVERDUE, min(z.overdue for z in others))
        return usual ** len(zone.row) < CHANCE
