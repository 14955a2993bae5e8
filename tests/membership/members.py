from __future__ import annotations

from iristrack.wire.messages import Member


def member(node: str, zone: str = "a", region: str = "r", alive: bool = True, count: int = 0) -> Member:
    return Member(node, "dataplane", "p1", zone, region, f"{node}:1", alive, count)
