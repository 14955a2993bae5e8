from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.placement.engines import cache_salt, servers_with_model
from iristrack.placement.servers import ServerTable
from tests.placement.samples import listed

# Few characters, including the separators of a salt, so that ambiguous combinations are drawn often.
LABELS = st.text("m1./-", min_size=1, max_size=8)
SALT_INPUTS = st.tuples(LABELS, st.integers(0, 30), st.none() | LABELS)


@given(SALT_INPUTS, SALT_INPUTS)
def test_a_salt_identifies_model_revision_and_isolated_tenant(one, other) -> None:
    assert (cache_salt(*one) == cache_salt(*other)) == (one == other)


def test_names_that_contain_separators_do_not_collide() -> None:
    inputs = [
        ("m", 1, None), ("m", 11, None), ("m.1", 1, None), ("m", 1, "t"), ("m", 1, "t.2"), ("m.1/t", 2, None),
    ]  # fmt: skip
    assert len({cache_salt(*salt_input) for salt_input in inputs}) == len(inputs)


def test_only_servers_with_the_model_and_a_recent_enough_revision_are_returned() -> None:
    table = ServerTable()
    table.apply_server_list(
        [listed("i-1", m=1), listed("i-2", m=2), listed("i-3", other=5), listed("i-4", m=0)]
    )

    def instance_ids(min_revision: int) -> list[str]:
        return [
            server.instance_id for server in servers_with_model(table.servers.values(), "m", min_revision)
        ]

    assert instance_ids(0) == ["i-1", "i-2"]
    assert instance_ids(1) == ["i-1", "i-2"]
    assert instance_ids(2) == ["i-2"]
    assert instance_ids(3) == []
