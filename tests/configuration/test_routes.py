"""Look-up of routes and tenants, compared with a linear search."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from iristrack.configuration.document import read_configuration
from iristrack.configuration.model import Configuration, Route
from iristrack.configuration.routes import RouteTable
from iristrack.configuration.tenants import TenantTable
from tests.configuration.samples import encode, sample_document

HOSTS = ("a.example", "b.example", "A.EXAMPLE.org")
SEGMENTS = st.sampled_from(["", "a", "b", "ab", "c%20d"])
PREFIXES = st.lists(SEGMENTS, max_size=4).map(lambda parts: "/" + "".join(f"{part}/" for part in parts))
PATHS = st.lists(SEGMENTS, max_size=6).map(lambda parts: "/" + "/".join(parts))
ROWS = st.lists(
    st.tuples(st.sampled_from(HOSTS), PREFIXES),
    max_size=12,
    unique_by=lambda row: (row[0].lower(), row[1]),
)


def configuration_of(rows: list[tuple[str, str]]) -> Configuration:
    document = sample_document()
    template = document["route_table"][1]
    document["route_table"] = [
        {**template, "label": f"r{index}", "hostname": hostname, "path_prefix": prefix}
        for index, (hostname, prefix) in enumerate(rows)
    ]
    return read_configuration(encode(document)).ok


def longest_match(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, found by a linear search."""
    matching = [
        route
        for route in configuration.routes
        if route.hostname.lower() == host.lower() and path.startswith(route.path_prefix)
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


@given(rows=ROWS, host=st.sampled_from([*HOSTS, "c.example"]), path=PATHS)
def test_match_equals_a_search_for_the_longest_prefix(
    rows: list[tuple[str, str]], host: str, path: str
) -> None:
    configuration = configuration_of(rows)
    assert RouteTable(configuration).match(host, path) == longest_match(configuration, host, path)


@given(rows=ROWS.filter(bool), tail=PATHS, data=st.data())
def test_path_below_a_prefix_always_matches(
    rows: list[tuple[str, str]], tail: str, data: st.DataObject
) -> None:
    configuration = configuration_of(rows)
    hostname, prefix = data.draw(st.sampled_from(rows))
    path = prefix + tail[1:]
    route = RouteTable(configuration).match(hostname, path)
    assert route is not None
    assert route == longest_match(configuration, hostname, path)


TABLE = RouteTable(configuration_of([("a.example", "/x/"), ("a.example", "/x/y/"), ("b.example", "/")]))


@pytest.mark.parametrize(
    ("host", "path", "label"),
    [
        ("a.example", "/x/1", "r0"),
        ("a.example", "/x/", "r0"),
        ("a.example", "/x/y/z", "r1"),
        ("a.example", "/x/y", "r0"),
        ("A.Example", "/x/1", "r0"),
        ("a.example:8080", "/x/1", "r0"),
        (" a.example ", "/x/1", "r0"),
        ("a.example", "/x/1?next=/x/y/", "r0"),
        ("a.example", "/x/?next=/x/y/", "r0"),
        ("a.example", "/x?/y/", None),
        ("a.example", "/x", None),
        ("a.example", "/X/1", None),
        ("a.example", "/", None),
        ("a.example", "", None),
        ("a.example", "x/", None),
        ("b.example", "/anything", "r2"),
        ("c.example", "/x/1", None),
        ("", "/x/1", None),
    ],
)
def test_match(host: str, path: str, label: str | None) -> None:
    route = TABLE.match(host, path)
    assert (route.label if route else None) == label


def test_query_string_is_not_matched_against_prefixes() -> None:
    table = RouteTable(configuration_of([("a.example", "/x?/"), ("a.example", "/x/")]))
    assert table.match("a.example", "/x?/1") is None
    assert table.match("a.example", "/x/?/1").path_prefix == "/x/"


def test_match_of_an_address_in_brackets() -> None:
    table = RouteTable(configuration_of([("[::1]", "/")]))
    assert table.match("[::1]:8080", "/a") is not None
    assert table.match("[::2]:8080", "/a") is None


def test_each_key_is_looked_up_to_its_tenant() -> None:
    configuration = read_configuration(encode(sample_document())).ok
    table = TenantTable(configuration)
    assert table.required
    assert table.holder("key-1") is configuration.tenants[0]
    assert table.holder("key-2") is configuration.tenants[0]
    assert table.holder("key-3") is configuration.tenants[1]
    assert table.holder("key-4") is None
    assert table.holder("") is None


@pytest.mark.parametrize("tenants", [None, []])
def test_keys_are_required_if_the_configuration_lists_tenants(tenants: list[object] | None) -> None:
    document = sample_document()
    del document["tenants"]
    if tenants is not None:
        document["tenants"] = tenants
    table = TenantTable(read_configuration(encode(document)).ok)
    assert table.required == (tenants is not None)
    assert table.holder("key-1") is None
