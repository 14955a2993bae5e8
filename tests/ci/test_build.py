"""Tests of the build in the system's deploy file, with a package registry that fails.

Guards against the incident FAULT: a build ran pip only once, pip's retries ended within seconds, and no deployment
could start.
"""

from __future__ import annotations

import hashlib
import http.server
import os
import re
import shutil
import subprocess
import sys
import threading
import tomllib
import zipfile
from collections.abc import Iterator
from io import BytesIO
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
REQUIREMENTS = ROOT / "requirements-system.txt"
BUILD = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
PROGRAMS = ("dataplane", "controlplane")
PIP_ATTEMPTS = 6  # requests that one run of pip sends to one URL before it gives up


def wheel(name: str, version: str) -> bytes:
    """Return a wheel that contains one empty module."""
    info = f"{name}-{version}.dist-info"
    files = {
        f"{name}.py": "",
        f"{info}/METADATA": f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n",
        f"{info}/WHEEL": "Wheel-Version: 1.0\nGenerator: test\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    record = "".join(f"{path},,\n" for path in [*files, f"{info}/RECORD"])
    buffer = BytesIO()
    with zipfile.ZipFile(buffer, "w") as archive:
        for path, text in (files | {f"{info}/RECORD": record}).items():
            archive.writestr(path, text)
    return buffer.getvalue()


class Registry(http.server.ThreadingHTTPServer):
    """A fake registry of the required packages; its first responses are errors or truncated."""

    daemon_threads = True

    def __init__(self, errors: int = 0, cuts: int = 0) -> None:
        super().__init__(("127.0.0.1", 0), RegistryHandler)
        self.errors_left = errors
        self.cuts_left = cuts
        self.lock = threading.Lock()
        self.wheels: dict[str, bytes] = {}
        for name, version in re.findall(r"^([\w.]+)==([\w.]+)$", REQUIREMENTS.read_text(), re.MULTILINE):
            self.wheels[f"{name.lower()}-{version}-py3-none-any.whl"] = wheel(name.lower(), version)

    @property
    def index(self) -> str:
        return f"http://127.0.0.1:{self.server_port}/simple"

    def should_fail(self, counter: str) -> bool:
        """Return whether this request should fail, and decrement the counter of that failure."""
        with self.lock:
            remaining = getattr(self, counter)
            setattr(self, counter, max(0, remaining - 1))
            return remaining > 0


class RegistryHandler(http.server.BaseHTTPRequestHandler):
    server: Registry

    def do_GET(self) -> None:
        if self.server.should_fail("errors_left"):
            self.send_error(503)
            return
        name = self.path.strip("/").split("/")[-1]
        body = self.server.wheels.get(name)
        if body is None:
            rows = [w for w in self.server.wheels if w.startswith(f"{name}-")]
            links = [f'<a href="/w/{w}#sha256={digest(self.server.wheels[w])}">{w}</a>' for w in rows]
            self._send("text/html", "".join(links).encode(), 0)
            return
        self._send("application/octet-stream", body, 40 if self.server.should_fail("cuts_left") else 0)

    def _send(self, content_type: str, body: bytes, missing_bytes: int) -> None:
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body[: len(body) - missing_bytes])
        if missing_bytes:
            self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Suppress request logs."""


def digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a folder with the files that a build reads; its programs import only the libraries."""
    (tmp_path / "deploy").mkdir()
    for script in (ROOT / "deploy").glob("*.py"):
        shutil.copy(script, tmp_path / "deploy")
    shutil.copy(REQUIREMENTS, tmp_path)
    for program in PROGRAMS:
        folder = tmp_path / "iristrack" / program
        folder.mkdir(parents=True)
        (folder / "program.py").write_text("import cerberus, crc32c, fastavro, greenlet\n")
    return tmp_path


@pytest.fixture
def serve() -> Iterator[type]:
    running: list[Registry] = []

    def start(**failures: int) -> Registry:
        registry = Registry(**failures)
        running.append(registry)
        threading.Thread(target=registry.serve_forever, daemon=True).start()
        return registry

    yield start
    for registry in running:
        registry.shutdown()
        registry.server_close()


def build(checkout: Path, registry: Registry | None) -> subprocess.CompletedProcess[str]:
    variables = {name: value for name, value in os.environ.items() if not name.startswith("PIP_")}
    index = "http://127.0.0.1:9/simple" if registry is None else registry.index
    variables |= {
        "PIP_CONFIG_FILE": os.devnull,
        "PIP_INDEX_URL": index,
        "PIP_NO_CACHE_DIR": "1",
        "PATH": os.pathsep.join((str(Path(sys.executable).parent), os.environ["PATH"])),
    }
    return subprocess.run(["sh", "-c", BUILD], cwd=checkout, env=variables, capture_output=True, text=True)


@pytest.mark.parametrize(
    "failures", [{}, {"errors": PIP_ATTEMPTS + 2}, {"cuts": 2}], ids=["none", "errors", "cut off"]
)
def test_build_survives_temporary_registry_failures(checkout: Path, serve, failures) -> None:
    result = build(checkout, serve(**failures))
    assert result.returncode == 0, result.stderr
    installed = {path.name for path in (checkout / "target/deps").iterdir()}
    assert {"cerberus.py", "crc32c.py", "fastavro.py", "greenlet.py"} <= installed


def test_second_build_does_not_contact_the_registry(checkout: Path, serve) -> None:
    assert build(checkout, serve()).returncode == 0
    assert build(checkout, None).returncode == 0


@pytest.mark.parametrize("damage", ["a file", "the folder", "another Python"])
def test_incomplete_or_incompatible_libraries_are_reinstalled(checkout: Path, serve, damage: str) -> None:
    registry = serve()
    assert build(checkout, registry).returncode == 0
    deps = checkout / "target/deps"
    if damage == "a file":
        (deps / "greenlet.py").unlink()
    elif damage == "the folder":
        shutil.rmtree(deps)
    else:
        (checkout / "target/deps.fingerprint").write_text("of another Python")
        (deps / "greenlet.py").write_text("raise ImportError('compiled for another Python')\n")
    assert build(checkout, registry).returncode == 0
    assert (deps / "greenlet.py").read_text() == ""


def test_failed_attempts_leave_no_files_behind(checkout: Path, serve) -> None:
    assert build(checkout, serve(cuts=1)).returncode == 0
    remaining = {path.name for path in (checkout / "target").iterdir()}
    assert remaining == {"deps", "deps.fingerprint", "build.lock"}
