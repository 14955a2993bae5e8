"""Amendments: what is refused and where, and that amending the typed model and the document gives the same result."""

from __future__ import annotations

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.configuration.amendment import apply_amendment, parse_amendment, read_amendment
from iristrack.configuration.document import read_configuration
from iristrack.configuration.model import Configuration
from iristrack.dataplane.state import ActiveConfiguration
from tests.configuration.samples import encode, sample_document

HOSTS = ("a.example", "b.example", "A.example")
PREFIXES = ("/a/", "/a/b/", "/b/", "/")
SERVICES = ("pool-a", "pool-b", "pool-c")


def amendment(**fields: object) -> bytes:
    return json.dumps({"revision": 9} | fields).encode()


def finding_places(body: bytes) -> list[str]:
    result = read_amendment(body)
    return [finding.place for finding in result.error] if result.is_error() else []


def route(label: str, host: str = "a.example", prefix: str = "/a/", target: str = "pool-a") -> dict:
    template = sample_document()["route_table"][1]
    return {**template, "label": label, "hostname": host, "path_prefix": prefix, "target": target}


def amend(document: dict, body: bytes) -> tuple[dict | None, list[str]]:
    """Return the amended document, or None, with the places of the findings."""
    result = apply_amendment(document, read_amendment(body).ok)
    return (result.ok, []) if result.is_ok() else (None, [finding.place for finding in result.error])


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (b"{", "document"),
        (b"[]", "document"),
        (amendment(revision=True), "revision"),
        (json.dumps({"upsert": {}}).encode(), "revision"),
        (amendment(upsert=[]), "upsert"),
        (amendment(remove="route_table"), "remove"),
        (amendment(upsert={"routes": []}), "upsert.routes"),
        (amendment(remove={"limits": []}), "remove.limits"),
        (amendment(upsert={"route_table": {}}), "upsert.route_table"),
        (amendment(remove={"tenants": "north"}), "remove.tenants"),
        (amendment(limits={"idle_timeout_ms": 1}), "limits"),
        (amendment(route_table=[]), "route_table"),
        (amendment(upsert={"route_table": [route("r") | {"timeout_ms": 0}]}), "upsert.route_table[0].timeout_ms"),
        (amendment(upsert={"services": [{"label": 3}]}), "upsert.services[0].label"),
        (amendment(upsert={"services": ["pool"]}), "upsert.services[0]"),
        (amendment(upsert={"tenants": [{"label": "t"}]}), "upsert.tenants[0].api_keys"),
        (amendment(upsert={"route_table": [route("r"), route("r", prefix="/z/")]}), "upsert.route_table[1].label"),
        (amendment(remove={"route_table": [["r"]]}), "remove.route_table[0]"),
        (amendment(upsert={"route_table": [route("r")]}, remove={"route_table": ["r"]}), "remove.route_table[0]"),
        (amendment(upsert={"services": [{"label": []}]}, remove={"services": ["x"]}), "upsert.services[0].label"),
    ],
)  # fmt: skip
def test_an_invalid_amendment_is_reported_with_its_place(body: bytes, place: str) -> None:
    assert finding_places(body) == [place]


def test_items_are_replaced_in_place_added_at_the_end_and_removed() -> None:
    document = sample_document()
    before = copy.deepcopy(document)
    changed = document["route_table"][0] | {"timeout_ms": 77}
    body = amendment(
        upsert={"route_table": [route("r-new", prefix="/new/"), changed], "services": [{"label": "pool-c"}]},
        remove={"route_table": ["r-plain"]},
    )
    result, _ = amend(document, body)
    assert [row["label"] for row in result["route_table"]] == ["r-split", "r-new"]
    assert result["route_table"][0]["timeout_ms"] == 77
    assert result["revision"] == 9
    assert [row["label"] for row in result["services"]][-1] == "pool-c"
    assert document == before
    assert read_configuration(encode(result)).is_ok()


def test_removing_an_absent_item_changes_nothing_else() -> None:
    document = sample_document()
    result, _ = amend(document, amendment(remove={"route_table": ["no such"], "tenants": ["nobody"]}))
    assert result == document | {"revision": 9}


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (amendment(remove={"services": ["pool-b"]}), "route_table[0].weighted_targets[1].target"),
        (amendment(upsert={"route_table": [route("r", target="none")]}), "route_table[2].target"),
        (
            amendment(upsert={"route_table": [route("r", "FICU95.example", "/pufi791/")]}),
            "route_table[2].path_prefix",
        ),
    ],
)
def test_inconsistencies_of_the_resulting_configuration_are_reported(body: bytes, place: str) -> None:
    _, found = amend(sample_document(), body)
    assert place in found


def test_a_key_of_another_tenant_is_reported() -> None:
    document = sample_document()
    key = document["tenants"][0]["api_keys"][0]
    _, found = amend(document, amendment(upsert={"tenants": [{"label": "new", "api_keys": ["k", key]}]}))
    assert found == [f"tenants[{len(document['tenants'])}].api_keys[1]"]


def test_a_key_can_move_to_another_tenant_in_one_amendment() -> None:
    document = sample_document()
    first = document["tenants"][0]
    moved = {"label": "new", "api_keys": first["api_keys"]}
    result, _ = amend(document, amendment(upsert={"tenants": [moved]}, remove={"tenants": [first["label"]]}))
    assert moved in result["tenants"]


def test_a_label_shared_by_several_items_cannot_be_amended() -> None:
    document = sample_document()
    document["route_table"][1]["label"] = "r-split"
    assert amend(document, amendment(remove={"route_table": ["r-split"]}))[1] == ["route_table"]


# ---- the typed configuration equals the amended document

ROUTES = st.dictionaries(
    st.tuples(st.sampled_from(("a.example", "b.example")), st.sampled_from(PREFIXES)),
    st.tuples(st.sampled_from(("r1", "r2", "r3", "r4")), st.sampled_from(SERVICES)),
    max_size=4,
)
KEYS = st.dictionaries(st.sampled_from(("k1", "k2", "k3", "k4")), st.sampled_from(("t1", "t2", "t3")))
LABELS = st.sets(st.sampled_from(("r1", "r2", "r3", "r4")))


def route_rows(drawn: dict) -> list[dict]:
    """Return one route row for each label; of routes with the same label the last."""
    by_label = {
        label: route(label, host, prefix, target) for (host, prefix), (label, target) in drawn.items()
    }
    return list(by_label.values())


def tenant_rows(drawn: dict) -> list[dict]:
    """Return one tenant row for each label, with the keys drawn for it."""
    labels = sorted(set(drawn.values()))
    return [
        {"label": label, "api_keys": sorted(key for key, tenant in drawn.items() if tenant == label)}
        for label in labels
    ]


def lookup_results(active: ActiveConfiguration) -> list[object]:
    routes = [
        active.routes.match(host, path)
        for host in HOSTS
        for path in ("/a/x", "/a/b/x", "/b/x", "/x", "/a/b/")
    ]
    return [*routes, *(active.tenants.holder(key) for key in ("k1", "k2", "k3", "k4"))]


@given(
    current=ROUTES,
    steps=st.lists(st.tuples(ROUTES, LABELS, KEYS, st.sets(st.sampled_from(("t1", "t2", "t3"))))),
    keys=st.none() | KEYS,
)
def test_amended_tables_equal_those_of_the_complete_configuration(current, steps, keys) -> None:
    document = sample_document() | {
        "route_table": route_rows(current),
        "services": [{"label": label} for label in SERVICES],
    }
    document["tenants"] = tenant_rows(keys or {})
    if keys is None:
        del document["tenants"]
    active = ActiveConfiguration(read_configuration(encode(document)).ok)
    for revision, (upsert, removed, new_keys, removed_tenants) in enumerate(steps, 10):
        upserted_routes = route_rows(upsert)
        upserted_tenants = tenant_rows(new_keys)
        labels_to_remove = removed - {row["label"] for row in upserted_routes}
        tenants_to_remove = removed_tenants - {row["label"] for row in upserted_tenants}
        body = json.dumps(
            {
                "revision": revision,
                "upsert": {"route_table": upserted_routes, "tenants": upserted_tenants},
                "remove": {"route_table": sorted(labels_to_remove), "tenants": sorted(tenants_to_remove)},
            }
        ).encode()
        result, found = amend(document, body)
        if found:
            assert result is None
            continue
        document = result
        active = active.amended(parse_amendment(body))
        expected: Configuration = read_configuration(encode(document)).ok
        assert active.configuration.routes == expected.routes
        assert active.configuration.services == expected.services
        assert active.configuration.tenants == expected.tenants
        assert active.configuration.revision == expected.revision == revision
        assert active.tenants.required == (expected.tenants is not None)
        assert lookup_results(active) == lookup_results(ActiveConfiguration(expected))
