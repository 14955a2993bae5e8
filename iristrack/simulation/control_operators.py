"""Operators in virtual time: they send changes, each again until it has a clear answer, and read."""

from __future__ import annotations

import json
import random
from collections.abc import Callable

from iristrack.configuration.building import digest_of
from iristrack.http1 import messages as http
from iristrack.http1.serving import Response
from iristrack.simulation.control_nodes import SimulatedCore
from iristrack.simulation.control_referee import Order, Referee
from iristrack.simulation.virtual_time import VirtualScheduler, World
from iristrack.standin.documents import configuration

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
PATIENCE_NS = 1 * NS_PER_S  # operators go on to another machine after so long
FIRST_BACKOFF_NS = 100 * NS_PER_MS
LONGEST_BACKOFF_NS = 1 * NS_PER_S
MODEL = "model-one"


class Operator:
    """Sends one change after the other, each again until it has a clear answer, and reads."""

    def __init__(
        self,
        number: int,
        world: World,
        rng: random.Random,
        referee: Referee,
        cores: Callable[[], list[SimulatedCore]],
    ) -> None:
        """Begins with `start`."""
        self.number = number
        self.world = world
        self.rng = rng
        self.referee = referee
        self.cores = cores
        self.answers_lost = 0.0  # share
        self.pause_ns = 300 * NS_PER_MS
        self.stopped = False
        self.last_taken: SimulatedCore | None = None  # the machine that acknowledged last
        self.on_acknowledged: Callable[[SimulatedCore], None] = lambda core: None
        self.scheduler = VirtualScheduler(world)
        self.sent = 0

    def start(self) -> None:
        """Begin to send."""
        self.scheduler.spawn(f"operator {self.number}", self._run)

    def _run(self) -> None:
        while not self.stopped:
            self.scheduler.sleep(self.rng.randint(1, 2 * self.pause_ns))
            if self.rng.random() < 0.25:
                self._read()
            else:
                self._change()

    def _read(self) -> None:
        floor = self.referee.newest_acknowledged
        core, response = self._call(http_message(b"GET", b"/config/read"))
        if core is not None and response is not None and response.status == 200:
            self.referee.was_read(json.loads(response.body)["revision"], floor, self.world.now)

    def _change(self) -> None:
        base = self.referee.newest_acknowledged
        if self.rng.random() < 0.1:
            base = max(0, base - self.rng.randint(1, 5))
        revision = base + self.rng.randint(1, 3)
        order = make_order(len(self.referee.orders), base, revision, self.world.now)
        self.referee.orders[order.number] = order
        lines = b"X-Iristrack-Base-Version: %d\r\n" % base
        message = http_message(b"POST", b"/config/replace", lines, order.body)
        backoff = FIRST_BACKOFF_NS
        while not self.stopped:
            core, response = self._call(message)
            if response is not None and response.status == 200:
                self.referee.acknowledged(order, self.world.now)
                self.last_taken = core
                self.on_acknowledged(core)
                return
            if response is not None and response.status in (400, 409, 412, 413, 422):
                self.referee.refused(order, self.world.now)
                return
            self.scheduler.sleep(self.rng.randint(1, backoff))
            backoff = min(LONGEST_BACKOFF_NS, 2 * backoff)

    def _call(self, message: http.Message) -> tuple[SimulatedCore | None, Response | None]:
        """One call to a machine drawn by lot; the answer may be lost."""
        core = self.rng.choice(self.cores())
        task = self.scheduler.current
        arrived: list[Response | None] = []

        def on_answer(response: Response | None) -> None:
            arrived.append(response)
            task.wake()

        lost = self.rng.random() < self.answers_lost
        core.call(message, (lambda response: None) if lost else on_answer)
        try:
            self.scheduler.wait(-1, 0, self.world.now + PATIENCE_NS)
        except TimeoutError:
            return None, None
        return core, arrived[0] if arrived else None


class WeightsOperator(Operator):
    """Names one revision of a model's weights after the other, each again until it is acknowledged."""

    def _run(self) -> None:
        revision = 1
        while not self.stopped:
            self.scheduler.sleep(self.rng.randint(1, 2 * self.pause_ns))
            revision += 1
            self._name(revision)

    def _name(self, revision: int) -> None:
        body = json.dumps({"model_name": MODEL, "revision": revision}).encode()
        message = http_message(b"POST", b"/version-put", b"Content-Type: application/json\r\n", body)
        while not self.stopped:
            _, response = self._call(message)
            if response is not None and response.status == 200:
                self.referee.named_weights(revision, self.world.now)
                return
            self.scheduler.sleep(self.rng.randint(1, FIRST_BACKOFF_NS))


def make_order(number: int, base: int, revision: int, now: int) -> Order:
    """An order whose content differs from all others."""
    document = configuration(revision, [], [])
    document["services"] = [{"label": f"order-{number}", "health_path": "/health", "max_conns": 1}]
    body = json.dumps(document).encode()
    return Order(number, base, revision, body, digest_of(body), now)


def http_message(method: bytes, target: bytes, lines: bytes = b"", body: bytes = b"") -> http.Message:
    """A call as the listener hands it on."""
    reader = http.Reader(limit=http.MAX_BODY_BYTES, whole=http.MAX_BODY_BYTES)
    return reader.feed(http.request(method, target, lines, body))
