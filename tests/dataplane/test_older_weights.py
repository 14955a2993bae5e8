"""What is told of requests that began on older weights."""

from __future__ import annotations

from iristrack.dataplane.older_weights import LINE_NS, NS_PER_MS, Begun, OlderWeights
from iristrack.engines.named_weights import NamedWeights
from tests.dataplane.stand import MODEL, Stand, asking, stream

PROMPT = b"X-Iristrack-Model: %b\r\n" % MODEL.encode()


class Lines:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def info(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))


def test_a_line_tells_revision_and_age_at_most_once_a_second() -> None:
    named, log = NamedWeights(), Lines()
    older = OlderWeights(named, log)
    older.begun(Begun("i-1", "m", 1, 0, NS_PER_MS))
    named.heard("m", 2, 0)
    older.begun(Begun("i-1", "m", 2, 0, NS_PER_MS))
    assert (log.lines, older.begun_count) == ([], 0)
    older.begun(Begun("i-1", "m", 1, 30 * NS_PER_MS, 40 * NS_PER_MS))
    named.heard("m", 3, 50 * NS_PER_MS)
    older.begun(Begun("i-1", "m", 1, 60 * NS_PER_MS, 90 * NS_PER_MS))
    fields = {"server": "i-1", "model": "m", "revision": 1, "newest": 2, "sent_ms": 30, "begun_ms": 40}
    assert log.lines == [("older weights", fields)]
    older.begun(Begun("i-1", "m", 2, 0, 40 * NS_PER_MS + LINE_NS))
    assert log.lines[1][1]["begun_ms"] == 40 - 50 + LINE_NS // NS_PER_MS
    assert older.figures()["older_weights_begun"] == 3
    assert older.figures()["older_weights_most_sent_ms"] == 60


def test_a_request_at_a_server_on_older_weights_is_counted_as_it_begins(stand: Stand) -> None:
    stand.serve(stream(1, 2), revision=1)
    assert stand.ask(asking("stream", lines=PROMPT)).status == 200
    stand.plane.named_weights.heard(MODEL, 2, 0)
    assert stand.ask(asking("stream", lines=PROMPT)).status == 200
    assert stand.plane.older_weights.begun_count == 1
