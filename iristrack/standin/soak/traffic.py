"""Clients of a soak: each keeps its connection for as long as the sidecar leaves it open."""

from __future__ import annotations

import random
import select
import threading
import time
from dataclasses import dataclass
from enum import Enum

from iristrack.standin.client import BrokenAnswer, Client, Request, new_attempt_id, prompt_headers
from iristrack.standin.machine import Machine
from iristrack.standin.model_server import answer_body, event_bytes

HOST = "soak.example"
MODEL = "model-one"
KEY = "key-north"
EVENTS = 6
PAUSE_S = 0.02  # between two requests of one client
PATIENCE_S = 20.0
PROMPT_PARTS = 8  # shared parts that prompts begin with


class Kind(Enum):
    """Kinds of requests, by the prefix of their route."""

    PLAIN = "plain"
    SAFE = "safe"
    STREAM = "stream"
    RESUMABLE = "resume"

    @property
    def streaming(self) -> bool:
        """Is the answer a series of events?"""
        return self in (Kind.STREAM, Kind.RESUMABLE)

    @property
    def may_run_twice(self) -> bool:
        """Is it idempotent?"""
        return self in (Kind.SAFE, Kind.RESUMABLE)


@dataclass(frozen=True, slots=True)
class Try:
    """One request as its client saw it; times are those of the monotonic clock in seconds."""

    attempt_id: str
    kind: Kind
    edge: str
    kept: bool  # did it go over a connection that had carried another one?
    sent_at: float
    ended_at: float
    status: int | None  # None: the connection ended without an answer's head
    whole: bool  # did the answer come to its end?
    spoilt: bool  # is what came not what the server made?


class Traffic:
    """Clients in threads of their own, until `stop`."""

    def __init__(self, edges: list[Machine], clients: int, seed: int) -> None:
        """Starts at once."""
        self.edges = edges
        self._tries: list[Try] = []
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/{number}"),), daemon=True)
            for number in range(clients)
        ]
        for thread in self._threads:
            thread.start()

    def tries(self) -> list[Try]:
        """All that have ended."""
        with self._lock:
            return list(self._tries)

    def stop(self) -> list[Try]:
        """Let each client end its request; all tries."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(2 * PATIENCE_S)
        return self.tries()

    def _run(self, rng: random.Random) -> None:
        while not self._stopping.is_set():
            edge = rng.choice(self.edges)
            with Client(edge.front, PATIENCE_S) as client:
                self._use(client, edge, rng)

    def _use(self, client: Client, edge: Machine, rng: random.Random) -> None:
        """Send one request after the other over a connection until it ends."""
        kept = False
        while not self._stopping.is_set():
            ended = ask(client, edge.name, rng, kept)
            with self._lock:
                self._tries.append(ended)
            kept = True
            select.select([], [], [], PAUSE_S)  # the pace of a client
            if not ended.whole or not client.connected:
                return


def ask(client: Client, edge: str, rng: random.Random, kept: bool) -> Try:
    """Send one request of any kind, and read its answer."""
    kind = rng.choice(tuple(Kind))
    request = new_request(kind, rng)
    sent_at = time.monotonic()
    status, body, whole = None, b"", False
    try:
        opened = client.open(request)
        status = opened.status
        body = opened.read_rest()
        whole = True
    except BrokenAnswer as broken:
        body = broken.received
    expected = _expected(kind, request)
    spoilt = status == 200 and not (body == expected if whole else expected.startswith(body))
    return Try(request.attempt_id, kind, edge, kept, sent_at, time.monotonic(), status, whole, spoilt)


def new_request(kind: Kind, rng: random.Random) -> Request:
    """A request of that kind, with an id of its own."""
    attempt_id = new_attempt_id()
    headers = (("Authorization", f"Bearer {KEY}"),)
    if kind.streaming:
        parts = [(f"shared-{rng.randrange(PROMPT_PARTS)}", 600), (attempt_id[:8], 50)]
        headers += prompt_headers(MODEL, parts, EVENTS)
    return Request(HOST, f"/{kind.value}/x", attempt_id, headers=headers)


def _expected(kind: Kind, request: Request) -> bytes:
    if kind.streaming:
        return b"".join(event_bytes(number) for number in range(1, EVENTS + 1))
    return answer_body(request.attempt_id, request.body)
