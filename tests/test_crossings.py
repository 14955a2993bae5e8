"""Crossings: what happens when a request, an answer, a list or a signal comes between two lines.

Each is forced by an event, and judged by counts and order. `docs/crossings.md` has the table of them.
"""

from __future__ import annotations

import pytest
from stage import Stage, Terminal, call


@pytest.mark.parametrize("path", [b"/api", b"/api/", b"/api?q=1"])
def test_a_customer_whose_requests_have_no_key_is_served(stage: Stage, path: bytes) -> None:
    pools = [stage.pool(f"s{i}") for i in range(2)]
    program = stage.start()
    for i in range(3):
        asked = call(f"r{i}", key="").replace(b"/api", path, 1)
        assert Terminal(program.port).exchange(asked).head.status == 200
    assert [head.target for pool in pools for head in pool.heads] == [path] * 3
