"""The cost of a request, in a unit that does not depend on the machine: calls made in the daemon a request.

The real program runs under a profile hook that counts every Python and C call of its thread; SIGUSR1 has it write
the count so far. Keep-alive GETs one after the other on one connection, with the loop otherwise idle, are the
measure (`docs/performance.md`). The bound is what the landed code makes, with room for the module's ticks.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress

from stage import ROOT, SETTINGS, Client, Stage, call, free_port, until

# A keep-alive GET, all that the daemon does for it: 379 with zones and the room of cold ones, 373 without; 390 once.
MOST_CALLS = 386
# The module's ticks come with time, not with requests: few of them, so that a slow machine counts alike.
RARE_TICKS_NS = 10**9
WARM = 40
MEASURED = 300

_COUNTING = """
import signal, sys
counted = [0]
def count(frame, event, arg):
    if event == "call" or event == "c_call":
        counted[0] += 1
def say(number, frame):
    sys.stderr.write(f"calls={counted[0]}\\n")
    sys.stderr.flush()
signal.signal(signal.SIGUSR1, say)
sys.setprofile(count)
from iristrack.__main__ import main
sys.exit(main(["serve", "--log-level", "WARNING"]))
"""


def _said(log, after: int) -> int:
    def come() -> bool:
        return log.read_text().count("calls=") > after

    until(come)
    return int(log.read_text().split("calls=")[after + 1].split()[0])


def test_a_keep_alive_get_costs_no_more_calls_than_stated(stage: Stage) -> None:
    stage.pool("s1")
    stage.pool("s2")
    port = free_port()
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": stage.discovery.address,
        "seed": "8c1f30d27a5be964", "known": stage.discovery.table(),
        "settings": SETTINGS | {"resolution_ns": RARE_TICKS_NS},
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }  # fmt: skip
    path, log = stage.folder / "config.json", stage.folder / "counted.txt"
    path.write_text(json.dumps(config))
    with log.open("wb") as out:
        process = subprocess.Popen(
            [sys.executable, "-c", _COUNTING], cwd=ROOT,
            env=os.environ | {"NODE_CONFIG": str(path), "TMPDIR": ""}, stdout=out, stderr=out,
        )  # fmt: skip
    clients: list[Client] = []

    def connected() -> bool:
        assert process.poll() is None, log.read_text()
        with suppress(OSError):
            clients.append(Client(port))
        return bool(clients)

    try:
        until(connected)
        client = clients[0]
        for number in range(WARM):
            assert client.exchange(call(f"w{number}")).head.status == 200
        process.send_signal(signal.SIGUSR1)
        began = _said(log, 0)
        for number in range(MEASURED):
            assert client.exchange(call(f"m{number}", key=f"k{number % 7}")).head.status == 200
        process.send_signal(signal.SIGUSR1)
        each = (_said(log, 1) - began) / MEASURED
    finally:
        process.kill()
        process.wait()
    assert 50 < each <= MOST_CALLS, f"{each:.0f} calls a request"
