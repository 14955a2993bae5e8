"""Adapter between the simulator's line protocol on standard input and output and one `Balancer` per instance.

It only translates and makes no decisions. A line that cannot be parsed ends the process with one line on standard
error.
"""

from __future__ import annotations

import base64
import binascii
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from iristrack import interface as mi
from iristrack.balance import Balancer
from iristrack.config import (
    REPORT_NAMES,
    FieldError,
    Fields,
    read_bool,
    read_float,
    read_int,
    read_settings,
    read_text,
)

OUTCOMES = {
    "0": mi.Outcome.ERROR,
    "1": mi.Outcome.OK,
    "2": mi.Outcome.REJECTED,
    "3": mi.Outcome.TIMEOUT,
    "4": mi.Outcome.CONNECT_FAILED,
    "5": mi.Outcome.RESET,
    "6": mi.Outcome.CANCELLED,
    "7": mi.Outcome.NOT_SENT,
}
STATES = {
    "healthy": mi.ServerState.READY,
    "cordoned": mi.ServerState.DRAINING,
    "deregistered": mi.ServerState.GONE,
}
LIST_KINDS = {
    "D": mi.ListKind.DELTA,
    "F": mi.ListKind.FULL,
    "C": mi.ListKind.CACHED,
    "X": mi.ListKind.FAILED,
}


def _pick(table: dict, fields: Fields, name: str):
    try:
        return table[fields[name]]
    except KeyError:
        raise FieldError(f"{name}={fields.get(name)!r} is unknown") from None


def _report(text: str | None) -> dict[str, float] | None:
    if not text:
        return None
    report = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        try:
            report[REPORT_NAMES.get(name, name)] = float(value)
        except ValueError:
            raise FieldError(f"report value {pair!r} is not a number") from None
    return report


def _entry(f: Fields) -> mi.ServerEntry:
    return mi.ServerEntry(
        server=read_text(f, "server"),
        state=_pick(STATES, f, "lifecycle"),
        zone=f.get("campus", ""),
        cell=read_int(f, "pod", -1),
        weight=read_float(f, "share", 1.0),
        started_ns=read_int(f, "start_time_ns", 0),
    )


def _request(f: Fields) -> mi.Request:
    return mi.Request(
        id=read_text(f, "id"),
        request_class=read_text(f, "category"),
        give_up_ns=read_int(f, "not_after_ns"),
        key=f.get("partition_key"),
        tenant=f.get("client_group"),
        work_hint_ns=read_int(f, "predicted_ns", 0),
        retry=read_bool(f.get("resent")),
        write=read_bool(f.get("update")),
    )


def _started(f: Fields) -> mi.AttemptStarted:
    return mi.AttemptStarted(
        read_text(f, "id"), read_int(f, "copy", 0), read_text(f, "server"), read_int(f, "time_taken_ns", 0)
    )


def _ended(f: Fields) -> mi.AttemptEnded:
    return mi.AttemptEnded(
        id=read_text(f, "id"),
        attempt=read_int(f, "copy", 0),
        server=read_text(f, "server"),
        outcome=_pick(OUTCOMES, f, "verdict"),
        final=read_bool(f.get("final")),
        latency_ns=read_int(f, "time_taken_ns", 0),
        report=_report(f.get("report")),
    )


def _probed(f: Fields) -> mi.ProbeEnded:
    return mi.ProbeEnded(
        server=read_text(f, "server"),
        outcome=_pick(OUTCOMES, f, "verdict"),
        latency_ns=read_int(f, "time_taken_ns", 0),
        report=_report(f.get("report")),
    )


def _peer(f: Fields) -> mi.PeerMessage:
    octets = f.get("octets", "-")
    try:
        data = b"" if octets == "-" else base64.b64decode(octets, validate=True)
    except binascii.Error:
        raise FieldError(f"octets={octets!r} is not base64") from None
    return mi.PeerMessage(read_int(f, "src", 0), data)


READERS: dict[str, Callable[[Fields], mi.Event]] = {
    "DEMAND": _request,
    "HEADERS": _started,
    "ENDED": _ended,
    "ABORTED": lambda f: mi.ClientGone(read_text(f, "id")),
    "WAKEUP": lambda f: mi.TimerFired(read_int(f, "handle")),
    "HEALTH_RESULT": _probed,
    "WHISPER": _peer,
}


def _send(a: mi.Send) -> str:
    cap = f"\tcap_ns={a.timeout_ns}" if a.timeout_ns else ""
    return f"SUBMIT_TO\tid={a.id}\tserver={a.server}{cap}"


def _reject(a: mi.Reject) -> str:
    wait = f"\tcool_down_ns={a.retry_after_ns}" if a.retry_after_ns else ""
    return f"OVERLOAD_REPLY\tid={a.id}{wait}"


def _publish(a: mi.PeerSend) -> str:
    octets = base64.b64encode(a.data).decode() if a.data else "-"
    return f"PUBLISH\twhom={'all' if a.peer is None else a.peer}\toctets={octets}"


WRITERS: dict[type, Callable[..., str]] = {
    mi.Send: _send,
    mi.Reject: _reject,
    mi.Fail: lambda a: f"FAIL\tid={a.id}",
    mi.Cancel: lambda a: f"DROP_ATTEMPT\tid={a.id}\tcopy={a.attempt}",
    mi.SetTimer: lambda a: f"NOTIFY_ME\thandle={a.token}\tspan_ns={a.delay_ns}",
    mi.Probe: lambda a: f"HEALTH_CHECK\tserver={a.server}",
    mi.CloseIdle: lambda a: f"SHUT_IDLE\tserver={a.server}",
    mi.PeerSend: _publish,
    mi.Subscribe: lambda a: f"SUBSCRIBE\twant={1 if a.wanted else 0}",
    mi.FetchList: lambda a: "QUERY_ALL",
    mi.Log: lambda a: f"TRACE\ttext={' '.join(a.text.split())}",
}


class Adapter:
    """Parses batches, passes their events to the instances and collects each batch's reply."""

    def __init__(self, errors: TextIO) -> None:
        """`errors` receives tracebacks and a line for each unknown message."""
        self.errors = errors
        self.balancers: dict[str, Balancer] = {}
        self.lists: dict[int, tuple[mi.ServerEntry, ...]] = {}
        self.now: int | None = None  # the batch's time; None between batches
        self.instance: str | None = None
        self.reply: list[str] = []
        self.last_from: str | None = None  # instance of the reply's last FROM line
        self.set_id = 0
        self.items: list[mi.ServerEntry] = []
        self.items_due = 0  # entries of the current list still to come

    def line(self, line: str) -> list[str] | None:
        """Process one line; return the reply at the end of a batch."""
        if not line:
            return None
        name, *parts = line.split("\t")
        fields: Fields = {}
        for part in parts:
            key, separator, value = part.partition("=")
            if not separator:
                raise FieldError(f"field {part!r} has no value")
            fields[key] = value
        if self.items_due and name != "ITEM":
            raise FieldError(f"{self.items_due} server list entries are missing")
        if name == "BATCH":
            if self.now is not None:
                raise FieldError("BATCH inside a batch")
            self.now = read_int(fields, "at_time_ns")
            self.instance = self.last_from = None
            self.reply = []
            return None
        if self.now is None:
            raise FieldError(f"{name} outside a batch")
        if name == "FLUSH":
            self.now = None
            self.reply.append("FINISHED")
            return self.reply
        if name == "AT":
            self.instance = read_text(fields, "sidecar")
        elif name == "REGISTER":
            self.set_id = read_int(fields, "set_id")
            self.items = []
            self.items_due = read_int(fields, "members_list", 0)
            self.lists[self.set_id] = ()
        elif name == "ITEM":
            self._item(fields)
        elif name in READERS or name in ("BOOT", "DESTROY", "MEMBERSHIP"):
            self._event(name, fields)
        else:
            print(f"iristrack: unknown message {name} skipped", file=self.errors)
        return None

    def _item(self, fields: Fields) -> None:
        if not self.items_due:
            raise FieldError("ITEM without a server list")
        self.items.append(_entry(fields))
        self.items_due -= 1
        if not self.items_due:
            self.lists[self.set_id] = tuple(self.items)

    def _event(self, name: str, fields: Fields) -> None:
        instance = self.instance
        if instance is None:
            raise FieldError(f"{name} before any instance was selected by AT")
        if name == "BOOT":
            seed = read_int(fields, "random_seed")
            self._guard(lambda: self.balancers.__setitem__(instance, Balancer(read_settings(fields), seed)))
            return
        balancer = self.balancers.get(instance)
        if balancer is None:
            raise FieldError(f"{name} for instance {instance}, which is not started")
        if name == "DESTROY":
            del self.balancers[instance]
            return
        event = self._server_list(fields) if name == "MEMBERSHIP" else READERS[name](fields)
        now = self.now
        actions = self._guard(lambda: balancer.handle(now, event))
        if actions:
            if self.last_from != instance:
                self.reply.append(f"FROM\tsidecar={instance}")
                self.last_from = instance
            self.reply.extend(WRITERS[type(action)](action) for action in actions)

    def _server_list(self, fields: Fields) -> mi.ServerList:
        kind = _pick(LIST_KINDS, fields, "kind")
        version = read_int(fields, "gen", 0)
        if kind is mi.ListKind.FAILED:
            return mi.ServerList(kind, (), version)
        servers = self.lists.get(read_int(fields, "set_id"))
        if servers is None:
            raise FieldError(f"server list {fields['set_id']} is not registered")
        return mi.ServerList(kind, servers, version)

    def _guard(self, call: Callable):
        try:
            return call()
        except FieldError:
            raise
        except Exception as error:
            traceback.print_exc(file=self.errors)
            text = " ".join(f"{type(error).__name__}: {error}".split())
            self.reply.append(f"FROM\tsidecar={self.instance}")
            self.reply.append(f"DIE\ttext={text}")
            self.last_from = self.instance
            return None


def run(lines: Iterable[str], output: TextIO, errors: TextIO) -> int:
    """Process lines until the input ends; return the exit status."""
    adapter = Adapter(errors)
    for number, line in enumerate(lines, 1):
        line = line.rstrip("\n")
        try:
            reply = adapter.line(line)
        except FieldError as error:
            print(f"iristrack: line {number}: {error}: {line[:200]}", file=errors)
            return 2
        if reply is not None:
            output.write("\n".join(reply) + "\n")
            output.flush()
    if adapter.now is not None:
        print("iristrack: input ended inside a batch", file=errors)
        return 2
    return 0


def main() -> int:
    """Run on standard input, output and error."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
