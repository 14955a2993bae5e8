"""The referee of the control side: what operators and sidecars were told, judged apart from the programs.

Orders build on a revision and name the next one; revisions rise along the chain of what was taken. The referee demands:

- of two orders on one base, or of one number, one at most is acknowledged;
- a refused order is never taken, neither before nor after; one that was taken is never refused;
- a read, and the last state, is no older than what was acknowledged before the read was sent;
- what a sidecar goes by never becomes older within one start of it, and what it counts as confirmed is no older than
  what had been acknowledged `CONFIRM_NS` before;
- `WEIGHTS_NS` after weights were named, in calm times, no sidecar in touch lets work begin on older ones, whatever was
  named meanwhile and whenever it heard of it;
- in calm times every sidecar goes by a configuration `APPLY_NS` after its acknowledgement, and every order has a clear
  answer `ACK_NS` after it was sent.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NS_PER_MS = 1_000_000
APPLY_NS = 2000 * NS_PER_MS
ACK_NS = 8000 * NS_PER_MS
CONFIRM_NS = 2000 * NS_PER_MS
WEIGHTS_NS = 7600 * NS_PER_MS  # of 8,000 ms that the settings allow


@dataclass(slots=True)
class Order:
    """One change that an operator wants."""

    number: int
    base: int
    revision: int
    body: bytes
    digest: str
    sent_at: int
    acknowledged_at: int | None = None
    refused_at: int | None = None

    @property
    def is_open(self) -> bool:
        """Has it had no clear answer yet?"""
        return self.acknowledged_at is None and self.refused_at is None


@dataclass(slots=True)
class Referee:
    """What was told so far; `violations` holds what must not be."""

    violations: list[str] = field(default_factory=list)
    orders: dict[int, Order] = field(default_factory=dict)
    newest_acknowledged: int = 0  # revision
    applied: dict[str, int] = field(default_factory=dict)  # revision in force, by sidecar and start
    waiting: list[tuple[int, int]] = field(
        default_factory=list
    )  # (acknowledged at, revision), in force not everywhere
    weights: dict[int, int] = field(default_factory=dict)  # named revision: when it was acknowledged
    _late_weights: set[tuple[str, int]] = field(default_factory=set)  # (sidecar, revision) that were told of

    def violate(self, now: int, text: str) -> None:
        """Note what must not be."""
        self.violations.append(f"at {now / 1e9:.3f} s: {text}")

    def acknowledged(self, order: Order, now: int) -> None:
        """An operator has got a 200 for an order."""
        if order.refused_at is not None:
            self.violate(now, f"order {order.number} acknowledged after it was refused")
        if order.acknowledged_at is not None:
            return
        order.acknowledged_at = now
        for other in self.orders.values():
            if other is order or other.acknowledged_at is None:
                continue
            if other.base == order.base:
                self.violate(now, f"orders {other.number} and {order.number} both taken on {order.base}")
            elif other.revision == order.revision:
                self.violate(now, f"orders {other.number} and {order.number} both taken as {order.revision}")
        self.newest_acknowledged = max(self.newest_acknowledged, order.revision)
        self.waiting.append((now, order.revision))

    def refused(self, order: Order, now: int) -> None:
        """An operator has got a 4xx for an order."""
        order.refused_at = now
        if order.acknowledged_at is not None:
            self.violate(now, f"order {order.number} refused after it was acknowledged")

    def was_read(self, revision: int, floor: int, now: int) -> None:
        """A read that was sent when `floor` was the newest acknowledged revision has been answered."""
        if revision < floor:
            self.violate(now, f"read {revision}, {floor} was acknowledged before")

    def took(self, sidecar: str, revision: int, now: int) -> None:
        """A sidecar goes by this revision from now on; `sidecar` names this start of it."""
        before = self.applied.get(sidecar, 0)
        if revision < before:
            self.violate(now, f"{sidecar} went back from {before} to {revision}")
        self.applied[sidecar] = revision

    def confirmed(self, sidecar: str, revision: int, now: int) -> None:
        """A sidecar counts its configuration as confirmed by a majority."""
        for order in self.orders.values():
            if order.acknowledged_at is None or order.acknowledged_at > now - CONFIRM_NS:
                continue
            if order.revision > revision:
                self.violate(
                    now, f"{sidecar} confirmed {revision}, {order.revision} was acknowledged long before"
                )

    def judge_time(self, now: int, calm_since: int | None, sidecars: dict[str, int]) -> None:
        """Judge what should be in force and answered by now.

        `calm_since`: since when the core is calm, None while it is not; `sidecars`: those to be judged, and since when.
        """
        if calm_since is None:
            return
        still_waiting = []
        for acknowledged_at, revision in self.waiting:
            if now < max(acknowledged_at, calm_since) + APPLY_NS:
                still_waiting.append((acknowledged_at, revision))
                continue
            for sidecar, since in sidecars.items():
                if now >= since + APPLY_NS and self.applied.get(sidecar, 0) < revision:
                    self.violate(
                        now,
                        f"{sidecar} does not go by {revision} acknowledged at {acknowledged_at / 1e9:.3f}",
                    )
        self.waiting = still_waiting
        for order in self.orders.values():
            if order.is_open and now >= max(order.sent_at, calm_since) + ACK_NS:
                self.violate(now, f"order {order.number} has no clear answer")
                order.sent_at = now

    def named_weights(self, revision: int, now: int) -> None:
        """An operator has got a 200 for naming a revision of the weights."""
        self.weights.setdefault(revision, now)

    def judge_weights(self, now: int, calm_since: int, required: dict[str, int]) -> None:
        """Judge on which weights sidecars in touch let work begin; `required` names the oldest, by sidecar."""
        over = [revision for revision, at in self.weights.items() if now >= max(at, calm_since) + WEIGHTS_NS]
        least = max(over, default=0)
        for sidecar, revision in required.items():
            if revision < least and (sidecar, least) not in self._late_weights:
                self._late_weights.add((sidecar, least))
                named_at = self.weights[least] / 1e9
                self.violate(now, f"{sidecar} begins work on {revision}, {least} was named at {named_at:.3f}")

    def judge_end(self, taken: list[tuple[int, str]], now: int, begins_at: int = 0) -> None:
        """Judge the chain of what was taken, as it stands when all faults have ended.

        `begins_at` is the oldest revision that the chain still holds; earlier orders are not judged by it.
        """
        chain = set(taken)
        for order in self.orders.values():
            if order.revision < begins_at:
                continue
            is_taken = (order.revision, order.digest) in chain
            if order.acknowledged_at is not None and not is_taken:
                self.violate(now, f"order {order.number} was acknowledged and is lost")
            if order.refused_at is not None and is_taken:
                self.violate(now, f"order {order.number} was refused and taken")
        revisions = [revision for revision, _ in taken]
        if revisions != sorted(set(revisions)):
            self.violate(now, "the chain of revisions does not rise")
