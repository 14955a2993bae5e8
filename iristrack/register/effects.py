"""The effects that the proposer and the recovery request from their host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from iristrack.wire.messages import Accept, Prepare

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the message to the acceptor of this member; it may be lost."""

    member: str
    message: Prepare | Accept


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `on_timer` at this time (nanoseconds); replaces the timer set before."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class Finished(Generic[Result]):
    """The state machine has ended with this result and requests no further effects."""

    result: Result


Effect = SendTo | SetTimer | Finished
