"""Install the libraries of the programs that `deploy/system.toml` runs into `target/deps`.

    python3 deploy/build_system.py

The package registry may respond slowly, return errors or drop connections, so a failed installation is retried until
the time limit of a build is nearly reached.

Libraries are installed into a staging folder, which replaces `target/deps` only after both programs were imported with
it. A partial installation is therefore never used. An existing `target/deps` is kept if it was installed from the same
requirements by the same Python and both programs can be imported with it.

Each failed attempt prints one line to standard error. The exit code is 1 if no attempt succeeded.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
LIBRARIES = TARGET / "deps"
FINGERPRINT = TARGET / "deps.fingerprint"
LOCK = TARGET / "build.lock"
REQUIREMENTS = ROOT / "requirements-system.txt"
PROGRAMS = ("iristrack.dataplane.program", "iristrack.controlplane.program")

BUILD_TIMEOUT_S = 840  # a build may take 15 minutes
ATTEMPT_TIMEOUT_S = 300  # limit for one installation, within the build time
REGISTRY_TIMEOUT_S = 60  # pip retries if the registry sends nothing for this long
PIP_RETRIES = 3
INITIAL_BACKOFF_S = 1
MAX_BACKOFF_S = 20
IMPORT_TIMEOUT_S = 60
LAST_LINE = -1


def main() -> int:
    """Install the libraries unless they are up to date; return the exit code."""
    TARGET.mkdir(exist_ok=True)
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)  # a concurrent build waits and then finds the libraries up to date
        return 0 if _is_up_to_date() or _install_until(time.monotonic() + BUILD_TIMEOUT_S) else 1


def fingerprint() -> str:
    """Return a hash of what the libraries depend on: the requirements and the Python that loads them."""
    python = f"{sys.version} {sysconfig.get_platform()}"
    return hashlib.sha256(REQUIREMENTS.read_bytes() + python.encode()).hexdigest()


def _is_up_to_date() -> bool:
    if not FINGERPRINT.exists() or FINGERPRINT.read_text() != fingerprint():
        return False
    return _import_error(LIBRARIES) is None


def _install_until(deadline: float) -> bool:
    backoff_s = INITIAL_BACKOFF_S
    while True:
        error = _install(min(ATTEMPT_TIMEOUT_S, deadline - time.monotonic()))
        if error is None:
            return True
        print(f"build: {error}", file=sys.stderr)
        if time.monotonic() + backoff_s >= deadline:
            return False
        time.sleep(backoff_s)
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def _install(timeout_s: float) -> str | None:
    """Attempt one installation and publish it; return the error, or None on success."""
    staging = Path(tempfile.mkdtemp(prefix="deps.", dir=TARGET))
    try:
        error = _pip_error(staging, timeout_s) or _import_error(staging)
        if error is None:
            _publish(staging)
        return error
    finally:
        shutil.rmtree(staging, ignore_errors=True)


def _publish(staging: Path) -> None:
    FINGERPRINT.unlink(missing_ok=True)
    shutil.rmtree(LIBRARIES, ignore_errors=True)
    staging.chmod(0o755)
    staging.rename(LIBRARIES)
    FINGERPRINT.write_text(fingerprint())


def _pip_error(folder: Path, timeout_s: float) -> str | None:
    network_options = ["--timeout", str(REGISTRY_TIMEOUT_S), "--retries", str(PIP_RETRIES)]
    output_options = ["-q", "--disable-pip-version-check", "--no-input", "--root-user-action", "ignore"]
    target_options = ["--upgrade", "--target", str(folder), "-r", str(REQUIREMENTS)]
    return _python_error(
        "pip", ["-m", "pip", "install", *output_options, *network_options, *target_options], timeout_s, {}
    )


def _import_error(folder: Path) -> str | None:
    """Return the error of importing both programs with these libraries, or None on success."""
    path = os.pathsep.join((str(ROOT), str(folder)))
    statement = "; ".join(f"import {program}" for program in PROGRAMS)
    without_site_packages = "-S"  # packages installed elsewhere must not hide a missing library
    return _python_error(
        "import", [without_site_packages, "-c", statement], IMPORT_TIMEOUT_S, {"PYTHONPATH": path}
    )


def _python_error(step: str, arguments: list[str], timeout_s: float, variables: dict[str, str]) -> str | None:
    """Run Python with these arguments; return the error, or None if it exits with 0."""
    try:
        result = subprocess.run(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=os.environ | variables,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=max(1.0, timeout_s),
        )
    except subprocess.TimeoutExpired:
        return f"{step}: timed out after {timeout_s:.0f} s"
    if result.returncode == 0:
        return None
    error_lines = result.stderr.strip().splitlines() or ["no output on standard error"]
    return f"{step}: exit code {result.returncode}: {error_lines[LAST_LINE]}"


if __name__ == "__main__":
    sys.exit(main())
