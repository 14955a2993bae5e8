"""How a stand-in model server treats a request: told by the request's attempt id, one behaviour for each arrival."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from enum import Enum

from iristrack.standin.waiting import PATIENCE_S, NeverCame


class Fault(Enum):
    """What goes wrong with an answer."""

    NONE = "none"
    RESET = "reset"  # the connection is reset after `after_events`
    CLOSE = "close"  # it is closed there without the last chunk
    GARBAGE = "garbage"  # bytes that form no answer
    GARBAGE_IN_STREAM = "garbage in stream"  # the same, after `after_events`, in the place of a chunk
    SILENCE = "silence"  # nothing comes until the caller leaves
    SHORT_BODY = "short body"  # the body ends before the stated length
    LATE_SECOND = "late second"  # the same answer comes again where the connection's next answer is due
    SHED = "shed"  # 503 with the promise
    UNPROMISED_503 = "unpromised 503"  # the request ran all the same
    UNSEALED = "unsealed"  # 200 without the server's seal
    ERROR = "error"  # its own 500


class Gate:
    """Holds a stream until it is opened."""

    def __init__(self) -> None:
        """Closed."""
        self._opened = threading.Event()

    def open(self) -> None:
        """Let the stream go on."""
        self._opened.set()

    def pass_through(self) -> None:
        """Wait for the opening; raises `NeverCame`."""
        if not self._opened.wait(2 * PATIENCE_S):
            raise NeverCame("the gate stayed closed")


@dataclass(frozen=True, slots=True)
class Behaviour:
    """One answer: its fault, and the events after which the fault or the gate comes."""

    fault: Fault = Fault.NONE
    after_events: int = 0
    gate: Gate | None = None


NORMAL = Behaviour()


@dataclass(slots=True)
class Script:
    """The behaviours that await requests, in order of their arrivals at any server."""

    _awaiting: dict[str, list[Behaviour]] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def on(self, attempt_id: str, *behaviours: Behaviour) -> None:
        """The first arrival of the id meets the first behaviour, and so on; further ones meet `NORMAL`."""
        with self._lock:
            self._awaiting[attempt_id] = list(behaviours)

    def next(self, attempt_id: str) -> Behaviour:
        """The behaviour for an arrival."""
        with self._lock:
            awaiting = self._awaiting.get(attempt_id)
            return awaiting.pop(0) if awaiting else NORMAL
