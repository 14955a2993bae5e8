"""Changes of the configuration: refused in full or in force everywhere, one of two on one base, never back."""

from __future__ import annotations

import copy
import json
import threading
from collections.abc import Callable, Iterator

import pytest

from iristrack.standin.client import ask_once
from iristrack.standin.documents import Document, route, tenant
from iristrack.standin.operator import Answer, Operator, amend_call, call_once, replace_call
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from tests.system.conftest import close
from tests.system.scene import (
    AMPLE_RETRIES,
    CHAT,
    HOST,
    KEY,
    MODEL,
    SEARCH,
    TENANTS,
    plain,
    start_usual,
    usual_configuration,
)

APPLY_S = 2.0  # `config_apply_ms`
RACES = 8

Mutation = Callable[[Document], None]


class Editor:
    """Changes the configuration of a running system, always on top of the current one."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.operator = system.operator
        self.document = usual_configuration(1)

    @property
    def revision(self) -> int:
        return self.document["revision"]

    def proposal(self, *mutations: Mutation) -> Document:
        """The current configuration with the next revision (they rise in uneven steps) and some changes."""
        document = copy.deepcopy(self.document)
        document["revision"] += 3
        for mutate in mutations:
            mutate(document)
        return document

    def commit(self, document: Document) -> None:
        assert self.operator.replace(document, self.revision).status == 200
        self.document = document

    def statuses(self, path: str, **more: object) -> list[int]:
        """What each edge machine answers."""
        return [ask_once(edge.front, plain(path, **more)).status for edge in self.system.edges]

    def wait_in_force(self, path: str) -> None:
        """Until every edge machine serves a path that the newest configuration has added."""
        wait_until(lambda: set(self.statuses(path)) == {200}, f"{path} at every edge", APPLY_S)


def adding(path: str, label: str = CHAT) -> Mutation:
    return lambda document: document["route_table"].append(route(HOST, path, label))


@pytest.fixture(scope="module")
def editor(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Editor]:
    system = System(tmp_path_factory.mktemp("configuration"), rule_bounds=AMPLE_RETRIES)
    try:
        start_usual(system)
        yield Editor(system)
    finally:
        close(system)


# ---- invalid ones


def change_route(**fields: object) -> Mutation:
    return lambda document: document["route_table"][0].update(fields)


def split_to_nothing(document: Document) -> None:
    row = document["route_table"][0]
    del row["target"]
    row["weighted_targets"] = [{"target": CHAT, "share": 0}, {"target": SEARCH, "share": 0}]


def repeat_route(document: Document) -> None:
    document["route_table"].append(document["route_table"][0] | {"label": "again"})


def drop(name: str) -> Mutation:
    return lambda document: document.pop(name) and None


INVALID: dict[str, tuple[Mutation, str]] = {
    "an unknown service": (change_route(target="nobody"), "route_table[0].target"),
    "two routes of one host and prefix": (repeat_route, "path_prefix"),
    "weights that sum to 0": (split_to_nothing, "route_table[0].weighted_targets"),
    "a timeout of 0": (change_route(timeout_ms=0), "route_table[0].timeout_ms"),
    "a prefix without its slash": (change_route(path_prefix="/plain"), "route_table[0].path_prefix"),
    "an unknown kind": (change_route(route_kind="careless"), "route_table[0].route_kind"),
    "two tenants with one key": (
        lambda document: document["tenants"].append(tenant("thief", KEY)),
        "tenants[2].api_keys[0]",
    ),
    "no routes": (drop("route_table"), "route_table"),
    "no services": (drop("services"), "services"),
    "no revision": (drop("revision"), "revision"),
    "routes that are no list": (lambda document: document.update(route_table={}), "route_table"),
}


def assert_never_in_force(editor: Editor, trap: str) -> None:
    """A later change comes into force everywhere, and the trap of the refused one is still unknown."""
    path = trap.replace("trap", "sound")
    editor.commit(editor.proposal(adding(path)))
    editor.wait_in_force(path)
    assert set(editor.statuses(trap)) == {404}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_configuration_is_refused_with_findings(editor: Editor, name: str) -> None:
    mutate, place = INVALID[name]
    trap = f"/trap-{list(INVALID).index(name)}/"
    document = editor.proposal(adding(trap), mutate)
    for core in editor.system.cores:
        answer = call_once(core.control, replace_call(document, editor.revision))
        assert answer.status == 400
        findings = answer.json["findings"]
        assert any(place in finding["place"] for finding in findings), findings
        assert all(finding["message"] and finding["remedy"] for finding in findings)
    assert editor.operator.read().json == editor.document
    assert_never_in_force(editor, trap)


@pytest.mark.parametrize(
    "cut", [lambda body: body[:-20], lambda body: b"", lambda body: b"[]", lambda body: body + b"}"]
)
def test_a_configuration_that_cannot_be_read_in_full_is_refused(
    editor: Editor, cut: Callable[[bytes], bytes]
) -> None:
    body = cut(json.dumps(editor.proposal(adding("/trap-cut/"))).encode())
    answer = call_once(editor.system.cores[0].control, replace_call(body, editor.revision))
    assert answer.status == 400
    assert answer.json["findings"]
    assert editor.operator.read().json == editor.document


def test_all_findings_come_in_one_answer(editor: Editor) -> None:
    def spoil(document: Document) -> None:
        change_route(timeout_ms=0)(document)
        document["route_table"][1]["target"] = "nobody"
        document["tenants"].append(tenant("thief", KEY))

    answer = call_once(editor.system.cores[1].control, replace_call(editor.proposal(spoil), editor.revision))
    places = {finding["place"] for finding in answer.json["findings"]}
    assert {"route_table[0].timeout_ms", "route_table[1].target", "tenants[2].api_keys[0]"} <= places


def test_a_revision_that_is_not_higher_is_refused(editor: Editor) -> None:
    for revision in (editor.revision, editor.revision - 1, 0, -5):
        document = editor.proposal(adding("/trap-low/")) | {"revision": revision}
        assert 400 <= editor.operator.replace(document, editor.revision).status < 500
    assert editor.operator.read().json == editor.document
    assert_never_in_force(editor, "/trap-low/")


@pytest.mark.parametrize("base", ["", "x", "-1", "1.0"])
def test_a_base_that_is_no_number_is_refused(editor: Editor, base: str) -> None:
    call = replace_call(editor.proposal(), editor.revision)
    headers = (("X-Iristrack-Base-Version", base),)
    answer = call_once(editor.system.cores[0].control, type(call)(call.method, call.path, call.body, headers))
    assert answer.status == 400


# ---- races and repeats


def test_a_stale_base_gets_412(editor: Editor) -> None:
    stale = editor.revision
    editor.commit(editor.proposal(adding("/newer/")))
    for base in (stale, 0, editor.revision + 1):
        assert editor.operator.replace(editor.proposal(adding("/trap-stale/")), base).status == 412
    assert_never_in_force(editor, "/trap-stale/")


def test_the_same_content_again_is_acknowledged_by_every_member(editor: Editor) -> None:
    base = editor.revision
    document = editor.proposal(adding("/known-again/"))
    editor.commit(document)
    for core in editor.system.cores:
        assert editor.operator.replace(document, base, first=core.control).status == 200
    editor.commit(editor.proposal(adding("/after-repeated/")))
    assert editor.operator.replace(document, base).status == 200  # taken once, though no longer current
    assert editor.operator.read().json == editor.document


def race(editor: Editor, documents: list[Document]) -> list[Answer]:
    """Send all of them at once on the current base, each to another member, until each has a clear answer."""
    barrier = threading.Barrier(len(documents))
    answers: list[Answer | None] = [None] * len(documents)
    addresses = [core.control for core in editor.system.cores]

    def send(number: int) -> None:
        operator = Operator(addresses)
        barrier.wait()
        answers[number] = operator.replace(documents[number], editor.revision, first=addresses[number])

    threads = [threading.Thread(target=send, args=(number,)) for number in range(len(documents))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def test_one_of_two_changes_on_one_base_prevails(editor: Editor) -> None:
    for number in range(RACES):
        paths = [f"/race-{number}-a/", f"/race-{number}-b/"]
        documents = [editor.proposal(adding(path)) for path in paths]
        documents[1]["revision"] += number % 3  # the same number, or a higher one
        answers = race(editor, documents)
        assert sorted(answer.status for answer in answers) in ([200, 400], [200, 412])
        winner = [answer.status for answer in answers].index(200)
        editor.document = documents[winner]
        assert editor.operator.read().json == documents[winner]
        editor.wait_in_force(paths[winner])
        assert set(editor.statuses(paths[1 - winner])) == {404}


def test_the_same_change_from_two_operators_is_acknowledged_to_both(editor: Editor) -> None:
    document = editor.proposal(adding("/twins/"))
    assert [answer.status for answer in race(editor, [document, document])] == [200, 200]
    editor.document = document
    assert editor.operator.read().json == document


# ---- in force


def test_a_route_is_added_moved_and_removed_at_every_edge(editor: Editor) -> None:
    ledger = editor.system.ledger
    editor.commit(editor.proposal(adding("/moving/")))
    editor.wait_in_force("/moving/")

    def services() -> set[str]:
        begun = len(ledger.arrivals())
        assert set(editor.statuses("/moving/")) == {200}
        return {arrival.service for arrival in ledger.arrivals()[begun:]}

    assert services() == {CHAT}
    editor.commit(editor.proposal(lambda document: document["route_table"][-1].update(target=SEARCH)))
    wait_until(lambda: services() == {SEARCH}, "the new service at every edge", APPLY_S)
    assert services() == {SEARCH}
    editor.commit(editor.proposal(lambda document: document["route_table"].pop() and None))
    wait_until(lambda: set(editor.statuses("/moving/")) == {404}, "the end of the route", APPLY_S)
    assert set(editor.statuses("/moving/")) == {404}


def test_a_split_route_reaches_both_services(editor: Editor) -> None:
    def split(document: Document) -> None:
        adding("/split/")(document)
        row = document["route_table"][-1]
        del row["target"]
        row["weighted_targets"] = [{"target": CHAT, "share": 50}, {"target": SEARCH, "share": 50}]

    editor.commit(editor.proposal(split))
    editor.wait_in_force("/split/")
    begun = len(editor.system.ledger.arrivals())
    for _ in range(30):
        assert set(editor.statuses("/split/")) == {200}
    seen = [arrival.service for arrival in editor.system.ledger.arrivals()[begun:]]
    assert 10 <= seen.count(CHAT) <= 50


def test_a_dropped_key_is_refused_everywhere_and_stays_so(editor: Editor) -> None:
    key = "key-to-be-dropped"
    editor.commit(editor.proposal(lambda document: document.update(tenants=[*TENANTS, tenant("east", key)])))
    wait_until(lambda: set(editor.statuses("/plain/x", key=key)) == {200}, "the key at every edge", APPLY_S)
    editor.commit(editor.proposal(lambda document: document.update(tenants=TENANTS)))
    wait_until(lambda: set(editor.statuses("/plain/x", key=key)) == {401}, "401 at every edge", APPLY_S)
    for _ in range(10):
        assert set(editor.statuses("/plain/x", key=key)) == {401}
    assert set(editor.statuses("/plain/x")) == {200}


def test_many_changes_come_into_force_in_their_order(editor: Editor) -> None:
    paths = [f"/step-{number}/" for number in range(12)]
    for path in paths:
        editor.commit(editor.proposal(adding(path)))
    editor.wait_in_force(paths[-1])
    for path in paths:
        assert set(editor.statuses(path)) == {200}


def test_an_edge_that_starts_later_has_the_newest_configuration(editor: Editor) -> None:
    editor.commit(editor.proposal(adding("/before-it-started/")))
    late = editor.system.new_edge()
    late.change_settings(bootstrap=False)
    late.start()
    editor.system.wait_ready([late])
    assert ask_once(late.front, plain("/before-it-started/")).status == 200


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("GET", "/nothing", None),
        ("POST", "/config/read", b""),
        ("GET", "/config/replace", None),
        ("POST", "/version-put", b"{"),
        ("POST", "/version-put", b"[]"),
        ("POST", "/version-put", json.dumps({"model_name": MODEL}).encode()),
        ("POST", "/version-put", json.dumps({"model_name": MODEL, "revision": 0}).encode()),
        ("POST", "/version-put", json.dumps({"model_name": MODEL, "revision": "2"}).encode()),
        ("POST", "/version-put", json.dumps({"model_name": 1, "revision": 2}).encode()),
    ],
)
def test_a_broken_call_gets_a_4xx_with_findings(
    editor: Editor, method: str, path: str, body: bytes | None
) -> None:
    call = type(replace_call(b"", 0))(method, path, body)
    answer = call_once(editor.system.cores[0].control, call)
    assert 400 <= answer.status < 500
    assert answer.json["findings"]


# ---- amendments


def amend(editor: Editor, *paths: str, remove: tuple[str, ...] = ()) -> Document:
    """An amendment on top of the current configuration that adds routes and removes others."""
    routes = [route(HOST, path, CHAT) | {"label": path} for path in paths]
    document = {"revision": editor.revision + 3}
    return document | {"upsert": {"route_table": routes}, "remove": {"route_table": list(remove)}}


def test_an_amendment_comes_into_force_and_is_read_back_as_a_whole(editor: Editor) -> None:
    editor.commit(editor.proposal(adding("/stands/")))
    first = amend(editor, "/amended-a/", "/amended-b/")
    assert editor.operator.amend(first, editor.revision).status == 200
    editor.wait_in_force("/amended-b/x")
    assert set(editor.statuses("/stands/x")) == {200}
    whole = editor.operator.read().json
    labels = [row["label"] for row in editor.document["route_table"]]
    assert [row["label"] for row in whole["route_table"]] == [*labels, "/amended-a/", "/amended-b/"]
    assert whole == editor.document | {"revision": first["revision"], "route_table": whole["route_table"]}
    editor.document = whole
    second = amend(editor, "/amended-c/", remove=("/amended-a/",))
    assert editor.operator.amend(second, editor.revision).status == 200
    editor.wait_in_force("/amended-c/x")
    assert set(editor.statuses("/amended-a/x")) == {404}
    editor.document = editor.operator.read().json


def test_an_amendment_is_known_again_at_every_machine_and_refused_on_an_old_base(editor: Editor) -> None:
    base = editor.revision
    document = amend(editor, "/amended-again/")
    assert editor.operator.amend(document, base).status == 200
    for core in editor.system.cores:
        assert call_once(core.control, amend_call(document, base)).status == 200
        assert call_once(core.control, amend_call(document | {"revision": base + 9}, base)).status == 412
    editor.document = editor.operator.read().json


def test_an_amendment_that_would_make_an_invalid_configuration_is_refused(editor: Editor) -> None:
    base = editor.revision
    removal = {"revision": base + 3, "remove": {"services": [CHAT]}}
    for core in editor.system.cores:
        answer = call_once(core.control, amend_call(removal, base))
        assert answer.status == 400
        assert "route_table[0].target" in [finding["place"] for finding in answer.json["findings"]]
    assert editor.operator.read().json["revision"] == base


def test_of_an_amendment_and_a_replacement_on_one_base_one_is_taken(editor: Editor) -> None:
    for race in range(RACES):
        base = editor.revision
        amendment = amend(editor, f"/race-amended-{race}/")
        whole = editor.proposal(adding(f"/race-whole-{race}/"))
        assert whole["revision"] == amendment["revision"]
        calls = [amend_call(amendment, base), replace_call(whole, base)]
        statuses: list[int] = [0, 0]

        def send(number: int, calls: list = calls, statuses: list[int] = statuses) -> None:
            first = editor.system.cores[number].control
            statuses[number] = (
                Operator([c.control for c in editor.system.cores]).call(calls[number], first).status
            )

        threads = [threading.Thread(target=send, args=(number,)) for number in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(statuses) == [200, 412]
        editor.document = editor.operator.read().json
        taken = f"/race-amended-{race}/x" if statuses[0] == 200 else f"/race-whole-{race}/x"
        lost = f"/race-whole-{race}/x" if statuses[0] == 200 else f"/race-amended-{race}/x"
        editor.wait_in_force(taken)
        assert set(editor.statuses(lost)) == {404}
