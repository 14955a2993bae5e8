"""The share of the fleet's retry budget that one sidecar may spend.

All sidecars together may send a service `ratio` x its requests + `slack` repeats in each sliding window. A bucket that
holds `slack` / sidecars and earns `ratio` with each request keeps every window of this sidecar within its share. Where
that is less than one repeat, none is ever sent.
"""

from __future__ import annotations

SAFETY = 0.8  # of the budget; the rest is for what two sidecars count differently


class RetryBudget:
    """Tokens of one service at one sidecar."""

    def __init__(self, ratio: float, slack: float, sidecars: int) -> None:
        """Starts full; `sidecars` share the slack."""
        self.ratio = ratio * SAFETY
        self.slack = slack * SAFETY
        self.most = 0.0
        self.tokens = slack * SAFETY / max(1, sidecars)
        self.share(sidecars)

    def share(self, sidecars: int) -> None:
        """Follow the number of sidecars that spend."""
        self.most = self.slack / max(1, sidecars)
        self.tokens = min(self.tokens, self.most)

    def earn(self) -> None:
        """A request was sent for the first time."""
        self.tokens = min(self.most, self.tokens + self.ratio)

    def spend(self) -> bool:
        """May one more repeat be sent now?"""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
