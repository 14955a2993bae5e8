"""A whole small system of real processes on loopback, with stand-ins round it: `make system-demo`.

Three core and two edge processes take a configuration, model servers come from the platform's list, and clients
ask for streams whose prompts share their beginnings. Half-way one core process is killed. At the end it prints what
was served, ends every process and leaves nothing behind.
"""

from __future__ import annotations

import argparse
import queue
import signal
import statistics
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from iristrack.standin.client import BrokenAnswer, Client, Request, new_attempt_id, prompt_headers
from iristrack.standin.documents import configuration, route, service, tenant
from iristrack.standin.ledger import Arrival
from iristrack.standin.system import System

HOST = "demo.example"
MODEL = "demo-model"
SERVICE = "chat"
KEY = "demo-key"
MODEL_SERVERS = 4
CLIENTS = 8
EVENTS = 12
TOKEN_PAUSE_S = 0.004
SUBJECTS = 10  # prompts that share their beginning
SYSTEM_PROMPT_TOKENS = 400
SUBJECT_TOKENS = 1_200
OWN_TOKENS = 100
GRACE_S = 2


@dataclass(frozen=True, slots=True)
class Outcome:
    """One stream, as its client saw it."""

    complete: bool
    first_event_s: float


def stream_request(number: int) -> Request:
    """The generation with that number: all share the system prompt, every tenth one the subject too."""
    parts = [
        ("5e0", SYSTEM_PROMPT_TOKENS),
        (f"a{number % SUBJECTS:x}", SUBJECT_TOKENS),
        (f"b{number:x}", OWN_TOKENS),
    ]
    headers = (("Authorization", f"Bearer {KEY}"), *prompt_headers(MODEL, parts, EVENTS))
    return Request(HOST, "/chat/", new_attempt_id(), headers=headers)


def play(client: Client, request: Request) -> Outcome:
    """Read one stream to its end."""
    began = time.monotonic()
    try:
        stream = client.open(request)
        first = stream.next_event()
        first_event_s = time.monotonic() - began
        seen = len(list(stream.events())) + (first is not None)
        return Outcome(stream.status == 200 and seen == EVENTS, first_event_s)
    except BrokenAnswer:
        client.close()
        return Outcome(False, time.monotonic() - began)


def work(address: str, numbers: queue.SimpleQueue[int], outcomes: list[Outcome]) -> None:
    """One client: stream after stream on one connection until none is left."""
    with Client(address) as client:
        while True:
            try:
                number = numbers.get_nowait()
            except queue.Empty:
                return
            outcomes.append(play(client, stream_request(number)))


def run_load(system: System, numbers: range) -> list[Outcome]:
    """Have the clients, spread over the edge processes, ask for these streams."""
    waiting: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in numbers:
        waiting.put(number)
    outcomes: list[Outcome] = []
    addresses = [system.edges[client % len(system.edges)].front for client in range(CLIENTS)]
    threads = [threading.Thread(target=work, args=(address, waiting, outcomes)) for address in addresses]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def kept_share(arrivals: list[Arrival]) -> float:
    """The share of the shared prompt tokens that servers did not have to read."""
    wanted = (SYSTEM_PROMPT_TOKENS + SUBJECT_TOKENS) * len(arrivals)
    return sum(arrival.kept_tokens for arrival in arrivals) / max(1, wanted)


def start(system: System) -> None:
    """All processes, and the configuration that makes them ready."""
    system.add_model_servers(SERVICE, MODEL, MODEL_SERVERS, token_pause_s=TOKEN_PAUSE_S)
    system.start()
    routes = [route(HOST, "/chat/", SERVICE, "streaming", resumable=True)]
    document = configuration(1, routes, [service(SERVICE, MODEL)], [tenant("demo", KEY)])
    answer = system.operator.replace(document, 0)
    print(f"configuration 1: status {answer.status}")
    system.wait_ready()
    print(
        f"ready: {len(system.cores)} core and {len(system.edges)} edge processes, {MODEL_SERVERS} model servers"
    )


def end(system: System) -> list[int]:
    """SIGTERM to every process that runs; their exit statuses."""
    running = [machine for machine in system.machines if machine.running]
    for machine in running:
        machine.send_signal(signal.SIGTERM)
    return [machine.wait_exit() for machine in running]


def main() -> int:
    """Play it; 0 if every stream was served and every process ended in order."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--streams", type=int, default=200, help="how many, 16 to 5000 (default 200)")
    total = parser.parse_args().streams
    if not 16 <= total <= 5000:
        parser.error("--streams must lie between 16 and 5000")
    with tempfile.TemporaryDirectory() as folder:
        system = System(Path(folder), cores=3, edges=2, rule_bounds={"grace_s": GRACE_S})
        try:
            start(system)
            outcomes = run_load(system, range(total // 2))
            system.cores[0].kill()
            print("half-way: one core process was killed")
            outcomes += run_load(system, range(total // 2, total))
            answer = system.operator.read()
            print(f"configuration read back: status {answer.status}, revision {answer.json['revision']}")
            statuses = end(system)
        finally:
            system.stop()
    served = [outcome for outcome in outcomes if outcome.complete]
    median_ms = statistics.median(outcome.first_event_s for outcome in outcomes) * 1e3
    share = kept_share([arrival for arrival in system.ledger.arrivals() if arrival.ran])
    print(f"streams served {len(served)} of {total}; first event: median {median_ms:.0f} ms")
    print(f"shared prompt tokens that were kept: {share:.0%}; exit statuses {statuses}")
    return 0 if len(served) == total and not any(statuses) else 1


if __name__ == "__main__":
    sys.exit(main())
