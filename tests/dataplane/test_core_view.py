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

    def announce(self, peer: Peer, sequence: int | None = None, in_quorum: bool = True) -> None:
        known = () if sequence is None else (Version("configuration", sequence),)
        self.update_member(peer, Heartbeat("n", "p", 1, known, in_quorum))


def test_a_member_with_a_quorum_is_preferred_as_hub() -> None:
    view = View()
    local, remote = view.join("a:1"), view.join("b:1", "there")
    assert view.choose_hub() is local
    view.announce(remote)
    assert view.choose_hub() is remote
    view.announce(local)
    assert view.choose_hub() is local
    view.announce(local, in_quorum=False)
    assert view.choose_hub() is remote
    view.announce(remote, in_quorum=False)
    assert view.choose_hub() is local  # no member reaches a quorum: the local zone decides again


def test_the_hub_stays_while_no_member_ranks_higher() -> None:
    view = View()
    first, second = view.join("a:1"), view.join("b:1")
    for peer in (first, second):
        view.announce(peer)
    hub = view.choose_hub()
    view.announce(second if hub is first else first)
    assert view.choose_hub() is hub
    hub.closed = True
    assert view.choose_hub() in {first, second} - {hub}


def test_one_member_confirms_nothing_alone() -> None:
    view = View()
    first = view.join("a:1")
    view.announce(first, 5)
    view.announce(first, 5)
    assert not view.is_confirmed(5, MEMBERS)
    view.announce(view.join("b:1"), 4)
    assert view.is_confirmed(5, MEMBERS)


def test_a_newer_version_at_any_member_prevents_confirmation() -> None:
    view = View()
    view.announce(view.join("a:1"), 5)
    view.announce(view.join("b:1"), 6)
    assert not view.is_confirmed(5, MEMBERS)
    assert view.is_confirmed(6, MEMBERS)


def test_a_reconnected_member_counts_once_and_non_members_not_at_all() -> None:
    view = View()
    view.announce(view.join("a:1"), 5)
    view.announce(view.join("a:1"), 5)
    view.announce(view.join("z:1"), 5)
    assert not view.is_confirmed(5, MEMBERS)


def test_members_without_a_quorum_confirm_nothing_however_many_they_are() -> None:
    view = View()
    for address in MEMBERS:
        view.announce(view.join(address), 5, in_quorum=False)
    assert not view.is_confirmed(5, MEMBERS)
    for peer in view.members:
        view.announce(peer, 5)
    assert view.is_confirmed(5, MEMBERS)


def test_a_member_without_a_configuration_confirms_nothing() -> None:
    view = View()
    view.announce(view.join("a:1"), 5)
    view.announce(view.join("b:1"))
    assert not view.is_confirmed(5, MEMBERS)
    assert not view.is_confirmed(5, ())
