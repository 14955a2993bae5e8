"""Tests of the operators' calls against real and fake registers, and of the values that they publish."""

from __future__ import annotations

import json
import random
import traceback
from collections.abc import Callable
from types import SimpleNamespace

import pytest

from iristrack.controlplane import changes
from iristrack.controlplane.operator_api import MAX_BODY_BYTES, BadCall, OperatorApi, decode_call
from iristrack.controlplane.register_host import RegisterHost
from iristrack.register import Committed, Overtaken, Rejected, Unavailable
from iristrack.relay import topics
from iristrack.runtime.scheduler import Scheduler, clock
from iristrack.store.acceptor_format import encode_record
from iristrack.store.framing import TooLarge
from iristrack.wire.messages import (
    FOUNDED,
    NO_BALLOT,
    ConfigurationValue,
    MembersValue,
    Update,
    VersionsValue,
)
from iristrack.wire.values import decode_value, encode_value
from tests.configuration.samples import encode, sample_document
from tests.controlplane.calls import Log, amend_call, message, replace_call, version_call

MEMBERS = ("core:1", "core:2", "core:3")
TIMEOUT_NS = 10**10
BODY = encode(sample_document())
TAKEN = ConfigurationValue(4, 9, b'{"revision": 9}')


STATUS = {"node": "core-1"}


def make_api(register, publish, in_quorum=lambda: True) -> OperatorApi:
    def make_status(with_servers: bool) -> dict:
        return STATUS | {"servers": with_servers}

    return OperatorApi(
        register=register, publish=publish, make_status=make_status, in_quorum=in_quorum, log=Log()
    )


# ---- answers to each result


def answer(result, call) -> tuple[object, list[Update]]:
    published: list[Update] = []
    register = SimpleNamespace(
        change=lambda key, change, deadline: result,
        value_size=lambda key: 0,
        scheduler=SimpleNamespace(now=clock),
    )
    return make_api(register, published.append).answer(call), published


READ = message(b"GET", b"/config/read")
REPLACE = replace_call(BODY)
AMEND = amend_call(b'{"revision": 9, "remove": {"route_table": ["r"]}}', "7")
NAME = version_call({"model_name": "m", "revision": 2})


@pytest.mark.parametrize(
    ("call", "result", "status"),
    [
        (REPLACE, Committed(encode_value(TAKEN), NO_BALLOT), 200),
        (REPLACE, Rejected(changes.BASE_DIFFERS, encode_value(TAKEN)), 412),
        (REPLACE, Overtaken(changes.BASE_DIFFERS, encode_value(TAKEN)), 412),
        (REPLACE, Rejected(changes.NOT_HIGHER, encode_value(TAKEN)), 400),
        (REPLACE, Rejected(changes.BASE_FORGOTTEN, encode_value(TAKEN)), 503),
        (REPLACE, Overtaken(changes.BASE_FORGOTTEN, encode_value(TAKEN)), 503),
        (REPLACE, Unavailable(in_doubt=False), 503),
        (REPLACE, Unavailable(in_doubt=True), 503),
        (AMEND, Committed(encode_value(TAKEN), NO_BALLOT), 200),
        (AMEND, Rejected(changes.BASE_DIFFERS, encode_value(TAKEN)), 412),
        (AMEND, Overtaken(changes.BASE_DIFFERS, encode_value(TAKEN)), 412),
        (AMEND, Rejected(changes.NOT_HIGHER, encode_value(TAKEN)), 400),
        (AMEND, Rejected(changes.INVALID, encode_value(TAKEN)), 400),
        (AMEND, Rejected(changes.BASE_FORGOTTEN, encode_value(TAKEN)), 503),
        (AMEND, Unavailable(in_doubt=True), 503),
        (amend_call(b"{", "7"), None, 400),
        (amend_call(b'{"revision": 9}', "x"), None, 400),
        (amend_call(b'{"revision": 9, "upsert": {"routes": []}}', "7"), None, 400),
        (READ, Committed(encode_value(TAKEN), NO_BALLOT), 200),
        (READ, Committed(b"", NO_BALLOT), 404),
        (READ, Unavailable(in_doubt=False), 503),
        (NAME, Committed(encode_value(VersionsValue(1)), NO_BALLOT), 200),
        (NAME, Unavailable(in_doubt=True), 503),
        (replace_call(b"{"), None, 400),
        (message(b"GET", b"/odd"), None, 404),
    ],
)
def test_each_result_has_its_status(call, result, status: int) -> None:
    response, _ = answer(result, call)
    assert response.status == status
    if status in (400, 404, 412, 503):
        json.loads(response.body)
    assert (b"Retry-After" in response.lines) == (status == 503)


@pytest.mark.parametrize("call", [READ, REPLACE, AMEND, NAME])
def test_without_a_recent_quorum_no_register_is_asked_and_the_answer_is_inconclusive(call) -> None:
    def change(key, change, deadline):
        raise AssertionError("the register was asked")

    api = make_api(SimpleNamespace(change=change), lambda update: None, in_quorum=lambda: False)
    response = api.answer(call)
    assert response.status == 503
    assert b"Retry-After" in response.lines


def test_the_metrics_are_returned_as_text_without_asking_the_register() -> None:
    document = {
        "voting": True,
        "in_quorum": False,
        "members": [{"connected": True}, {"connected": False}],
        "topics": [{"topic": "configuration", "sequence": 4}, {"topic": "odd name", "sequence": 9}],
        "configuration": {"revision": 7},
    }
    api = OperatorApi(SimpleNamespace(), lambda update: None, lambda servers: document, lambda: False, Log())
    response = api.answer(message(b"GET", b"/metrics"))
    assert response.status == 200
    lines = response.body.decode().splitlines()
    assert {"iristrack_voting 1", "iristrack_in_quorum 0", "iristrack_members_connected 1"} <= set(lines)
    assert {"iristrack_configuration_revision 7", "iristrack_configuration_sequence 4"} <= set(lines)
    assert not any("odd" in line for line in lines)


def test_an_invalid_order_is_refused_also_without_a_quorum() -> None:
    api = make_api(SimpleNamespace(), lambda update: None, in_quorum=lambda: False)
    assert api.answer(replace_call(b"{")).status == 400


def test_a_read_returns_the_body_as_it_was_sent() -> None:
    response, _ = answer(Committed(encode_value(ConfigurationValue(4, 7, BODY)), NO_BALLOT), READ)
    assert response.body == BODY


@pytest.mark.parametrize("call", [READ, REPLACE])
@pytest.mark.parametrize(
    "result", [Committed(encode_value(TAKEN), NO_BALLOT), Rejected("why", encode_value(TAKEN))]
)
def test_only_committed_values_are_published(call, result) -> None:
    _, published = answer(result, call)
    if isinstance(result, Committed) or call is REPLACE:
        assert published == [Update(topics.CONFIGURATION, 4, encode_value(TAKEN))]
    else:
        assert published == []
    assert answer(Unavailable(in_doubt=True), call)[1] == []


@pytest.mark.parametrize(
    ("target", "servers"), [(b"/system/status", False), (b"/system/status?servers", True)]
)
def test_the_status_is_returned_without_asking_the_register(target: bytes, servers: bool) -> None:
    response, published = answer(None, message(b"GET", target))
    assert (response.status, published) == (200, [])
    assert json.loads(response.body) == STATUS | {"servers": servers}


def test_findings_name_their_places() -> None:
    response, _ = answer(None, replace_call(b"{}"))
    rows = json.loads(response.body)["findings"]
    assert {"place", "message", "remedy"} == set(rows[0])


# ---- calls against a register of three members in this process


class Disk:
    """A fake disk that syncs in order in a later turn of the loop; records too large for the real one fail."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.records: list[object] = []

    def submit(self, records: list[object], on_done: Callable[[bool], None]) -> None:
        def written() -> None:
            try:
                for record in records:
                    encode_record(record)
            except TooLarge:
                on_done(False)
                return
            self.records.extend(records)
            on_done(True)

        self.scheduler.call_at(clock(), written)


class Core:
    def __init__(self, members: tuple[str, ...] = MEMBERS, founded: bool = True) -> None:
        self.failures: list[str] = []
        self.scheduler = Scheduler(lambda text: self.failures.append(f"{text}\n{traceback.format_exc()}"))
        self.isolated: set[str] = set()
        self.hosts: dict[str, RegisterHost] = {}
        self.published: list[Update] = []
        for name in members:
            opened = SimpleNamespace(blobs={}, identity=None, registers={}, store=SimpleNamespace(node=name))
            host = RegisterHost(
                self.scheduler,
                name,
                opened,
                Disk(self.scheduler),
                self._send_from(name),
                topics.REGISTERS,
                Log(),
            )
            host.rng = random.Random(name)
            if founded:
                host.follow(MembersValue(FOUNDED, members), True, lambda: None)
            else:
                host.form(members)
            self.hosts[name] = host
        self.apis = [make_api(host, self.published.append) for host in self.hosts.values()]
        self.run(lambda: self._wait_for_votes(founded))

    def _wait_for_votes(self, founded: bool) -> None:
        while not all(host.founded if founded else host.voting for host in self.hosts.values()):
            self.scheduler.call_at(clock(), self.scheduler.current.wake)
            self.scheduler.wait(-1, 0, None)

    def _send_from(self, sender: str) -> Callable:
        def send(member: str, message) -> None:
            if {sender, member} & self.isolated:
                return

            def reply(answer) -> None:
                self.scheduler.call_at(clock(), self._deliver, sender, answer, lambda _: None)

            self.scheduler.call_at(clock(), self._deliver, member, message, reply)

        return send

    def _deliver(self, member: str, message, reply: Callable) -> None:
        if isinstance(message, Update):
            published = decode_value(message.value, MembersValue)
            self.hosts[member].follow(published, False, lambda: None)
        else:
            self.hosts[member].handle(message, reply)

    def run(self, *calls: Callable[[], object]) -> list:
        results: list = [None] * len(calls)
        left = set(range(len(calls)))

        def run_call(number: int) -> None:
            try:
                results[number] = calls[number]()
            finally:
                left.discard(number)
                if not left:
                    self.scheduler.stop()

        for number in range(len(calls)):
            self.scheduler.spawn(f"call {number}", run_call, number)
        self.scheduler._stopped = False
        guard = self.scheduler.call_at(clock() + TIMEOUT_NS, self.scheduler.stop)
        self.scheduler.run()
        guard.cancel()
        assert not self.failures, "\n".join(self.failures)
        assert not left, "a call got no answer"
        return results

    def status(self, call, member: int = 0) -> int:
        (response,) = self.run(lambda: self.apis[member].answer(call))
        return response.status


def document(revision: int, label: str = "pool") -> bytes:
    return json.dumps({"revision": revision, "route_table": [], "services": [{"label": label}]}).encode()


def test_a_configuration_is_taken_once_and_can_be_read_from_each_member() -> None:
    core = Core()
    assert core.status(READ) == 404
    assert core.status(replace_call(document(5), "0")) == 200
    assert core.status(replace_call(document(5), "0"), member=1) == 200
    assert core.status(replace_call(document(7), "0"), member=2) == 412
    assert core.status(replace_call(document(3), "5"), member=2) == 400
    assert core.status(replace_call(document(7), "5"), member=1) == 200
    for api in core.apis:
        (response,) = core.run(lambda api=api: api.answer(READ))
        assert (response.status, response.body) == (200, document(7))
    sequences = [update.sequence for update in core.published]
    assert sequences == sorted(sequences)
    assert all(host.runner.under_way == 0 for host in core.hosts.values())


def test_one_of_several_operators_on_the_same_base_wins() -> None:
    core = Core()
    core.status(replace_call(document(5), "0"))
    responses = core.run(
        *(
            lambda api=api, label=label: api.answer(replace_call(document(8, label), "5"))
            for api, label in zip(core.apis, ("one", "two", "three"), strict=True)
        )
    )
    statuses = [response.status for response in responses]
    assert sorted(statuses) == [200, 412, 412]
    winner = ("one", "two", "three")[statuses.index(200)]
    (response,) = core.run(lambda: core.apis[0].answer(READ))
    assert response.body == document(8, winner)


def test_a_minority_acknowledges_nothing(monkeypatch) -> None:
    monkeypatch.setattr("iristrack.controlplane.operator_api.CALL_TIMEOUT_NS", 30_000_000)
    core = Core()
    core.status(replace_call(document(5), "0"))
    core.isolated = set(MEMBERS[1:])
    assert core.status(replace_call(document(8), "5")) == 503
    assert core.status(READ) == 503
    core.isolated = set()
    assert core.status(READ) == 200


def test_a_model_beyond_the_limit_is_refused_with_400(monkeypatch) -> None:
    monkeypatch.setattr("iristrack.controlplane.changes.MAX_MODELS", 2)
    core = Core()
    calls = [{"model_name": model, "revision": 2} for model in ("m", "n", "o", "m")]
    assert [core.status(version_call(call)) for call in calls] == [200, 200, 400, 200]


def test_versions_only_rise_at_the_register() -> None:
    core = Core()
    for revision in (2, 5, 3):
        assert core.status(version_call({"model_name": "m", "revision": revision})) == 200
    named = decode_value(core.published[-1].value, VersionsValue)
    assert [(v.model, v.revision) for v in named.versions] == [("m", 5)]


@pytest.mark.parametrize(
    "call",
    [
        version_call(b'{"model_name": "\\ud800", "revision": 2}'),
        version_call(b"[" * 100_000),
        replace_call(b"[" * 100_000),
        replace_call(b'{"revision": 1, "route_table": [], "services": [{"label": "\\ud800"}]}'),
        replace_call(document(1, "x" * (MAX_BODY_BYTES - 100))),
    ],
    ids=["surrogate", "deep version", "deep configuration", "surrogate label", "largest"],
)
def test_an_extreme_call_is_answered_and_so_is_the_next_one(call) -> None:
    core = Core()
    assert core.status(call) in (200, 400, 413)
    assert all(host.voting for host in core.hosts.values())
    assert core.status(version_call({"model_name": "m", "revision": 1})) == 200


# ---- long numbers


def test_the_largest_revision_is_accepted_as_a_base() -> None:
    """Guards against accepting a revision of 19 digits that is then refused as the base of all later changes."""
    longest = (1 << 63) - 1
    assert decode_call(replace_call(BODY, base=str(longest))).base == longest
    assert isinstance(decode_call(replace_call(BODY, base=str(longest + 1))), BadCall)


@pytest.mark.parametrize("revision", [1 << 63, 10**30])
def test_a_revision_too_large_for_the_registers_is_refused(revision: int) -> None:
    body = encode(sample_document() | {"revision": revision})
    (finding,) = decode_call(replace_call(body)).findings
    assert finding.place == "revision"
