"""The share of the fleet's retry budget that one sidecar may spend.

All sidecars together may send a service `ratio` x its requests + `slack` retries in each sliding window. A token bucket
with capacity `slack` / sidecars that earns `ratio` tokens per request keeps every window of this sidecar within its
share. If the capacity is below one token, no retry is ever sent.

A restarted process does not know what its predecessor has spent in the window, so it starts with half of its share. If
all sidecars restart within one window, they spend at most 1.5 x `SAFETY_FACTOR` = 1.2 times the slack besides what they
earn. The excess of 0.2 is covered by the part of `ratio` that is never spent, provided that the window has at least
slack / ratio requests (260 to 1,000 in the specified deployments).
"""

from __future__ import annotations

SAFETY_FACTOR = 0.8  # of the budget; the rest covers requests that sidecars count differently
INITIAL_SHARE = 0.5  # of a sidecar's share, available when its process starts


class RetryBudget:
    """Token bucket for the retries of one service at one sidecar."""

    def __init__(self, ratio: float, slack: float, sidecars: int) -> None:
        """Start with `INITIAL_SHARE` of the capacity; `sidecars` share the slack equally."""
        self.ratio = ratio * SAFETY_FACTOR
        self.slack = slack * SAFETY_FACTOR
        self.capacity = 0.0
        self.tokens = INITIAL_SHARE * self.slack / max(1, sidecars)
        self.set_sidecars(sidecars)

    def set_sidecars(self, sidecars: int) -> None:
        """Set the number of sidecars that share the slack."""
        self.capacity = self.slack / max(1, sidecars)
        self.tokens = min(self.tokens, self.capacity)

    def earn(self) -> None:
        """Add the tokens for a request that was sent for the first time."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Spend a token on a retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
