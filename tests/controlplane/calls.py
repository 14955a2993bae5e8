from __future__ import annotations

import json

from iristrack.http1 import messages as http


def message(method: bytes, target: bytes, lines: bytes = b"", body: bytes = b"") -> http.Message:
    reader = http.Reader(limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)
    return reader.feed(http.request(method, target, lines, body))


def replace_call(body: bytes, base: str = "0") -> http.Message:
    return message(b"POST", b"/config/replace", b"X-Iristrack-Base-Version: %b\r\n" % base.encode(), body)


def amend_call(body: bytes, base: str = "0") -> http.Message:
    return message(b"POST", b"/config/amend", b"X-Iristrack-Base-Version: %b\r\n" % base.encode(), body)


def version_call(body: object) -> http.Message:
    return message(
        b"POST", b"/version-put", b"", body if isinstance(body, bytes) else json.dumps(body).encode()
    )


class Log:
    """A fake logger that records log lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def info(self, text: str, **fields: object) -> None:
        self.lines.append((text, fields))

    warning = error = exception = info
