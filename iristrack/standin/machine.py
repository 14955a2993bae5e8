"""One process of the system with its settings file, log and disk: started, signalled and ended by its id."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

from iristrack.standin.waiting import PATIENCE_S, wait_until

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_VARIABLE = "IRISTRACK_CONFIG"
FRONT_PORT = 8167
READINESS_PORT = 8162
CONTROL_PORT = 8169
PORT_RANGE = (7640, 7655)
PROGRAMS = {"edge": "iristrack.cli.dataplane", "core": "iristrack.cli.controlplane"}

Document = dict[str, object]


class Machine:
    """An `edge` or a `core` machine."""

    def __init__(self, name: str, machine_class: str, settings: Document, folder: Path) -> None:
        """Nothing is started; `folder` takes the settings file, the log and the disk."""
        self.name = name
        self.machine_class = machine_class
        self.settings = settings
        self.folder = folder
        self.module = PROGRAMS[machine_class]
        self.arguments: list[str] = []
        self.environment: dict[str, str] = {}  # beside the one of this process
        self.process: subprocess.Popen[bytes] | None = None
        folder.mkdir(parents=True, exist_ok=True)
        self.settings_path = folder / "settings.json"
        self.log_path = folder / "log.txt"
        self.write_settings()

    @property
    def ip(self) -> str:
        """The machine's own address."""
        return self.settings["ip"]

    @property
    def front(self) -> str:
        """Where clients connect."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def readiness(self) -> str:
        """Where `/ready` is answered."""
        return f"{self.ip}:{READINESS_PORT}"

    @property
    def control(self) -> str:
        """Where the operator calls."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def disk(self) -> Path:
        """The folder of the disk."""
        return self.folder / "disk"

    @property
    def running(self) -> bool:
        """Is there a process that has not ended?"""
        return self.process is not None and self.process.poll() is None

    @property
    def handles_signals(self) -> bool:
        """Has the present process set its handlers? Before that a signal ends it."""
        if not self.running:
            return False
        with suppress(OSError):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            caught = next(line.split()[1] for line in lines if line.startswith("SigCgt:"))
            return bool(int(caught, 16) >> (signal.SIGHUP - 1) & 1)
        return False

    # ---- settings and disk

    def write_settings(self) -> None:
        """Write the settings file as `settings` is now."""
        self.settings_path.write_text(json.dumps(self.settings, indent=2))

    def change_settings(self, **changes: object) -> None:
        """Change fields, in the file too."""
        self.settings |= changes
        self.write_settings()

    def wipe_disk(self) -> None:
        """The disk is lost; the machine starts again with an empty one, and not for the first time."""
        shutil.rmtree(self.disk)
        self.disk.mkdir()
        self.change_settings(bootstrap=False)

    # ---- the process

    def start(self) -> None:
        """Start the program; its log is appended to."""
        assert not self.running, f"{self.name} runs already"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                cwd=ROOT,
                env=os.environ | self.environment | {SETTINGS_VARIABLE: str(self.settings_path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """SIGKILL, and wait until it is gone."""
        if self.running:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wait_exit(self, patience_s: float = PATIENCE_S) -> int:
        """The exit status, once it has ended by itself."""
        wait_until(lambda: self.process.poll() is not None, f"the end of {self.name}", patience_s)
        return self.process.returncode

    def log(self) -> str:
        """What it wrote to standard output and standard error."""
        return self.log_path.read_text(errors="replace")
