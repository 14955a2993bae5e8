"""Signals as bytes on a socket, so that the event loop sees them like anything else."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager

CAUGHT = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def catch_signals() -> socket.socket:
    """Have the signals that the program lives through come as bytes, each its own number, on a socket.

    Python runs signal handlers between bytecodes, and `poll` goes on after them: the socket ends its wait.
    What comes before the loop runs waits there; a SIGHUP must never end the process.
    """
    woken, waker = socket.socketpair()
    woken.setblocking(False)
    waker.setblocking(False)
    signal.set_wakeup_fd(waker.detach(), warn_on_full_buffer=False)
    for number in CAUGHT:
        signal.signal(number, lambda *_: None)
    return woken


@contextmanager
def caught_signals() -> Iterator[socket.socket]:
    """`catch_signals` while the block runs; behind it the signals are ignored until the process is gone.

    Where a handler is set, Python gives the signal its default back while the interpreter ends, and a signal in these
    last milliseconds would end a process that has done its work with another status than 0. Ignored ones stay ignored.
    """
    woken = catch_signals()
    try:
        yield woken
    finally:
        # Blocked first, so that none is noted for a handler that is gone when its turn comes, which Python reports.
        signal.pthread_sigmask(signal.SIG_BLOCK, CAUGHT)
        for number in CAUGHT:
            signal.signal(number, signal.SIG_IGN)
