"""How a data plane applies the core's updates, and how it reports its own loads."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from iristrack.dataplane import load_reports
from iristrack.dataplane.control_link import ControlLink
from iristrack.dataplane.discovery import ServerListFollower
from iristrack.platform_api.server_list import to_message
from iristrack.relay import topics
from iristrack.runtime.scheduler import clock
from iristrack.wire.messages import (
    BusyServers,
    ConfigurationAmendment,
    ConfigurationValue,
    Heartbeat,
    Hello,
    InstanceRevision,
    KeptSubscribe,
    KeyLeaseGrant,
    KeyLeaseRequest,
    ModelRevision,
    NamedAge,
    ServerLoad,
    ServerLoads,
    Subscribe,
    Update,
    Version,
    VersionsValue,
)
from iristrack.wire.values import encode_value
from tests.controlplane.calls import Log
from tests.controlplane.peers import Peer
from tests.dataplane.harness import MODEL, Harness, document

NS_PER_MS = 1_000_000


class Linked:
    def __init__(self, harness: Harness) -> None:
        self.plane = harness.plane
        self.link = ControlLink(harness.plane, ServerListFollower(harness.plane), Log())
        self.core = Peer()

    def update(self, topic: str, sequence: int, value) -> None:
        self.link._on_message(self.core, Update(topic, sequence, encode_value(value)))

    def configure(self, sequence: int, revision: int) -> None:
        body = json.dumps(document(revision=revision)).encode()
        self.update(topics.CONFIGURATION, sequence, ConfigurationValue(sequence, revision, body))

    def busy(self, sequence: int, *names: str, preparing: tuple = (), taken: tuple = ()) -> None:
        self.update(topics.BUSY_SERVERS, sequence, BusyServers(names, preparing, taken))


@pytest.fixture
def linked(harness: Harness) -> Linked:
    return Linked(harness)


def connect_member(linked: Linked, zone: str) -> Peer:
    peer = Peer()
    linked.link._on_message(peer, Hello("core", "controlplane", "p", zone, "r", "a:1"))
    return peer


def subscriptions(peer: Peer) -> list[Subscribe]:
    return [message for message in peer.take() if isinstance(message, Subscribe)]


def test_an_older_configuration_never_replaces_a_newer_one(linked: Linked) -> None:
    revisions = []
    for sequence, revision in ((2, 20), (1, 10), (3, 30), (3, 31), (2, 20), (4, 40)):
        linked.configure(sequence, revision)
        revisions.append(linked.plane.active.configuration.revision)
    assert revisions == [20, 20, 30, 30, 30, 40]


def test_malformed_values_change_nothing(linked: Linked) -> None:
    linked.configure(1, 10)
    active = linked.plane.active
    names = (
        topics.CONFIGURATION,
        topics.VERSIONS,
        topics.BUSY_SERVERS,
        topics.SERVERS,
        topics.MEMBERS,
        "odd",
    )
    for topic in names:
        linked.link._on_message(linked.core, Update(topic, 9, b"no frame"))
    assert linked.plane.active is active


def test_named_revisions_only_rise_and_keep_their_first_time(linked: Linked) -> None:
    linked.update(topics.VERSIONS, 1, VersionsValue(1, (ModelRevision("m", 2),)))
    named_at = linked.plane.named_weights.superseded_at("m", 1)
    linked.update(topics.VERSIONS, 2, VersionsValue(2, (ModelRevision("m", 2), ModelRevision("n", 1))))
    assert (linked.plane.named_weights.newest("m"), linked.plane.named_weights.superseded_at("m", 1)) == (
        2,
        named_at,
    )
    linked.update(topics.VERSIONS, 3, VersionsValue(3, (ModelRevision("m", 1), ModelRevision("n", 4))))
    assert (linked.plane.named_weights.newest("m"), linked.plane.named_weights.newest("n")) == (2, 4)


def test_a_revision_ages_from_its_naming_even_if_learned_late(linked: Linked) -> None:
    """A disconnected or restarted process learns only of the newest revision, and late."""
    plane = linked.plane
    bound_ms = int(plane.settings.rule_bounds.version_ms)
    linked.update(topics.VERSIONS, 5, VersionsValue(5, (ModelRevision("m", 3),)))
    assert plane.required_revision("m", clock()) == 0
    ages = (NamedAge("m", 2, bound_ms), NamedAge("m", 3, 10))
    linked.link._on_message(linked.core, Heartbeat("core", "p", 1, named=ages))
    assert plane.required_revision("m", clock()) == 2
    linked.link._on_message(linked.core, Heartbeat("other", "p", 1, named=(NamedAge("m", 3, 20),)))
    assert plane.required_revision("m", clock()) == 2
    linked.link._on_message(linked.core, Heartbeat("core", "p", 2, named=(NamedAge("m", 3, bound_ms),)))
    assert plane.required_revision("m", clock()) == 3


def test_servers_that_load_weights_are_unusable_until_reported_done(harness: Harness, linked: Linked) -> None:
    harness.serve(b""), harness.serve(b"")
    first, second = harness.listed_server("i-0"), harness.listed_server("i-1")
    linked.busy(1, "i-0", preparing=("i-1",))
    assert not first.usable(clock())
    assert second.usable(clock())
    assert second.preparing
    linked.busy(2, "i-1", taken=(InstanceRevision("i-0", MODEL, 2),))
    assert first.usable(clock())
    assert first.revisions == {MODEL: 2}
    assert not second.usable(clock())
    assert not second.preparing
    linked.busy(1, "i-0")  # arrives late, with an old sequence
    assert first.usable(clock())


def test_the_server_list_from_the_core_is_applied(harness: Harness, linked: Linked) -> None:
    harness.serve(b""), harness.serve(b"")
    linked.update(topics.SERVERS, 1, to_message(harness.entries[1:]))
    assert [s.instance_id for s in linked.plane.servers.of_service("pool")] == ["i-1"]


def test_only_the_hub_is_subscribed_to_for_kept_prompts(linked: Linked) -> None:
    """A former hub must be unsubscribed from, or it goes on sending kept prompts that this sidecar discards."""
    remote = connect_member(linked, "elsewhere")
    assert KeptSubscribe(own_only=False) in remote.take()
    local = connect_member(linked, "zone")
    assert KeptSubscribe(own_only=False) in local.take()
    assert KeptSubscribe(own_only=False, ends=True) in remote.take()
    local.closed = True
    connect_member(linked, "zone")
    assert local.take() == []


def test_the_hub_is_a_member_of_the_zone_and_pushes(linked: Linked) -> None:
    remote = connect_member(linked, "elsewhere")
    assert linked.link.hub() is remote
    assert subscriptions(remote) == [Subscribe((), push=True)]
    local = connect_member(linked, "zone")
    assert linked.link.hub() is local
    assert subscriptions(remote) == [Subscribe((), push=False, catch_up=False)]
    assert subscriptions(local) == [Subscribe((), push=True)]
    local.closed = True
    other = connect_member(linked, "zone")
    assert linked.link.hub() is other
    assert subscriptions(other) == [Subscribe((), push=True)]


# ---- loads


def test_changed_loads_are_reported_to_the_hub(harness: Harness, linked: Linked, monkeypatch) -> None:
    monkeypatch.setattr(load_reports, "report_interval", lambda sidecars: NS_PER_MS)
    hub = connect_member(linked, "zone")
    hub.take()
    harness.serve(b"")
    server = harness.listed_server("i-0")
    server.began(3)
    harness.run_until(lambda: hub.sent)
    assert hub.take() == [ServerLoads("n", 1, (ServerLoad("i-0", 1, 3),))]
    server.prefill_finished(3)
    server.ended()
    harness.run_until(lambda: hub.sent)
    assert hub.take() == [ServerLoads("n", 2, (ServerLoad("i-0", 0, 0),), partial=True)]


def test_loads_of_other_sidecars_expire_when_the_core_is_silent(harness, linked, monkeypatch) -> None:
    monkeypatch.setattr(load_reports, "report_interval", lambda sidecars: NS_PER_MS)
    harness.serve(b"")
    server = harness.listed_server("i-0")
    hub = connect_member(linked, "zone")
    linked.link._on_message(hub, ServerLoads("core", 1, (ServerLoad("i-0", 4, 7),)))
    assert (server.others_inflight, server.others_pending_chunks) == (4, 7)
    linked.link._on_message(hub, ServerLoads("core", 2, ()))
    assert server.load == 0
    linked.link._on_message(hub, ServerLoads("core", 3, (ServerLoad("i-0", 4, 7),)))
    monkeypatch.setattr(load_reports, "EXPIRY_NS", 5 * NS_PER_MS)
    harness.run_until(lambda: server.load == 0)


def test_own_loads_are_subtracted_from_the_hubs_total(harness, linked, monkeypatch) -> None:
    monkeypatch.setattr(load_reports, "report_interval", lambda sidecars: NS_PER_MS)
    hub = connect_member(linked, "zone")
    hub.take()
    harness.serve(b""), harness.serve(b"")
    first, second = harness.listed_server("i-0"), harness.listed_server("i-1")
    first.began(3)
    harness.run_until(lambda: hub.sent)
    total = (ServerLoad("i-0", 5, 7, answered=2, failed=1), ServerLoad("i-1", 1, 1))
    linked.link._on_message(hub, ServerLoads("core", 1, total))
    assert (first.others_inflight, first.others_pending_chunks) == (4, 4)
    assert (first.others_outcomes.answered, first.others_outcomes.failed) == (2, 1)
    change = (ServerLoad("i-1", 0, 0),)
    linked.link._on_message(hub, ServerLoads("core", 2, change, partial=True))
    assert (first.others_inflight, second.others_inflight) == (4, 0)


def test_load_totals_are_accepted_only_from_the_hub(harness, linked) -> None:
    harness.serve(b"")
    other_member = connect_member(linked, "elsewhere")
    connect_member(linked, "zone")
    linked.link._on_message(other_member, ServerLoads("core", 1, (ServerLoad("i-0", 4, 7),)))
    assert harness.listed_server("i-0").load == 0


# ---- amendments and the key lease


def amendment(sequence: int, revision: int, path: str) -> ConfigurationAmendment:
    row = document()["route_table"][0] | {"label": path, "path_prefix": path}
    body = json.dumps({"revision": revision, "upsert": {"route_table": [row]}}).encode()
    return ConfigurationAmendment(sequence, body)


def has_route(linked: Linked, path: str) -> bool:
    host = linked.plane.active.configuration.routes[0].hostname
    return linked.plane.active.routes.match(host, path) is not None


def test_an_amendment_applies_only_to_its_direct_predecessor(linked: Linked) -> None:
    linked.link._on_message(linked.core, amendment(2, 5, "/early/"))
    linked.configure(2, 20)
    linked.link._on_message(linked.core, amendment(2, 19, "/old/"))
    linked.link._on_message(linked.core, amendment(4, 40, "/gap/"))
    assert linked.plane.active.configuration.revision == 20
    linked.link._on_message(linked.core, amendment(3, 30, "/next/"))
    assert linked.plane.active.configuration.revision == 30
    assert [has_route(linked, p) for p in ("/next/", "/old/", "/gap/", "/early/")] == [
        True,
        False,
        False,
        False,
    ]
    assert Version(topics.CONFIGURATION, 3) in linked.link.topics.versions()
    linked.configure(4, 41)
    assert linked.plane.active.configuration.revision == 41


def test_no_amendment_applies_after_a_malformed_configuration(
    linked: Linked,
) -> None:
    linked.configure(2, 20)
    linked.link._on_message(linked.core, Update(topics.CONFIGURATION, 3, b"no frame"))
    linked.link._on_message(linked.core, amendment(4, 40, "/next/"))
    assert linked.plane.active.configuration.revision == 20


def linked_with_lease(harness: Harness) -> Linked:
    bounds = replace(harness.plane.settings.rule_bounds, revoke_global=True, revoke_ms=5_000)
    harness.plane.settings = replace(harness.plane.settings, rule_bounds=bounds)
    return Linked(harness)


def lease_requests(peer: Peer) -> list[KeyLeaseRequest]:
    return [message for message in peer.take() if isinstance(message, KeyLeaseRequest)]


def test_the_key_lease_is_requested_from_the_hub_and_then_from_all(harness: Harness) -> None:
    linked = linked_with_lease(harness)
    first, second = connect_member(linked, harness.plane.settings.zone), connect_member(linked, "elsewhere")
    (request,) = lease_requests(first)
    assert lease_requests(second) == []
    linked.link._request_key_lease()
    assert lease_requests(first)
    assert lease_requests(second)
    assert not harness.plane.key_lease.is_valid(clock())
    linked.configure(7, 70)
    linked.link._on_message(first, KeyLeaseGrant(request.number, 7))
    assert harness.plane.key_lease.is_valid(clock())


def test_no_key_lease_is_requested_where_none_is_needed(linked: Linked) -> None:
    peer = connect_member(linked, linked.plane.settings.zone)
    linked.link._request_key_lease()
    assert lease_requests(peer) == []
    assert linked.plane.key_lease.is_valid(clock())


def test_ages_that_a_member_lacks_are_sent_with_the_next_heartbeats(
    linked: Linked,
) -> None:
    """A separate reply to each heartbeat would start an endless exchange with a member that never learns."""
    link, member = linked.link, connect_member(linked, "z")
    assert link._heartbeat().named == ()
    linked.update(topics.VERSIONS, 1, VersionsValue(1, (ModelRevision(MODEL, 2),)))
    known_age = NamedAge(MODEL, 2, 5_000)
    link._on_message(member, Heartbeat("core", "p", 1, named=(known_age,)))
    assert link._heartbeat().named == ()  # the member knows it
    member.take()
    for _ in range(3):
        link._on_message(member, Heartbeat("core", "p", 1))
    assert not any(isinstance(message, Heartbeat) for message in member.take())
    (age,) = link._heartbeat().named
    assert (age.model, age.revision) == (MODEL, 2)
    assert age.age_ms >= known_age.age_ms
