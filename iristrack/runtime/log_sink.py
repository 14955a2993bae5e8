"""Log output that never blocks the event loop."""

from __future__ import annotations

import os
import select
from collections.abc import Callable
from contextlib import suppress


def nonblocking_sink(descriptor: int) -> Callable[[str], None]:
    """Return a sink for log lines that never blocks: lines that do not fit into the pipe are dropped."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)

    def write(line: str) -> None:
        # A write to a full pipe without a reader would block the event loop. A pipe that polls as writable takes
        # PIPE_BUF bytes without blocking.
        data = line.encode("utf-8", "replace")
        with suppress(OSError):
            for at in range(0, len(data), select.PIPE_BUF):
                if not poll.poll(0):
                    return
                os.write(descriptor, data[at : at + select.PIPE_BUF])

    return write
