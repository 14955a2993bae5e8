"""The share of the fleet's retry budget that one sidecar may spend.

All sidecars together may send a service `ratio` x its requests + `slack` repeats in each sliding window. A bucket that
holds `slack` / sidecars and earns `ratio` with each request keeps every window of this sidecar within its share. Where
that is less than one repeat, none is ever sent.

A process that begins anew does not know what the one before it has spent in the window, so it begins with half of its
share. If all sidecars are restarted within one window, they spend 1.5 x `SAFETY` = 1.2 times the slack at most beside
what they earn, and the fifth that is over is covered by the part of `ratio` that is never spent, once the window has
slack / ratio requests (260 to 1,000 by the deployments' sheets).
"""

from __future__ import annotations

SAFETY = 0.8  # of the budget; the rest is for what two sidecars count differently
FIRST_SHARE = 0.5  # of a sidecar's share, that a process begins with


class RetryBudget:
    """Tokens of one service at one sidecar."""

    def __init__(self, ratio: float, slack: float, sidecars: int) -> None:
        """Starts with `FIRST_SHARE` of what it may hold; `sidecars` share the slack."""
        self.ratio = ratio * SAFETY
        self.slack = slack * SAFETY
        self.capacity = 0.0
        self.tokens = FIRST_SHARE * self.slack / max(1, sidecars)
        self.set_sidecars(sidecars)

    def set_sidecars(self, sidecars: int) -> None:
        """Follow the number of sidecars that spend."""
        self.capacity = self.slack / max(1, sidecars)
        self.tokens = min(self.tokens, self.capacity)

    def earn(self) -> None:
        """A request was sent for the first time."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def spend(self) -> bool:
        """May one more repeat be sent now?"""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
