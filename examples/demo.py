"""The toy platform, the real sidecar and a bounded load, on one machine: `make demo`.

It takes free ports on loopback, starts the sidecar as its operators do, sends 240 requests over eight
connections, drains a pool server half-way, prints who served what, and stops all that it started.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from http.server import ThreadingHTTPServer
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import toy  # noqa: E402

CLIENTS = 8
START_S = 20.0  # the sidecar must be ready by then


def start_platform() -> tuple[toy.Table, dict[str, int], str]:
    """Discovery and three pool servers on free ports: the table, each server's port, discovery's address."""
    table, ports = toy.Table(), {}
    for name in ("pool-1", "pool-2", "pool-3"):
        server = ThreadingHTTPServer((toy.HOST, 0), toy.pool_server(name))
        threading.Thread(target=server.serve_forever, daemon=True).start()
        ports[name] = server.server_address[1]
        table.put(name, ports[name], "in_service")
    server = ThreadingHTTPServer((toy.HOST, 0), toy.discovery(table))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return table, ports, f"{toy.HOST}:{server.server_address[1]}"


def start_sidecar(discovery: str, folder: str) -> tuple[subprocess.Popen, int]:
    """The real program on a free port."""
    with ThreadingHTTPServer((toy.HOST, 0), toy.Handler) as probe:
        port = probe.server_address[1]
    config = json.loads((HERE / "config.json").read_text())
    config |= {"listen": f"{toy.HOST}:{port}", "discovery": discovery}
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "iristrack", "serve", "--log-level", "WARNING"],
        cwd=HERE.parent,
        env=os.environ | {"NODE_CONFIG": str(path)},
    )
    end = time.monotonic() + START_S
    while time.monotonic() < end and process.poll() is None:
        try:
            connection = http.client.HTTPConnection(toy.HOST, port, timeout=2)
            connection.request("GET", "/_health")
            if connection.getresponse().status == 200:
                return process, port
        except OSError:
            time.sleep(0.05)
    process.terminate()
    raise SystemExit("demo: the sidecar did not become ready; its log stands above")


def ask(port: int, client: int, numbers: range, results: list[tuple[int, str, float]]) -> None:
    """One client: its requests one after the other on one connection."""
    connection = http.client.HTTPConnection(toy.HOST, port, timeout=5)
    for number in numbers:
        payout = number % 2
        headers = {
            "X-Call-Id": f"demo-{client}-{number}",
            "X-Call-Class": "payout" if payout else "share-view",
            "X-Caller": "northfield",
            "X-Budget": "1200m",
        }
        if payout:
            headers["Idempotency-Key"] = f"key-{client}-{number}"
        began = time.monotonic()
        try:
            connection.request("POST" if payout else "GET", f"/api/venue-{number % 20}", headers=headers)
            answer = connection.getresponse()
            body = answer.read().decode()
            results.append((answer.status, body.split(" ")[0], time.monotonic() - began))
        except (OSError, http.client.HTTPException):
            connection.close()
            results.append((0, "", time.monotonic() - began))


def main() -> int:
    """Play it; 0 if every request was served."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=240, help="how many, 8 to 10000 (default 240)")
    total = parser.parse_args().requests
    if not CLIENTS <= total <= 10_000:
        parser.error("--requests must lie between 8 and 10000")
    each = total // CLIENTS
    with tempfile.TemporaryDirectory() as folder:
        table, ports, discovery = start_platform()
        process, port = start_sidecar(discovery, folder)
        results: list[tuple[int, str, float]] = []
        try:
            for part, numbers in enumerate((range(each // 2), range(each // 2, each))):
                if part:
                    print("pool-2 drains: the server list says so, nothing new goes there")
                    table.put("pool-2", ports["pool-2"], "terminating")
                    time.sleep(0.5)
                before = len(results)
                threads = [
                    threading.Thread(target=ask, args=(port, t, numbers, results)) for t in range(CLIENTS)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                by = Counter(server or f"status {status}" for status, server, _ in results[before:])
                told = ", ".join(f"{server} {count}" for server, count in sorted(by.items()))
                print(f"{len(results) - before} requests: {told}")
        finally:
            process.terminate()
            code = process.wait(timeout=10)
    served = sum(status == 200 for status, _, _ in results)
    times = sorted(seconds for _, _, seconds in results)
    median = times[len(times) // 2] * 1e3
    print(f"served {served} of {len(results)}; median {median:.0f} ms; sidecar exit {code}")
    return 0 if served == len(results) and code == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
