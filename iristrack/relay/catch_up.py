"""When a sidecar asks another core member for what its hub did not push.

Every heartbeat of a core member tells how new its topics are. A value that the hub has not pushed within `WAIT_NS`
after it was first heard of is asked for once, where it was heard of, and after `AGAIN_NS` once more, so that a slow
link is not filled with copies of one value.
"""

from __future__ import annotations

from collections.abc import Iterable

from iristrack.wire.messages import Version

NS_PER_MS = 1_000_000
WAIT_NS = 400 * NS_PER_MS
AGAIN_NS = 1500 * NS_PER_MS
MOST_TOPICS = 64


class CatchUp:
    """What is known to be newer elsewhere than here."""

    def __init__(self) -> None:
        """Nothing is."""
        self._missing: dict[
            str, tuple[int, int]
        ] = {}  # by topic: the sequence, and when it was first heard of
        self._asked_at: int | None = None

    def heard(self, here: Iterable[Version], told: Iterable[Version], now: int) -> bool:
        """A member told how new its topics are; whether anything is missing here."""
        known = {version.topic: version.sequence for version in here}
        self._drop_known(known)
        for version in told:
            missing = version.sequence > known.get(version.topic, -1)
            if missing and version.topic not in self._missing and len(self._missing) < MOST_TOPICS:
                self._missing[version.topic] = (version.sequence, now)
        return bool(self._missing)

    def is_due(self, here: Iterable[Version], now: int) -> bool:
        """Is it time to ask the member that was just heard?"""
        self._drop_known({version.topic: version.sequence for version in here})
        if self._asked_at is not None and now - self._asked_at < AGAIN_NS:
            return False
        if not any(now - since >= WAIT_NS for _, since in self._missing.values()):
            return False
        self._asked_at = now
        return True

    def _drop_known(self, known: dict[str, int]) -> None:
        self._missing = {
            topic: (sequence, since)
            for topic, (sequence, since) in self._missing.items()
            if known.get(topic, -1) < sequence
        }
