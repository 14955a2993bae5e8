"""Log output that never holds up the event loop."""

from __future__ import annotations

import os
import select
from collections.abc import Callable
from contextlib import suppress


def nonblocking_sink(descriptor: int) -> Callable[[str], None]:
    """A sink for log lines that never waits: what its reader leaves no room for is dropped."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)

    def write(line: str) -> None:
        # Guards the loop: a full pipe that nobody reads would stop it at its next line. A pipe that is ready
        # takes PIPE_BUF bytes without waiting.
        data = line.encode("utf-8", "replace")
        with suppress(OSError):
            for at in range(0, len(data), select.PIPE_BUF):
                if not poll.poll(0):
                    return
                os.write(descriptor, data[at : at + select.PIPE_BUF])

    return write
