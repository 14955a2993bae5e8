"""What the stand-in model servers have seen, in one order over all of them."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.standin.waiting import PATIENCE_S, NeverCame


@dataclass(slots=True)
class Arrival:
    """One request at one server; header names are in lower case, each with all its values."""

    instance_id: str
    service: str
    connection: int
    method: str
    target: str
    headers: dict[str, list[str]]
    body: bytes
    revision: int  # of the server's weights when it came
    ran: bool = False
    refusal: int = 0  # the status with which it was turned away
    events_sent: int = 0
    kept_tokens: int = 0  # of the prompt, found in the server's cache
    left: bool = False  # did the caller end the connection before the answer's end?
    ended: bool = False
    number: int = 0
    at: float = field(default_factory=time.monotonic)

    def header(self, name: str) -> str | None:
        """The only value of a header; None where it is absent."""
        values = self.headers.get(name.lower(), [])
        assert len(values) < 2, f"{name} came {len(values)} times"
        return values[0] if values else None

    @property
    def attempt_id(self) -> str:
        """The client's id of its try."""
        return self.header("X-Iristrack-Attempt-Id") or ""


@dataclass(frozen=True, slots=True)
class Order:
    """One `POST /order`."""

    instance_id: str
    body: dict[str, object]
    status: int


class Ledger:
    """Arrivals and orders; safe to use from all threads."""

    def __init__(self) -> None:
        """Nothing has come."""
        self._changed = threading.Condition(threading.RLock())
        self._arrivals: list[Arrival] = []
        self._orders: list[Order] = []

    def add(self, arrival: Arrival) -> None:
        """A request has come."""
        with self._changed:
            arrival.number = len(self._arrivals)
            self._arrivals.append(arrival)
            self._changed.notify_all()

    def add_order(self, order: Order) -> None:
        """An order was answered."""
        with self._changed:
            self._orders.append(order)
            self._changed.notify_all()

    def note(self) -> None:
        """An arrival has changed."""
        with self._changed:
            self._changed.notify_all()

    def arrivals(self, attempt_id: str | None = None) -> list[Arrival]:
        """All arrivals in order, or those of one attempt id."""
        with self._changed:
            return [a for a in self._arrivals if attempt_id is None or a.attempt_id == attempt_id]

    def runs(self, attempt_id: str) -> list[Arrival]:
        """The arrivals of an attempt id that ran."""
        return [arrival for arrival in self.arrivals(attempt_id) if arrival.ran]

    def orders(self) -> list[Order]:
        """All orders in order."""
        with self._changed:
            return list(self._orders)

    def wait_for(self, holds: Callable[[], object], what: str, patience_s: float = PATIENCE_S) -> None:
        """Wait until it holds, looked at whenever something comes; raises `NeverCame`."""
        with self._changed:
            if not self._changed.wait_for(holds, patience_s):
                raise NeverCame(f"{what}: not within {patience_s:g} s")
