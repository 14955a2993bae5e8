from __future__ import annotations

import json

import pytest

from iristrack.controlplane.operator_api import (
    BadCall,
    NameVersion,
    ReadConfiguration,
    ReplaceConfiguration,
    decode_call,
)
from tests.configuration.samples import encode, sample_document
from tests.controlplane.calls import message, replace_call, version_call


def decode_bad_call(call) -> BadCall:
    command = decode_call(call)
    assert isinstance(command, BadCall), command
    assert command.findings
    assert all(f.place and f.problem and f.remedy for f in command.findings)
    return command


def without(name: str) -> dict:
    return {key: value for key, value in sample_document().items() if key != name}


def with_route(**changes: object) -> dict:
    document = sample_document()
    document["route_table"][1] |= changes
    return document


def test_the_operators_calls_become_commands() -> None:
    body = encode(sample_document())
    command = decode_call(replace_call(body, "6"))
    assert isinstance(command, ReplaceConfiguration)
    assert (command.configuration.revision, command.body, command.base) == (7, body, 6)
    assert decode_call(message(b"GET", b"/config/read")) == ReadConfiguration()
    assert decode_call(message(b"GET", b"/config/read?x=1")) == ReadConfiguration()
    assert decode_call(version_call({"model_name": "m", "revision": 2})) == NameVersion("m", 2)


@pytest.mark.parametrize(
    ("method", "target"),
    [
        (b"GET", b"/"),
        (b"GET", b"/config"),
        (b"GET", b"/config/replace"),
        (b"PUT", b"/config/replace"),
        (b"POST", b"/config/read"),
        (b"POST", b"/config/read/"),
        (b"GET", b"/version-put"),
        (b"POST", b"/Config/Replace"),
        (b"POST", b"//config/replace"),
    ],
)
def test_an_unknown_call_is_not_found(method: bytes, target: bytes) -> None:
    assert decode_bad_call(message(method, target, b"X-Iristrack-Base-Version: 0\r\n")).status == 404


@pytest.mark.parametrize("base", ["", "-1", "1.0", "0x1", "one", "1 2", "9" * 19, "²"])
def test_a_base_that_is_not_a_revision_is_refused(base: str) -> None:
    command = decode_bad_call(replace_call(encode(sample_document()), base))
    assert command.status == 400
    assert command.findings[0].place == "X-Iristrack-Base-Version"


def test_a_missing_base_is_refused() -> None:
    assert decode_bad_call(message(b"POST", b"/config/replace", b"", encode(sample_document()))).status == 400


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"null", b"7", b'"x"', b"\xff\xfe", b"[" * 100_000, b'{"revision": NaN}']
)
def test_a_body_that_cannot_be_decoded_is_refused(body: bytes) -> None:
    assert decode_bad_call(replace_call(body)).status == 400


@pytest.mark.parametrize(
    ("document", "place"),
    [
        (without("revision"), "revision"),
        (without("route_table"), "route_table"),
        (without("services"), "services"),
        (sample_document() | {"revision": "7"}, "revision"),
        (sample_document() | {"revision": 7.5}, "revision"),
        (sample_document() | {"revision": True}, "revision"),
        (sample_document() | {"route_table": {}}, "route_table"),
        (sample_document() | {"route_table": [7]}, "route_table[0]"),
        (sample_document() | {"tenants": [{"label": "t"}]}, "tenants[0].api_keys"),
        (with_route(timeout_ms=0), "route_table[1].timeout_ms"),
        (with_route(timeout_ms=-1), "route_table[1].timeout_ms"),
        (with_route(path_prefix="pufi791"), "route_table[1].path_prefix"),
        (with_route(route_kind="odd"), "route_table[1].route_kind"),
        (with_route(target="nobody"), "route_table[1].target"),
        (with_route(target=None), "route_table[1].target"),
        (with_route(path_prefix="/lohu930/"), "route_table[1].path_prefix"),
        (with_route(weighted_targets=[{"target": "pool-b", "share": 0}]), "route_table[1].weighted_targets"),
        (
            sample_document() | {"tenants": [{"label": t, "api_keys": ["k"]} for t in ("t", "u")]},
            "tenants[1].api_keys[0]",
        ),
    ],
)
def test_an_invalid_configuration_is_refused_with_its_finding(document: dict, place: str) -> None:
    command = decode_bad_call(replace_call(encode(document)))
    assert command.status == 400
    assert place in [finding.place for finding in command.findings]


def test_all_findings_are_reported_at_once() -> None:
    document = with_route(timeout_ms=0)
    document["route_table"][0]["path_prefix"] = "x"
    document["tenants"][1]["api_keys"] = ["key-1"]
    assert len(decode_bad_call(replace_call(encode(document))).findings) == 3


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"[1, 2]",
        b"null",
        b"\xff",
        b"[" * 100_000,
        {},
        {"model_name": "m"},
        {"revision": 2},
        {"model_name": "", "revision": 2},
        {"model_name": 7, "revision": 2},
        {"model_name": None, "revision": 2},
        {"model_name": "m" * 201, "revision": 2},
        {"model_name": "m", "revision": 0},
        {"model_name": "m", "revision": -1},
        {"model_name": "m", "revision": True},
        {"model_name": "m", "revision": 2.0},
        {"model_name": "m", "revision": "2"},
        {"model_name": "m", "revision": None},
        {"model_name": "m", "revision": 1 << 62},
        {"model_name": "\ud800", "revision": 2},
        b'{"model_name": "m", "revision": Infinity}',
    ],
)
def test_an_invalid_version_call_is_refused(body) -> None:
    assert decode_bad_call(version_call(body)).status == 400


def test_the_extreme_valid_versions_are_accepted() -> None:
    for name, revision in (("m", 1), ("m" * 200, (1 << 62) - 1), ("modèle/日", 2)):
        call = version_call(json.dumps({"model_name": name, "revision": revision}).encode())
        assert decode_call(call) == NameVersion(name, revision)
