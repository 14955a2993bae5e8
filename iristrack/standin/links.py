"""Links between the machines of a system that can be cut: each hands on the bytes of one dialling machine to another.

A cut link is silent, as one whose packets are dropped: what is sent is held, new connections get no answer. When it
heals, what was held arrives, and connections that were begun meanwhile are ended.
"""

from __future__ import annotations

import json
import math
import selectors
import socket
import threading

from iristrack.standin.linked_program import LINKS_VARIABLE
from iristrack.standin.machine import PORT_RANGE, Machine
from iristrack.standin.system import System

PIECE_BYTES = 65_536
TICK_S = 0.02
BACKLOG = 64
BYTES_PER_MEGABIT = 1_000_000 / 8
PROGRAMS = {"core": "controlplane", "edge": "dataplane"}


def inner_address(machine: Machine) -> str:
    """Where other machines dial it."""
    return f"{machine.ip}:{PORT_RANGE[0]}"


class Link:
    """From one machine that dials to one that listens; `is_cut` and `bytes_per_s` may be set from any thread."""

    def __init__(self, target: str) -> None:
        """Listens at once; `target` is ip:port."""
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.is_cut = False
        self.bytes_per_s = math.inf  # in both directions together
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._others: dict[socket.socket, socket.socket] = {}
        self._waiting: list[socket.socket] = []  # accepted during a cut
        self._stopping = False
        self._pause = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"link to {target}", daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Where the dialling machine connects."""
        return "{}:{}".format(*self._listener.getsockname())

    def stop(self) -> None:
        """End all connections."""
        self._stopping = True
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(TICK_S):
                self._handle(key.fileobj)
            if not self.is_cut:
                self._end_waiting()
        for sock in (self._listener, *self._others, *self._waiting):
            sock.close()
        self._selector.close()

    def _handle(self, sock: socket.socket) -> None:
        if sock is self._listener:
            self._accept()
        elif self.is_cut:
            threading.Event().wait(
                TICK_S
            )  # held bytes stay in the kernel, which would be reported all the time
        elif sock in self._others:
            self._forward(sock)

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        if self.is_cut:
            self._waiting.append(near)
            return
        try:
            far = socket.create_connection(self.target, timeout=1)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        self._others |= {near: far, far: near}
        self._selector.register(near, selectors.EVENT_READ)
        self._selector.register(far, selectors.EVENT_READ)

    def _forward(self, sock: socket.socket) -> None:
        other = self._others[sock]
        try:
            data = sock.recv(PIECE_BYTES)
            self._pause.wait(len(data) / self.bytes_per_s)
            other.sendall(data)
        except OSError:
            data = b""
        if not data:
            for end in (sock, other):
                self._selector.unregister(end)
                del self._others[end]
                end.close()

    def _end_waiting(self) -> None:
        while self._waiting:
            self._waiting.pop().close()


class Links:
    """A link for each machine of a system to each core machine; made before the system starts."""

    def __init__(self, system: System) -> None:
        """Has the machines started with their links."""
        self._links: dict[tuple[str, str], Link] = {}
        self._classes = {machine.name: machine.machine_class for machine in system.machines}
        for machine in system.machines:
            named = {}
            for core in system.cores:
                if core is not machine:
                    link = self._links[machine.name, core.name] = Link(inner_address(core))
                    named[inner_address(core)] = link.address
            machine.module = "iristrack.standin.linked_program"
            machine.arguments = [PROGRAMS[machine.machine_class]]
            machine.environment = {LINKS_VARIABLE: json.dumps(named)}

    def cut_off(self, core: Machine, others: list[Machine], is_cut: bool = True) -> None:
        """Let nothing pass between a core machine and the others, in both directions; false heals."""
        for other in others:
            for pair in ((core.name, other.name), (other.name, core.name)):
                if pair in self._links:
                    self._links[pair].is_cut = is_cut

    def narrow(self, megabits_per_s: dict[str, float]) -> None:
        """Let each link carry so much, by the class of the machine that dials."""
        for (name, _), link in self._links.items():
            link.bytes_per_s = megabits_per_s[self._classes[name]] * BYTES_PER_MEGABIT

    def stop(self) -> None:
        """End all links."""
        for link in self._links.values():
            link.stop()
