"""A stand-in for a client: one connection, whole answers and streams event by event."""

from __future__ import annotations

import http.client
import re
import secrets
from collections.abc import Iterator
from dataclasses import dataclass

from iristrack.standin.waiting import PATIENCE_S

READ_BYTES = 64 * 1024
DEFAULT_TIME_LEFT_MS = 15_000
_EVENT_ID = re.compile(rb"^id: ([0-9]+)$", re.MULTILINE)


class BrokenAnswer(Exception):
    """The answer ended before it was complete."""

    def __init__(self, reason: str, received: bytes = b"") -> None:
        """`received` is what had come of the body."""
        super().__init__(reason)
        self.received = received


@dataclass(frozen=True, slots=True)
class Request:
    """One try of a client."""

    host: str
    path: str
    attempt_id: str
    method: str = "POST"
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    chunked: bool = False

    def all_headers(self) -> dict[str, str]:
        """What stands in the request's head."""
        headers = {
            "Host": self.host,
            "X-Iristrack-Attempt-Id": self.attempt_id,
            "X-Iristrack-Time-Left-Ms": str(DEFAULT_TIME_LEFT_MS),
        }
        if self.chunked:
            headers["Transfer-Encoding"] = "chunked"
        return headers | dict(self.headers)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that was read to its end."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


def new_attempt_id() -> str:
    """An id that no other try has."""
    return secrets.token_hex(8)


def prompt_headers(
    model: str, parts: list[tuple[str, int]], output_tokens: int
) -> tuple[tuple[str, str], ...]:
    """The headers of a generation: its model, its size and the parts of its prompt."""
    tokens = sum(size for _, size in parts)
    return (
        ("X-Iristrack-Model", model),
        ("X-Iristrack-Token-Count", f"{tokens},{output_tokens}"),
        ("X-Iristrack-Prompt-Prefix", ",".join(f"{part}:{size}" for part, size in parts)),
    )


class StreamAnswer:
    """An answer that is read event by event."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        """The head has come."""
        self.status = response.status
        self.headers = response.headers
        self._response = response
        self._buffer = b""

    def next_event(self) -> bytes | None:
        """The next whole event; None at the orderly end; raises `BrokenAnswer`."""
        while b"\n\n" not in self._buffer:
            try:
                data = self._response.read1(READ_BYTES)
            except (OSError, http.client.HTTPException) as fault:
                raise BrokenAnswer(repr(fault)) from fault
            if not data:
                if self._buffer:
                    raise BrokenAnswer("the stream ends inside an event")
                return None
            self._buffer += data
        event, _, self._buffer = self._buffer.partition(b"\n\n")
        return event + b"\n\n"

    def read_rest(self) -> bytes:
        """The rest of the body; raises `BrokenAnswer`, with what had come where its connection was closed."""
        try:
            return self._buffer + self._response.read()
        except http.client.IncompleteRead as cut:
            raise BrokenAnswer(repr(cut), self._buffer + cut.partial) from cut
        except (OSError, http.client.HTTPException) as fault:
            raise BrokenAnswer(repr(fault), self._buffer) from fault

    def events(self) -> Iterator[bytes]:
        """All events that are still to come; raises `BrokenAnswer`."""
        while (event := self.next_event()) is not None:
            yield event

    def event_ids(self) -> list[int]:
        """The ids of all events that are still to come; raises `BrokenAnswer`."""
        return [event_id(event) for event in self.events()]


def event_id(event: bytes) -> int:
    """The id of an event."""
    return int(_EVENT_ID.search(event)[1])


class Client:
    """One client connection; requests follow one another on it."""

    def __init__(self, address: str, patience_s: float = PATIENCE_S) -> None:
        """Connects with the first request; `patience_s` bounds each silence."""
        self._connection = http.client.HTTPConnection(address, timeout=patience_s)

    def __enter__(self) -> Client:
        """The client itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the connection."""
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    @property
    def connected(self) -> bool:
        """Is the connection open, as far as this end knows?"""
        return self._connection.sock is not None

    def local_port(self) -> int:
        """The client's port, by which connections are told apart."""
        return self._connection.sock.getsockname()[1]

    def open(self, request: Request) -> StreamAnswer:
        """Send a request and wait for the answer's head; raises `BrokenAnswer`."""
        body = iter([request.body[:3], request.body[3:]]) if request.chunked else request.body
        try:
            self._connection.request(
                request.method, request.path, body, request.all_headers(), encode_chunked=request.chunked
            )
            return StreamAnswer(self._connection.getresponse())
        except (OSError, http.client.HTTPException) as fault:
            raise BrokenAnswer(repr(fault)) from fault

    def ask(self, request: Request) -> WholeAnswer:
        """Send a request and read the whole answer; raises `BrokenAnswer`."""
        opened = self.open(request)
        try:
            body = opened._response.read()
        except (OSError, http.client.HTTPException) as fault:
            raise BrokenAnswer(repr(fault)) from fault
        return WholeAnswer(opened.status, opened.headers, body)


def ask_once(address: str, request: Request) -> WholeAnswer:
    """One request on a connection of its own; raises `BrokenAnswer`."""
    with Client(address) as client:
        return client.ask(request)
