"""Signals as bytes on a socket, so that the event loop sees them like anything else."""

from __future__ import annotations

import signal
import socket


def catch_signals() -> socket.socket:
    """Have the signals that the program lives through come as bytes, each its own number, on a socket.

    Python runs signal handlers between bytecodes, and `poll` goes on after them: the socket ends its wait.
    What comes before the loop runs waits there; a SIGHUP must never end the process.
    """
    woken, waker = socket.socketpair()
    woken.setblocking(False)
    waker.setblocking(False)
    signal.set_wakeup_fd(waker.detach(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return woken
