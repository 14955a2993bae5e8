"""Signals as bytes on a socket, so that the event loop can poll for them."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager

CAUGHT = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def catch_signals() -> socket.socket:
    """Return a socket on which each signal of `CAUGHT` arrives as one byte, the signal number.

    Python runs signal handlers between bytecodes and then resumes `poll`, so a handler alone would not end the wait;
    a readable socket does. Signals that arrive before the loop runs stay in the socket. SIGHUP must never end the
    process.
    """
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    signal.set_wakeup_fd(sender.detach(), warn_on_full_buffer=False)
    for number in CAUGHT:
        signal.signal(number, lambda *_: None)
    return receiver


@contextmanager
def caught_signals() -> Iterator[socket.socket]:
    """Run `catch_signals` for the block; after the block the signals are ignored until the process has ended.

    Python restores the default action of signals that have a handler while the interpreter shuts down. A signal in
    these last milliseconds would end a process that finished its work with a status other than 0. Ignored signals stay
    ignored.
    """
    receiver = catch_signals()
    try:
        yield receiver
    finally:
        # Blocked first: a signal recorded just before its handler is removed would make Python report an error.
        signal.pthread_sigmask(signal.SIG_BLOCK, CAUGHT)
        for number in CAUGHT:
            signal.signal(number, signal.SIG_IGN)
