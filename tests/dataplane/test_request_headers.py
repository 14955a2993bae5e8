"""Requests to servers: the client's request unaltered, plus the headers that the system adds or removes."""

from __future__ import annotations

import pytest

from iristrack.http1 import messages as http
from iristrack.placement.choice import PREFILL_CHUNK_TOKENS
from iristrack.placement.engines import cache_salt
from iristrack.prefix_index.kv_events import KeptPart, ListAnswer
from iristrack.runtime.scheduler import clock
from tests.dataplane.harness import (
    MODEL,
    NOT_EXECUTED,
    SEAL_LINE,
    Harness,
    ServerExchange,
    client_request,
    document,
    yield_turn,
)

NS_PER_MS = 1_000_000
RESPONSE = http.response(200, b"sound", SEAL_LINE)
REJECTION = http.response(503, b"full", NOT_EXECUTED)
STORE = "172.20.0.2:8165"
PROMPT = b"X-Iristrack-Model: daka510000\r\nX-Iristrack-Token-Count: 3000,90\r\n"
PARTS = b"X-Iristrack-Prompt-Prefix: aa:1500,bb:1000,cc:500\r\n"
TENANTS = [
    {"label": "north", "api_keys": ["key-n", "key-o"], "priority": 1},
    {"label": "south", "api_keys": ["key-s"], "isolated": True},
]


def key_line(key: str) -> bytes:
    return b"Authorization: Bearer %b\r\n" % key.encode()


def salt(revision: int, isolated_tenant: str | None = None) -> bytes:
    return cache_salt(MODEL, revision, isolated_tenant).encode()


def add_kept_parts(harness: Harness, holder: str, salt: str, *parts: tuple[str, int]) -> None:
    kept = tuple(KeptPart(salt, part_id, tokens, MODEL) for part_id, tokens in parts)
    harness.plane.index.apply_list(holder, ListAnswer(1, 1, kept), 1)


def test_method_path_body_and_other_headers_are_unaltered(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    lines = b"X-Odd:  a  b \r\nX-odd: twice\r\nAccept: */*\r\n"
    request = http.request(
        b"PATCH", b"/unsafe/a%20b?q=1&q=%2F", b"Host: H.example:80\r\nX-Iristrack-Attempt-Id: a1\r\n" + lines,
        b"\x00body\xff",
    )  # fmt: skip
    assert harness.ask(request).status == 200
    (message,) = server.requests
    assert (message.head.method, message.head.target) == (b"PATCH", b"/unsafe/a%20b?q=1&q=%2F")
    assert message.body == b"\x00body\xff"
    assert lines in message.head.raw
    assert message.head.fields[b"host"] == b"H.example:80"
    assert message.head.fields[b"x-iristrack-attempt-id"] == b"a1"


def test_a_chunked_body_arrives_complete(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    head, _, _ = client_request("unsafe").replace(b"GET", b"POST").partition(b"Content-Length")
    body = http.chunk(b"one ") + http.chunk(b"two") + http.LAST_CHUNK
    request = head.removesuffix(b"\r\n") + b"Transfer-Encoding: chunked\r\n\r\n" + body
    assert harness.ask(request).status == 200
    assert server.requests[0].body == b"one two"


def test_hop_by_hop_headers_are_not_forwarded(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    lines = b"Connection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nTE: trailers\r\n"
    harness.ask(client_request("safe", lines=lines))
    assert {b"connection", b"x-hop", b"keep-alive", b"te"}.isdisjoint(server.requests[0].head.fields)


def test_system_headers_replace_those_of_the_client(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    forged = (
        b"X-Iristrack-Tenant: forged\r\nX-Iristrack-Expect-Instance: i-9\r\nExpect-Version: 9\r\nCache-Salt: x\r\n"
        b"Kv-Fetch: 9.9.9.9:9\r\nKv-Save: 9.9.9.9:9\r\nPriority: 0\r\nLast-Event-Id: nine\r\n"
    )
    assert harness.ask(client_request("safe", lines=forged)).status == 200
    fields = server.requests[0].head.fields
    hidden = (
        b"x-iristrack-tenant",
        b"expect-version",
        b"cache-salt",
        b"kv-fetch",
        b"kv-save",
        b"last-event-id",
    )
    assert not any(name in fields for name in hidden)
    assert fields[b"x-iristrack-expect-instance"] == b"i-0"
    assert fields[b"priority"] == b"4"
    assert server.requests[0].head.repeated == frozenset()


# ---- tenants


def test_the_key_is_removed_and_its_tenant_set(harness: Harness) -> None:
    harness.configure(document(tenants=TENANTS))
    server = harness.serve(RESPONSE)
    for key, tenant, priority in (("key-o", b"north", b"1"), ("key-s", b"south", b"4")):
        lines = key_line(key) + b"X-Iristrack-Tenant: other\r\n"
        assert harness.ask(client_request("safe", lines=lines)).status == 200
        assert b"authorization" not in server.requests[-1].head.fields
        assert key.encode() not in server.requests[-1].head.raw
        assert server.header(b"x-iristrack-tenant") == tenant
        assert server.header(b"priority") == priority


@pytest.mark.parametrize(
    "lines",
    [
        b"",
        key_line("unknown"),
        b"Authorization: Basic key-n\r\n",
        b"Authorization: Bearer\r\n",
        key_line("key-n") * 2,
    ],
)
def test_without_a_known_key_no_server_gets_the_request(harness: Harness, lines: bytes) -> None:
    harness.configure(document(tenants=TENANTS))
    server = harness.serve(RESPONSE)
    assert harness.ask(client_request("safe", lines=lines)).status == (
        400 if lines.count(b"key-n") == 2 else 401
    )
    assert server.requests == []


@pytest.mark.parametrize("spelling", ["utf-8", "latin-1"])
def test_a_key_may_contain_non_ascii_letters(harness: Harness, spelling: str) -> None:
    harness.configure(document(tenants=[{"label": "north", "api_keys": ["kl\u00fc\u00e7"]}]))
    server = harness.serve(RESPONSE)
    line = b"Authorization: Bearer " + "kl\u00fc\u00e7".encode(spelling) + b"\r\n"
    assert harness.ask(client_request("safe", lines=line)).status == 200
    assert server.header(b"x-iristrack-tenant") == b"north"


@pytest.mark.parametrize(
    ("lines", "tenant"), [(b"", None), (key_line("x"), None), (key_line("key-n"), b"north")]
)
def test_a_public_route_needs_no_key_and_forwards_none(
    harness: Harness, lines: bytes, tenant: bytes | None
) -> None:
    harness.configure(document(tenants=TENANTS))
    server = harness.serve(RESPONSE)
    assert harness.ask(client_request("public", lines=lines)).status == 200
    assert server.header(b"authorization") is None
    assert server.header(b"x-iristrack-tenant") == tenant


def test_without_tenants_authorization_is_forwarded(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    harness.ask(client_request("safe", lines=key_line("key-n") + b"X-Iristrack-Tenant: forged\r\n"))
    assert server.header(b"authorization") == b"Bearer key-n"
    assert server.header(b"x-iristrack-tenant") is None


def test_a_removed_key_is_rejected_under_the_new_configuration(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    harness.configure(document(tenants=TENANTS))
    assert harness.ask(client_request("safe", lines=key_line("key-o"))).status == 200
    harness.configure(document(tenants=[TENANTS[0] | {"api_keys": ["key-n"]}, TENANTS[1]]))
    assert harness.ask(client_request("safe", lines=key_line("key-o"))).status == 401
    assert len(server.requests) == 1


def test_tenants_with_non_ascii_labels_are_distinguished(harness: Harness) -> None:
    labels = ["日", "月", "?"]
    harness.configure(
        document(
            tenants=[
                {"label": label, "api_keys": [f"key-{number}"], "isolated": True}
                for number, label in enumerate(labels)
            ]
        )
    )
    server = harness.serve(RESPONSE)
    for number in range(len(labels)):
        harness.ask(client_request("safe", lines=PROMPT + PARTS + key_line(f"key-{number}")))
    fields = [message.head.fields for message in server.requests]
    for name in (b"x-iristrack-tenant", b"cache-salt"):
        assert len({found[name] for found in fields}) == len(labels)


def test_a_label_cannot_inject_a_header_line(harness: Harness) -> None:
    label = "a\r\nX-Forged: b"
    harness.configure(document(tenants=[{"label": label, "api_keys": ["key"], "isolated": True}]))
    server = harness.serve(RESPONSE)
    harness.ask(client_request("safe", lines=PROMPT + PARTS + key_line("key")))
    assert all(b"x-forged" not in message.head.fields for message in server.requests)


# ---- time, instance, priority


def test_the_time_left_shrinks_with_each_attempt(harness: Harness) -> None:
    def respond_late(exchange: ServerExchange) -> None:
        answered_at = clock() + 2 * NS_PER_MS  # the header counts whole milliseconds
        while clock() < answered_at:
            yield_turn(exchange.server.scheduler)
        exchange.send(REJECTION)

    first, second = harness.serve(respond_late), harness.serve(RESPONSE)
    harness.ask(client_request("unsafe"))
    times_left = [int(server.header(b"x-iristrack-time-left-ms")) for server in (first, second)]
    assert 0 < times_left[1] < times_left[0] <= 9000


def test_the_routes_timeout_bounds_the_time_left(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    harness.ask(client_request("short"))
    assert 0 < int(server.header(b"x-iristrack-time-left-ms")) <= 250


def test_each_attempt_names_the_expected_instance(harness: Harness) -> None:
    servers = [harness.serve(REJECTION), harness.serve(RESPONSE)]
    harness.ask(client_request("unsafe"))
    assert [server.header(b"x-iristrack-expect-instance") for server in servers] == [b"i-0", b"i-1"]


@pytest.mark.parametrize(("priority", "expected"), [(0, b"0"), (9, b"9"), (40, b"9"), (-3, b"0")])
def test_the_priority_is_clamped(harness: Harness, priority: int, expected: bytes) -> None:
    harness.configure(document(tenants=[TENANTS[0] | {"priority": priority}]))
    server = harness.serve(RESPONSE)
    harness.ask(client_request("safe", lines=key_line("key-n")))
    assert server.header(b"priority") == expected


# ---- cached prompts


def test_salt_and_version_match_the_chosen_server(harness: Harness) -> None:
    first, second = harness.serve(REJECTION, revision=3), harness.serve(RESPONSE, revision=4)
    harness.ask(client_request("safe", lines=PROMPT + PARTS))
    assert (first.header(b"expect-version"), first.header(b"cache-salt")) == (b"3", salt(3))
    assert (second.header(b"expect-version"), second.header(b"cache-salt")) == (b"4", salt(4))


def test_an_isolated_tenant_has_a_salt_of_its_own(harness: Harness) -> None:
    harness.configure(document(tenants=TENANTS))
    server = harness.serve(RESPONSE)
    salts = []
    for key in ("key-n", "key-s"):
        harness.ask(client_request("safe", lines=PROMPT + PARTS + key_line(key)))
        salts.append(server.header(b"cache-salt"))
    assert salts == [salt(1), salt(1, "south")]


def test_a_prompt_without_a_model_gets_no_cache_headers(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    harness.ask(client_request("safe", lines=PARTS))
    assert {b"cache-salt", b"expect-version", b"kv-fetch", b"kv-save"}.isdisjoint(
        server.requests[0].head.fields
    )


def test_parts_are_fetched_from_the_holder_of_the_most_tokens(harness: Harness) -> None:
    server, other = harness.serve(RESPONSE), harness.serve(RESPONSE)
    add_kept_parts(harness, other.address, cache_salt(MODEL, 1, None), ("aa", 1500), ("bb", 1000))
    harness.listed_server("i-1").inflight = 60  # too loaded to be chosen
    harness.ask(client_request("safe", lines=PROMPT + PARTS))
    assert server.header(b"kv-fetch") == other.address.encode()
    assert server.header(b"kv-save") == STORE.encode()


def test_parts_are_not_fetched_if_the_server_holds_as_much(harness: Harness) -> None:
    server, other = harness.serve(RESPONSE), harness.serve(RESPONSE)
    add_kept_parts(harness, other.address, cache_salt(MODEL, 1, None), ("aa", 1500), ("bb", 30))
    add_kept_parts(harness, server.address, cache_salt(MODEL, 1, None), ("aa", 1500))
    harness.ask(client_request("safe", lines=PROMPT + PARTS))
    assert server.header(b"kv-fetch") is None


@pytest.mark.parametrize("maker", [(MODEL, 2, None), (MODEL, 1, "south"), ("other", 1, None)])
def test_parts_of_other_weights_or_isolated_tenants_are_not_fetched(harness: Harness, maker: tuple) -> None:
    server, other = harness.serve(RESPONSE), harness.serve(RESPONSE)
    add_kept_parts(harness, other.address, cache_salt(*maker), ("aa", 1500), ("bb", 1000))
    add_kept_parts(harness, STORE, cache_salt(*maker), ("aa", 1500), ("bb", 1000))
    harness.ask(client_request("safe", lines=PROMPT + PARTS))
    assert server.header(b"kv-fetch") is None


def test_parts_in_the_store_are_fetched_there_and_not_saved_again(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    add_kept_parts(harness, STORE, cache_salt(MODEL, 1, None), ("aa", 1500), ("bb", 1000))
    harness.ask(client_request("safe", lines=PROMPT + PARTS))
    assert server.header(b"kv-fetch") == STORE.encode()
    assert server.header(b"kv-save") is None


def test_an_unshared_single_part_prompt_is_neither_fetched_nor_saved(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    harness.ask(client_request("safe", lines=PROMPT + b"X-Iristrack-Prompt-Prefix: aa:1500\r\n"))
    assert server.header(b"cache-salt") == salt(1)
    assert server.header(b"kv-fetch") is None
    assert server.header(b"kv-save") is None


# ---- weights


def test_servers_without_the_model_get_no_requests(harness: Harness) -> None:
    server = harness.serve(RESPONSE)
    assert harness.ask(client_request("safe", lines=b"X-Iristrack-Model: other\r\n")).status == 503
    assert server.requests == []


def test_a_version_reported_by_a_response_applies_at_once(harness: Harness) -> None:
    server = harness.serve(http.response(200, b"x", SEAL_LINE + b"Versions: 6\r\n"))
    for _ in range(2):
        harness.ask(client_request("safe", lines=PROMPT + PARTS))
    assert [server.header(b"expect-version", number) for number in (0, 1)] == [b"1", b"6"]


def test_a_version_mismatch_reports_the_servers_revision(harness: Harness) -> None:
    harness.serve(http.response(421, b"", b"Versions: 5\r\n"))
    harness.serve(RESPONSE)
    assert harness.ask(client_request("unsafe", lines=PROMPT)).status == 200
    assert harness.listed_server("i-0").revisions == {MODEL: 5}


def test_a_long_prompt_counts_in_chunks_until_the_first_token(harness: Harness) -> None:
    seen = []

    def answer(exchange: ServerExchange) -> None:
        server = harness.listed_server("i-0")
        seen.append((server.inflight, server.pending_chunks))
        exchange.send(RESPONSE)

    harness.serve(answer)
    harness.ask(client_request("safe", lines=PROMPT))
    assert seen == [(1, -(-3000 // PREFILL_CHUNK_TOKENS))]


@pytest.mark.parametrize("time_left", [b"4243.99999999907", b"1.0000000000000000000001", b"9000.0"])
def test_a_fractional_time_left_is_accepted(harness: Harness, time_left: bytes) -> None:
    harness.serve(RESPONSE)
    request = client_request("safe").replace(
        b"X-Iristrack-Time-Left-Ms: 9000", b"X-Iristrack-Time-Left-Ms: " + time_left
    )
    assert harness.ask(request).status in (200, 503, 504)  # depends on the time left, but is never 400


@pytest.mark.parametrize(
    ("tenant", "expected"),
    [("North Hall", b"North Hall"), (" North", b"%20North"), ("50% off", b"50%25 off"), ("a\tb", b"a%09b")],
)
def test_a_tenant_label_keeps_its_inner_spaces(harness: Harness, tenant: str, expected: bytes) -> None:
    harness.configure(document(tenants=[{"label": tenant, "api_keys": ["key-n"]}]))
    server = harness.serve(RESPONSE)
    harness.ask(client_request("safe", lines=key_line("key-n")))
    assert server.header(b"x-iristrack-tenant") == expected
