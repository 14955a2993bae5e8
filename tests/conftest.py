"""The same verdict every time: hypothesis draws the same examples in each run and keeps no database."""

from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import settings
from stage import Stage

settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[Stage]:
    stage = Stage(tmp_path)
    yield stage
    for program in stage.programs:
        program.process.kill()
        program.process.wait()
        log = program.log.read_text()
        assert "Traceback" not in log, log
    for listener in (stage.discovery, *stage.pools.values()):
        with suppress(OSError):
            listener.close()
