from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.dataplane.harness import Harness, make_harness


@pytest.fixture
def harness() -> Iterator[Harness]:
    harness = make_harness()
    yield harness
    harness.listener.stop_accepting()
    for server in harness.servers.values():
        server.stop()
    assert not harness.failures, "\n".join(harness.failures)
