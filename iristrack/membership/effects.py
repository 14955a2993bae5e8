"""What the watcher asks its host to do."""

from __future__ import annotations

from dataclasses import dataclass

from iristrack.membership.messages import Suspicion, SuspicionAnswer


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to this node, over a connection that stands or is dialled."""

    to: str


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the message to this node, over any connection with it, a new one if need be; it may be lost."""

    to: str
    message: Suspicion | SuspicionAnswer


@dataclass(frozen=True, slots=True)
class TellRecords(SendHeartbeat):
    """This node sends heartbeats though the view does not take it for alive: tell it so, that it refutes that.

    The host answers with a heartbeat whose `changes` hold the view's record of the node, if there is one.
    """


@dataclass(frozen=True, slots=True)
class SuspectMember:
    """A member that is watched has been silent for too long; other watchers are asked."""

    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberBack:
    """A suspected member has been heard again."""

    node: str


@dataclass(frozen=True, slots=True)
class MemberLost:
    """The suspicion is confirmed: declare the member dead in the view (`MembershipView.declare_dead`)."""

    node: str
    incarnation: int


Effect = SendHeartbeat | SendTo | TellRecords | SuspectMember | MemberBack | MemberLost
