"""The build of the system's deploy file against a registry in trouble.

The incident FAULT: a build made one call of pip, whose tries ended within seconds, and no deployment started.
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
PIP_TRIES = 6  # of one address, in one call of pip


def wheel(name: str, version: str) -> bytes:
    """A package of one empty module."""
    info = f"{name}-{version}.dist-info"
    files = {
        f"{name}.py": "",
        f"{info}/METADATA": f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n",
        f"{info}/WHEEL": "Wheel-Version: 1.0\nGenerator: test\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    record = "".join(f"{path},,\n" for path in [*files, f"{info}/RECORD"])
    held = BytesIO()
    with zipfile.ZipFile(held, "w") as archive:
        for path, text in (files | {f"{info}/RECORD": record}).items():
            archive.writestr(path, text)
    return held.getvalue()


class Registry(http.server.ThreadingHTTPServer):
    """A stand-in: the packages of the requirements, with errors or cut answers at first."""

    daemon_threads = True

    def __init__(self, errors: int = 0, cuts: int = 0) -> None:
        super().__init__(("127.0.0.1", 0), Call)
        self.errors_left = errors
        self.cuts_left = cuts
        self.lock = threading.Lock()
        self.wheels: dict[str, bytes] = {}
        for name, version in re.findall(r"^([\w.]+)==([\w.]+)$", REQUIREMENTS.read_text(), re.MULTILINE):
            self.wheels[f"{name.lower()}-{version}-py3-none-any.whl"] = wheel(name.lower(), version)

    @property
    def index(self) -> str:
        return f"http://127.0.0.1:{self.server_port}/simple"

    def takes(self, left: str) -> bool:
        """Is this one of the calls that go wrong?"""
        with self.lock:
            number = getattr(self, left)
            setattr(self, left, max(0, number - 1))
            return number > 0


class Call(http.server.BaseHTTPRequestHandler):
    server: Registry

    def do_GET(self) -> None:
        if self.server.takes("errors_left"):
            self.send_error(503)
            return
        name = self.path.strip("/").split("/")[-1]
        body = self.server.wheels.get(name)
        if body is None:
            rows = [w for w in self.server.wheels if w.startswith(f"{name}-")]
            links = [f'<a href="/w/{w}#sha256={digest(self.server.wheels[w])}">{w}</a>' for w in rows]
            self._send("text/html", "".join(links).encode(), 0)
            return
        self._send("application/octet-stream", body, 40 if self.server.takes("cuts_left") else 0)

    def _send(self, kind: str, body: bytes, missing: int) -> None:
        self.send_response(200)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body[: len(body) - missing])
        if missing:
            self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Say nothing."""


def digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """What a build reads of a clean checkout; the programs import nothing but the libraries."""
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

    def start(**troubles: int) -> Registry:
        registry = Registry(**troubles)
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
    "troubles", [{}, {"errors": PIP_TRIES + 2}, {"cuts": 2}], ids=["none", "errors", "cut off"]
)
def test_a_registry_in_trouble_for_a_while_does_not_fail_the_build(checkout: Path, serve, troubles) -> None:
    done = build(checkout, serve(**troubles))
    assert done.returncode == 0, done.stderr
    installed = {path.name for path in (checkout / "target/deps").iterdir()}
    assert {"cerberus.py", "crc32c.py", "fastavro.py", "greenlet.py"} <= installed


def test_a_second_build_asks_nobody(checkout: Path, serve) -> None:
    assert build(checkout, serve()).returncode == 0
    assert build(checkout, None).returncode == 0


@pytest.mark.parametrize("what", ["a file", "the folder", "another Python"])
def test_libraries_that_are_not_whole_or_of_another_python_are_made_anew(
    checkout: Path, serve, what: str
) -> None:
    registry = serve()
    assert build(checkout, registry).returncode == 0
    deps = checkout / "target/deps"
    if what == "a file":
        (deps / "greenlet.py").unlink()
    elif what == "the folder":
        shutil.rmtree(deps)
    else:
        (checkout / "target/deps.fingerprint").write_text("of another Python")
        (deps / "greenlet.py").write_text("raise ImportError('compiled for another Python')\n")
    assert build(checkout, registry).returncode == 0
    assert (deps / "greenlet.py").read_text() == ""


def test_nothing_half_done_is_left_behind(checkout: Path, serve) -> None:
    assert build(checkout, serve(cuts=1)).returncode == 0
    left = {path.name for path in (checkout / "target").iterdir()}
    assert left == {"deps", "deps.fingerprint", "build.lock"}
