from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.dataplane.stand import Stand, make_stand


@pytest.fixture
def stand() -> Iterator[Stand]:
    stand = make_stand()
    yield stand
    stand.listener.stop_accepting()
    for server in stand.servers.values():
        server.stop()
    assert not stand.failures, "\n".join(stand.failures)
