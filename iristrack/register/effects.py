"""What the deciders of the register ask their host to do."""

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
    """Call `on_timer` at this time (nanoseconds); it takes the place of the timer set before."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class Finished(Generic[Result]):
    """The decider has ended with this result and asks for nothing more."""

    result: Result


Effect = SendTo | SetTimer | Finished
