"""A stand-in for the operator: whole configurations, read-backs and new weights, with the protocol's retry manners."""

from __future__ import annotations

import http.client
import json
import select
import time
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import urlsplit

from iristrack.standin.waiting import PATIENCE_S, NeverCame

SILENCE_S = 1.0
FIRST_BACKOFF_S = 0.05
LAST_BACKOFF_S = 0.8
MOST_REDIRECTS = 2
FINAL_STATUSES = (400, 409, 412, 413, 422)
TRANSIENT_STATUSES = (408, 429)
MOST_OTHER_REFUSALS = 3  # a call ends with the third 4xx of any other kind

Document = dict[str, object]


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the control plane; `node` is the address that gave it."""

    status: int
    body: bytes
    node: str

    @property
    def json(self) -> Document:
        """The body, decoded."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class Call:
    """One call, as it is sent each time."""

    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


def replace_call(body: bytes | Document, base: int) -> Call:
    """`POST /config/replace`."""
    return _change_call("/config/replace", body, base)


def amend_call(body: bytes | Document, base: int) -> Call:
    """`POST /config/amend`."""
    return _change_call("/config/amend", body, base)


def _change_call(path: str, body: bytes | Document, base: int) -> Call:
    encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = (("X-Iristrack-Base-Version", str(base)), ("Content-Type", "application/json"))
    return Call("POST", path, encoded, headers)


class Operator:
    """Calls any of the control addresses, each call until it is answered clearly."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """`addresses` are those of `control_plane`, ip:port."""
        self.addresses = list(addresses)
        self._next = 0

    def replace(
        self, body: bytes | Document, base: int, first: str | None = None, patience_s: float = PATIENCE_S
    ) -> Answer:
        """Send a whole configuration until there is a clear answer; `first` is the address to begin at."""
        return self.call(replace_call(body, base), first, patience_s)

    def amend(
        self, body: bytes | Document, base: int, first: str | None = None, patience_s: float = PATIENCE_S
    ) -> Answer:
        """Send an amendment until there is a clear answer."""
        return self.call(amend_call(body, base), first, patience_s)

    def read(self, first: str | None = None, patience_s: float = PATIENCE_S) -> Answer:
        """Read the newest configuration."""
        return self.call(Call("GET", "/config/read"), first, patience_s)

    def name_version(self, model: str, revision: int) -> Answer:
        """Name new weights."""
        body = json.dumps({"model_name": model, "revision": revision}).encode()
        return self.call(Call("POST", "/version-put", body, (("Content-Type", "application/json"),)))

    def begin_rollout(self, service: str, version: str, over_s: float) -> Answer:
        """Order a roll-out until there is a clear answer."""
        body = json.dumps({"target": service, "target_version": version, "over_s": over_s}).encode()
        return self.call(Call("POST", "/rollouts/begin", body, (("Content-Type", "application/json"),)))

    def read_rollout(self, service: str) -> Answer:
        """Read how a roll-out stands."""
        return self.call(Call("GET", f"/rollouts/{service}/read"))

    def call(self, call: Call, first: str | None = None, patience_s: float = PATIENCE_S) -> Answer:
        """Make a call until it is answered clearly; raises `NeverCame`."""
        deadline = time.monotonic() + patience_s
        address = first or self._next_address()
        backoff, refusals, last = FIRST_BACKOFF_S, 0, "no answer"
        while time.monotonic() < deadline:
            try:
                answer = call_once(address, call)
                last = f"status {answer.status}"
                refusals += 400 <= answer.status < 500 and answer.status not in TRANSIENT_STATUSES
                if answer.status < 400 or answer.status in FINAL_STATUSES or refusals >= MOST_OTHER_REFUSALS:
                    return answer
            except (OSError, http.client.HTTPException) as fault:
                last = repr(fault)
            select.select([], [], [], backoff)  # the wait that the protocol asks of callers
            backoff = min(2 * backoff, LAST_BACKOFF_S)
            address = self._next_address()
        raise NeverCame(
            f"{call.method} {call.path}: no clear answer within {patience_s:g} s; the last: {last}"
        )

    def _next_address(self) -> str:
        self._next += 1
        return self.addresses[self._next % len(self.addresses)]


def call_once(address: str, call: Call) -> Answer:
    """One call at one address, with its redirects; raises `OSError` or `http.client.HTTPException`."""
    path = call.path
    for _ in range(MOST_REDIRECTS + 1):
        connection = http.client.HTTPConnection(address, timeout=SILENCE_S)
        try:
            connection.request(call.method, path, call.body, dict(call.headers))
            response = connection.getresponse()
            answer = Answer(response.status, response.read(), address)
            location = urlsplit(response.headers.get("Location", ""))
        finally:
            connection.close()
        if answer.status != 307:
            return answer
        address, path = location.netloc, location.path
    return answer
