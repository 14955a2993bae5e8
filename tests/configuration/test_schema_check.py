"""The fast check of documents: it accepts only what cerberus accepts, and valid documents need no cerberus."""

from __future__ import annotations

import copy
import json
import subprocess
import sys

from hypothesis import given
from hypothesis import strategies as st

from iristrack import settings
from iristrack.configuration import document as configuration
from iristrack.configuration.cerberus_check import cerberus_findings
from iristrack.configuration.schema_check import is_plainly_valid, schema_findings
from tests.configuration.samples import sample_document

SETTINGS = {
    "node_name": "n", "role": "r", "ip": "10.0.0.1", "zone": "z", "port_range": [7, 9], "seed_nodes": ["10.0.0.2:80"],
    "bind": {"front_http": "10.0.0.1:80", "readiness": None}, "limits": {"max_fds": 5, "memory_mb": None},
    "zones": {"z": "r"}, "rule_bounds": {"grace_s": 8, "revoke_global": True}, "bootstrap": True, "data_dir": None,
    "provider_api": {"address": "10.0.0.3:80", "rate_per_s": 4.0}, "active_rules": ["base"],
}  # fmt: skip
ARBITRARY_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-3, 3)
    | st.floats()
    | st.sampled_from(["", "text", "10.0.0.1:80", "10.0.0.1:0", ":80", "a:99999"]),
    lambda child: (
        st.lists(child, max_size=3) | st.dictionaries(st.sampled_from(["a", "label"]), child, max_size=2)
    ),
    max_leaves=4,
)


def value_paths(value: object, path: tuple = ()) -> list[tuple]:
    """Return the path to each value below the document."""
    paths = [path] if path else []
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, child in items:
        paths += value_paths(child, (*path, key))
    return paths


def mutated_copy(document: dict, path: tuple, value: object, drop: bool) -> dict:
    """Return a copy of the document with the value at the path replaced, or deleted if `drop` is set."""
    mutated = copy.deepcopy(document)
    parent = mutated
    for key in path[:-1]:
        parent = parent[key]
    if drop:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return mutated


@given(data=st.data(), value=ARBITRARY_VALUES, drop=st.booleans())
def test_plainly_valid_documents_have_no_findings(data: st.DataObject, value: object, drop: bool) -> None:
    schema, document = data.draw(
        st.sampled_from([(settings._SCHEMA, SETTINGS), (configuration._OUTLINE, sample_document())])
    )
    mutated = mutated_copy(document, data.draw(st.sampled_from(value_paths(document))), value, drop)
    findings = cerberus_findings(schema, mutated)
    if is_plainly_valid(schema, mutated):
        assert findings == ()
    assert schema_findings(schema, mutated) == findings


def test_valid_documents_are_plainly_valid() -> None:
    assert is_plainly_valid(settings._SCHEMA, SETTINGS)
    assert is_plainly_valid(configuration._OUTLINE, sample_document())


def test_a_rule_unknown_to_the_fast_check_is_left_to_cerberus() -> None:
    schema = {"name": {"type": "string", "allowed": ["a"]}}
    assert not is_plainly_valid(schema, {"name": "a"})
    assert not is_plainly_valid(schema, {})
    assert schema_findings(schema, {"name": "a"}) == ()
    assert [finding.place for finding in schema_findings(schema, {"name": "b"})] == ["name"]


def test_a_data_plane_with_valid_settings_does_not_load_cerberus() -> None:
    program = (
        "import sys; from iristrack.settings import read_settings; import iristrack.cli.dataplane\n"
        f"assert read_settings({json.dumps(SETTINGS).encode()!r}).is_ok()\n"
        "sys.exit('cerberus' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 0
