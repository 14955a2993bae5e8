"""Builds what `deploy/system.toml` runs: its libraries, in `target/deps`.

    python3 deploy/build_system.py

A registry may answer late, with errors, or break off: the installation is tried again until the time for a build is
nearly over. It is made in a folder of its own and put in place once both programs can be imported with it, so that
nothing half done is ever taken for whole. The folder in place is kept while it was made from the same requirements by
the same Python and both programs can be imported with it.

Exits with 1, and one line on standard error for each try that failed, where nothing could be installed.
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

BUILD_S = 840  # a build has 15 minutes
ATTEMPT_S = 300  # of which one installation may take so much
SILENCE_S = 60  # of the registry, after which pip asks again
PIP_RETRIES = 3
FIRST_PAUSE_S = 1
LONGEST_PAUSE_S = 20
IMPORT_S = 60
LAST_LINE = -1


def main() -> int:
    """Build, unless it is done already; returns the exit code."""
    TARGET.mkdir(exist_ok=True)
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)  # of two builds at once the second finds the work done
        return 0 if _is_in_place() or _install_until(time.monotonic() + BUILD_S) else 1


def fingerprint() -> str:
    """Return what the libraries depend on: the requirements, and the Python that loads them."""
    python = f"{sys.version} {sysconfig.get_platform()}"
    return hashlib.sha256(REQUIREMENTS.read_bytes() + python.encode()).hexdigest()


def _is_in_place() -> bool:
    if not FINGERPRINT.exists() or FINGERPRINT.read_text() != fingerprint():
        return False
    return _import_problem(LIBRARIES) is None


def _install_until(deadline: float) -> bool:
    pause_s = FIRST_PAUSE_S
    while True:
        problem = _install(min(ATTEMPT_S, deadline - time.monotonic()))
        if problem is None:
            return True
        print(f"build: {problem}", file=sys.stderr)
        if time.monotonic() + pause_s >= deadline:
            return False
        time.sleep(pause_s)
        pause_s = min(2 * pause_s, LONGEST_PAUSE_S)


def _install(within_s: float) -> str | None:
    """Install once, and put the result in place; what went wrong, None where all is well."""
    made = Path(tempfile.mkdtemp(prefix="deps.", dir=TARGET))
    try:
        problem = _pip_problem(made, within_s) or _import_problem(made)
        if problem is None:
            _put_in_place(made)
        return problem
    finally:
        shutil.rmtree(made, ignore_errors=True)


def _put_in_place(made: Path) -> None:
    FINGERPRINT.unlink(missing_ok=True)
    shutil.rmtree(LIBRARIES, ignore_errors=True)
    made.chmod(0o755)
    made.rename(LIBRARIES)
    FINGERPRINT.write_text(fingerprint())


def _pip_problem(folder: Path, within_s: float) -> str | None:
    patience = ["--timeout", str(SILENCE_S), "--retries", str(PIP_RETRIES)]
    quiet = ["-q", "--disable-pip-version-check", "--no-input", "--root-user-action", "ignore"]
    what = ["--upgrade", "--target", str(folder), "-r", str(REQUIREMENTS)]
    return _problem("pip", ["-m", "pip", "install", *quiet, *patience, *what], within_s, {})


def _import_problem(folder: Path) -> str | None:
    """What keeps the programs from being imported with these libraries; None: nothing."""
    path = os.pathsep.join((str(ROOT), str(folder)))
    statement = "; ".join(f"import {program}" for program in PROGRAMS)
    without_site_packages = "-S"  # whatever else this machine's Python has
    return _problem("import", [without_site_packages, "-c", statement], IMPORT_S, {"PYTHONPATH": path})


def _problem(what: str, arguments: list[str], within_s: float, variables: dict[str, str]) -> str | None:
    """Run Python; what went wrong, None where it exits with 0."""
    try:
        done = subprocess.run(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=os.environ | variables,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=max(1.0, within_s),
        )
    except subprocess.TimeoutExpired:
        return f"{what}: not done within {within_s:.0f} s"
    if done.returncode == 0:
        return None
    said = done.stderr.strip().splitlines() or ["no word"]
    return f"{what}: exit code {done.returncode}: {said[LAST_LINE]}"


if __name__ == "__main__":
    sys.exit(main())
