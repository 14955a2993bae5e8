"""A stand-in model server: streams and whole answers, reports, orders and kept parts, with faults by a script."""

from __future__ import annotations

import json
import select
import socket
import struct
from collections.abc import Iterator
from itertools import count
from urllib.parse import parse_qs, urlsplit

from iristrack.standin.behaviour import NORMAL, Behaviour, Fault, Script
from iristrack.standin.http_host import HostHandler, HttpHost, encode_answer
from iristrack.standin.ledger import Arrival, Ledger, Order
from iristrack.standin.model_state import SHARED_SALT, KeptParts, Weights, parse_prompt
from iristrack.standin.waiting import PATIENCE_S

ATTEMPT_ID = "X-Iristrack-Attempt-Id"
SEAL = "X-Iristrack-Server-Seal"
NOT_EXECUTED = "X-Iristrack-Not-Executed"
EXPECT_INSTANCE = "X-Iristrack-Expect-Instance"
GARBAGE = b"\x00\x17 these bytes form no answer \xff\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CAPACITY = 64

_instance_numbers = count(1)


class ConnectionOver(Exception):
    """The behaviour ends the connection."""


class ModelServer:
    """One incarnation of a model server of one service."""

    def __init__(
        self,
        service: str,
        model: str,
        ledger: Ledger,
        script: Script,
        zone: str = "",
        revision: int = 1,
        port: int = 0,
        token_pause_s: float = 0.0,
    ) -> None:
        """Serves at once, at a free port or at `port`; `token_pause_s` lies between the events of a stream."""
        number = next(_instance_numbers)
        self.instance_id = f"i-{number:08x}"
        self.service = service
        self.zone = zone
        self.ledger = ledger
        self.script = script
        self.token_pause_s = token_pause_s
        self.kept = KeptParts(epoch=number)
        self.weights = Weights(model, revision, self.kept)
        self.software = "v1"  # the version that the platform's list tells
        self.fails_each: int | None = None  # of so many requests one fails: a bad version
        self._requests = count(1)
        self.draining = False
        self.shed_all = False
        handler = type("BoundModelHandler", (ModelHandler,), {"owner": self})
        self.host = HttpHost(handler, port)

    @property
    def address(self) -> str:
        """ip:port."""
        return self.host.address

    def entry(self) -> dict[str, object]:
        """The server as the platform's list holds it."""
        return {
            "instance_id": self.instance_id,
            "target": self.service,
            "address": self.address,
            "zone": self.zone,
            "revision": self.software,
            "capacity": CAPACITY,
            "phase": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "model_list": self.weights.model_list(),
        }

    def behaviour(self, attempt_id: str) -> Behaviour:
        """How the next request is treated."""
        scripted = self.script.next(attempt_id)
        is_bad = self.fails_each is not None and next(self._requests) % self.fails_each == 0
        return Behaviour(Fault.ERROR) if is_bad and scripted is NORMAL else scripted

    def stop(self) -> None:
        """End like a machine that loses power: every connection ends, the port is free."""
        self.host.stop()


class ModelHandler(HostHandler):
    """One connection to a model server."""

    owner: ModelServer
    second_answer: bytes = b""  # still to come, before the next answer

    # ---- calls of the system itself

    def do_GET(self) -> None:
        """Reports, health and kept parts; anything else is a request of a client."""
        url = urlsplit(self.path)
        server = self.owner
        if url.path == "/report":
            self._answer_json(server.weights.report())
        elif url.path == "/health":
            status = 503 if server.draining else 200
            self.answer(status, b"", {"X-Iristrack-Instance-Id": server.instance_id})
        elif url.path == "/kv-events":
            since = int(parse_qs(url.query).get("since", ["0"])[0])
            wait_s = int(self.headers.get("Wait-Ms", 0)) / 1000
            self._answer_json(server.kept.events_since(since, wait_s))
        elif url.path == "/kv-list":
            self._answer_json(server.kept.owned())
        else:
            self._take_request()

    def do_POST(self) -> None:
        """Orders; anything else is a request of a client."""
        if self.path == "/order":
            self._take_order()
        else:
            self._take_request()

    do_PUT = do_DELETE = do_PATCH = do_POST

    def _answer_json(self, document: dict[str, object], status: int = 200) -> None:
        self.answer(status, json.dumps(document).encode(), {"Content-Type": "application/json"})

    def _take_order(self) -> None:
        server = self.owner
        body = json.loads(self.read_body())
        expected = self.headers.get(EXPECT_INSTANCE)
        status = 421 if expected not in (None, server.instance_id) else server.weights.order(body)
        server.ledger.add_order(Order(server.instance_id, body, status))
        self._answer_json({}, status)

    # ---- clients' requests

    def _take_request(self) -> None:
        server = self.owner
        arrival = self._read_arrival()
        behaviour = server.behaviour(arrival.attempt_id)
        status = self._refusal(arrival, behaviour)
        if status:
            arrival.refusal = status
            arrival.ended = True
            server.ledger.add(arrival)
            self.answer(status, b"", self._echo(arrival) | {NOT_EXECUTED: "1"})
            return
        arrival.ran = True
        arrival.kept_tokens = self._read_prompt(arrival)
        server.ledger.add(arrival)
        try:
            self._run(arrival, behaviour)
        except (ConnectionOver, OSError) as end:
            arrival.left = not isinstance(end, ConnectionOver)
            self.close_connection = True
        finally:
            arrival.ended = True
            server.weights.end()
            server.ledger.note()

    def _read_arrival(self) -> Arrival:
        headers: dict[str, list[str]] = {}
        for name, value in self.headers.items():
            headers.setdefault(name.lower(), []).append(value)
        server = self.owner
        return Arrival(
            instance_id=server.instance_id,
            service=server.service,
            connection=self.connection_number,
            method=self.command,
            target=self.path,
            headers=headers,
            body=self.read_body(),
            revision=server.weights.revision,
        )

    def _refusal(self, arrival: Arrival, behaviour: Behaviour) -> int:
        server = self.owner
        if not arrival.attempt_id:
            return 400
        if arrival.header(EXPECT_INSTANCE) not in (None, server.instance_id):
            return 421
        if server.shed_all or behaviour.fault is Fault.SHED:
            return 503
        return server.weights.begin(arrival.header("Expect-Version"))

    def _read_prompt(self, arrival: Arrival) -> int:
        prefix = arrival.header("X-Iristrack-Prompt-Prefix")
        model = arrival.header("X-Iristrack-Model")
        if prefix is None or model is None:
            return 0
        salt = arrival.header("Cache-Salt") or SHARED_SALT
        return self.owner.kept.read_prompt(salt, model, parse_prompt(prefix))

    def _echo(self, arrival: Arrival) -> dict[str, str]:
        server = self.owner
        echo = {ATTEMPT_ID: arrival.attempt_id} if arrival.attempt_id else {}
        closing = {"Connection": "close"} if server.draining else {}
        return echo | closing | {"Versions": str(server.weights.revision)}

    def _run(self, arrival: Arrival, behaviour: Behaviour) -> None:
        if self.second_answer:
            self.wfile.write(self.second_answer)
            self.second_answer = b""
        fault = behaviour.fault
        if fault is Fault.SILENCE and not behaviour.after_events:
            self._await_departure()
        elif fault is Fault.GARBAGE:
            self.wfile.write(GARBAGE)
            raise ConnectionOver
        elif fault in (Fault.RESET, Fault.CLOSE) and not behaviour.after_events:
            self._end_connection(fault)
        elif fault is Fault.UNPROMISED_503:
            self.answer(503, b"no promise", self._echo(arrival))
        elif fault is Fault.ERROR:
            self.answer(500, b"server error", self._echo(arrival) | self._seal(arrival))
        elif _output_tokens(arrival):
            self._stream(arrival, behaviour)
        else:
            self._answer_whole(arrival, behaviour)

    def _seal(self, arrival: Arrival) -> dict[str, str]:
        return {SEAL: f"seal-{self.owner.instance_id}-{arrival.number}"}

    def _await_departure(self) -> None:
        """Say nothing until the caller ends the connection."""
        poll = select.poll()  # unlike `select` it takes any descriptor's number
        poll.register(self.connection, select.POLLIN)
        poll.poll(int(2 * PATIENCE_S * 1000))
        raise ConnectionResetError("the caller left")

    def _end_connection(self, fault: Fault) -> None:
        if fault is Fault.RESET:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.connection.close()
        raise ConnectionOver

    # ---- whole answers

    def _answer_whole(self, arrival: Arrival, behaviour: Behaviour) -> None:
        if behaviour.gate is not None:
            behaviour.gate.pass_through()
        body = answer_body(arrival.attempt_id, arrival.body)
        headers = self._echo(arrival) | {"Content-Type": "text/plain"}
        if behaviour.fault is not Fault.UNSEALED:
            headers |= self._seal(arrival)
        if behaviour.fault is Fault.SHORT_BODY:
            self.wfile.write(encode_answer(200, body, headers, length=len(body) + 10))
            raise ConnectionOver
        answer = encode_answer(200, body, headers)
        self.wfile.write(answer)
        if behaviour.fault is Fault.LATE_SECOND:
            self.second_answer = answer

    # ---- streams

    def _stream(self, arrival: Arrival, behaviour: Behaviour) -> None:
        headers = self._echo(arrival) | self._seal(arrival)
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode("latin-1")
        self.wfile.write(head)
        sent = bytearray(head)
        for event in self._events(arrival):
            if arrival.events_sent == behaviour.after_events:
                self._interrupt(behaviour)
            piece = b"%x\r\n%b\r\n" % (len(event), event)
            arrival.events_sent += 1
            self.wfile.write(piece)
            sent += piece
        if behaviour is not NORMAL and arrival.events_sent == behaviour.after_events:
            self._interrupt(behaviour)
        self.wfile.write(b"0\r\n\r\n")
        if behaviour.fault is Fault.LATE_SECOND:
            self.second_answer = bytes(sent) + b"0\r\n\r\n"

    def _interrupt(self, behaviour: Behaviour) -> None:
        if behaviour.gate is not None:
            behaviour.gate.pass_through()
        if behaviour.fault in (Fault.RESET, Fault.CLOSE):
            self._end_connection(behaviour.fault)
        elif behaviour.fault is Fault.GARBAGE_IN_STREAM:
            self.wfile.write(GARBAGE)
            raise ConnectionOver
        elif behaviour.fault is Fault.SILENCE:
            self._await_departure()

    def _events(self, arrival: Arrival) -> Iterator[bytes]:
        begun_at = int(arrival.header("Last-Event-Id") or 0)
        for number in range(begun_at + 1, _output_tokens(arrival) + 1):
            if self.owner.token_pause_s:
                select.select([], [], [], self.owner.token_pause_s)
            yield event_bytes(number)


def _output_tokens(arrival: Arrival) -> int:
    """The events of the whole stream; 0 where the answer is no stream."""
    told = arrival.header("X-Iristrack-Token-Count") or ""
    return int(told.partition(",")[2] or 0)


def event_bytes(number: int) -> bytes:
    """One event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def answer_body(attempt_id: str, body: bytes) -> bytes:
    """The whole answer to a request."""
    return b"served " + attempt_id.encode() + b" " + body
