"""Which core member is the hub, and when a configuration is confirmed."""

from __future__ import annotations

from iristrack.dataplane.core_view import CoreView
from iristrack.wire.messages import Heartbeat, Hello, Version
from tests.controlplane.peers import Peer

MEMBERS = ("a:1", "b:1", "c:1")


class View(CoreView):
    def __init__(self) -> None:
        super().__init__("here", "configuration")

    def join(self, address: str, zone: str = "here") -> Peer:
        peer = Peer()
        self.add_member(peer, Hello("n", "controlplane", "p", zone, "r", address))
        return peer

    def tell(self, peer: Peer, sequence: int | None = None, in_quorum: bool = True) -> None:
        known = () if sequence is None else (Version("configuration", sequence),)
        self.update_member(peer, Heartbeat("n", "p", 1, known, in_quorum))


def test_a_member_without_a_quorum_is_no_hub_where_there_is_one_with() -> None:
    view = View()
    near, far = view.join("a:1"), view.join("b:1", "there")
    assert view.choose_hub() is near
    view.tell(far)
    assert view.choose_hub() is far
    view.tell(near)
    assert view.choose_hub() is near
    view.tell(near, in_quorum=False)
    assert view.choose_hub() is far
    view.tell(far, in_quorum=False)
    assert view.choose_hub() is near  # nobody reaches one: the zone's again


def test_the_hub_stays_while_none_is_better() -> None:
    view = View()
    first, second = view.join("a:1"), view.join("b:1")
    for peer in (first, second):
        view.tell(peer)
    hub = view.choose_hub()
    view.tell(second if hub is first else first)
    assert view.choose_hub() is hub
    hub.closed = True
    assert view.choose_hub() in {first, second} - {hub}


def test_one_member_confirms_nothing_alone() -> None:
    view = View()
    first = view.join("a:1")
    view.tell(first, 5)
    view.tell(first, 5)
    assert not view.is_confirmed(5, MEMBERS)
    view.tell(view.join("b:1"), 4)
    assert view.is_confirmed(5, MEMBERS)


def test_a_newer_version_anywhere_has_to_come_first() -> None:
    view = View()
    view.tell(view.join("a:1"), 5)
    view.tell(view.join("b:1"), 6)
    assert not view.is_confirmed(5, MEMBERS)
    assert view.is_confirmed(6, MEMBERS)


def test_a_member_that_dials_again_counts_once_and_strangers_do_not() -> None:
    view = View()
    view.tell(view.join("a:1"), 5)
    view.tell(view.join("a:1"), 5)
    view.tell(view.join("z:1"), 5)
    assert not view.is_confirmed(5, MEMBERS)


def test_members_without_a_quorum_confirm_nothing_however_many_they_are() -> None:
    view = View()
    for address in MEMBERS:
        view.tell(view.join(address), 5, in_quorum=False)
    assert not view.is_confirmed(5, MEMBERS)
    for peer in view.members:
        view.tell(peer, 5)
    assert view.is_confirmed(5, MEMBERS)


def test_one_that_knows_no_configuration_has_told_none() -> None:
    view = View()
    view.tell(view.join("a:1"), 5)
    view.tell(view.join("b:1"))
    assert not view.is_confirmed(5, MEMBERS)
    assert not view.is_confirmed(5, ())
