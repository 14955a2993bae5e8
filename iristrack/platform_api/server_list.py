"""The platform's list of servers: decoding its pages, and fetching all of them."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from iristrack.http1 import messages as http
from iristrack.http1.fetching import HttpClient
from iristrack.placement.servers import ListedServer
from iristrack.wire.messages import ModelRevision, ServerEntry, ServersValue

MAX_PAGES = 200
READY = "ready"


class ListUnavailable(Exception):
    """The complete list could not be fetched."""


class MalformedList(ListUnavailable):
    """A page that cannot be decoded."""


def read_page(body: bytes) -> tuple[list[ListedServer], str | None]:
    """Return the entries of a page and the token of the next one; raises `MalformedList`."""
    try:
        page = json.loads(body)
        entries = [_entry(row) for row in page["servers"]]
        token = page.get("next_token")
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise MalformedList(f"{type(error).__name__}: {error}") from error
    if token is not None and not isinstance(token, str):
        raise MalformedList("next_token is not a string")
    return entries, token or None


def _entry(row: dict[str, Any]) -> ListedServer:
    models = tuple((str(model["label"]), int(model["revision"])) for model in row.get("model_list") or ())
    return ListedServer(
        instance_id=str(row["instance_id"]),
        service=str(row["target"]),
        address=str(row["address"]),
        zone=str(row.get("zone", "")),
        ready=row.get("phase", READY) == READY,
        capacity=int(row.get("capacity", 0)),
        models=models,
        software=str(row.get("revision", "")),
    )


def to_message(entries: list[ListedServer]) -> ServersValue:
    """Convert the list to the message that is sent between processes."""
    return ServersValue(
        tuple(
            ServerEntry(
                e.instance_id,
                e.service,
                e.address,
                e.zone,
                e.ready,
                e.capacity,
                tuple(ModelRevision(model, revision) for model, revision in e.models),
            )
            for e in entries
        ),
        tuple(e.software for e in entries),
    )


def from_message(value: ServersValue) -> list[ListedServer]:
    """Convert a message from another process back to the list."""
    software = value.software if len(value.software) == len(value.servers) else ("",) * len(value.servers)
    return [
        ListedServer(
            e.instance,
            e.service,
            e.address,
            e.zone,
            e.ready,
            e.capacity,
            tuple((m.model, m.revision) for m in e.models),
            version,
        )
        for e, version in zip(value.servers, software, strict=True)
    ]


def fetch_list(caller: HttpClient, deadline: int) -> list[ListedServer]:
    """Fetch all pages; raises `ListUnavailable` if one fails, since a partial list would make servers look removed."""
    entries: list[ListedServer] = []
    target = b"/instances"
    for _ in range(MAX_PAGES):
        try:
            answer = caller.call(b"GET", target, b"", b"", deadline)
        except (OSError, http.Malformed, http.Truncated) as error:
            raise ListUnavailable(str(error)) from error
        if answer.head.status != 200:
            raise ListUnavailable(f"status {answer.head.status}")
        page, token = read_page(answer.body)
        entries += page
        if token is None:
            return entries
        target = b"/instances?page_token=" + quote(token, safe="").encode()
    raise ListUnavailable(f"the list has more than {MAX_PAGES} pages")
