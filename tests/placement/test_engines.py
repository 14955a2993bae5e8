from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from iristrack.placement.engines import cache_salt, servers_with_model
from iristrack.placement.servers import ServerTable
from tests.placement.samples import listed

# Few characters, among them those that salts are joined with: what could be mistaken for a join is drawn often.
LABELS = st.text("m1./-", min_size=1, max_size=8)
MAKERS = st.tuples(LABELS, st.integers(0, 30), st.none() | LABELS)


@given(MAKERS, MAKERS)
def test_a_salt_stands_for_one_model_revision_and_isolated_tenant(one, other) -> None:
    assert (cache_salt(*one) == cache_salt(*other)) == (one == other)


def test_models_with_dots_and_tenants_with_numbers_have_salts_of_their_own() -> None:
    makers = [
        ("m", 1, None), ("m", 11, None), ("m.1", 1, None), ("m", 1, "t"), ("m", 1, "t.2"), ("m.1/t", 2, None),
    ]  # fmt: skip
    assert len({cache_salt(*maker) for maker in makers}) == len(makers)


def test_only_servers_with_the_model_and_new_enough_weights_serve() -> None:
    table = ServerTable()
    table.apply_server_list(
        [listed("i-1", m=1), listed("i-2", m=2), listed("i-3", other=5), listed("i-4", m=0)]
    )

    def names(least: int) -> list[str]:
        return [server.instance_id for server in servers_with_model(table.servers.values(), "m", least)]

    assert names(0) == ["i-1", "i-2"]
    assert names(1) == ["i-1", "i-2"]
    assert names(2) == ["i-2"]
    assert names(3) == []
