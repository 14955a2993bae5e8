"""The messages of membership and relays; in the style of `wire.messages`, to be moved there.

`Heartbeat` is the one of the wire with new fields, each with a default, behind the old ones.
"""

from __future__ import annotations

from dataclasses import dataclass

from iristrack.wire.messages import Member, Version

NEVER_CONFIRMED = -1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender is alive; `known` lets the receiver send what the sender has missed.

    Attributes:
        node: The sender.
        process: The sender's process.
        count: Numbers the heartbeats on this connection.
        known: How new the sender's topics are; empty between a member and its watcher.
        incarnation: `Member.count` of the sender's own record.
        confirmed_ms_ago: How old the sender's topics may be; -1 where no core member has confirmed them, and to a peer
            that has not subscribed, which is not told their versions.
        echo: `count` of the newest heartbeat that came on this connection, 0 for none.
        held_ms: How long ago that one came.
        view_digest: Over all members that the sender takes for alive (`MembershipView.digest`).
        changes: Records of members that changed since the last heartbeat on this connection.
    """

    node: str
    process: str
    count: int
    known: tuple[Version, ...] = ()
    incarnation: int = 0
    confirmed_ms_ago: int = NEVER_CONFIRMED
    echo: int = 0
    held_ms: int = 0
    view_digest: int = 0
    changes: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Suspicion:
    """One watcher of a member asks another: I have not heard it, have you?"""

    by: str  # node name of the watcher that asks
    node: str  # the suspected member
    incarnation: int


@dataclass(frozen=True, slots=True)
class SuspicionAnswer:
    """Answer to `Suspicion`; a watcher that doubts itself gives none."""

    by: str
    node: str
    incarnation: int
    heard: bool
